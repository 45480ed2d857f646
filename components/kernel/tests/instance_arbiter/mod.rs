//! Deterministic simulation of a fleet in which the instances arbitrate who is
//! the primary.
//!
//! Several daemons, fake instances and a fake store share one virtual clock.
//! Messages take a fixed time and arrive in a fixed order. Scenario scripts and
//! property tests cut links, drop or duplicate messages and pause daemons. The
//! simulation records every broken guarantee in `violations`.

#![allow(dead_code)]

#[path = "../delay_queue/mod.rs"]
mod delay_queue;

use std::{collections, sync, time as std_time};

use config::Name;
use kernel::{Daemon, Setup, event, message, position, time, version};

/// Resolution of the virtual clock, and the one-way delay of a message.
const STEP: std_time::Duration = std_time::Duration::from_millis(1);
/// Key of the customer.
pub const KEY: &str = "the-key";
/// Name of the customer.
pub const CUSTOMER: &str = "tienda";

/// A simulated database instance.
#[derive(Clone, Debug)]
pub struct FakeInstance {
    pub status: position::Status,
    pub candidate: Option<String>,
    pub is_alive: bool,
    pub replay_paused: bool,
    pub is_isolated: bool,
}

/// A message, call or answer in transit; the numbers are those of the VM and the
/// instance.
#[derive(Clone, Debug)]
enum Delivery {
    Event(usize, event::Event),
    Poll(usize, usize, time::Time),
    Fence(usize, usize, position::Term),
    Promote(usize, usize, position::Term),
    Execute(usize, event::RequestId, usize),
    LoadRow(usize, event::RowKey),
    StoreRow(usize, u64, event::Row),
}

/// A request that the simulation has sent and that has no answer yet.
#[derive(Clone, Debug)]
struct PendingRequest {
    session: event::SessionId,
    is_write: bool,
    instance: usize,
    position: position::Position,
    /// Newest write acknowledged to the caller before it sent the request.
    floor: Option<position::Position>,
}

/// Newest positions that a session has seen acknowledged: of the write itself,
/// and as the daemon reported it in the token.
#[derive(Clone, Debug, Default)]
pub struct Caller {
    pub floor: Option<position::Position>,
    pub token: Option<position::Position>,
}

/// A simulated fleet with its faults, counters and records.
pub struct Simulation {
    pub now: time::Time,
    pub daemons: Vec<Daemon>,
    pub instances: Vec<FakeInstance>,
    pub paused: collections::BTreeSet<usize>,
    pub dead: collections::BTreeSet<usize>,
    /// Links between VMs, by sender and receiver, that lose every message.
    pub cut_peers: collections::BTreeSet<(usize, usize)>,
    /// Pairs of VM and instance that cannot reach each other.
    pub cut_instances: collections::BTreeSet<(usize, usize)>,
    /// VMs that cannot reach the store.
    pub cut_store: collections::BTreeSet<usize>,
    pub store_down: bool,
    /// Number of further answers to writes that the store loses after it has applied
    /// the write.
    pub lose_answers: usize,
    pub duplicate_messages: bool,
    pub drop_transfers: bool,
    /// Whether instances report their status with a commit.
    pub reports_position: bool,
    pub violations: Vec<String>,
    pub decisions: Vec<String>,
    pub acknowledged_writes: u64,
    pub refusals: collections::BTreeMap<String, u64>,
    pub replica_reads: u64,
    pub primary_reads: u64,
    pub admitted_at: Vec<time::Time>,
    pub outcomes: Vec<String>,
    rows: collections::BTreeMap<event::RowKey, (u64, event::Row)>,
    /// Number of times that the store has come back from a copy.
    era: u64,
    copied_rows: collections::BTreeMap<event::RowKey, (u64, event::Row)>,
    deliveries: delay_queue::Queue<Delivery>,
    pending: collections::BTreeMap<event::RequestId, PendingRequest>,
    acked_positions: Vec<position::Position>,
    newest_primary: (position::Term, usize),
    pub callers: collections::BTreeMap<event::SessionId, Caller>,
    listed: Vec<bool>,
    vm_names: Vec<Name>,
    last_id: u64,
    setups: Vec<Setup>,
}

/// Size and settings of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Options {
    pub vms: usize,
    pub instances: usize,
    pub rate: u32,
    pub burst: u32,
    pub age_ms: u64,
    pub durability: &'static str,
    pub lease_ms: u64,
    /// Lease of VM 0, where it differs from that of the other VMs.
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
    Name::try_from(raw).expect("the name is valid")
}

const fn ms(n: u64) -> std_time::Duration {
    std_time::Duration::from_millis(n)
}

impl Simulation {
    /// Starts a fleet and waits until its first configuration is in force.
    pub fn new(options: &Options) -> Self {
        let mut sim = Self::unconfigured(options);
        sim.submit_note(0, &initial_note(options));
        sim.run(ms(4000));
        assert!(
            sim.daemons.iter().all(Daemon::is_ready),
            "not every daemon is ready after the start"
        );
        sim
    }

    fn unconfigured(options: &Options) -> Self {
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
                poll_period: ms(50),
                suspicion_timeout: ms(250),
                gossip_period: ms(100),
                refusal_timeout: ms(options.refusal_ms),
                platform_period: ms(500),
                stop_timeout: ms(10_000),
                leave_period: ms(0),
                drain_timeout: ms(5_000),
                evacuation_timeout: ms(3000),
                tick_period: ms(2),
                idle_period: ms(2),
            },
            limits: config::Limits {
                message_bytes: 1 << 20,
                max_sessions: 1000,
                startup_timeout: ms(1000),
                idle_timeout: ms(1000),
                wait_timeout: ms(3000),
                queue_length: 64,
                burst_tolerance: 0,
                overage_ppm: 0,
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
        let daemons = setups
            .iter()
            .map(|s| Daemon::new(s.clone(), start).expect("the policies are known"));
        let fake = |i: usize| FakeInstance {
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
            is_alive: true,
            replay_paused: false,
            is_isolated: false,
        };
        Self {
            now: start,
            daemons: daemons.collect(),
            instances: (0..options.instances).map(fake).collect(),
            paused: collections::BTreeSet::new(),
            dead: collections::BTreeSet::new(),
            cut_peers: collections::BTreeSet::new(),
            cut_instances: collections::BTreeSet::new(),
            cut_store: collections::BTreeSet::new(),
            store_down: false,
            lose_answers: 0,
            duplicate_messages: false,
            drop_transfers: false,
            reports_position: true,
            violations: Vec::new(),
            decisions: Vec::new(),
            acknowledged_writes: 0,
            refusals: collections::BTreeMap::new(),
            replica_reads: 0,
            primary_reads: 0,
            admitted_at: Vec::new(),
            outcomes: Vec::new(),
            rows: collections::BTreeMap::new(),
            era: 0,
            copied_rows: collections::BTreeMap::new(),
            deliveries: delay_queue::Queue::default(),
            pending: collections::BTreeMap::new(),
            acked_positions: Vec::new(),
            newest_primary: (position::Term(1), 0),
            callers: collections::BTreeMap::new(),
            listed: vec![true; options.vms],
            vm_names: setups.iter().map(|s| s.vm.clone()).collect(),
            last_id: 1,
            setups,
        }
    }

    fn record_violation(&mut self, text: String) {
        if !self.violations.contains(&text) {
            self.violations.push(text);
        }
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
            while let Some(delivery) = self.deliveries.pop_due(self.now) {
                self.deliver(delivery);
            }
            if self.now.0.is_multiple_of(500_000) {
                self.publish_vms();
            }
            for vm in 0..self.daemons.len() {
                self.dispatch(vm, event::Event::Tick);
            }
        }
    }

    fn publish_vms(&mut self) {
        let listed = (0..self.daemons.len()).filter(|vm| self.listed[*vm]);
        let vms: Vec<_> = listed
            .map(|vm| event::Vm {
                name: self.vm_names[vm].clone(),
                domain: self.setups[vm].domain.clone(),
                region: self.setups[vm].region.clone(),
                peer: String::new(),
                leaving: false,
            })
            .collect();
        for vm in 0..self.daemons.len() {
            if !self.store_down && !self.cut_store.contains(&vm) {
                self.schedule(
                    STEP,
                    Delivery::Event(vm, event::Event::VmsListed(vms.clone())),
                );
            }
        }
    }

    /// Removes a VM from the platform's list.
    pub fn delist(&mut self, vm: usize) {
        self.listed[vm] = false;
    }

    /// Replaces the daemon of a VM by a new process with a new incarnation.
    pub fn restart(&mut self, vm: usize) {
        self.setups[vm].incarnation += 100;
        let daemon = Daemon::new(self.setups[vm].clone(), self.now);
        self.daemons[vm] = daemon.expect("the policies are known");
        self.dead.remove(&vm);
        self.paused.remove(&vm);
    }

    fn replicate(&mut self) {
        let newest = self
            .instances
            .iter()
            .filter(|i| i.is_alive && !i.is_isolated && i.status.role == position::Role::Primary)
            .map(|i| i.status)
            .max_by_key(|s| s.term);
        let Some(source) = newest else {
            return;
        };
        for fake in &mut self.instances {
            let status = &mut fake.status;
            if !fake.is_alive || fake.is_isolated || status.promised > source.term {
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
            if !fake.replay_paused || status.role == position::Role::Primary {
                status.replayed = status.received;
            }
        }
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
        let before = self.daemons[vm].revision();
        let actions = self.daemons[vm].handle(self.now, event);
        if self.daemons[vm].revision() < before {
            self.record_violation("a revision went back".into());
        }
        for action in actions {
            self.perform(vm, action);
        }
    }

    fn instance_index(&self, name: &str) -> usize {
        name.trim_start_matches("db-")
            .parse()
            .expect("instance names are `db-` and a number")
    }

    fn perform(&mut self, vm: usize, action: event::Action) {
        match action {
            event::Action::Poll(name) => {
                let delivery = Delivery::Poll(vm, self.instance_index(&name), self.now);
                self.schedule(STEP, delivery);
            }
            event::Action::Fence(name, term, _) => {
                let delivery = Delivery::Fence(vm, self.instance_index(&name), term);
                self.schedule(STEP, delivery);
            }
            event::Action::Promote(name, term) => {
                let delivery = Delivery::Promote(vm, self.instance_index(&name), term);
                self.schedule(STEP, delivery);
            }
            event::Action::Send(to, message) => self.send(vm, &to, message),
            event::Action::LoadRow(key) => self.schedule(STEP, Delivery::LoadRow(vm, key)),
            event::Action::ChangeRow(change) => {
                let row = change.row.expect("no row is removed");
                self.schedule(STEP, Delivery::StoreRow(vm, change.version, row));
            }
            event::Action::Grant(grant) => {
                let (id, instance) = (grant.request, self.instance_index(&grant.instance));
                if self.pending.contains_key(&id) {
                    self.admitted_at.push(self.now);
                }
                self.schedule(STEP, Delivery::Execute(vm, id, instance));
            }
            event::Action::RefuseRequest(id, refusal) => {
                let state = refusal.cause.sqlstate().to_string();
                *self.refusals.entry(state).or_default() += 1;
                self.pending.remove(&id);
            }
            event::Action::AcknowledgeCommit(id, floor, _) => self.acknowledge(id, floor),
            event::Action::RejectSession(_, refusal) | event::Action::EndSession(_, refusal) => {
                let state = refusal.cause.sqlstate().to_string();
                *self.refusals.entry(state).or_default() += 1;
            }
            event::Action::AnswerOperator(_, outcome) => self.outcomes.push(outcome.to_string()),
            event::Action::RecordDecision(entry) => {
                let text = format!("{}: {}", self.vm_names[vm], entry.decision);
                self.decisions.push(text);
            }
            _ => {}
        }
    }

    fn send(&mut self, from: usize, to: &Name, message: message::Message) {
        let Some(to) = self.vm_names.iter().position(|name| name == to) else {
            return;
        };
        let lost = self.drop_transfers && matches!(message, message::Message::Transfer(_));
        if lost || self.cut_peers.contains(&(from, to)) {
            return;
        }
        let event = event::Event::MessageReceived(self.vm_names[from].clone(), message);
        self.schedule(STEP, Delivery::Event(to, event.clone()));
        if self.duplicate_messages {
            self.schedule(STEP * 3, Delivery::Event(to, event));
        }
    }

    fn can_reach(&self, vm: usize, instance: usize) -> bool {
        self.instances[instance].is_alive && !self.cut_instances.contains(&(vm, instance))
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(vm, event) => self.dispatch(vm, event),
            Delivery::Poll(vm, instance, sent) => {
                let status = self
                    .can_reach(vm, instance)
                    .then(|| self.instances[instance].status);
                let reply = event::PollReply {
                    instance: instance_name(instance),
                    sent,
                    status,
                };
                let delay = if status.is_some() { STEP } else { ms(20) };
                self.schedule(
                    delay,
                    Delivery::Event(vm, event::Event::PollAnswered(reply)),
                );
            }
            Delivery::Fence(vm, instance, term) => {
                let reply = self.fence(vm, instance, term);
                self.schedule(
                    STEP,
                    Delivery::Event(vm, event::Event::FenceAnswered(reply)),
                );
            }
            Delivery::Promote(vm, instance, term) => {
                let reply = self.promote(vm, instance, term);
                self.schedule(
                    STEP,
                    Delivery::Event(vm, event::Event::PromotionAnswered(reply)),
                );
            }
            Delivery::Execute(vm, id, instance) => self.execute(vm, id, instance),
            Delivery::LoadRow(vm, key) => {
                let outcome = self.load_row(vm, &key);
                self.schedule(
                    STEP,
                    Delivery::Event(vm, event::Event::RowLoaded(key, outcome)),
                );
            }
            Delivery::StoreRow(vm, version, row) => self.store_row(vm, version, row),
        }
    }

    fn fence(&mut self, vm: usize, instance: usize, term: position::Term) -> event::TermReply {
        let candidate = self.vm_names[vm].to_string();
        let is_reached = self.can_reach(vm, instance);
        let fake = &mut self.instances[instance];
        let is_repeat = fake.status.promised == term && fake.candidate.as_ref() == Some(&candidate);
        let accepted = is_reached && (is_repeat || term > fake.status.promised);
        if accepted {
            fake.status.promised = term;
            fake.candidate = Some(candidate);
        }
        let status = is_reached.then_some(fake.status);
        event::TermReply {
            instance: instance_name(instance),
            term,
            accepted,
            status,
        }
    }

    fn promote(&mut self, vm: usize, instance: usize, term: position::Term) -> event::TermReply {
        let candidate = self.vm_names[vm].to_string();
        let is_reached = self.can_reach(vm, instance);
        let fake = &mut self.instances[instance];
        let is_holder = fake.status.promised == term && fake.candidate.as_ref() == Some(&candidate);
        let accepted = is_reached && is_holder;
        if accepted && fake.status.term < term {
            fake.status.term = term;
            fake.status.role = position::Role::Primary;
            fake.status.replayed = fake.status.received;
            fake.status.start = fake.status.received;
            let start = fake.status.start;
            self.check_promotion(instance, term, start);
        }
        let fake = &self.instances[instance];
        let status = is_reached.then_some(fake.status);
        event::TermReply {
            instance: instance_name(instance),
            term,
            accepted,
            status,
        }
    }

    fn check_promotion(&mut self, instance: usize, term: position::Term, start: position::Lsn) {
        if term <= self.newest_primary.0 {
            self.record_violation(format!("two primaries in term {term}"));
        }
        self.newest_primary = (term, instance);
        let lost = self
            .acked_positions
            .iter()
            .filter(|f| f.term < term && f.lsn > start)
            .count();
        if lost > 0 {
            self.record_violation("an acknowledged write is lost".into());
        }
    }

    fn execute(&mut self, vm: usize, id: event::RequestId, instance: usize) {
        let Some(pending) = self.pending.get(&id).cloned() else {
            return;
        };
        if self.dead.contains(&vm) {
            return;
        }
        let is_reached = self.can_reach(vm, instance);
        let status = &mut self.instances[instance].status;
        let is_writable = status.role == position::Role::Primary && status.promised == status.term;
        let outcome = match (is_reached, pending.is_write, is_writable) {
            (false, _, _) => event::RequestOutcome::Unsent,
            (true, true, false) => event::RequestOutcome::ReadOnly,
            (true, true, true) => {
                status.received.0 += 1;
                status.replayed = status.received;
                event::RequestOutcome::Committed(self.reports_position.then_some(*status))
            }
            (true, false, _) => event::RequestOutcome::Uncommitted,
        };
        let seen = self.instances[instance].status;
        let position = position::Position {
            term: seen.term,
            lsn: seen.received,
        };
        if let Some(pending) = self.pending.get_mut(&id) {
            pending.instance = instance;
            pending.position = position;
        }
        if outcome == event::RequestOutcome::Uncommitted {
            self.check_read(&pending, instance);
        }
        if !matches!(outcome, event::RequestOutcome::Committed(_)) {
            self.pending.remove(&id);
        }
        self.schedule(
            STEP,
            Delivery::Event(vm, event::Event::ConnectionReleased(id, outcome)),
        );
    }

    /// Checks that a read shows every acknowledged write of its caller.
    fn check_read(&mut self, pending: &PendingRequest, instance: usize) {
        let status = self.instances[instance].status;
        if status.role == position::Role::Primary {
            self.primary_reads += 1;
        } else {
            self.replica_reads += 1;
        }
        let Some(floor) = pending.floor else {
            return;
        };
        let is_visible = if status.term == floor.term {
            status.replayed >= floor.lsn
        } else {
            status.term > floor.term && status.replayed >= floor.lsn.min(status.start)
        };
        if !is_visible {
            self.record_violation("a caller did not see its own write".into());
        }
    }

    fn acknowledge(&mut self, id: event::RequestId, floor: position::Position) {
        let Some(pending) = self.pending.remove(&id) else {
            self.record_violation("a request was answered twice".into());
            return;
        };
        self.acknowledged_writes += 1;
        if self.newest_primary.0 > pending.position.term {
            self.record_violation("a replaced primary acknowledged a write".into());
        }
        self.acked_positions.push(pending.position);
        let caller = self.callers.entry(pending.session).or_default();
        caller.floor = caller.floor.max(Some(pending.position));
        caller.token = caller.token.max(Some(floor));
    }

    /// Copies the rows of the store.
    pub fn copy_store(&mut self) {
        self.copied_rows.clone_from(&self.rows);
    }

    /// Returns the store to the copy, and starts a new era.
    pub fn restore_store(&mut self) {
        self.rows.clone_from(&self.copied_rows);
        self.era += 1;
    }

    /// Version of a row's number in the present era.
    fn version(&self, number: u64) -> u64 {
        let version = version::Version::try_from((self.era, number));
        version.expect("the number is in range").into()
    }

    fn load_row(&mut self, vm: usize, key: &event::RowKey) -> event::LoadOutcome {
        if self.store_down || self.cut_store.contains(&vm) {
            return event::LoadOutcome::Unavailable;
        }
        match self.rows.get(key) {
            Some((number, row)) => event::LoadOutcome::Found(self.version(*number), row.clone()),
            None => event::LoadOutcome::Missing,
        }
    }

    fn store_row(&mut self, vm: usize, version: u64, row: event::Row) {
        let key = row.key();
        let number = self.rows.get(&key).map_or(0, |(number, _)| *number);
        let current = if number == 0 { 0 } else { self.version(number) };
        let outcome = if self.store_down || self.cut_store.contains(&vm) {
            event::StoreOutcome::Unknown
        } else if current != version {
            event::StoreOutcome::Conflict
        } else {
            self.rows.insert(key.clone(), (number + 1, row));
            if self.lose_answers > 0 {
                self.lose_answers -= 1;
                event::StoreOutcome::Unknown
            } else {
                event::StoreOutcome::Written(self.version(number + 1))
            }
        };
        self.schedule(
            STEP,
            Delivery::Event(vm, event::Event::RowStored(key, outcome)),
        );
    }

    /// Submits a release note through a VM.
    pub fn submit_note(&mut self, vm: usize, text: &str) {
        let origin = config::Origin("note".into());
        let note = config::read_note(text, &origin).expect("the note is valid");
        self.last_id += 1;
        let submission = event::SubmissionId(self.last_id);
        self.dispatch(
            vm,
            event::Event::NoteSubmitted(submission, sync::Arc::new(note)),
        );
    }

    /// Opens a session with a key.
    pub fn open_session(
        &mut self,
        vm: usize,
        id: u64,
        key: &str,
        token: Option<position::Position>,
    ) {
        let request = event::SessionRequest {
            session: event::SessionId(id),
            digest: Some(config::KeyDigest::of(key.as_bytes())),
            route: "orders".into(),
            token,
        };
        self.dispatch(vm, event::Event::SessionRequested(request));
    }

    /// Sends a read or write on a session.
    pub fn send_request(&mut self, vm: usize, session: u64, is_write: bool) -> event::RequestId {
        self.last_id += 1;
        let id = event::RequestId(self.last_id);
        let session = event::SessionId(session);
        let floor = self.callers.get(&session).and_then(|caller| caller.floor);
        let pending = PendingRequest {
            session,
            is_write,
            instance: 0,
            position: position::Position::default(),
            floor,
        };
        self.pending.insert(id, pending);
        let access = if is_write {
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
        self.dispatch(vm, event::Event::ConnectionRequested(request));
        id
    }

    /// Checks that no time window has more admitted requests than rate and burst
    /// allow.
    pub fn check_rate(&mut self, rate: u64, burst: u64) {
        let times = self.admitted_at.clone();
        for (i, start) in times.iter().enumerate() {
            for (count, end) in (1..).zip(&times[i..]) {
                let span = end.0 - start.0 + time::micros(STEP);
                let allowed = burst * 1_000_000 + rate * span;
                if count * 1_000_000 > allowed + 1_000_000 {
                    self.record_violation("a customer got more than its rate and burst".into());
                    return;
                }
            }
        }
    }

    /// Units of the customer's rate that all running VMs hold together.
    pub fn rate_units(&self) -> u64 {
        let resource = kernel::budget::Resource::Rate(name(CUSTOMER));
        let running = (0..self.daemons.len()).filter(|vm| !self.dead.contains(vm));
        running
            .map(|vm| self.daemons[vm].budgets().units(&resource))
            .sum()
    }

    /// Units of the customer's rate that one VM holds.
    pub fn rate_units_of(&self, vm: usize) -> u64 {
        let resource = kernel::budget::Resource::Rate(name(CUSTOMER));
        self.daemons[vm].budgets().units(&resource)
    }

    /// Connections to an instance that all running VMs hold together.
    pub fn connection_units(&self, instance: usize) -> u64 {
        let resource = kernel::budget::Resource::Connections(instance_name(instance));
        let running = (0..self.daemons.len()).filter(|vm| !self.dead.contains(vm));
        running
            .map(|vm| self.daemons[vm].budgets().units(&resource))
            .sum()
    }

    /// Index and term of the primary that a VM takes as confirmed.
    pub fn confirmed_primary(&self, vm: usize) -> Option<(usize, u64)> {
        let group = self.daemons[vm].group("orders")?;
        let found = group.confirmation(self.now)?;
        Some((self.instance_index(&found.primary), found.term.0))
    }
}

fn instance_name(index: usize) -> Name {
    name(&format!("db-{index}"))
}

fn initial_note(options: &Options) -> String {
    use std::fmt::Write;
    let digest: String = config::KeyDigest::of(KEY.as_bytes()).into();
    // Without an age, reads see the session's own writes.
    let age = match options.age_ms {
        0 => String::new(),
        ms => format!("age: {ms}ms, "),
    };
    let mut out = format!(
        "note: first\nadded:\n  customers:\n    - {{name: {CUSTOMER}, rate: {}, burst: {}, keys: [{{name: first, digest: \"{digest}\"}}]}}\n  routes:\n    - {{name: orders, group: orders, database: orders, {}customers: [{CUSTOMER}]}}\n  groups:\n    - name: orders\n      durability: {}\n      instances:\n",
        options.rate, options.burst, age, options.durability
    );
    for i in 0..options.instances {
        let _ = writeln!(
            out,
            "        - {{name: db-{i}, address: \"127.0.0.1:1\", domain: domain-{i}, connections: 40}}"
        );
    }
    out
}
