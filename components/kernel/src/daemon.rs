//! The state machine of one daemon: the data path and the composition of all
//! decisions. `control` holds the control plane, which communicates with peers,
//! operators and the platform.

use std::{collections, sync, time as std_time};

use config::{Fleet, Name};
use errors::{Cause, Refusal};

use crate::{
    admission, budget, evacuation, event, group, handover, homes, idle, journal, load, membership,
    overload, plugin, position, promotion, read_policy, replica_set, revision, sessions, time,
    view, view_sync, warmup,
};

/// Retry hint when no instance is available, in ms.
pub(crate) const UNAVAILABLE_RETRY_MS: u32 = 500;
/// Retry hint when a queue is full, in ms.
pub(crate) const CAPACITY_RETRY_MS: u32 = 100;
/// Retry hint when another VM can serve the caller at once, in ms.
pub(crate) const OTHER_VM_RETRY_MS: u32 = 0;
/// Number of suspicion timeouts after which the connections to a silent instance
/// are broken.
const SILENCE_FACTOR: u32 = 4;
/// Period of journal entries on refusals.
pub(crate) const REFUSAL_REPORT_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// Identity and settings of a daemon.
#[derive(Clone, Debug)]
pub struct Setup {
    /// This VM.
    pub vm: Name,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Region of this VM.
    pub region: Name,
    /// Region of each failure domain that the settings list.
    pub domain_regions: collections::BTreeMap<Name, Name>,
    /// Address that peers connect to, `IP:port`.
    pub peer_address: String,
    /// Number of this daemon run; larger than that of any earlier run on the VM.
    pub incarnation: u64,
    /// Periods and timeouts.
    pub timing: config::Timing,
    /// Limits on callers and requests.
    pub limits: config::Limits,
    /// Names of the policies to use.
    pub policy: config::Policy,
}

/// A group, the replacement of its primary and its waiting requests.
pub(crate) struct GroupState {
    pub(crate) group: group::Group,
    pub(crate) promotion: promotion::Promotion,
    pub(crate) handover: handover::Handover,
    pub(crate) primary: Option<(position::Term, Name)>,
    /// Difference between the stored replica set and the registered instances.
    pub(crate) replica_change: Option<replica_set::Difference>,
    /// When they were last compared.
    pub(crate) replicas_checked: time::Time,
    pub(crate) read_queue: Box<dyn admission::Queue>,
    pub(crate) write_queue: Box<dyn admission::Queue>,
}

/// Refusals of one customer since the last journal entry about them.
#[derive(Debug)]
pub(crate) struct RefusalCount {
    pub(crate) count: u64,
    pub(crate) cause: Cause,
    pub(crate) since: time::Time,
}

/// State machine of one daemon.
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
    pub(crate) store_watch: crate::store_watch::State,
    pub(crate) view_sync: view_sync::State,
    pub(crate) evacuations: evacuation::State,
    pub(crate) arbiter: group::Arbiter,
    pub(crate) instance_groups: collections::HashMap<Name, Name>,
    pub(crate) busy_connections: collections::HashMap<Name, u32>,
    pub(crate) idle_connections: idle::Connections,
    pub(crate) regions: homes::Regions,
    pub(crate) refused_homes: homes::Refused,
    pub(crate) rate_queues: collections::BTreeMap<Name, admission::backlog::Backlog>,
    pub(crate) warmup: warmup::State,
    pub(crate) refusal_counts: collections::BTreeMap<Name, RefusalCount>,
    pub(crate) hold_times: overload::HoldTimes,
    pub(crate) load: load::Load,
    pub(crate) admission: &'static plugin::Admission,
    /// Whether the routes of the configuration differ in priority.
    pub(crate) ranks_routes: bool,
    pub(crate) read_policy: Box<dyn read_policy::Policy>,
    is_refusing: bool,
    unready_reason: Option<journal::UnreadyReason>,
    is_draining: bool,
    pub(crate) is_stopping: bool,
    is_stopped: bool,
}

impl Daemon {
    /// Creates a daemon without any state; fails if a policy is not registered.
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
        // Daemons poll over dedicated connections only if the store does not
        // arbitrate.
        let has_dedicated_polls = arbiter == group::Arbiter::Instances;
        Ok(Self {
            budgets: budget::Budgets::new(members.own_member(), sharing, has_dedicated_polls),
            view: view::View::default(),
            store_watch: crate::store_watch::State::default(),
            view_sync: view_sync::State::new(now),
            evacuations: evacuation::State::default(),
            arbiter,
            members,
            regions: homes::Regions::new(setup.region.clone()),
            refused_homes: homes::Refused::default(),
            warmup: warmup::State::default(),
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
            idle_connections: idle::Connections::default(),
            rate_queues: collections::BTreeMap::new(),
            refusal_counts: collections::BTreeMap::new(),
            hold_times: overload::HoldTimes::default(),
            load: load::Load::default(),
            admission,
            ranks_routes: false,
            read_policy,
            is_refusing: false,
            unready_reason: Some(journal::UnreadyReason::View),
            is_draining: false,
            is_stopping: false,
            is_stopped: false,
        })
    }

    /// Processes an event at `now` and returns the actions to carry out.
    pub fn handle(&mut self, now: time::Time, event: event::Event) -> Vec<event::Action> {
        self.now = self.now.max(now);
        match event {
            event::Event::Tick => self.tick(),
            event::Event::SessionRequested(request) => self.open_session(&request),
            event::Event::SessionClosed(session) => {
                self.sessions.open.remove(&session);
            }
            event::Event::ConnectionRequested(request) => self.handle_request(request),
            event::Event::RequestAbandoned(request) => self.abandon_request(request),
            event::Event::ConnectionReleased(request, outcome) => {
                self.handle_release(request, outcome)
            }
            event::Event::PollAnswered(reply) => self.handle_poll_reply(&reply),
            event::Event::StatementDelayed(instance) => self.handle_statement_delay(&instance),
            event::Event::PollFailed(instance, is_alive) => {
                self.handle_poll_failure(&instance, is_alive)
            }
            event::Event::FenceAnswered(reply) => self.handle_fence_reply(&reply),
            event::Event::ResumeAnswered(instance, done) => self.handle_resumed(&instance, done),
            event::Event::PromotionAnswered(reply) => self.handle_promotion_reply(&reply),
            event::Event::MessageReceived(from, message) => self.handle_message(&from, message),
            event::Event::VmsListed(vms) => self.handle_vm_list(vms),
            event::Event::RowLoaded(key, loaded) => self.handle_loaded(&key, loaded),
            event::Event::RowStored(key, stored) => self.handle_stored(&key, stored),
            event::Event::ViewUpdated(update) => self.apply_view_update(update),
            event::Event::StoreReadEnded(ended) => self.finish_read(&ended),
            event::Event::PositionObserved(observation) => self.handle_observation(&observation),
            event::Event::PromotionOrdered(group, ordered) => self.handle_ordered(&group, ordered),
            event::Event::NoteSubmitted(id, note) => {
                self.revisions.submit(id, note, self.now);
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

    /// Revision in force on this VM.
    pub fn revision(&self) -> u64 {
        self.revisions.head().revision
    }

    /// Whether keyed requests are accepted now.
    pub fn is_fresh(&self) -> bool {
        self.fresh_until().is_some_and(|until| until > self.now)
    }

    /// Time until which this VM's configuration is known to be in force.
    pub fn fresh_until(&self) -> Option<time::Time> {
        self.members.fresh_until(self.now)
    }

    /// Whether the daemon is ready for new sessions.
    pub fn is_ready(&self) -> bool {
        self.unready_reason().is_none()
    }

    /// Reason why the daemon is not ready, if any.
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

    /// Floor of a session's reads in a group, if known.
    pub fn session_floor(
        &self,
        session: event::SessionId,
        group: &str,
    ) -> Option<position::Position> {
        self.sessions.open.get(&session)?.floor(group)
    }

    /// State of a group as known on this VM.
    pub fn group(&self, name: &str) -> Option<&group::Group> {
        self.groups.get(name).map(|state| &state.group)
    }

    /// Groups by name.
    pub fn groups(&self) -> impl Iterator<Item = (&Name, &group::Group)> {
        self.groups.iter().map(|(name, state)| (name, &state.group))
    }

    /// View of the store on this VM.
    pub fn view(&self) -> &view::View {
        &self.view
    }

    /// Membership as known on this VM.
    pub fn membership(&self) -> &membership::Membership {
        &self.members
    }

    /// Budget shares held by this VM.
    pub fn budgets(&self) -> &budget::Budgets {
        &self.budgets
    }

    /// Configuration in force on this VM.
    pub fn fleet(&self) -> &sync::Arc<Fleet> {
        &self.revisions.head().fleet
    }

    /// Number of requests that wait for a connection or a rate token.
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
                .map(admission::backlog::Backlog::len)
                .sum::<usize>()
    }

    /// Whether the next tick may have work to do.
    pub fn has_pending_work(&self) -> bool {
        let is_idle = |state: &GroupState| {
            let is_replacing =
                !state.handover.is_idle() || !state.group.silence(self.now).is_zero();
            let waiting = !state.read_queue.is_empty() || !state.write_queue.is_empty();
            let commits = self.sessions.pending_commits.get(state.group.name());
            !is_replacing && !waiting && commits.is_none_or(collections::BTreeMap::is_empty)
        };
        self.is_stopping || !self.rate_queues.is_empty() || !self.groups.values().all(is_idle)
    }

    pub(crate) fn record_decision(&mut self, decision: journal::Decision) {
        let entry = journal::Entry {
            at: self.now,
            decision,
        };
        self.journal.push(entry.clone());
        self.actions.push(event::Action::RecordDecision(entry));
    }

    pub(crate) fn handle_poll_reply(&mut self, reply: &event::PollReply) {
        let Some(name) = self.instance_groups.get(&reply.instance).cloned() else {
            return;
        };
        self.track_restart(&reply.instance, reply.status.is_some());
        if let Some(state) = self.groups.get_mut(&name) {
            state
                .group
                .record_poll(self.now, &reply.instance, reply.sent, reply.status);
        }
        self.advance_group(&name);
    }

    /// Records a new primary of a group, settles its commits, grants its connections
    /// and sends its due polls.
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
        let Some(confirmed) = state.group.confirmation(self.now) else {
            return;
        };
        let current = (confirmed.term, confirmed.primary);
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
        self.end_evacuated();
        let groups: Vec<_> = self.groups.keys().cloned().collect();
        for group in &groups {
            self.refuse_expired(group);
            self.refuse_evacuated(group);
            self.refuse_leaderless(group);
            self.refuse_outside_homes(group);
            self.break_silent_connections(group);
            self.step_promotion(group);
            self.request_connections(group);
            self.advance_group(group);
            self.maintain_replica_set(group);
        }
        self.admit_waiting();
        self.report_refusals();
        self.report_outside_homes();
        self.report_warmup();
        self.record_freshness();
        self.record_readiness();
        self.report_load();
        self.finish_stop();
    }

    pub(crate) fn break_silent_connections(&mut self, group: &Name) {
        if self.arbiter == group::Arbiter::Store {
            return;
        }
        let limit = self.setup.timing.suspicion_timeout * SILENCE_FACTOR;
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

    pub(crate) fn record_freshness(&mut self) {
        let fresh = self.is_fresh();
        if fresh != self.is_refusing {
            return;
        }
        self.is_refusing = !fresh;
        let until = self.fresh_until().unwrap_or_default();
        let confirmed = until.before(self.setup.timing.refusal_timeout);
        let silent = self.now.since(confirmed.unwrap_or_default());
        self.record_decision(journal::Decision::Freshness {
            refused: !fresh,
            silent_ms: time::micros(silent) / 1000,
        });
    }

    fn record_readiness(&mut self) {
        let lacks = self.unready_reason();
        if lacks.is_none() {
            self.mark_ready();
        }
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
        self.release_entry();
        self.actions.push(event::Action::Stopped);
    }
}
