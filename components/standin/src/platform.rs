//! The platform's table service and VM list over HTTP.

use std::{collections, io, net, sync, sync::atomic, thread, time};

use serde::{Deserialize, Serialize};

use crate::{failure, instance};

/// Threads that answer requests.
const WORKERS: usize = 4;

/// A VM of the list, as the platform publishes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Region.
    pub region: String,
    /// Address for peers.
    pub peer: String,
    /// Being withdrawn.
    pub leaving: bool,
}

/// A row at a version.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Row {
    version: u64,
    value: serde_json::Value,
}

#[derive(Debug, Default)]
struct Tables {
    /// Number of times that the service has come back from a copy.
    era: u64,
    rows: collections::BTreeMap<String, Row>,
    vms: Vec<Vm>,
    next: Option<(time::Instant, Vec<Vm>)>,
}

/// Rows of a service at one moment.
#[derive(Clone, Debug)]
pub struct RowsCopy(collections::BTreeMap<String, Row>);

/// A running service.
pub struct Platform {
    server: tiny_http::Server,
    address: net::SocketAddr,
    tables: sync::Mutex<Tables>,
    down: atomic::AtomicBool,
    delay_ms: atomic::AtomicU64,
    lose: atomic::AtomicUsize,
    reads: atomic::AtomicU64,
    writes: atomic::AtomicU64,
}

impl Platform {
    /// Starts the service on a free port of loopback.
    pub fn start() -> Result<sync::Arc<Self>, failure::Failure> {
        let listener = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        let server = tiny_http::Server::from_listener(listener, None);
        let server = server.map_err(|_| failure::Failure::Gone)?;
        let platform = sync::Arc::new(Self {
            server,
            address,
            tables: sync::Mutex::default(),
            down: atomic::AtomicBool::new(false),
            delay_ms: atomic::AtomicU64::new(0),
            lose: atomic::AtomicUsize::new(0),
            reads: atomic::AtomicU64::new(0),
            writes: atomic::AtomicU64::new(0),
        });
        for _ in 0..WORKERS {
            let worker = platform.clone();
            thread::spawn(move || worker.work());
        }
        Ok(platform)
    }

    /// Where it listens.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Answers nothing with success, or goes on.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, atomic::Ordering::SeqCst);
    }

    /// Delays every answer.
    pub fn set_delay(&self, delay: time::Duration) {
        let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(ms, atomic::Ordering::SeqCst);
    }

    /// Loses the answers of the next writes after they took effect.
    pub fn lose_answers(&self, count: usize) {
        self.lose.store(count, atomic::Ordering::SeqCst);
    }

    /// Replaces the list of VMs after the lag.
    pub fn set_vms(&self, vms: Vec<Vm>, lag: time::Duration) {
        let mut tables = instance::lock(&self.tables);
        if lag.is_zero() {
            tables.vms = vms;
            tables.next = None;
        } else {
            tables.next = Some((time::Instant::now() + lag, vms));
        }
    }

    /// Copies the rows.
    pub fn copy(&self) -> RowsCopy {
        RowsCopy(instance::lock(&self.tables).rows.clone())
    }

    /// Returns to a copy and starts a new era: what was written since is lost.
    pub fn restore(&self, copy: &RowsCopy) {
        let mut tables = instance::lock(&self.tables);
        tables.rows.clone_from(&copy.0);
        tables.era += 1;
    }

    /// Reads and writes answered so far.
    pub fn counts(&self) -> (u64, u64) {
        let load = |count: &atomic::AtomicU64| count.load(atomic::Ordering::Relaxed);
        (load(&self.reads), load(&self.writes))
    }

    /// Ends the service.
    pub fn stop(&self) {
        for _ in 0..WORKERS {
            self.server.unblock();
        }
    }

    fn work(&self) {
        while let Ok(request) = self.server.recv() {
            let delay = self.delay_ms.load(atomic::Ordering::SeqCst);
            thread::sleep(time::Duration::from_millis(delay));
            self.answer(request);
        }
    }

    fn answer(&self, mut request: tiny_http::Request) {
        if self.down.load(atomic::Ordering::SeqCst) {
            self.respond(request, 503, "{}");
            return;
        }
        let url = request.url().to_string();
        let mut body = String::new();
        let _ = io::Read::read_to_string(request.as_reader(), &mut body);
        let put = *request.method() == tiny_http::Method::Put;
        let (code, text) = match url.strip_prefix("/rows/") {
            Some(key) if put => self.write(key, &body),
            Some(key) => self.read(key),
            None if url == "/vms" => (200, self.list()),
            None => (404, "{}".into()),
        };
        let counter = if put { &self.writes } else { &self.reads };
        counter.fetch_add(1, atomic::Ordering::Relaxed);
        let lost = put && code == 200 && self.loses();
        let (code, text) = if lost {
            (504, "{}".into())
        } else {
            (code, text)
        };
        self.respond(request, code, &text);
    }

    fn respond(&self, request: tiny_http::Request, code: u16, text: &str) {
        let era = instance::lock(&self.tables).era.to_string();
        let mut response = tiny_http::Response::from_string(text).with_status_code(code);
        if let Ok(era) = tiny_http::Header::from_bytes("Store-Era", era) {
            response.add_header(era);
        }
        let _ = request.respond(response);
    }

    fn loses(&self) -> bool {
        let order = atomic::Ordering::SeqCst;
        let taken = self
            .lose
            .fetch_update(order, order, |left| left.checked_sub(1));
        taken.is_ok()
    }

    fn read(&self, key: &str) -> (u16, String) {
        let tables = instance::lock(&self.tables);
        match tables.rows.get(key) {
            Some(row) => (200, serde_json::to_string(row).unwrap_or_default()),
            None => (404, "{}".into()),
        }
    }

    fn write(&self, key: &str, body: &str) -> (u16, String) {
        let Ok(row) = serde_json::from_str::<Row>(body) else {
            return (400, "{}".into());
        };
        let mut tables = instance::lock(&self.tables);
        let version = tables.rows.get(key).map_or(0, |row| row.version);
        if row.version != version {
            return (409, "{}".into());
        }
        let next = Row {
            version: version + 1,
            value: row.value,
        };
        tables.rows.insert(key.into(), next);
        (200, format!("{{\"version\":{}}}", version + 1))
    }

    fn list(&self) -> String {
        let mut tables = instance::lock(&self.tables);
        let due = |(at, _): &mut (time::Instant, Vec<Vm>)| *at <= time::Instant::now();
        if let Some((_, vms)) = tables.next.take_if(due) {
            tables.vms = vms;
        }
        serde_json::to_string(&tables.vms).unwrap_or_default()
    }
}
