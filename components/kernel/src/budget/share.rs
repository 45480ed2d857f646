//! This VM's share of one budget.

use std::time as std_time;

use config::Name;

use super::{RATE_PERIOD, RATE_UNITS, RateLimit};
use crate::{sharing, time};

/// Period over which demand is averaged.
const DEMAND_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);
/// Lifetime of tokens from a holder. The holder debits tokens when it sends them, and
/// this VM uses them up to this much later. Requests may thus exceed the limit by a
/// third of a second of the customer's rate, which users tolerate.
const FETCHED_TOKEN_LIFETIME: std_time::Duration = std_time::Duration::from_millis(300);

/// This VM's share of one budget.
#[derive(Debug)]
pub(super) struct Share {
    pub(super) total: u64,
    pub(super) equal_units: u64,
    pub(super) units: u64,
    pub(super) micro_tokens: u64,
    pub(super) remainder: u64,
    pub(super) refilled_at: time::Time,
    pub(super) limit: RateLimit,
    pub(super) request_count: u64,
    pub(super) demand: u64,
    pub(super) measured_at: time::Time,
    pub(super) requested_at: time::Time,
    pub(super) failed_attempts: u32,
    /// VMs that hold the tokens of the whole fleet; empty if all members share them.
    pub(super) holders: Vec<Name>,
    /// Micro-tokens received from holders, with the time of the last transfer.
    pub(super) fetched: (u64, time::Time),
    /// An admitted request has found no token.
    pub(super) lacks_token: bool,
    /// Nonce of the last request to a holder.
    pub(super) last_request: u64,
    /// The holder that got the last request has answered.
    pub(super) has_answer: bool,
    /// Epoch that allows this VM a larger share, until that share is active.
    pub(super) pending_epoch: Option<u64>,
    /// The share has never been activated.
    pub(super) is_new: bool,
}

impl Share {
    /// Creates a share that starts at `now`.
    pub(super) fn new(
        total: u64,
        equal_units: u64,
        units: u64,
        holders: Vec<Name>,
        limit: RateLimit,
        now: time::Time,
    ) -> Self {
        Self {
            total,
            equal_units,
            units,
            micro_tokens: 0,
            remainder: 0,
            refilled_at: now,
            limit,
            request_count: 0,
            demand: 0,
            measured_at: now,
            requested_at: time::Time::default(),
            failed_attempts: 0,
            holders,
            fetched: (0, time::Time::default()),
            lacks_token: false,
            last_request: 0,
            has_answer: false,
            pending_epoch: None,
            is_new: true,
        }
    }

    pub(super) fn capacity(&self) -> u64 {
        self.limit.burst * self.units
    }

    /// Micro-tokens and the remainder of the refill at `now`.
    pub(super) fn balance_at(&self, now: time::Time) -> (u64, u64) {
        let dt = time::micros(now.since(self.refilled_at));
        let gain = u128::from(self.limit.rate) * u128::from(self.units) * u128::from(dt)
            + u128::from(self.remainder);
        let divisor = u128::from(RATE_UNITS) * RATE_PERIOD;
        let whole = u64::try_from(gain / divisor).unwrap_or(u64::MAX);
        let remainder = u64::try_from(gain % divisor).unwrap_or(0);
        (
            self.micro_tokens.saturating_add(whole).min(self.capacity()),
            remainder,
        )
    }

    /// Micro-tokens that requests can use at `now`.
    pub(super) fn available(&self, now: time::Time) -> u64 {
        self.balance_at(now).0 + self.fetched_balance(now)
    }

    /// Micro-tokens from holders that are still valid at `now`.
    pub(super) fn fetched_balance(&self, now: time::Time) -> u64 {
        let (tokens, at) = self.fetched;
        if now.since(at) <= FETCHED_TOKEN_LIFETIME {
            tokens
        } else {
            0
        }
    }

    pub(super) fn refill(&mut self, now: time::Time) {
        (self.micro_tokens, self.remainder) = self.balance_at(now);
        self.refilled_at = now;
    }

    /// Averages the demand for a rate, in units.
    pub(super) fn average_demand(&mut self, now: time::Time) {
        let span = now.since(self.measured_at);
        if span < DEMAND_PERIOD {
            return;
        }
        let per_second = self.request_count * 1_000_000 / time::micros(span).max(1);
        let wanted = u128::from(per_second) * u128::from(RATE_UNITS) * RATE_PERIOD;
        let units = wanted / u128::from(self.limit.rate.max(1));
        let units = u64::try_from(units).unwrap_or(u64::MAX >> 2);
        self.demand = (self.demand * 3 + units) / 4;
        self.request_count = 0;
        self.measured_at = now;
    }

    pub(super) fn state(&self, members: usize) -> sharing::ShareState {
        let members = u64::try_from(members).unwrap_or(u64::MAX);
        sharing::ShareState {
            held: self.units,
            equal: self.total / (members + 1),
            demand: self.demand,
        }
    }

    pub(super) fn remove_units(&mut self, units: u64) -> u64 {
        let tokens =
            u128::from(self.micro_tokens) * u128::from(units) / u128::from(self.units.max(1));
        let tokens = u64::try_from(tokens).unwrap_or(0);
        self.units -= units;
        self.micro_tokens = (self.micro_tokens - tokens).min(self.capacity());
        tokens
    }
}
