//! Rate limit on log lines about single requests.

use telemetry::Limiter;

#[test]
fn overload_logs_no_more_lines_than_the_limit() {
    let mut limiter = Limiter::default();
    // 20,000 refusals a second for a minute.
    let span_ms = 60_000;
    let admitted = (0..span_ms * 20).filter(|i| limiter.admit("request", 1_000 + i / 20));
    let admitted = u64::try_from(admitted.count()).expect("a count");
    assert!(
        admitted <= Limiter::max_lines(span_ms + 1_000),
        "{admitted}"
    );
    assert!(
        admitted >= Limiter::max_lines(span_ms) * 9 / 10,
        "{admitted}"
    );
    assert!(
        limiter.admit("decision", 1_000 + span_ms),
        "decisions are not limited"
    );
}

#[test]
fn lines_are_admitted_again_after_the_clock_steps_back() {
    let mut limiter = Limiter::default();
    assert!(limiter.admit("request", 1_000_000));
    assert!(limiter.admit("request", 10));
    let later = (0..100).filter(|i| limiter.admit("request", 1_000_000 + i * 1_000));
    assert_eq!(later.count(), 100);
}
