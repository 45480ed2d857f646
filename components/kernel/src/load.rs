//! What requests waited for, told from time to time.

use std::time as std_time;

use crate::{daemon, journal, time};

/// Period of entries on the load in the journal.
const LOAD_PERIOD: std_time::Duration = std_time::Duration::from_secs(2);

/// Waits of requests, in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Waits {
    count: u64,
    total: u64,
    longest: u64,
}

impl Waits {
    /// Counts a request that has waited.
    pub(crate) fn add(&mut self, wait: std_time::Duration) {
        let wait = time::micros(wait);
        self.count += 1;
        self.total += wait;
        self.longest = self.longest.max(wait);
    }

    fn summary(self) -> journal::WaitStats {
        journal::WaitStats {
            count: self.count,
            total_ms: self.total / 1000,
            longest_ms: self.longest / 1000,
        }
    }
}

/// Counts since the last entry.
#[derive(Debug, Default)]
pub(crate) struct Load {
    since: time::Time,
    pub(crate) tokens: Waits,
    pub(crate) connections: Waits,
    pub(crate) asks: u64,
    pub(crate) gives: u64,
}

impl daemon::Daemon {
    /// Records the load of a period in which there was any.
    pub(crate) fn report_load(&mut self) {
        if self.now.since(self.load.since) < LOAD_PERIOD {
            return;
        }
        let load = std::mem::take(&mut self.load);
        self.load.since = self.now;
        if load.tokens.count + load.connections.count + load.asks + load.gives == 0 {
            return;
        }
        self.record_decision(journal::Decision::Load {
            tokens: load.tokens.summary(),
            connections: load.connections.summary(),
            asks: load.asks,
            gives: load.gives,
        });
    }
}
