//! The clock of a daemon.
//!
//! The clock includes the time for which the VM was suspended. So whatever a
//! daemon holds for a limited time has expired when its VM resumes.

use std::time as std_time;

use kernel::time;

/// Monotonic clock that starts with the daemon.
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
    /// Starts a clock one second after its origin, so that time 0 can stand for
    /// "never".
    pub fn start() -> Self {
        let offset = std_time::Duration::from_secs(1);
        Self {
            origin: boot_time().saturating_sub(offset),
        }
    }

    /// Current time.
    pub fn now(&self) -> time::Time {
        let micros = boot_time().saturating_sub(self.origin).as_micros();
        time::Time(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}
