//! Position up to which commits have been acknowledged, from the VMs that acknowledged them.
//!
//! Every commit is acknowledged to its caller by one VM, which knows the position. Once all
//! processes that may have used the old leader have stopped, and have stated the highest position
//! that they acknowledged, an instance that has this position has every acknowledged commit,
//! whatever has become of the others. What processes that have ended acknowledged is at or below
//! any position that the leader had reached afterwards. The position is an upper bound: it is
//! that of the leader's log with the answer to a commit, beside which others may be under way.
//!
//! The position is added to the row of the claim if no candidate has it, so that it outlasts
//! the processes. It holds until the row names a leader again.

use super::{Attempt, Context, Note, RETRY_DELAY, Step, stage};
use crate::{leader, position, time};

/// Determines the position if it is not known yet, and notes it.
pub(super) fn update(attempt: &mut Attempt, context: &Context<'_>, out: &mut Vec<Step>) {
    if attempt.acknowledged.is_some() {
        return;
    }
    attempt.acknowledged = stored(context).or_else(|| stated_by_all(attempt, context));
    if let Some(lsn) = attempt.acknowledged {
        out.push(Step::Note(Note::Acknowledged { lsn }));
    }
}

/// Position in the row of a claim. A row from before the store came back may lack later claims.
fn stored(context: &Context<'_>) -> Option<position::Lsn> {
    let row = context.leader.as_ref().filter(|_| context.is_proven)?;
    row.acknowledged
}

/// Position from all VMs that may have acknowledged commits of the leader; none if one of them
/// has not stated it.
fn stated_by_all(attempt: &Attempt, context: &Context<'_>) -> Option<position::Lsn> {
    if attempt.may_miss_users || Some(context.rows_version) < attempt.token {
        return None;
    }
    let ended = context.group.first_sample_since(context.users_known?)?;
    let stated = context.peers.iter().map(|vm| *attempt.closed.get(vm)?);
    let mut stated = stated.collect::<Option<Vec<_>>>()?;
    stated.extend([ended.position, context.acknowledged]);
    highest(&stated, context)
}

/// Highest position that is known to have been acknowledged, even if not all VMs have stated
/// theirs.
pub(super) fn least(attempt: &Attempt, context: &Context<'_>) -> position::Lsn {
    let stated = attempt.closed.values().flatten().copied();
    let stated: Vec<_> = stated.chain([context.acknowledged]).collect();
    highest(&stated, context).unwrap_or_default()
}

fn highest(positions: &[position::Position], context: &Context<'_>) -> Option<position::Lsn> {
    let shared = |position: &position::Position| stage::shared_lsn(*position, context);
    positions.iter().map(shared).max()
}

/// Writes the position to the row of the claim, unless it is there.
pub(super) fn store(attempt: &mut Attempt, context: &Context<'_>, out: &mut Vec<Step>) {
    let Some(row) = context.leader.as_ref() else {
        return;
    };
    let has_passed = |at: time::Time| context.now.since(at) >= RETRY_DELAY;
    let is_due = attempt.stored_at.is_none_or(has_passed);
    if attempt.acknowledged.is_none()
        || row.acknowledged.is_some()
        || !attempt.is_claimed(context)
        || !is_due
    {
        return;
    }
    attempt.stored_at = Some(context.now);
    let row = leader::Leader {
        acknowledged: attempt.acknowledged,
        ..row.clone()
    };
    out.push(Step::Write(context.stored_version, row));
}
