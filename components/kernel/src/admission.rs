//! Queues of requests that wait for a connection.
//!
//! The policy `fair` serves customers by deficit round robin, so the requests of a
//! customer that floods the queue wait behind each other and delay no other customer.
//! The policy `fifo` serves requests in order of arrival and is the baseline.

use std::collections;

use config::Name;

use crate::{event, plugin, time};

/// A request that waits in a queue.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// Request.
    pub request: event::Request,
    /// When the request was queued.
    pub queued_at: time::Time,
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
    /// Removes and returns the next request that `ready` accepts.
    fn pop(&mut self, ready: &mut dyn FnMut(&WaitingRequest) -> bool) -> Option<WaitingRequest>;
    /// Removes and returns all requests that `is_selected` accepts.
    fn extract_if(
        &mut self,
        is_selected: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest>;
    /// Number of queued requests.
    fn len(&self) -> usize;
    /// Whether the queue is empty.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

inventory::submit! {
    plugin::Admission { name: "fair", build: |capacity| Box::new(Fair::new(capacity)) }
}

inventory::submit! {
    plugin::Admission { name: "fifo", build: |capacity| Box::new(Fifo::new(capacity)) }
}

#[derive(Debug, Default)]
struct CustomerQueue {
    items: collections::VecDeque<WaitingRequest>,
    weight: u32,
    deficit: u32,
}

/// Deficit round robin over customers; each request costs one unit of deficit.
#[derive(Debug)]
pub struct Fair {
    queues: collections::BTreeMap<Option<Name>, CustomerQueue>,
    rotation: collections::VecDeque<Option<Name>>,
    capacity: usize,
    length: usize,
}

impl Fair {
    /// Creates a queue that holds at most `capacity` requests per customer.
    pub fn new(capacity: usize) -> Self {
        Self {
            queues: collections::BTreeMap::new(),
            rotation: collections::VecDeque::new(),
            capacity,
            length: 0,
        }
    }

    fn remove(&mut self, customer: &Option<Name>, index: usize) -> Option<WaitingRequest> {
        let queue = self.queues.get_mut(customer)?;
        let item = queue.items.remove(index)?;
        queue.deficit = queue.deficit.saturating_sub(1);
        self.length -= 1;
        Some(item)
    }

    /// Ends the service of a customer: removes its empty queue, or moves it to the
    /// end of the rotation once its deficit is used up.
    fn advance(&mut self, position: usize) {
        let Some(customer) = self.rotation.remove(position) else {
            return;
        };
        let Some(queue) = self.queues.get_mut(&customer) else {
            return;
        };
        if queue.items.is_empty() {
            self.queues.remove(&customer);
            return;
        }
        if queue.deficit == 0 {
            queue.deficit = queue.weight;
            self.rotation.push_back(customer);
        } else {
            self.rotation.insert(position, customer);
        }
    }
}

impl Queue for Fair {
    fn push(
        &mut self,
        customer: Option<Name>,
        weight: u32,
        item: WaitingRequest,
    ) -> Result<(), WaitingRequest> {
        let queue = self.queues.entry(customer.clone()).or_default();
        if queue.items.len() >= self.capacity {
            return Err(item);
        }
        if queue.items.is_empty() {
            queue.deficit = weight;
            self.rotation.push_back(customer);
        }
        queue.weight = weight;
        queue.items.push_back(item);
        self.length += 1;
        Ok(())
    }

    fn pop(&mut self, ready: &mut dyn FnMut(&WaitingRequest) -> bool) -> Option<WaitingRequest> {
        for position in 0..self.rotation.len() {
            let customer = self.rotation[position].clone();
            let queue = self.queues.get(&customer)?;
            let Some(index) = queue.items.iter().position(&mut *ready) else {
                continue;
            };
            let item = self.remove(&customer, index);
            self.advance(position);
            return item;
        }
        None
    }

    fn extract_if(
        &mut self,
        is_selected: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let mut extracted = Vec::new();
        for queue in self.queues.values_mut() {
            extracted.extend(extract_items(&mut queue.items, is_selected));
        }
        self.length -= extracted.len();
        let queues = &mut self.queues;
        self.rotation
            .retain(|c| queues.get(c).is_some_and(|q| !q.items.is_empty()));
        queues.retain(|_, queue| !queue.items.is_empty());
        extracted
    }

    fn len(&self) -> usize {
        self.length
    }
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

    fn pop(&mut self, ready: &mut dyn FnMut(&WaitingRequest) -> bool) -> Option<WaitingRequest> {
        let index = self.items.iter().position(ready)?;
        self.items.remove(index)
    }

    fn extract_if(
        &mut self,
        is_selected: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        extract_items(&mut self.items, is_selected)
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
