//! Sessions and their requests, as the drivers of the kernels run them.

use kernel::{event, position, time};

use super::{AGE, CONNECT_TIMEOUT, KEY, Parcel, World, index};

impl World {
    /// Opens a session on a route.
    pub fn session(&mut self, vm: usize, route: &str) -> event::SessionId {
        self.next += 1;
        let id = event::SessionId(self.next);
        let opening = event::SessionRequest {
            session: id,
            digest: (route == "keyed").then(|| config::KeyDigest::of(KEY.as_bytes())),
            route: route.into(),
            token: None,
        };
        self.drive(vm, event::Event::SessionRequested(opening));
        id
    }

    /// Sends a request.
    pub fn request(&mut self, vm: usize, session: event::SessionId, write: bool) {
        self.next += 1;
        let id = event::RequestId(session.0 << 24 | self.next);
        self.requests.insert(id, (vm, write));
        self.asked.insert(id, self.now);
        self.ask(vm, id, false);
    }

    pub(super) fn ask(&mut self, vm: usize, id: event::RequestId, retry: bool) {
        let (_, write) = self.requests[&id];
        let access = if write {
            event::Access::Write
        } else {
            event::Access::Read
        };
        let request = event::Request {
            id,
            session: event::SessionId(id.0 >> 24),
            access,
            retry,
        };
        self.drive(vm, event::Event::ConnectionRequested(request));
    }

    pub(super) fn unsent(&mut self, vm: usize, id: event::RequestId) {
        self.drive(
            vm,
            event::Event::ConnectionReleased(id, event::RequestOutcome::Unsent),
        );
        self.ask(vm, id, true);
    }

    pub(super) fn execute(&mut self, vm: usize, id: event::RequestId, grant: &event::Grant) {
        let instance = index(&grant.instance);
        if self.instances[instance].silent {
            return self.post(CONNECT_TIMEOUT, Parcel::Unsent(vm, id));
        }
        if !self.reaches(vm, instance) {
            return self.unsent(vm, id);
        }
        let full = self.connected[instance] >= self.connections;
        if full || self.instances[instance].crowded {
            self.turned_away += 1;
            self.drive(
                vm,
                event::Event::ConnectionReleased(id, event::RequestOutcome::TooManyConnections),
            );
            return self.ask(vm, id, true);
        }
        self.connected[instance] += 1;
        if self.work.is_zero() {
            return self.finish(vm, id, grant);
        }
        self.post(self.work, Parcel::Done(vm, id, grant.clone()));
    }

    /// The instance answers, and the connection is closed.
    pub(super) fn finish(&mut self, vm: usize, id: event::RequestId, grant: &event::Grant) {
        let instance = index(&grant.instance);
        let (_, write) = self.requests[&id];
        self.connected[instance] -= 1;
        let status = self.status(instance);
        if write && status.role == position::Role::Replica {
            self.drive(
                vm,
                event::Event::ConnectionReleased(id, event::RequestOutcome::ReadOnly),
            );
            return self.ask(vm, id, true);
        }
        if let Some(floor) = grant.floor.filter(|f| f.lsn.0 > status.replayed.0) {
            let behind = event::RequestOutcome::BehindFloor(floor);
            self.drive(vm, event::Event::ConnectionReleased(id, behind));
            return self.ask(vm, id, true);
        }
        if write {
            self.instances[instance].received += 1;
        } else {
            self.check_age(status.replayed.0);
        }
        let status = self.status(instance);
        let sent = self.now;
        let observed = event::Observation {
            instance: grant.instance.clone(),
            sent,
            applied: position::Position {
                term: status.term,
                lsn: status.replayed,
            },
        };
        self.drive(vm, event::Event::PositionObserved(observed));
        let acknowledged = self.acknowledged.len();
        let outcome = if write {
            event::RequestOutcome::Committed(Some(status))
        } else {
            event::RequestOutcome::Uncommitted
        };
        self.drive(vm, event::Event::ConnectionReleased(id, outcome));
        let newest = self.instances.iter().map(|fake| fake.term).max();
        let replaced = newest.is_some_and(|newest| status.term.0 < newest);
        if write && self.acknowledged.len() > acknowledged {
            self.commits.push((self.now, status.received.0));
        }
        if write && replaced && self.acknowledged.len() > acknowledged {
            let text = "a replaced leader's commit was acknowledged";
            self.violations.push(text.into());
        }
    }

    /// A read shows everything that was acknowledged longer ago than its route
    /// allows.
    pub(super) fn check_age(&mut self, shown: u64) {
        let old = |(at, _): &&(time::Time, u64)| self.now.since(*at) > AGE;
        let needed = self.commits.iter().filter(old).map(|(_, lsn)| *lsn).max();
        if needed.is_some_and(|needed| shown < needed) {
            self.violations
                .push("a read lacked a commit of long ago".into());
        }
    }

    /// Removes the row of a VM, as another VM would.
    pub fn erase(&mut self, vm: usize) {
        let key = event::RowKey::Member(self.setups[vm].vm.clone());
        self.store.remove(key);
    }
}
