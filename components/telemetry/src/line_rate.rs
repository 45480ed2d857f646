//! Bound on the lines of a process.
//!
//! An overload refuses thousands of requests a second, and a line for each
//! would cost the processor that serves the others. Lines about single requests
//! and sessions are bounded; decisions and everything else are not, since the
//! kernel already sums its refusals up.

/// Lines a second about single requests: as many as one reads, and at 300 bytes
/// each less than 1% of a link of 10 Mbit/s.
const RATE: u64 = 50;
/// Such lines at once, for a short trouble that is to be seen whole.
const BURST: u64 = 500;
/// Parts of a line in which the level is counted: one for each millisecond at
/// the rate above.
const PARTS: u64 = 1_000;

/// Lines that may still be written.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    level: u64,
    at: u64,
}

impl Default for Limiter {
    fn default() -> Self {
        Self::new()
    }
}

impl Limiter {
    /// The whole burst.
    pub const fn new() -> Self {
        Self {
            level: BURST * PARTS,
            at: 0,
        }
    }

    /// Whether a line of the target may be written at `now`, in ms of any clock
    /// that does not go back by much.
    pub fn admit(&mut self, target: &str, now: u64) -> bool {
        if !matches!(target, "request" | "session") {
            return true;
        }
        let gain = now.saturating_sub(self.at).saturating_mul(RATE);
        self.level = (self.level.saturating_add(gain)).min(BURST * PARTS);
        self.at = now;
        if self.level < PARTS {
            return false;
        }
        self.level -= PARTS;
        true
    }

    /// Most lines in a span of milliseconds.
    pub const fn max_lines(span: u64) -> u64 {
        BURST + span * RATE / PARTS
    }
}
