//! What follows from a new view of the store.

use std::{collections, time as std_time};

use config::Name;

use crate::{daemon, event, group, handover, journal, message, time, view};

/// Time after which an unanswered registration is repeated.
const REGISTER_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);
/// Period of looks at VMs that are silent.
const EVICT_PERIOD: std_time::Duration = std_time::Duration::from_millis(500);
/// Time for a doubted VM to write its entry again: a feed and a write, with
/// time for a store that is slow.
const DOUBT_PERIOD: std_time::Duration = std_time::Duration::from_millis(1_500);

/// Registration of this VM, and what was made known.
#[derive(Debug, Default)]
pub struct Watching {
    announced: u64,
    registering: Option<time::Time>,
    listed: bool,
    evicted: time::Time,
    /// Doubted entries: version, and when they were first seen.
    doubts: collections::BTreeMap<Name, (u64, time::Time)>,
}

impl Watching {
    /// Whether the revision has not been made known yet.
    pub fn announce(&mut self, revision: u64) -> bool {
        let new = revision != self.announced;
        self.announced = revision;
        new
    }

    /// A registration was answered.
    pub fn member_stored(&mut self) {
        self.registering = None;
    }
}

impl daemon::Daemon {
    pub(crate) fn watched(&mut self, update: view::Update) {
        let part = update.part;
        let changed = self.view.apply(update);
        match part {
            view::Part::Configuration | view::Part::Instances if changed => self.reconfigure(),
            view::Part::Rows if changed => self.read_rows(),
            _ => {}
        }
        let configured = self.view.seen(view::Part::Configuration);
        let listed = self.view.seen(view::Part::Rows);
        if let (Some(configured), Some(listed)) = (configured, listed) {
            self.members.confirm(configured.min(listed));
        }
        self.rule_leaders();
    }

    fn reconfigure(&mut self) {
        let Some((revision, fleet)) = self.view.fleet() else {
            return;
        };
        self.revisions.replace(std::sync::Arc::new(event::Head {
            revision,
            recent: Vec::new(),
            fleet: std::sync::Arc::new(fleet),
        }));
        self.configure(journal::Origin::Store);
    }

    fn read_rows(&mut self) {
        let own = self.members.own();
        let mut vms = Vec::new();
        let mut entries = Vec::new();
        for (_, entry) in self.view.members() {
            let stale = entry.vm.name == own.vm && entry.incarnation != own.incarnation;
            if !entry.released && !stale {
                vms.push(entry.vm.clone());
            }
            entries.push(entry.clone());
        }
        self.listed(vms);
        for entry in &entries {
            self.members.register(entry, self.now);
        }
        let epoch = match self.view.row(&event::RowKey::Epoch) {
            Some((version, row)) => event::Loaded::Found(*version, row.clone()),
            None => event::Loaded::Missing,
        };
        self.loaded_epoch(epoch, true);
        self.keep_member();
        self.grow();
    }

    /// Registers this VM, and removes VMs that are silent.
    pub(crate) fn keep_member(&mut self) {
        if self.stopping || self.view.seen(view::Part::Rows).is_none() {
            return;
        }
        let key = event::RowKey::Member(self.setup.vm.clone());
        let doubted = match self.view.row(&key) {
            Some((_, event::Row::Member(entry))) => entry.doubted,
            _ => false,
        };
        if self.members.is_listed() {
            self.watching.listed = true;
            if !doubted {
                return self.evict();
            }
        }
        let recent = |at: time::Time| self.now.since(at) < REGISTER_PERIOD;
        if self.watching.registering.is_some_and(recent) {
            return;
        }
        if self.members.is_listed() {
            self.watching.registering = Some(self.now);
            let row = event::Row::Member(self.own_entry(false));
            let version = self.view.version(&key);
            return self.out.push(event::Action::Store(version, row));
        }
        let stored = match self.view.row(&key) {
            Some((_, event::Row::Member(entry))) => entry.incarnation,
            _ => 0,
        };
        let used = self.members.own().incarnation;
        if self.watching.listed || stored >= used {
            self.watching.listed = false;
            let own = self.members.renew(stored.max(used) + 1);
            self.budgets.restart(own, self.now);
            self.resize();
        }
        self.watching.registering = Some(self.now);
        let row = event::Row::Member(self.own_entry(false));
        self.out
            .push(event::Action::Store(self.view.version(&key), row));
    }

    fn own_entry(&self, released: bool) -> event::Entry {
        event::Entry {
            vm: event::Vm {
                name: self.setup.vm.clone(),
                domain: self.setup.domain.clone(),
                region: self.setup.region.clone(),
                peer: self.setup.peer.clone(),
                leaving: released,
            },
            incarnation: self.members.own().incarnation,
            released,
            doubted: false,
        }
    }

    /// Tells that this run holds nothing any more.
    pub(crate) fn release_member(&mut self) {
        if self.arbiter == group::Arbiter::Store && self.members.is_listed() {
            let key = event::RowKey::Member(self.setup.vm.clone());
            let row = event::Row::Member(self.own_entry(true));
            self.out
                .push(event::Action::Store(self.view.version(&key), row));
        }
    }

    /// Removes VMs that nobody hears of. One that only some cannot hear objects
    /// to the doubt by writing its entry again.
    fn evict(&mut self) {
        let first = self.members.live(self.now).first() == Some(&self.members.own());
        let fresh = self.members.sees_majority(self.now);
        if !first || !fresh || self.now.since(self.watching.evicted) < EVICT_PERIOD {
            return;
        }
        self.watching.evicted = self.now;
        let silent = self.view.members().filter(|(_, entry)| {
            let peer = self.members.peers().get(&entry.vm.name);
            peer.is_some_and(|peer| self.members.is_silent(peer, self.now))
        });
        let silent: Vec<_> = silent
            .map(|(version, entry)| (version, entry.clone()))
            .collect();
        for (version, entry) in silent {
            self.doubt(version, entry);
        }
    }

    fn doubt(&mut self, version: u64, entry: event::Entry) {
        let name = entry.vm.name.clone();
        if !entry.doubted && !entry.released {
            let row = event::Row::Member(event::Entry {
                doubted: true,
                ..entry
            });
            return self.out.push(event::Action::Store(version, row));
        }
        let since = match self.watching.doubts.get(&name) {
            Some((known, since)) if *known == version => *since,
            _ => {
                self.watching.doubts.insert(name, (version, self.now));
                return;
            }
        };
        if self.now.since(since) < DOUBT_PERIOD {
            return;
        }
        self.watching.doubts.remove(&name);
        self.record(journal::Decision::Evicted {
            vm: name.clone(),
            released: entry.released,
        });
        let key = event::RowKey::Member(name);
        self.out.push(event::Action::Erase(version, key));
    }

    /// Takes over which instances the store allows to use, and until when.
    pub(crate) fn rule_leaders(&mut self) {
        let seen = self.view.seen(view::Part::Rows);
        let until = seen.filter(|_| self.members.is_listed() && !self.members_renewed());
        let until = until.map(|seen| seen + self.setup.timing.lease);
        let groups: Vec<_> = self.pools.keys().cloned().collect();
        for name in groups {
            let Some(pool) = self.pools.get_mut(&name) else {
                continue;
            };
            let token = pool.handover.token();
            let ruling = until.and_then(|until| self.view.ruling(&name, until, token));
            if pool.group.rule(ruling, self.now) {
                self.refresh(&name);
            }
        }
    }

    fn members_renewed(&self) -> bool {
        let key = event::RowKey::Member(self.setup.vm.clone());
        let own = self.members.own().incarnation;
        match self.view.row(&key) {
            Some((_, event::Row::Member(entry))) => entry.incarnation != own,
            _ => true,
        }
    }

    pub(crate) fn observed(&mut self, seen: &event::Observation) {
        let Some(name) = self.owner.get(&seen.instance).cloned() else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.group
                .placed(self.now, &seen.instance, seen.sent, seen.applied);
        }
    }

    pub(crate) fn delayed(&mut self, instance: &Name) {
        let Some(name) = self.owner.get(instance).cloned() else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.group.delayed(instance, self.now);
        }
        self.poll(&name);
    }

    pub(crate) fn unpolled(&mut self, instance: &Name, live: bool) {
        let Some(name) = self.owner.get(instance).cloned() else {
            return;
        };
        if let Some(pool) = self.pools.get_mut(&name) {
            pool.group.unpolled(instance, live);
        }
    }

    /// Newest positions of leaders, for peers.
    pub(crate) fn known_positions(&self) -> Vec<message::Placed> {
        let known = self.pools.iter().filter_map(|(name, pool)| {
            let (sent, floor) = pool.group.newest_position()?;
            Some(message::Placed {
                group: name.clone(),
                floor,
                age: time::micros(self.now.since(sent)),
            })
        });
        known.collect()
    }

    /// Takes in what a peer knew when it answered a ping sent at `sent`.
    pub(crate) fn learn_positions(&mut self, sent: time::Time, positions: &[message::Placed]) {
        for placed in positions {
            let age = std_time::Duration::from_micros(placed.age);
            if let Some(pool) = self.pools.get_mut(&placed.group) {
                pool.group.learn(sent.before(age), placed.floor);
            }
        }
    }

    /// Moves the replacement of a group's leader on.
    pub(crate) fn step_handover(&mut self, group: &Name) {
        if self.is_calm(group) {
            return;
        }
        let peers = self.closing_peers();
        let live = self.members.live(self.now);
        let own = self.members.own();
        let rank = live.iter().position(|member| *member == own);
        let usable = self.members.sees_majority(self.now) && !self.members_renewed();
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
            rank: rank.unwrap_or(live.len()),
            members: self.members.vms().len(),
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
            let listed = peer.listed.is_some() || peer.delisted.is_some_and(kept);
            listed && peer.released < peer.incarnation.max(1)
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
                self.send(vm, message::Message::Close(claim));
            }
            handover::Step::Closed(vm, claim) => {
                self.send(vm, message::Message::Closed(claim));
            }
            handover::Step::Stop => {
                self.rule_leaders();
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
            handover::Step::Order(order) => self.out.push(event::Action::Order(order)),
            handover::Step::Note(note) => {
                self.record(journal::Decision::Handover {
                    group: group.clone(),
                    note,
                });
            }
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
        self.rule_leaders();
        self.step_handover(&claim.group);
    }

    pub(crate) fn closed_leader(&mut self, from: &Name, claim: &message::Claim) {
        if let Some(pool) = self.pools.get_mut(&claim.group) {
            pool.handover.closed_by(from, claim.token);
        }
        self.step_handover(&claim.group);
    }
}
