//! Trait objects of a dialect, and their registration.

use std::{net, sync, time};

use errors::Refusal;
use kernel::position;

use crate::{call, failure, reply};

/// A caller's side of a session.
pub trait Caller: Send {
    /// Reads the start of the session.
    fn read_startup(
        &mut self,
        limit: time::Duration,
    ) -> Result<call::Startup, failure::CallerFailure>;
    /// Reads the next input; waits forever without a limit.
    fn read(
        &mut self,
        limit: Option<time::Duration>,
    ) -> Result<call::Input, failure::CallerFailure>;
    /// Socket through which others may end the session.
    fn socket(&self) -> sync::Arc<net::TcpStream>;
    /// Lets the session begin.
    fn accept(&mut self) -> Result<(), failure::CallerFailure>;
    /// Turns the session away.
    fn reject(&mut self, refusal: &Refusal) -> Result<(), failure::CallerFailure>;
    /// Passes on the whole answer of an instance.
    fn forward(&mut self, reply: &reply::Reply) -> Result<(), failure::CallerFailure>;
    /// Answers a statement that needs no instance.
    fn complete(&mut self, state: reply::TransactionState) -> Result<(), failure::CallerFailure>;
    /// Answers a statement with a refusal.
    fn refuse(
        &mut self,
        refusal: &Refusal,
        state: reply::TransactionState,
    ) -> Result<(), failure::CallerFailure>;
}

/// A connection to an instance.
pub trait Link: Send {
    /// Whether it can take a statement now.
    fn is_usable(&self) -> bool;
    /// Whether it is between transactions with nothing outstanding.
    fn is_idle(&self) -> bool;
    /// How well its session values fit; 0 is best.
    fn distance(&self, values: &call::SessionValues) -> usize;
    /// Gives it the session values, and no others.
    fn set_values(
        &mut self,
        values: &call::SessionValues,
        limit: time::Duration,
    ) -> Result<(), failure::LinkFailure>;
    /// Rolls a transaction back.
    fn rollback(&mut self, limit: time::Duration) -> Result<(), failure::LinkFailure>;
    /// Runs a statement, on a replica above a floor. After `LinkFailure::TimedOut` the
    /// answer may still be waited for.
    fn run(
        &mut self,
        run: &call::Execution<'_>,
        floor: Option<position::Floor>,
        limit: time::Duration,
    ) -> Result<reply::Reply, failure::LinkFailure>;
    /// Waits on for the answer to a statement that was late.
    fn await_reply(&mut self, limit: time::Duration) -> Result<reply::Reply, failure::LinkFailure>;
    /// Asks for its status.
    fn status(&mut self, limit: time::Duration)
    -> Result<reply::StatusReply, failure::LinkFailure>;
    /// Asks a replica to stop receiving until the term.
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
    /// Lets a replica that was held receive again.
    fn resume(&mut self, limit: time::Duration)
    -> Result<reply::StatusReply, failure::LinkFailure>;
    /// Socket through which others may break it.
    fn socket(&self) -> sync::Arc<net::TcpStream>;
}

/// Where a connection goes, and for whom.
#[derive(Clone, Debug)]
pub struct Target {
    /// Address.
    pub address: net::SocketAddr,
    /// Source address.
    pub source: net::IpAddr,
    /// Group that the instance belongs to.
    pub group: String,
    /// Instance expected there.
    pub instance: String,
    /// Customer, or the product itself.
    pub user: String,
    /// Time limit.
    pub timeout: time::Duration,
}

/// A protocol of callers and instances.
pub struct Dialect {
    /// Name in the settings.
    pub name: &'static str,
    /// Takes a caller's socket.
    pub accept: fn(net::TcpStream, usize) -> Result<Box<dyn Caller>, failure::CallerFailure>,
    /// Connects to an instance.
    pub connect: fn(&Target) -> Result<Box<dyn Link>, failure::LinkFailure>,
}

inventory::collect!(Dialect);

/// Dialect of that name.
pub fn find(name: &str) -> Option<&'static Dialect> {
    let mut all = inventory::iter::<Dialect>.into_iter();
    all.find(|dialect| dialect.name == name)
}
