//! Shares of resources that are limited across the whole fleet.
//!
//! A budget is a number of units: millionths of a customer's rate and burst, or
//! connections of an instance. Each epoch divides a budget over its members. Within
//! an epoch, units move only by transfers, and the sender debits units before it
//! sends them. A lost or duplicated message can therefore lose units but never create
//! any.
//!
//! A VM that learns of a new epoch reduces its share at once to its share in that
//! epoch. The VM raises its share only after all VMs that may hold shares of older
//! epochs have confirmed the new epoch or are gone.

use std::{collections, time as std_time};

use config::Name;
use serde::{Deserialize, Serialize};

use crate::{event, sharing, time};

mod connections;
mod holders;
mod open_requests;
mod share;

use open_requests::OpenRequests;

pub use connections::ConnectionLimits;
use share::Share;

/// Units of a customer's rate limit.
pub const RATE_UNITS: u64 = 1_000_000;
/// Seconds to which the tokens of a rate refer.
const RATE_PERIOD: u128 = 1_000;
/// Micro-tokens that a request costs.
const MICRO_TOKENS_PER_REQUEST: u64 = 1_000_000;
/// Divisor of the burst that yields the initial tokens of a new share, where users
/// tolerate requests beyond a limit. Half of that tolerance is part of the rate
/// limit; if the whole fleet starts twice within a window, the initial tokens stay
/// within the other half.
const INITIAL_TOKENS_DIVISOR: u64 = 5;
/// Time for which a VM keeps a connection that its requests no longer need.
const CONNECTION_RELEASE_PERIOD: std_time::Duration = std_time::Duration::from_secs(2);
/// Time for the receiver of a transfer to confirm the transfer.
const TRANSFER_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(1);
/// Time after which a VM repeats its requests to peers that had no units.
const RETRY_PERIOD: std_time::Duration = std_time::Duration::from_millis(500);
/// Largest number of members for which each budget is divided over all of them.
const MAX_SHARING_MEMBERS: usize = 16;
/// Number of peers that get a request in one round.
const REQUEST_FANOUT: usize = 3;

/// A resource that is limited across the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Resource {
    /// Rate and burst of a customer.
    Rate(Name),
    /// Connections of an instance.
    Connections(Name),
    /// Requests to an instance while it is cold.
    Warmup(Name),
}

/// Requests units or tokens from a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct TransferRequest {
    /// Requested resource.
    pub scarce: Resource,
    /// Epoch of the requesting VM.
    pub epoch: u64,
    /// Identifier that no daemon process reuses.
    pub nonce: u64,
    /// Requested units.
    pub units: u64,
    /// Whole tokens, requested from a VM that holds them for the fleet.
    pub tokens: u64,
}

/// Transfers units or tokens to a peer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Transfer {
    /// Transferred resource.
    pub scarce: Resource,
    /// Epoch of the request; units are valid only in this epoch.
    pub epoch: u64,
    /// Nonce of the request.
    pub nonce: u64,
    /// Transferred units.
    pub units: u64,
    /// Transferred micro-tokens.
    pub tokens: u64,
}

/// Rate limit of a customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateLimit {
    /// Tokens in 1,000 seconds.
    pub rate: u64,
    /// Largest number of tokens at a time.
    pub burst: u64,
}

/// All shares of this VM.
pub struct Budgets {
    own: event::MemberId,
    epoch: event::Epoch,
    is_active: bool,
    /// Adopted epochs that some of their members have not confirmed, oldest first,
    /// with the time of adoption.
    unconfirmed: collections::VecDeque<(event::Epoch, time::Time)>,
    is_member: bool,
    /// Customers whose requests need no tokens.
    unlimited: collections::BTreeSet<Name>,
    is_releasing: bool,
    shares: collections::BTreeMap<Resource, Share>,
    open_requests: OpenRequests,
    unconfirmed_transfers: collections::BTreeMap<u64, time::Time>,
    peer_index: usize,
    polls_reserved: bool,
    policy: Box<dyn sharing::SharePolicy>,
}

impl Budgets {
    /// Creates an empty set of shares. With `polls_reserved`, VMs poll instances over
    /// dedicated connections, which are subtracted from the shared ones.
    pub fn new(
        own: event::MemberId,
        policy: Box<dyn sharing::SharePolicy>,
        polls_reserved: bool,
    ) -> Self {
        Self {
            open_requests: OpenRequests::new(&own),
            own,
            epoch: event::Epoch::default(),
            is_active: false,
            unconfirmed: collections::VecDeque::new(),
            is_member: false,
            unlimited: collections::BTreeSet::new(),
            is_releasing: false,
            shares: collections::BTreeMap::new(),
            unconfirmed_transfers: collections::BTreeMap::new(),
            peer_index: 0,
            polls_reserved,
            policy,
        }
    }

    /// Epoch whose shares are in use.
    pub fn epoch(&self) -> &event::Epoch {
        &self.epoch
    }

    /// Whether the shares of the epoch are active.
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Whether this daemon process is a member of the epoch.
    pub fn is_member(&self) -> bool {
        self.is_member
    }

    /// Adopts a newer epoch and reduces all shares to those of that epoch; returns
    /// false if the epoch is not newer.
    pub fn adopt(&mut self, epoch: &event::Epoch, now: time::Time) -> bool {
        if epoch.number <= self.epoch.number {
            return false;
        }
        self.epoch = epoch.clone();
        self.unconfirmed.push_back((epoch.clone(), now));
        self.is_active = false;
        self.is_member = epoch.members.contains(&self.own) || self.replaces_member();
        self.open_requests.clear();
        self.unconfirmed_transfers.clear();
        for (resource, share) in &mut self.shares {
            share.refill(now);
            let former_units = (!share.holders.is_empty()).then_some(share.equal_units);
            share.holders = holders::select(resource, &self.epoch, self.polls_reserved);
            share.equal_units = equal_share(
                &self.epoch,
                &self.own,
                resource,
                share.total,
                self.polls_reserved,
                &share.holders,
            );
            let target = if self.is_member { share.equal_units } else { 0 };
            share.units = share.units.min(target);
            share.micro_tokens = share.micro_tokens.min(share.capacity());
            // A holder's share is the same in every epoch that names the VM as a
            // holder, so a later epoch does not delay the share that an earlier one
            // allows.
            let is_unchanged = former_units == Some(target) && !share.holders.is_empty();
            share.pending_epoch = match share.pending_epoch {
                _ if share.units == target => None,
                Some(pending_epoch) if is_unchanged => Some(pending_epoch),
                _ => Some(epoch.number),
            };
        }
        true
    }

    /// Whether the epoch names an earlier process on this VM in a fleet with token
    /// holders. That process has ended, so this process takes its place.
    fn replaces_member(&self) -> bool {
        let is_earlier = |member: &event::MemberId| {
            member.vm == self.own.vm && member.incarnation < self.own.incarnation
        };
        holders::are_used(self.epoch.members.len(), self.polls_reserved)
            && self.epoch.members.iter().any(is_earlier)
    }

    /// Drops the shares of an earlier process; the next epoch names the new process.
    pub fn reset(&mut self, own: event::MemberId, now: time::Time) {
        self.own = own;
        self.is_member = false;
        self.is_active = false;
        self.open_requests.clear();
        self.unconfirmed_transfers.clear();
        for share in self.shares.values_mut() {
            share.refill(now);
            share.units = 0;
            share.micro_tokens = 0;
            share.pending_epoch = None;
        }
    }

    /// Removes the shares whose resources `is_removed` accepts.
    pub fn remove_if(&mut self, is_removed: &dyn Fn(&Resource) -> bool) {
        self.shares.retain(|resource, _| !is_removed(resource));
    }

    /// Grants all units to peers that request them from now on, and sends no more
    /// requests.
    pub fn release(&mut self) {
        self.is_releasing = true;
    }

    /// Daemon processes that may hold shares of this epoch or an earlier one, and so
    /// must confirm this epoch.
    pub fn confirmers(&self) -> impl Iterator<Item = &event::MemberId> {
        self.epoch.members.iter().chain(&self.epoch.former)
    }

    /// Adopted epochs that some of their members have not confirmed, with the time of
    /// adoption.
    pub fn unconfirmed_epochs(&self) -> impl Iterator<Item = &(event::Epoch, time::Time)> {
        self.unconfirmed.iter()
    }

    /// Activates the shares that the epoch `number` allows, once no VM uses older
    /// shares.
    pub fn activate(&mut self, number: u64, now: time::Time) {
        self.unconfirmed.retain(|(epoch, _)| epoch.number > number);
        self.is_active |= number == self.epoch.number;
        if !self.is_member {
            return;
        }
        for (resource, share) in &mut self.shares {
            if share
                .pending_epoch
                .is_none_or(|pending_epoch| pending_epoch > number)
            {
                continue;
            }
            share.refill(now);
            share.units = share.equal_units;
            share.pending_epoch = None;
            let has_initial = !matches!(resource, Resource::Warmup(_));
            if share.is_new && has_initial && !self.polls_reserved {
                share.micro_tokens = share
                    .micro_tokens
                    .max(share.capacity() / INITIAL_TOKENS_DIVISOR);
            }
            share.is_new = false;
        }
    }

    /// Adds a budget, or changes the limit of an existing one.
    pub fn configure(&mut self, resource: Resource, total: u64, limit: RateLimit, now: time::Time) {
        let (epoch, own, polls_reserved) = (&self.epoch, &self.own, self.polls_reserved);
        let (is_held, pending_epoch) = (self.is_active && self.is_member, self.epoch.number);
        let share = self.shares.entry(resource.clone()).or_insert_with(|| {
            let holders = holders::select(&resource, epoch, polls_reserved);
            let equal_units = equal_share(epoch, own, &resource, total, polls_reserved, &holders);
            let units = if is_held { equal_units } else { 0 };
            let mut share = Share::new(total, equal_units, units, holders, limit, now);
            share.pending_epoch = (!is_held).then_some(pending_epoch);
            share
        });
        share.refill(now);
        share.limit = limit;
        if total < share.total {
            let equal_units =
                equal_share(epoch, own, &resource, total, polls_reserved, &share.holders);
            share.units = share.units * total / share.total.max(1);
            share.equal_units = share.equal_units.min(equal_units);
        }
        share.total = total;
        share.micro_tokens = share.micro_tokens.min(share.capacity());
    }

    /// Counts a request as demand, whether the request is admitted or not.
    pub fn count_request(&mut self, customer: &Name) {
        if let Some(share) = self.shares.get_mut(&Resource::Rate(customer.clone())) {
            share.request_count += 1;
        }
    }

    /// Raises the demand at once, for a request that finds no token.
    pub fn raise_demand(&mut self, customer: &Name) {
        if let Some(share) = self.shares.get_mut(&Resource::Rate(customer.clone())) {
            share.lacks_token = true;
            let step = (share.total / 16).max(1);
            // A share of fewer units has a burst of less than one token.
            let token = share.total.div_ceil(share.limit.burst.max(1));
            let wanted = (share.units + step).max(token);
            share.demand = share.demand.max(wanted).min(share.total);
        }
    }

    /// Sets the customers whose requests need no tokens.
    pub fn set_unlimited(&mut self, customers: impl Iterator<Item = Name>) {
        self.unlimited = customers.collect();
    }

    /// Whether this VM has a token of the customer, or the customer needs none.
    pub fn has_token(&self, customer: &Name, now: time::Time) -> bool {
        self.unlimited.contains(customer)
            || self.has_held_token(&Resource::Rate(customer.clone()), now)
    }

    /// Takes a token of the customer; returns false if there is none.
    pub fn take_token(&mut self, customer: &Name, now: time::Time) -> bool {
        self.unlimited.contains(customer)
            || self.take_held_token(&Resource::Rate(customer.clone()), now)
    }

    /// Time until the share yields `position` more tokens.
    pub fn token_wait(&self, customer: &Name, position: u64) -> Option<std_time::Duration> {
        let share = self.shares.get(&Resource::Rate(customer.clone()))?;
        if !share.holders.is_empty() {
            return share.holder_wait(position);
        }
        let unit_rate = u128::from(share.limit.rate) * u128::from(share.units);
        if unit_rate == 0 || share.capacity() < MICRO_TOKENS_PER_REQUEST {
            return None;
        }
        let missing = (position * MICRO_TOKENS_PER_REQUEST).saturating_sub(share.micro_tokens);
        let micros = u128::from(missing) * u128::from(RATE_UNITS) * RATE_PERIOD / unit_rate;
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        Some(std_time::Duration::from_micros(micros))
    }

    /// Whether peers may still send units or tokens of the customer.
    pub fn may_receive_tokens(&self, customer: &Name, now: time::Time) -> bool {
        let Some(share) = self.shares.get(&Resource::Rate(customer.clone())) else {
            return false;
        };
        if !share.holders.is_empty() {
            return !share.is_exhausted(now);
        }
        let may_retry = now.since(share.requested_at) > RETRY_PERIOD;
        self.policy.moves_units()
            && (!self.is_active
                || may_retry
                || share.failed_attempts < sharing::FAILED_ATTEMPTS_LIMIT)
    }

    /// Units of a resource that this VM holds.
    pub fn units(&self, resource: &Resource) -> u64 {
        self.shares.get(resource).map_or(0, |share| share.units)
    }

    /// Whether this VM can serve requests: its shares of the epoch are active, or it
    /// gets tokens from holders.
    pub fn is_usable(&self) -> bool {
        if holders::are_used(self.epoch.members.len(), self.polls_reserved) {
            return true;
        }
        let members = self.epoch.members.len();
        let is_held = |(resource, share): (&Resource, &Share)| match resource {
            Resource::Rate(_) => share.units > 0,
            Resource::Warmup(_) => true,
            Resource::Connections(_) => {
                share.units > 0
                    || share.equal_units == 0
                    || connections::are_limited_by_instance(
                        resource,
                        share.total,
                        members,
                        self.polls_reserved,
                    )
            }
        };
        self.is_active && self.shares.iter().all(is_held)
    }

    /// Updates the number of connections that requests need now. The demand rises at
    /// once but falls by one connection per period, since a connection that moves to
    /// another VM has to be opened anew.
    pub fn update_demand(&mut self, instance: &Name, connections: u64, now: time::Time) {
        let Some(share) = self
            .shares
            .get_mut(&Resource::Connections(instance.clone()))
        else {
            return;
        };
        if connections >= share.demand {
            share.demand = connections;
            share.measured_at = now;
        } else if now.since(share.measured_at) >= CONNECTION_RELEASE_PERIOD {
            share.demand -= 1;
            share.measured_at = now;
        }
    }

    /// Requests to send now, each with its peer. Peers take turns, and most requests
    /// go to peers of the own region. `waiting` returns how many requests of a
    /// customer wait for a token.
    pub fn next_requests(
        &mut self,
        peers: &[Name],
        region_peers: &[Name],
        waiting: &dyn Fn(&Name) -> u64,
        now: time::Time,
    ) -> Vec<(Name, TransferRequest)> {
        let mut out = Vec::new();
        if peers.is_empty() || self.is_releasing {
            return out;
        }
        self.request_tokens(peers, region_peers, waiting, now, &mut out);
        if !self.is_active {
            return out;
        }
        let members = self.epoch.members.len();
        for (resource, share) in &mut self.shares {
            if connections::are_limited_by_instance(
                resource,
                share.total,
                members,
                self.polls_reserved,
            ) || !share.holders.is_empty()
                || matches!(resource, Resource::Warmup(_))
            {
                continue;
            }
            if matches!(resource, Resource::Rate(_)) {
                share.refill(now);
                share.average_demand(now);
            }
            let units = self.policy.units_to_request(share.state(members));
            if units == 0 {
                share.failed_attempts = 0;
                continue;
            }
            if now.since(share.requested_at) < self.policy.request_interval(share.failed_attempts) {
                continue;
            }
            let ask_all_regions =
                region_peers.is_empty() || !self.policy.is_region_only(share.failed_attempts);
            let peers = if ask_all_regions { peers } else { region_peers };
            share.requested_at = now;
            share.failed_attempts += 1;
            for _ in 0..REQUEST_FANOUT.min(peers.len()) {
                self.peer_index = (self.peer_index + 1) % peers.len();
                let request = self
                    .open_requests
                    .open(resource, self.epoch.number, units, 0);
                out.push((peers[self.peer_index].clone(), request));
            }
        }
        out
    }

    /// Debits and returns the units that this VM can spare.
    pub fn grant(&mut self, request: &TransferRequest, now: time::Time) -> Option<Transfer> {
        if request.tokens > 0 {
            return self.grant_tokens(request, now);
        }
        let is_repeated = self.unconfirmed_transfers.contains_key(&request.nonce);
        if request.epoch != self.epoch.number || !self.is_active || is_repeated {
            return None;
        }
        let members = self.epoch.members.len();
        let share = self.shares.get_mut(&request.scarce)?;
        if connections::are_limited_by_instance(
            &request.scarce,
            share.total,
            members,
            self.polls_reserved,
        ) {
            return None;
        }
        share.refill(now);
        let units = if self.is_releasing {
            request.units
        } else {
            self.policy
                .units_to_grant(share.state(members), request.units)
        };
        let units = units.min(share.units);
        if units == 0 {
            return None;
        }
        let tokens = share.remove_units(units);
        self.unconfirmed_transfers.insert(request.nonce, now);
        Some(Transfer {
            scarce: request.scarce.clone(),
            epoch: request.epoch,
            nonce: request.nonce,
            units,
            tokens,
        })
    }

    /// Records that the receiver has credited the transfer.
    pub fn confirm_transfer(&mut self, nonce: u64) {
        self.unconfirmed_transfers.remove(&nonce);
    }

    /// Whether a transfer was not confirmed in time, so that its units may be lost.
    pub fn has_lost_transfer(&self, now: time::Time) -> bool {
        let is_late = |at: &time::Time| now.since(*at) > TRANSFER_TIMEOUT;
        self.unconfirmed_transfers.values().any(is_late)
    }

    /// Credits a transfer that answers an open request; returns false if nothing was
    /// credited.
    pub fn credit(&mut self, transfer: &Transfer, now: time::Time) -> bool {
        if !self.open_requests.is_open(transfer) {
            return false;
        }
        if transfer.units == 0 {
            return self.credit_tokens(transfer, now);
        }
        if transfer.epoch != self.epoch.number {
            return false;
        }
        self.open_requests.close(transfer);
        let Some(share) = self.shares.get_mut(&transfer.scarce) else {
            return false;
        };
        share.refill(now);
        share.units += transfer.units;
        share.failed_attempts = 0;
        share.micro_tokens = (share.micro_tokens + transfer.tokens).min(share.capacity());
        true
    }
}

/// Units of a member if all members get equal shares; the first members get the
/// remainder.
fn equal_share(
    epoch: &event::Epoch,
    own: &event::MemberId,
    resource: &Resource,
    total: u64,
    polls_reserved: bool,
    holders: &[Name],
) -> u64 {
    if !holders.is_empty() {
        return holders::share_of(holders, own, total);
    }
    let members = u64::try_from(epoch.members.len()).unwrap_or(u64::MAX);
    let Some(rank) = epoch.members.iter().position(|member| member == own) else {
        return 0;
    };
    let rank = u64::try_from(rank).unwrap_or(u64::MAX);
    let total = match resource {
        Resource::Rate(_) | Resource::Warmup(_) => total,
        // Each member needs a connection for its polls, and one more is reserved for
        // a VM that is not yet a member.
        Resource::Connections(_) if polls_reserved => total.saturating_sub(members + 1),
        Resource::Connections(_) => connections::shared(total, members),
    };
    total / members + u64::from(rank < total % members)
}
