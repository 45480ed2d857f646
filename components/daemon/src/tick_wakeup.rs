//! Wakeup of the thread that sends ticks to the kernel.

use std::sync;

use crate::locks;

/// Condition on which the tick thread waits while the kernel needs no tick soon.
#[derive(Debug, Default)]
pub struct Wakeup {
    needed: sync::Mutex<bool>,
    changed: sync::Condvar,
}

impl Wakeup {
    /// Sets whether the kernel needs the next tick soon, and wakes the tick thread
    /// if it does.
    pub fn set_needed(&self, needed: bool) {
        let mut guard = locks::lock(&self.needed);
        if needed && !*guard {
            self.changed.notify_one();
        }
        *guard = needed;
    }

    /// Waits until a tick is needed soon, or until the limit has passed.
    pub fn wait(&self, limit: std::time::Duration) {
        let guard = locks::lock(&self.needed);
        let _ = self
            .changed
            .wait_timeout_while(guard, limit, |needed| !*needed);
    }
}
