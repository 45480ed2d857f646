//! The replacement of leaders, as the daemon drives it.

use config::Name;

use crate::{daemon, event, handover, journal, message, panel, time};

impl daemon::Daemon {
    /// Moves the replacement of a group's leader on.
    pub(crate) fn step_handover(&mut self, group: &Name) {
        if self.is_calm(group) {
            return;
        }
        let peers = self.closing_peers();
        let own = self.members.own_member();
        let panel = self.panel(group);
        let rank = panel.iter().position(|vm| *vm == own.vm);
        let usable = self.members.has_quorum(self.now) && !self.is_superseded();
        let busy = self.count_granted(group);
        let (version, leader) = match self.view.leader(group) {
            Some((version, leader)) => (version, Some(leader.clone())),
            None => (0, None),
        };
        let Some(pool) = self.pools.get_mut(group) else {
            return;
        };
        let facts = handover::Facts {
            now: self.now,
            own,
            rank: rank.unwrap_or(panel.len()),
            panel,
            peers,
            usable: usable && !self.stopping,
            version,
            leader,
            busy,
            lease: self.setup.timing.lease,
            suspect: self.setup.timing.suspect,
            group: &pool.group,
            region: &self.setup.region,
            domains: &self.setup.domains,
            view: &self.view,
        };
        let steps = pool.handover.step(&facts);
        for step in steps {
            self.take_handover_step(group, step);
        }
    }

    /// VMs that decide on the leader of a group: those that claim first come
    /// first.
    pub(crate) fn panel(&self, group: &Name) -> Vec<Name> {
        let live = self.members.live_members(self.now);
        let mut names: Vec<_> = live.into_iter().map(|member| member.vm).collect();
        let listed = self.members.vms();
        if listed.len() <= panel::PANEL || names.len() * 2 <= listed.len() {
            // The silent ones count as well until they are removed; who hears less
            // than half of a list may be the one that is cut off.
            let silent = listed.iter().filter(|vm| !names.contains(&vm.name));
            let silent: Vec<_> = silent.map(|vm| vm.name.clone()).collect();
            names.extend(silent);
        }
        panel::draw(group, &names)
    }

    /// Whether the leader of a group is as it should be.
    fn is_calm(&self, group: &Name) -> bool {
        let Some(pool) = self.pools.get(group) else {
            return true;
        };
        let Some(ruling) = pool.group.ruling() else {
            return false;
        };
        let leader = pool.group.instances.get(&ruling.instance);
        let stays = leader.is_some_and(|seen| !seen.leaving);
        let silence = pool.group.silence(self.now);
        stays && silence.is_zero() && pool.handover.is_idle()
    }

    /// VMs that may use a leader: those listed, and those delisted of late.
    fn closing_peers(&self) -> Vec<Name> {
        let lease = self.setup.timing.lease;
        let kept = |at: time::Time| self.now.since(at) <= lease;
        let peers = self.members.peers().iter().filter(|(_, peer)| {
            let listed = peer.entry.is_some() || peer.delisted_at.is_some_and(kept);
            listed && peer.released_incarnation < peer.incarnation.max(1)
        });
        peers.map(|(name, _)| name.clone()).collect()
    }

    fn count_granted(&self, group: &Name) -> usize {
        let leader = self
            .pools
            .get(group)
            .and_then(|pool| pool.handover.leaving_leader());
        let Some(leader) = leader else {
            return 0;
        };
        let granted = self.sessions.granted.values();
        granted
            .filter(|granted| granted.instance == *leader)
            .count()
    }

    fn take_handover_step(&mut self, group: &Name, step: handover::Step) {
        match step {
            handover::Step::Suspect => self.tell_suspicion(group),
            handover::Step::Write(version, leader) => {
                let row = event::Row::Leader(group.clone(), leader);
                self.out.push(event::Action::Store(version, row));
            }
            handover::Step::Close(vm, claim) => {
                self.send(vm, message::Message::CloseLeader(claim));
            }
            handover::Step::Closed(vm, claim) => {
                self.send(vm, message::Message::LeaderClosed(claim));
            }
            handover::Step::Stop => {
                self.refresh_leaders();
            }
            handover::Step::Sever(instance) => {
                self.out.push(event::Action::Sever(instance));
            }
            handover::Step::Poll(instance) => self.out.push(event::Action::Poll(instance)),
            handover::Step::Hold(instance, term) => {
                self.out.push(event::Action::Fence(instance, term));
            }
            handover::Step::Depose(instance, term) => {
                self.out.push(event::Action::Depose(instance, term));
            }
            handover::Step::Resume(instance) => {
                self.out.push(event::Action::Resume(instance));
            }
            handover::Step::Order(order) => self.out.push(event::Action::Order(order)),
            handover::Step::Note(note) => {
                self.record(journal::Decision::Handover {
                    group: group.clone(),
                    note,
                });
            }
        }
    }

    pub(crate) fn resumed(&mut self, instance: &Name, done: bool) {
        if let Some(pool) = self.pool_of(instance) {
            pool.handover.resumed(instance, done);
        }
    }

    pub(crate) fn stored_leader(&mut self, group: &Name, stored: event::Stored) {
        if let Some(pool) = self.pools.get_mut(group) {
            pool.handover.stored(stored, self.now);
        }
        self.step_handover(group);
    }

    pub(crate) fn ordered(&mut self, group: &Name, ordered: event::Ordered) {
        if let Some(pool) = self.pools.get_mut(group) {
            pool.handover.ordered(ordered, self.now);
        }
        self.step_handover(group);
    }

    pub(crate) fn close_leader(&mut self, from: &Name, claim: &message::Claim) {
        let now = self.now;
        if let Some(pool) = self.pools.get_mut(&claim.group) {
            let leader = pool.group.primary().cloned();
            pool.handover
                .asked_to_close(from.clone(), claim, leader, now);
        }
        self.refresh_leaders();
        self.step_handover(&claim.group);
    }

    pub(crate) fn closed_leader(&mut self, from: &Name, claim: &message::Claim) {
        if let Some(pool) = self.pools.get_mut(&claim.group) {
            pool.handover.closed_by(from, claim.token);
        }
        self.step_handover(&claim.group);
    }
}
