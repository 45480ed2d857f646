//! Whether a request can be served before its deadline, and when a refused caller should
//! return.
//!
//! The expected wait of a request follows from the requests that are served before it, from
//! the measured times for which requests hold a connection, and from the measured pace at
//! which the customer's requests are served. A request is refused at once only if it would
//! miss its deadline by a margin, because the measurements are averages. Without recent
//! measurements no request is refused early.
//!
//! The callers of a crowd get different times to return, spread over the time in which the
//! queue empties, so that they come back at the pace at which there is room for them.

use std::{collections, time as std_time};

use config::Name;

use crate::{event, time};

/// Measurements over which an average extends.
const SPAN: u32 = 32;
/// Measurements that an average needs.
const MIN_COUNT: u32 = 16;
/// Largest measurement, as a multiple of the average; outages are longer.
const MAX_FACTOR: u32 = 4;
/// Time after which an average without a new measurement says nothing.
const MAX_AGE: std_time::Duration = std_time::Duration::from_secs(5);
/// Part of the remaining time by which the expected wait must exceed it, in percent.
const MARGIN_PERCENT: u32 = 25;
/// Shortest time after which a refused caller should return.
const MIN_RETRY: std_time::Duration = std_time::Duration::from_millis(100);
/// Multiplier that spreads consecutive numbers over all values: 2^64 over the golden ratio.
const HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// Moving average of a duration.
#[derive(Clone, Copy, Debug, Default)]
pub struct Average {
    mean: std_time::Duration,
    count: u32,
    measured_at: time::Time,
}

impl Average {
    /// Adds a measurement.
    pub fn record(&mut self, span: std_time::Duration, now: time::Time) {
        if now.since(self.measured_at) > MAX_AGE {
            self.count = 0;
        }
        let span = if self.count >= MIN_COUNT {
            span.min(self.mean * MAX_FACTOR)
        } else {
            span
        };
        self.count = (self.count + 1).min(SPAN);
        self.mean = (self.mean * (self.count - 1) + span) / self.count;
        self.measured_at = now;
    }

    /// The average, if it rests on enough recent measurements.
    pub fn get(&self, now: time::Time) -> Option<std_time::Duration> {
        let is_recent = now.since(self.measured_at) <= MAX_AGE;
        (is_recent && self.count >= MIN_COUNT).then_some(self.mean)
    }
}

/// Times for which requests hold a connection, by instance. A time includes the opening of
/// the connection.
#[derive(Debug, Default)]
pub struct HoldTimes {
    averages: collections::HashMap<Name, Average>,
}

impl HoldTimes {
    /// Adds a measurement.
    pub fn record(&mut self, instance: &Name, hold: std_time::Duration, now: time::Time) {
        let average = self.averages.entry(instance.clone()).or_default();
        average.record(hold, now);
    }

    /// Average of an instance, if it rests on enough recent measurements.
    pub fn get(&self, instance: &Name, now: time::Time) -> Option<std_time::Duration> {
        self.averages.get(instance)?.get(now)
    }

    /// Forgets the instances that `is_kept` does not accept.
    pub fn retain(&mut self, is_kept: &dyn Fn(&Name) -> bool) {
        self.averages.retain(|instance, _| is_kept(instance));
    }
}

/// Why a request found no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It could not be served before its deadline.
    Certain,
    /// Its customer had too many waiting requests.
    QueueFull,
    /// It reached its deadline in the queue.
    Expired,
}

/// Connections to an instance that may serve a request.
#[derive(Clone, Copy, Debug)]
pub struct Server {
    /// Connections that this VM may use.
    pub slots: u32,
    /// Those of them that are free.
    pub free: u32,
    /// Time for which a request holds one; none if unknown.
    pub hold: Option<std_time::Duration>,
}

/// Requests that are served before another one.
#[derive(Clone, Copy, Debug)]
pub struct Ahead {
    /// Lower bound on their number, over all customers; those that come later don't count.
    pub total: usize,
    /// Number of those of the same customer.
    pub own: usize,
    /// Average time between two services of the customer while its requests wait; none if
    /// unknown.
    pub gap: Option<std_time::Duration>,
}

/// Expected wait of a request; none if unknown. The requests of the customer are served at
/// the pace of late, and all requests at the pace of the instances, whichever is slower.
pub fn expected_wait(ahead: &Ahead, servers: &[Server]) -> Option<std_time::Duration> {
    // Requests that wait beside a free connection wait for something else than capacity.
    if servers.iter().any(|server| server.free > 0) {
        return Some(std_time::Duration::ZERO);
    }
    let total = u32::try_from(ahead.total).unwrap_or(u32::MAX);
    let own = u32::try_from(ahead.own).unwrap_or(u32::MAX);
    let by_pace = ahead
        .gap
        .map(|gap| gap.saturating_mul(own.saturating_add(1)));
    let by_servers = wait_for_servers(total, servers)?;
    Some(by_pace.map_or(by_servers, |by_pace| by_pace.max(by_servers)))
}

fn wait_for_servers(before: u32, servers: &[Server]) -> Option<std_time::Duration> {
    let mut per_second = 0.0;
    for server in servers.iter().filter(|server| server.slots > 0) {
        let hold = server.hold?.max(std_time::Duration::from_micros(1));
        per_second += f64::from(server.slots) / hold.as_secs_f64();
    }
    let wait = (f64::from(before) + 1.0) / per_second;
    std_time::Duration::try_from_secs_f64(wait).ok()
}

/// Whether a request with this expected wait misses a deadline in `remaining`.
pub fn misses_deadline(expected: std_time::Duration, remaining: std_time::Duration) -> bool {
    expected.saturating_mul(100) > remaining.saturating_mul(100 + MARGIN_PERCENT)
}

/// Time after which a refused session should return, in ms. A request that came now would
/// wait for `expected` and may wait for `limit`: the queue has room for it after the
/// difference, and is empty after `expected`.
pub fn retry_ms(
    session: event::SessionId,
    expected: std_time::Duration,
    limit: std_time::Duration,
) -> u32 {
    let start = expected.saturating_sub(limit).max(MIN_RETRY);
    let span = expected.saturating_sub(start).max(MIN_RETRY).as_millis();
    let span = u64::try_from(span).unwrap_or(u64::MAX);
    let hash = session.0.wrapping_mul(HASH_FACTOR) >> 32;
    let start = u64::try_from(start.as_millis()).unwrap_or(u64::MAX);
    let delay = start.saturating_add(hash % span);
    u32::try_from(delay).unwrap_or(u32::MAX)
}
