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
    /// Floor of the session's reads; none until a sample of the leader's position
    /// sets it.
    pub floor: Option<position::Position>,
    /// When the session was opened.
    pub opened_at: time::Time,
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
}

impl Sessions {
    /// Raises the floor of a session; the floor never falls.
    pub fn raise_floor(&mut self, session: event::SessionId, floor: position::Position) {
        if let Some(session) = self.open.get_mut(&session) {
            session.floor = session.floor.max(Some(floor));
        }
    }
}
