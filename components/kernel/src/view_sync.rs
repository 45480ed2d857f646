//! Reads of the store, and views that one VM passes on to another.
//!
//! In a large region, one VM reads the store. One VM of each other failure domain
//! follows that reader, and the other VMs of a domain follow the VM of their domain.
//! A follower requests from the VM that it follows, its reader, what has changed. The reply states how old the reader's proof was when
//! the reply was sent. The follower dates its own proof to the time of its request
//! less that age; this time is never later than the reader's proof. A follower
//! whose reader stops answering reads the store itself.
//!
//! The version of the store tells what a VM knows of a part, whichever VM passed
//! the changes on. A VM that changes its reader, or reads the store in between,
//! therefore continues from the version that it has.

use std::{collections, time as std_time};

use config::Name;

use crate::{daemon, group, journal, message, sent_requests, time, view};

/// Time without a reply after which a VM reads the store itself: three requests.
const READER_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_500);
/// `READER_TIMEOUT` for a VM that knows no configuration yet.
const STARTUP_READER_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_000);
/// Consecutive long polls that fit into the validity of a proof.
const WAITS_PER_VALIDITY: u32 = 3;
/// Time for a VM that starts for the first time to register with the store.
const FIRST_ENTRY_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_500);
/// Age of a proof, in quarters of its validity, above which a VM reads the store
/// itself. Proofs usually stay below this age, and time for a read is left.
const AGING_QUARTERS: u32 = 3;
/// Time after its last request in which a follower is notified of changes.
const FOLLOWER_LIFETIME: std_time::Duration = std_time::Duration::from_secs(2);
/// Shortest time between two replies to a follower that hold all entries of a part.
const MIN_SNAPSHOT_INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);
/// Shortest time between two requests to the reader.
const MIN_REQUEST_INTERVAL: std_time::Duration = std_time::Duration::from_millis(20);
/// Time between two requests of a VM that knows no configuration yet.
const STARTUP_REQUEST_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);
/// Shortest time between two reads of a part, so that one read returns many changes
/// in a row together. A single change is not delayed.
const MIN_READ_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);
/// Changes in one read for which a VM without followers adds another
/// `MIN_READ_INTERVAL`: many changes at once come from VMs that start together, and
/// more changes follow.
const CHANGES_PER_INTERVAL: u32 = 4;
/// Longest interval that results from many changes.
const MAX_READ_INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);
/// Pause after a failed read; doubled with each further failure.
const RETRY_PAUSE: std_time::Duration = std_time::Duration::from_millis(100);
/// Doublings after which the pause has reached its limit in any case.
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// Longest pause of a VM that has followers, or has no reader to follow.
const MAX_RETRY_PAUSE: std_time::Duration = std_time::Duration::from_millis(400);
/// Longest pause of any other VM: its reader retries as well, so a larger fleet
/// does not send more calls to a store that does not answer.
const MAX_FOLLOWER_RETRY_PAUSE: std_time::Duration = std_time::Duration::from_millis(1_600);

/// The VM that this one follows, its followers, and its own reads of the store.
#[derive(Debug, Default)]
pub struct State {
    /// VM to which requests are sent.
    reader: Option<Name>,
    /// Since when this VM has had a reader without interruption.
    reader_since: Option<time::Time>,
    requested_at: Option<time::Time>,
    requests: sent_requests::SentRequests,
    /// When the newest request was sent to which the reply held all parts.
    answered_at: Option<time::Time>,
    followers: collections::BTreeMap<Name, Follower>,
    reads: collections::BTreeMap<view::Part, Reads>,
    /// When the first read of the store succeeded.
    first_answer: Option<time::Time>,
    /// When a read of the store last failed, or this daemon started.
    last_failure: time::Time,
}

impl State {
    pub(crate) fn new(now: time::Time) -> Self {
        Self {
            last_failure: now,
            ..Self::default()
        }
    }

    /// Time from which on every live instance has registered, as far as this VM knows of
    /// outages of the store.
    pub(crate) fn entries_known(&self) -> time::Time {
        self.last_failure + group::REGISTRATION_TIME
    }
}

/// A VM that follows this one.
#[derive(Clone, Copy, Debug, Default)]
struct Follower {
    /// When the follower's last request arrived.
    requested_at: time::Time,
    /// When this VM last sent all entries of a part to the follower.
    snapshot_at: Option<time::Time>,
}

impl Follower {
    fn is_live(&self, now: time::Time) -> bool {
        now.since(self.requested_at) <= FOLLOWER_LIFETIME
    }
}

/// Reads of one part by this VM.
#[derive(Clone, Copy, Debug, Default)]
struct Reads {
    /// Earliest time of the next read.
    next_at: time::Time,
    /// Consecutive failed reads.
    failures: u32,
}

/// Next read of a part of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DueRead {
    /// Earliest time to send the read.
    pub at: time::Time,
    /// Version of the store up to which the part is known; none for a first read.
    pub after: Option<u64>,
    /// Longest time for which the store may hold the read while nothing changes.
    pub wait: std_time::Duration,
}

/// A read of a part that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FinishedRead {
    /// Part that was read.
    pub part: view::Part,
    /// When the read was sent.
    pub sent: time::Time,
    /// Number of changes since a version; none for a first read.
    pub changes: Option<usize>,
    /// Whether the store gave no answer.
    pub failed: bool,
}

impl daemon::Daemon {
    /// Next read of a part that this VM has to send; none if another VM reads the
    /// part for this VM, or if the rows have to be read first.
    pub fn due_read(&self, part: view::Part) -> Option<DueRead> {
        if self.is_served_by_reader(part) || self.awaits_rows(part) {
            return None;
        }
        let reads = self.view_sync.reads.get(&part);
        let mut at = reads.map_or(self.now, |reads| reads.next_at);
        if part == view::Part::Rows
            && let Some(answer) = self.registration_deadline()
        {
            // Rows read before this VM's own row is stored are of no use.
            at = at.max(answer);
        }
        // The VM that reads the store for its region corrects the rows that a restored
        // store has lost.
        let is_uncompared =
            part == view::Part::Rows && self.view.is_uncompared() && self.is_region_reader();
        Some(DueRead {
            at,
            after: self.view.known_version(part).filter(|_| !is_uncompared),
            wait: self.long_poll_wait(part),
        })
    }

    /// How long the store may hold a read: the proof of the part has to remain
    /// valid while it passes through two exchanges, so the time is shorter the
    /// older the last proof is.
    fn long_poll_wait(&self, part: view::Part) -> std_time::Duration {
        let Some(validity) = self.proof_validity(part) else {
            return self.setup.timing.refusal_timeout;
        };
        let age = self
            .view
            .proven_at(part)
            .map(|proven_at| self.now.since(proven_at));
        let left = (validity / 2).saturating_sub(age.unwrap_or_default());
        left.min(validity / WAITS_PER_VALIDITY)
    }

    /// Time for which a proof of a part is valid; none if the part needs no proof.
    fn proof_validity(&self, part: view::Part) -> Option<std_time::Duration> {
        match part {
            view::Part::Rows => Some(self.setup.timing.lease),
            view::Part::Configuration => Some(self.setup.timing.refusal_timeout),
            view::Part::Instances => None,
        }
    }

    /// Whether to delay reads of a part until the rows have been read: the rows tell
    /// whether the store answers, and which VM already reads the store. If all VMs
    /// start for the first time, the rows tell which VM reads the store only once the
    /// VMs have registered.
    fn awaits_rows(&self, part: view::Part) -> bool {
        if part == view::Part::Rows {
            return false;
        }
        let rows = self.view_sync.reads.get(&view::Part::Rows);
        if rows.is_none_or(|rows| rows.failures > 0) {
            return true;
        }
        let has_entry = self.view.member(&self.setup.vm).is_some();
        let is_recent = |at: time::Time| self.now.since(at) < FIRST_ENTRY_TIMEOUT;
        !has_entry && self.view_sync.first_answer.is_none_or(is_recent)
    }

    /// Schedules the next read of a part after one has ended.
    pub(crate) fn finish_read(&mut self, read: &FinishedRead) {
        let pause = if read.failed {
            let reads = self.view_sync.reads.get(&read.part);
            self.retry_pause(reads.map_or(0, |reads| reads.failures))
        } else {
            self.read_interval(read.changes)
        };
        let reads = self.view_sync.reads.entry(read.part).or_default();
        if read.failed {
            reads.failures = reads.failures.saturating_add(1);
            reads.next_at = self.now + pause;
            self.view_sync.last_failure = self.now;
        } else {
            reads.failures = 0;
            reads.next_at = read.sent + pause;
            self.view_sync.first_answer.get_or_insert(self.now);
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
        let mut followers = self.view_sync.followers.values();
        followers.any(|follower| follower.is_live(self.now))
    }

    /// Whether another VM reads a part of the store for this one.
    fn is_served_by_reader(&self, part: view::Part) -> bool {
        let Some(since) = self
            .view_sync
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
        let last_reply = self.view_sync.answered_at.map_or(since, |at| at.max(since));
        self.now.since(last_reply) <= limit
    }

    /// Whether the view is nearly too old to be used.
    fn is_view_aging(&self) -> bool {
        view::PARTS.into_iter().any(|part| {
            let limit = self
                .proof_validity(part)
                .map(|span| span * AGING_QUARTERS / 4);
            let age = self
                .view
                .proven_at(part)
                .map(|proven_at| self.now.since(proven_at));
            limit.is_some() && age > limit
        })
    }

    /// VM that reads the store for this VM; none if this VM or every VM reads the
    /// store.
    fn followed_reader(&self) -> Option<Name> {
        if self.arbiter == group::Arbiter::Instances {
            return None;
        }
        let reader = self.members.store_reader(self.now)?;
        (reader != self.setup.vm).then_some(reader)
    }

    /// Whether this VM reads the store for its region.
    pub(crate) fn is_region_reader(&self) -> bool {
        self.members.store_reader(self.now).as_ref() == Some(&self.setup.vm)
    }

    /// Requests changes from the reader, once per gossip period.
    pub(crate) fn request_view(&mut self) {
        let is_starting = self.view.known_version(view::Part::Configuration).is_none();
        let period = if is_starting {
            STARTUP_REQUEST_INTERVAL
        } else {
            self.setup.timing.gossip_period
        };
        let is_recent = |at: time::Time| self.now.since(at) < period;
        if !self.view_sync.requested_at.is_some_and(is_recent) {
            self.send_view_request();
        }
    }

    fn send_view_request(&mut self) {
        let Some(reader) = self.followed_reader() else {
            self.view_sync.reader = None;
            self.view_sync.reader_since = None;
            return;
        };
        let is_recent = |at: time::Time| self.now.since(at) < MIN_REQUEST_INTERVAL;
        if self.view_sync.requested_at.is_some_and(is_recent) {
            return;
        }
        self.view_sync.reader_since.get_or_insert(self.now);
        self.view_sync.reader = Some(reader.clone());
        self.view_sync.requested_at = Some(self.now);
        self.view_sync.requests.record(self.now);
        let known = view::PARTS.into_iter();
        let known = known.filter_map(|part| Some((part, self.view.known_version(part)?)));
        let request = message::ViewRequest {
            sent: self.now,
            known: known.collect(),
        };
        self.send(reader, message::Message::ViewRequest(request));
    }

    /// Answers the request of a follower.
    pub(crate) fn answer_view_request(&mut self, from: &Name, request: &message::ViewRequest) {
        let is_recent = |at: time::Time| self.now.since(at) < MIN_SNAPSHOT_INTERVAL;
        let follower = self.view_sync.followers.entry(from.clone()).or_default();
        follower.requested_at = self.now;
        let has_snapshot = follower.snapshot_at.is_some_and(is_recent);
        let mut parts = Vec::new();
        for part in view::PARTS {
            let (Some(proven_at), Some(version)) =
                (self.view.proven_at(part), self.view.known_version(part))
            else {
                continue;
            };
            let known = request.known.iter().find(|(p, _)| *p == part);
            let (whole, changes) = self
                .view
                .changes_since(part, known.map(|(_, version)| *version));
            if whole && has_snapshot {
                // All entries were sent to this follower a moment ago, over a link
                // that may be full of such replies.
                continue;
            }
            parts.push(message::PartUpdate {
                part,
                age: time::micros(self.now.since(proven_at)),
                version,
                whole,
                changes,
            });
        }
        if parts.iter().any(|part| part.whole)
            && let Some(follower) = self.view_sync.followers.get_mut(from)
        {
            follower.snapshot_at = Some(self.now);
        }
        let reply = message::ViewReply {
            sent: request.sent,
            parts,
        };
        self.send(from.clone(), message::Message::ViewReply(reply));
    }

    /// Applies a reply of the reader to the view.
    pub(crate) fn apply_view_reply(&mut self, from: &Name, reply: message::ViewReply) {
        if !self.view_sync.requests.contains(reply.sent) {
            return self.record_decision(journal::Decision::UnknownRequest { vm: from.clone() });
        }
        if self.view_sync.reader.as_ref() != Some(from) {
            return;
        }
        let mut complete = reply.parts.len() == view::PARTS.len();
        for part in reply.parts {
            let age = std_time::Duration::from_micros(part.age);
            let Some(proven_at) = reply.sent.before(age) else {
                complete = false;
                continue;
            };
            self.apply_view_update(view::Update {
                part: part.part,
                proven_at,
                version: part.version,
                whole: part.whole,
                is_direct: false,
                changes: part.changes,
            });
        }
        if complete {
            self.view_sync.answered_at = self.view_sync.answered_at.max(Some(reply.sent));
        }
    }

    /// Notifies the followers of this VM that its view has changed.
    pub(crate) fn notify_followers(&mut self) {
        let now = self.now;
        let followers = &mut self.view_sync.followers;
        followers.retain(|_, follower| follower.is_live(now));
        let names: Vec<_> = followers.keys().cloned().collect();
        for name in names {
            self.send(name, message::Message::ViewChanged);
        }
    }

    /// Requests the changes that the reader's notification refers to.
    pub(crate) fn handle_view_changed(&mut self, from: &Name) {
        if self.view_sync.reader.as_ref() == Some(from) {
            self.send_view_request();
        }
    }
}
