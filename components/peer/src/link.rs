//! The outgoing connection to one peer.

use std::{cell, net, rc, time};

use async_executor::LocalExecutor;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use config::Name;
use futures_lite::{FutureExt, future, io};
use kernel::message;

use crate::{codec, failure, peer_capnp as schema};

/// Time for a connection or a call.
const TIMEOUT: time::Duration = time::Duration::from_millis(1000);
/// Calls without an answer; a message beyond them is dropped.
const IN_FLIGHT: usize = 64;

/// Who sends, and from where.
#[derive(Clone, Debug)]
pub struct Sender {
    /// This VM.
    pub vm: Name,
    /// Source address.
    pub source: net::IpAddr,
}

async fn within<T>(
    work: impl Future<Output = Result<T, failure::Failure>>,
) -> Result<T, failure::Failure> {
    let late = async {
        async_io::Timer::after(TIMEOUT).await;
        Err(failure::Failure::Timeout)
    };
    work.or(late).await
}

async fn connect(
    source: net::IpAddr,
    address: net::SocketAddr,
) -> Result<async_io::Async<net::TcpStream>, failure::Failure> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.bind(&net::SocketAddr::new(source, 0).into())?;
    // A connection in progress is an error here, and writable once it is done.
    let _ = socket.connect(&address.into());
    let stream = async_io::Async::new(net::TcpStream::from(socket))?;
    stream.writable().await?;
    match stream.get_ref().take_error()? {
        Some(error) => Err(error.into()),
        None => {
            stream.get_ref().peer_addr()?;
            Ok(stream)
        }
    }
}

/// Delivers the messages of a queue to the address, until the queue closes.
pub async fn deliver(
    executor: rc::Rc<LocalExecutor<'static>>,
    sender: Sender,
    address: net::SocketAddr,
    queue: async_channel::Receiver<message::Message>,
) {
    while let Ok(first) = queue.recv().await {
        let Ok(stream) = within(connect(sender.source, address)).await else {
            // Whatever has gathered meanwhile is too old to be of use.
            while queue.try_recv().is_ok() {}
            continue;
        };
        let (client, system) = open(stream);
        let running = executor.spawn(async move {
            let _ = system.await;
        });
        converse(&executor, &sender, &client, first, &queue).await;
        drop(running);
    }
}

fn open(
    stream: async_io::Async<net::TcpStream>,
) -> (schema::peer::Client, RpcSystem<rpc_twoparty_capnp::Side>) {
    let (reader, writer) = io::split(stream);
    let side = rpc_twoparty_capnp::Side::Client;
    let network =
        twoparty::VatNetwork::new(reader, writer, side, capnp::message::ReaderOptions::new());
    let mut system = RpcSystem::new(Box::new(network), None);
    let client = system.bootstrap(rpc_twoparty_capnp::Side::Server);
    (client, system)
}

/// Sends messages on one connection until a call on it fails.
async fn converse(
    executor: &LocalExecutor<'static>,
    sender: &Sender,
    client: &schema::peer::Client,
    first: message::Message,
    queue: &async_channel::Receiver<message::Message>,
) {
    let failed = rc::Rc::new(cell::Cell::new(false));
    let pending = rc::Rc::new(cell::Cell::new(0));
    let mut next = Some(first);
    while !failed.get() {
        let message = match next.take() {
            Some(message) => message,
            None => match queue.recv().await {
                Ok(message) => message,
                Err(_) => return,
            },
        };
        if pending.get() >= IN_FLIGHT {
            continue;
        }
        let mut request = client.deliver_request();
        request.get().set_sender(&**sender.vm);
        codec::write(&message, request.get().init_message());
        pending.set(pending.get() + 1);
        let (failed, pending) = (failed.clone(), pending.clone());
        let call = async move {
            let answer = within(async { Ok(request.send().promise.await?) }).await;
            pending.set(pending.get() - 1);
            failed.set(failed.get() || answer.is_err());
        };
        executor.spawn(call).detach();
        future::yield_now().await;
    }
}
