//! Start and stop of a daemon.

use std::{
    io, net, sync,
    sync::{atomic, mpsc},
    thread, time,
};

use kernel::{event, view};

use crate::{admin, clock, dialogue, failure, session, shell, table, tls, workers};

/// Time for the last calls to the platform at a stop.
const FLUSH_LIMIT: time::Duration = time::Duration::from_millis(500);
/// Period of looks at the sessions that are left at a stop.
const STOP_PERIOD: time::Duration = time::Duration::from_millis(5);

/// A daemon that runs on threads of this process.
pub struct Running {
    shell: sync::Arc<shell::Shell>,
    listen: net::SocketAddr,
    admin: net::SocketAddr,
    peer: net::SocketAddr,
    server: Option<sync::Arc<tiny_http::Server>>,
    closed: sync::Arc<atomic::AtomicBool>,
    workers: workers::Workers,
}

fn bind(address: net::SocketAddr) -> Result<net::TcpListener, failure::Failure> {
    let listen = |error: io::Error| failure::Failure::Listen(address, error.kind());
    net::TcpListener::bind(address).map_err(listen)
}

/// The listeners of a daemon, open before its settings need to be known.
pub struct Listeners {
    /// For callers.
    pub callers: net::TcpListener,
    /// For peers.
    pub peers: net::TcpListener,
    /// For operators.
    pub admin: net::TcpListener,
}

impl Listeners {
    /// Opens the addresses of the settings.
    pub fn open(settings: &config::Settings) -> Result<Self, failure::Failure> {
        Ok(Self {
            callers: bind(settings.listen)?,
            peers: bind(settings.peer)?,
            admin: bind(settings.admin)?,
        })
    }
}

impl Running {
    /// Starts a daemon on the addresses of its settings.
    pub fn start(settings: config::Settings) -> Result<Self, failure::Failure> {
        let listeners = Listeners::open(&settings)?;
        Self::start_on(settings, listeners)
    }

    /// Starts a daemon on listeners that are open already.
    pub fn start_on(
        settings: config::Settings,
        listeners: Listeners,
    ) -> Result<Self, failure::Failure> {
        let tls = settings.tls.as_ref().map(tls::load).transpose()?;
        let service = store::open(&settings.platform).map_err(failure::Failure::Platform)?;
        let orders = settings
            .orders
            .as_deref()
            .map(store::open_orders)
            .transpose();
        let services = table::Services {
            store: service.into(),
            orders: orders.map_err(failure::Failure::Platform)?.map(Into::into),
        };
        let dialect = dialect(&settings.dialect)?;
        let clock = clock::Clock::start();
        let unknown = |error: io::Error| failure::Failure::Thread(error.kind());
        let peer = listeners.peers.local_addr().map_err(unknown)?;
        let kernel = kernel::Daemon::new(setup(&settings, peer), clock.now());
        let kernel = kernel.map_err(failure::Failure::Policy)?;
        let (calls, queue) = mpsc::channel();
        let shell = shell::Shell::new(settings, clock, kernel, calls, dialect);
        let running = Self {
            listen: listeners.callers.local_addr().map_err(unknown)?,
            admin: listeners.admin.local_addr().map_err(unknown)?,
            peer,
            server: admin::start(&shell, listeners.admin),
            closed: sync::Arc::default(),
            workers: workers::Workers::default(),
            shell,
        };
        running.start_peers(listeners.peers)?;
        table::start(&running.shell, services.clone(), queue);
        running.follow(&services.store);
        running.start_ticks();
        running.accept(listeners.callers, tls);
        Ok(running)
    }

    fn start_peers(&self, listener: net::TcpListener) -> Result<(), failure::Failure> {
        let weak = sync::Arc::downgrade(&self.shell);
        let inbox: peer::Inbox = sync::Arc::new(move |from, message| {
            if let Some(shell) = weak.upgrade() {
                shell.drive(event::Event::MessageReceived(from, message));
            }
        });
        let settings = &self.shell.settings;
        let started = peer::start(listener, settings.vm.clone(), settings.address, inbox);
        let (peers, _) = started.map_err(failure::Failure::Peers)?;
        self.shell.set_peers(peers);
        Ok(())
    }

    /// Follows the platform's store, or lists its VMs where it cannot be followed.
    fn follow(&self, service: &sync::Arc<dyn store::Service>) {
        if &**self.shell.settings.policy.arbiter != "store" {
            return table::list(&self.shell, service.clone());
        }
        for part in view::PARTS {
            table::watch(&self.shell, service.as_ref(), part);
        }
    }

    fn start_ticks(&self) {
        let weak = sync::Arc::downgrade(&self.shell);
        let pace = self.shell.pace.clone();
        let timing = &self.shell.settings.timing;
        let (period, rest) = (timing.tick, timing.rest.max(timing.tick));
        thread::spawn(move || {
            while let Some(shell) = weak.upgrade().filter(|shell| !shell.is_halted()) {
                shell.drive(event::Event::Tick);
                drop(shell);
                thread::sleep(period);
                pace.rest(rest - period);
            }
        });
    }

    fn accept(&self, listener: net::TcpListener, tls: Option<sync::Arc<rustls::ServerConfig>>) {
        let shell = self.shell.clone();
        let closed = self.closed.clone();
        let workers = self.workers.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if closed.load(atomic::Ordering::SeqCst) {
                    return;
                }
                let (shell, tls) = (shell.clone(), tls.clone());
                let serve = move || {
                    if let Some(links) = shell.links() {
                        if let Err(failure) = dialogue::serve(&shell, links, socket) {
                            log::debug!("session ended: {failure}");
                        }
                    } else if let Err(failure) = session::serve(&shell, socket, tls.as_ref()) {
                        log::debug!("session ended: {failure}");
                    }
                };
                if let Err(error) = workers.run(Box::new(serve)) {
                    log::warn!("a session could not start: {error}");
                }
            }
        });
    }

    /// Where callers connect.
    pub fn listen(&self) -> net::SocketAddr {
        self.listen
    }

    /// Where operators connect.
    pub fn admin(&self) -> net::SocketAddr {
        self.admin
    }

    /// Where peers connect.
    pub fn peer(&self) -> net::SocketAddr {
        self.peer
    }

    /// Cancel keys of the open sessions: process and secret.
    pub fn cancel_keys(&self) -> Vec<(i32, i32)> {
        self.shell.cancel_keys()
    }

    /// Looks at the kernel.
    pub fn inspect<T>(&self, look: impl FnOnce(&kernel::Daemon) -> T) -> T {
        self.shell.inspect(look)
    }

    /// Applies a release note.
    pub fn apply(&self, note: config::Note) -> event::SubmissionOutcome {
        self.shell.submit(note)
    }

    /// Finishes what runs, refuses what comes, and ends.
    pub fn stop(self) {
        let timing = &self.shell.settings.timing;
        let (leave, limit) = (timing.leave, timing.stop.saturating_sub(timing.leave));
        self.shell.drive(event::Event::Drain);
        thread::sleep(leave);
        let deadline = time::Instant::now() + limit;
        self.shell.drive(event::Event::Stop);
        // What is still open after half of the time is ended in the other half.
        self.shell.wait_stopped(limit / 2);
        self.wait_sessions(deadline - limit / 2);
        self.shell.end_sessions();
        self.wait_sessions(deadline);
        self.shell.flush_calls(FLUSH_LIMIT);
        self.halt();
    }

    fn wait_sessions(&self, deadline: time::Instant) {
        while self.shell.count_sessions() > 0 && time::Instant::now() < deadline {
            thread::sleep(STOP_PERIOD);
        }
    }

    /// Dies: every connection breaks, nothing is finished or handed over.
    pub fn kill(self) {
        self.closed.store(true, atomic::Ordering::SeqCst);
        self.shell.halt();
        self.shell.break_all();
        self.halt();
    }

    /// Ends without finishing anything.
    pub fn halt(self) {
        self.closed.store(true, atomic::Ordering::SeqCst);
        self.shell.halt();
        self.workers.close();
        // Wakes the accepting thread.
        let _ = net::TcpStream::connect(self.listen);
        if let Some(server) = &self.server {
            for _ in 0..8 {
                server.unblock();
            }
        }
    }
}

/// Dialect of the settings; none for the product's own protocol.
fn dialect(name: &config::Name) -> Result<Option<&'static dialect::Dialect>, failure::Failure> {
    if &***name == "postgres" {
        return Ok(None);
    }
    let found = dialect::find(name);
    found
        .map(Some)
        .ok_or_else(|| failure::Failure::Dialect(name.clone()))
}

fn setup(settings: &config::Settings, peer: net::SocketAddr) -> kernel::Setup {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let incarnation = since.map_or(1, |since| u64::try_from(since.as_millis()).unwrap_or(1));
    kernel::Setup {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        domain_regions: settings.domains.clone(),
        peer_address: peer.to_string(),
        // Milliseconds fit into the upper 40 bits of a nonce until 2039.
        incarnation: incarnation & ((1 << 40) - 1),
        timing: settings.timing.clone(),
        limits: settings.limits.clone(),
        policy: settings.policy.clone(),
    }
}
