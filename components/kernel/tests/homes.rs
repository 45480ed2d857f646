//! Home regions of routes and customers: which instances get requests, and what is
//! refused, under faults and changes of the configuration.

#[allow(dead_code)]
mod store_arbiter;

use errors::Cause;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use store_arbiter::{Options, Simulation, ms};

/// VMs 0 and 1 in `home`, 2 and 3 in `east`, 4 and 5 in `west`.
const VM_REGIONS: [&str; 6] = ["home", "home", "east", "east", "west", "west"];
/// Instance 0, which leads first, is in `home`.
const INSTANCE_REGIONS: [&str; 3] = ["home", "east", "west"];

fn three_regions() -> Simulation {
    let mut sim = Simulation::new(&Options {
        vms: 6,
        regions: VM_REGIONS.to_vec(),
        instance_regions: INSTANCE_REGIONS.to_vec(),
        ..Options::default()
    });
    sim.run(ms(1000));
    sim
}

/// Sets the homes of all routes and of the customer, and waits until they are in force.
fn set_homes(sim: &mut Simulation, route: &[&'static str], customer: &[&'static str]) {
    sim.route_homes = route.to_vec();
    sim.customer_homes = customer.to_vec();
    sim.revision += 1;
    sim.run(ms(2000));
}

/// Sends requests on a route through a VM, one every 20 ms.
fn send(sim: &mut Simulation, vm: usize, route: &str, is_write: bool, count: usize) {
    let session = sim.open_session(vm, route);
    for _ in 0..count {
        sim.send_request(vm, session, is_write);
        sim.run(ms(20));
    }
    sim.run(ms(100));
}

/// Instances that the requests of a VM were granted, without repetitions.
fn instances_of(sim: &Simulation, vm: usize) -> Vec<usize> {
    let own = sim.grant_records.iter().filter(|grant| grant.vm == vm);
    let mut instances: Vec<_> = own.map(|grant| grant.instance).collect();
    instances.sort_unstable();
    instances.dedup();
    instances
}

#[test]
fn requests_without_homes_run_in_any_region() {
    let mut sim = three_regions();
    send(&mut sim, 2, "latest", true, 10);
    assert_eq!(instances_of(&sim, 2), [0]);
    assert_eq!(sim.refusals, []);
}

#[test]
fn reads_stay_in_the_homes_and_the_callers_region() {
    let mut sim = three_regions();
    set_homes(&mut sim, &["home"], &[]);
    // As many readers as fill an instance, so that some would run elsewhere.
    let sessions: Vec<_> = (0..60).map(|_| sim.open_session(2, "aged")).collect();
    sim.statement_time = ms(40);
    for _ in 0..20 {
        for session in &sessions {
            sim.send_request(2, *session, false);
        }
        sim.run(ms(50));
    }
    sim.run(ms(3000));
    assert_eq!(instances_of(&sim, 2), [0, 1]);
    assert!(!sim.refusals.contains(&Cause::OutsideHomes));
}

#[test]
fn a_write_whose_leader_is_outside_is_refused_at_once() {
    let mut sim = three_regions();
    set_homes(&mut sim, &["east"], &[]);
    let session = sim.open_session(2, "latest");
    sim.send_request(2, session, true);
    assert_eq!(sim.refusals, [Cause::OutsideHomes]);
    // For callers in the leader's region, the leader is allowed.
    send(&mut sim, 0, "latest", true, 5);
    assert_eq!(instances_of(&sim, 0), [0]);
    assert_eq!(sim.refusals, [Cause::OutsideHomes]);
    sim.run(ms(1500));
    let text = "1 requests on latest of - refused outside of homes: route east, \
                customer any region";
    assert!(sim.has_decision(text), "{:?}", sim.decisions);
}

#[test]
fn a_customer_and_a_route_bind_together() {
    let mut sim = three_regions();
    set_homes(&mut sim, &["home", "east"], &["east", "west"]);
    send(&mut sim, 4, "keyed", false, 10);
    // `east` is a home of both; `west` is the caller's own region.
    assert!(instances_of(&sim, 4).iter().all(|i| [1, 2].contains(i)));
    assert_eq!(sim.refusals, []);
    send(&mut sim, 0, "keyed", false, 10);
    assert!(instances_of(&sim, 0).iter().all(|i| [0, 1].contains(i)));
    assert_eq!(sim.refusals, []);
}

#[test]
fn homes_that_do_not_meet_leave_the_callers_region() {
    let mut sim = three_regions();
    set_homes(&mut sim, &["home"], &["west"]);
    send(&mut sim, 2, "keyed", false, 10);
    assert_eq!(instances_of(&sim, 2), [1]);
    assert_eq!(sim.refusals, []);
    sim.lapsed_entries.insert(1);
    sim.run(ms(5000));
    let session = sim.open_session(2, "keyed");
    sim.send_request(2, session, false);
    assert_eq!(sim.refusals, [Cause::OutsideHomes]);
}

#[test]
fn requests_are_refused_while_the_only_instance_in_the_homes_is_lost() {
    let mut sim = three_regions();
    set_homes(&mut sim, &["east"], &[]);
    send(&mut sim, 4, "aged", false, 5);
    let own = |sim: &Simulation| instances_of(sim, 4);
    assert!(own(&sim).iter().all(|i| [1, 2].contains(i)));
    sim.instances[1].is_alive = false;
    sim.instances[2].is_alive = false;
    sim.lapsed_entries.extend([1, 2]);
    sim.run(ms(5000));
    sim.grant_records.clear();
    let session = sim.open_session(4, "aged");
    for _ in 0..5 {
        sim.send_request(4, session, false);
        sim.run(ms(100));
    }
    assert_eq!(sim.refusals, [Cause::OutsideHomes; 5]);
    assert_eq!(own(&sim), [] as [usize; 0]);
    sim.instances[1].is_alive = true;
    sim.lapsed_entries.remove(&1);
    sim.run(ms(3000));
    send(&mut sim, 4, "aged", false, 5);
    assert_eq!(own(&sim), [1]);
    assert_eq!(sim.refusals.len(), 5);
}

// An instance outside the homes may lead next, so a waiting write is checked again.
#[test]
fn a_waiting_write_is_refused_once_an_instance_outside_leads() {
    let mut sim = three_regions();
    set_homes(&mut sim, &["home"], &[]);
    sim.instances[0].is_alive = false;
    let session = sim.open_session(2, "latest");
    for _ in 0..40 {
        sim.send_request(2, session, true);
        sim.run(ms(100));
    }
    sim.run(ms(3000));
    let leader = sim.leader().expect("an instance leads");
    assert_ne!(leader, 0);
    assert!(
        sim.refusals.contains(&Cause::OutsideHomes) || leader == 1,
        "{leader}: {:?}",
        sim.refusals
    );
    sim.grant_records.clear();
    for (vm, region) in VM_REGIONS.iter().enumerate() {
        send(&mut sim, vm, "latest", true, 3);
        let allowed: Vec<_> = instances_of(&sim, vm);
        let own = *region == INSTANCE_REGIONS[leader];
        assert_eq!(
            allowed,
            if own { vec![leader] } else { Vec::new() },
            "vm {vm}"
        );
    }
    assert_eq!(sim.violations, Vec::<String>::new());
}

#[test]
fn a_change_of_homes_binds_requests_that_wait() {
    let mut sim = three_regions();
    sim.statement_time = ms(3000);
    let sessions: Vec<_> = (0..80).map(|_| sim.open_session(2, "latest")).collect();
    for session in &sessions {
        sim.send_request(2, *session, true);
    }
    sim.run(ms(500));
    let granted = sim.grant_records.len();
    assert!(granted > 0 && granted < 80, "{granted}");
    sim.route_homes = vec!["east"];
    sim.revision += 1;
    sim.run(ms(6000));
    let refused = sim.refusals.iter();
    let outside = refused
        .filter(|cause| **cause == Cause::OutsideHomes)
        .count();
    assert_eq!(sim.grant_records.len() + outside, 80, "{:?}", sim.refusals);
    // Statements that run when the homes change are completed.
    assert_eq!(sim.acknowledged.len(), granted);
}

#[test]
fn an_instance_in_an_unknown_region_is_in_no_home() {
    let mut sim = Simulation::new(&Options {
        vms: 3,
        instance_regions: vec!["home"],
        ..Options::default()
    });
    set_homes(&mut sim, &["home"], &[]);
    send(&mut sim, 1, "aged", false, 20);
    assert_eq!(instances_of(&sim, 1), [0]);
}

/// A request, fault, repair or change of the homes.
#[derive(Clone, Copy, Debug)]
enum Step {
    Send(usize, &'static str, bool),
    SetHomes(u8, u8),
    Kill(usize),
    Revive(usize),
    CutStore(usize),
    HealStore(usize),
    RestartVm(usize),
    Run(u64),
}

/// Subset of the regions by the bits of a number.
fn regions(bits: u8) -> Vec<&'static str> {
    let all = INSTANCE_REGIONS.iter().enumerate();
    all.filter(|(i, _)| bits & (1 << i) != 0)
        .map(|(_, region)| *region)
        .collect()
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (a, b) = (u8::arbitrary(g), u8::arbitrary(g));
        let vm = usize::from(a) % VM_REGIONS.len();
        let instance = usize::from(a) % INSTANCE_REGIONS.len();
        match u8::arbitrary(g) % 30 {
            0..=13 => {
                let route = ["latest", "aged", "keyed"][usize::from(b) % 3];
                Step::Send(vm, route, route == "latest" && b < 128)
            }
            14..=16 => Step::SetHomes(a % 8, b % 8),
            17 => Step::Kill(instance),
            18 => Step::Revive(instance),
            19 => Step::CutStore(vm),
            20 => Step::HealStore(vm),
            21 => Step::RestartVm(vm),
            _ => Step::Run(u64::from(b) * 5),
        }
    }
}

/// Time in which a configuration takes effect on VMs that can read the store.
const APPLY_TIME: std::time::Duration = ms(5000);

/// Homes of routes and of the customer from a time on.
struct Homes {
    since: kernel::time::Time,
    route: Vec<&'static str>,
    customer: Vec<&'static str>,
}

impl Homes {
    fn allow(&self, region: &str, has_customer: bool) -> bool {
        let is_home = |homes: &[&str]| homes.is_empty() || homes.contains(&region);
        is_home(&self.route) && (!has_customer || is_home(&self.customer))
    }
}

/// State of a run: the homes so far, the sessions of the customer and the VMs that may
/// not know the latest homes, with the times until which they may not.
struct Run {
    sim: Simulation,
    homes: Vec<Homes>,
    keyed: std::collections::BTreeSet<kernel::event::SessionId>,
    behind: std::collections::BTreeMap<usize, kernel::time::Time>,
}

impl Run {
    fn apply(&mut self, step: Step) {
        let sim = &mut self.sim;
        match step {
            Step::Send(vm, route, is_write) => {
                let session = sim.open_session(vm, route);
                if route == "keyed" {
                    self.keyed.insert(session);
                }
                sim.send_request(vm, session, is_write);
            }
            Step::SetHomes(route, customer) => {
                sim.route_homes = regions(route);
                sim.customer_homes = regions(customer);
                sim.revision += 1;
                self.homes.push(Homes {
                    since: sim.now,
                    route: sim.route_homes.clone(),
                    customer: sim.customer_homes.clone(),
                });
            }
            Step::Kill(instance) => sim.instances[instance].is_alive = false,
            Step::Revive(instance) => {
                if sim.leader() != Some(instance) {
                    sim.instances[instance].role = kernel::position::Role::Replica;
                }
                sim.instances[instance].is_alive = true;
            }
            Step::CutStore(vm) => {
                sim.cut_store.insert(vm);
                self.behind.insert(vm, kernel::time::Time(u64::MAX));
            }
            Step::HealStore(vm) => {
                if sim.cut_store.remove(&vm) {
                    self.behind.insert(vm, sim.now + APPLY_TIME);
                }
            }
            Step::RestartVm(vm) => sim.restart(vm),
            Step::Run(span) => sim.run(ms(span)),
        }
    }

    /// Whether the homes in force, or those of a moment before, allow a grant.
    fn is_allowed(&self, grant: &store_arbiter::GrantRecord) -> bool {
        let region = INSTANCE_REGIONS[grant.instance];
        let until = self.behind.get(&grant.vm);
        if region == VM_REGIONS[grant.vm] || until.is_some_and(|until| grant.at <= *until) {
            return true;
        }
        let has_customer = self.keyed.contains(&grant.session);
        let mut known = self.homes.iter().enumerate().filter(|(i, _)| {
            let next = self.homes.get(i + 1);
            next.is_none_or(|next| grant.at.since(next.since) <= APPLY_TIME)
        });
        known.any(|(_, homes)| homes.allow(region, has_customer))
    }
}

fn run_steps(steps: &[Step]) -> Result<(), String> {
    let sim = three_regions();
    let first = Homes {
        since: sim.now,
        route: Vec::new(),
        customer: Vec::new(),
    };
    let mut run = Run {
        sim,
        homes: vec![first],
        keyed: std::collections::BTreeSet::new(),
        behind: std::collections::BTreeMap::new(),
    };
    for step in steps {
        run.apply(*step);
        let grants = std::mem::take(&mut run.sim.grant_records);
        if let Some(grant) = grants.iter().find(|grant| !run.is_allowed(grant)) {
            return Err(format!("{grant:?} after {step:?} is outside of the homes"));
        }
    }
    Ok(())
}

#[test]
fn no_grant_leaves_the_allowed_regions() {
    fn property(steps: Vec<Step>) -> TestResult {
        match run_steps(&steps) {
            Ok(()) => TestResult::passed(),
            Err(text) => TestResult::error(text),
        }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 5))
        .tests(30)
        .quickcheck(property as fn(Vec<Step>) -> TestResult);
}
