//! Home regions of routes and customers.
//!
//! A request runs only at an instance in a home region, or in the region of the VM to
//! which its caller is connected. If both the route and the customer have homes, the
//! region must be a home of both. An instance whose region is unknown is in no home.
//!
//! A request that no instance may serve is refused at once. While the leader is unknown,
//! writes wait if it may turn out to be an instance that may serve them. Transactions
//! stay at the instance at which they began.

use std::collections;

use config::{Fleet, Name};
use errors::{Cause, Refusal};

use crate::{admission, daemon, event, journal, sessions, time};

/// Regions of this VM and of the instances.
#[derive(Debug)]
pub struct Regions {
    own: Name,
    instances: collections::BTreeMap<Name, Name>,
    /// Whether any route or customer has homes.
    are_bound: bool,
}

impl Regions {
    /// Creates the regions of a VM that knows no instances.
    pub fn new(own: Name) -> Self {
        Self {
            own,
            instances: collections::BTreeMap::new(),
            are_bound: false,
        }
    }

    /// Applies a configuration; `domain_regions` are the regions of failure domains.
    pub fn configure(&mut self, fleet: &Fleet, domain_regions: &collections::BTreeMap<Name, Name>) {
        let instances = fleet.groups.values().flat_map(|group| &group.instances);
        let known = instances.filter_map(|instance| {
            let region = domain_regions.get(&instance.domain)?;
            Some((instance.name.clone(), region.clone()))
        });
        self.instances = known.collect();
        let mut routes = fleet.routes.values();
        let mut customers = fleet.customers.values();
        self.are_bound = routes.any(|route| !route.homes.is_empty())
            || customers.any(|customer| !customer.homes.is_empty());
    }

    /// Homes that bind the requests of a customer on a route; none if they may run
    /// anywhere.
    pub fn bounds<'a>(
        &'a self,
        fleet: &'a Fleet,
        route: &Name,
        customer: Option<&Name>,
    ) -> Option<Bounds<'a>> {
        if !self.are_bound {
            return None;
        }
        let route = fleet.routes.get(route).map(|route| &route.homes);
        let customer = customer.and_then(|customer| fleet.customers.get(customer));
        let bounds = Bounds {
            regions: self,
            route: route.filter(|homes| !homes.is_empty()),
            customer: customer
                .map(|customer| &customer.homes)
                .filter(|homes| !homes.is_empty()),
        };
        (bounds.route.is_some() || bounds.customer.is_some()).then_some(bounds)
    }
}

/// Homes of a route and of a customer, at least one of which has some.
#[derive(Clone, Copy, Debug)]
pub struct Bounds<'a> {
    regions: &'a Regions,
    route: Option<&'a collections::BTreeSet<Name>>,
    customer: Option<&'a collections::BTreeSet<Name>>,
}

impl Bounds<'_> {
    /// Whether requests may run at the instance.
    pub fn allow(&self, instance: &Name) -> bool {
        let Some(region) = self.regions.instances.get(instance) else {
            return false;
        };
        let is_home = |homes: Option<&collections::BTreeSet<Name>>| {
            homes.is_none_or(|homes| homes.contains(region))
        };
        *region == self.regions.own || (is_home(self.route) && is_home(self.customer))
    }
}

/// Whether the homes, if there are any, allow an instance.
pub(crate) fn allow(bounds: Option<Bounds<'_>>, instance: &Name) -> bool {
    bounds.is_none_or(|bounds| bounds.allow(instance))
}

/// Session of a request, and whether the request needs the leader's write access.
fn access_key(request: &event::Request) -> (event::SessionId, bool) {
    (request.session, request.access == event::Access::Write)
}

/// Refused requests since the last journal entry about them, by route and customer.
#[derive(Debug, Default)]
pub struct Refused {
    counts: collections::BTreeMap<(Name, Option<Name>), u64>,
    reported_at: time::Time,
}

impl daemon::Daemon {
    /// Homes that bind the requests of a session.
    pub(crate) fn homes_of(&self, session: &sessions::Session) -> Option<Bounds<'_>> {
        let fleet = &self.revisions.head().fleet;
        let customer = session.customer.as_ref();
        self.regions.bounds(fleet, &session.route, customer)
    }

    /// Checks whether an instance in an allowed region can serve a request of the
    /// session, now or once the leader is known.
    pub(crate) fn check_homes(
        &self,
        session: &sessions::Session,
        access: event::Access,
    ) -> Result<(), Refusal> {
        let Some(bounds) = self.homes_of(session) else {
            return Ok(());
        };
        // The session has the settings that its last request found.
        let Some(route) = self.fleet().routes.get(&session.route) else {
            return Ok(());
        };
        let Some(state) = self.groups.get(&route.group) else {
            return Ok(());
        };
        let needs_latest = route.reads == config::ReadConsistency::Latest;
        let is_possible = if access == event::Access::Write || needs_latest {
            match state.group.confirmation(self.now) {
                Some(confirmed) => bounds.allow(&confirmed.primary),
                None => {
                    let staying = state.group.instances.iter();
                    let mut staying = staying.filter(|(_, instance)| !instance.is_withdrawn());
                    staying.any(|(name, _)| bounds.allow(name))
                }
            }
        } else {
            // Reads wait for an instance that has no room for the moment.
            let mut usable = self.open_instances(state);
            usable.any(|(name, _)| bounds.allow(name) && !state.group.is_unreachable(name))
        };
        if is_possible {
            Ok(())
        } else {
            let retry = daemon::UNAVAILABLE_RETRY_MS;
            Err(Refusal::new(Cause::OutsideHomes, retry))
        }
    }

    /// Refuses the waiting requests of a group that no instance in an allowed region can
    /// serve any more.
    pub(crate) fn refuse_outside_homes(&mut self, group: &Name) {
        if !self.regions.are_bound {
            return;
        }
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        if state.read_queue.is_empty() && state.write_queue.is_empty() {
            return;
        }
        let mut waiting = collections::BTreeSet::new();
        let mut collect = |item: &admission::WaitingRequest| {
            waiting.insert(access_key(&item.request));
            false
        };
        state.read_queue.extract_if(&mut collect);
        state.write_queue.extract_if(&mut collect);
        let refusal = |(id, is_write): &(event::SessionId, bool)| {
            let access = if *is_write {
                event::Access::Write
            } else {
                event::Access::Read
            };
            self.check_homes(self.sessions.open.get(id)?, access).err()
        };
        let blocked = waiting.iter().filter_map(|key| Some((*key, refusal(key)?)));
        let blocked: collections::BTreeMap<_, _> = blocked.collect();
        let lacks_position = waiting
            .iter()
            .any(|(id, is_write)| !is_write && self.is_leader_outside(*id, group));
        let now = self.now;
        if let Some(state) = self.groups.get_mut(group).filter(|_| lacks_position) {
            // Other reads learn positions from their own answers of the leader.
            state.group.request_position(now);
        }
        if blocked.is_empty() {
            return;
        }
        let mut is_blocked =
            |item: &admission::WaitingRequest| blocked.contains_key(&access_key(&item.request));
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        let mut refused = state.read_queue.extract_if(&mut is_blocked);
        refused.extend(state.write_queue.extract_if(&mut is_blocked));
        for item in refused {
            if let Some(refusal) = blocked.get(&access_key(&item.request)) {
                self.refuse(&item.request, *refusal);
            }
        }
    }

    /// Whether the homes of a session do not allow the leader of a group.
    fn is_leader_outside(&self, id: event::SessionId, group: &Name) -> bool {
        let leader = self.group(group).and_then(|group| group.primary());
        let session = self.sessions.open.get(&id);
        let bounds = session.and_then(|session| self.homes_of(session));
        leader.is_some_and(|leader| !allow(bounds, leader))
    }

    /// Counts a request that was refused because of homes.
    pub(crate) fn count_outside_homes(&mut self, id: event::SessionId) {
        if let Some(session) = self.sessions.open.get(&id) {
            let key = (session.route.clone(), session.customer.clone());
            *self.refused_homes.counts.entry(key).or_default() += 1;
        }
    }

    /// Records the refusals of the past period, with the homes that caused them.
    pub(crate) fn report_outside_homes(&mut self) {
        let since = self.now.since(self.refused_homes.reported_at);
        if self.refused_homes.counts.is_empty() || since < daemon::REFUSAL_REPORT_PERIOD {
            return;
        }
        self.refused_homes.reported_at = self.now;
        let fleet = self.fleet().clone();
        for ((route, customer), count) in std::mem::take(&mut self.refused_homes.counts) {
            let entry = fleet.routes.get(&route);
            let homes = |homes: Option<&collections::BTreeSet<Name>>| {
                homes.into_iter().flatten().cloned().collect()
            };
            let holder = customer.as_ref().and_then(|name| fleet.customers.get(name));
            let decision = journal::Decision::OutsideHomes {
                group: entry.map(|entry| entry.group.clone()),
                route_homes: homes(entry.map(|entry| &entry.homes)),
                customer_homes: homes(holder.map(|holder| &holder.homes)),
                route,
                customer,
                count,
            };
            self.record_decision(decision);
        }
    }
}
