//! Token holders, which keep the rate limits of a large fleet.
//!
//! Divided over many VMs, a customer's rate leaves each VM less than one token, and
//! the transfers of shares would follow single requests. Above `MAX_SHARING_MEMBERS`
//! members, a few VMs hold all units of a rate. Rendezvous hashing over the members
//! of the epoch selects these holders. Another VM requests whole tokens for its
//! waiting requests, from the holders in its region first, and from the next holder
//! when one has no token.
//!
//! The tokens of a cold instance have holders in fleets of any size, since its rate is
//! small. Holders get no initial tokens of it, and a token is void if it comes late: the
//! limit on a cold instance leaves no room for tokens that were delayed.
//!
//! A holder debits tokens before it sends them. A lost or duplicated message can
//! therefore lose tokens but never create any, whichever epoch the receiver knows.

use std::time as std_time;

use config::Name;

use super::{
    Budgets, MAX_SHARING_MEMBERS, MICRO_TOKENS_PER_REQUEST, RATE_PERIOD, Resource, Share, Transfer,
    TransferRequest,
};
use crate::{event, rendezvous, time};

/// Holders of a rate. With four holders in two regions, each region has two on
/// average, and the loss of one holder leaves most of the rate.
const HOLDERS_PER_RATE: usize = 4;
/// Holders of the tokens of a cold instance. More of them would hold less than one token
/// each.
const HOLDERS_PER_WARMUP: usize = 2;
/// Time that a holder, which may be in another region, has to answer before the VM
/// requests tokens from the next holder.
const HOLDER_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(60);
/// Time after which a VM repeats its requests to holders that had no token.
const EMPTY_HOLDERS_PERIOD: std_time::Duration = std_time::Duration::from_millis(80);

/// Whether a few holders keep the tokens of each rate.
pub(super) fn are_used(members: usize, polls_reserved: bool) -> bool {
    !polls_reserved && members > MAX_SHARING_MEMBERS
}

/// Selects the VMs that hold a resource for the whole fleet; empty if all members
/// share the resource.
pub(super) fn select(resource: &Resource, epoch: &event::Epoch, polls_reserved: bool) -> Vec<Name> {
    let (name, count) = match resource {
        Resource::Rate(customer) if are_used(epoch.members.len(), polls_reserved) => {
            (customer, HOLDERS_PER_RATE)
        }
        Resource::Warmup(instance) => (instance, HOLDERS_PER_WARMUP),
        Resource::Rate(_) | Resource::Connections(_) => return Vec::new(),
    };
    let members: Vec<_> = epoch.members.iter().map(|m| m.vm.clone()).collect();
    let mut ranked = rendezvous::rank(name, &members);
    ranked.truncate(count);
    ranked
}

/// Units of the VM as one of the holders; the first holders get the remainder.
pub(super) fn share_of(holders: &[Name], own: &event::MemberId, total: u64) -> u64 {
    let count = u64::try_from(holders.len()).unwrap_or(u64::MAX);
    let rank = holders.iter().position(|holder| *holder == own.vm);
    let rank = rank.and_then(|rank| u64::try_from(rank).ok());
    rank.map_or(0, |rank| total / count + u64::from(rank < total % count))
}

impl Share {
    /// Whether all holders have recently answered that they have no token.
    pub(super) fn is_exhausted(&self, now: time::Time) -> bool {
        self.empty_rounds() > 0 && now.since(self.requested_at) <= EMPTY_HOLDERS_PERIOD
    }

    /// Number of times that this VM has requested tokens from every holder without
    /// getting any.
    fn empty_rounds(&self) -> usize {
        let failed_attempts = usize::try_from(self.failed_attempts).unwrap_or(usize::MAX);
        failed_attempts / self.holders.len().max(1)
    }

    /// Time in which the customer's whole rate yields this number of tokens.
    pub(super) fn holder_wait(&self, tokens: u64) -> Option<std_time::Duration> {
        let missing = u128::from(tokens) * u128::from(MICRO_TOKENS_PER_REQUEST) * RATE_PERIOD;
        let micros = missing.checked_div(u128::from(self.limit.rate))?;
        let micros = u64::try_from(micros).unwrap_or(u64::MAX);
        Some(std_time::Duration::from_micros(micros))
    }

    fn missing_tokens(&self, waiting: u64, now: time::Time) -> u64 {
        let waiting = waiting.max(u64::from(self.lacks_token));
        waiting.saturating_sub(self.available(now) / MICRO_TOKENS_PER_REQUEST)
    }

    fn is_due(&self, now: time::Time) -> bool {
        let waited = now.since(self.requested_at);
        if self.empty_rounds() > 0 {
            return waited > EMPTY_HOLDERS_PERIOD;
        }
        self.has_answer || waited >= HOLDER_TIMEOUT
    }
}

impl Budgets {
    /// Adds requests for tokens to the holders.
    pub(super) fn request_tokens(
        &mut self,
        peers: &[Name],
        region_peers: &[Name],
        waiting: &dyn Fn(&Name) -> u64,
        now: time::Time,
        out: &mut Vec<(Name, TransferRequest)>,
    ) {
        let own = &self.own.vm;
        for (resource, share) in &mut self.shares {
            let waiting = match resource {
                Resource::Rate(customer) => waiting(customer),
                Resource::Warmup(_) => 0,
                Resource::Connections(_) => continue,
            };
            if share.holders.is_empty() || !share.is_due(now) {
                continue;
            }
            let missing = share.missing_tokens(waiting, now);
            if missing == 0 {
                continue;
            }
            let reachable = share.holders.iter();
            let reachable = reachable.filter(|vm| *vm != own && peers.contains(vm));
            let mut candidates: Vec<_> = reachable.collect();
            candidates.sort_by_key(|vm| !region_peers.contains(vm));
            let attempt = usize::try_from(share.failed_attempts).unwrap_or(0);
            let Some(holder) = candidates.get(attempt % candidates.len().max(1)) else {
                continue;
            };
            let request = self
                .open_requests
                .open(resource, self.epoch.number, 0, missing);
            share.last_request = request.nonce;
            out.push(((*holder).clone(), request));
            share.requested_at = now;
            share.lacks_token = false;
            share.has_answer = false;
            share.failed_attempts += 1;
        }
    }

    /// Debits and returns tokens; a transfer without tokens tells the peer that there
    /// are none.
    pub(super) fn grant_tokens(
        &mut self,
        request: &TransferRequest,
        now: time::Time,
    ) -> Option<Transfer> {
        let share = self.shares.get_mut(&request.scarce)?;
        share.refill(now);
        let whole_tokens = (share.micro_tokens / MICRO_TOKENS_PER_REQUEST).min(request.tokens);
        share.micro_tokens -= whole_tokens * MICRO_TOKENS_PER_REQUEST;
        Some(Transfer {
            scarce: request.scarce.clone(),
            epoch: request.epoch,
            nonce: request.nonce,
            units: 0,
            tokens: whole_tokens * MICRO_TOKENS_PER_REQUEST,
        })
    }

    /// Credits tokens from a holder; returns false if this VM has no share of the
    /// resource.
    pub(super) fn credit_tokens(&mut self, transfer: &Transfer, now: time::Time) -> bool {
        self.open_requests.close(transfer);
        let Some(share) = self.shares.get_mut(&transfer.scarce) else {
            return false;
        };
        if let Resource::Warmup(_) = transfer.scarce {
            // The answer to an earlier request may hold tokens of any age.
            if share.last_request != transfer.nonce {
                return true;
            }
            share.has_answer = true;
            if transfer.tokens > 0 {
                share.fetched = (transfer.tokens, share.requested_at);
                share.failed_attempts = 0;
            }
            return true;
        }
        share.has_answer = true;
        if transfer.tokens > 0 {
            share.fetched = (share.fetched_balance(now) + transfer.tokens, now);
            share.failed_attempts = 0;
        }
        true
    }

    /// Whether this VM has a token of the resource.
    pub fn has_held_token(&self, resource: &Resource, now: time::Time) -> bool {
        let share = self.shares.get(resource);
        share.is_some_and(|share| share.available(now) >= MICRO_TOKENS_PER_REQUEST)
    }

    /// Takes a token of the resource; returns false if there is none.
    pub fn take_held_token(&mut self, resource: &Resource, now: time::Time) -> bool {
        let Some(share) = self.shares.get_mut(resource) else {
            return false;
        };
        share.refill(now);
        if share.fetched_balance(now) >= MICRO_TOKENS_PER_REQUEST {
            share.fetched.0 -= MICRO_TOKENS_PER_REQUEST;
            return true;
        }
        if share.micro_tokens < MICRO_TOKENS_PER_REQUEST {
            return false;
        }
        share.micro_tokens -= MICRO_TOKENS_PER_REQUEST;
        true
    }

    /// Requests a token of the resource from its holders in the next round.
    pub fn request_held_token(&mut self, resource: &Resource) {
        if let Some(share) = self.shares.get_mut(resource) {
            share.lacks_token = true;
        }
    }

    /// Time in which the whole fleet gets this number of tokens of the resource; none if
    /// it gets none.
    pub fn held_token_wait(&self, resource: &Resource, tokens: u64) -> Option<std_time::Duration> {
        self.shares.get(resource)?.holder_wait(tokens)
    }
}
