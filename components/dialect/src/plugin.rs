//! Traits that a dialect implements, and the registry of dialects.

use std::{net, sync, time};

use errors::Refusal;
use kernel::position;

use crate::{call, failure, reply};

/// Connection to a caller.
pub trait Caller: Send {
    /// Reads the startup message of the session.
    fn read_startup(
        &mut self,
        limit: time::Duration,
    ) -> Result<call::Startup, failure::CallerFailure>;
    /// Reads the next message; without a limit, waits indefinitely.
    fn read(
        &mut self,
        limit: Option<time::Duration>,
    ) -> Result<call::Input, failure::CallerFailure>;
    /// Charges the caller's messages to this customer from now on.
    fn set_owner(&mut self, owner: intake::Owner);
    /// Socket of the connection, so that another thread can shut it down.
    fn socket(&self) -> sync::Arc<net::TcpStream>;
    /// Tells the caller that the session is open.
    fn accept(&mut self) -> Result<(), failure::CallerFailure>;
    /// Rejects the session with a refusal.
    fn reject(&mut self, refusal: &Refusal) -> Result<(), failure::CallerFailure>;
    /// Forwards the complete reply of an instance, unchanged.
    fn forward(&mut self, reply: &reply::Reply) -> Result<(), failure::CallerFailure>;
    /// Reports success of a statement that needs no instance.
    fn complete(&mut self, state: reply::TransactionState) -> Result<(), failure::CallerFailure>;
    /// Answers a statement with an error.
    fn refuse(
        &mut self,
        refusal: &Refusal,
        state: reply::TransactionState,
    ) -> Result<(), failure::CallerFailure>;
}

/// Connection to an instance.
pub trait Link: Send {
    /// Whether the connection can run a statement now.
    fn is_usable(&self) -> bool;
    /// Whether the connection is outside a transaction and awaits no reply.
    fn is_idle(&self) -> bool;
    /// Cost of changing the connection's session variables to `values`; 0 means that
    /// the variables are equal.
    fn distance(&self, values: &call::SessionValues) -> usize;
    /// Sets the connection's session variables to `values`, and unsets all others.
    fn set_values(
        &mut self,
        values: &call::SessionValues,
        limit: time::Duration,
    ) -> Result<(), failure::LinkFailure>;
    /// Rolls back the open transaction.
    fn rollback(&mut self, limit: time::Duration) -> Result<(), failure::LinkFailure>;
    /// Runs a statement. With a floor, a replica runs the statement only after it has
    /// applied that position. After `LinkFailure::TimedOut` the caller of this method
    /// may call `await_reply`.
    fn run(
        &mut self,
        run: &call::Execution<'_>,
        floor: Option<position::Position>,
        limit: time::Duration,
    ) -> Result<reply::Reply, failure::LinkFailure>;
    /// Continues to wait for the reply to a statement that timed out.
    fn await_reply(&mut self, limit: time::Duration) -> Result<reply::Reply, failure::LinkFailure>;
    /// Requests the status of the instance.
    fn status(&mut self, limit: time::Duration)
    -> Result<reply::StatusReply, failure::LinkFailure>;
    /// Asks a replica to stop receiving from primaries below the term.
    fn fence(
        &mut self,
        term: position::Term,
        limit: time::Duration,
    ) -> Result<reply::StatusReply, failure::LinkFailure>;
    /// Asks a primary of a lower term to become a replica.
    fn demote(
        &mut self,
        term: position::Term,
        limit: time::Duration,
    ) -> Result<reply::StatusReply, failure::LinkFailure>;
    /// Lets a fenced replica receive again.
    fn resume(&mut self, limit: time::Duration)
    -> Result<reply::StatusReply, failure::LinkFailure>;
    /// Socket of the connection, so that another thread can shut it down.
    fn socket(&self) -> sync::Arc<net::TcpStream>;
}

/// Endpoint and user of a connection to an instance.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address of the instance.
    pub address: net::SocketAddr,
    /// Local address to connect from.
    pub source: net::IpAddr,
    /// Group of the instance.
    pub group: String,
    /// Instance that is expected at the address.
    pub instance: String,
    /// Customer, or the user name of the daemon's own connections.
    pub user: String,
    /// Time limit for connecting, and for each step of the startup.
    pub timeout: time::Duration,
}

/// What a caller may take.
#[derive(Debug)]
pub struct CallerLimits {
    /// Largest message, in bytes.
    pub message_bytes: usize,
    /// Time in which a message, once begun, must be complete.
    pub receive_timeout: time::Duration,
    /// Time for which the caller may leave an answer unread.
    pub send_timeout: time::Duration,
    /// Account to which the caller's messages are charged.
    pub account: intake::Account,
}

/// Function that wraps an accepted socket of a caller.
pub type AcceptFn =
    fn(sync::Arc<net::TcpStream>, CallerLimits) -> Result<Box<dyn Caller>, failure::CallerFailure>;

/// Protocol of callers and instances.
pub struct Dialect {
    /// Name of the dialect in the settings.
    pub name: &'static str,
    /// Wraps an accepted socket of a caller.
    pub accept: AcceptFn,
    /// Opens a connection to an instance.
    pub connect: fn(&Target) -> Result<Box<dyn Link>, failure::LinkFailure>,
}

inventory::collect!(Dialect);

/// Finds a registered dialect by name.
pub fn find(name: &str) -> Option<&'static Dialect> {
    let mut dialects = inventory::iter::<Dialect>.into_iter();
    dialects.find(|dialect| dialect.name == name)
}
