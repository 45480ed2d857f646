//! What the replies of a database prove of a run.

use std::{io, io::Read, io::Write, net, thread, time};

use bytes::{BufMut, BytesMut};
use kernel::event;

const LIMIT: time::Duration = time::Duration::from_secs(20);
const READY: (u8, &[u8]) = (b'Z', b"I");
const STATUS_READY: [(u8, &[u8]); 1] = [READY];

fn encode(frames: &[(u8, &[u8])]) -> Vec<u8> {
    let mut out = BytesMut::new();
    for (tag, body) in frames {
        out.put_u8(*tag);
        out.put_u32(u32::try_from(body.len() + 4).expect("a small frame"));
        out.put_slice(body);
    }
    out.to_vec()
}

fn error_body(sqlstate: &str) -> Vec<u8> {
    format!("SERROR\0C{sqlstate}\0Mno\0\0").into_bytes()
}

/// Starts a database that answers the first query on each connection with the next of the
/// replies, and then closes the connection.
fn start_database(replies: Vec<Vec<u8>>) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for reply in replies {
            let (socket, _) = listener.accept().expect("a connection");
            let _ = serve(socket, &reply);
        }
    });
    address
}

fn serve(mut socket: net::TcpStream, reply: &[u8]) -> io::Result<()> {
    read_body(&mut socket)?;
    socket.write_all(&encode(&[(b'R', &[0; 4]), READY]))?;
    let mut tag = [0];
    socket.read_exact(&mut tag)?;
    read_body(&mut socket)?;
    socket.write_all(reply)?;
    // Reads on, as a close with unread input would discard the reply.
    socket.shutdown(net::Shutdown::Write)?;
    io::copy(&mut socket, &mut io::sink()).map(|_| ())
}

fn read_body(socket: &mut net::TcpStream) -> io::Result<()> {
    let mut length = [0; 4];
    socket.read_exact(&mut length)?;
    let length = u32::from_be_bytes(length) as usize - 4;
    socket.read_exact(&mut vec![0; length])
}

/// Runs a query outside of a transaction on a new connection to the database.
fn run(
    database: net::SocketAddr,
    sql: &str,
    access: event::Access,
) -> Result<wire::BatchOutcome, wire::BatchError> {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut client = net::TcpStream::connect(address).expect("a listener");
    let (accepted, _) = listener.accept().expect("a connection");
    let mut caller = wire::FramedStream::new(Box::new(accepted));
    let text = [sql.as_bytes(), b"\0"].concat();
    client
        .write_all(&encode(&[(b'Q', &text)]))
        .expect("a caller");
    let batch = wire::Batch::read(&mut caller, 1 << 16).expect("a batch");
    let plan = wire::SessionStatements::default().plan(batch);
    let endpoint = wire::Endpoint {
        address: database,
        source: "127.0.0.1".parse().expect("an address"),
        timeout: LIMIT,
    };
    let login = wire::Login {
        user: "u".into(),
        password: "p".into(),
        database: "d".into(),
    };
    let mut server = wire::ServerConnection::connect(endpoint, &login).expect("a database");
    let plan = plan.expect("a supported query");
    wire::run_batch(&plan, &mut server, &mut caller, access, false)
}

#[test]
fn a_write_whose_reply_is_cut_off_at_any_byte_may_have_run() {
    for sqlstate in ["25006", "57014", "53300", "XX000"] {
        let error = error_body(sqlstate);
        let whole = encode(&[(b'E', &error), READY]);
        let replies = (0..whole.len()).map(|length| whole[..length].to_vec());
        let database = start_database(replies.collect());
        for length in 0..whole.len() {
            let ended = run(
                database,
                "INSERT INTO orders VALUES (1)",
                event::Access::Write,
            );
            let is_unknown = matches!(ended, Err(wire::BatchError::Server(_, false)));
            assert!(is_unknown, "{sqlstate}, {length} bytes: {ended:?}");
        }
    }
}

#[test]
fn a_write_that_a_replica_refused_needs_the_primary() {
    let error = error_body("25006");
    let reply = [encode(&[(b'E', &error), READY]), encode(&STATUS_READY)].concat();
    let database = start_database(vec![reply]);
    let ended = run(
        database,
        "INSERT INTO orders VALUES (1)",
        event::Access::Write,
    );
    let ended = ended.expect("a whole reply");
    assert!(ended.needs_primary && !ended.maybe_committed, "{ended:?}");
}

/// Guards against a batch that is repeated although a transaction in it has committed.
#[test]
fn a_batch_that_has_committed_is_not_repeated() {
    let sql = "BEGIN; INSERT INTO orders VALUES (1); COMMIT; INSERT INTO orders VALUES (2)";
    let error = error_body("25006");
    let reply: &[(u8, &[u8])] = &[
        (b'C', b"BEGIN\0"),
        (b'C', b"INSERT 0 1\0"),
        (b'C', b"COMMIT\0"),
        (b'E', &error),
        READY,
    ];
    let reply = [encode(reply), encode(&STATUS_READY)].concat();
    let database = start_database(vec![reply]);
    let ended = run(database, sql, event::Access::Write).expect("a whole reply");
    assert!(!ended.needs_primary, "{ended:?}");
    assert!(ended.maybe_committed, "{ended:?}");
}
