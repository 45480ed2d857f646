//! Runs the scripts under `scenarios/`.
//!
//! Each block of a script holds one command; its expected output follows `----`.
//! Commands:
//!
//! - `fleet [vms=N] [rate=R] [burst=B] [age=MS] [durability=D] [lease=MS]
//!   [first-lease=MS] [refusal=MS] [budget=P] [admission=P] [reads=P]`
//! - `run ms=N`: advances the clock
//! - `open vm=V session=S [key=K] [token]`
//! - `read` or `write`, with `vm=V session=S [count=N] [every=MS]`
//! - `cut` or `heal`, with `vm=V` and `peers`, `store`, `db=I`: the links of a VM
//! - `pause`, `resume`, `kill`, `restart`, `delist`, `stop`, with `vm=V`
//! - `db id=I` with `kill`, `revive`, `isolate`, `rejoin`, `pause-replay`,
//!   `resume-replay`
//! - `store down|up|lose=N`, where `lose` drops the next N answers to writes
//! - `messages duplicate|once|drop-transfers|deliver-transfers`
//! - `note vm=V` with the text of a release note as input
//! - `show primary|counts|outcomes|decisions|fresh|units|violations`

mod instance_arbiter;

use std::{fmt::Write, path, time};

use kernel::event;

struct Script {
    options: instance_arbiter::Options,
    sim: Option<instance_arbiter::Simulation>,
}

fn parse_argument<T: std::str::FromStr>(case: &datadriven::TestCase, name: &str) -> Option<T> {
    case.args.get(name)?.first()?.parse().ok()
}

fn has_argument(case: &datadriven::TestCase, name: &str) -> bool {
    case.args.contains_key(name)
}

impl Script {
    fn execute(&mut self, case: &datadriven::TestCase) -> String {
        if case.directive == "fleet" {
            self.start_fleet(case);
            return "ok\n".into();
        }
        let sim = self
            .sim
            .as_mut()
            .expect("no fleet: the first command of a script is `fleet`");
        let vm = parse_argument(case, "vm").unwrap_or(0);
        match case.directive.as_str() {
            "run" => sim.run(time::Duration::from_millis(
                parse_argument(case, "ms").unwrap_or(0),
            )),
            "open" => open_session(sim, case, vm),
            "read" | "write" => send_requests(sim, case, vm),
            "cut" | "heal" => set_links(sim, case, vm),
            "pause" => {
                sim.paused.insert(vm);
            }
            "resume" => {
                sim.paused.remove(&vm);
            }
            "kill" => {
                sim.dead.insert(vm);
            }
            "restart" => sim.restart(vm),
            "delist" => sim.delist(vm),
            "db" => change_instance(sim, case),
            "store" => change_store(sim, case),
            "messages" => change_messages(sim, case),
            "note" => sim.submit_note(vm, &case.input),
            "stop" => sim.dispatch(vm, event::Event::Stop),
            "show" => return show(sim, case, &self.options),
            other => panic!("unknown command {other}"),
        }
        "ok\n".into()
    }

    fn start_fleet(&mut self, case: &datadriven::TestCase) {
        let mut options = instance_arbiter::Options::default();
        if let Some(vms) = parse_argument(case, "vms") {
            options.vms = vms;
        }
        if let Some(rate) = parse_argument(case, "rate") {
            options.rate = rate;
        }
        if let Some(burst) = parse_argument(case, "burst") {
            options.burst = burst;
        }
        if let Some(age) = parse_argument(case, "age") {
            options.age_ms = age;
        }
        if let Some(lease) = parse_argument(case, "lease") {
            options.lease_ms = lease;
        }
        options.first_lease_ms = parse_argument(case, "first-lease");
        if let Some(refusal) = parse_argument(case, "refusal") {
            options.refusal_ms = refusal;
        }
        if parse_argument::<String>(case, "durability").as_deref() == Some("primary") {
            options.durability = "primary";
        }
        for (name, option) in [
            ("budget", &mut options.budget),
            ("admission", &mut options.admission),
            ("reads", &mut options.reads),
        ] {
            if let Some(value) = parse_argument(case, name) {
                *option = value;
            }
        }
        self.sim = Some(instance_arbiter::Simulation::new(&options));
        self.options = options;
    }
}

fn open_session(sim: &mut instance_arbiter::Simulation, case: &datadriven::TestCase, vm: usize) {
    let session = parse_argument(case, "session").unwrap_or(1);
    let key: String = parse_argument(case, "key").unwrap_or(instance_arbiter::KEY.into());
    let caller = sim.callers.get(&event::SessionId(session));
    let token = caller
        .and_then(|caller| caller.token)
        .filter(|_| has_argument(case, "token"));
    sim.open_session(vm, session, &key, token);
}

fn send_requests(sim: &mut instance_arbiter::Simulation, case: &datadriven::TestCase, vm: usize) {
    let session = parse_argument(case, "session").unwrap_or(1);
    let every = time::Duration::from_millis(parse_argument(case, "every").unwrap_or(0));
    for _ in 0..parse_argument(case, "count").unwrap_or(1) {
        sim.send_request(vm, session, case.directive == "write");
        sim.run(every);
    }
}

fn set_links(sim: &mut instance_arbiter::Simulation, case: &datadriven::TestCase, vm: usize) {
    let is_cut = case.directive == "cut";
    if has_argument(case, "peers") {
        for other in 0..sim.daemons.len() {
            for pair in [(vm, other), (other, vm)] {
                if is_cut {
                    sim.cut_peers.insert(pair);
                } else {
                    sim.cut_peers.remove(&pair);
                }
            }
        }
    }
    if has_argument(case, "store") {
        if is_cut {
            sim.cut_store.insert(vm);
        } else {
            sim.cut_store.remove(&vm);
        }
    }
    for db in case.args.get("db").into_iter().flatten() {
        let pair = (vm, db.parse().expect("`db` is the number of an instance"));
        if is_cut {
            sim.cut_instances.insert(pair);
        } else {
            sim.cut_instances.remove(&pair);
        }
    }
}

fn change_instance(sim: &mut instance_arbiter::Simulation, case: &datadriven::TestCase) {
    let index: usize = parse_argument(case, "id").unwrap_or(0);
    let fake = &mut sim.instances[index];
    for key in case.args.keys() {
        match key.as_str() {
            "kill" => fake.is_alive = false,
            "revive" => fake.is_alive = true,
            "isolate" => fake.is_isolated = true,
            "rejoin" => fake.is_isolated = false,
            "pause-replay" => fake.replay_paused = true,
            "resume-replay" => fake.replay_paused = false,
            _ => {}
        }
    }
}

fn change_store(sim: &mut instance_arbiter::Simulation, case: &datadriven::TestCase) {
    if has_argument(case, "down") {
        sim.store_down = true;
    }
    if has_argument(case, "copy") {
        sim.copy_store();
    }
    if has_argument(case, "restore") {
        sim.restore_store();
    }
    if has_argument(case, "up") {
        sim.store_down = false;
    }
    if let Some(count) = parse_argument(case, "lose") {
        sim.lose_answers = count;
    }
}

fn change_messages(sim: &mut instance_arbiter::Simulation, case: &datadriven::TestCase) {
    for key in case.args.keys() {
        match key.as_str() {
            "duplicate" => sim.duplicate_messages = true,
            "once" => sim.duplicate_messages = false,
            "drop-transfers" => sim.drop_transfers = true,
            "deliver-transfers" => sim.drop_transfers = false,
            _ => {}
        }
    }
}

fn show(
    sim: &mut instance_arbiter::Simulation,
    case: &datadriven::TestCase,
    options: &instance_arbiter::Options,
) -> String {
    let mut out = String::new();
    if has_argument(case, "primary") {
        for vm in 0..sim.daemons.len() {
            let text = match sim.confirmed_primary(vm) {
                Some((db, term)) => format!("db-{db} in term {term}"),
                None => "none".into(),
            };
            let _ = writeln!(out, "vm-{vm}: {text}");
        }
    }
    if has_argument(case, "counts") {
        let _ = writeln!(out, "acknowledged {}", sim.acknowledged_writes);
        let (replica, primary) = (sim.replica_reads, sim.primary_reads);
        let _ = writeln!(
            out,
            "reads: {replica} at replicas, {primary} at the primary"
        );
        for (state, count) in &sim.refusals {
            let _ = writeln!(out, "refused with {state}: {count}");
        }
    }
    if has_argument(case, "outcomes") {
        for outcome in sim.outcomes.drain(..) {
            let _ = writeln!(out, "{outcome}");
        }
    }
    if has_argument(case, "decisions") {
        let word: String = parse_argument(case, "decisions").unwrap_or_default();
        for line in sim.decisions.drain(..).filter(|line| line.contains(&word)) {
            let _ = writeln!(out, "{line}");
        }
    }
    if has_argument(case, "fresh") {
        for (vm, daemon) in sim.daemons.iter().enumerate() {
            let _ = writeln!(
                out,
                "vm-{vm}: fresh {}, revision {}",
                daemon.is_fresh(),
                daemon.revision()
            );
        }
    }
    if has_argument(case, "customers") {
        for (vm, daemon) in sim.daemons.iter().enumerate() {
            let names: Vec<_> = daemon
                .fleet()
                .customers
                .keys()
                .map(ToString::to_string)
                .collect();
            let _ = writeln!(out, "vm-{vm}: {}", names.join(" "));
        }
    }
    if has_argument(case, "units") {
        let rate = sim.rate_units();
        let connections = sim.connection_units(0);
        let _ = writeln!(out, "rate units {rate}, connections to db-0 {connections}");
    }
    if has_argument(case, "violations") {
        sim.check_rate(options.rate.into(), options.burst.into());
        if sim.violations.is_empty() {
            out.push_str("none\n");
        }
        for violation in &sim.violations {
            let _ = writeln!(out, "{violation}");
        }
    }
    out
}

#[test]
fn scripts_give_their_expected_output() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    datadriven::walk(root.to_str().expect("the path is valid UTF-8"), |file| {
        let mut script = Script {
            options: instance_arbiter::Options::default(),
            sim: None,
        };
        file.run(|case| script.execute(case));
    });
}
