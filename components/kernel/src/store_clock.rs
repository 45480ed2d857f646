//! Bounds on the offset between the store's clock and this daemon's clock.
//!
//! An answer to a read proves the state of the store at the time the read was
//! sent. A read that waits for changes returns long after that, so its sending
//! time understates how recent the answer is. The store reports its monotonic
//! clock with each answer. It reads that clock after the daemon sends the read
//! and before the daemon receives the answer, so each exchange bounds the
//! offset between the two clocks. With these bounds the store's clock value
//! converts to a local time that is later than the sending time and still
//! proves the state.

use std::time as std_time;

use crate::time;

/// Lower and upper bound of the store's clock minus this daemon's clock, in
/// microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct OffsetBounds {
    bounds: Option<(i128, i128)>,
}

impl OffsetBounds {
    /// Latest local time at which the answer is known to have been true; never
    /// earlier than `sent`.
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
        // The store reports its clock in whole milliseconds.
        let high = clock + CLOCK_UNIT_US - i128::from(sent.0);
        let bounds = match self.bounds {
            Some((l, h)) if l.max(low) <= h.min(high) => (l.max(low), h.min(high)),
            // The bounds contradict the earlier ones, so one of the clocks has
            // jumped.
            _ => (low, high),
        };
        self.bounds = Some(bounds);
        let proved = u64::try_from(clock - bounds.1).unwrap_or(0);
        time::Time(proved.clamp(sent.0, received.0.max(sent.0)))
    }
}

/// Resolution of the clock that the store reports, in microseconds.
const CLOCK_UNIT_US: i128 = 1_000;
