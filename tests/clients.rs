//! Clients that do not behave, against a daemon process on loopback: the process lives,
//! its memory and descriptors stay within the bounds, and an ordinary request is answered.

#[path = "clients/crowd.rs"]
mod crowd;
#[path = "clients/process.rs"]
mod process;
#[path = "../platform/tests/rig/mod.rs"]
mod rig;
#[path = "clients/target.rs"]
mod target;

use std::sync;

/// Held by the running test, since each needs the machine for itself.
static TURN: sync::Mutex<()> = sync::Mutex::new(());

fn run(dialect: target::Dialect, crowd: fn(target::Target)) {
    let _turn = TURN.lock().unwrap_or_else(sync::PoisonError::into_inner);
    crowd(target::Target::start(dialect));
}

macro_rules! tests {
    ($dialect:ident: $($name:ident)*) => {
        $(
            #[test]
            fn $name() {
                crate::run(crate::target::Dialect::$dialect, crate::crowd::$name);
            }
        )*
    };
}

mod line {
    tests!(Line: largest_legal_client large_messages messages_in_pieces unfinished_messages oversized_messages
        oversized_startups requests_sent_ahead unread_answers slow_senders slow_readers
        silent_connections unfinished_startups unfinished_headers unfinished_transactions
        connections_left sessions_over_the_limit prepared_names session_values);
}

mod postgres_protocol {
    tests!(Postgres: largest_legal_client large_messages messages_in_pieces unfinished_messages oversized_messages
        oversized_startups requests_sent_ahead unread_answers slow_senders slow_readers
        silent_connections unfinished_startups unfinished_handshakes unfinished_headers
        unfinished_transactions connections_left sessions_over_the_limit prepared_names
        session_values cancel_requests);
}

mod admin {
    tests!(Line: silent_operators unfinished_operators endless_headers unfinished_notes
        unread_metrics);
}

mod peers {
    tests!(Line: silent_peers unfinished_peer_messages oversized_peer_messages);
}
