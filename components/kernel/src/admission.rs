//! Order of requests that wait for a connection.
//!
//! `fair` serves customers by deficit round robin, so a customer that floods
//! its own queue waits behind itself. `fifo` serves in order of arrival and
//! stands as the baseline.

use std::collections;

use config::Name;

use crate::{event, plugin, time};

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub struct WaitingRequest {
    /// Request.
    pub request: event::Request,
    /// When it began to wait.
    pub queued_at: time::Time,
    /// When it is refused.
    pub deadline: time::Time,
}

/// Requests that wait for one kind of access to a group.
pub trait Queue: Send {
    /// Adds a request of the customer; gives it back if the bound is reached.
    fn push(
        &mut self,
        customer: Option<Name>,
        weight: u32,
        item: WaitingRequest,
    ) -> Result<(), WaitingRequest>;
    /// Takes the next request that `ready` accepts.
    fn pop(&mut self, ready: &mut dyn FnMut(&WaitingRequest) -> bool) -> Option<WaitingRequest>;
    /// Takes out every request that `gone` selects.
    fn extract_if(&mut self, gone: &mut dyn FnMut(&WaitingRequest) -> bool) -> Vec<WaitingRequest>;
    /// Number of waiting requests.
    fn len(&self) -> usize;
    /// Whether nothing waits.
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

inventory::submit! {
    plugin::Admission { name: "fair", build: |bound| Box::new(Fair::new(bound)) }
}

inventory::submit! {
    plugin::Admission { name: "fifo", build: |bound| Box::new(Fifo::new(bound)) }
}

#[derive(Debug, Default)]
struct Lane {
    items: collections::VecDeque<WaitingRequest>,
    weight: u32,
    deficit: u32,
}

/// Deficit round robin over customers; every request costs one.
#[derive(Debug)]
pub struct Fair {
    lanes: collections::BTreeMap<Option<Name>, Lane>,
    order: collections::VecDeque<Option<Name>>,
    bound: usize,
    count: usize,
}

impl Fair {
    /// A queue with at most `bound` requests a customer.
    pub fn new(bound: usize) -> Self {
        Self {
            lanes: collections::BTreeMap::new(),
            order: collections::VecDeque::new(),
            bound,
            count: 0,
        }
    }

    fn take(&mut self, customer: &Option<Name>, index: usize) -> Option<WaitingRequest> {
        let lane = self.lanes.get_mut(customer)?;
        let item = lane.items.remove(index)?;
        lane.deficit = lane.deficit.saturating_sub(1);
        self.count -= 1;
        Some(item)
    }

    /// Moves the lane behind the others once its turn is over.
    fn rotate(&mut self, position: usize) {
        let Some(customer) = self.order.remove(position) else {
            return;
        };
        let Some(lane) = self.lanes.get_mut(&customer) else {
            return;
        };
        if lane.items.is_empty() {
            self.lanes.remove(&customer);
            return;
        }
        if lane.deficit == 0 {
            lane.deficit = lane.weight;
            self.order.push_back(customer);
        } else {
            self.order.insert(position, customer);
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
        let lane = self.lanes.entry(customer.clone()).or_default();
        if lane.items.len() >= self.bound {
            return Err(item);
        }
        if lane.items.is_empty() {
            lane.deficit = weight;
            self.order.push_back(customer);
        }
        lane.weight = weight;
        lane.items.push_back(item);
        self.count += 1;
        Ok(())
    }

    fn pop(&mut self, ready: &mut dyn FnMut(&WaitingRequest) -> bool) -> Option<WaitingRequest> {
        for position in 0..self.order.len() {
            let customer = self.order[position].clone();
            let lane = self.lanes.get(&customer)?;
            let Some(index) = lane.items.iter().position(&mut *ready) else {
                continue;
            };
            let item = self.take(&customer, index);
            self.rotate(position);
            return item;
        }
        None
    }

    fn extract_if(&mut self, gone: &mut dyn FnMut(&WaitingRequest) -> bool) -> Vec<WaitingRequest> {
        let mut out = Vec::new();
        for lane in self.lanes.values_mut() {
            out.extend(extract(&mut lane.items, gone));
        }
        self.count -= out.len();
        let lanes = &mut self.lanes;
        self.order
            .retain(|c| lanes.get(c).is_some_and(|l| !l.items.is_empty()));
        lanes.retain(|_, lane| !lane.items.is_empty());
        out
    }

    fn len(&self) -> usize {
        self.count
    }
}

/// Order of arrival, whoever asks.
#[derive(Debug)]
pub struct Fifo {
    items: collections::VecDeque<WaitingRequest>,
    bound: usize,
}

impl Fifo {
    /// A queue with at most `bound` requests.
    pub fn new(bound: usize) -> Self {
        Self {
            items: collections::VecDeque::new(),
            bound,
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
        if self.items.len() >= self.bound {
            return Err(item);
        }
        self.items.push_back(item);
        Ok(())
    }

    fn pop(&mut self, ready: &mut dyn FnMut(&WaitingRequest) -> bool) -> Option<WaitingRequest> {
        let index = self.items.iter().position(ready)?;
        self.items.remove(index)
    }

    fn extract_if(&mut self, gone: &mut dyn FnMut(&WaitingRequest) -> bool) -> Vec<WaitingRequest> {
        extract(&mut self.items, gone)
    }

    fn len(&self) -> usize {
        self.items.len()
    }
}

fn extract(
    items: &mut collections::VecDeque<WaitingRequest>,
    gone: &mut dyn FnMut(&WaitingRequest) -> bool,
) -> Vec<WaitingRequest> {
    let (out, keep): (Vec<_>, Vec<_>) = items.drain(..).partition(|item| gone(item));
    items.extend(keep);
    out
}
