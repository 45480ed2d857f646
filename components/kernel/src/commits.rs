//! The end of a request, and the acknowledgement of a write.

use config::Name;
use errors::{Cause, Refusal};

use crate::{daemon, event, group, position, sessions, time};

impl daemon::Daemon {
    pub(crate) fn released(&mut self, id: event::RequestId, outcome: event::Outcome) {
        let Some(granted) = self.sessions.granted.remove(&id) else {
            return;
        };
        if let Some(busy) = self.busy.get_mut(&granted.instance) {
            *busy = busy.saturating_sub(1);
        }
        self.keep_warm(&granted, outcome);
        let group = granted.group.clone();
        let ruled = self.arbiter == group::Arbiter::Store;
        if let Some(pool) = self.pools.get_mut(&group).filter(|_| ruled) {
            pool.group.set_probing(&granted.instance, false);
            if outcome == event::Outcome::Unsent {
                pool.group
                    .record_connect_failure(&granted.instance, self.now, true);
            }
            if outcome == event::Outcome::Crowded {
                pool.group
                    .record_connect_failure(&granted.instance, self.now, false);
                pool.group.record_alive(&granted.instance);
            }
            match outcome {
                event::Outcome::Behind(floor) => {
                    pool.group
                        .record_missed_floor(self.now, &granted.instance, floor);
                }
                event::Outcome::Broken | event::Outcome::Unsent | event::Outcome::ReadOnly
                    if pool.group.primary() == Some(&granted.instance) =>
                {
                    pool.group.record_leader_failure(self.now);
                    pool.group.request_poll(self.now);
                }
                _ => {}
            }
        }
        if let event::Outcome::Committed(status) = outcome {
            let committing = sessions::Committing {
                target: status.and_then(|status| place(&granted, status)),
                granted,
                since: self.now,
                deadline: self.now + self.setup.limits.wait,
            };
            let commits = self.sessions.commits.entry(group.clone()).or_default();
            commits.insert(id, committing);
            if ruled {
                self.settle(&group);
            } else if let Some(pool) = self.pools.get_mut(&group) {
                pool.group.request_poll(self.now);
            }
            self.poll(&group);
        }
        self.dispatch(&group);
        self.finish_stop();
    }

    /// Follows what the driver does with the connection of a request.
    fn keep_warm(&mut self, granted: &sessions::Granted, outcome: event::Outcome) {
        let instance = &granted.instance;
        let closed = [
            event::Outcome::Broken,
            event::Outcome::Unsent,
            event::Outcome::Crowded,
        ];
        if closed.contains(&outcome) {
            return self.warm.clear(instance);
        }
        let session = self.sessions.open.get(&granted.session);
        if let Some(customer) = session.map(|session| session.customer.clone()) {
            let busy = self.busy.get(instance).copied().unwrap_or(0);
            let room = self.budgets.room(instance);
            self.warm.put(instance, customer, busy, room);
        }
    }

    /// Acknowledges the commits that are durable under a confirmation, and
    /// gives up those that can no longer be.
    pub(crate) fn settle(&mut self, group: &Name) {
        let Some(commits) = self.sessions.commits.get_mut(group) else {
            return;
        };
        let Some(pool) = self.pools.get(group) else {
            return;
        };
        let confirmation = pool.group.confirmation(self.now);
        let mut done = Vec::new();
        for (id, commit) in commits.iter_mut() {
            let ruled = self.arbiter == group::Arbiter::Store;
            let leads = confirmation
                .as_ref()
                .is_some_and(|found| found.primary == commit.granted.instance);
            let replaced = ruled && (!leads || commit.target.is_none());
            let newer = pool.group.newest_term() > commit.granted.term;
            if newer || replaced || self.now >= commit.deadline {
                done.push((*id, None));
                continue;
            }
            let Some(confirmation) = &confirmation else {
                continue;
            };
            if confirmation.primary != commit.granted.instance {
                continue;
            }
            if commit.target.is_none() {
                commit.target = pool.group.commit_target(commit.since, commit.granted.term);
            }
            let durable = commit
                .target
                .filter(|target| pool.group.is_durable(*target));
            if let Some(target) = durable {
                done.push((*id, Some((target, confirmation.until))));
            }
        }
        for (id, result) in done {
            self.finish_commit(group, id, result);
        }
    }

    pub(crate) fn finish_commit(
        &mut self,
        group: &Name,
        id: event::RequestId,
        result: Option<(position::Floor, time::Time)>,
    ) {
        let commits = self.sessions.commits.get_mut(group);
        let Some(commit) = commits.and_then(|commits| commits.remove(&id)) else {
            return;
        };
        let action = match result {
            Some((floor, until)) => {
                self.sessions.raise(commit.granted.session, floor);
                event::Action::Acknowledge(id, floor, until)
            }
            None => event::Action::Refuse(id, Refusal::new(Cause::OutcomeUnknown, 0)),
        };
        self.out.push(action);
        self.finish_stop();
    }
}

/// Position that makes the commit durable, if the instance was still primary in
/// the term of the grant when it reported it.
fn place(granted: &sessions::Granted, status: position::Status) -> Option<position::Floor> {
    let term = granted.term;
    let primary = status.role == position::Role::Primary && status.promised == term;
    (primary && status.term == term).then_some(position::Floor {
        term,
        lsn: status.received,
    })
}
