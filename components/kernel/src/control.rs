//! The half of the daemon that talks to peers, operators and the platform.

use std::{collections, sync, time as std_time};

use config::Name;

use crate::{
    budget, daemon, epochs, event, group, journal, message, promotion, rendezvous, revision, time,
    view,
};

/// Time after which an unanswered call to the store is repeated.
const STORE_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(3);

/// A row that is read from time to time.
#[derive(Debug, Default)]
struct RowRead {
    sent: Option<time::Time>,
    pending: bool,
    answered: Option<time::Time>,
}

impl RowRead {
    fn due(&mut self, now: time::Time, period: std_time::Duration) -> bool {
        let wait = if self.pending { STORE_TIMEOUT } else { period };
        let due = self.sent.is_none_or(|at| now.since(at) >= wait);
        if due {
            self.start(now);
        }
        due
    }

    fn start(&mut self, now: time::Time) {
        self.sent = Some(now);
        self.pending = true;
    }

    fn finish(&mut self, found: bool) {
        self.pending = false;
        if found {
            self.answered = self.sent;
        }
    }
}

/// Calls on their way and their results.
#[derive(Debug, Default)]
pub struct Control {
    head_read: RowRead,
    epoch_read: RowRead,
    pub(crate) epoch_version: Option<u64>,
    pub(crate) epoch_wanted: Option<time::Time>,
    pub(crate) epoch_adopted: time::Time,
    pub(crate) epoch_proposed: Option<time::Time>,
}

impl daemon::Daemon {
    pub(crate) fn tick_control(&mut self) {
        if self.arbiter == group::Arbiter::Instances {
            self.load_due_rows();
            self.step_revisions();
        } else {
            self.keep_member();
            self.drop_lapsed();
            self.follow();
        }
        self.send_pings(false);
        self.propose_epoch();
        self.grow();
        self.send_asks();
    }

    fn load_due_rows(&mut self) {
        let period = self.setup.timing.platform;
        if self.control.head_read.due(self.now, period) {
            self.actions
                .push(event::Action::LoadRow(event::RowKey::Head));
        }
        if self.control.epoch_read.due(self.now, period) {
            self.actions
                .push(event::Action::LoadRow(event::RowKey::Epoch));
        }
    }

    pub(crate) fn send(&mut self, to: Name, message: message::Message) {
        self.actions.push(event::Action::Send(to, message));
    }

    fn full_report(&self) -> message::Report {
        let epoch = self.budgets.epoch().number;
        let mut report = self.members.report(self.now, self.revision(), epoch);
        if self.arbiter == group::Arbiter::Store {
            report.version = self.view.known(view::Part::Rows).unwrap_or_default();
            report.positions = self.known_positions();
        }
        report
    }

    /// What is known of this VM alone.
    pub(crate) fn brief_report(&self) -> message::Report {
        let epoch = self.budgets.epoch().number;
        self.members.brief_report(self.revision(), epoch)
    }

    pub(crate) fn send_pings(&mut self, at_once: bool) {
        let targets = self.members.due(self.now, at_once);
        if targets.is_empty() {
            return;
        }
        self.assign_sampling();
        // Only answers carry what is known of others: their age can be told.
        let report = self.brief_report();
        let ruled = self.arbiter == group::Arbiter::Store;
        let vms = self.members.vms().clone();
        for name in targets {
            if !ruled && self.members.is_unanswering(&name, self.now) {
                self.send(name.clone(), message::Message::Vms(vms.clone()));
            }
            let ping = message::Message::Ping(self.now, report.clone());
            self.send(name, ping);
        }
    }

    /// Chooses one relay of the region a group that asks its leader often, so that
    /// a fleet knows positions without every VM asking for them.
    fn assign_sampling(&mut self) {
        if self.arbiter == group::Arbiter::Instances {
            return;
        }
        let samplers = self.members.samplers(self.now);
        for (name, state) in &mut self.groups {
            let sampling = match &samplers {
                None => group::Sampling::Periodic,
                Some(relays) => match rendezvous::rank(name, relays).first() {
                    Some(first) if *first == self.setup.vm => group::Sampling::Frequent,
                    _ => group::Sampling::OnDemand,
                },
            };
            state.group.set_sampling(sampling);
        }
    }

    pub(crate) fn handle_message(&mut self, from: &Name, message: message::Message) {
        match message {
            message::Message::Ping(sent, report) => self.handle_ping(from, sent, &report),
            message::Message::Pong(sent, report) => self.handle_pong(from, sent, &report),
            message::Message::Vms(vms) => {
                if self.members.vms().is_empty() && self.arbiter == group::Arbiter::Instances {
                    self.handle_vm_list(vms);
                }
            }
            message::Message::Fetch(after) => self.send_notes(from, after),
            message::Message::Notes(after, notes) => {
                if self.revisions.extend(after, &notes) {
                    self.configure_and_push(journal::RevisionSource::Peer(from.clone()));
                }
            }
            message::Message::Snapshot(head) => {
                self.adopt_head(head, journal::RevisionSource::Peer(from.clone()));
            }
            message::Message::Epoch(epoch) => self.adopt_epoch(&epoch),
            message::Message::Ask(ask) => self.handle_ask(from, &ask),
            message::Message::Give(give) => self.handle_give(from, &give),
            message::Message::Took(nonce) => self.budgets.confirm_transfer(nonce),
            message::Message::Suspect(suspicion) => self.handle_suspicion(from, &suspicion),
            message::Message::Close(claim) => self.close_leader(from, &claim),
            message::Message::Closed(claim) => self.closed_leader(from, &claim),
            message::Message::Follow(follow) => self.followed(from, &follow),
            message::Message::Passed(passed) => self.passed(from, passed),
            message::Message::Changed => self.news(from),
            message::Message::Cancel(process, secret) => {
                self.actions
                    .push(event::Action::CancelStatement(process, secret));
            }
        }
    }

    pub(crate) fn handle_vm_list(&mut self, vms: Vec<event::Vm>) {
        self.actions.push(event::Action::UpdatePeers(vms.clone()));
        self.members.list(vms, self.now);
    }

    fn handle_ping(&mut self, from: &Name, sent: time::Time, report: &message::Report) {
        self.members.pinged(from, self.now, report);
        self.grow();
        let own = self.full_report();
        self.send(from.clone(), message::Message::Pong(sent, own));
        self.sync_with_peer(from, report);
    }

    fn handle_pong(&mut self, from: &Name, sent: time::Time, report: &message::Report) {
        let revision = self.revision();
        let epoch = self.budgets.epoch().number;
        // Where the store arbitrates, proofs only tell who is live.
        let ruled = self.arbiter == group::Arbiter::Store;
        let current = |r: u64, e: u64| ruled || (r <= revision && e <= epoch);
        self.members.ponged(from, self.now, sent, report, &current);
        self.learn_positions(sent, &report.positions);
        self.sync_with_peer(from, report);
        self.step_revisions();
        self.grow();
    }

    /// Sends what the peer lacks, and asks for what this daemon lacks.
    fn sync_with_peer(&mut self, peer: &Name, report: &message::Report) {
        let ruled = self.arbiter == group::Arbiter::Store;
        if report.revision > self.revision() && !ruled {
            let fetch = message::Message::Fetch(self.revision());
            self.send(peer.clone(), fetch);
        }
        let vms = self.members.vms();
        if !report.listed && !vms.is_empty() && !ruled {
            let vms = vms.clone();
            self.send(peer.clone(), message::Message::Vms(vms));
        }
        // In a large fleet the store tells it, and each VM would be told by many.
        let told = ruled && self.budgets.epoch().members.len() > epochs::DIRECT_MEMBERS;
        if report.epoch < self.budgets.epoch().number && !told {
            let epoch = self.budgets.epoch().clone();
            self.send(peer.clone(), message::Message::Epoch(epoch));
        }
    }

    fn send_notes(&mut self, peer: &Name, after: u64) {
        let message = match self.revisions.since(after) {
            Some(notes) => message::Message::Notes(after, notes),
            None => message::Message::Snapshot(self.revisions.head().clone()),
        };
        self.send(peer.clone(), message);
    }

    fn adopt_head(&mut self, head: sync::Arc<event::ConfigHead>, source: journal::RevisionSource) {
        if self.revisions.adopt(head) {
            self.configure_and_push(source);
        }
    }

    fn configure_and_push(&mut self, source: journal::RevisionSource) {
        self.configure(source);
        self.push_revision();
        self.send_pings(true);
    }

    /// Pushes the revision to the VMs of the next exchange that lack it.
    fn push_revision(&mut self) {
        let revision = self.revision();
        for name in self.members.targets(self.now) {
            let peer = self.members.peers().get(&name);
            if let Some(peer) = peer.filter(|peer| peer.revision < revision) {
                self.send_notes(&name, peer.revision);
            }
        }
    }

    pub(crate) fn handle_loaded(&mut self, key: &event::RowKey, loaded: event::LoadOutcome) {
        let answered = loaded != event::LoadOutcome::Unavailable;
        match key {
            event::RowKey::Head => self.handle_loaded_head(loaded, answered),
            event::RowKey::Epoch => self.handle_loaded_epoch(loaded, answered),
            event::RowKey::Member(_) | event::RowKey::Leader(_) => return,
        }
        let (head, epoch) = (
            self.control.head_read.answered,
            self.control.epoch_read.answered,
        );
        if let (Some(head), Some(epoch)) = (head, epoch) {
            self.members.confirm(head.min(epoch));
        }
    }

    fn handle_loaded_head(&mut self, loaded: event::LoadOutcome, answered: bool) {
        self.control.head_read.finish(answered);
        let step = self.revisions.loaded(self.now, &loaded);
        if let event::LoadOutcome::Found(_, event::Row::Head(head)) = loaded {
            self.adopt_head(sync::Arc::new(head), journal::RevisionSource::Store);
        }
        if let Some(step) = step {
            self.apply_revision_step(step);
        }
        self.step_revisions();
    }

    pub(crate) fn handle_loaded_epoch(&mut self, loaded: event::LoadOutcome, answered: bool) {
        self.control.epoch_read.finish(answered);
        match loaded {
            event::LoadOutcome::Found(version, event::Row::Epoch(epoch)) => {
                self.control.epoch_version = Some(version);
                self.adopt_epoch(&epoch);
            }
            event::LoadOutcome::Missing => self.control.epoch_version = Some(0),
            _ => {}
        }
    }

    pub(crate) fn handle_stored(&mut self, key: &event::RowKey, stored: event::StoreOutcome) {
        match key {
            event::RowKey::Member(vm) if *vm == self.setup.vm => {
                self.watching.member_stored(stored)
            }
            event::RowKey::Member(_) => {}
            event::RowKey::Leader(group) => self.stored_leader(group, stored),
            event::RowKey::Epoch if self.arbiter == group::Arbiter::Store => {}
            event::RowKey::Head => {
                if let Some(step) = self.revisions.stored(self.now, stored) {
                    self.apply_revision_step(step);
                }
                self.step_revisions();
            }
            event::RowKey::Epoch => {
                self.control.epoch_read.start(self.now);
                self.actions
                    .push(event::Action::LoadRow(event::RowKey::Epoch));
            }
        }
    }

    pub(crate) fn step_revisions(&mut self) {
        let majority = self.members.sees_majority(self.now);
        let (members, now) = (&self.members, self.now);
        let behind = |revision| !members.behind(revision, now).is_empty();
        for step in self.revisions.step(now, majority, &behind) {
            self.apply_revision_step(step);
        }
    }

    fn apply_revision_step(&mut self, step: revision::Step) {
        match step {
            revision::Step::Load => {
                self.control.head_read.start(self.now);
                self.actions
                    .push(event::Action::LoadRow(event::RowKey::Head));
            }
            revision::Step::Store(version, head) => {
                let row = event::Row::Head(head);
                self.actions.push(event::Action::StoreRow(version, row));
            }
            revision::Step::Adopt(head) => {
                self.adopt_head(sync::Arc::new(head), journal::RevisionSource::Operator);
            }
            revision::Step::Answer(ticket, verdict) => {
                self.actions
                    .push(event::Action::AnswerOperator(ticket, verdict));
            }
        }
    }

    pub(crate) fn send_asks(&mut self) {
        let now = self.now;
        let refusal = self.setup.timing.refusal;
        let region = &self.setup.region;
        let mut peers = Vec::new();
        let mut near = Vec::new();
        for (name, peer) in self.members.peers() {
            let Some(vm) = &peer.listed else {
                continue;
            };
            if now.since(peer.touch) > refusal {
                continue;
            }
            peers.push(name.clone());
            if vm.region == *region {
                near.push(name.clone());
            }
        }
        let lanes = &self.rate_queues;
        let waiting = |customer: &Name| {
            let lane = lanes.get(customer);
            let count = lane.map_or(0, collections::VecDeque::len);
            u64::try_from(count).unwrap_or(u64::MAX)
        };
        for (peer, ask) in self.budgets.next_requests(&peers, &near, &waiting, now) {
            self.load.transfer_requests += 1;
            self.send(peer, message::Message::Ask(ask));
        }
    }

    fn handle_ask(&mut self, from: &Name, ask: &budget::TransferRequest) {
        if !self.is_fresh() {
            return;
        }
        if let Some(give) = self.budgets.grant(ask, self.now) {
            self.load.transfers += 1;
            // Actions are carried out in order: connections close first.
            self.resize_pool(&give.scarce);
            self.send(from.clone(), message::Message::Give(give));
        }
    }

    fn handle_give(&mut self, from: &Name, give: &budget::Transfer) {
        if !self.budgets.credit(give, self.now) {
            return;
        }
        if give.units > 0 {
            self.send(from.clone(), message::Message::Took(give.nonce));
            self.resize_pool(&give.scarce);
        } else {
            // One that has none leads to the next.
            self.send_asks();
        }
        match &give.scarce {
            budget::Resource::Rate(_) => self.admit_waiting(),
            budget::Resource::Connections(instance) => {
                if let Some(group) = self.instance_group(instance) {
                    self.dispatch(&group);
                    self.send_polls(&group);
                }
            }
        }
    }

    fn handle_suspicion(&mut self, from: &Name, suspicion: &message::Suspicion) {
        let Some(domain) = self.members.domain(from).cloned() else {
            return;
        };
        let now = self.now;
        let Some(state) = self.groups.get_mut(&suspicion.group) else {
            return;
        };
        let term = suspicion.term;
        match self.arbiter {
            group::Arbiter::Instances => {
                state
                    .promotion
                    .record_suspicion(from.clone(), domain, term, now);
            }
            group::Arbiter::Store => {
                state.handover.record_suspicion(from.clone(), term, now);
                // A VM without traffic to the leader has not missed it yet.
                if term == state.group.newest_term() {
                    state.group.request_leader_check(now);
                    self.send_polls(&suspicion.group);
                }
            }
        }
    }

    /// Moves the replacement of a group's primary on.
    pub(crate) fn step_promotion(&mut self, group: &Name) {
        if self.arbiter == group::Arbiter::Store {
            return self.step_handover(group);
        }
        let context = promotion::Context {
            vm: self.setup.vm.clone(),
            domain: self.setup.domain.clone(),
            silence_limit: self.setup.timing.suspect,
            lease: self.setup.timing.lease,
        };
        let first = self.members.live(self.now).first() == Some(&self.members.own());
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        let known = state.promotion.lost_since.is_some();
        let step = state
            .promotion
            .step(&context, &state.group, first, self.now);
        let term = state.group.newest_term();
        let silence = time::micros(state.group.silence(self.now)) / 1000;
        if !known && state.promotion.lost_since.is_some() {
            self.record_decision(journal::Decision::Suspected {
                group: group.clone(),
                term,
                silent_ms: silence,
            });
        }
        self.apply_promotion_step(group, step);
    }

    fn apply_promotion_step(&mut self, group: &Name, step: promotion::Step) {
        match step {
            promotion::Step::Wait => {}
            promotion::Step::Suspect => self.send_suspicion(group),
            promotion::Step::Fence(term, witness, first) => {
                self.record_decision(journal::Decision::Fencing {
                    group: group.clone(),
                    term,
                    witness,
                });
                self.actions.push(event::Action::Fence(first, term));
            }
            promotion::Step::FenceOthers(term, first) => {
                let names: Vec<_> = self.groups[group].group.instances.keys().cloned().collect();
                for name in names.into_iter().filter(|name| *name != first) {
                    self.actions.push(event::Action::Fence(name, term));
                }
            }
            promotion::Step::Promote(instance, term, lsn) => {
                self.record_decision(journal::Decision::Promoting {
                    group: group.clone(),
                    instance: instance.clone(),
                    term,
                    lsn,
                });
                self.actions.push(event::Action::Promote(instance, term));
            }
            promotion::Step::GiveUp(term, accepted) => {
                let needed = self.groups[group].group.majority();
                self.record_decision(journal::Decision::GivenUp {
                    group: group.clone(),
                    term,
                    accepted,
                    needed,
                });
            }
        }
    }

    pub(crate) fn send_suspicion(&mut self, group: &Name) {
        let suspicion = message::Suspicion {
            group: group.clone(),
            term: self.groups[group].group.newest_term(),
        };
        let own = &self.setup.vm;
        let peers: Vec<_> = match self.arbiter {
            group::Arbiter::Instances => self.members.peers().keys().cloned().collect(),
            group::Arbiter::Store => self.voters(group),
        };
        let peers: Vec<_> = peers.into_iter().filter(|peer| peer != own).collect();
        for peer in peers {
            self.send(peer, message::Message::Suspect(suspicion.clone()));
        }
    }

    /// Pool of the group that an instance belongs to.
    pub(crate) fn group_state(&mut self, instance: &Name) -> Option<&mut daemon::GroupState> {
        self.groups.get_mut(self.instance_groups.get(instance)?)
    }

    pub(crate) fn instance_group(&self, instance: &Name) -> Option<Name> {
        self.instance_groups.get(instance).cloned()
    }

    pub(crate) fn handle_fence_reply(&mut self, fence: &event::TermReply) {
        let Some(name) = self.instance_group(&fence.instance) else {
            return;
        };
        let now = self.now;
        if self.arbiter == group::Arbiter::Store {
            if let Some(state) = self.groups.get_mut(&name) {
                state.handover.record_paused(fence);
            }
            return self.step_handover(&name);
        }
        if let Some(state) = self.groups.get_mut(&name) {
            let majority = state.group.majority();
            let step = state
                .promotion
                .record_fence(fence, majority, &state.group, now);
            self.apply_promotion_step(&name, step);
        }
        self.step_promotion(&name);
    }

    pub(crate) fn handle_promotion_reply(&mut self, fence: &event::TermReply) {
        let Some(name) = self.instance_group(&fence.instance) else {
            return;
        };
        let now = self.now;
        if let (true, Some(status)) = (fence.accepted, fence.status)
            && let Some(state) = self.groups.get_mut(&name)
        {
            state.group.record_status(now, &fence.instance, now, status);
            state.promotion.finish(fence.term);
            state.group.request_poll(now);
        }
        self.advance_group(&name);
    }
}
