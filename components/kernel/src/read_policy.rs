//! Policies that choose the instance for a read.
//!
//! The caller marks each candidate as fresh or not, and a policy chooses only
//! among the fresh ones. A policy can therefore not break read-your-writes.

use config::Name;

use crate::plugin;

/// Cost of a connection in use, expressed as round-trip time in microseconds.
const BUSY_COST_US: u64 = 500;

/// Cost of opening a connection, in microseconds: the time that the users'
/// instances take for it.
const CONNECT_COST_US: u64 = 12_000;

/// An instance that could serve the read.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Instance name.
    pub name: Name,
    /// Whether the instance is the confirmed primary.
    pub primary: bool,
    /// Whether the instance shows everything that the request must see.
    pub is_fresh: bool,
    /// Connections to the instance that this daemon can still use.
    pub free: u32,
    /// Connections to the instance that this daemon has in use.
    pub busy: u32,
    /// Expected round-trip time, in microseconds.
    pub rtt: u64,
    /// Whether an idle connection can be used: one opened for the customer, or
    /// one that any customer may use.
    pub has_connection: bool,
    /// Lowest round-trip time, in microseconds; 0 if unknown.
    pub min_rtt: u64,
}

impl Candidate {
    fn cost(&self) -> u64 {
        let connect = if self.has_connection {
            0
        } else {
            CONNECT_COST_US
        };
        self.rtt + u64::from(self.busy) * BUSY_COST_US + connect
    }
}

/// Chooses the instance for a read.
pub trait Policy: Send {
    /// Index of the chosen candidate; `None` makes the request wait.
    fn choose(&self, candidates: &[Candidate]) -> Option<usize>;
}

inventory::submit! {
    plugin::Reads { name: "replica", build: || Box::new(ReplicaFirst) }
}

inventory::submit! {
    plugin::Reads { name: "near", build: || Box::new(Near) }
}

inventory::submit! {
    plugin::Reads { name: "primary", build: || Box::new(PrimaryOnly) }
}

/// Chooses the fresh replica with the lowest cost. Chooses the primary only if
/// no replica is fresh, or if all fresh replicas are full and the primary is
/// mostly idle.
pub struct ReplicaFirst;

impl Policy for ReplicaFirst {
    fn choose(&self, candidates: &[Candidate]) -> Option<usize> {
        let fresh = |c: &&(usize, &Candidate)| c.1.is_fresh;
        let all: Vec<_> = candidates.iter().enumerate().collect();
        let best = all
            .iter()
            .filter(fresh)
            .filter(|(_, c)| !c.primary && c.free > 0)
            .min_by_key(|(_, c)| c.cost());
        if let Some((index, _)) = best {
            return Some(*index);
        }
        let has_replica = all.iter().filter(fresh).any(|(_, c)| !c.primary);
        let (index, primary) = all.iter().filter(fresh).find(|(_, c)| c.primary)?;
        let is_allowed = !has_replica || primary.free > primary.busy;
        (primary.free > 0 && is_allowed).then_some(*index)
    }
}

/// Weight of the lowest round-trip time, which counts in addition to the
/// expected one because traffic between failure domains and regions is billed
/// by volume.
const DISTANCE_WEIGHT: u64 = 3;
/// Extra cost of a read at the primary compared with a replica, in
/// microseconds, because only the primary can serve writes.
const PRIMARY_COST_US: u64 = 15_000;

/// Chooses the fresh instance with the lowest cost: nearby instances first, and
/// a replica rather than the primary if both are near.
pub struct Near;

impl Near {
    fn cost(candidate: &Candidate) -> u64 {
        let primary = if candidate.primary {
            PRIMARY_COST_US
        } else {
            0
        };
        candidate.cost() + candidate.min_rtt * DISTANCE_WEIGHT + primary
    }
}

impl Policy for Near {
    fn choose(&self, candidates: &[Candidate]) -> Option<usize> {
        let usable = candidates.iter().enumerate();
        usable
            .filter(|(_, candidate)| candidate.is_fresh && candidate.free > 0)
            .min_by_key(|(_, candidate)| Self::cost(candidate))
            .map(|(index, _)| index)
    }
}

/// Sends every read to the primary; the baseline for comparisons.
pub struct PrimaryOnly;

impl Policy for PrimaryOnly {
    fn choose(&self, candidates: &[Candidate]) -> Option<usize> {
        candidates.iter().position(|c| c.primary && c.free > 0)
    }
}
