//! Failure domains that the operators have evacuated.
//!
//! A store that comes back from an older copy may lack an evacuation, or have one that
//! was taken back. What this VM knows stays in force until the store states something
//! newer: an entry of another version, or the removal of an entry.

use std::collections;

use config::Name;

use super::Change;

/// Known evacuations, and how the store differs from them.
#[derive(Debug, Default)]
pub(super) struct Evacuated {
    /// Evacuated failure domains with the versions of their entries.
    known: collections::BTreeMap<Name, u64>,
    /// Evacuations that the store lacks because it came back from an older copy.
    lost: collections::BTreeSet<Name>,
    /// Failure domains that were taken back, with the versions of their last entries.
    past: collections::BTreeMap<Name, u64>,
}

impl Evacuated {
    /// Evacuated failure domains.
    pub(super) fn domains(&self) -> impl Iterator<Item = &Name> {
        self.known.keys()
    }

    /// All evacuations as changes.
    pub(super) fn entries(&self) -> impl Iterator<Item = Change> {
        let known = self.known.iter();
        known.map(|(domain, version)| Change::Evacuation(domain.clone(), Some(*version)))
    }

    /// Removals of the evacuations that a read of all entries does not name.
    pub(super) fn removals(&self, changes: &[Change]) -> Vec<Change> {
        let named = changes.iter().filter_map(|change| match change {
            Change::Evacuation(domain, _) => Some(domain),
            _ => None,
        });
        let gone = super::absent_keys(self.known.keys(), named);
        gone.map(|domain| Change::Evacuation(domain, None))
            .collect()
    }

    /// Changes without the differences that result from an older copy. `is_whole` tells
    /// whether the changes are those of a read of all entries, and `is_copy` whether that
    /// read is the first one since the store came back.
    pub(super) fn filter(
        &mut self,
        mut changes: Vec<Change>,
        is_whole: bool,
        is_copy: bool,
    ) -> Vec<Change> {
        changes.retain(|change| match change {
            Change::Evacuation(domain, Some(version)) => {
                self.lost.remove(domain);
                !is_whole || self.past.get(domain) != Some(version)
            }
            Change::Evacuation(domain, None) => {
                let is_lost = is_whole && (is_copy || self.lost.contains(domain));
                if is_lost {
                    self.lost.insert(domain.clone());
                } else {
                    self.lost.remove(domain);
                }
                !is_lost
            }
            _ => true,
        });
        changes
    }

    /// Applies a change; true if it changed anything.
    pub(super) fn apply(&mut self, domain: Name, version: Option<u64>) -> bool {
        let Some(version) = version else {
            let ended = self.known.remove(&domain);
            self.past.extend(ended.map(|version| (domain, version)));
            return ended.is_some();
        };
        self.known.insert(domain, version) != Some(version)
    }
}
