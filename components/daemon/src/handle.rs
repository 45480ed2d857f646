//! The part of a session that other threads reach, and its talk with the kernel.

use std::{collections, net, sync, sync::atomic};

use errors::{Cause, Refusal};
use kernel::{event, position, time};

use crate::locks;

/// Retry hint where no instance could be reached, in ms.
pub const UNREACHABLE_RETRY_MS: u32 = 500;

/// Refusal of a request that no instance could be reached for.
pub fn unreachable_refusal() -> Refusal {
    Refusal::new(Cause::Unavailable, UNREACHABLE_RETRY_MS)
}

/// What the kernel tells a session.
#[derive(Debug)]
pub enum Reply {
    /// It is let in.
    Welcome(event::Welcome),
    /// Its request may run.
    Grant(event::Grant),
    /// Its request, or the session at its start, is refused.
    Refuse(Refusal),
    /// Its write may be acknowledged before the time.
    Acknowledge(position::Floor, time::Time),
}

/// Where a cancel request for a session goes while its statement runs.
#[derive(Clone, Copy, Debug)]
pub struct CancelTarget {
    /// Database.
    pub endpoint: wire::Endpoint,
    /// Cancel key of the connection.
    pub process: i32,
    /// Cancel key of the connection.
    pub secret: i32,
}

#[derive(Debug, Default)]
struct EndState {
    refusal: Option<Refusal>,
    is_idle: bool,
}

/// The part of a session that other threads reach.
pub struct Handle {
    replies: sync::Mutex<collections::VecDeque<Reply>>,
    reply_added: sync::Condvar,
    end_state: sync::Mutex<EndState>,
    socket: Option<sync::Arc<net::TcpStream>>,
    /// Requests so far.
    request_count: atomic::AtomicU64,
    /// The session answers its caller's next statement before it ends.
    defers_end: bool,
    /// Secret of its cancel key.
    pub secret: i32,
    /// Statement in flight.
    pub cancel_target: sync::Mutex<Option<CancelTarget>>,
}

impl Handle {
    /// A handle on a caller's socket.
    pub fn new(socket: Option<sync::Arc<net::TcpStream>>, secret: i32) -> Self {
        Self {
            replies: sync::Mutex::default(),
            reply_added: sync::Condvar::new(),
            end_state: sync::Mutex::default(),
            socket,
            request_count: atomic::AtomicU64::new(0),
            defers_end: false,
            secret,
            cancel_target: sync::Mutex::default(),
        }
    }

    /// A handle of a session that answers its caller's next statement before
    /// it ends, and has no cancel key.
    pub fn with_deferred_end(socket: sync::Arc<net::TcpStream>) -> Self {
        Self {
            defers_end: true,
            ..Self::new(Some(socket), 0)
        }
    }

    /// Number of the session's next request.
    pub fn next_request_number(&self) -> u64 {
        self.request_count.fetch_add(1, atomic::Ordering::Relaxed) + 1
    }

    /// Passes on the kernel's word.
    pub fn push_reply(&self, reply: Reply) {
        locks::lock(&self.replies).push_back(reply);
        self.reply_added.notify_one();
    }

    /// Waits for the kernel's next word.
    pub fn wait_reply(&self) -> Reply {
        let replies = locks::lock(&self.replies);
        let guard = self
            .reply_added
            .wait_while(replies, |replies| replies.is_empty());
        let mut replies = guard.unwrap_or_else(sync::PoisonError::into_inner);
        replies
            .pop_front()
            .unwrap_or(Reply::Refuse(Refusal::new(Cause::Stopping, 0)))
    }

    /// Ends the session; at once if it waits for its caller.
    pub fn end(&self, refusal: Refusal) {
        let mut end_state = locks::lock(&self.end_state);
        end_state.refusal.get_or_insert(refusal);
        let at_once = end_state.is_idle || (!self.defers_end && refusal.cause != Cause::Stopping);
        if let Some(socket) = self.socket.as_ref().filter(|_| at_once) {
            let _ = socket.shutdown(net::Shutdown::Read);
        }
    }

    /// Notes whether the session is between transactions; returns why it must
    /// end, if it must.
    pub fn set_idle(&self, is_idle: bool) -> Option<Refusal> {
        let mut end_state = locks::lock(&self.end_state);
        end_state.is_idle = is_idle;
        let refusal = end_state.refusal?;
        (is_idle || refusal.cause != Cause::Stopping).then_some(refusal)
    }

    /// Why the session must end, if it must.
    pub fn end_reason(&self) -> Option<Refusal> {
        locks::lock(&self.end_state).refusal
    }

    /// Breaks the caller's connection.
    pub fn shut_down(&self, how: net::Shutdown) {
        if let Some(socket) = &self.socket {
            let _ = socket.shutdown(how);
        }
    }

    /// Cancels the statement in flight, and waits until that is settled.
    pub fn cancel(&self) {
        let target = locks::lock(&self.cancel_target);
        if let Some(target) = *target {
            let _ = wire::cancel(&target.endpoint, target.process, target.secret);
        }
    }
}
