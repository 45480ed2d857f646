//! Queues of requests that wait for a connection.
//!
//! The policy `fair` serves customers by deficit round robin, so the requests of a
//! customer that floods the queue wait behind each other and delay no other customer.
//! Urgent requests go before less urgent ones, within bounds that `fair` and `backlog`
//! state. The policy `fifo` serves requests in order of arrival and is the baseline.

use std::collections;

use config::Name;

use crate::{event, overload, plugin, time};

pub mod backlog;
pub mod fair;

/// A request that waits in a queue.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// Request.
    pub request: event::Request,
    /// When the request was queued.
    pub queued_at: time::Time,
    /// Time that gives the request its place among requests of the same priority.
    pub arrived_at: time::Time,
    /// Priority of the route; 0 is the most urgent.
    pub priority: u32,
    /// When the request is refused.
    pub deadline: time::Time,
}

/// Requests of one access kind (read or write) that wait for a group.
pub trait Queue: Send {
    /// Queues a request of the customer; returns the request if the queue is full.
    fn push(
        &mut self,
        customer: Option<Name>,
        weight: u32,
        item: WaitingRequest,
    ) -> Result<(), WaitingRequest>;
    /// Removes and returns the next request that `ready` accepts. `ready` may be called
    /// for other requests as well, and is called last for the returned one.
    fn pop(
        &mut self,
        now: time::Time,
        ready: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest>;
    /// Removes and returns all requests that `is_selected` accepts.
    fn extract_if(
        &mut self,
        is_selected: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest>;
    /// Requests that are served before a request of the customer, if it were queued; those
    /// of other customers count if `may_run` accepts the customer.
    fn ahead(
        &self,
        customer: &Option<Name>,
        weight: u32,
        item: &WaitingRequest,
        may_run: &dyn Fn(&Option<Name>) -> bool,
    ) -> overload::Ahead;
    /// Number of queued requests.
    fn len(&self) -> usize;
    /// Whether the queue is empty.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

inventory::submit! {
    plugin::Admission { name: "fair", build: |capacity| Box::new(fair::Fair::new(capacity)) }
}

inventory::submit! {
    plugin::Admission { name: "fifo", build: |capacity| Box::new(Fifo::new(capacity)) }
}

/// Serves requests in order of arrival, whichever customer sends them.
#[derive(Debug)]
pub struct Fifo {
    items: collections::VecDeque<WaitingRequest>,
    capacity: usize,
}

impl Fifo {
    /// Creates a queue that holds at most `capacity` requests.
    pub fn new(capacity: usize) -> Self {
        Self {
            items: collections::VecDeque::new(),
            capacity,
        }
    }
}

impl Queue for Fifo {
    fn push(
        &mut self,
        _customer: Option<Name>,
        _weight: u32,
        item: WaitingRequest,
    ) -> Result<(), WaitingRequest> {
        if self.items.len() >= self.capacity {
            return Err(item);
        }
        self.items.push_back(item);
        Ok(())
    }

    fn pop(
        &mut self,
        _now: time::Time,
        ready: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        let index = self.items.iter().position(ready)?;
        self.items.remove(index)
    }

    fn extract_if(
        &mut self,
        is_selected: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        extract_items(&mut self.items, is_selected)
    }

    fn ahead(
        &self,
        _customer: &Option<Name>,
        _weight: u32,
        _item: &WaitingRequest,
        _may_run: &dyn Fn(&Option<Name>) -> bool,
    ) -> overload::Ahead {
        overload::Ahead {
            total: self.items.len(),
            own: 0,
            gap: None,
        }
    }

    fn len(&self) -> usize {
        self.items.len()
    }
}

fn extract_items(
    items: &mut collections::VecDeque<WaitingRequest>,
    is_selected: &mut dyn FnMut(&WaitingRequest) -> bool,
) -> Vec<WaitingRequest> {
    let (extracted, keep): (Vec<_>, Vec<_>) = items.drain(..).partition(|item| is_selected(item));
    items.extend(keep);
    extracted
}
