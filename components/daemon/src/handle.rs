//! Handle of a session: the state that the session's thread shares with other
//! threads, and the replies of the kernel to the session.

use std::{collections, net, sync, sync::atomic};

use errors::{Cause, Refusal};
use kernel::{event, position, time};

use crate::locks;

/// Retry hint in a refusal when no instance can be reached.
pub const UNREACHABLE_RETRY_MS: u32 = 500;

/// Refusal of a request when no instance can be reached.
pub fn unreachable_refusal() -> Refusal {
    Refusal::new(Cause::Unavailable, UNREACHABLE_RETRY_MS)
}

/// Reply of the kernel to a session.
#[derive(Debug)]
pub enum Reply {
    /// The session is accepted.
    Accept(event::SessionRoute),
    /// The session's request may run.
    Grant(event::Grant),
    /// The session's request is refused, or the session itself at its start.
    Refuse(Refusal),
    /// The write may be acknowledged with this floor, before this time.
    Acknowledge(position::Position, time::Time),
}

/// Backend connection whose statement a cancel request for the session cancels.
#[derive(Clone, Copy, Debug)]
pub struct CancelTarget {
    /// Endpoint of the instance.
    pub endpoint: wire::Endpoint,
    /// Process ID in the connection's cancel key.
    pub process: i32,
    /// Secret in the connection's cancel key.
    pub secret: i32,
}

/// Whether and when a session must end.
#[derive(Debug, Default)]
struct EndState {
    refusal: Option<Refusal>,
    is_idle: bool,
}

/// State of a session that other threads use.
pub struct Handle {
    replies: sync::Mutex<collections::VecDeque<Reply>>,
    reply_added: sync::Condvar,
    end_state: sync::Mutex<EndState>,
    socket: Option<sync::Arc<net::TcpStream>>,
    /// Number of requests that the session has made.
    request_count: atomic::AtomicU64,
    /// Whether the session answers its caller's next statement before it ends.
    defers_end: bool,
    /// Secret in the cancel key that the session's caller holds.
    pub secret: i32,
    /// Target of a cancel request; none while no statement runs.
    pub cancel_target: sync::Mutex<Option<CancelTarget>>,
}

impl Handle {
    /// Creates the handle of a session that ends without a last answer.
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

    /// Creates the handle of a session that answers its caller's next statement
    /// before it ends, and that has no cancel key.
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

    /// Queues a reply of the kernel.
    pub fn push_reply(&self, reply: Reply) {
        locks::lock(&self.replies).push_back(reply);
        self.reply_added.notify_one();
    }

    /// Waits for the kernel's next reply.
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

    /// Tells the session to end. If the session is between transactions, its read
    /// from the caller ends at once. In a transaction, the read ends at once only
    /// if the session does not defer its end and the daemon is not stopping.
    pub fn end(&self, refusal: Refusal) {
        let mut end_state = locks::lock(&self.end_state);
        end_state.refusal.get_or_insert(refusal);
        let at_once = end_state.is_idle || (!self.defers_end && refusal.cause != Cause::Stopping);
        if let Some(socket) = self.socket.as_ref().filter(|_| at_once) {
            let _ = socket.shutdown(net::Shutdown::Read);
        }
    }

    /// Sets whether the session is between transactions. Returns the reason for
    /// which it must end now, if any.
    pub fn set_idle(&self, is_idle: bool) -> Option<Refusal> {
        let mut end_state = locks::lock(&self.end_state);
        end_state.is_idle = is_idle;
        let refusal = end_state.refusal?;
        (is_idle || refusal.cause != Cause::Stopping).then_some(refusal)
    }

    /// Reason for which the session must end, if any.
    pub fn end_reason(&self) -> Option<Refusal> {
        locks::lock(&self.end_state).refusal
    }

    /// Shuts down the caller's socket.
    pub fn shut_down(&self, how: net::Shutdown) {
        if let Some(socket) = &self.socket {
            let _ = socket.shutdown(how);
        }
    }

    /// Sends a cancel request for the running statement, and waits until the
    /// instance has closed the cancel connection.
    pub fn cancel(&self) {
        let target = locks::lock(&self.cancel_target);
        if let Some(target) = *target {
            let cancelled = wire::cancel(&target.endpoint, target.process, target.secret);
            if let Err(failure) = cancelled {
                log::info!(target: "request", failure:%; "the cancel request is given up");
            }
        }
    }
}
