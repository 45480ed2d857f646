//! Points in time on the driver's monotonic clock.

use std::{ops, time};

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Microseconds since the driver's origin.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// A point `ms` milliseconds after the origin.
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms * 1000)
    }

    /// Duration since `earlier`; zero if `earlier` is the later point.
    pub fn since(self, earlier: Self) -> time::Duration {
        time::Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The point `span` earlier; none if it precedes the origin. The clock starts with
    /// the daemon, so it has no time for what happened before.
    pub fn before(self, span: time::Duration) -> Option<Self> {
        self.0.checked_sub(micros(span)).map(Self)
    }
}

impl ops::Add<time::Duration> for Time {
    type Output = Self;

    fn add(self, span: time::Duration) -> Self {
        Self(self.0.saturating_add(micros(span)))
    }
}

/// Whole microseconds of a duration.
pub fn micros(span: time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
