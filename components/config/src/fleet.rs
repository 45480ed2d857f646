//! The configuration of the whole fleet at one revision.

use std::{collections, net};

use serde::{Deserialize, Serialize};

use crate::{key, name};

/// What an acknowledgement of a write waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Durability {
    /// A majority of instances received the commit.
    #[default]
    Majority,
    /// The group replicates synchronously by itself.
    Primary,
}

/// One database instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Instance {
    /// Unique over all groups.
    pub name: name::Name,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Failure domain.
    pub domain: name::Name,
    /// Connections it accepts from the whole fleet.
    pub connections: u32,
    /// Leaving instances get no new transaction.
    pub leaving: bool,
}

/// A primary and its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Group {
    /// What an acknowledgement waits for.
    pub durability: Durability,
    /// Members by name.
    pub instances: Vec<Instance>,
}

/// A customer with its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Customer {
    /// Transactions a second over the whole fleet.
    pub rate: u32,
    /// Transactions beyond the rate at once.
    pub burst: u32,
    /// Share of a contended pool, relative to other customers.
    pub weight: u32,
    /// Keys by name.
    pub keys: collections::BTreeMap<name::Name, key::KeyDigest>,
}

/// What reads on a route must see.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadConsistency {
    /// The session's own writes, or data of the stated age.
    #[default]
    OwnOrAge,
    /// The session's own writes, and all that is older than the stated age.
    OwnAndAge,
    /// Everything; they run at the primary.
    Latest,
}

/// What a caller connects to: the database name of its connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Route {
    /// Group that serves the route.
    pub group: name::Name,
    /// Database name at the group.
    pub database: String,
    /// Customers that may use it; empty if open to all.
    pub customers: collections::BTreeSet<name::Name>,
    /// Open to all, without a key.
    pub open: bool,
    /// Stated age that reads accept, in ms; 0 for reads of one's own writes.
    pub age_ms: u64,
    /// What reads must see.
    #[serde(default)]
    pub reads: ReadConsistency,
    /// Longest time for one statement at an instance, in ms; 0 for no limit.
    #[serde(default)]
    pub statement_ms: u64,
    /// Time in which callers want a request answered, in ms; 0 if not stated.
    #[serde(default)]
    pub target_ms: u64,
    /// Rank under load; 0 is the highest.
    #[serde(default)]
    pub priority: u32,
    /// Times that a request may be sent to instances; 0 if not stated.
    #[serde(default)]
    pub attempts: u32,
}

impl Route {
    /// A closed route to a group, without limits.
    pub fn new(group: name::Name) -> Self {
        Self {
            group,
            database: String::new(),
            customers: collections::BTreeSet::new(),
            open: false,
            age_ms: 0,
            reads: ReadConsistency::default(),
            statement_ms: 0,
            target_ms: 0,
            priority: 0,
            attempts: 0,
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
    /// Time that a transaction may stay idle, in ms; 0 for the daemons' own limit.
    #[serde(default)]
    pub idle_ms: u64,
}

impl Fleet {
    /// Customer that holds the key, with the key's name.
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

    /// Whether the customer still holds the key.
    pub fn holds_key(&self, customer: &str, digest: &key::KeyDigest) -> bool {
        let Some(entry) = self.customers.get(customer) else {
            return false;
        };
        entry.keys.values().any(|held| held.matches(digest))
    }
}
