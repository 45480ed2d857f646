//! State that a daemon's threads share, and the execution of the kernel's actions.

use std::{
    collections, net, sync,
    sync::{atomic, mpsc},
    thread, time,
};

use config::{Fleet, Name};
use errors::{Cause, Refusal};
use kernel::{event, journal};

use crate::{clock, handle, links, locks, monitor, platform, pool, sockets, startups, tick_wakeup};

/// Part of the memory of the process for what callers send; the rest is for the daemon, its
/// threads and its connections.
const INTAKE_SHARE: usize = 4;
/// Bits of a request's number in its identifier, below the session's identifier.
const REQUEST_BITS: u32 = 24;

/// How long and how often a session tries to get a connection.
#[derive(Clone, Copy, Debug)]
pub struct RetryPolicy {
    /// When the session gives up.
    pub deadline: time::Instant,
    /// Pause between two attempts.
    pub pause: time::Duration,
}

/// State that a daemon's threads share. It drives the kernel: it passes events to
/// the kernel and performs the resulting actions.
pub struct Runtime {
    /// Validated settings.
    pub settings: config::Settings,
    /// Monotonic clock.
    pub clock: clock::Clock,
    /// Metrics.
    pub metrics: telemetry::Metrics,
    /// Memory for what callers send.
    pub intake: sync::Arc<intake::Intake>,
    /// Connections whose startup is not complete.
    pub startups: sync::Arc<startups::Startups>,
    /// Wakeup of the tick thread.
    pub tick_wakeup: sync::Arc<tick_wakeup::Wakeup>,
    /// Sockets of the PostgreSQL connections in use.
    pub used_sockets: sockets::InUse,
    /// Idle PostgreSQL connections.
    pub pool: pool::Pool<wire::ServerConnection>,
    /// Opens PostgreSQL connections.
    pub connector: pool::Connector,
    links: Option<links::Links>,
    kernel: sync::Mutex<kernel::Daemon>,
    sessions: sync::RwLock<collections::HashMap<event::SessionId, sync::Arc<handle::Handle>>>,
    fleet: sync::RwLock<sync::Arc<Fleet>>,
    peer_addresses: sync::RwLock<collections::HashMap<Name, net::SocketAddr>>,
    monitors: sync::Mutex<collections::HashMap<Name, monitor::Monitor>>,
    peers: sync::OnceLock<peer::Handle>,
    platform_calls: mpsc::Sender<platform::Call>,
    submissions: sync::Mutex<
        collections::HashMap<event::SubmissionId, mpsc::Sender<event::SubmissionOutcome>>,
    >,
    next_id: atomic::AtomicU64,
    stopped: (sync::Mutex<bool>, sync::Condvar),
    halted: atomic::AtomicBool,
    weak_self: sync::OnceLock<sync::Weak<Runtime>>,
}

fn read_lock<T>(lock: &sync::RwLock<T>) -> sync::RwLockReadGuard<'_, T> {
    lock.read().unwrap_or_else(sync::PoisonError::into_inner)
}

fn write_lock<T>(lock: &sync::RwLock<T>) -> sync::RwLockWriteGuard<'_, T> {
    lock.write().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Memory for what callers send; at least one message of the largest size fits.
fn intake_bytes(settings: &config::Settings) -> usize {
    let largest = intake::message_charge(settings.limits.message_bytes);
    (settings.intake.memory_bytes / INTAKE_SHARE).max(2 * largest)
}

impl Runtime {
    /// Creates the runtime of a kernel. Calls to the platform go to the sender.
    pub fn new(
        settings: config::Settings,
        clock: clock::Clock,
        kernel: kernel::Daemon,
        platform_calls: mpsc::Sender<platform::Call>,
        dialect: Option<&'static dialect::Dialect>,
    ) -> sync::Arc<Self> {
        let runtime = sync::Arc::new(Self {
            tick_wakeup: sync::Arc::default(),
            pool: pool::Pool::default(),
            connector: pool::Connector::new(settings.source_address, settings.credentials.clone()),
            links: dialect.map(|dialect| links::Links::new(dialect, settings.source_address)),
            intake: intake::Intake::new(intake_bytes(&settings)),
            startups: sync::Arc::default(),
            settings,
            clock,
            metrics: telemetry::Metrics::default(),
            kernel: sync::Mutex::new(kernel),
            sessions: sync::RwLock::default(),
            fleet: sync::RwLock::default(),
            peer_addresses: sync::RwLock::default(),
            monitors: sync::Mutex::default(),
            used_sockets: sockets::InUse::default(),
            peers: sync::OnceLock::new(),
            platform_calls,
            submissions: sync::Mutex::default(),
            next_id: atomic::AtomicU64::new(1),
            stopped: (sync::Mutex::new(false), sync::Condvar::new()),
            halted: atomic::AtomicBool::new(false),
            weak_self: sync::OnceLock::new(),
        });
        let _ = runtime.weak_self.set(sync::Arc::downgrade(&runtime));
        runtime
    }

    /// Sets the connections to the peers.
    pub fn set_peers(&self, peers: peer::Handle) {
        let _ = self.peers.set(peers);
    }

    /// Passes an event to the kernel and performs the resulting actions.
    pub fn handle_event(&self, event: event::Event) {
        let mut kernel = locks::lock(&self.kernel);
        let actions = kernel.handle(self.clock.now(), event);
        self.tick_wakeup.set_needed(kernel.has_pending_work());
        for action in actions {
            self.perform(action);
        }
    }

    /// Reads the state of the kernel.
    pub fn inspect<T>(&self, query: impl FnOnce(&kernel::Daemon) -> T) -> T {
        query(&locks::lock(&self.kernel))
    }

    /// Whether the next statement of a request to a cold instance may be sent now.
    pub fn may_send(&self, request: event::RequestId) -> bool {
        locks::lock(&self.kernel).may_send(request, self.clock.now())
    }

    fn perform(&self, action: event::Action) {
        match action {
            event::Action::AcceptSession(session, session_route) => {
                self.reply_to_session(session, handle::Reply::Accept(session_route));
            }
            event::Action::RejectSession(session, refusal) => {
                self.reply_to_session(session, handle::Reply::Refuse(refusal))
            }
            event::Action::EndSession(session, refusal) => {
                if let Some(handle) = self.find_session(session) {
                    handle.end(refusal);
                }
            }
            event::Action::Grant(grant) => self.answer(grant.request, handle::Reply::Grant(grant)),
            event::Action::RefuseRequest(request, refusal) => {
                self.answer(request, handle::Reply::Refuse(refusal));
            }
            event::Action::AcknowledgeCommit(request, floor, until) => {
                self.answer(request, handle::Reply::Acknowledge(floor, until));
            }
            event::Action::Poll(instance) => self.call_monitor(&instance, monitor::Call::Poll),
            event::Action::CheckStatus(instance) => {
                self.call_monitor(&instance, monitor::Call::Check);
            }
            event::Action::Fence(instance, term, deadline) => {
                self.call_monitor(&instance, monitor::Call::Fence(term, deadline));
            }
            event::Action::Promote(instance, term) => {
                self.call_monitor(&instance, monitor::Call::Promote(term));
            }
            event::Action::UpdatePeers(vms) => self.update_addresses(&vms),
            event::Action::Send(to, message) => self.send_message(to, message),
            event::Action::CancelStatement(process, secret) => {
                self.cancel_in_background(process, secret)
            }
            event::Action::BreakConnections(instance) => self.disconnect(&instance),
            event::Action::CloseIdleConnections(instance) => match &self.links {
                Some(links) => links.close_idle(&instance),
                None => self.pool.close_idle(&instance),
            },
            event::Action::LoadRow(key) => self.call_platform(platform::Call::Load(key)),
            event::Action::ChangeRow(change) => self.call_platform(platform::Call::Write(change)),
            event::Action::RestoreRows(changes) => {
                self.call_platform(platform::Call::Restore(changes));
            }
            event::Action::OrderPromotion(order) => {
                self.call_platform(platform::Call::Order(order))
            }
            event::Action::Demote(instance, term, deadline) => {
                self.call_monitor(&instance, monitor::Call::Demote(term, deadline));
            }
            event::Action::ResumeReplication(instance, deadline) => {
                self.call_monitor(&instance, monitor::Call::Resume(deadline));
            }
            event::Action::AnswerOperator(submission, outcome) => {
                if let Some(waiting) = locks::lock(&self.submissions).remove(&submission) {
                    let _ = waiting.send(outcome);
                }
            }
            event::Action::ApplyConfiguration(fleet, _) => self.configure(fleet),
            event::Action::ResizePool(instance, limits) => match &self.links {
                Some(links) => links.resize(&instance, limits),
                None => self.pool.resize(&instance, limits),
            },
            event::Action::RecordDecision(entry) => self.log_decision(&entry),
            event::Action::Stopped => {
                *locks::lock(&self.stopped.0) = true;
                self.stopped.1.notify_all();
            }
        }
    }

    fn reply_to_session(&self, session: event::SessionId, reply: handle::Reply) {
        if let Some(handle) = self.find_session(session) {
            handle.push_reply(reply);
        }
    }

    /// Passes a reply to the session of a request.
    fn answer(&self, request: event::RequestId, reply: handle::Reply) {
        self.reply_to_session(event::SessionId(request.0 >> REQUEST_BITS), reply);
    }

    fn find_session(&self, session: event::SessionId) -> Option<sync::Arc<handle::Handle>> {
        read_lock(&self.sessions).get(&session).cloned()
    }

    fn call_monitor(&self, instance: &Name, call: monitor::Call) {
        if let Some(monitor) = locks::lock(&self.monitors).get(instance) {
            monitor.call(call);
        }
    }

    fn send_message(&self, to: Name, message: kernel::message::Message) {
        let address = read_lock(&self.peer_addresses).get(&to).copied();
        if let (Some(peers), Some(address)) = (self.peers.get(), address) {
            peers.send(to, address, message);
        }
    }

    fn call_platform(&self, call: platform::Call) {
        let _ = self.platform_calls.send(call);
    }

    fn log_decision(&self, entry: &journal::Entry) {
        let value = serde_json::to_value(entry).unwrap_or_default();
        let kind = value["kind"].as_str().unwrap_or_default();
        self.metrics.count_decision(kind);
        log::info!(target: "decision", vm = &**self.settings.vm, entry:serde = value;
            "{}", entry.decision);
    }

    /// Applies a new configuration: keeps, drops and adds monitors to match its
    /// instances.
    fn configure(&self, fleet: sync::Arc<Fleet>) {
        let mut monitors = locks::lock(&self.monitors);
        let instances = || {
            let groups = fleet.groups.iter();
            groups.flat_map(|(name, group)| group.instances.iter().map(move |i| (name, i)))
        };
        let wanted: collections::HashMap<_, _> =
            instances().map(|(_, i)| (&i.name, i.address)).collect();
        monitors.retain(|name, monitor| wanted.get(name) == Some(&monitor.address));
        let Some(runtime) = self.weak_self.get().and_then(sync::Weak::upgrade) else {
            return;
        };
        for (group, instance) in instances() {
            let name = instance.name.clone();
            monitors.entry(name.clone()).or_insert_with(|| {
                monitor::Monitor::new(&runtime, group.clone(), name, instance.address)
            });
        }
        drop(monitors);
        *write_lock(&self.fleet) = fleet;
    }

    /// Configuration in force.
    pub fn fleet(&self) -> sync::Arc<Fleet> {
        read_lock(&self.fleet).clone()
    }

    /// Address of an instance.
    pub fn instance_address(&self, instance: &Name) -> Option<net::SocketAddr> {
        locks::lock(&self.monitors)
            .get(instance)
            .map(|monitor| monitor.address)
    }

    /// Stores the peer addresses of the listed VMs. Addresses of other VMs stay.
    fn update_addresses(&self, vms: &[event::Vm]) {
        let mut peer_addresses = write_lock(&self.peer_addresses);
        for vm in vms {
            if let Ok(address) = vm.peer.parse() {
                peer_addresses.insert(vm.name.clone(), address);
            }
        }
    }

    /// Registers a session and returns its identifier.
    pub fn open_session(&self, handle: sync::Arc<handle::Handle>) -> event::SessionId {
        let id = event::SessionId(self.next_id.fetch_add(1, atomic::Ordering::Relaxed));
        let mut sessions = write_lock(&self.sessions);
        sessions.insert(id, handle);
        self.metrics.set_sessions(sessions.len());
        id
    }

    /// Removes a session, and tells the kernel.
    pub fn close_session(&self, id: event::SessionId) {
        self.handle_event(event::Event::SessionClosed(id));
        let mut sessions = write_lock(&self.sessions);
        sessions.remove(&id);
        self.metrics.set_sessions(sessions.len());
    }

    /// Number of open sessions.
    pub fn session_count(&self) -> usize {
        read_lock(&self.sessions).len()
    }

    /// Opens an account at the intake for a session of the customer.
    pub fn open_account(&self, customer: Option<&Name>) -> intake::Account {
        let mut account = intake::Account::open(&self.intake);
        if let Some(customer) = customer {
            account.set_owner((&***customer).into());
        }
        account
    }

    /// Records that a session was ended since its caller took too much memory or time.
    pub fn end_misused(&self, kind: &str) {
        self.metrics.count_misuse(kind);
        log::info!(target: "session", kind; "ended a session that took too much");
    }

    fn disconnect(&self, instance: &Name) {
        if let Some(links) = &self.links {
            return links.disconnect(instance);
        }
        self.used_sockets.disconnect(instance);
        self.pool.close_idle(instance);
    }

    /// Process ID in a session's cancel key: a digest of the VM's name in the upper
    /// bits, and the lower 16 bits of the session's identifier.
    pub fn cancel_pid(&self, session: event::SessionId) -> i32 {
        let number = i32::try_from(session.0 & 0xffff).unwrap_or(0);
        vm_digest(&self.settings.vm) << 16 | number
    }

    /// Cancel keys of the open sessions: process ID and secret.
    pub fn cancel_keys(&self) -> Vec<(i32, i32)> {
        let sessions = read_lock(&self.sessions);
        let keys = sessions
            .iter()
            .map(|(id, handle)| (self.cancel_pid(*id), handle.secret));
        keys.collect()
    }

    /// Cancels the statement of a session here, or forwards the cancel request to
    /// the peers whose name has the digest in the key.
    pub fn cancel(&self, process: i32, secret: i32) {
        if process >> 16 == vm_digest(&self.settings.vm) {
            self.cancel_local(process, secret);
            return;
        }
        let names: Vec<_> = read_lock(&self.peer_addresses).keys().cloned().collect();
        for name in names {
            if vm_digest(&name) == process >> 16 {
                self.send_message(
                    name,
                    kernel::message::Message::CancelStatement(process, secret),
                );
            }
        }
    }

    fn cancel_local(&self, process: i32, secret: i32) {
        let number = u64::try_from(process & 0xffff).unwrap_or(0);
        let found: Vec<_> = read_lock(&self.sessions)
            .iter()
            .filter(|(id, handle)| id.0 & 0xffff == number && handle.secret == secret)
            .map(|(_, handle)| handle.clone())
            .collect();
        for handle in found {
            handle.cancel();
        }
    }

    /// Cancels a statement on a new thread, since the kernel must not block.
    fn cancel_in_background(&self, process: i32, secret: i32) {
        if let Some(runtime) = self.weak_self.get().and_then(sync::Weak::upgrade) {
            std::thread::spawn(move || runtime.cancel_local(process, secret));
        }
    }

    /// Connections of the dialect, if the daemon speaks one.
    pub fn links(&self) -> Option<&links::Links> {
        self.links.as_ref()
    }

    /// Requests grants from the kernel for a session until `open` succeeds with one.
    /// If `open` fails, the grant is released with the outcome that `open` returns.
    pub fn acquire<T>(
        &self,
        handle: &handle::Handle,
        session: event::SessionId,
        access: event::Access,
        retry: bool,
        retry_policy: RetryPolicy,
        open: &dyn Fn(&event::Grant) -> Result<T, event::RequestOutcome>,
    ) -> Result<(event::Grant, T), Refusal> {
        let mut grant = self.request_grant(handle, session, access, retry)?;
        loop {
            match open(&grant) {
                Ok(opened) => return Ok((grant, opened)),
                Err(outcome) => {
                    self.handle_event(event::Event::ConnectionReleased(grant.request, outcome))
                }
            }
            if time::Instant::now() >= retry_policy.deadline {
                return Err(handle::unreachable_refusal());
            }
            thread::sleep(retry_policy.pause);
            grant = self.request_grant(handle, session, access, true)?;
        }
    }

    /// Requests a grant from the kernel for a session's next request.
    fn request_grant(
        &self,
        handle: &handle::Handle,
        session: event::SessionId,
        access: event::Access,
        retry: bool,
    ) -> Result<event::Grant, Refusal> {
        let number = handle.next_request_number() & ((1 << REQUEST_BITS) - 1);
        self.handle_event(event::Event::ConnectionRequested(event::Request {
            id: event::RequestId(session.0 << REQUEST_BITS | number),
            session,
            access,
            retry,
        }));
        match handle.wait_reply() {
            handle::Reply::Grant(grant) => Ok(grant),
            handle::Reply::Refuse(refusal) => Err(refusal),
            _ => Err(handle::unreachable_refusal()),
        }
    }

    /// Waits until all calls to the platform queued so far have been made, or until
    /// the limit has passed.
    pub fn flush_calls(&self, limit: std::time::Duration) {
        let (done, completed) = mpsc::channel();
        self.call_platform(platform::Call::Flush(done));
        if completed.recv_timeout(limit).is_err() {
            log::warn!("calls to the platform were not finished before the time limit of the stop");
        }
    }

    /// Ends the reads of the sessions that are still open, and so the sessions.
    pub fn end_sessions(&self) {
        for handle in read_lock(&self.sessions).values() {
            handle.shut_down(net::Shutdown::Read);
        }
    }

    /// Submits a release note to the kernel and waits for the outcome.
    pub fn submit(&self, note: config::Note) -> event::SubmissionOutcome {
        let submission = event::SubmissionId(self.next_id.fetch_add(1, atomic::Ordering::Relaxed));
        let (sender, receiver) = mpsc::channel();
        locks::lock(&self.submissions).insert(submission, sender);
        self.handle_event(event::Event::NoteSubmitted(
            submission,
            sync::Arc::new(note),
        ));
        receiver.recv().unwrap_or(event::SubmissionOutcome::Unknown)
    }

    /// Waits until the kernel has stopped, or until the limit has passed.
    pub fn wait_stopped(&self, limit: std::time::Duration) {
        let stopped = locks::lock(&self.stopped.0);
        let _ = self
            .stopped
            .1
            .wait_timeout_while(stopped, limit, |stopped| !*stopped);
    }

    /// Tells the background threads to end.
    pub fn halt(&self) {
        self.halted.store(true, atomic::Ordering::SeqCst);
        locks::lock(&self.monitors).clear();
        if let Some(peers) = self.peers.get() {
            peers.close();
        }
    }

    /// Breaks every connection, as a crash of the process would.
    pub fn disconnect_all(&self) {
        for handle in read_lock(&self.sessions).values() {
            handle.shut_down(net::Shutdown::Both);
            handle.push_reply(handle::Reply::Refuse(Refusal::new(Cause::Stopping, 0)));
        }
        let mut instances: Vec<_> = self.used_sockets.instances_in_use();
        instances.extend(self.links.iter().flat_map(links::Links::instances_in_use));
        for instance in instances {
            self.disconnect(&instance);
        }
    }

    /// Whether the background threads must end.
    pub fn is_halted(&self) -> bool {
        self.halted.load(atomic::Ordering::SeqCst)
    }
}

/// Returns a 15-bit digest of a VM's name for cancel keys.
fn vm_digest(vm: &str) -> i32 {
    let digest: String = config::KeyDigest::of(vm.as_bytes()).into();
    let bits = i32::from_str_radix(&digest[..4], 16).unwrap_or(0);
    bits & 0x7fff
}
