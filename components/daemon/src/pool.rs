//! Pool of idle connections to instances.

use std::{collections, net, sync, time};

use config::Name;
use kernel::budget;

use crate::locks;

/// Time limit for opening a connection.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

/// Connection that a pool can keep.
pub trait Pooled {
    /// Whether the connection can run a transaction now.
    fn is_usable(&self) -> bool;
    /// Whether the connection may go back to the pool.
    fn is_reusable(&self) -> bool;
}

/// All connections that this VM may hold to an instance are in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

/// Idle connections to one instance, each with its login, and the limits.
struct InstancePool<C> {
    idle: Vec<(String, C)>,
    in_use: usize,
    limit: usize,
    /// Largest number of idle connections that the pool keeps.
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
/// sets. The login is a database name, or the user name in a dialect.
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
    /// Takes the idle connection of a login with the smallest distance. If there is
    /// none, counts a new connection as in use; the caller opens it. Closes the
    /// oldest idle connection if the new one would exceed the limit.
    pub fn take(&self, instance: &Name, login: &str, distance: &dyn Fn(&C) -> usize) -> Option<C> {
        let mut instance_pools = locks::lock(&self.instance_pools);
        let pool = instance_pools.entry(instance.clone()).or_default();
        pool.in_use += 1;
        loop {
            // At equal distance, takes the connection used last: that one is the least
            // likely to have been closed by the instance.
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

    /// Takes an idle connection of any login for a short call. Returns none if the
    /// caller must open a new connection, and an error if the limit allows no
    /// further one.
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

    /// Returns a connection to the pool, or closes it if it is not reusable or would
    /// exceed a limit.
    pub fn put(&self, instance: &Name, login: &str, connection: C) {
        let mut instance_pools = locks::lock(&self.instance_pools);
        let pool = instance_pools.entry(instance.clone()).or_default();
        pool.in_use = pool.in_use.saturating_sub(1);
        let fits = pool.in_use + pool.idle.len() < pool.limit && pool.idle.len() < pool.idle_limit;
        if connection.is_reusable() && fits {
            pool.idle.push((login.into(), connection));
        }
    }

    /// Forgets a connection that was taken and then closed.
    pub fn forget_used(&self, instance: &Name) {
        let mut instance_pools = locks::lock(&self.instance_pools);
        if let Some(pool) = instance_pools.get_mut(instance) {
            pool.in_use = pool.in_use.saturating_sub(1);
        }
    }

    /// Sets the limits of an instance, and closes idle connections above them.
    pub fn resize(&self, instance: &Name, limits: budget::ConnectionLimits) {
        let mut instance_pools = locks::lock(&self.instance_pools);
        let pool = instance_pools.entry(instance.clone()).or_default();
        pool.limit = usize::try_from(limits.max_open).unwrap_or(usize::MAX);
        pool.idle_limit = usize::try_from(limits.max_idle).unwrap_or(usize::MAX);
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

impl Pooled for wire::ServerConnection {
    fn is_usable(&self) -> bool {
        wire::ServerConnection::is_usable(self)
    }

    fn is_reusable(&self) -> bool {
        wire::ServerConnection::is_reusable(self)
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

/// Opens connections to instances with the daemon's credentials.
pub struct Connector {
    source: net::IpAddr,
    credentials: config::Credentials,
}

impl Connector {
    /// Creates a connector that connects from the source address.
    pub fn new(source: net::IpAddr, credentials: config::Credentials) -> Self {
        Self {
            source,
            credentials,
        }
    }

    /// Returns the endpoint for an address.
    pub fn endpoint(&self, address: net::SocketAddr) -> wire::Endpoint {
        wire::Endpoint {
            address,
            source: self.source,
            timeout: CONNECT_TIMEOUT,
        }
    }

    /// Returns the login for a database.
    pub fn login_for(&self, database: &str) -> wire::Login {
        wire::Login {
            user: self.credentials.user.clone(),
            password: self.credentials.password.clone(),
            database: database.into(),
        }
    }

    /// Takes an idle connection from the pool, or opens a new one.
    pub fn take_or_connect(
        &self,
        pool: &Pool<wire::ServerConnection>,
        instance: &Name,
        address: net::SocketAddr,
        database: &str,
    ) -> Result<wire::ServerConnection, wire::Failure> {
        if let Some(server) = pool.take(instance, database, &|_| 0) {
            return Ok(server);
        }
        let connected =
            wire::ServerConnection::connect(self.endpoint(address), &self.login_for(database));
        if connected.is_err() {
            pool.forget_used(instance);
        }
        connected
    }
}
