//! The platform's store as this daemon last saw it.
//!
//! Three parts are watched by themselves: the operators' configuration, the
//! instances that register, and the fleet's own rows. A part is as old as the
//! last proof of its state, on a clock that counts suspended time.
//! What it allows ends with its age, so a daemon that cannot read gives up by
//! itself whatever it held.

use std::{collections, net, sync};

use config::{Fleet, Name};
use serde::{Deserialize, Serialize};

use crate::{event, leader, position, time};

mod lapsed;
mod log;

/// A part of the store that is watched by itself.
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
    /// Operators' configuration.
    #[display("configuration")]
    Configuration,
    /// Instances that have registered.
    #[display("instances")]
    Instances,
    /// Rows of the fleet itself.
    #[display("rows")]
    Rows,
}

/// Parts of the store.
pub const PARTS: [Part; 3] = [Part::Configuration, Part::Instances, Part::Rows];

/// Configuration as the operators wrote it; groups have no instances in it.
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

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Registration {
    /// Group it belongs to.
    pub group: Name,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Failure domain.
    pub domain: Name,
    /// It will end soon.
    pub leaving: bool,
    /// It takes itself for the primary.
    pub leads: bool,
    /// Start of its process, in Unix ms.
    pub born: u64,
}

/// A change of one entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A new configuration.
    Configuration(sync::Arc<Document>),
    /// An instance; none if its entry is gone.
    Instance(Name, Option<Registration>),
    /// An entry that cannot be read, and names no instance.
    Unreadable(Name),
    /// A row at its version; none if it is gone.
    Row(event::RowKey, Option<(u64, event::Row)>),
}

/// What a watch has found.
#[derive(Clone, Debug)]
pub struct Update {
    /// Part.
    pub part: Part,
    /// Time for which the read proves the state.
    pub proved: time::Time,
    /// Version of the store up to which the part is known with the changes.
    pub version: u64,
    /// The changes are all there is; what they do not name is gone.
    pub whole: bool,
    /// Changes in order.
    pub changes: Vec<Change>,
}

/// The view of one daemon.
#[derive(Debug, Default)]
pub struct View {
    seen: collections::BTreeMap<Part, time::Time>,
    versions: collections::BTreeMap<Part, u64>,
    document: Option<sync::Arc<Document>>,
    instances: collections::BTreeMap<Name, Registration>,
    lapsed: lapsed::Lapsed,
    rows: collections::BTreeMap<event::RowKey, (u64, event::Row)>,
    log: log::Log,
}

impl View {
    /// Takes in an update at `now`; true if anything changed. One that is older
    /// than what is known proves it, and changes nothing.
    pub fn apply(&mut self, update: Update, now: time::Time) -> bool {
        let (part, version) = (update.part, update.version);
        let seen = self.seen.entry(part).or_default();
        *seen = (*seen).max(update.proved);
        let known = self.versions.get(&part).copied();
        if known.is_some_and(|known| version < known) {
            return false;
        }
        self.versions.insert(part, version);
        let mut changes = update.changes;
        if update.whole {
            changes.extend(self.missing(part, &changes));
        }
        let mut changed = false;
        for change in changes {
            if self.change(change.clone(), now) {
                self.log.push(part, version, change);
                changed = true;
            }
        }
        if known.is_none() {
            self.log.cut(part, version);
        }
        changed
    }

    /// Version of the store up to which a part is known.
    pub fn known(&self, part: Part) -> Option<u64> {
        self.versions.get(&part).copied()
    }

    /// Changes of a part after a version, or all entries and true if they are
    /// not known one by one.
    pub fn changes(&self, part: Part, after: Option<u64>) -> (bool, Vec<Change>) {
        match after.and_then(|after| self.log.since(part, after)) {
            Some(changes) => (false, changes),
            None => (true, self.entries(part)),
        }
    }

    fn entries(&self, part: Part) -> Vec<Change> {
        match part {
            Part::Configuration => {
                let document = self.document.iter().cloned();
                document.map(Change::Configuration).collect()
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

    /// Drops what lapsed too long ago; true if there was any.
    pub fn expire(&mut self, now: time::Time) -> bool {
        self.lapsed.expire(now)
    }

    /// Removals of the entries of a part that a whole read no longer names.
    fn missing(&self, part: Part, changes: &[Change]) -> Vec<Change> {
        match part {
            Part::Configuration => Vec::new(),
            Part::Instances => {
                let named = changes.iter().filter_map(|change| match change {
                    Change::Instance(name, _) | Change::Unreadable(name) => Some(name),
                    _ => None,
                });
                let gone = unnamed(self.instances.keys(), named);
                gone.map(|name| Change::Instance(name, None)).collect()
            }
            Part::Rows => {
                let named = changes.iter().filter_map(|change| match change {
                    Change::Row(key, _) => Some(key),
                    _ => None,
                });
                let gone = unnamed(self.rows.keys(), named);
                gone.map(|key| Change::Row(key, None)).collect()
            }
        }
    }

    fn change(&mut self, change: Change, now: time::Time) -> bool {
        match change {
            Change::Configuration(document) => {
                let newer = self
                    .document
                    .as_ref()
                    .is_none_or(|own| own.revision < document.revision);
                if newer {
                    self.document = Some(document);
                }
                newer
            }
            Change::Instance(name, Some(entry)) => {
                self.lapsed.replace(&name, &entry);
                self.instances.insert(name, entry.clone()) != Some(entry)
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
                let newer = self.rows.get(&key).is_none_or(|(own, _)| *own < version);
                if newer {
                    self.rows.insert(key, (version, row));
                }
                newer
            }
            Change::Row(key, None) => self.rows.remove(&key).is_some(),
        }
    }

    /// Time for which the state of a part was last proved.
    pub fn seen(&self, part: Part) -> Option<time::Time> {
        self.seen.get(&part).copied()
    }

    /// Configuration with the instances that have registered.
    pub fn fleet(&self) -> Option<(u64, Fleet)> {
        let document = self.document.as_ref()?;
        let mut fleet = document.fleet.clone();
        for (name, entry) in self.usable() {
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

    /// Instances that may be used: those registered, and those whose entries
    /// have lapsed of late.
    fn usable(&self) -> impl Iterator<Item = (&Name, &Registration)> {
        self.instances.iter().chain(self.lapsed.iter())
    }

    /// What an instance says of itself.
    pub fn instance(&self, name: &str) -> Option<&Registration> {
        let entry = self.instances.get(name);
        entry.or_else(|| self.lapsed.get(name))
    }

    /// Instances with the start of their processes, in Unix ms.
    pub fn births(&self) -> impl Iterator<Item = (Name, u64)> {
        self.usable()
            .map(|(name, entry)| (name.clone(), entry.born))
    }

    /// A row with its version.
    pub fn row(&self, key: &event::RowKey) -> Option<&(u64, event::Row)> {
        self.rows.get(key)
    }

    /// Version of a row; 0 if there is none.
    pub fn version(&self, key: &event::RowKey) -> u64 {
        self.rows.get(key).map_or(0, |(version, _)| *version)
    }

    /// VMs that take part, with the version of their rows.
    pub fn members(&self) -> impl Iterator<Item = (u64, &event::MemberEntry)> {
        self.rows.values().filter_map(|(version, row)| match row {
            event::Row::Member(entry) => Some((*version, entry)),
            _ => None,
        })
    }

    /// Entry of a VM.
    pub fn member(&self, vm: &Name) -> Option<&event::MemberEntry> {
        match self.rows.get(&event::RowKey::Member(vm.clone()))? {
            (_, event::Row::Member(entry)) => Some(entry),
            _ => None,
        }
    }

    /// Row of a group's leader with its version.
    pub fn leader(&self, group: &Name) -> Option<(u64, &leader::Leader)> {
        match self.rows.get(&event::RowKey::Leader(group.clone()))? {
            (version, event::Row::Leader(_, leader)) => Some((*version, leader)),
            _ => None,
        }
    }

    /// The only instance of a group that takes itself for the primary.
    pub fn self_styled(&self, group: &Name) -> Option<&Name> {
        let leads = |(_, entry): &(&Name, &Registration)| entry.group == *group && entry.leads;
        let mut all: Vec<_> = self.instances.iter().filter(leads).collect();
        if all.is_empty() {
            all.extend(self.lapsed.iter().filter(leads));
        }
        match all[..] {
            [(name, _)] => Some(name),
            _ => None,
        }
    }

    /// Leader that the rows allow to use until `until`. A claim known from
    /// elsewhere, by its token, counts although its row has not been seen.
    pub fn ruling(
        &self,
        group: &Name,
        until: time::Time,
        token: u64,
    ) -> Option<leader::Assignment> {
        let Some((version, row)) = self.leader(group) else {
            let instance = self.self_styled(group).filter(|_| token == 0)?;
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
fn unnamed<'a, K: Clone + Ord + 'a>(
    keys: impl Iterator<Item = &'a K>,
    named: impl Iterator<Item = &'a K>,
) -> impl Iterator<Item = K> {
    let named: collections::BTreeSet<_> = named.collect();
    keys.filter(move |key| !named.contains(key)).cloned()
}
