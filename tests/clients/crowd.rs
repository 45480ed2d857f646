//! Crowds of callers that do not behave. Sizes and bounds hold on every machine; no crowd
//! depends on how fast the daemon is.

use std::{io::Read, io::Write, net, thread};

use crate::target::{self, Dialect, Target};

/// Callers of a crowd that fits into the sessions of the settings.
const CALLERS: usize = 64;
/// Connections of a crowd that is larger than the settings allow.
const CONNECTIONS: usize = 400;
/// Size of a large message inside the limit of 1 MiB.
const LARGE_BYTES: usize = 900 << 10;
/// Bytes that each member of a crowd sends of a message over the limit.
const OVERSIZED_BYTES: usize = 4 << 20;
/// Requests that a caller sends ahead.
const SENT_AHEAD: usize = 4_000;
/// Bytes that a slow caller sends or reads, each by itself.
const SLOW_BYTES: usize = 300;
/// Names or values that a caller prepares or sets without end, and the size of each.
const KEPT: usize = 900;
const KEPT_BYTES: usize = 100 << 10;
/// The same for values on PostgreSQL, of which a session keeps the latest 64 and sets them
/// again for each request.
const KEPT_SETTINGS: usize = 100;
/// Connections to the admin or peer listener that send much.
const HEAVY_CONNECTIONS: usize = 24;
/// Bytes that each of them sends.
const HEAVY_BYTES: usize = 3 << 20;

/// Runs the work of every member of a crowd at once, and returns what they keep open. A
/// member that the daemon turns away keeps nothing.
fn gather<T: Send>(size: usize, member: impl Fn(usize) -> std::io::Result<T> + Sync) -> Vec<T> {
    let member = &member;
    thread::scope(|scope| {
        let members: Vec<_> = (0..size)
            .map(|n| scope.spawn(move || member(n).ok()))
            .collect();
        let kept = members.into_iter().map(|m| m.join().expect("no panic"));
        kept.flatten().collect()
    })
}

/// Sends without minding that the daemon refuses more.
fn send(socket: &mut net::TcpStream, bytes: &[u8]) {
    let _ = socket.write_all(bytes);
}

fn end(mut target: Target, crowd: Vec<net::TcpStream>) {
    target.check("with the crowd");
    drop(crowd);
    target.check_left();
}

/// The largest legal messages, in the longest legal transaction, in calm.
pub fn largest_legal_client(target: Target) {
    // The message has a few bytes besides the text.
    let request = target.request((1 << 20) - 64);
    let [begin, _] = target.transaction();
    let mut caller = target.join().expect("a session");
    let mut run = |bytes: &[u8]| {
        caller.write_all(bytes).expect("an open connection");
        target.read_complete(&mut caller).expect("an answer")
    };
    assert!(run(&begin), "the transaction begins");
    for _ in 0..10 {
        assert!(run(&request), "a large statement succeeds");
    }
    assert!(run(&target.commit()), "the transaction commits");
    end(target, vec![caller]);
}

/// Complete large messages, all at once; the answers are read.
pub fn large_messages(target: Target) {
    let request = target.request(LARGE_BYTES);
    let crowd = gather(CALLERS, |_| {
        let mut caller = target.join()?;
        caller.write_all(&request)?;
        let _ = caller.read(&mut [0; 4096]);
        Ok(caller)
    });
    end(target, crowd);
}

/// Large messages whose last bytes come one by one.
pub fn messages_in_pieces(target: Target) {
    let request = target.request(LARGE_BYTES);
    let crowd = gather(CALLERS, |_| {
        let mut caller = target.join()?;
        let (start, pieces) = request.split_at(request.len() - SLOW_BYTES);
        caller.write_all(start)?;
        for byte in pieces {
            caller.write_all(&[*byte])?;
        }
        let _ = caller.read(&mut [0; 4096]);
        Ok(caller)
    });
    end(target, crowd);
}

/// Nine tenths of a legal message, and then nothing.
pub fn unfinished_messages(target: Target) {
    let request = target.request(LARGE_BYTES + LARGE_BYTES / 9);
    let crowd = gather(CALLERS, |_| {
        let mut caller = target.join()?;
        send(&mut caller, &request[..request.len() / 10 * 9]);
        Ok(caller)
    });
    end(target, crowd);
}

/// Messages that declare far more than the limit, or have no end.
pub fn oversized_messages(target: Target) {
    let start = target.oversized_start();
    let rest = vec![b'a'; OVERSIZED_BYTES];
    let crowd = gather(CALLERS, |_| {
        let mut caller = target.join()?;
        send(&mut caller, &start);
        send(&mut caller, &rest);
        Ok(caller)
    });
    end(target, crowd);
}

/// The same instead of a startup.
pub fn oversized_startups(target: Target) {
    let rest = vec![0x20; OVERSIZED_BYTES];
    let crowd = gather(CALLERS, |_| {
        let mut caller = target.connect()?;
        send(&mut caller, &rest);
        Ok(caller)
    });
    end(target, crowd);
}

/// Thousands of small requests sent ahead; no answer is read.
pub fn requests_sent_ahead(target: Target) {
    let requests = target.request(16).repeat(SENT_AHEAD);
    let crowd = gather(CALLERS, |_| {
        let mut caller = target.join()?;
        send(&mut caller, &requests);
        Ok(caller)
    });
    end(target, crowd);
}

/// Large requests sent ahead, whose answers are large too; no answer is read.
pub fn unread_answers(target: Target) {
    let request = target.large_read(LARGE_BYTES);
    let crowd = gather(CALLERS, |_| {
        let mut caller = target.join()?;
        for _ in 0..16 {
            caller.write_all(&request).ok();
        }
        Ok(caller)
    });
    end(target, crowd);
}

/// Callers that send one byte after the other, all at the same pace.
pub fn slow_senders(target: Target) {
    let request = target.request(4 * SLOW_BYTES);
    let mut crowd = gather(CALLERS, |_| target.join());
    for byte in &request[..SLOW_BYTES] {
        for caller in &mut crowd {
            send(caller, &[*byte]);
        }
    }
    end(target, crowd);
}

/// Callers that read large answers byte by byte.
pub fn slow_readers(target: Target) {
    let request = target.large_read(LARGE_BYTES / 4);
    let mut crowd = gather(CALLERS, |_| {
        let mut caller = target.join()?;
        for _ in 0..4 {
            send(&mut caller, &request);
        }
        Ok(caller)
    });
    for _ in 0..SLOW_BYTES {
        for caller in &mut crowd {
            let _ = caller.set_nonblocking(true);
            let _ = caller.read(&mut [0]);
        }
    }
    end(target, crowd);
}

/// Connections that never send a byte.
pub fn silent_connections(target: Target) {
    let crowd = gather(CONNECTIONS, |_| target.connect());
    end(target, crowd);
}

/// Connections that stop inside the startup.
pub fn unfinished_startups(target: Target) {
    let startup = target.startup();
    let crowd = gather(CONNECTIONS, |n| {
        let mut caller = target.connect()?;
        send(&mut caller, &startup[..1 + n % (startup.len() - 1)]);
        Ok(caller)
    });
    end(target, crowd);
}

/// Connections that stop inside TLS's handshake, or ask a daemon without TLS for it.
pub fn unfinished_handshakes(target: Target) {
    // SSLRequest, and the start of a record with a ClientHello.
    const BYTES: &[u8] = &[0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f];
    const HELLO: &[u8] = &[0x16, 3, 1, 0x3f, 0xf0, 1, 0, 0x3f];
    let crowd = gather(CONNECTIONS, |_| {
        let mut caller = target.connect()?;
        send(&mut caller, BYTES);
        let _ = caller.read(&mut [0]);
        send(&mut caller, HELLO);
        send(&mut caller, &vec![0; 8 << 10]);
        Ok(caller)
    });
    end(target, crowd);
}

/// Sessions that stop inside the header of a message.
pub fn unfinished_headers(target: Target) {
    let request = target.request(16);
    let crowd = gather(CALLERS, |n| {
        let mut caller = target.join()?;
        send(&mut caller, &request[..1 + n % 4]);
        Ok(caller)
    });
    end(target, crowd);
}

/// Sessions that stop inside a transaction.
pub fn unfinished_transactions(target: Target) {
    let statements = target.transaction();
    let crowd = gather(CALLERS, |_| {
        let mut caller = target.join()?;
        for statement in &statements {
            send(&mut caller, statement);
        }
        Ok(caller)
    });
    end(target, crowd);
}

/// Connections over the limit that are closed or reset right away.
pub fn connections_left(target: Target) {
    let startup = target.startup();
    for _ in 0..4 {
        let crowd = gather(CONNECTIONS, |n| {
            let mut caller = target.connect()?;
            send(&mut caller, &startup[..n % startup.len()]);
            if n % 2 == 0 {
                let linger = Some(std::time::Duration::ZERO);
                socket2::SockRef::from(&caller).set_linger(linger)?;
            }
            Ok(caller)
        });
        drop(crowd);
    }
    end(target, Vec::new());
}

/// Sessions over the limit.
pub fn sessions_over_the_limit(target: Target) {
    let crowd = gather(CONNECTIONS, |_| target.join());
    // The ordinary caller comes when others have left: a full daemon may refuse it.
    drop(crowd);
    end(target, Vec::new());
}

fn keep(
    target: &Target,
    count: usize,
    request: impl Fn(usize) -> Vec<u8> + Sync,
) -> Vec<net::TcpStream> {
    gather(2, |_| {
        let mut caller = target.join()?;
        let mut reader = caller.try_clone()?;
        thread::spawn(move || {
            let mut part = [0; 4096];
            while reader.read(&mut part).is_ok_and(|count| count > 0) {}
        });
        for n in 0..count {
            if caller.write_all(&request(n)).is_err() {
                break;
            }
        }
        Ok(caller)
    })
}

/// Prepared names without end.
pub fn prepared_names(target: Target) {
    let crowd = keep(&target, KEPT, |n| target.preparation(n, KEPT_BYTES));
    end(target, crowd);
}

/// Values of the session without end.
pub fn session_values(target: Target) {
    let count = match target.dialect {
        Dialect::Line => KEPT,
        Dialect::Postgres => KEPT_SETTINGS,
    };
    let crowd = keep(&target, count, |n| target.setting(n, KEPT_BYTES));
    end(target, crowd);
}

/// Cancel requests without end.
pub fn cancel_requests(target: Target) {
    for _ in 0..4 {
        let crowd = gather(CONNECTIONS, |n| {
            let mut caller = target.connect()?;
            let mut request = vec![0, 0, 0, 16, 0x04, 0xd2, 0x16, 0x2e, 0, 0, 0, 1];
            request.extend_from_slice(&u32::try_from(n).expect("a number").to_be_bytes());
            send(&mut caller, &request);
            Ok(caller)
        });
        drop(crowd);
    }
    end(target, Vec::new());
}

fn visit(target: Target, address: net::SocketAddr, size: usize, bytes: &[u8]) {
    let crowd = gather(size, |_| {
        let mut visitor = target::connect(address)?;
        send(&mut visitor, bytes);
        Ok(visitor)
    });
    end(target, crowd);
}

/// Silent connections to the admin listener.
pub fn silent_operators(target: Target) {
    let address = target.daemon.admin;
    visit(target, address, CONNECTIONS, b"");
}

/// Requests to the admin listener that stop inside the header.
pub fn unfinished_operators(target: Target) {
    let address = target.daemon.admin;
    visit(
        target,
        address,
        CONNECTIONS,
        b"GET /metrics HTTP/1.1\r\nHos",
    );
}

/// Header lines without end.
pub fn endless_headers(target: Target) {
    let address = target.daemon.admin;
    let mut bytes = b"GET /metrics HTTP/1.1\r\nHost: ".to_vec();
    bytes.resize(HEAVY_BYTES, b'a');
    visit(target, address, HEAVY_CONNECTIONS, &bytes);
}

/// Release notes that stop inside the body.
pub fn unfinished_notes(target: Target) {
    let address = target.daemon.admin;
    let mut bytes = b"POST /notes HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n".to_vec();
    bytes.resize(HEAVY_BYTES, b'a');
    visit(target, address, HEAVY_CONNECTIONS, &bytes);
}

/// Requests for metrics sent ahead, whose answers are not read.
pub fn unread_metrics(target: Target) {
    let address = target.daemon.admin;
    let bytes = b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n".repeat(SENT_AHEAD);
    visit(target, address, HEAVY_CONNECTIONS, &bytes);
}

/// Silent connections to the peer listener.
pub fn silent_peers(target: Target) {
    let address = target.daemon.peer;
    visit(target, address, CONNECTIONS, b"");
}

/// Messages between peers that declare much and stop half-way.
pub fn unfinished_peer_messages(target: Target) {
    let address = target.daemon.peer;
    // One segment of 4 MiB, counted in words of 8 bytes.
    let mut bytes = vec![0, 0, 0, 0, 0, 0, 8, 0];
    bytes.resize(HEAVY_BYTES, 0);
    visit(target, address, HEAVY_CONNECTIONS, &bytes);
}

/// Bytes to the peer listener that declare more than any message has.
pub fn oversized_peer_messages(target: Target) {
    let address = target.daemon.peer;
    let bytes = vec![0x7f; HEAVY_BYTES];
    visit(target, address, HEAVY_CONNECTIONS, &bytes);
}
