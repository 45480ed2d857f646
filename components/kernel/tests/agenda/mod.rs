//! What is on its way in a world of kernels, by the time of its arrival.

use std::{collections, time as std_time};

use kernel::time;

/// Parcels in the order of their arrival; of equal ones the first sent goes first.
pub struct Agenda<P> {
    queue: collections::BTreeMap<(time::Time, u64), P>,
    sequence: u64,
}

impl<P> Default for Agenda<P> {
    fn default() -> Self {
        Self {
            queue: collections::BTreeMap::new(),
            sequence: 0,
        }
    }
}

impl<P> Agenda<P> {
    /// Sends a parcel that arrives after the delay.
    pub fn post(&mut self, now: time::Time, delay: std_time::Duration, parcel: P) {
        self.sequence += 1;
        self.queue.insert((now + delay, self.sequence), parcel);
    }

    /// Next parcel that has arrived.
    pub fn arrived(&mut self, now: time::Time) -> Option<P> {
        let entry = self.queue.first_entry()?;
        (entry.key().0 <= now).then(|| entry.remove())
    }
}
