//! Idle connections to instances, by customer.
//!
//! A connection serves only the customer for which it was opened, and opening one
//! costs the instance time. The driver keeps and closes idle connections by fixed
//! rules. This module applies the same rules, so that a read can go to an instance
//! with an idle connection for its customer.

use std::collections;

use config::Name;

use crate::budget;

/// Idle connections by instance, the oldest first.
#[derive(Debug, Default)]
pub struct Connections {
    idle: collections::HashMap<Name, collections::VecDeque<Option<Name>>>,
}

impl Connections {
    /// Whether the instance has an idle connection for the customer.
    pub fn has(&self, instance: &Name, customer: &Option<Name>) -> bool {
        let idle = self.idle.get(instance);
        idle.is_some_and(|idle| idle.contains(customer))
    }

    /// Records that a request of the customer takes a connection; `busy` already
    /// counts that connection.
    pub fn take(
        &mut self,
        instance: &Name,
        customer: &Option<Name>,
        busy: u32,
        limits: budget::ConnectionLimits,
    ) {
        let Some(idle) = self.idle.get_mut(instance) else {
            return;
        };
        if let Some(index) = idle.iter().rposition(|name| name == customer) {
            idle.remove(index);
        } else if count(idle) + u64::from(busy) > u64::from(limits.max_open) {
            idle.pop_front();
        }
    }

    /// Records that a request returns its connection; `busy` no longer counts that
    /// connection.
    pub fn put(
        &mut self,
        instance: &Name,
        customer: Option<Name>,
        busy: u32,
        limits: budget::ConnectionLimits,
    ) {
        let idle = self.idle.entry(instance.clone()).or_default();
        let fits = count(idle) + u64::from(busy) < u64::from(limits.max_open);
        if fits && count(idle) < u64::from(limits.max_idle) {
            idle.push_back(customer);
        }
    }

    /// Applies new limits on the connections to an instance.
    pub fn resize(&mut self, instance: &Name, busy: u32, limits: budget::ConnectionLimits) {
        if let Some(idle) = self.idle.get_mut(instance) {
            let kept = limits.max_open.saturating_sub(busy).min(limits.max_idle);
            idle.truncate(usize::try_from(kept).unwrap_or(usize::MAX));
        }
    }

    /// Records that all idle connections to an instance are closed.
    pub fn clear(&mut self, instance: &Name) {
        self.idle.remove(instance);
    }
}

fn count(idle: &collections::VecDeque<Option<Name>>) -> u64 {
    u64::try_from(idle.len()).unwrap_or(u64::MAX)
}
