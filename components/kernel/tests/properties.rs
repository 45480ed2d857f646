//! Properties over generated interleavings of load and faults.
//!
//! Every run uses a fixed seed, so a failure repeats.

mod common;

use std::time;

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
enum Act {
    Write(u8),
    Read(u8),
    Roam(u8),
    CutPeers(u8),
    JoinPeers(u8),
    CutInstance(u8, u8),
    JoinInstance(u8, u8),
    KillInstance(u8),
    ReviveInstance(u8),
    HoldReplay(u8),
    ReleaseReplay(u8),
    Isolate(u8),
    Join(u8),
    Pause(u8),
    Resume(u8),
    Restart(u8),
    StoreDown,
    StoreUp,
    LoseAnswer,
    Double,
    Once,
    DropGives,
    KeepGives,
    Note(u8),
    Run(u16),
}

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        match u8::arbitrary(g) % 40 {
            0..=9 => Act::Write(a),
            10..=15 => Act::Read(a),
            16 => Act::Roam(a),
            17 => Act::CutPeers(a),
            18 => Act::JoinPeers(a),
            19 => Act::CutInstance(a, b),
            20 => Act::JoinInstance(a, b),
            21 => Act::KillInstance(a),
            22 => Act::ReviveInstance(a),
            23 => Act::HoldReplay(a),
            24 => Act::ReleaseReplay(a),
            25 => Act::Isolate(a),
            26 => Act::Join(a),
            27 => Act::Pause(a),
            28 => Act::Resume(a),
            29 => Act::Restart(a),
            30 => Act::StoreDown,
            31 => Act::StoreUp,
            32 => Act::LoseAnswer,
            33 => Act::Double,
            34 => Act::Once,
            35 => Act::DropGives,
            36 => Act::KeepGives,
            37 => Act::Note(a),
            _ => Act::Run(u16::arbitrary(g) % 900),
        }
    }
}

struct Driver {
    world: common::World,
    sessions: Vec<u64>,
    notes: u32,
}

impl Driver {
    fn new(options: &common::Options) -> Self {
        let mut world = common::World::new(options);
        let sessions: Vec<_> = (0..world.kernels.len() as u64).map(|i| i + 1).collect();
        for (vm, session) in sessions.iter().enumerate() {
            world.session(vm, *session, common::KEY, None);
        }
        world.run(time::Duration::from_millis(20));
        Self {
            world,
            sessions,
            notes: 0,
        }
    }

    fn act(&mut self, act: Act) {
        let world = &mut self.world;
        let vms = world.kernels.len();
        let vm = |a: u8| usize::from(a) % vms;
        let db = |a: u8| usize::from(a) % world.instances.len();
        let others = |a: usize| (0..vms).filter(move |b| *b != a);
        match act {
            Act::Write(a) => {
                world.request(vm(a), self.sessions[vm(a)], true);
            }
            Act::Read(a) => {
                world.request(vm(a), self.sessions[vm(a)], false);
            }
            Act::Roam(a) => {
                // The caller of one VM opens its session at another one.
                let (from, to) = (vm(a), vm(a.wrapping_add(1)));
                self.sessions.swap(from, to);
                let session = self.sessions[to];
                world.session(to, session, common::KEY, None);
                let session = self.sessions[from];
                world.session(from, session, common::KEY, None);
            }
            Act::CutPeers(a) => {
                for b in others(vm(a)) {
                    world.cut_peers.extend([(vm(a), b), (b, vm(a))]);
                }
            }
            Act::JoinPeers(a) => {
                for b in others(vm(a)) {
                    world.cut_peers.remove(&(vm(a), b));
                    world.cut_peers.remove(&(b, vm(a)));
                }
            }
            Act::CutInstance(a, b) => {
                world.cut_instances.insert((vm(a), db(b)));
            }
            Act::JoinInstance(a, b) => {
                world.cut_instances.remove(&(vm(a), db(b)));
            }
            Act::KillInstance(a) => world.instances[usize::from(a) % 3].alive = false,
            Act::ReviveInstance(a) => world.instances[usize::from(a) % 3].alive = true,
            Act::HoldReplay(a) => world.instances[usize::from(a) % 3].held_replay = true,
            Act::ReleaseReplay(a) => world.instances[usize::from(a) % 3].held_replay = false,
            Act::Isolate(a) => world.instances[usize::from(a) % 3].isolated = true,
            Act::Join(a) => world.instances[usize::from(a) % 3].isolated = false,
            Act::Pause(a) => {
                world.paused.insert(vm(a));
            }
            Act::Resume(a) => {
                world.paused.remove(&vm(a));
            }
            Act::Restart(a) => {
                let vm = vm(a);
                world.restart(vm);
                let session = self.sessions[vm];
                world.session(vm, session, common::KEY, None);
            }
            Act::StoreDown => world.store_down = true,
            Act::StoreUp => world.store_down = false,
            Act::LoseAnswer => world.lose_answers += 1,
            Act::Double => world.double = true,
            Act::Once => world.double = false,
            Act::DropGives => world.drop_gives = true,
            Act::KeepGives => world.drop_gives = false,
            Act::Note(a) => {
                self.notes += 1;
                let text = format!(
                    "note: n{0}\nadded:\n  customers: [{{name: c{0}, rate: 1, burst: 1}}]\n",
                    self.notes
                );
                world.apply(vm(a), &text);
            }
            Act::Run(ms) => world.run(time::Duration::from_millis(ms.into())),
        }
        self.world.run(time::Duration::from_millis(3));
        self.check();
    }

    /// What holds after every act.
    fn check(&mut self) {
        if self.world.rate_units() > kernel::budget::RATE_UNITS {
            self.world.violations.push("rate units were made".into());
        }
        for instance in 0..self.world.instances.len() {
            if self.world.connection_units(instance) > 40 {
                self.world.violations.push("connections were made".into());
            }
        }
    }

    /// All faults end; the fleet must come back.
    fn heal(&mut self) {
        let world = &mut self.world;
        world.cut_peers.clear();
        world.cut_instances.clear();
        world.paused.clear();
        world.store_down = false;
        world.double = false;
        world.drop_gives = false;
        for fake in &mut world.instances {
            fake.alive = true;
            fake.isolated = false;
            fake.held_replay = false;
        }
        world.run(time::Duration::from_millis(12_000));
        for (vm, session) in self.sessions.iter().enumerate() {
            world.session(vm, *session, common::KEY, None);
        }
        world.run(time::Duration::from_millis(100));
        let before = world.acknowledged;
        for (vm, session) in self.sessions.iter().enumerate() {
            world.request(vm, *session, true);
        }
        world.run(time::Duration::from_millis(500));
        if world.acknowledged != before + self.sessions.len() as u64 {
            let shares: Vec<_> = (0..world.kernels.len())
                .map(|vm| world.rate_units_of(vm))
                .collect();
            let tail: Vec<_> = world.log.iter().rev().take(8).collect();
            let text = format!(
                "writes did not come back, refused {:?}, shares {shares:?}, last {tail:?}",
                world.refused
            );
            world.violations.push(text);
        }
    }
}

fn holds(acts: Vec<Act>, options: &common::Options) -> TestResult {
    let mut driver = Driver::new(options);
    for act in &acts {
        driver.act(*act);
        if !driver.world.violations.is_empty() {
            break;
        }
    }
    if driver.world.violations.is_empty() {
        driver.heal();
    }
    let (rate, burst) = (options.rate.into(), options.burst.into());
    driver.world.check_rate(rate, burst);
    if driver.world.violations.is_empty() {
        return TestResult::passed();
    }
    TestResult::error(format!("{:?}", driver.world.violations))
}

fn check(seed: u64, tests: u64, options: &'static common::Options) {
    let property = move |acts: Vec<Act>| holds(acts, options);
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, seed))
        .tests(tests)
        .quickcheck(Wrapped(property));
}

/// Gives a closure the shape that `quickcheck` tests.
struct Wrapped<F>(F);

impl<F: Fn(Vec<Act>) -> TestResult + 'static> quickcheck::Testable for Wrapped<F> {
    fn result(&self, g: &mut Gen) -> TestResult {
        let acts = Vec::<Act>::arbitrary(g);
        let result = (self.0)(acts.clone());
        if !result.is_failure() {
            return result;
        }
        let smaller = shrink(acts, &self.0);
        let result = (self.0)(smaller.clone());
        TestResult::error(format!("{result:?} after {smaller:?}"))
    }
}

/// Drops acts as long as the failure stays.
fn shrink(mut acts: Vec<Act>, fails: &dyn Fn(Vec<Act>) -> TestResult) -> Vec<Act> {
    let mut size = acts.len() / 2;
    while size > 0 {
        let mut at = 0;
        while at < acts.len() {
            let mut fewer = acts.clone();
            fewer.drain(at..(at + size).min(acts.len()));
            if fails(fewer.clone()).is_failure() {
                acts = fewer;
            } else {
                at += size;
            }
        }
        size /= 2;
    }
    acts
}

static PLENTY: std::sync::LazyLock<common::Options> =
    std::sync::LazyLock::new(common::Options::default);

static SCARCE: std::sync::LazyLock<common::Options> =
    std::sync::LazyLock::new(|| common::Options {
        vms: 4,
        rate: 40,
        burst: 10,
        ..common::Options::default()
    });

#[test]
fn promises_hold_under_faults() {
    check(1, 40, &PLENTY);
}

#[test]
fn rate_holds_under_faults() {
    check(2, 40, &SCARCE);
}
