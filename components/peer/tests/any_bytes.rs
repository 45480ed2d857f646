//! Whatever comes to the port of the peers, messages go on arriving.

mod pair;

use std::{io::Write, net};

use kernel::message;
use pair::{Pair, name};

/// Connections with bytes of no sense.
const STRANGERS: u64 = 150;
/// Seed of their bytes.
const SEED: u64 = 0x5eed;

/// Next number of a sequence that a seed fixes (xorshift).
fn next(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

/// Bytes that begin like a message of `capnp` in one of two cases.
fn bytes(state: &mut u64) -> Vec<u8> {
    let count = usize::try_from(next(state) % 400).expect("a count");
    let mut bytes: Vec<u8> = (0..count).map(|_| next(state).to_le_bytes()[0]).collect();
    if next(state).is_multiple_of(2) && bytes.len() >= 8 {
        // One segment of a few words.
        bytes[..8].copy_from_slice(&[0, 0, 0, 0, (count / 8) as u8, 0, 0, 0]);
    }
    bytes
}

#[test]
fn any_bytes_end_their_own_connection_alone() {
    let pair = Pair::start();
    let mut state = SEED;
    let mut strangers = Vec::new();
    for i in 0..STRANGERS {
        let mut stranger = net::TcpStream::connect(pair.address).expect("a connection");
        // The other end may close it before all is sent.
        let _ = stranger.write_all(&bytes(&mut state));
        if i % 2 == 0 {
            strangers.push(stranger);
        }
        let message = message::Message::ConfirmTransfer(i);
        assert_eq!(pair.pass(message.clone()), (name("far"), message));
    }
}
