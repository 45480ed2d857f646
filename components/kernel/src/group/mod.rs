//! What is known of a database group: polls, term confirmation, samples, lag.
//!
//! A confirmation of term `T` is a majority of instances that answered "`T` is
//! the newest term I know" to polls sent less than a lease ago. A candidate
//! fences a majority and then waits out the lease before it promotes, so both
//! majorities share an instance, and no daemon holds a confirmation of an
//! older term when a newer primary starts.
//!
//! Where the platform's store arbitrates, a confirmation is a ruling of the
//! store within its validity instead, and only the leader is polled, and only
//! where no answer of it was seen of late.

use std::{collections, time as std_time};

use config::{Durability, Name};

use crate::{leader, position, time};

mod store_arbiter;

pub use store_arbiter::STATEMENT_DELAY;

/// Shortest time between two polls of an instance that serve waiting requests.
const POLL_SPACING: std_time::Duration = std_time::Duration::from_millis(1);
/// Polls of an instance without an answer.
const POLLS_IN_FLIGHT: usize = 2;
/// Positions of the primary remembered for the age of replicas.
const HISTORY: usize = 256;
/// Weight of a new round-trip time in its average, in 1/8.
const RTT_WEIGHT: u64 = 1;
/// Longest time for which an answer is on its way from an instance.
const ANSWER_DELAY: std_time::Duration = std_time::Duration::from_millis(50);
/// Period of polls of a leader whose position is passed on to peers: two
/// exchanges later it is still younger than the ages that routes allow.
const SAMPLE_PERIOD: std_time::Duration = std_time::Duration::from_millis(250);
/// Period of polls of a leader whose term a request waits for.
const TERM_POLL: std_time::Duration = std_time::Duration::from_millis(40);
/// Period of polls of a leader that did not answer.
const TROUBLED_POLL: std_time::Duration = std_time::Duration::from_millis(150);

/// What is known of one instance.
#[derive(Debug, Default)]
pub struct InstanceState {
    /// Newest status, with the time at which its poll was sent.
    pub status: Option<(time::Time, position::Status)>,
    /// Average round-trip time, in microseconds.
    pub avg_rtt: u64,
    /// Least round-trip time, in microseconds; 0 if not known.
    pub min_rtt: u64,
    /// Leaving: no new transaction.
    pub leaving: bool,
    /// Since when it is leaving.
    pub leaving_since: Option<time::Time>,
    /// Connections to it fail.
    down: Option<Down>,
    /// Floor that it lacked, and when.
    behind: Option<(time::Time, position::Floor)>,
    /// Its silence has been acted on.
    severed: bool,
    sent: time::Time,
    pending: usize,
}

/// Connections to an instance fail.
#[derive(Clone, Copy, Debug)]
struct Down {
    /// When to try again.
    until: time::Time,
    /// Pause up to then.
    pause: std_time::Duration,
    /// It did not answer at all, and first has to answer a poll.
    unreached: bool,
    /// A request tries whether they work again.
    tried: bool,
}

impl InstanceState {
    /// Takes a round-trip time into the average.
    fn measure(&mut self, span: std_time::Duration) {
        let avg_rtt = time::micros(span);
        self.avg_rtt = if self.avg_rtt == 0 {
            avg_rtt
        } else {
            (self.avg_rtt * (8 - RTT_WEIGHT) + avg_rtt * RTT_WEIGHT) / 8
        };
    }
}

/// A valid confirmation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Confirmed term.
    pub term: position::Term,
    /// Its primary.
    pub primary: Name,
    /// End of validity.
    pub until: time::Time,
}

/// A primary's position sampled under a confirmation.
#[derive(Clone, Copy, Debug)]
struct Sample {
    sent: time::Time,
    floor: position::Floor,
}

/// State of one group as seen by this daemon.
#[derive(Debug)]
pub struct Group {
    name: Name,
    /// Instances by name.
    pub instances: collections::BTreeMap<Name, InstanceState>,
    durability: Durability,
    lease: std_time::Duration,
    interval: std_time::Duration,
    newest: position::Term,
    changed: time::Time,
    live: time::Time,
    known: bool,
    sample: Option<Sample>,
    history: collections::VecDeque<(time::Time, position::Floor)>,
    wanted: time::Time,
    arbiter: Arbiter,
    ruling: Option<leader::Assignment>,
    /// The leader said that it is a replica.
    unled: bool,
    /// Since when calls to the leader fail, where the store arbitrates.
    troubled: Option<time::Time>,
    sampling: Sampling,
}

/// When a VM asks a leader that the store names for its position unprompted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sampling {
    /// After the settings' interval without an answer.
    #[default]
    Periodic,
    /// So often that peers who are told of it can judge the age of replicas.
    Frequent,
    /// Never; others do.
    OnDemand,
}

/// Who says which instance leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arbiter {
    /// A majority of the group's instances.
    Instances,
    /// The platform's store.
    Store,
}

impl Group {
    /// A group of which nothing is known yet.
    pub fn new(
        name: Name,
        config: &config::Group,
        lease: std_time::Duration,
        interval: std_time::Duration,
        arbiter: Arbiter,
        now: time::Time,
    ) -> Self {
        let mut group = Self {
            name,
            instances: collections::BTreeMap::new(),
            durability: config.durability,
            lease,
            interval,
            newest: position::Term::default(),
            changed: now,
            live: now,
            known: false,
            sample: None,
            history: collections::VecDeque::new(),
            wanted: time::Time::default(),
            arbiter,
            ruling: None,
            unled: false,
            troubled: None,
            sampling: Sampling::default(),
        };
        group.configure(config, now);
        group
    }

    /// Its name.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Takes over members and durability of a new configuration.
    pub fn configure(&mut self, config: &config::Group, now: time::Time) {
        self.durability = config.durability;
        let keep: collections::BTreeSet<_> = config.instances.iter().map(|i| &i.name).collect();
        self.instances.retain(|name, _| keep.contains(name));
        for instance in &config.instances {
            let seen = self.instances.entry(instance.name.clone()).or_default();
            seen.leaving = instance.leaving;
            seen.leaving_since = instance.leaving.then(|| seen.leaving_since.unwrap_or(now));
        }
    }

    /// Instances that make a majority.
    pub fn majority(&self) -> usize {
        self.instances.len() / 2 + 1
    }

    /// Newest term known.
    pub fn newest_term(&self) -> position::Term {
        self.newest
    }

    /// Asks for polls sent after `now`, because a request waits for them.
    pub fn request_poll(&mut self, now: time::Time) {
        self.wanted = self.wanted.max(now);
    }

    /// Instances to poll now; counts them as polled.
    pub fn take_due_polls(&mut self, now: time::Time, waiting: bool) -> Vec<Name> {
        let mut names = Vec::new();
        let leader = self.ruling.as_ref().map(|ruling| &ruling.instance);
        for (name, seen) in &mut self.instances {
            let since = now.since(seen.sent);
            if self.arbiter == Arbiter::Store && leader != Some(name) {
                if seen.is_due_for_probe(now) {
                    seen.sent = now;
                    seen.pending += 1;
                    names.push(name.clone());
                }
                continue;
            }
            let asked = self.wanted > seen.sent && since >= POLL_SPACING;
            let again = waiting && seen.pending == 0 && since >= POLL_SPACING;
            let interval = match (self.troubled, self.sampling) {
                (Some(_), _) => Some(TROUBLED_POLL),
                (None, Sampling::Periodic) => Some(self.interval),
                (None, Sampling::Frequent) => Some(SAMPLE_PERIOD),
                (None, Sampling::OnDemand) => None,
            };
            let prompted = interval.is_some() && seen.pending == 0;
            let overdue = prompted && interval.is_some_and(|interval| since >= interval);
            let never = prompted && seen.sent == time::Time::default();
            if never || ((asked || again) && seen.pending < POLLS_IN_FLIGHT) || overdue {
                seen.sent = now;
                seen.pending += 1;
                names.push(name.clone());
            }
        }
        names
    }

    /// Takes in an answer to a poll, or its absence.
    pub fn record_poll(
        &mut self,
        now: time::Time,
        instance: &Name,
        sent: time::Time,
        status: Option<position::Status>,
    ) {
        let Some(seen) = self.instances.get_mut(instance) else {
            return;
        };
        seen.pending = seen.pending.saturating_sub(1);
        let Some(status) = status else {
            if seen.down.is_some() {
                self.record_connect_failure(instance, now, true);
            }
            if self.primary() == Some(instance) {
                self.record_leader_failure(sent);
            }
            return;
        };
        seen.measure(now.since(sent));
        seen.down = None;
        if self.primary() == Some(instance) {
            self.unled = status.role == position::Role::Replica;
        }
        self.record_status(now, instance, sent, status);
    }

    /// Takes in a status however it was learnt.
    pub fn record_status(
        &mut self,
        now: time::Time,
        instance: &Name,
        sent: time::Time,
        status: position::Status,
    ) {
        let Some(seen) = self.instances.get_mut(instance) else {
            return;
        };
        if seen.status.is_some_and(|(at, _)| at > sent) {
            return;
        }
        seen.severed = false;
        seen.status = Some((sent, status));
        let ruled = self.arbiter == Arbiter::Store;
        if ruled && self.primary() != Some(instance) {
            return;
        }
        if status.promised > self.newest {
            self.newest = status.promised;
            self.changed = now;
            self.known = false;
            if !ruled {
                self.history.clear();
            }
        }
        if status.role == position::Role::Primary && status.term == self.newest {
            let later = |since: time::Time| now.since(since) > ANSWER_DELAY;
            if self
                .troubled
                .is_some_and(|since| sent >= since || later(since))
            {
                self.troubled = None;
            }
            self.live = self.live.max(sent);
            self.known = true;
            self.remember(now, sent, status);
        }
    }

    fn remember(&mut self, now: time::Time, sent: time::Time, status: position::Status) {
        let floor = position::Floor {
            term: status.term,
            lsn: status.received,
        };
        if self.history.len() == HISTORY && self.arbiter == Arbiter::Instances {
            self.history.pop_front();
        }
        if self.arbiter == Arbiter::Instances {
            self.history.push_back((sent, floor));
        } else {
            self.record_position(sent, floor);
        }
        if self.confirmation(now).is_some() {
            self.sample = Some(Sample { sent, floor });
        }
    }

    /// Primary of the newest term, whether confirmed or not.
    pub fn primary(&self) -> Option<&Name> {
        if self.arbiter == Arbiter::Store {
            return self.ruling.as_ref().map(|ruling| &ruling.instance);
        }
        self.instances
            .iter()
            .find(|(_, seen)| {
                seen.status.is_some_and(|(_, s)| {
                    s.role == position::Role::Primary && s.term == self.newest
                })
            })
            .map(|(name, _)| name)
    }

    /// Valid confirmation at `now`, if any.
    pub fn confirmation(&self, now: time::Time) -> Option<Confirmation> {
        if self.arbiter == Arbiter::Store {
            return self.confirm_assignment(now);
        }
        let primary = self.primary()?;
        let mut sent: Vec<_> = self
            .instances
            .values()
            .filter_map(|seen| seen.status)
            .filter(|(_, status)| status.promised == self.newest)
            .map(|(at, _)| at)
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = *sent.get(self.majority() - 1)?;
        let until = oldest + self.lease;
        (until > now).then(|| Confirmation {
            term: self.newest,
            primary: primary.clone(),
            until,
        })
    }

    /// Floor of a session that arrived at `arrived`, once a sample allows one.
    pub fn arrival_floor(&self, arrived: time::Time) -> Option<position::Floor> {
        let sample = self.sample.as_ref()?;
        (sample.sent >= arrived).then_some(sample.floor)
    }

    /// Position that a replica of the newest term must have replayed.
    fn required(&self, floor: position::Floor) -> Option<position::Lsn> {
        if floor.term >= self.newest {
            return (floor.term == self.newest).then_some(floor.lsn);
        }
        let start = self
            .instances
            .values()
            .filter_map(|seen| seen.status)
            .find(|(_, s)| s.term == self.newest)
            .map(|(_, s)| s.start)?;
        Some(floor.lsn.min(start))
    }

    /// Whether the instance can show everything up to the floor.
    pub fn has_reached(&self, instance: &Name, floor: position::Floor) -> bool {
        let Some((_, status)) = self.instances.get(instance).and_then(|seen| seen.status) else {
            return false;
        };
        status.term == self.newest
            && self
                .required(floor)
                .is_some_and(|lsn| status.replayed >= lsn)
    }

    /// Upper bound of the age of the data that the instance shows.
    pub fn data_age(&self, instance: &Name, now: time::Time) -> Option<std_time::Duration> {
        let (_, status) = self.instances.get(instance)?.status?;
        if status.term != self.newest {
            return None;
        }
        self.history
            .iter()
            .rev()
            .find(|(_, floor)| floor.term == status.term && floor.lsn <= status.replayed)
            .map(|(sent, _)| now.since(*sent))
    }

    /// Position of the primary from a poll sent at `since` or later.
    pub fn commit_target(
        &self,
        since: time::Time,
        term: position::Term,
    ) -> Option<position::Floor> {
        let (sent, status) = self.instances.get(self.primary()?)?.status?;
        (sent >= since && status.term == term).then_some(position::Floor {
            term,
            lsn: status.received,
        })
    }

    /// Whether enough instances hold the position for an acknowledgement.
    pub fn is_durable(&self, target: position::Floor) -> bool {
        if self.durability == Durability::Primary {
            return true;
        }
        // The position is the primary's own, so it holds it.
        let primary = self.primary();
        let replicas = self
            .instances
            .iter()
            .filter(|(name, _)| primary != Some(*name))
            .filter_map(|(_, seen)| seen.status)
            .filter(|(_, s)| s.term == target.term && s.received >= target.lsn)
            .count();
        let holders = replicas + 1;
        holders >= self.majority()
    }

    /// First instance by name that answered a poll sent within `limit`; one that
    /// stays goes before one that leaves.
    pub fn first_answering(&self, now: time::Time, limit: std_time::Duration) -> Option<Name> {
        let answering = self.instances.iter().filter(|(_, seen)| {
            seen.status
                .is_some_and(|(sent, _)| now.since(sent) <= limit)
        });
        answering
            .min_by_key(|(name, seen)| (seen.leaving, *name))
            .map(|(name, _)| name.clone())
    }

    /// Instances that have just been silent for `limit`.
    pub fn take_newly_silent(&mut self, now: time::Time, limit: std_time::Duration) -> Vec<Name> {
        let mut names = Vec::new();
        for (name, seen) in &mut self.instances {
            let silent = seen.status.is_some_and(|(sent, _)| now.since(sent) > limit);
            if silent && !seen.severed {
                seen.severed = true;
                names.push(name.clone());
            }
        }
        names
    }

    /// Time for which no primary of the newest term has answered.
    pub fn silence(&self, now: time::Time) -> std_time::Duration {
        if self.arbiter == Arbiter::Store && self.ruling.is_some() {
            return self
                .troubled
                .map_or(std_time::Duration::ZERO, |since| now.since(since));
        }
        now.since(self.live.max(self.changed))
    }

    /// Whether the newest term ever had a primary that answered here.
    pub fn had_primary(&self) -> bool {
        self.known
    }
}
