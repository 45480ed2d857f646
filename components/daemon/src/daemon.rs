//! Starting and stopping a daemon.

use std::{
    io, net, sync,
    sync::{atomic, mpsc},
    thread, time,
};

use kernel::{event, view};

use crate::{
    accept, admin, clock, dialect_session, failure, platform, runtime, session, tls, workers,
};

/// Time limit of the last calls to the platform when the daemon stops.
const FLUSH_LIMIT: time::Duration = time::Duration::from_millis(500);
/// Interval between checks whether all sessions have ended when the daemon stops.
const STOP_PERIOD: time::Duration = time::Duration::from_millis(5);

/// Daemon that runs on threads of this process.
pub struct Running {
    runtime: sync::Arc<runtime::Runtime>,
    caller_address: net::SocketAddr,
    admin_address: net::SocketAddr,
    peer_address: net::SocketAddr,
    admin_server: Option<sync::Arc<tiny_http::Server>>,
    closed: sync::Arc<atomic::AtomicBool>,
    workers: workers::Workers,
}

fn bind(address: net::SocketAddr) -> Result<net::TcpListener, failure::Failure> {
    let failure = |error: io::Error| failure::Failure::Listen(address, error.kind());
    net::TcpListener::bind(address).map_err(failure)
}

/// Listeners of a daemon. They can be opened before all settings are known.
pub struct Listeners {
    /// Listener for callers.
    pub callers: net::TcpListener,
    /// Listener for peers.
    pub peers: net::TcpListener,
    /// Listener for operators.
    pub admin: net::TcpListener,
}

impl Listeners {
    /// Binds the addresses in the settings.
    pub fn open(settings: &config::Settings) -> Result<Self, failure::Failure> {
        Ok(Self {
            callers: bind(settings.listen_address)?,
            peers: bind(settings.peer_address)?,
            admin: bind(settings.admin_address)?,
        })
    }
}

impl Running {
    /// Starts a daemon on the addresses in its settings.
    pub fn start(settings: config::Settings) -> Result<Self, failure::Failure> {
        let listeners = Listeners::open(&settings)?;
        Self::start_with(settings, listeners)
    }

    /// Starts a daemon on open listeners.
    pub fn start_with(
        settings: config::Settings,
        listeners: Listeners,
    ) -> Result<Self, failure::Failure> {
        let tls = settings.tls.as_ref().map(tls::load).transpose()?;
        let service = store::open(&settings.platform_url).map_err(failure::Failure::Platform)?;
        let orders = settings
            .promotion_url
            .as_deref()
            .map(store::open_promotion_service)
            .transpose();
        let services = platform::Services {
            store: service.into(),
            orders: orders.map_err(failure::Failure::Platform)?.map(Into::into),
        };
        let dialect = find_dialect(&settings.dialect)?;
        let clock = clock::Clock::start();
        let thread_failure = |error: io::Error| failure::Failure::Thread(error.kind());
        let peer_address = listeners.peers.local_addr().map_err(thread_failure)?;
        let kernel = kernel::Daemon::new(kernel_setup(&settings, peer_address), clock.now());
        let kernel = kernel.map_err(failure::Failure::Policy)?;
        let (calls, queue) = mpsc::channel();
        let runtime = runtime::Runtime::new(settings, clock, kernel, calls, dialect);
        let running = Self {
            caller_address: listeners.callers.local_addr().map_err(thread_failure)?,
            admin_address: listeners.admin.local_addr().map_err(thread_failure)?,
            peer_address,
            admin_server: admin::start(&runtime, listeners.admin),
            closed: sync::Arc::default(),
            workers: workers::Workers::default(),
            runtime,
        };
        running.start_peers(listeners.peers)?;
        platform::start_call_thread(&running.runtime, services.clone(), queue);
        running.watch_store(&services.store);
        running.start_ticking();
        running.start_accepting(listeners.callers, tls);
        Ok(running)
    }

    fn start_peers(&self, listener: net::TcpListener) -> Result<(), failure::Failure> {
        let weak = sync::Arc::downgrade(&self.runtime);
        let inbox: peer::MessageHandler = sync::Arc::new(move |from, message| {
            if let Some(runtime) = weak.upgrade() {
                runtime.handle_event(event::Event::MessageReceived(from, message));
            }
        });
        let settings = &self.runtime.settings;
        let started = peer::start(
            listener,
            settings.vm.clone(),
            settings.source_address,
            inbox,
        );
        let (peers, _) = started.map_err(failure::Failure::Peers)?;
        self.runtime.set_peers(peers);
        Ok(())
    }

    /// Starts watching the platform's store. If the store does not arbitrate, starts
    /// polling the platform's list of VMs instead.
    fn watch_store(&self, service: &sync::Arc<dyn store::Service>) {
        if &**self.runtime.settings.policy.arbiter != "store" {
            return platform::poll_vms(&self.runtime, service.clone());
        }
        for part in view::PARTS {
            platform::watch_part(&self.runtime, service.as_ref(), part);
        }
    }

    fn start_ticking(&self) {
        let weak = sync::Arc::downgrade(&self.runtime);
        let tick_wakeup = self.runtime.tick_wakeup.clone();
        let timing = &self.runtime.settings.timing;
        let (period, rest) = (
            timing.tick_period,
            timing.idle_period.max(timing.tick_period),
        );
        thread::spawn(move || {
            while let Some(runtime) = weak.upgrade().filter(|runtime| !runtime.is_halted()) {
                runtime.handle_event(event::Event::Tick);
                drop(runtime);
                thread::sleep(period);
                tick_wakeup.wait(rest - period);
            }
        });
    }

    fn start_accepting(
        &self,
        listener: net::TcpListener,
        tls: Option<sync::Arc<rustls::ServerConfig>>,
    ) {
        let runtime = self.runtime.clone();
        let closed = self.closed.clone();
        let workers = self.workers.clone();
        thread::spawn(move || {
            accept::each(listener.incoming(), |socket| {
                if closed.load(atomic::Ordering::SeqCst) {
                    return false;
                }
                let (runtime, tls) = (runtime.clone(), tls.clone());
                let socket = sync::Arc::new(socket);
                let limit = runtime.settings.limits.max_sessions;
                let sessions = runtime.session_count();
                let admitted = runtime
                    .startups
                    .admit(&socket, sessions, limit, &runtime.metrics);
                let Some(startup) = admitted else {
                    return true;
                };
                let serve = move || match runtime.links() {
                    Some(links) => dialect_session::serve(&runtime, links, socket, startup),
                    None => session::serve(&runtime, socket, tls.as_ref(), startup),
                };
                if let Err(error) = workers.run(Box::new(serve)) {
                    log::warn!("cannot start a thread for the session: {error}");
                }
                true
            });
        });
    }

    /// Address for callers.
    pub fn caller_address(&self) -> net::SocketAddr {
        self.caller_address
    }

    /// Address for operators.
    pub fn admin_address(&self) -> net::SocketAddr {
        self.admin_address
    }

    /// Address for peers.
    pub fn peer_address(&self) -> net::SocketAddr {
        self.peer_address
    }

    /// Cancel keys of the open sessions: process ID and secret.
    pub fn cancel_keys(&self) -> Vec<(i32, i32)> {
        self.runtime.cancel_keys()
    }

    /// Reads the state of the kernel.
    pub fn inspect<T>(&self, query: impl FnOnce(&kernel::Daemon) -> T) -> T {
        self.runtime.inspect(query)
    }

    /// Applies a release note and waits for the outcome.
    pub fn apply(&self, note: config::Note) -> event::SubmissionOutcome {
        self.runtime.submit(note)
    }

    /// Stops gracefully: finishes running requests, refuses new ones, and ends.
    pub fn stop(self) {
        let timing = &self.runtime.settings.timing;
        let (leave, limit) = (
            timing.leave_period,
            timing.stop_timeout.saturating_sub(timing.leave_period),
        );
        self.runtime.handle_event(event::Event::Drain);
        thread::sleep(leave);
        let deadline = time::Instant::now() + limit;
        self.runtime.handle_event(event::Event::Stop);
        // Sessions get half of the time limit to end on their own; then the daemon
        // ends them and waits for the other half.
        self.runtime.wait_stopped(limit / 2);
        self.wait_sessions(deadline - limit / 2);
        self.runtime.end_sessions();
        self.wait_sessions(deadline);
        self.runtime.flush_calls(FLUSH_LIMIT);
        self.halt();
    }

    fn wait_sessions(&self, deadline: time::Instant) {
        while self.runtime.session_count() > 0 && time::Instant::now() < deadline {
            thread::sleep(STOP_PERIOD);
        }
    }

    /// Simulates a crash: breaks every connection, and finishes and hands over
    /// nothing.
    pub fn kill(self) {
        self.closed.store(true, atomic::Ordering::SeqCst);
        self.runtime.halt();
        self.runtime.disconnect_all();
        self.halt();
    }

    /// Ends without finishing requests or sessions.
    pub fn halt(self) {
        self.closed.store(true, atomic::Ordering::SeqCst);
        self.runtime.halt();
        self.workers.close();
        // Wakes the thread that accepts callers.
        let _ = net::TcpStream::connect(self.caller_address);
        if let Some(admin_server) = &self.admin_server {
            for _ in 0..8 {
                admin_server.unblock();
            }
        }
    }
}

/// Returns the dialect named in the settings; none for the PostgreSQL protocol.
fn find_dialect(
    name: &config::Name,
) -> Result<Option<&'static dialect::Dialect>, failure::Failure> {
    if &***name == "postgres" {
        return Ok(None);
    }
    let dialect = dialect::find(name);
    dialect
        .map(Some)
        .ok_or_else(|| failure::Failure::Dialect(name.clone()))
}

fn kernel_setup(settings: &config::Settings, peer_address: net::SocketAddr) -> kernel::Setup {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let incarnation = since.map_or(1, |since| u64::try_from(since.as_millis()).unwrap_or(1));
    kernel::Setup {
        vm: settings.vm.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        domain_regions: settings.domain_regions.clone(),
        peer_address: peer_address.to_string(),
        // A nonce holds the incarnation in its upper 40 bits. The lower 40 bits of
        // the milliseconds since 1970 grow until 2039, and then wrap around.
        incarnation: incarnation & ((1 << 40) - 1),
        timing: settings.timing.clone(),
        limits: settings.limits.clone(),
        policy: settings.policy.clone(),
    }
}
