//! Parsing of `DEALLOCATE` statements.

use wire::Target;

fn named(name: &'static str) -> Option<Target> {
    Some(Target::Name(name.into()))
}

#[test]
fn deallocate_targets_follow_postgresql_identifier_rules() {
    for (sql, target) in [
        ("DEALLOCATE _pg3_0", named("_pg3_0")),
        ("  deallocate  prepare Mine ;", named("mine")),
        ("DEALLOCATE prepare", named("prepare")),
        ("DEALLOCATE \"S\"\"1\"", named("S\"1")),
        ("DEALLOCATE ALL", Some(Target::All)),
        ("DEALLOCATE PREPARE ALL;", Some(Target::All)),
        ("DEALLOCATE allocated", named("allocated")),
        ("DEALLOCATE", None),
        ("DEALLOCATE a b", None),
        ("DEALLOCATE \"a", None),
        ("DEALLOCATE a; SELECT 1", None),
        ("DEALLOCATED a", None),
        ("SELECT 1", None),
    ] {
        assert_eq!(Target::parse(sql), target, "{sql}");
    }
}
