//! Sessions and requests of one daemon.

use std::{collections, time as std_time};

use config::{KeyDigest, Name};

use crate::{event, position, time};

/// A session that was let in.
#[derive(Debug)]
pub struct Session {
    /// Digest of its key; none on open routes.
    pub key_digest: Option<KeyDigest>,
    /// Customer that holds the key.
    pub customer: Option<Name>,
    /// Route.
    pub route: Name,
    /// Group of the route.
    pub group: Name,
    /// Age that its reads accept.
    pub max_age: Option<std_time::Duration>,
    /// What its reads must see.
    pub reads: config::Reads,
    /// What it must be able to see; none until a sample gives it.
    pub floor: Option<position::Floor>,
    /// When it arrived.
    pub opened_at: time::Time,
}

/// A request that holds a connection.
#[derive(Clone, Debug)]
pub struct GrantedRequest {
    /// Its session.
    pub session: event::SessionId,
    /// Group.
    pub group: Name,
    /// Instance.
    pub instance: Name,
    /// Term confirmed at the grant.
    pub term: position::Term,
}

/// A commit whose acknowledgement waits.
#[derive(Clone, Debug)]
pub struct PendingCommit {
    /// The request.
    pub granted: GrantedRequest,
    /// When the database reported the commit.
    pub reported_at: time::Time,
    /// Position that must be durable, once known.
    pub target: Option<position::Floor>,
    /// When the outcome is given up as unknown.
    pub deadline: time::Time,
}

/// Everything of callers that the daemon holds.
#[derive(Debug, Default)]
pub struct Sessions {
    /// Sessions by identity.
    pub open: collections::HashMap<event::SessionId, Session>,
    /// Requests that hold a connection.
    pub granted: collections::HashMap<event::RequestId, GrantedRequest>,
    /// Commits that wait, by group.
    pub pending_commits:
        collections::BTreeMap<Name, collections::BTreeMap<event::RequestId, PendingCommit>>,
}

impl Sessions {
    /// Raises the floor of a session; it never falls.
    pub fn raise_floor(&mut self, session: event::SessionId, floor: position::Floor) {
        if let Some(session) = self.open.get_mut(&session) {
            session.floor = session.floor.max(Some(floor));
        }
    }
}
