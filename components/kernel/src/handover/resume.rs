//! The end of a hold. A promotion ends the hold of all replicas; where the order
//! named the instance that led already, nothing was promoted, and the instances
//! are told one by one. The leader is among them, since it was held as a replica.

use std::{collections, time as std_time};

use config::Name;

use super::{Attempt, Context, Stage, Step};
use crate::time;

/// Pause before an instance that did not answer is told again.
const REPEAT_PAUSE: std_time::Duration = std_time::Duration::from_millis(300);
/// Time after which an instance that never answers is left alone; it comes back
/// without the hold if it has restarted.
const PATIENCE: std_time::Duration = std_time::Duration::from_secs(20);

/// Instances that have to be told.
#[derive(Debug, Default)]
pub(super) struct Resume {
    waiting: collections::BTreeMap<Name, Option<time::Time>>,
    since: time::Time,
}

impl Resume {
    /// Takes up the instances that a recorded replacement may have held.
    pub(super) fn start(&mut self, attempt: &Attempt, context: &Context<'_>) {
        let Stage::Recording { leader, .. } = &attempt.stage else {
            return;
        };
        if leader.term == attempt.term {
            let names = context.group.instances.keys();
            self.waiting = names.map(|name| (name.clone(), None)).collect();
            self.since = context.now;
        }
    }

    /// Whether nothing is left to tell.
    pub(super) fn is_done(&self) -> bool {
        self.waiting.is_empty()
    }

    /// An instance was told; whether it answered.
    pub(super) fn answered(&mut self, instance: &Name, done: bool) {
        if done {
            self.waiting.remove(instance);
        }
    }

    /// Tells those that have not answered.
    pub(super) fn step(&mut self, context: &Context<'_>, out: &mut Vec<Step>) {
        let over = context.now.since(self.since) >= PATIENCE;
        self.waiting
            .retain(|name, _| !over && context.group.instances.contains_key(name));
        for (name, sent) in &mut self.waiting {
            if sent.is_none_or(|at| context.now.since(at) >= REPEAT_PAUSE) {
                *sent = Some(context.now);
                out.push(Step::Resume(name.clone()));
            }
        }
    }
}
