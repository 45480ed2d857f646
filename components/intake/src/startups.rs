//! Limit on connections whose startup is not complete.

use std::collections;

/// What happens to a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection may start.
    Start,
    /// The connection may start in place of this one, which is to be closed.
    Replace(u64),
    /// The connection is to be closed.
    Close,
}

/// Connections whose startup is not complete, by the order of their arrival.
///
/// At the limit the oldest gives way: an ordinary caller needs little time for its
/// startup, so the oldest is the one that has stopped or is slow.
#[derive(Debug, Default)]
pub struct Startups(collections::BTreeSet<u64>);

impl Startups {
    /// Admits a new connection with a larger number than all before. `sessions` of at
    /// most `limit` connections have completed their startup; `spare` connections more
    /// may start, to be told that the daemon is full.
    pub fn admit(&mut self, number: u64, sessions: usize, limit: usize, spare: usize) -> Admission {
        let room = limit.saturating_sub(sessions) + spare;
        let oldest = self.0.first().copied();
        let admission = match oldest {
            _ if self.0.len() < room => Admission::Start,
            Some(oldest) => Admission::Replace(oldest),
            None => return Admission::Close,
        };
        if let Admission::Replace(oldest) = admission {
            self.0.remove(&oldest);
        }
        self.0.insert(number);
        admission
    }

    /// Removes a connection whose startup has ended.
    pub fn remove(&mut self, number: u64) {
        self.0.remove(&number);
    }

    /// Number of connections.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
