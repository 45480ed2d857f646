//! Evacuation of failure domains on the operators' request.
//!
//! An instance in an evacuated failure domain gets no new requests. A leader is the
//! exception for a short time, in which it is replaced as if it were leaving. Open
//! transactions may run statements for longer, and connections that are still in use after
//! that are broken. All periods count from the time at which this VM learned of the
//! evacuation, and are parts of the time that the users allow.

use std::{collections, time as std_time};

use config::{Fleet, Name};
use errors::{Cause, Refusal};

use crate::{daemon, event, group, journal, time};

/// Divisor of the time for open transactions that yields the time in which a leader gets
/// new requests.
const LEADER_DIVISOR: u32 = 2;
/// Divisor of the time for open transactions that yields the further time in which answers
/// to their last statements arrive.
const ANSWER_DIVISOR: u32 = 3;
/// Retry hint in a refusal because of an evacuation, in ms; by then the VMs have tried
/// again to replace the leader.
const EVACUATED_RETRY_MS: u32 = 1_000;
/// Age of the newest position of a closed leader from which it is polled, so that reads on
/// replicas can go on.
const POSITION_AGE: std_time::Duration = std_time::Duration::from_millis(500);

/// Times that limit the use of the instances in an evacuated failure domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// When this VM learned of the evacuation; instances that do not lead get no new
    /// requests from then on.
    pub since: time::Time,
    /// When a leader gets no new requests any more.
    pub closed_at: time::Time,
    /// When open transactions may run no further statements.
    pub ends_at: time::Time,
    /// When connections that are still in use are broken.
    pub broken_at: time::Time,
}

impl Limits {
    fn new(since: time::Time, timeout: std_time::Duration) -> Self {
        Self {
            since,
            closed_at: since + timeout / LEADER_DIVISOR,
            ends_at: since + timeout,
            broken_at: since + timeout + timeout / ANSWER_DIVISOR,
        }
    }
}

/// Start or end of an evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The failure domain is evacuated.
    Began(Name),
    /// The failure domain was taken back, this long after the evacuation was known.
    Ended(Name, std_time::Duration),
}

/// What has to be done because a time limit has passed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Due {
    /// Open transactions in the failure domain run no further statements.
    End(Name),
    /// Connections to the instances of the failure domain are broken.
    Break(Name),
}

/// Effects of evacuations so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that held a connection when the time for open transactions was over.
    pub ended: u64,
    /// Waiting requests that were refused.
    pub refused: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    limits: Limits,
    has_ended: bool,
    is_broken: bool,
}

/// Evacuated failure domains as this VM knows them.
#[derive(Debug, Default)]
pub struct State {
    is_configured: bool,
    domains: collections::BTreeMap<Name, Entry>,
    returned: collections::BTreeMap<Name, time::Time>,
    counts: Counts,
}

impl State {
    /// Applies the evacuations in force. A VM that starts into an evacuation has no open
    /// transactions, so all its periods are over at once.
    pub fn update(
        &mut self,
        evacuated: &collections::BTreeSet<Name>,
        timeout: std_time::Duration,
        now: time::Time,
    ) -> Vec<Change> {
        let timeout = if self.is_configured {
            timeout
        } else {
            std_time::Duration::ZERO
        };
        self.is_configured = true;
        let mut changes = Vec::new();
        let is_over = |domain: &Name, _: &mut Entry| !evacuated.contains(domain);
        for (domain, entry) in self.domains.extract_if(.., is_over) {
            self.returned.insert(domain.clone(), now);
            changes.push(Change::Ended(domain, now.since(entry.limits.since)));
        }
        for domain in evacuated {
            if self.domains.contains_key(domain) {
                continue;
            }
            let entry = Entry {
                limits: Limits::new(now, timeout),
                has_ended: false,
                is_broken: false,
            };
            self.domains.insert(domain.clone(), entry);
            self.returned.remove(domain);
            changes.push(Change::Began(domain.clone()));
        }
        changes
    }

    /// Returns what has become due, once.
    pub fn take_due(&mut self, now: time::Time) -> Vec<Due> {
        let mut due = Vec::new();
        for (domain, entry) in &mut self.domains {
            if now >= entry.limits.ends_at && !entry.has_ended {
                entry.has_ended = true;
                due.push(Due::End(domain.clone()));
            }
            if now >= entry.limits.broken_at && !entry.is_broken {
                entry.is_broken = true;
                due.push(Due::Break(domain.clone()));
            }
        }
        due
    }

    /// Limits on the use of the instances in a failure domain; none if it is not evacuated.
    pub fn limits(&self, domain: &Name) -> Option<Limits> {
        self.domains.get(domain).map(|entry| entry.limits)
    }

    /// When this VM learned that a failure domain was taken back; none if it was not, or
    /// is evacuated again.
    pub fn returned_at(&self, domain: &Name) -> Option<time::Time> {
        self.returned.get(domain).copied()
    }

    /// Number of evacuated failure domains.
    pub fn len(&self) -> usize {
        self.domains.len()
    }

    /// Whether no failure domain is evacuated.
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Effects of evacuations so far.
    pub fn counts(&self) -> Counts {
        self.counts
    }
}

impl group::InstanceState {
    /// Whether the instance is leaving or in an evacuated failure domain, so that another
    /// one should lead.
    pub fn is_withdrawn(&self) -> bool {
        self.leaving || self.evacuation.is_some()
    }

    /// Whether the evacuation of its failure domain closes the instance to new requests.
    pub fn is_evacuated(&self, is_leader: bool, now: time::Time) -> bool {
        self.evacuation
            .is_some_and(|limits| !is_leader || now >= limits.closed_at)
    }
}

impl daemon::Daemon {
    /// Evacuated failure domains.
    pub fn evacuations(&self) -> &State {
        &self.evacuations
    }

    /// Whether an open transaction may run another statement at the instance.
    pub fn may_continue(&self, instance: &Name, now: time::Time) -> bool {
        let group = self.instance_group(instance);
        let state = group.and_then(|group| self.groups.get(&group));
        let instance = state.and_then(|state| state.group.instances.get(instance));
        match instance {
            Some(instance) => instance
                .evacuation
                .is_none_or(|limits| now < limits.ends_at),
            // The failure domain of an instance that is not registered is unknown.
            None => self.evacuations.is_empty(),
        }
    }

    /// Applies the evacuations of a configuration to the instances.
    pub(crate) fn apply_evacuations(&mut self, fleet: &Fleet) {
        let timeout = self.setup.timing.evacuation_timeout;
        let changes = self.evacuations.update(&fleet.evacuated, timeout, self.now);
        for (name, config) in &fleet.groups {
            let Some(state) = self.groups.get_mut(name) else {
                continue;
            };
            for instance in &config.instances {
                if let Some(known) = state.group.instances.get_mut(&instance.name) {
                    known.evacuation = self.evacuations.limits(&instance.domain);
                }
            }
        }
        for change in changes {
            match change {
                Change::Began(domain) => {
                    let instances = domain_instances(fleet, &domain);
                    self.record_decision(journal::Decision::Evacuation {
                        domain,
                        instances: instances.len(),
                    });
                    for instance in instances {
                        self.idle_connections.clear(&instance);
                        self.actions
                            .push(event::Action::CloseIdleConnections(instance));
                    }
                }
                Change::Ended(domain, span) => {
                    for instance in domain_instances(fleet, &domain) {
                        self.warmup.start(&instance, self.now);
                    }
                    let evacuated_ms = time::micros(span) / 1000;
                    self.record_decision(journal::Decision::TakenBack {
                        domain,
                        evacuated_ms,
                    });
                }
            }
        }
    }

    /// Ends what is still open in evacuated failure domains once its time is over.
    pub(crate) fn end_evacuated(&mut self) {
        for due in self.evacuations.take_due(self.now) {
            let fleet = self.fleet().clone();
            match due {
                Due::End(domain) => {
                    let instances = domain_instances(&fleet, &domain);
                    let granted = self.sessions.granted.values();
                    let open = granted.filter(|granted| instances.contains(&granted.instance));
                    let open = u64::try_from(open.count()).unwrap_or(u64::MAX);
                    self.evacuations.counts.ended += open;
                    let decision = journal::Decision::EvacuationDue { domain, open };
                    self.record_decision(decision);
                }
                Due::Break(domain) => {
                    for instance in domain_instances(&fleet, &domain) {
                        self.idle_connections.clear(&instance);
                        self.actions.push(event::Action::BreakConnections(instance));
                    }
                }
            }
        }
    }

    /// Refuses the waiting requests of a group that only evacuated instances can run.
    pub(crate) fn refuse_evacuated(&mut self, group: &Name) {
        if self.evacuations.is_empty() || !self.is_leader_blocked(group) {
            return;
        }
        let now = self.now;
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        let mut refused = state.write_queue.extract_if(&mut |_| true);
        let mut instances = state.group.instances.values();
        if instances.all(group::InstanceState::is_withdrawn) {
            refused.extend(state.read_queue.extract_if(&mut |_| true));
        } else if !state.read_queue.is_empty() {
            let newest = state.group.newest_sample();
            if newest.is_none_or(|sample| now.since(sample.sent) >= POSITION_AGE) {
                state.group.request_leader_check(now);
            }
        }
        for item in refused {
            self.evacuations.counts.refused += 1;
            let refusal = Refusal::new(Cause::Evacuated, EVACUATED_RETRY_MS);
            self.refuse(&item.request, refusal);
        }
    }

    /// Whether the group's leader is closed by an evacuation and not being replaced. From
    /// the end of open transactions on, a replacement that goes on does not count.
    fn is_leader_blocked(&self, group: &Name) -> bool {
        let Some(state) = self.groups.get(group) else {
            return false;
        };
        let stored = self.view.leader(group);
        let stored = stored.and_then(|(_, leader)| leader.instance.as_ref());
        let leader = state.group.primary().or(stored);
        let leader = leader.and_then(|leader| state.group.instances.get(leader));
        let Some(limits) = leader.and_then(|leader| leader.evacuation) else {
            return false;
        };
        let is_replaced = match self.arbiter {
            group::Arbiter::Store => state.group.assignment().is_none(),
            group::Arbiter::Instances => {
                let mut instances = state.group.instances.values();
                !instances.all(group::InstanceState::is_withdrawn)
            }
        };
        self.now >= limits.ends_at || (self.now >= limits.closed_at && !is_replaced)
    }
}

/// Instances in a failure domain.
fn domain_instances(fleet: &Fleet, domain: &Name) -> collections::BTreeSet<Name> {
    let instances = fleet.groups.values().flat_map(|group| &group.instances);
    let inside = instances.filter(|instance| instance.domain == *domain);
    inside.map(|instance| instance.name.clone()).collect()
}
