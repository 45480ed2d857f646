//! State of a group whose leader the platform's store assigns: the assignment,
//! the positions that come with answers, and the backoff of connections to
//! instances.

use std::time as std_time;

use config::Name;

use super::{
    Arbiter, Backoff, Confirmation, FAILING_POLL_PERIOD, Group, HISTORY_LEN, InstanceState,
    REGISTRATION_TIME, Sampling, Shedding, TERM_POLL_PERIOD,
};
use crate::{leader, position, sample, time};

/// Delay after a failed connection; doubled with each further failure.
const BACKOFF_DELAY: std_time::Duration = std_time::Duration::from_millis(40);
/// Maximum delay after a failed connection.
const MAX_BACKOFF_DELAY: std_time::Duration = std_time::Duration::from_millis(640);
/// Longest pause of reads at an instance without capacity.
const MAX_SHEDDING_DELAY: std_time::Duration = std_time::Duration::from_millis(160);
/// Time without an answer after which a statement counts as delayed.
pub const STATEMENT_DELAY: std_time::Duration = std_time::Duration::from_millis(250);
/// Time after which the measured round-trip time of an unused instance is
/// halved.
const RTT_HALF_LIFE: std_time::Duration = std_time::Duration::from_millis(500);
/// Number of halvings after which a measured round-trip time no longer counts.
const MAX_RTT_HALVINGS: u64 = 20;
/// Minimum time between two positions in the history.
const HISTORY_SPACING: std_time::Duration = std_time::Duration::from_millis(40);
/// Time for which a replica that had not reached a floor is not asked for that
/// floor, or a higher one, again.
const MISSED_FLOOR_PERIOD: std_time::Duration = std_time::Duration::from_millis(60);

impl InstanceState {
    /// Whether a poll should test again if the unreachable instance answers.
    pub(super) fn is_due_for_probe(&self, now: time::Time) -> bool {
        let is_over = |backoff: Backoff| backoff.is_unreachable && now >= backoff.until;
        let is_spaced = now.since(self.last_sent) >= BACKOFF_DELAY;
        self.backoff.is_some_and(is_over) && self.pending_polls == 0 && is_spaced
    }
}

impl Group {
    /// Sets the lowest round-trip times.
    pub fn set_min_rtts(&mut self, min_rtts: &[(Name, std_time::Duration)]) {
        for (name, min_rtt) in min_rtts {
            if let Some(state) = self.instances.get_mut(name) {
                state.min_rtt = time::micros(*min_rtt);
            }
        }
    }

    /// Round-trip time to expect, in microseconds. If the store arbitrates, the
    /// measured time of an instance decays while the instance is not used,
    /// because its load may have dropped.
    pub fn expected_rtt(&self, state: &InstanceState, now: time::Time) -> u64 {
        if self.arbiter == Arbiter::Instances {
            return state.avg_rtt;
        }
        let unused = time::micros(now.since(state.last_sent)) / time::micros(RTT_HALF_LIFE);
        let decayed = state.avg_rtt >> unused.min(MAX_RTT_HALVINGS);
        decayed.max(state.min_rtt)
    }

    /// Records that a connection to the instance could not be opened. If the
    /// instance did not answer at all, polls test the instance, so that no
    /// request has to wait for it.
    pub fn record_connect_failure(
        &mut self,
        instance: &Name,
        now: time::Time,
        is_unreachable: bool,
    ) {
        let Some(state) = self.instances.get_mut(instance) else {
            return;
        };
        let (delay, until) = match state.backoff {
            // Several requests have failed to connect at the same time.
            Some(backoff) if now < backoff.until => (backoff.delay, backoff.until),
            Some(backoff) => {
                let delay = (backoff.delay * 2).min(MAX_BACKOFF_DELAY);
                (delay, now + delay)
            }
            None => (BACKOFF_DELAY, now + BACKOFF_DELAY),
        };
        let is_unreachable =
            is_unreachable || state.backoff.is_some_and(|backoff| backoff.is_unreachable);
        state.backoff = Some(Backoff {
            until,
            delay,
            is_unreachable,
            is_probing: false,
        });
    }

    /// Whether requests should not try to connect to the instance now.
    pub fn is_backing_off(&self, instance: &Name, now: time::Time) -> bool {
        let state = self.instances.get(instance);
        let backoff = state.and_then(|state| state.backoff);
        backoff.is_some_and(|b| b.is_unreachable || b.is_probing || now < b.until)
    }

    /// Records that the instance turned a statement away for lack of capacity. Until the end
    /// of a pause, which grows while the instance stays busy, reads go to other instances or
    /// wait.
    pub fn record_shedding(&mut self, instance: &Name, now: time::Time) {
        let Some(state) = self.instances.get_mut(instance) else {
            return;
        };
        let delay = match state.shedding {
            // Several statements were turned away at the same time.
            Some(shedding) if now < shedding.until => return,
            Some(shedding) if now < shedding.until + MAX_SHEDDING_DELAY => {
                (shedding.delay * 2).min(MAX_SHEDDING_DELAY)
            }
            _ => BACKOFF_DELAY,
        };
        let until = now + delay;
        state.shedding = Some(Shedding { until, delay });
    }

    /// Whether reads should not be sent to the instance now, because it has no capacity.
    pub fn is_shedding(&self, instance: &Name, now: time::Time) -> bool {
        let state = self.instances.get(instance);
        let shedding = state.and_then(|state| state.shedding);
        shedding.is_some_and(|shedding| now < shedding.until)
    }

    /// Whether the instance did not answer the latest connection attempts.
    pub fn is_unreachable(&self, instance: &Name) -> bool {
        let state = self.instances.get(instance);
        let backoff = state.and_then(|state| state.backoff);
        backoff.is_some_and(|backoff| backoff.is_unreachable)
    }

    /// Position that an instance had reached at least when it last answered.
    pub fn known_position(&self, instance: &Name) -> Option<position::Position> {
        let (_, status) = self.instances.get(instance)?.status?;
        Some(position::Position {
            term: status.term,
            lsn: status.received,
        })
    }

    /// Position that an instance stated in an answer to a request sent at `since` or later.
    pub fn position_since(&self, instance: &Name, since: time::Time) -> Option<position::Position> {
        let (sent, _) = self.instances.get(instance)?.status?;
        self.known_position(instance).filter(|_| sent >= since)
    }

    /// Leader that this VM uses although the store has no row of it.
    pub fn declared_leader(&self, now: time::Time) -> Option<leader::Leader> {
        let declared = self.confirmation(now)?;
        let start = self.known_position(&declared.primary)?;
        Some(leader::Leader {
            instance: Some(declared.primary),
            term: declared.term,
            start: Some(start).filter(|start| start.term == declared.term)?,
            claim: None,
            replicas: None,
            acknowledged: None,
        })
    }

    /// Records whether a request is testing an instance whose connections have
    /// failed; other requests wait for the result.
    pub fn set_probing(&mut self, instance: &Name, is_probing: bool) {
        let state = self.instances.get_mut(instance);
        if let Some(backoff) = state.and_then(|state| state.backoff.as_mut()) {
            backoff.is_probing = is_probing;
        }
    }

    /// Whether a commit is acknowledged once one replica has received it, so that an
    /// instance may lead only if it is proved to have each of them.
    pub fn is_synchronous(&self) -> bool {
        self.arbiter == Arbiter::Store && self.durability == config::Durability::Replica
    }

    /// Whether the group has had no leader for this time.
    pub fn is_leaderless(&self, limit: std_time::Duration, now: time::Time) -> bool {
        self.assignment.is_none() && now.since(self.term_changed) >= limit
    }

    /// Resets the state of an instance that has restarted.
    pub fn reset_instance(&mut self, instance: &Name) {
        if let Some(state) = self.instances.get_mut(instance) {
            *state = InstanceState {
                min_rtt: state.min_rtt,
                leaving: state.leaving,
                leaving_since: state.leaving_since,
                evacuation: state.evacuation,
                last_sent: state.last_sent,
                pending_polls: state.pending_polls,
                ..InstanceState::default()
            };
        }
    }

    /// Requests a poll of the leader because a peer cannot reach it, unless the
    /// leader was polled recently.
    pub fn request_leader_check(&mut self, now: time::Time) {
        let leader = self
            .assignment
            .as_ref()
            .map(|assignment| &assignment.instance);
        let state = leader.and_then(|leader| self.instances.get(leader));
        if state.is_some_and(|state| now.since(state.last_sent) >= FAILING_POLL_PERIOD) {
            self.request_poll(now);
        }
    }

    /// Records that a statement at the instance has waited for
    /// `STATEMENT_DELAY`.
    pub fn record_delay(&mut self, instance: &Name, now: time::Time) {
        if let Some(state) = self.instances.get_mut(instance) {
            state.avg_rtt = state.avg_rtt.max(time::micros(STATEMENT_DELAY));
        }
        if self.primary() == Some(instance) {
            self.record_leader_failure(now);
            self.request_poll(now);
        }
    }

    /// Records the failure of a call to the leader that was sent at `sent`.
    pub fn record_leader_failure(&mut self, sent: time::Time) {
        if self.arbiter == Arbiter::Store {
            self.failing_since.get_or_insert(sent);
        }
    }

    /// Records that a poll has ended without a status, and whether the instance
    /// is known to be alive.
    pub fn record_poll_end(&mut self, instance: &Name, is_alive: bool) {
        if let Some(state) = self.instances.get_mut(instance) {
            state.pending_polls = state.pending_polls.saturating_sub(1);
        }
        if is_alive {
            self.record_alive(instance);
            if let Some(state) = self.instances.get_mut(instance) {
                state.backoff = state.backoff.filter(|backoff| !backoff.is_unreachable);
            }
        }
    }

    /// Records that the instance is alive although it has not reported its
    /// position.
    pub fn record_alive(&mut self, instance: &Name) {
        if self.primary() == Some(instance) {
            self.failing_since = None;
        }
    }

    /// Sets when the leader is polled without a waiting request.
    pub fn set_sampling(&mut self, sampling: Sampling) {
        self.sampling = sampling;
    }

    /// Requests a poll if the leader's term is unknown, because requests wait
    /// for the term.
    pub fn request_term(&mut self, now: time::Time) {
        let is_unknown =
            self.arbiter == Arbiter::Store && self.newest_term == position::Term::default();
        let leader = self
            .assignment
            .as_ref()
            .map(|assignment| &assignment.instance);
        let state = leader.and_then(|leader| self.instances.get(leader));
        if is_unknown && state.is_some_and(|state| now.since(state.last_sent) >= TERM_POLL_PERIOD) {
            self.request_poll(now);
        }
    }

    /// Requests a poll of the leader unless it was polled recently, because reads that the
    /// leader may not serve wait for its position.
    pub fn request_position(&mut self, now: time::Time) {
        let leader = self.primary().cloned();
        let state = leader.and_then(|leader| self.instances.get(&leader));
        if state.is_some_and(|state| now.since(state.last_sent) >= TERM_POLL_PERIOD) {
            self.request_poll(now);
        }
    }

    /// Records a position of the leader that a peer has sent.
    pub fn record_peer_sample(&mut self, sample: sample::Sample, now: time::Time) {
        self.record_term(sample.position.term, now);
        if self.assignment.is_some() && self.newest_term == position::Term::default() {
            self.newest_term = sample.position.term;
            self.update_refutation(now);
        }
        self.record_sample(sample);
    }

    /// Records a position that the leader had reached when a request arrived at
    /// the leader. This daemon or a peer sent the request.
    pub fn record_sample(&mut self, sample: sample::Sample) {
        let sent = sample.sent;
        let index = self.history.partition_point(|other| other.sent <= sent);
        let is_near = |other: Option<&sample::Sample>| {
            other.is_some_and(|other| {
                other.sent.since(sent) < HISTORY_SPACING && sent.since(other.sent) < HISTORY_SPACING
            })
        };
        let before = index.checked_sub(1).and_then(|i| self.history.get(i));
        if is_near(before) || is_near(self.history.get(index)) {
            return;
        }
        if self.history.len() == HISTORY_LEN {
            self.history.pop_front();
            return self.record_sample(sample);
        }
        self.history.insert(index, sample);
    }

    /// First known position of the leader at a time or later.
    pub fn first_sample_since(&self, since: time::Time) -> Option<&sample::Sample> {
        self.history.iter().find(|sample| sample.sent >= since)
    }

    /// Newest known position of the leader.
    pub fn newest_sample(&self) -> Option<&sample::Sample> {
        self.history.back()
    }

    /// Confirmation derived from the store's assignment. If the assignment has
    /// no term, the leader has to report its term first.
    pub(super) fn confirm_assignment(&self, now: time::Time) -> Option<Confirmation> {
        let assignment = self.assignment.as_ref()?;
        let is_known = self.newest_term != position::Term::default();
        let is_valid = is_known && self.refuted_since.is_none() && assignment.until > now;
        is_valid.then(|| Confirmation {
            term: self.newest_term,
            primary: assignment.instance.clone(),
            until: assignment.until,
        })
    }

    /// Records a term that an instance or a peer has told of. A later one than that of the
    /// leader shows that the leader has been replaced, whatever the store states.
    pub fn record_term(&mut self, term: position::Term, now: time::Time) {
        self.seen_term = self.seen_term.max(term);
        self.update_refutation(now);
    }

    /// Determines whether a later term than that of the leader is known.
    pub(super) fn update_refutation(&mut self, now: time::Time) {
        let is_known = self.newest_term != position::Term::default();
        if is_known && self.assignment.is_some() && self.seen_term > self.newest_term {
            self.refuted_since.get_or_insert(now);
        } else {
            self.refuted_since = None;
        }
    }

    /// Term for which VMs agree that its leader is lost: the newest one known.
    pub fn suspected_term(&self) -> position::Term {
        self.newest_term.max(self.seen_term)
    }

    /// Applies the store's assignment; returns true if the leader or the term
    /// changed.
    pub fn set_assignment(
        &mut self,
        assignment: Option<leader::Assignment>,
        now: time::Time,
    ) -> bool {
        let identity =
            |assignment: &leader::Assignment| (assignment.instance.clone(), assignment.term);
        let changed = self.assignment.as_ref().map(identity) != assignment.as_ref().map(identity);
        let is_new = assignment.as_ref().is_some_and(|assignment| {
            assignment.term > self.newest_term
                || self
                    .assignment
                    .as_ref()
                    .is_none_or(|old| old.instance != assignment.instance)
        });
        if is_new || (assignment.is_none() && self.assignment.is_some()) {
            self.term_changed = now;
            self.has_led = false;
            self.sample = None;
            self.leader_demoted = false;
            self.failing_since = None;
            self.absent_since = None;
        }
        if let Some(assignment) = &assignment {
            self.newest_term = self.newest_term.max(assignment.term);
        }
        self.assignment = assignment;
        self.update_refutation(now);
        self.track_absence(now + REGISTRATION_TIME);
        changed
    }

    /// Whether the assigned leader is registered.
    pub(super) fn is_leader_registered(&self) -> bool {
        let leader = self.assignment.as_ref();
        leader.is_some_and(|leader| self.instances.contains_key(&leader.instance))
    }

    /// Records whether the assigned leader is missing from the instances. Nobody polls such
    /// a leader, so its silence counts from the given time on.
    pub(super) fn track_absence(&mut self, silent_from: time::Time) {
        let is_absent = self.assignment.is_some() && !self.is_leader_registered();
        // Without any instance, the registrations have not been read yet.
        if is_absent && !self.instances.is_empty() {
            self.absent_since.get_or_insert(silent_from);
        } else {
            self.absent_since = None;
        }
    }

    /// Current assignment of the leader by the store.
    pub fn assignment(&self) -> Option<&leader::Assignment> {
        self.assignment.as_ref()
    }

    /// Records the position that an instance sent with an answer.
    pub fn record_reply(
        &mut self,
        now: time::Time,
        instance: &Name,
        sent: time::Time,
        applied: position::Position,
    ) {
        let is_leader = self.primary() == Some(instance);
        let Some(state) = self.instances.get_mut(instance) else {
            return;
        };
        state.record_rtt(now.since(sent));
        state.last_sent = state.last_sent.max(sent);
        state.backoff = None;
        if state
            .missed_floor
            .is_some_and(|(_, floor)| floor <= applied)
        {
            state.missed_floor = None;
        }
        let role = if is_leader && !self.leader_demoted {
            position::Role::Primary
        } else {
            position::Role::Replica
        };
        let status = position::Status {
            term: applied.term,
            promised: applied.term,
            role,
            received: applied.lsn,
            replayed: applied.lsn,
            start: position::Lsn::default(),
        };
        self.record_status(now, instance, sent, status);
    }

    /// Records that the instance had not reached a floor.
    pub fn record_missed_floor(
        &mut self,
        now: time::Time,
        instance: &Name,
        floor: position::Position,
    ) {
        if let Some(state) = self.instances.get_mut(instance) {
            state.missed_floor = Some((now, floor));
        }
    }

    /// Whether the instance recently had not reached this floor or a lower one.
    pub fn lacks_floor(&self, instance: &Name, floor: position::Position, now: time::Time) -> bool {
        let missed_floor = self
            .instances
            .get(instance)
            .and_then(|state| state.missed_floor);
        missed_floor
            .is_some_and(|(at, missed)| floor >= missed && now.since(at) < MISSED_FLOOR_PERIOD)
    }

    /// Oldest known position of the leader that is at most `age` old.
    pub fn sample_of_age(
        &self,
        age: std_time::Duration,
        now: time::Time,
    ) -> Option<&sample::Sample> {
        let is_fresh = |sample: &&sample::Sample| now.since(sample.sent) <= age;
        self.history.iter().find(is_fresh)
    }

    /// Highest known position of the leader.
    pub fn newest_floor(&self) -> Option<position::Position> {
        let positions = self.history.iter().map(|sample| sample.position);
        positions.map(|position| self.cap_floor(position)).max()
    }

    /// Replaces a floor of an older term by the first known position of the assigned
    /// term: the leader has that position and everything that was not rolled back.
    pub fn cap_floor(&self, floor: position::Position) -> position::Position {
        let assignment = self.assignment.as_ref();
        let start = assignment
            .and_then(|assignment| assignment.start.map(|start| (assignment.term, start)));
        match start {
            Some((term, start)) if floor.term < term => start,
            _ => floor,
        }
    }
}
