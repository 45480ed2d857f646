//! The state machine of one daemon: the data path and the composition of all
//! decisions. `control` holds the half that talks to peers and the platform.

use std::{collections, sync, time as std_time};

use config::{Fleet, Name};
use errors::{Cause, Refusal};

use crate::{
    admission, budget, consistency, event, group, handover, idle, journal, load, membership,
    plugin, position, promotion, revision, sessions, time, view, view_sync,
};

/// Retry hint where a database is missing, in ms.
pub(crate) const UNAVAILABLE_RETRY_MS: u32 = 500;
/// Retry hint where a queue is full, in ms.
pub(crate) const CAPACITY_RETRY_MS: u32 = 100;
/// Retry hint where another VM serves at once, in ms.
pub(crate) const ELSEWHERE_RETRY_MS: u32 = 0;
/// Silence of an instance, in suspicion times, that breaks its connections.
const SEVER_FACTOR: u32 = 4;
/// Period of entries on refusals in the journal.
pub(crate) const REFUSAL_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// Identity and settings of a daemon's decisions.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This VM.
    pub vm: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Its region.
    pub region: Name,
    /// Region of each failure domain, where the settings tell it.
    pub domains: collections::BTreeMap<Name, Name>,
    /// Address for peers, `IP:port`.
    pub peer: String,
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
    pub(crate) handover: handover::Handover,
    pub(crate) primary: Option<(position::Term, Name)>,
    pub(crate) reads: Box<dyn admission::Queue>,
    pub(crate) writes: Box<dyn admission::Queue>,
}

/// Refusals of one customer since the last entry.
#[derive(Debug)]
pub(crate) struct Burst {
    pub(crate) count: u64,
    pub(crate) cause: Cause,
    pub(crate) since: time::Time,
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
    pub(crate) view: view::View,
    pub(crate) watching: crate::store_watch::State,
    pub(crate) following: view_sync::State,
    pub(crate) arbiter: group::Arbiter,
    pub(crate) owner: collections::HashMap<Name, Name>,
    pub(crate) busy: collections::HashMap<Name, u32>,
    pub(crate) warm: idle::Connections,
    pub(crate) lanes: collections::BTreeMap<Name, collections::VecDeque<admission::Waiting>>,
    pub(crate) bursts: collections::BTreeMap<Name, Burst>,
    pub(crate) load: load::Load,
    pub(crate) admission: &'static plugin::Admission,
    pub(crate) reads: Box<dyn consistency::ReadPolicy>,
    refused: bool,
    lacks: Option<journal::Lack>,
    leaving: bool,
    pub(crate) stopping: bool,
    stopped: bool,
}

impl Daemon {
    /// A daemon that knows nothing yet; fails if a policy is not registered.
    pub fn new(setup: Setup, now: time::Time) -> Result<Self, config::Problem> {
        let admission = plugin::admission(&setup.policy.admission)?;
        let reads = (plugin::reads(&setup.policy.reads)?.build)();
        let sharing = (plugin::sharing(&setup.policy.budget)?.build)();
        let arbiter = plugin::arbiter(&setup.policy.arbiter)?;
        let members = membership::Membership::new(
            setup.vm.clone(),
            (setup.domain.clone(), setup.region.clone()),
            setup.incarnation,
            &setup.timing,
            arbiter,
        );
        // Instances poll over connections of their own only without the store.
        let polled = arbiter == group::Arbiter::Instances;
        Ok(Self {
            budgets: budget::Budgets::new(members.own_member(), sharing, polled),
            view: view::View::default(),
            watching: crate::store_watch::State::default(),
            following: view_sync::State::default(),
            arbiter,
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
            warm: idle::Connections::default(),
            lanes: collections::BTreeMap::new(),
            bursts: collections::BTreeMap::new(),
            load: load::Load::default(),
            admission,
            reads,
            refused: false,
            lacks: Some(journal::Lack::View),
            leaving: false,
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
            event::Event::Delayed(instance) => self.handle_delay(&instance),
            event::Event::Unpolled(instance, live) => self.handle_unpolled(&instance, live),
            event::Event::Fenced(fence) => self.fenced(&fence),
            event::Event::Resumed(instance, done) => self.resumed(&instance, done),
            event::Event::Promoted(fence) => self.promoted(&fence),
            event::Event::Received(from, message) => self.received(&from, message),
            event::Event::Listed(vms) => self.listed(vms),
            event::Event::Loaded(key, loaded) => self.loaded(&key, loaded),
            event::Event::Stored(key, stored) => self.stored(&key, stored),
            event::Event::Watched(update) => self.apply_view_update(update),
            event::Event::ReadEnded(ended) => self.finish_read(&ended),
            event::Event::Observed(seen) => self.handle_observation(&seen),
            event::Event::Ordered(group, ordered) => self.ordered(&group, ordered),
            event::Event::Submitted(ticket, note) => {
                self.revisions.submit(ticket, note, self.now);
                self.step_revisions();
            }
            event::Event::Leave => self.leaving = true,
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
        self.fresh_until().is_some_and(|until| until > self.now)
    }

    /// End of the time in which the configuration here is known to be in force.
    pub fn fresh_until(&self) -> Option<time::Time> {
        self.members.fresh_until(self.now)
    }

    /// Whether new sessions are welcome.
    pub fn is_ready(&self) -> bool {
        self.lacking().is_none()
    }

    /// What this VM lacks to be ready.
    fn lacking(&self) -> Option<journal::Lack> {
        if self.leaving || self.stopping {
            Some(journal::Lack::Stopping)
        } else if self.revision() == 0 || !self.is_fresh() {
            Some(journal::Lack::View)
        } else if !self.budgets.is_usable() {
            Some(journal::Lack::Shares)
        } else {
            None
        }
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

    /// Whether something waits for the next tick.
    pub fn is_pressed(&self) -> bool {
        let calm = |pool: &Pool| {
            let replaced = !pool.handover.is_idle() || !pool.group.silence(self.now).is_zero();
            let waiting = !pool.reads.is_empty() || !pool.writes.is_empty();
            let commits = self.sessions.commits.get(pool.group.name());
            !replaced && !waiting && commits.is_none_or(collections::BTreeMap::is_empty)
        };
        self.stopping || !self.lanes.is_empty() || !self.pools.values().all(calm)
    }

    pub(crate) fn record(&mut self, decision: journal::Decision) {
        let entry = journal::Entry {
            at: self.now,
            decision,
        };
        self.journal.push(entry.clone());
        self.out.push(event::Action::Record(entry));
    }

    pub(crate) fn polled(&mut self, poll: &event::Poll) {
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

    pub(crate) fn note_primary(&mut self, group: &Name) {
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
        if !pool.reads.is_empty() || !pool.writes.is_empty() {
            pool.group.want_term(self.now);
        }
        for name in pool.group.due(self.now, waiting) {
            self.out.push(event::Action::Poll(name));
        }
    }

    pub(crate) fn tick(&mut self) {
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
        self.note_readiness();
        self.report_load();
        self.finish_stop();
    }

    pub(crate) fn sever_silent(&mut self, group: &Name) {
        if self.arbiter == group::Arbiter::Store {
            return;
        }
        let limit = self.setup.timing.suspect * SEVER_FACTOR;
        let Some(pool) = self.pools.get_mut(group) else {
            return;
        };
        for name in pool.group.fallen_silent(self.now, limit) {
            self.out.push(event::Action::Sever(name));
        }
    }

    pub(crate) fn need_connections(&mut self, group: &Name) {
        let Some(pool) = self.pools.get(group) else {
            return;
        };
        let count = pool.group.instances.len().max(1);
        for name in pool.group.instances.keys() {
            let primary = pool.group.primary() == Some(name);
            let writes = if primary { pool.writes.len() } else { 0 };
            let waiting = u64::try_from(writes + pool.reads.len() / count).unwrap_or(u64::MAX);
            let busy = u64::from(self.busy.get(name).copied().unwrap_or(0));
            let needed = (busy + waiting).max(1);
            self.budgets.need(name, needed, self.now);
        }
    }

    /// Refuses what waited past its deadline.
    pub(crate) fn expire(&mut self, group: &Name) {
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

    pub(crate) fn note_freshness(&mut self) {
        let fresh = self.is_fresh();
        if fresh != self.refused {
            return;
        }
        self.refused = !fresh;
        let until = self.fresh_until().unwrap_or_default();
        let silent = self.now.since(until.before(self.setup.timing.refusal));
        self.record(journal::Decision::Freshness {
            refused: !fresh,
            silent_ms: time::micros(silent) / 1000,
        });
    }

    fn note_readiness(&mut self) {
        let lacks = self.lacking();
        if lacks != self.lacks {
            self.lacks = lacks;
            self.record(journal::Decision::Readiness { lacks });
        }
    }

    pub(crate) fn stop(&mut self) {
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

    pub(crate) fn finish_stop(&mut self) {
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
        self.release_entry();
        self.out.push(event::Action::Stopped);
    }
}
