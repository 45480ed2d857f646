//! What a metered stream charges and how long it waits, whatever comes in.

use std::{io::Write, net, sync, time};

use quickcheck::{Gen, QuickCheck};

const LIMIT: usize = 64 << 10;
const NEVER: time::Duration = time::Duration::from_secs(3600);

/// Stream that receives the bytes, charged to the intake; the sender stays connected.
fn receive(
    bytes: &[u8],
    intake: &sync::Arc<intake::Intake>,
    receive_timeout: time::Duration,
) -> (wire::FramedStream, net::TcpStream) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut sender = net::TcpStream::connect(address).expect("a listener");
    let (receiver, _) = listener.accept().expect("a connection");
    sender.write_all(bytes).expect("an open connection");
    let mut stream = wire::FramedStream::new(Box::new(receiver));
    stream.set_meter(intake::Account::open(intake), receive_timeout);
    (stream, sender)
}

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = u32::try_from(body.len() + 4).expect("a small message");
    [&[tag], &length.to_be_bytes()[..], body].concat()
}

#[test]
fn memory_held_is_at_most_the_limit_whatever_comes_in() {
    let property = |messages: Vec<(u8, u16)>| {
        let intake = intake::Intake::new(2 * intake::message_charge(LIMIT));
        let tags = b"QPBDESHXCdz";
        let encoded = messages.iter().map(|(tag, size)| {
            let tag = tags[usize::from(*tag) % tags.len()];
            message(tag, &vec![b'a'; usize::from(*size % 4_096)])
        });
        let encoded = encoded.collect::<Vec<_>>().concat();
        let (mut stream, sender) = receive(&encoded, &intake, NEVER);
        drop(sender);
        while wire::Batch::read(&mut stream, LIMIT).is_ok() {
            if intake.held() > intake::message_charge(2 * LIMIT) {
                return false;
            }
        }
        drop(stream);
        intake.held() == 0
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 7))
        .tests(100)
        .quickcheck(property as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn a_message_without_room_is_refused_before_it_is_read() {
    let intake = intake::Intake::new(2 * intake::message_charge(LIMIT));
    let mut other = intake::Account::open(&intake);
    assert!(other.keep(intake::message_charge(LIMIT)));
    let (mut stream, _sender) = receive(
        &message(b'Q', &[b'a'; LIMIT]),
        &intake,
        time::Duration::ZERO,
    );
    let read = wire::Batch::read(&mut stream, LIMIT);
    assert_eq!(read.err(), Some(wire::Failure::Full));
    assert_eq!(intake.refusals(), 1);
}

#[test]
fn an_unfinished_message_ends_at_the_time_limit() {
    let intake = intake::Intake::new(2 * intake::message_charge(LIMIT));
    let whole = message(b'Q', &[b'a'; 100]);
    for size in [1, 4, 5, 60] {
        let (mut stream, _sender) =
            receive(&whole[..size], &intake, time::Duration::from_millis(1));
        let read = wire::Batch::read(&mut stream, LIMIT);
        assert_eq!(read.err(), Some(wire::Failure::Slow), "{size} bytes");
    }
}

#[test]
fn a_batch_without_an_end_ends_at_the_time_limit() {
    let intake = intake::Intake::new(2 * intake::message_charge(LIMIT));
    let (mut stream, _sender) = receive(
        &message(b'P', b"s\0SELECT 1\0\0\0"),
        &intake,
        time::Duration::from_millis(1),
    );
    let read = wire::Batch::read(&mut stream, LIMIT);
    assert_eq!(read.err(), Some(wire::Failure::Slow));
}
