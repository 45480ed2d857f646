//! Rate limit on the log lines of a process.
//!
//! Under overload, a daemon refuses thousands of requests per second. A line for each
//! would take CPU time from the requests that it serves. The limit applies to lines
//! about single requests and sessions. Decisions and other lines are not limited, since
//! the kernel already aggregates its refusals.

/// Lines about single requests and sessions: as many as a person can read, and at 300
/// bytes each 1.2% of a link of 10 Mbit/s.
const LINES_PER_S: u64 = 50;
/// Size of a burst of such lines, so that a short fault is logged in full.
const BURST_LINES: u64 = 500;
/// Units of the limiter per line. A line is worth 1,000 units, so that one millisecond
/// adds as many units as the rate has lines per second.
const UNITS_PER_LINE: u64 = 1_000;

/// A token bucket for log lines.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    units: u64,
    updated_ms: u64,
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}

impl Limiter {
    /// Creates a limiter that admits a full burst.
    pub const fn new() -> Self {
        Self {
            units: BURST_LINES * UNITS_PER_LINE,
            updated_ms: 0,
        }
    }

    /// Whether a line of the log target may be written at `now_ms`; counts the line if
    /// so. The clock may have any origin and may step back a little.
    pub fn admit(&mut self, target: &str, now_ms: u64) -> bool {
        if !matches!(target, "request" | "session") {
            return true;
        }
        let refill = now_ms
            .saturating_sub(self.updated_ms)
            .saturating_mul(LINES_PER_S);
        self.units = (self.units.saturating_add(refill)).min(BURST_LINES * UNITS_PER_LINE);
        self.updated_ms = now_ms;
        if self.units < UNITS_PER_LINE {
            return false;
        }
        self.units -= UNITS_PER_LINE;
        true
    }

    /// Largest number of limited lines in a time span.
    pub const fn max_lines(span_ms: u64) -> u64 {
        BURST_LINES + span_ms * LINES_PER_S / UNITS_PER_LINE
    }
}
