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

struct InstancePool<C> {
    idle: Vec<(String, C)>,
    in_use: usize,
    limit: usize,
    /// Connections kept while no request uses them.
    idle_limit: usize,
}

impl<C> Default for InstancePool<C> {
    fn default() -> Self {
        Self {
            idle: Vec::new(),
            in_use: 0,
            limit: 0,
            idle_limit: 0,
        }
    }
}

/// Idle connections by instance and login, within the limits that the kernel
/// sets.
pub struct Pool<C> {
    instance_pools: sync::Mutex<collections::HashMap<Name, InstancePool<C>>>,
}

impl<C> Default for Pool<C> {
    fn default() -> Self {
        Self {
            instance_pools: sync::Mutex::default(),
        }
    }
}

impl<C: Pooled> Pool<C> {
    /// Takes the idle connection of a login that is nearest to what is needed,
    /// or makes room for a new one.
    pub fn take(&self, instance: &Name, login: &str, distance: &dyn Fn(&C) -> usize) -> Option<C> {
        let mut instance_pools = locks::lock(&self.instance_pools);
        let pool = instance_pools.entry(instance.clone()).or_default();
        pool.in_use += 1;
        loop {
            // Of equally near ones the last used is the least likely to be closed.
            let candidates = pool.idle.iter().enumerate().rev();
            let nearest = candidates
                .filter(|(_, (name, _))| name == login)
                .min_by_key(|(_, (_, connection))| distance(connection));
            let Some((index, _)) = nearest else {
                break;
            };
            let (_, connection) = pool.idle.remove(index);
            if connection.is_usable() {
                return Some(connection);
            }
        }
        if pool.in_use + pool.idle.len() > pool.limit && !pool.idle.is_empty() {
            pool.idle.remove(0);
        }
        None
    }

    /// Takes an idle connection of any login for a short call; none if a new one
    /// must be opened, and an error if there is no room for one.
    pub fn take_any(&self, instance: &Name) -> Result<Option<(String, C)>, Full> {
        let mut instance_pools = locks::lock(&self.instance_pools);
        let pool = instance_pools.entry(instance.clone()).or_default();
        while let Some((login, connection)) = pool.idle.pop() {
            if connection.is_usable() {
                pool.in_use += 1;
                return Ok(Some((login, connection)));
            }
        }
        if pool.in_use >= pool.limit.max(1) {
            return Err(Full);
        }
        pool.in_use += 1;
        Ok(None)
    }

    /// Puts a connection back, or closes it if it is over the limit.
    pub fn put(&self, instance: &Name, login: &str, connection: C) {
        let mut instance_pools = locks::lock(&self.instance_pools);
        let pool = instance_pools.entry(instance.clone()).or_default();
        pool.in_use = pool.in_use.saturating_sub(1);
        let fits = pool.in_use + pool.idle.len() < pool.limit && pool.idle.len() < pool.idle_limit;
        if connection.is_reusable() && fits {
            pool.idle.push((login.into(), connection));
        }
    }

    /// A connection taken before was closed.
    pub fn forget_used(&self, instance: &Name) {
        let mut instance_pools = locks::lock(&self.instance_pools);
        if let Some(pool) = instance_pools.get_mut(instance) {
            pool.in_use = pool.in_use.saturating_sub(1);
        }
    }

    /// Sets the limits of an instance and closes what is over them.
    pub fn resize(&self, instance: &Name, room: budget::Room) {
        let mut instance_pools = locks::lock(&self.instance_pools);
        let pool = instance_pools.entry(instance.clone()).or_default();
        pool.limit = usize::try_from(room.most).unwrap_or(usize::MAX);
        pool.idle_limit = usize::try_from(room.idle).unwrap_or(usize::MAX);
        let kept = pool.limit.saturating_sub(pool.in_use).min(pool.idle_limit);
        pool.idle.truncate(kept);
    }

    /// Closes the idle connections to an instance.
    pub fn close_idle(&self, instance: &Name) {
        let mut instance_pools = locks::lock(&self.instance_pools);
        if let Some(pool) = instance_pools.get_mut(instance) {
            pool.idle.clear();
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
pub struct Connector {
    source: net::IpAddr,
    credentials: config::Credentials,
}

impl Connector {
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
    pub fn login_for(&self, database: &str) -> wire::Login {
        wire::Login {
            user: self.credentials.user.clone(),
            password: self.credentials.password.clone(),
            database: database.into(),
        }
    }

    /// A usable connection, idle or new.
    pub fn take_or_connect(
        &self,
        pool: &Pool<wire::Server>,
        instance: &Name,
        address: net::SocketAddr,
        database: &str,
    ) -> Result<wire::Server, wire::Failure> {
        if let Some(server) = pool.take(instance, database, &|_| 0) {
            return Ok(server);
        }
        let connected = wire::Server::connect(self.endpoint(address), &self.login_for(database));
        if connected.is_err() {
            pool.forget_used(instance);
        }
        connected
    }
}
