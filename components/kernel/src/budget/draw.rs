//! Tokens of a large fleet, held by a few VMs.
//!
//! Split over many VMs, a rate is less than one token on each, and shares that
//! move towards demand chase single requests. Beyond `SHARED_MEMBERS` the units
//! of a rate stay with a few holders, drawn by rendezvous hashing over the
//! members of the epoch, and a VM draws whole tokens for the requests that wait
//! on it: of the nearest holder first, and of the next as soon as one has none.
//! A holder debits before it gives, so a lost or doubled message can lose
//! tokens and never make any, whatever epoch the taker knows.

use std::time as std_time;

use config::Name;

use super::{Budgets, Part, Resource, SHARED_MEMBERS, TOKEN, Transfer, TransferRequest};
use crate::{event, rendezvous, time};

/// Holders of a rate: with two of them in each of two regions, on average, the
/// loss of one leaves most of the rate.
const HOLDERS: usize = 4;
/// Time for a holder of another region to answer, before the next is asked.
const DRAW_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(60);
/// Time after which holders that had no token are worth asking again.
const SPENT_PERIOD: std_time::Duration = std_time::Duration::from_millis(80);

/// Whether VMs draw tokens of a few holders.
pub(super) fn is_drawn(members: usize, polled: bool) -> bool {
    !polled && members > SHARED_MEMBERS
}

/// VMs that hold a budget for the whole fleet; none if all share it.
pub(super) fn holders(scarce: &Resource, epoch: &event::Epoch, polled: bool) -> Vec<Name> {
    let Resource::Rate(customer) = scarce else {
        return Vec::new();
    };
    if !is_drawn(epoch.members.len(), polled) {
        return Vec::new();
    }
    let members: Vec<_> = epoch.members.iter().map(|m| m.vm.clone()).collect();
    let mut ranked = rendezvous::rank(customer, &members);
    ranked.truncate(HOLDERS);
    ranked
}

/// Part of a VM among the holders; the first take the remainder.
pub(super) fn part(holders: &[Name], own: &event::MemberId, total: u64) -> u64 {
    let count = u64::try_from(holders.len()).unwrap_or(u64::MAX);
    let rank = holders.iter().position(|holder| *holder == own.vm);
    let rank = rank.and_then(|rank| u64::try_from(rank).ok());
    rank.map_or(0, |rank| total / count + u64::from(rank < total % count))
}

impl Part {
    /// Whether all holders have said of late that they have no token.
    pub(super) fn is_spent(&self, now: time::Time) -> bool {
        self.rounds() > 0 && now.since(self.asked) <= SPENT_PERIOD
    }

    /// Times that every holder was asked in vain.
    fn rounds(&self) -> usize {
        let barren = usize::try_from(self.barren).unwrap_or(usize::MAX);
        barren / self.holders.len().max(1)
    }

    /// Time in which the fleet gets as many tokens.
    pub(super) fn drawn_wait(&self, tokens: u64) -> Option<std_time::Duration> {
        let micros = (tokens * TOKEN).checked_div(self.limit.rate)?;
        Some(std_time::Duration::from_micros(micros))
    }

    fn lack(&self, waiting: u64, now: time::Time) -> u64 {
        let waiting = waiting.max(u64::from(self.pressed));
        waiting.saturating_sub(self.available(now) / TOKEN)
    }

    fn is_due(&self, now: time::Time) -> bool {
        let waited = now.since(self.asked);
        if self.rounds() > 0 {
            return waited > SPENT_PERIOD;
        }
        self.answered || waited >= DRAW_TIMEOUT
    }
}

impl Budgets {
    /// Asks for tokens of the holders.
    pub(super) fn draws(
        &mut self,
        peers: &[Name],
        near: &[Name],
        waiting: &dyn Fn(&Name) -> u64,
        now: time::Time,
        out: &mut Vec<(Name, TransferRequest)>,
    ) {
        let own = &self.own.vm;
        for (scarce, part) in &mut self.parts {
            let Resource::Rate(customer) = scarce else {
                continue;
            };
            if part.holders.is_empty() || !part.is_due(now) {
                continue;
            }
            let lack = part.lack(waiting(customer), now);
            if lack == 0 {
                continue;
            }
            let reached = part.holders.iter();
            let reached = reached.filter(|vm| *vm != own && peers.contains(vm));
            let mut order: Vec<_> = reached.collect();
            order.sort_by_key(|vm| !near.contains(vm));
            let turn = usize::try_from(part.barren).unwrap_or(0);
            let Some(holder) = order.get(turn % order.len().max(1)) else {
                continue;
            };
            let ask = self.asks.open(scarce, self.epoch.number, 0, lack);
            out.push(((*holder).clone(), ask));
            part.asked = now;
            part.pressed = false;
            part.answered = false;
            part.barren += 1;
        }
    }

    /// Debits tokens; an empty give tells that there are none.
    pub(super) fn give_tokens(
        &mut self,
        ask: &TransferRequest,
        now: time::Time,
    ) -> Option<Transfer> {
        let part = self.parts.get_mut(&ask.scarce)?;
        part.fill(now);
        let whole = (part.level / TOKEN).min(ask.tokens);
        part.level -= whole * TOKEN;
        Some(Transfer {
            scarce: ask.scarce.clone(),
            epoch: ask.epoch,
            nonce: ask.nonce,
            units: 0,
            tokens: whole * TOKEN,
        })
    }

    /// Takes tokens that a holder gave; false if nothing has changed.
    pub(super) fn credit_tokens(&mut self, give: &Transfer, now: time::Time) -> bool {
        self.asks.close(give);
        let Some(part) = self.parts.get_mut(&give.scarce) else {
            return false;
        };
        part.answered = true;
        if give.tokens > 0 {
            part.drawn = (part.drawn_at(now) + give.tokens, now);
            part.barren = 0;
        }
        true
    }
}
