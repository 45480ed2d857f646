//! Acceptance of connections while descriptors are scarce.

use std::{cell, io};

#[test]
fn a_listener_without_free_descriptors_pauses_and_goes_on() {
    let failure = || Err(io::Error::from_raw_os_error(24));
    let incoming = [Ok(1), failure(), failure(), Ok(2), failure(), Ok(3), Ok(4)];
    let pauses = cell::Cell::new(0);
    let mut accepted = Vec::new();
    daemon::accept::each_with_pause(
        incoming.into_iter(),
        |connection| {
            accepted.push(connection);
            connection < 3
        },
        || pauses.set(pauses.get() + 1),
    );
    assert_eq!(accepted, [1, 2, 3]);
    assert_eq!(pauses.get(), 3);
}
