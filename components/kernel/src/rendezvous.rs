//! Which VMs decide that the leader of a group is lost.
//!
//! In a small fleet all of them. In a large one few have traffic to any one
//! leader, and a majority would have to poll it first, so a panel is drawn for
//! each group by rendezvous hashing: every VM that knows the same list draws
//! the same panel, and the groups' panels spread over the fleet. Safety does
//! not rest on it; the claim of the group's row does that.

use std::hash::{Hash, Hasher};

use config::Name;

/// VMs of a panel: a majority of it is as many as a small fleet needs.
pub const MAX_VOTERS: usize = 7;

/// The panel of a group, in the order in which its VMs claim.
pub fn select_voters(group: &Name, members: &[Name]) -> Vec<Name> {
    if members.len() <= MAX_VOTERS {
        return members.to_vec();
    }
    let mut ranked = rank(group, members);
    ranked.truncate(MAX_VOTERS);
    ranked
}

/// VMs by their rank for a name; the same on every VM of one release.
pub fn rank(name: &Name, vms: &[Name]) -> Vec<Name> {
    let mut ranked: Vec<_> = vms.iter().map(|vm| (weight(name, vm), vm)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, vm)| vm.clone()).collect()
}

fn weight(name: &Name, vm: &Name) -> u64 {
    let mut hasher = std::hash::DefaultHasher::new();
    name.hash(&mut hasher);
    vm.hash(&mut hasher);
    hasher.finish()
}
