//! Daemon methods that drive the replacement of leaders.

use config::Name;

use crate::{daemon, event, handover, journal, message, rendezvous, time, view};

impl daemon::Daemon {
    /// Advances the replacement of a group's leader.
    pub(crate) fn step_handover(&mut self, group: &Name) {
        if self.is_settled(group) {
            return;
        }
        let peers = self.leader_users();
        let own = self.members.own_member();
        let voters = self.voters(group);
        let rank = voters.iter().position(|vm| *vm == own.vm);
        let is_eligible = self.members.has_quorum(self.now) && !self.is_superseded();
        let running = self.count_running(group);
        let (row_version, leader) = match self.view.leader(group) {
            Some((row_version, leader)) => (row_version, Some(leader.clone())),
            None => (0, None),
        };
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        let context = handover::Context {
            now: self.now,
            own,
            rank: rank.unwrap_or(voters.len()),
            users_known: self.store_watch.users_known(),
            has_all_entries: self.view.proven_at(view::Part::Instances)
                >= Some(self.view_sync.entries_known()),
            rows_version: self
                .view
                .known_version(view::Part::Rows)
                .unwrap_or_default(),
            acknowledged: self
                .sessions
                .acknowledged
                .get(group)
                .copied()
                .unwrap_or_default(),
            voters,
            peers,
            is_eligible: is_eligible && !self.is_stopping,
            row_version,
            stored_version: self
                .view
                .stored_version(&event::RowKey::Leader(group.clone())),
            era: self.view.era(view::Part::Rows),
            leader,
            is_proven: self.view.is_leader_proven(group),
            running,
            restored_at: self.store_watch.restored_at(),
            lease: self.setup.timing.lease,
            refusal_timeout: self.setup.timing.refusal_timeout,
            silence_limit: self.setup.timing.suspicion_timeout,
            group: &state.group,
            region: &self.setup.region,
            regions: &self.setup.domain_regions,
            view: &self.view,
        };
        let steps = state.handover.step(&context);
        for step in steps {
            self.apply_handover_step(group, step);
        }
    }

    /// VMs that vote on the loss of a group's leader, in the order in which
    /// they claim.
    pub(crate) fn voters(&self, group: &Name) -> Vec<Name> {
        let live = self.members.live_members(self.now);
        let mut names: Vec<_> = live.into_iter().map(|member| member.vm).collect();
        let listed = self.members.vms();
        if listed.len() <= rendezvous::MAX_VOTERS || names.len() * 2 <= listed.len() {
            // Silent VMs count as well until they are removed from the list: a
            // daemon that hears less than half of the list may itself be cut
            // off.
            let silent = listed.iter().filter(|vm| !names.contains(&vm.name));
            let silent: Vec<_> = silent.map(|vm| vm.name.clone()).collect();
            names.extend(silent);
        }
        rendezvous::select_voters(group, &names)
    }

    /// Whether the group has an answering leader that may stay, and no
    /// replacement is in progress.
    fn is_settled(&self, group: &Name) -> bool {
        let Some(state) = self.groups.get(group) else {
            return true;
        };
        let Some(assignment) = state.group.assignment() else {
            return false;
        };
        let leader = state.group.instances.get(&assignment.instance);
        let is_staying = leader.is_some_and(|state| !state.is_withdrawn());
        let silence = state.group.silence(self.now);
        is_staying && silence.is_zero() && state.handover.is_idle()
    }

    /// VMs that may use a leader: the listed VMs, and the VMs removed from the list
    /// less than one lease ago.
    fn leader_users(&self) -> Vec<Name> {
        let lease = self.setup.timing.lease;
        let is_recent = |at: time::Time| self.now.since(at) <= lease;
        let peers = self.members.peers().iter().filter(|(_, peer)| {
            let may_use = peer.entry.is_some() || peer.delisted_at.is_some_and(is_recent);
            may_use && peer.released_incarnation < peer.incarnation.max(1)
        });
        peers.map(|(name, _)| name.clone()).collect()
    }

    fn count_running(&self, group: &Name) -> usize {
        let leader = self
            .groups
            .get(group)
            .and_then(|state| state.handover.closing_leader());
        let Some(leader) = leader else {
            return 0;
        };
        let granted = self.sessions.granted.values();
        granted
            .filter(|granted| granted.instance == *leader)
            .count()
    }

    fn apply_handover_step(&mut self, group: &Name, step: handover::Step) {
        match step {
            handover::Step::Suspect => self.send_suspicion(group),
            handover::Step::Write(row_version, leader) => {
                let row = event::Row::Leader(group.clone(), leader);
                self.store_row(row_version, row);
            }
            handover::Step::RequestClose(vm, claim) => {
                self.send(vm, message::Message::CloseLeader(claim));
            }
            handover::Step::ReportClosed(vm, claim) => {
                let acknowledged = self.sessions.acknowledged.get(group).copied();
                let closed = message::Closed {
                    claim,
                    acknowledged: Some(acknowledged.unwrap_or_default()),
                };
                self.send(vm, message::Message::LeaderClosed(closed));
            }
            handover::Step::StopUsing => {
                self.refresh_assignments();
            }
            handover::Step::BreakConnections(instance) => {
                self.actions.push(event::Action::BreakConnections(instance));
            }
            handover::Step::Poll(instance) => {
                self.actions.push(event::Action::CheckStatus(instance));
            }
            handover::Step::PauseReplication(instance, term, deadline) => {
                self.actions
                    .push(event::Action::Fence(instance, term, deadline));
            }
            handover::Step::Demote(instance, term, deadline) => {
                self.actions
                    .push(event::Action::Demote(instance, term, deadline));
            }
            handover::Step::ResumeReplication(instance, deadline) => {
                self.actions
                    .push(event::Action::ResumeReplication(instance, deadline));
            }
            handover::Step::OrderPromotion(order) => {
                self.actions.push(event::Action::OrderPromotion(order))
            }
            handover::Step::Note(note) => {
                self.record_decision(journal::Decision::Handover {
                    group: group.clone(),
                    note,
                });
            }
        }
    }

    pub(crate) fn handle_resumed(&mut self, instance: &Name, done: bool) {
        if let Some(state) = self.group_state(instance) {
            state.handover.record_resumed(instance, done);
        }
    }

    pub(crate) fn handle_leader_stored(&mut self, group: &Name, stored: event::StoreOutcome) {
        if let Some(state) = self.groups.get_mut(group) {
            state.handover.record_write(stored, self.now);
        }
        self.step_handover(group);
    }

    pub(crate) fn handle_ordered(&mut self, group: &Name, ordered: event::OrderOutcome) {
        if let Some(state) = self.groups.get_mut(group) {
            state.handover.record_order(ordered, self.now);
        }
        self.step_handover(group);
    }

    pub(crate) fn handle_close_request(&mut self, from: &Name, claim: &message::Claim) {
        let now = self.now;
        if let Some(state) = self.groups.get_mut(&claim.group) {
            let leader = state.group.primary().cloned();
            state
                .handover
                .record_close_request(from.clone(), claim, leader, now);
        }
        self.refresh_assignments();
        self.step_handover(&claim.group);
    }

    pub(crate) fn handle_leader_closed(&mut self, from: &Name, closed: &message::Closed) {
        let group = &closed.claim.group;
        if let Some(state) = self.groups.get_mut(group) {
            state.handover.record_closed(from, closed);
        }
        self.step_handover(group);
    }
}
