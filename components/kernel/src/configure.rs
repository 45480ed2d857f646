//! What follows from a new configuration.

use std::{collections, time as std_time};

use config::{Fleet, Name};
use errors::{Cause, Refusal};

use crate::{admission, budget, daemon, event, group, handover, journal, promotion};

/// Round-trip time within a failure domain.
const NEAR_RTT: std_time::Duration = std_time::Duration::from_micros(200);
/// Round-trip time between failure domains of one region.
const REGION_RTT: std_time::Duration = std_time::Duration::from_micros(1_800);
/// Round-trip time between regions, as the users state it.
const FAR_RTT: std_time::Duration = std_time::Duration::from_millis(40);
/// Part of an instance's connections that is not shared out.
const RESERVE_PARTS: u64 = 5;
/// Part of what the users tolerate beyond a limit that is given away: the rest
/// covers requests on their way between two VMs.
const ALLOWANCE_PARTS: u32 = 2;

/// Rate and burst of a customer, with half of what the users tolerate beyond
/// them, so that their division over VMs refuses no request within them.
fn allowed(customer: &config::Customer, limits: &config::Limits) -> budget::Limit {
    let over = customer.rate * limits.overage / 100 / ALLOWANCE_PARTS;
    budget::Limit {
        rate: u64::from(customer.rate + over),
        burst: u64::from(customer.burst + limits.tolerance / ALLOWANCE_PARTS),
    }
}

impl daemon::Daemon {
    /// Brings everything in line with the configuration in force.
    pub(crate) fn configure(&mut self, source: journal::Origin) {
        let fleet = self.fleet().clone();
        let revision = self.revision();
        self.configure_groups(&fleet);
        for (name, customer) in &fleet.customers {
            let limit = allowed(customer, &self.setup.limits);
            let scarce = budget::Scarce::Rate(name.clone());
            self.budgets
                .configure(scarce, budget::RATE_UNITS, limit, self.now);
        }
        self.budgets.forget(&|scarce| match scarce {
            budget::Scarce::Rate(customer) => !fleet.customers.contains_key(customer),
            budget::Scarce::Connections(instance) => !self.owner.contains_key(instance),
        });
        self.resize();
        self.end_forbidden();
        if self.watching.mark_announced(revision) {
            self.record(journal::Decision::Revision { revision, source });
        }
        self.out.push(event::Action::Configured(fleet, revision));
    }

    pub(crate) fn configure_groups(&mut self, fleet: &Fleet) {
        let timing = &self.setup.timing;
        let (bound, build) = (self.setup.limits.queue, self.admission.build);
        self.owner.clear();
        for (name, config) in &fleet.groups {
            for instance in &config.instances {
                self.owner.insert(instance.name.clone(), name.clone());
                let scarce = budget::Scarce::Connections(instance.name.clone());
                let limit = budget::Limit { rate: 0, burst: 0 };
                let total = self.shared_connections(instance);
                self.budgets.configure(scarce, total, limit, self.now);
            }
            let distances = self.distances(config);
            if let Some(pool) = self.pools.get_mut(name) {
                pool.group.configure(config, self.now);
                pool.group.place(&distances);
                continue;
            }
            let (lease, poll) = (timing.lease, timing.poll);
            let mut group =
                group::Group::new(name.clone(), config, lease, poll, self.arbiter, self.now);
            group.place(&distances);
            let pool = daemon::Pool {
                group,
                promotion: promotion::Promotion::default(),
                handover: handover::Handover::default(),
                primary: None,
                reads: build(bound),
                writes: build(bound),
            };
            self.pools.insert(name.clone(), pool);
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
            group::Arbiter::Store => all - all / RESERVE_PARTS,
        }
    }

    /// Least round-trip time to each instance, where the regions are known.
    fn distances(&self, config: &config::Group) -> Vec<(Name, std_time::Duration)> {
        let known = config.instances.iter().filter_map(|instance| {
            let region = self.setup.domains.get(&instance.domain)?;
            let distance = if instance.domain == self.setup.domain {
                NEAR_RTT
            } else if *region == self.setup.region {
                REGION_RTT
            } else {
                FAR_RTT
            };
            Some((instance.name.clone(), distance))
        });
        known.collect()
    }

    pub(crate) fn remove_groups(&mut self, fleet: &Fleet) {
        let gone: Vec<_> = self
            .pools
            .keys()
            .filter(|name| !fleet.groups.contains_key(*name))
            .cloned()
            .collect();
        for name in gone {
            let Some(mut pool) = self.pools.remove(&name) else {
                continue;
            };
            let mut items = pool.reads.drain(&mut |_| true);
            items.extend(pool.writes.drain(&mut |_| true));
            for item in items {
                let refusal = Refusal::new(Cause::RouteUnknown, 0);
                self.refuse(&item.request, refusal);
            }
        }
    }

    /// Tells the driver how many connections it may hold.
    pub(crate) fn resize(&mut self) {
        let instances: Vec<_> = self.owner.keys().cloned().collect();
        for instance in instances {
            self.resize_one(&budget::Scarce::Connections(instance));
        }
    }

    pub(crate) fn resize_one(&mut self, scarce: &budget::Scarce) {
        if let budget::Scarce::Connections(instance) = scarce {
            let room = self.budgets.room(instance);
            let busy = self.busy.get(instance).copied().unwrap_or(0);
            self.warm.resize(instance, busy, room);
            let action = event::Action::Resize(instance.clone(), room);
            self.out.push(action);
        }
    }

    /// Ends the sessions that the configuration no longer allows.
    pub(crate) fn end_forbidden(&mut self) {
        let mut ended = Vec::new();
        for (id, session) in &self.sessions.open {
            if let Err(refusal) = self.permit(session) {
                ended.push((*id, refusal));
            }
        }
        ended.sort_unstable_by_key(|(id, _)| *id);
        for (id, refusal) in ended {
            // Before the session goes: what waits is told why it has not run.
            self.refuse_waiting(id, refusal);
            self.sessions.open.remove(&id);
            self.out.push(event::Action::End(id, refusal));
        }
    }

    /// Refuses the requests of a session that still wait.
    fn refuse_waiting(&mut self, id: event::SessionId, refusal: Refusal) {
        let mut own = |item: &admission::Waiting| item.request.session == id;
        let mut waiting = Vec::new();
        for pool in self.pools.values_mut() {
            waiting.extend(pool.reads.drain(&mut own));
            waiting.extend(pool.writes.drain(&mut own));
        }
        for lane in self.lanes.values_mut() {
            let (gone, kept) = lane.drain(..).partition(own);
            *lane = kept;
            waiting.extend::<collections::VecDeque<_>>(gone);
        }
        for item in waiting {
            self.refuse(&item.request, refusal);
        }
    }
}
