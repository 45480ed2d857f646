//! Messages keep their bounds, whatever bytes they hold.

use std::{io::Write, net};

use bytes::{Bytes, BytesMut};
use quickcheck::{Gen, QuickCheck};

/// Bodies of messages, with the number that chooses the type of each.
type Messages = Vec<(u8, Vec<u8>)>;

/// Reads the encoded messages through a framed stream.
fn pass(encoded: &[u8], count: usize) -> Vec<(u8, Bytes)> {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut sender = net::TcpStream::connect(address).expect("a listener");
    let (receiver, _) = listener.accept().expect("a connection");
    sender.write_all(encoded).expect("an open connection");
    drop(sender);
    let mut stream = wire::FramedStream::new(Box::new(receiver));
    let frames = (0..count).map(|_| stream.read_frame(1 << 20).expect("a message"));
    let frames = frames.map(|frame| (frame.tag, frame.body)).collect();
    assert!(stream.read_frame(1 << 20).is_err(), "another message");
    frames
}

/// One message in, one message out, with the same type and bytes.
#[test]
fn messages_are_neither_split_nor_joined() {
    let property = |messages: Messages| {
        let mut encoded = BytesMut::new();
        for (tag, body) in &messages {
            encoded.extend_from_slice(&[b'A' + tag % 26]);
            let length = u32::try_from(body.len() + 4).expect("a small message");
            encoded.extend_from_slice(&length.to_be_bytes());
            encoded.extend_from_slice(body);
        }
        let expected: Vec<_> = messages
            .iter()
            .map(|(tag, body)| (b'A' + tag % 26, Bytes::from(body.clone())))
            .collect();
        pass(&encoded, messages.len()) == expected
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 5))
        .tests(100)
        .quickcheck(property as fn(Messages) -> bool);
}
