//! Links between sites on loopback, with delay, rate and cuts.
//!
//! Every listener of a test stands behind a link. The link knows the caller's
//! site by its source address, and holds every byte back for the delay between
//! both sites. One thread carries all connections of a network.

use std::{collections, io, net, sync, sync::atomic, task, thread, time};

use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt, future};

use crate::{failure, instance};

/// Pause after a connection could not be accepted.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Bytes moved at once.
const CHUNK: usize = 16 * 1024;
/// Chunks on their way in one direction.
const IN_FLIGHT: usize = 256;

/// A failure domain in a region.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Site {
    /// Region.
    pub region: String,
    /// Failure domain.
    pub domain: String,
}

#[derive(Debug, Default)]
struct Rules {
    sites: collections::HashMap<net::IpAddr, Site>,
    cut: collections::HashSet<(net::IpAddr, net::SocketAddr)>,
    cut_regions: collections::HashSet<(String, String)>,
    open: collections::HashMap<u64, Open>,
    moved: collections::HashMap<net::SocketAddr, net::SocketAddr>,
}

#[derive(Debug)]
struct Open {
    from: net::IpAddr,
    to: net::SocketAddr,
    region: Option<(String, String)>,
    sockets: [Socket; 2],
    /// Wakes the task of both directions after a cut.
    waker: Option<task::Waker>,
}

/// A socket that both directions share.
type Socket = sync::Arc<Async<net::TcpStream>>;

/// A chunk and when it arrives.
type Due = (time::Instant, Vec<u8>);

impl Rules {
    fn is_cut(&self, open: &Open) -> bool {
        let regions = open.region.as_ref();
        self.cut.contains(&(open.from, open.to))
            || regions.is_some_and(|pair| self.cut_regions.contains(pair))
    }
}

/// The far end of a link.
#[derive(Clone, Debug)]
struct End {
    link: net::SocketAddr,
    target: net::SocketAddr,
    site: Site,
    origin: Option<net::IpAddr>,
}

/// Delays and faults of all links.
pub struct Network {
    links: sync::Arc<Links>,
    tasks: async_channel::Sender<future::Boxed<()>>,
}

/// What the links of a network share.
struct Links {
    rules: sync::Mutex<Rules>,
    near: time::Duration,
    far: time::Duration,
    rate: u64,
    line: sync::Mutex<collections::HashMap<(String, String), time::Instant>>,
    bytes: atomic::AtomicU64,
    next: atomic::AtomicU64,
}

impl Network {
    /// A network with one-way delays within and between regions, and a rate
    /// between regions in bytes a second.
    pub fn new(
        near: time::Duration,
        far: time::Duration,
        rate: u64,
    ) -> Result<sync::Arc<Self>, failure::Failure> {
        let links = sync::Arc::new(Links {
            rules: sync::Mutex::default(),
            near,
            far,
            rate,
            line: sync::Mutex::default(),
            bytes: atomic::AtomicU64::new(0),
            next: atomic::AtomicU64::new(0),
        });
        let (tasks, queue) = async_channel::unbounded();
        let thread = thread::Builder::new().name("network".into());
        thread.spawn(move || run(&queue))?;
        Ok(sync::Arc::new(Self { links, tasks }))
    }

    /// Tells at which site a source address is.
    pub fn place(&self, address: net::IpAddr, site: Site) {
        instance::lock(&self.links.rules)
            .sites
            .insert(address, site);
    }

    /// Opens a link to `target`, which is at `site`; returns its address.
    pub fn link(
        &self,
        target: net::SocketAddr,
        site: Site,
    ) -> Result<net::SocketAddr, failure::Failure> {
        self.link_from(target, site, None)
    }

    /// Opens a link whose callers all count as `origin`, if that is given.
    pub fn link_from(
        &self,
        target: net::SocketAddr,
        site: Site,
        origin: Option<net::IpAddr>,
    ) -> Result<net::SocketAddr, failure::Failure> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let end = End {
            link: address,
            target,
            site,
            origin,
        };
        let links = self.links.clone();
        let accepting = links.accept(Async::new(listener)?, end, self.tasks.clone());
        let queued = self.tasks.try_send(accepting.boxed());
        queued.map_err(|_| failure::Failure::Gone)?;
        Ok(address)
    }

    /// Leads new connections of a link to another target.
    pub fn move_link(&self, link: net::SocketAddr, target: net::SocketAddr) {
        instance::lock(&self.links.rules).moved.insert(link, target);
    }

    /// Cuts the way from a source address to a link, or restores it.
    pub fn cut(&self, from: net::IpAddr, to: net::SocketAddr, cut: bool) {
        let mut rules = instance::lock(&self.links.rules);
        if cut {
            rules.cut.insert((from, to));
            return;
        }
        rules.cut.remove(&(from, to));
        drop(rules);
        self.links.wake_held();
    }

    /// Cuts two regions off from each other, or joins them again.
    pub fn cut_regions(&self, a: &str, b: &str, cut: bool) {
        let mut rules = instance::lock(&self.links.rules);
        for pair in [(a.into(), b.into()), (b.into(), a.into())] {
            if cut {
                rules.cut_regions.insert(pair);
            } else {
                rules.cut_regions.remove(&pair);
            }
        }
        drop(rules);
        if !cut {
            self.links.wake_held();
        }
    }

    /// Bytes that crossed between regions.
    pub fn far_bytes(&self) -> u64 {
        self.links.bytes.load(atomic::Ordering::Relaxed)
    }

    /// Closes the connections of one source address.
    pub fn close_from(&self, from: net::IpAddr) {
        let rules = instance::lock(&self.links.rules);
        for open in rules.open.values().filter(|open| open.from == from) {
            for socket in &open.sockets {
                close(socket);
            }
        }
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        self.tasks.close();
    }
}

/// Runs the tasks of a network until their queue closes.
fn run(queue: &async_channel::Receiver<future::Boxed<()>>) {
    let executor = LocalExecutor::new();
    let spawning = async {
        while let Ok(task) = queue.recv().await {
            executor.spawn(task).detach();
        }
    };
    async_io::block_on(executor.run(spawning));
}

fn close(socket: &Socket) {
    // Fails only if the connection has ended before.
    let _ = socket.get_ref().shutdown(net::Shutdown::Both);
}

impl Links {
    async fn accept(
        self: sync::Arc<Self>,
        listener: Async<net::TcpListener>,
        end: End,
        tasks: async_channel::Sender<future::Boxed<()>>,
    ) {
        let end = sync::Arc::new(end);
        loop {
            match listener.accept().await {
                Ok((caller, _)) => {
                    let carrying = self.clone().connect(caller, end.clone());
                    if tasks.try_send(carrying.boxed()).is_err() {
                        return;
                    }
                }
                Err(error) => {
                    log::warn!("a link cannot accept a connection: {error}");
                    async_io::Timer::after(FAILURE_PAUSE).await;
                }
            }
        }
    }

    async fn connect(self: sync::Arc<Self>, caller: Async<net::TcpStream>, end: sync::Arc<End>) {
        if let Err(error) = self.carry(caller, &end).await {
            log::debug!("a link drops a connection: {error}");
        }
    }

    async fn carry(&self, caller: Async<net::TcpStream>, end: &End) -> io::Result<()> {
        let site = &end.site;
        let from = end
            .origin
            .map_or_else(|| caller.get_ref().peer_addr().map(|a| a.ip()), Ok)?;
        let origin = instance::lock(&self.rules).sites.get(&from).cloned();
        let far = origin
            .as_ref()
            .is_some_and(|origin| origin.region != site.region);
        let same = origin.as_ref().is_none_or(|origin| origin == site);
        let delay = match (far, same) {
            (true, _) => self.far,
            (false, false) => self.near,
            (false, true) => time::Duration::ZERO,
        };
        let pair = origin
            .filter(|_| far)
            .map(|o| (o.region, site.region.clone()));
        let moved = instance::lock(&self.rules).moved.get(&end.link).copied();
        let server = Async::<net::TcpStream>::connect(moved.unwrap_or(end.target)).await?;
        for socket in [&caller, &server] {
            socket.get_ref().set_nodelay(true)?;
        }
        let (caller, server) = (sync::Arc::new(caller), sync::Arc::new(server));
        let id = self.next.fetch_add(1, atomic::Ordering::Relaxed);
        let open = Open {
            from,
            to: end.link,
            region: pair.clone(),
            sockets: [caller.clone(), server.clone()],
            waker: None,
        };
        instance::lock(&self.rules).open.insert(id, open);
        let back = pair.clone().map(|(a, b)| (b, a));
        let up = self.pump(id, &caller, &server, delay, pair);
        let down = self.pump(id, &server, &caller, delay, back);
        future::zip(up, down).await;
        instance::lock(&self.rules).open.remove(&id);
        Ok(())
    }

    /// Moves bytes one way; a reader holds them back for a writer.
    async fn pump(
        &self,
        id: u64,
        from: &Socket,
        to: &Socket,
        delay: time::Duration,
        pair: Option<(String, String)>,
    ) {
        let (sender, receiver) = async_channel::bounded(IN_FLIGHT);
        let reading = async {
            if let Err(error) = self.read(from, sender, delay, pair).await {
                log::debug!("a link cannot read: {error}");
            }
            close(from);
        };
        let writing = async {
            if let Err(error) = self.write(id, to, receiver).await {
                log::debug!("a link cannot write: {error}");
            }
            close(to);
        };
        future::zip(reading, writing).await;
    }

    /// Reads until the end of a direction, or until its writer has ended.
    async fn read(
        &self,
        mut from: &Async<net::TcpStream>,
        sender: async_channel::Sender<Due>,
        delay: time::Duration,
        pair: Option<(String, String)>,
    ) -> io::Result<()> {
        let mut chunk = vec![0; CHUNK];
        loop {
            let count = from.read(&mut chunk).await?;
            if count == 0 {
                return Ok(());
            }
            let sent = self.transmit(count, pair.as_ref());
            let due = (sent + delay, chunk[..count].to_vec());
            if sender.send(due).await.is_err() {
                return Ok(());
            }
        }
    }

    /// Writes each chunk when it is due and no cut holds it back.
    async fn write(
        &self,
        id: u64,
        mut to: &Async<net::TcpStream>,
        receiver: async_channel::Receiver<Due>,
    ) -> io::Result<()> {
        while let Ok((due, bytes)) = receiver.recv().await {
            if due > time::Instant::now() {
                async_io::Timer::at(due).await;
            }
            future::poll_fn(|context| self.poll_joined(id, context)).await;
            to.write_all(&bytes).await?;
        }
        Ok(())
    }

    /// Wakes the connections that a cut holds back, so that they look again.
    fn wake_held(&self) {
        let mut rules = instance::lock(&self.rules);
        let open = rules.open.values_mut();
        let wakers: Vec<_> = open.filter_map(|open| open.waker.take()).collect();
        drop(rules);
        wakers.into_iter().for_each(task::Waker::wake);
    }

    /// Ready while no cut concerns a connection.
    fn poll_joined(&self, id: u64, context: &task::Context<'_>) -> task::Poll<()> {
        let mut rules = instance::lock(&self.rules);
        let cut = rules.open.get(&id).is_some_and(|open| rules.is_cut(open));
        if !cut {
            return task::Poll::Ready(());
        }
        if let Some(open) = rules.open.get_mut(&id) {
            open.waker = Some(context.waker().clone());
        }
        task::Poll::Pending
    }

    /// When the bytes have left on a line of limited rate.
    fn transmit(&self, count: usize, pair: Option<&(String, String)>) -> time::Instant {
        let now = time::Instant::now();
        let Some(pair) = pair else {
            return now;
        };
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        self.bytes.fetch_add(count, atomic::Ordering::Relaxed);
        let mut line = instance::lock(&self.line);
        let free = line.entry(pair.clone()).or_insert(now);
        let nanos = count.saturating_mul(1_000_000_000) / self.rate.max(1);
        *free = (*free).max(now) + time::Duration::from_nanos(nanos);
        *free
    }
}
