//! Two nodes on loopback, of which one sends to the other.

use std::{net, sync, sync::mpsc, time};

use config::Name;
use kernel::message;

/// Time for a message to arrive.
const LIMIT: time::Duration = time::Duration::from_secs(20);

pub fn name(raw: &str) -> Name {
    Name::try_from(raw).expect("a plain name")
}

/// The nodes `near` and `far`.
pub struct Pair {
    /// Where `near` listens.
    pub address: net::SocketAddr,
    _near: peer::Handle,
    far: peer::Handle,
    received: mpsc::Receiver<(Name, message::Message)>,
}

impl Pair {
    /// Starts both.
    pub fn start() -> Self {
        let (sender, received) = mpsc::channel();
        let inbox: peer::MessageHandler = sync::Arc::new(move |from, message| {
            sender.send((from, message)).expect("a test that waits");
        });
        let silent: peer::MessageHandler = sync::Arc::new(|_, _| {});
        let listen = || net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        let loopback = net::Ipv4Addr::LOCALHOST.into();
        let listener = listen();
        let address = listener.local_addr().expect("an address");
        let (near, _) = peer::start(listener, name("near"), loopback, inbox).expect("it starts");
        let (far, _) = peer::start(listen(), name("far"), loopback, silent).expect("it starts");
        Self {
            address,
            _near: near,
            far,
            received,
        }
    }

    /// Sends a message from `far` to `near`; returns what arrives, and from whom.
    pub fn pass(&self, message: message::Message) -> (Name, message::Message) {
        self.far.send(name("near"), self.address, message);
        self.received.recv_timeout(LIMIT).expect("the message")
    }
}
