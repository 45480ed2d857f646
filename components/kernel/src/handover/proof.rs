//! Proof of who leads a group, from the instances themselves.
//!
//! When the store comes back from an older copy, the row of a group's leader may be one
//! that had been replaced. A process that has known the rows all the time knows better;
//! to any other one, only a row of the present era is proof. Until there is one, it
//! uses no leader, and the voters ask the instances, one after the other: the primary of the
//! highest term leads if all others have answered with no later one. The row that a voter
//! then writes is proof to all.

use std::{collections, time as std_time};

use super::{Context, Note, RETRY_DELAY, Step, stage};
use crate::{leader, position, time};

/// Number of known instances from which on none is thought to be missing.
pub(super) const COMPLETE_COUNT: usize = 3;
/// Time after which more than half of the instances are enough. Live instances have
/// registered again by then, and a replaced leader that reaches the new one has stepped
/// down.
const PROOF_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(2_000);

/// Search for the leader of a group.
#[derive(Debug, Default)]
pub(super) struct Proof {
    since: Option<time::Time>,
    last_poll: time::Time,
    written_at: Option<time::Time>,
}

impl Proof {
    /// Asks the instances if nothing proves who leads and this VM votes, and writes the row
    /// once they have answered.
    pub(super) fn step(
        &mut self,
        context: &Context<'_>,
        rank_delay: std_time::Duration,
        out: &mut Vec<Step>,
    ) {
        if context.is_proven {
            *self = Self::default();
            return;
        }
        let is_voter = context.rank < context.voters.len();
        let since = *self.since.get_or_insert(context.now);
        let has_passed = |at: time::Time| context.now.since(at) >= RETRY_DELAY;
        let is_due = is_voter && context.now >= since + rank_delay;
        if !is_due || !self.written_at.is_none_or(has_passed) {
            return;
        }
        if context.now.since(self.last_poll) >= stage::POLL_PERIOD {
            self.last_poll = context.now;
            out.extend(context.group.instances.keys().cloned().map(Step::Poll));
        }
        let waited = context.now.since(since + rank_delay);
        let Some((note, leader)) = find_leader(context, since, waited) else {
            return;
        };
        self.written_at = Some(context.now);
        out.push(Step::Note(note));
        out.push(Step::Write(context.stored_version, leader));
    }
}

/// Leader by the answers of the instances since a time, with a note on them; none while
/// they do not prove it.
fn find_leader(
    context: &Context<'_>,
    since: time::Time,
    waited: std_time::Duration,
) -> Option<(Note, leader::Leader)> {
    let row = context.leader.as_ref();
    let names = context.group.instances.keys();
    let stored = row.and_then(|row| row.replicas.as_deref());
    let stored = stored.into_iter().flat_map(collections::BTreeMap::keys);
    let known = names.clone().chain(stored);
    let known = known.collect::<collections::BTreeSet<_>>().len();
    let statuses: Vec<_> = names
        .filter_map(|name| Some((name, stage::status_since(context, name, since)?)))
        .collect();
    let answered = statuses.len();
    let is_complete = answered == known && known >= COMPLETE_COUNT;
    if !is_complete && (waited < PROOF_TIMEOUT || answered * 2 <= known) {
        return None;
    }
    let newest = statuses.iter().map(|(_, status)| status.term).max()?;
    let mut primaries = statuses.iter().filter(|(_, status)| {
        status.role == position::Role::Primary
            && status.term == newest
            && row.is_none_or(|row| status.term >= row.term)
    });
    let (name, status) = primaries.next()?;
    let received = position::Position {
        term: status.term,
        lsn: status.received,
    };
    let recorded = row.filter(|row| row.start.term == status.term);
    if primaries.next().is_some() {
        return None;
    }
    let note = Note::Proven {
        instance: (*name).clone(),
        term: status.term,
        answered,
        known,
    };
    let leader = leader::Leader {
        instance: Some((*name).clone()),
        term: status.term,
        start: recorded.map_or(received, |row| row.start),
        claim: None,
        replicas: None,
        acknowledged: None,
    };
    Some((note, leader))
}
