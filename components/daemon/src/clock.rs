//! The clock of a daemon.
//!
//! It counts the time for which a VM was suspended, so that what a daemon holds
//! for a limited time has ended when it wakes.

use std::time as std_time;

use kernel::time;

/// Time since the daemon's start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: std_time::Duration,
}

fn boot_time() -> std_time::Duration {
    let now = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(now.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(now.tv_nsec).unwrap_or(0);
    std_time::Duration::new(seconds, nanos)
}

impl Clock {
    /// A clock that starts now, one second after its origin, so that the
    /// origin itself stands for "never".
    pub fn start() -> Self {
        let offset = std_time::Duration::from_secs(1);
        Self {
            origin: boot_time().saturating_sub(offset),
        }
    }

    /// Now.
    pub fn now(&self) -> time::Time {
        let micros = boot_time().saturating_sub(self.origin).as_micros();
        time::Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
