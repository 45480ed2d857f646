//! A connection to a database.

use std::{collections, io, mem, net, sync, time};

use bytes::{BufMut, Bytes, BytesMut};
use pgwire::messages;

use crate::{failure, framing, reply};

/// Longest message that is read whole from a database, in bytes.
pub const MESSAGE_LIMIT: usize = 1 << 24;
/// Statements prepared on a connection before it is closed instead of reused.
const PREPARED_LIMIT: usize = 512;
/// Refused by every database as a syntax error.
const INVALID_STATEMENT: &str = "REFUSED BY EBONYGAUGE";
/// Time for a cancel request to be settled.
const CANCEL_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Where a connection goes, and from where.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Address of the database.
    pub address: net::SocketAddr,
    /// Source address.
    pub source: net::IpAddr,
    /// Time to connect and log in.
    pub timeout: time::Duration,
}

/// The proxy's own login.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Login {
    /// Role.
    pub user: String,
    /// Password.
    pub password: String,
    /// Database.
    pub database: String,
}

/// An open connection that is logged in.
pub struct ServerConnection {
    /// Frames to and from the database.
    pub stream: framing::FramedStream,
    /// Where it leads.
    pub endpoint: Endpoint,
    /// The socket, for breaking the connection from outside.
    pub control_socket: sync::Arc<net::TcpStream>,
    /// Cancel key.
    pub process_id: i32,
    /// Cancel key.
    pub secret_key: i32,
    /// Statements prepared, by the pool's names.
    pub prepared: collections::HashSet<Bytes>,
    /// Parameters were changed by a session.
    pub is_dirty: bool,
}

/// Connects from the source address.
fn connect(endpoint: &Endpoint) -> Result<net::TcpStream, failure::Failure> {
    let domain = socket2::Domain::for_address(endpoint.address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.bind(&net::SocketAddr::new(endpoint.source, 0).into())?;
    socket.connect_timeout(&endpoint.address.into(), endpoint.timeout)?;
    socket.set_tcp_nodelay(true)?;
    Ok(socket.into())
}

impl ServerConnection {
    /// Connects and logs in.
    pub fn connect(endpoint: Endpoint, login: &Login) -> Result<Self, failure::Failure> {
        let socket = connect(&endpoint)?;
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
            let frame = self.stream.read_frame(MESSAGE_LIMIT)?;
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

    /// Whether the connection is still open and silent.
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

    /// Whether the connection may serve another session.
    pub fn is_reusable(&self) -> bool {
        self.prepared.len() < PREPARED_LIMIT
    }

    /// Runs a simple query and returns its rows as text.
    pub fn query(&mut self, sql: &str) -> Result<Vec<Vec<Option<Bytes>>>, failure::Failure> {
        let query = messages::simplequery::Query::new(sql.into());
        reply::put(&mut self.stream.output, &query);
        self.stream.flush()?;
        let mut rows = Vec::new();
        let mut refused = None;
        loop {
            let frame = self.stream.read_frame(MESSAGE_LIMIT)?;
            match frame.tag {
                b'D' => rows.push(columns(&frame.body)?),
                b'E' => refused = Some(sqlstate(&frame.body)),
                b'Z' => break,
                _ => {}
            }
        }
        refused.map_or(Ok(rows), |state| Err(failure::Failure::Refused(state)))
    }

    /// Brings an open transaction into the failed state.
    pub fn fail_transaction(&mut self) -> Result<(), failure::Failure> {
        match self.query(INVALID_STATEMENT) {
            Err(failure::Failure::Refused(_)) => Ok(()),
            Err(failure) => Err(failure),
            Ok(_) => Err(failure::Failure::Malformed),
        }
    }

    /// Returns all parameters to their defaults.
    pub fn reset(&mut self) -> Result<(), failure::Failure> {
        self.query("RESET ALL")?;
        self.is_dirty = false;
        Ok(())
    }
}

/// SQLSTATE of an ErrorResponse body.
pub fn sqlstate(body: &[u8]) -> String {
    let fields = body.split(|byte| *byte == 0);
    let found = fields
        .filter(|field| field.first() == Some(&b'C'))
        .find_map(|field| std::str::from_utf8(&field[1..]).ok());
    found.unwrap_or("XX000").to_string()
}

/// Columns of a DataRow body.
pub(crate) fn columns(body: &Bytes) -> Result<Vec<Option<Bytes>>, failure::Failure> {
    use bytes::Buf;
    let mut rest = body.clone();
    let short = failure::Failure::Malformed;
    if rest.len() < 2 {
        return Err(short);
    }
    let count = rest.get_u16();
    let mut out = Vec::with_capacity(usize::from(count));
    for _ in 0..count {
        if rest.len() < 4 {
            return Err(short);
        }
        let length = rest.get_i32();
        let Ok(length) = usize::try_from(length) else {
            out.push(None);
            continue;
        };
        if rest.len() < length {
            return Err(short);
        }
        out.push(Some(rest.split_to(length)));
    }
    Ok(out)
}

/// Asks the database to cancel, and waits until it has taken note.
pub fn cancel(endpoint: &Endpoint, process: i32, secret: i32) -> Result<(), failure::Failure> {
    use io::Write;
    let mut socket = connect(endpoint)?;
    socket.set_read_timeout(Some(CANCEL_TIMEOUT))?;
    let mut request = BytesMut::new();
    request.put_u32(16);
    request.put_u32(80_877_102);
    request.put_i32(process);
    request.put_i32(secret);
    socket.write_all(&request)?;
    io::copy(&mut socket, &mut io::sink())?;
    Ok(())
}
