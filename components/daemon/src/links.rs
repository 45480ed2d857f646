//! Connections to instances over a dialect.

use std::{net, time};

use config::Name;
use kernel::{budget, event};

use crate::{monitor, pool, used};

/// Name under which the daemon itself connects.
const OWN_USER: &str = "ebonygauge";

/// Connections that wait, and those in use.
pub struct Links {
    dialect: &'static dialect::Dialect,
    source: net::IpAddr,
    pool: pool::Pool<Box<dyn dialect::Link>>,
    used: used::Used,
}

/// Why an instance could not be asked.
#[derive(Clone, Copy, Debug, derive_more::Display)]
pub enum Unasked {
    /// All connections that this VM may hold are in use.
    #[display("all connections are in use")]
    Full,
    /// The connection was lost.
    #[display("{_0}")]
    Lost(dialect::Lost),
}

/// For whom a connection is needed.
pub struct Purpose<'a> {
    /// Group of the instance.
    pub group: &'a Name,
    /// Instance.
    pub instance: &'a Name,
    /// Its address.
    pub address: net::SocketAddr,
    /// Customer; none on open routes.
    pub customer: Option<&'a Name>,
    /// Session values.
    pub values: &'a dialect::Values,
}

impl Purpose<'_> {
    fn user(&self) -> &str {
        self.customer.map_or("-", |customer| customer)
    }
}

impl Links {
    /// No connections yet.
    pub fn new(dialect: &'static dialect::Dialect, source: net::IpAddr) -> Self {
        Self {
            dialect,
            source,
            pool: pool::Pool::default(),
            used: used::Used::default(),
        }
    }

    /// Dialect of the connections.
    pub fn dialect(&self) -> &'static dialect::Dialect {
        self.dialect
    }

    /// A connection with the session's values, idle or new, that others can
    /// break while it is in use.
    pub fn take(
        &self,
        purpose: &Purpose<'_>,
        request: event::RequestId,
        limit: time::Duration,
    ) -> Result<Box<dyn dialect::Link>, dialect::Lost> {
        let idle = self.pool.take(purpose.instance, purpose.user(), &|link| {
            link.distance(purpose.values)
        });
        let link = match idle {
            Some(link) => Ok(link),
            None => self.connect(purpose, purpose.user(), limit),
        };
        let adapted = link.and_then(|mut link| {
            let socket = link.socket();
            self.used.insert(purpose.instance, request, socket);
            link.adapt(purpose.values, limit).map(|()| link)
        });
        if adapted.is_err() {
            self.drop_used(purpose.instance, request);
        }
        adapted
    }

    fn connect(
        &self,
        purpose: &Purpose<'_>,
        user: &str,
        limit: time::Duration,
    ) -> Result<Box<dyn dialect::Link>, dialect::Lost> {
        (self.dialect.connect)(&dialect::Target {
            address: purpose.address,
            source: self.source,
            group: purpose.group.to_string(),
            instance: purpose.instance.to_string(),
            user: user.into(),
            limit: limit.min(pool::CONNECT_TIMEOUT),
        })
    }

    /// Puts a connection back after its transaction.
    pub fn put(
        &self,
        instance: &Name,
        customer: Option<&Name>,
        request: event::RequestId,
        link: Box<dyn dialect::Link>,
    ) {
        self.used.remove(instance, request);
        let user = customer.map_or("-", |customer| customer);
        self.pool.put(instance, user, link);
    }

    /// A connection was closed.
    pub fn drop_used(&self, instance: &Name, request: event::RequestId) {
        self.used.remove(instance, request);
        self.pool.drop_used(instance);
    }

    /// Breaks all connections to an instance.
    pub fn sever(&self, instance: &Name) {
        self.used.sever(instance);
        self.pool.clear(instance);
    }

    /// Instances with connections in use.
    pub fn instances(&self) -> Vec<Name> {
        self.used.instances()
    }

    /// Sets the number of connections to an instance.
    pub fn resize(&self, instance: &Name, room: budget::ConnectionLimits) {
        self.pool.resize(instance, room);
    }

    /// Closes the idle connections to an instance.
    pub fn clear(&self, instance: &Name) {
        self.pool.clear(instance);
    }

    /// Makes a call to an instance, over a connection of the daemon's own.
    pub fn ask(
        &self,
        group: &Name,
        instance: &Name,
        address: net::SocketAddr,
        limit: time::Duration,
        call: monitor::Call,
    ) -> Result<dialect::Standing, Unasked> {
        let values = dialect::Values::new();
        let purpose = Purpose {
            group,
            instance,
            address,
            customer: None,
            values: &values,
        };
        // A status can be asked for over a connection of any customer.
        let (login, link) = match self.pool.take_any(instance) {
            Err(pool::Full) => return Err(Unasked::Full),
            Ok(Some((login, link))) => (login, Ok(link)),
            Ok(None) => (
                OWN_USER.to_string(),
                self.connect(&purpose, OWN_USER, limit),
            ),
        };
        let asked = link.and_then(|mut link| {
            let standing = match call {
                monitor::Call::Poll | monitor::Call::Promote(_) => link.status(limit),
                monitor::Call::Fence(term) => link.hold(term, limit),
                monitor::Call::Depose(term) => link.depose(term, limit),
                monitor::Call::Resume => link.resume(limit),
            };
            standing.map(|standing| (standing, link))
        });
        match asked {
            Ok((standing, link)) => {
                self.pool.put(instance, &login, link);
                Ok(standing)
            }
            Err(lost) => {
                self.pool.drop_used(instance);
                Err(Unasked::Lost(lost))
            }
        }
    }
}
