//! Choice of the new leader of a group in which a commit is acknowledged once one replica
//! has received it.
//!
//! An acknowledged commit is at the leader of its term and at one replica or more. So a
//! candidate has every one of them in two cases: all other instances have stated
//! their positions, and none has more; or the old leader has stated its position, which no longer
//! changes, and the candidate has as much, or is the old leader itself. While neither holds, the
//! group has no leader. An old leader that answers again is asked to step down, so that it can
//! be promoted; in a planned replacement it goes on.

use config::Name;

use super::{
    Context, Note, Step,
    stage::{self, Attempt, Pauses, Stage},
};
use crate::{position, time};

/// Proof that a candidate has every acknowledged commit.
enum Proof {
    /// An instance at this position or beyond has all of them.
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
    match find_proof(attempt, since, &pauses, context) {
        Proof::Leads(name, position) => Stage::Ordering {
            candidates: [(name, position)].into(),
            sent: None,
        },
        Proof::Floor(floor) => {
            if let Some(old_leader) = old_leader {
                let (term, deadline) = (attempt.term.next(), attempt.deadline());
                out.push(Step::Demote(old_leader, term, deadline));
            }
            let mut candidates = Vec::from_iter(pauses.paused);
            candidates.retain(|(_, position)| *position >= floor);
            Stage::Ordering {
                candidates: stage::rank_candidates(candidates, context),
                sent: None,
            }
        }
        Proof::Missing(missing) => {
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
            if context.now.since(attempt.last_poll) >= stage::POLL_PERIOD {
                attempt.last_poll = context.now;
                let (term, deadline) = (attempt.term.next(), attempt.deadline());
                out.extend(leading.map(|(name, _)| Step::Demote(name, term, deadline)));
                out.extend(context.group.instances.keys().cloned().map(Step::Poll));
            }
            pauses.wait(since)
        }
    }
}

/// Position below which a candidate may lack commits, or the instances that are missing to
/// tell.
fn find_proof(
    attempt: &Attempt,
    since: time::Time,
    pauses: &Pauses,
    context: &Context<'_>,
) -> Proof {
    let (group, paused) = (context.group, &pauses.paused);
    let is_valid = |position: &&position::Position| !stage::is_abandoned(**position, context);
    let highest = paused.values().filter(is_valid).max().copied();
    let later = highest.filter(|position| position.term > attempt.term);
    let leads_later = |(name, position): &(&Name, &position::Position)| {
        let status = stage::status_since(context, name, since);
        let is_primary = status.is_some_and(|status| status.role == position::Role::Primary);
        is_primary && later.is_some_and(|later| later.term == position.term)
    };
    if let Some((name, position)) = paused.iter().find(leads_later) {
        return Proof::Leads(name.clone(), *position);
    }
    let old_leader = attempt.old_leader.as_ref().filter(|_| later.is_none());
    let is_whole = |name: &Name| {
        let stated = paused.get(name);
        stated.is_some_and(|position| !group.has_lost_commits(name, *position))
    };
    let stated = old_leader.filter(|name| is_whole(name));
    let stated = stated.and_then(|name| paused.get(name));
    if let Some(position) = stated.filter(|position| position.term == attempt.term) {
        return Proof::Floor(*position);
    }
    let is_missing = |name: &&Name| old_leader != Some(*name) && !is_whole(name);
    let mut missing: Vec<_> = group.instances.keys().filter(is_missing).cloned().collect();
    let departed = group.departed_beyond(highest);
    missing.extend(departed.filter(|name| old_leader != Some(*name)).cloned());
    match highest {
        Some(highest) if missing.is_empty() => Proof::Floor(highest),
        _ => {
            missing.extend(old_leader.cloned());
            Proof::Missing(missing)
        }
    }
}

fn position_of(status: &position::Status) -> position::Position {
    position::Position {
        term: status.term,
        lsn: status.received,
    }
}
