//! Replays overload against the decisions on waiting requests, without a network: an
//! instance with a few slots, 73 customers, one of them far above its rate, and routes of
//! three priorities.

use std::{collections, time as std_time};

use config::Name;
use kernel::{
    admission::{self, Queue, fair},
    event, overload, time,
};

/// Connections to the instance.
const SLOTS: usize = 4;
/// Time for which a request may wait.
const LIMIT: std_time::Duration = std_time::Duration::from_millis(2_500);
/// Mean time for which a request holds a connection, in microseconds.
const HOLD_US: u64 = 40_000;
/// Requests of one customer that may wait.
const QUEUE_LENGTH: usize = 10_000;
/// Refused requests of a replay whose true waits are computed.
const TESTED: usize = 10;
/// Duration of the load.
const LOAD_US: u64 = 10_000_000;

fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("the name is valid")
}

/// Pseudo-random numbers from a fixed seed.
struct Numbers(u64);

impl Numbers {
    fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005);
        self.0 = self.0.wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % limit
    }
}

/// A request of the load.
#[derive(Clone, Copy, Debug)]
struct Call {
    customer: u64,
    priority: u32,
    at: time::Time,
    hold: std_time::Duration,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Served(std_time::Duration),
    RefusedAtOnce(u32),
    Expired,
}

/// Load of customer 0 at `hot` requests a second and of 72 others at one each.
fn load(seed: u64, hot: u64) -> Vec<Call> {
    let mut numbers = Numbers(seed);
    let per_second = hot + 72;
    let gap = 2_000_000 / per_second;
    let mut at = 0;
    let mut calls = Vec::new();
    while at < LOAD_US {
        at += numbers.below(gap);
        let draw = numbers.below(per_second);
        calls.push(Call {
            customer: if draw < hot { 0 } else { draw - hot + 1 },
            priority: u32::try_from(numbers.below(3)).unwrap_or(0),
            at: time::Time(at),
            hold: std_time::Duration::from_micros(HOLD_US / 2 + numbers.below(HOLD_US)),
        });
    }
    calls
}

fn item(id: usize, call: &Call) -> admission::WaitingRequest {
    let id = u64::try_from(id).expect("a small number");
    admission::WaitingRequest {
        request: event::Request {
            id: event::RequestId(id),
            session: event::SessionId(id),
            access: event::Access::Read,
            retry: false,
        },
        queued_at: call.at,
        arrived_at: call.at,
        priority: call.priority,
        deadline: call.at + LIMIT,
    }
}

/// One instance with its queue on a virtual clock.
struct Replay<'a> {
    calls: &'a [Call],
    policy: Policy<'a>,
    queue: fair::Fair,
    holds: overload::HoldTimes,
    /// Ends of the requests that hold a connection, with their starts.
    running: Vec<(time::Time, time::Time)>,
    outcomes: collections::BTreeMap<usize, Outcome>,
}

/// Which requests are refused.
#[derive(Clone, Copy)]
enum Policy<'a> {
    /// Those that reach their deadline.
    Late,
    /// Those that reach their deadline or are expected to miss it.
    Early,
    /// Those that another replay refused at once, except one; the others are served,
    /// whenever that is.
    Without(usize, &'a collections::BTreeMap<usize, Outcome>),
}

impl<'a> Replay<'a> {
    fn run(calls: &'a [Call], policy: Policy<'a>) -> Self {
        let mut replay = Self {
            calls,
            policy,
            queue: fair::Fair::new(QUEUE_LENGTH),
            holds: overload::HoldTimes::default(),
            running: Vec::new(),
            outcomes: collections::BTreeMap::new(),
        };
        for (id, call) in calls.iter().enumerate() {
            replay.advance(call.at);
            replay.arrive(id, call);
            replay.grant(call.at);
            if let Policy::Without(tested, _) = policy
                && replay.outcomes.contains_key(&tested)
            {
                return replay;
            }
        }
        replay.advance(time::Time(u64::MAX));
        replay
    }

    /// Ends the requests that are done before `until`, and grants their connections.
    fn advance(&mut self, until: time::Time) {
        while let Some((end, start)) = self.running.iter().min().copied() {
            if end > until {
                return;
            }
            self.running.retain(|running| *running != (end, start));
            self.holds.record(&name("db"), end.since(start), end);
            self.grant(end);
        }
    }

    fn grant(&mut self, now: time::Time) {
        let ends_late = matches!(self.policy, Policy::Without(..));
        for item in self
            .queue
            .extract_if(&mut |item| item.deadline <= now && !ends_late)
        {
            self.outcomes.insert(index(&item), Outcome::Expired);
        }
        while self.running.len() < SLOTS {
            let Some(item) = self.queue.pop(now, &mut |_| true) else {
                return;
            };
            let id = index(&item);
            let wait = now.since(item.queued_at);
            self.outcomes.insert(id, Outcome::Served(wait));
            self.running.push((now + self.calls[id].hold, now));
        }
    }

    fn arrive(&mut self, id: usize, call: &Call) {
        let customer = Some(name(&format!("customer-{}", call.customer)));
        let item = item(id, call);
        let slots = u32::try_from(SLOTS).expect("a small number");
        let busy = u32::try_from(self.running.len()).expect("a small number");
        let server = overload::Server {
            slots,
            free: slots - busy,
            hold: self.holds.get(&name("db"), call.at),
        };
        let ahead = self.queue.ahead(&customer, 1, &item, &|_| true);
        let expected = overload::expected_wait(&ahead, &[server]);
        let expected = expected.filter(|expected| overload::misses_deadline(*expected, LIMIT));
        let refused = match self.policy {
            Policy::Late => None,
            Policy::Early => expected.map(|expected| {
                let retry_ms = overload::retry_ms(item.request.session, expected, LIMIT);
                Outcome::RefusedAtOnce(retry_ms)
            }),
            Policy::Without(tested, outcomes) => {
                let outcome = outcomes.get(&id).copied();
                outcome.filter(|o| matches!(o, Outcome::RefusedAtOnce(_)) && id != tested)
            }
        };
        if let Some(outcome) = refused {
            self.outcomes.insert(id, outcome);
        } else {
            let pushed = self.queue.push(customer, 1, item);
            assert!(pushed.is_ok(), "the queue has room");
        }
    }

    /// Mean wait of the requests of a priority; those that were not served count with the
    /// longest wait.
    fn mean_wait(&self, priority: u32) -> std_time::Duration {
        let outcomes = self.outcomes.iter();
        let counted = outcomes.filter(|(id, _)| self.calls[**id].priority == priority);
        let waits: Vec<_> = counted
            .map(|(_, outcome)| match outcome {
                Outcome::Served(wait) => *wait,
                _ => LIMIT,
            })
            .collect();
        let count = u32::try_from(waits.len()).expect("a small number");
        waits.iter().sum::<std_time::Duration>() / count
    }

    /// Total time for which connections were in use while the load lasted.
    fn used_time(&self) -> std_time::Duration {
        let end = time::Time(LOAD_US);
        let outcomes = self.outcomes.iter().map(|(id, o)| (&self.calls[*id], o));
        let held = outcomes.map(|(call, outcome)| match outcome {
            Outcome::Served(wait) => call.hold.min(end.since(call.at + *wait)),
            _ => std_time::Duration::ZERO,
        });
        held.sum()
    }

    fn count(&self, is_counted: &dyn Fn(&Call, Outcome) -> bool) -> usize {
        let counted = self.outcomes.iter();
        counted
            .filter(|(id, outcome)| is_counted(&self.calls[**id], **outcome))
            .count()
    }
}

fn index(item: &admission::WaitingRequest) -> usize {
    usize::try_from(item.request.id.0).expect("a small number")
}

fn is_refused(outcome: Outcome) -> bool {
    !matches!(outcome, Outcome::Served(_))
}

#[test]
fn a_customer_above_its_rate_costs_the_others_nothing() {
    for seed in 1..=5 {
        let calls = load(seed, 70);
        let replay = Replay::run(&calls, Policy::Early);
        let refused = replay.count(&|call, outcome| call.customer != 0 && is_refused(outcome));
        assert_eq!(
            refused, 0,
            "seed {seed}: requests of other customers were refused"
        );
        let refused = replay.count(&|_, outcome| is_refused(outcome));
        assert!(refused > 100, "seed {seed}: the load is too small");
    }
}

#[test]
fn urgent_requests_wait_less_than_others() {
    for seed in 1..=5 {
        let calls = load(seed, 70);
        let replay = Replay::run(&calls, Policy::Early);
        let [urgent, middle, last] = [0, 1, 2].map(|priority| replay.mean_wait(priority));
        assert!(urgent < middle, "seed {seed}: {urgent:?}, {middle:?}");
        assert!(middle < last, "seed {seed}: {middle:?}, {last:?}");
        let served = replay.count(&|call, o| call.priority == 2 && !is_refused(o));
        assert!(
            served > 100,
            "seed {seed}: less urgent requests are served too"
        );
    }
}

#[test]
fn only_requests_that_would_miss_their_deadline_are_refused_at_once() {
    // The wait that a refused request would have had follows from the true times for which
    // the requests before it hold their connections, and from the true arrivals after it.
    for seed in 1..=3 {
        for hot in [70, 200] {
            let calls = load(seed, hot);
            let replay = Replay::run(&calls, Policy::Early);
            let outcomes = replay.outcomes.iter();
            let at_once = outcomes.filter(|(_, o)| matches!(o, Outcome::RefusedAtOnce(_)));
            // The end of the load can't be foreseen.
            let is_in_load = |id: &usize| calls[*id].at + LIMIT <= time::Time(LOAD_US);
            let at_once: Vec<_> = at_once.map(|(id, _)| *id).filter(is_in_load).collect();
            let count = at_once.len();
            assert!(count > 50, "seed {seed}, {hot}/s: {count} refused at once");
            for id in at_once.into_iter().step_by(count / TESTED + 1) {
                let served = Replay::run(&calls, Policy::Without(id, &replay.outcomes));
                let outcome = served.outcomes.get(&id).copied();
                let missed = matches!(outcome, Some(Outcome::Served(wait)) if wait > LIMIT);
                assert!(missed, "seed {seed}, {hot}/s, request {id}: {outcome:?}");
            }
        }
    }
}

#[test]
fn early_refusals_leave_no_connection_unused() {
    for seed in 1..=5 {
        for hot in [20, 70, 200] {
            let calls = load(seed, hot);
            let early = Replay::run(&calls, Policy::Early).used_time();
            let late = Replay::run(&calls, Policy::Late).used_time();
            assert_eq!(early, late, "seed {seed}, {hot}/s");
        }
    }
}

#[test]
fn without_measurements_nothing_is_refused_at_once() {
    let server = overload::Server {
        slots: 4,
        free: 0,
        hold: None,
    };
    let ahead = overload::Ahead {
        total: 10_000,
        own: 10_000,
        gap: None,
    };
    assert_eq!(overload::expected_wait(&ahead, &[server]), None);
    let paced = overload::Ahead {
        gap: Some(LIMIT),
        ..ahead
    };
    assert_eq!(overload::expected_wait(&paced, &[server]), None);
    // Requests that wait beside a free connection wait for something else.
    let free = overload::Server {
        free: 1,
        hold: Some(LIMIT),
        ..server
    };
    let none = Some(std::time::Duration::ZERO);
    assert_eq!(overload::expected_wait(&paced, &[server, free]), none);
    let mut holds = overload::HoldTimes::default();
    for count in 0..20 {
        holds.record(&name("db"), LIMIT, time::Time::from_ms(count));
    }
    assert!(holds.get(&name("db"), time::Time::from_ms(20)).is_some());
    assert_eq!(holds.get(&name("db"), time::Time::from_ms(60_000)), None);
}

#[test]
fn a_refused_crowd_returns_spread_over_the_time_in_which_the_queue_empties() {
    let expected = std_time::Duration::from_millis(4_000);
    let mut windows = collections::BTreeMap::new();
    for session in 1..=400 {
        let retry_ms = overload::retry_ms(event::SessionId(session), expected, LIMIT);
        assert!((1_500..4_000).contains(&retry_ms), "{retry_ms} ms");
        *windows.entry(retry_ms / 250).or_insert(0) += 1;
    }
    let most = windows.values().max().copied().unwrap_or(0);
    assert!(
        most <= 60,
        "{most} of 400 return within 250 ms, 40 on average"
    );
}
