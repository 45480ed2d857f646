//! Which parameters and names of a session stand after its batches.

use std::{io::Write, net};

use bytes::{BufMut, BytesMut};
use wire::{Effect, Parameters, Progress};

fn set(name: &str, sql: &str) -> Effect {
    Effect::Set(name.into(), sql.into())
}

#[test]
fn statements_have_expected_effects() {
    for (sql, effect) in [
        ("SELECT 1", Effect::None),
        ("SET app.x = '1'", set("app.x", "SET app.x = '1'")),
        (
            "set SESSION App.X to 2",
            set("app.x", "set SESSION App.X to 2"),
        ),
        (
            "SET TIME ZONE 'UTC'",
            set("timezone", "SET TIME ZONE 'UTC'"),
        ),
        (
            "SET /* x */ a = 1",
            set("SET /* x */ a = 1", "SET /* x */ a = 1"),
        ),
        ("SET LOCAL a = 1", Effect::None),
        ("SET TRANSACTION READ ONLY", Effect::None),
        (
            "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
            set(
                "characteristics",
                "SET SESSION CHARACTERISTICS AS TRANSACTION READ ONLY",
            ),
        ),
        ("RESET app.x;", Effect::Unset("app.x".into())),
        (
            "RESET ALL",
            Effect::Reset {
                drops_statements: false,
            },
        ),
        (
            "DISCARD ALL",
            Effect::Reset {
                drops_statements: true,
            },
        ),
        ("DISCARD PLANS", Effect::None),
        ("END", Effect::Commit),
        ("ABORT", Effect::Rollback),
        ("ROLLBACK TO SAVEPOINT a", Effect::RollbackTo("A".into())),
    ] {
        assert_eq!(Effect::of(sql), effect, "{sql}");
    }
}

/// Parameters after batches that succeeded; `!` stands for a statement that failed.
fn play(batches: &[(&[&str], bool)]) -> Vec<String> {
    let mut parameters = Parameters::default();
    for (statements, is_idle) in batches {
        for sql in *statements {
            match *sql {
                "!" => parameters.fail(),
                sql => drop(parameters.apply(Effect::of(sql))),
            }
        }
        if *is_idle {
            parameters.end_transaction();
        }
    }
    parameters.statements().map(str::to_string).collect()
}

#[test]
fn a_change_stands_once_its_transaction_has_committed() {
    let one: (&[&str], bool) = (&["SET a = 1"], true);
    assert_eq!(
        play(&[one, (&["BEGIN", "SET a = 2"], false)]),
        ["SET a = 1"]
    );
    assert_eq!(
        play(&[one, (&["BEGIN", "SET a = 2", "COMMIT"], true)]),
        ["SET a = 2"]
    );
    assert_eq!(
        play(&[one, (&["BEGIN", "SET a = 2", "ROLLBACK"], true)]),
        ["SET a = 1"]
    );
    assert_eq!(play(&[one, (&["SET a = 2", "!"], true)]), ["SET a = 1"]);
    assert_eq!(
        play(&[one, (&["BEGIN", "SET a = 2", "COMMIT", "!"], true)]),
        ["SET a = 2"]
    );
    let failed: (&[&str], bool) = (&["BEGIN", "SET a = 2", "!"], false);
    assert_eq!(play(&[one, failed, (&["COMMIT"], true)]), ["SET a = 1"]);
    assert_eq!(
        play(&[one, failed, (&["ROLLBACK", "SET b = 1"], true)]),
        ["SET a = 1", "SET b = 1"]
    );
}

#[test]
fn a_rollback_to_a_savepoint_undoes_what_follows_it() {
    let batch = |last: &'static str| {
        [
            "BEGIN",
            "SET a = 1",
            "SAVEPOINT s",
            "SET a = 2",
            "!",
            last,
            "COMMIT",
        ]
    };
    assert_eq!(play(&[(&batch("ROLLBACK TO s"), true)]), ["SET a = 1"]);
    assert_eq!(play(&[(&batch("ROLLBACK"), true)]), Vec::<String>::new());
}

#[test]
fn changes_before_and_after_a_reset_are_told_apart() {
    let batch: (&[&str], bool) = (&["SET a = 1", "DISCARD ALL", "SET b = 2"], true);
    assert_eq!(play(&[batch]), ["SET b = 2"]);
    assert_eq!(
        play(&[batch, (&["SET c = 1", "RESET b"], true)]),
        ["SET c = 1"]
    );
}

/// Reads messages of a caller as a batch.
fn batch(messages: &[(u8, &str)]) -> wire::Batch {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let mut client = net::TcpStream::connect(address).expect("a listener");
    let (accepted, _) = listener.accept().expect("a connection");
    let mut out = BytesMut::new();
    for (tag, body) in messages {
        out.put_u8(*tag);
        out.put_u32(u32::try_from(body.len() + 4).expect("a small message"));
        out.put_slice(body.as_bytes());
    }
    client.write_all(&out).expect("an open connection");
    wire::Batch::read(&mut wire::FramedStream::new(Box::new(accepted)), 1 << 20).expect("a batch")
}

/// Text of the statement that a name refers to; none if the name is unknown.
fn find(session: &mut wire::SessionStatements, name: &str) -> Option<String> {
    let body = format!("S{name}\0");
    let plan = session.plan(batch(&[(b'D', &body), (b'S', "")]));
    let plan = plan.expect("a plan");
    let text = plan.steps.iter().find_map(|step| match step {
        wire::Step::Use(_, _, statement, _) => Some(statement.sql.clone()),
        _ => None,
    });
    session.finish(plan, None);
    text
}

// Guards against a name that runs a statement whose preparing was not acknowledged, or
// that is gone though it was.
#[test]
fn a_name_changes_once_the_caller_has_the_reply() {
    let mut session = wire::SessionStatements::default();
    let parse = |sql: &str| format!("s\0{sql}\0\0\0");
    let (one, two) = (parse("SELECT 1"), parse("SELECT 2"));
    let run = |session: &mut wire::SessionStatements, messages: &[(u8, &str)], progress| {
        let plan = session.plan(batch(messages)).expect("a plan");
        session.finish(plan, progress);
    };
    let whole = Progress {
        is_idle: true,
        ..Progress::default()
    };
    let failed = |names| Progress {
        has_error: true,
        names,
        ..whole
    };
    run(&mut session, &[(b'P', &two), (b'S', "")], Some(failed(0)));
    assert_eq!(find(&mut session, "s"), None);
    run(&mut session, &[(b'P', &one), (b'S', "")], Some(whole));
    assert_eq!(find(&mut session, "s").as_deref(), Some("SELECT 1"));
    run(&mut session, &[(b'P', &two), (b'S', "")], Some(failed(0)));
    assert_eq!(find(&mut session, "s").as_deref(), Some("SELECT 1"));
    run(&mut session, &[(b'P', &two), (b'S', "")], None);
    assert_eq!(find(&mut session, "s").as_deref(), Some("SELECT 1"));
    run(&mut session, &[(b'C', "Ss\0"), (b'S', "")], Some(failed(0)));
    assert_eq!(find(&mut session, "s").as_deref(), Some("SELECT 1"));
    run(
        &mut session,
        &[(b'P', &two), (b'C', "Ss\0"), (b'S', "")],
        Some(failed(1)),
    );
    assert_eq!(find(&mut session, "s").as_deref(), Some("SELECT 2"));
    run(&mut session, &[(b'C', "Ss\0"), (b'S', "")], Some(whole));
    assert_eq!(find(&mut session, "s"), None);
}

// Guards against bytes that stay charged after batches that did not run.
#[test]
fn what_is_not_kept_is_not_charged() {
    let intake = intake::Intake::new(1 << 20);
    let mut session = wire::SessionStatements::default();
    session.set_account(intake::Account::open(&intake));
    let whole = Progress {
        is_idle: true,
        ..Progress::default()
    };
    let failed = Progress {
        has_error: true,
        ..whole
    };
    for progress in [None, Some(failed)] {
        for messages in [
            vec![(b'Q', "SET a = 1; SET b = 2\0")],
            vec![(b'P', "s\0SELECT 1\0\0\0"), (b'S', "")],
        ] {
            let plan = session.plan(batch(&messages)).expect("a plan");
            assert!(intake.held() > 0);
            session.finish(plan, progress);
            assert_eq!(intake.held(), 0, "{messages:?}");
        }
    }
    for sql in ["SET a = 1\0", "SET a = 22\0", "RESET ALL\0"] {
        let plan = session.plan(batch(&[(b'Q', sql)])).expect("a plan");
        session.finish(plan, Some(whole));
    }
    assert_eq!(intake.held(), 0);
}
