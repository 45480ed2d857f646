//! Reactions to a new view of the store: the configuration, the registration of
//! this VM, the removal of silent VMs, and the assignments of leaders.

use std::{collections, time as std_time};

use config::Name;

use crate::{daemon, event, group, journal, message, reports, sample, time, version, view};

/// Time after which a VM repeats its registration if the store did not answer or
/// refused the write: when many VMs start at once, they use up the store's rate of
/// writes for about this time.
const REGISTRATION_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(1);
/// Time between two checks for silent VMs.
const EVICTION_INTERVAL: std_time::Duration = std_time::Duration::from_millis(500);
/// Time for a doubted VM to write its row again: one read and one write, with time
/// for a slow store.
const DOUBT_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_500);

/// Most rows in one transaction that writes lost rows again.
const RESTORE_BATCH: usize = 50;
/// Time after which rows that are still lost are written once more: one write and one
/// read, with time for a slow store.
const RESTORE_INTERVAL: std_time::Duration = std_time::Duration::from_millis(1_500);
/// Delay for each live VM that sorts before this one, where every VM reads the store.
const RESTORE_STAGGER: std_time::Duration = std_time::Duration::from_millis(200);

/// Registration of this VM, and what it has seen and announced.
#[derive(Debug, Default)]
pub struct State {
    announced: u64,
    registration_sent: Option<time::Time>,
    /// Version at which this incarnation's row was written.
    registered_version: Option<u64>,
    was_listed: bool,
    /// Whether this VM has been ready before.
    was_ready: bool,
    last_eviction: time::Time,
    /// Doubted rows: version, and when the row was first seen with it.
    doubts: collections::BTreeMap<Name, (u64, time::Time)>,
    /// Start of each instance, in Unix milliseconds.
    start_times: collections::BTreeMap<Name, u64>,
    /// Listed processes, by VM, that may acknowledge commits.
    users: collections::BTreeMap<Name, u64>,
    /// Time from which on every process that may acknowledge commits has been listed.
    users_known: Option<time::Time>,
    /// When the store was first seen to have come back from an older copy.
    restored_at: Option<time::Time>,
    /// When this VM last wrote lost rows again.
    rows_restored_at: Option<time::Time>,
    /// Parts whose last read returned an older state than the known one.
    older_reads: collections::BTreeSet<view::Part>,
}

impl State {
    /// Records the revision as announced; true if it differs from the last one.
    pub fn mark_announced(&mut self, revision: u64) -> bool {
        let new = revision != self.announced;
        self.announced = revision;
        new
    }

    /// Time from which on every process that may have acknowledged a commit is one that is
    /// listed now; none if the list has not been read.
    pub fn users_known(&self) -> Option<time::Time> {
        self.users_known
    }

    /// Records the processes that may acknowledge commits. One that has been replaced or has
    /// stopped has ended by now. One that was removed uses leaders for another lease at most.
    fn record_users(&mut self, view: &view::View, lease: std_time::Duration, now: time::Time) {
        let users = view.members().filter(|(_, entry)| !entry.released);
        let users = users.map(|(_, entry)| (entry.vm.name.clone(), entry.incarnation));
        let users: collections::BTreeMap<_, _> = users.collect();
        let mut ended: Vec<_> = self
            .users
            .iter()
            .filter(|(vm, incarnation)| users.get(*vm) != Some(*incarnation))
            .map(|(vm, _)| vm.clone())
            .collect();
        if self.users_known.is_none()
            && let Some((_, event::Row::Epoch(epoch))) = view.row(&event::RowKey::Epoch)
        {
            // A process uses leaders only as a member of an epoch, and a removed one stays among
            // the former members for longer than a lease.
            let members = epoch.members.iter().chain(&epoch.former);
            ended.extend(members.map(|member| member.vm.clone()));
        }
        let mut known = self.users_known.unwrap_or(now);
        for vm in ended {
            let is_removed = view.member(&vm).is_none();
            known = known.max(if is_removed { now + lease } else { now });
        }
        self.users_known = Some(known);
        self.users = users;
    }

    /// When the store was first seen to have come back from an older copy.
    pub fn restored_at(&self) -> Option<time::Time> {
        self.restored_at
    }

    /// Handles the answer to a registration.
    pub fn finish_registration(&mut self, stored: event::StoreOutcome) {
        match stored {
            event::StoreOutcome::Written(version) => {
                self.registration_sent = None;
                self.registered_version = Some(version);
            }
            event::StoreOutcome::Conflict => self.registration_sent = None,
            // The write may have taken effect, so it is not repeated at once.
            event::StoreOutcome::Unknown => {}
        }
    }
}

impl daemon::Daemon {
    pub(crate) fn apply_view_update(&mut self, update: view::Update) {
        let part = update.part;
        self.record_older_read(&update);
        let era = self.view.known_version(part).map(|_| self.view.era(part));
        let lease = self.setup.timing.lease;
        let proven_at = self.view.proven_at(part);
        let has_gap = proven_at.is_none_or(|at| update.proven_at > at + lease);
        let changed = self.view.apply(update, self.now);
        if era.is_some_and(|era| era < self.view.era(part)) {
            let has_gap = has_gap && part == view::Part::Rows;
            if has_gap {
                self.view.record_gap();
                self.store_watch.users_known = None;
            }
            self.record_restored(part, has_gap);
        } else if era.is_none() && self.view.era(part) > 0 && part == view::Part::Rows {
            // The store may have come back a moment before the start of this process.
            self.store_watch.restored_at = Some(self.now);
        }
        match part {
            view::Part::Configuration | view::Part::Instances if changed => self.apply_config(),
            view::Part::Rows if changed => self.apply_rows(),
            _ => {}
        }
        if changed {
            self.notify_followers();
        }
        self.refresh_store_proof();
        self.refresh_assignments();
    }

    fn refresh_store_proof(&mut self) {
        let configured = self.view.proven_at(view::Part::Configuration);
        let listed = self.view.proven_at(view::Part::Rows);
        let proof = configured.zip(listed);
        self.members
            .set_store_proof(proof.map(|(configured, listed)| configured.min(listed)));
    }

    /// Records the revisions that a peer's report names. A VM that has not been ready
    /// before may have read the configuration from a store that has lost a revision, so
    /// it needs the newest that any peer names. Later, reads after the report do.
    pub(crate) fn record_revisions(&mut self, report: &message::Report) {
        if self.arbiter == group::Arbiter::Instances {
            return;
        }
        let heard = report.heard.iter().map(|heard| heard.revision);
        let common = report.common.iter().map(|common| common.revision);
        let newest = heard.chain(common).chain([report.revision]).max();
        let since = if self.store_watch.was_ready {
            self.now
        } else {
            time::Time::default()
        };
        self.view.record_revision(newest.unwrap_or_default(), since);
        self.refresh_store_proof();
    }

    /// Records that this VM is ready.
    pub(crate) fn mark_ready(&mut self) {
        self.store_watch.was_ready = true;
    }

    /// Records the first of successive reads that return an older state.
    fn record_older_read(&mut self, update: &view::Update) {
        let known = self.view.known_version(update.part);
        let Some(known) = known.filter(|known| update.version < *known) else {
            self.store_watch.older_reads.remove(&update.part);
            return;
        };
        if self.store_watch.older_reads.insert(update.part) {
            self.record_decision(journal::Decision::OlderRead {
                part: update.part,
                version: update.version,
                known,
            });
        }
    }

    fn record_restored(&mut self, part: view::Part, has_gap: bool) {
        if part == view::Part::Rows {
            self.store_watch.restored_at = Some(self.now);
            self.store_watch.rows_restored_at = None;
        }
        let is_rows = part == view::Part::Rows;
        self.record_decision(journal::Decision::StoreRestored {
            part,
            era: self.view.era(part),
            outdated: self.view.outdated_rows().filter(|_| is_rows).count(),
            has_gap,
        });
    }

    /// Corrects the rows that differ in a store that came back from an older copy.
    /// The VM that reads the store for its region does so; if every VM reads the store,
    /// they follow each other in the order of their names.
    pub(crate) fn restore_rows(&mut self) {
        let Some(since) = self.store_watch.restored_at else {
            return;
        };
        // A VM that has missed what the store has lost may know an outdated leader too.
        let is_known = |key: &event::RowKey| match key {
            event::RowKey::Leader(group) => self.view.is_leader_proven(group),
            _ => true,
        };
        let outdated = self.view.outdated_rows();
        let outdated = outdated.filter(|(key, _, _)| is_known(key));
        let mut changes: Vec<_> = outdated
            .map(|(key, version, row)| self.row_change(key.clone(), version, row.cloned()))
            .collect();
        changes.extend(self.confirmed_leaders());
        let is_recent = |at: time::Time| self.now.since(at) < RESTORE_INTERVAL;
        if changes.is_empty()
            || !self.members.has_quorum(self.now)
            || self.now < since + self.restore_delay()
            || self.store_watch.rows_restored_at.is_some_and(is_recent)
        {
            return;
        }
        self.store_watch.rows_restored_at = Some(self.now);
        // A member row that is newer than the epoch's shows that its VM has read the
        // epoch, so the epoch goes last. A leader's row shows that the members are known.
        changes.sort_by_key(|change| match change.key {
            event::RowKey::Epoch => 2,
            event::RowKey::Leader(_) => 1,
            _ => 0,
        });
        self.record_decision(journal::Decision::RowsRestored {
            rows: changes.len(),
        });
        for batch in changes.chunks(RESTORE_BATCH) {
            let batch = event::Action::RestoreRows(batch.to_vec());
            self.actions.push(batch);
        }
    }

    /// Rows that state the leaders which this VM uses, for processes that have started in
    /// this era of the store: to them, a row of an earlier era proves nothing.
    fn confirmed_leaders(&self) -> Vec<event::RowChange> {
        if self.view.era(view::Part::Rows) == 0 {
            return Vec::new();
        }
        let is_used = |group: &Name| {
            let state = self.groups.get(group);
            state.is_some_and(|state| {
                state.group.silence(self.now).is_zero() && state.handover.is_idle()
            })
        };
        let earlier = self.view.earlier_leaders();
        let earlier = earlier.filter(|(group, _, _)| is_used(group));
        let mut changes: Vec<_> = earlier
            .map(|(_, version, row)| self.row_change(row.key(), version, Some(row.clone())))
            .collect();
        for (group, state) in self.groups.iter().filter(|(group, _)| is_used(group)) {
            let is_stored = self.view.leader(group).is_some();
            let leader = state.group.declared_leader(self.now);
            let leader = leader.filter(|_| !is_stored);
            changes.extend(leader.map(|leader| {
                let row = event::Row::Leader(group.clone(), leader);
                self.row_change(row.key(), self.view.stored_version(&row.key()), Some(row))
            }));
        }
        changes
    }

    /// Delay before this VM corrects the rows, by its place among the live VMs. VMs that
    /// have registered since the store came back know nothing to correct.
    fn restore_delay(&self) -> std_time::Duration {
        if self.is_region_reader() {
            return std_time::Duration::ZERO;
        }
        let own = self.members.own_member();
        let era = self.view.era(view::Part::Rows);
        let is_earlier = |vm: &Name| {
            let key = event::RowKey::Member(vm.clone());
            let written = self.view.row(&key).map_or(0, |(version, _)| *version);
            version::Version::from(written).era() < era
        };
        let live = self.members.live_members(self.now);
        let mut live = live
            .iter()
            .filter(|member| **member == own || is_earlier(&member.vm));
        let rank = live.position(|member| *member == own);
        RESTORE_STAGGER * rank.map_or(u32::MAX, |rank| u32::try_from(rank).unwrap_or(u32::MAX))
    }

    /// Change of a row whose version in the store is known from the view.
    fn row_change(
        &self,
        key: event::RowKey,
        version: u64,
        row: Option<event::Row>,
    ) -> event::RowChange {
        event::RowChange {
            key,
            version,
            era: self.view.era(view::Part::Rows),
            row,
        }
    }

    /// Writes a row if the store has it in this version.
    pub(crate) fn store_row(&mut self, version: u64, row: event::Row) {
        let change = self.row_change(row.key(), version, Some(row));
        self.actions.push(event::Action::ChangeRow(change));
    }

    /// Drops instances whose entries lapsed too long ago.
    pub(crate) fn drop_lapsed(&mut self) {
        if self.view.drop_lapsed(self.now) {
            self.apply_config();
            self.refresh_assignments();
        }
    }

    /// Resets the state of instances that have restarted.
    fn reset_restarted(&mut self) {
        let start_times: collections::BTreeMap<_, _> = self.view.start_times().collect();
        for (name, started) in &start_times {
            let previous_start = self.store_watch.start_times.get(name);
            let renewed = previous_start.is_some_and(|known| known != started);
            if let Some(state) = self.group_state(name).filter(|_| renewed) {
                state.group.reset_instance(name);
            }
        }
        self.store_watch.start_times = start_times;
    }

    fn apply_config(&mut self) {
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
        self.reset_restarted();
        self.observe_starts();
    }

    fn apply_rows(&mut self) {
        let own = self.members.own_member();
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
        self.members.set_list_digest(reports::digest(versions));
        let lease = self.setup.timing.lease;
        self.store_watch.record_users(&self.view, lease, self.now);
        self.handle_vm_list(vms);
        for (version, entry) in &entries {
            self.members.apply_entry(*version, entry, self.now);
        }
        let epoch = match self.view.row(&event::RowKey::Epoch) {
            Some((_, row)) => {
                let version = self.view.stored_version(&event::RowKey::Epoch);
                event::LoadOutcome::Found(version, row.clone())
            }
            None => event::LoadOutcome::Missing,
        };
        self.handle_loaded_epoch(epoch, true);
        self.maintain_entry();
        self.request_view();
        self.activate_shares();
    }

    /// Registers this VM, or removes silent VMs once it is registered.
    pub(crate) fn maintain_entry(&mut self) {
        if self.is_stopping || self.view.proven_at(view::Part::Rows).is_none() {
            return;
        }
        let entry = self.view.member(&self.setup.vm);
        let doubted = entry.is_some_and(|entry| entry.doubted);
        if self.members.is_listed() {
            self.store_watch.was_listed = true;
            if !doubted {
                return self.evict_silent();
            }
        }
        if !doubted && self.is_registered() {
            // This VM has written its row, but has not read the row yet.
            return;
        }
        let is_recent = |at: time::Time| self.now.since(at) < REGISTRATION_TIMEOUT;
        if self.store_watch.registration_sent.is_some_and(is_recent) {
            return;
        }
        if !self.members.is_listed() {
            self.renew_incarnation();
        }
        self.store_watch.registration_sent = Some(self.now);
        self.write_entry(false);
    }

    /// Whether the store has this incarnation's row, as last read or as written
    /// since.
    pub(crate) fn is_registered(&self) -> bool {
        if self.members.is_listed() && !self.is_superseded() {
            return true;
        }
        let known = self.view.known_version(view::Part::Rows);
        self.store_watch
            .registered_version
            .is_some_and(|version| known < Some(version))
    }

    /// Latest time at which a pending registration is answered.
    pub(crate) fn registration_deadline(&self) -> Option<time::Time> {
        let sent = self.store_watch.registration_sent?;
        Some(sent + REGISTRATION_TIMEOUT)
    }

    /// Takes a new incarnation if other VMs may have seen the previous one.
    fn renew_incarnation(&mut self) {
        let entry = self.view.member(&self.setup.vm);
        let stored = entry.map_or(0, |entry| entry.incarnation);
        let used = self.members.own_member().incarnation;
        if self.store_watch.was_listed || stored >= used {
            self.store_watch.was_listed = false;
            let own = self.members.start_incarnation(stored.max(used) + 1);
            self.budgets.reset(own, self.now);
            self.resize_pools();
        }
    }

    /// Writes this incarnation's row.
    fn write_entry(&mut self, released: bool) {
        let row = event::Row::Member(event::MemberEntry {
            vm: event::Vm {
                name: self.setup.vm.clone(),
                domain: self.setup.domain.clone(),
                region: self.setup.region.clone(),
                peer: self.setup.peer_address.clone(),
                leaving: released,
            },
            incarnation: self.members.own_member().incarnation,
            released,
            doubted: false,
        });
        self.store_row(self.view.stored_version(&row.key()), row);
    }

    /// Marks the row to show that this incarnation holds no shares any more and uses
    /// no leaders.
    pub(crate) fn release_entry(&mut self) {
        if self.arbiter == group::Arbiter::Store && self.members.is_listed() {
            self.write_entry(true);
        }
    }

    /// Removes the rows of VMs that no VM hears of. The row of such a VM is first
    /// marked as doubted. If the daemon of that VM still runs, it writes its row
    /// again, which clears the mark.
    fn evict_silent(&mut self) {
        let is_first =
            self.members.live_members(self.now).first() == Some(&self.members.own_member());
        let has_quorum = self.members.has_quorum(self.now);
        if !is_first
            || !has_quorum
            || self.now.since(self.store_watch.last_eviction) < EVICTION_INTERVAL
        {
            return;
        }
        self.store_watch.last_eviction = self.now;
        let silent = self.view.members().filter(|(_, entry)| {
            let peer = self.members.peers().get(&entry.vm.name);
            peer.is_some_and(|peer| self.members.is_silent(peer, self.now))
        });
        let silent: Vec<_> = silent
            .map(|(version, entry)| (version, entry.clone()))
            .collect();
        for (version, entry) in silent {
            self.doubt_or_evict(version, entry);
        }
    }

    fn doubt_or_evict(&mut self, version: u64, entry: event::MemberEntry) {
        let name = entry.vm.name.clone();
        let key = event::RowKey::Member(name.clone());
        let stored = self.view.stored_version(&key);
        if !entry.doubted && !entry.released {
            let row = event::Row::Member(event::MemberEntry {
                doubted: true,
                ..entry
            });
            return self.store_row(stored, row);
        }
        let since = match self.store_watch.doubts.get(&name) {
            Some((known, since)) if *known == version => *since,
            _ => {
                self.store_watch.doubts.insert(name, (version, self.now));
                return;
            }
        };
        if self.now.since(since) < DOUBT_TIMEOUT {
            return;
        }
        self.store_watch.doubts.remove(&name);
        self.record_decision(journal::Decision::Evicted {
            vm: name.clone(),
            released: entry.released,
        });
        let change = self.row_change(key, stored, None);
        self.actions.push(event::Action::ChangeRow(change));
    }

    /// Applies the assignments of leaders in the view to the groups.
    pub(crate) fn refresh_assignments(&mut self) {
        let proven_at = self.view.proven_at(view::Part::Rows);
        let until = proven_at.filter(|_| self.members.is_listed() && !self.is_superseded());
        let until = until.map(|proven_at| proven_at + self.setup.timing.lease);
        let groups: Vec<_> = self.groups.keys().cloned().collect();
        for name in groups {
            let Some(state) = self.groups.get_mut(&name) else {
                continue;
            };
            let token = state.handover.token();
            let assignment = until.and_then(|until| self.view.assigned_leader(&name, until, token));
            if state.group.set_assignment(assignment, self.now) {
                self.advance_group(&name);
            }
        }
    }

    /// Whether the row of this VM does not name this incarnation of the daemon.
    pub(crate) fn is_superseded(&self) -> bool {
        let own = self.members.own_member().incarnation;
        let entry = self.view.member(&self.setup.vm);
        entry.is_none_or(|entry| entry.incarnation != own)
    }

    pub(crate) fn handle_observation(&mut self, observation: &event::Observation) {
        let now = self.now;
        self.track_restart(&observation.instance, true);
        if let Some(state) = self.group_state(&observation.instance) {
            state.group.record_reply(
                now,
                &observation.instance,
                observation.sent,
                observation.applied,
            );
        }
    }

    pub(crate) fn handle_statement_delay(&mut self, instance: &Name) {
        let now = self.now;
        if let Some(state) = self.group_state(instance) {
            state.group.record_delay(instance, now);
        }
        if let Some(group) = self.instance_group(instance) {
            self.send_polls(&group);
        }
    }

    pub(crate) fn handle_poll_failure(&mut self, instance: &Name, is_alive: bool) {
        self.track_restart(instance, is_alive);
        if let Some(state) = self.group_state(instance) {
            state.group.record_poll_end(instance, is_alive);
        }
    }

    /// Newest known positions of leaders, for reports to peers.
    pub(crate) fn leader_positions(&self) -> Vec<message::LeaderPosition> {
        let known = self.groups.iter().filter_map(|(name, state)| {
            let sample = state.group.newest_sample()?;
            Some(message::LeaderPosition {
                group: name.clone(),
                floor: sample.position,
                age: time::micros(self.now.since(sample.sent)),
            })
        });
        known.collect()
    }

    /// Applies the positions that a peer knew when it answered a ping sent at
    /// `sent`.
    pub(crate) fn merge_positions(
        &mut self,
        from: &Name,
        sent: time::Time,
        positions: &[message::LeaderPosition],
    ) {
        for position in positions {
            let age = std_time::Duration::from_micros(position.age);
            let Some(sampled_at) = sent.before(age) else {
                continue;
            };
            let now = self.now;
            if let Some(state) = self.groups.get_mut(&position.group) {
                let sample = sample::Sample {
                    sent: sampled_at,
                    position: position.floor,
                    source: sample::Source::Peer(from.clone()),
                };
                state.group.record_peer_sample(sample, now);
            }
        }
    }
}
