//! Trait objects of a dialect, and their registration.

use std::{net, sync, time};

use errors::Refusal;
use kernel::position;

use crate::{call, failure, reply};

/// A caller's side of a session.
pub trait Caller: Send {
    /// Reads the start of the session.
    fn greet(&mut self, limit: time::Duration) -> Result<call::Startup, failure::Failure>;
    /// Reads the next input; waits forever without a limit.
    fn read(&mut self, limit: Option<time::Duration>) -> Result<call::Input, failure::Failure>;
    /// Socket through which others may end the session.
    fn socket(&self) -> sync::Arc<net::TcpStream>;
    /// Lets the session begin.
    fn welcome(&mut self) -> Result<(), failure::Failure>;
    /// Turns the session away.
    fn reject(&mut self, refusal: &Refusal) -> Result<(), failure::Failure>;
    /// Passes on the whole answer of an instance.
    fn pass(&mut self, reply: &reply::Reply) -> Result<(), failure::Failure>;
    /// Answers a statement that needs no instance.
    fn complete(&mut self, state: reply::State) -> Result<(), failure::Failure>;
    /// Answers a statement with a refusal.
    fn refuse(&mut self, refusal: &Refusal, state: reply::State) -> Result<(), failure::Failure>;
}

/// A connection to an instance.
pub trait Link: Send {
    /// Whether it can take a statement now.
    fn is_usable(&self) -> bool;
    /// Whether it is between transactions with nothing outstanding.
    fn is_idle(&self) -> bool;
    /// How well its session values fit; 0 is best.
    fn distance(&self, values: &call::Values) -> usize;
    /// Gives it the session values, and no others.
    fn adapt(&mut self, values: &call::Values, limit: time::Duration) -> Result<(), failure::Lost>;
    /// Rolls a transaction back.
    fn rollback(&mut self, limit: time::Duration) -> Result<(), failure::Lost>;
    /// Runs a statement, on a replica above a floor. After `Lost::Late` the
    /// answer may still be waited for.
    fn run(
        &mut self,
        run: &call::Run<'_>,
        floor: Option<position::Position>,
        limit: time::Duration,
    ) -> Result<reply::Reply, failure::Lost>;
    /// Waits on for the answer to a statement that was late.
    fn wait(&mut self, limit: time::Duration) -> Result<reply::Reply, failure::Lost>;
    /// Asks for its status.
    fn status(&mut self, limit: time::Duration) -> Result<reply::Standing, failure::Lost>;
    /// Asks a replica to stop receiving until the term.
    fn hold(
        &mut self,
        term: position::Term,
        limit: time::Duration,
    ) -> Result<reply::Standing, failure::Lost>;
    /// Asks a primary of a lower term to become a replica.
    fn depose(
        &mut self,
        term: position::Term,
        limit: time::Duration,
    ) -> Result<reply::Standing, failure::Lost>;
    /// Lets a replica that was held receive again.
    fn resume(&mut self, limit: time::Duration) -> Result<reply::Standing, failure::Lost>;
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
    pub limit: time::Duration,
}

/// A protocol of callers and instances.
pub struct Dialect {
    /// Name in the settings.
    pub name: &'static str,
    /// Takes a caller's socket.
    pub accept: fn(net::TcpStream, usize) -> Result<Box<dyn Caller>, failure::Failure>,
    /// Connects to an instance.
    pub connect: fn(&Target) -> Result<Box<dyn Link>, failure::Lost>,
}

inventory::collect!(Dialect);

/// Dialect of that name.
pub fn find(name: &str) -> Option<&'static Dialect> {
    let mut all = inventory::iter::<Dialect>.into_iter();
    all.find(|dialect| dialect.name == name)
}
