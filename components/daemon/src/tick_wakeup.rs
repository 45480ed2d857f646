//! When the thread of the ticks rests.

use std::sync;

use crate::locks;

/// Lets the thread of the ticks rest while nothing waits for one.
#[derive(Debug, Default)]
pub struct Wakeup {
    needed: sync::Mutex<bool>,
    changed: sync::Condvar,
}

impl Wakeup {
    /// Notes whether something waits.
    pub fn set_needed(&self, needed: bool) {
        let mut guard = locks::lock(&self.needed);
        if needed && !*guard {
            self.changed.notify_one();
        }
        *guard = needed;
    }

    /// Waits until something waits, or the time is over.
    pub fn wait(&self, limit: std::time::Duration) {
        let guard = locks::lock(&self.needed);
        let _ = self
            .changed
            .wait_timeout_while(guard, limit, |needed| !*needed);
    }
}
