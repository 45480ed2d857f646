//! One session of the load.

use std::{collections, sync::atomic, thread, time};

use postgres::{Client, NoTls, Statement};
use rand::{Rng, SeedableRng, rngs};

/// Pause before a new connection after one was lost.
const RECONNECT: time::Duration = time::Duration::from_millis(20);
/// SQLSTATE of a daemon that stops.
const STOPPING: &str = "57P01";
/// Attempts of an operation that another daemon can run.
const ATTEMPTS: usize = 3;
/// Upper end of the histograms, in microseconds.
const LONGEST_US: u64 = 60_000_000;
/// Orders of the caller that a read picks from.
const OWN_ORDERS: usize = 8;

/// What a session does.
#[derive(Clone, Debug)]
pub struct Task {
    /// Customer's position.
    pub customer: usize,
    /// Service's position.
    pub service: usize,
    /// Connection lines, tried in turn; the first is its home.
    pub urls: Vec<String>,
    /// Operations a second.
    pub rate: f64,
    /// Share of writes, in percent.
    pub writes: u32,
    /// First identity of its orders.
    pub first: i32,
    /// Seed.
    pub seed: u64,
}

/// What a session saw.
pub struct Seen {
    /// Task.
    pub task: Task,
    /// Latency from the due time, in microseconds.
    pub latency: hdrhistogram::Histogram<u64>,
    /// Operations that were due.
    pub offered: u64,
    /// Operations answered.
    pub answered: u64,
    /// Refusals by SQLSTATE.
    pub refused: collections::BTreeMap<String, u64>,
    /// Writes acknowledged, with their times.
    pub acknowledged: Vec<(i32, time::Instant)>,
    /// Writes refused as not run.
    pub not_run: Vec<i32>,
    /// Operations with an unknown outcome.
    pub unknown: u64,
    /// Reads that missed an own write.
    pub stale: u64,
    /// Reads answered.
    pub reads: u64,
}

/// How an operation failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failed {
    /// Not run, since the daemon stops; another one will do.
    Elsewhere,
    /// Not run.
    NotRun,
    /// Nobody can tell.
    Unknown,
}

/// A connection with its statements.
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
    seen: Seen,
    client: Option<Connection>,
    url: usize,
    own: collections::VecDeque<i32>,
    random: rngs::SmallRng,
    stop: &'a atomic::AtomicBool,
}

/// Runs a session until `stop`.
pub fn run(
    task: Task,
    begin: time::Instant,
    stop: &atomic::AtomicBool,
) -> Result<Seen, hdrhistogram::CreationError> {
    let mut session = Session {
        random: rngs::SmallRng::seed_from_u64(task.seed),
        seen: Seen {
            latency: hdrhistogram::Histogram::new_with_bounds(1, LONGEST_US, 3)?,
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
        client: None,
        url: 0,
        own: collections::VecDeque::new(),
        stop,
    };
    session.serve(begin);
    Ok(session.seen)
}

impl Session<'_> {
    fn stopped(&self) -> bool {
        self.stop.load(atomic::Ordering::SeqCst)
    }

    fn serve(&mut self, begin: time::Instant) {
        self.connect();
        let gap = 1.0 / self.seen.task.rate;
        let mut due = begin + time::Duration::from_secs_f64(gap * self.random.random::<f64>());
        let mut id = self.seen.task.first;
        while !self.stopped() {
            let wait = due.saturating_duration_since(time::Instant::now());
            if !wait.is_zero() {
                thread::sleep(wait.min(time::Duration::from_millis(50)));
                continue;
            }
            self.seen.offered += 1;
            let write =
                self.own.is_empty() || self.random.random_range(0..100) < self.seen.task.writes;
            if write {
                id += 1;
                self.write(id, due);
            } else {
                self.read(due);
            }
            let uniform: f64 = self.random.random_range(1e-9..1.0);
            due += time::Duration::from_secs_f64(-uniform.ln() * gap);
        }
        // What was due and never begun counts as not answered.
        let late = due.elapsed().as_secs_f64();
        self.seen.offered += (late * self.seen.task.rate) as u64;
    }

    fn connect(&mut self) {
        while self.client.is_none() && !self.stopped() {
            let url = &self.seen.task.urls[self.url];
            match Connection::open(url) {
                Ok(client) => self.client = Some(client),
                Err(_) => {
                    self.url = (self.url + 1) % self.seen.task.urls.len();
                    thread::sleep(RECONNECT);
                }
            }
        }
    }

    fn done(&mut self, due: time::Instant) {
        let micros = due.elapsed().as_micros();
        let micros = u64::try_from(micros).unwrap_or(LONGEST_US);
        self.seen.latency.saturating_record(micros.max(1));
        self.seen.answered += 1;
    }

    /// Notes a failure.
    fn failed(&mut self, error: &postgres::Error) -> Failed {
        let detail = error.as_db_error().and_then(|db| db.detail());
        let not_run = detail.is_some_and(|detail| detail.starts_with("not run"));
        let state = error.code().map_or("closed", |code| code.code());
        *self.seen.refused.entry(state.into()).or_default() += 1;
        let closed = self
            .client
            .as_ref()
            .is_none_or(|open| open.client.is_closed());
        if closed || error.code().is_none() {
            self.client = None;
            self.url = (self.url + 1) % self.seen.task.urls.len();
        }
        match (not_run, state) {
            (true, STOPPING) => Failed::Elsewhere,
            (true, _) => Failed::NotRun,
            (false, _) => Failed::Unknown,
        }
    }

    fn write(&mut self, id: i32, due: time::Instant) {
        for _ in 0..ATTEMPTS {
            match self.try_write(id, due) {
                Some(Failed::Elsewhere) => {}
                Some(Failed::NotRun) => return self.seen.not_run.push(id),
                Some(Failed::Unknown) => {
                    self.seen.unknown += 1;
                    return;
                }
                None => return,
            }
        }
        self.seen.not_run.push(id);
    }

    fn try_write(&mut self, id: i32, due: time::Instant) -> Option<Failed> {
        self.connect();
        let client = self.client.as_mut()?;
        let insert = client.insert.clone();
        match client.client.execute(&insert, &[&id, &"harvest loaf", &1]) {
            Ok(_) => {
                self.done(due);
                self.seen.acknowledged.push((id, time::Instant::now()));
                self.own.push_back(id);
                if self.own.len() > OWN_ORDERS {
                    self.own.pop_front();
                }
                None
            }
            Err(error) => Some(self.failed(&error)),
        }
    }

    fn read(&mut self, due: time::Instant) {
        let index = self.random.random_range(0..self.own.len());
        let id = self.own[index];
        for _ in 0..ATTEMPTS {
            if self.try_read(id, due) != Some(Failed::Elsewhere) {
                return;
            }
        }
    }

    fn try_read(&mut self, id: i32, due: time::Instant) -> Option<Failed> {
        self.connect();
        let client = self.client.as_mut()?;
        let select = client.select.clone();
        match client.client.query_opt(&select, &[&id]) {
            Ok(row) => {
                self.done(due);
                self.seen.reads += 1;
                self.seen.stale += u64::from(row.is_none());
                None
            }
            Err(error) => Some(self.failed(&error)),
        }
    }
}
