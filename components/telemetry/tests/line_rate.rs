//! The bound on lines about single requests.

use telemetry::Limiter;

#[test]
fn an_overload_writes_no_more_lines_than_the_bound() {
    let mut volume = Limiter::default();
    // 20,000 refusals a second for a minute.
    let span = 60_000;
    let admitted = (0..span * 20).filter(|i| volume.admit("request", 1_000 + i / 20));
    let admitted = u64::try_from(admitted.count()).expect("a count");
    assert!(admitted <= Limiter::max_lines(span + 1_000), "{admitted}");
    assert!(admitted >= Limiter::max_lines(span) * 9 / 10, "{admitted}");
    assert!(volume.admit("decision", 1_000 + span), "decisions go on");
}

#[test]
fn a_clock_that_steps_back_stops_nothing_for_good() {
    let mut volume = Limiter::default();
    assert!(volume.admit("request", 1_000_000));
    assert!(volume.admit("request", 10));
    let later = (0..100).filter(|i| volume.admit("request", 1_000_000 + i * 1_000));
    assert_eq!(later.count(), 100);
}
