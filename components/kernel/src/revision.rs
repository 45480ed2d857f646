//! Configuration revisions and release notes.
//!
//! The head row of the store holds the newest revision with the identities of
//! the latest notes. A note is accepted by compare-and-set on that row; a lost
//! answer is resolved by reading the row back. Daemons only move forward.

use std::{collections, sync, time as std_time};

use config::{Name, Note};

use crate::{event, time};

/// Identities of notes kept in the head row.
const RECENT: usize = 1024;
/// Notes kept for peers that are behind.
const NOTES: usize = 64;
/// Time for the store to accept a note.
const ACCEPT_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(8);
/// Time for an accepted note to come into force everywhere.
const SPREAD_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(10);
/// Pause before the store is asked again.
const RETRY_PAUSE: std_time::Duration = std_time::Duration::from_millis(200);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting(time::Time),
    Loading,
    Storing,
}

#[derive(Debug)]
struct Submission {
    ticket: event::SubmissionId,
    note: sync::Arc<Note>,
    stage: Stage,
    deadline: time::Time,
    head: Option<event::ConfigHead>,
}

#[derive(Debug)]
struct Spreading {
    ticket: event::SubmissionId,
    revision: u64,
    deadline: time::Time,
}

/// What follows from an event.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Read the head row.
    Load,
    /// Write the head row at the version.
    Store(u64, event::ConfigHead),
    /// The row written by this daemon is in force here.
    Adopt(event::ConfigHead),
    /// Answer an operator.
    Answer(event::SubmissionId, event::SubmissionOutcome),
}

/// The revision in force here, and the notes on their way.
#[derive(Debug, Default)]
pub struct Revisions {
    head: sync::Arc<event::ConfigHead>,
    notes: collections::BTreeMap<u64, sync::Arc<Note>>,
    queue: collections::VecDeque<Submission>,
    spreading: Vec<Spreading>,
}

impl Revisions {
    /// Head in force here.
    pub fn head(&self) -> &sync::Arc<event::ConfigHead> {
        &self.head
    }

    /// Moves forward to a newer head; true if it was newer.
    pub fn adopt(&mut self, head: sync::Arc<event::ConfigHead>) -> bool {
        if head.revision <= self.head.revision {
            return false;
        }
        self.head = head;
        true
    }

    /// Takes over a head unless it is older.
    pub fn replace(&mut self, head: sync::Arc<event::ConfigHead>) {
        if head.revision >= self.head.revision {
            self.head = head;
        }
    }

    /// Moves forward by notes that follow the revision in force.
    pub fn extend(&mut self, after: u64, notes: &[sync::Arc<Note>]) -> bool {
        let mut moved = false;
        for (revision, note) in (after + 1..).zip(notes) {
            if revision != self.head.revision + 1 {
                continue;
            }
            let Ok(fleet) = note.apply(&self.head.fleet) else {
                break;
            };
            let head = successor(&self.head, note, fleet);
            self.remember(revision, note.clone());
            self.head = sync::Arc::new(head);
            moved = true;
        }
        moved
    }

    fn remember(&mut self, revision: u64, note: sync::Arc<Note>) {
        self.notes.insert(revision, note);
        while self.notes.len() > NOTES {
            self.notes.pop_first();
        }
    }

    /// Notes that follow a revision; none if some are no longer kept.
    pub fn since(&self, revision: u64) -> Option<Vec<sync::Arc<Note>>> {
        (revision + 1..=self.head.revision)
            .map(|number| self.notes.get(&number).cloned())
            .collect()
    }

    /// Takes in an operator's note.
    pub fn submit(&mut self, ticket: event::SubmissionId, note: sync::Arc<Note>, now: time::Time) {
        self.queue.push_back(Submission {
            ticket,
            note,
            stage: Stage::Waiting(now),
            deadline: now + ACCEPT_TIMEOUT,
            head: None,
        });
    }

    /// Whether a note of this daemon waits for the store.
    pub fn is_busy(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Moves the submissions on.
    pub fn step(
        &mut self,
        now: time::Time,
        majority: bool,
        behind: &dyn Fn(u64) -> bool,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        self.answer_spread(now, behind, &mut steps);
        let Some(front) = self.queue.front_mut() else {
            return steps;
        };
        if now >= front.deadline {
            let verdict = if majority {
                event::SubmissionOutcome::Unknown
            } else {
                event::SubmissionOutcome::NoMajority
            };
            steps.push(Step::Answer(front.ticket, verdict));
            self.queue.pop_front();
        } else if matches!(front.stage, Stage::Waiting(at) if now >= at) && majority {
            front.stage = Stage::Loading;
            steps.push(Step::Load);
        }
        steps
    }

    fn answer_spread(
        &mut self,
        now: time::Time,
        behind: &dyn Fn(u64) -> bool,
        steps: &mut Vec<Step>,
    ) {
        let own = self.head.revision;
        self.spreading.retain(|item| {
            let done = own >= item.revision && !behind(item.revision);
            if done {
                let verdict = event::SubmissionOutcome::InForce(item.revision);
                steps.push(Step::Answer(item.ticket, verdict));
            } else if now >= item.deadline {
                let verdict = event::SubmissionOutcome::Accepted(item.revision);
                steps.push(Step::Answer(item.ticket, verdict));
            }
            !done && now < item.deadline
        });
    }

    /// Takes in the head row for the submission that waits for it.
    pub fn loaded(&mut self, now: time::Time, loaded: &event::LoadOutcome) -> Option<Step> {
        let front = self.queue.front_mut()?;
        if front.stage != Stage::Loading {
            return None;
        }
        let (version, head) = match loaded {
            event::LoadOutcome::Found(version, event::Row::Head(head)) => (*version, head.clone()),
            event::LoadOutcome::Missing => (0, event::ConfigHead::default()),
            _ => {
                front.stage = Stage::Waiting(now + RETRY_PAUSE);
                return None;
            }
        };
        if let Some(revision) = accepted_as(&head, &front.note.id) {
            return self.spread(revision, now);
        }
        match front.note.apply(&head.fleet) {
            Ok(fleet) => {
                let next = successor(&head, &front.note, fleet);
                front.stage = Stage::Storing;
                front.head = Some(next.clone());
                Some(Step::Store(version, next))
            }
            Err((line, problem)) => {
                let ticket = front.ticket;
                self.queue.pop_front();
                let verdict = event::SubmissionOutcome::Invalid(line, problem);
                Some(Step::Answer(ticket, verdict))
            }
        }
    }

    /// Takes in the result of the compare-and-set.
    pub fn stored(&mut self, now: time::Time, stored: event::StoreOutcome) -> Option<Step> {
        let front = self.queue.front_mut()?;
        if front.stage != Stage::Storing {
            return None;
        }
        match stored {
            event::StoreOutcome::Written(_) => {
                let head = front.head.take()?;
                self.spread(head.revision, now);
                Some(Step::Adopt(head))
            }
            event::StoreOutcome::Conflict => {
                front.stage = Stage::Waiting(now);
                None
            }
            event::StoreOutcome::Unknown => {
                front.stage = Stage::Waiting(now + RETRY_PAUSE);
                None
            }
        }
    }

    fn spread(&mut self, revision: u64, now: time::Time) -> Option<Step> {
        let front = self.queue.pop_front()?;
        if revision == self.head.revision + 1 {
            self.remember(revision, front.note.clone());
        }
        self.spreading.push(Spreading {
            ticket: front.ticket,
            revision,
            deadline: now + SPREAD_TIMEOUT,
        });
        None
    }
}

/// Revision under which a note was accepted, if it is among the latest.
fn accepted_as(head: &event::ConfigHead, id: &Name) -> Option<u64> {
    let index = head.recent.iter().position(|known| known == id)?;
    let newer = head.recent.len() - 1 - index;
    Some(head.revision - u64::try_from(newer).unwrap_or(0))
}

fn successor(head: &event::ConfigHead, note: &Note, fleet: config::Fleet) -> event::ConfigHead {
    let skip = (head.recent.len() + 1).saturating_sub(RECENT);
    let mut recent: Vec<_> = head.recent.iter().skip(skip).cloned().collect();
    recent.push(note.id.clone());
    event::ConfigHead {
        revision: head.revision + 1,
        recent,
        fleet: sync::Arc::new(fleet),
    }
}
