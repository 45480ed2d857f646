//! Connections to instances that wait for their next transaction.

use std::{collections, net, sync, time};

use config::Name;
use kernel::budget;

use crate::locks;

/// Time to open a connection.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

/// A connection that can be kept.
pub trait Pooled {
    /// Whether it can take a transaction now.
    fn is_usable(&self) -> bool;
    /// Whether it is worth keeping.
    fn is_reusable(&self) -> bool;
}

/// All connections to an instance are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

struct Shelf<C> {
    idle: Vec<(String, C)>,
    used: usize,
    limit: usize,
    /// Connections kept while no request uses them.
    keep: usize,
}

impl<C> Default for Shelf<C> {
    fn default() -> Self {
        Self {
            idle: Vec::new(),
            used: 0,
            limit: 0,
            keep: 0,
        }
    }
}

/// Idle connections by instance and login, within the limits that the kernel
/// sets.
pub struct Pool<C> {
    shelves: sync::Mutex<collections::HashMap<Name, Shelf<C>>>,
}

impl<C> Default for Pool<C> {
    fn default() -> Self {
        Self {
            shelves: sync::Mutex::default(),
        }
    }
}

impl<C: Pooled> Pool<C> {
    /// Takes the idle connection of a login that is nearest to what is needed,
    /// or makes room for a new one.
    pub fn take(&self, instance: &Name, login: &str, distance: &dyn Fn(&C) -> usize) -> Option<C> {
        let mut shelves = locks::lock(&self.shelves);
        let shelf = shelves.entry(instance.clone()).or_default();
        shelf.used += 1;
        loop {
            // Of equally near ones the last used is the least likely to be closed.
            let fitting = shelf.idle.iter().enumerate().rev();
            let nearest = fitting
                .filter(|(_, (name, _))| name == login)
                .min_by_key(|(_, (_, connection))| distance(connection));
            let Some((index, _)) = nearest else {
                break;
            };
            let (_, connection) = shelf.idle.remove(index);
            if connection.is_usable() {
                return Some(connection);
            }
        }
        if shelf.used + shelf.idle.len() > shelf.limit && !shelf.idle.is_empty() {
            shelf.idle.remove(0);
        }
        None
    }

    /// Takes an idle connection of any login for a short call; none if a new one
    /// must be opened, and an error if there is no room for one.
    pub fn take_any(&self, instance: &Name) -> Result<Option<(String, C)>, Full> {
        let mut shelves = locks::lock(&self.shelves);
        let shelf = shelves.entry(instance.clone()).or_default();
        while let Some((login, connection)) = shelf.idle.pop() {
            if connection.is_usable() {
                shelf.used += 1;
                return Ok(Some((login, connection)));
            }
        }
        if shelf.used >= shelf.limit.max(1) {
            return Err(Full);
        }
        shelf.used += 1;
        Ok(None)
    }

    /// Puts a connection back, or closes it if it is over the limit.
    pub fn put(&self, instance: &Name, login: &str, connection: C) {
        let mut shelves = locks::lock(&self.shelves);
        let shelf = shelves.entry(instance.clone()).or_default();
        shelf.used = shelf.used.saturating_sub(1);
        let fits = shelf.used + shelf.idle.len() < shelf.limit && shelf.idle.len() < shelf.keep;
        if connection.is_reusable() && fits {
            shelf.idle.push((login.into(), connection));
        }
    }

    /// A connection taken before was closed.
    pub fn drop_used(&self, instance: &Name) {
        let mut shelves = locks::lock(&self.shelves);
        if let Some(shelf) = shelves.get_mut(instance) {
            shelf.used = shelf.used.saturating_sub(1);
        }
    }

    /// Sets the limits of an instance and closes what is over them.
    pub fn resize(&self, instance: &Name, room: budget::ConnectionLimits) {
        let mut shelves = locks::lock(&self.shelves);
        let shelf = shelves.entry(instance.clone()).or_default();
        shelf.limit = usize::try_from(room.max_open).unwrap_or(usize::MAX);
        shelf.keep = usize::try_from(room.max_idle).unwrap_or(usize::MAX);
        let kept = shelf.limit.saturating_sub(shelf.used).min(shelf.keep);
        shelf.idle.truncate(kept);
    }

    /// Closes the idle connections to an instance.
    pub fn clear(&self, instance: &Name) {
        let mut shelves = locks::lock(&self.shelves);
        if let Some(shelf) = shelves.get_mut(instance) {
            shelf.idle.clear();
        }
    }
}

impl Pooled for wire::Server {
    fn is_usable(&self) -> bool {
        wire::Server::is_usable(self)
    }

    fn is_reusable(&self) -> bool {
        wire::Server::is_reusable(self)
    }
}

impl Pooled for Box<dyn dialect::Link> {
    fn is_usable(&self) -> bool {
        (**self).is_usable()
    }

    fn is_reusable(&self) -> bool {
        self.is_idle()
    }
}

/// How the daemon logs in at the databases.
pub struct Login {
    source: net::IpAddr,
    credentials: config::Credentials,
}

impl Login {
    /// Logs in from the source address.
    pub fn new(source: net::IpAddr, credentials: config::Credentials) -> Self {
        Self {
            source,
            credentials,
        }
    }

    /// Endpoint of an address.
    pub fn endpoint(&self, address: net::SocketAddr) -> wire::Endpoint {
        wire::Endpoint {
            address,
            source: self.source,
            timeout: CONNECT_TIMEOUT,
        }
    }

    /// Login for a database.
    pub fn at(&self, database: &str) -> wire::Login {
        wire::Login {
            user: self.credentials.user.clone(),
            password: self.credentials.password.clone(),
            database: database.into(),
        }
    }

    /// A usable connection, idle or new.
    pub fn connect(
        &self,
        pool: &Pool<wire::Server>,
        instance: &Name,
        address: net::SocketAddr,
        database: &str,
    ) -> Result<wire::Server, wire::Failure> {
        if let Some(server) = pool.take(instance, database, &|_| 0) {
            return Ok(server);
        }
        let connected = wire::Server::connect(self.endpoint(address), &self.at(database));
        if connected.is_err() {
            pool.drop_used(instance);
        }
        connected
    }
}
