//! The state machine of one daemon: the data path and the composition of all
//! decisions. `control` holds the half that talks to peers and the platform.

use std::{collections, sync, time as std_time};

use config::{Fleet, Name};
use errors::{Cause, Refusal};

use crate::{
    admission, budget, consistency, event, group, journal, membership, plugin, position, promotion,
    revision, sessions, time,
};

/// Longest wait of a request for tokens that are certain to come.
const TOKEN_WAIT: std_time::Duration = std_time::Duration::from_millis(250);
/// Longest wait of a request for tokens that peers may give.
const BORROW_WAIT: std_time::Duration = std_time::Duration::from_millis(200);
/// Retry hint where a database is missing, in ms.
const UNAVAILABLE_RETRY_MS: u32 = 500;
/// Retry hint where a queue is full, in ms.
const CAPACITY_RETRY_MS: u32 = 100;
/// Retry hint where another VM serves at once, in ms.
const ELSEWHERE_RETRY_MS: u32 = 0;
/// Silence of an instance, in suspicion times, that breaks its connections.
const SEVER_FACTOR: u32 = 4;
/// Period of entries on refusals in the journal.
const REFUSAL_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// Identity and settings of a daemon's decisions.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This VM.
    pub vm: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its region.
    pub region: Name,
    /// Distinguishes this run; larger than that of any earlier run on the VM.
    pub incarnation: u64,
    /// Periods.
    pub timing: config::Timing,
    /// Bounds.
    pub limits: config::Limits,
    /// Plug-ins.
    pub policy: config::Policy,
}

/// A group with the requests that wait for it.
pub(crate) struct Pool {
    pub(crate) group: group::Group,
    pub(crate) promotion: promotion::Promotion,
    pub(crate) primary: Option<(position::Term, Name)>,
    reads: Box<dyn admission::Queue>,
    writes: Box<dyn admission::Queue>,
}

/// Refusals of one customer since the last entry.
#[derive(Debug)]
struct Burst {
    count: u64,
    cause: Cause,
    since: time::Time,
}

/// All decisions of one daemon.
pub struct Daemon {
    pub(crate) setup: Setup,
    pub(crate) now: time::Time,
    pub(crate) out: Vec<event::Action>,
    pub(crate) pools: collections::BTreeMap<Name, Pool>,
    pub(crate) sessions: sessions::Sessions,
    pub(crate) budgets: budget::Budgets,
    pub(crate) members: membership::Membership,
    pub(crate) revisions: revision::Revisions,
    pub(crate) journal: journal::Journal,
    pub(crate) control: crate::control::Control,
    pub(crate) owner: collections::HashMap<Name, Name>,
    busy: collections::HashMap<Name, u32>,
    lanes: collections::BTreeMap<Name, collections::VecDeque<admission::Waiting>>,
    bursts: collections::BTreeMap<Name, Burst>,
    admission: &'static plugin::Admission,
    reads: Box<dyn consistency::ReadPolicy>,
    refused: bool,
    stopping: bool,
    stopped: bool,
}

impl Daemon {
    /// A daemon that knows nothing yet; fails if a policy is not registered.
    pub fn new(setup: Setup, now: time::Time) -> Result<Self, config::Problem> {
        let admission = plugin::admission(&setup.policy.admission)?;
        let reads = (plugin::reads(&setup.policy.reads)?.build)();
        let sharing = (plugin::sharing(&setup.policy.budget)?.build)();
        let members = membership::Membership::new(
            setup.vm.clone(),
            setup.region.clone(),
            setup.incarnation,
            &setup.timing,
        );
        Ok(Self {
            budgets: budget::Budgets::new(members.own(), sharing),
            members,
            setup,
            now,
            out: Vec::new(),
            pools: collections::BTreeMap::new(),
            sessions: sessions::Sessions::default(),
            revisions: revision::Revisions::default(),
            journal: journal::Journal::default(),
            control: crate::control::Control::default(),
            owner: collections::HashMap::new(),
            busy: collections::HashMap::new(),
            lanes: collections::BTreeMap::new(),
            bursts: collections::BTreeMap::new(),
            admission,
            reads,
            refused: false,
            stopping: false,
            stopped: false,
        })
    }

    /// Takes in an event at `now` and tells what to do.
    pub fn handle(&mut self, now: time::Time, event: event::Event) -> Vec<event::Action> {
        self.now = self.now.max(now);
        match event {
            event::Event::Tick => self.tick(),
            event::Event::Opened(opening) => self.opened(&opening),
            event::Event::Closed(session) => {
                self.sessions.open.remove(&session);
            }
            event::Event::Requested(request) => self.requested(request),
            event::Event::Abandoned(request) => self.abandoned(request),
            event::Event::Released(request, outcome) => self.released(request, outcome),
            event::Event::Polled(poll) => self.polled(&poll),
            event::Event::Fenced(fence) => self.fenced(&fence),
            event::Event::Promoted(fence) => self.promoted(&fence),
            event::Event::Received(from, message) => self.received(&from, message),
            event::Event::Listed(vms) => self.listed(vms),
            event::Event::Loaded(key, loaded) => self.loaded(key, loaded),
            event::Event::Stored(key, stored) => self.stored(key, stored),
            event::Event::Submitted(ticket, note) => {
                self.revisions.submit(ticket, note, self.now);
                self.step_revisions();
            }
            event::Event::Stop => self.stop(),
        }
        std::mem::take(&mut self.out)
    }

    /// Decisions made, oldest first.
    pub fn decisions(&self) -> impl Iterator<Item = &journal::Entry> {
        self.journal.iter()
    }

    /// Revision in force here.
    pub fn revision(&self) -> u64 {
        self.revisions.head().revision
    }

    /// Whether keyed requests are accepted now.
    pub fn is_fresh(&self) -> bool {
        self.members
            .fresh_until(self.now)
            .is_some_and(|until| until > self.now)
    }

    /// Whether new sessions are welcome.
    pub fn is_ready(&self) -> bool {
        !self.stopping && self.revision() > 0 && self.is_fresh() && self.budgets.is_usable()
    }

    /// Floor of a session, if known.
    pub fn floor(&self, session: event::SessionId) -> Option<position::Floor> {
        self.sessions.open.get(&session)?.floor
    }

    /// What is known of a group.
    pub fn group(&self, name: &str) -> Option<&group::Group> {
        self.pools.get(name).map(|pool| &pool.group)
    }

    /// Groups by name.
    pub fn groups(&self) -> impl Iterator<Item = (&Name, &group::Group)> {
        self.pools.iter().map(|(name, pool)| (name, &pool.group))
    }

    /// Membership as seen here.
    pub fn membership(&self) -> &membership::Membership {
        &self.members
    }

    /// Shares held here.
    pub fn budgets(&self) -> &budget::Budgets {
        &self.budgets
    }

    /// Configuration in force here.
    pub fn fleet(&self) -> &sync::Arc<Fleet> {
        &self.revisions.head().fleet
    }

    /// Requests that wait for a connection or a token.
    pub fn waiting(&self) -> usize {
        let queued: usize = self
            .pools
            .values()
            .map(|pool| pool.reads.len() + pool.writes.len())
            .sum();
        queued
            + self
                .lanes
                .values()
                .map(collections::VecDeque::len)
                .sum::<usize>()
    }

    pub(crate) fn record(&mut self, decision: journal::Decision) {
        let entry = journal::Entry {
            at: self.now,
            decision,
        };
        self.journal.push(entry.clone());
        self.out.push(event::Action::Record(entry));
    }

    fn opened(&mut self, opening: &event::Opening) {
        let id = opening.session;
        match self.admit(opening) {
            Ok(session) => {
                let welcome = event::Welcome {
                    customer: session.customer.clone(),
                    database: self.fleet().routes[&session.route].database.clone(),
                    group: session.group.clone(),
                };
                let group = session.group.clone();
                if session.floor.is_none()
                    && session.age.is_none()
                    && let Some(pool) = self.pools.get_mut(&group)
                {
                    pool.group.want(self.now);
                }
                self.sessions.open.insert(id, session);
                self.out.push(event::Action::Welcome(id, welcome));
                self.poll(&group);
            }
            Err(refusal) => self.out.push(event::Action::Reject(id, refusal)),
        }
    }

    fn admit(&self, opening: &event::Opening) -> Result<sessions::Session, Refusal> {
        if self.stopping {
            return Err(Refusal::new(Cause::Stopping, ELSEWHERE_RETRY_MS));
        }
        let fleet = self.fleet();
        let route = fleet.routes.get_key_value(opening.route.as_str());
        let open = route.is_some_and(|(_, route)| route.open);
        let customer = if open {
            None
        } else {
            if !self.is_fresh() {
                return Err(Refusal::new(Cause::Stale, UNAVAILABLE_RETRY_MS));
            }
            let holder = opening.digest.and_then(|digest| fleet.holder(&digest));
            let holder = holder.ok_or(Refusal::new(Cause::KeyInvalid, 0))?;
            Some(holder.0.clone())
        };
        let (name, route) = route.ok_or(Refusal::new(Cause::RouteUnknown, 0))?;
        let allowed = customer
            .as_ref()
            .is_none_or(|customer| route.customers.contains(customer));
        if !allowed {
            return Err(Refusal::new(Cause::RouteForbidden, 0));
        }
        let age = std_time::Duration::from_millis(route.age_ms);
        Ok(sessions::Session {
            digest: if open { None } else { opening.digest },
            customer,
            route: name.clone(),
            group: route.group.clone(),
            age: (!age.is_zero()).then_some(age),
            floor: opening.token,
            arrived: self.now,
        })
    }

    /// Whether a session may still run requests.
    pub(crate) fn permit(&self, session: &sessions::Session) -> Result<(), Refusal> {
        let fleet = self.fleet();
        let Some(route) = fleet.routes.get(&session.route) else {
            return Err(Refusal::new(Cause::RouteUnknown, 0));
        };
        let Some(customer) = &session.customer else {
            let open = Refusal::new(Cause::RouteForbidden, 0);
            return if route.open { Ok(()) } else { Err(open) };
        };
        let held = session
            .digest
            .is_some_and(|digest| fleet.holds(customer, &digest));
        if !held {
            return Err(Refusal::new(Cause::KeyWithdrawn, 0));
        }
        if !route.open && !route.customers.contains(customer) {
            return Err(Refusal::new(Cause::RouteForbidden, 0));
        }
        Ok(())
    }

    fn requested(&mut self, request: event::Request) {
        match self.check(&request) {
            Err(refusal) => self.refuse(&request, refusal),
            Ok(None) => self.enqueue(request),
            Ok(Some(customer)) => self.charge(request, &customer),
        }
    }

    fn check(&self, request: &event::Request) -> Result<Option<Name>, Refusal> {
        if self.stopping {
            return Err(Refusal::new(Cause::Stopping, ELSEWHERE_RETRY_MS));
        }
        let session = self.sessions.open.get(&request.session);
        let session = session.ok_or(Refusal::new(Cause::KeyWithdrawn, 0))?;
        if session.customer.is_some() && !self.is_fresh() {
            return Err(Refusal::new(Cause::Stale, UNAVAILABLE_RETRY_MS));
        }
        self.permit(session)?;
        Ok(session.customer.clone())
    }

    fn charge(&mut self, request: event::Request, customer: &Name) {
        if request.retry {
            return self.enqueue(request);
        }
        self.budgets.count(customer);
        let ahead = self
            .lanes
            .get(customer)
            .map_or(0, collections::VecDeque::len);
        if ahead == 0 && self.budgets.take(customer, self.now) {
            return self.enqueue(request);
        }
        self.budgets.press(customer);
        let position = u64::try_from(ahead + 1).unwrap_or(u64::MAX);
        let wait = self.budgets.wait(customer, position);
        let certain = wait.is_some_and(|wait| wait <= TOKEN_WAIT);
        let hopeful = self.budgets.is_hopeful(customer, self.now);
        if ahead >= self.setup.limits.queue || !(certain || hopeful) {
            let refusal = self.short_of_tokens(wait);
            return self.refuse(&request, refusal);
        }
        let patience = if certain { TOKEN_WAIT } else { BORROW_WAIT };
        let lane = self.lanes.entry(customer.clone()).or_default();
        lane.push_back(admission::Waiting {
            request,
            deadline: self.now + patience,
        });
        self.send_asks();
    }

    /// Refusal of a request without a token. A VM that holds no part of the
    /// budgets yet cannot tell that the customer is over its rate.
    fn short_of_tokens(&self, wait: Option<std_time::Duration>) -> Refusal {
        if self.budgets.is_usable() {
            over_rate(wait)
        } else {
            Refusal::new(Cause::Unavailable, UNAVAILABLE_RETRY_MS)
        }
    }

    /// Lets in the requests for which tokens have come, in order.
    pub(crate) fn admit_lanes(&mut self) {
        let customers: Vec<_> = self.lanes.keys().cloned().collect();
        for customer in customers {
            loop {
                let front = self
                    .lanes
                    .get_mut(&customer)
                    .and_then(|l| l.front().copied());
                let Some(front) = front else {
                    self.lanes.remove(&customer);
                    break;
                };
                let permitted = self.check(&front.request).is_ok();
                let expired = front.deadline <= self.now;
                if permitted && !expired && !self.budgets.has(&customer, self.now) {
                    break;
                }
                if let Some(lane) = self.lanes.get_mut(&customer) {
                    lane.pop_front();
                }
                match self.check(&front.request) {
                    Err(refusal) => self.refuse(&front.request, refusal),
                    Ok(_) if expired => {
                        let wait = self.budgets.wait(&customer, 1);
                        let refusal = self.short_of_tokens(wait);
                        self.refuse(&front.request, refusal);
                    }
                    Ok(_) => self.enqueue(front.request),
                }
            }
        }
    }

    fn enqueue(&mut self, request: event::Request) {
        let Some(session) = self.sessions.open.get(&request.session) else {
            return;
        };
        let customer = session.customer.clone();
        let group = session.group.clone();
        let weight = customer
            .as_ref()
            .and_then(|name| self.fleet().customers.get(name))
            .map_or(1, |entry| entry.weight);
        let item = admission::Waiting {
            request,
            deadline: self.now + self.setup.limits.wait,
        };
        let Some(pool) = self.pools.get_mut(&group) else {
            let refusal = Refusal::new(Cause::Unavailable, UNAVAILABLE_RETRY_MS);
            return self.refuse(&request, refusal);
        };
        let queue = match request.access {
            event::Access::Read => &mut pool.reads,
            event::Access::Write => &mut pool.writes,
        };
        if queue.push(customer, weight, item).is_err() {
            let refusal = Refusal::new(Cause::NoCapacity, CAPACITY_RETRY_MS);
            return self.refuse(&request, refusal);
        }
        self.dispatch(&group);
    }

    pub(crate) fn refuse(&mut self, request: &event::Request, refusal: Refusal) {
        self.out.push(event::Action::Refuse(request.id, refusal));
        let session = self.sessions.open.get(&request.session);
        let Some(customer) = session.and_then(|s| s.customer.clone()) else {
            return;
        };
        let now = self.now;
        let burst = self.bursts.entry(customer).or_insert(Burst {
            count: 0,
            cause: refusal.cause,
            since: now,
        });
        burst.count += 1;
    }

    fn report_bursts(&mut self) {
        let now = self.now;
        let over = |burst: &Burst| now.since(burst.since) >= REFUSAL_PERIOD;
        let done: Vec<_> = self
            .bursts
            .iter()
            .filter(|(_, burst)| over(burst))
            .map(|(customer, _)| customer.clone())
            .collect();
        for customer in done {
            if let Some(burst) = self.bursts.remove(&customer) {
                self.record(journal::Decision::Refusals {
                    customer,
                    count: burst.count,
                    cause: burst.cause.sqlstate().into(),
                });
            }
        }
    }

    fn abandoned(&mut self, id: event::RequestId) {
        let mut same = |item: &admission::Waiting| item.request.id == id;
        for pool in self.pools.values_mut() {
            pool.reads.drain(&mut same);
            pool.writes.drain(&mut same);
        }
        for lane in self.lanes.values_mut() {
            lane.retain(|item| item.request.id != id);
        }
    }

    fn free(&self, instance: &Name) -> (u32, u32) {
        let scarce = budget::Scarce::Connections(instance.clone());
        let units = u32::try_from(self.budgets.units(&scarce)).unwrap_or(u32::MAX);
        let busy = self.busy.get(instance).copied().unwrap_or(0);
        (units.saturating_sub(busy), busy)
    }

    /// Grants connections of a group to waiting requests.
    pub(crate) fn dispatch(&mut self, group: &Name) {
        while self.grant_write(group) {}
        while self.grant_read(group) {}
    }

    fn grant_write(&mut self, group: &Name) -> bool {
        let Some(pool) = self.pools.get(group) else {
            return false;
        };
        if pool.writes.is_empty() || pool.promotion.is_draining(self.now) {
            return false;
        }
        let Some(confirmation) = pool.group.confirmation(self.now) else {
            return false;
        };
        if self.free(&confirmation.primary).0 == 0 {
            return false;
        }
        let (sessions, budgets, now) = (&self.sessions, &self.budgets, self.now);
        let mut short = collections::BTreeSet::new();
        let mut paid =
            |item: &admission::Waiting| is_payable(sessions, budgets, item, now, &mut short);
        let item = self
            .pools
            .get_mut(group)
            .and_then(|pool| pool.writes.pop(&mut paid));
        self.press(&short);
        let Some(item) = item else {
            return false;
        };
        self.grant(
            &item.request,
            group,
            &confirmation.primary,
            confirmation.term,
        );
        true
    }

    /// Asks for more of the budgets that hold requests back.
    fn press(&mut self, short: &collections::BTreeSet<Name>) {
        for customer in short {
            self.budgets.press(customer);
        }
    }

    fn candidates(&self, pool: &Pool) -> Vec<consistency::Candidate> {
        let confirmation = pool.group.confirmation(self.now);
        let primary = pool.group.primary();
        let mut all = Vec::with_capacity(pool.group.instances.len());
        for (name, seen) in &pool.group.instances {
            let is_primary = primary == Some(name);
            let draining = pool.promotion.is_draining(self.now);
            let closed = if is_primary {
                confirmation.is_none() || draining
            } else {
                seen.leaving
            };
            if closed {
                continue;
            }
            let (free, busy) = self.free(name);
            all.push(consistency::Candidate {
                name: name.clone(),
                primary: is_primary,
                fresh: false,
                free,
                busy,
                rtt: seen.rtt,
            });
        }
        all
    }

    fn grant_read(&mut self, group: &Name) -> bool {
        let Some(pool) = self.pools.get(group) else {
            return false;
        };
        if pool.reads.is_empty() {
            return false;
        }
        let mut candidates = self.candidates(pool);
        if candidates.iter().all(|c| c.free == 0) {
            return false;
        }
        let term = pool.group.newest();
        let (sessions, reads, now) = (&self.sessions, &self.reads, self.now);
        let budgets = &self.budgets;
        let mut short = collections::BTreeSet::new();
        let mut choice = None;
        let Some(pool) = self.pools.get_mut(group) else {
            return false;
        };
        let view = &pool.group;
        let item = pool.reads.pop(&mut |item| {
            let Some(session) = sessions.open.get(&item.request.session) else {
                choice = candidates.iter().position(|c| c.free > 0);
                return choice.is_some();
            };
            if !is_payable(sessions, budgets, item, now, &mut short) {
                return false;
            }
            for candidate in &mut candidates {
                candidate.fresh = is_fresh(view, session, candidate, now);
            }
            choice = reads.choose(&candidates);
            choice.is_some()
        });
        self.press(&short);
        let (Some(item), Some(choice)) = (item, choice) else {
            return false;
        };
        let instance = candidates.swap_remove(choice).name;
        self.settle_floor(item.request.session, group);
        self.grant(&item.request, group, &instance, term);
        true
    }

    /// Fixes the floor of a session from a sample taken since its arrival.
    fn settle_floor(&mut self, session: event::SessionId, group: &Name) {
        let (Some(session), Some(pool)) =
            (self.sessions.open.get_mut(&session), self.pools.get(group))
        else {
            return;
        };
        if session.floor.is_none() {
            session.floor = pool.group.arrival_floor(session.arrived);
        }
    }

    fn grant(
        &mut self,
        request: &event::Request,
        group: &Name,
        instance: &Name,
        term: position::Term,
    ) {
        self.pay(request);
        *self.busy.entry(instance.clone()).or_default() += 1;
        let granted = sessions::Granted {
            session: request.session,
            group: group.clone(),
            instance: instance.clone(),
            term,
        };
        self.sessions.granted.insert(request.id, granted);
        let session = self.sessions.open.get(&request.session);
        let keyed = session.is_some_and(|session| session.customer.is_some());
        let until = if keyed {
            self.members.fresh_until(self.now).unwrap_or_default()
        } else {
            time::Time(u64::MAX)
        };
        let action = event::Action::Grant(request.id, instance.clone(), until);
        self.out.push(action);
    }

    /// Takes the token of a request as it goes to a database, so that requests
    /// that have waited do not run beyond the rate together.
    fn pay(&mut self, request: &event::Request) {
        let session = self.sessions.open.get(&request.session);
        let customer = session.and_then(|session| session.customer.as_ref());
        if let Some(customer) = customer.filter(|_| !request.retry) {
            self.budgets.take(customer, self.now);
        }
    }

    fn released(&mut self, id: event::RequestId, outcome: event::Outcome) {
        let Some(granted) = self.sessions.granted.remove(&id) else {
            return;
        };
        if let Some(busy) = self.busy.get_mut(&granted.instance) {
            *busy = busy.saturating_sub(1);
        }
        let group = granted.group.clone();
        if let event::Outcome::Committed(status) = outcome {
            let committing = sessions::Committing {
                target: status.and_then(|status| place(&granted, status)),
                granted,
                since: self.now,
                deadline: self.now + self.setup.limits.wait,
            };
            let commits = self.sessions.commits.entry(group.clone()).or_default();
            commits.insert(id, committing);
            if let Some(pool) = self.pools.get_mut(&group) {
                pool.group.want(self.now);
            }
            self.poll(&group);
        }
        self.dispatch(&group);
        self.finish_stop();
    }

    fn polled(&mut self, poll: &event::Poll) {
        let Some(name) = self.owner.get(&poll.instance).cloned() else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.group
                .polled(self.now, &poll.instance, poll.sent, poll.status);
        }
        self.refresh(&name);
    }

    /// Acts on what a group's new state allows.
    pub(crate) fn refresh(&mut self, group: &Name) {
        self.note_primary(group);
        self.settle(group);
        self.dispatch(group);
        self.poll(group);
    }

    fn note_primary(&mut self, group: &Name) {
        let Some(pool) = self.pools.get_mut(group) else {
            return;
        };
        let Some(found) = pool.group.confirmation(self.now) else {
            return;
        };
        let current = (found.term, found.primary);
        if pool.primary.as_ref() == Some(&current) {
            return;
        }
        let previous = pool.primary.replace(current.clone());
        if let Some((_, old)) = previous.filter(|(_, old)| *old != current.1) {
            self.out.push(event::Action::Sever(old));
        }
        self.record(journal::Decision::Primary {
            group: group.clone(),
            instance: current.1,
            term: current.0,
        });
    }

    /// Acknowledges the commits that are durable under a confirmation, and
    /// gives up those that can no longer be.
    fn settle(&mut self, group: &Name) {
        let Some(commits) = self.sessions.commits.get_mut(group) else {
            return;
        };
        let Some(pool) = self.pools.get(group) else {
            return;
        };
        let confirmation = pool.group.confirmation(self.now);
        let mut done = Vec::new();
        for (id, commit) in commits.iter_mut() {
            let lost = pool.group.newest() > commit.granted.term || self.now >= commit.deadline;
            if lost {
                done.push((*id, None));
                continue;
            }
            let Some(confirmation) = &confirmation else {
                continue;
            };
            if confirmation.primary != commit.granted.instance {
                continue;
            }
            if commit.target.is_none() {
                commit.target = pool.group.commit_target(commit.since, commit.granted.term);
            }
            let durable = commit.target.filter(|target| pool.group.durable(*target));
            if let Some(target) = durable {
                done.push((*id, Some((target, confirmation.until))));
            }
        }
        for (id, result) in done {
            self.finish_commit(group, id, result);
        }
    }

    fn finish_commit(
        &mut self,
        group: &Name,
        id: event::RequestId,
        result: Option<(position::Floor, time::Time)>,
    ) {
        let commits = self.sessions.commits.get_mut(group);
        let Some(commit) = commits.and_then(|commits| commits.remove(&id)) else {
            return;
        };
        let action = match result {
            Some((floor, until)) => {
                self.sessions.raise(commit.granted.session, floor);
                event::Action::Acknowledge(id, floor, until)
            }
            None => event::Action::Refuse(id, Refusal::new(Cause::OutcomeUnknown, 0)),
        };
        self.out.push(action);
        self.finish_stop();
    }

    /// Sends the polls of a group that are due.
    pub(crate) fn poll(&mut self, group: &Name) {
        let waiting = self
            .sessions
            .commits
            .get(group)
            .is_some_and(|c| !c.is_empty());
        let Some(pool) = self.pools.get_mut(group) else {
            return;
        };
        for name in pool.group.due(self.now, waiting) {
            self.out.push(event::Action::Poll(name));
        }
    }

    fn tick(&mut self) {
        self.tick_control();
        let groups: Vec<_> = self.pools.keys().cloned().collect();
        for group in &groups {
            self.expire(group);
            self.sever_silent(group);
            self.promote(group);
            self.need_connections(group);
            self.refresh(group);
        }
        self.admit_lanes();
        self.report_bursts();
        self.note_freshness();
        self.finish_stop();
    }

    fn sever_silent(&mut self, group: &Name) {
        let limit = self.setup.timing.suspect * SEVER_FACTOR;
        let Some(pool) = self.pools.get_mut(group) else {
            return;
        };
        for name in pool.group.fallen_silent(self.now, limit) {
            self.out.push(event::Action::Sever(name));
        }
    }

    fn need_connections(&mut self, group: &Name) {
        let Some(pool) = self.pools.get(group) else {
            return;
        };
        let count = pool.group.instances.len().max(1);
        for name in pool.group.instances.keys() {
            let primary = pool.group.primary() == Some(name);
            let writes = if primary { pool.writes.len() } else { 0 };
            let waiting = u64::try_from(writes + pool.reads.len() / count).unwrap_or(u64::MAX);
            let busy = self.busy.get(name).copied().unwrap_or(0);
            let needed = (u64::from(busy) + waiting).max(1);
            self.budgets.need(name, needed, self.now);
        }
    }

    /// Refuses what waited past its deadline.
    fn expire(&mut self, group: &Name) {
        let now = self.now;
        let Some(pool) = self.pools.get_mut(group) else {
            return;
        };
        let mut late = |item: &admission::Waiting| item.deadline <= now;
        let mut out = pool.reads.drain(&mut late);
        out.extend(pool.writes.drain(&mut late));
        let known = pool.group.confirmation(now).is_some();
        for item in out {
            let refusal = if known {
                Refusal::new(Cause::NoCapacity, CAPACITY_RETRY_MS)
            } else {
                Refusal::new(Cause::Unavailable, UNAVAILABLE_RETRY_MS)
            };
            self.refuse(&item.request, refusal);
        }
    }

    fn note_freshness(&mut self) {
        let fresh = self.is_fresh();
        if fresh != self.refused {
            return;
        }
        self.refused = !fresh;
        let until = self.members.fresh_until(self.now).unwrap_or_default();
        let silent = self.now.since(until.before(self.setup.timing.refusal));
        self.record(journal::Decision::Freshness {
            refused: !fresh,
            silent_ms: time::micros(silent) / 1000,
        });
    }

    /// Brings everything in line with the configuration in force.
    pub(crate) fn configure(&mut self, source: journal::Origin) {
        let fleet = self.fleet().clone();
        let revision = self.revision();
        self.configure_groups(&fleet);
        for (name, customer) in &fleet.customers {
            let limit = budget::Limit {
                rate: u64::from(customer.rate),
                burst: u64::from(customer.burst),
            };
            let scarce = budget::Scarce::Rate(name.clone());
            self.budgets
                .configure(scarce, budget::RATE_UNITS, limit, self.now);
        }
        self.resize();
        self.end_forbidden();
        self.record(journal::Decision::Revision { revision, source });
        self.out.push(event::Action::Configured(fleet, revision));
    }

    fn configure_groups(&mut self, fleet: &Fleet) {
        let timing = &self.setup.timing;
        let (bound, build) = (self.setup.limits.queue, self.admission.build);
        self.owner.clear();
        for (name, config) in &fleet.groups {
            for instance in &config.instances {
                self.owner.insert(instance.name.clone(), name.clone());
                let scarce = budget::Scarce::Connections(instance.name.clone());
                let limit = budget::Limit { rate: 0, burst: 0 };
                let total = u64::from(instance.connections);
                self.budgets.configure(scarce, total, limit, self.now);
            }
            if let Some(pool) = self.pools.get_mut(name) {
                pool.group.configure(config);
                continue;
            }
            let group = group::Group::new(config, timing.lease, timing.poll, self.now);
            let pool = Pool {
                group,
                promotion: promotion::Promotion::default(),
                primary: None,
                reads: build(bound),
                writes: build(bound),
            };
            self.pools.insert(name.clone(), pool);
        }
        self.remove_groups(fleet);
    }

    fn remove_groups(&mut self, fleet: &Fleet) {
        let gone: Vec<_> = self
            .pools
            .keys()
            .filter(|name| !fleet.groups.contains_key(*name))
            .cloned()
            .collect();
        for name in gone {
            let Some(mut pool) = self.pools.remove(&name) else {
                continue;
            };
            let mut items = pool.reads.drain(&mut |_| true);
            items.extend(pool.writes.drain(&mut |_| true));
            for item in items {
                let refusal = Refusal::new(Cause::RouteUnknown, 0);
                self.refuse(&item.request, refusal);
            }
        }
    }

    /// Tells the driver how many connections it may hold.
    pub(crate) fn resize(&mut self) {
        let instances: Vec<_> = self.owner.keys().cloned().collect();
        for instance in instances {
            self.resize_one(&budget::Scarce::Connections(instance));
        }
    }

    pub(crate) fn resize_one(&mut self, scarce: &budget::Scarce) {
        if let budget::Scarce::Connections(instance) = scarce {
            let units = u32::try_from(self.budgets.units(scarce)).unwrap_or(u32::MAX);
            let action = event::Action::Resize(instance.clone(), units);
            self.out.push(action);
        }
    }

    /// Ends the sessions that the configuration no longer allows.
    fn end_forbidden(&mut self) {
        let mut ended = Vec::new();
        for (id, session) in &self.sessions.open {
            if let Err(refusal) = self.permit(session) {
                ended.push((*id, refusal));
            }
        }
        ended.sort_unstable_by_key(|(id, _)| *id);
        for (id, refusal) in ended {
            self.sessions.open.remove(&id);
            self.out.push(event::Action::End(id, refusal));
        }
    }

    fn stop(&mut self) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.budgets.close();
        self.record(journal::Decision::Stopping {
            sessions: self.sessions.open.len(),
        });
        let mut ids: Vec<_> = self.sessions.open.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let refusal = Refusal::new(Cause::Stopping, ELSEWHERE_RETRY_MS);
            self.out.push(event::Action::End(id, refusal));
        }
        self.finish_stop();
    }

    fn finish_stop(&mut self) {
        let idle = self.sessions.granted.is_empty()
            && self
                .sessions
                .commits
                .values()
                .all(collections::BTreeMap::is_empty)
            && self.waiting() == 0;
        if !self.stopping || self.stopped || !idle {
            return;
        }
        self.stopped = true;
        self.out.push(event::Action::Stopped);
    }
}

fn over_rate(wait: Option<std_time::Duration>) -> Refusal {
    let hint = wait.map_or(u32::MAX.into(), |wait| wait.as_millis());
    let hint = u32::try_from(hint).unwrap_or(u32::MAX).clamp(1, 60_000);
    Refusal::new(Cause::OverRate, hint)
}

/// Position that makes the commit durable, if the instance was still primary in
/// the term of the grant when it reported it.
fn place(granted: &sessions::Granted, status: position::Status) -> Option<position::Floor> {
    let term = granted.term;
    let primary = status.role == position::Role::Primary && status.promised == term;
    (primary && status.term == term).then_some(position::Floor {
        term,
        lsn: status.received,
    })
}

/// Whether the request is paid for, or has a token to take.
fn is_payable(
    sessions: &sessions::Sessions,
    budgets: &budget::Budgets,
    item: &admission::Waiting,
    now: time::Time,
    short: &mut collections::BTreeSet<Name>,
) -> bool {
    let session = sessions.open.get(&item.request.session);
    let customer = session.and_then(|session| session.customer.as_ref());
    let Some(customer) = customer.filter(|_| !item.request.retry) else {
        return true;
    };
    let paid = budgets.has(customer, now);
    if !paid && !short.contains(customer) {
        short.insert(customer.clone());
    }
    paid
}

/// Whether the candidate shows everything that the session must see.
fn is_fresh(
    group: &group::Group,
    session: &sessions::Session,
    candidate: &consistency::Candidate,
    now: time::Time,
) -> bool {
    if candidate.primary {
        return true;
    }
    if let Some(age) = session.age {
        return group.age(&candidate.name, now).is_some_and(|a| a <= age);
    }
    let floor = session
        .floor
        .or_else(|| group.arrival_floor(session.arrived));
    floor.is_some_and(|floor| group.reaches(&candidate.name, floor))
}
