//! The half of the daemon that talks to peers, operators and the platform.

use std::{collections, sync, time as std_time};

use config::Name;

use crate::{
    budget, daemon, epochs, event, group, journal, message, panel, promotion, revision, time, view,
};

/// Time after which an unanswered call to the store is repeated.
const STORE_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(3);

/// A row that is read from time to time.
#[derive(Debug, Default)]
struct Reading {
    sent: Option<time::Time>,
    pending: bool,
    answered: Option<time::Time>,
}

impl Reading {
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
    head: Reading,
    epoch: Reading,
    pub(crate) version: Option<u64>,
    pub(crate) wanted: Option<time::Time>,
    pub(crate) adopted: time::Time,
    pub(crate) proposed: Option<time::Time>,
}

impl daemon::Daemon {
    pub(crate) fn tick_control(&mut self) {
        if self.arbiter == group::Arbiter::Instances {
            self.load_due();
            self.step_revisions();
        } else {
            self.maintain_entry();
            self.drop_lapsed();
            self.request_view();
        }
        self.ping(false);
        self.propose_epoch();
        self.grow_shares();
        self.send_asks();
    }

    fn load_due(&mut self) {
        let period = self.setup.timing.platform;
        if self.control.head.due(self.now, period) {
            self.out.push(event::Action::Load(event::RowKey::Head));
        }
        if self.control.epoch.due(self.now, period) {
            self.out.push(event::Action::Load(event::RowKey::Epoch));
        }
    }

    pub(crate) fn send(&mut self, to: Name, message: message::Message) {
        self.out.push(event::Action::Send(to, message));
    }

    fn own_report(&self) -> message::Report {
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

    /// What is known of this VM alone.
    pub(crate) fn brief_report(&self) -> message::Report {
        let epoch = self.budgets.epoch().number;
        self.members.brief_report(self.revision(), epoch)
    }

    pub(crate) fn ping(&mut self, at_once: bool) {
        let targets = self.members.take_due_targets(self.now, at_once);
        if targets.is_empty() {
            return;
        }
        self.assign_samples();
        // Only answers carry what is known of others: their age can be told.
        let report = self.brief_report();
        let ruled = self.arbiter == group::Arbiter::Store;
        let vms = self.members.vms().clone();
        for name in targets {
            if !ruled && self.members.is_unresponsive(&name, self.now) {
                self.send(name.clone(), message::Message::Vms(vms.clone()));
            }
            let ping = message::Message::Ping(self.now, report.clone());
            self.send(name, ping);
        }
    }

    /// Chooses one relay of the region a group that asks its leader often, so that
    /// a fleet knows positions without every VM asking for them.
    fn assign_samples(&mut self) {
        if self.arbiter == group::Arbiter::Instances {
            return;
        }
        let samplers = self.members.position_samplers(self.now);
        for (name, pool) in &mut self.pools {
            let sampling = match &samplers {
                None => group::Sampling::Usual,
                Some(relays) => match panel::rank(name, relays).first() {
                    Some(first) if *first == self.setup.vm => group::Sampling::Often,
                    _ => group::Sampling::OnDemand,
                },
            };
            pool.group.sample(sampling);
        }
    }

    pub(crate) fn received(&mut self, from: &Name, message: message::Message) {
        match message {
            message::Message::Ping(sent, report) => self.pinged(from, sent, &report),
            message::Message::Pong(sent, report) => self.ponged(from, sent, &report),
            message::Message::Vms(vms) => {
                if self.members.vms().is_empty() && self.arbiter == group::Arbiter::Instances {
                    self.listed(vms);
                }
            }
            message::Message::FetchNotes(after) => self.send_notes(from, after),
            message::Message::Notes(after, notes) => {
                if self.revisions.apply_notes(after, &notes) {
                    self.configured(journal::Origin::Peer(from.clone()));
                }
            }
            message::Message::Snapshot(head) => {
                self.adopt(head, journal::Origin::Peer(from.clone()));
            }
            message::Message::Epoch(epoch) => self.adopt_epoch(&epoch),
            message::Message::AskShare(ask) => self.asked(from, &ask),
            message::Message::GiveShare(give) => self.given(from, &give),
            message::Message::ConfirmShare(nonce) => self.budgets.took(nonce),
            message::Message::SuspectPrimary(suspicion) => self.suspected(from, &suspicion),
            message::Message::CloseLeader(claim) => self.close_leader(from, &claim),
            message::Message::LeaderClosed(claim) => self.closed_leader(from, &claim),
            message::Message::ViewRequest(follow) => self.answer_view_request(from, &follow),
            message::Message::ViewReply(passed) => self.apply_view_reply(from, passed),
            message::Message::ViewChanged => self.handle_view_changed(from),
            message::Message::CancelStatement(process, secret) => {
                self.out.push(event::Action::Cancel(process, secret));
            }
        }
    }

    pub(crate) fn listed(&mut self, vms: Vec<event::Vm>) {
        self.out.push(event::Action::Listed(vms.clone()));
        self.members.update_list(vms, self.now);
    }

    fn pinged(&mut self, from: &Name, sent: time::Time, report: &message::Report) {
        self.members.handle_ping(from, self.now, report);
        self.grow_shares();
        let own = self.own_report();
        self.send(from.clone(), message::Message::Pong(sent, own));
        self.catch_up(from, report);
    }

    fn ponged(&mut self, from: &Name, sent: time::Time, report: &message::Report) {
        let revision = self.revision();
        let epoch = self.budgets.epoch().number;
        // Where the store arbitrates, proofs only tell who is live.
        let ruled = self.arbiter == group::Arbiter::Store;
        let current = |r: u64, e: u64| ruled || (r <= revision && e <= epoch);
        self.members
            .handle_pong(from, self.now, sent, report, &current);
        self.merge_positions(sent, &report.positions);
        self.catch_up(from, report);
        self.step_revisions();
        self.grow_shares();
    }

    /// Sends what the peer lacks, and asks for what this daemon lacks.
    fn catch_up(&mut self, peer: &Name, report: &message::Report) {
        let ruled = self.arbiter == group::Arbiter::Store;
        if report.revision > self.revision() && !ruled {
            let fetch = message::Message::FetchNotes(self.revision());
            self.send(peer.clone(), fetch);
        }
        let vms = self.members.vms();
        if !report.listed && !vms.is_empty() && !ruled {
            let vms = vms.clone();
            self.send(peer.clone(), message::Message::Vms(vms));
        }
        // In a large fleet the store tells it, and each VM would be told by many.
        let told = ruled && self.budgets.epoch().members.len() > epochs::DIRECT_MEMBERS_LIMIT;
        if report.epoch < self.budgets.epoch().number && !told {
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

    fn adopt(&mut self, head: sync::Arc<event::Head>, source: journal::Origin) {
        if self.revisions.adopt(head) {
            self.configured(source);
        }
    }

    fn configured(&mut self, source: journal::Origin) {
        self.configure(source);
        self.spread();
        self.ping(true);
    }

    /// Pushes the revision to the VMs of the next exchange that lack it.
    fn spread(&mut self) {
        let revision = self.revision();
        for name in self.members.gossip_targets(self.now) {
            let peer = self.members.peers().get(&name);
            if let Some(peer) = peer.filter(|peer| peer.revision < revision) {
                self.send_notes(&name, peer.revision);
            }
        }
    }

    pub(crate) fn loaded(&mut self, key: &event::RowKey, loaded: event::Loaded) {
        let answered = loaded != event::Loaded::Unavailable;
        match key {
            event::RowKey::Head => self.loaded_head(loaded, answered),
            event::RowKey::Epoch => self.loaded_epoch(loaded, answered),
            event::RowKey::Member(_) | event::RowKey::Leader(_) => return,
        }
        let (head, epoch) = (self.control.head.answered, self.control.epoch.answered);
        if let (Some(head), Some(epoch)) = (head, epoch) {
            self.members.confirm_store_read(head.min(epoch));
        }
    }

    fn loaded_head(&mut self, loaded: event::Loaded, answered: bool) {
        self.control.head.finish(answered);
        let step = self.revisions.handle_loaded(self.now, &loaded);
        if let event::Loaded::Found(_, event::Row::Head(head)) = loaded {
            self.adopt(sync::Arc::new(head), journal::Origin::Store);
        }
        if let Some(step) = step {
            self.revise(step);
        }
        self.step_revisions();
    }

    pub(crate) fn loaded_epoch(&mut self, loaded: event::Loaded, answered: bool) {
        self.control.epoch.finish(answered);
        match loaded {
            event::Loaded::Found(version, event::Row::Epoch(epoch)) => {
                self.control.version = Some(version);
                self.adopt_epoch(&epoch);
            }
            event::Loaded::Missing => self.control.version = Some(0),
            _ => {}
        }
    }

    pub(crate) fn stored(&mut self, key: &event::RowKey, stored: event::Stored) {
        match key {
            event::RowKey::Member(vm) if *vm == self.setup.vm => {
                self.watching.finish_registration(stored)
            }
            event::RowKey::Member(_) => {}
            event::RowKey::Leader(group) => self.stored_leader(group, stored),
            event::RowKey::Epoch if self.arbiter == group::Arbiter::Store => {}
            event::RowKey::Head => {
                if let Some(step) = self.revisions.handle_stored(self.now, stored) {
                    self.revise(step);
                }
                self.step_revisions();
            }
            event::RowKey::Epoch => {
                self.control.epoch.start(self.now);
                self.out.push(event::Action::Load(event::RowKey::Epoch));
            }
        }
    }

    pub(crate) fn step_revisions(&mut self) {
        let majority = self.members.has_quorum(self.now);
        let (members, now) = (&self.members, self.now);
        let behind = |revision| !members.lagging_vms(revision, now).is_empty();
        for step in self.revisions.advance(now, majority, &behind) {
            self.revise(step);
        }
    }

    fn revise(&mut self, step: revision::Step) {
        match step {
            revision::Step::Load => {
                self.control.head.start(self.now);
                self.out.push(event::Action::Load(event::RowKey::Head));
            }
            revision::Step::Store(version, head) => {
                let row = event::Row::Head(head);
                self.out.push(event::Action::Store(version, row));
            }
            revision::Step::Adopt(head) => {
                self.adopt(sync::Arc::new(head), journal::Origin::Operator);
            }
            revision::Step::Answer(ticket, verdict) => {
                self.out.push(event::Action::Answer(ticket, verdict));
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
            let Some(vm) = &peer.entry else {
                continue;
            };
            if now.since(peer.heard_at) > refusal {
                continue;
            }
            peers.push(name.clone());
            if vm.region == *region {
                near.push(name.clone());
            }
        }
        let lanes = &self.lanes;
        let waiting = |customer: &Name| {
            let lane = lanes.get(customer);
            let count = lane.map_or(0, collections::VecDeque::len);
            u64::try_from(count).unwrap_or(u64::MAX)
        };
        for (peer, ask) in self.budgets.asks(&peers, &near, &waiting, now) {
            self.load.asks += 1;
            self.send(peer, message::Message::AskShare(ask));
        }
    }

    fn asked(&mut self, from: &Name, ask: &budget::Ask) {
        if !self.is_fresh() {
            return;
        }
        if let Some(give) = self.budgets.give(ask, self.now) {
            self.load.gives += 1;
            // Actions are carried out in order: connections close first.
            self.resize_one(&give.scarce);
            self.send(from.clone(), message::Message::GiveShare(give));
        }
    }

    fn given(&mut self, from: &Name, give: &budget::Give) {
        if !self.budgets.credit(give, self.now) {
            return;
        }
        if give.units > 0 {
            self.send(from.clone(), message::Message::ConfirmShare(give.nonce));
            self.resize_one(&give.scarce);
        } else {
            // One that has none leads to the next.
            self.send_asks();
        }
        match &give.scarce {
            budget::Scarce::Rate(_) => self.admit_lanes(),
            budget::Scarce::Connections(instance) => {
                if let Some(group) = self.group_of(instance) {
                    self.dispatch(&group);
                    self.poll(&group);
                }
            }
        }
    }

    fn suspected(&mut self, from: &Name, suspicion: &message::Suspicion) {
        let Some(domain) = self.members.domain_of(from).cloned() else {
            return;
        };
        let now = self.now;
        let Some(pool) = self.pools.get_mut(&suspicion.group) else {
            return;
        };
        let term = suspicion.term;
        match self.arbiter {
            group::Arbiter::Instances => {
                pool.promotion.suspected(from.clone(), domain, term, now);
            }
            group::Arbiter::Store => {
                pool.handover.suspected(from.clone(), term, now);
                // A VM without traffic to the leader has not missed it yet.
                if term == pool.group.newest() {
                    pool.group.doubt_leader(now);
                    self.poll(&suspicion.group);
                }
            }
        }
    }

    /// Moves the replacement of a group's primary on.
    pub(crate) fn promote(&mut self, group: &Name) {
        if self.arbiter == group::Arbiter::Store {
            return self.step_handover(group);
        }
        let judge = promotion::Judge {
            vm: self.setup.vm.clone(),
            domain: self.setup.domain.clone(),
            suspect: self.setup.timing.suspect,
            lease: self.setup.timing.lease,
        };
        let first = self.members.live_members(self.now).first() == Some(&self.members.own_member());
        let Some(pool) = self.pools.get_mut(group) else {
            return;
        };
        let known = pool.promotion.lost.is_some();
        let step = pool.promotion.step(&judge, &pool.group, first, self.now);
        let term = pool.group.newest();
        let silence = time::micros(pool.group.silence(self.now)) / 1000;
        if !known && pool.promotion.lost.is_some() {
            self.record(journal::Decision::Suspected {
                group: group.clone(),
                term,
                silent_ms: silence,
            });
        }
        self.take_step(group, step);
    }

    fn take_step(&mut self, group: &Name, step: promotion::Step) {
        match step {
            promotion::Step::Wait => {}
            promotion::Step::Suspect => self.tell_suspicion(group),
            promotion::Step::Fence(term, witness, first) => {
                self.record(journal::Decision::Fencing {
                    group: group.clone(),
                    term,
                    witness,
                });
                self.out.push(event::Action::Fence(first, term));
            }
            promotion::Step::FenceOthers(term, first) => {
                let names: Vec<_> = self.pools[group].group.instances.keys().cloned().collect();
                for name in names.into_iter().filter(|name| *name != first) {
                    self.out.push(event::Action::Fence(name, term));
                }
            }
            promotion::Step::Promote(instance, term, lsn) => {
                self.record(journal::Decision::Promoting {
                    group: group.clone(),
                    instance: instance.clone(),
                    term,
                    lsn,
                });
                self.out.push(event::Action::Promote(instance, term));
            }
            promotion::Step::GiveUp(term, accepted) => {
                let needed = self.pools[group].group.majority();
                self.record(journal::Decision::GivenUp {
                    group: group.clone(),
                    term,
                    accepted,
                    needed,
                });
            }
        }
    }

    pub(crate) fn tell_suspicion(&mut self, group: &Name) {
        let suspicion = message::Suspicion {
            group: group.clone(),
            term: self.pools[group].group.newest(),
        };
        let own = &self.setup.vm;
        let peers: Vec<_> = match self.arbiter {
            group::Arbiter::Instances => self.members.peers().keys().cloned().collect(),
            group::Arbiter::Store => self.panel(group),
        };
        let peers: Vec<_> = peers.into_iter().filter(|peer| peer != own).collect();
        for peer in peers {
            self.send(peer, message::Message::SuspectPrimary(suspicion.clone()));
        }
    }

    /// Pool of the group that an instance belongs to.
    pub(crate) fn pool_of(&mut self, instance: &Name) -> Option<&mut daemon::Pool> {
        self.pools.get_mut(self.owner.get(instance)?)
    }

    pub(crate) fn group_of(&self, instance: &Name) -> Option<Name> {
        self.owner.get(instance).cloned()
    }

    pub(crate) fn fenced(&mut self, fence: &event::Fence) {
        let Some(name) = self.group_of(&fence.instance) else {
            return;
        };
        let now = self.now;
        if self.arbiter == group::Arbiter::Store {
            if let Some(pool) = self.pools.get_mut(&name) {
                pool.handover.held(fence);
            }
            return self.step_handover(&name);
        }
        if let Some(pool) = self.pools.get_mut(&name) {
            let majority = pool.group.majority();
            let step = pool.promotion.fenced(fence, majority, &pool.group, now);
            self.take_step(&name, step);
        }
        self.promote(&name);
    }

    pub(crate) fn promoted(&mut self, fence: &event::Fence) {
        let Some(name) = self.group_of(&fence.instance) else {
            return;
        };
        let now = self.now;
        if let (true, Some(status)) = (fence.accepted, fence.status)
            && let Some(pool) = self.pools.get_mut(&name)
        {
            pool.group.observe(now, &fence.instance, now, status);
            pool.promotion.finish(fence.term);
            pool.group.want(now);
        }
        self.refresh(&name);
    }
}
