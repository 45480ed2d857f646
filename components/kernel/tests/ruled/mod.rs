//! A fleet of kernels whose leaders the store arbitrates: a store with rows and
//! feeds, instances that are promoted by order, and a network, all driven by
//! one clock.

#[path = "../agenda/mod.rs"]
mod agenda;
mod callers;
mod network;
mod store;

use std::{collections, time as std_time};

use config::{Durability, Fleet, Group, Name, Reads, Route};
use errors::Cause;
use kernel::{Daemon, Setup, event, leader, position, time, view};

/// Age of data that reads may show.
const AGE: std_time::Duration = std_time::Duration::from_millis(1_500);
/// Key of the customer.
const KEY: &str = "the-key";
/// Step of the clock.
const STEP: std_time::Duration = std_time::Duration::from_millis(5);
/// One way between VMs, and to the store and the instances.
const WAY: std_time::Duration = std_time::Duration::from_millis(5);
/// Time for an instance to lead after an order.
const PROMOTION: std_time::Duration = std_time::Duration::from_millis(300);
/// Time in which a connection to a silent instance is given up.
const CONNECT_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(250);

pub const fn ms(n: u64) -> std_time::Duration {
    std_time::Duration::from_millis(n)
}

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("a plain name")
}

/// An instance.
#[derive(Clone, Debug)]
pub struct Fake {
    pub alive: bool,
    pub crowded: bool,
    /// Accepts no connection and refuses none.
    pub silent: bool,
    pub leaving: bool,
    pub role: position::Role,
    pub term: u64,
    pub received: u64,
    pub held: bool,
    /// Replication to it is cut.
    pub deaf: bool,
    /// Start of its process.
    pub born: u64,
}

enum Parcel {
    Kernel(usize, event::Event),
    Poll(usize, usize, time::Time),
    Fence(usize, usize, position::Term),
    Depose(usize, position::Term),
    Store(usize, u64, Option<event::Row>, event::RowKey),
    Order(usize, event::PromotionOrder),
    Lead(usize),
    Run(usize, event::RequestId, event::Grant),
    Done(usize, event::RequestId, event::Grant),
    Unsent(usize, event::RequestId),
    Resume(usize, usize),
}

/// Everything.
pub struct World {
    pub now: time::Time,
    pub kernels: Vec<Daemon>,
    pub dead: collections::BTreeSet<usize>,
    pub frozen: collections::BTreeSet<usize>,
    pub cut_store: collections::BTreeSet<usize>,
    pub cut_peers: collections::BTreeSet<usize>,
    pub cut_instances: collections::BTreeSet<(usize, usize)>,
    /// Instances whose entries in the store have lapsed.
    pub lapsed: collections::BTreeSet<usize>,
    pub instances: Vec<Fake>,
    /// Orders as they reached the platform: token and instance.
    pub orders: Vec<(u64, usize)>,
    /// VMs that ordered, with their tokens.
    holders: Vec<(usize, u64)>,
    pub lose_orders: usize,
    pub violations: Vec<String>,
    pub log: Vec<(time::Time, usize, String)>,
    pub acknowledged: Vec<time::Time>,
    /// Acknowledged commits: when, and their positions.
    commits: Vec<(time::Time, u64)>,
    /// VMs whose writes to the store are not answered.
    pub mute_store: collections::BTreeSet<usize>,
    pub unknown: usize,
    pub refused: Vec<Cause>,
    pub grants: Vec<(usize, bool)>,
    /// Confirmations of shares are lost.
    pub lose_took: bool,
    pub asks: usize,
    /// Regions do not hear each other.
    pub cut_regions: bool,
    /// Messages sent between regions.
    pub crossed: usize,
    /// Polls of instances.
    pub polls: usize,
    /// Pings and their answers.
    pub exchanged: usize,
    /// VMs that they named.
    pub named: usize,
    /// Number of the configuration.
    pub revision: u64,
    /// Rate and burst of the customer.
    pub limit: (u32, u32),
    /// Connections that an instance accepts.
    pub connections: u32,
    /// The customer has no key any more.
    pub withdrawn: bool,
    pub store: store::Store,
    /// Connections that VMs may keep, by VM and instance.
    limits: collections::BTreeMap<(usize, usize), u32>,
    /// Most connections that all VMs together might keep to an instance.
    pub most_connected: u32,
    /// Time that a statement takes at an instance.
    pub work: std_time::Duration,
    /// Connections open to each instance; it refuses those beyond its limit.
    pub connected: Vec<u32>,
    /// Connections that instances have refused.
    pub turned_away: usize,
    /// When each request was sent that has not been granted.
    asked: collections::BTreeMap<event::RequestId, time::Time>,
    /// Longest time from a request to its first grant.
    pub longest_wait: std_time::Duration,
    /// VMs that have read the store.
    pub readers: collections::BTreeSet<usize>,
    agenda: agenda::Agenda<Parcel>,
    setups: Vec<Setup>,
    requests: collections::BTreeMap<event::RequestId, (usize, bool)>,
    next: u64,
}

/// What a world starts with.
#[derive(Clone, Debug)]
pub struct Options {
    pub vms: usize,
    /// Regions of the VMs; the first where none is named.
    pub regions: Vec<&'static str>,
    pub lease_ms: u64,
    /// Rate and burst of the customer on the route `keyed`.
    pub limit: (u32, u32),
    /// Connections that an instance accepts.
    pub connections: u32,
    pub first_lease_ms: Option<u64>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            vms: 3,
            regions: Vec::new(),
            lease_ms: 1000,
            limit: (1000, 1000),
            connections: 16,
            first_lease_ms: None,
        }
    }
}

fn setup(options: &Options, i: usize) -> Setup {
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
        domain_regions: collections::BTreeMap::new(),
        peer_address: "127.0.0.1:1".into(),
        incarnation: 1 + i as u64,
        timing: config::Timing {
            lease: ms(lease.unwrap_or(options.lease_ms)),
            poll: ms(3000),
            suspect: ms(600),
            gossip: ms(500),
            refusal: ms(4500),
            platform: ms(500),
            stop: ms(6000),
            leave: ms(0),
            drain: ms(6000),
            tick: STEP,
            rest: STEP,
        },
        limits: config::Limits {
            message: 1 << 20,
            sessions: 100,
            startup: ms(1000),
            idle: ms(3000),
            wait: ms(2500),
            queue: 100,
            tolerance: 0,
            overage: 0,
        },
        policy: config::Policy {
            arbiter: name("store"),
            budget: name("coarse"),
            ..config::Policy::default()
        },
    }
}

fn document(world: &World) -> view::Document {
    let (revision, limit, connections) = (world.revision, world.limit, world.connections);
    let mut fleet = Fleet::default();
    let group = Group {
        durability: Durability::Primary,
        instances: Vec::new(),
    };
    fleet.groups.insert(name("orders"), group);
    for (route, reads) in [("latest", Reads::Latest), ("aged", Reads::OwnAndAge)] {
        let entry = Route {
            open: true,
            age_ms: 1500,
            reads,
            ..Route::new(name("orders"))
        };
        fleet.routes.insert(name(route), entry);
    }
    let keyed = Route {
        customers: collections::BTreeSet::from([name("tienda")]),
        age_ms: 1500,
        reads: Reads::OwnAndAge,
        ..Route::new(name("orders"))
    };
    fleet.routes.insert(name("keyed"), keyed);
    let key = config::KeyDigest::of(KEY.as_bytes());
    let customer = config::Customer {
        rate: limit.0,
        burst: limit.1,
        weight: 1,
        keys: if world.withdrawn {
            collections::BTreeMap::new()
        } else {
            collections::BTreeMap::from([(name("first"), key)])
        },
    };
    fleet.customers.insert(name("tienda"), customer);
    view::Document {
        revision,
        fleet,
        connections: collections::BTreeMap::from([(name("orders"), connections)]),
    }
}

impl World {
    /// A fleet that is ready; instance 0 leads.
    pub fn new(options: &Options) -> Self {
        let start = time::Time::from_ms(1000);
        let setups: Vec<_> = (0..options.vms).map(|i| setup(options, i)).collect();
        let kernels = setups.iter().map(|setup| {
            let daemon = Daemon::new(setup.clone(), start);
            daemon.expect("known policies")
        });
        let fake = |i: usize| Fake {
            alive: true,
            crowded: false,
            silent: false,
            leaving: false,
            role: if i == 0 {
                position::Role::Primary
            } else {
                position::Role::Replica
            },
            term: 1,
            received: 10,
            held: false,
            deaf: false,
            born: 1,
        };
        let mut world = Self {
            now: start,
            kernels: kernels.collect(),
            dead: collections::BTreeSet::new(),
            frozen: collections::BTreeSet::new(),
            cut_store: collections::BTreeSet::new(),
            cut_peers: collections::BTreeSet::new(),
            cut_instances: collections::BTreeSet::new(),
            lapsed: collections::BTreeSet::new(),
            instances: (0..3).map(fake).collect(),
            orders: Vec::new(),
            holders: Vec::new(),
            lose_orders: 0,
            violations: Vec::new(),
            log: Vec::new(),
            acknowledged: Vec::new(),
            commits: Vec::new(),
            mute_store: collections::BTreeSet::new(),
            unknown: 0,
            refused: Vec::new(),
            grants: Vec::new(),
            lose_took: false,
            asks: 0,
            cut_regions: false,
            crossed: 0,
            polls: 0,
            exchanged: 0,
            named: 0,
            revision: 7,
            limit: options.limit,
            connections: options.connections,
            withdrawn: false,
            store: store::Store::default(),
            limits: collections::BTreeMap::new(),
            most_connected: 0,
            work: std_time::Duration::ZERO,
            connected: vec![0; 3],
            turned_away: 0,
            asked: collections::BTreeMap::new(),
            longest_wait: std_time::Duration::ZERO,
            readers: collections::BTreeSet::new(),
            agenda: agenda::Agenda::default(),
            setups,
            requests: collections::BTreeMap::new(),
            next: 0,
        };
        world.run(ms(3000));
        assert!(
            world.kernels.iter().all(Daemon::is_ready),
            "the fleet is not ready: {:?}",
            world.log
        );
        world
    }

    fn post(&mut self, delay: std_time::Duration, parcel: Parcel) {
        self.agenda.post(self.now, delay, parcel);
    }

    /// Lets time pass.
    pub fn run(&mut self, span: std_time::Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            self.replicate();
            self.renew_store();
            while let Some(parcel) = self.agenda.arrived(self.now) {
                self.open(parcel);
            }
            for vm in 0..self.kernels.len() {
                self.feed(vm);
                self.drive(vm, event::Event::Tick);
            }
        }
    }

    fn replicate(&mut self) {
        let leader = self
            .instances
            .iter()
            .filter(|i| i.alive && i.role == position::Role::Primary);
        let Some(source) = leader.max_by_key(|i| i.term).cloned() else {
            return;
        };
        for fake in &mut self.instances {
            let follows = fake.alive && !fake.held && !fake.deaf;
            if follows && fake.term <= source.term && fake.role == position::Role::Replica {
                fake.term = source.term;
                fake.received = source.received;
            }
        }
    }

    fn registrations(&self) -> Vec<view::Change> {
        let all = self.instances.iter().enumerate().map(|(i, fake)| {
            let entry = view::Registration {
                group: name("orders"),
                address: ([127, 0, 0, 1], 5000 + u16::try_from(i).unwrap_or(0)).into(),
                domain: name(&format!("domain-{i}")),
                leaving: fake.leaving,
                leads: fake.role == position::Role::Primary,
                born: fake.born,
            };
            let entry = Some(entry).filter(|_| !self.lapsed.contains(&i));
            view::Change::Instance(name(&format!("db-{i}")), entry)
        });
        all.collect()
    }

    /// Writes a claim of a run that has ended, and that took a replica for the
    /// leader.
    pub fn forget_leader(&mut self) {
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
        };
        self.store.put(event::Row::Leader(name("orders"), leader));
    }

    /// Replaces a daemon by a new run on the same VM.
    pub fn restart(&mut self, vm: usize) {
        self.setups[vm].incarnation += 100;
        let daemon = Daemon::new(self.setups[vm].clone(), self.now);
        self.kernels[vm] = daemon.expect("known policies");
        self.forget_reads(vm);
        self.dead.remove(&vm);
        self.frozen.remove(&vm);
    }

    /// Gives an event to a kernel that runs, or holds it while it is frozen.
    pub fn drive(&mut self, vm: usize, event: event::Event) {
        if self.dead.contains(&vm) {
            return;
        }
        if self.frozen.contains(&vm) {
            if !matches!(event, event::Event::Tick) {
                self.post(STEP, Parcel::Kernel(vm, event));
            }
            return;
        }
        for action in self.kernels[vm].handle(self.now, event) {
            self.perform(vm, action);
        }
    }

    fn perform(&mut self, vm: usize, action: event::Action) {
        match action {
            event::Action::Poll(instance) => {
                let parcel = Parcel::Poll(vm, index(&instance), self.now);
                self.post(WAY, parcel);
            }
            event::Action::Fence(instance, term) => {
                self.post(WAY, Parcel::Fence(vm, index(&instance), term));
            }
            event::Action::Demote(instance, term)
                if !self.cut_instances.contains(&(vm, index(&instance))) =>
            {
                self.post(WAY, Parcel::Depose(index(&instance), term));
            }
            event::Action::ResumeReplication(instance) => {
                self.post(WAY, Parcel::Resume(vm, index(&instance)));
            }
            event::Action::ResizePool(instance, room) => {
                self.limits.insert((vm, index(&instance)), room.max_idle);
                let of = |(_, i): &(usize, usize)| *i == index(&instance);
                let held = self.limits.iter().filter(|(key, _)| of(key));
                let sum = held.map(|(_, limit)| *limit).sum();
                self.most_connected = self.most_connected.max(sum);
            }
            event::Action::Send(to, message) => self.send(vm, &to, message),
            event::Action::StoreRow(version, row) => {
                let key = row.key();
                self.write(vm, version, Some(row), key);
            }
            event::Action::DeleteRow(version, key) => {
                self.write(vm, version, None, key);
            }
            event::Action::OrderPromotion(order) => {
                if self.now < order.deadline {
                    self.post(WAY, Parcel::Order(vm, order));
                } else {
                    let rejected =
                        event::Event::PromotionOrdered(order.group, event::OrderOutcome::Rejected);
                    self.post(WAY, Parcel::Kernel(vm, rejected));
                }
            }
            event::Action::Grant(grant) => {
                self.grants.push((index(&grant.instance), grant.primary));
                if let Some(asked) = self.asked.remove(&grant.request) {
                    self.longest_wait = self.longest_wait.max(self.now.since(asked));
                }
                self.post(WAY, Parcel::Run(vm, grant.request, grant));
            }
            event::Action::RefuseRequest(_, refusal) if refusal.cause == Cause::OutcomeUnknown => {
                self.unknown += 1;
            }
            event::Action::RefuseRequest(_, refusal) => self.refused.push(refusal.cause),
            // The driver looks at the clock again.
            event::Action::AcknowledgeCommit(_, _, until) if self.now < until => {
                self.acknowledged.push(self.now);
            }
            event::Action::RecordDecision(entry) => {
                self.log.push((self.now, vm, entry.decision.to_string()));
            }
            _ => {}
        }
    }

    /// Whether any VM has recorded a decision with this text.
    pub fn recorded(&self, text: &str) -> bool {
        self.log.iter().any(|(_, _, line)| line.contains(text))
    }

    /// VM that sent the last order.
    pub fn last_holder(&self) -> Option<usize> {
        self.holders.last().map(|(vm, _)| *vm)
    }

    /// Instance that leads.
    pub fn leader(&self) -> Option<usize> {
        let leading = self.instances.iter().enumerate();
        leading
            .filter(|(_, fake)| fake.alive && fake.role == position::Role::Primary)
            .max_by_key(|(_, fake)| fake.term)
            .map(|(i, _)| i)
    }
}

fn index(instance: &Name) -> usize {
    let number = instance.trim_start_matches("db-");
    number.parse().expect("an instance")
}
