//! Changes of a view in the order in which they were applied, for the VMs that
//! follow this VM.

use std::collections;

use super::{Change, Part};

/// Changes kept, over all parts: enough for the start of some hundred VMs, with an
/// epoch and the leaders of their groups.
const CHANGES_LIMIT: usize = 1024;

/// The newest changes of a view, with the versions of the store at which they were
/// read.
#[derive(Debug, Default)]
pub(super) struct Log {
    /// Version per part up to which single changes are not known.
    truncated: collections::BTreeMap<Part, u64>,
    changes: collections::VecDeque<(Part, u64, Change)>,
}

impl Log {
    /// Adds a change that a read at the version returned.
    pub(super) fn push(&mut self, part: Part, version: u64, change: Change) {
        self.changes.push_back((part, version, change));
        if self.changes.len() > CHANGES_LIMIT
            && let Some((part, version, _)) = self.changes.pop_front()
        {
            self.mark_truncated(part, version);
        }
    }

    /// Records that the single changes up to the version are not known.
    pub(super) fn mark_truncated(&mut self, part: Part, version: u64) {
        let truncated = self.truncated.entry(part).or_default();
        *truncated = (*truncated).max(version);
    }

    /// Changes of a part after a version; none if some of them are not known.
    pub(super) fn since(&self, part: Part, after: u64) -> Option<Vec<Change>> {
        let truncated = self.truncated.get(&part).copied()?;
        if after < truncated {
            return None;
        }
        let newer = self.changes.iter();
        let newer = newer.filter(|(p, version, _)| *p == part && *version > after);
        Some(newer.map(|(_, _, change)| change.clone()).collect())
    }
}
