//! Which instances may hold an acknowledged commit.
//!
//! Where a commit waits for a replica, it is acknowledged once the leader and one replica
//! have it. The replica set of a group names the leader and each instance that may be that
//! replica. It is stored in the row of the leader, so that a process that starts after a
//! fault knows it as well.
//!
//! An instance joins as soon as its entry is read. It leaves once its entry is gone, after
//! the time in which a live instance registers again, and each other replica has the position
//! that the leader had then: what was acknowledged before is at those that stay, of which one
//! is a replica. An instance that starts again keeps its place, but is not caught up until it
//! has the position that the leader had after that start, because it may have lost what its
//! former process had.
//!
//! A row without a replica set proves nothing about the instances. It was written from an
//! older copy of the store, or before commits waited for replicas. The set is then taken
//! from the entries once all their instances are known to be caught up.

use std::{collections, time as std_time};

use config::Name;
use derive_more::Deref;
use serde::{Deserialize, Serialize};

use crate::{daemon, event, group, journal, leader, time, view};

/// Period at which the stored set is compared with the registered instances.
const CHECK_PERIOD: std_time::Duration = std_time::Duration::from_millis(50);
/// Period at which instances are asked whether they have caught up.
const POLL_PERIOD: std_time::Duration = std_time::Duration::from_millis(500);
/// Delay before a row that was written is written again.
const RETRY_DELAY: std_time::Duration = std_time::Duration::from_millis(500);
/// Delay of a join for each voter that precedes this VM.
const JOIN_RANK_DELAY: std_time::Duration = std_time::Duration::from_millis(500);
/// The same delay of a change that first takes a proof.
const PROOF_RANK_DELAY: std_time::Duration = std_time::Duration::from_secs(8);

/// Member of a replica set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Replica {
    /// Start of its process, in Unix milliseconds.
    pub born: u64,
    /// Whether its log has all that former processes of the instance had.
    pub caught_up: bool,
}

/// Instances that may hold an acknowledged commit, the leader included.
#[derive(Clone, Debug, Default, Deref, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaSet(collections::BTreeMap<Name, Replica>);

/// Starts of the registered instances of a group, in Unix milliseconds.
pub type Starts = collections::BTreeMap<Name, u64>;

impl ReplicaSet {
    /// Set of instances that have all caught up.
    pub fn of(starts: &Starts) -> Self {
        let replica = |born: u64| Replica {
            born,
            caught_up: true,
        };
        Self(
            starts
                .iter()
                .map(|(name, born)| (name.clone(), replica(*born)))
                .collect(),
        )
    }

    /// This set with the registered instances. The process of the leader that has started
    /// again goes on with its log.
    pub fn joined(&self, starts: &Starts, leader: &Name) -> Self {
        let mut joined = self.clone();
        for (name, born) in starts {
            let known = joined.0.get(name);
            let is_new_process = known.is_some_and(|known| known.born != *born);
            if known.is_none() || is_new_process {
                let replica = Replica {
                    born: *born,
                    caught_up: !is_new_process || name == leader,
                };
                joined.0.insert(name.clone(), replica);
            }
        }
        joined
    }

    /// This set after the promotion of an instance that has every acknowledged commit.
    /// Instances that are away may come back and follow the new leader.
    pub fn promoted(&self, starts: &Starts) -> Self {
        let mut promoted = self.clone();
        promoted.0.extend(Self::of(starts).0);
        promoted
    }

    /// Whether an instance has all that it has ever had, if its process has the log of the
    /// recorded term from its start on, or not.
    pub fn is_whole(&self, name: &Name, has_log: bool) -> bool {
        let is_whole = |replica: &Replica| replica.caught_up && has_log;
        self.0.get(name).is_none_or(is_whole)
    }
}

/// Difference between the stored replica set of a group and the registered instances.
#[derive(Debug)]
pub(crate) struct Difference {
    stored: Option<ReplicaSet>,
    starts: Starts,
    since: time::Time,
    written_at: Option<time::Time>,
    polled_at: Option<time::Time>,
}

impl Difference {
    /// Whether instances are gone, or none is known to be complete.
    fn lacks_entries(&self) -> bool {
        let stored = self.stored.as_ref();
        stored.is_none_or(|stored| stored.keys().any(|name| !self.starts.contains_key(name)))
    }

    fn is_due(last: Option<time::Time>, delay: std_time::Duration, now: time::Time) -> bool {
        last.is_none_or(|at| now.since(at) >= delay)
    }
}

impl daemon::Daemon {
    /// Stores the replica set of a group that is led, if the instances have changed.
    pub(crate) fn maintain_replica_set(&mut self, group: &Name) {
        let now = self.now;
        let state = self.groups.get_mut(group);
        let Some(state) = state.filter(|state| state.group.is_synchronous()) else {
            return;
        };
        if now.since(state.replicas_checked) < CHECK_PERIOD {
            return;
        }
        state.replicas_checked = now;
        let leader = self.settled_leader(group);
        let starts = leader.as_ref().map(|leader| self.starts(group, leader));
        let stored = self.view.leader(group);
        let stored = stored.and_then(|(_, row)| row.replicas.clone());
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        let (Some(leader), Some(starts)) = (leader, starts) else {
            state.replica_change = None;
            return;
        };
        if stored.as_ref() == Some(&ReplicaSet::of(&starts)) {
            state.replica_change = None;
            return;
        }
        let is_same = |change: &Difference| change.stored == stored && change.starts == starts;
        if !state.replica_change.as_ref().is_some_and(is_same) {
            state.replica_change = Some(Difference {
                stored: stored.clone(),
                starts: starts.clone(),
                since: now,
                written_at: None,
                polled_at: None,
            });
        }
        let voters = self.voters(group);
        let rank = voters.iter().position(|vm| *vm == self.setup.vm);
        let Some(rank) = rank.and_then(|rank| u32::try_from(rank).ok()) else {
            return;
        };
        let joined = stored
            .as_ref()
            .map(|stored| stored.joined(&starts, &leader));
        let joined = joined.filter(|joined| stored.as_ref() != Some(joined));
        let delay = if joined.is_some() {
            JOIN_RANK_DELAY * rank
        } else {
            PROOF_RANK_DELAY * rank
        };
        let change = self.groups.get(group);
        let change = change.and_then(|state| state.replica_change.as_ref());
        let is_due = |change: &Difference| {
            now >= change.since + delay && Difference::is_due(change.written_at, RETRY_DELAY, now)
        };
        if !change.is_some_and(is_due) {
            return;
        }
        match joined {
            Some(joined) => self.store_replica_set(group, joined),
            None if self.have_caught_up(group, &leader) => {
                self.store_replica_set(group, ReplicaSet::of(&starts));
            }
            None => {}
        }
    }

    /// Leader of a synchronous group that this VM uses.
    fn settled_leader(&self, group: &Name) -> Option<Name> {
        let state = self.groups.get(group)?;
        let is_settled = state.handover.is_idle()
            && state.group.silence(self.now).is_zero()
            && self.members.has_quorum(self.now)
            && !self.is_stopping;
        let confirmation = state.group.confirmation(self.now).filter(|_| is_settled)?;
        Some(confirmation.primary)
    }

    /// Starts of the registered instances of a group, and of its leader.
    fn starts(&self, group: &Name, leader: &Name) -> Starts {
        let mut starts = self.view.starts(group);
        if !starts.contains_key(leader)
            && let Some((_, row)) = self.view.leader(group)
            && let Some(replica) = row.replicas.as_ref().and_then(|set| set.get(leader))
        {
            starts.insert(leader.clone(), replica.born);
        }
        starts
    }

    /// Whether every registered instance, one replica at least, has the position that the leader
    /// had at a time from which on no other instance can have been missed. Asks those that are
    /// not known to.
    fn have_caught_up(&mut self, group: &Name, leader: &Name) -> bool {
        let now = self.now;
        let entries_known = self.view_sync.entries_known();
        let Some(state) = self.groups.get_mut(group) else {
            return false;
        };
        let Some(change) = &mut state.replica_change else {
            return false;
        };
        let mut since = change.since;
        if change.lacks_entries() {
            since = entries_known.max(since + group::REGISTRATION_TIME);
            if self.view.proven_at(view::Part::Instances) < Some(since) {
                return false;
            }
        }
        let reached = state.group.first_sample_since(since);
        let reached = reached.map(|sample| sample.position);
        let has_reached = |name: &Name| {
            let position = state.group.position_since(name, change.since);
            reached.is_some_and(|reached| position >= Some(reached))
        };
        let others = change.starts.keys().filter(|name| *name != leader);
        let mut behind: Vec<_> = others.filter(|name| !has_reached(name)).cloned().collect();
        // A set of the leader alone would be joined by replicas that lack its commits.
        if change.starts.len() > 1 && behind.is_empty() && reached.is_some() {
            return true;
        }
        if Difference::is_due(change.polled_at, POLL_PERIOD, now) {
            change.polled_at = Some(now);
            if reached.is_none() {
                behind.push(leader.clone());
            }
            let polls = behind.into_iter().map(event::Action::CheckStatus);
            self.actions.extend(polls);
        }
        false
    }

    fn store_replica_set(&mut self, group: &Name, replicas: ReplicaSet) {
        let key = event::RowKey::Leader(group.clone());
        let version = self.view.stored_version(&key);
        let Some(state) = self.groups.get_mut(group) else {
            return;
        };
        let row = match self.view.leader(group) {
            Some((_, row)) => Some(row.clone()),
            None => state.group.declared_leader(self.now),
        };
        let Some(row) = row else {
            return;
        };
        if let Some(change) = &mut state.replica_change {
            change.written_at = Some(self.now);
        }
        let caught_up = replicas.values().filter(|replica| replica.caught_up);
        self.record_decision(journal::Decision::ReplicaSet {
            group: group.clone(),
            caught_up: caught_up.count(),
            replicas: replicas.keys().cloned().collect(),
        });
        let row = leader::Leader {
            replicas: Some(replicas),
            ..row
        };
        self.store_row(version, event::Row::Leader(group.clone(), row));
    }
}
