//! Instances whose entries have lapsed.
//!
//! An entry lapses when its instance cannot reach the store, which does not mean
//! that the instance has failed. The instance stays in use for a grace period, so
//! that a leader that answers is not replaced because the store refused its
//! heartbeats. An instance that was leaving is dropped at once.

use std::{collections, time as std_time};

use config::Name;

use super::Registration;
use crate::time;

/// Time for a live instance to register again: the operators state that this takes
/// about two seconds once the store is back, and a heartbeat may just have failed.
const GRACE_PERIOD: std_time::Duration = std_time::Duration::from_secs(3);

/// Lapsed entries, with the time at which they lapsed.
#[derive(Debug, Default)]
pub(super) struct Lapsed {
    entries: collections::BTreeMap<Name, (Registration, time::Time)>,
}

impl Lapsed {
    /// Keeps an entry that is no longer in the store, unless its instance was
    /// leaving.
    pub(super) fn insert(&mut self, name: Name, entry: Registration, now: time::Time) {
        if !entry.leaving {
            self.entries.insert(name, (entry, now));
        }
    }

    /// Drops the entries that a new registration replaces: those of the same
    /// instance or the same address.
    pub(super) fn drop_replaced(&mut self, name: &Name, entry: &Registration) {
        self.entries
            .retain(|other, (lapsed, _)| other != name && lapsed.address != entry.address);
    }

    /// Drops an entry; true if there was one.
    pub(super) fn remove(&mut self, name: &Name) -> bool {
        self.entries.remove(name).is_some()
    }

    /// Drops entries whose grace period is over; true if there were any.
    pub(super) fn drop_expired(&mut self, now: time::Time) -> bool {
        let before = self.entries.len();
        self.entries
            .retain(|_, (_, at)| now.since(*at) < GRACE_PERIOD);
        self.entries.len() != before
    }

    /// Entries by instance.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&Name, &Registration)> {
        self.entries.iter().map(|(name, (entry, _))| (name, entry))
    }

    /// Entry of an instance.
    pub(super) fn get(&self, name: &str) -> Option<&Registration> {
        self.entries.get(name).map(|(entry, _)| entry)
    }
}
