//! Selects VMs by rendezvous hashing, among them the voters that decide whether
//! the leader of a group is lost.
//!
//! In a small fleet all VMs vote. In a large fleet only a few VMs have traffic
//! to any one leader, and a majority of all VMs would have to poll the leader
//! before it can suspect it. A few voters are therefore selected for each
//! group. All VMs that know the same list of members select the same voters,
//! and the voters of the groups are spread over the fleet. Safety does not
//! depend on the selection; the claim on the group's row ensures it.

use std::hash::{Hash, Hasher};

use config::Name;

/// Maximum number of voters of a group. A majority of them is as many VMs as a
/// small fleet needs.
pub const MAX_VOTERS: usize = 7;

/// Voters of a group, in the order in which they claim the row.
pub fn select_voters(group: &Name, members: &[Name]) -> Vec<Name> {
    if members.len() <= MAX_VOTERS {
        return members.to_vec();
    }
    let mut ranked = rank(group, members);
    ranked.truncate(MAX_VOTERS);
    ranked
}

/// VMs in descending order of their hash for a name; the same order on every VM
/// that runs the same release.
pub fn rank(name: &Name, vms: &[Name]) -> Vec<Name> {
    let mut ranked: Vec<_> = vms.iter().map(|vm| (hash_weight(name, vm), vm)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
}

fn hash_weight(name: &Name, vm: &Name) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    name.hash(&mut hasher);
    vm.hash(&mut hasher);
    hasher.finish()
}
