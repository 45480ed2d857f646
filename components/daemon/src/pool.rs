//! Connections to databases that wait for their next transaction.

use std::{collections, net, sync, time};

use config::Name;

use crate::shell;

/// Time to open a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

#[derive(Default)]
struct Shelf {
    idle: Vec<(String, wire::Server)>,
    used: usize,
    limit: usize,
}

/// Idle connections by instance, within the limits that the kernel sets.
pub struct Pool {
    shelves: sync::Mutex<collections::HashMap<Name, Shelf>>,
    source: net::IpAddr,
    credentials: config::Credentials,
}

impl Pool {
    /// An empty pool that connects from the source address.
    pub fn new(source: net::IpAddr, credentials: config::Credentials) -> Self {
        Self {
            shelves: sync::Mutex::default(),
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
    pub fn login(&self, database: &str) -> wire::Login {
        wire::Login {
            user: self.credentials.user.clone(),
            password: self.credentials.password.clone(),
            database: database.into(),
        }
    }

    /// A usable connection, idle or new.
    pub fn take(
        &self,
        instance: &Name,
        address: net::SocketAddr,
        database: &str,
    ) -> Result<wire::Server, wire::Failure> {
        if let Some(server) = self.take_idle(instance, database) {
            return Ok(server);
        }
        let connected = wire::Server::connect(self.endpoint(address), &self.login(database));
        if connected.is_err() {
            self.drop_used(instance);
        }
        connected
    }

    /// Takes an idle connection, or makes room for a new one.
    fn take_idle(&self, instance: &Name, database: &str) -> Option<wire::Server> {
        let mut shelves = shell::lock(&self.shelves);
        let shelf = shelves.entry(instance.clone()).or_default();
        shelf.used += 1;
        while let Some(index) = shelf.idle.iter().rposition(|(name, _)| name == database) {
            let (_, server) = shelf.idle.swap_remove(index);
            if server.is_usable() {
                return Some(server);
            }
        }
        if shelf.used + shelf.idle.len() > shelf.limit {
            shelf.idle.pop();
        }
        None
    }

    /// Puts a connection back, or closes it if it is over the limit.
    pub fn put(&self, instance: &Name, database: &str, server: wire::Server) {
        let mut shelves = shell::lock(&self.shelves);
        let shelf = shelves.entry(instance.clone()).or_default();
        shelf.used = shelf.used.saturating_sub(1);
        if server.is_reusable() && shelf.used + shelf.idle.len() < shelf.limit {
            shelf.idle.push((database.into(), server));
        }
    }

    /// A connection taken before was closed.
    pub fn drop_used(&self, instance: &Name) {
        let mut shelves = shell::lock(&self.shelves);
        if let Some(shelf) = shelves.get_mut(instance) {
            shelf.used = shelf.used.saturating_sub(1);
        }
    }

    /// Sets the limit of an instance and closes what is over it.
    pub fn resize(&self, instance: &Name, limit: u32) {
        let mut shelves = shell::lock(&self.shelves);
        let shelf = shelves.entry(instance.clone()).or_default();
        shelf.limit = usize::try_from(limit).unwrap_or(usize::MAX);
        let room = shelf.limit.saturating_sub(shelf.used);
        shelf.idle.truncate(room);
    }

    /// Closes the idle connections to an instance.
    pub fn clear(&self, instance: &Name) {
        let mut shelves = shell::lock(&self.shelves);
        if let Some(shelf) = shelves.get_mut(instance) {
            shelf.idle.clear();
        }
    }
}
