//! Requests to peers whose answers repeat when they were sent.
//!
//! The answer to a request of an earlier run of the daemon names a time of another
//! clock, which may lie in the future of this one.

use std::collections;

use crate::time;

/// Number of requests whose answers are still accepted: at the highest rate, one each 20
/// ms, those of the last 5 s.
const MAX_REQUESTS: usize = 256;

/// When the newest requests of this run were sent.
#[derive(Debug, Default)]
pub struct SentRequests {
    times: collections::VecDeque<time::Time>,
}

impl SentRequests {
    /// Records a request.
    pub fn record(&mut self, sent: time::Time) {
        if self.times.len() == MAX_REQUESTS {
            self.times.pop_front();
        }
        self.times.push_back(sent);
    }

    /// Whether this run sent a request at that time.
    pub fn contains(&self, sent: time::Time) -> bool {
        self.times.contains(&sent)
    }
}
