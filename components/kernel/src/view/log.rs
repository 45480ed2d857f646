//! Changes of a view in the order in which they came, for VMs that follow it.

use std::collections;

use super::{Change, Part};

/// Changes kept, over all parts: a start of some hundred VMs.
const LIMIT: usize = 512;

/// The newest changes of a view, with their numbers.
#[derive(Debug, Default)]
pub(super) struct Log {
    newest: collections::BTreeMap<Part, u64>,
    /// Changes up to here are no longer known one by one.
    cut: collections::BTreeMap<Part, u64>,
    changes: collections::VecDeque<(Part, u64, Change)>,
}

impl Log {
    /// Adds a change.
    pub(super) fn push(&mut self, part: Part, change: Change) {
        let number = self.newest.entry(part).or_default();
        *number += 1;
        self.changes.push_back((part, *number, change));
        if self.changes.len() > LIMIT
            && let Some((part, number, _)) = self.changes.pop_front()
        {
            self.cut.insert(part, number);
        }
    }

    /// Something has changed that no change tells.
    pub(super) fn cut(&mut self, part: Part) {
        let number = self.newest.entry(part).or_default();
        *number += 1;
        self.cut.insert(part, *number);
    }

    /// Number of the newest change of a part.
    pub(super) fn newest(&self, part: Part) -> u64 {
        self.newest.get(&part).copied().unwrap_or(0)
    }

    /// Changes of a part after a number; none if they are not all known.
    pub(super) fn since(&self, part: Part, after: u64) -> Option<Vec<Change>> {
        let cut = self.cut.get(&part).copied().unwrap_or(0);
        if after == 0 || after < cut || after > self.newest(part) {
            return None;
        }
        let fresh = self.changes.iter();
        let fresh = fresh.filter(|(p, number, _)| *p == part && *number > after);
        Some(fresh.map(|(_, _, change)| change.clone()).collect())
    }
}
