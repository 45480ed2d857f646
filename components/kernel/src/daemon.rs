//! The state machine of one daemon: the data path and the composition of all
//! decisions. `control` holds the half that talks to peers and the platform.

use std::{collections, sync, time as std_time};

use config::{Fleet, Name};
use errors::{Cause, Refusal};

use crate::{
    admission, budget, event, following, group, handover, journal, load, membership, plugin,
    position, promotion, read_policy, revision, sessions, time, view, warm,
};

/// Retry hint where a database is missing, in ms.
pub(crate) const UNAVAILABLE_RETRY_MS: u32 = 500;
/// Retry hint where a queue is full, in ms.
pub(crate) const CAPACITY_RETRY_MS: u32 = 100;
/// Retry hint where another VM serves at once, in ms.
pub(crate) const OTHER_VM_RETRY_MS: u32 = 0;
/// Silence of an instance, in suspicion times, that breaks its connections.
const SILENCE_FACTOR: u32 = 4;
/// Period of entries on refusals in the journal.
pub(crate) const REFUSAL_REPORT_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

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
    pub domain_regions: collections::BTreeMap<Name, Name>,
    /// Address for peers, `IP:port`.
    pub peer_address: String,
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
pub(crate) struct GroupState {
    pub(crate) group: group::Group,
    pub(crate) promotion: promotion::Promotion,
    pub(crate) handover: handover::Handover,
    pub(crate) primary: Option<(position::Term, Name)>,
    pub(crate) read_queue: Box<dyn admission::Queue>,
    pub(crate) write_queue: Box<dyn admission::Queue>,
}

/// Refusals of one customer since the last entry.
#[derive(Debug)]
pub(crate) struct RefusalCount {
    pub(crate) count: u64,
    pub(crate) cause: Cause,
    pub(crate) since: time::Time,
}

/// All decisions of one daemon.
pub struct Daemon {
    pub(crate) setup: Setup,
    pub(crate) now: time::Time,
    pub(crate) actions: Vec<event::Action>,
    pub(crate) groups: collections::BTreeMap<Name, GroupState>,
    pub(crate) sessions: sessions::Sessions,
    pub(crate) budgets: budget::Budgets,
    pub(crate) members: membership::Membership,
    pub(crate) revisions: revision::Revisions,
    pub(crate) journal: journal::Journal,
    pub(crate) control: crate::control::Control,
    pub(crate) view: view::View,
    pub(crate) watching: crate::watching::Watching,
    pub(crate) following: following::Following,
    pub(crate) arbiter: group::Arbiter,
    pub(crate) instance_groups: collections::HashMap<Name, Name>,
    pub(crate) busy_connections: collections::HashMap<Name, u32>,
    pub(crate) idle_connections: warm::Warm,
    pub(crate) rate_queues:
        collections::BTreeMap<Name, collections::VecDeque<admission::WaitingRequest>>,
    pub(crate) refusal_counts: collections::BTreeMap<Name, RefusalCount>,
    pub(crate) load: load::Load,
    pub(crate) admission: &'static plugin::Admission,
    pub(crate) read_policy: Box<dyn read_policy::Policy>,
    is_refusing: bool,
    unready_reason: Option<journal::UnreadyReason>,
    is_draining: bool,
    pub(crate) is_stopping: bool,
    is_stopped: bool,
}

impl Daemon {
    /// A daemon that knows nothing yet; fails if a policy is not registered.
    pub fn new(setup: Setup, now: time::Time) -> Result<Self, config::Problem> {
        let admission = plugin::admission(&setup.policy.admission)?;
        let read_policy = (plugin::reads(&setup.policy.reads)?.build)();
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
            budgets: budget::Budgets::new(members.own(), sharing, polled),
            view: view::View::default(),
            watching: crate::watching::Watching::default(),
            following: following::Following::default(),
            arbiter,
            members,
            setup,
            now,
            actions: Vec::new(),
            groups: collections::BTreeMap::new(),
            sessions: sessions::Sessions::default(),
            revisions: revision::Revisions::default(),
            journal: journal::Journal::default(),
            control: crate::control::Control::default(),
            instance_groups: collections::HashMap::new(),
            busy_connections: collections::HashMap::new(),
            idle_connections: warm::Warm::default(),
            rate_queues: collections::BTreeMap::new(),
            refusal_counts: collections::BTreeMap::new(),
            load: load::Load::default(),
            admission,
            read_policy,
            is_refusing: false,
            unready_reason: Some(journal::UnreadyReason::View),
            is_draining: false,
            is_stopping: false,
            is_stopped: false,
        })
    }

    /// Takes in an event at `now` and tells what to do.
    pub fn handle(&mut self, now: time::Time, event: event::Event) -> Vec<event::Action> {
        self.now = self.now.max(now);
        match event {
            event::Event::Tick => self.tick(),
            event::Event::SessionRequested(opening) => self.open_session(&opening),
            event::Event::SessionClosed(session) => {
                self.sessions.open.remove(&session);
            }
            event::Event::ConnectionRequested(request) => self.handle_request(request),
            event::Event::RequestAbandoned(request) => self.abandon_request(request),
            event::Event::ConnectionReleased(request, outcome) => {
                self.handle_released(request, outcome)
            }
            event::Event::PollAnswered(poll) => self.handle_poll_reply(&poll),
            event::Event::StatementDelayed(instance) => self.delayed(&instance),
            event::Event::PollFailed(instance, live) => self.unpolled(&instance, live),
            event::Event::FenceAnswered(fence) => self.handle_fence_reply(&fence),
            event::Event::ResumeAnswered(instance, done) => self.resumed(&instance, done),
            event::Event::PromotionAnswered(fence) => self.handle_promotion_reply(&fence),
            event::Event::MessageReceived(from, message) => self.handle_message(&from, message),
            event::Event::VmsListed(vms) => self.handle_vm_list(vms),
            event::Event::RowLoaded(key, loaded) => self.handle_loaded(&key, loaded),
            event::Event::RowStored(key, stored) => self.handle_stored(&key, stored),
            event::Event::ViewUpdated(update) => self.watched(update),
            event::Event::StoreReadEnded(ended) => self.read_ended(&ended),
            event::Event::PositionObserved(seen) => self.observed(&seen),
            event::Event::PromotionOrdered(group, ordered) => self.ordered(&group, ordered),
            event::Event::NoteSubmitted(ticket, note) => {
                self.revisions.submit(ticket, note, self.now);
                self.step_revisions();
            }
            event::Event::Drain => self.is_draining = true,
            event::Event::Stop => self.begin_stop(),
        }
        std::mem::take(&mut self.actions)
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
        self.unready_reason().is_none()
    }

    /// What this VM lacks to be ready.
    fn unready_reason(&self) -> Option<journal::UnreadyReason> {
        if self.is_draining || self.is_stopping {
            Some(journal::UnreadyReason::Stopping)
        } else if self.revision() == 0 || !self.is_fresh() {
            Some(journal::UnreadyReason::View)
        } else if !self.budgets.is_usable() {
            Some(journal::UnreadyReason::Shares)
        } else {
            None
        }
    }

    /// Floor of a session, if known.
    pub fn session_floor(&self, session: event::SessionId) -> Option<position::Floor> {
        self.sessions.open.get(&session)?.floor
    }

    /// What is known of a group.
    pub fn group(&self, name: &str) -> Option<&group::Group> {
        self.groups.get(name).map(|state| &state.group)
    }

    /// Groups by name.
    pub fn groups(&self) -> impl Iterator<Item = (&Name, &group::Group)> {
        self.groups.iter().map(|(name, state)| (name, &state.group))
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
    pub fn waiting_requests(&self) -> usize {
        let queued: usize = self
            .groups
            .values()
            .map(|state| state.read_queue.len() + state.write_queue.len())
            .sum();
        queued
            + self
                .rate_queues
                .values()
                .map(collections::VecDeque::len)
                .sum::<usize>()
    }

    /// Whether something waits for the next tick.
    pub fn has_pending_work(&self) -> bool {
        let calm = |state: &GroupState| {
            let replaced = !state.handover.is_idle() || !state.group.silence(self.now).is_zero();
            let waiting = !state.read_queue.is_empty() || !state.write_queue.is_empty();
            let commits = self.sessions.pending_commits.get(state.group.name());
            !replaced && !waiting && commits.is_none_or(collections::BTreeMap::is_empty)
        };
        self.is_stopping || !self.rate_queues.is_empty() || !self.groups.values().all(calm)
    }

    pub(crate) fn record_decision(&mut self, decision: journal::Decision) {
        let entry = journal::Entry {
            at: self.now,
            decision,
        };
        self.journal.push(entry.clone());
        self.actions.push(event::Action::RecordDecision(entry));
    }

    pub(crate) fn handle_poll_reply(&mut self, poll: &event::PollReply) {
        let Some(name) = self.instance_groups.get(&poll.instance).cloned() else {
            return;
        };
        if let Some(state) = self.groups.get_mut(&name) {
            state
                .group
                .record_poll(self.now, &poll.instance, poll.sent, poll.status);
        }
        self.advance_group(&name);
    }

    /// Acts on what a group's new state allows.
    pub(crate) fn advance_group(&mut self, group: &Name) {
        self.record_primary(group);
        self.settle_commits(group);
        self.dispatch(group);
        self.send_polls(group);
    }

    pub(crate) fn record_primary(&mut self, group: &Name) {
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        let Some(found) = state.group.confirmation(self.now) else {
            return;
        };
        let current = (found.term, found.primary);
        if state.primary.as_ref() == Some(&current) {
            return;
        }
        let previous = state.primary.replace(current.clone());
        if let Some((_, old)) = previous.filter(|(_, old)| *old != current.1) {
            self.actions.push(event::Action::BreakConnections(old));
        }
        self.record_decision(journal::Decision::Primary {
            group: group.clone(),
            instance: current.1,
            term: current.0,
        });
    }

    /// Sends the polls of a group that are due.
    pub(crate) fn send_polls(&mut self, group: &Name) {
        let waiting = self
            .sessions
            .pending_commits
            .get(group)
            .is_some_and(|c| !c.is_empty());
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        if !state.read_queue.is_empty() || !state.write_queue.is_empty() {
            state.group.request_term(self.now);
        }
        for name in state.group.take_due_polls(self.now, waiting) {
            self.actions.push(event::Action::Poll(name));
        }
    }

    pub(crate) fn tick(&mut self) {
        self.tick_control();
        let groups: Vec<_> = self.groups.keys().cloned().collect();
        for group in &groups {
            self.refuse_expired(group);
            self.break_silent_connections(group);
            self.step_promotion(group);
            self.request_connections(group);
            self.advance_group(group);
        }
        self.admit_waiting();
        self.report_refusals();
        self.record_freshness();
        self.record_readiness();
        self.report_load();
        self.finish_stop();
    }

    pub(crate) fn break_silent_connections(&mut self, group: &Name) {
        if self.arbiter == group::Arbiter::Store {
            return;
        }
        let limit = self.setup.timing.suspect * SILENCE_FACTOR;
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        for name in state.group.take_newly_silent(self.now, limit) {
            self.actions.push(event::Action::BreakConnections(name));
        }
    }

    pub(crate) fn request_connections(&mut self, group: &Name) {
        let Some(state) = self.groups.get(group) else {
            return;
        };
        let count = state.group.instances.len().max(1);
        for name in state.group.instances.keys() {
            let primary = state.group.primary() == Some(name);
            let writes = if primary { state.write_queue.len() } else { 0 };
            let waiting =
                u64::try_from(writes + state.read_queue.len() / count).unwrap_or(u64::MAX);
            let busy = u64::from(self.busy_connections.get(name).copied().unwrap_or(0));
            let needed = (busy + waiting).max(1);
            self.budgets.update_demand(name, needed, self.now);
        }
    }

    /// Refuses what waited past its deadline.
    pub(crate) fn refuse_expired(&mut self, group: &Name) {
        let now = self.now;
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        let mut late = |item: &admission::WaitingRequest| item.deadline <= now;
        let mut out = state.read_queue.extract_if(&mut late);
        out.extend(state.write_queue.extract_if(&mut late));
        let known = state.group.confirmation(now).is_some();
        for item in out {
            let refusal = if known {
                Refusal::new(Cause::NoCapacity, CAPACITY_RETRY_MS)
            } else {
                Refusal::new(Cause::Unavailable, UNAVAILABLE_RETRY_MS)
            };
            self.refuse(&item.request, refusal);
        }
    }

    pub(crate) fn record_freshness(&mut self) {
        let fresh = self.is_fresh();
        if fresh != self.is_refusing {
            return;
        }
        self.is_refusing = !fresh;
        let until = self.fresh_until().unwrap_or_default();
        let silent = self.now.since(until.before(self.setup.timing.refusal));
        self.record_decision(journal::Decision::Freshness {
            refused: !fresh,
            silent_ms: time::micros(silent) / 1000,
        });
    }

    fn record_readiness(&mut self) {
        let lacks = self.unready_reason();
        if lacks != self.unready_reason {
            self.unready_reason = lacks;
            self.record_decision(journal::Decision::Readiness { lacks });
        }
    }

    pub(crate) fn begin_stop(&mut self) {
        if self.is_stopping {
            return;
        }
        self.is_stopping = true;
        self.budgets.release();
        self.record_decision(journal::Decision::Stopping {
            sessions: self.sessions.open.len(),
        });
        let mut ids: Vec<_> = self.sessions.open.keys().copied().collect();
        ids.sort_unstable();
        for id in ids {
            let refusal = Refusal::new(Cause::Stopping, OTHER_VM_RETRY_MS);
            self.actions.push(event::Action::EndSession(id, refusal));
        }
        self.finish_stop();
    }

    pub(crate) fn finish_stop(&mut self) {
        let idle = self.sessions.granted.is_empty()
            && self
                .sessions
                .pending_commits
                .values()
                .all(collections::BTreeMap::is_empty)
            && self.waiting_requests() == 0;
        if !self.is_stopping || self.is_stopped || !idle {
            return;
        }
        self.is_stopped = true;
        self.release_member();
        self.actions.push(event::Action::Stopped);
    }
}
