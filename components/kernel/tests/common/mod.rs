//! Several kernels, fake instances and a fake store on one virtual clock.
//!
//! Messages take a fixed time and arrive in a fixed order; scripts and
//! properties cut, drop, double or hold them. What must never happen is
//! collected in `violations`.

#![allow(dead_code)]

#[path = "../agenda/mod.rs"]
mod agenda;

use std::{collections, sync, time as std_time};

use config::Name;
use kernel::{Daemon, Setup, event, message, position, time};

/// One step of the clock.
const STEP: std_time::Duration = std_time::Duration::from_millis(1);
/// Key of the customer.
pub const KEY: &str = "the-key";
/// Name of the customer.
pub const CUSTOMER: &str = "tienda";

/// A database instance.
#[derive(Clone, Debug)]
pub struct Fake {
    pub status: position::Status,
    pub candidate: Option<String>,
    pub alive: bool,
    pub held_replay: bool,
    pub isolated: bool,
}

/// What is on its way.
#[derive(Clone, Debug)]
enum Parcel {
    Kernel(usize, event::Event),
    Poll(usize, usize, time::Time),
    Fence(usize, usize, position::Term),
    Promote(usize, usize, position::Term),
    Run(usize, event::RequestId, usize),
    Load(usize, event::RowKey),
    Store(usize, u64, event::Row),
}

/// A request of a session as the world knows it.
#[derive(Clone, Debug)]
struct Work {
    session: event::SessionId,
    write: bool,
    instance: usize,
    position: position::Position,
    /// What its caller had seen acknowledged when it asked.
    floor: Option<position::Position>,
}

/// What a session has seen acknowledged.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    pub floor: Option<position::Position>,
    pub token: Option<position::Position>,
}

/// Everything.
pub struct World {
    pub now: time::Time,
    pub kernels: Vec<Daemon>,
    pub instances: Vec<Fake>,
    pub paused: collections::BTreeSet<usize>,
    pub dead: collections::BTreeSet<usize>,
    pub cut_peers: collections::BTreeSet<(usize, usize)>,
    pub cut_instances: collections::BTreeSet<(usize, usize)>,
    pub cut_store: collections::BTreeSet<usize>,
    pub store_down: bool,
    pub lose_answers: usize,
    pub double: bool,
    pub drop_gives: bool,
    /// Instances report their status with a commit.
    pub place_known: bool,
    pub violations: Vec<String>,
    pub log: Vec<String>,
    pub acknowledged: u64,
    pub refused: collections::BTreeMap<String, u64>,
    pub replica_reads: u64,
    pub primary_reads: u64,
    pub admitted: Vec<time::Time>,
    pub verdicts: Vec<String>,
    rows: collections::BTreeMap<event::RowKey, (u64, event::Row)>,
    agenda: agenda::Agenda<Parcel>,
    work: collections::BTreeMap<event::RequestId, Work>,
    acked: Vec<position::Position>,
    newest_primary: (position::Term, usize),
    pub callers: collections::BTreeMap<event::SessionId, Caller>,
    listed: Vec<bool>,
    names: Vec<Name>,
    next: u64,
    setups: Vec<Setup>,
}

/// What a world starts with.
#[derive(Clone, Debug)]
pub struct Options {
    pub vms: usize,
    pub instances: usize,
    pub rate: u32,
    pub burst: u32,
    pub age_ms: u64,
    pub durability: &'static str,
    pub lease_ms: u64,
    pub first_lease_ms: Option<u64>,
    pub refusal_ms: u64,
    pub budget: String,
    pub admission: String,
    pub reads: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            vms: 3,
            instances: 3,
            rate: 100_000,
            burst: 100_000,
            age_ms: 0,
            durability: "majority",
            lease_ms: 300,
            first_lease_ms: None,
            refusal_ms: 2000,
            budget: "borrow".into(),
            admission: "fair".into(),
            reads: "replica".into(),
        }
    }
}

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("a plain name")
}

const fn ms(n: u64) -> std_time::Duration {
    std_time::Duration::from_millis(n)
}

impl World {
    /// A world whose first configuration is in force.
    pub fn new(options: &Options) -> Self {
        let mut world = Self::bare(options);
        world.apply(0, &first_note(options));
        world.run(ms(4000));
        assert!(
            world.kernels.iter().all(Daemon::is_ready),
            "the fleet is not ready"
        );
        world
    }

    fn bare(options: &Options) -> Self {
        let setup = |i: usize| Setup {
            vm: name(&format!("vm-{i}")),
            domain: name(&format!("domain-{}", i % 3)),
            region: name("home"),
            domain_regions: collections::BTreeMap::new(),
            peer_address: String::new(),
            incarnation: 1 + i as u64,
            timing: config::Timing {
                lease: ms(options
                    .first_lease_ms
                    .filter(|_| i == 0)
                    .unwrap_or(options.lease_ms)),
                poll: ms(50),
                suspect: ms(250),
                gossip: ms(100),
                refusal: ms(options.refusal_ms),
                platform: ms(500),
                stop: ms(10_000),
                leave: ms(0),
                drain: ms(5_000),
                tick: ms(2),
                rest: ms(2),
            },
            limits: config::Limits {
                message: 1 << 20,
                sessions: 1000,
                startup: ms(1000),
                idle: ms(1000),
                wait: ms(3000),
                queue: 64,
                tolerance: 0,
                overage: 0,
            },
            policy: config::Policy {
                reads: name(&options.reads),
                admission: name(&options.admission),
                budget: name(&options.budget),
                ..config::Policy::default()
            },
        };
        let setups: Vec<_> = (0..options.vms).map(setup).collect();
        let start = time::Time::from_ms(1000);
        let kernels = setups
            .iter()
            .map(|s| Daemon::new(s.clone(), start).expect("known policies"));
        let fake = |i: usize| Fake {
            status: position::Status {
                term: position::Term(1),
                promised: position::Term(1),
                role: if i == 0 {
                    position::Role::Primary
                } else {
                    position::Role::Replica
                },
                received: position::Lsn(0),
                replayed: position::Lsn(0),
                start: position::Lsn(0),
            },
            candidate: None,
            alive: true,
            held_replay: false,
            isolated: false,
        };
        Self {
            now: start,
            kernels: kernels.collect(),
            instances: (0..options.instances).map(fake).collect(),
            paused: collections::BTreeSet::new(),
            dead: collections::BTreeSet::new(),
            cut_peers: collections::BTreeSet::new(),
            cut_instances: collections::BTreeSet::new(),
            cut_store: collections::BTreeSet::new(),
            store_down: false,
            lose_answers: 0,
            double: false,
            drop_gives: false,
            place_known: true,
            violations: Vec::new(),
            log: Vec::new(),
            acknowledged: 0,
            refused: collections::BTreeMap::new(),
            replica_reads: 0,
            primary_reads: 0,
            admitted: Vec::new(),
            verdicts: Vec::new(),
            rows: collections::BTreeMap::new(),
            agenda: agenda::Agenda::default(),
            work: collections::BTreeMap::new(),
            acked: Vec::new(),
            newest_primary: (position::Term(1), 0),
            callers: collections::BTreeMap::new(),
            listed: vec![true; options.vms],
            names: setups.iter().map(|s| s.vm.clone()).collect(),
            next: 1,
            setups,
        }
    }

    fn violate(&mut self, text: String) {
        if !self.violations.contains(&text) {
            self.violations.push(text);
        }
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
            while let Some(parcel) = self.agenda.arrived(self.now) {
                self.open(parcel);
            }
            if self.now.0.is_multiple_of(500_000) {
                self.publish();
            }
            for vm in 0..self.kernels.len() {
                self.drive(vm, event::Event::Tick);
            }
        }
    }

    fn publish(&mut self) {
        let listed = (0..self.kernels.len()).filter(|vm| self.listed[*vm]);
        let vms: Vec<_> = listed
            .map(|vm| event::Vm {
                name: self.names[vm].clone(),
                domain: self.setups[vm].domain.clone(),
                region: self.setups[vm].region.clone(),
                peer: String::new(),
                leaving: false,
            })
            .collect();
        for vm in 0..self.kernels.len() {
            if !self.store_down && !self.cut_store.contains(&vm) {
                self.post(
                    STEP,
                    Parcel::Kernel(vm, event::Event::VmsListed(vms.clone())),
                );
            }
        }
    }

    /// Takes a VM out of the platform's list.
    pub fn delist(&mut self, vm: usize) {
        self.listed[vm] = false;
    }

    /// Replaces a daemon by a new run on the same VM.
    pub fn restart(&mut self, vm: usize) {
        self.setups[vm].incarnation += 100;
        let daemon = Daemon::new(self.setups[vm].clone(), self.now);
        self.kernels[vm] = daemon.expect("known policies");
        self.dead.remove(&vm);
        self.paused.remove(&vm);
    }

    fn replicate(&mut self) {
        let newest = self
            .instances
            .iter()
            .filter(|i| i.alive && !i.isolated && i.status.role == position::Role::Primary)
            .map(|i| i.status)
            .max_by_key(|s| s.term);
        let Some(source) = newest else {
            return;
        };
        for fake in &mut self.instances {
            let status = &mut fake.status;
            if !fake.alive || fake.isolated || status.promised > source.term {
                continue;
            }
            if status.term < source.term {
                status.received = status.received.min(source.start);
                status.replayed = status.replayed.min(status.received);
                status.term = source.term;
                status.promised = source.term;
                status.start = source.start;
                status.role = position::Role::Replica;
            }
            status.received = source.received;
            if !fake.held_replay || status.role == position::Role::Primary {
                status.replayed = status.received;
            }
        }
    }

    /// Gives an event to a kernel that runs, or holds it while it is paused.
    pub fn drive(&mut self, vm: usize, event: event::Event) {
        if self.dead.contains(&vm) {
            return;
        }
        if self.paused.contains(&vm) {
            if !matches!(event, event::Event::Tick) {
                self.post(STEP, Parcel::Kernel(vm, event));
            }
            return;
        }
        let before = self.kernels[vm].revision();
        let actions = self.kernels[vm].handle(self.now, event);
        if self.kernels[vm].revision() < before {
            self.violate("a revision went back".into());
        }
        for action in actions {
            self.perform(vm, action);
        }
    }

    fn instance(&self, name: &str) -> usize {
        name.trim_start_matches("db-").parse().expect("an instance")
    }

    fn perform(&mut self, vm: usize, action: event::Action) {
        match action {
            event::Action::Poll(name) => {
                let parcel = Parcel::Poll(vm, self.instance(&name), self.now);
                self.post(STEP, parcel);
            }
            event::Action::Fence(name, term) => {
                let parcel = Parcel::Fence(vm, self.instance(&name), term);
                self.post(STEP, parcel);
            }
            event::Action::Promote(name, term) => {
                let parcel = Parcel::Promote(vm, self.instance(&name), term);
                self.post(STEP, parcel);
            }
            event::Action::Send(to, message) => self.send(vm, &to, message),
            event::Action::LoadRow(key) => self.post(STEP, Parcel::Load(vm, key)),
            event::Action::StoreRow(version, row) => {
                self.post(STEP, Parcel::Store(vm, version, row));
            }
            event::Action::Grant(grant) => {
                let (id, instance) = (grant.request, self.instance(&grant.instance));
                if self.work.contains_key(&id) {
                    self.admitted.push(self.now);
                }
                self.post(STEP, Parcel::Run(vm, id, instance));
            }
            event::Action::RefuseRequest(id, refusal) => {
                let state = refusal.cause.sqlstate().to_string();
                *self.refused.entry(state).or_default() += 1;
                self.work.remove(&id);
            }
            event::Action::AcknowledgeCommit(id, floor, _) => self.acknowledge(id, floor),
            event::Action::RejectSession(_, refusal) | event::Action::EndSession(_, refusal) => {
                let state = refusal.cause.sqlstate().to_string();
                *self.refused.entry(state).or_default() += 1;
            }
            event::Action::AnswerOperator(_, verdict) => self.verdicts.push(verdict.to_string()),
            event::Action::RecordDecision(entry) => {
                let text = format!("{}: {}", self.names[vm], entry.decision);
                self.log.push(text);
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &Name, message: message::Message) {
        let Some(to) = self.names.iter().position(|name| name == to) else {
            return;
        };
        let lost = self.drop_gives && matches!(message, message::Message::Transfer(_));
        if lost || self.cut_peers.contains(&(from, to)) {
            return;
        }
        let event = event::Event::MessageReceived(self.names[from].clone(), message);
        self.post(STEP, Parcel::Kernel(to, event.clone()));
        if self.double {
            self.post(STEP * 3, Parcel::Kernel(to, event));
        }
    }

    fn reaches(&self, vm: usize, instance: usize) -> bool {
        self.instances[instance].alive && !self.cut_instances.contains(&(vm, instance))
    }

    fn open(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Kernel(vm, event) => self.drive(vm, event),
            Parcel::Poll(vm, instance, sent) => {
                let status = self
                    .reaches(vm, instance)
                    .then(|| self.instances[instance].status);
                let poll = event::PollReply {
                    instance: db(instance),
                    sent,
                    status,
                };
                let delay = if status.is_some() { STEP } else { ms(20) };
                self.post(delay, Parcel::Kernel(vm, event::Event::PollAnswered(poll)));
            }
            Parcel::Fence(vm, instance, term) => {
                let fence = self.fence(vm, instance, term);
                self.post(STEP, Parcel::Kernel(vm, event::Event::FenceAnswered(fence)));
            }
            Parcel::Promote(vm, instance, term) => {
                let fence = self.promote(vm, instance, term);
                self.post(
                    STEP,
                    Parcel::Kernel(vm, event::Event::PromotionAnswered(fence)),
                );
            }
            Parcel::Run(vm, id, instance) => self.execute(vm, id, instance),
            Parcel::Load(vm, key) => {
                let loaded = self.load(vm, &key);
                self.post(
                    STEP,
                    Parcel::Kernel(vm, event::Event::RowLoaded(key, loaded)),
                );
            }
            Parcel::Store(vm, version, row) => self.store(vm, version, row),
        }
    }

    fn fence(&mut self, vm: usize, instance: usize, term: position::Term) -> event::TermReply {
        let candidate = self.names[vm].to_string();
        let reached = self.reaches(vm, instance);
        let fake = &mut self.instances[instance];
        let again = fake.status.promised == term && fake.candidate.as_ref() == Some(&candidate);
        let accepted = reached && (again || term > fake.status.promised);
        if accepted {
            fake.status.promised = term;
            fake.candidate = Some(candidate);
        }
        let status = reached.then_some(fake.status);
        event::TermReply {
            instance: db(instance),
            term,
            accepted,
            status,
        }
    }

    fn promote(&mut self, vm: usize, instance: usize, term: position::Term) -> event::TermReply {
        let candidate = self.names[vm].to_string();
        let reached = self.reaches(vm, instance);
        let fake = &mut self.instances[instance];
        let own = fake.status.promised == term && fake.candidate.as_ref() == Some(&candidate);
        let accepted = reached && own;
        if accepted && fake.status.term < term {
            fake.status.term = term;
            fake.status.role = position::Role::Primary;
            fake.status.replayed = fake.status.received;
            fake.status.start = fake.status.received;
            let start = fake.status.start;
            self.check_promotion(instance, term, start);
        }
        let fake = &self.instances[instance];
        let status = reached.then_some(fake.status);
        event::TermReply {
            instance: db(instance),
            term,
            accepted,
            status,
        }
    }

    fn check_promotion(&mut self, instance: usize, term: position::Term, start: position::Lsn) {
        if term <= self.newest_primary.0 {
            self.violate(format!("two primaries in term {term}"));
        }
        self.newest_primary = (term, instance);
        let lost = self
            .acked
            .iter()
            .filter(|f| f.term < term && f.lsn > start)
            .count();
        if lost > 0 {
            self.violate("an acknowledged write is lost".into());
        }
    }

    fn execute(&mut self, vm: usize, id: event::RequestId, instance: usize) {
        let Some(work) = self.work.get(&id).cloned() else {
            return;
        };
        if self.dead.contains(&vm) {
            return;
        }
        let reached = self.reaches(vm, instance);
        let status = &mut self.instances[instance].status;
        let writable = status.role == position::Role::Primary && status.promised == status.term;
        let outcome = match (reached, work.write, writable) {
            (false, _, _) => event::RequestOutcome::Unsent,
            (true, true, false) => event::RequestOutcome::ReadOnly,
            (true, true, true) => {
                status.received.0 += 1;
                status.replayed = status.received;
                event::RequestOutcome::Committed(self.place_known.then_some(*status))
            }
            (true, false, _) => event::RequestOutcome::Uncommitted,
        };
        let seen = self.instances[instance].status;
        let position = position::Position {
            term: seen.term,
            lsn: seen.received,
        };
        if let Some(work) = self.work.get_mut(&id) {
            work.instance = instance;
            work.position = position;
        }
        if outcome == event::RequestOutcome::Uncommitted {
            self.check_read(&work, instance);
        }
        if !matches!(outcome, event::RequestOutcome::Committed(_)) {
            self.work.remove(&id);
        }
        self.post(
            STEP,
            Parcel::Kernel(vm, event::Event::ConnectionReleased(id, outcome)),
        );
    }

    /// A read must show every write of its caller that was acknowledged.
    fn check_read(&mut self, work: &Work, instance: usize) {
        let status = self.instances[instance].status;
        if status.role == position::Role::Primary {
            self.primary_reads += 1;
        } else {
            self.replica_reads += 1;
        }
        let Some(floor) = work.floor else {
            return;
        };
        let shown = if status.term == floor.term {
            status.replayed >= floor.lsn
        } else {
            status.term > floor.term && status.replayed >= floor.lsn.min(status.start)
        };
        if !shown {
            self.violate("a caller did not see its own write".into());
        }
    }

    fn acknowledge(&mut self, id: event::RequestId, floor: position::Position) {
        let Some(work) = self.work.remove(&id) else {
            self.violate("a request was answered twice".into());
            return;
        };
        self.acknowledged += 1;
        if self.newest_primary.0 > work.position.term {
            self.violate("a replaced primary acknowledged a write".into());
        }
        self.acked.push(work.position);
        let caller = self.callers.entry(work.session).or_default();
        caller.floor = caller.floor.max(Some(work.position));
        caller.token = caller.token.max(Some(floor));
    }

    fn load(&mut self, vm: usize, key: &event::RowKey) -> event::LoadOutcome {
        if self.store_down || self.cut_store.contains(&vm) {
            return event::LoadOutcome::Unavailable;
        }
        match self.rows.get(key) {
            Some((version, row)) => event::LoadOutcome::Found(*version, row.clone()),
            None => event::LoadOutcome::Missing,
        }
    }

    fn store(&mut self, vm: usize, version: u64, row: event::Row) {
        let key = row.key();
        let current = self.rows.get(&key).map_or(0, |(version, _)| *version);
        let stored = if self.store_down || self.cut_store.contains(&vm) {
            event::StoreOutcome::Unknown
        } else if current != version {
            event::StoreOutcome::Conflict
        } else {
            self.rows.insert(key.clone(), (version + 1, row));
            if self.lose_answers > 0 {
                self.lose_answers -= 1;
                event::StoreOutcome::Unknown
            } else {
                event::StoreOutcome::Written(version + 1)
            }
        };
        self.post(
            STEP,
            Parcel::Kernel(vm, event::Event::RowStored(key, stored)),
        );
    }

    /// Hands a release note to a VM.
    pub fn apply(&mut self, vm: usize, text: &str) {
        let origin = config::Origin("note".into());
        let note = config::read_note(text, &origin).expect("a valid note");
        self.next += 1;
        let ticket = event::SubmissionId(self.next);
        self.drive(
            vm,
            event::Event::NoteSubmitted(ticket, sync::Arc::new(note)),
        );
    }

    /// Opens a session with the customer's key.
    pub fn session(&mut self, vm: usize, id: u64, key: &str, token: Option<position::Position>) {
        let opening = event::SessionRequest {
            session: event::SessionId(id),
            digest: Some(config::KeyDigest::of(key.as_bytes())),
            route: "orders".into(),
            token,
        };
        self.drive(vm, event::Event::SessionRequested(opening));
    }

    /// Lets a session read or write.
    pub fn request(&mut self, vm: usize, session: u64, write: bool) -> event::RequestId {
        self.next += 1;
        let id = event::RequestId(self.next);
        let session = event::SessionId(session);
        let floor = self.callers.get(&session).and_then(|caller| caller.floor);
        let work = Work {
            session,
            write,
            instance: 0,
            position: position::Position::default(),
            floor,
        };
        self.work.insert(id, work);
        let access = if write {
            event::Access::Write
        } else {
            event::Access::Read
        };
        let request = event::Request {
            id,
            session,
            access,
            retry: false,
        };
        self.drive(vm, event::Event::ConnectionRequested(request));
        id
    }

    /// Checks that no window holds more than rate and burst.
    pub fn check_rate(&mut self, rate: u64, burst: u64) {
        let times = self.admitted.clone();
        for (i, start) in times.iter().enumerate() {
            for (count, end) in (1..).zip(&times[i..]) {
                let span = end.0 - start.0 + time::micros(STEP);
                let allowed = burst * 1_000_000 + rate * span;
                if count * 1_000_000 > allowed + 1_000_000 {
                    self.violate("a customer got more than its rate and burst".into());
                    return;
                }
            }
        }
    }

    /// Units of the customer's rate held by all VMs that run.
    pub fn rate_units(&self) -> u64 {
        let scarce = kernel::budget::Resource::Rate(name(CUSTOMER));
        let alive = (0..self.kernels.len()).filter(|vm| !self.dead.contains(vm));
        alive
            .map(|vm| self.kernels[vm].budgets().units(&scarce))
            .sum()
    }

    /// Units of the customer's rate held by one VM.
    pub fn rate_units_of(&self, vm: usize) -> u64 {
        let scarce = kernel::budget::Resource::Rate(name(CUSTOMER));
        self.kernels[vm].budgets().units(&scarce)
    }

    /// Connections of an instance held by all VMs that run.
    pub fn connection_units(&self, instance: usize) -> u64 {
        let scarce = kernel::budget::Resource::Connections(db(instance));
        let alive = (0..self.kernels.len()).filter(|vm| !self.dead.contains(vm));
        alive
            .map(|vm| self.kernels[vm].budgets().units(&scarce))
            .sum()
    }

    /// Position of the confirmed primary as a VM sees it.
    pub fn confirmed(&self, vm: usize) -> Option<(usize, u64)> {
        let group = self.kernels[vm].group("orders")?;
        let found = group.confirmation(self.now)?;
        Some((self.instance(&found.primary), found.term.0))
    }
}

fn db(index: usize) -> Name {
    name(&format!("db-{index}"))
}

fn first_note(options: &Options) -> String {
    use std::fmt::Write;
    let digest: String = config::KeyDigest::of(KEY.as_bytes()).into();
    let mut out = format!(
        "note: first\nadded:\n  customers:\n    - {{name: {CUSTOMER}, rate: {}, burst: {}, keys: [{{name: first, digest: \"{digest}\"}}]}}\n  routes:\n    - {{name: orders, group: orders, database: orders, age: {}ms, customers: [{CUSTOMER}]}}\n  groups:\n    - name: orders\n      durability: {}\n      instances:\n",
        options.rate, options.burst, options.age_ms, options.durability
    );
    for i in 0..options.instances {
        let _ = writeln!(
            out,
            "        - {{name: db-{i}, address: \"127.0.0.1:1\", domain: domain-{i}, connections: 40}}"
        );
    }
    out
}
