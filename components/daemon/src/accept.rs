//! Acceptance of connections.

use std::{io, thread, time};

/// Pause after a failure, for example when no descriptor is free: the next attempt
/// would fail at once.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Passes accepted connections on until `accept` returns false. A failure is logged
/// and followed by a pause.
pub fn each<T>(incoming: impl Iterator<Item = io::Result<T>>, accept: impl FnMut(T) -> bool) {
    each_with_pause(incoming, accept, || thread::sleep(FAILURE_PAUSE));
}

/// [`each`] with the pause given.
pub fn each_with_pause<T>(
    incoming: impl Iterator<Item = io::Result<T>>,
    mut accept: impl FnMut(T) -> bool,
    mut pause: impl FnMut(),
) {
    let mut failures = 0_u64;
    for connection in incoming {
        match connection {
            Ok(connection) => {
                if failures > 0 {
                    log::info!(failures; "connections are accepted again");
                }
                failures = 0;
                if !accept(connection) {
                    return;
                }
            }
            Err(error) => {
                failures += 1;
                if failures == 1 {
                    log::warn!("cannot accept connections: {error}");
                }
                pause();
            }
        }
    }
}
