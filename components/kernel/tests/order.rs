//! Order of the policy `fair` under overload: many customers, one of them far above its
//! rate, and requests of different priorities.

use std::collections;

use config::Name;
use kernel::{
    admission::{self, Queue, backlog, fair},
    event, time,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Customers of the replayed load.
const CUSTOMERS: u64 = 73;
/// Requests of the customer above its rate for each request of another one.
const HOT_FACTOR: u64 = 7;

fn customer(index: u64) -> Option<Name> {
    Some(Name::try_from(format!("customer-{index}").as_str()).expect("the name is valid"))
}

fn item(id: u64, priority: u32, arrived: u64) -> admission::WaitingRequest {
    admission::WaitingRequest {
        request: event::Request {
            id: event::RequestId(id),
            session: event::SessionId(id),
            access: event::Access::Read,
            retry: false,
        },
        queued_at: time::Time::from_ms(arrived),
        arrived_at: time::Time::from_ms(arrived),
        priority,
        deadline: time::Time(u64::MAX),
    }
}

fn pop(queue: &mut fair::Fair) -> Option<u64> {
    queue
        .pop(time::Time::default(), &mut |_| true)
        .map(|item| item.request.id.0)
}

/// Deficit round robin in order of arrival, without priorities.
#[derive(Default)]
struct RoundRobin {
    queues: collections::BTreeMap<Option<Name>, collections::VecDeque<u64>>,
    deficits: collections::BTreeMap<Option<Name>, (u32, u32)>,
    rotation: collections::VecDeque<Option<Name>>,
}

impl RoundRobin {
    fn push(&mut self, customer: Option<Name>, weight: u32, id: u64) {
        let queue = self.queues.entry(customer.clone()).or_default();
        if queue.is_empty() {
            self.deficits.insert(customer.clone(), (weight, weight));
            self.rotation.push_back(customer.clone());
        }
        queue.push_back(id);
    }

    fn pop(&mut self, ready: &dyn Fn(u64) -> bool) -> Option<u64> {
        for position in 0..self.rotation.len() {
            let customer = self.rotation[position].clone();
            let queue = self.queues.get_mut(&customer)?;
            let Some(index) = queue.iter().position(|id| ready(*id)) else {
                continue;
            };
            let id = queue.remove(index);
            let is_empty = queue.is_empty();
            let (deficit, weight) = self.deficits.get_mut(&customer)?;
            *deficit = deficit.saturating_sub(1);
            if is_empty {
                self.rotation.remove(position);
            } else if *deficit == 0 {
                *deficit = *weight;
                self.rotation.remove(position);
                self.rotation.push_back(customer);
            }
            return id;
        }
        None
    }
}

/// Operation on a queue; the fields are the customer, the priority and the id of a
/// request, or a divisor of the ids that are not ready.
#[derive(Clone, Copy, Debug)]
enum Step {
    Push(u64, u32),
    Pop(u64),
    Extract(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0..=8 => Step::Push(u64::arbitrary(g) % 6, u32::arbitrary(g) % 3),
            9..=14 => Step::Pop(u64::arbitrary(g) % 4 + 2),
            _ => Step::Extract(u64::arbitrary(g) % 5 + 2),
        }
    }
}

fn check(property: fn(Vec<Step>) -> bool, seed: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, seed))
        .tests(300)
        .quickcheck(property);
}

#[test]
fn one_priority_keeps_the_order_of_round_robin() {
    fn has_same_order(steps: Vec<Step>) -> bool {
        let mut queue = fair::Fair::new(1000);
        let mut expected = RoundRobin::default();
        let mut last = 0;
        for step in steps {
            match step {
                Step::Push(index, _) => {
                    last += 1;
                    let weight = u32::try_from(index % 3).unwrap_or(0) + 1;
                    let pushed = queue.push(customer(index), weight, item(last, 4, last));
                    assert!(pushed.is_ok(), "the queue has room");
                    expected.push(customer(index), weight, last);
                }
                Step::Pop(divisor) | Step::Extract(divisor) => {
                    let ready = |id: u64| !id.is_multiple_of(divisor);
                    let popped =
                        queue.pop(time::Time::default(), &mut |item| ready(item.request.id.0));
                    if popped.map(|item| item.request.id.0) != expected.pop(&ready) {
                        return false;
                    }
                }
            }
        }
        true
    }
    check(has_same_order, 11);
}

#[test]
fn each_request_leaves_the_queue_once() {
    fn leaves_once(steps: Vec<Step>) -> bool {
        let mut queue = fair::Fair::new(1000);
        let mut inside = collections::BTreeSet::new();
        let mut last = 0;
        for step in steps {
            match step {
                Step::Push(index, priority) => {
                    last += 1;
                    // Some requests return with the time of an earlier arrival.
                    let arrived = if last % 5 == 0 { last / 2 } else { last };
                    let pushed = queue.push(customer(index), 1, item(last, priority, arrived));
                    assert!(pushed.is_ok(), "the queue has room");
                    inside.insert(last);
                }
                Step::Pop(divisor) => {
                    let mut tested = 0;
                    let popped = queue.pop(time::Time::default(), &mut |item| {
                        tested = item.request.id.0;
                        !tested.is_multiple_of(divisor)
                    });
                    let Some(popped) = popped.map(|item| item.request.id.0) else {
                        if inside.iter().any(|id| !id.is_multiple_of(divisor)) {
                            return false;
                        }
                        continue;
                    };
                    if popped != tested || !inside.remove(&popped) {
                        return false;
                    }
                }
                Step::Extract(divisor) => {
                    let is_selected = |id: u64| id.is_multiple_of(divisor);
                    let removed = queue.extract_if(&mut |item| is_selected(item.request.id.0));
                    for item in removed {
                        let id = item.request.id.0;
                        if !is_selected(id) || !inside.remove(&id) {
                            return false;
                        }
                    }
                }
            }
            if queue.len() != inside.len() {
                return false;
            }
        }
        while let Some(id) = pop(&mut queue) {
            if !inside.remove(&id) {
                return false;
            }
        }
        inside.is_empty()
    }
    check(leaves_once, 12);
}

#[test]
fn urgent_requests_wait_less_and_no_customer_gets_more_than_its_turns() {
    // Every customer has a request of each priority, the less urgent ones first; one
    // customer has seven times as many.
    let mut queue = fair::Fair::new(1000);
    let mut owners = collections::BTreeMap::new();
    let mut last = 0;
    for priority in [2, 1, 0] {
        for index in 0..CUSTOMERS {
            let count = if index == 0 { HOT_FACTOR } else { 1 };
            for _ in 0..count {
                last += 1;
                owners.insert(last, (index, priority));
                let pushed = queue.push(customer(index), 1, item(last, priority, last));
                assert!(pushed.is_ok(), "the queue has room");
            }
        }
    }
    let mut grants: Vec<(u64, u32)> = Vec::new();
    while let Some(id) = pop(&mut queue) {
        grants.push(owners[&id]);
    }
    let mean_place = |priority: u32| {
        let places = grants.iter().enumerate().filter(|(_, g)| g.1 == priority);
        let places: Vec<_> = places.map(|(place, _)| place).collect();
        places.iter().sum::<usize>() / places.len()
    };
    assert!(mean_place(0) < mean_place(1), "urgent requests wait less");
    assert!(mean_place(1) < mean_place(2), "urgent requests wait less");
    let customers = usize::try_from(CUSTOMERS).expect("a small number");
    for (round, turns) in grants.chunks(customers).take(3).enumerate() {
        let served: collections::BTreeSet<_> = turns.iter().map(|grant| grant.0).collect();
        assert_eq!(
            served.len(),
            customers,
            "round {round} serves every customer once"
        );
    }
}

#[test]
fn a_new_urgent_request_passes_the_less_urgent_ones_of_other_customers() {
    let mut queue = fair::Fair::new(1000);
    for index in 0..10 {
        for copy in 0..3 {
            let pushed = queue.push(customer(index), 1, item(index * 3 + copy, 2, 1));
            assert!(pushed.is_ok(), "the queue has room");
        }
    }
    let pushed = queue.push(customer(50), 1, item(100, 0, 2));
    assert!(pushed.is_ok(), "the queue has room");
    assert_eq!(pop(&mut queue), Some(100));
}

#[test]
fn one_urgent_request_after_the_other_takes_one_turn_a_round() {
    // A customer has one urgent request at a time and sends the next one as soon as the
    // last one is served.
    let mut queue = fair::Fair::new(1000);
    for index in 0..10 {
        for copy in 0..50 {
            let pushed = queue.push(customer(index), 1, item(index * 50 + copy, 2, copy));
            assert!(pushed.is_ok(), "the queue has room");
        }
    }
    let mut urgent = 1000;
    let mut grants = vec![urgent];
    for _ in 0..110 {
        if grants.contains(&urgent) {
            urgent += 1;
            let pushed = queue.push(customer(50), 1, item(urgent, 0, 100));
            assert!(pushed.is_ok(), "the queue has room");
        }
        grants.push(pop(&mut queue).expect("requests wait"));
    }
    let served = grants.iter().filter(|id| **id > 1000).count();
    assert!(
        served <= 12,
        "{served} of 110 services went to one customer of 11"
    );
}

#[test]
fn less_urgent_requests_of_a_customer_are_served_within_the_bound() {
    // More urgent requests arrive without end behind ten less urgent ones.
    let mut queue = fair::Fair::new(1000);
    for id in 0..10 {
        let pushed = queue.push(customer(0), 1, item(id, 2, id));
        assert!(pushed.is_ok(), "the queue has room");
    }
    let turn = u64::from(backlog::MAX_PASSES) + 1;
    let mut served = Vec::new();
    for count in 0..turn * 10 {
        let pushed = queue.push(customer(0), 1, item(100 + count, 0, 100 + count));
        assert!(pushed.is_ok(), "the queue has room");
        served.push(pop(&mut queue).expect("requests wait"));
    }
    for id in 0..10 {
        let place = served.iter().position(|served| *served == id);
        let place = place.and_then(|place| u64::try_from(place).ok());
        let bound = turn * (id + 1);
        assert!(
            place.is_some_and(|place| place < bound),
            "request {id} was served at {place:?}, after more than {bound} services"
        );
    }
}

#[test]
fn requests_that_return_are_served_in_the_order_of_their_first_arrival() {
    let mut queue = fair::Fair::new(1000);
    for (id, arrived) in [(1, 50), (2, 60), (3, 10), (4, 55), (5, 70)] {
        let pushed = queue.push(customer(0), 1, item(id, 1, arrived));
        assert!(pushed.is_ok(), "the queue has room");
    }
    let order: Vec<_> = std::iter::from_fn(|| pop(&mut queue)).collect();
    assert_eq!(order, [3, 1, 4, 2, 5]);
}
