//! Policies on how many budget units a VM requests from peers and grants to them.

use std::time;

use crate::plugin;

/// Shortest time between two rounds of requests for a budget.
const REQUEST_PERIOD: time::Duration = time::Duration::from_millis(20);
/// Number of rounds without a transfer after which this VM expects none.
pub const FAILED_ATTEMPTS_LIMIT: u32 = 10;
/// Time between two rounds of requests when this VM expects no transfer.
const SLOW_REQUEST_PERIOD: time::Duration = time::Duration::from_millis(100);
/// Longest time between two rounds of requests under `coarse`.
const MAX_REQUEST_PERIOD: time::Duration = time::Duration::from_millis(640);
/// Largest number of times that `coarse` doubles its request interval.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Rounds without a transfer after which `coarse` sends one round to peers of all
/// regions.
const REGION_ROUNDS: u32 = 2;

/// Smallest part of its equal share that a VM keeps when it grants units, in
/// sixteenths.
const MINIMUM_SIXTEENTHS: u64 = 1;
/// Units that a VM keeps or requests, in percent of its demand; the excess is
/// headroom.
const TARGET_PERCENT: u64 = 125;

/// State of one share, in units of the budget.
#[derive(Clone, Copy, Debug)]
pub struct ShareState {
    /// Units that this VM holds.
    pub held: u64,
    /// Equal share of the epoch, or the share that a VM would get as one more member.
    pub equal: u64,
    /// Units that cover the recent demand.
    pub demand: u64,
}

/// Decides how many units a VM requests and grants. A policy cannot create units.
pub trait SharePolicy: Send {
    /// Whether the policy moves any units.
    fn moves_units(&self) -> bool;
    /// Units to request from peers.
    fn units_to_request(&self, share: ShareState) -> u64;
    /// Units to grant to a peer that requests `requested`; at most `share.held`.
    fn units_to_grant(&self, share: ShareState, requested: u64) -> u64;
    /// Time between two rounds of requests, after `failed_attempts` rounds without a
    /// transfer.
    fn request_interval(&self, failed_attempts: u32) -> time::Duration {
        if failed_attempts < FAILED_ATTEMPTS_LIMIT {
            REQUEST_PERIOD
        } else {
            SLOW_REQUEST_PERIOD
        }
    }
    /// Whether the next round goes only to peers of the own region.
    fn is_region_only(&self, _failed_attempts: u32) -> bool {
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

/// Moves units towards demand before the VM runs out of them.
pub struct Borrow;

impl SharePolicy for Borrow {
    fn moves_units(&self) -> bool {
        true
    }

    fn units_to_request(&self, share: ShareState) -> u64 {
        let target = share.demand * TARGET_PERCENT / 100;
        target.max(minimum(share)).saturating_sub(share.held)
    }

    fn units_to_grant(&self, share: ShareState, requested: u64) -> u64 {
        let keep = (share.demand * TARGET_PERCENT / 100).max(minimum(share));
        share.held.saturating_sub(keep).min(requested)
    }
}

/// Units that a VM holds even without demand, so that its first request finds some; 0
/// where there are fewer units than VMs.
fn minimum(share: ShareState) -> u64 {
    if share.equal == 0 {
        return 0;
    }
    (share.equal * MINIMUM_SIXTEENTHS / 16).max(1)
}

/// Threshold below which `coarse` requests units, in percent of the demand.
const REQUEST_BELOW_PERCENT: u64 = 105;
/// Units that `coarse` holds after a transfer, in percent of the demand.
const REQUEST_TARGET_PERCENT: u64 = 135;
/// Units that `coarse` keeps when it grants some, in percent of the demand.
const COARSE_KEEP_PERCENT: u64 = 120;

/// Moves units towards demand in larger steps, for many small shares whose demand
/// fluctuates. A VM requests units later than under `Borrow`, requests more of them,
/// and keeps more than it needs.
pub struct Coarse;

impl SharePolicy for Coarse {
    fn request_interval(&self, failed_attempts: u32) -> time::Duration {
        let interval = REQUEST_PERIOD * (1 << (failed_attempts / 2).min(MAX_BACKOFF_DOUBLINGS));
        interval.min(MAX_REQUEST_PERIOD)
    }

    fn is_region_only(&self, failed_attempts: u32) -> bool {
        failed_attempts % (REGION_ROUNDS + 1) != REGION_ROUNDS
    }

    fn moves_units(&self) -> bool {
        true
    }

    fn units_to_request(&self, share: ShareState) -> u64 {
        if share.equal == 0 {
            return share.demand.saturating_sub(share.held);
        }
        if share.held >= (share.demand * REQUEST_BELOW_PERCENT / 100).max(minimum(share)) {
            return 0;
        }
        let target = (share.demand * REQUEST_TARGET_PERCENT).div_ceil(100);
        target.max(minimum(share)).saturating_sub(share.held)
    }

    fn units_to_grant(&self, share: ShareState, requested: u64) -> u64 {
        let percent = if share.equal == 0 {
            100
        } else {
            COARSE_KEEP_PERCENT
        };
        let keep = (share.demand * percent / 100).max(minimum(share));
        share.held.saturating_sub(keep).min(requested)
    }
}

/// Equal shares that never change; the baseline.
pub struct Static;

impl SharePolicy for Static {
    fn moves_units(&self) -> bool {
        false
    }

    fn units_to_request(&self, _share: ShareState) -> u64 {
        0
    }

    fn units_to_grant(&self, _share: ShareState, _requested: u64) -> u64 {
        0
    }
}
