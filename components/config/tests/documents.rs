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
    let timing = read_timing("revocation: 5000ms, lease: 4200ms, drain: 1s");
    assert_eq!(timing.lease, ms(4200));
    assert_eq!(timing.drain_timeout, ms(1000));
}
