//! Release notes: what is added, changed and withdrawn.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::{failure, fleet, name};

/// One entry that a note adds or changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A customer with its limits and keys.
    Customer(name::Name, fleet::Customer),
    /// A group with its instances.
    Group(name::Name, fleet::Group),
    /// A route.
    Route(name::Name, fleet::Route),
}

/// One entry that a note withdraws.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Withdrawal {
    /// A customer with all of its keys.
    Customer(name::Name),
    /// One key of a customer.
    Key(name::Name, name::Name),
    /// A group.
    Group(name::Name),
    /// A route.
    Route(name::Name),
    /// An instance of a group: it gets no new transaction.
    Instance(name::Name),
}

/// One change, with the line it stands on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// The entry must not exist.
    Add(Entry, u64),
    /// The entry must exist.
    Replace(Entry, u64),
    /// The entry must exist and be unused.
    Withdraw(Withdrawal, u64),
}

/// A checked release note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Note {
    /// Identity: a note is applied once.
    pub id: name::Name,
    /// Changes in order.
    pub changes: Vec<Change>,
}

/// A change that does not fit the fleet, with its line.
pub type ApplyError = (u64, failure::Problem);

impl Note {
    /// Fleet after the note; the fleet given stays as it is.
    pub fn apply(&self, fleet: &fleet::Fleet) -> Result<fleet::Fleet, ApplyError> {
        let mut next = fleet.clone();
        for change in &self.changes {
            match change {
                Change::Add(entry, line) => add(&mut next, entry).map_err(|p| (*line, p))?,
                Change::Replace(entry, line) => {
                    replace(&mut next, entry).map_err(|p| (*line, p))?;
                }
                Change::Withdraw(what, line) => {
                    withdraw(&mut next, what).map_err(|p| (*line, p))?;
                }
            }
        }
        check(&next).map_err(|problem| (0, problem))?;
        Ok(next)
    }
}

fn insert<T: Clone>(
    kind: &'static str,
    map: &mut collections::BTreeMap<name::Name, T>,
    name: &name::Name,
    value: &T,
    present: bool,
) -> Result<(), failure::Problem> {
    match (map.contains_key(name), present) {
        (true, false) => return Err(failure::Problem::AlreadyExists(kind, name.to_string())),
        (false, true) => return Err(failure::Problem::NotFound(kind, name.to_string())),
        _ => {}
    }
    map.insert(name.clone(), value.clone());
    Ok(())
}

fn put(fleet: &mut fleet::Fleet, entry: &Entry, present: bool) -> Result<(), failure::Problem> {
    match entry {
        Entry::Customer(name, value) => {
            insert("customer", &mut fleet.customers, name, value, present)
        }
        Entry::Group(name, value) => insert("group", &mut fleet.groups, name, value, present),
        Entry::Route(name, value) => insert("route", &mut fleet.routes, name, value, present),
    }
}

fn add(fleet: &mut fleet::Fleet, entry: &Entry) -> Result<(), failure::Problem> {
    put(fleet, entry, false)
}

fn replace(fleet: &mut fleet::Fleet, entry: &Entry) -> Result<(), failure::Problem> {
    put(fleet, entry, true)
}

fn remove<T>(
    kind: &'static str,
    map: &mut collections::BTreeMap<name::Name, T>,
    name: &name::Name,
) -> Result<(), failure::Problem> {
    let gone = map.remove(name);
    gone.map(|_| ())
        .ok_or_else(|| failure::Problem::NotFound(kind, name.to_string()))
}

fn withdraw(fleet: &mut fleet::Fleet, what: &Withdrawal) -> Result<(), failure::Problem> {
    match what {
        Withdrawal::Customer(name) => {
            for route in fleet.routes.values_mut() {
                route.customers.remove(name);
            }
            remove("customer", &mut fleet.customers, name)
        }
        Withdrawal::Key(customer, key) => {
            let entry = fleet.customers.get_mut(customer);
            let entry = entry
                .ok_or_else(|| failure::Problem::NotFound("customer", customer.to_string()))?;
            remove("key", &mut entry.keys, key)
        }
        Withdrawal::Group(name) => remove("group", &mut fleet.groups, name),
        Withdrawal::Route(name) => remove("route", &mut fleet.routes, name),
        Withdrawal::Instance(name) => {
            let mut all = fleet.groups.values_mut().flat_map(|g| &mut g.instances);
            let found = all.find(|instance| instance.name == *name);
            found
                .map(|instance| instance.leaving = true)
                .ok_or_else(|| failure::Problem::NotFound("instance", name.to_string()))
        }
    }
}

/// Checks references and uniqueness over the whole fleet.
fn check(fleet: &fleet::Fleet) -> Result<(), failure::Problem> {
    let mut instances = collections::BTreeSet::new();
    for instance in fleet.groups.values().flat_map(|group| &group.instances) {
        if !instances.insert(&instance.name) {
            return Err(failure::Problem::Duplicate(
                "instance",
                instance.name.to_string(),
            ));
        }
    }
    let mut digests = collections::BTreeSet::new();
    for (name, digest) in fleet.customers.values().flat_map(|c| &c.keys) {
        if !digests.insert(digest) {
            return Err(failure::Problem::Duplicate("key digest", name.to_string()));
        }
    }
    for (name, route) in &fleet.routes {
        if !fleet.groups.contains_key(&route.group) {
            let group = route.group.to_string();
            return Err(failure::Problem::NotFound("group", group));
        }
        if route.open && !route.customers.is_empty() {
            return Err(failure::Problem::RouteAccess(name.to_string()));
        }
        for customer in &route.customers {
            if !fleet.customers.contains_key(customer) {
                let customer = customer.to_string();
                return Err(failure::Problem::NotFound("customer", customer));
            }
        }
    }
    Ok(())
}
