//! Simulated store: rows, change feeds of the parts of the view, and a queue of
//! writes.

use std::{collections, sync, time as std_time};

use config::Name;
use kernel::{event, time, version, view, view_sync};

use super::{Delivery, LINK_DELAY, Simulation, Write, document, ms};

/// Time that the store takes for one write; writes run one after the other.
const WRITE_TIME: std_time::Duration = ms(5);
/// Longest wait in the queue; the store refuses a write that would wait longer.
const QUEUE_LIMIT: std_time::Duration = ms(1000);

/// Contents of the store, its history of changes and the calls to it.
#[derive(Default)]
pub struct Store {
    /// Number of reads and writes so far.
    pub calls: usize,
    /// Number of refused writes.
    pub refused_writes: usize,
    /// Versions of rows that were written in a later era than the one that their writers
    /// stated.
    pub late_writes: Vec<u64>,
    data: Data,
    /// Time at which the queued writes are done.
    busy_until: time::Time,
    /// Reads that wait for changes, by VM and part, with their sending times.
    pending_reads: collections::BTreeMap<(usize, view::Part), (time::Time, view_sync::DueRead)>,
}

/// Rows and history at one moment.
#[derive(Clone, Default)]
pub struct Data {
    /// Number of times that the store has come back from a copy.
    era: u64,
    number: u64,
    /// Rows with the versions at which they were written.
    rows: collections::BTreeMap<event::RowKey, (u64, event::Row)>,
    row_changes: Vec<(u64, event::RowKey)>,
    /// Configuration and instances, each with the version of its last change.
    configuration: (u64, Option<view::Document>),
    instances: (u64, Vec<view::Change>),
    /// Evacuated failure domains with the versions of their entries.
    evacuations: collections::BTreeMap<Name, u64>,
    evacuation_changes: Vec<(u64, Name)>,
}

impl Data {
    fn version(&self) -> u64 {
        pack(self.era, self.number)
    }

    /// Writes or removes a row in one transaction with others; `era` is the one that
    /// the writer states.
    fn set(&mut self, era: u64, key: event::RowKey, row: Option<event::Row>) {
        let written = pack(era, self.number);
        match row {
            Some(row) => self.rows.insert(key.clone(), (written, row)),
            None => self.rows.remove(&key),
        };
        self.row_changes.push((self.version(), key));
    }
}

fn pack(era: u64, number: u64) -> u64 {
    let version = version::Version::try_from((era, number));
    version.expect("the version is in range").into()
}

fn number(version: u64) -> u64 {
    version::Version::from(version).number()
}

impl Store {
    /// Writes a row, whatever the version of the present row.
    pub fn put(&mut self, row: event::Row) {
        self.data.number += 1;
        self.data.set(self.data.era, row.key(), Some(row));
    }

    /// Removes a row.
    pub fn remove(&mut self, key: event::RowKey) {
        self.data.number += 1;
        self.data.set(self.data.era, key, None);
    }

    /// Rows and history at this moment.
    pub fn copy(&self) -> Data {
        self.data.clone()
    }

    /// Returns to a copy and starts a new era.
    pub fn restore(&mut self, copy: Data) {
        let era = self.data.era + 1;
        self.data = Data { era, ..copy };
    }

    /// Row as the store has it.
    pub fn row(&self, key: &event::RowKey) -> Option<&event::Row> {
        self.data.rows.get(key).map(|(_, row)| row)
    }

    /// Writes or removes rows if all present rows have the expected numbers; a row that
    /// does not exist has number 0.
    fn compare_and_set(&mut self, changes: &[event::RowChange]) -> event::StoreOutcome {
        let is_expected = |change: &event::RowChange| {
            let found = self.data.rows.get(&change.key);
            found.map_or(0, |(version, _)| number(*version)) == number(change.version)
        };
        if !changes.iter().all(is_expected) {
            return event::StoreOutcome::Conflict;
        }
        self.data.number += 1;
        for change in changes {
            self.data
                .set(change.era, change.key.clone(), change.row.clone());
        }
        if changes.iter().any(|change| change.era != self.data.era) {
            let written = changes.iter();
            let versions = written.map(|change| pack(change.era, self.data.number));
            self.late_writes.extend(versions);
            return event::StoreOutcome::Unknown;
        }
        event::StoreOutcome::Written(self.data.version())
    }

    /// Changes of a part after a version, or the whole part without one. `None` if
    /// nothing has changed.
    fn changes(&self, part: view::Part, after: Option<u64>) -> Option<Vec<view::Change>> {
        let since = after.unwrap_or(0);
        let changes: Vec<_> = match part {
            view::Part::Configuration => {
                let (version, document) = &self.data.configuration;
                let document = document.clone().filter(|_| *version > since);
                let document = document.into_iter();
                let document =
                    document.map(|document| view::Change::Configuration(sync::Arc::new(document)));
                document.chain(self.evacuations(after)).collect()
            }
            view::Part::Instances => {
                let (version, list) = &self.data.instances;
                if *version > since {
                    list.clone()
                } else {
                    Vec::new()
                }
            }
            view::Part::Rows => {
                let rows = &self.data.rows;
                let fresh = self
                    .data
                    .row_changes
                    .iter()
                    .filter(|(version, _)| *version > since);
                fresh
                    .map(|(_, key)| view::Change::Row(key.clone(), rows.get(key).cloned()))
                    .filter(|change| {
                        after.is_some() || !matches!(change, view::Change::Row(_, None))
                    })
                    .collect()
            }
        };
        (after.is_none() || !changes.is_empty()).then_some(changes)
    }
}

impl Store {
    /// Evacuations that changed after a version, or all without one.
    fn evacuations(&self, after: Option<u64>) -> Vec<view::Change> {
        let known = &self.data.evacuations;
        let Some(after) = after else {
            let all = known.iter();
            return all
                .map(|(domain, version)| view::Change::Evacuation(domain.clone(), Some(*version)))
                .collect();
        };
        let changes = self.data.evacuation_changes.iter();
        changes
            .filter(|(version, _)| *version > after)
            .map(|(_, domain)| view::Change::Evacuation(domain.clone(), known.get(domain).copied()))
            .collect()
    }
}

impl Data {
    /// Writes and removes entries until these failure domains are evacuated.
    fn set_evacuated(&mut self, evacuated: &collections::BTreeSet<Name>) {
        let known: collections::BTreeSet<_> = self.evacuations.keys().cloned().collect();
        for domain in known.symmetric_difference(evacuated) {
            self.number += 1;
            if evacuated.contains(domain) {
                self.evacuations.insert(domain.clone(), self.number);
            } else {
                self.evacuations.remove(domain);
            }
            let version = self.version();
            self.evacuation_changes.push((version, domain.clone()));
        }
    }
}

impl Simulation {
    /// Copies configuration and instances into the store if a test has changed them.
    pub(super) fn refresh_store(&mut self) {
        let document = document(self);
        let instances = self.registrations();
        let data = &mut self.store.data;
        let is_changed = data.configuration.1.as_ref() != Some(&document);
        if is_changed && !self.is_operator_away {
            data.number += 1;
            data.configuration = (data.version(), Some(document));
        }
        if !self.is_operator_away {
            data.set_evacuated(&self.evacuated);
        }
        if data.instances.1 != instances {
            data.number += 1;
            data.instances = (data.version(), instances);
        }
    }

    /// Sends the reads that are due on a VM and answers those that can be answered.
    pub(super) fn advance_reads(&mut self, vm: usize) {
        if self.dead.contains(&vm) || self.paused.contains(&vm) {
            return;
        }
        for part in view::PARTS {
            if let Some((sent, due)) = self.store.pending_reads.get(&(vm, part)).copied() {
                self.answer_read(vm, part, sent, due);
                continue;
            }
            let due = self.daemons[vm].due_read(part);
            let now = self.local_time(vm);
            if let Some(due) = due.filter(|due| due.at <= now) {
                self.store.calls += 1;
                self.store_readers.insert(vm);
                self.store.pending_reads.insert((vm, part), (now, due));
                self.answer_read(vm, part, now, due);
            }
        }
    }

    fn answer_read(
        &mut self,
        vm: usize,
        part: view::Part,
        sent: time::Time,
        due: view_sync::DueRead,
    ) {
        let era = self.store.data.era;
        let after = due
            .after
            .filter(|after| version::Version::from(*after).era() == era);
        let failed = self.cut_store.contains(&vm);
        let changes = self.store.changes(part, after);
        let is_expired = self.local_time(vm).since(sent) >= due.wait;
        if changes.is_none() && !is_expired && !failed {
            return;
        }
        self.store.pending_reads.remove(&(vm, part));
        let changes = changes.unwrap_or_default();
        let finished = view_sync::FinishedRead {
            part,
            sent,
            changes: after.map(|_| changes.len()),
            failed,
        };
        if !failed {
            let update = view::Update {
                part,
                proven_at: self.local_time(vm),
                version: self.store.data.version(),
                whole: after.is_none(),
                is_direct: true,
                changes,
            };
            self.schedule(
                LINK_DELAY,
                Delivery::Event(vm, event::Event::ViewUpdated(update)),
            );
        }
        self.schedule(
            LINK_DELAY,
            Delivery::Event(vm, event::Event::StoreReadEnded(finished)),
        );
    }

    /// Drops the waiting reads of a VM whose process has ended.
    pub(super) fn forget_reads(&mut self, vm: usize) {
        self.store
            .pending_reads
            .retain(|(reader, _), _| *reader != vm);
    }

    /// Queues a write of a VM behind earlier writes, or refuses it.
    pub(super) fn queue_write(&mut self, vm: usize, write: Write) {
        self.store.calls += 1;
        let wait = self.store.busy_until.since(self.now);
        if wait > QUEUE_LIMIT {
            self.store.refused_writes += 1;
            return self.answer_write(vm, &write, event::StoreOutcome::Unknown);
        }
        self.store.busy_until = self.now + wait + WRITE_TIME;
        self.schedule(LINK_DELAY + wait, Delivery::Write(vm, write));
    }

    pub(super) fn apply_write(&mut self, vm: usize, write: &Write) {
        let outcome = if self.cut_store.contains(&vm) || self.failing_writers.contains(&vm) {
            event::StoreOutcome::Unknown
        } else {
            match write {
                Write::Change(change) => self.store.compare_and_set(std::slice::from_ref(change)),
                Write::Restore(changes) => self.store.compare_and_set(changes),
            }
        };
        self.answer_write(vm, write, outcome);
    }

    fn answer_write(&mut self, vm: usize, write: &Write, outcome: event::StoreOutcome) {
        if let Write::Change(change) = write {
            let event = event::Event::RowStored(change.key.clone(), outcome);
            self.schedule(LINK_DELAY, Delivery::Event(vm, event));
        }
    }
}
