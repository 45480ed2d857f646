//! Connections of callers whose startup is not complete.

use std::{collections, net, sync};

use crate::locks;

/// Connections above the limit of sessions that may start, to be told that the daemon is
/// full.
const SPARE_CONNECTIONS: usize = 16;

#[derive(Default)]
struct State {
    order: intake::Startups,
    sockets: collections::HashMap<u64, sync::Arc<net::TcpStream>>,
    next: u64,
}

/// Startups of a daemon.
#[derive(Default)]
pub struct Startups(sync::Mutex<State>);

impl Startups {
    /// Admits a connection to a daemon with this number of sessions, of at most `limit`.
    /// Closes the oldest startup at the limit; none if the connection itself must close.
    pub fn admit(
        self: &sync::Arc<Self>,
        socket: &sync::Arc<net::TcpStream>,
        sessions: usize,
        limit: usize,
        metrics: &telemetry::Metrics,
    ) -> Option<Startup> {
        let mut state = locks::lock(&self.0);
        let number = state.next;
        state.next += 1;
        let admission = state
            .order
            .admit(number, sessions, limit, SPARE_CONNECTIONS);
        if admission != intake::Admission::Start {
            metrics.count_misuse("startup");
            log::info!(target: "session", sessions; "a connection was closed before its startup");
        }
        match admission {
            intake::Admission::Start => {}
            intake::Admission::Replace(oldest) => {
                if let Some(socket) = state.sockets.remove(&oldest) {
                    // Fails only if the caller has closed the connection already.
                    let _ = socket.shutdown(net::Shutdown::Both);
                }
            }
            intake::Admission::Close => return None,
        }
        state.sockets.insert(number, socket.clone());
        drop(state);
        Some(Startup {
            startups: self.clone(),
            number,
        })
    }
}

/// Startup of one connection; ends when it is dropped.
pub struct Startup {
    startups: sync::Arc<Startups>,
    number: u64,
}

impl Drop for Startup {
    fn drop(&mut self) {
        let mut state = locks::lock(&self.startups.0);
        state.order.remove(self.number);
        state.sockets.remove(&self.number);
    }
}
