//! The monotonic clock of a daemon.

use std::time as std_time;

use kernel::time;

/// Time since the daemon's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: std_time::Instant,
}

impl Clock {
    /// A clock that starts now, one second after its origin, so that the
    /// origin itself stands for "never".
    pub fn start() -> Self {
        let origin = std_time::Instant::now();
        let lead = std_time::Duration::from_secs(1);
        Self {
            origin: origin.checked_sub(lead).unwrap_or(origin),
        }
    }

    /// Now.
    pub fn now(&self) -> time::Time {
        let micros = self.origin.elapsed().as_micros();
        time::Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
