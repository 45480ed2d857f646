//! Parsing and validation of settings and release notes. Every failure names the file,
//! the line where it is known, and the correction.

use config::{Fleet, KeyDigest, Origin, Problem, read_note, read_settings};

const SETTINGS: &str = include_str!("fixtures/settings.yaml");
const NOTE: &str = include_str!("fixtures/note.yaml");

fn origin() -> Origin {
    Origin("file.yaml".into())
}

fn settings_failure(from: &str, to: &str) -> String {
    assert!(SETTINGS.contains(from), "the fixture has no `{from}`");
    let text = SETTINGS.replace(from, to);
    let failure = read_settings(&text, &origin()).expect_err("invalid settings");
    failure.to_string()
}

fn note_failure(from: &str, to: &str) -> (u64, Problem) {
    assert!(NOTE.contains(from), "the fixture has no `{from}`");
    let text = NOTE.replace(from, to);
    match read_note(&text, &origin()) {
        Err(failure) => (failure.line, failure.problem),
        Ok(note) => note
            .apply(&Fleet::default())
            .expect_err("a note that cannot be applied"),
    }
}

#[test]
fn fixtures_are_valid() {
    let settings = read_settings(SETTINGS, &origin()).expect("valid settings");
    assert_eq!(settings.limits.message_bytes, 65_536);
    assert_eq!(settings.intake.memory_bytes, 4 << 30);
    let note = read_note(NOTE, &origin()).expect("a valid note");
    let fleet = note
        .apply(&Fleet::default())
        .expect("a note that can be applied");
    let key_holder = fleet
        .key_holder(&KeyDigest::of(b"foo"))
        .expect("a customer with the key");
    assert_eq!(&***key_holder.0, "tienda");
    assert!(fleet.key_holder(&KeyDigest::of(b"bar")).is_none());
}

#[test]
fn settings_failures_name_file_line_and_correction() {
    for (from, to, line, word) in [
        (
            "lease: 300ms",
            "lease: 300",
            11,
            "write a number and a unit",
        ),
        (
            "lease: 300ms",
            "leases: 300ms",
            11,
            "correct the field or remove it",
        ),
        ("vm: vm-1", "vm: 'vm 1'", 1, "is not a name"),
        ("listen: 127.0.0.1:6432", "listen: here", 5, "write IP:port"),
        ("message: 65536", "message: 0", 13, "must be between"),
        ("message: 65536", "memory: 0", 13, "must be between"),
        (
            "message: 65536",
            "receive: 3",
            13,
            "write a number and a unit",
        ),
    ] {
        let text = settings_failure(from, to);
        assert!(text.starts_with(&format!("file.yaml:{line}: ")), "{text}");
        assert!(text.contains(word), "{text}");
    }
}

#[test]
fn note_failures_name_the_line() {
    let name = |raw: &str| raw.to_string();
    let (line, problem) = note_failure("group: orders,", "group: none,");
    assert_eq!(
        (line, problem),
        (0, Problem::NotFound("group", name("none")))
    );
    let (_, problem) = note_failure("customers: [tienda]", "customers: [hotel]");
    assert_eq!(problem, Problem::NotFound("customer", name("hotel")));
    let (line, problem) = note_failure("customers: [tienda]", "open: true, customers: [tienda]");
    assert_eq!((line, problem), (15, Problem::RouteAccess(name("orders"))));
    let (line, problem) = note_failure("rate: 100", "rate: 0");
    assert_eq!(
        (line, problem),
        (9, Problem::OutOfRange("rate", 1, 100_000_000))
    );
    let (line, problem) = note_failure("2c26b46b", "2c26");
    assert_eq!((line, problem), (13, Problem::BadDigest));
    let duplicate = "    - name: tienda\n      rate: 1\n      burst: 1\n    - name: tienda\n";
    let (line, problem) = note_failure("    - name: tienda\n", duplicate);
    assert_eq!(
        (line, problem),
        (11, Problem::Duplicate("customer", name("tienda")))
    );
}

#[test]
fn note_cannot_be_applied_twice() {
    let note = read_note(NOTE, &origin()).expect("a valid note");
    let fleet = note
        .apply(&Fleet::default())
        .expect("a note that can be applied");
    let (line, problem) = note.apply(&fleet).expect_err("the entries already exist");
    assert_eq!(
        (line, problem),
        (4, Problem::AlreadyExists("group", "orders".into()))
    );
    let withdrawal = "note: second\nwithdrawn:\n  keys: [{customer: tienda, key: first}]\n";
    let withdrawal = read_note(withdrawal, &origin()).expect("a valid note");
    let fleet = withdrawal
        .apply(&fleet)
        .expect("a note that can be applied");
    assert!(!fleet.holds_key("tienda", &KeyDigest::of(b"foo")));
    assert!(
        withdrawal.apply(&fleet).is_err(),
        "the key is withdrawn already"
    );
}

#[test]
fn promised_bounds_limit_the_timeouts() {
    let text = include_str!("fixtures/settings.yaml");
    let (head, _) = text.split_once("timing:").unwrap_or((text, ""));
    let read_timing = |timing: &str| {
        let text = format!("{head}\ntiming: {{{timing}}}\n");
        let origin = config::Origin("settings".into());
        config::read_settings(&text, &origin)
            .expect("valid settings")
            .timing
    };
    let ms = std::time::Duration::from_millis;
    let timing = read_timing("revocation: 3000ms, draining: 10s, lease: 4200ms");
    assert_eq!(timing.refusal_timeout, ms(2700));
    assert_eq!(timing.lease, ms(2700));
    assert_eq!(timing.drain_timeout, ms(8000));
    assert_eq!(timing.evacuation_timeout, ms(3000));
    let timing = read_timing("revocation: 5000ms, lease: 4200ms, drain: 1s");
    assert_eq!(timing.lease, ms(4200));
    assert_eq!(timing.drain_timeout, ms(1000));
    let timing = read_timing("evacuation: 10s");
    assert_eq!(timing.evacuation_timeout, ms(6000));
}

const EVACUATION: &str = "note: second\nadded:\n  evacuated: [sofia-1]\n";

fn apply_text(text: &str, fleet: &Fleet) -> Result<Fleet, (u64, Problem)> {
    let note = read_note(text, &origin()).map_err(|failure| (failure.line, failure.problem))?;
    note.apply(fleet)
}

#[test]
fn notes_evacuate_failure_domains_and_take_them_back() {
    let fleet = apply_text(NOTE, &Fleet::default()).expect("a note that can be applied");
    let evacuated = apply_text(EVACUATION, &fleet).expect("a note that can be applied");
    assert_eq!(
        evacuated.evacuated,
        ["sofia-1".try_into().expect("a name")].into()
    );
    let withdrawal = EVACUATION.replace("added", "withdrawn");
    let returned = apply_text(&withdrawal, &evacuated).expect("a note that can be applied");
    assert_eq!(returned, fleet);
}

#[test]
fn evacuations_that_do_not_apply_name_the_line() {
    let fleet = apply_text(NOTE, &Fleet::default()).expect("a note that can be applied");
    let evacuated = apply_text(EVACUATION, &fleet).expect("a note that can be applied");
    let domain = || "sofia-1".to_string();
    assert_eq!(
        apply_text(EVACUATION, &evacuated),
        Err((3, Problem::AlreadyExists("evacuation", domain())))
    );
    let withdrawal = EVACUATION.replace("added", "withdrawn");
    assert_eq!(
        apply_text(&withdrawal, &fleet),
        Err((3, Problem::NotFound("evacuation", domain())))
    );
    let unknown = EVACUATION.replace("sofia-1", "sofia-9");
    let (line, problem) = apply_text(&unknown, &fleet).expect_err("no instance stands there");
    assert_eq!(
        (line, &problem),
        (3, &Problem::UnknownDomain("sofia-9".into()))
    );
    assert!(problem.to_string().contains("correct the name"));
    let twice = EVACUATION.replace("[sofia-1]", "[sofia-1, sofia-1]");
    assert_eq!(
        apply_text(&twice, &fleet),
        Err((3, Problem::Duplicate("evacuation", domain())))
    );
}

#[test]
fn homes_are_read_and_checked() {
    let with_homes = NOTE
        .replace("burst: 50", "burst: 50\n      homes: [sofia, varna]")
        .replace("customers: [tienda]", "customers: [tienda], homes: [sofia]");
    let note = read_note(&with_homes, &origin()).expect("a valid note");
    let fleet = note
        .apply(&Fleet::default())
        .expect("a note that can be applied");
    let homes = |homes: &std::collections::BTreeSet<config::Name>| {
        let names = homes.iter().map(ToString::to_string);
        names.collect::<Vec<_>>()
    };
    assert_eq!(homes(&fleet.customers["tienda"].homes), ["sofia", "varna"]);
    assert_eq!(homes(&fleet.routes["orders"].homes), ["sofia"]);
    let (line, problem) = note_failure("burst: 50", "burst: 50\n      homes: [sofia, sofia]");
    assert_eq!(
        (line, problem),
        (11, Problem::Duplicate("home", "sofia".into()))
    );
    let (_, problem) = note_failure("customers: [tienda]", "customers: [tienda], homes: ['a b']");
    assert_eq!(problem, Problem::BadName("a b".into()));
}

#[test]
fn warm_up_is_read_and_checked() {
    let with_warmup = |warmup: &str| {
        NOTE.replace(
            "- name: orders\n",
            &format!("- name: orders\n      warmup: {{{warmup}}}\n"),
        )
    };
    let note = read_note(&with_warmup("period: 30s, rate: 40"), &origin()).expect("a valid note");
    let fleet = note
        .apply(&Fleet::default())
        .expect("a note that can be applied");
    let expected = config::Warmup {
        period_ms: 30_000,
        rate: 40,
    };
    assert_eq!(fleet.groups["orders"].warmup, Some(expected));
    let failure = read_note(&with_warmup("period: 30s, rate: 4"), &origin());
    let problem = failure.expect_err("a rate that gives no tokens").problem;
    assert_eq!(problem, Problem::OutOfRange("warmup.rate", 5, 100_000_000));
}

#[test]
fn variables_replace_values_of_the_settings() {
    let read = || config::read_settings(SETTINGS, &origin()).expect("valid settings");
    let apply = |memory: &str, evacuation: &str| {
        let (memory, evacuation) = (memory.to_string(), evacuation.to_string());
        let mut settings = read();
        let variable = |name: &str| match name {
            config::environment::MEMORY_VARIABLE => Some(memory.clone()),
            config::environment::EVACUATION_VARIABLE => Some(evacuation.clone()),
            _ => None,
        };
        let result = config::environment::apply(&mut settings, &variable);
        result.map(|()| {
            (
                settings.intake.memory_bytes,
                settings.timing.evacuation_timeout,
            )
        })
    };
    let file = (read().intake.memory_bytes, read().timing.evacuation_timeout);
    assert_eq!(apply("", "").expect("no variables"), file);
    let changed = (160 << 20, std::time::Duration::from_millis(2_400));
    assert_eq!(apply("160", "4000").expect("valid variables"), changed);
    for (memory, evacuation) in [("0", ""), ("many", ""), ("", "-1"), ("", "5s")] {
        assert!(apply(memory, evacuation).is_err(), "{memory} {evacuation}");
    }
}

// Guards against a daemon that does not start because a template fills in a fraction, or no
// value.
#[test]
fn bounds_of_a_template_may_be_absent_zero_or_fractions() {
    let read = |limits: &str, timing: &str| {
        let text = SETTINGS.replace("limits:", &format!("limits:\n{limits}"));
        let text = text.replace("timing:", &format!("timing:\n{timing}"));
        let read = read_settings(&text, &origin());
        read.unwrap_or_else(|failure| panic!("{limits}{timing}: {failure}"))
    };
    for (raw, requests) in [("", 0), ("0", 0), ("0.5", 0), ("20.0", 20), ("2.5", 2)] {
        let settings = read(&format!("  tolerance: {raw}"), "");
        assert_eq!(settings.limits.burst_tolerance, requests, "{raw}");
    }
    for (raw, millionths) in [
        ("", 0),
        ("0", 0),
        ("0.005", 5_000),
        ("0.29", 290_000),
        ("1", 1_000_000),
    ] {
        let settings = read(&format!("  overage: {raw}"), "");
        assert_eq!(settings.limits.overage_ppm, millionths, "{raw}");
    }
    let none = read("", "").timing;
    for key in ["revocation", "draining"] {
        let timing = read("", &format!("  {key}: ms")).timing;
        assert_eq!(timing.refusal_timeout, none.refusal_timeout, "{key}");
        assert_eq!(timing.drain_timeout, none.drain_timeout, "{key}");
        assert_eq!(timing.lease, none.lease, "{key}");
    }
    assert_eq!(read("", "  stop: s").timing.stop_timeout, none.stop_timeout);
    let timing = read("", "  stop: 2.5s\n  draining: 0ms").timing;
    assert_eq!(timing.stop_timeout.as_millis(), 2_500);
    assert!(timing.drain_timeout.is_zero());
}

// Guards against a memory limit with a fraction that keeps a daemon from its start.
#[test]
fn a_variable_may_be_a_fraction_but_not_zero() {
    let memory = |text: &str| {
        let mut settings = read_settings(SETTINGS, &origin()).expect("valid settings");
        let variable =
            |name: &str| (name == config::environment::MEMORY_VARIABLE).then(|| text.to_string());
        config::environment::apply(&mut settings, &variable)?;
        Ok::<_, config::Failure>(settings.intake.memory_bytes >> 20)
    };
    assert_eq!(memory("").expect("none"), 4096);
    for (text, mib) in [("260", 260), ("260.0", 260), ("260.7", 260), ("0.5", 1)] {
        assert_eq!(memory(text).expect("a number"), mib, "{text}");
    }
    for text in ["0", "0.0", "-1", "x", "inf"] {
        assert!(memory(text).is_err(), "{text}");
    }
}

#[test]
fn an_age_of_zero_is_not_none() {
    let age = |note: &str| {
        let note = read_note(note, &origin()).expect("a valid note");
        let fleet = note.apply(&Fleet::default());
        fleet.expect("a note that can be applied").routes["orders"].age_ms
    };
    let route = "customers: [tienda]";
    assert!(NOTE.contains(route));
    let zero = NOTE.replace(route, "customers: [tienda], age: 0s");
    assert_eq!(age(&zero), Some(0));
    assert_eq!(age(NOTE), None);
}
