//! Sockets of connections in use, through which others can break them.

use std::{collections, net, sync};

use config::Name;
use kernel::event;

use crate::locks;

type Sockets = collections::HashMap<event::RequestId, sync::Arc<net::TcpStream>>;

/// Sockets in use, by instance and request.
#[derive(Debug, Default)]
pub struct Used(sync::Mutex<collections::HashMap<Name, Sockets>>);

impl Used {
    /// The request uses the socket.
    pub fn insert(
        &self,
        instance: &Name,
        request: event::RequestId,
        socket: sync::Arc<net::TcpStream>,
    ) {
        let mut used = locks::lock(&self.0);
        let sockets = used.entry(instance.clone()).or_default();
        sockets.insert(request, socket);
    }

    /// The request no longer uses its socket.
    pub fn remove(&self, instance: &Name, request: event::RequestId) {
        if let Some(sockets) = locks::lock(&self.0).get_mut(instance) {
            sockets.remove(&request);
        }
    }

    /// Breaks all connections to an instance.
    pub fn sever(&self, instance: &Name) {
        if let Some(sockets) = locks::lock(&self.0).get(instance) {
            for socket in sockets.values() {
                let _ = socket.shutdown(net::Shutdown::Both);
            }
        }
    }

    /// Instances with connections in use.
    pub fn instances(&self) -> Vec<Name> {
        locks::lock(&self.0).keys().cloned().collect()
    }
}
