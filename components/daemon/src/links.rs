//! Pooled connections to instances that speak a dialect.

use std::{net, time};

use config::Name;
use kernel::{budget, event};

use crate::{monitor, pool, sockets};

/// User name of the daemon's own connections.
const DAEMON_USER: &str = "ebonygauge";

/// Idle connections, and the sockets of connections in use.
pub struct Links {
    dialect: &'static dialect::Dialect,
    source: net::IpAddr,
    pool: pool::Pool<Box<dyn dialect::Link>>,
    used_sockets: sockets::InUse,
}

/// Reason why a call to an instance failed.
#[derive(Clone, Copy, Debug, derive_more::Display)]
pub enum CallFailure {
    /// All connections that this VM may hold are in use.
    #[display("all connections are in use")]
    Full,
    /// The call expired before it was sent.
    #[display("the call expired before it was sent")]
    Expired,
    /// The connection was lost.
    #[display("{_0}")]
    Lost(dialect::LinkFailure),
}

/// Requirements on a connection: where it goes, for whom, and its session values.
pub struct Spec<'a> {
    /// Group of the instance.
    pub group: &'a Name,
    /// Instance.
    pub instance: &'a Name,
    /// Address of the instance.
    pub address: net::SocketAddr,
    /// Customer of the session; none on open routes.
    pub customer: Option<&'a Name>,
    /// Session values that the connection must have.
    pub values: &'a dialect::SessionValues,
}

impl Spec<'_> {
    fn user(&self) -> &str {
        self.customer.map_or("-", |customer| customer)
    }
}

impl Links {
    /// Creates an empty pool.
    pub fn new(dialect: &'static dialect::Dialect, source: net::IpAddr) -> Self {
        Self {
            dialect,
            source,
            pool: pool::Pool::default(),
            used_sockets: sockets::InUse::default(),
        }
    }

    /// Dialect of the connections.
    pub fn dialect(&self) -> &'static dialect::Dialect {
        self.dialect
    }

    /// Takes an idle connection or opens a new one, gives it the session values,
    /// and registers its socket, so that `disconnect` can break the connection.
    pub fn take(
        &self,
        spec: &Spec<'_>,
        request: event::RequestId,
        limit: time::Duration,
    ) -> Result<Box<dyn dialect::Link>, dialect::LinkFailure> {
        let idle = self.pool.take(spec.instance, spec.user(), &|link| {
            link.distance(spec.values)
        });
        let link = match idle {
            Some(link) => Ok(link),
            None => self.connect(spec, spec.user(), limit),
        };
        let prepared = link.and_then(|mut link| {
            let socket = link.socket();
            self.used_sockets.insert(spec.instance, request, socket);
            link.set_values(spec.values, limit).map(|()| link)
        });
        if prepared.is_err() {
            self.forget_used(spec.instance, request);
        }
        prepared
    }

    fn connect(
        &self,
        spec: &Spec<'_>,
        user: &str,
        limit: time::Duration,
    ) -> Result<Box<dyn dialect::Link>, dialect::LinkFailure> {
        (self.dialect.connect)(&dialect::Target {
            address: spec.address,
            source: self.source,
            group: spec.group.to_string(),
            instance: spec.instance.to_string(),
            user: user.into(),
            timeout: limit.min(pool::CONNECT_TIMEOUT),
        })
    }

    /// Returns a connection to the pool after its transaction.
    pub fn put(
        &self,
        instance: &Name,
        customer: Option<&Name>,
        request: event::RequestId,
        link: Box<dyn dialect::Link>,
    ) {
        self.used_sockets.remove(instance, request);
        let user = customer.map_or("-", |customer| customer);
        self.pool.put(instance, user, link);
    }

    /// Forgets a connection that was taken and then closed.
    pub fn forget_used(&self, instance: &Name, request: event::RequestId) {
        self.used_sockets.remove(instance, request);
        self.pool.forget_used(instance);
    }

    /// Breaks the connections in use to an instance, and closes the idle ones.
    pub fn disconnect(&self, instance: &Name) {
        self.used_sockets.disconnect(instance);
        self.pool.close_idle(instance);
    }

    /// Instances with connections in use.
    pub fn instances_in_use(&self) -> Vec<Name> {
        self.used_sockets.instances_in_use()
    }

    /// Sets the connection limits of an instance.
    pub fn resize(&self, instance: &Name, limits: budget::ConnectionLimits) {
        self.pool.resize(instance, limits);
    }

    /// Closes the idle connections to an instance.
    pub fn close_idle(&self, instance: &Name) {
        self.pool.close_idle(instance);
    }

    /// Makes a call to an instance over any idle connection, or over a new one of
    /// the daemon itself, if the call is still valid once there is a connection. A call
    /// without an answer is dropped with its connection. If requests use all connections,
    /// a call that may use the reserve opens one that is closed after the call.
    pub fn call(
        &self,
        group: &Name,
        instance: &Name,
        address: net::SocketAddr,
        limit: time::Duration,
        call: monitor::Call,
        is_valid: &dyn Fn() -> bool,
    ) -> Result<dialect::StatusReply, CallFailure> {
        let values = dialect::SessionValues::new();
        let spec = Spec {
            group,
            instance,
            address,
            customer: None,
            values: &values,
        };
        // These calls need no session values, so a connection of any customer will do.
        let taken = self.pool.take_any(instance);
        let is_reserved = taken.is_err();
        let (login, link) = match taken {
            Err(pool::Full) if !call.may_use_reserve() => return Err(CallFailure::Full),
            Ok(Some((login, link))) => (login, Ok(link)),
            Ok(None) | Err(pool::Full) => (
                DAEMON_USER.to_string(),
                self.connect(&spec, DAEMON_USER, limit),
            ),
        };
        let give_back = |link| {
            if !is_reserved {
                self.pool.put(instance, &login, link);
            }
        };
        let link = match link {
            Ok(link) if !is_valid() => {
                give_back(link);
                return Err(CallFailure::Expired);
            }
            link => link,
        };
        let answered = link.and_then(|mut link| {
            let status_reply = match call {
                monitor::Call::Poll | monitor::Call::Check | monitor::Call::Promote(_) => {
                    link.status(limit)
                }
                monitor::Call::Fence(term, _) => link.fence(term, limit),
                monitor::Call::Demote(term, _) => link.demote(term, limit),
                monitor::Call::Resume(_) => link.resume(limit),
            };
            status_reply.map(|status_reply| (status_reply, link))
        });
        match answered {
            Ok((status_reply, link)) => {
                give_back(link);
                Ok(status_reply)
            }
            Err(lost) => {
                if !is_reserved {
                    self.pool.forget_used(instance);
                }
                Err(CallFailure::Lost(lost))
            }
        }
    }
}
