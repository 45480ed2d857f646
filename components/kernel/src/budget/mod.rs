//! Shares of what is scarce over the whole fleet.
//!
//! A budget is a number of units: millionths of a customer's rate and burst, or
//! connections of an instance. Every epoch splits it over its members; within
//! an epoch units move only from giver to taker, and the giver debits first.
//! A lost or doubled message can lose units and never make any. A VM that
//! learns of a new epoch shrinks to its part at once, and grows only after all
//! holders of older shares have confirmed or are gone.

use std::{collections, time as std_time};

use config::Name;
use serde::{Deserialize, Serialize};

use crate::{event, sharing, time};

mod asks;
mod draw;
mod part;
mod room;

use asks::Asks;

use part::Part;
pub use room::ConnectionLimits;

/// Units of a customer's budget.
pub const RATE_UNITS: u64 = 1_000_000;
/// Micro-tokens that a request costs.
const TOKEN: u64 = 1_000_000;
/// Part of its burst with which a VM starts where the users tolerate requests
/// beyond a limit: two starts of the whole fleet within a window stay within
/// the half of the tolerance that is not given away.
const START_PARTS: u64 = 5;
/// Time for which a connection that is no longer needed is kept.
const RELEASE_PERIOD: std_time::Duration = std_time::Duration::from_secs(2);
/// Time for a taker to confirm what it was given.
const GIVE_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(1);
/// Time after which peers are worth asking again.
const BARREN_PERIOD: std_time::Duration = std_time::Duration::from_millis(500);
/// Members up to which every VM holds a part of each budget.
const SHARED_MEMBERS: usize = 16;
/// Peers asked in one round.
const ASK_FANOUT: usize = 3;

/// What is scarce.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// Rate and burst of a customer.
    Rate(Name),
    /// Connections of an instance.
    Connections(Name),
}

/// Asks for units.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TransferRequest {
    /// Budget.
    pub scarce: Resource,
    /// Epoch of the taker.
    pub epoch: u64,
    /// Identity, never reused by any run.
    pub nonce: u64,
    /// Units wanted.
    pub units: u64,
    /// Whole tokens wanted of a VM that holds them for the fleet.
    pub tokens: u64,
}

/// Gives units.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Transfer {
    /// Budget.
    pub scarce: Resource,
    /// Epoch of the giver.
    pub epoch: u64,
    /// Identity of the ask.
    pub nonce: u64,
    /// Units given.
    pub units: u64,
    /// Micro-tokens given with them.
    pub tokens: u64,
}

/// Limits of a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Tokens a second.
    pub rate: u64,
    /// Tokens at once.
    pub burst: u64,
}

/// All shares of this VM.
pub struct Budgets {
    own: event::MemberId,
    epoch: event::Epoch,
    grown: bool,
    /// Epochs adopted whose members have not all confirmed, the oldest first.
    unconfirmed: collections::VecDeque<(event::Epoch, time::Time)>,
    joined: bool,
    closing: bool,
    parts: collections::BTreeMap<Resource, Part>,
    asks: Asks,
    gives: collections::BTreeMap<u64, time::Time>,
    turn: usize,
    polled: bool,
    policy: Box<dyn sharing::SharePolicy>,
}

impl Budgets {
    /// No share of anything yet. If VMs poll instances over connections of
    /// their own, `polled`, these are set aside.
    pub fn new(own: event::MemberId, policy: Box<dyn sharing::SharePolicy>, polled: bool) -> Self {
        Self {
            asks: Asks::new(&own),
            own,
            epoch: event::Epoch::default(),
            grown: false,
            unconfirmed: collections::VecDeque::new(),
            joined: false,
            closing: false,
            parts: collections::BTreeMap::new(),
            gives: collections::BTreeMap::new(),
            turn: 0,
            polled,
            policy,
        }
    }

    /// Epoch whose shares are in use.
    pub fn epoch(&self) -> &event::Epoch {
        &self.epoch
    }

    /// Whether the shares of the epoch have been taken up.
    pub fn is_active(&self) -> bool {
        self.grown
    }

    /// Whether this run is a member of the epoch.
    pub fn is_member(&self) -> bool {
        self.joined
    }

    /// Shrinks to the part of a newer epoch; returns whether it was newer.
    pub fn adopt(&mut self, epoch: &event::Epoch, now: time::Time) -> bool {
        if epoch.number <= self.epoch.number {
            return false;
        }
        self.epoch = epoch.clone();
        self.unconfirmed.push_back((epoch.clone(), now));
        self.grown = false;
        self.joined = epoch.members.contains(&self.own) || self.follows_a_member();
        self.asks.clear();
        self.gives.clear();
        for (scarce, part) in &mut self.parts {
            part.fill(now);
            let former = (!part.holders.is_empty()).then_some(part.equal);
            part.holders = draw::holders(scarce, &self.epoch, self.polled);
            part.equal = equal_share(
                &self.epoch,
                &self.own,
                scarce,
                part.total,
                self.polled,
                &part.holders,
            );
            let target = if self.joined { part.equal } else { 0 };
            part.units = part.units.min(target);
            part.level = part.level.min(part.cap());
            // A holder's part is the same in every epoch that names it, so a later
            // one does not put off what an earlier one allows.
            let kept = former == Some(target) && !part.holders.is_empty();
            part.claim = match part.claim {
                _ if part.units == target => None,
                Some(claim) if kept => Some(claim),
                _ => Some(epoch.number),
            };
        }
        true
    }

    /// Whether an earlier run on this VM is a member of an epoch whose rates have
    /// holders: its process has ended, and this run takes its place.
    fn follows_a_member(&self) -> bool {
        let earlier = |member: &event::MemberId| {
            member.vm == self.own.vm && member.incarnation < self.own.incarnation
        };
        draw::is_drawn(self.epoch.members.len(), self.polled)
            && self.epoch.members.iter().any(earlier)
    }

    /// Forgets the shares of an earlier run; the next epoch names the new one.
    pub fn reset(&mut self, own: event::MemberId, now: time::Time) {
        self.own = own;
        self.joined = false;
        self.grown = false;
        self.asks.clear();
        self.gives.clear();
        for part in self.parts.values_mut() {
            part.fill(now);
            part.units = 0;
            part.level = 0;
            part.claim = None;
        }
    }

    /// Forgets the budgets that `gone` selects.
    pub fn remove_if(&mut self, gone: &dyn Fn(&Resource) -> bool) {
        self.parts.retain(|scarce, _| !gone(scarce));
    }

    /// Gives everything to those who ask from now on, and asks for nothing.
    pub fn release(&mut self) {
        self.closing = true;
    }

    /// Runs that may hold shares of this or an earlier epoch.
    pub fn confirmers(&self) -> impl Iterator<Item = &event::MemberId> {
        self.epoch.members.iter().chain(&self.epoch.former)
    }

    /// Epochs adopted whose members have not all confirmed, and when they were.
    pub fn unconfirmed_epochs(&self) -> impl Iterator<Item = &(event::Epoch, time::Time)> {
        self.unconfirmed.iter()
    }

    /// Takes up the parts that the epoch `number` allows, since nobody uses older
    /// ones any more.
    pub fn activate(&mut self, number: u64, now: time::Time) {
        self.unconfirmed.retain(|(epoch, _)| epoch.number > number);
        self.grown |= number == self.epoch.number;
        if !self.joined {
            return;
        }
        for part in self.parts.values_mut() {
            if part.claim.is_none_or(|claim| claim > number) {
                continue;
            }
            part.fill(now);
            part.units = part.equal;
            part.claim = None;
            if part.fresh && !self.polled {
                part.level = part.level.max(part.cap() / START_PARTS);
            }
            part.fresh = false;
        }
    }

    /// Makes known a budget, or its new limit.
    pub fn configure(&mut self, scarce: Resource, total: u64, limit: RateLimit, now: time::Time) {
        let (epoch, own, polled) = (&self.epoch, &self.own, self.polled);
        let (held, claim) = (self.grown && self.joined, self.epoch.number);
        let part = self.parts.entry(scarce.clone()).or_insert_with(|| {
            let holders = draw::holders(&scarce, epoch, polled);
            let equal = equal_share(epoch, own, &scarce, total, polled, &holders);
            let units = if held { equal } else { 0 };
            let mut part = Part::new(total, equal, units, holders, limit, now);
            part.claim = (!held).then_some(claim);
            part
        });
        part.fill(now);
        part.limit = limit;
        if total < part.total {
            let equal = equal_share(epoch, own, &scarce, total, polled, &part.holders);
            part.units = part.units * total / part.total.max(1);
            part.equal = part.equal.min(equal);
        }
        part.total = total;
        part.level = part.level.min(part.cap());
    }

    /// Counts a request as demand, whether it is admitted or not.
    pub fn count_request(&mut self, customer: &Name) {
        if let Some(part) = self.parts.get_mut(&Resource::Rate(customer.clone())) {
            part.count += 1;
        }
    }

    /// Raises the demand at once, for a request that finds no token.
    pub fn raise_demand(&mut self, customer: &Name) {
        if let Some(part) = self.parts.get_mut(&Resource::Rate(customer.clone())) {
            part.pressed = true;
            let step = (part.total / 16).max(1);
            // Below this part of the burst there is never a whole token.
            let token = part.total.div_ceil(part.limit.burst.max(1));
            let wanted = (part.units + step).max(token);
            part.demand = part.demand.max(wanted).min(part.total);
        }
    }

    /// Whether the customer has a token.
    pub fn has_token(&self, customer: &Name, now: time::Time) -> bool {
        let part = self.parts.get(&Resource::Rate(customer.clone()));
        part.is_some_and(|part| part.available(now) >= TOKEN)
    }

    /// Takes a token of the customer, if there is one.
    pub fn take_token(&mut self, customer: &Name, now: time::Time) -> bool {
        let Some(part) = self.parts.get_mut(&Resource::Rate(customer.clone())) else {
            return false;
        };
        part.fill(now);
        if part.drawn_at(now) >= TOKEN {
            part.drawn.0 -= TOKEN;
            return true;
        }
        if part.level < TOKEN {
            return false;
        }
        part.level -= TOKEN;
        true
    }

    /// Time until `position` more tokens have come in at the present share.
    pub fn token_wait(&self, customer: &Name, position: u64) -> Option<std_time::Duration> {
        let part = self.parts.get(&Resource::Rate(customer.clone()))?;
        if !part.holders.is_empty() {
            return part.drawn_wait(position);
        }
        let speed = part.limit.rate * part.units;
        if speed == 0 || part.cap() < TOKEN {
            return None;
        }
        let missing = (position * TOKEN).saturating_sub(part.level);
        let micros = u128::from(missing) * u128::from(RATE_UNITS) / u128::from(speed);
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        Some(std_time::Duration::from_micros(micros))
    }

    /// Whether peers may still give units for the customer.
    pub fn can_borrow(&self, customer: &Name, now: time::Time) -> bool {
        let Some(part) = self.parts.get(&Resource::Rate(customer.clone())) else {
            return false;
        };
        if !part.holders.is_empty() {
            return !part.is_spent(now);
        }
        let rested = now.since(part.asked) > BARREN_PERIOD;
        self.policy.moves() && (!self.grown || rested || part.barren < sharing::BARREN_ROUNDS)
    }

    /// Units of a budget held here.
    pub fn units(&self, scarce: &Resource) -> u64 {
        self.parts.get(scarce).map_or(0, |part| part.units)
    }

    /// Whether this VM can pay for requests: it holds its part of the epoch, or
    /// draws tokens from those that hold them.
    pub fn is_usable(&self) -> bool {
        if draw::is_drawn(self.epoch.members.len(), self.polled) {
            return true;
        }
        let members = self.epoch.members.len();
        let held = |(scarce, part): (&Resource, &Part)| match scarce {
            Resource::Rate(_) => part.units > 0,
            Resource::Connections(_) => {
                part.units > 0
                    || part.equal == 0
                    || room::is_open(scarce, part.total, members, self.polled)
            }
        };
        self.grown && self.parts.iter().all(held)
    }

    /// Tells how many connections are needed now. Demand follows at once
    /// upwards and slowly downwards, since moving a connection costs a new one.
    pub fn update_demand(&mut self, instance: &Name, connections: u64, now: time::Time) {
        let Some(part) = self.parts.get_mut(&Resource::Connections(instance.clone())) else {
            return;
        };
        if connections >= part.demand {
            part.demand = connections;
            part.measured = now;
        } else if now.since(part.measured) >= RELEASE_PERIOD {
            part.demand -= 1;
            part.measured = now;
        }
    }

    /// Asks to send now, each to one of the peers in turn; mostly to those that
    /// are near. `waiting` tells how many requests of a customer wait for a token.
    pub fn next_requests(
        &mut self,
        peers: &[Name],
        near: &[Name],
        waiting: &dyn Fn(&Name) -> u64,
        now: time::Time,
    ) -> Vec<(Name, TransferRequest)> {
        let mut out = Vec::new();
        if peers.is_empty() || self.closing {
            return out;
        }
        self.draws(peers, near, waiting, now, &mut out);
        if !self.grown {
            return out;
        }
        let members = self.epoch.members.len();
        for (scarce, part) in &mut self.parts {
            if room::is_open(scarce, part.total, members, self.polled) || !part.holders.is_empty() {
                continue;
            }
            if matches!(scarce, Resource::Rate(_)) {
                part.fill(now);
                part.measure(now);
            }
            let units = self.policy.want(part.share(members));
            if units == 0 {
                part.barren = 0;
                continue;
            }
            if now.since(part.asked) < self.policy.pause(part.barren) {
                continue;
            }
            let far = near.is_empty() || !self.policy.is_near(part.barren);
            let peers = if far { peers } else { near };
            part.asked = now;
            part.barren += 1;
            for _ in 0..ASK_FANOUT.min(peers.len()) {
                self.turn = (self.turn + 1) % peers.len();
                let ask = self.asks.open(scarce, self.epoch.number, units, 0);
                out.push((peers[self.turn].clone(), ask));
            }
        }
        out
    }

    /// Debits and gives what can be spared.
    pub fn grant(&mut self, ask: &TransferRequest, now: time::Time) -> Option<Transfer> {
        if ask.tokens > 0 {
            return self.give_tokens(ask, now);
        }
        let repeated = self.gives.contains_key(&ask.nonce);
        if ask.epoch != self.epoch.number || !self.grown || repeated {
            return None;
        }
        let members = self.epoch.members.len();
        let part = self.parts.get_mut(&ask.scarce)?;
        if room::is_open(&ask.scarce, part.total, members, self.polled) {
            return None;
        }
        part.fill(now);
        let units = if self.closing {
            ask.units
        } else {
            self.policy.spare(part.share(members), ask.units)
        };
        let units = units.min(part.units);
        if units == 0 {
            return None;
        }
        let tokens = part.remove(units);
        self.gives.insert(ask.nonce, now);
        Some(Transfer {
            scarce: ask.scarce.clone(),
            epoch: ask.epoch,
            nonce: ask.nonce,
            units,
            tokens,
        })
    }

    /// The taker has credited a share.
    pub fn confirm_transfer(&mut self, nonce: u64) {
        self.gives.remove(&nonce);
    }

    /// Whether a share given was not confirmed in time, and may be lost.
    pub fn has_lost_transfer(&self, now: time::Time) -> bool {
        let late = |at: &time::Time| now.since(*at) > GIVE_TIMEOUT;
        self.gives.values().any(late)
    }

    /// Credits units given for an ask that has not been answered before.
    pub fn credit(&mut self, give: &Transfer, now: time::Time) -> bool {
        if !self.asks.is_open(give) {
            return false;
        }
        if give.units == 0 {
            return self.credit_tokens(give, now);
        }
        if give.epoch != self.epoch.number {
            return false;
        }
        self.asks.close(give);
        let Some(part) = self.parts.get_mut(&give.scarce) else {
            return false;
        };
        part.fill(now);
        part.units += give.units;
        part.barren = 0;
        part.level = (part.level + give.tokens).min(part.cap());
        true
    }
}

/// Part of a member in the equal split; the first members take the remainder.
fn equal_share(
    epoch: &event::Epoch,
    own: &event::MemberId,
    scarce: &Resource,
    total: u64,
    polled: bool,
    holders: &[Name],
) -> u64 {
    if !holders.is_empty() {
        return draw::part(holders, own, total);
    }
    let members = u64::try_from(epoch.members.len()).unwrap_or(u64::MAX);
    let Some(rank) = epoch.members.iter().position(|member| member == own) else {
        return 0;
    };
    let rank = u64::try_from(rank).unwrap_or(u64::MAX);
    let total = match scarce {
        Resource::Rate(_) => total,
        // Every member polls over a connection of its own, and so does a VM
        // that is not yet a member.
        Resource::Connections(_) if polled => total.saturating_sub(members + 1),
        Resource::Connections(_) => total,
    };
    total / members + u64::from(rank < total % members)
}
