//! What is on its way in a world of kernels, by the time of its arrival.

use std::{collections, time as std_time};

use kernel::time;

/// Parcels in the order of their arrival; of equal ones the first sent goes first.
pub struct Queue<T> {
    entries: collections::BTreeMap<(time::Time, u64), T>,
    last_sequence: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            entries: collections::BTreeMap::new(),
            last_sequence: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Sends a item that arrives after the delay.
    pub fn push(&mut self, now: time::Time, delay: std_time::Duration, item: T) {
        self.last_sequence += 1;
        self.entries.insert((now + delay, self.last_sequence), item);
    }

    /// Next item that has pop_due.
    pub fn pop_due(&mut self, now: time::Time) -> Option<T> {
        let entry = self.entries.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}
