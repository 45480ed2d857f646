//! Limits on the connections from this VM to an instance.
//!
//! A small fleet divides connections in the same way as rates. In a large fleet, or
//! where an instance has fewer connections than there are VMs, equal shares are too
//! small to be useful. Transfers would make each request wait for a search among
//! peers, and each change of the fleet would stop them.
//!
//! There the instance itself limits its connections. A VM opens a connection when a
//! request needs one, and keeps at most its equal share idle. When the instance
//! refuses a connection, the VM opens no connection to that instance for a while.
//!
//! Where the store arbitrates, one connection of each instance belongs to no share. The
//! VM that replaces the leader uses it for its control calls if requests use all
//! connections of its share.

use config::Name;

use super::{Budgets, MAX_SHARING_MEMBERS, Resource};

/// Number of equal shares that one VM may have open. At any moment few VMs have
/// requests for the same instance.
const MAX_OPEN_SHARES: u64 = 4;
/// Connections of an instance that are reserved for control calls.
const RESERVED_CONNECTIONS: u64 = 1;
/// Connections that a VM may always have open, so that an idle transaction does not
/// block other requests.
const MIN_OPEN_CONNECTIONS: u64 = 3;

/// Limits on the connections from this VM to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Open connections, including those in use.
    pub max_open: u32,
    /// Open connections that no request uses.
    pub max_idle: u32,
}

impl ConnectionLimits {
    fn new(max_open: u64, max_idle: u64) -> Self {
        Self {
            max_open: u32::try_from(max_open).unwrap_or(u32::MAX),
            max_idle: u32::try_from(max_idle).unwrap_or(u32::MAX),
        }
    }
}

/// Whether the instance limits its connections by itself. If VMs poll over dedicated
/// connections (`polls_reserved`), those have to be reserved, so the VMs share the
/// rest.
pub(super) fn are_limited_by_instance(
    resource: &Resource,
    total: u64,
    members: usize,
    polls_reserved: bool,
) -> bool {
    let is_small = u64::try_from(members).is_ok_and(|members| total < members);
    matches!(resource, Resource::Connections(_))
        && !polls_reserved
        && (members > MAX_SHARING_MEMBERS || is_small)
}

/// Connections of an instance that VMs share for requests. If there is no more than one
/// for each VM, none is reserved.
pub(super) fn shared(total: u64, members: u64) -> u64 {
    if total > members {
        total - RESERVED_CONNECTIONS
    } else {
        total
    }
}

impl Budgets {
    /// Limits on the connections from this VM to the instance.
    pub fn connection_limits(&self, instance: &Name) -> ConnectionLimits {
        let resource = Resource::Connections(instance.clone());
        let Some(share) = self.shares.get(&resource) else {
            return ConnectionLimits::default();
        };
        if !are_limited_by_instance(
            &resource,
            share.total,
            self.epoch.members.len(),
            self.polls_reserved,
        ) {
            return ConnectionLimits::new(share.units, share.units);
        }
        let members = u64::try_from(self.epoch.members.len()).unwrap_or(u64::MAX);
        let equal_units = share.total / members.max(1);
        let max_open = (equal_units * MAX_OPEN_SHARES)
            .max(MIN_OPEN_CONNECTIONS)
            .min(share.total);
        ConnectionLimits::new(max_open, equal_units)
    }
}
