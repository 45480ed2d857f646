//! Connections are reset at their end.

use std::{io, io::Read, io::Write, net, time};

const LIMIT: time::Duration = time::Duration::from_secs(20);

fn open(delivery: Option<time::Duration>) -> (net::TcpStream, net::TcpStream) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let options = socket::Options {
        source: Some("127.0.0.1".parse().expect("an address")),
        timeout: LIMIT,
        delivery,
    };
    let address = listener.local_addr().expect("an address");
    let ours = socket::connect(address, &options).expect("a listener");
    let (theirs, _) = listener.accept().expect("a connection");
    theirs.set_read_timeout(Some(LIMIT)).expect("a socket");
    (ours, theirs)
}

#[test]
fn a_closed_connection_is_reset() {
    let (mut ours, mut theirs) = open(None);
    ours.write_all(b"x").expect("an open connection");
    let mut byte = [0];
    theirs.read_exact(&mut byte).expect("the byte has arrived");
    drop(ours);
    let end = theirs.read(&mut byte).expect_err("no ordinary end");
    assert_eq!(end.kind(), io::ErrorKind::ConnectionReset);
}

#[test]
fn a_connection_that_was_shut_down_is_reset() {
    let (ours, mut theirs) = open(None);
    ours.shutdown(net::Shutdown::Both)
        .expect("an open connection");
    let mut byte = [0];
    assert_eq!(theirs.read(&mut byte).expect("the shutdown arrives"), 0);
    drop(ours);
    // The reset shows as the failure of a write, at the latest of the second one.
    let failed = (0..LIMIT.as_millis()).any(|_| {
        std::thread::sleep(time::Duration::from_millis(1));
        theirs.write_all(b"y").is_err()
    });
    assert!(failed);
}

#[test]
fn options_are_set() {
    let limit = time::Duration::from_millis(1234);
    let (ours, _theirs) = open(Some(limit));
    let socket = socket2::SockRef::from(&ours);
    assert_eq!(
        socket.linger().expect("a socket"),
        Some(time::Duration::ZERO)
    );
    assert_eq!(socket.tcp_user_timeout().expect("a socket"), Some(limit));
}
