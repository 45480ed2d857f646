//! Deterministic simulation of a fleet in which the store arbitrates who is the
//! leader.
//!
//! Several daemons, a store with rows and change feeds, instances that the platform
//! promotes by order, and a network share one virtual clock. The simulation records
//! every broken guarantee in `violations`.

mod callers;
#[path = "../delay_queue/mod.rs"]
mod delay_queue;
mod network;
pub mod store;

use std::{collections, time as std_time};

use config::{Durability, Fleet, Group, Name, ReadConsistency, Route};
use errors::Cause;
use kernel::{Daemon, Setup, event, leader, position, time, view};

/// Time for which a claim may be used.
const CLAIM_LIFETIME: std_time::Duration = std_time::Duration::from_millis(6_500);
/// Maximum age of the data that a read may show.
const MAX_READ_AGE: std_time::Duration = std_time::Duration::from_millis(1_500);
/// Key of the customer.
const KEY: &str = "the-key";
/// Resolution of the virtual clock.
const STEP: std_time::Duration = std_time::Duration::from_millis(5);
/// Time on the clock of a process at its start.
const CLOCK_START: time::Time = time::Time::from_ms(1000);
/// One-way delay between VMs, and from a VM to the store and the instances.
const LINK_DELAY: std_time::Duration = std_time::Duration::from_millis(5);
/// Time from a promotion order until the instance leads.
const PROMOTION_TIME: std_time::Duration = std_time::Duration::from_millis(300);
/// Time after which a connection attempt to an unresponsive instance is given up.
const CONNECT_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(250);

pub const fn ms(n: u64) -> std_time::Duration {
    std_time::Duration::from_millis(n)
}

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the name is valid")
}

/// A simulated database instance.
#[derive(Clone, Debug)]
pub struct FakeInstance {
    pub is_alive: bool,
    pub is_full: bool,
    /// Whether statements are turned away for lack of capacity.
    pub is_busy: bool,
    /// Whether connection attempts get no answer, neither accepted nor refused.
    pub is_unresponsive: bool,
    pub is_leaving: bool,
    pub role: position::Role,
    pub term: u64,
    pub received: u64,
    pub replication_paused: bool,
    /// Number of next requests to pause replication that the instance refuses as busy.
    pub busy_fences: usize,
    /// Whether the instance receives nothing from the leader.
    pub replication_cut: bool,
    /// Start of the instance's process.
    pub started: u64,
    /// Time for which the instance states that it is cold, in ms.
    pub warmup_ms: Option<u64>,
}

/// A granted request.
#[derive(Clone, Copy, Debug)]
pub struct GrantRecord {
    pub at: time::Time,
    pub vm: usize,
    pub instance: usize,
    pub session: event::SessionId,
}

/// A message, call or answer in transit; the numbers are those of the VM and the
/// instance.
enum Delivery {
    Event(usize, event::Event),
    Poll(usize, usize, time::Time),
    Fence(usize, usize, position::Term),
    Demote(usize, position::Term),
    Write(usize, Write),
    OrderPromotion(usize, event::PromotionOrder),
    Promote(usize),
    Execute(usize, event::RequestId, event::Grant),
    Connected(usize, event::RequestId, event::Grant),
    Complete(
        usize,
        event::RequestId,
        event::Grant,
        Option<position::Position>,
    ),
    FailConnection(usize, event::RequestId),
    ResumeReplication(usize, usize),
}

/// A write to the store.
enum Write {
    /// One row; the VM gets an answer.
    Change(event::RowChange),
    /// Rows that the store has lost; the VM sees the outcome in its view.
    Restore(Vec<event::RowChange>),
}

/// A simulated fleet with its faults, counters and records.
pub struct Simulation {
    pub now: time::Time,
    pub daemons: Vec<Daemon>,
    /// Origin of each daemon's clock.
    clock_origins: Vec<time::Time>,
    pub dead: collections::BTreeSet<usize>,
    pub paused: collections::BTreeSet<usize>,
    /// VMs that cannot reach the store.
    pub cut_store: collections::BTreeSet<usize>,
    /// VMs that cannot reach their peers.
    pub cut_peers: collections::BTreeSet<usize>,
    /// Pairs of VM and instance that cannot reach each other.
    pub cut_instances: collections::BTreeSet<(usize, usize)>,
    /// Instances whose entries in the store have lapsed.
    pub lapsed_entries: collections::BTreeSet<usize>,
    pub instances: Vec<FakeInstance>,
    /// Promotion orders as they reached the platform: fencing token and instance.
    pub promotion_orders: Vec<(u64, usize)>,
    /// VMs that ordered a promotion, with their fencing tokens.
    order_senders: Vec<(usize, u64)>,
    /// Commits of others that the leader has beside one that it answers, which it sends to the
    /// replicas with the next commit.
    pub unreplicated: u64,
    /// Number of further promotion orders whose answers are lost.
    pub lose_orders: usize,
    /// VMs whose promotion orders take longer to reach the platform, with the time.
    pub order_delays: collections::BTreeMap<usize, std_time::Duration>,
    pub violations: Vec<String>,
    pub decisions: Vec<(time::Time, usize, String)>,
    pub acknowledged: Vec<time::Time>,
    /// Acknowledged commits: time and position.
    commits: Vec<(time::Time, u64)>,
    /// VMs whose writes the store does not apply, with an unknown outcome.
    pub failing_writers: collections::BTreeSet<usize>,
    /// VMs whose writes are under way, neither applied nor answered.
    pub held_writers: collections::BTreeSet<usize>,
    pub unknown_outcomes: usize,
    pub refusals: Vec<Cause>,
    /// Times to return that refused requests were given, in ms.
    pub retry_hints: Vec<u32>,
    /// Number of statements that busy instances have turned away.
    pub busy_answers: usize,
    /// Granted requests in the order of their grants.
    pub granted: Vec<event::RequestId>,
    /// Whether the route `latest` is more urgent than the others.
    ranks_routes: bool,
    /// Whether a commit waits until one replica has received it.
    pub is_synchronous: bool,
    /// Granted requests: instance, and whether the grant names it as the primary.
    pub grants: Vec<(usize, bool)>,
    /// Grants with their times.
    pub grant_records: Vec<GrantRecord>,
    /// Statements that reached instances, with their times.
    pub arrivals: Vec<(time::Time, usize)>,
    /// Limit on cold instances.
    pub warmup: Option<config::Warmup>,
    /// Further statements of each request, which follow the first one as permitted.
    pub repeated_statements: usize,
    /// Home regions of all routes, and of the customer.
    pub route_homes: Vec<&'static str>,
    pub customer_homes: Vec<&'static str>,
    /// Whether confirmations of transferred shares are lost.
    pub drop_confirmations: bool,
    pub transfer_requests: usize,
    /// Whether messages between regions are lost.
    pub cut_regions: bool,
    /// Number of messages sent between regions.
    pub interregion_messages: usize,
    /// Number of polls of instances.
    pub polls: usize,
    /// Number of pings and pongs sent.
    pub ping_messages: usize,
    /// Number of VMs that pings and pongs reported on.
    pub reported_vms: usize,
    /// Revision of the configuration.
    pub revision: u64,
    /// Rate and burst of the customer.
    pub rate_limit: (u32, u32),
    /// Rate of the customer in place of that, if set.
    pub other_rate: Option<Option<config::Rate>>,
    /// Failure domains that the operators have evacuated.
    pub evacuated: collections::BTreeSet<Name>,
    /// VM and instance of each break of connections in use.
    pub breaks: Vec<(usize, usize)>,
    /// VM and instance of each closing of idle connections.
    pub idle_closings: Vec<(usize, usize)>,
    /// Group of the route `aged`.
    pub aged_group: &'static str,
    /// Consistency of reads on the route `aged`.
    pub aged_reads: ReadConsistency,
    /// Whether the configuration lacks the group of the instances.
    pub is_service_gone: bool,
    /// Age of the data that reads on the routes `aged` and `keyed` accept, in ms.
    pub age_ms: Option<u64>,
    /// Connections that an instance accepts.
    pub connections: u32,
    /// Whether the customer's key has been withdrawn.
    pub key_withdrawn: bool,
    /// Whether the operator does not write its configuration.
    pub is_operator_away: bool,
    pub store: store::Store,
    /// Idle connections that a VM may keep, by VM and instance.
    pool_limits: collections::BTreeMap<(usize, usize), u32>,
    /// Highest sum over all VMs of the idle connections that they may keep to one
    /// instance.
    pub peak_idle: u32,
    /// Time from a grant until its connection can be used.
    pub connect_time: std_time::Duration,
    /// Time that an instance takes for a statement.
    pub statement_time: std_time::Duration,
    /// Open connections to each instance, which refuses more than its limit.
    pub open_connections: Vec<u32>,
    /// Number of connections that instances have refused.
    pub refused_connections: usize,
    /// Sending times of the requests that have not been granted yet.
    sent_at: collections::BTreeMap<event::RequestId, time::Time>,
    /// Longest time from a request to its first grant.
    pub longest_wait: std_time::Duration,
    /// VMs that have sent a read to the store.
    pub store_readers: collections::BTreeSet<usize>,
    deliveries: delay_queue::Queue<Delivery>,
    setups: Vec<Setup>,
    requests: collections::BTreeMap<event::RequestId, (usize, bool)>,
    /// When each statement in progress was sent, by the clock of its VM.
    statements_sent: collections::BTreeMap<event::RequestId, time::Time>,
    last_id: u64,
}

/// Size and settings of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Options {
    pub vms: usize,
    /// Regions of the VMs; a VM without an entry is in `home`.
    pub regions: Vec<&'static str>,
    pub lease_ms: u64,
    /// Rate and burst of the customer on the route `keyed`.
    pub rate_limit: (u32, u32),
    /// Connections that an instance accepts.
    pub connections: u32,
    /// Limit on cold instances.
    pub warmup: Option<config::Warmup>,
    /// Regions of the instances' failure domains, in the order of the instances; the
    /// region of a failure domain without an entry is unknown.
    pub instance_regions: Vec<&'static str>,
    /// Whether the route `latest` is more urgent than the others.
    pub ranks_routes: bool,
    /// Lease of VM 0, where it differs from that of the other VMs.
    pub first_lease_ms: Option<u64>,
    /// Whether a commit waits until one replica has received it.
    pub is_synchronous: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            vms: 3,
            regions: Vec::new(),
            lease_ms: 1000,
            rate_limit: (1000, 1000),
            connections: 16,
            instance_regions: Vec::new(),
            warmup: None,
            ranks_routes: false,
            first_lease_ms: None,
            is_synchronous: false,
        }
    }
}

/// Regions of the failure domains of the instances.
fn instance_regions(options: &Options) -> collections::BTreeMap<Name, Name> {
    let regions = options.instance_regions.iter().enumerate();
    regions
        .map(|(i, region)| (name(&format!("domain-{i}")), name(region)))
        .collect()
}

fn daemon_setup(options: &Options, i: usize) -> Setup {
    let lease = options.first_lease_ms.filter(|_| i == 0);
    let region = options.regions.get(i).copied().unwrap_or("home");
    let domain = match region {
        "home" => format!("domain-{}", i % 3),
        other => format!("{other}-{}", i % 3),
    };
    Setup {
        vm: name(&format!("vm-{i}")),
        domain: name(&domain),
        region: name(region),
        domain_regions: instance_regions(options),
        peer_address: "127.0.0.1:1".into(),
        incarnation: 1 + i as u64,
        timing: config::Timing {
            lease: ms(lease.unwrap_or(options.lease_ms)),
            poll_period: ms(3000),
            suspicion_timeout: ms(600),
            gossip_period: ms(500),
            refusal_timeout: ms(4500),
            platform_period: ms(500),
            stop_timeout: ms(6000),
            leave_period: ms(0),
            drain_timeout: ms(6000),
            evacuation_timeout: ms(3000),
            tick_period: STEP,
            idle_period: STEP,
        },
        limits: config::Limits {
            message_bytes: 1 << 20,
            max_sessions: 100,
            startup_timeout: ms(1000),
            idle_timeout: ms(3000),
            wait_timeout: ms(2500),
            queue_length: 100,
            burst_tolerance: 0,
            overage_ppm: 0,
        },
        policy: config::Policy {
            arbiter: name("store"),
            budget: name("coarse"),
            ..config::Policy::default()
        },
    }
}

fn names(raw: &[&str]) -> collections::BTreeSet<Name> {
    raw.iter().map(|raw| name(raw)).collect()
}

fn document(sim: &Simulation) -> view::Document {
    let (revision, limit, connections) = (sim.revision, sim.rate_limit, sim.connections);
    let mut fleet = Fleet::default();
    let durability = if sim.is_synchronous {
        Durability::Replica
    } else {
        Durability::Primary
    };
    let group = Group {
        durability,
        warmup: sim.warmup,
        instances: Vec::new(),
    };
    fleet.groups.insert(name(sim.aged_group), group.clone());
    if !sim.is_service_gone {
        fleet.groups.insert(name("orders"), group);
    }
    for (route, reads, group) in [
        ("latest", ReadConsistency::Latest, "orders"),
        ("aged", sim.aged_reads, sim.aged_group),
    ] {
        let entry = Route {
            open: true,
            age_ms: sim.age_ms,
            reads,
            homes: names(&sim.route_homes),
            priority: u32::from(sim.ranks_routes && route != "latest"),
            ..Route::new(name(group))
        };
        fleet.routes.insert(name(route), entry);
    }
    let keyed = Route {
        customers: collections::BTreeSet::from([name("tienda")]),
        age_ms: sim.age_ms,
        reads: ReadConsistency::OwnAndAge,
        homes: names(&sim.route_homes),
        priority: u32::from(sim.ranks_routes),
        ..Route::new(name("orders"))
    };
    fleet.routes.insert(name("keyed"), keyed);
    let key = config::KeyDigest::of(KEY.as_bytes());
    let customer = config::Customer {
        rate: sim.other_rate.unwrap_or(Some(limit.0.into())),
        burst: limit.1,
        weight: 1,
        keys: if sim.key_withdrawn {
            collections::BTreeMap::new()
        } else {
            collections::BTreeMap::from([(name("first"), key)])
        },
        homes: names(&sim.customer_homes),
    };
    fleet.customers.insert(name("tienda"), customer);
    view::Document {
        revision,
        fleet,
        connections: collections::BTreeMap::from([(name("orders"), connections)]),
    }
}

impl Simulation {
    /// Starts a fleet led by instance 0 and waits until every daemon is ready.
    pub fn new(options: &Options) -> Self {
        let start = CLOCK_START;
        let setups: Vec<_> = (0..options.vms).map(|i| daemon_setup(options, i)).collect();
        let daemons = setups.iter().map(|setup| {
            let daemon = Daemon::new(setup.clone(), start);
            daemon.expect("the policies are known")
        });
        let fake = |i: usize| FakeInstance {
            is_alive: true,
            is_full: false,
            is_busy: false,
            is_unresponsive: false,
            is_leaving: false,
            role: if i == 0 {
                position::Role::Primary
            } else {
                position::Role::Replica
            },
            term: 1,
            received: 10,
            replication_paused: false,
            busy_fences: 0,
            replication_cut: false,
            started: 1,
            warmup_ms: Some(0),
        };
        let mut sim = Self {
            now: start,
            daemons: daemons.collect(),
            clock_origins: vec![time::Time::default(); options.vms],
            dead: collections::BTreeSet::new(),
            paused: collections::BTreeSet::new(),
            cut_store: collections::BTreeSet::new(),
            cut_peers: collections::BTreeSet::new(),
            cut_instances: collections::BTreeSet::new(),
            lapsed_entries: collections::BTreeSet::new(),
            instances: (0..3).map(fake).collect(),
            promotion_orders: Vec::new(),
            order_senders: Vec::new(),
            unreplicated: 0,
            lose_orders: 0,
            order_delays: collections::BTreeMap::new(),
            violations: Vec::new(),
            decisions: Vec::new(),
            acknowledged: Vec::new(),
            commits: Vec::new(),
            failing_writers: collections::BTreeSet::new(),
            held_writers: collections::BTreeSet::new(),
            unknown_outcomes: 0,
            refusals: Vec::new(),
            retry_hints: Vec::new(),
            busy_answers: 0,
            granted: Vec::new(),
            ranks_routes: options.ranks_routes,
            is_synchronous: options.is_synchronous,
            grants: Vec::new(),
            grant_records: Vec::new(),
            arrivals: Vec::new(),
            warmup: options.warmup,
            repeated_statements: 0,
            route_homes: Vec::new(),
            customer_homes: Vec::new(),
            drop_confirmations: false,
            transfer_requests: 0,
            cut_regions: false,
            interregion_messages: 0,
            polls: 0,
            ping_messages: 0,
            reported_vms: 0,
            revision: 7,
            rate_limit: options.rate_limit,
            other_rate: None,
            evacuated: collections::BTreeSet::new(),
            breaks: Vec::new(),
            idle_closings: Vec::new(),
            aged_group: "orders",
            aged_reads: ReadConsistency::OwnAndAge,
            is_service_gone: false,
            age_ms: Some(1500),
            connections: options.connections,
            key_withdrawn: false,
            is_operator_away: false,
            store: store::Store::default(),
            pool_limits: collections::BTreeMap::new(),
            peak_idle: 0,
            connect_time: std_time::Duration::ZERO,
            statement_time: std_time::Duration::ZERO,
            open_connections: vec![0; 3],
            refused_connections: 0,
            sent_at: collections::BTreeMap::new(),
            longest_wait: std_time::Duration::ZERO,
            store_readers: collections::BTreeSet::new(),
            deliveries: delay_queue::Queue::default(),
            setups,
            requests: collections::BTreeMap::new(),
            statements_sent: collections::BTreeMap::new(),
            last_id: 0,
        };
        sim.run(ms(3000));
        assert!(
            sim.daemons.iter().all(Daemon::is_ready),
            "not every daemon is ready after the start: {:?}",
            sim.decisions
        );
        sim
    }

    fn schedule(&mut self, delay: std_time::Duration, delivery: Delivery) {
        self.deliveries.push(self.now, delay, delivery);
    }

    /// Advances the clock step by step and delivers what becomes due.
    pub fn run(&mut self, span: std_time::Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.replicate();
            self.refresh_store();
            while let Some(delivery) = self.deliveries.pop_due(self.now) {
                self.deliver(delivery);
            }
            for vm in 0..self.daemons.len() {
                self.advance_reads(vm);
                self.dispatch(vm, event::Event::Tick);
            }
        }
    }

    fn replicate(&mut self) {
        let leader = self
            .instances
            .iter()
            .filter(|i| i.is_alive && i.role == position::Role::Primary);
        let Some(source) = leader.max_by_key(|i| i.term).cloned() else {
            return;
        };
        let sent = source.received.saturating_sub(self.unreplicated);
        for fake in &mut self.instances {
            let is_following = fake.is_alive && !fake.replication_paused && !fake.replication_cut;
            if is_following && fake.term <= source.term && fake.role == position::Role::Replica {
                let is_of_term = fake.term == source.term;
                fake.term = source.term;
                fake.received = if is_of_term {
                    fake.received.max(sent)
                } else {
                    sent
                };
            }
        }
    }

    fn registrations(&self) -> Vec<view::Change> {
        let all = self.instances.iter().enumerate().map(|(i, fake)| {
            let entry = view::Registration {
                group: name("orders"),
                address: ([127, 0, 0, 1], 5000 + u16::try_from(i).unwrap_or(0)).into(),
                domain: name(&format!("domain-{i}")),
                leaving: fake.is_leaving,
                leads: fake.role == position::Role::Primary,
                born: fake.started,
                warmup_ms: fake.warmup_ms,
            };
            let entry = Some(entry).filter(|_| !self.lapsed_entries.contains(&i));
            view::Change::Instance(name(&format!("db-{i}")), entry)
        });
        all.collect()
    }

    /// Writes a claim whose holder is a process that has ended, in a row that names
    /// a replica as the leader.
    pub fn write_stale_claim(&mut self) {
        let leader = leader::Leader {
            instance: Some(name("db-1")),
            term: position::Term(1),
            start: position::Position::default(),
            claim: Some(leader::Claim {
                holder: event::MemberId {
                    vm: name("vm-1"),
                    incarnation: 0,
                },
                number: 1,
                planned: false,
            }),
            replicas: None,
            acknowledged: None,
        };
        self.store.put(event::Row::Leader(name("orders"), leader));
    }

    /// Current time on the clock of a VM's daemon.
    pub fn local_time(&self, vm: usize) -> time::Time {
        time::Time::default() + self.now.since(self.clock_origins[vm])
    }

    /// Replaces the daemon of a VM by a new process with a new incarnation and a new
    /// clock.
    pub fn restart(&mut self, vm: usize) {
        self.setups[vm].incarnation += 100;
        let age = CLOCK_START.since(time::Time::default());
        self.clock_origins[vm] = self.now.before(age).expect("the clock has started");
        let daemon = Daemon::new(self.setups[vm].clone(), self.local_time(vm));
        self.daemons[vm] = daemon.expect("the policies are known");
        self.forget_reads(vm);
        // Answers to the former process do not reach the new one.
        let requests = &self.requests;
        self.statements_sent
            .retain(|id, _| requests.get(id).is_none_or(|(sender, _)| *sender != vm));
        self.deliveries.retain(|delivery| match delivery {
            Delivery::Poll(sender, _, _) => *sender != vm,
            Delivery::Event(receiver, event) => {
                *receiver != vm || matches!(event, event::Event::MessageReceived(..))
            }
            _ => true,
        });
        self.dead.remove(&vm);
        self.paused.remove(&vm);
    }

    /// Passes an event to the daemon of a VM. A dead VM drops the event; a paused VM
    /// gets the event after it resumes, except for ticks.
    pub fn dispatch(&mut self, vm: usize, event: event::Event) {
        if self.dead.contains(&vm) {
            return;
        }
        if self.paused.contains(&vm) {
            if !matches!(event, event::Event::Tick) {
                self.schedule(STEP, Delivery::Event(vm, event));
            }
            return;
        }
        let now = self.local_time(vm);
        for action in self.daemons[vm].handle(now, event) {
            self.perform(vm, action);
        }
    }

    /// Checks that a control call expires before another VM may act on the group.
    fn check_deadline(&mut self, vm: usize, deadline: time::Time) {
        let remaining = deadline.since(self.local_time(vm));
        if remaining.is_zero() || remaining > CLAIM_LIFETIME {
            self.violations
                .push(format!("a control call expires after {remaining:?}"));
        }
    }

    fn perform(&mut self, vm: usize, action: event::Action) {
        match action {
            event::Action::Poll(instance) | event::Action::CheckStatus(instance) => {
                let sent = self.local_time(vm);
                let delivery = Delivery::Poll(vm, instance_index(&instance), sent);
                self.schedule(LINK_DELAY, delivery);
            }
            event::Action::Fence(instance, term, deadline) => {
                self.check_deadline(vm, deadline);
                self.schedule(
                    LINK_DELAY,
                    Delivery::Fence(vm, instance_index(&instance), term),
                );
            }
            event::Action::Demote(instance, term, deadline)
                if !self
                    .cut_instances
                    .contains(&(vm, instance_index(&instance))) =>
            {
                self.check_deadline(vm, deadline);
                self.schedule(
                    LINK_DELAY,
                    Delivery::Demote(instance_index(&instance), term),
                );
            }
            event::Action::ResumeReplication(instance, deadline) => {
                self.check_deadline(vm, deadline);
                self.schedule(
                    LINK_DELAY,
                    Delivery::ResumeReplication(vm, instance_index(&instance)),
                );
            }
            event::Action::ResizePool(instance, room) => {
                self.pool_limits
                    .insert((vm, instance_index(&instance)), room.max_idle);
                let is_same = |(_, i): &(usize, usize)| *i == instance_index(&instance);
                let limits = self.pool_limits.iter().filter(|(key, _)| is_same(key));
                let sum = limits.map(|(_, limit)| *limit).sum();
                self.peak_idle = self.peak_idle.max(sum);
            }
            event::Action::BreakConnections(instance) => {
                self.breaks.push((vm, instance_index(&instance)));
            }
            event::Action::CloseIdleConnections(instance) => {
                self.idle_closings.push((vm, instance_index(&instance)));
            }
            event::Action::Send(to, message) => self.send(vm, &to, message),
            event::Action::ChangeRow(change) => self.queue_write(vm, Write::Change(change)),
            event::Action::RestoreRows(changes) => self.queue_write(vm, Write::Restore(changes)),
            event::Action::OrderPromotion(order) => {
                if self.local_time(vm) < order.deadline {
                    let delay = self.order_delays.get(&vm).copied().unwrap_or(LINK_DELAY);
                    self.schedule(delay, Delivery::OrderPromotion(vm, order));
                } else {
                    let expired =
                        event::Event::PromotionOrdered(order.group, event::OrderOutcome::Expired);
                    self.schedule(LINK_DELAY, Delivery::Event(vm, expired));
                }
            }
            event::Action::Grant(grant) => {
                self.granted.push(grant.request);
                self.grants
                    .push((instance_index(&grant.instance), grant.primary));
                self.grant_records.push(GrantRecord {
                    at: self.now,
                    vm,
                    instance: instance_index(&grant.instance),
                    session: event::SessionId(grant.request.0 >> 24),
                });
                if let Some(sent_at) = self.sent_at.remove(&grant.request) {
                    self.longest_wait = self.longest_wait.max(self.now.since(sent_at));
                }
                self.schedule(LINK_DELAY, Delivery::Execute(vm, grant.request, grant));
            }
            event::Action::RefuseRequest(_, refusal) if refusal.cause == Cause::OutcomeUnknown => {
                self.unknown_outcomes += 1;
            }
            event::Action::RefuseRequest(_, refusal) => {
                self.refusals.push(refusal.cause);
                self.retry_hints.push(refusal.retry_ms);
            }
            // As in the daemon, the commit is acknowledged only before its deadline.
            event::Action::AcknowledgeCommit(_, _, until) if self.local_time(vm) < until => {
                self.acknowledged.push(self.now);
            }
            event::Action::RecordDecision(entry) => {
                self.decisions
                    .push((self.now, vm, entry.decision.to_string()));
            }
            _ => {}
        }
    }

    /// Whether any VM has recorded a decision that contains the text.
    pub fn has_decision(&self, text: &str) -> bool {
        self.decisions
            .iter()
            .any(|(_, _, line)| line.contains(text))
    }

    /// VM that sent the last promotion order.
    pub fn last_order_sender(&self) -> Option<usize> {
        self.order_senders.last().map(|(vm, _)| *vm)
    }

    /// Live instance that leads in the highest term.
    pub fn leader(&self) -> Option<usize> {
        let leading = self.instances.iter().enumerate();
        leading
            .filter(|(_, fake)| fake.is_alive && fake.role == position::Role::Primary)
            .max_by_key(|(_, fake)| fake.term)
            .map(|(i, _)| i)
    }
}

fn instance_index(instance: &Name) -> usize {
    let number = instance.trim_start_matches("db-");
    number
        .parse()
        .expect("instance names are `db-` and a number")
}
