//! Waiting requests of one customer, by priority and arrival.
//!
//! The most urgent request is served first, and among requests of the same priority the
//! one that arrived first. The requests that a later, more urgent one has passed are not
//! postponed for ever: after `MAX_PASSES` such passes in a row, the request that arrived
//! first is served. A request behind `n` older ones is therefore served within
//! `(MAX_PASSES + 1) * (n + 1)` services of the customer.

use std::collections;

use super::WaitingRequest;

/// Consecutive services in which a request may be passed by more urgent ones.
pub const MAX_PASSES: u32 = 3;

/// Waiting requests of one customer, in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct Backlog {
    items: collections::VecDeque<WaitingRequest>,
    passes: u32,
}

impl Backlog {
    /// Adds a request behind those that arrived before it.
    pub fn push(&mut self, item: WaitingRequest) {
        let is_older = |other: &WaitingRequest| other.arrived_at <= item.arrived_at;
        let index = self.items.iter().rposition(is_older).map_or(0, |i| i + 1);
        self.items.insert(index, item);
    }

    /// Index of the next request that `ready` accepts; with a limit, only if that request
    /// is more urgent than the limit.
    pub fn select(
        &self,
        limit: Option<u32>,
        ready: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Option<usize> {
        let is_urgent = |priority: u32| limit.is_none_or(|limit| priority < limit);
        if self.passes >= MAX_PASSES {
            let index = self.items.iter().position(ready)?;
            return is_urgent(self.items[index].priority).then_some(index);
        }
        let mut passed = None;
        loop {
            let priorities = self.items.iter().map(|item| item.priority);
            let priority = priorities.filter(|p| passed.is_none_or(|passed| *p > passed));
            let priority = priority.min().filter(|priority| is_urgent(*priority))?;
            let mut is_next = |item: &WaitingRequest| item.priority == priority && ready(item);
            if let Some(index) = self.items.iter().position(&mut is_next) {
                return Some(index);
            }
            passed = Some(priority);
        }
    }

    /// Request at an index.
    pub fn get(&self, index: usize) -> Option<&WaitingRequest> {
        self.items.get(index)
    }

    /// Removes the request at an index that `select` returned.
    pub fn remove(&mut self, index: usize) -> Option<WaitingRequest> {
        let item = self.items.remove(index)?;
        let mut older = self.items.iter().take(index);
        let is_pass = older.any(|other| other.priority > item.priority);
        self.passes = if is_pass && self.passes < MAX_PASSES {
            self.passes + 1
        } else {
            0
        };
        Some(item)
    }

    /// Removes and returns all requests that `is_selected` accepts.
    pub fn extract_if(
        &mut self,
        is_selected: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        super::extract_items(&mut self.items, is_selected)
    }

    /// Lower bound on the number of requests that are served before the given one.
    pub fn count_before(&self, item: &WaitingRequest) -> usize {
        let is_older = |other: &&WaitingRequest| other.arrived_at <= item.arrived_at;
        let is_before = |other: &&WaitingRequest| {
            other.priority < item.priority || other.priority == item.priority && is_older(other)
        };
        let before = self.items.iter().filter(is_before).count();
        let older = self.items.iter().filter(is_older).count();
        let turn = MAX_PASSES as usize + 1;
        before.min(turn * older + turn - 1)
    }

    /// Highest urgency among the requests.
    pub fn priority(&self) -> Option<u32> {
        self.items.iter().map(|item| item.priority).min()
    }

    /// Number of requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
