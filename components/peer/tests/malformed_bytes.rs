//! Malformed bytes on the port for peers must not stop the delivery of other messages.

mod pair;

use std::{io::Write, net};

use kernel::message;
use pair::{Pair, name};

/// Number of connections that send malformed bytes.
const BAD_CONNECTIONS: u64 = 150;
/// Seed of the malformed bytes.
const SEED: u64 = 0x5eed;

/// Next number of a deterministic sequence (xorshift).
fn next_random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

/// Random bytes; about half of them begin like a Cap'n Proto message.
fn random_bytes(state: &mut u64) -> Vec<u8> {
    let count = usize::try_from(next_random(state) % 400).expect("a count");
    let mut bytes: Vec<u8> = (0..count)
        .map(|_| next_random(state).to_le_bytes()[0])
        .collect();
    if next_random(state).is_multiple_of(2) && bytes.len() >= 8 {
        // Header of a message with one segment of a few words.
        bytes[..8].copy_from_slice(&[0, 0, 0, 0, (count / 8) as u8, 0, 0, 0]);
    }
    bytes
}

#[test]
fn malformed_bytes_affect_only_their_own_connection() {
    let pair = Pair::start();
    let mut state = SEED;
    let mut open_connections = Vec::new();
    for i in 0..BAD_CONNECTIONS {
        let mut connection = net::TcpStream::connect(pair.address).expect("a connection");
        // The node may close the connection before all bytes are sent.
        let _ = connection.write_all(&random_bytes(&mut state));
        if i % 2 == 0 {
            open_connections.push(connection);
        }
        let message = message::Message::ConfirmTransfer(i);
        assert_eq!(pair.send(message.clone()), (name("far"), message));
    }
}
