//! Views passed on between VMs.
//!
//! In a large region one VM a failure domain reads the store, and the others of
//! the domain follow it: they ask it for what has changed, with the time at
//! which they asked. An answer tells the age of the reader's proof when it was
//! sent, so the follower's proof, its own time of asking less that age, is never
//! later than the reader's. A follower whose reader goes quiet reads the store
//! itself.

use std::{collections, time as std_time};

use config::Name;

use crate::{daemon, group, message, time, view};

/// Time without an answer after which a VM reads the store itself: three asks.
const QUIET: std_time::Duration = std_time::Duration::from_millis(1_500);
/// Age at which a VM reads the store itself, in quarters of the validity: above
/// that of a proof that comes at the usual times, with time for a read.
const AGED_QUARTERS: u32 = 3;
/// Time for which a VM that asked is told of changes.
const FOLLOWER_LIFETIME: std_time::Duration = std_time::Duration::from_secs(2);
/// Shortest time between two asks.
const FOLLOW_SPACING: std_time::Duration = std_time::Duration::from_millis(20);

/// Whom this VM follows, and who follows it.
#[derive(Debug, Default)]
pub struct Following {
    /// Reader that is asked, and its run; 0 before its first answer.
    reader: Option<(Name, u64)>,
    /// Changes of that run that are known.
    known: collections::BTreeMap<view::Part, u64>,
    asked: Option<time::Time>,
    /// Sending of the newest ask that was answered for all parts.
    answered: Option<time::Time>,
    followers: collections::BTreeMap<Name, time::Time>,
}

impl Following {
    fn choose(&mut self, reader: &Name) {
        if self.reader.as_ref().is_none_or(|(name, _)| name != reader) {
            self.reader = Some((reader.clone(), 0));
            self.known.clear();
            self.answered = None;
        }
    }
}

impl daemon::Daemon {
    /// Whether this VM has to read the store itself.
    pub fn reads_store(&self) -> bool {
        if self.reader().is_none() || !self.members.is_listed() || self.is_superseded() {
            return true;
        }
        let quiet = |at: time::Time| self.now.since(at) > QUIET;
        self.following.answered.is_none_or(quiet) || self.is_aged()
    }

    /// Whether what the reader knows is nearly too old to be used.
    fn is_aged(&self) -> bool {
        let timing = &self.setup.timing;
        let validity = [
            (view::Part::Rows, timing.lease),
            (view::Part::Configuration, timing.refusal),
        ];
        validity.into_iter().any(|(part, span)| {
            let seen = self.view.seen(part);
            seen.is_none_or(|at| self.now.since(at) > span * AGED_QUARTERS / 4)
        })
    }

    /// VM of the own failure domain that reads for the others; none if this one
    /// does, or if everyone reads.
    fn reader(&self) -> Option<Name> {
        if self.arbiter == group::Arbiter::Instances {
            return None;
        }
        let reader = self.members.reader(self.now)?;
        (reader != self.setup.vm).then_some(reader)
    }

    /// Asks the reader for news, once a period of the exchange.
    pub(crate) fn follow(&mut self) {
        let period = self.setup.timing.gossip;
        let recent = |at: time::Time| self.now.since(at) < period;
        if !self.following.asked.is_some_and(recent) {
            self.follow_now();
        }
    }

    fn follow_now(&mut self) {
        let Some(reader) = self.reader() else {
            self.following.reader = None;
            return;
        };
        let recent = |at: time::Time| self.now.since(at) < FOLLOW_SPACING;
        if self.following.asked.is_some_and(recent) {
            return;
        }
        self.following.choose(&reader);
        self.following.asked = Some(self.now);
        let run = self.following.reader.as_ref().map_or(0, |(_, run)| *run);
        let known = self.following.known.clone();
        let follow = message::Follow {
            sent: self.now,
            run,
            known: known.into_iter().collect(),
        };
        self.send(reader, message::Message::Follow(follow));
    }

    /// Answers a VM that follows this one.
    pub(crate) fn followed(&mut self, from: &Name, follow: &message::Follow) {
        self.following.followers.insert(from.clone(), self.now);
        let run = self.members.own().incarnation;
        let mut parts = Vec::new();
        for part in view::PARTS {
            let Some(seen) = self.view.seen(part) else {
                continue;
            };
            let known = follow.known.iter().find(|(p, _)| *p == part);
            let known = known.filter(|_| follow.run == run);
            let (whole, changes) = self
                .view
                .changes(part, known.map_or(0, |(_, number)| *number));
            parts.push(message::PassedPart {
                part,
                age: time::micros(self.now.since(seen)),
                newest: self.view.newest(part),
                whole,
                changes,
            });
        }
        let passed = message::Passed {
            sent: follow.sent,
            run,
            parts,
        };
        self.send(from.clone(), message::Message::Passed(passed));
    }

    /// Takes over what the reader knows.
    pub(crate) fn passed(&mut self, from: &Name, passed: message::Passed) {
        match &mut self.following.reader {
            Some((name, run)) if name == from => {
                if *run != passed.run {
                    *run = passed.run;
                    self.following.known.clear();
                }
            }
            _ => return,
        }
        let complete = passed.parts.len() == view::PARTS.len();
        for part in passed.parts {
            let age = std_time::Duration::from_micros(part.age);
            let proved = passed.sent.before(age);
            // Own reads may have proved a newer state.
            let newer = self.view.seen(part.part).is_some_and(|seen| seen > proved);
            let known = self.following.known.contains_key(&part.part);
            if newer || !(known || part.whole) {
                continue;
            }
            self.following.known.insert(part.part, part.newest);
            self.watched(view::Update {
                part: part.part,
                proved,
                whole: part.whole,
                changes: part.changes,
            });
        }
        if complete {
            self.following.answered = self.following.answered.max(Some(passed.sent));
        }
    }

    /// Tells the VMs that follow this one that there is news.
    pub(crate) fn tell_followers(&mut self) {
        let now = self.now;
        let followers = &mut self.following.followers;
        followers.retain(|_, at| now.since(*at) <= FOLLOWER_LIFETIME);
        let names: Vec<_> = followers.keys().cloned().collect();
        for name in names {
            self.send(name, message::Message::Changed);
        }
    }

    /// The reader has news.
    pub(crate) fn news(&mut self, from: &Name) {
        let reader = self.following.reader.as_ref();
        if reader.is_some_and(|(name, _)| name == from) {
            self.follow_now();
        }
    }
}
