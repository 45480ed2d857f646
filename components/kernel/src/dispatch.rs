//! Grants connections to waiting requests.

use std::{collections, time as std_time};

use config::Name;

use crate::{
    admission, budget, daemon, event, group, homes, position, read_policy,
    requirement::Requirement, sessions, time,
};

/// Time from a grant to the sending of the request for which a position of the leader
/// must still be recent enough.
const GRANT_MARGIN: std_time::Duration = std_time::Duration::from_millis(50);

impl daemon::Daemon {
    pub(crate) fn free_and_busy(&self, instance: &Name) -> (u32, u32) {
        let busy = self.busy_connections.get(instance).copied().unwrap_or(0);
        (
            self.budgets
                .connection_limits(instance)
                .max_open
                .saturating_sub(busy),
            busy,
        )
    }

    /// Grants connections of a group to its waiting requests.
    pub(crate) fn dispatch(&mut self, group: &Name) {
        while self.grant_write(group) {}
        while self.grant_read(group) {}
    }

    pub(crate) fn grant_write(&mut self, group: &Name) -> bool {
        let Some(state) = self.groups.get(group) else {
            return false;
        };
        if state.write_queue.is_empty() || state.promotion.is_draining(self.now) {
            return false;
        }
        let Some(confirmation) = state.group.confirmation(self.now) else {
            return false;
        };
        if state.group.is_backing_off(&confirmation.primary, self.now) {
            return false;
        }
        let primary = state.group.instances.get(&confirmation.primary);
        if self.free_and_busy(&confirmation.primary).0 == 0
            || primary.is_some_and(|instance| {
                self.has_drain_expired(instance) || instance.is_evacuated(true, self.now)
            })
        {
            return false;
        }
        if !self.check_warmup_token(&confirmation.primary) {
            return false;
        }
        let (sessions, budgets, now) = (&self.sessions, &self.budgets, self.now);
        let mut lacking = collections::BTreeSet::new();
        let places = (&self.regions, &*self.revisions.head().fleet);
        let mut has_token = |item: &admission::WaitingRequest| {
            is_home(sessions, places, item, &confirmation.primary)
                && can_run(sessions, budgets, item, now, &mut lacking)
        };
        let item = self
            .groups
            .get_mut(group)
            .and_then(|state| state.write_queue.pop(now, &mut has_token));
        self.raise_demands(&lacking);
        let Some(item) = item else {
            return false;
        };
        self.load
            .connection_waits
            .record(self.now.since(item.queued_at));
        self.grant(
            &item.request,
            group,
            &confirmation.primary,
            confirmation.term,
        );
        true
    }

    /// Raises the demand of customers whose requests wait for a token.
    pub(crate) fn raise_demands(&mut self, lacking: &collections::BTreeSet<Name>) {
        for customer in lacking {
            self.budgets.raise_demand(customer);
        }
    }

    /// Whether the drain period of a leaving instance has ended, so that the instance
    /// gets no new transactions.
    fn has_drain_expired(&self, instance: &group::InstanceState) -> bool {
        let limit = self.setup.timing.drain_timeout;
        let store_arbitrates = self.arbiter == group::Arbiter::Store;
        let since = instance.leaving_since.filter(|_| store_arbitrates);
        since.is_some_and(|since| self.now.since(since) >= limit)
    }

    /// Instances that take reads, whether or not they have room now.
    pub(crate) fn open_instances<'a>(
        &'a self,
        state: &'a daemon::GroupState,
    ) -> impl Iterator<Item = (&'a Name, &'a group::InstanceState)> {
        let is_confirmed = state.group.confirmation(self.now).is_some();
        let is_draining = state.promotion.is_draining(self.now);
        let primary = state.group.primary();
        state
            .group
            .instances
            .iter()
            .filter(move |(name, instance)| {
                let is_primary = primary == Some(*name);
                let is_closed = if is_primary {
                    !is_confirmed || is_draining || self.has_drain_expired(instance)
                } else {
                    instance.leaving
                };
                !is_closed && !instance.is_evacuated(is_primary, self.now)
            })
    }

    pub(crate) fn read_candidates(
        &self,
        state: &daemon::GroupState,
    ) -> Vec<read_policy::Candidate> {
        let mut all = Vec::with_capacity(state.group.instances.len());
        for (name, instance) in self.open_instances(state) {
            let is_primary = state.group.primary() == Some(name);
            let is_paused = state.group.is_backing_off(name, self.now)
                || state.group.is_shedding(name, self.now);
            if is_paused {
                continue;
            }
            let (free, busy) = self.free_and_busy(name);
            all.push(read_policy::Candidate {
                name: name.clone(),
                primary: is_primary,
                is_fresh: false,
                free,
                busy,
                rtt: state.group.expected_rtt(instance, self.now),
                has_connection: true,
                min_rtt: instance.min_rtt,
            });
        }
        all
    }

    pub(crate) fn grant_read(&mut self, group: &Name) -> bool {
        let Some(state) = self.groups.get(group) else {
            return false;
        };
        if state.read_queue.is_empty() {
            return false;
        }
        let mut candidates = self.read_candidates(state);
        self.remove_cold(&mut candidates);
        let Some(state) = self.groups.get(group) else {
            return false;
        };
        if candidates.iter().all(|c| c.free == 0) {
            return false;
        }
        let term = state.group.newest_term();
        let (sessions, reads, now) = (&self.sessions, &self.read_policy, self.now);
        let (idle, store_arbitrates) = (
            &self.idle_connections,
            self.arbiter == group::Arbiter::Store,
        );
        let budgets = &self.budgets;
        let mut lacking = collections::BTreeSet::new();
        let mut chosen_index = None;
        let Some(state) = self.groups.get_mut(group) else {
            return false;
        };
        let group_state = &state.group;
        let places = (&self.regions, &*self.revisions.head().fleet);
        let item = state.read_queue.pop(now, &mut |item| {
            // The session has ended, so its consistency requirement is unknown.
            let Some(session) = sessions.open.get(&item.request.session) else {
                return false;
            };
            if !can_run(sessions, budgets, item, now, &mut lacking) {
                return false;
            }
            let requirement = Requirement::of(group_state, session, now + GRANT_MARGIN);
            for candidate in &mut candidates {
                candidate.is_fresh = is_home(sessions, places, item, &candidate.name)
                    && requirement.is_met(group_state, session, candidate, now);
                candidate.has_connection =
                    !store_arbitrates || idle.has(&candidate.name, &session.customer);
            }
            // A policy may ignore freshness, but no choice may leave the homes.
            let is_home = |index: &usize| is_home(sessions, places, item, &candidates[*index].name);
            chosen_index = reads.choose(&candidates).filter(is_home);
            chosen_index.is_some()
        });
        self.raise_demands(&lacking);
        let (Some(item), Some(chosen_index)) = (item, chosen_index) else {
            return false;
        };
        self.load
            .connection_waits
            .record(self.now.since(item.queued_at));
        let chosen = candidates.swap_remove(chosen_index);
        self.init_floor(item.request.session, group);
        self.grant(&item.request, group, &chosen.name, term);
        true
    }

    /// Sets the floor of a session from a position sample taken after the session was
    /// opened.
    pub(crate) fn init_floor(&mut self, session: event::SessionId, group: &Name) {
        let (Some(session), Some(state)) =
            (self.sessions.open.get_mut(&session), self.groups.get(group))
        else {
            return;
        };
        let floor = state.group.arrival_floor(session.opened_at);
        if let Some(floor) = floor.filter(|_| session.floor(group).is_none()) {
            session.raise_floor(group, floor);
        }
    }

    pub(crate) fn grant(
        &mut self,
        request: &event::Request,
        group: &Name,
        instance: &Name,
        term: position::Term,
    ) {
        self.take_token(request);
        let token_until = self.take_warmup_token(instance);
        let busy = self.busy_connections.entry(instance.clone()).or_default();
        *busy += 1;
        let (busy, limits) = (*busy, self.budgets.connection_limits(instance));
        if let Some(session) = self.sessions.open.get(&request.session) {
            self.idle_connections
                .take(instance, &session.customer, busy, limits);
        }
        let granted = sessions::GrantedRequest {
            session: request.session,
            group: group.clone(),
            instance: instance.clone(),
            term,
            granted_at: self.now,
            token_until,
        };
        self.sessions.granted.insert(request.id, granted);
        if let Some(state) = self.groups.get_mut(group) {
            state.group.set_probing(instance, true);
        }
        let session = self.sessions.open.get(&request.session);
        let has_key = session.is_some_and(|session| session.customer.is_some());
        let deadline = if has_key {
            self.fresh_until().unwrap_or_default()
        } else {
            time::Time(u64::MAX)
        };
        let primary = self
            .groups
            .get(group)
            .and_then(|state| state.group.primary());
        self.actions.push(event::Action::Grant(event::Grant {
            request: request.id,
            instance: instance.clone(),
            primary: primary == Some(instance),
            deadline,
            is_paced: token_until.is_some(),
        }));
    }

    /// Takes a token for a request when the request gets a connection. If requests
    /// took tokens when they were queued, they could run together later and exceed
    /// the rate.
    pub(crate) fn take_token(&mut self, request: &event::Request) {
        let session = self.sessions.open.get(&request.session);
        let customer = session.and_then(|session| session.customer.as_ref());
        if let Some(customer) = customer.filter(|_| !request.retry) {
            self.budgets.take_token(customer, self.now);
        }
    }
}

/// Whether the request needs no token, or its customer has one.
fn can_run(
    sessions: &sessions::Sessions,
    budgets: &budget::Budgets,
    item: &admission::WaitingRequest,
    now: time::Time,
    lacking: &mut collections::BTreeSet<Name>,
) -> bool {
    let session = sessions.open.get(&item.request.session);
    let customer = session.and_then(|session| session.customer.as_ref());
    let Some(customer) = customer.filter(|_| !item.request.retry) else {
        return true;
    };
    let has_token = budgets.has_token(customer, now);
    if !has_token && !lacking.contains(customer) {
        lacking.insert(customer.clone());
    }
    has_token
}

/// Whether the instance is in a region in which the request may run.
fn is_home(
    sessions: &sessions::Sessions,
    (regions, fleet): (&homes::Regions, &config::Fleet),
    item: &admission::WaitingRequest,
    instance: &Name,
) -> bool {
    let session = sessions.open.get(&item.request.session);
    session.is_some_and(|session| {
        let customer = session.customer.as_ref();
        homes::allow(regions.bounds(fleet, &session.route, customer), instance)
    })
}
