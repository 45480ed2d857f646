//! Stages of a replacement after its claim: catching up, hold, order and
//! confirmation.

use std::{collections, time as std_time};

use config::Name;

use super::{CLAIM_LIFETIME, Context, Note, REPEAT_PAUSE, Step};
use crate::{event, leader, position, time};

/// Time for a replica to reach the last position of a planned replacement.
const CATCH_UP_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_500);
/// Time for the replicas to confirm that they are held.
const HOLD_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(400);
/// Period of polls of an instance that something waits for.
const POLL_PERIOD: std_time::Duration = std_time::Duration::from_millis(40);
/// Time in which a promotion takes effect; the users state up to 1 s.
const PROMOTION_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_300);
/// Time for an instance to lead after the order.
const LEAD_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(2_500);

/// How far a replacement has come.
#[derive(Debug)]
pub(super) enum Stage {
    Claiming,
    Closing {
        since: time::Time,
        waiting: collections::BTreeSet<Name>,
        told: Option<time::Time>,
    },
    CatchingUp {
        since: time::Time,
    },
    Holding {
        since: time::Time,
        asked: bool,
        held: collections::BTreeMap<Name, position::Floor>,
    },
    Ordering {
        candidates: collections::VecDeque<(Name, position::Floor)>,
        sent: Option<time::Time>,
    },
    Confirming {
        candidates: collections::VecDeque<(Name, position::Floor)>,
        since: time::Time,
    },
    Recording {
        leader: leader::Leader,
        sent: Option<time::Time>,
    },
}

/// A replacement by this VM.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) number: u64,
    pub(super) planned: bool,
    pub(super) base: u64,
    pub(super) old: Option<Name>,
    pub(super) term: position::Term,
    pub(super) sent: time::Time,
    pub(super) token: Option<u64>,
    pub(super) polled: time::Time,
    pub(super) stage: Stage,
}

pub(super) fn holding(now: time::Time) -> Stage {
    Stage::Holding {
        since: now,
        asked: false,
        held: collections::BTreeMap::new(),
    }
}

/// Status of an instance from a poll sent since `since`.
fn status(context: &Context<'_>, instance: &Name, since: time::Time) -> Option<position::Status> {
    let seen = context.group.instances.get(instance)?;
    let (sent, status) = seen.status?;
    (sent >= since).then_some(status)
}

fn poll_all(attempt: &mut Attempt, context: &Context<'_>, names: Vec<Name>, out: &mut Vec<Step>) {
    if context.now.since(attempt.polled) >= POLL_PERIOD {
        attempt.polled = context.now;
        out.extend(names.into_iter().map(Step::Poll));
    }
}

/// Waits until a replica holds everything that the old leader has committed.
pub(super) fn catch_up(
    attempt: &mut Attempt,
    since: time::Time,
    context: &Context<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let target = attempt
        .old
        .as_ref()
        .and_then(|old| status(context, old, since))
        .map(|status| status.received);
    let mut ready = collections::VecDeque::new();
    for (name, seen) in &context.group.instances {
        let old = attempt.old.as_ref() == Some(name);
        let Some(status) = status(context, name, since).filter(|_| !old && !seen.leaving) else {
            continue;
        };
        if target.is_some_and(|target| status.received >= target) {
            let floor = position::Floor {
                term: status.term,
                lsn: status.received,
            };
            ready.push_back((name.clone(), floor));
        }
    }
    if !ready.is_empty() {
        if let Some(old) = &attempt.old {
            out.push(Step::Demote(old.clone(), attempt.term.next()));
        }
        return Stage::Ordering {
            candidates: rank(ready.into_iter().collect(), context),
            sent: None,
        };
    }
    if context.now.since(since) >= CATCH_UP_TIMEOUT {
        return holding(context.now);
    }
    let names = context.group.instances.keys().cloned().collect();
    poll_all(attempt, context, names, out);
    Stage::CatchingUp { since }
}

/// Holds the replicas, so that their positions cannot change any more.
pub(super) fn hold(
    attempt: &Attempt,
    since: time::Time,
    asked: bool,
    held: collections::BTreeMap<Name, position::Floor>,
    context: &Context<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let names = context.group.instances.keys();
    let replicas: Vec<_> = names
        .filter(|name| attempt.old.as_ref() != Some(*name))
        .collect();
    if !asked {
        let term = attempt.term.next();
        for name in &replicas {
            out.push(Step::Pause((*name).clone(), term));
        }
        if let Some(old) = &attempt.old {
            out.push(Step::Demote(old.clone(), term));
        }
    }
    let complete = !replicas.is_empty() && held.len() >= replicas.len();
    let late = context.now.since(since) >= HOLD_TIMEOUT;
    if complete || (late && !held.is_empty()) {
        return Stage::Ordering {
            candidates: rank(held.into_iter().collect(), context),
            sent: None,
        };
    }
    if late {
        return holding(context.now);
    }
    Stage::Holding {
        since,
        asked: true,
        held,
    }
}

/// Candidates by position; of equal ones those that stay and are near go first.
fn rank(
    mut held: Vec<(Name, position::Floor)>,
    context: &Context<'_>,
) -> collections::VecDeque<(Name, position::Floor)> {
    held.sort_by_key(|(name, floor)| {
        let leaving = context
            .group
            .instances
            .get(name)
            .is_none_or(|seen| seen.leaving);
        let domain = context.view.instance(name).map(|entry| &entry.domain);
        let near = domain.and_then(|domain| context.regions.get(domain)) == Some(context.region);
        (std::cmp::Reverse(*floor), leaving, !near)
    });
    held.into()
}

pub(super) fn order(
    attempt: &Attempt,
    candidates: collections::VecDeque<(Name, position::Floor)>,
    sent: Option<time::Time>,
    context: &Context<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let Some((instance, floor)) = candidates.front() else {
        return holding(context.now);
    };
    if sent.is_some_and(|at| context.now.since(at) < REPEAT_PAUSE) {
        return Stage::Ordering { candidates, sent };
    }
    let token = attempt.token.unwrap_or_default();
    out.push(Step::Note(Note::Ordering {
        instance: instance.clone(),
        floor: *floor,
        token,
    }));
    out.push(Step::Order(event::PromotionOrder {
        group: context.group.name().clone(),
        instance: instance.clone(),
        fencing_token: token,
        deadline: attempt.sent + CLAIM_LIFETIME,
    }));
    // Repeated only after the answer, or the time limit of the call.
    Stage::Ordering {
        candidates,
        sent: Some(context.now + CLAIM_LIFETIME),
    }
}

/// Waits until the chosen instance says that it leads.
pub(super) fn confirm(
    attempt: &mut Attempt,
    candidates: collections::VecDeque<(Name, position::Floor)>,
    since: time::Time,
    context: &Context<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let Some((instance, start)) = candidates.front().cloned() else {
        return holding(context.now);
    };
    // An order for the present primary changes nothing.
    let present = context.now.since(since) >= PROMOTION_LIMIT;
    let leads = status(context, &instance, since).filter(|status| {
        let newer = status.term > attempt.term || (present && status.term == attempt.term);
        status.role == position::Role::Primary && newer
    });
    if let Some(status) = leads {
        out.push(Step::Note(Note::Leads {
            instance: instance.clone(),
            term: status.term,
            start,
            took_ms: time::micros(context.now.since(attempt.sent)) / 1000,
        }));
        let leader = leader::Leader {
            instance: Some(instance),
            term: status.term,
            start,
            claim: None,
        };
        out.push(Step::Write(
            attempt.token.unwrap_or_default(),
            leader.clone(),
        ));
        return Stage::Recording {
            leader,
            sent: Some(context.now),
        };
    }
    if context.now.since(since) >= LEAD_TIMEOUT {
        return Stage::Ordering {
            candidates,
            sent: None,
        };
    }
    poll_all(attempt, context, vec![instance], out);
    Stage::Confirming { candidates, since }
}
