//! State of a database group as this daemon knows it: poll results, term
//! confirmations, log positions and replica lag.
//!
//! A term is confirmed while a majority of the instances have answered that
//! this term is the newest they know. Only answers to polls sent less than one
//! lease ago count. A candidate fences a majority of the instances and waits
//! for one lease before it promotes an instance. The two majorities share an
//! instance, so no daemon holds a confirmation of an older term when the new
//! primary starts.
//!
//! If the platform's store arbitrates, a confirmation is instead the store's
//! assignment of the leader while that assignment is valid. The daemon then
//! polls only the leader, and only if the leader has not answered recently.

use std::{collections, time as std_time};

use config::{Durability, Name};

use crate::{evacuation, leader, position, sample, time};

mod store_arbiter;

pub use store_arbiter::STATEMENT_DELAY;

/// Minimum time between two polls of an instance on behalf of waiting requests.
const POLL_SPACING: std_time::Duration = std_time::Duration::from_millis(1);
/// Maximum number of unanswered polls of an instance.
const MAX_POLLS_IN_FLIGHT: usize = 2;
/// Number of primary positions kept to compute the age of replica data.
const HISTORY_LEN: usize = 256;
/// Weight of a new round-trip time in the moving average, in eighths.
const RTT_WEIGHT: u64 = 1;
/// Maximum time that an answer from an instance is in transit.
const MAX_ANSWER_DELAY: std_time::Duration = std_time::Duration::from_millis(50);
/// Poll period for a leader whose position this daemon passes on to peers.
/// After two further exchanges between peers the position is still younger than
/// the data ages that routes allow.
const SAMPLE_PERIOD: std_time::Duration = std_time::Duration::from_millis(250);
/// Poll period for a leader while a request waits for its term.
const TERM_POLL_PERIOD: std_time::Duration = std_time::Duration::from_millis(40);
/// Time in which a live instance that a daemon does not know yet has registered.
pub(crate) const REGISTRATION_TIME: std_time::Duration = std_time::Duration::from_secs(3);
/// Poll period for a leader that does not answer.
const FAILING_POLL_PERIOD: std_time::Duration = std_time::Duration::from_millis(150);

/// State of one instance as this daemon knows it.
#[derive(Debug, Default)]
pub struct InstanceState {
    /// Newest status, with the time at which its poll was sent.
    pub status: Option<(time::Time, position::Status)>,
    /// Moving average of the round-trip time, in microseconds.
    pub avg_rtt: u64,
    /// Lowest round-trip time, in microseconds; 0 if unknown.
    pub min_rtt: u64,
    /// Whether the instance is leaving the group and gets no new transactions.
    pub leaving: bool,
    /// Time since which the instance has been leaving.
    pub leaving_since: Option<time::Time>,
    /// Limits on its use while its failure domain is evacuated.
    pub evacuation: Option<evacuation::Limits>,
    /// Set while connections to the instance fail.
    backoff: Option<Backoff>,
    /// Set while the instance turns reads away for lack of capacity.
    shedding: Option<Shedding>,
    /// Floor that the instance had not reached, with the time of that answer.
    missed_floor: Option<(time::Time, position::Position)>,
    /// Whether the current silence of the instance has been reported.
    silence_reported: bool,
    last_sent: time::Time,
    pending_polls: usize,
}

/// Pause of reads at an instance that has no capacity for them.
#[derive(Clone, Copy, Debug)]
struct Shedding {
    /// Time of the next read.
    until: time::Time,
    /// Pause before that read.
    delay: std_time::Duration,
}

/// Backoff of new connections to an instance.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    /// Time of the next attempt.
    until: time::Time,
    /// Delay before that attempt.
    delay: std_time::Duration,
    /// The instance did not answer at all; it must answer a poll before
    /// requests use it.
    is_unreachable: bool,
    /// A request is testing whether connections work again.
    is_probing: bool,
}

impl InstanceState {
    /// Adds a round-trip time to the moving average.
    fn record_rtt(&mut self, span: std_time::Duration) {
        let rtt = time::micros(span);
        self.avg_rtt = if self.avg_rtt == 0 {
            rtt
        } else {
            (self.avg_rtt * (8 - RTT_WEIGHT) + rtt * RTT_WEIGHT) / 8
        };
    }
}

/// Confirmation of a term and its primary.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Confirmed term.
    pub term: position::Term,
    /// Primary of the term.
    pub primary: Name,
    /// Time at which the confirmation expires.
    pub until: time::Time,
}

/// State of one group as this daemon knows it.
#[derive(Debug)]
pub struct Group {
    name: Name,
    /// Instances by name.
    pub instances: collections::BTreeMap<Name, InstanceState>,
    durability: Durability,
    lease: std_time::Duration,
    interval: std_time::Duration,
    newest_term: position::Term,
    /// Newest term that any instance or peer has told of; used only if the store arbitrates.
    seen_term: position::Term,
    /// Time since which a later term than that of the leader is known.
    refuted_since: Option<time::Time>,
    term_changed: time::Time,
    last_answer: time::Time,
    has_led: bool,
    /// Newest position of the primary, sampled under a confirmation.
    sample: Option<sample::Sample>,
    history: collections::VecDeque<sample::Sample>,
    poll_requested: time::Time,
    arbiter: Arbiter,
    assignment: Option<leader::Assignment>,
    /// Whether the assigned leader reports that it is a replica.
    leader_demoted: bool,
    /// Time since which calls to the leader fail; used only if the store
    /// arbitrates.
    failing_since: Option<time::Time>,
    /// Time from which the leader counts as silent because it is not registered.
    absent_since: Option<time::Time>,
    sampling: Sampling,
}

/// When a daemon polls the assigned leader without a waiting request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Sampling {
    /// After the configured interval without an answer.
    #[default]
    Periodic,
    /// Often enough that peers can compute the age of replicas from the
    /// positions they are sent.
    Frequent,
    /// Never; other daemons poll the leader.
    OnDemand,
}

/// Authority that decides which instance leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arbiter {
    /// A majority of the group's instances.
    Instances,
    /// The platform's store.
    Store,
}

impl Group {
    /// Creates a group without any poll results.
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
            newest_term: position::Term::default(),
            seen_term: position::Term::default(),
            refuted_since: None,
            term_changed: now,
            last_answer: now,
            has_led: false,
            sample: None,
            history: collections::VecDeque::new(),
            poll_requested: time::Time::default(),
            arbiter,
            assignment: None,
            leader_demoted: false,
            failing_since: None,
            absent_since: None,
            sampling: Sampling::default(),
        };
        group.configure(config, now);
        group
    }

    /// Group name.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Applies the members and durability of a new configuration.
    pub fn configure(&mut self, config: &config::Group, now: time::Time) {
        self.durability = config.durability;
        let members: collections::BTreeSet<_> = config.instances.iter().map(|i| &i.name).collect();
        let knew_leader = self.is_leader_registered();
        self.instances.retain(|name, _| members.contains(name));
        for instance in &config.instances {
            let state = self.instances.entry(instance.name.clone()).or_default();
            state.leaving = instance.leaving;
            state.leaving_since = instance.leaving.then(|| state.leaving_since.unwrap_or(now));
        }
        // A leader that this daemon knew has had its time to register again.
        self.track_absence(if knew_leader {
            now
        } else {
            now + REGISTRATION_TIME
        });
    }

    /// Number of instances in a majority.
    pub fn majority(&self) -> usize {
        self.instances.len() / 2 + 1
    }

    /// Newest term known.
    pub fn newest_term(&self) -> position::Term {
        self.newest_term
    }

    /// Requests polls after `now` on behalf of a waiting request.
    pub fn request_poll(&mut self, now: time::Time) {
        self.poll_requested = self.poll_requested.max(now);
    }

    /// Returns the instances to poll now and marks them as polled.
    pub fn take_due_polls(&mut self, now: time::Time, has_waiting: bool) -> Vec<Name> {
        let mut names = Vec::new();
        let leader = self
            .assignment
            .as_ref()
            .map(|assignment| &assignment.instance);
        for (name, state) in &mut self.instances {
            let since = now.since(state.last_sent);
            if self.arbiter == Arbiter::Store && leader != Some(name) {
                if state.is_due_for_probe(now) {
                    state.last_sent = now;
                    state.pending_polls += 1;
                    names.push(name.clone());
                }
                continue;
            }
            let is_requested = self.poll_requested > state.last_sent && since >= POLL_SPACING;
            let is_needed = has_waiting && state.pending_polls == 0 && since >= POLL_SPACING;
            let interval = match (self.failing_since, self.sampling) {
                (Some(_), _) => Some(FAILING_POLL_PERIOD),
                (None, Sampling::Periodic) => Some(self.interval),
                (None, Sampling::Frequent) => Some(SAMPLE_PERIOD),
                (None, Sampling::OnDemand) => None,
            };
            let is_periodic = interval.is_some() && state.pending_polls == 0;
            let is_overdue = is_periodic && interval.is_some_and(|interval| since >= interval);
            let is_unpolled = is_periodic && state.last_sent == time::Time::default();
            if is_unpolled
                || ((is_requested || is_needed) && state.pending_polls < MAX_POLLS_IN_FLIGHT)
                || is_overdue
            {
                state.last_sent = now;
                state.pending_polls += 1;
                names.push(name.clone());
            }
        }
        names
    }

    /// Records the answer to a poll, or its absence.
    pub fn record_poll(
        &mut self,
        now: time::Time,
        instance: &Name,
        sent: time::Time,
        status: Option<position::Status>,
    ) {
        let Some(state) = self.instances.get_mut(instance) else {
            return;
        };
        state.pending_polls = state.pending_polls.saturating_sub(1);
        let Some(status) = status else {
            if state.backoff.is_some() {
                self.record_connect_failure(instance, now, true);
            }
            if self.primary() == Some(instance) {
                self.record_leader_failure(sent);
            }
            return;
        };
        state.record_rtt(now.since(sent));
        state.backoff = None;
        if self.primary() == Some(instance) {
            self.leader_demoted = status.role == position::Role::Replica;
        }
        self.record_status(now, instance, sent, status);
    }

    /// Records a status from any source.
    pub fn record_status(
        &mut self,
        now: time::Time,
        instance: &Name,
        sent: time::Time,
        status: position::Status,
    ) {
        let Some(state) = self.instances.get_mut(instance) else {
            return;
        };
        if state.status.is_some_and(|(at, _)| at > sent) {
            return;
        }
        state.silence_reported = false;
        state.status = Some((sent, status));
        let store_arbitrates = self.arbiter == Arbiter::Store;
        if store_arbitrates && self.primary() != Some(instance) {
            return self.record_term(status.term, now);
        }
        if status.promised > self.newest_term {
            self.newest_term = status.promised;
            self.term_changed = now;
            self.has_led = false;
            if !store_arbitrates {
                self.history.clear();
            }
            self.update_refutation(now);
        }
        if status.role == position::Role::Primary && status.term == self.newest_term {
            let is_past_delay = |since: time::Time| now.since(since) > MAX_ANSWER_DELAY;
            if self
                .failing_since
                .is_some_and(|since| sent >= since || is_past_delay(since))
            {
                self.failing_since = None;
            }
            self.last_answer = self.last_answer.max(sent);
            self.has_led = true;
            // Another instance may lead after an assignment has expired.
            let is_assigned = |assignment: &leader::Assignment| assignment.until > sent;
            if !store_arbitrates || self.assignment.as_ref().is_some_and(is_assigned) {
                self.record_primary_position(now, sent, status);
            }
        }
    }

    fn record_primary_position(
        &mut self,
        now: time::Time,
        sent: time::Time,
        status: position::Status,
    ) {
        let position = position::Position {
            term: status.term,
            lsn: status.received,
        };
        let sample = sample::Sample {
            sent,
            position,
            source: sample::Source::Instance,
        };
        if self.history.len() == HISTORY_LEN && self.arbiter == Arbiter::Instances {
            self.history.pop_front();
        }
        if self.arbiter == Arbiter::Instances {
            self.history.push_back(sample.clone());
        } else {
            self.record_sample(sample.clone());
        }
        if self.confirmation(now).is_some() {
            self.sample = Some(sample);
        }
    }

    /// Primary of the newest term, whether confirmed or not.
    pub fn primary(&self) -> Option<&Name> {
        if self.arbiter == Arbiter::Store {
            return self
                .assignment
                .as_ref()
                .map(|assignment| &assignment.instance);
        }
        self.instances
            .iter()
            .find(|(_, state)| {
                state.status.is_some_and(|(_, s)| {
                    s.role == position::Role::Primary && s.term == self.newest_term
                })
            })
            .map(|(name, _)| name)
    }

    /// Confirmation that is valid at `now`.
    pub fn confirmation(&self, now: time::Time) -> Option<Confirmation> {
        if self.arbiter == Arbiter::Store {
            return self.confirm_assignment(now);
        }
        let primary = self.primary()?;
        let mut sent: Vec<_> = self
            .instances
            .values()
            .filter_map(|state| state.status)
            .filter(|(_, status)| status.promised == self.newest_term)
            .map(|(at, _)| at)
            .collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        let oldest = *sent.get(self.majority() - 1)?;
        let until = oldest + self.lease;
        (until > now).then(|| Confirmation {
            term: self.newest_term,
            primary: primary.clone(),
            until,
        })
    }

    /// Floor of a session that arrived at `arrived`, once a sample taken since
    /// then exists.
    pub fn arrival_floor(&self, arrived: time::Time) -> Option<position::Position> {
        let sample = self.sample.as_ref()?;
        (sample.sent >= arrived).then_some(sample.position)
    }

    /// Offset that a replica of the newest term must have replayed to show `floor`.
    fn required_lsn(&self, floor: position::Position) -> Option<position::Lsn> {
        if floor.term >= self.newest_term {
            return (floor.term == self.newest_term).then_some(floor.lsn);
        }
        let start = self
            .instances
            .values()
            .filter_map(|state| state.status)
            .find(|(_, s)| s.term == self.newest_term)
            .map(|(_, s)| s.start)?;
        Some(floor.lsn.min(start))
    }

    /// Whether the instance shows everything up to the floor.
    pub fn has_reached(&self, instance: &Name, floor: position::Position) -> bool {
        let Some((_, status)) = self.instances.get(instance).and_then(|state| state.status) else {
            return false;
        };
        status.term == self.newest_term
            && self
                .required_lsn(floor)
                .is_some_and(|lsn| status.replayed >= lsn)
    }

    /// Upper bound on the age of the data that the instance shows.
    pub fn data_age(&self, instance: &Name, now: time::Time) -> Option<std_time::Duration> {
        let (_, status) = self.instances.get(instance)?.status?;
        if status.term != self.newest_term {
            return None;
        }
        self.history
            .iter()
            .rev()
            .map(|sample| (sample.sent, sample.position))
            .find(|(_, floor)| floor.term == status.term && floor.lsn <= status.replayed)
            .map(|(sent, _)| now.since(sent))
    }

    /// Position of the primary from a poll sent at `since` or later.
    pub fn commit_target(
        &self,
        since: time::Time,
        term: position::Term,
    ) -> Option<position::Position> {
        let (sent, status) = self.instances.get(self.primary()?)?.status?;
        (sent >= since && status.term == term).then_some(position::Position {
            term,
            lsn: status.received,
        })
    }

    /// Whether enough instances hold the position to acknowledge a commit.
    pub fn is_durable(&self, target: position::Position) -> bool {
        if self.durability != Durability::Majority {
            return true;
        }
        // The position was reported by the primary, so the primary holds it.
        let primary = self.primary();
        let replicas = self
            .instances
            .iter()
            .filter(|(name, _)| primary != Some(*name))
            .filter_map(|(_, state)| state.status)
            .filter(|(_, s)| s.term == target.term && s.received >= target.lsn)
            .count();
        let holders = replicas + 1;
        holders >= self.majority()
    }

    /// First instance by name that answered a poll sent within `limit`;
    /// instances that stay take precedence over withdrawn ones.
    pub fn first_answering(&self, now: time::Time, limit: std_time::Duration) -> Option<Name> {
        let answering = self.instances.iter().filter(|(_, state)| {
            state
                .status
                .is_some_and(|(sent, _)| now.since(sent) <= limit)
        });
        answering
            .min_by_key(|(name, state)| (state.is_withdrawn(), *name))
            .map(|(name, _)| name.clone())
    }

    /// Returns each instance once when its silence exceeds `limit`.
    pub fn take_newly_silent(&mut self, now: time::Time, limit: std_time::Duration) -> Vec<Name> {
        let mut names = Vec::new();
        for (name, state) in &mut self.instances {
            let is_silent = state
                .status
                .is_some_and(|(sent, _)| now.since(sent) > limit);
            if is_silent && !state.silence_reported {
                state.silence_reported = true;
                names.push(name.clone());
            }
        }
        names
    }

    /// Time for which no primary of the newest term has answered.
    pub fn silence(&self, now: time::Time) -> std_time::Duration {
        if self.arbiter == Arbiter::Store && self.assignment.is_some() {
            let since = [self.refuted_since, self.absent_since, self.failing_since];
            let since = since.into_iter().flatten().min();
            return since.map_or(std_time::Duration::ZERO, |since| now.since(since));
        }
        now.since(self.last_answer.max(self.term_changed))
    }

    /// Whether a primary of the newest term has ever answered this daemon.
    pub fn had_primary(&self) -> bool {
        self.has_led
    }
}
