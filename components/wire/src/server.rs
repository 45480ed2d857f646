//! Connections from the proxy to a database.

use std::{collections, io, mem, net, sync, time};

use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages;

use crate::{failure, framing, reply};

/// Maximum length of a database message that is read into memory whole, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1 << 24;
/// Number of prepared statements from which on a connection is closed instead of
/// reused.
const MAX_PREPARED: usize = 512;
/// Text that every database rejects with a syntax error.
const INVALID_STATEMENT: &str = "REFUSED BY EBONYGAUGE";
/// Limit for a database to close the connection of a cancel request.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Addresses and timeout of a connection to a database.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address of the database.
    pub address: net::SocketAddr,
    /// Local address of the connection.
    pub source: net::IpAddr,
    /// Limit for connecting, and for each read of the login and each write.
    pub timeout: time::Duration,
}

/// Credentials of the proxy at a database.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Login {
    /// Database role.
    pub user: String,
    /// Password.
    pub password: String,
    /// Database name.
    pub database: String,
}

/// Authenticated connection to a database.
pub struct ServerConnection {
    /// Framed stream to the database.
    pub stream: framing::FramedStream,
    /// Endpoint of the connection.
    pub endpoint: Endpoint,
    /// Clone of the socket, with which another thread can shut the connection down.
    pub control_socket: sync::Arc<net::TcpStream>,
    /// Process ID for cancel requests.
    pub process_id: i32,
    /// Secret key for cancel requests.
    pub secret_key: i32,
    /// Names of the statements prepared on the connection; the names are shared by
    /// all sessions.
    pub prepared: collections::HashSet<Bytes>,
    /// A session has changed parameters of the connection.
    pub is_dirty: bool,
    /// A session may have dropped prepared statements of the connection.
    pub has_lost_statements: bool,
}

/// Opens a TCP connection from the endpoint's local address.
fn open_socket(endpoint: &Endpoint) -> Result<net::TcpStream, failure::Failure> {
    let options = socket::Options {
        source: Some(endpoint.source),
        timeout: endpoint.timeout,
        delivery: None,
    };
    Ok(socket::connect(endpoint.address, &options)?)
}

impl ServerConnection {
    /// Connects to a database and logs in.
    pub fn connect(endpoint: Endpoint, login: &Login) -> Result<Self, failure::Failure> {
        let socket = open_socket(&endpoint)?;
        let control_socket = sync::Arc::new(socket.try_clone()?);
        socket.set_write_timeout(Some(endpoint.timeout))?;
        let mut server = Self {
            stream: framing::FramedStream::new(Box::new(socket)),
            endpoint,
            control_socket,
            process_id: 0,
            secret_key: 0,
            prepared: collections::HashSet::new(),
            is_dirty: false,
            has_lost_statements: false,
        };
        server.stream.set_read_timeout(Some(endpoint.timeout))?;
        server.send_startup(login);
        server.log_in(login)?;
        server.stream.set_read_timeout(None)?;
        Ok(server)
    }

    fn send_startup(&mut self, login: &Login) {
        let mut startup = messages::startup::Startup::new();
        startup.protocol_number_major = 3;
        startup.protocol_number_minor = 0;
        let parameters = [
            ("user", login.user.as_str()),
            ("database", login.database.as_str()),
            ("application_name", "ebonygauge"),
            ("client_encoding", "UTF8"),
        ];
        for (name, value) in parameters {
            startup.parameters.insert(name.into(), value.into());
        }
        reply::put(&mut self.stream.output, &startup);
    }

    fn log_in(&mut self, login: &Login) -> Result<(), failure::Failure> {
        self.stream.flush()?;
        loop {
            let frame = self.stream.read_frame(MAX_MESSAGE_BYTES)?;
            match frame.tag {
                b'R' => self.authenticate(&frame.body, login)?,
                b'K' if frame.body.len() >= 8 => {
                    use bytes::Buf;
                    let mut body = frame.body;
                    self.process_id = body.get_i32();
                    self.secret_key = body.get_i32();
                }
                b'E' => return Err(failure::Failure::Refused(sqlstate(&frame.body))),
                b'Z' => return Ok(()),
                _ => {}
            }
        }
    }

    fn authenticate(&mut self, body: &[u8], login: &Login) -> Result<(), failure::Failure> {
        match body {
            [0, 0, 0, 0] => Ok(()),
            [0, 0, 0, 3] => {
                let password = messages::startup::Password::new(login.password.clone());
                reply::put(&mut self.stream.output, &password);
                self.stream.flush()
            }
            _ => Err(failure::Failure::Authentication),
        }
    }

    /// Whether the connection is open and has no unread input.
    pub fn is_usable(&self) -> bool {
        if self.stream.has_input() {
            return false;
        }
        let socket = socket2::SockRef::from(self.stream.socket());
        let mut byte = [mem::MaybeUninit::uninit()];
        let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
        let peeked = socket.recv_with_flags(&mut byte, flags);
        matches!(&peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the connection may be reused by another session.
    pub fn is_reusable(&self) -> bool {
        self.prepared.len() < MAX_PREPARED && !self.has_lost_statements
    }

    /// Runs a query of the simple protocol and returns the rows in text format.
    pub fn query(&mut self, sql: &str) -> Result<Vec<Vec<Option<Bytes>>>, failure::Failure> {
        let query = messages::simplequery::Query::new(sql.into());
        reply::put(&mut self.stream.output, &query);
        self.stream.flush()?;
        let mut rows = Vec::new();
        let mut error = None;
        loop {
            let frame = self.stream.read_frame(MAX_MESSAGE_BYTES)?;
            match frame.tag {
                b'D' => rows.push(parse_columns(&frame.body)?),
                b'E' => error = Some(sqlstate(&frame.body)),
                b'Z' => break,
                _ => {}
            }
        }
        error.map_or(Ok(rows), |state| Err(failure::Failure::Refused(state)))
    }

    /// Puts an open transaction block into the failed state, by a statement that is
    /// a syntax error.
    pub fn fail_transaction(&mut self) -> Result<(), failure::Failure> {
        match self.query(INVALID_STATEMENT) {
            Err(failure::Failure::Refused(_)) => Ok(()),
            Err(failure) => Err(failure),
            Ok(_) => Err(failure::Failure::Malformed),
        }
    }

    /// Resets all session parameters to their defaults. `RESET ALL` leaves the role as it is.
    pub fn reset(&mut self) -> Result<(), failure::Failure> {
        self.query("RESET ALL; RESET SESSION AUTHORIZATION")?;
        self.is_dirty = false;
        Ok(())
    }
}

/// Returns the SQLSTATE of an ErrorResponse body, or `XX000` if there is none.
pub fn sqlstate(body: &[u8]) -> String {
    let fields = body.split(|byte| *byte == 0);
    let found = fields
        .filter(|field| field.first() == Some(&b'C'))
        .find_map(|field| std::str::from_utf8(&field[1..]).ok());
    found.unwrap_or("XX000").to_string()
}

/// Parses the columns of a DataRow body; a null is none.
pub(crate) fn parse_columns(body: &Bytes) -> Result<Vec<Option<Bytes>>, failure::Failure> {
    use bytes::Buf;
    let mut rest = body.clone();
    let malformed = failure::Failure::Malformed;
    if rest.len() < 2 {
        return Err(malformed);
    }
    let count = rest.get_u16();
    let mut columns = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        if rest.len() < 4 {
            return Err(malformed);
        }
        let length = rest.get_i32();
        let Ok(length) = usize::try_from(length) else {
            columns.push(None);
            continue;
        };
        if rest.len() < length {
            return Err(malformed);
        }
        columns.push(Some(rest.split_to(length)));
    }
    Ok(columns)
}

/// Sends a cancel request and waits until the database has processed the request
/// and closes the connection.
pub fn cancel(
    endpoint: &Endpoint,
    process_id: i32,
    secret_key: i32,
) -> Result<(), failure::Failure> {
    use io::Write;
    let mut socket = open_socket(endpoint)?;
    socket.set_read_timeout(Some(CANCEL_TIMEOUT))?;
    let mut request = BytesMut::new();
    request.put_u32(16);
    request.put_u32(80_877_102);
    request.put_i32(process_id);
    request.put_i32(secret_key);
    socket.write_all(&request)?;
    io::copy(&mut socket, &mut io::sink())?;
    Ok(())
}
