//! How much of a share a VM asks for and gives away.

use std::time;

use crate::plugin;

/// Shortest time between two rounds of asks for a budget.
const ASK_PERIOD: time::Duration = time::Duration::from_millis(20);
/// Rounds of asks without an answer after which none is expected.
pub const BARREN_ROUNDS: u32 = 10;
/// Time between two rounds while none is expected.
const BARREN_ASK_PERIOD: time::Duration = time::Duration::from_millis(100);
/// Longest time between two rounds that `coarse` makes.
const ASK_PERIOD_LIMIT: time::Duration = time::Duration::from_millis(640);
/// Times that `coarse` doubles its pause.
const ASK_DOUBLINGS: u32 = 5;
/// Rounds without an answer after which `coarse` asks peers of other regions.
const NEAR_ROUNDS: u32 = 2;

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
    /// Time between two rounds of asks after `barren` rounds without an answer.
    fn pause(&self, barren: u32) -> time::Duration {
        if barren < BARREN_ROUNDS {
            ASK_PERIOD
        } else {
            BARREN_ASK_PERIOD
        }
    }
    /// Whether the next round goes to peers of the own region only.
    fn is_near(&self, _barren: u32) -> bool {
        false
    }
}

inventory::submit! {
    plugin::Sharing { name: "borrow", build: || Box::new(Borrow) }
}

inventory::submit! {
    plugin::Sharing { name: "coarse", build: || Box::new(Coarse) }
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

/// Units held without any demand, so that a first request finds some; none
/// where there are fewer than VMs.
fn floor(share: Share) -> u64 {
    if share.equal == 0 {
        return 0;
    }
    (share.equal * KEEP_PARTS / 16).max(1)
}

/// Part of the demand below which `coarse` asks, in percent.
const ASK_PERCENT: u64 = 105;
/// Part of the demand up to which it asks, in percent.
const FILL_PERCENT: u64 = 135;
/// Part of the demand that it keeps, in percent.
const KEEP_PERCENT: u64 = 120;

/// Shares move towards demand in larger steps, for many small shares whose
/// demand swings: a VM asks late, for more, and keeps more than it needs.
pub struct Coarse;

impl SharePolicy for Coarse {
    fn pause(&self, barren: u32) -> time::Duration {
        let pause = ASK_PERIOD * (1 << (barren / 2).min(ASK_DOUBLINGS));
        pause.min(ASK_PERIOD_LIMIT)
    }

    fn is_near(&self, barren: u32) -> bool {
        barren % (NEAR_ROUNDS + 1) != NEAR_ROUNDS
    }

    fn moves(&self) -> bool {
        true
    }

    fn want(&self, share: Share) -> u64 {
        if share.equal == 0 {
            return share.demand.saturating_sub(share.held);
        }
        if share.held >= (share.demand * ASK_PERCENT / 100).max(floor(share)) {
            return 0;
        }
        let target = (share.demand * FILL_PERCENT).div_ceil(100);
        target.max(floor(share)).saturating_sub(share.held)
    }

    fn spare(&self, share: Share, wanted: u64) -> u64 {
        let percent = if share.equal == 0 { 100 } else { KEEP_PERCENT };
        let keep = (share.demand * percent / 100).max(floor(share));
        share.held.saturating_sub(keep).min(wanted)
    }
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
