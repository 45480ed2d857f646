//! Limit on the requests to cold instances, under load and faults.

#[allow(dead_code)]
mod store_arbiter;

use errors::Cause;
use kernel::budget::Resource;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use store_arbiter::{Options, Simulation, ms};

/// Requests per second that a cold instance gets.
const RATE: u32 = 20;
/// Time for which an instance is cold.
const PERIOD_MS: u64 = 15_000;

/// 24 VMs of one region, with a limit on cold instances and with connections for all.
fn large_fleet() -> Simulation {
    let mut sim = Simulation::new(&Options {
        vms: 24,
        lease_ms: 3000,
        connections: 100,
        warmup: Some(config::Warmup {
            period_ms: PERIOD_MS,
            rate: RATE,
        }),
        ..Options::default()
    });
    sim.run(ms(3000));
    sim
}

/// Restarts an instance under its name; the new process is cold.
fn restart_instance(sim: &mut Simulation, instance: usize) {
    sim.instances[instance].is_alive = false;
    sim.run(ms(1000));
    start_instance(sim, instance);
    sim.run(ms(500));
}

fn start_instance(sim: &mut Simulation, instance: usize) {
    let fake = &mut sim.instances[instance];
    fake.is_alive = true;
    fake.started += 1000;
    fake.warmup_ms = Some(PERIOD_MS);
}

/// Sends reads through the VMs, one per VM every 10 ms.
fn press(sim: &mut Simulation, vms: &[usize], span: u64) {
    let open = |vm: &usize| (*vm, sim.open_session(*vm, "aged"));
    let sessions: Vec<_> = vms.iter().map(open).collect();
    for _ in 0..span / 10 {
        for (vm, session) in &sessions {
            sim.send_request(*vm, *session, false);
        }
        sim.run(ms(10));
    }
}

/// Most statements that reached an instance in any second from a time on.
fn peak(sim: &Simulation, instance: usize, since: kernel::time::Time) -> usize {
    let own = sim
        .arrivals
        .iter()
        .filter(|(at, i)| *i == instance && *at >= since);
    let times: Vec<_> = own.map(|(at, _)| *at).collect();
    let count = |start: &kernel::time::Time| {
        let in_window = times
            .iter()
            .filter(|at| *at >= start && at.since(*start) < ms(1000));
        in_window.count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

fn limit() -> usize {
    RATE as usize
}

/// VMs that hold tokens of an instance.
fn holders(sim: &Simulation, instance: usize) -> Vec<usize> {
    let resource = Resource::Warmup(store_arbiter::name(&format!("db-{instance}")));
    let units = |vm: &usize| sim.daemons[*vm].budgets().units(&resource);
    (0..sim.daemons.len()).filter(|vm| units(vm) > 0).collect()
}

/// Sum of the units that fresh VMs hold of the limit on an instance.
fn usable_units(sim: &Simulation, instance: usize) -> u64 {
    let resource = Resource::Warmup(store_arbiter::name(&format!("db-{instance}")));
    let fresh = sim.daemons.iter().filter(|kernel| kernel.is_fresh());
    fresh.map(|kernel| kernel.budgets().units(&resource)).sum()
}

fn all() -> Vec<usize> {
    (0..24).collect()
}

/// Makes the instances cold that are not under test, so that reads need `instance`.
fn lose_others(sim: &mut Simulation, instance: usize) {
    for other in (1..3).filter(|other| *other != instance) {
        sim.instances[other].is_alive = false;
        sim.lapsed_entries.insert(other);
    }
}

#[test]
fn the_token_limit_keeps_every_second_within_the_rate() {
    for rate in 5..500 {
        let limit = kernel::warmup::token_limit(rate);
        // The rate is in thousandths of a token per second.
        let most = limit.burst * 1000 + limit.rate + limit.rate * 400 / 1000;
        assert!(most <= u64::from(rate) * 1000, "{rate}: {limit:?}");
        assert!(limit.rate > 0 && limit.burst >= 2, "{rate}: {limit:?}");
    }
    // Guards against a rate of 0 that leaves a burst.
    let none = kernel::warmup::token_limit(0);
    assert_eq!((none.rate, none.burst), (0, 0));
}

#[test]
fn the_end_of_an_evacuation_starts_a_period_that_the_registration_does_not_end() {
    let limit = config::Warmup {
        period_ms: PERIOD_MS,
        rate: RATE,
    };
    let instance = config::Instance {
        name: store_arbiter::name("db-0"),
        address: ([127, 0, 0, 1], 5000).into(),
        domain: store_arbiter::name("domain-0"),
        connections: 16,
        leaving: false,
    };
    let entry = kernel::view::Registration {
        group: store_arbiter::name("orders"),
        address: instance.address,
        domain: instance.domain.clone(),
        leaving: false,
        leads: false,
        born: 1,
        warmup_ms: Some(0),
    };
    let mut fleet = config::Fleet::default();
    let group = config::Group {
        durability: config::Durability::Primary,
        warmup: Some(limit),
        instances: vec![instance.clone()],
    };
    fleet.groups.insert(store_arbiter::name("orders"), group);
    let at = kernel::time::Time::from_ms;
    let mut state = kernel::warmup::State::default();
    state.configure(&fleet);
    state.observe([(&instance.name, &entry)].into_iter(), at(1000));
    assert!(state.cold_until(&instance.name) <= at(1000));
    state.start(&instance.name, at(2000));
    state.observe([(&instance.name, &entry)].into_iter(), at(3000));
    assert_eq!(state.cold_until(&instance.name), at(2000 + PERIOD_MS));
    // Without a limit there is no period.
    let mut state = kernel::warmup::State::default();
    state.configure(&config::Fleet::default());
    state.start(&instance.name, at(2000));
    assert_eq!(state.cold_until(&instance.name), at(0));
}

#[test]
fn instances_without_a_limit_have_no_share_and_no_delay() {
    let mut sim = Simulation::new(&Options::default());
    assert_eq!(holders(&sim, 1), [] as [usize; 0]);
    restart_instance(&mut sim, 1);
    sim.run(ms(3000));
    let start = sim.now;
    press(&mut sim, &[0, 1, 2], 2000);
    assert!(peak(&sim, 1, start) + peak(&sim, 2, start) > 200);
    assert!(!sim.has_decision("is cold"));
    assert_eq!(sim.refusals, []);
}

#[test]
fn a_cold_replica_gets_its_rate_and_reads_go_elsewhere() {
    let mut sim = large_fleet();
    assert_eq!(holders(&sim, 1).len(), 2);
    restart_instance(&mut sim, 1);
    let start = sim.now;
    press(&mut sim, &all(), 6000);
    assert!(peak(&sim, 1, start) <= limit(), "{}", peak(&sim, 1, start));
    assert_eq!(sim.refusals, []);
    assert!(sim.longest_wait < ms(500), "{:?}", sim.longest_wait);
    // After the period, the instance gets what it got before.
    sim.run(ms(PERIOD_MS));
    let warm = sim.now;
    press(&mut sim, &all(), 2000);
    assert!(peak(&sim, 1, warm) > 5 * limit(), "{}", peak(&sim, 1, warm));
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn a_cold_instance_that_is_needed_gets_requests_up_to_its_rate() {
    let mut sim = large_fleet();
    lose_others(&mut sim, 1);
    sim.instances[1].is_alive = false;
    sim.run(ms(5000));
    sim.route_homes = vec!["home"];
    restart_instance(&mut sim, 1);
    let start = sim.now;
    press(&mut sim, &all(), 6000);
    let used = sim
        .arrivals
        .iter()
        .filter(|(at, i)| *i == 1 && *at >= start);
    let used = used.count();
    assert!(peak(&sim, 1, start) <= limit(), "{}", peak(&sim, 1, start));
    assert!(used > 0, "{:?}", sim.decisions.last());
}

#[test]
fn writes_wait_for_tokens_of_a_cold_leader_or_are_refused_at_once() {
    let mut sim = large_fleet();
    sim.write_for(200);
    // The leader is back before the voters agree that it is lost.
    sim.instances[0].is_alive = false;
    sim.run(ms(300));
    start_instance(&mut sim, 0);
    sim.run(ms(4500));
    assert_eq!(sim.leader(), Some(0));
    let (start, acknowledged) = (sim.now, sim.acknowledged.len());
    sim.refusals.clear();
    sim.write_for(5000);
    sim.run(ms(3000));
    assert!(peak(&sim, 0, start) <= limit(), "{}", peak(&sim, 0, start));
    let done = sim.acknowledged.len() - acknowledged;
    assert!(done >= 30, "{done}");
    assert!(sim.refusals.iter().all(|cause| *cause == Cause::NoCapacity));
    assert!(
        sim.has_decision("db-0 is cold for another"),
        "{:?}",
        sim.decisions.last()
    );
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn a_holder_that_dies_with_tokens_leaves_the_limit() {
    let mut sim = large_fleet();
    let held = holders(&sim, 1);
    restart_instance(&mut sim, 1);
    let start = sim.now;
    press(&mut sim, &all(), 1000);
    sim.dead.insert(held[0]);
    let others: Vec<_> = all().into_iter().filter(|vm| *vm != held[0]).collect();
    press(&mut sim, &others, 3000);
    // A new process of the VM has no tokens until it gets a share.
    sim.restart(held[0]);
    assert!(!holders(&sim, 1).contains(&held[0]));
    press(&mut sim, &all(), 5000);
    assert!(peak(&sim, 1, start) <= limit(), "{}", peak(&sim, 1, start));
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn a_holder_that_is_cut_off_keeps_only_what_it_holds() {
    let mut sim = large_fleet();
    let held = holders(&sim, 1);
    restart_instance(&mut sim, 1);
    sim.run(ms(2500));
    let start = sim.now;
    press(&mut sim, &all(), 500);
    sim.cut_peers.insert(held[0]);
    sim.cut_store.insert(held[0]);
    for _ in 0..20 {
        press(&mut sim, &all(), 500);
        let units = usable_units(&sim, 1);
        assert!(units <= kernel::budget::RATE_UNITS, "{units}");
    }
    assert!(peak(&sim, 1, start) <= limit(), "{}", peak(&sim, 1, start));
}

#[test]
fn the_limit_holds_over_changes_of_the_epoch() {
    let mut sim = large_fleet();
    restart_instance(&mut sim, 1);
    let start = sim.now;
    for round in 0..12_usize {
        sim.restart(round * 7 % 24);
        for _ in 0..2 {
            press(&mut sim, &all(), 300);
            let units = usable_units(&sim, 1);
            assert!(units <= kernel::budget::RATE_UNITS, "{units}");
        }
    }
    assert!(peak(&sim, 1, start) <= limit(), "{}", peak(&sim, 1, start));
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn an_instance_that_restarts_is_cold_again() {
    let mut sim = large_fleet();
    restart_instance(&mut sim, 1);
    sim.run(ms(PERIOD_MS + 1000));
    sim.instances[1].warmup_ms = Some(0);
    assert!(!sim.daemons[3].is_cold(&store_arbiter::name("db-1")));
    let start = sim.now;
    // VMs use the instance until its process ends, and find the next one at its address.
    press(&mut sim, &all(), 500);
    sim.instances[1].is_alive = false;
    press(&mut sim, &all(), 1000);
    start_instance(&mut sim, 1);
    let restarted = sim.now;
    press(&mut sim, &all(), 5000);
    assert!(peak(&sim, 1, start) > limit());
    assert!(
        peak(&sim, 1, restarted) <= limit(),
        "{}",
        peak(&sim, 1, restarted)
    );
    assert!(sim.daemons[3].is_cold(&store_arbiter::name("db-1")));
}

// The VM has lost its connections and cannot see that the process is another one.
#[test]
fn a_vm_without_the_store_takes_an_instance_that_it_lost_for_cold() {
    let mut sim = large_fleet();
    let held = holders(&sim, 1);
    let vm = (0..24)
        .find(|vm| !held.contains(vm))
        .expect("22 VMs hold nothing");
    press(&mut sim, &[vm], 300);
    sim.cut_store.insert(vm);
    sim.cut_peers.insert(vm);
    sim.instances[1].is_alive = false;
    press(&mut sim, &[vm], 500);
    start_instance(&mut sim, 1);
    // Reads would go to the other replica, to which there are connections.
    sim.instances[2].is_alive = false;
    sim.grant_records.clear();
    press(&mut sim, &[vm], 3000);
    let used = sim.grant_records.iter().filter(|grant| grant.instance == 1);
    assert_eq!(used.count(), 0);
}

// The statements of a transaction are sent without another grant.
#[test]
fn each_statement_at_a_cold_instance_takes_a_token() {
    let mut sim = large_fleet();
    restart_instance(&mut sim, 1);
    sim.run(ms(3000));
    let start = sim.now;
    sim.repeated_statements = 20;
    press(&mut sim, &all(), 4000);
    assert!(peak(&sim, 1, start) <= limit(), "{}", peak(&sim, 1, start));
}

/// Load, fault or repair.
#[derive(Clone, Copy, Debug)]
enum Step {
    Press(u64),
    RestartInstance(usize),
    RestartVm(usize),
    Cut(usize),
    Heal(usize),
    Freeze(usize),
    Wake(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        let vm = usize::from(a) % 20;
        match b % 16 {
            0..=7 => Step::Press(u64::from(a) * 4),
            8 => Step::RestartInstance(1 + usize::from(a) % 2),
            9 | 10 => Step::RestartVm(vm),
            11 => Step::Cut(vm),
            12 | 13 => Step::Heal(vm),
            14 => Step::Freeze(vm),
            _ => Step::Wake(vm),
        }
    }
}

fn run_steps(steps: &[Step]) -> Result<(), String> {
    let mut sim = large_fleet();
    for instance in [1, 2] {
        restart_instance(&mut sim, instance);
    }
    sim.run(ms(3000));
    let start = sim.now;
    for step in steps {
        match *step {
            Step::Press(span) => press(&mut sim, &all(), span),
            Step::RestartInstance(instance) => {
                // VMs that use the instance lose their connections.
                sim.instances[instance].is_alive = false;
                press(&mut sim, &all(), 500);
                start_instance(&mut sim, instance);
            }
            Step::RestartVm(vm) => sim.restart(vm),
            Step::Cut(vm) => {
                sim.cut_peers.insert(vm);
                sim.cut_store.insert(vm);
            }
            Step::Heal(vm) => {
                sim.cut_peers.remove(&vm);
                sim.cut_store.remove(&vm);
            }
            Step::Freeze(vm) => {
                sim.paused.insert(vm);
            }
            Step::Wake(vm) => {
                sim.paused.remove(&vm);
            }
        }
        if sim.now.since(start) > ms(PERIOD_MS - 5000) {
            break;
        }
    }
    for instance in [1, 2] {
        let peak = peak(&sim, instance, start);
        if peak > limit() {
            return Err(format!(
                "{peak} requests reached instance {instance} in a second"
            ));
        }
    }
    Ok(())
}

#[test]
fn a_cold_instance_never_gets_more_than_its_rate() {
    fn property(steps: Vec<Step>) -> TestResult {
        match run_steps(&steps) {
            Ok(()) => TestResult::passed(),
            Err(text) => TestResult::error(text),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 6))
        .tests(8)
        .quickcheck(property as fn(Vec<Step>) -> TestResult);
}
