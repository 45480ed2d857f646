//! Load generator of one session.

use std::{collections, sync::atomic, thread, time};

use postgres::{Client, NoTls, Statement};
use rand::{Rng, SeedableRng, rngs};

/// Pause after a failed attempt to connect.
const RECONNECT_DELAY: time::Duration = time::Duration::from_millis(20);
/// SQLSTATE with which a stopping daemon refuses requests.
const STOPPING: &str = "57P01";
/// Attempts for an operation that a stopping daemon refuses.
const MAX_ATTEMPTS: usize = 3;
/// Upper end of the histograms, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Number of the session's latest orders from which a read picks one.
const RECENT_ORDERS: usize = 8;

/// Parameters of a session.
#[derive(Clone, Debug)]
pub struct Task {
    /// Position of the customer in the deployment.
    pub customer: usize,
    /// Position of the service in the deployment.
    pub service: usize,
    /// Connection URLs, tried in turn from the first.
    pub urls: Vec<String>,
    /// Operations a second.
    pub rate: f64,
    /// Share of writes, in percent.
    pub write_percent: u32,
    /// Id below the first order; ids ascend from here.
    pub first_id: i32,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Results of a session.
pub struct SessionResult {
    /// Parameters of the session.
    pub task: Task,
    /// Latency from the due time, in microseconds.
    pub latency: hdrhistogram::Histogram<u64>,
    /// Operations that became due.
    pub offered: u64,
    /// Operations answered.
    pub answered: u64,
    /// Refusals by SQLSTATE.
    pub refused: collections::BTreeMap<String, u64>,
    /// Ids of acknowledged writes, with the times of acknowledgement.
    pub acknowledged: Vec<(i32, time::Instant)>,
    /// Ids of writes that the daemon reported as "not run".
    pub not_run: Vec<i32>,
    /// Operations with an unknown outcome.
    pub unknown: u64,
    /// Reads that missed an earlier write of the same session.
    pub stale: u64,
    /// Reads answered.
    pub reads: u64,
}

/// How an operation failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OperationFailure {
    /// Not run because the daemon is stopping; another daemon can run the
    /// operation.
    DaemonStopping,
    /// Not run.
    NotRun,
    /// Whether the operation ran is unknown.
    Unknown,
}

/// A connection with its prepared statements.
struct Connection {
    client: Client,
    insert: Statement,
    select: Statement,
}

impl Connection {
    fn open(url: &str) -> Result<Self, postgres::Error> {
        let mut client = Client::connect(url, NoTls)?;
        let insert =
            client.prepare("INSERT INTO orders (id, item, quantity) VALUES ($1, $2, $3)")?;
        let select = client.prepare("SELECT quantity FROM orders WHERE id = $1")?;
        Ok(Self {
            client,
            insert,
            select,
        })
    }
}

struct Session<'a> {
    result: SessionResult,
    connection: Option<Connection>,
    url_index: usize,
    recent_ids: collections::VecDeque<i32>,
    random: rngs::SmallRng,
    stop: &'a atomic::AtomicBool,
}

/// Runs a session until `stop` is set.
pub fn run(
    task: Task,
    begin: time::Instant,
    stop: &atomic::AtomicBool,
) -> Result<SessionResult, hdrhistogram::CreationError> {
    let mut session = Session {
        random: rngs::SmallRng::seed_from_u64(task.seed),
        result: SessionResult {
            latency: hdrhistogram::Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
            task,
            offered: 0,
            answered: 0,
            refused: collections::BTreeMap::new(),
            acknowledged: Vec::new(),
            not_run: Vec::new(),
            unknown: 0,
            stale: 0,
            reads: 0,
        },
        connection: None,
        url_index: 0,
        recent_ids: collections::VecDeque::new(),
        stop,
    };
    session.run_operations(begin);
    Ok(session.result)
}

impl Session<'_> {
    fn is_stopped(&self) -> bool {
        self.stop.load(atomic::Ordering::SeqCst)
    }

    fn run_operations(&mut self, begin: time::Instant) {
        self.connect();
        let mean_interval = 1.0 / self.result.task.rate;
        let mut due =
            begin + time::Duration::from_secs_f64(mean_interval * self.random.random::<f64>());
        let mut id = self.result.task.first_id;
        while !self.is_stopped() {
            let wait = due.saturating_duration_since(time::Instant::now());
            if !wait.is_zero() {
                thread::sleep(wait.min(time::Duration::from_millis(50)));
                continue;
            }
            self.result.offered += 1;
            let is_write = self.recent_ids.is_empty()
                || self.random.random_range(0..100) < self.result.task.write_percent;
            if is_write {
                id += 1;
                self.write(id, due);
            } else {
                self.read(due);
            }
            let uniform: f64 = self.random.random_range(1e-9..1.0);
            due += time::Duration::from_secs_f64(-uniform.ln() * mean_interval);
        }
        // Operations that were due but not started count as offered and not answered.
        let late = due.elapsed().as_secs_f64();
        self.result.offered += (late * self.result.task.rate) as u64;
    }

    fn connect(&mut self) {
        while self.connection.is_none() && !self.is_stopped() {
            let url = &self.result.task.urls[self.url_index];
            match Connection::open(url) {
                Ok(connection) => self.connection = Some(connection),
                Err(_) => {
                    self.url_index = (self.url_index + 1) % self.result.task.urls.len();
                    thread::sleep(RECONNECT_DELAY);
                }
            }
        }
    }

    fn record_answer(&mut self, due: time::Instant) {
        let micros = due.elapsed().as_micros();
        let micros = u64::try_from(micros).unwrap_or(MAX_LATENCY_US);
        self.result.latency.saturating_record(micros.max(1));
        self.result.answered += 1;
    }

    /// Counts a refusal; after a lost connection, selects the next URL.
    fn record_failure(&mut self, error: &postgres::Error) -> OperationFailure {
        let detail = error.as_db_error().and_then(|db| db.detail());
        let not_run = detail.is_some_and(|detail| detail.starts_with("not run"));
        let state = error.code().map_or("closed", |code| code.code());
        *self.result.refused.entry(state.into()).or_default() += 1;
        let closed = self
            .connection
            .as_ref()
            .is_none_or(|open| open.client.is_closed());
        if closed || error.code().is_none() {
            self.connection = None;
            self.url_index = (self.url_index + 1) % self.result.task.urls.len();
        }
        match (not_run, state) {
            (true, STOPPING) => OperationFailure::DaemonStopping,
            (true, _) => OperationFailure::NotRun,
            (false, _) => OperationFailure::Unknown,
        }
    }

    fn write(&mut self, id: i32, due: time::Instant) {
        for _ in 0..MAX_ATTEMPTS {
            match self.try_write(id, due) {
                Some(OperationFailure::DaemonStopping) => {}
                Some(OperationFailure::NotRun) => return self.result.not_run.push(id),
                Some(OperationFailure::Unknown) => {
                    self.result.unknown += 1;
                    return;
                }
                None => return,
            }
        }
        self.result.not_run.push(id);
    }

    fn try_write(&mut self, id: i32, due: time::Instant) -> Option<OperationFailure> {
        self.connect();
        let connection = self.connection.as_mut()?;
        let insert = connection.insert.clone();
        match connection
            .client
            .execute(&insert, &[&id, &"harvest loaf", &1])
        {
            Ok(_) => {
                self.record_answer(due);
                self.result.acknowledged.push((id, time::Instant::now()));
                self.recent_ids.push_back(id);
                if self.recent_ids.len() > RECENT_ORDERS {
                    self.recent_ids.pop_front();
                }
                None
            }
            Err(error) => Some(self.record_failure(&error)),
        }
    }

    fn read(&mut self, due: time::Instant) {
        let index = self.random.random_range(0..self.recent_ids.len());
        let id = self.recent_ids[index];
        for _ in 0..MAX_ATTEMPTS {
            if self.try_read(id, due) != Some(OperationFailure::DaemonStopping) {
                return;
            }
        }
    }

    fn try_read(&mut self, id: i32, due: time::Instant) -> Option<OperationFailure> {
        self.connect();
        let connection = self.connection.as_mut()?;
        let select = connection.select.clone();
        match connection.client.query_opt(&select, &[&id]) {
            Ok(row) => {
                self.record_answer(due);
                self.result.reads += 1;
                self.result.stale += u64::from(row.is_none());
                None
            }
            Err(error) => Some(self.record_failure(&error)),
        }
    }
}
