//! Who reads the store, and views passed on between VMs.
//!
//! In a large region one VM reads the store. One VM of each other failure domain
//! follows it, and the others of a domain follow that VM: they ask it for what
//! has changed, with the time at which they asked. An answer tells the age of the
//! reader's proof when it was sent, so the follower's proof, its own time of
//! asking less that age, is never later than the reader's. A follower whose
//! reader goes quiet reads the store itself.
//!
//! What a VM knows of a part is told by the version of the store, whoever passed
//! it on. So a VM that changes its reader, or reads the store in between, goes
//! on from there.

use std::{collections, time as std_time};

use config::Name;

use crate::{daemon, group, message, time, view};

/// Time without an answer after which a VM reads the store itself: three asks.
const READER_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_500);
/// The same for a VM that knows no configuration yet.
const STARTUP_READER_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_000);
/// Reads that wait for changes one after the other within the validity of a proof.
const WAITS_PER_VALIDITY: u32 = 3;
/// Time for a VM that starts for the first time to enter itself.
const FIRST_ENTRY_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_500);
/// Age at which a VM reads the store itself, in quarters of the validity: above
/// that of a proof that comes at the usual times, with time for a read.
const AGING_QUARTERS: u32 = 3;
/// Time for which a VM that asked is told of changes.
const FOLLOWER_LIFETIME: std_time::Duration = std_time::Duration::from_secs(2);
/// Shortest time between two answers to a VM that tell everything.
const MIN_SNAPSHOT_INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);
/// Shortest time between two asks.
const MIN_REQUEST_INTERVAL: std_time::Duration = std_time::Duration::from_millis(20);
/// Time between two asks of a VM that waits for a first answer.
const STARTUP_REQUEST_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);
/// Shortest time between two reads of a part, so that many changes in a row
/// come together; one change by itself is not delayed.
const MIN_READ_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);
/// Changes of one answer for which a VM that nobody follows waits as long again:
/// many at once are VMs that start together, and more of them are to come.
const CHANGES_PER_INTERVAL: u32 = 4;
/// Longest time between two such reads.
const MAX_READ_INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);
/// Pause after a failed read; doubled with every further one.
const RETRY_PAUSE: std_time::Duration = std_time::Duration::from_millis(100);
/// Doublings after which it is at its limit in any case.
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// Longest pause of a VM that others follow, or that has no one to follow.
const MAX_RETRY_PAUSE: std_time::Duration = std_time::Duration::from_millis(400);
/// Longest pause of another VM: its reader tries as well, and a store that is
/// away is not called more often by a larger fleet.
const MAX_FOLLOWER_RETRY_PAUSE: std_time::Duration = std_time::Duration::from_millis(1_600);

/// Whom this VM follows, who follows it, and its own reads.
#[derive(Debug, Default)]
pub struct State {
    /// Reader that is asked.
    reader: Option<Name>,
    /// Since when this VM has had a reader.
    reader_since: Option<time::Time>,
    asked_at: Option<time::Time>,
    /// Sending of the newest ask that was answered for all parts.
    answered_at: Option<time::Time>,
    followers: collections::BTreeMap<Name, Follower>,
    reads: collections::BTreeMap<view::Part, Reads>,
    /// First read that was answered.
    first_answer: Option<time::Time>,
}

/// A VM that follows this one.
#[derive(Clone, Copy, Debug, Default)]
struct Follower {
    /// Its last ask.
    asked_at: time::Time,
    /// When it was last sent everything of a part.
    filled_at: Option<time::Time>,
}

impl Follower {
    fn is_live(&self, now: time::Time) -> bool {
        now.since(self.asked_at) <= FOLLOWER_LIFETIME
    }
}

/// Reads of one part by this VM.
#[derive(Clone, Copy, Debug, Default)]
struct Reads {
    /// From when on the next one may be sent.
    next_at: time::Time,
    /// Failures in a row.
    failures: u32,
}

/// A read of a part of the store that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueRead {
    /// When it may be sent.
    pub at: time::Time,
    /// Version of the store up to which the part is known; none for a first read.
    pub after: Option<u64>,
    /// Longest time to wait for changes.
    pub wait: std_time::Duration,
}

/// A read of a part that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedRead {
    /// Part.
    pub part: view::Part,
    /// When it was sent.
    pub sent: time::Time,
    /// Changes that it told after a version; none for a first read.
    pub changes: Option<usize>,
    /// It had no answer.
    pub failed: bool,
}

impl daemon::Daemon {
    /// When this VM has to read a part of the store; none if it rests.
    pub fn due_read(&self, part: view::Part) -> Option<DueRead> {
        if self.is_served_by_reader(part) || self.awaits_rows(part) {
            return None;
        }
        let reads = self.following.reads.get(&part);
        let mut at = reads.map_or(self.now, |reads| reads.next_at);
        if part == view::Part::Rows
            && let Some(answer) = self.registration_deadline()
        {
            // What was there before the entry of this VM is of no use.
            at = at.max(answer);
        }
        Some(DueRead {
            at,
            after: self.view.known_version(part),
            wait: self.long_poll_wait(part),
        })
    }

    /// How long a read may wait for changes: so long that its proof passes two
    /// exchanges, and less the older the last one is.
    fn long_poll_wait(&self, part: view::Part) -> std_time::Duration {
        let Some(validity) = self.proof_validity(part) else {
            return self.setup.timing.refusal;
        };
        let age = self.view.proven_at(part).map(|seen| self.now.since(seen));
        let left = (validity / 2).saturating_sub(age.unwrap_or_default());
        left.min(validity / WAITS_PER_VALIDITY)
    }

    /// Time for which a proof of a part allows anything.
    fn proof_validity(&self, part: view::Part) -> Option<std_time::Duration> {
        match part {
            view::Part::Rows => Some(self.setup.timing.lease),
            view::Part::Configuration => Some(self.setup.timing.refusal),
            view::Part::Instances => None,
        }
    }

    /// Whether the part is not worth a call before the rows have been read: they
    /// tell whether the store answers, and who reads it already. Where VMs start
    /// for the first time, that is known once they have entered themselves.
    fn awaits_rows(&self, part: view::Part) -> bool {
        if part == view::Part::Rows {
            return false;
        }
        let rows = self.following.reads.get(&view::Part::Rows);
        if rows.is_none_or(|rows| rows.failures > 0) {
            return true;
        }
        let entered = self.view.member(&self.setup.vm).is_some();
        let recent = |at: time::Time| self.now.since(at) < FIRST_ENTRY_TIMEOUT;
        !entered && self.following.first_answer.is_none_or(recent)
    }

    /// A read of the store has ended.
    pub(crate) fn finish_read(&mut self, read: &FinishedRead) {
        let pause = if read.failed {
            let reads = self.following.reads.get(&read.part);
            self.retry_pause(reads.map_or(0, |reads| reads.failures))
        } else {
            self.read_interval(read.changes)
        };
        let reads = self.following.reads.entry(read.part).or_default();
        if read.failed {
            reads.failures = reads.failures.saturating_add(1);
            reads.next_at = self.now + pause;
        } else {
            reads.failures = 0;
            reads.next_at = read.sent + pause;
            self.following.first_answer.get_or_insert(self.now);
        }
    }

    fn retry_pause(&self, failures: u32) -> std_time::Duration {
        let limit = if self.has_followers() || self.followed_reader().is_none() {
            MAX_RETRY_PAUSE
        } else {
            MAX_FOLLOWER_RETRY_PAUSE
        };
        let doubled = RETRY_PAUSE * (1 << failures.min(MAX_RETRY_DOUBLINGS));
        doubled.min(limit)
    }

    fn read_interval(&self, changes: Option<usize>) -> std_time::Duration {
        let Some(changes) = changes.filter(|_| !self.has_followers()) else {
            return MIN_READ_INTERVAL;
        };
        if self.members.store_reader(self.now).is_none() {
            return MIN_READ_INTERVAL;
        }
        let changes = u32::try_from(changes).unwrap_or(u32::MAX);
        (MIN_READ_INTERVAL * (1 + changes / CHANGES_PER_INTERVAL)).min(MAX_READ_INTERVAL)
    }

    fn has_followers(&self) -> bool {
        let mut followers = self.following.followers.values();
        followers.any(|follower| follower.is_live(self.now))
    }

    /// Whether another VM reads a part of the store for this one.
    fn is_served_by_reader(&self, part: view::Part) -> bool {
        let Some(since) = self
            .following
            .reader_since
            .filter(|_| self.followed_reader().is_some())
        else {
            return false;
        };
        if part == view::Part::Rows && !self.is_registered() || self.is_view_aging() {
            return false;
        }
        let limit = match self.view.known_version(view::Part::Configuration) {
            Some(_) => READER_TIMEOUT,
            None => STARTUP_READER_TIMEOUT,
        };
        let last_reply = self.following.answered_at.map_or(since, |at| at.max(since));
        self.now.since(last_reply) <= limit
    }

    /// Whether what the reader knows is nearly too old to be used.
    fn is_view_aging(&self) -> bool {
        view::PARTS.into_iter().any(|part| {
            let limit = self
                .proof_validity(part)
                .map(|span| span * AGING_QUARTERS / 4);
            let age = self.view.proven_at(part).map(|seen| self.now.since(seen));
            limit.is_some() && age > limit
        })
    }

    /// VM that reads the store for this one; none if this one does, or if everyone
    /// reads.
    fn followed_reader(&self) -> Option<Name> {
        if self.arbiter == group::Arbiter::Instances {
            return None;
        }
        let reader = self.members.store_reader(self.now)?;
        (reader != self.setup.vm).then_some(reader)
    }

    /// Asks the reader for news, once a period of the exchange.
    pub(crate) fn request_view(&mut self) {
        let is_starting = self.view.known_version(view::Part::Configuration).is_none();
        let period = if is_starting {
            STARTUP_REQUEST_INTERVAL
        } else {
            self.setup.timing.gossip
        };
        let recent = |at: time::Time| self.now.since(at) < period;
        if !self.following.asked_at.is_some_and(recent) {
            self.send_view_request();
        }
    }

    fn send_view_request(&mut self) {
        let Some(reader) = self.followed_reader() else {
            self.following.reader = None;
            self.following.reader_since = None;
            return;
        };
        let recent = |at: time::Time| self.now.since(at) < MIN_REQUEST_INTERVAL;
        if self.following.asked_at.is_some_and(recent) {
            return;
        }
        self.following.reader_since.get_or_insert(self.now);
        self.following.reader = Some(reader.clone());
        self.following.asked_at = Some(self.now);
        let known = view::PARTS.into_iter();
        let known = known.filter_map(|part| Some((part, self.view.known_version(part)?)));
        let request = message::ViewRequest {
            sent: self.now,
            known: known.collect(),
        };
        self.send(reader, message::Message::ViewRequest(request));
    }

    /// Answers a VM that follows this one.
    pub(crate) fn answer_view_request(&mut self, from: &Name, request: &message::ViewRequest) {
        let recent = |at: time::Time| self.now.since(at) < MIN_SNAPSHOT_INTERVAL;
        let follower = self.following.followers.entry(from.clone()).or_default();
        follower.asked_at = self.now;
        let filled = follower.filled_at.is_some_and(recent);
        let mut parts = Vec::new();
        for part in view::PARTS {
            let (Some(seen), Some(version)) =
                (self.view.proven_at(part), self.view.known_version(part))
            else {
                continue;
            };
            let known = request.known.iter().find(|(p, _)| *p == part);
            let (whole, changes) = self
                .view
                .changes_since(part, known.map(|(_, version)| *version));
            if whole && filled {
                // It is on its way, over a link that may be full of such answers.
                continue;
            }
            parts.push(message::PartUpdate {
                part,
                age: time::micros(self.now.since(seen)),
                version,
                whole,
                changes,
            });
        }
        if parts.iter().any(|part| part.whole)
            && let Some(follower) = self.following.followers.get_mut(from)
        {
            follower.filled_at = Some(self.now);
        }
        let reply = message::ViewReply {
            sent: request.sent,
            parts,
        };
        self.send(from.clone(), message::Message::ViewReply(reply));
    }

    /// Takes over what the reader knows.
    pub(crate) fn apply_view_reply(&mut self, from: &Name, reply: message::ViewReply) {
        if self.following.reader.as_ref() != Some(from) {
            return;
        }
        let complete = reply.parts.len() == view::PARTS.len();
        for part in reply.parts {
            let age = std_time::Duration::from_micros(part.age);
            self.apply_view_update(view::Update {
                part: part.part,
                proven_at: reply.sent.before(age),
                version: part.version,
                whole: part.whole,
                changes: part.changes,
            });
        }
        if complete {
            self.following.answered_at = self.following.answered_at.max(Some(reply.sent));
        }
    }

    /// Tells the VMs that follow this one that there is news.
    pub(crate) fn notify_followers(&mut self) {
        let now = self.now;
        let followers = &mut self.following.followers;
        followers.retain(|_, follower| follower.is_live(now));
        let names: Vec<_> = followers.keys().cloned().collect();
        for name in names {
            self.send(name, message::Message::ViewChanged);
        }
    }

    /// The reader has news.
    pub(crate) fn handle_view_changed(&mut self, from: &Name) {
        if self.following.reader.as_ref() == Some(from) {
            self.send_view_request();
        }
    }
}
