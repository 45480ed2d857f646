//! When an answer of the store was true.
//!
//! A read proves the state at its sending, but a read that waits for changes
//! returns long after that. The store tells its own steady clock with each
//! answer. Every exchange bounds how far that clock is ahead: it was read after
//! the sending and before the receipt. With these bounds the time of an answer
//! on the store's clock gives a later proof than its sending.

use std::time as std_time;

use crate::time;

/// Bounds of the store's clock against this daemon's, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct OffsetBounds {
    bounds: Option<(i128, i128)>,
}

impl OffsetBounds {
    /// Time for which an answer proves the state: its own, as far as is known,
    /// and at least that of the sending.
    pub fn proof_time(
        &mut self,
        sent: time::Time,
        received: time::Time,
        clock: Option<std_time::Duration>,
    ) -> time::Time {
        let Some(clock) = clock else {
            return sent;
        };
        let clock = i128::try_from(clock.as_micros()).unwrap_or(i128::MAX);
        let low = clock - i128::from(received.0);
        // The clock is told in whole milliseconds.
        let high = clock + CLOCK_UNIT - i128::from(sent.0);
        let bounds = match self.bounds {
            Some((l, h)) if l.max(low) <= h.min(high) => (l.max(low), h.min(high)),
            // One of the clocks has jumped.
            _ => (low, high),
        };
        self.bounds = Some(bounds);
        let proved = u64::try_from(clock - bounds.1).unwrap_or(0);
        time::Time(proved.clamp(sent.0, received.0.max(sent.0)))
    }
}

/// Unit in which the store tells its clock, in microseconds.
const CLOCK_UNIT: i128 = 1_000;
