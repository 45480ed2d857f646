//! What is known of a group whose leader the platform's store arbitrates: the
//! ruling, positions told with answers, and instances that are left alone.

use std::time as std_time;

use config::Name;

use super::{
    Arbiter, Confirmation, Down, Group, HISTORY, InstanceState, Sampling, TERM_POLL, TROUBLED_POLL,
};
use crate::{leader, position, time};

/// Pause after a connection that failed; doubled with every further one.
const DOWN_PAUSE: std_time::Duration = std_time::Duration::from_millis(40);
/// Longest such pause.
const DOWN_PAUSE_LIMIT: std_time::Duration = std_time::Duration::from_millis(640);
/// Time without an answer after which a statement counts as delayed.
pub const STATEMENT_DELAY: std_time::Duration = std_time::Duration::from_millis(250);
/// Time after which a measured round-trip time of an unused instance is halved.
const RTT_HALF_LIFE: std_time::Duration = std_time::Duration::from_millis(500);
/// Halvings after which it counts for nothing.
const RTT_HALVINGS: u64 = 20;
/// Time between two positions in the history.
const HISTORY_SPACING: std_time::Duration = std_time::Duration::from_millis(40);
/// Time for which a replica that lacked a floor is not asked for it again.
const BEHIND_PERIOD: std_time::Duration = std_time::Duration::from_millis(60);

impl InstanceState {
    /// Whether an instance that was not reached should be polled again.
    pub(super) fn is_due_for_probe(&self, now: time::Time) -> bool {
        let over = |down: Down| down.unreached && now >= down.until;
        let spaced = now.since(self.sent) >= DOWN_PAUSE;
        self.down.is_some_and(over) && self.pending == 0 && spaced
    }
}

impl Group {
    /// Takes over the least round-trip times.
    pub fn set_min_rtts(&mut self, distances: &[(Name, std_time::Duration)]) {
        for (name, distance) in distances {
            if let Some(seen) = self.instances.get_mut(name) {
                seen.min_rtt = time::micros(*distance);
            }
        }
    }

    /// Round-trip time to expect, in microseconds. Where the store arbitrates,
    /// an instance that has not been used for a while counts as less loaded.
    pub fn expected_rtt(&self, seen: &InstanceState, now: time::Time) -> u64 {
        if self.arbiter == Arbiter::Instances {
            return seen.avg_rtt;
        }
        let unused = time::micros(now.since(seen.sent)) / time::micros(RTT_HALF_LIFE);
        let decayed = seen.avg_rtt >> unused.min(RTT_HALVINGS);
        decayed.max(seen.min_rtt)
    }

    /// A connection to the instance could not be opened; whether it did not
    /// answer at all. Then polls try it, so that no request waits for it.
    pub fn record_connect_failure(&mut self, instance: &Name, now: time::Time, unreached: bool) {
        let Some(seen) = self.instances.get_mut(instance) else {
            return;
        };
        let (pause, until) = match seen.down {
            // Several requests have found it down at once.
            Some(down) if now < down.until => (down.pause, down.until),
            Some(down) => {
                let pause = (down.pause * 2).min(DOWN_PAUSE_LIMIT);
                (pause, now + pause)
            }
            None => (DOWN_PAUSE, now + DOWN_PAUSE),
        };
        let unreached = unreached || seen.down.is_some_and(|down| down.unreached);
        seen.down = Some(Down {
            until,
            pause,
            unreached,
            tried: false,
        });
    }

    /// Whether connections to the instance are not worth trying now.
    pub fn is_backing_off(&self, instance: &Name, now: time::Time) -> bool {
        let seen = self.instances.get(instance);
        let down = seen.and_then(|seen| seen.down);
        down.is_some_and(|down| down.unreached || down.tried || now < down.until)
    }

    /// A request tries an instance whose connections have failed, or no longer
    /// does; others wait for what comes of it.
    pub fn set_probing(&mut self, instance: &Name, tried: bool) {
        let seen = self.instances.get_mut(instance);
        if let Some(down) = seen.and_then(|seen| seen.down.as_mut()) {
            down.tried = tried;
        }
    }

    /// The instance has started again, and is as if never used.
    pub fn reset_instance(&mut self, instance: &Name) {
        if let Some(seen) = self.instances.get_mut(instance) {
            *seen = InstanceState {
                min_rtt: seen.min_rtt,
                leaving: seen.leaving,
                leaving_since: seen.leaving_since,
                sent: seen.sent,
                pending: seen.pending,
                ..InstanceState::default()
            };
        }
    }

    /// A peer cannot reach the leader. Asks for a poll, unless the leader was
    /// asked of late.
    pub fn request_leader_check(&mut self, now: time::Time) {
        let leader = self.ruling.as_ref().map(|ruling| &ruling.instance);
        let seen = leader.and_then(|leader| self.instances.get(leader));
        if seen.is_some_and(|seen| now.since(seen.sent) >= TROUBLED_POLL) {
            self.request_poll(now);
        }
    }

    /// A statement at the instance has waited for `STATEMENT_DELAY`.
    pub fn record_delay(&mut self, instance: &Name, now: time::Time) {
        if let Some(seen) = self.instances.get_mut(instance) {
            seen.avg_rtt = seen.avg_rtt.max(time::micros(STATEMENT_DELAY));
        }
        if self.primary() == Some(instance) {
            self.record_leader_failure(now);
            self.request_poll(now);
        }
    }

    /// A call to the leader that was sent at `sent` has failed.
    pub fn record_leader_failure(&mut self, sent: time::Time) {
        if self.arbiter == Arbiter::Store {
            self.troubled.get_or_insert(sent);
        }
    }

    /// A poll has ended without a status; whether the instance is known to live.
    pub fn record_poll_end(&mut self, instance: &Name, live: bool) {
        if let Some(seen) = self.instances.get_mut(instance) {
            seen.pending = seen.pending.saturating_sub(1);
        }
        if live {
            self.record_alive(instance);
            if let Some(seen) = self.instances.get_mut(instance) {
                seen.down = seen.down.filter(|down| !down.unreached);
            }
        }
    }

    /// The instance has shown that it lives, without telling its position.
    pub fn record_alive(&mut self, instance: &Name) {
        if self.primary() == Some(instance) {
            self.troubled = None;
        }
    }

    /// Says when the leader is asked for its position unprompted.
    pub fn set_sampling(&mut self, sampling: Sampling) {
        self.sampling = sampling;
    }

    /// Asks for a poll if the leader's term is not known, which requests wait for.
    pub fn request_term(&mut self, now: time::Time) {
        let unknown = self.arbiter == Arbiter::Store && self.newest == position::Term::default();
        let leader = self.ruling.as_ref().map(|ruling| &ruling.instance);
        let seen = leader.and_then(|leader| self.instances.get(leader));
        if unknown && seen.is_some_and(|seen| now.since(seen.sent) >= TERM_POLL) {
            self.request_poll(now);
        }
    }

    /// Takes in a position of the leader that a peer knew.
    pub fn record_peer_position(&mut self, sent: time::Time, floor: position::Floor) {
        if self.ruling.is_some() && self.newest == position::Term::default() {
            self.newest = floor.term;
        }
        self.record_position(sent, floor);
    }

    /// Takes in a position that the leader had reached when a request sent at
    /// `sent` arrived there; seen here or by a peer.
    pub fn record_position(&mut self, sent: time::Time, floor: position::Floor) {
        let index = self.history.partition_point(|(at, _)| *at <= sent);
        let near = |other: Option<&(time::Time, position::Floor)>| {
            other.is_some_and(|(at, _)| {
                at.since(sent) < HISTORY_SPACING && sent.since(*at) < HISTORY_SPACING
            })
        };
        let before = index.checked_sub(1).and_then(|i| self.history.get(i));
        if near(before) || near(self.history.get(index)) {
            return;
        }
        if self.history.len() == HISTORY {
            self.history.pop_front();
            return self.record_position(sent, floor);
        }
        self.history.insert(index, (sent, floor));
    }

    /// Newest position of the leader that is known, with its time.
    pub fn newest_position(&self) -> Option<(time::Time, position::Floor)> {
        self.history.back().copied()
    }

    /// Confirmation that follows from the store's ruling. A ruling without a
    /// term needs an answer of the leader first.
    pub(super) fn confirm_assignment(&self, now: time::Time) -> Option<Confirmation> {
        let ruling = self.ruling.as_ref()?;
        let known = self.newest != position::Term::default();
        (known && ruling.until > now).then(|| Confirmation {
            term: self.newest,
            primary: ruling.instance.clone(),
            until: ruling.until,
        })
    }

    /// Takes over what the store rules; true if the leader or term changed.
    pub fn set_assignment(&mut self, ruling: Option<leader::Assignment>, now: time::Time) -> bool {
        let leads = |ruling: &leader::Assignment| (ruling.instance.clone(), ruling.term);
        let changed = self.ruling.as_ref().map(leads) != ruling.as_ref().map(leads);
        let appointed = ruling.as_ref().is_some_and(|ruling| {
            ruling.term > self.newest
                || self
                    .ruling
                    .as_ref()
                    .is_none_or(|old| old.instance != ruling.instance)
        });
        if appointed || (ruling.is_none() && self.ruling.is_some()) {
            self.changed = now;
            self.known = false;
            self.sample = None;
            self.unled = false;
            self.troubled = None;
        }
        if let Some(ruling) = &ruling {
            self.newest = self.newest.max(ruling.term);
        }
        self.ruling = ruling;
        changed
    }

    /// What the store rules.
    pub fn assignment(&self) -> Option<&leader::Assignment> {
        self.ruling.as_ref()
    }

    /// Takes in the position that an instance told with an answer.
    pub fn record_reply(
        &mut self,
        now: time::Time,
        instance: &Name,
        sent: time::Time,
        applied: position::Floor,
    ) {
        let leads = self.primary() == Some(instance);
        let Some(seen) = self.instances.get_mut(instance) else {
            return;
        };
        seen.measure(now.since(sent));
        seen.sent = seen.sent.max(sent);
        seen.down = None;
        if seen.behind.is_some_and(|(_, floor)| floor <= applied) {
            seen.behind = None;
        }
        let role = if leads && !self.unled {
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

    /// The instance lacked a floor.
    pub fn record_missed_floor(
        &mut self,
        now: time::Time,
        instance: &Name,
        floor: position::Floor,
    ) {
        if let Some(seen) = self.instances.get_mut(instance) {
            seen.behind = Some((now, floor));
        }
    }

    /// Whether the instance has lacked this floor, or a lower one, of late.
    pub fn lacks_floor(&self, instance: &Name, floor: position::Floor, now: time::Time) -> bool {
        let behind = self.instances.get(instance).and_then(|seen| seen.behind);
        behind.is_some_and(|(at, lacked)| floor >= lacked && now.since(at) < BEHIND_PERIOD)
    }

    /// Oldest known position of the leader that is no older than `age`. It
    /// covers all that was acknowledged before.
    pub fn floor_of_age(
        &self,
        age: std_time::Duration,
        now: time::Time,
    ) -> Option<position::Floor> {
        let fresh = |(sent, _): &&(time::Time, position::Floor)| now.since(*sent) <= age;
        self.history
            .iter()
            .find(fresh)
            .map(|(_, floor)| self.cap_floor(*floor))
    }

    /// Floor in the frame of the newest term: what a change of leader has
    /// rolled back cannot be waited for.
    pub fn cap_floor(&self, floor: position::Floor) -> position::Floor {
        let ruling = self.ruling.as_ref();
        let start = ruling.and_then(|ruling| ruling.start.map(|start| (ruling.term, start)));
        match start {
            Some((term, start)) if floor.term < term => floor.min(start),
            _ => floor,
        }
    }
}
