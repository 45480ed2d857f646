//! Choice of the instance for a read.
//!
//! The caller of a policy marks each candidate as fresh or not; a policy only
//! chooses among fresh ones, so no policy can break read-your-writes.

use config::Name;

use crate::plugin;

/// Cost of a busy connection against round-trip time, in microseconds.
const BUSY_COST_US: u64 = 500;

/// Cost of a new connection, in microseconds: the time that the users' instances
/// take for one.
const COLD_COST_US: u64 = 12_000;

/// An instance that could serve a read.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Instance.
    pub name: Name,
    /// It is the confirmed primary.
    pub primary: bool,
    /// It shows everything that the request must see.
    pub is_fresh: bool,
    /// Connections that are free here.
    pub free: u32,
    /// Connections in use here.
    pub busy: u32,
    /// Average round-trip time, in microseconds.
    pub rtt: u64,
    /// A connection waits for the customer, or one can be used by all.
    pub has_connection: bool,
    /// Least round-trip time, in microseconds; 0 if not known.
    pub min_rtt: u64,
}

impl Candidate {
    fn cost(&self) -> u64 {
        let cold = if self.has_connection { 0 } else { COLD_COST_US };
        self.rtt + u64::from(self.busy) * BUSY_COST_US + cold
    }
}

/// Chooses where a read goes.
pub trait Policy: Send {
    /// Position of the chosen candidate; none to wait.
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

/// Nearest fresh replica; the primary only where no replica is fresh, or where
/// the replicas are full and the primary is mostly idle.
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
        let replicas = all.iter().filter(fresh).any(|(_, c)| !c.primary);
        let (index, primary) = all.iter().filter(fresh).find(|(_, c)| c.primary)?;
        let allowed = !replicas || primary.free > primary.busy;
        (primary.free > 0 && allowed).then_some(*index)
    }
}

/// Times that the distance of an instance counts beyond its round trip, since
/// traffic between failure domains and regions is paid by volume.
const DISTANCE_WEIGHT: u64 = 3;
/// Cost of a read at the primary over one at a replica, in microseconds: the
/// primary alone can serve writes.
const PRIMARY_COST_US: u64 = 15_000;

/// Cheapest fresh instance: near ones first, a replica rather than the primary
/// where both are near.
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

/// Every read at the primary; the baseline.
pub struct PrimaryOnly;

impl Policy for PrimaryOnly {
    fn choose(&self, candidates: &[Candidate]) -> Option<usize> {
        candidates.iter().position(|c| c.primary && c.free > 0)
    }
}
