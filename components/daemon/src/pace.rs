//! When the thread of the ticks rests.

use std::sync;

use crate::locks;

/// Lets the thread of the ticks rest while nothing waits for one.
#[derive(Debug, Default)]
pub struct Pace {
    pressed: sync::Mutex<bool>,
    changed: sync::Condvar,
}

impl Pace {
    /// Notes whether something waits.
    pub fn set(&self, pressed: bool) {
        let mut own = locks::lock(&self.pressed);
        if pressed && !*own {
            self.changed.notify_one();
        }
        *own = pressed;
    }

    /// Waits until something waits, or the time is over.
    pub fn rest(&self, limit: std::time::Duration) {
        let own = locks::lock(&self.pressed);
        let _ = self
            .changed
            .wait_timeout_while(own, limit, |pressed| !*pressed);
    }
}
