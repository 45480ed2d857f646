//! Property tests over generated sequences of load and faults.
//!
//! The seeds are fixed, so a failure is reproducible.

mod instance_arbiter;

use std::time;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// A request, fault, repair or pause. The numbers select a VM or an instance,
/// modulo their count; the number of `Run` is a time in milliseconds.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write(u8),
    Read(u8),
    MoveSession(u8),
    CutPeers(u8),
    HealPeers(u8),
    CutInstance(u8, u8),
    HealInstance(u8, u8),
    KillInstance(u8),
    ReviveInstance(u8),
    PauseReplay(u8),
    ResumeReplay(u8),
    IsolateInstance(u8),
    RejoinInstance(u8),
    PauseVm(u8),
    ResumeVm(u8),
    RestartVm(u8),
    StoreDown,
    StoreUp,
    LoseStoreAnswer,
    DuplicateMessages,
    DeliverOnce,
    DropTransfers,
    DeliverTransfers,
    SubmitNote(u8),
    Run(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 40 {
            0..=9 => Step::Write(a),
            10..=15 => Step::Read(a),
            16 => Step::MoveSession(a),
            17 => Step::CutPeers(a),
            18 => Step::HealPeers(a),
            19 => Step::CutInstance(a, b),
            20 => Step::HealInstance(a, b),
            21 => Step::KillInstance(a),
            22 => Step::ReviveInstance(a),
            23 => Step::PauseReplay(a),
            24 => Step::ResumeReplay(a),
            25 => Step::IsolateInstance(a),
            26 => Step::RejoinInstance(a),
            27 => Step::PauseVm(a),
            28 => Step::ResumeVm(a),
            29 => Step::RestartVm(a),
            30 => Step::StoreDown,
            31 => Step::StoreUp,
            32 => Step::LoseStoreAnswer,
            33 => Step::DuplicateMessages,
            34 => Step::DeliverOnce,
            35 => Step::DropTransfers,
            36 => Step::DeliverTransfers,
            37 => Step::SubmitNote(a),
            _ => Step::Run(u16::arbitrary(g) % 900),
        }
    }
}

struct Driver {
    sim: instance_arbiter::Simulation,
    sessions: Vec<u64>,
    note_count: u32,
}

impl Driver {
    fn new(options: &instance_arbiter::Options) -> Self {
        let mut sim = instance_arbiter::Simulation::new(options);
        let sessions: Vec<_> = (0..sim.daemons.len() as u64).map(|i| i + 1).collect();
        for (vm, session) in sessions.iter().enumerate() {
            sim.open_session(vm, *session, instance_arbiter::KEY, None);
        }
        sim.run(time::Duration::from_millis(20));
        Self {
            sim,
            sessions,
            note_count: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        let sim = &mut self.sim;
        let vms = sim.daemons.len();
        let vm = |a: u8| usize::from(a) % vms;
        let db = |a: u8| usize::from(a) % sim.instances.len();
        let others = |a: usize| (0..vms).filter(move |b| *b != a);
        match step {
            Step::Write(a) => {
                sim.send_request(vm(a), self.sessions[vm(a)], true);
            }
            Step::Read(a) => {
                sim.send_request(vm(a), self.sessions[vm(a)], false);
            }
            Step::MoveSession(a) => {
                // The callers of two VMs swap VMs and open their sessions again.
                let (from, to) = (vm(a), vm(a.wrapping_add(1)));
                self.sessions.swap(from, to);
                let session = self.sessions[to];
                sim.open_session(to, session, instance_arbiter::KEY, None);
                let session = self.sessions[from];
                sim.open_session(from, session, instance_arbiter::KEY, None);
            }
            Step::CutPeers(a) => {
                for b in others(vm(a)) {
                    sim.cut_peers.extend([(vm(a), b), (b, vm(a))]);
                }
            }
            Step::HealPeers(a) => {
                for b in others(vm(a)) {
                    sim.cut_peers.remove(&(vm(a), b));
                    sim.cut_peers.remove(&(b, vm(a)));
                }
            }
            Step::CutInstance(a, b) => {
                sim.cut_instances.insert((vm(a), db(b)));
            }
            Step::HealInstance(a, b) => {
                sim.cut_instances.remove(&(vm(a), db(b)));
            }
            Step::KillInstance(a) => sim.instances[usize::from(a) % 3].is_alive = false,
            Step::ReviveInstance(a) => sim.instances[usize::from(a) % 3].is_alive = true,
            Step::PauseReplay(a) => sim.instances[usize::from(a) % 3].replay_paused = true,
            Step::ResumeReplay(a) => sim.instances[usize::from(a) % 3].replay_paused = false,
            Step::IsolateInstance(a) => sim.instances[usize::from(a) % 3].is_isolated = true,
            Step::RejoinInstance(a) => sim.instances[usize::from(a) % 3].is_isolated = false,
            Step::PauseVm(a) => {
                sim.paused.insert(vm(a));
            }
            Step::ResumeVm(a) => {
                sim.paused.remove(&vm(a));
            }
            Step::RestartVm(a) => {
                let vm = vm(a);
                sim.restart(vm);
                let session = self.sessions[vm];
                sim.open_session(vm, session, instance_arbiter::KEY, None);
            }
            Step::StoreDown => sim.store_down = true,
            Step::StoreUp => sim.store_down = false,
            Step::LoseStoreAnswer => sim.lose_answers += 1,
            Step::DuplicateMessages => sim.duplicate_messages = true,
            Step::DeliverOnce => sim.duplicate_messages = false,
            Step::DropTransfers => sim.drop_transfers = true,
            Step::DeliverTransfers => sim.drop_transfers = false,
            Step::SubmitNote(a) => {
                self.note_count += 1;
                let text = format!(
                    "note: n{0}\nadded:\n  customers: [{{name: c{0}, rate: 1, burst: 1}}]\n",
                    self.note_count
                );
                sim.submit_note(vm(a), &text);
            }
            Step::Run(ms) => sim.run(time::Duration::from_millis(ms.into())),
        }
        self.sim.run(time::Duration::from_millis(3));
        self.check_totals();
    }

    /// Checks that the VMs together never hold more of a budget than there is.
    fn check_totals(&mut self) {
        if self.sim.rate_units() > kernel::budget::RATE_UNITS {
            self.sim
                .violations
                .push("VMs hold more than the whole rate".into());
        }
        for instance in 0..self.sim.instances.len() {
            if self.sim.connection_units(instance) > 40 {
                self.sim
                    .violations
                    .push("VMs hold more connections than the instance accepts".into());
            }
        }
    }

    /// Ends all faults and checks that every VM serves writes again.
    fn heal(&mut self) {
        let sim = &mut self.sim;
        sim.cut_peers.clear();
        sim.cut_instances.clear();
        sim.paused.clear();
        sim.store_down = false;
        sim.duplicate_messages = false;
        sim.drop_transfers = false;
        for fake in &mut sim.instances {
            fake.is_alive = true;
            fake.is_isolated = false;
            fake.replay_paused = false;
        }
        sim.run(time::Duration::from_millis(12_000));
        for (vm, session) in self.sessions.iter().enumerate() {
            sim.open_session(vm, *session, instance_arbiter::KEY, None);
        }
        sim.run(time::Duration::from_millis(100));
        let before = sim.acknowledged_writes;
        for (vm, session) in self.sessions.iter().enumerate() {
            sim.send_request(vm, *session, true);
        }
        sim.run(time::Duration::from_millis(500));
        if sim.acknowledged_writes != before + self.sessions.len() as u64 {
            let shares: Vec<_> = (0..sim.daemons.len())
                .map(|vm| sim.rate_units_of(vm))
                .collect();
            let recent: Vec<_> = sim.decisions.iter().rev().take(8).collect();
            let text = format!(
                "not every write succeeded after the faults ended; refusals {:?}, shares {shares:?}, last decisions {recent:?}",
                sim.refusals
            );
            sim.violations.push(text);
        }
    }
}

fn run_steps(steps: Vec<Step>, options: &instance_arbiter::Options) -> TestResult {
    let mut driver = Driver::new(options);
    for step in &steps {
        driver.apply(*step);
        if !driver.sim.violations.is_empty() {
            break;
        }
    }
    if driver.sim.violations.is_empty() {
        driver.heal();
    }
    let (rate, burst) = (options.rate.into(), options.burst.into());
    driver.sim.check_rate(rate, burst);
    if driver.sim.violations.is_empty() {
        return TestResult::passed();
    }
    TestResult::error(format!("{:?}", driver.sim.violations))
}

fn check_property(seed: u64, tests: u64, options: &'static instance_arbiter::Options) {
    let property = move |steps: Vec<Step>| run_steps(steps, options);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, seed))
        .tests(tests)
        .quickcheck(Property(property));
}

/// A property over steps that `quickcheck` can run; shrinks a failing sequence.
struct Property<F>(F);

impl<F: Fn(Vec<Step>) -> TestResult + 'static> quickcheck::Testable for Property<F> {
    fn result(&self, g: &mut Gen) -> TestResult {
        let steps = Vec::<Step>::arbitrary(g);
        let result = (self.0)(steps.clone());
        if !result.is_failure() {
            return result;
        }
        let shrunk = shrink(steps, &self.0);
        let result = (self.0)(shrunk.clone());
        TestResult::error(format!("{result:?} after {shrunk:?}"))
    }
}

/// Removes steps from a failing sequence while the rest still fails.
fn shrink(mut steps: Vec<Step>, fails: &dyn Fn(Vec<Step>) -> TestResult) -> Vec<Step> {
    let mut size = steps.len() / 2;
    while size > 0 {
        let mut at = 0;
        while at < steps.len() {
            let mut candidate = steps.clone();
            candidate.drain(at..(at + size).min(steps.len()));
            if fails(candidate.clone()).is_failure() {
                steps = candidate;
            } else {
                at += size;
            }
        }
        size /= 2;
    }
    steps
}

static HIGH_RATE: std::sync::LazyLock<instance_arbiter::Options> =
    std::sync::LazyLock::new(instance_arbiter::Options::default);

static LOW_RATE: std::sync::LazyLock<instance_arbiter::Options> =
    std::sync::LazyLock::new(|| instance_arbiter::Options {
        vms: 4,
        rate: 40,
        burst: 10,
        ..instance_arbiter::Options::default()
    });

#[test]
fn guarantees_hold_under_faults() {
    check_property(1, 40, &HIGH_RATE);
}

#[test]
fn rate_limit_holds_under_faults() {
    check_property(2, 40, &LOW_RATE);
}
