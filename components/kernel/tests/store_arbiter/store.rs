//! Simulated store: rows, change feeds of the parts of the view, and a queue of
//! writes.

use std::{collections, sync, time as std_time};

use kernel::{event, time, view, view_sync};

use super::{Delivery, LINK_DELAY, Simulation, document, ms};

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
    version: u64,
    rows: collections::BTreeMap<event::RowKey, (u64, event::Row)>,
    row_changes: Vec<(u64, event::RowKey)>,
    /// Time at which the queued writes are done.
    busy_until: time::Time,
    /// Configuration and instances, each with the version of its last change.
    configuration: (u64, Option<view::Document>),
    instances: (u64, Vec<view::Change>),
    /// Reads that wait for changes, by VM and part, with their sending times.
    pending_reads: collections::BTreeMap<(usize, view::Part), (time::Time, view_sync::DueRead)>,
}

impl Store {
    /// Writes a row, whatever the version of the present row.
    pub fn put(&mut self, row: event::Row) {
        let key = row.key();
        self.version += 1;
        self.rows.insert(key.clone(), (self.version, row));
        self.row_changes.push((self.version, key));
    }

    /// Removes a row.
    pub fn remove(&mut self, key: event::RowKey) {
        self.version += 1;
        self.rows.remove(&key);
        self.row_changes.push((self.version, key));
    }

    /// Writes or removes a row if the present row has the expected version; a row
    /// that does not exist has version 0.
    fn compare_and_set(
        &mut self,
        key: event::RowKey,
        version: u64,
        row: Option<event::Row>,
    ) -> event::StoreOutcome {
        if self.rows.get(&key).map_or(0, |(version, _)| *version) != version {
            return event::StoreOutcome::Conflict;
        }
        match row {
            Some(row) => self.put(row),
            None => self.remove(key),
        }
        event::StoreOutcome::Written(self.version)
    }

    /// Changes of a part after a version, or the whole part without one. `None` if
    /// nothing has changed.
    fn changes(&self, part: view::Part, after: Option<u64>) -> Option<Vec<view::Change>> {
        let since = after.unwrap_or(0);
        let changes: Vec<_> = match part {
            view::Part::Configuration => {
                let (version, document) = &self.configuration;
                let document = document.clone().filter(|_| *version > since);
                let document = document.into_iter();
                document
                    .map(|document| view::Change::Configuration(sync::Arc::new(document)))
                    .collect()
            }
            view::Part::Instances => {
                let (version, list) = &self.instances;
                if *version > since {
                    list.clone()
                } else {
                    Vec::new()
                }
            }
            view::Part::Rows => {
                let fresh = self
                    .row_changes
                    .iter()
                    .filter(|(version, _)| *version > since);
                fresh
                    .map(|(_, key)| view::Change::Row(key.clone(), self.rows.get(key).cloned()))
                    .collect()
            }
        };
        (after.is_none() || !changes.is_empty()).then_some(changes)
    }
}

impl Simulation {
    /// Copies configuration and instances into the store if a test has changed them.
    pub(super) fn refresh_store(&mut self) {
        let document = document(self);
        if self.store.configuration.1.as_ref() != Some(&document) {
            self.store.version += 1;
            self.store.configuration = (self.store.version, Some(document));
        }
        let instances = self.registrations();
        if self.store.instances.1 != instances {
            self.store.version += 1;
            self.store.instances = (self.store.version, instances);
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
            if let Some(due) = due.filter(|due| due.at <= self.now) {
                self.store.calls += 1;
                self.store_readers.insert(vm);
                self.store.pending_reads.insert((vm, part), (self.now, due));
                self.answer_read(vm, part, self.now, due);
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
        let after = due.after;
        let failed = self.cut_store.contains(&vm);
        let changes = self.store.changes(part, after);
        let is_expired = self.now.since(sent) >= due.wait;
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
                proven_at: self.now,
                version: self.store.version,
                whole: after.is_none(),
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
    pub(super) fn queue_write(
        &mut self,
        vm: usize,
        version: u64,
        row: Option<event::Row>,
        key: event::RowKey,
    ) {
        self.store.calls += 1;
        let wait = self.store.busy_until.since(self.now);
        if wait > QUEUE_LIMIT {
            self.store.refused_writes += 1;
            let event = event::Event::RowStored(key, event::StoreOutcome::Unknown);
            return self.schedule(LINK_DELAY + LINK_DELAY, Delivery::Event(vm, event));
        }
        self.store.busy_until = self.now + wait + WRITE_TIME;
        self.schedule(LINK_DELAY + wait, Delivery::WriteRow(vm, version, row, key));
    }

    pub(super) fn apply_write(
        &mut self,
        vm: usize,
        version: u64,
        row: Option<event::Row>,
        key: event::RowKey,
    ) {
        let outcome = if self.cut_store.contains(&vm) || self.failing_writers.contains(&vm) {
            event::StoreOutcome::Unknown
        } else {
            self.store.compare_and_set(key.clone(), version, row)
        };
        self.schedule(
            LINK_DELAY,
            Delivery::Event(vm, event::Event::RowStored(key, outcome)),
        );
    }
}
