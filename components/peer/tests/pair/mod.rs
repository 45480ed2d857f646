//! Two nodes on loopback; one sends messages to the other.

use std::{net, sync, sync::mpsc, time};

use config::Name;
use kernel::message;

/// Time limit for the arrival of a message.
const RECEIVE_TIMEOUT: time::Duration = time::Duration::from_secs(20);

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("a valid name")
}

/// The nodes `near` and `far`.
pub struct Pair {
    /// Address on which `near` listens.
    pub address: net::SocketAddr,
    _near: peer::Handle,
    far: peer::Handle,
    received: mpsc::Receiver<(Name, message::Message)>,
}

impl Pair {
    /// Starts both nodes.
    pub fn start() -> Self {
        let (arrivals, received) = mpsc::channel();
        let handler: peer::MessageHandler = sync::Arc::new(move |from, message| {
            arrivals.send((from, message)).expect("a running test");
        });
        let ignore: peer::MessageHandler = sync::Arc::new(|_, _| {});
        let listen = || net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let loopback = net::Ipv4Addr::LOCALHOST.into();
        let listener = listen();
        let address = listener.local_addr().expect("an address");
        let (near, _) =
            peer::start(listener, name("near"), loopback, handler).expect("a running node");
        let (far, _) =
            peer::start(listen(), name("far"), loopback, ignore).expect("a running node");
        Self {
            address,
            _near: near,
            far,
            received,
        }
    }

    /// Sends a message from `far` to `near`; returns the message that arrives and the name
    /// of its sender.
    pub fn send(&self, message: message::Message) -> (Name, message::Message) {
        self.far.send(name("near"), self.address, message);
        self.received
            .recv_timeout(RECEIVE_TIMEOUT)
            .expect("a message before the timeout")
    }
}
