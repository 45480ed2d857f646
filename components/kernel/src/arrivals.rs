//! Checks that a session or a request passes before it is queued: keys, routes, rate
//! limits and queue limits.

use std::time as std_time;

use config::Name;
use errors::{Cause, Refusal};

use crate::{admission, daemon, event, journal, overload, sessions};

/// Longest wait of a request for a token from the refill of this VM's share.
const MAX_REFILL_WAIT: std_time::Duration = std_time::Duration::from_millis(250);
/// Longest wait of a request for a token that peers may send.
const MAX_TRANSFER_WAIT: std_time::Duration = std_time::Duration::from_millis(200);

/// Time in which a lost leader is replaced if nothing is missing.
const LEADERLESS_LIMIT: std_time::Duration = std_time::Duration::from_millis(2_000);
/// Retry hint in a refusal while it is not known when there will be a leader.
const LEADERLESS_RETRY_MS: u32 = 1_000;

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
                if session.floors.is_empty()
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
        Ok(sessions::Session {
            key_digest: if is_open { None } else { request.digest },
            customer,
            route: name.clone(),
            group: route.group.clone(),
            max_age: route.age_ms.map(std_time::Duration::from_millis),
            floors: request
                .token
                .map(|token| (route.group.clone(), token))
                .into_iter()
                .collect(),
            reads: route.reads,
            opened_at: self.now,
            arrival: None,
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
        if let Some(session) = self.sessions.open.get_mut(&request.session) {
            session.record_arrival(self.now, request.retry);
        }
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
            session.max_age = route.age_ms.map(std_time::Duration::from_millis);
            session.reads = route.reads;
            session.group.clone_from(&route.group);
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
            .map_or(0, admission::backlog::Backlog::len);
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
        let item = self.waiting_request(request, max_wait);
        let queue = self.rate_queues.entry(customer.clone()).or_default();
        queue.push(item);
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

    /// Queues the waiting requests whose customers have received tokens, in the order of
    /// the customer's backlog.
    pub(crate) fn admit_waiting(&mut self) {
        let customers: Vec<_> = self.rate_queues.keys().cloned().collect();
        for customer in customers {
            self.refuse_without_token(&customer);
            while let Some(item) = self.next_with_token(&customer) {
                if let Err(refusal) = self.check_request(&item.request) {
                    self.refuse(&item.request, refusal);
                    continue;
                }
                self.load.token_waits.record(self.now.since(item.queued_at));
                self.enqueue(item.request);
            }
            self.rate_queues.retain(|_, backlog| !backlog.is_empty());
        }
    }

    /// Refuses the requests of a customer that have waited for a token for too long, and
    /// those that may not run any more.
    fn refuse_without_token(&mut self, customer: &Name) {
        let now = self.now;
        let Some(backlog) = self.rate_queues.get_mut(customer) else {
            return;
        };
        for item in backlog.extract_if(&mut |item| item.deadline <= now) {
            let refusal = match self.check_request(&item.request) {
                Err(refusal) => refusal,
                Ok(_) => self.no_token_refusal(self.budgets.token_wait(customer, 1)),
            };
            self.refuse(&item.request, refusal);
        }
    }

    /// Removes and returns the next request of a customer that waits for a token, if there
    /// is a token or the request may not run any more.
    fn next_with_token(&mut self, customer: &Name) -> Option<admission::WaitingRequest> {
        let backlog = self.rate_queues.get(customer)?;
        let index = backlog.select(None, &mut |_| true)?;
        let is_refused = self.check_request(&backlog.get(index)?.request).is_err();
        if !is_refused && !self.budgets.has_token(customer, self.now) {
            return None;
        }
        self.rate_queues.get_mut(customer)?.remove(index)
    }

    /// Entry of a request for a queue, with its place in the order.
    fn waiting_request(
        &self,
        request: event::Request,
        max_wait: std_time::Duration,
    ) -> admission::WaitingRequest {
        let session = self.sessions.open.get(&request.session);
        let session = session.filter(|_| self.ranks_routes);
        let route = session.and_then(|session| self.fleet().routes.get(&session.route));
        let arrival = session.and_then(|session| session.arrival);
        admission::WaitingRequest {
            request,
            queued_at: self.now,
            arrived_at: arrival.map_or(self.now, |arrival| arrival.first),
            priority: route.map_or(0, |route| route.priority),
            deadline: self.now + max_wait,
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
        let access = match request.access {
            event::Access::Read if !needs_latest => event::Access::Read,
            _ => event::Access::Write,
        };
        let route = self.fleet().routes.get(&session.route);
        let target = route.and_then(|route| route.target_ms);
        let target = target.map(std_time::Duration::from_millis);
        let cold_wait = match access {
            event::Access::Read => None,
            event::Access::Write => match self.check_cold_leader(&group, target) {
                Ok(wait) => wait,
                Err(refusal) => return self.refuse(&request, refusal),
            },
        };
        let weight = self.weight(&customer);
        let max_wait = cold_wait.unwrap_or(self.setup.limits.wait_timeout);
        let item = self.waiting_request(request, max_wait);
        let expected = self.expected_wait(&group, access, &customer, &item);
        if let Some(expected) = expected.filter(|expected| self.must_miss(*expected, &item)) {
            return self.refuse_capacity(&item, overload::Reason::Certain, Some(expected));
        }
        let Some(state) = self.groups.get_mut(&group) else {
            let refusal = Refusal::new(Cause::Unavailable, daemon::UNAVAILABLE_RETRY_MS);
            return self.refuse(&request, refusal);
        };
        let queue = match access {
            event::Access::Read => &mut state.read_queue,
            event::Access::Write => &mut state.write_queue,
        };
        if queue.push(customer, weight, item).is_err() {
            return self.refuse_capacity(&item, overload::Reason::QueueFull, expected);
        }
        self.dispatch(&group);
        self.refuse_evacuated(&group);
        self.refuse_leaderless(&group);
    }

    /// Refuses the waiting writes of a group whose commits wait for a replica, if it has been
    /// without a leader for longer than a replacement takes: nobody knows when the instances
    /// answer that may have its last commits.
    pub(crate) fn refuse_leaderless(&mut self, group: &Name) {
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        if !state.group.is_synchronous() || !state.group.is_leaderless(LEADERLESS_LIMIT, self.now) {
            return;
        }
        for item in state.write_queue.extract_if(&mut |_| true) {
            let refusal = Refusal::new(Cause::Unavailable, LEADERLESS_RETRY_MS);
            self.refuse(&item.request, refusal);
        }
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
            queue.extract_if(&mut is_abandoned);
        }
    }
}

fn over_rate_refusal(wait: Option<std_time::Duration>) -> Refusal {
    let hint = wait.map_or(u32::MAX.into(), |wait| wait.as_millis());
    let hint = u32::try_from(hint).unwrap_or(u32::MAX).clamp(1, 60_000);
    Refusal::new(Cause::OverRate, hint)
}
