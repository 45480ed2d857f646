//! One database instance: its log, term and role.

use std::{collections, net, sync, sync::atomic, thread, time};

use crate::{engine, failure, session};

/// Stack of a connection's thread, in bytes.
const STACK_SIZE: usize = 512 * 1024;
/// Pause after a connection could not be accepted.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(20);

/// Properties of an instance.
#[derive(Clone, Debug)]
pub struct InstanceSetup {
    /// Name, for messages.
    pub name: String,
    /// Connections accepted at once.
    pub connections: usize,
    /// Statements executed at once.
    pub slots: usize,
    /// Cost of a new connection.
    pub connect: time::Duration,
    /// Time that a statement holds a slot.
    pub work: time::Duration,
    /// Login that is accepted.
    pub user: String,
    /// Its password.
    pub password: String,
}

impl Default for InstanceSetup {
    fn default() -> Self {
        Self {
            name: "instance".into(),
            connections: 100,
            slots: 4,
            connect: time::Duration::ZERO,
            work: time::Duration::ZERO,
            user: "proxy".into(),
            password: "proxy-password".into(),
        }
    }
}

/// One committed transaction.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Identity over all logs of the group.
    pub id: u64,
    /// Statements in order.
    pub statements: sync::Arc<Vec<engine::Logged>>,
    /// When it arrived in this log.
    pub at: time::Instant,
}

/// Log, term and role.
#[derive(Debug)]
pub struct State {
    /// Term of the log.
    pub term: u64,
    /// Newest term accepted.
    pub promised: u64,
    /// Candidate that the term was promised to.
    pub candidate: Option<String>,
    /// Accepts writes.
    pub primary: bool,
    /// Committed transactions.
    pub log: Vec<Entry>,
    /// Entries that readers see.
    pub replayed: usize,
    /// Length of the log when the term began.
    pub start: usize,
}

/// Bounded permits.
#[derive(Debug)]
pub struct Slots {
    free: sync::Mutex<usize>,
    freed: sync::Condvar,
}

impl Slots {
    fn new(count: usize) -> Self {
        Self {
            free: sync::Mutex::new(count),
            freed: sync::Condvar::new(),
        }
    }

    /// Waits for a permit and holds it while `work` runs.
    pub fn hold<T>(&self, work: impl FnOnce() -> T) -> T {
        let free = lock(&self.free);
        let waited = self.freed.wait_while(free, |free| *free == 0);
        *waited.unwrap_or_else(sync::PoisonError::into_inner) -= 1;
        let out = work();
        *lock(&self.free) += 1;
        self.freed.notify_one();
        out
    }
}

/// Locks, whatever a panicking thread left behind.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Identity of the next log entry.
static NEXT_ENTRY: atomic::AtomicU64 = atomic::AtomicU64::new(1);

/// An instance that listens on loopback.
pub struct Instance {
    /// Properties.
    pub setup: InstanceSetup,
    /// Rows.
    pub engine: engine::Engine,
    /// Statements executed at once.
    pub slots: Slots,
    pub(crate) state: sync::Mutex<State>,
    pub(crate) writer: sync::Mutex<Option<u64>>,
    pub(crate) writer_freed: sync::Condvar,
    pub(crate) cancels: sync::Mutex<collections::HashMap<i32, session::CancelFlag>>,
    sockets: sync::Mutex<collections::HashMap<u64, net::TcpStream>>,
    lag_ms: atomic::AtomicU64,
    alive: atomic::AtomicBool,
    frozen: atomic::AtomicBool,
    recorded: sync::Mutex<Option<Vec<u8>>>,
    address: net::SocketAddr,
    next: atomic::AtomicU64,
    peak: atomic::AtomicUsize,
    replica_reads: atomic::AtomicU64,
    primary_reads: atomic::AtomicU64,
}

impl Instance {
    /// Starts listening on a free port of loopback.
    pub fn start(setup: InstanceSetup) -> Result<sync::Arc<Self>, failure::Failure> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        let instance = sync::Arc::new(Self {
            slots: Slots::new(setup.slots),
            engine: engine::Engine::new()?,
            setup,
            state: sync::Mutex::new(State {
                term: 1,
                promised: 1,
                candidate: None,
                primary: false,
                log: Vec::new(),
                replayed: 0,
                start: 0,
            }),
            writer: sync::Mutex::new(None),
            writer_freed: sync::Condvar::new(),
            cancels: sync::Mutex::default(),
            sockets: sync::Mutex::default(),
            lag_ms: atomic::AtomicU64::new(0),
            alive: atomic::AtomicBool::new(true),
            frozen: atomic::AtomicBool::new(false),
            recorded: sync::Mutex::new(None),
            address: listener.local_addr()?,
            next: atomic::AtomicU64::new(1),
            peak: atomic::AtomicUsize::new(0),
            replica_reads: atomic::AtomicU64::new(0),
            primary_reads: atomic::AtomicU64::new(0),
        });
        let accepting = instance.clone();
        thread::spawn(move || accepting.accept(&listener));
        Ok(instance)
    }

    fn accept(self: sync::Arc<Self>, listener: &net::TcpListener) {
        for socket in listener.incoming() {
            let socket = match socket {
                Ok(socket) => socket,
                Err(error) => {
                    log::warn!("an instance cannot accept a connection: {error}");
                    thread::sleep(FAILURE_PAUSE);
                    continue;
                }
            };
            if !self.is_alive() {
                continue;
            }
            let id = self.next.fetch_add(1, atomic::Ordering::Relaxed);
            if let Ok(copy) = socket.try_clone() {
                lock(&self.sockets).insert(id, copy);
            }
            let instance = self.clone();
            let serve = move || {
                session::serve(&instance, socket, id);
                lock(&instance.sockets).remove(&id);
            };
            let spawned = thread::Builder::new().stack_size(STACK_SIZE).spawn(serve);
            if spawned.is_err() {
                lock(&self.sockets).remove(&id);
            }
        }
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Whether it runs.
    pub fn is_alive(&self) -> bool {
        self.alive.load(atomic::Ordering::SeqCst)
    }

    /// Stops the instance and closes its connections; its log stays.
    pub fn kill(&self) {
        self.alive.store(false, atomic::Ordering::SeqCst);
        for socket in lock(&self.sockets).values() {
            let _ = socket.shutdown(net::Shutdown::Both);
        }
    }

    /// Starts the instance again with the log it had.
    pub fn revive(&self) {
        self.alive.store(true, atomic::Ordering::SeqCst);
    }

    /// Stops answering without closing anything, or goes on.
    pub fn freeze(&self, frozen: bool) {
        self.frozen.store(frozen, atomic::Ordering::SeqCst);
    }

    /// Waits while the instance is frozen.
    pub(crate) fn thaw(&self) {
        while self.frozen.load(atomic::Ordering::SeqCst) && self.is_alive() {
            thread::sleep(time::Duration::from_millis(1));
        }
    }

    /// Delays what readers see.
    pub fn set_lag(&self, lag: time::Duration) {
        let ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        self.lag_ms.store(ms, atomic::Ordering::SeqCst);
    }

    pub(crate) fn lag(&self) -> time::Duration {
        time::Duration::from_millis(self.lag_ms.load(atomic::Ordering::SeqCst))
    }

    /// Keeps every byte received from now on.
    pub fn record(&self) {
        lock(&self.recorded).get_or_insert_default();
    }

    /// Bytes received since `record`.
    pub fn recorded(&self) -> Vec<u8> {
        lock(&self.recorded).clone().unwrap_or_default()
    }

    pub(crate) fn note_bytes(&self, tag: u8, body: &[u8]) {
        if let Some(recorded) = lock(&self.recorded).as_mut() {
            recorded.push(tag);
            recorded.extend_from_slice(body);
        }
    }

    pub(crate) fn count_connections(&self) -> usize {
        let count = lock(&self.sockets).len();
        self.peak.fetch_max(count, atomic::Ordering::Relaxed);
        count
    }

    /// Most connections open at once so far.
    pub fn peak_connections(&self) -> usize {
        self.peak.load(atomic::Ordering::Relaxed)
    }

    pub(crate) fn note_read(&self) {
        let count = if self.is_primary() {
            &self.primary_reads
        } else {
            &self.replica_reads
        };
        count.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Reads served as replica and as primary.
    pub fn reads(&self) -> (u64, u64) {
        let load = |count: &atomic::AtomicU64| count.load(atomic::Ordering::Relaxed);
        (load(&self.replica_reads), load(&self.primary_reads))
    }

    /// Whether it is primary in its term and may commit.
    pub fn is_primary(&self) -> bool {
        let state = lock(&self.state);
        state.primary && state.promised == state.term
    }

    /// Term of its log.
    pub fn term(&self) -> u64 {
        lock(&self.state).term
    }

    /// Makes it the first primary of its group.
    pub(crate) fn found(&self) {
        lock(&self.state).primary = true;
    }

    /// Accepts a newer term from the candidate; true if it was accepted.
    pub(crate) fn fence(&self, term: u64, candidate: &str) -> bool {
        let mut state = lock(&self.state);
        if term == state.promised && state.candidate.as_deref() == Some(candidate) {
            return true;
        }
        if term <= state.promised {
            return false;
        }
        state.promised = term;
        state.candidate = Some(candidate.into());
        true
    }

    /// Becomes primary in a term promised to the candidate.
    pub(crate) fn promote(&self, term: u64, candidate: &str) -> Result<bool, failure::Failure> {
        let mut state = lock(&self.state);
        let promised = state.promised == term && state.candidate.as_deref() == Some(candidate);
        if !promised {
            return Ok(false);
        }
        if state.term == term {
            return Ok(state.primary);
        }
        let (from, length) = (state.replayed, state.log.len());
        for entry in &state.log[from..] {
            self.engine.apply(&entry.statements)?;
        }
        self.engine.restage()?;
        state.replayed = length;
        state.start = length;
        state.term = term;
        state.primary = true;
        Ok(true)
    }

    /// Commits a transaction of the writer that runs in `term`.
    pub(crate) fn commit(
        &self,
        term: u64,
        statements: Vec<engine::Logged>,
    ) -> Result<(), failure::Failure> {
        let mut state = lock(&self.state);
        if !state.primary || state.term != term || state.promised != term {
            return Err(read_only());
        }
        self.engine.apply(&statements)?;
        state.log.push(Entry {
            id: NEXT_ENTRY.fetch_add(1, atomic::Ordering::Relaxed),
            statements: sync::Arc::new(statements),
            at: time::Instant::now(),
        });
        state.replayed = state.log.len();
        Ok(())
    }

    /// Follows the primary: adopts its term and takes over what it logged
    /// longer than `delay` ago.
    pub(crate) fn follow(
        &self,
        primary: &Self,
        delay: time::Duration,
    ) -> Result<(), failure::Failure> {
        let (term, start, fresh) = {
            let source = lock(&primary.state);
            let state = lock(&self.state);
            if !source.primary || state.promised > source.term || state.term > source.term {
                return Ok(());
            }
            let common = common_prefix(&state.log, &source.log);
            let ripe = |entry: &&Entry| entry.at.elapsed() >= delay;
            let fresh: Vec<_> = source.log[common..]
                .iter()
                .take_while(ripe)
                .cloned()
                .collect();
            (source.term, source.start, (common, fresh))
        };
        let mut state = lock(&self.state);
        if state.promised > term {
            return Ok(());
        }
        let (common, fresh) = fresh;
        if state.term < term {
            // Only entries that the primary has are kept.
            state.log.truncate(common);
            if state.replayed > common {
                self.rebuild(&mut state, common)?;
            }
            state.term = term;
            state.promised = term;
            state.candidate = None;
            state.primary = false;
            state.start = start;
        }
        if state.log.len() != common {
            return Ok(());
        }
        let now = time::Instant::now();
        state
            .log
            .extend(fresh.into_iter().map(|entry| Entry { at: now, ..entry }));
        Ok(())
    }

    fn rebuild(&self, state: &mut State, length: usize) -> Result<(), failure::Failure> {
        self.engine.clear()?;
        for entry in &state.log[..length] {
            self.engine.apply(&entry.statements)?;
        }
        state.replayed = length;
        Ok(())
    }

    /// Shows readers what is older than the lag.
    pub(crate) fn replay(&self) -> Result<(), failure::Failure> {
        let lag = self.lag();
        let mut state = lock(&self.state);
        while let Some(entry) = state.log.get(state.replayed) {
            if !state.primary && entry.at.elapsed() < lag {
                break;
            }
            self.engine.apply(&entry.statements)?;
            state.replayed += 1;
        }
        Ok(())
    }
}

/// A write on an instance that is not primary.
pub fn read_only() -> failure::Failure {
    failure::Failure::sql("25006", "cannot execute in a read-only transaction")
}

fn common_prefix(a: &[Entry], b: &[Entry]) -> usize {
    let shared = a.len().min(b.len());
    // Logs share a prefix, so the last shared entry decides in most cases.
    if shared == 0 || a[shared - 1].id == b[shared - 1].id {
        return shared;
    }
    a.iter().zip(b).take_while(|(a, b)| a.id == b.id).count()
}
