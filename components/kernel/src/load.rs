//! Statistics on waiting requests and on budget transfers, which the daemon records
//! periodically.

use std::{collections, time as std_time};

use crate::{daemon, journal, overload, time};

/// Period of load entries in the journal.
const LOAD_PERIOD: std_time::Duration = std_time::Duration::from_secs(2);

/// Priority under which refusals of less urgent requests are counted too, which bounds the
/// size of an entry.
const LAST_PRIORITY: u32 = 9;

/// Durations for which requests have waited.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Waits {
    count: u64,
    total_us: u64,
    longest_us: u64,
}

impl Waits {
    /// Adds a request that has waited.
    pub(crate) fn record(&mut self, wait: std_time::Duration) {
        let wait = time::micros(wait);
        self.count += 1;
        self.total_us += wait;
        self.longest_us = self.longest_us.max(wait);
    }

    fn summary(self) -> journal::WaitStats {
        journal::WaitStats {
            count: self.count,
            total_ms: self.total_us / 1000,
            longest_ms: self.longest_us / 1000,
        }
    }
}

/// Refusals for lack of capacity.
#[derive(Debug, Default)]
pub(crate) struct CapacityRefusals {
    at_once: u64,
    queue_full: u64,
    expired: u64,
    longest_expected: std_time::Duration,
    priorities: collections::BTreeMap<u32, u64>,
}

impl CapacityRefusals {
    /// Adds a refused request with its priority and the wait that it had to expect.
    pub(crate) fn record(
        &mut self,
        reason: overload::Reason,
        priority: u32,
        expected: Option<std_time::Duration>,
    ) {
        match reason {
            overload::Reason::Certain => self.at_once += 1,
            overload::Reason::QueueFull => self.queue_full += 1,
            overload::Reason::Expired => self.expired += 1,
        }
        self.longest_expected = self.longest_expected.max(expected.unwrap_or_default());
        let priority = priority.min(LAST_PRIORITY);
        *self.priorities.entry(priority).or_default() += 1;
    }

    fn decision(self) -> Option<journal::Decision> {
        let total = self.at_once + self.queue_full + self.expired;
        (total > 0).then(|| journal::Decision::CapacityRefusals {
            at_once: self.at_once,
            queue_full: self.queue_full,
            expired: self.expired,
            expected_ms: time::micros(self.longest_expected) / 1000,
            priorities: self.priorities,
        })
    }
}

/// Statistics since the last journal entry.
#[derive(Debug, Default)]
pub(crate) struct Load {
    started_at: time::Time,
    pub(crate) token_waits: Waits,
    pub(crate) connection_waits: Waits,
    pub(crate) transfer_requests: u64,
    pub(crate) transfers: u64,
    pub(crate) refusals: CapacityRefusals,
}

impl daemon::Daemon {
    /// Records the load of the past period, unless there was none.
    pub(crate) fn report_load(&mut self) {
        if self.now.since(self.load.started_at) < LOAD_PERIOD {
            return;
        }
        let load = std::mem::take(&mut self.load);
        self.load.started_at = self.now;
        if let Some(decision) = load.refusals.decision() {
            self.record_decision(decision);
        }
        if load.token_waits.count
            + load.connection_waits.count
            + load.transfer_requests
            + load.transfers
            == 0
        {
            return;
        }
        self.record_decision(journal::Decision::Load {
            tokens: load.token_waits.summary(),
            connections: load.connection_waits.summary(),
            asks: load.transfer_requests,
            gives: load.transfers,
        });
    }
}
