//! Confirmations that a VM no longer uses a leader, with what it has acknowledged.

mod pair;

use kernel::{message, position};
use pair::{Pair, name};

// A process of an earlier version does not state what it has acknowledged, which is not the
// same as nothing.
#[test]
fn what_was_acknowledged_arrives_and_stays_apart_from_what_is_unknown() {
    let pair = Pair::start();
    let position = |term, lsn| position::Position {
        term: position::Term(term),
        lsn: position::Lsn(lsn),
    };
    for acknowledged in [None, Some(position(0, 0)), Some(position(3, 1207))] {
        let claim = message::Claim {
            group: name("orders"),
            token: 7,
            planned: true,
        };
        let closed = message::Closed {
            claim,
            acknowledged,
        };
        let message = message::Message::LeaderClosed(closed);
        assert_eq!(pair.send(message.clone()), (name("far"), message));
    }
}
