//! The control thread: server for peers, and one queue for each of them.

use std::{collections, net, rc, sync, thread};

use async_executor::LocalExecutor;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use config::Name;
use futures_lite::io;
use kernel::message;

use crate::{codec, failure, link, peer_capnp as schema};

/// Messages that wait for one peer.
const QUEUE: usize = 256;

/// Takes in the messages of peers.
pub type MessageHandler = sync::Arc<dyn Fn(Name, message::Message) + Send + Sync>;

struct Letter {
    to: Name,
    address: net::SocketAddr,
    message: message::Message,
}

/// Sends messages from any thread.
#[derive(Clone)]
pub struct Handle {
    letters: async_channel::Sender<Letter>,
}

impl Handle {
    /// Sends without waiting; the message may be lost.
    pub fn send(&self, to: Name, address: net::SocketAddr, message: message::Message) {
        let letter = Letter {
            to,
            address,
            message,
        };
        let _ = self.letters.try_send(letter);
    }

    /// Ends the control thread.
    pub fn close(&self) {
        self.letters.close();
    }
}

struct Server {
    inbox: MessageHandler,
}

impl schema::peer::Server for Server {
    async fn deliver(
        self: rc::Rc<Self>,
        params: schema::peer::DeliverParams,
        _: schema::peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let sender = params.get_sender()?.to_str()?;
        let unreadable = |_| capnp::Error::failed("a message cannot be read".into());
        let sender = Name::try_from(sender)
            .map_err(|_| failure::Failure::Malformed)
            .map_err(unreadable)?;
        let message = codec::read(params.get_message()?).map_err(unreadable)?;
        (self.inbox)(sender, message);
        Ok(())
    }
}

/// Starts the control thread on a listener.
pub fn start(
    listener: net::TcpListener,
    vm: Name,
    source: net::IpAddr,
    inbox: MessageHandler,
) -> Result<(Handle, thread::JoinHandle<()>), failure::Failure> {
    let listener = async_io::Async::new(listener)?;
    let (letters, queue) = async_channel::bounded(QUEUE * 16);
    let sender = link::Sender { vm, source };
    let run = move || {
        let executor = rc::Rc::new(LocalExecutor::new());
        let accepting = accept(executor.clone(), listener, inbox);
        executor.spawn(accepting).detach();
        let sorting = sort(executor.clone(), sender, queue);
        async_io::block_on(executor.run(sorting));
    };
    let thread = thread::Builder::new().name("peers".into()).spawn(run)?;
    Ok((Handle { letters }, thread))
}

async fn accept(
    executor: rc::Rc<LocalExecutor<'static>>,
    listener: async_io::Async<net::TcpListener>,
    inbox: MessageHandler,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.get_ref().set_nodelay(true);
        let (reader, writer) = io::split(stream);
        let side = rpc_twoparty_capnp::Side::Server;
        let options = capnp::message::ReaderOptions::new();
        let network = twoparty::VatNetwork::new(reader, writer, side, options);
        let server = Server {
            inbox: inbox.clone(),
        };
        let client: schema::peer::Client = capnp_rpc::new_client(server);
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        let serving = async move {
            let _ = system.await;
        };
        executor.spawn(serving).detach();
    }
}

/// Puts every message into the queue of its peer.
async fn sort(
    executor: rc::Rc<LocalExecutor<'static>>,
    sender: link::Sender,
    letters: async_channel::Receiver<Letter>,
) {
    let mut queues = collections::HashMap::new();
    while let Ok(letter) = letters.recv().await {
        let (address, queue) = queues
            .entry(letter.to)
            .or_insert_with(|| open(&executor, &sender, letter.address));
        if *address != letter.address {
            (*address, *queue) = open(&executor, &sender, letter.address);
        }
        let _ = queue.try_send(letter.message);
    }
}

fn open(
    executor: &rc::Rc<LocalExecutor<'static>>,
    sender: &link::Sender,
    address: net::SocketAddr,
) -> (net::SocketAddr, async_channel::Sender<message::Message>) {
    let (queue, messages) = async_channel::bounded(QUEUE);
    let delivering = link::deliver(executor.clone(), sender.clone(), address, messages);
    executor.spawn(delivering).detach();
    (address, queue)
}
