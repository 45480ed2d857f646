//! Checks that a session or a request passes before it is queued: keys, routes, rate
//! limits and queue limits.

use std::{collections, time as std_time};

use config::Name;
use errors::{Cause, Refusal};

use crate::{admission, daemon, event, journal, sessions};

/// Longest wait of a request for a token from the refill of this VM's share.
const MAX_REFILL_WAIT: std_time::Duration = std_time::Duration::from_millis(250);
/// Longest wait of a request for a token that peers may send.
const MAX_TRANSFER_WAIT: std_time::Duration = std_time::Duration::from_millis(200);

impl daemon::Daemon {
    pub(crate) fn open_session(&mut self, request: &event::SessionRequest) {
        let id = request.session;
        match self.authorize_session(request) {
            Ok(session) => {
                let session_route = event::SessionRoute {
                    customer: session.customer.clone(),
                    database: self.fleet().routes[&session.route].database.clone(),
                    group: session.group.clone(),
                };
                let group = session.group.clone();
                if session.floor.is_none()
                    && session.max_age.is_none()
                    && let Some(state) = self.groups.get_mut(&group)
                {
                    state.group.request_poll(self.now);
                }
                self.sessions.open.insert(id, session);
                self.actions
                    .push(event::Action::AcceptSession(id, session_route));
                self.send_polls(&group);
            }
            Err(refusal) => self.actions.push(event::Action::RejectSession(id, refusal)),
        }
    }

    pub(crate) fn authorize_session(
        &self,
        request: &event::SessionRequest,
    ) -> Result<sessions::Session, Refusal> {
        if self.is_stopping {
            return Err(Refusal::new(Cause::Stopping, daemon::OTHER_VM_RETRY_MS));
        }
        let fleet = self.fleet();
        let route = fleet.routes.get_key_value(request.route.as_str());
        let is_open = route.is_some_and(|(_, route)| route.open);
        let customer = if is_open {
            None
        } else {
            if !self.is_fresh() {
                return Err(Refusal::new(Cause::Stale, daemon::UNAVAILABLE_RETRY_MS));
            }
            let key_holder = request.digest.and_then(|digest| fleet.key_holder(&digest));
            let key_holder = key_holder.ok_or(Refusal::new(Cause::KeyInvalid, 0))?;
            Some(key_holder.0.clone())
        };
        let (name, route) = route.ok_or(Refusal::new(Cause::RouteUnknown, 0))?;
        let is_allowed = customer
            .as_ref()
            .is_none_or(|customer| route.customers.contains(customer));
        if !is_allowed {
            return Err(Refusal::new(Cause::RouteForbidden, 0));
        }
        let age = std_time::Duration::from_millis(route.age_ms);
        Ok(sessions::Session {
            key_digest: if is_open { None } else { request.digest },
            customer,
            route: name.clone(),
            group: route.group.clone(),
            max_age: (!age.is_zero()).then_some(age),
            floor: request.token,
            reads: route.reads,
            opened_at: self.now,
        })
    }

    /// Checks whether the session may still run requests.
    pub(crate) fn check_session(&self, session: &sessions::Session) -> Result<(), Refusal> {
        let fleet = self.fleet();
        let Some(route) = fleet.routes.get(&session.route) else {
            return Err(Refusal::new(Cause::RouteUnknown, 0));
        };
        let Some(customer) = &session.customer else {
            let forbidden = Refusal::new(Cause::RouteForbidden, 0);
            return if route.open { Ok(()) } else { Err(forbidden) };
        };
        let holds_key = session
            .key_digest
            .is_some_and(|digest| fleet.holds_key(customer, &digest));
        if !holds_key {
            return Err(Refusal::new(Cause::KeyWithdrawn, 0));
        }
        if !route.open && !route.customers.contains(customer) {
            return Err(Refusal::new(Cause::RouteForbidden, 0));
        }
        Ok(())
    }

    pub(crate) fn handle_request(&mut self, request: event::Request) {
        match self.check_request(&request) {
            Err(refusal) => self.refuse(&request, refusal),
            Ok(None) => self.enqueue(request),
            Ok(Some(customer)) => self.admit_request(request, &customer),
        }
    }

    pub(crate) fn check_request(&self, request: &event::Request) -> Result<Option<Name>, Refusal> {
        if self.is_stopping {
            return Err(Refusal::new(Cause::Stopping, daemon::OTHER_VM_RETRY_MS));
        }
        let session = self.sessions.open.get(&request.session);
        let session = session.ok_or(Refusal::new(Cause::KeyWithdrawn, 0))?;
        if session.customer.is_some() && !self.is_fresh() {
            return Err(Refusal::new(Cause::Stale, daemon::UNAVAILABLE_RETRY_MS));
        }
        self.check_session(session)?;
        self.check_homes(session, request.access)?;
        Ok(session.customer.clone())
    }

    /// Applies the current settings of the route to its session, before each request.
    fn update_route(&mut self, id: event::SessionId) {
        let fleet = self.revisions.head().fleet.clone();
        let Some(session) = self.sessions.open.get_mut(&id) else {
            return;
        };
        if let Some(route) = fleet.routes.get(&session.route) {
            let age = std_time::Duration::from_millis(route.age_ms);
            session.max_age = (!age.is_zero()).then_some(age);
            session.reads = route.reads;
            if session.group != route.group {
                // Positions of one group mean nothing in another.
                session.floor = None;
                session.group.clone_from(&route.group);
            }
        }
    }

    pub(crate) fn admit_request(&mut self, request: event::Request, customer: &Name) {
        if request.retry {
            return self.enqueue(request);
        }
        self.budgets.count_request(customer);
        let queue_length = self
            .rate_queues
            .get(customer)
            .map_or(0, collections::VecDeque::len);
        if queue_length == 0 && self.budgets.has_token(customer, self.now) {
            return self.enqueue(request);
        }
        self.budgets.raise_demand(customer);
        let position = u64::try_from(queue_length + 1).unwrap_or(u64::MAX);
        let wait = self.budgets.token_wait(customer, position);
        let refills_soon = wait.is_some_and(|wait| wait <= MAX_REFILL_WAIT);
        let may_receive_tokens = self.budgets.may_receive_tokens(customer, self.now);
        if queue_length >= self.setup.limits.queue_length || !(refills_soon || may_receive_tokens) {
            let refusal = self.no_token_refusal(wait);
            return self.refuse(&request, refusal);
        }
        let max_wait = if refills_soon {
            MAX_REFILL_WAIT
        } else {
            MAX_TRANSFER_WAIT
        };
        let queue = self.rate_queues.entry(customer.clone()).or_default();
        queue.push_back(admission::WaitingRequest {
            request,
            queued_at: self.now,
            deadline: self.now + max_wait,
        });
        self.request_transfers();
    }

    /// Returns the refusal of a request without a token. Until the members of an
    /// epoch have confirmed it, its shares may not be active, so this VM can't tell
    /// whether the customer is over its rate.
    pub(crate) fn no_token_refusal(&self, wait: Option<std_time::Duration>) -> Refusal {
        if self.budgets.is_active() && self.budgets.is_usable() {
            over_rate_refusal(wait)
        } else {
            Refusal::new(Cause::Unavailable, daemon::UNAVAILABLE_RETRY_MS)
        }
    }

    /// Queues the waiting requests whose customers have received tokens, in order of
    /// arrival per customer.
    pub(crate) fn admit_waiting(&mut self) {
        let customers: Vec<_> = self.rate_queues.keys().cloned().collect();
        for customer in customers {
            loop {
                let front = self
                    .rate_queues
                    .get_mut(&customer)
                    .and_then(|l| l.front().copied());
                let Some(front) = front else {
                    self.rate_queues.remove(&customer);
                    break;
                };
                let checked = self.check_request(&front.request);
                let is_expired = front.deadline <= self.now;
                if checked.is_ok() && !is_expired && !self.budgets.has_token(&customer, self.now) {
                    break;
                }
                if let Some(queue) = self.rate_queues.get_mut(&customer) {
                    queue.pop_front();
                }
                match checked {
                    Err(refusal) => self.refuse(&front.request, refusal),
                    Ok(_) if is_expired => {
                        let wait = self.budgets.token_wait(&customer, 1);
                        let refusal = self.no_token_refusal(wait);
                        self.refuse(&front.request, refusal);
                    }
                    Ok(_) => {
                        self.load
                            .token_waits
                            .record(self.now.since(front.queued_at));
                        self.enqueue(front.request);
                    }
                }
            }
        }
    }

    pub(crate) fn enqueue(&mut self, request: event::Request) {
        self.update_route(request.session);
        let Some(session) = self.sessions.open.get(&request.session) else {
            return;
        };
        let customer = session.customer.clone();
        let group = session.group.clone();
        let needs_latest = session.reads == config::ReadConsistency::Latest;
        let needs_leader = request.access == event::Access::Write || needs_latest;
        let route = self.fleet().routes.get(&session.route);
        let target = std_time::Duration::from_millis(route.map_or(0, |route| route.target_ms));
        let cold_wait = if needs_leader {
            match self.check_cold_leader(&group, target) {
                Ok(wait) => wait,
                Err(refusal) => return self.refuse(&request, refusal),
            }
        } else {
            None
        };
        let weight = customer
            .as_ref()
            .and_then(|name| self.fleet().customers.get(name))
            .map_or(1, |entry| entry.weight);
        let item = admission::WaitingRequest {
            request,
            queued_at: self.now,
            deadline: self.now + cold_wait.unwrap_or(self.setup.limits.wait_timeout),
        };
        let Some(state) = self.groups.get_mut(&group) else {
            let refusal = Refusal::new(Cause::Unavailable, daemon::UNAVAILABLE_RETRY_MS);
            return self.refuse(&request, refusal);
        };
        let queue = if needs_leader {
            &mut state.write_queue
        } else {
            &mut state.read_queue
        };
        if queue.push(customer, weight, item).is_err() {
            let refusal = Refusal::new(Cause::NoCapacity, daemon::CAPACITY_RETRY_MS);
            return self.refuse(&request, refusal);
        }
        self.dispatch(&group);
    }

    pub(crate) fn refuse(&mut self, request: &event::Request, refusal: Refusal) {
        self.actions
            .push(event::Action::RefuseRequest(request.id, refusal));
        if refusal.cause == Cause::OutsideHomes {
            self.count_outside_homes(request.session);
        }
        let session = self.sessions.open.get(&request.session);
        let Some(customer) = session.and_then(|s| s.customer.clone()) else {
            return;
        };
        let now = self.now;
        let refusals = self
            .refusal_counts
            .entry(customer)
            .or_insert(daemon::RefusalCount {
                count: 0,
                cause: refusal.cause,
                since: now,
            });
        refusals.count += 1;
    }

    pub(crate) fn report_refusals(&mut self) {
        let now = self.now;
        let is_due = |refusals: &daemon::RefusalCount| {
            now.since(refusals.since) >= daemon::REFUSAL_REPORT_PERIOD
        };
        let due: Vec<_> = self
            .refusal_counts
            .iter()
            .filter(|(_, refusals)| is_due(refusals))
            .map(|(customer, _)| customer.clone())
            .collect();
        for customer in due {
            if let Some(refusals) = self.refusal_counts.remove(&customer) {
                self.record_decision(journal::Decision::Refusals {
                    customer,
                    count: refusals.count,
                    cause: refusals.cause.sqlstate().into(),
                });
            }
        }
    }

    pub(crate) fn abandon_request(&mut self, id: event::RequestId) {
        let mut is_abandoned = |item: &admission::WaitingRequest| item.request.id == id;
        for state in self.groups.values_mut() {
            state.read_queue.extract_if(&mut is_abandoned);
            state.write_queue.extract_if(&mut is_abandoned);
        }
        for queue in self.rate_queues.values_mut() {
            queue.retain(|item| item.request.id != id);
        }
    }
}

fn over_rate_refusal(wait: Option<std_time::Duration>) -> Refusal {
    let hint = wait.map_or(u32::MAX.into(), |wait| wait.as_millis());
    let hint = u32::try_from(hint).unwrap_or(u32::MAX).clamp(1, 60_000);
    Refusal::new(Cause::OverRate, hint)
}
