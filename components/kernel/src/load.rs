//! Statistics on waiting requests and on budget transfers, which the daemon records
//! periodically.

use std::time as std_time;

use crate::{daemon, journal, time};

/// Period of load entries in the journal.
const LOAD_PERIOD: std_time::Duration = std_time::Duration::from_secs(2);

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

/// Statistics since the last journal entry.
#[derive(Debug, Default)]
pub(crate) struct Load {
    started_at: time::Time,
    pub(crate) token_waits: Waits,
    pub(crate) connection_waits: Waits,
    pub(crate) transfer_requests: u64,
    pub(crate) transfers: u64,
}

impl daemon::Daemon {
    /// Records the load of the past period, unless there was none.
    pub(crate) fn report_load(&mut self) {
        if self.now.since(self.load.started_at) < LOAD_PERIOD {
            return;
        }
        let load = std::mem::take(&mut self.load);
        self.load.started_at = self.now;
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
