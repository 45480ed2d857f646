//! The outgoing connection to one peer.

use std::{cell, net, rc, time};

use async_executor::LocalExecutor;
use capnp_rpc::{RpcSystem, rpc_twoparty_capnp, twoparty};
use config::Name;
use futures_lite::{FutureExt, future, io};
use kernel::message;

use crate::{codec, failure, peer_capnp as schema};

/// Time limit of connecting to a peer and of a call.
const TIMEOUT: time::Duration = time::Duration::from_millis(1000);
/// Largest number of unanswered calls on a connection; further messages are dropped.
const MAX_IN_FLIGHT: usize = 64;

/// The VM that sends, and the source address of its connections.
#[derive(Clone, Debug)]
pub struct LocalVm {
    /// Name of this VM.
    pub vm: Name,
    /// Source address.
    pub source: net::IpAddr,
}

async fn with_timeout<T>(
    work: impl Future<Output = Result<T, failure::Failure>>,
) -> Result<T, failure::Failure> {
    let timeout = async {
        async_io::Timer::after(TIMEOUT).await;
        Err(failure::Failure::Timeout)
    };
    work.or(timeout).await
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
    // A non-blocking `connect` returns an error while the connection is in progress; the
    // socket becomes writable when it is established or has failed.
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

/// Sends the messages of a queue to the peer at an address until the queue closes;
/// connects again after a failure.
pub async fn deliver(
    executor: rc::Rc<LocalExecutor<'static>>,
    local: LocalVm,
    address: net::SocketAddr,
    queue: async_channel::Receiver<message::Message>,
) {
    while let Ok(first) = queue.recv().await {
        let Ok(stream) = with_timeout(connect(local.source, address)).await else {
            // Messages that were queued while connecting are too old to be of use.
            while queue.try_recv().is_ok() {}
            continue;
        };
        let (client, system) = open_rpc(stream);
        let rpc_task = executor.spawn(async move {
            let _ = system.await;
        });
        send_messages(&executor, &local, &client, first, &queue).await;
        drop(rpc_task);
    }
}

fn open_rpc(
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

/// Sends messages on one connection until a call on it fails or the queue closes.
async fn send_messages(
    executor: &LocalExecutor<'static>,
    local: &LocalVm,
    client: &schema::peer::Client,
    first: message::Message,
    queue: &async_channel::Receiver<message::Message>,
) {
    let has_failed = rc::Rc::new(cell::Cell::new(false));
    let pending = rc::Rc::new(cell::Cell::new(0));
    let mut next = Some(first);
    while !has_failed.get() {
        let message = match next.take() {
            Some(message) => message,
            None => match queue.recv().await {
                Ok(message) => message,
                Err(_) => return,
            },
        };
        if pending.get() >= MAX_IN_FLIGHT {
            continue;
        }
        let mut request = client.deliver_request();
        request.get().set_sender(&**local.vm);
        codec::write(&message, request.get().init_message());
        pending.set(pending.get() + 1);
        let (has_failed, pending) = (has_failed.clone(), pending.clone());
        let call = async move {
            let answer = with_timeout(async { Ok(request.send().promise.await?) }).await;
            pending.set(pending.get() - 1);
            has_failed.set(has_failed.get() || answer.is_err());
        };
        executor.spawn(call).detach();
        future::yield_now().await;
    }
}
