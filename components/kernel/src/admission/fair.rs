//! Deficit round robin over customers; each request costs one unit of deficit.
//!
//! A customer with a more urgent request may take its turn before the customers that are
//! ahead of it in the rotation. Having taken it, the customer waits at the end of the
//! rotation until every customer that waited at that time has had its turn, also if its
//! queue was empty meanwhile. A customer at the front of the rotation is therefore passed
//! by at most one turn of each other customer. If all requests have the same priority,
//! none is passed.

use std::collections;

use config::Name;

use super::{Queue, WaitingRequest, backlog};
use crate::{overload, time};

#[derive(Clone, Debug, Default)]
struct CustomerQueue {
    backlog: backlog::Backlog,
    weight: u32,
    deficit: u32,
    /// Number that grows along the rotation.
    ticket: u64,
    /// Latest service since the queue was last empty.
    served_at: Option<time::Time>,
    /// Times between two services.
    gaps: overload::Average,
}

/// Place of a request in the rotation and in its customer's queue.
#[derive(Clone, Copy, Debug)]
struct Place {
    position: usize,
    index: usize,
    priority: u32,
}

/// Queue of the policy `fair`.
#[derive(Clone, Debug)]
pub struct Fair {
    queues: collections::BTreeMap<Option<Name>, CustomerQueue>,
    rotation: collections::VecDeque<Option<Name>>,
    /// Tickets below which customers must have had their turn before the customer of the
    /// entry may pass others again.
    barriers: collections::BTreeMap<Option<Name>, u64>,
    next_ticket: u64,
    capacity: usize,
    length: usize,
}

impl Fair {
    /// Creates a queue that holds at most `capacity` requests per customer.
    pub fn new(capacity: usize) -> Self {
        Self {
            queues: collections::BTreeMap::new(),
            rotation: collections::VecDeque::new(),
            barriers: collections::BTreeMap::new(),
            next_ticket: 0,
            capacity,
            length: 0,
        }
    }

    fn take_ticket(&mut self) -> u64 {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// First request in the order of the rotation that `ready` accepts.
    fn find_next(&self, ready: &mut dyn FnMut(&WaitingRequest) -> bool) -> Option<Place> {
        let places = self.rotation.iter().enumerate();
        places
            .filter_map(|(position, customer)| self.place(position, customer, None, ready))
            .next()
    }

    /// Most urgent request that may pass the request at `next`.
    fn find_urgent(
        &self,
        next: Place,
        ready: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Option<Place> {
        if next.priority == 0 {
            return None;
        }
        let ticket = self.queues.get(&self.rotation[next.position])?.ticket;
        let mut best: Option<Place> = None;
        for (position, customer) in self.rotation.iter().enumerate().skip(next.position + 1) {
            if self.barriers.get(customer).is_some_and(|b| *b > ticket) {
                continue;
            }
            let limit = best.map_or(next.priority, |best| best.priority);
            best = self.place(position, customer, Some(limit), ready).or(best);
        }
        best
    }

    fn place(
        &self,
        position: usize,
        customer: &Option<Name>,
        limit: Option<u32>,
        ready: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Option<Place> {
        let backlog = &self.queues.get(customer)?.backlog;
        let index = backlog.select(limit, ready)?;
        let priority = backlog.get(index)?.priority;
        Some(Place {
            position,
            index,
            priority,
        })
    }

    fn remove(&mut self, place: Place, now: time::Time) -> Option<WaitingRequest> {
        let queue = self.queues.get_mut(&self.rotation[place.position])?;
        let item = queue.backlog.remove(place.index)?;
        queue.deficit = queue.deficit.saturating_sub(1);
        if let Some(last) = queue.served_at.replace(now) {
            queue.gaps.record(now.since(last), now);
        }
        self.length -= 1;
        self.advance(place.position);
        Some(item)
    }

    /// Ends the service of a customer: removes its empty queue, or moves it to the
    /// end of the rotation once its deficit is used up.
    fn advance(&mut self, position: usize) {
        let Some(customer) = self.rotation.remove(position) else {
            return;
        };
        let ticket = self.take_ticket();
        let Some(queue) = self.queues.get_mut(&customer) else {
            return;
        };
        if queue.backlog.is_empty() {
            self.queues.remove(&customer);
            self.barriers.insert(customer, ticket);
        } else if queue.deficit == 0 {
            queue.deficit = queue.weight;
            queue.ticket = ticket;
            self.barriers.insert(customer.clone(), ticket);
            self.rotation.push_back(customer);
        } else {
            self.rotation.insert(position, customer);
        }
        self.drop_barriers();
    }

    /// Removes the barriers that no waiting customer is behind.
    fn drop_barriers(&mut self) {
        let front = self.rotation.front().and_then(|c| self.queues.get(c));
        let Some(ticket) = front.map(|queue| queue.ticket) else {
            return self.barriers.clear();
        };
        self.barriers.retain(|_, barrier| *barrier > ticket);
    }
}

impl Queue for Fair {
    fn push(
        &mut self,
        customer: Option<Name>,
        weight: u32,
        item: WaitingRequest,
    ) -> Result<(), WaitingRequest> {
        let ticket = self.take_ticket();
        let queue = self.queues.entry(customer.clone()).or_default();
        if queue.backlog.len() >= self.capacity {
            return Err(item);
        }
        if queue.backlog.is_empty() {
            queue.deficit = weight;
            queue.ticket = ticket;
            self.rotation.push_back(customer);
        }
        queue.weight = weight;
        queue.backlog.push(item);
        self.length += 1;
        Ok(())
    }

    fn pop(
        &mut self,
        now: time::Time,
        ready: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Option<WaitingRequest> {
        let next = self.find_next(ready)?;
        let Some(urgent) = self.find_urgent(next, ready) else {
            // The search for a more urgent request may have called `ready` since.
            let queue = self.queues.get(&self.rotation[next.position])?;
            queue.backlog.get(next.index).map(ready);
            return self.remove(next, now);
        };
        let queue = self.queues.get(&self.rotation[urgent.position])?;
        queue.backlog.get(urgent.index).map(ready);
        self.remove(urgent, now)
    }

    fn extract_if(
        &mut self,
        is_selected: &mut dyn FnMut(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let mut extracted = Vec::new();
        for queue in self.queues.values_mut() {
            extracted.extend(queue.backlog.extract_if(is_selected));
        }
        self.length -= extracted.len();
        let queues = &mut self.queues;
        self.rotation
            .retain(|c| queues.get(c).is_some_and(|q| !q.backlog.is_empty()));
        queues.retain(|_, queue| !queue.backlog.is_empty());
        self.drop_barriers();
        extracted
    }

    fn ahead(
        &self,
        customer: &Option<Name>,
        weight: u32,
        item: &WaitingRequest,
        may_run: &dyn Fn(&Option<Name>) -> bool,
    ) -> overload::Ahead {
        let own = self.queues.get(customer);
        let before = own.map_or(0, |queue| queue.backlog.count_before(item));
        let weight = usize::try_from(weight.max(1)).unwrap_or(usize::MAX);
        let deficit = own.map_or(weight, |queue| queue.deficit.max(1) as usize);
        // Turns of the customer that end before the request's own turn.
        let turns = if before < deficit {
            0
        } else {
            (before - deficit) / weight + 1
        };
        let position = self.rotation.iter().position(|other| other == customer);
        let position = position.unwrap_or(self.rotation.len());
        let mut total = before;
        for (index, other) in self.rotation.iter().enumerate() {
            let Some(queue) = self.queues.get(other).filter(|_| index != position) else {
                continue;
            };
            if !may_run(other) {
                continue;
            }
            let is_passed = queue.backlog.priority().is_none_or(|p| p > item.priority);
            let turns = turns + usize::from(index < position && !is_passed);
            let turn = queue.weight.max(1) as usize;
            total += queue.backlog.len().min(turns.saturating_mul(turn));
        }
        overload::Ahead {
            total,
            own: before,
            gap: own.and_then(|queue| queue.gaps.get(item.queued_at)),
        }
    }

    fn len(&self) -> usize {
        self.length
    }
}
