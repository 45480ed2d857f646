//! The platform's store as this daemon last saw it.
//!
//! Daemons watch three parts separately: the operators' configuration, the instances
//! that register, and the rows that the fleet writes. The age of a part is the time
//! since the last proof of its state, on a clock that counts suspended time. A part
//! that is too old permits nothing, so a daemon that cannot read the store stops
//! using leaders and shares by itself.

use std::{collections, net, sync};

use config::{Fleet, Name};
use serde::{Deserialize, Serialize};

use crate::{event, leader, position, replica_set, time, version};

mod change_log;
mod evacuated;
mod lapsed;

/// A part of the store that is watched separately.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    derive_more::Display,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Part {
    /// The operators' configuration.
    #[display("configuration")]
    Configuration,
    /// Instances that have registered.
    #[display("instances")]
    Instances,
    /// Rows that the fleet writes.
    #[display("rows")]
    Rows,
}

/// All parts of the store.
pub const PARTS: [Part; 3] = [Part::Configuration, Part::Instances, Part::Rows];

/// Configuration as the operators wrote it; its groups have no instances.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Document {
    /// Number of the revision.
    pub revision: u64,
    /// Customers, groups and routes.
    pub fleet: Fleet,
    /// Connections that each instance of a group accepts.
    pub connections: collections::BTreeMap<Name, u32>,
}

/// What an instance states about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Registration {
    /// Group to which the instance belongs.
    pub group: Name,
    /// Address on which the instance listens.
    pub address: net::SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// Whether the instance will stop soon.
    pub leaving: bool,
    /// Whether the instance declares itself the primary.
    pub leads: bool,
    /// Start of its process, in Unix milliseconds.
    pub born: u64,
    /// Time for which the instance is still cold, in ms; none if it states none.
    #[serde(default)]
    pub warmup_ms: Option<u64>,
}

impl Registration {
    /// Whether the entries differ in more than the time that passes.
    fn has_changed(&self, other: &Self) -> bool {
        let timeless = Self {
            warmup_ms: self.warmup_ms,
            ..other.clone()
        };
        *self != timeless
    }
}

/// A change of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A new configuration.
    Configuration(sync::Arc<Document>),
    /// The evacuation of a failure domain, with the version of its entry; none if the
    /// failure domain was taken back.
    Evacuation(Name, Option<u64>),
    /// An instance; none if its entry is gone.
    Instance(Name, Option<Registration>),
    /// An entry that cannot be parsed, and therefore registers no instance.
    Unreadable(Name),
    /// A row with its version; none if the row is gone.
    Row(event::RowKey, Option<(u64, event::Row)>),
}

/// What a read of one part returned.
#[derive(Clone, Debug)]
pub struct Update {
    /// Part that was read.
    pub part: Part,
    /// Time at which the state is proven to have held.
    pub proven_at: time::Time,
    /// Version of the store up to which the part is known once the changes are
    /// applied.
    pub version: u64,
    /// Whether the changes are all entries: an entry that they do not name is gone.
    pub whole: bool,
    /// Whether this VM has read the store itself.
    pub is_direct: bool,
    /// Changes in order.
    pub changes: Vec<Change>,
}

/// One daemon's view of the store.
#[derive(Debug, Default)]
pub struct View {
    proofs: collections::BTreeMap<Part, time::Time>,
    known_versions: collections::BTreeMap<Part, u64>,
    document: Option<sync::Arc<Document>>,
    evacuated: evacuated::Evacuated,
    /// Newer revisions that other VMs have in force, with the time from which the store
    /// has to return them.
    reported_revisions: collections::BTreeMap<u64, time::Time>,
    instances: collections::BTreeMap<Name, Registration>,
    lapsed: lapsed::Lapsed,
    rows: collections::BTreeMap<event::RowKey, (u64, event::Row)>,
    /// Rows that differ in the store because it came back from an older copy, with
    /// their versions there; 0 if the store lacks the row. If this view lacks the row,
    /// it was removed after the copy was made.
    outdated_rows: collections::BTreeMap<event::RowKey, u64>,
    /// Whether the store has come back from an older copy, and this VM has not read all
    /// rows itself since.
    is_uncompared: bool,
    /// Instances that are known to leave, which the store does not state because it came
    /// back from an older copy.
    outdated_instances: collections::BTreeSet<Name>,
    /// Era of the store since which this process has known the rows without a gap.
    known_from: u64,
    change_log: change_log::Log,
}

impl View {
    /// Applies an update at `now`; true if anything changed. An update that is
    /// older than the view only renews the proof, or does nothing if it belongs to an
    /// earlier era of the store.
    ///
    /// What the view knows stays valid if the store comes back from an older copy:
    /// rows of the copy do not replace newer ones, rows that the copy lacks are kept,
    /// and rows of VMs that were removed do not return. They are
    /// [`Self::outdated_rows`] until the store has been corrected.
    pub fn apply(&mut self, update: Update, now: time::Time) -> bool {
        let (part, version) = (update.part, update.version);
        let known = self.known_versions.get(&part).copied();
        let era = |version: u64| version::Version::from(version).era();
        if known.is_some_and(|known| era(version) < era(known)) {
            return false;
        }
        if part != Part::Configuration || !self.lacks_revision(&update) {
            let proof = self.proofs.entry(part).or_default();
            *proof = (*proof).max(update.proven_at);
        }
        if known.is_some_and(|known| version < known) {
            return false;
        }
        if known.is_none() && part == Part::Rows {
            self.known_from = era(version);
        }
        let is_new_era = known.is_some_and(|known| era(version) > era(known));
        let is_compared = update.whole && update.is_direct && part == Part::Rows;
        let is_first = is_compared && self.is_uncompared;
        let restored_from = known.filter(|_| is_new_era || is_first);
        self.is_uncompared |= is_new_era && part == Part::Rows;
        self.is_uncompared &= !is_compared;
        self.known_versions.insert(part, version);
        let mut changes = update.changes;
        if update.whole {
            if part == Part::Rows {
                self.forget_corrected(&changes);
            }
            let removals = self.removals(part, &changes);
            changes.extend(self.without_lost(removals, restored_from.is_some()));
        }
        changes = self.without_returned(changes, update.whole, restored_from);
        if part == Part::Configuration {
            let is_copy = restored_from.is_some();
            changes = self.evacuated.filter(changes, update.whole, is_copy);
        }
        let mut changed = false;
        for change in changes {
            if self.apply_change(change.clone(), now) {
                self.change_log.push(part, version, change);
                changed = true;
            }
        }
        if known.is_none() {
            self.change_log.mark_truncated(part, version);
        }
        changed
    }

    /// Records that another VM has a revision in force: a read of the store at `since` or
    /// later that does not return the revision proves nothing, since the store has
    /// lost the revision.
    pub fn record_revision(&mut self, revision: u64, since: time::Time) {
        if revision > self.revision() {
            let known = self.reported_revisions.entry(revision).or_insert(since);
            *known = (*known).min(since);
        }
    }

    /// Whether the store has lost a revision that an update, once it is applied, should
    /// have brought.
    fn lacks_revision(&self, update: &Update) -> bool {
        let offered = update.changes.iter().filter_map(|change| match change {
            Change::Configuration(document) => Some(document.revision),
            _ => None,
        });
        let revision = offered.chain([self.revision()]).max();
        self.is_outdated(revision.unwrap_or_default(), update.proven_at)
    }

    /// Whether a revision was no longer the newest one at a time.
    fn is_outdated(&self, revision: u64, at: time::Time) -> bool {
        let mut newer = self.reported_revisions.iter();
        newer.any(|(reported, since)| *reported > revision && *since <= at)
    }

    /// Number of the newest known revision.
    fn revision(&self) -> u64 {
        self.document
            .as_ref()
            .map_or(0, |document| document.revision)
    }

    /// Removals without the rows that the store has lost: rows that it lacks when it
    /// comes back from an older copy, and rows that are still outdated in it.
    fn without_lost(&mut self, mut removals: Vec<Change>, is_restored: bool) -> Vec<Change> {
        removals.retain(|change| {
            let Change::Row(key, _) = change else {
                return true;
            };
            let is_lost = is_restored || self.outdated_rows.contains_key(key);
            if is_lost {
                self.outdated_rows.insert(key.clone(), 0);
            }
            !is_lost
        });
        removals
    }

    /// Forgets outdated rows that neither this view nor the store has.
    fn forget_corrected(&mut self, changes: &[Change]) {
        let named = changes.iter().filter_map(|change| match change {
            Change::Row(key, _) => Some(key),
            _ => None,
        });
        let named: collections::BTreeSet<_> = named.collect();
        let rows = &self.rows;
        self.outdated_rows
            .retain(|key, _| rows.contains_key(key) || named.contains(key));
    }

    /// Changes without what only the copy still has: instances that stay although they
    /// are known to leave, and rows of VMs that were removed. `restored_from` is the
    /// known version if the rows have not been compared since the store came back.
    fn without_returned(
        &mut self,
        mut changes: Vec<Change>,
        is_whole: bool,
        restored_from: Option<u64>,
    ) -> Vec<Change> {
        changes.retain_mut(|change| match change {
            Change::Instance(name, Some(entry)) => {
                let is_copied =
                    restored_from.is_some() || is_whole && self.outdated_instances.contains(name);
                let previous = self.instances.get(name);
                let leaves = |previous: &Registration| {
                    previous.leaving && !entry.leaving && previous.born == entry.born
                };
                if is_copied && previous.is_some_and(leaves) {
                    entry.leaving = true;
                    self.outdated_instances.insert(name.clone());
                } else {
                    self.outdated_instances.remove(name);
                }
                true
            }
            Change::Row(key @ event::RowKey::Member(_), Some((version, _))) => {
                let removed = restored_from.max(self.outdated_rows.get(key).copied());
                let is_older = removed.is_some_and(|removed| *version <= removed);
                let was_removed = is_older && !self.rows.contains_key(key);
                if was_removed {
                    self.outdated_rows.insert(key.clone(), *version);
                }
                !was_removed
            }
            _ => true,
        });
        changes
    }

    /// Rows that differ in the store because it came back from an older copy: the
    /// version in the store, and the known row, if there is one.
    pub fn outdated_rows(
        &self,
    ) -> impl Iterator<Item = (&event::RowKey, u64, Option<&event::Row>)> {
        let outdated = self.outdated_rows.iter();
        outdated.map(|(key, stored)| (key, *stored, self.rows.get(key).map(|(_, row)| row)))
    }

    /// Records that this VM was without a valid view when the store came back from an
    /// older copy, so that it has missed what the store has lost.
    pub fn record_gap(&mut self) {
        self.known_from = self.era(Part::Rows);
    }

    /// Whether the row of a group's leader, or its absence, proves who leads. After a
    /// restore, a row of an earlier era may be one that had been replaced. Only a process
    /// that has known the rows all the time can tell.
    pub fn is_leader_proven(&self, group: &Name) -> bool {
        let written = self.leader(group).map_or(0, |(version, _)| version);
        version::Version::from(written).era() >= self.known_from
    }

    /// Whether the store may have lost rows that this VM has never known.
    pub fn has_gap(&self) -> bool {
        self.known_from > 0 && self.known_from == self.era(Part::Rows)
    }

    /// Rows of leaders from an earlier era that still hold, as this VM has known the rows
    /// without a gap.
    pub fn earlier_leaders(&self) -> impl Iterator<Item = (&Name, u64, &event::Row)> {
        let era = self.era(Part::Rows);
        self.rows.iter().filter_map(move |(key, (written, row))| {
            let event::Row::Leader(group, leader) = row else {
                return None;
            };
            let is_earlier = version::Version::from(*written).era() < era;
            let is_settled = leader.claim.is_none() && !self.outdated_rows.contains_key(key);
            (is_earlier && is_settled && self.is_leader_proven(group))
                .then_some((group, *written, row))
        })
    }

    /// Whether the store may have lost rows that this VM knows only from another VM.
    pub fn is_uncompared(&self) -> bool {
        self.is_uncompared
    }

    /// Version of the store up to which a part is known.
    pub fn known_version(&self, part: Part) -> Option<u64> {
        self.known_versions.get(&part).copied()
    }

    /// Changes of a part after a version; or all entries, and true, if the single
    /// changes are not known.
    pub fn changes_since(&self, part: Part, after: Option<u64>) -> (bool, Vec<Change>) {
        match after.and_then(|after| self.change_log.since(part, after)) {
            Some(changes) => (false, changes),
            None => (true, self.entries(part)),
        }
    }

    fn entries(&self, part: Part) -> Vec<Change> {
        match part {
            Part::Configuration => {
                let document = self.document.iter().cloned();
                let document = document.map(Change::Configuration);
                document.chain(self.evacuated.entries()).collect()
            }
            Part::Instances => {
                let all = self.instances.iter();
                all.map(|(name, entry)| Change::Instance(name.clone(), Some(entry.clone())))
                    .collect()
            }
            Part::Rows => {
                let all = self.rows.iter();
                all.map(|(key, row)| Change::Row(key.clone(), Some(row.clone())))
                    .collect()
            }
        }
    }

    /// Drops lapsed instances whose grace period is over; true if there were any.
    pub fn drop_lapsed(&mut self, now: time::Time) -> bool {
        self.lapsed.drop_expired(now)
    }

    /// Removals of the entries that a read of the whole part no longer names.
    fn removals(&self, part: Part, changes: &[Change]) -> Vec<Change> {
        match part {
            Part::Configuration => self.evacuated.removals(changes),
            Part::Instances => {
                let named = changes.iter().filter_map(|change| match change {
                    Change::Instance(name, _) | Change::Unreadable(name) => Some(name),
                    _ => None,
                });
                let gone = absent_keys(self.instances.keys(), named);
                gone.map(|name| Change::Instance(name, None)).collect()
            }
            Part::Rows => {
                let named = changes.iter().filter_map(|change| match change {
                    Change::Row(key, _) => Some(key),
                    _ => None,
                });
                let gone = absent_keys(self.rows.keys(), named);
                gone.map(|key| Change::Row(key, None)).collect()
            }
        }
    }

    fn apply_change(&mut self, change: Change, now: time::Time) -> bool {
        match change {
            Change::Configuration(document) => {
                let newer = self
                    .document
                    .as_ref()
                    .is_none_or(|current| current.revision < document.revision);
                if newer {
                    let revision = document.revision;
                    self.reported_revisions
                        .retain(|reported, _| *reported > revision);
                    self.document = Some(document);
                }
                newer
            }
            Change::Evacuation(domain, version) => self.evacuated.apply(domain, version),
            Change::Instance(name, Some(entry)) => {
                self.lapsed.drop_replaced(&name, &entry);
                let previous = self.instances.insert(name, entry.clone());
                previous.is_none_or(|previous| previous.has_changed(&entry))
            }
            Change::Instance(name, None) => match self.instances.remove(&name) {
                Some(entry) => {
                    self.lapsed.insert(name, entry, now);
                    true
                }
                None => false,
            },
            Change::Unreadable(name) => {
                let lapsed = self.lapsed.remove(&name);
                self.instances.remove(&name).is_some() || lapsed
            }
            Change::Row(key, Some((version, row))) => {
                let known = self.rows.get(&key).map(|(known, _)| *known);
                if known.is_some_and(|known| version < known) {
                    self.outdated_rows.insert(key, version);
                    return false;
                }
                self.outdated_rows.remove(&key);
                self.rows.insert(key, (version, row));
                known != Some(version)
            }
            Change::Row(key, None) => {
                self.outdated_rows.remove(&key);
                self.rows.remove(&key).is_some()
            }
        }
    }

    /// Latest time at which the state of a part is proven to have held.
    pub fn proven_at(&self, part: Part) -> Option<time::Time> {
        let proof = self.proofs.get(&part).copied()?;
        let is_refuted = part == Part::Configuration && self.is_outdated(self.revision(), proof);
        (!is_refuted).then_some(proof)
    }

    /// Configuration with the instances that have registered.
    pub fn fleet(&self) -> Option<(u64, Fleet)> {
        let document = self.document.as_ref()?;
        let mut fleet = document.fleet.clone();
        fleet.evacuated.extend(self.evacuated.domains().cloned());
        for (name, entry) in self.usable_instances() {
            let Some(group) = fleet.groups.get_mut(&entry.group) else {
                continue;
            };
            group.instances.push(config::Instance {
                name: name.clone(),
                address: entry.address,
                domain: entry.domain.clone(),
                connections: document
                    .connections
                    .get(&entry.group)
                    .copied()
                    .unwrap_or_default(),
                leaving: entry.leaving,
            });
        }
        Some((document.revision, fleet))
    }

    /// Instances that may be used: those registered, and those whose entries have
    /// lapsed recently.
    fn usable_instances(&self) -> impl Iterator<Item = (&Name, &Registration)> {
        self.instances.iter().chain(self.lapsed.iter())
    }

    /// Registration of an instance that may be used.
    pub fn registration(&self, name: &str) -> Option<&Registration> {
        let entry = self.instances.get(name);
        entry.or_else(|| self.lapsed.get(name))
    }

    /// Registrations of the instances that may be used.
    pub fn registrations(&self) -> impl Iterator<Item = (&Name, &Registration)> {
        self.usable_instances()
    }

    /// Instances with the start of their processes, in Unix milliseconds.
    pub fn start_times(&self) -> impl Iterator<Item = (Name, u64)> {
        self.usable_instances()
            .map(|(name, entry)| (name.clone(), entry.born))
    }

    /// Starts of the processes of a group's instances.
    pub fn starts(&self, group: &Name) -> replica_set::Starts {
        let entries = self.usable_instances();
        let entries = entries.filter(|(_, entry)| entry.group == *group);
        entries
            .map(|(name, entry)| (name.clone(), entry.born))
            .collect()
    }

    /// A row with its version.
    pub fn row(&self, key: &event::RowKey) -> Option<&(u64, event::Row)> {
        self.rows.get(key)
    }

    /// Version that the store is known to have of a row; 0 if it has none.
    pub fn stored_version(&self, key: &event::RowKey) -> u64 {
        let outdated = self.outdated_rows.get(key).copied();
        outdated.unwrap_or_else(|| self.rows.get(key).map_or(0, |(version, _)| *version))
    }

    /// Era of the store to which a part belongs.
    pub fn era(&self, part: Part) -> u64 {
        let known = self.known_version(part).unwrap_or_default();
        version::Version::from(known).era()
    }

    /// Rows of VMs, with their versions.
    pub fn members(&self) -> impl Iterator<Item = (u64, &event::MemberEntry)> {
        self.rows.values().filter_map(|(version, row)| match row {
            event::Row::Member(entry) => Some((*version, entry)),
            _ => None,
        })
    }

    /// Row of a VM.
    pub fn member(&self, vm: &Name) -> Option<&event::MemberEntry> {
        match self.rows.get(&event::RowKey::Member(vm.clone()))? {
            (_, event::Row::Member(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Row of a group's leader, with its version.
    pub fn leader(&self, group: &Name) -> Option<(u64, &leader::Leader)> {
        match self.rows.get(&event::RowKey::Leader(group.clone()))? {
            (version, event::Row::Leader(_, leader)) => Some((*version, leader)),
            _ => None,
        }
    }

    /// Instance of a group that declares itself the primary, if there is exactly
    /// one.
    pub fn declared_primary(&self, group: &Name) -> Option<&Name> {
        let is_leading = |(_, entry): &(&Name, &Registration)| entry.group == *group && entry.leads;
        let mut all: Vec<_> = self.instances.iter().filter(is_leading).collect();
        if all.is_empty() {
            all.extend(self.lapsed.iter().filter(is_leading));
        }
        match all[..] {
            [(name, _)] => Some(name),
            _ => None,
        }
    }

    /// Leader that the rows assign to the group, for use until `until`; none while
    /// a claim is in progress, or if the rows prove nothing. `token` is the highest token
    /// of a claim that a peer or this daemon has announced: older versions of the row do
    /// not count.
    pub fn assigned_leader(
        &self,
        group: &Name,
        until: time::Time,
        token: u64,
    ) -> Option<leader::Assignment> {
        if !self.is_leader_proven(group) {
            return None;
        }
        let Some((version, row)) = self.leader(group) else {
            let instance = self.declared_primary(group).filter(|_| token == 0)?;
            return Some(leader::Assignment {
                instance: instance.clone(),
                term: position::Term(0),
                start: None,
                until,
            });
        };
        let settled = row.claim.is_none() && version >= token;
        let instance = row.instance.clone().filter(|_| settled)?;
        Some(leader::Assignment {
            instance,
            term: row.term,
            start: Some(row.start),
            until,
        })
    }
}

/// Keys that are not among those named.
fn absent_keys<'a, K: Clone + Ord + 'a>(
    keys: impl Iterator<Item = &'a K>,
    named: impl Iterator<Item = &'a K>,
) -> impl Iterator<Item = K> {
    let named: collections::BTreeSet<_> = named.collect();
    keys.filter(move |key| !named.contains(key)).cloned()
}
