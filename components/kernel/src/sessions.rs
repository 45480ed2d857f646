//! Callers' sessions and requests at one daemon.

use std::{collections, time as std_time};

use config::{KeyDigest, Name};

use crate::{event, position, time};

/// An accepted session.
#[derive(Debug)]
pub struct Session {
    /// Digest of the caller's key; none on open routes.
    pub key_digest: Option<KeyDigest>,
    /// Customer that owns the key.
    pub customer: Option<Name>,
    /// Route.
    pub route: Name,
    /// Group of the route.
    pub group: Name,
    /// Largest age of the data that reads accept; none if the route sets no limit.
    pub max_age: Option<std_time::Duration>,
    /// Consistency of reads.
    pub reads: config::ReadConsistency,
    /// Floors of the session's reads by group; none for a group until a sample of its
    /// leader's position, or a commit, sets it. They outlast any change of the route.
    pub floors: collections::BTreeMap<Name, position::Position>,
    /// When the session was opened.
    pub opened_at: time::Time,
    /// Arrival of the latest request; none before the first one.
    pub arrival: Option<Arrival>,
}

/// Arrival of a session's latest request, which is its place among waiting requests.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// When the request first came; earlier attempts that were refused for lack of
    /// capacity count.
    pub first: time::Time,
    /// Time until which the next request continues this one, if this one was refused.
    pub returns_until: Option<time::Time>,
}

impl Session {
    /// Floor of the session's reads in a group.
    pub fn floor(&self, group: &str) -> Option<position::Position> {
        self.floors.get(group).copied()
    }

    /// Raises the floor of the session's reads in a group; it never falls.
    pub fn raise_floor(&mut self, group: &Name, floor: position::Position) {
        let known = self.floors.entry(group.clone()).or_insert(floor);
        *known = (*known).max(floor);
    }

    /// Records that a request has come, or is tried again.
    pub fn record_arrival(&mut self, now: time::Time, retry: bool) {
        let kept = self.arrival.filter(|arrival| {
            let returns = arrival.returns_until.is_some_and(|until| now <= until);
            retry || returns
        });
        self.arrival = Some(Arrival {
            first: kept.map_or(now, |arrival| arrival.first),
            returns_until: None,
        });
    }

    /// Records that the latest request was refused for lack of capacity and may return
    /// until the given time without losing its place.
    pub fn record_refusal(&mut self, until: time::Time) {
        if let Some(arrival) = &mut self.arrival {
            arrival.returns_until = Some(until);
        }
    }
}

/// A request that holds a connection.
#[derive(Clone, Debug)]
pub struct GrantedRequest {
    /// Session of the request.
    pub session: event::SessionId,
    /// Group of the instance.
    pub group: Name,
    /// Instance of the connection.
    pub instance: Name,
    /// Confirmed term at the time of the grant.
    pub term: position::Term,
    /// When the request was granted.
    pub granted_at: time::Time,
    /// Time until which the first statement may be sent with the token of the grant; none
    /// if the instance is not cold.
    pub token_until: Option<time::Time>,
}

/// A commit that has not been acknowledged to the caller.
#[derive(Clone, Debug)]
pub struct PendingCommit {
    /// Request that commits.
    pub granted: GrantedRequest,
    /// When the database reported the commit.
    pub reported_at: time::Time,
    /// Position that must be durable before the acknowledgement; none while unknown.
    pub target: Option<position::Position>,
    /// When the caller is told that the outcome is unknown.
    pub deadline: time::Time,
}

/// State of all sessions and requests of callers.
#[derive(Debug, Default)]
pub struct Sessions {
    /// Open sessions.
    pub open: collections::HashMap<event::SessionId, Session>,
    /// Requests that hold a connection.
    pub granted: collections::HashMap<event::RequestId, GrantedRequest>,
    /// Commits that have not been acknowledged, by group.
    pub pending_commits:
        collections::BTreeMap<Name, collections::BTreeMap<event::RequestId, PendingCommit>>,
    /// Highest position that this process has acknowledged, by group.
    pub acknowledged: collections::BTreeMap<Name, position::Position>,
}

impl Sessions {
    /// Records that the commit of a request is acknowledged, and raises the floor of its
    /// session in the group in which it ran.
    pub fn record_commit(&mut self, granted: &GrantedRequest, floor: position::Position) {
        let acknowledged = self.acknowledged.entry(granted.group.clone());
        let acknowledged = acknowledged.or_insert(floor);
        *acknowledged = (*acknowledged).max(floor);
        if let Some(session) = self.open.get_mut(&granted.session) {
            session.raise_floor(&granted.group, floor);
        }
    }
}
