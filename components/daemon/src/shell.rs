//! Shared state of a daemon and the execution of the kernel's actions.

use std::{
    collections, net, sync,
    sync::{atomic, mpsc},
    thread, time,
};

use config::{Fleet, Name};
use errors::{Cause, Refusal};
use kernel::{event, journal};

use crate::{clock, handle, links, locks, monitor, pace, pool, table, used};

/// Bits of a request's identity below its session's.
const REQUEST_BITS: u32 = 24;

/// How long a session tries to get a connection.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// When it gives up.
    pub deadline: time::Instant,
    /// Pause between two tries.
    pub pause: time::Duration,
}

/// Everything that a daemon's threads share.
pub struct Shell {
    /// Checked settings.
    pub settings: config::Settings,
    /// Monotonic clock.
    pub clock: clock::Clock,
    /// Metrics.
    pub metrics: telemetry::Metrics,
    /// Whether ticks are needed soon.
    pub pace: sync::Arc<pace::Pace>,
    /// Connections to databases in use.
    pub used: used::Used,
    /// Connections to databases.
    pub pool: pool::Pool<wire::Server>,
    /// Login at databases.
    pub login: pool::Login,
    links: Option<links::Links>,
    kernel: sync::Mutex<kernel::Daemon>,
    sessions: sync::RwLock<collections::HashMap<event::SessionId, sync::Arc<handle::Handle>>>,
    fleet: sync::RwLock<sync::Arc<Fleet>>,
    addresses: sync::RwLock<collections::HashMap<Name, net::SocketAddr>>,
    monitors: sync::Mutex<collections::HashMap<Name, monitor::Monitor>>,
    peers: sync::OnceLock<peer::Handle>,
    calls: mpsc::Sender<table::Call>,
    tickets: sync::Mutex<collections::HashMap<event::Ticket, mpsc::Sender<event::Verdict>>>,
    next: atomic::AtomicU64,
    stopped: (sync::Mutex<bool>, sync::Condvar),
    halted: atomic::AtomicBool,
    own: sync::OnceLock<sync::Weak<Shell>>,
}

fn read<T>(lock: &sync::RwLock<T>) -> sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(sync::PoisonError::into_inner)
}

fn write<T>(lock: &sync::RwLock<T>) -> sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(sync::PoisonError::into_inner)
}

impl Shell {
    /// A shell around a kernel; calls to the store go to the queue.
    pub fn new(
        settings: config::Settings,
        clock: clock::Clock,
        kernel: kernel::Daemon,
        calls: mpsc::Sender<table::Call>,
        dialect: Option<&'static dialect::Dialect>,
    ) -> sync::Arc<Self> {
        let shell = sync::Arc::new(Self {
            pace: sync::Arc::default(),
            pool: pool::Pool::default(),
            login: pool::Login::new(settings.address, settings.credentials.clone()),
            links: dialect.map(|dialect| links::Links::new(dialect, settings.address)),
            settings,
            clock,
            metrics: telemetry::Metrics::default(),
            kernel: sync::Mutex::new(kernel),
            sessions: sync::RwLock::default(),
            fleet: sync::RwLock::default(),
            addresses: sync::RwLock::default(),
            monitors: sync::Mutex::default(),
            used: used::Used::default(),
            peers: sync::OnceLock::new(),
            calls,
            tickets: sync::Mutex::default(),
            next: atomic::AtomicU64::new(1),
            stopped: (sync::Mutex::new(false), sync::Condvar::new()),
            halted: atomic::AtomicBool::new(false),
            own: sync::OnceLock::new(),
        });
        let _ = shell.own.set(sync::Arc::downgrade(&shell));
        shell
    }

    /// Connects the shell to its peers.
    pub fn set_peers(&self, peers: peer::Handle) {
        let _ = self.peers.set(peers);
    }

    /// Gives an event to the kernel and carries out what follows.
    pub fn drive(&self, event: event::Event) {
        let mut kernel = locks::lock(&self.kernel);
        let actions = kernel.handle(self.clock.now(), event);
        self.pace.set(kernel.is_pressed());
        for action in actions {
            self.perform(action);
        }
    }

    /// Looks at the kernel.
    pub fn inspect<T>(&self, look: impl FnOnce(&kernel::Daemon) -> T) -> T {
        look(&locks::lock(&self.kernel))
    }

    fn perform(&self, action: event::Action) {
        match action {
            event::Action::Welcome(session, welcome) => {
                self.reply(session, handle::Reply::Welcome(welcome));
            }
            event::Action::Reject(session, refusal) => {
                self.reply(session, handle::Reply::Refuse(refusal))
            }
            event::Action::End(session, refusal) => {
                if let Some(handle) = self.session(session) {
                    handle.end(refusal);
                }
            }
            event::Action::Grant(grant) => self.answer(grant.request, handle::Reply::Grant(grant)),
            event::Action::Refuse(request, refusal) => {
                self.answer(request, handle::Reply::Refuse(refusal));
            }
            event::Action::Acknowledge(request, floor, until) => {
                self.answer(request, handle::Reply::Acknowledge(floor, until));
            }
            event::Action::Poll(instance) => self.monitor(&instance, monitor::Call::Poll),
            event::Action::Fence(instance, term) => {
                self.monitor(&instance, monitor::Call::Fence(term));
            }
            event::Action::Promote(instance, term) => {
                self.monitor(&instance, monitor::Call::Promote(term));
            }
            event::Action::Listed(vms) => self.note_addresses(&vms),
            event::Action::Send(to, message) => self.send(to, message),
            event::Action::Cancel(process, secret) => self.cancel_soon(process, secret),
            event::Action::Sever(instance) => self.sever(&instance),
            event::Action::Load(key) => self.call(table::Call::Load(key)),
            event::Action::Store(version, row) => {
                let key = row.key();
                let row = Some(row);
                self.call(table::Call::Write(event::RowChange { key, version, row }));
            }
            event::Action::Erase(version, key) => {
                let row = None;
                self.call(table::Call::Write(event::RowChange { key, version, row }));
            }
            event::Action::Order(order) => self.call(table::Call::Order(order)),
            event::Action::Depose(instance, term) => {
                self.monitor(&instance, monitor::Call::Depose(term));
            }
            event::Action::Resume(instance) => self.monitor(&instance, monitor::Call::Resume),
            event::Action::Answer(ticket, verdict) => {
                if let Some(waiting) = locks::lock(&self.tickets).remove(&ticket) {
                    let _ = waiting.send(verdict);
                }
            }
            event::Action::Configured(fleet, _) => self.configure(fleet),
            event::Action::Resize(instance, room) => match &self.links {
                Some(links) => links.resize(&instance, room),
                None => self.pool.resize(&instance, room),
            },
            event::Action::Record(entry) => self.record(&entry),
            event::Action::Stopped => {
                *locks::lock(&self.stopped.0) = true;
                self.stopped.1.notify_all();
            }
        }
    }

    fn reply(&self, session: event::SessionId, reply: handle::Reply) {
        if let Some(handle) = self.session(session) {
            handle.push(reply);
        }
    }

    fn answer(&self, request: event::RequestId, reply: handle::Reply) {
        self.reply(event::SessionId(request.0 >> REQUEST_BITS), reply);
    }

    fn session(&self, session: event::SessionId) -> Option<sync::Arc<handle::Handle>> {
        read(&self.sessions).get(&session).cloned()
    }

    fn monitor(&self, instance: &Name, call: monitor::Call) {
        if let Some(monitor) = locks::lock(&self.monitors).get(instance) {
            monitor.call(call);
        }
    }

    fn send(&self, to: Name, message: kernel::message::Message) {
        let address = read(&self.addresses).get(&to).copied();
        if let (Some(peers), Some(address)) = (self.peers.get(), address) {
            peers.send(to, address, message);
        }
    }

    fn call(&self, call: table::Call) {
        let _ = self.calls.send(call);
    }

    fn record(&self, entry: &journal::Entry) {
        let value = serde_json::to_value(entry).unwrap_or_default();
        let kind = value["kind"].as_str().unwrap_or_default();
        self.metrics.decide(kind);
        log::info!(target: "decision", vm = &**self.settings.vm, entry:serde = value;
            "{}", entry.decision);
    }

    fn configure(&self, fleet: sync::Arc<Fleet>) {
        let mut monitors = locks::lock(&self.monitors);
        let instances = || {
            let groups = fleet.groups.iter();
            groups.flat_map(|(name, group)| group.instances.iter().map(move |i| (name, i)))
        };
        let keep: collections::HashMap<_, _> =
            instances().map(|(_, i)| (&i.name, i.address)).collect();
        monitors.retain(|name, monitor| keep.get(name) == Some(&monitor.address));
        let Some(shell) = self.own.get().and_then(sync::Weak::upgrade) else {
            return;
        };
        for (group, instance) in instances() {
            let name = instance.name.clone();
            monitors.entry(name.clone()).or_insert_with(|| {
                monitor::Monitor::new(&shell, group.clone(), name, instance.address)
            });
        }
        drop(monitors);
        *write(&self.fleet) = fleet;
    }

    /// Configuration in force.
    pub fn fleet(&self) -> sync::Arc<Fleet> {
        read(&self.fleet).clone()
    }

    /// Address of an instance.
    pub fn instance_address(&self, instance: &Name) -> Option<net::SocketAddr> {
        locks::lock(&self.monitors)
            .get(instance)
            .map(|monitor| monitor.address)
    }

    /// Keeps the addresses of peers.
    fn note_addresses(&self, vms: &[event::Vm]) {
        let mut addresses = write(&self.addresses);
        for vm in vms {
            if let Ok(address) = vm.peer.parse() {
                addresses.insert(vm.name.clone(), address);
            }
        }
    }

    /// Registers a session.
    pub fn open(&self, handle: sync::Arc<handle::Handle>) -> event::SessionId {
        let id = event::SessionId(self.next.fetch_add(1, atomic::Ordering::Relaxed));
        let mut sessions = write(&self.sessions);
        sessions.insert(id, handle);
        self.metrics.set_sessions(sessions.len());
        id
    }

    /// Forgets a session.
    pub fn close(&self, id: event::SessionId) {
        self.drive(event::Event::Closed(id));
        let mut sessions = write(&self.sessions);
        sessions.remove(&id);
        self.metrics.set_sessions(sessions.len());
    }

    /// Number of sessions.
    pub fn count_sessions(&self) -> usize {
        read(&self.sessions).len()
    }

    fn sever(&self, instance: &Name) {
        if let Some(links) = &self.links {
            return links.sever(instance);
        }
        self.used.sever(instance);
        self.pool.clear(instance);
    }

    /// Cancel key of a session: the VM's digest and the session's number.
    pub fn process(&self, session: event::SessionId) -> i32 {
        let number = i32::try_from(session.0 & 0xffff).unwrap_or(0);
        vm_digest(&self.settings.vm) << 16 | number
    }

    /// Cancel keys of the open sessions.
    pub fn cancel_keys(&self) -> Vec<(i32, i32)> {
        let sessions = read(&self.sessions);
        let keys = sessions
            .iter()
            .map(|(id, handle)| (self.process(*id), handle.secret));
        keys.collect()
    }

    /// Cancels a statement here, or where its session is.
    pub fn cancel(&self, process: i32, secret: i32) {
        if process >> 16 == vm_digest(&self.settings.vm) {
            self.cancel_here(process, secret);
            return;
        }
        let names: Vec<_> = read(&self.addresses).keys().cloned().collect();
        for name in names {
            if vm_digest(&name) == process >> 16 {
                self.send(
                    name,
                    kernel::message::Message::CancelStatement(process, secret),
                );
            }
        }
    }

    fn cancel_here(&self, process: i32, secret: i32) {
        let number = u64::try_from(process & 0xffff).unwrap_or(0);
        let found: Vec<_> = read(&self.sessions)
            .iter()
            .filter(|(id, handle)| id.0 & 0xffff == number && handle.secret == secret)
            .map(|(_, handle)| handle.clone())
            .collect();
        for handle in found {
            handle.cancel();
        }
    }

    /// Cancels on a thread of its own, since the kernel must not wait.
    fn cancel_soon(&self, process: i32, secret: i32) {
        if let Some(shell) = self.own.get().and_then(sync::Weak::upgrade) {
            std::thread::spawn(move || shell.cancel_here(process, secret));
        }
    }

    /// Connections over a dialect, if the daemon speaks one.
    pub fn links(&self) -> Option<&links::Links> {
        self.links.as_ref()
    }

    /// Asks the kernel for connections for a session until one can be opened;
    /// `open` tells how a grant is given back whose connection could not be.
    pub fn obtain<T>(
        &self,
        handle: &handle::Handle,
        session: event::SessionId,
        access: event::Access,
        retry: bool,
        patience: Patience,
        open: &dyn Fn(&event::Grant) -> Result<T, event::Outcome>,
    ) -> Result<(event::Grant, T), Refusal> {
        let mut grant = self.ask(handle, session, access, retry)?;
        loop {
            match open(&grant) {
                Ok(opened) => return Ok((grant, opened)),
                Err(outcome) => self.drive(event::Event::Released(grant.request, outcome)),
            }
            if time::Instant::now() >= patience.deadline {
                return Err(handle::unreachable());
            }
            thread::sleep(patience.pause);
            grant = self.ask(handle, session, access, true)?;
        }
    }

    /// Asks the kernel for a connection for a session's next request.
    fn ask(
        &self,
        handle: &handle::Handle,
        session: event::SessionId,
        access: event::Access,
        retry: bool,
    ) -> Result<event::Grant, Refusal> {
        let number = handle.next_number() & ((1 << REQUEST_BITS) - 1);
        self.drive(event::Event::Requested(event::Request {
            id: event::RequestId(session.0 << REQUEST_BITS | number),
            session,
            access,
            retry,
        }));
        match handle.wait() {
            handle::Reply::Grant(grant) => Ok(grant),
            handle::Reply::Refuse(refusal) => Err(refusal),
            _ => Err(handle::unreachable()),
        }
    }

    /// Waits until the calls to the platform so far have been made.
    pub fn flush_calls(&self, limit: std::time::Duration) {
        let (done, made) = mpsc::channel();
        self.call(table::Call::Flush(done));
        if made.recv_timeout(limit).is_err() {
            log::warn!("calls to the platform were still under way at the end");
        }
    }

    /// Ends the sessions that are still open.
    pub fn end_sessions(&self) {
        for handle in read(&self.sessions).values() {
            handle.shut(net::Shutdown::Read);
        }
    }

    /// Hands a note to the kernel and waits for the verdict.
    pub fn submit(&self, note: config::Note) -> event::Verdict {
        let ticket = event::Ticket(self.next.fetch_add(1, atomic::Ordering::Relaxed));
        let (sender, receiver) = mpsc::channel();
        locks::lock(&self.tickets).insert(ticket, sender);
        self.drive(event::Event::Submitted(ticket, sync::Arc::new(note)));
        receiver.recv().unwrap_or(event::Verdict::Unknown)
    }

    /// Waits until the kernel has stopped, or the time is over.
    pub fn wait_stopped(&self, limit: std::time::Duration) {
        let stopped = locks::lock(&self.stopped.0);
        let _ = self
            .stopped
            .1
            .wait_timeout_while(stopped, limit, |stopped| !*stopped);
    }

    /// Ends the background threads.
    pub fn halt(&self) {
        self.halted.store(true, atomic::Ordering::SeqCst);
        locks::lock(&self.monitors).clear();
        if let Some(peers) = self.peers.get() {
            peers.close();
        }
    }

    /// Breaks every connection, as the death of the process would.
    pub fn break_all(&self) {
        for handle in read(&self.sessions).values() {
            handle.shut(net::Shutdown::Both);
            handle.push(handle::Reply::Refuse(Refusal::new(Cause::Stopping, 0)));
        }
        let mut instances: Vec<_> = self.used.instances();
        instances.extend(self.links.iter().flat_map(links::Links::instances));
        for instance in instances {
            self.sever(&instance);
        }
    }

    /// Whether the background threads must end.
    pub fn is_halted(&self) -> bool {
        self.halted.load(atomic::Ordering::SeqCst)
    }
}

/// 15 bits that stand for a VM in cancel keys.
fn vm_digest(vm: &str) -> i32 {
    let digest: String = config::KeyDigest::of(vm.as_bytes()).into();
    let bits = i32::from_str_radix(&digest[..4], 16).unwrap_or(0);
    bits & 0x7fff
}
