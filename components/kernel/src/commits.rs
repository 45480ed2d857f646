//! Handles the end of a request, and acknowledges writes once they are durable.

use config::Name;
use errors::{Cause, Refusal};

use crate::{daemon, event, group, position, sessions, time};

impl daemon::Daemon {
    pub(crate) fn handle_release(&mut self, id: event::RequestId, outcome: event::RequestOutcome) {
        let Some(granted) = self.sessions.granted.remove(&id) else {
            return;
        };
        if let Some(busy) = self.busy_connections.get_mut(&granted.instance) {
            *busy = busy.saturating_sub(1);
        }
        self.track_connection(&granted, outcome);
        if matches!(
            outcome,
            event::RequestOutcome::Uncommitted | event::RequestOutcome::Committed(_)
        ) {
            self.record_hold(&granted.instance, granted.granted_at);
        }
        if let event::RequestOutcome::Unsent | event::RequestOutcome::ConnectionLost = outcome {
            self.track_restart(&granted.instance, false);
        }
        let group = granted.group.clone();
        let store_arbitrates = self.arbiter == group::Arbiter::Store;
        if let Some(state) = self.groups.get_mut(&group).filter(|_| store_arbitrates) {
            state.group.set_probing(&granted.instance, false);
            if outcome == event::RequestOutcome::Unsent {
                state
                    .group
                    .record_connect_failure(&granted.instance, self.now, true);
            }
            if outcome == event::RequestOutcome::TooManyConnections {
                state
                    .group
                    .record_connect_failure(&granted.instance, self.now, false);
                state.group.record_alive(&granted.instance);
            }
            match outcome {
                event::RequestOutcome::Busy if self.ranks_routes => {
                    state.group.record_shedding(&granted.instance, self.now);
                }
                event::RequestOutcome::BehindFloor(floor) => {
                    state
                        .group
                        .record_missed_floor(self.now, &granted.instance, floor);
                }
                event::RequestOutcome::ConnectionLost
                | event::RequestOutcome::Unsent
                | event::RequestOutcome::ReadOnly
                    if state.group.primary() == Some(&granted.instance) =>
                {
                    state.group.record_leader_failure(self.now);
                    state.group.request_poll(self.now);
                }
                _ => {}
            }
        }
        if let event::RequestOutcome::Committed(status) = outcome {
            let commit = sessions::PendingCommit {
                target: status.and_then(|status| commit_position(&granted, status)),
                granted,
                reported_at: self.now,
                deadline: self.now + self.setup.limits.wait_timeout,
            };
            let commits = self
                .sessions
                .pending_commits
                .entry(group.clone())
                .or_default();
            commits.insert(id, commit);
            if store_arbitrates {
                self.settle_commits(&group);
            } else if let Some(state) = self.groups.get_mut(&group) {
                state.group.request_poll(self.now);
            }
            self.send_polls(&group);
        }
        self.dispatch(&group);
        self.finish_stop();
    }

    /// Updates the record of idle connections. The driver closes all of them to the
    /// instance after a connection failure; else it keeps the connection open.
    fn track_connection(
        &mut self,
        granted: &sessions::GrantedRequest,
        outcome: event::RequestOutcome,
    ) {
        let instance = &granted.instance;
        let connection_failures = [
            event::RequestOutcome::ConnectionLost,
            event::RequestOutcome::Unsent,
            event::RequestOutcome::TooManyConnections,
        ];
        if connection_failures.contains(&outcome) {
            return self.idle_connections.clear(instance);
        }
        let session = self.sessions.open.get(&granted.session);
        if let Some(customer) = session.map(|session| session.customer.clone()) {
            let busy = self.busy_connections.get(instance).copied().unwrap_or(0);
            let limits = self.budgets.connection_limits(instance);
            self.idle_connections.put(instance, customer, busy, limits);
        }
    }

    /// Acknowledges the commits that are durable on a confirmed primary, and
    /// reports an unknown outcome for those that can no longer be confirmed.
    pub(crate) fn settle_commits(&mut self, group: &Name) {
        let Some(commits) = self.sessions.pending_commits.get_mut(group) else {
            return;
        };
        let Some(state) = self.groups.get(group) else {
            // The configuration has taken the group away.
            let ids: Vec<_> = commits.keys().copied().collect();
            for id in ids {
                self.finish_commit(group, id, None);
            }
            return;
        };
        let confirmation = state.group.confirmation(self.now);
        let mut finished = Vec::new();
        for (id, commit) in commits.iter_mut() {
            let store_arbitrates = self.arbiter == group::Arbiter::Store;
            let is_primary = confirmation
                .as_ref()
                .is_some_and(|confirmed| confirmed.primary == commit.granted.instance);
            let is_replaced = store_arbitrates && (!is_primary || commit.target.is_none());
            let term_advanced = state.group.newest_term() > commit.granted.term;
            if term_advanced || is_replaced || self.now >= commit.deadline {
                finished.push((*id, None));
                continue;
            }
            let Some(confirmation) = &confirmation else {
                continue;
            };
            if confirmation.primary != commit.granted.instance {
                continue;
            }
            if commit.target.is_none() {
                commit.target = state
                    .group
                    .commit_target(commit.reported_at, commit.granted.term);
            }
            let durable = commit
                .target
                .filter(|target| state.group.is_durable(*target));
            if let Some(target) = durable {
                finished.push((*id, Some((target, confirmation.until))));
            }
        }
        for (id, result) in finished {
            self.finish_commit(group, id, result);
        }
    }

    pub(crate) fn finish_commit(
        &mut self,
        group: &Name,
        id: event::RequestId,
        result: Option<(position::Position, time::Time)>,
    ) {
        let commits = self.sessions.pending_commits.get_mut(group);
        let Some(commit) = commits.and_then(|commits| commits.remove(&id)) else {
            return;
        };
        let action = match result {
            Some((floor, until)) => {
                self.sessions.record_commit(&commit.granted, floor);
                event::Action::AcknowledgeCommit(id, floor, until)
            }
            None => event::Action::RefuseRequest(id, Refusal::new(Cause::OutcomeUnknown, 0)),
        };
        self.actions.push(action);
        self.finish_stop();
    }
}

/// Position that must become durable for the commit, if the instance reported
/// its status as primary in the term in which the request was granted.
fn commit_position(
    granted: &sessions::GrantedRequest,
    status: position::Status,
) -> Option<position::Position> {
    let term = granted.term;
    let primary = status.role == position::Role::Primary && status.promised == term;
    (primary && status.term == term).then_some(position::Position {
        term,
        lsn: status.received,
    })
}
