//! Applies a new configuration to groups, budgets and sessions.

use std::time as std_time;

use config::{Fleet, Name};
use errors::{Cause, Refusal};

use crate::{admission, budget, daemon, event, group, handover, journal, promotion, time};

/// Round-trip time within a failure domain.
const SAME_DOMAIN_RTT: std_time::Duration = std_time::Duration::from_micros(200);
/// Round-trip time between failure domains of one region.
const SAME_REGION_RTT: std_time::Duration = std_time::Duration::from_micros(1_800);
/// Round-trip time between regions, as stated by users.
const CROSS_REGION_RTT: std_time::Duration = std_time::Duration::from_millis(40);
/// Divisor of an instance's connections that yields the number kept in reserve.
const RESERVE_DIVISOR: u64 = 5;
/// Divisor of the tolerated overage that yields the part added to a customer's
/// limit; the rest covers requests in flight between two VMs.
const ALLOWANCE_DIVISOR: u32 = 2;

/// Rate and burst of a customer, each raised by half of the overage that users
/// tolerate, so that sharing them among VMs refuses no request within them.
fn customer_limit(rate: config::Rate, burst: u32, limits: &config::Limits) -> budget::RateLimit {
    let per_thousand = rate.per_thousand_seconds();
    let overage_ppm = u64::from(limits.overage_ppm / ALLOWANCE_DIVISOR);
    let overage = u128::from(per_thousand) * u128::from(overage_ppm) / 1_000_000;
    let burst = u64::from(burst) + u64::from(limits.burst_tolerance / ALLOWANCE_DIVISOR);
    budget::RateLimit {
        rate: per_thousand.saturating_add(u64::try_from(overage).unwrap_or(u64::MAX)),
        // Without room for one token, no request could run at any rate.
        burst: burst.max(u64::from(!rate.is_zero())),
    }
}

impl daemon::Daemon {
    /// Applies the configuration in force.
    pub(crate) fn configure(&mut self, source: journal::RevisionSource) {
        let fleet = self.fleet().clone();
        let revision = self.revision();
        self.configure_groups(&fleet);
        self.apply_evacuations(&fleet);
        self.regions.configure(&fleet, &self.setup.domain_regions);
        self.ranks_routes = fleet.ranks_routes();
        let instances = &self.instance_groups;
        self.hold_times
            .retain(&|instance| instances.contains_key(instance));
        self.budgets.set_unlimited(
            fleet
                .customers
                .iter()
                .filter(|(_, customer)| customer.rate.is_none())
                .map(|(name, _)| name.clone()),
        );
        for (name, customer) in &fleet.customers {
            let Some(rate) = customer.rate else {
                continue;
            };
            let limit = customer_limit(rate, customer.burst, &self.setup.limits);
            let resource = budget::Resource::Rate(name.clone());
            self.budgets
                .configure(resource, budget::RATE_UNITS, limit, self.now);
        }
        self.configure_warmup(&fleet);
        self.budgets.remove_if(&|resource| match resource {
            budget::Resource::Rate(customer) => {
                let customer = fleet.customers.get(customer);
                customer.is_none_or(|customer| customer.rate.is_none())
            }
            budget::Resource::Connections(instance) => !self.instance_groups.contains_key(instance),
            budget::Resource::Warmup(instance) => !self.warmup.has_limit(instance),
        });
        self.resize_pools();
        self.end_forbidden_sessions();
        if self.store_watch.mark_announced(revision) {
            self.record_decision(journal::Decision::Revision { revision, source });
        }
        self.actions
            .push(event::Action::ApplyConfiguration(fleet, revision));
    }

    pub(crate) fn configure_groups(&mut self, fleet: &Fleet) {
        let timing = &self.setup.timing;
        let (queue_limit, build) = (self.setup.limits.queue_length, self.admission.build);
        self.instance_groups.clear();
        for (name, config) in &fleet.groups {
            for instance in &config.instances {
                self.instance_groups
                    .insert(instance.name.clone(), name.clone());
                let resource = budget::Resource::Connections(instance.name.clone());
                let limit = budget::RateLimit { rate: 0, burst: 0 };
                let total = self.shared_connections(instance);
                self.budgets.configure(resource, total, limit, self.now);
            }
            let distances = self.instance_distances(config);
            if let Some(state) = self.groups.get_mut(name) {
                state.group.configure(config, self.now);
                state.group.set_min_rtts(&distances);
                continue;
            }
            let (lease, poll) = (timing.lease, timing.poll_period);
            let mut group =
                group::Group::new(name.clone(), config, lease, poll, self.arbiter, self.now);
            group.set_min_rtts(&distances);
            let state = daemon::GroupState {
                group,
                promotion: promotion::Promotion::default(),
                handover: handover::Handover::default(),
                primary: None,
                replica_change: None,
                replicas_checked: time::Time::default(),
                read_queue: build(queue_limit),
                write_queue: build(queue_limit),
            };
            self.groups.insert(name.clone(), state);
        }
        self.remove_groups(fleet);
    }

    /// Number of connections to an instance that the VMs share. Connections of
    /// VMs that lost power stay open at the instance for seconds. Where VMs do
    /// not poll over dedicated connections, some connections are kept in reserve
    /// for that case.
    fn shared_connections(&self, instance: &config::Instance) -> u64 {
        let total = u64::from(instance.connections);
        match self.arbiter {
            group::Arbiter::Instances => total,
            group::Arbiter::Store => total - total / RESERVE_DIVISOR,
        }
    }

    /// Minimum round-trip time to each instance whose region is known.
    fn instance_distances(&self, config: &config::Group) -> Vec<(Name, std_time::Duration)> {
        let distances = config.instances.iter().filter_map(|instance| {
            let region = self.setup.domain_regions.get(&instance.domain)?;
            let distance = if instance.domain == self.setup.domain {
                SAME_DOMAIN_RTT
            } else if *region == self.setup.region {
                SAME_REGION_RTT
            } else {
                CROSS_REGION_RTT
            };
            Some((instance.name.clone(), distance))
        });
        distances.collect()
    }

    pub(crate) fn remove_groups(&mut self, fleet: &Fleet) {
        let removed: Vec<_> = self
            .groups
            .keys()
            .filter(|name| !fleet.groups.contains_key(*name))
            .cloned()
            .collect();
        for name in removed {
            let Some(mut state) = self.groups.remove(&name) else {
                continue;
            };
            let mut items = state.read_queue.extract_if(&mut |_| true);
            items.extend(state.write_queue.extract_if(&mut |_| true));
            for item in items {
                let refusal = Refusal::new(Cause::RouteUnknown, 0);
                self.refuse(&item.request, refusal);
            }
            self.settle_commits(&name);
        }
    }

    /// Tells the driver how many connections to each instance it may hold.
    pub(crate) fn resize_pools(&mut self) {
        let instances: Vec<_> = self.instance_groups.keys().cloned().collect();
        for instance in instances {
            self.resize_pool(&budget::Resource::Connections(instance));
        }
    }

    pub(crate) fn resize_pool(&mut self, resource: &budget::Resource) {
        if let budget::Resource::Connections(instance) = resource {
            let limits = self.budgets.connection_limits(instance);
            let busy = self.busy_connections.get(instance).copied().unwrap_or(0);
            self.idle_connections.resize(instance, busy, limits);
            let action = event::Action::ResizePool(instance.clone(), limits);
            self.actions.push(action);
        }
    }

    /// Ends the sessions that the configuration no longer permits.
    pub(crate) fn end_forbidden_sessions(&mut self) {
        let mut ended = Vec::new();
        for (id, session) in &self.sessions.open {
            if let Err(refusal) = self.check_session(session) {
                ended.push((*id, refusal));
            }
        }
        ended.sort_unstable_by_key(|(id, _)| *id);
        for (id, refusal) in ended {
            // Waiting requests are refused before the session is removed, so that
            // their callers learn why the requests did not run.
            self.refuse_session_requests(id, refusal);
            self.sessions.open.remove(&id);
            self.actions.push(event::Action::EndSession(id, refusal));
        }
    }

    /// Refuses the waiting requests of a session.
    fn refuse_session_requests(&mut self, id: event::SessionId, refusal: Refusal) {
        let mut is_own = |item: &admission::WaitingRequest| item.request.session == id;
        let mut waiting = Vec::new();
        for state in self.groups.values_mut() {
            waiting.extend(state.read_queue.extract_if(&mut is_own));
            waiting.extend(state.write_queue.extract_if(&mut is_own));
        }
        for queue in self.rate_queues.values_mut() {
            waiting.extend(queue.extract_if(&mut is_own));
        }
        for item in waiting {
            self.refuse(&item.request, refusal);
        }
    }
}
