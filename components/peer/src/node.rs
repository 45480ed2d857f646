//! The thread for peer connections: a server for incoming messages, and a queue and an
//! outgoing connection for each peer.

use std::{collections, net, rc, sync, thread};

use async_executor::LocalExecutor;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use config::Name;
use futures_lite::io;
use kernel::message;

use crate::{codec, failure, link, peer_capnp as schema};

/// Capacity of the queue of one peer, in messages.
const QUEUE_LENGTH: usize = 256;

/// Handles a message from the peer of the given name.
pub type MessageHandler = sync::Arc<dyn Fn(Name, message::Message) + Send + Sync>;

struct Outgoing {
    to: Name,
    address: net::SocketAddr,
    message: message::Message,
}

/// Sends messages to peers from any thread.
#[derive(Clone)]
pub struct Handle {
    outgoing: async_channel::Sender<Outgoing>,
}

impl Handle {
    /// Sends a message without blocking; the message may be lost.
    pub fn send(&self, to: Name, address: net::SocketAddr, message: message::Message) {
        let item = Outgoing {
            to,
            address,
            message,
        };
        let _ = self.outgoing.try_send(item);
    }

    /// Stops the thread for peer connections.
    pub fn close(&self) {
        self.outgoing.close();
    }
}

struct Server {
    handler: MessageHandler,
}

impl schema::peer::Server for Server {
    async fn deliver(
        self: rc::Rc<Self>,
        params: schema::peer::DeliverParams,
        _: schema::peer::DeliverResults,
    ) -> Result<(), capnp::Error> {
        let params = params.get()?;
        let sender = params.get_sender()?.to_str()?;
        let decode_error = |_| capnp::Error::failed("a message cannot be read".into());
        let sender = Name::try_from(sender)
            .map_err(|_| failure::Failure::Malformed)
            .map_err(decode_error)?;
        let message = codec::read(params.get_message()?).map_err(decode_error)?;
        (self.handler)(sender, message);
        Ok(())
    }
}

/// Starts the thread for peer connections, which accepts peers on the listener.
pub fn start(
    listener: net::TcpListener,
    vm: Name,
    source: net::IpAddr,
    handler: MessageHandler,
) -> Result<(Handle, thread::JoinHandle<()>), failure::Failure> {
    let listener = async_io::Async::new(listener)?;
    let (outgoing, queue) = async_channel::bounded(QUEUE_LENGTH * 16);
    let local = link::LocalVm { vm, source };
    let run = move || {
        let executor = rc::Rc::new(LocalExecutor::new());
        let accepting = accept(executor.clone(), listener, handler);
        executor.spawn(accepting).detach();
        let dispatching = dispatch(executor.clone(), local, queue);
        async_io::block_on(executor.run(dispatching));
    };
    let thread = thread::Builder::new().name("peers".into()).spawn(run)?;
    Ok((Handle { outgoing }, thread))
}

async fn accept(
    executor: rc::Rc<LocalExecutor<'static>>,
    listener: async_io::Async<net::TcpListener>,
    handler: MessageHandler,
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
            handler: handler.clone(),
        };
        let client: schema::peer::Client = capnp_rpc::new_client(server);
        let system = RpcSystem::new(Box::new(network), Some(client.client));
        let serving = async move {
            let _ = system.await;
        };
        executor.spawn(serving).detach();
    }
}

/// Moves each message into the queue of its peer, and opens a new queue for a peer whose
/// address has changed.
async fn dispatch(
    executor: rc::Rc<LocalExecutor<'static>>,
    local: link::LocalVm,
    outgoing: async_channel::Receiver<Outgoing>,
) {
    let mut queues = collections::HashMap::new();
    while let Ok(item) = outgoing.recv().await {
        let (address, queue) = queues
            .entry(item.to)
            .or_insert_with(|| open_queue(&executor, &local, item.address));
        if *address != item.address {
            (*address, *queue) = open_queue(&executor, &local, item.address);
        }
        let _ = queue.try_send(item.message);
    }
}

fn open_queue(
    executor: &rc::Rc<LocalExecutor<'static>>,
    local: &link::LocalVm,
    address: net::SocketAddr,
) -> (net::SocketAddr, async_channel::Sender<message::Message>) {
    let (queue, messages) = async_channel::bounded(QUEUE_LENGTH);
    let delivering = link::deliver(executor.clone(), local.clone(), address, messages);
    executor.spawn(delivering).detach();
    (address, queue)
}
