//! Statements are told apart by what they may do.

use quickcheck::{Gen, QuickCheck};
use wire::{StatementClass, classify};

#[test]
fn classes() {
    for (sql, class) in [
        ("SELECT 1", StatementClass::Read),
        (
            "  -- note\n select * from orders where item = 'insert; into'",
            StatementClass::Read,
        ),
        ("SELECT \"update\" FROM orders", StatementClass::Read),
        ("SELECT $1::int + 1;", StatementClass::Read),
        ("SELECT $x$ insert into $x$", StatementClass::Read),
        ("WITH a AS (SELECT 1) SELECT * FROM a", StatementClass::Read),
        (
            "WITH a AS (DELETE FROM orders RETURNING id) SELECT * FROM a",
            StatementClass::Write,
        ),
        ("SELECT * FROM orders FOR UPDATE", StatementClass::Write),
        ("SELECT * INTO copy FROM orders", StatementClass::Write),
        ("SELECT nextval('ids')", StatementClass::Write),
        ("SELECT pg_advisory_lock(1)", StatementClass::Write),
        (
            "SELECT 1; INSERT INTO orders VALUES (1)",
            StatementClass::Write,
        ),
        ("INSERT INTO orders VALUES (1)", StatementClass::Write),
        ("EXPLAIN ANALYZE DELETE FROM orders", StatementClass::Write),
        ("BEGIN", StatementClass::Write),
        ("BEGIN READ ONLY", StatementClass::Read),
        ("SET app.caller = '1'", StatementClass::Set),
        ("SET LOCAL app.caller = '1'", StatementClass::Write),
        ("LISTEN orders", StatementClass::Unsupported),
        ("COPY orders FROM STDIN", StatementClass::Unsupported),
        ("CREATE TEMP TABLE a (id INT)", StatementClass::Unsupported),
        ("", StatementClass::Read),
    ] {
        assert_eq!(classify(sql), class, "{sql}");
    }
}

#[test]
fn any_text_is_classified_and_hidden_writes_are_found() {
    let property = |before: String, after: String| {
        classify(&before);
        let plain: String = after.chars().filter(char::is_ascii_alphabetic).collect();
        classify(&format!("SELECT 1; DELETE FROM {plain}")) == StatementClass::Write
    };
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(500)
        .quickcheck(property as fn(String, String) -> bool);
}
