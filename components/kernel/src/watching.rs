//! What follows from a new view of the store.

use std::{collections, time as std_time};

use config::Name;

use crate::{daemon, event, group, journal, message, reports, time, view};

/// Time after which a registration is repeated that the store did not answer, or
/// refused: when many VMs start at once, its rate of writes is used up for so long.
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
    /// Version at which the entry of this run was written.
    registered: Option<u64>,
    listed: bool,
    evicted: time::Time,
    /// Doubted entries: version, and when they were first seen.
    doubts: collections::BTreeMap<Name, (u64, time::Time)>,
    /// When each instance started, in Unix ms.
    births: collections::BTreeMap<Name, u64>,
}

impl Watching {
    /// Whether the revision has not been made known yet.
    pub fn announce(&mut self, revision: u64) -> bool {
        let new = revision != self.announced;
        self.announced = revision;
        new
    }

    /// A registration was answered.
    pub fn member_stored(&mut self, stored: event::StoreOutcome) {
        match stored {
            event::StoreOutcome::Written(version) => {
                self.registering = None;
                self.registered = Some(version);
            }
            event::StoreOutcome::Conflict => self.registering = None,
            // It may have taken effect, and is not repeated at once.
            event::StoreOutcome::Unknown => {}
        }
    }
}

impl daemon::Daemon {
    pub(crate) fn watched(&mut self, update: view::Update) {
        let part = update.part;
        let changed = self.view.apply(update, self.now);
        match part {
            view::Part::Configuration | view::Part::Instances if changed => self.reconfigure(),
            view::Part::Rows if changed => self.read_rows(),
            _ => {}
        }
        if changed {
            self.tell_followers();
        }
        let configured = self.view.seen(view::Part::Configuration);
        let listed = self.view.seen(view::Part::Rows);
        if let (Some(configured), Some(listed)) = (configured, listed) {
            self.members.confirm(configured.min(listed));
        }
        self.rule_leaders();
    }

    /// Gives up instances whose entries lapsed too long ago.
    pub(crate) fn drop_lapsed(&mut self) {
        if self.view.expire(self.now) {
            self.reconfigure();
            self.rule_leaders();
        }
    }

    /// Forgets what was known of instances that have started again.
    fn renew_instances(&mut self) {
        let births: collections::BTreeMap<_, _> = self.view.births().collect();
        for (name, born) in &births {
            let known = self.watching.births.get(name);
            let renewed = known.is_some_and(|known| known != born);
            if let Some(pool) = self.group_state(name).filter(|_| renewed) {
                pool.group.reset_instance(name);
            }
        }
        self.watching.births = births;
    }

    fn reconfigure(&mut self) {
        let Some((revision, fleet)) = self.view.fleet() else {
            return;
        };
        self.revisions
            .replace(std::sync::Arc::new(event::ConfigHead {
                revision,
                recent: Vec::new(),
                fleet: std::sync::Arc::new(fleet),
            }));
        self.configure(journal::RevisionSource::Store);
        self.renew_instances();
    }

    fn read_rows(&mut self) {
        let own = self.members.own();
        let mut vms = Vec::new();
        let mut entries = Vec::new();
        for (version, entry) in self.view.members() {
            let stale = entry.vm.name == own.vm && entry.incarnation != own.incarnation;
            if !entry.released && !stale {
                vms.push(entry.vm.clone());
            }
            entries.push((version, entry.clone()));
        }
        let versions = entries.iter().map(|(version, _)| *version);
        self.members.identify_list(reports::digest(versions));
        self.handle_vm_list(vms);
        for (version, entry) in &entries {
            self.members.register(*version, entry, self.now);
        }
        let epoch = match self.view.row(&event::RowKey::Epoch) {
            Some((version, row)) => event::LoadOutcome::Found(*version, row.clone()),
            None => event::LoadOutcome::Missing,
        };
        self.handle_loaded_epoch(epoch, true);
        self.keep_member();
        self.follow();
        self.grow();
    }

    /// Registers this VM, and removes VMs that are silent.
    pub(crate) fn keep_member(&mut self) {
        if self.is_stopping || self.view.seen(view::Part::Rows).is_none() {
            return;
        }
        let entry = self.view.member(&self.setup.vm);
        let doubted = entry.is_some_and(|entry| entry.doubted);
        if self.members.is_listed() {
            self.watching.listed = true;
            if !doubted {
                return self.evict();
            }
        }
        if !doubted && self.is_registered() {
            // The entry is there, and has not been read yet.
            return;
        }
        let recent = |at: time::Time| self.now.since(at) < REGISTER_PERIOD;
        if self.watching.registering.is_some_and(recent) {
            return;
        }
        if !self.members.is_listed() {
            self.renew_member();
        }
        self.watching.registering = Some(self.now);
        self.write_member(false);
    }

    /// Whether the store has this run's entry, or had it when it was last read.
    pub(crate) fn is_registered(&self) -> bool {
        if self.members.is_listed() && !self.is_superseded() {
            return true;
        }
        let known = self.view.known(view::Part::Rows);
        self.watching
            .registered
            .is_some_and(|version| known < Some(version))
    }

    /// When a registration under way will have been answered at the latest.
    pub(crate) fn registration_answer(&self) -> Option<time::Time> {
        let sent = self.watching.registering?;
        Some(sent + REGISTER_PERIOD)
    }

    /// Takes a new run number, if the one used so far may have been seen.
    fn renew_member(&mut self) {
        let entry = self.view.member(&self.setup.vm);
        let stored = entry.map_or(0, |entry| entry.incarnation);
        let used = self.members.own().incarnation;
        if self.watching.listed || stored >= used {
            self.watching.listed = false;
            let own = self.members.renew(stored.max(used) + 1);
            self.budgets.reset(own, self.now);
            self.resize_pools();
        }
    }

    /// Writes the entry of this run.
    fn write_member(&mut self, released: bool) {
        let row = event::Row::Member(event::MemberEntry {
            vm: event::Vm {
                name: self.setup.vm.clone(),
                domain: self.setup.domain.clone(),
                region: self.setup.region.clone(),
                peer: self.setup.peer_address.clone(),
                leaving: released,
            },
            incarnation: self.members.own().incarnation,
            released,
            doubted: false,
        });
        let version = self.view.version(&row.key());
        self.actions.push(event::Action::StoreRow(version, row));
    }

    /// Tells that this run holds nothing any more.
    pub(crate) fn release_member(&mut self) {
        if self.arbiter == group::Arbiter::Store && self.members.is_listed() {
            self.write_member(true);
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

    fn doubt(&mut self, version: u64, entry: event::MemberEntry) {
        let name = entry.vm.name.clone();
        if !entry.doubted && !entry.released {
            let row = event::Row::Member(event::MemberEntry {
                doubted: true,
                ..entry
            });
            return self.actions.push(event::Action::StoreRow(version, row));
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
        self.record_decision(journal::Decision::Evicted {
            vm: name.clone(),
            released: entry.released,
        });
        let key = event::RowKey::Member(name);
        self.actions.push(event::Action::DeleteRow(version, key));
    }

    /// Takes over which instances the store allows to use, and until when.
    pub(crate) fn rule_leaders(&mut self) {
        let seen = self.view.seen(view::Part::Rows);
        let until = seen.filter(|_| self.members.is_listed() && !self.is_superseded());
        let until = until.map(|seen| seen + self.setup.timing.lease);
        let groups: Vec<_> = self.groups.keys().cloned().collect();
        for name in groups {
            let Some(pool) = self.groups.get_mut(&name) else {
                continue;
            };
            let token = pool.handover.token();
            let ruling = until.and_then(|until| self.view.ruling(&name, until, token));
            if pool.group.set_assignment(ruling, self.now) {
                self.advance_group(&name);
            }
        }
    }

    /// Whether the store does not name this run of the daemon.
    pub(crate) fn is_superseded(&self) -> bool {
        let own = self.members.own().incarnation;
        let entry = self.view.member(&self.setup.vm);
        entry.is_none_or(|entry| entry.incarnation != own)
    }

    pub(crate) fn observed(&mut self, seen: &event::Observation) {
        let now = self.now;
        if let Some(pool) = self.group_state(&seen.instance) {
            pool.group
                .record_reply(now, &seen.instance, seen.sent, seen.applied);
        }
    }

    pub(crate) fn delayed(&mut self, instance: &Name) {
        let now = self.now;
        if let Some(pool) = self.group_state(instance) {
            pool.group.record_delay(instance, now);
        }
        if let Some(group) = self.instance_group(instance) {
            self.send_polls(&group);
        }
    }

    pub(crate) fn unpolled(&mut self, instance: &Name, live: bool) {
        if let Some(pool) = self.group_state(instance) {
            pool.group.record_poll_end(instance, live);
        }
    }

    /// Newest positions of leaders, for peers.
    pub(crate) fn known_positions(&self) -> Vec<message::Placed> {
        let known = self.groups.iter().filter_map(|(name, pool)| {
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
            if let Some(pool) = self.groups.get_mut(&placed.group) {
                pool.group
                    .record_peer_position(sent.before(age), placed.floor);
            }
        }
    }
}
