//! The daemon's control plane: communication with peers, operators and the
//! platform.

use std::{sync, time as std_time};

use config::Name;

use crate::{
    admission, budget, daemon, epochs, event, group, journal, message, promotion, rendezvous,
    revision, time, view,
};

/// Time after which an unanswered read of the store is repeated.
const STORE_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(3);

/// State of the periodic reads of a row.
#[derive(Debug, Default)]
struct RowRead {
    sent: Option<time::Time>,
    pending: bool,
    /// When the last answered read was sent.
    answered: Option<time::Time>,
}

impl RowRead {
    fn start_if_due(&mut self, now: time::Time, period: std_time::Duration) -> bool {
        let wait = if self.pending { STORE_TIMEOUT } else { period };
        let is_due = self.sent.is_none_or(|at| now.since(at) >= wait);
        if is_due {
            self.start(now);
        }
        is_due
    }

    fn start(&mut self, now: time::Time) {
        self.sent = Some(now);
        self.pending = true;
    }

    fn finish(&mut self, has_answer: bool) {
        self.pending = false;
        if has_answer {
            self.answered = self.sent;
        }
    }
}

/// State of the reads of the store and of changes of the budget epoch.
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
            self.maintain_entry();
            self.restore_rows();
            self.drop_lapsed();
            self.request_view();
        }
        self.send_pings(false);
        self.propose_epoch();
        self.activate_shares();
        self.request_transfers();
    }

    fn load_due_rows(&mut self) {
        let period = self.setup.timing.platform_period;
        if self.control.head_read.start_if_due(self.now, period) {
            self.actions
                .push(event::Action::LoadRow(event::RowKey::Head));
        }
        if self.control.epoch_read.start_if_due(self.now, period) {
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
            report.version = self
                .view
                .known_version(view::Part::Rows)
                .unwrap_or_default();
            report.positions = self.leader_positions();
        }
        report
    }

    /// Report on this VM only.
    pub(crate) fn brief_report(&self) -> message::Report {
        let epoch = self.budgets.epoch().number;
        self.members.brief_report(self.revision(), epoch)
    }

    pub(crate) fn send_pings(&mut self, at_once: bool) {
        let targets = self.members.take_due_targets(self.now, at_once);
        if targets.is_empty() {
            return;
        }
        self.assign_sampling();
        // Only answers report on other VMs, because the sender of a ping can
        // bound the age of its answer.
        let report = self.brief_report();
        let store_arbitrates = self.arbiter == group::Arbiter::Store;
        let vms = self.members.vms().clone();
        for name in targets {
            if !store_arbitrates && self.members.is_unresponsive(&name, self.now) {
                self.send(name.clone(), message::Message::Vms(vms.clone()));
            }
            let ping = message::Message::Ping(self.now, report.clone());
            self.send(name, ping);
        }
    }

    /// Chooses one relay of the region for each group. This relay polls the
    /// group's leader often, so the other VMs know positions without polling.
    fn assign_sampling(&mut self) {
        if self.arbiter == group::Arbiter::Instances {
            return;
        }
        let samplers = self.members.position_samplers(self.now);
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
            message::Message::FetchNotes(after) => self.send_notes(from, after),
            message::Message::Notes(after, notes) => {
                if self.revisions.apply_notes(after, &notes) {
                    self.configure_and_push(journal::RevisionSource::Peer(from.clone()));
                }
            }
            message::Message::Snapshot(head) => {
                self.adopt_head(head, journal::RevisionSource::Peer(from.clone()));
            }
            message::Message::Epoch(epoch) => self.adopt_epoch(&epoch),
            message::Message::RequestTransfer(request) => {
                self.handle_transfer_request(from, &request)
            }
            message::Message::Transfer(transfer) => self.handle_transfer(from, &transfer),
            message::Message::ConfirmTransfer(nonce) => self.budgets.confirm_transfer(nonce),
            message::Message::SuspectPrimary(suspicion) => self.handle_suspicion(from, &suspicion),
            message::Message::CloseLeader(claim) => self.handle_close_request(from, &claim),
            message::Message::LeaderClosed(closed) => self.handle_leader_closed(from, &closed),
            message::Message::ViewRequest(request) => self.answer_view_request(from, &request),
            message::Message::ViewReply(reply) => self.apply_view_reply(from, reply),
            message::Message::ViewChanged => self.handle_view_changed(from),
            message::Message::CancelStatement(process, secret) => {
                self.actions
                    .push(event::Action::CancelStatement(process, secret));
            }
        }
    }

    pub(crate) fn handle_vm_list(&mut self, vms: Vec<event::Vm>) {
        self.actions.push(event::Action::UpdatePeers(vms.clone()));
        self.members.update_list(vms, self.now);
    }

    fn handle_ping(&mut self, from: &Name, sent: time::Time, report: &message::Report) {
        self.members.handle_ping(from, self.now, report);
        self.record_revisions(report);
        self.activate_shares();
        let own = self.full_report();
        self.send(from.clone(), message::Message::Pong(sent, own));
        self.sync_with_peer(from, report);
    }

    fn handle_pong(&mut self, from: &Name, sent: time::Time, report: &message::Report) {
        if !self.members.has_pinged(sent) {
            return self.record_decision(journal::Decision::UnknownRequest { vm: from.clone() });
        }
        let revision = self.revision();
        let epoch = self.budgets.epoch().number;
        // Where the store arbitrates, proofs only show which VMs are live.
        let store_arbitrates = self.arbiter == group::Arbiter::Store;
        let is_current = |r: u64, e: u64| store_arbitrates || (r <= revision && e <= epoch);
        self.members
            .handle_pong(from, self.now, sent, report, &is_current);
        self.record_revisions(report);
        self.merge_positions(from, sent, &report.positions);
        self.sync_with_peer(from, report);
        self.step_revisions();
        self.activate_shares();
    }

    /// Sends the peer the state that it lacks, and requests the state that this
    /// daemon lacks.
    fn sync_with_peer(&mut self, peer: &Name, report: &message::Report) {
        let store_arbitrates = self.arbiter == group::Arbiter::Store;
        if report.revision > self.revision() && !store_arbitrates {
            let message = message::Message::FetchNotes(self.revision());
            self.send(peer.clone(), message);
        }
        let vms = self.members.vms();
        if !report.listed && !vms.is_empty() && !store_arbitrates {
            let vms = vms.clone();
            self.send(peer.clone(), message::Message::Vms(vms));
        }
        // In a large fleet VMs learn the epoch from the store; peers would send
        // the epoch to each VM many times.
        let learns_from_store =
            store_arbitrates && self.budgets.epoch().members.len() > epochs::DIRECT_MEMBERS_LIMIT;
        if report.epoch < self.budgets.epoch().number && !learns_from_store {
            let epoch = self.budgets.epoch().clone();
            self.send(peer.clone(), message::Message::Epoch(epoch));
        }
    }

    fn send_notes(&mut self, peer: &Name, after: u64) {
        let message = match self.revisions.notes_since(after) {
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

    /// Sends the revision to those VMs of the next exchange that lack it.
    fn push_revision(&mut self) {
        let revision = self.revision();
        for name in self.members.gossip_targets(self.now) {
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
            self.members.confirm_store_read(head.min(epoch));
        }
    }

    fn handle_loaded_head(&mut self, loaded: event::LoadOutcome, answered: bool) {
        self.control.head_read.finish(answered);
        let step = self.revisions.handle_loaded(self.now, &loaded);
        if let event::LoadOutcome::Found(version, event::Row::Head(head)) = loaded {
            if head.revision < self.revision() && !self.revisions.has_submissions() {
                let head = event::ConfigHead::clone(self.revisions.head());
                self.restore_row(version, event::Row::Head(head));
            }
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
                let known = self.budgets.epoch();
                if self.arbiter == group::Arbiter::Instances && epoch.number < known.number {
                    let row = event::Row::Epoch(known.clone());
                    self.restore_row(version, row);
                }
                self.adopt_epoch(&epoch);
            }
            event::LoadOutcome::Missing => self.control.epoch_version = Some(0),
            _ => {}
        }
    }

    /// Writes a row again that the store has in an older state, if this VM is the first
    /// live one.
    fn restore_row(&mut self, version: u64, row: event::Row) {
        let live = self.members.live_members(self.now);
        let is_first = live.first() == Some(&self.members.own_member());
        if is_first && self.members.has_quorum(self.now) {
            self.record_decision(journal::Decision::RowsRestored { rows: 1 });
            self.store_row(version, row);
        }
    }

    pub(crate) fn handle_stored(&mut self, key: &event::RowKey, stored: event::StoreOutcome) {
        match key {
            event::RowKey::Member(vm) if *vm == self.setup.vm => {
                self.store_watch.finish_registration(stored)
            }
            event::RowKey::Member(_) => {}
            event::RowKey::Leader(group) => self.handle_leader_stored(group, stored),
            event::RowKey::Epoch if self.arbiter == group::Arbiter::Store => {}
            event::RowKey::Head => {
                if let Some(step) = self.revisions.handle_stored(self.now, stored) {
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
        let has_quorum = self.members.has_quorum(self.now);
        let (members, now) = (&self.members, self.now);
        let has_lagging = |revision| !members.lagging_vms(revision, now).is_empty();
        for step in self.revisions.advance(now, has_quorum, &has_lagging) {
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
                self.store_row(version, event::Row::Head(head));
            }
            revision::Step::Adopt(head) => {
                self.adopt_head(sync::Arc::new(head), journal::RevisionSource::Operator);
            }
            revision::Step::Answer(id, outcome) => {
                self.actions
                    .push(event::Action::AnswerOperator(id, outcome));
            }
        }
    }

    pub(crate) fn request_transfers(&mut self) {
        let now = self.now;
        let refusal = self.setup.timing.refusal_timeout;
        let region = &self.setup.region;
        let mut peers = Vec::new();
        let mut region_peers = Vec::new();
        for (name, peer) in self.members.peers() {
            let Some(vm) = &peer.entry else {
                continue;
            };
            if now.since(peer.heard_at) > refusal {
                continue;
            }
            peers.push(name.clone());
            if vm.region == *region {
                region_peers.push(name.clone());
            }
        }
        let queues = &self.rate_queues;
        let waiting = |customer: &Name| {
            let queue = queues.get(customer);
            let count = queue.map_or(0, admission::backlog::Backlog::len);
            u64::try_from(count).unwrap_or(u64::MAX)
        };
        for (peer, request) in self
            .budgets
            .next_requests(&peers, &region_peers, &waiting, now)
        {
            self.load.transfer_requests += 1;
            self.send(peer, message::Message::RequestTransfer(request));
        }
    }

    fn handle_transfer_request(&mut self, from: &Name, request: &budget::TransferRequest) {
        if !self.is_fresh() {
            return;
        }
        if let Some(transfer) = self.budgets.grant(request, self.now) {
            self.load.transfers += 1;
            // The driver carries out actions in order, so this VM closes the
            // connections before the peer receives their units.
            self.resize_pool(&transfer.scarce);
            self.send(from.clone(), message::Message::Transfer(transfer));
        }
    }

    fn handle_transfer(&mut self, from: &Name, transfer: &budget::Transfer) {
        if !self.budgets.credit(transfer, self.now) {
            return;
        }
        if transfer.units > 0 {
            self.send(
                from.clone(),
                message::Message::ConfirmTransfer(transfer.nonce),
            );
            self.resize_pool(&transfer.scarce);
        } else {
            // If the holder had no token, the next holder gets a request.
            self.request_transfers();
        }
        match &transfer.scarce {
            budget::Resource::Rate(_) => self.admit_waiting(),
            budget::Resource::Connections(instance) | budget::Resource::Warmup(instance) => {
                if let Some(group) = self.instance_group(instance) {
                    self.dispatch(&group);
                    self.send_polls(&group);
                }
            }
        }
    }

    fn handle_suspicion(&mut self, from: &Name, suspicion: &message::Suspicion) {
        let Some(domain) = self.members.domain_of(from).cloned() else {
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
                state.group.record_term(term, now);
                // A VM without traffic to the leader has not noticed its loss.
                if term == state.group.newest_term() {
                    state.group.request_leader_check(now);
                    self.send_polls(&suspicion.group);
                }
            }
        }
    }

    /// Advances the replacement of a group's primary.
    pub(crate) fn step_promotion(&mut self, group: &Name) {
        if self.arbiter == group::Arbiter::Store {
            return self.step_handover(group);
        }
        let context = promotion::Context {
            vm: self.setup.vm.clone(),
            domain: self.setup.domain.clone(),
            silence_limit: self.setup.timing.suspicion_timeout,
            lease: self.setup.timing.lease,
        };
        let is_first =
            self.members.live_members(self.now).first() == Some(&self.members.own_member());
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        let was_lost = state.promotion.lost_since.is_some();
        let step = state
            .promotion
            .step(&context, &state.group, is_first, self.now);
        let term = state.group.newest_term();
        let silence_ms = time::micros(state.group.silence(self.now)) / 1000;
        if !was_lost && state.promotion.lost_since.is_some() {
            self.record_decision(journal::Decision::Suspected {
                group: group.clone(),
                term,
                silent_ms: silence_ms,
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
                self.actions
                    .push(event::Action::Fence(first, term, time::Time(u64::MAX)));
            }
            promotion::Step::FenceOthers(term, first) => {
                let names: Vec<_> = self.groups[group].group.instances.keys().cloned().collect();
                for name in names.into_iter().filter(|name| *name != first) {
                    self.actions
                        .push(event::Action::Fence(name, term, time::Time(u64::MAX)));
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
            term: self.groups[group].group.suspected_term(),
        };
        let own = &self.setup.vm;
        let peers: Vec<_> = match self.arbiter {
            group::Arbiter::Instances => self.members.peers().keys().cloned().collect(),
            group::Arbiter::Store => self.voters(group),
        };
        let peers: Vec<_> = peers.into_iter().filter(|peer| peer != own).collect();
        for peer in peers {
            self.send(peer, message::Message::SuspectPrimary(suspicion.clone()));
        }
    }

    /// State of the group that an instance belongs to.
    pub(crate) fn group_state(&mut self, instance: &Name) -> Option<&mut daemon::GroupState> {
        self.groups.get_mut(self.instance_groups.get(instance)?)
    }

    pub(crate) fn instance_group(&self, instance: &Name) -> Option<Name> {
        self.instance_groups.get(instance).cloned()
    }

    pub(crate) fn handle_fence_reply(&mut self, reply: &event::TermReply) {
        let Some(name) = self.instance_group(&reply.instance) else {
            return;
        };
        let now = self.now;
        if self.arbiter == group::Arbiter::Store {
            if let Some(state) = self.groups.get_mut(&name) {
                state.handover.record_paused(reply, now);
            }
            return self.step_handover(&name);
        }
        if let Some(state) = self.groups.get_mut(&name) {
            let majority = state.group.majority();
            let step = state
                .promotion
                .record_fence(reply, majority, &state.group, now);
            self.apply_promotion_step(&name, step);
        }
        self.step_promotion(&name);
    }

    pub(crate) fn handle_promotion_reply(&mut self, reply: &event::TermReply) {
        let Some(name) = self.instance_group(&reply.instance) else {
            return;
        };
        let now = self.now;
        if let (true, Some(status)) = (reply.accepted, reply.status)
            && let Some(state) = self.groups.get_mut(&name)
        {
            state.group.record_status(now, &reply.instance, now, status);
            state.promotion.finish(reply.term);
            state.group.request_poll(now);
        }
        self.advance_group(&name);
    }
}
