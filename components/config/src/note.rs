//! Release notes, which add, change and withdraw entries of the configuration.

use std::collections;

use serde::{Deserialize, Serialize};

use crate::{failure, fleet, name};

/// An entry that a note adds or changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A customer with its limits and keys.
    Customer(name::Name, fleet::Customer),
    /// A group with its instances.
    Group(name::Name, fleet::Group),
    /// A route.
    Route(name::Name, fleet::Route),
    /// The evacuation of a failure domain.
    Evacuation(name::Name),
}

/// An entry that a note withdraws.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Withdrawal {
    /// A customer with all its keys.
    Customer(name::Name),
    /// A key of a customer, as the names of the customer and of the key.
    Key(name::Name, name::Name),
    /// A group.
    Group(name::Name),
    /// A route.
    Route(name::Name),
    /// An instance; it stays in its group and gets no new transaction.
    Instance(name::Name),
    /// The evacuation of a failure domain; its instances get requests again.
    Evacuation(name::Name),
}

/// A change, with its line in the note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Adds an entry that must not exist yet.
    Add(Entry, u64),
    /// Replaces an entry that must exist.
    Replace(Entry, u64),
    /// Withdraws an entry that must exist; a group must not be used by any route.
    Withdraw(Withdrawal, u64),
}

/// A validated release note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Note {
    /// Identity of the note; a note is applied only once.
    pub id: name::Name,
    /// Changes in order.
    pub changes: Vec<Change>,
}

/// Why a note cannot be applied to a fleet, with the line of the change; line 0 if the
/// resulting fleet as a whole is invalid.
pub type ApplyError = (u64, failure::Problem);

impl Note {
    /// Returns the fleet with the note applied.
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
        validate(&next).map_err(|problem| (0, problem))?;
        Ok(next)
    }
}

fn insert<T: Clone>(
    kind: &'static str,
    map: &mut collections::BTreeMap<name::Name, T>,
    name: &name::Name,
    value: &T,
    must_exist: bool,
) -> Result<(), failure::Problem> {
    match (map.contains_key(name), must_exist) {
        (true, false) => return Err(failure::Problem::AlreadyExists(kind, name.to_string())),
        (false, true) => return Err(failure::Problem::NotFound(kind, name.to_string())),
        _ => {}
    }
    map.insert(name.clone(), value.clone());
    Ok(())
}

fn insert_entry(
    fleet: &mut fleet::Fleet,
    entry: &Entry,
    must_exist: bool,
) -> Result<(), failure::Problem> {
    match entry {
        Entry::Customer(name, value) => {
            insert("customer", &mut fleet.customers, name, value, must_exist)
        }
        Entry::Group(name, value) => insert("group", &mut fleet.groups, name, value, must_exist),
        Entry::Route(name, value) => insert("route", &mut fleet.routes, name, value, must_exist),
        Entry::Evacuation(domain) => evacuate(fleet, domain, must_exist),
    }
}

fn evacuate(
    fleet: &mut fleet::Fleet,
    domain: &name::Name,
    must_exist: bool,
) -> Result<(), failure::Problem> {
    let mut instances = fleet.groups.values().flat_map(|group| &group.instances);
    if !instances.any(|instance| instance.domain == *domain) {
        return Err(failure::Problem::UnknownDomain(domain.to_string()));
    }
    let is_new = fleet.evacuated.insert(domain.clone());
    match (is_new, must_exist) {
        (false, false) => Err(failure::Problem::AlreadyExists(
            "evacuation",
            domain.to_string(),
        )),
        (true, true) => Err(failure::Problem::NotFound("evacuation", domain.to_string())),
        _ => Ok(()),
    }
}

fn add(fleet: &mut fleet::Fleet, entry: &Entry) -> Result<(), failure::Problem> {
    insert_entry(fleet, entry, false)
}

fn replace(fleet: &mut fleet::Fleet, entry: &Entry) -> Result<(), failure::Problem> {
    insert_entry(fleet, entry, true)
}

fn remove<T>(
    kind: &'static str,
    map: &mut collections::BTreeMap<name::Name, T>,
    name: &name::Name,
) -> Result<(), failure::Problem> {
    let removed = map.remove(name);
    removed
        .map(|_| ())
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
        Withdrawal::Evacuation(domain) => {
            let found = fleet.evacuated.remove(domain);
            found
                .then_some(())
                .ok_or_else(|| failure::Problem::NotFound("evacuation", domain.to_string()))
        }
    }
}

/// Checks references and the uniqueness of names and keys in the whole fleet.
fn validate(fleet: &fleet::Fleet) -> Result<(), failure::Problem> {
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
