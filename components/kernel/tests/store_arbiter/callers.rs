//! Sessions and requests of callers, and the connections and statements that the
//! I/O layer of the daemons would run for them.

use kernel::{event, position, time};

use super::{CONNECT_TIMEOUT, Delivery, KEY, MAX_READ_AGE, STEP, Simulation, instance_index, ms};

impl Simulation {
    /// Opens a session on a route.
    pub fn open_session(&mut self, vm: usize, route: &str) -> event::SessionId {
        self.last_id += 1;
        let id = event::SessionId(self.last_id);
        let request = event::SessionRequest {
            session: id,
            digest: (route == "keyed").then(|| config::KeyDigest::of(KEY.as_bytes())),
            route: route.into(),
            token: None,
        };
        self.dispatch(vm, event::Event::SessionRequested(request));
        id
    }

    /// Sends a write through each VM every 50 ms for a time span in milliseconds.
    pub fn write_for(&mut self, span: u64) {
        let vms: Vec<_> = (0..self.daemons.len()).collect();
        self.write_through(&vms, span);
    }

    /// Sends a write through each of some VMs every 50 ms for a time span in milliseconds.
    pub fn write_through(&mut self, vms: &[usize], span: u64) {
        let open = |vm: &usize| (*vm, self.open_session(*vm, "latest"));
        let sessions: Vec<_> = vms.iter().map(open).collect();
        for _ in 0..span / 50 {
            for (vm, session) in &sessions {
                self.send_request(*vm, *session, true);
            }
            self.run(ms(50));
        }
    }

    /// Ends instance 0 for 3 s, in which the VMs replace it as the leader; it comes back
    /// as a replica. Returns the new leader.
    pub fn replace_first_leader(&mut self) -> usize {
        self.instances[0].is_alive = false;
        self.write_for(3000);
        let leader = self.leader().expect("an instance leads");
        assert_ne!(leader, 0);
        self.instances[0].is_alive = true;
        self.instances[0].role = position::Role::Replica;
        leader
    }

    /// Sends a read or write on a session.
    pub fn send_request(&mut self, vm: usize, session: event::SessionId, is_write: bool) {
        self.last_id += 1;
        let id = event::RequestId(session.0 << 24 | self.last_id);
        self.requests.insert(id, (vm, is_write));
        self.sent_at.insert(id, self.now);
        self.request_connection(vm, id, false);
    }

    pub(super) fn request_connection(&mut self, vm: usize, id: event::RequestId, retry: bool) {
        let (_, is_write) = self.requests[&id];
        let access = if is_write {
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
        self.dispatch(vm, event::Event::ConnectionRequested(request));
    }

    pub(super) fn fail_connection(&mut self, vm: usize, id: event::RequestId) {
        self.dispatch(
            vm,
            event::Event::ConnectionReleased(id, event::RequestOutcome::Unsent),
        );
        self.request_connection(vm, id, true);
    }

    pub(super) fn execute(&mut self, vm: usize, id: event::RequestId, grant: &event::Grant) {
        let instance = instance_index(&grant.instance);
        if self.instances[instance].is_unresponsive {
            return self.schedule(CONNECT_TIMEOUT, Delivery::FailConnection(vm, id));
        }
        if !self.can_reach(vm, instance) {
            return self.fail_connection(vm, id);
        }
        let is_full = self.open_connections[instance] >= self.connections;
        if is_full || self.instances[instance].is_full {
            self.refused_connections += 1;
            self.dispatch(
                vm,
                event::Event::ConnectionReleased(id, event::RequestOutcome::TooManyConnections),
            );
            return self.request_connection(vm, id, true);
        }
        self.open_connections[instance] += 1;
        if self.connect_time.is_zero() {
            return self.send_statement(vm, id, grant);
        }
        self.schedule(
            self.connect_time,
            Delivery::Connected(vm, id, grant.clone()),
        );
    }

    /// Sends the statement over a connection that has been opened, unless its precondition
    /// is not met any more.
    pub(super) fn send_statement(&mut self, vm: usize, id: event::RequestId, grant: &event::Grant) {
        if self.warmup.is_some() && self.paused.contains(&vm) {
            return self.schedule(STEP, Delivery::Connected(vm, id, grant.clone()));
        }
        let (_, is_write) = self.requests[&id];
        let access = if is_write {
            event::Access::Write
        } else {
            event::Access::Read
        };
        let session = event::SessionId(id.0 >> 24);
        let now = self.local_time(vm);
        let precondition = self.daemons[vm].precondition(session, &grant.instance, access, now);
        let Some(precondition) = precondition else {
            self.open_connections[instance_index(&grant.instance)] -= 1;
            let outcome = event::RequestOutcome::Uncommitted;
            self.dispatch(vm, event::Event::ConnectionReleased(id, outcome));
            return self.request_connection(vm, id, true);
        };
        if !self.daemons[vm].may_send(id, now) {
            self.open_connections[instance_index(&grant.instance)] -= 1;
            let outcome = event::RequestOutcome::Uncommitted;
            self.dispatch(vm, event::Event::ConnectionReleased(id, outcome));
            return self.request_connection(vm, id, true);
        }
        let instance = instance_index(&grant.instance);
        self.arrivals.push((self.now, instance));
        for _ in 0..self.repeated_statements {
            if self.daemons[vm].may_send(id, now) {
                self.arrivals.push((self.now, instance));
            }
        }
        self.statements_sent.insert(id, now);
        if self.statement_time.is_zero() {
            return self.complete(vm, id, grant, precondition.floor);
        }
        self.schedule(
            self.statement_time,
            Delivery::Complete(vm, id, grant.clone(), precondition.floor),
        );
    }

    /// Completes the statement at the instance and closes the connection.
    pub(super) fn complete(
        &mut self,
        vm: usize,
        id: event::RequestId,
        grant: &event::Grant,
        floor: Option<position::Position>,
    ) {
        let instance = instance_index(&grant.instance);
        let (_, is_write) = self.requests[&id];
        self.open_connections[instance] -= 1;
        if self.instances[instance].is_busy {
            self.busy_answers += 1;
            let busy = event::RequestOutcome::Busy;
            self.dispatch(vm, event::Event::ConnectionReleased(id, busy));
            return self.request_connection(vm, id, true);
        }
        let status = self.status(instance);
        if is_write && status.role == position::Role::Replica {
            self.dispatch(
                vm,
                event::Event::ConnectionReleased(id, event::RequestOutcome::ReadOnly),
            );
            return self.request_connection(vm, id, true);
        }
        if let Some(floor) = floor.filter(|f| f.lsn.0 > status.replayed.0) {
            let behind = event::RequestOutcome::BehindFloor(floor);
            self.dispatch(vm, event::Event::ConnectionReleased(id, behind));
            return self.request_connection(vm, id, true);
        }
        if is_write && self.is_synchronous && !self.replicate_commit(instance) {
            // The commit waits for a replica; the caller waits for the commit.
            self.open_connections[instance] += 1;
            return self.schedule(STEP, Delivery::Complete(vm, id, grant.clone(), floor));
        }
        if is_write {
            self.instances[instance].received += 1;
        } else {
            self.check_age(status.replayed.0);
        }
        let status = self.status(instance);
        let sent = self.statements_sent.remove(&id);
        let observed = event::Observation {
            instance: grant.instance.clone(),
            sent: sent.unwrap_or_else(|| self.local_time(vm)),
            applied: position::Position {
                term: status.term,
                lsn: status.replayed,
            },
        };
        self.dispatch(vm, event::Event::PositionObserved(observed));
        let acknowledged = self.acknowledged.len();
        let outcome = if is_write {
            self.instances[instance].received += self.unreplicated;
            let received = position::Lsn(status.received.0 + self.unreplicated);
            event::RequestOutcome::Committed(Some(position::Status { received, ..status }))
        } else {
            event::RequestOutcome::Uncommitted
        };
        self.dispatch(vm, event::Event::ConnectionReleased(id, outcome));
        let newest = self.instances.iter().map(|fake| fake.term).max();
        let is_replaced = newest.is_some_and(|newest| status.term.0 < newest);
        if is_write && self.acknowledged.len() > acknowledged {
            self.commits.push((self.now, status.received.0));
        }
        if is_write && is_replaced && self.acknowledged.len() > acknowledged {
            let text = "a replaced leader's commit was acknowledged";
            self.violations.push(text.into());
        }
    }

    /// Passes the next commit of an instance on to its replicas; false if none of them can
    /// receive it.
    fn replicate_commit(&mut self, instance: usize) -> bool {
        let source = self.instances[instance].clone();
        if source.is_unresponsive || source.replication_cut {
            return false;
        }
        let mut is_received = false;
        for fake in &mut self.instances {
            let is_following = fake.is_alive && !fake.replication_paused && !fake.replication_cut;
            let is_replica = fake.role == position::Role::Replica && fake.term <= source.term;
            if is_following && is_replica && !fake.is_unresponsive {
                fake.term = source.term;
                fake.received = source.received + 1;
                is_received = true;
            }
        }
        is_received
    }

    /// Checks that the instance that is promoted has every acknowledged commit.
    pub(super) fn check_promoted(&mut self, instance: usize) {
        let acknowledged = self.commits.iter().map(|(_, lsn)| *lsn).max();
        let received = self.instances[instance].received;
        if self.is_synchronous && acknowledged.is_some_and(|lsn| lsn > received) {
            let text = format!("db-{instance} was promoted without acknowledged commits");
            self.violations.push(text);
        }
    }

    /// Checks that a read shows every commit that was acknowledged longer ago than
    /// the maximum age of the route.
    pub(super) fn check_age(&mut self, shown: u64) {
        let is_old = |(at, _): &&(time::Time, u64)| self.now.since(*at) > MAX_READ_AGE;
        let needed = self
            .commits
            .iter()
            .filter(is_old)
            .map(|(_, lsn)| *lsn)
            .max();
        if needed.is_some_and(|needed| shown < needed) {
            self.violations
                .push("a read lacked a commit older than the maximum age".into());
        }
    }

    /// Removes the member row of a VM, as another VM does when it evicts the VM.
    pub fn remove_member(&mut self, vm: usize) {
        let key = event::RowKey::Member(self.setups[vm].vm.clone());
        self.store.remove(key);
    }
}
