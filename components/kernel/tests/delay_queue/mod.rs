//! Queue of items that become due at a virtual time, such as messages in transit
//! in a simulated fleet.

use std::{collections, time as std_time};

use kernel::time;

/// Items by due time; items due at the same time are in order of insertion.
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
    /// Adds an item that becomes due after the delay.
    pub fn push(&mut self, now: time::Time, delay: std_time::Duration, item: T) {
        self.last_sequence += 1;
        self.entries.insert((now + delay, self.last_sequence), item);
    }

    /// Removes the items that do not meet a condition.
    #[allow(dead_code)]
    pub fn retain(&mut self, mut is_kept: impl FnMut(&T) -> bool) {
        self.entries.retain(|_, item| is_kept(item));
    }

    /// Removes and returns the first item that is due.
    pub fn pop_due(&mut self, now: time::Time) -> Option<T> {
        let entry = self.entries.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}
