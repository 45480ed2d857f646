//! Refusals for lack of capacity: the wait that a request has to expect, and what its
//! caller is told.
//!
//! The decisions themselves are in `overload`. They apply where the routes of the
//! configuration differ in priority; elsewhere requests wait until their deadline and all
//! callers get the same time to return.

use std::time as std_time;

use config::Name;
use errors::{Cause, Refusal};

use crate::{admission, daemon, event, overload, time};

/// Time after its time to return in which a refused session keeps its place.
const RETURN_TIME: std_time::Duration = std_time::Duration::from_secs(2);

impl daemon::Daemon {
    /// Expected wait of a request of the customer, if it were queued now; none if unknown.
    pub(crate) fn expected_wait(
        &self,
        group: &Name,
        access: event::Access,
        customer: &Option<Name>,
        item: &admission::WaitingRequest,
    ) -> Option<std_time::Duration> {
        let state = self.groups.get(group).filter(|_| self.ranks_routes)?;
        let (queue, servers) = match access {
            event::Access::Read => (&state.read_queue, self.read_servers(state)),
            event::Access::Write => {
                let primary = state.group.primary()?;
                (&state.write_queue, vec![self.server(primary)])
            }
        };
        let may_run = |customer: &Option<Name>| {
            let customer = customer.as_ref();
            customer.is_none_or(|customer| self.budgets.has_token(customer, self.now))
        };
        let weight = self.weight(customer);
        let ahead = queue.ahead(customer, weight, item, &may_run);
        overload::expected_wait(&ahead, &servers)
    }

    fn read_servers(&self, state: &daemon::GroupState) -> Vec<overload::Server> {
        let open = self.open_instances(state);
        let open = open.filter(|(name, _)| !state.group.is_unreachable(name));
        open.map(|(name, _)| self.server(name)).collect()
    }

    fn server(&self, instance: &Name) -> overload::Server {
        let (free, busy) = self.free_and_busy(instance);
        overload::Server {
            slots: free + busy,
            free,
            hold: self.hold_times.get(instance, self.now),
        }
    }

    /// Weight of a customer among others.
    pub(crate) fn weight(&self, customer: &Option<Name>) -> u32 {
        let customer = customer.as_ref();
        let entry = customer.and_then(|name| self.fleet().customers.get(name));
        entry.map_or(1, |entry| entry.weight)
    }

    /// Whether a request with this expected wait can't be granted before its deadline.
    pub(crate) fn must_miss(
        &self,
        expected: std_time::Duration,
        item: &admission::WaitingRequest,
    ) -> bool {
        overload::misses_deadline(expected, item.deadline.since(self.now))
    }

    /// Refuses a request that finds no room. Its session keeps its place in the order if it
    /// returns in time.
    pub(crate) fn refuse_capacity(
        &mut self,
        item: &admission::WaitingRequest,
        reason: overload::Reason,
        expected: Option<std_time::Duration>,
    ) {
        let session = item.request.session;
        let retry_ms = if self.ranks_routes {
            let limit = self.setup.limits.wait_timeout;
            overload::retry_ms(session, expected.unwrap_or_default(), limit)
        } else {
            daemon::CAPACITY_RETRY_MS
        };
        self.keep_place(session, retry_ms);
        self.load.refusals.record(reason, item.priority, expected);
        let refusal = Refusal::new(Cause::NoCapacity, retry_ms);
        self.refuse(&item.request, refusal);
    }

    fn keep_place(&mut self, session: event::SessionId, retry_ms: u32) {
        let delay = std_time::Duration::from_millis(retry_ms.into());
        let until = self.now + delay + RETURN_TIME;
        if let Some(session) = self.sessions.open.get_mut(&session) {
            session.record_refusal(until);
        }
    }

    /// Refuses the requests that have waited past their deadline.
    pub(crate) fn refuse_expired(&mut self, group: &Name) {
        let now = self.now;
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        let mut is_expired = |item: &admission::WaitingRequest| item.deadline <= now;
        let reads = state.read_queue.extract_if(&mut is_expired);
        let writes = state.write_queue.extract_if(&mut is_expired);
        let has_primary = state.group.confirmation(now).is_some();
        for (access, items) in [(event::Access::Read, reads), (event::Access::Write, writes)] {
            for item in items {
                if has_primary {
                    let session = self.sessions.open.get(&item.request.session);
                    let customer = session.and_then(|session| session.customer.clone());
                    let expected = self.expected_wait(group, access, &customer, &item);
                    self.refuse_capacity(&item, overload::Reason::Expired, expected);
                } else {
                    let refusal = Refusal::new(Cause::Unavailable, daemon::UNAVAILABLE_RETRY_MS);
                    self.refuse(&item.request, refusal);
                }
            }
        }
    }

    /// Measures for how long a request has held a connection.
    pub(crate) fn record_hold(&mut self, instance: &Name, granted_at: time::Time) {
        let hold = self.now.since(granted_at);
        self.hold_times.record(instance, hold, self.now);
    }
}
