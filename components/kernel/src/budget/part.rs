//! One VM's part of one budget.

use std::time as std_time;

use config::Name;

use super::{RATE_UNITS, RateLimit};
use crate::{sharing, time};

/// Period over which demand is averaged.
const DEMAND_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);
/// Time for which tokens may be used after a holder gave them: within it they
/// count for another moment than they are used in, and a third of a second of a
/// customer's rate lies within what the users tolerate.
const DRAWN_LIFETIME: std_time::Duration = std_time::Duration::from_millis(300);

/// This VM's part of one budget.
#[derive(Debug)]
pub(super) struct Part {
    pub(super) total: u64,
    pub(super) equal: u64,
    pub(super) units: u64,
    pub(super) level: u64,
    pub(super) carry: u64,
    pub(super) filled: time::Time,
    pub(super) limit: RateLimit,
    pub(super) count: u64,
    pub(super) demand: u64,
    pub(super) measured: time::Time,
    pub(super) asked: time::Time,
    pub(super) barren: u32,
    /// VMs that hold the tokens of the whole fleet; none if all share them.
    pub(super) holders: Vec<Name>,
    /// Micro-tokens drawn from a holder, and when.
    pub(super) drawn: (u64, time::Time),
    /// A request that was admitted has found no token.
    pub(super) pressed: bool,
    /// The last holder that was asked has answered.
    pub(super) answered: bool,
    /// Epoch that allows this VM its part, while it has not been taken up.
    pub(super) claim: Option<u64>,
    /// It has never held tokens.
    pub(super) fresh: bool,
}

impl Part {
    /// A part that is held from now on.
    pub(super) fn new(
        total: u64,
        equal: u64,
        units: u64,
        holders: Vec<Name>,
        limit: RateLimit,
        now: time::Time,
    ) -> Self {
        Self {
            total,
            equal,
            units,
            level: 0,
            carry: 0,
            filled: now,
            limit,
            count: 0,
            demand: 0,
            measured: now,
            asked: time::Time::default(),
            barren: 0,
            holders,
            drawn: (0, time::Time::default()),
            pressed: false,
            answered: false,
            claim: None,
            fresh: true,
        }
    }

    pub(super) fn cap(&self) -> u64 {
        self.limit.burst * self.units
    }

    /// Level and remainder at `now`.
    pub(super) fn filled_at(&self, now: time::Time) -> (u64, u64) {
        let dt = time::micros(now.since(self.filled));
        let gain = u128::from(self.limit.rate) * u128::from(self.units) * u128::from(dt)
            + u128::from(self.carry);
        let whole = u64::try_from(gain / u128::from(RATE_UNITS)).unwrap_or(u64::MAX);
        let carry = u64::try_from(gain % u128::from(RATE_UNITS)).unwrap_or(0);
        (self.level.saturating_add(whole).min(self.cap()), carry)
    }

    /// Micro-tokens that can be taken at `now`.
    pub(super) fn available(&self, now: time::Time) -> u64 {
        self.filled_at(now).0 + self.drawn_at(now)
    }

    /// Micro-tokens drawn that are still valid.
    pub(super) fn drawn_at(&self, now: time::Time) -> u64 {
        let (tokens, at) = self.drawn;
        if now.since(at) <= DRAWN_LIFETIME {
            tokens
        } else {
            0
        }
    }

    pub(super) fn fill(&mut self, now: time::Time) {
        (self.level, self.carry) = self.filled_at(now);
        self.filled = now;
    }

    /// Averages the demand of rate budgets, in units.
    pub(super) fn measure(&mut self, now: time::Time) {
        let span = now.since(self.measured);
        if span < DEMAND_PERIOD {
            return;
        }
        let per_second = self.count * 1_000_000 / time::micros(span).max(1);
        let units = per_second * RATE_UNITS / self.limit.rate.max(1);
        self.demand = (self.demand * 3 + units) / 4;
        self.count = 0;
        self.measured = now;
    }

    pub(super) fn share(&self, members: usize) -> sharing::Share {
        let members = u64::try_from(members).unwrap_or(u64::MAX);
        sharing::Share {
            held: self.units,
            equal: self.total / (members + 1),
            demand: self.demand,
        }
    }

    pub(super) fn remove(&mut self, units: u64) -> u64 {
        let tokens = u128::from(self.level) * u128::from(units) / u128::from(self.units.max(1));
        let tokens = u64::try_from(tokens).unwrap_or(0);
        self.units -= units;
        self.level = (self.level - tokens).min(self.cap());
        tokens
    }
}
