//! Samples of the position of a group's leader.
//!
//! The age of the data that a read accepts is measured against samples: whatever was
//! acknowledged before the time of a sample is at or below its position.

use config::Name;
use derive_more::Display;

use crate::{position, time};

/// How this daemon learned a position of the leader.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Source {
    /// An answer of the instance to this daemon.
    #[display("instance")]
    Instance,
    /// Report of a peer.
    #[display("{_0}")]
    Peer(Name),
}

/// Position that the leader had reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// When the request that returned the position was sent.
    pub sent: time::Time,
    /// Position of the leader when it answered.
    pub position: position::Position,
    /// How this daemon learned the position.
    pub source: Source,
}
