//! Configuration revisions and release notes.
//!
//! The head row of the store holds the newest revision with the identifiers of the
//! latest notes. A note is accepted by a compare-and-set on that row. If the answer
//! to the write is lost, the daemon reads the row again to learn the outcome.
//! Daemons only move to newer revisions.

use std::{collections, sync, time as std_time};

use config::{Name, Note};

use crate::{event, time};

/// Identifiers of notes kept in the head row.
const RECENT_IDS_LIMIT: usize = 1024;
/// Notes kept for peers that lag behind.
const KEPT_NOTES_LIMIT: usize = 64;
/// Time for the store to accept a note.
const ACCEPT_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(8);
/// Time for an accepted note to come into force on all VMs.
const ROLLOUT_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(10);
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
    submission_id: event::SubmissionId,
    note: sync::Arc<Note>,
    stage: Stage,
    deadline: time::Time,
    head: Option<event::ConfigHead>,
}

#[derive(Debug)]
struct Rollout {
    submission_id: event::SubmissionId,
    revision: u64,
    deadline: time::Time,
}

/// Action that the daemon has to take.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Read the head row.
    Load,
    /// Write the head row at the version.
    Store(u64, event::ConfigHead),
    /// Put the head that this daemon has written in force.
    Adopt(event::ConfigHead),
    /// Answer an operator's submission.
    Answer(event::SubmissionId, event::SubmissionOutcome),
}

/// The revision in force on this daemon, and the submitted notes that are under
/// way.
#[derive(Debug, Default)]
pub struct Revisions {
    head: sync::Arc<event::ConfigHead>,
    notes: collections::BTreeMap<u64, sync::Arc<Note>>,
    queue: collections::VecDeque<Submission>,
    rollouts: Vec<Rollout>,
}

impl Revisions {
    /// Head in force on this daemon.
    pub fn head(&self) -> &sync::Arc<event::ConfigHead> {
        &self.head
    }

    /// Moves to a newer head; true if the head was newer.
    pub fn adopt(&mut self, head: sync::Arc<event::ConfigHead>) -> bool {
        if head.revision <= self.head.revision {
            return false;
        }
        self.head = head;
        true
    }

    /// Replaces the head unless the given one is older.
    pub fn replace(&mut self, head: sync::Arc<event::ConfigHead>) {
        if head.revision >= self.head.revision {
            self.head = head;
        }
    }

    /// Applies notes that follow the revision in force; true if any did.
    pub fn apply_notes(&mut self, after: u64, notes: &[sync::Arc<Note>]) -> bool {
        let mut moved = false;
        for (revision, note) in (after + 1..).zip(notes) {
            if revision != self.head.revision + 1 {
                continue;
            }
            let Ok(fleet) = note.apply(&self.head.fleet) else {
                break;
            };
            let head = successor(&self.head, note, fleet);
            self.keep_note(revision, note.clone());
            self.head = sync::Arc::new(head);
            moved = true;
        }
        moved
    }

    fn keep_note(&mut self, revision: u64, note: sync::Arc<Note>) {
        self.notes.insert(revision, note);
        while self.notes.len() > KEPT_NOTES_LIMIT {
            self.notes.pop_first();
        }
    }

    /// Notes that follow a revision; none if some of them are no longer kept.
    pub fn notes_since(&self, revision: u64) -> Option<Vec<sync::Arc<Note>>> {
        (revision + 1..=self.head.revision)
            .map(|number| self.notes.get(&number).cloned())
            .collect()
    }

    /// Queues an operator's note.
    pub fn submit(
        &mut self,
        submission_id: event::SubmissionId,
        note: sync::Arc<Note>,
        now: time::Time,
    ) {
        self.queue.push_back(Submission {
            submission_id,
            note,
            stage: Stage::Waiting(now),
            deadline: now + ACCEPT_TIMEOUT,
            head: None,
        });
    }

    /// Whether a note submitted to this daemon waits for the store.
    pub fn has_submissions(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Answers submissions that are done or late, and starts the next one.
    pub fn advance(
        &mut self,
        now: time::Time,
        has_quorum: bool,
        has_lagging: &dyn Fn(u64) -> bool,
    ) -> Vec<Step> {
        let mut steps = Vec::new();
        self.answer_rollouts(now, has_lagging, &mut steps);
        let Some(front) = self.queue.front_mut() else {
            return steps;
        };
        if now >= front.deadline {
            let outcome = if has_quorum {
                event::SubmissionOutcome::Unknown
            } else {
                event::SubmissionOutcome::NoMajority
            };
            steps.push(Step::Answer(front.submission_id, outcome));
            self.queue.pop_front();
        } else if matches!(front.stage, Stage::Waiting(at) if now >= at) && has_quorum {
            front.stage = Stage::Loading;
            steps.push(Step::Load);
        }
        steps
    }

    fn answer_rollouts(
        &mut self,
        now: time::Time,
        has_lagging: &dyn Fn(u64) -> bool,
        steps: &mut Vec<Step>,
    ) {
        let own = self.head.revision;
        self.rollouts.retain(|rollout| {
            let done = own >= rollout.revision && !has_lagging(rollout.revision);
            if done {
                let outcome = event::SubmissionOutcome::InForce(rollout.revision);
                steps.push(Step::Answer(rollout.submission_id, outcome));
            } else if now >= rollout.deadline {
                let outcome = event::SubmissionOutcome::Accepted(rollout.revision);
                steps.push(Step::Answer(rollout.submission_id, outcome));
            }
            !done && now < rollout.deadline
        });
    }

    /// Handles the head row that the current submission has read.
    pub fn handle_loaded(&mut self, now: time::Time, loaded: &event::LoadOutcome) -> Option<Step> {
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
        // A store that came back from an older copy lacks the latest notes.
        let head = if head.revision < self.head.revision {
            event::ConfigHead::clone(&self.head)
        } else {
            head
        };
        if let Some(revision) = accepted_revision(&head, &front.note.id) {
            return self.start_rollout(revision, now);
        }
        match front.note.apply(&head.fleet) {
            Ok(fleet) => {
                let next = successor(&head, &front.note, fleet);
                front.stage = Stage::Storing;
                front.head = Some(next.clone());
                Some(Step::Store(version, next))
            }
            Err((line, problem)) => {
                let submission_id = front.submission_id;
                self.queue.pop_front();
                let outcome = event::SubmissionOutcome::Invalid(line, problem);
                Some(Step::Answer(submission_id, outcome))
            }
        }
    }

    /// Handles the result of the compare-and-set.
    pub fn handle_stored(&mut self, now: time::Time, stored: event::StoreOutcome) -> Option<Step> {
        let front = self.queue.front_mut()?;
        if front.stage != Stage::Storing {
            return None;
        }
        match stored {
            event::StoreOutcome::Written(_) => {
                let head = front.head.take()?;
                self.start_rollout(head.revision, now);
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

    fn start_rollout(&mut self, revision: u64, now: time::Time) -> Option<Step> {
        let front = self.queue.pop_front()?;
        if revision == self.head.revision + 1 {
            self.keep_note(revision, front.note.clone());
        }
        self.rollouts.push(Rollout {
            submission_id: front.submission_id,
            revision,
            deadline: now + ROLLOUT_TIMEOUT,
        });
        None
    }
}

/// Revision under which a note was accepted, if it is among the latest.
fn accepted_revision(head: &event::ConfigHead, id: &Name) -> Option<u64> {
    let index = head.recent.iter().position(|known| known == id)?;
    let newer = head.recent.len() - 1 - index;
    Some(head.revision - u64::try_from(newer).unwrap_or(0))
}

fn successor(head: &event::ConfigHead, note: &Note, fleet: config::Fleet) -> event::ConfigHead {
    let skip = (head.recent.len() + 1).saturating_sub(RECENT_IDS_LIMIT);
    let mut recent: Vec<_> = head.recent.iter().skip(skip).cloned().collect();
    recent.push(note.id.clone());
    event::ConfigHead {
        revision: head.revision + 1,
        recent,
        fleet: sync::Arc::new(fleet),
    }
}
