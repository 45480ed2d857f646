//! Which customers have an idle connection to which instance.
//!
//! A connection serves the customer that it was opened for, and a new one costs
//! the instance time. The driver keeps connections by fixed rules, which are
//! followed here, so that a read can go where a connection waits for it.

use std::collections;

use config::Name;

use crate::budget;

/// Idle connections by instance, the oldest first.
#[derive(Debug, Default)]
pub struct Warm {
    idle: collections::HashMap<Name, collections::VecDeque<Option<Name>>>,
}

impl Warm {
    /// Whether an idle connection waits for the customer.
    pub fn has(&self, instance: &Name, customer: &Option<Name>) -> bool {
        let idle = self.idle.get(instance);
        idle.is_some_and(|idle| idle.contains(customer))
    }

    /// A request of the customer takes a connection; `busy` counts it already.
    pub fn take(
        &mut self,
        instance: &Name,
        customer: &Option<Name>,
        busy: u32,
        room: budget::ConnectionLimits,
    ) {
        let Some(idle) = self.idle.get_mut(instance) else {
            return;
        };
        if let Some(index) = idle.iter().rposition(|name| name == customer) {
            idle.remove(index);
        } else if size(idle) + u64::from(busy) > u64::from(room.max_open) {
            idle.pop_front();
        }
    }

    /// A request gives its connection back; `busy` does not count it any more.
    pub fn put(
        &mut self,
        instance: &Name,
        customer: Option<Name>,
        busy: u32,
        room: budget::ConnectionLimits,
    ) {
        let idle = self.idle.entry(instance.clone()).or_default();
        let fits = size(idle) + u64::from(busy) < u64::from(room.max_open);
        if fits && size(idle) < u64::from(room.max_idle) {
            idle.push_back(customer);
        }
    }

    /// The number of connections to an instance has new limits.
    pub fn resize(&mut self, instance: &Name, busy: u32, room: budget::ConnectionLimits) {
        if let Some(idle) = self.idle.get_mut(instance) {
            let kept = room.max_open.saturating_sub(busy).min(room.max_idle);
            idle.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        }
    }

    /// All idle connections to an instance are closed.
    pub fn clear(&mut self, instance: &Name) {
        self.idle.remove(instance);
    }
}

fn size(idle: &collections::VecDeque<Option<Name>>) -> u64 {
    u64::try_from(idle.len()).unwrap_or(u64::MAX)
}
