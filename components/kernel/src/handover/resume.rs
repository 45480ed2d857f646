//! Resumption of replication after a replacement.
//!
//! A promotion resumes replication on all replicas. If the order named the
//! instance that already led, also in a term without a record, nothing was promoted, and
//! each instance has to be asked to resume. The leader is asked too, because replication was paused on
//! it as on a replica.

use std::{collections, time as std_time};

use config::Name;

use super::{Attempt, Context, Stage, Step};
use crate::time;

/// Delay before an instance that did not answer is asked again.
const RETRY_DELAY: std_time::Duration = std_time::Duration::from_millis(300);
/// Time after which an instance that never answers is no longer asked. If it
/// has restarted, it replicates without being asked.
const RESUME_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(20);

/// Instances that still have to be asked to resume.
#[derive(Debug, Default)]
pub(super) struct Resume {
    waiting: collections::BTreeMap<Name, Option<time::Time>>,
    since: time::Time,
}

impl Resume {
    /// Starts asking the instances whose replication a recorded replacement may
    /// have paused.
    pub(super) fn start(&mut self, attempt: &Attempt, context: &Context<'_>) {
        let Stage::Recording { leader, .. } = &attempt.stage else {
            return;
        };
        if leader.term == attempt.term || attempt.had_led {
            let names = context.group.instances.keys();
            self.waiting = names.map(|name| (name.clone(), None)).collect();
            self.since = context.now;
        }
    }

    /// Whether no instance is left to ask.
    pub(super) fn is_done(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Records whether an instance answered.
    pub(super) fn record_answer(&mut self, instance: &Name, is_done: bool) {
        if is_done {
            self.waiting.remove(instance);
        }
    }

    /// Asks the instances that have not answered. This VM may ask for as long as it may
    /// use the leader; another VM that replaces the leader relies on paused replicas.
    pub(super) fn step(&mut self, context: &Context<'_>, out: &mut Vec<Step>) {
        let is_over = context.now.since(self.since) >= RESUME_TIMEOUT;
        self.waiting
            .retain(|name, _| !is_over && context.group.instances.contains_key(name));
        let Some(assignment) = context.group.assignment() else {
            return;
        };
        if context.now >= assignment.until {
            return;
        }
        for (name, sent) in &mut self.waiting {
            if sent.is_none_or(|at| context.now.since(at) >= RETRY_DELAY) {
                *sent = Some(context.now);
                out.push(Step::ResumeReplication(name.clone(), assignment.until));
            }
        }
    }
}
