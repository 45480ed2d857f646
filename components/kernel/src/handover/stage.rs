//! Stages of a replacement after its claim: catching up, pausing the replicas,
//! ordering the promotion and confirming it.

use std::{collections, time as std_time};

use config::Name;

use super::{CLAIM_LIFETIME, Context, Note, RETRY_DELAY, Step, synchronous};
use crate::{event, group, leader, message, position, replica_set, time};

/// Time limit for a replica to reach the last position of the old leader in a
/// planned replacement.
const CATCH_UP_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_500);
/// Time limit for the replicas to confirm that replication is paused.
pub(super) const PAUSE_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(400);
/// Time limit for the pause of a replica that is known to be ahead of all that have
/// confirmed.
const AHEAD_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_500);
/// Time limit for an instance of the recorded term to answer if all that have confirmed
/// are on abandoned branches.
const BRANCH_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(4_000);
/// Time before the deadline of a claim that is left for the order.
const ORDER_MARGIN: std_time::Duration = std_time::Duration::from_millis(500);
/// Delay before a replica that has not confirmed the pause is asked again.
const PAUSE_RETRY: std_time::Duration = std_time::Duration::from_millis(20);
/// Poll period for an instance that a stage waits for.
pub(super) const POLL_PERIOD: std_time::Duration = std_time::Duration::from_millis(40);
/// Time in which a promotion takes effect; the users state up to 1 s.
const PROMOTION_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_300);
/// Time limit for an instance to become primary after the order.
const LEAD_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(2_500);

/// Stage of a replacement.
#[derive(Debug)]
pub(super) enum Stage {
    Claiming,
    Closing {
        since: time::Time,
        waiting: collections::BTreeSet<Name>,
        last_request: Option<time::Time>,
    },
    CatchingUp {
        since: time::Time,
    },
    Pausing {
        since: time::Time,
        requests: collections::BTreeMap<Name, PauseRequest>,
        paused: collections::BTreeMap<Name, position::Position>,
    },
    Ordering {
        candidates: collections::VecDeque<(Name, position::Position)>,
        sent: Option<time::Time>,
    },
    Confirming {
        candidates: collections::VecDeque<(Name, position::Position)>,
        since: time::Time,
    },
    Recording {
        leader: leader::Leader,
        sent: Option<time::Time>,
    },
}

/// Requests to pause replication, and the positions of those that have confirmed.
pub(super) struct Pauses {
    pub(super) requests: collections::BTreeMap<Name, PauseRequest>,
    pub(super) paused: collections::BTreeMap<Name, position::Position>,
}

impl Pauses {
    /// Stage that goes on waiting for the rest.
    pub(super) fn wait(self, since: time::Time) -> Stage {
        Stage::Pausing {
            since,
            requests: self.requests,
            paused: self.paused,
        }
    }
}

/// Last request to a replica to pause replication.
#[derive(Clone, Copy, Debug)]
pub(super) enum PauseRequest {
    Sent,
    /// The replica was busy or not reached at this time.
    Failed(time::Time),
}

impl PauseRequest {
    fn is_due(self, now: time::Time) -> bool {
        match self {
            Self::Sent => false,
            Self::Failed(at) => now.since(at) >= PAUSE_RETRY,
        }
    }
}

/// Replacement that this VM carries out.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) number: u64,
    /// Era of the store to which the claim belongs.
    pub(super) era: u64,
    pub(super) planned: bool,
    /// Whether the leader may keep the group: it was claimed because of an evacuation.
    pub(super) may_keep: bool,
    /// Whether the holder of an earlier claim may still have an order under way.
    pub(super) is_takeover: bool,
    /// Whether VMs that this one does not know may use the leader, since the store may have
    /// lost their rows.
    pub(super) may_miss_users: bool,
    pub(super) base_version: u64,
    pub(super) old_leader: Option<Name>,
    pub(super) term: position::Term,
    pub(super) claim_sent: time::Time,
    pub(super) token: Option<u64>,
    pub(super) last_poll: time::Time,
    /// Whether the instance that was ordered to lead had led before the order.
    pub(super) had_led: bool,
    /// Whether a note says that no candidate is proved to have every commit.
    pub(super) is_unproved_noted: bool,
    /// Token by which the VMs were asked to stop using the leader.
    pub(super) close_token: Option<u64>,
    /// When VMs that had not stopped were last asked again while no candidate is proved.
    pub(super) last_close: time::Time,
    /// VMs that have stopped using the leader, with what they have acknowledged, if they state it.
    pub(super) closed: collections::BTreeMap<Name, Option<position::Position>>,
    /// Position of the last acknowledged commit or beyond, once it is known.
    pub(super) acknowledged: Option<position::Lsn>,
    /// When this position was last written to the row.
    pub(super) stored_at: Option<time::Time>,
    pub(super) stage: Stage,
}

impl Attempt {
    /// Time from which no call may be sent by right of the claim.
    pub(super) fn deadline(&self) -> time::Time {
        self.claim_sent + CLAIM_LIFETIME
    }

    /// Whether the group's row holds the claim.
    pub(super) fn is_claimed(&self, context: &Context<'_>) -> bool {
        let claim = context.leader.as_ref().and_then(|row| row.claim.as_ref());
        claim.is_some_and(|claim| claim.holder == context.own && claim.number == self.number)
    }

    /// Step that asks a VM to stop using the leader.
    pub(super) fn request_close(&self, vm: &Name, context: &Context<'_>) -> Step {
        let claim = message::Claim {
            group: context.group.name().clone(),
            token: self.close_token.unwrap_or_default(),
            planned: self.planned,
        };
        Step::RequestClose(vm.clone(), claim)
    }

    /// Leader that another one has replaced, if the attempt did not keep it.
    pub(super) fn replaced_leader(&self) -> Option<&Name> {
        let recorded = match &self.stage {
            Stage::Recording { leader, .. } => leader.instance.as_ref(),
            _ => None,
        };
        self.old_leader
            .as_ref()
            .filter(|old_leader| recorded != Some(*old_leader))
    }

    /// Whether an order is under way that the platform has not answered.
    pub(super) fn awaits_order(&self, now: time::Time) -> bool {
        match &self.stage {
            Stage::Ordering { sent, .. } => sent.is_some_and(|sent| sent > now),
            _ => false,
        }
    }
}

pub(super) fn start_pausing(now: time::Time) -> Stage {
    Stage::Pausing {
        since: now,
        requests: collections::BTreeMap::new(),
        paused: collections::BTreeMap::new(),
    }
}

/// Status of an instance from a poll sent at `since` or later.
pub(super) fn status_since(
    context: &Context<'_>,
    instance: &Name,
    since: time::Time,
) -> Option<position::Status> {
    let state = context.group.instances.get(instance)?;
    let (sent, status) = state.status?;
    (sent >= since).then_some(status)
}

fn poll_instances(
    attempt: &mut Attempt,
    context: &Context<'_>,
    names: Vec<Name>,
    out: &mut Vec<Step>,
) {
    if context.now.since(attempt.last_poll) >= POLL_PERIOD {
        attempt.last_poll = context.now;
        out.extend(names.into_iter().map(Step::Poll));
    }
}

/// Waits until a replica has received everything that the old leader has
/// committed.
pub(super) fn catch_up(
    attempt: &mut Attempt,
    since: time::Time,
    context: &Context<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let target = attempt
        .old_leader
        .as_ref()
        .and_then(|old_leader| status_since(context, old_leader, since))
        .map(|status| status.received);
    let mut ready = collections::VecDeque::new();
    for (name, state) in &context.group.instances {
        let is_old = attempt.old_leader.as_ref() == Some(name);
        let Some(status) =
            status_since(context, name, since).filter(|_| !is_old && !state.is_withdrawn())
        else {
            continue;
        };
        let position = position::Position {
            term: status.term,
            lsn: status.received,
        };
        let has_all = target.is_some_and(|target| status.received >= target);
        if has_all && !is_abandoned(position, context) {
            ready.push_back((name.clone(), position));
        }
    }
    if !ready.is_empty() {
        if let Some(old_leader) = &attempt.old_leader {
            out.push(Step::Demote(
                old_leader.clone(),
                attempt.term.next(),
                attempt.deadline(),
            ));
        }
        return Stage::Ordering {
            candidates: rank_candidates(ready.into_iter().collect(), context),
            sent: None,
        };
    }
    if context.now.since(since) >= CATCH_UP_TIMEOUT {
        let kept = keep_leader(attempt, since, context, out);
        return kept.unwrap_or_else(|| start_pausing(context.now));
    }
    let names = context.group.instances.keys().cloned().collect();
    poll_instances(attempt, context, names, out);
    Stage::CatchingUp { since }
}

/// Gives the group back to its leader if it was claimed because of an evacuation, for which
/// no commit may be lost, and the leader answers and is not leaving.
fn keep_leader(
    attempt: &Attempt,
    since: time::Time,
    context: &Context<'_>,
    out: &mut Vec<Step>,
) -> Option<Stage> {
    let instance = attempt.old_leader.clone()?;
    let is_leaving = context.group.instances.get(&instance)?.leaving;
    let status = status_since(context, &instance, since)?;
    let is_leading = status.role == position::Role::Primary && status.term == attempt.term;
    if !attempt.may_keep || is_leaving || !is_leading {
        return None;
    }
    Some(record_kept(attempt, instance, status, context, out))
}

/// Gives the group back to its leader.
pub(super) fn record_kept(
    attempt: &Attempt,
    instance: Name,
    status: position::Status,
    context: &Context<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let known_start = context.leader.as_ref().map(|row| row.start);
    let received = position::Position {
        term: status.term,
        lsn: status.received,
    };
    out.push(Step::Note(Note::Kept {
        instance: instance.clone(),
        received: status.received,
    }));
    let leader = leader::Leader {
        instance: Some(instance),
        term: attempt.term,
        start: known_start
            .filter(|start| *start != position::Position::default())
            .unwrap_or(received),
        claim: None,
        replicas: context.leader.as_ref().and_then(|row| row.replicas.clone()),
        acknowledged: None,
    };
    out.push(Step::Write(
        attempt.token.unwrap_or_default(),
        leader.clone(),
    ));
    Stage::Recording {
        leader,
        sent: Some(context.now),
    }
}

/// Replica set under the leader of a term that is to be recorded.
fn recorded_replicas(
    term: position::Term,
    context: &Context<'_>,
) -> Option<replica_set::ReplicaSet> {
    let row = context.leader.as_ref()?;
    let replicas = row.replicas.clone()?;
    // The commits of an earlier term are at the new leader, whoever else had them.
    let starts = (term > row.term).then(|| context.view.starts(context.group.name()));
    Some(starts.map_or(replicas.clone(), |starts| replicas.promoted(&starts)))
}

/// Offset up to which the log of an instance at a position is that of the recorded term.
pub(super) fn shared_lsn(position: position::Position, context: &Context<'_>) -> position::Lsn {
    if is_abandoned(position, context) {
        recorded_start(context).lsn
    } else {
        position.lsn
    }
}

/// Position at which the recorded term began; term 0 if unknown.
pub(super) fn recorded_start(context: &Context<'_>) -> position::Position {
    let row = context.leader.as_ref();
    row.map(|row| row.start).unwrap_or_default()
}

/// Whether a position is on an abandoned branch: the log has commits beyond the start of
/// the recorded term, but not in that term.
pub(super) fn is_abandoned(position: position::Position, context: &Context<'_>) -> bool {
    let start = recorded_start(context);
    position.term < start.term && position.lsn > start.lsn
}

/// Rank of a position among the candidates; abandoned branches come last.
fn standing(position: position::Position, context: &Context<'_>) -> (bool, position::Position) {
    (!is_abandoned(position, context), position)
}

/// Best of the candidates if it is on an abandoned branch.
fn find_abandoned(
    paused: &collections::BTreeMap<Name, position::Position>,
    context: &Context<'_>,
) -> Option<(Name, position::Position)> {
    let best = paused
        .iter()
        .max_by_key(|(_, position)| standing(**position, context))?;
    let (name, position) = best;
    is_abandoned(*position, context).then(|| (name.clone(), *position))
}

/// Instance that is known to be ahead of all replicas that have confirmed their pause, with
/// its position. An instance that is unreachable does not count.
fn find_ahead(
    replicas: &[&Name],
    paused: &collections::BTreeMap<Name, position::Position>,
    context: &Context<'_>,
) -> Option<(Name, position::Position)> {
    let best = paused
        .values()
        .map(|position| standing(*position, context))
        .max()?;
    let waiting = replicas
        .iter()
        .filter(|name| !paused.contains_key(**name) && !context.group.is_unreachable(name));
    let known = waiting.filter_map(|name| Some((*name, context.group.known_position(name)?)));
    let ahead = known.filter(|(_, position)| standing(*position, context) > best);
    ahead
        .max_by_key(|(_, position)| standing(*position, context))
        .map(|(name, position)| ((*name).clone(), position))
}

/// Pauses replication on the replicas, so that their positions no longer change. A
/// replica that is known to be ahead of the others is waited for longer than one about
/// which nothing is known, but it may be lost.
///
/// Replicas of abandoned branches are used only if no other instance answers. The old
/// leader counts here too: it may have come back with its log.
pub(super) fn pause_replicas(
    attempt: &mut Attempt,
    since: time::Time,
    mut requests: collections::BTreeMap<Name, PauseRequest>,
    mut paused: collections::BTreeMap<Name, position::Position>,
    context: &Context<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let names = context.group.instances.keys();
    let replicas: Vec<_> = names
        .filter(|name| attempt.old_leader.as_ref() != Some(*name))
        .collect();
    let (term, deadline) = (attempt.term.next(), attempt.deadline());
    let is_synchronous = context.group.is_synchronous();
    if let Some(old_leader) = attempt.old_leader.as_ref().filter(|_| requests.is_empty())
        && !is_synchronous
    {
        out.push(Step::Demote(old_leader.clone(), term, deadline));
    }
    for name in &replicas {
        let is_due = requests
            .get(*name)
            .is_none_or(|request| request.is_due(context.now));
        if is_due && !paused.contains_key(*name) {
            out.push(Step::PauseReplication((*name).clone(), term, deadline));
            requests.insert((*name).clone(), PauseRequest::Sent);
        }
    }
    if is_synchronous {
        let paused = Pauses { requests, paused };
        return synchronous::choose(attempt, since, paused, context, out);
    }
    let has_paused = |name: &&Name| paused.contains_key(*name);
    let is_complete = !replicas.is_empty() && replicas.iter().all(has_paused);
    let waited = context.now.since(since);
    let is_late = waited >= PAUSE_TIMEOUT;
    let is_last_chance = context.now + ORDER_MARGIN >= deadline;
    let mut abandoned = find_abandoned(&paused, context);
    if abandoned.is_some()
        && let Some(old_leader) = attempt.old_leader.clone()
    {
        match status_since(context, &old_leader, since) {
            Some(status) => {
                let position = position::Position {
                    term: status.term,
                    lsn: status.received,
                };
                paused.insert(old_leader, position);
                abandoned = find_abandoned(&paused, context);
            }
            None => poll_instances(attempt, context, vec![old_leader], out),
        }
    }
    // Without an old leader, no other instance can answer once all have confirmed.
    let may_improve = !is_complete || attempt.old_leader.is_some();
    if abandoned.is_some() && may_improve && waited < BRANCH_TIMEOUT && !is_last_chance {
        return Stage::Pausing {
            since,
            requests,
            paused,
        };
    }
    let ahead = find_ahead(&replicas, &paused, context);
    let may_wait = ahead.is_some() && waited < AHEAD_TIMEOUT && !is_last_chance;
    if is_complete || (is_late && !paused.is_empty() && !may_wait) {
        if let Some((instance, known)) = ahead {
            out.push(Step::Note(Note::PassedOver { instance, known }));
        }
        if let Some((instance, position)) = abandoned {
            let start = recorded_start(context);
            out.push(Step::Note(Note::Abandoned {
                instance,
                position,
                start,
            }));
        }
        return Stage::Ordering {
            candidates: rank_candidates(paused.into_iter().collect(), context),
            sent: None,
        };
    }
    if is_late && paused.is_empty() {
        return start_pausing(context.now);
    }
    Stage::Pausing {
        since,
        requests,
        paused,
    }
}

/// Sorts the candidates by descending position, abandoned branches last. Of candidates
/// with equal positions, those that may stay and those in this region come first.
pub(super) fn rank_candidates(
    mut candidates: Vec<(Name, position::Position)>,
    context: &Context<'_>,
) -> collections::VecDeque<(Name, position::Position)> {
    candidates.sort_by_key(|(name, position)| {
        let is_withdrawn = context
            .group
            .instances
            .get(name)
            .is_none_or(group::InstanceState::is_withdrawn);
        let domain = context.view.registration(name).map(|entry| &entry.domain);
        let is_near = domain.and_then(|domain| context.regions.get(domain)) == Some(context.region);
        let standing = standing(*position, context);
        (std::cmp::Reverse(standing), is_withdrawn, !is_near)
    });
    candidates.into()
}

pub(super) fn order(
    attempt: &Attempt,
    candidates: collections::VecDeque<(Name, position::Position)>,
    sent: Option<time::Time>,
    context: &Context<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let Some((instance, position)) = candidates.front() else {
        return start_pausing(context.now);
    };
    if sent.is_some_and(|at| context.now.since(at) < RETRY_DELAY) {
        return Stage::Ordering { candidates, sent };
    }
    let token = attempt.token.unwrap_or_default();
    out.push(Step::Note(Note::Ordering {
        instance: instance.clone(),
        floor: *position,
        token,
    }));
    out.push(Step::OrderPromotion(event::PromotionOrder {
        group: context.group.name().clone(),
        instance: instance.clone(),
        fencing_token: token,
        deadline: attempt.deadline(),
    }));
    // Dated ahead: repeated only after an answer, or after the time limit of the call.
    Stage::Ordering {
        candidates,
        sent: Some(context.now + CLAIM_LIFETIME),
    }
}

/// Waits until the chosen instance reports that it is the primary.
pub(super) fn confirm(
    attempt: &mut Attempt,
    candidates: collections::VecDeque<(Name, position::Position)>,
    since: time::Time,
    context: &Context<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let Some((instance, position)) = candidates.front().cloned() else {
        return start_pausing(context.now);
    };
    // An order that names the current primary does not change the term, so
    // after `PROMOTION_TIMEOUT` the old term is accepted too.
    let is_overdue = context.now.since(since) >= PROMOTION_TIMEOUT;
    let confirmed = status_since(context, &instance, since).filter(|status| {
        let is_accepted = status.term > attempt.term || (is_overdue && status.term == attempt.term);
        status.role == position::Role::Primary && is_accepted
    });
    if let Some(status) = confirmed {
        attempt.had_led = position.term == status.term;
        // A replica that restarted after its pause has received more than it reported then.
        let reported = position::Position {
            term: status.term,
            lsn: status.received,
        };
        // The leader of the recorded term may have come back.
        let start = Some(recorded_start(context))
            .filter(|start| start.term == status.term)
            .unwrap_or(reported);
        out.push(Step::Note(Note::Leads {
            instance: instance.clone(),
            term: status.term,
            start,
            took_ms: time::micros(context.now.since(attempt.claim_sent)) / 1000,
        }));
        let leader = leader::Leader {
            instance: Some(instance),
            term: status.term,
            start,
            claim: None,
            replicas: recorded_replicas(status.term, context),
            acknowledged: None,
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
    poll_instances(attempt, context, vec![instance], out);
    Stage::Confirming { candidates, since }
}
