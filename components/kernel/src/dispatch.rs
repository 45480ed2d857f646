//! Grants of connections to the requests that wait.

use std::collections;

use config::Name;

use crate::{admission, budget, daemon, event, group, position, read_policy, sessions, time};

impl daemon::Daemon {
    pub(crate) fn free(&self, instance: &Name) -> (u32, u32) {
        let busy = self.busy_connections.get(instance).copied().unwrap_or(0);
        (
            self.budgets
                .connection_limits(instance)
                .max_open
                .saturating_sub(busy),
            busy,
        )
    }

    /// Grants connections of a group to waiting requests.
    pub(crate) fn dispatch(&mut self, group: &Name) {
        while self.grant_write(group) {}
        while self.grant_read(group) {}
    }

    pub(crate) fn grant_write(&mut self, group: &Name) -> bool {
        let Some(pool) = self.groups.get(group) else {
            return false;
        };
        if pool.write_queue.is_empty() || pool.promotion.is_draining(self.now) {
            return false;
        }
        let Some(confirmation) = pool.group.confirmation(self.now) else {
            return false;
        };
        if pool.group.is_backing_off(&confirmation.primary, self.now) {
            return false;
        }
        let leader = pool.group.instances.get(&confirmation.primary);
        if self.free(&confirmation.primary).0 == 0 || leader.is_some_and(|seen| self.is_over(seen))
        {
            return false;
        }
        let (sessions, budgets, now) = (&self.sessions, &self.budgets, self.now);
        let mut short = collections::BTreeSet::new();
        let mut paid =
            |item: &admission::WaitingRequest| is_payable(sessions, budgets, item, now, &mut short);
        let item = self
            .groups
            .get_mut(group)
            .and_then(|pool| pool.write_queue.pop(&mut paid));
        self.press(&short);
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
            None,
        );
        true
    }

    /// Asks for more of the budgets that hold requests back.
    pub(crate) fn press(&mut self, short: &collections::BTreeSet<Name>) {
        for customer in short {
            self.budgets.raise_demand(customer);
        }
    }

    /// Whether a leaving instance must not get new transactions any more.
    fn is_over(&self, seen: &group::InstanceState) -> bool {
        let limit = self.setup.timing.drain;
        let stored = self.arbiter == group::Arbiter::Store;
        let since = seen.leaving_since.filter(|_| stored);
        since.is_some_and(|since| self.now.since(since) >= limit)
    }

    pub(crate) fn candidates(&self, pool: &daemon::GroupState) -> Vec<read_policy::Candidate> {
        let confirmation = pool.group.confirmation(self.now);
        let primary = pool.group.primary();
        let mut all = Vec::with_capacity(pool.group.instances.len());
        for (name, seen) in &pool.group.instances {
            let is_primary = primary == Some(name);
            let draining = pool.promotion.is_draining(self.now);
            let over = self.is_over(seen);
            let closed = if is_primary {
                confirmation.is_none() || draining || over
            } else {
                seen.leaving
            };
            if closed || pool.group.is_backing_off(name, self.now) {
                continue;
            }
            let (free, busy) = self.free(name);
            all.push(read_policy::Candidate {
                name: name.clone(),
                primary: is_primary,
                is_fresh: false,
                free,
                busy,
                rtt: pool.group.expected_rtt(seen, self.now),
                has_connection: true,
                min_rtt: seen.min_rtt,
            });
        }
        all
    }

    pub(crate) fn grant_read(&mut self, group: &Name) -> bool {
        let Some(pool) = self.groups.get(group) else {
            return false;
        };
        if pool.read_queue.is_empty() {
            return false;
        }
        let mut candidates = self.candidates(pool);
        if candidates.iter().all(|c| c.free == 0) {
            return false;
        }
        let term = pool.group.newest_term();
        let (sessions, reads, now) = (&self.sessions, &self.read_policy, self.now);
        let (warm, ruled) = (
            &self.idle_connections,
            self.arbiter == group::Arbiter::Store,
        );
        let budgets = &self.budgets;
        let mut short = collections::BTreeSet::new();
        let mut choice = None;
        let Some(pool) = self.groups.get_mut(group) else {
            return false;
        };
        let view = &pool.group;
        let item = pool.read_queue.pop(&mut |item| {
            // What a session must see is not known after its end.
            let Some(session) = sessions.open.get(&item.request.session) else {
                return false;
            };
            if !is_payable(sessions, budgets, item, now, &mut short) {
                return false;
            }
            let need = Need::of(view, session, now);
            for candidate in &mut candidates {
                candidate.is_fresh = need.is_met(view, session, candidate, now);
                candidate.has_connection = !ruled || warm.has(&candidate.name, &session.customer);
            }
            choice = reads.choose(&candidates);
            choice.is_some()
        });
        self.press(&short);
        let (Some(item), Some(choice)) = (item, choice) else {
            return false;
        };
        self.load
            .connection_waits
            .record(self.now.since(item.queued_at));
        let chosen = candidates.swap_remove(choice);
        self.settle_floor(item.request.session, group);
        let floor = self.applied_floor(item.request.session, group);
        let floor = floor.filter(|_| !chosen.primary);
        self.grant(&item.request, group, &chosen.name, term, floor);
        true
    }

    /// Floor that a replica must have applied for the session, if it checks.
    fn applied_floor(&self, session: event::SessionId, group: &Name) -> Option<position::Floor> {
        let session = self.sessions.open.get(&session)?;
        match Need::of(&self.groups.get(group)?.group, session, self.now) {
            Need::Applied(floor) => Some(floor),
            _ => None,
        }
    }

    /// Fixes the floor of a session from a sample taken since its arrival.
    pub(crate) fn settle_floor(&mut self, session: event::SessionId, group: &Name) {
        let (Some(session), Some(pool)) =
            (self.sessions.open.get_mut(&session), self.groups.get(group))
        else {
            return;
        };
        if session.floor.is_none() {
            session.floor = pool.group.arrival_floor(session.opened_at);
        }
    }

    pub(crate) fn grant(
        &mut self,
        request: &event::Request,
        group: &Name,
        instance: &Name,
        term: position::Term,
        floor: Option<position::Floor>,
    ) {
        self.pay(request);
        let busy = self.busy_connections.entry(instance.clone()).or_default();
        *busy += 1;
        let (busy, room) = (*busy, self.budgets.connection_limits(instance));
        if let Some(session) = self.sessions.open.get(&request.session) {
            self.idle_connections
                .take(instance, &session.customer, busy, room);
        }
        let granted = sessions::GrantedRequest {
            session: request.session,
            group: group.clone(),
            instance: instance.clone(),
            term,
        };
        self.sessions.granted.insert(request.id, granted);
        if let Some(pool) = self.groups.get_mut(group) {
            pool.group.set_probing(instance, true);
        }
        let session = self.sessions.open.get(&request.session);
        let keyed = session.is_some_and(|session| session.customer.is_some());
        let deadline = if keyed {
            self.fresh_until().unwrap_or_default()
        } else {
            time::Time(u64::MAX)
        };
        let primary = self.groups.get(group).and_then(|pool| pool.group.primary());
        self.actions.push(event::Action::Grant(event::Grant {
            request: request.id,
            instance: instance.clone(),
            primary: primary == Some(instance),
            deadline,
            floor,
        }));
    }

    /// Takes the token of a request as it goes to a database, so that requests
    /// that have waited do not run beyond the rate together.
    pub(crate) fn pay(&mut self, request: &event::Request) {
        let session = self.sessions.open.get(&request.session);
        let customer = session.and_then(|session| session.customer.as_ref());
        if let Some(customer) = customer.filter(|_| !request.retry) {
            self.budgets.take_token(customer, self.now);
        }
    }
}

/// Whether the request is paid for, or has a token to take.
fn is_payable(
    sessions: &sessions::Sessions,
    budgets: &budget::Budgets,
    item: &admission::WaitingRequest,
    now: time::Time,
    short: &mut collections::BTreeSet<Name>,
) -> bool {
    let session = sessions.open.get(&item.request.session);
    let customer = session.and_then(|session| session.customer.as_ref());
    let Some(customer) = customer.filter(|_| !item.request.retry) else {
        return true;
    };
    let paid = budgets.has_token(customer, now);
    if !paid && !short.contains(customer) {
        short.insert(customer.clone());
    }
    paid
}

/// What an instance must have applied for a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// Known from the statuses of the instances.
    Status,
    /// Nothing.
    Nothing,
    /// A floor, which the instance itself checks.
    Applied(position::Floor),
    /// Only the leader will do.
    Leader,
}

impl Need {
    fn of(group: &group::Group, session: &sessions::Session, now: time::Time) -> Self {
        let own = session.floor.map(|floor| group.cap_floor(floor));
        match (session.reads, session.max_age) {
            (config::Reads::OwnOrAge, _) => Need::Status,
            (config::Reads::Latest, _) => Need::Leader,
            (config::Reads::OwnAndAge, None) => own.map_or(Need::Nothing, Need::Applied),
            (config::Reads::OwnAndAge, Some(age)) => match group.floor_of_age(age, now) {
                Some(floor) => Need::Applied(own.map_or(floor, |own| own.max(floor))),
                None => Need::Leader,
            },
        }
    }

    /// Whether the candidate shows everything that the session must see, as far
    /// as is known here.
    fn is_met(
        self,
        group: &group::Group,
        session: &sessions::Session,
        candidate: &read_policy::Candidate,
        now: time::Time,
    ) -> bool {
        if candidate.primary {
            return true;
        }
        match self {
            Need::Status => shows(group, session, candidate, now),
            Need::Nothing => true,
            Need::Applied(floor) => !group.lacks_floor(&candidate.name, floor, now),
            Need::Leader => false,
        }
    }
}

/// Whether the replica's status shows what the session must see.
fn shows(
    group: &group::Group,
    session: &sessions::Session,
    candidate: &read_policy::Candidate,
    now: time::Time,
) -> bool {
    if let Some(age) = session.max_age {
        return group
            .data_age(&candidate.name, now)
            .is_some_and(|a| a <= age);
    }
    let floor = session
        .floor
        .or_else(|| group.arrival_floor(session.opened_at));
    floor.is_some_and(|floor| group.has_reached(&candidate.name, floor))
}
