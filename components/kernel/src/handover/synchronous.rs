//! Choice of the new leader of a group in which a commit is acknowledged once one replica
//! has received it.
//!
//! An acknowledged commit is at the leader of its term and at one replica or more. A candidate
//! is proved to have every one of them in three cases: the old leader has stated its position,
//! which no longer changes, and the candidate has as much, or is the old leader itself; or all
//! other members of the replica set (`replica_set.rs`) have stated their positions, and none has
//! more; or it has the position up to which the VMs have acknowledged commits
//! (`acknowledged.rs`), which may include commits that nobody acknowledged and only the
//! old leader had. While none of them holds, the group has no leader. An old leader that answers
//! again is asked to step down, so that it can be promoted; in a planned replacement it goes on.

use std::collections;

use config::Name;

use super::{
    CLOSE_PERIOD, Context, Note, Step, acknowledged, proof,
    stage::{self, Attempt, Pauses, Stage},
};
use crate::{position, replica_set, time};

/// Proof that a candidate has every acknowledged commit.
enum Proof {
    /// An instance that has the log of the recorded term up to this offset has all of them.
    Reached(position::Lsn),
    /// An instance at this position of a term without a record, or beyond, has all of them.
    Floor(position::Position),
    /// The instance leads a later term, for which it has been promoted without a record.
    Leads(Name, position::Position),
    /// These instances may have commits that no candidate is known to have.
    Missing(Vec<Name>),
}

/// Chooses the candidates that are proved to have every commit, or waits.
pub(super) fn choose(
    attempt: &mut Attempt,
    since: time::Time,
    mut pauses: Pauses,
    context: &Context<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let old_leader = attempt.old_leader.clone();
    let answer = old_leader
        .as_ref()
        .and_then(|name| Some((name.clone(), stage::status_since(context, name, since)?)));
    // A position that may still grow proves nothing, unless its term shows that the
    // instance was promoted after the leader of the claim.
    if let Some((name, status)) = &answer
        && (status.role == position::Role::Replica || status.term > attempt.term)
    {
        pauses.paused.insert(name.clone(), position_of(status));
    }
    acknowledged::update(attempt, context, out);
    let mut candidates = Vec::from_iter(pauses.paused.clone());
    match find_proof(attempt, since, &pauses, context) {
        Proof::Leads(name, position) => {
            return Stage::Ordering {
                candidates: [(name, position)].into(),
                sent: None,
            };
        }
        Proof::Reached(lsn) => {
            candidates.retain(|(_, position)| stage::shared_lsn(*position, context) >= lsn);
        }
        Proof::Floor(floor) => candidates.retain(|(_, position)| *position >= floor),
        Proof::Missing(missing) => {
            return wait(attempt, since, pauses, answer, missing, context, out);
        }
    }
    if let Some(old_leader) = old_leader {
        let (term, deadline) = (attempt.term.next(), attempt.deadline());
        out.push(Step::Demote(old_leader, term, deadline));
    }
    Stage::Ordering {
        candidates: stage::rank_candidates(candidates, context),
        sent: None,
    }
}

/// Waits for the instances that may have commits which no candidate is known to have.
fn wait(
    attempt: &mut Attempt,
    since: time::Time,
    pauses: Pauses,
    answer: Option<(Name, position::Status)>,
    missing: Vec<Name>,
    context: &Context<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    if context.now.since(since) < stage::PAUSE_TIMEOUT {
        return pauses.wait(since);
    }
    let leading = answer.filter(|(_, status)| {
        status.role == position::Role::Primary && status.term == attempt.term
    });
    let can_keep = attempt.planned && !attempt.is_takeover;
    if let Some((name, status)) = leading.clone().filter(|_| can_keep) {
        return stage::record_kept(attempt, name, status, context, out);
    }
    if !attempt.is_unproved_noted {
        attempt.is_unproved_noted = true;
        out.push(Step::Note(Note::Unproved { missing }));
    }
    acknowledged::store(attempt, context, out);
    if attempt.acknowledged.is_none() && context.now.since(attempt.last_close) >= CLOSE_PERIOD {
        attempt.last_close = context.now;
        let silent = context.peers.iter();
        let silent = silent.filter(|vm| !attempt.closed.contains_key(*vm));
        out.extend(silent.map(|vm| attempt.request_close(vm, context)));
    }
    if context.now.since(attempt.last_poll) >= stage::POLL_PERIOD {
        attempt.last_poll = context.now;
        let (term, deadline) = (attempt.term.next(), attempt.deadline());
        out.extend(leading.map(|(name, _)| Step::Demote(name, term, deadline)));
        out.extend(context.group.instances.keys().cloned().map(Step::Poll));
    }
    pauses.wait(since)
}

/// What a candidate has to have, or the instances that are missing to tell.
fn find_proof(
    attempt: &Attempt,
    since: time::Time,
    pauses: &Pauses,
    context: &Context<'_>,
) -> Proof {
    let paused = &pauses.paused;
    let highest = paused.values().max().copied();
    if let Some(highest) = highest.filter(|position| position.term > attempt.term) {
        return find_later_proof(since, paused, highest, context);
    }
    let row = context.leader.as_ref().filter(|_| context.is_proven);
    let replicas = row.and_then(|row| row.replicas.as_ref());
    let start = stage::recorded_start(context);
    let least = acknowledged::least(attempt, context);
    let is_whole = |name: &Name| {
        let stated = paused.get(name);
        stated.is_some_and(|stated| is_whole(name, *stated, replicas, context))
    };
    let old_leader = attempt.old_leader.as_ref();
    let stated = old_leader.filter(|name| is_whole(name));
    let stated = stated.and_then(|name| paused.get(name));
    let stated = stated.filter(|position| position.term == attempt.term);
    if let Some(position) = stated.filter(|position| position.lsn >= start.lsn.max(least)) {
        return Proof::Reached(position.lsn);
    }
    let reached = paused.values();
    let reached = reached.map(|position| stage::shared_lsn(*position, context));
    let reached = reached.max();
    let others = members(replicas, context);
    let others = others.into_iter().filter(|name| old_leader != Some(*name));
    let mut missing: Vec<_> = others.filter(|name| !is_whole(name)).cloned().collect();
    // Without a commit of the recorded term, those of the former ones may be at its leader alone.
    let is_reached = |lsn: &position::Lsn| *lsn >= start.lsn;
    if is_complete(replicas, context)
        && missing.is_empty()
        && let Some(lsn) = reached.filter(is_reached)
    {
        return Proof::Reached(lsn);
    }
    // Others that may answer at once may be nearer to the callers.
    let may_answer = |name: &Name| {
        let is_asked = old_leader != Some(name) && !paused.contains_key(name);
        is_asked && !context.group.is_unreachable(name)
    };
    let waits = context.now.since(since) < stage::PAUSE_TIMEOUT
        && context.group.instances.keys().any(may_answer);
    if let Some(lsn) = attempt.acknowledged.filter(|_| !waits)
        && reached >= Some(lsn)
    {
        return Proof::Reached(lsn);
    }
    missing.extend(old_leader.cloned());
    Proof::Missing(missing)
}

/// Proof for a group with a leader of a later term than that of the claim, which was
/// promoted without a record and acknowledged nothing.
fn find_later_proof(
    since: time::Time,
    paused: &collections::BTreeMap<Name, position::Position>,
    highest: position::Position,
    context: &Context<'_>,
) -> Proof {
    let leads_later = |(name, position): &(&Name, &position::Position)| {
        let status = stage::status_since(context, name, since);
        let is_primary = status.is_some_and(|status| status.role == position::Role::Primary);
        is_primary && highest.term == position.term
    };
    if let Some((name, position)) = paused.iter().find(leads_later) {
        return Proof::Leads(name.clone(), *position);
    }
    let row = context.leader.as_ref().filter(|_| context.is_proven);
    let replicas = row.and_then(|row| row.replicas.as_ref());
    let members = members(replicas, context);
    let missing = members.into_iter().filter(|name| {
        let stated = paused.get(*name);
        !stated.is_some_and(|stated| is_whole(name, *stated, replicas, context))
    });
    let missing: Vec<_> = missing.cloned().collect();
    if missing.is_empty() && is_complete(replicas, context) {
        Proof::Floor(highest)
    } else {
        Proof::Missing(missing)
    }
}

/// Instances that may hold an acknowledged commit: the stored replica set, and those that
/// have registered since.
fn members<'a>(
    replicas: Option<&'a replica_set::ReplicaSet>,
    context: &'a Context<'_>,
) -> collections::BTreeSet<&'a Name> {
    let stored = replicas.into_iter().flat_map(|replicas| replicas.keys());
    context.group.instances.keys().chain(stored).collect()
}

/// Whether the members are all instances that there are.
fn is_complete(replicas: Option<&replica_set::ReplicaSet>, context: &Context<'_>) -> bool {
    let is_counted = context.group.instances.len() >= proof::COMPLETE_COUNT;
    context.has_all_entries && (replicas.is_some() || is_counted)
}

/// Whether the stated position of an instance covers all that it has ever had.
///
/// The answer may come from a process that has started again, whatever its entry says. No instance
/// receives anything while the group has no leader, so one that has started meanwhile, and has
/// the start of the recorded term, has kept its log.
fn is_whole(
    name: &Name,
    stated: position::Position,
    replicas: Option<&replica_set::ReplicaSet>,
    context: &Context<'_>,
) -> bool {
    let has_log = stated >= stage::recorded_start(context) && stated.lsn > position::Lsn(0);
    replicas.map_or(has_log, |replicas| replicas.is_whole(name, has_log))
}

fn position_of(status: &position::Status) -> position::Position {
    position::Position {
        term: status.term,
        lsn: status.received,
    }
}
