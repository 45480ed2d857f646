//! Sockets of the connections that requests use. Other threads shut a socket
//! down to break its connection.

use std::{collections, net, sync};

use config::Name;
use kernel::event;

use crate::locks;

/// Sockets of one instance by request.
type ByRequest = collections::HashMap<event::RequestId, sync::Arc<net::TcpStream>>;

/// Sockets in use by instance and request.
#[derive(Debug, Default)]
pub struct InUse(sync::Mutex<collections::HashMap<Name, ByRequest>>);

impl InUse {
    /// Registers the socket that a request uses.
    pub fn insert(
        &self,
        instance: &Name,
        request: event::RequestId,
        socket: sync::Arc<net::TcpStream>,
    ) {
        let mut by_instance = locks::lock(&self.0);
        let sockets = by_instance.entry(instance.clone()).or_default();
        sockets.insert(request, socket);
    }

    /// Removes the socket of a request.
    pub fn remove(&self, instance: &Name, request: event::RequestId) {
        if let Some(sockets) = locks::lock(&self.0).get_mut(instance) {
            sockets.remove(&request);
        }
    }

    /// Breaks the connections in use to an instance.
    pub fn disconnect(&self, instance: &Name) {
        if let Some(sockets) = locks::lock(&self.0).get(instance) {
            for socket in sockets.values() {
                let _ = socket.shutdown(net::Shutdown::Both);
            }
        }
    }

    /// Instances with connections in use.
    pub fn instances_in_use(&self) -> Vec<Name> {
        locks::lock(&self.0).keys().cloned().collect()
    }
}
