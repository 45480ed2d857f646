//! How much of a share a VM asks for and gives away.

use crate::plugin;

/// Smallest part of its equal share that a VM keeps when it gives, in 1/16.
const KEEP_PARTS: u64 = 1;
/// Head room over its own demand that a VM keeps, in percent.
const HEADROOM_PERCENT: u64 = 125;

/// State of one share, all in the budget's units.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// Units held.
    pub held: u64,
    /// Equal share of the epoch, or what it would be for a VM outside of it.
    pub equal: u64,
    /// Units that would carry the demand of late.
    pub demand: u64,
}

/// Decides on transfers; it cannot make units.
pub trait SharePolicy: Send {
    /// Whether shares move at all.
    fn moves(&self) -> bool;
    /// Units to ask for.
    fn want(&self, share: Share) -> u64;
    /// Units to give to a peer that wants `wanted`; at most what is held.
    fn spare(&self, share: Share, wanted: u64) -> u64;
}

inventory::submit! {
    plugin::Sharing { name: "borrow", build: || Box::new(Borrow) }
}

inventory::submit! {
    plugin::Sharing { name: "static", build: || Box::new(Static) }
}

/// Shares move towards demand, ahead of need.
pub struct Borrow;

impl SharePolicy for Borrow {
    fn moves(&self) -> bool {
        true
    }

    fn want(&self, share: Share) -> u64 {
        let target = share.demand * HEADROOM_PERCENT / 100;
        target.max(floor(share)).saturating_sub(share.held)
    }

    fn spare(&self, share: Share, wanted: u64) -> u64 {
        let keep = (share.demand * HEADROOM_PERCENT / 100).max(floor(share));
        share.held.saturating_sub(keep).min(wanted)
    }
}

/// Units held without any demand, so that a first request finds some.
fn floor(share: Share) -> u64 {
    (share.equal * KEEP_PARTS / 16).max(1)
}

/// Equal shares that never move; the baseline.
pub struct Static;

impl SharePolicy for Static {
    fn moves(&self) -> bool {
        false
    }

    fn want(&self, _share: Share) -> u64 {
        0
    }

    fn spare(&self, _share: Share, _wanted: u64) -> u64 {
        0
    }
}
