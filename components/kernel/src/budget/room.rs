//! Connections that a VM may open to an instance.
//!
//! In a small fleet they are shared out like rates. In a large one, or where there
//! are fewer of them than VMs, a part each is too small to be of use, and moving
//! parts costs every request a search among peers and every change of the fleet a
//! stop. There the instance itself is the judge: a VM opens a connection when a
//! request needs it, keeps no more idle ones than its equal part, and leaves the
//! instance alone for a while when that turns a connection away.

use config::Name;

use super::{Budgets, Resource, SHARED_MEMBERS};

/// Equal parts that one VM may have open: at any moment few VMs have requests
/// for the same instance.
const OPEN_PARTS: u64 = 4;
/// Connections that a VM may have open in any case, so that a transaction that
/// rests does not stop the requests of others.
const OPEN_FLOOR: u64 = 3;

/// Connections that a VM may hold to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections, with those in use.
    pub max_open: u32,
    /// Connections kept while no request uses them.
    pub max_idle: u32,
}

impl ConnectionLimits {
    fn of(max_open: u64, max_idle: u64) -> Self {
        Self {
            max_open: u32::try_from(max_open).unwrap_or(u32::MAX),
            max_idle: u32::try_from(max_idle).unwrap_or(u32::MAX),
        }
    }
}

/// Whether an instance judges by itself who may connect. VMs that poll over
/// connections of their own, `polled`, need theirs set aside.
pub(super) fn is_open(scarce: &Resource, total: u64, members: usize, polled: bool) -> bool {
    let few = u64::try_from(members).is_ok_and(|members| total < members);
    matches!(scarce, Resource::Connections(_)) && !polled && (members > SHARED_MEMBERS || few)
}

impl Budgets {
    /// Connections to the instance that this VM may hold.
    pub fn connection_limits(&self, instance: &Name) -> ConnectionLimits {
        let scarce = Resource::Connections(instance.clone());
        let Some(part) = self.parts.get(&scarce) else {
            return ConnectionLimits::default();
        };
        if !is_open(&scarce, part.total, self.epoch.members.len(), self.polled) {
            return ConnectionLimits::of(part.units, part.units);
        }
        let members = u64::try_from(self.epoch.members.len()).unwrap_or(u64::MAX);
        let equal = part.total / members.max(1);
        let max_open = (equal * OPEN_PARTS).max(OPEN_FLOOR).min(part.total);
        ConnectionLimits::of(max_open, equal)
    }
}
