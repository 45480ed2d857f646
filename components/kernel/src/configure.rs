//! What follows from a new configuration.

use std::{collections, time as std_time};

use config::{Fleet, Name};
use errors::{Cause, Refusal};

use crate::{admission, budget, daemon, event, group, handover, journal, promotion};

/// Round-trip time within a failure domain.
const SAME_DOMAIN_RTT: std_time::Duration = std_time::Duration::from_micros(200);
/// Round-trip time between failure domains of one region.
const SAME_REGION_RTT: std_time::Duration = std_time::Duration::from_micros(1_800);
/// Round-trip time between regions, as the users state it.
const CROSS_REGION_RTT: std_time::Duration = std_time::Duration::from_millis(40);
/// Part of an instance's connections that is not shared out.
const RESERVE_DIVISOR: u64 = 5;
/// Part of what the users tolerate beyond a limit that is given away: the rest
/// covers requests on their way between two VMs.
const ALLOWANCE_DIVISOR: u32 = 2;

/// Rate and burst of a customer, with half of what the users tolerate beyond
/// them, so that their division over VMs refuses no request within them.
fn allowed(customer: &config::Customer, limits: &config::Limits) -> budget::RateLimit {
    let over = customer.rate * limits.overage / 100 / ALLOWANCE_DIVISOR;
    budget::RateLimit {
        rate: u64::from(customer.rate + over),
        burst: u64::from(customer.burst + limits.tolerance / ALLOWANCE_DIVISOR),
    }
}

impl daemon::Daemon {
    /// Brings everything in line with the configuration in force.
    pub(crate) fn configure(&mut self, source: journal::RevisionSource) {
        let fleet = self.fleet().clone();
        let revision = self.revision();
        self.configure_groups(&fleet);
        for (name, customer) in &fleet.customers {
            let limit = allowed(customer, &self.setup.limits);
            let scarce = budget::Resource::Rate(name.clone());
            self.budgets
                .configure(scarce, budget::RATE_UNITS, limit, self.now);
        }
        self.budgets.remove_if(&|scarce| match scarce {
            budget::Resource::Rate(customer) => !fleet.customers.contains_key(customer),
            budget::Resource::Connections(instance) => !self.instance_groups.contains_key(instance),
        });
        self.resize_pools();
        self.end_forbidden_sessions();
        if self.watching.announce(revision) {
            self.record_decision(journal::Decision::Revision { revision, source });
        }
        self.actions
            .push(event::Action::ApplyConfiguration(fleet, revision));
    }

    pub(crate) fn configure_groups(&mut self, fleet: &Fleet) {
        let timing = &self.setup.timing;
        let (bound, build) = (self.setup.limits.queue, self.admission.build);
        self.instance_groups.clear();
        for (name, config) in &fleet.groups {
            for instance in &config.instances {
                self.instance_groups
                    .insert(instance.name.clone(), name.clone());
                let scarce = budget::Resource::Connections(instance.name.clone());
                let limit = budget::RateLimit { rate: 0, burst: 0 };
                let total = self.shared_connections(instance);
                self.budgets.configure(scarce, total, limit, self.now);
            }
            let distances = self.instance_distances(config);
            if let Some(state) = self.groups.get_mut(name) {
                state.group.configure(config, self.now);
                state.group.set_min_rtts(&distances);
                continue;
            }
            let (lease, poll) = (timing.lease, timing.poll);
            let mut group =
                group::Group::new(name.clone(), config, lease, poll, self.arbiter, self.now);
            group.set_min_rtts(&distances);
            let state = daemon::GroupState {
                group,
                promotion: promotion::Promotion::default(),
                handover: handover::Handover::default(),
                primary: None,
                read_queue: build(bound),
                write_queue: build(bound),
            };
            self.groups.insert(name.clone(), state);
        }
        self.remove_groups(fleet);
    }

    /// Connections of an instance that the VMs share. Those of VMs that have
    /// lost power stand for seconds, so where VMs do not poll over connections
    /// of their own, a part stays free for the time after that.
    fn shared_connections(&self, instance: &config::Instance) -> u64 {
        let all = u64::from(instance.connections);
        match self.arbiter {
            group::Arbiter::Instances => all,
            group::Arbiter::Store => all - all / RESERVE_DIVISOR,
        }
    }

    /// Least round-trip time to each instance, where the regions are known.
    fn instance_distances(&self, config: &config::Group) -> Vec<(Name, std_time::Duration)> {
        let known = config.instances.iter().filter_map(|instance| {
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
        known.collect()
    }

    pub(crate) fn remove_groups(&mut self, fleet: &Fleet) {
        let gone: Vec<_> = self
            .groups
            .keys()
            .filter(|name| !fleet.groups.contains_key(*name))
            .cloned()
            .collect();
        for name in gone {
            let Some(mut state) = self.groups.remove(&name) else {
                continue;
            };
            let mut items = state.read_queue.extract_if(&mut |_| true);
            items.extend(state.write_queue.extract_if(&mut |_| true));
            for item in items {
                let refusal = Refusal::new(Cause::RouteUnknown, 0);
                self.refuse(&item.request, refusal);
            }
        }
    }

    /// Tells the driver how many connections it may hold.
    pub(crate) fn resize_pools(&mut self) {
        let instances: Vec<_> = self.instance_groups.keys().cloned().collect();
        for instance in instances {
            self.resize_pool(&budget::Resource::Connections(instance));
        }
    }

    pub(crate) fn resize_pool(&mut self, scarce: &budget::Resource) {
        if let budget::Resource::Connections(instance) = scarce {
            let room = self.budgets.connection_limits(instance);
            let busy = self.busy_connections.get(instance).copied().unwrap_or(0);
            self.idle_connections.resize(instance, busy, room);
            let action = event::Action::ResizePool(instance.clone(), room);
            self.actions.push(action);
        }
    }

    /// Ends the sessions that the configuration no longer allows.
    pub(crate) fn end_forbidden_sessions(&mut self) {
        let mut ended = Vec::new();
        for (id, session) in &self.sessions.open {
            if let Err(refusal) = self.check_session(session) {
                ended.push((*id, refusal));
            }
        }
        ended.sort_unstable_by_key(|(id, _)| *id);
        for (id, refusal) in ended {
            // Before the session goes: what waits is told why it has not run.
            self.refuse_session_requests(id, refusal);
            self.sessions.open.remove(&id);
            self.actions.push(event::Action::EndSession(id, refusal));
        }
    }

    /// Refuses the requests of a session that still wait.
    fn refuse_session_requests(&mut self, id: event::SessionId, refusal: Refusal) {
        let mut own = |item: &admission::WaitingRequest| item.request.session == id;
        let mut waiting = Vec::new();
        for state in self.groups.values_mut() {
            waiting.extend(state.read_queue.extract_if(&mut own));
            waiting.extend(state.write_queue.extract_if(&mut own));
        }
        for lane in self.rate_queues.values_mut() {
            let (gone, kept) = lane.drain(..).partition(own);
            *lane = kept;
            waiting.extend::<collections::VecDeque<_>>(gone);
        }
        for item in waiting {
            self.refuse(&item.request, refusal);
        }
    }
}
