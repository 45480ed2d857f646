//! Configuration of the whole fleet at one revision.

use std::{collections, net};

use serde::{Deserialize, Serialize};

use crate::{key, name};

/// What a write waits for before it is acknowledged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Durability {
    /// Receipt of the commit by a majority of the instances.
    #[default]
    Majority,
    /// The commit at the primary; the group itself replicates synchronously.
    Primary,
    /// The commit at the primary, which waits until one replica has received it.
    Replica,
}

/// One database instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Instance {
    /// Name, unique among all groups.
    pub name: name::Name,
    /// Address on which the instance listens.
    pub address: net::SocketAddr,
    /// Failure domain.
    pub domain: name::Name,
    /// Connections that the instance accepts from the whole fleet.
    pub connections: u32,
    /// Whether the instance is leaving: it gets no new transaction.
    pub leaving: bool,
}

/// Load that an instance bears while its caches are cold, after a start or after its
/// failure domain was evacuated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Warmup {
    /// Time for which an instance is cold, in ms.
    pub period_ms: u64,
    /// Requests per second that a cold instance gets from the whole fleet; 0 for no request.
    pub rate: u32,
}

/// A primary and its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Group {
    /// What a write waits for before it is acknowledged.
    pub durability: Durability,
    /// Limit on the requests to a cold instance; none if instances need no warm-up.
    #[serde(default)]
    pub warmup: Option<Warmup>,
    /// The primary and the replicas.
    pub instances: Vec<Instance>,
}

/// Requests per second, to a thousandth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rate(u64);

/// Error for a rate that is negative, not a number or too large.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("the rate is not a number of requests per second")]
pub struct InvalidRate;

impl Rate {
    /// Highest rate.
    const MAX_PER_SECOND: f64 = 1e12;

    /// Requests in 1,000 seconds.
    pub fn per_thousand_seconds(self) -> u64 {
        self.0
    }

    /// Whether no request is allowed.
    pub fn is_zero(self) -> bool {
        self.0 == 0
    }
}

impl From<u32> for Rate {
    fn from(per_second: u32) -> Self {
        Self(u64::from(per_second) * 1000)
    }
}

impl TryFrom<f64> for Rate {
    type Error = InvalidRate;

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        let is_valid = (0.0..=Self::MAX_PER_SECOND).contains(&per_second);
        let thousandths = (per_second * 1000.0).round();
        is_valid
            .then_some(Self(thousandths as u64))
            .ok_or(InvalidRate)
    }
}

/// A customer with its limits and keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Customer {
    /// Rate of transactions in the whole fleet; none if it is not limited.
    pub rate: Option<Rate>,
    /// Size of a burst of transactions above the rate.
    pub burst: u32,
    /// Share of a contended connection pool, relative to other customers.
    pub weight: u32,
    /// Keys by name.
    pub keys: collections::BTreeMap<name::Name, key::KeyDigest>,
    /// Regions in which the customer's requests may run, besides the caller's own; empty
    /// if they may run in any region.
    #[serde(default)]
    pub homes: collections::BTreeSet<name::Name>,
}

/// Which writes a read on a route must see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadConsistency {
    /// The session's own writes, or data no older than the route's `age_ms`.
    #[default]
    OwnOrAge,
    /// The session's own writes, and all writes older than the route's `age_ms`.
    OwnAndAge,
    /// All writes; the read runs at the primary.
    Latest,
}

/// A database that callers connect to; they name the route as the database.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// Group that serves the route.
    pub group: name::Name,
    /// Name of the database in the group.
    pub database: String,
    /// Customers that may use the route; empty for an open route.
    pub customers: collections::BTreeSet<name::Name>,
    /// Whether callers need no key.
    pub open: bool,
    /// Age of the data that reads accept, in ms; none for reads of the session's own writes.
    pub age_ms: Option<u64>,
    /// Which writes reads must see.
    #[serde(default)]
    pub reads: ReadConsistency,
    /// Longest run time of a statement at an instance, in ms; none for no limit.
    #[serde(default)]
    pub statement_ms: Option<u64>,
    /// Target latency of requests, in ms.
    #[serde(default)]
    pub target_ms: Option<u64>,
    /// Priority under load; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Attempts for a request, the first one included.
    #[serde(default)]
    pub attempts: Option<u32>,
    /// Regions in which requests may run, besides the caller's own; empty if they may run
    /// in any region.
    #[serde(default)]
    pub homes: collections::BTreeSet<name::Name>,
}

impl Route {
    /// Creates a route to a group that is open to no one and has no limits.
    pub fn new(group: name::Name) -> Self {
        Self {
            group,
            database: String::new(),
            customers: collections::BTreeSet::new(),
            open: false,
            age_ms: None,
            reads: ReadConsistency::default(),
            statement_ms: None,
            target_ms: None,
            priority: 0,
            attempts: None,
            homes: collections::BTreeSet::new(),
        }
    }
}

/// All customers, groups and routes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Fleet {
    /// Customers by name.
    pub customers: collections::BTreeMap<name::Name, Customer>,
    /// Groups by name.
    pub groups: collections::BTreeMap<name::Name, Group>,
    /// Routes by name.
    pub routes: collections::BTreeMap<name::Name, Route>,
    /// Failure domains whose instances get no requests, on the operators' request.
    #[serde(default)]
    pub evacuated: collections::BTreeSet<name::Name>,
    /// Time for which a transaction may stay idle, in ms; none for the limit in the
    /// daemon's settings.
    #[serde(default)]
    pub idle_ms: Option<u64>,
}

impl Fleet {
    /// Whether some routes have another priority than others.
    pub fn ranks_routes(&self) -> bool {
        let mut priorities = self.routes.values().map(|route| route.priority);
        let first = priorities.next();
        priorities.any(|priority| Some(priority) != first)
    }

    /// Names of the customer that holds the key and of the key.
    pub fn key_holder(&self, digest: &key::KeyDigest) -> Option<(&name::Name, &name::Name)> {
        let mut found = None;
        for (customer, entry) in &self.customers {
            for (key, held) in &entry.keys {
                if held.matches(digest) {
                    found = Some((customer, key));
                }
            }
        }
        found
    }

    /// Whether the customer holds the key.
    pub fn holds_key(&self, customer: &str, digest: &key::KeyDigest) -> bool {
        let Some(entry) = self.customers.get(customer) else {
            return false;
        };
        entry.keys.values().any(|held| held.matches(digest))
    }
}
