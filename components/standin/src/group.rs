//! A primary with its replicas, and the replication between them.

use std::{sync, sync::atomic, thread, time};

use crate::{failure, instance};

/// Period of replication.
const PERIOD: time::Duration = time::Duration::from_millis(1);

/// Properties of a group.
#[derive(Clone, Debug)]
pub struct GroupSetup {
    /// Instances; the first starts as primary.
    pub instances: Vec<instance::InstanceSetup>,
    /// Delay of replication between instances, by position.
    pub delays: Vec<Vec<time::Duration>>,
}

/// A running group.
pub struct Group {
    instances: Vec<sync::Arc<instance::Instance>>,
    delays: Vec<Vec<time::Duration>>,
    cut: Vec<atomic::AtomicBool>,
    stopped: atomic::AtomicBool,
}

impl Group {
    /// Starts all instances and the replication.
    pub fn start(setup: GroupSetup) -> Result<sync::Arc<Self>, failure::Failure> {
        let started: Result<Vec<_>, _> = setup
            .instances
            .into_iter()
            .map(instance::Instance::start)
            .collect();
        let instances = started?;
        if let Some(first) = instances.first() {
            first.found();
        }
        let group = sync::Arc::new(Self {
            cut: instances
                .iter()
                .map(|_| atomic::AtomicBool::new(false))
                .collect(),
            instances,
            delays: setup.delays,
            stopped: atomic::AtomicBool::new(false),
        });
        let replicating = sync::Arc::downgrade(&group);
        thread::spawn(move || {
            while let Some(group) = replicating.upgrade() {
                if group.stopped.load(atomic::Ordering::SeqCst) {
                    return;
                }
                group.replicate();
                drop(group);
                thread::sleep(PERIOD);
            }
        });
        Ok(group)
    }

    /// Instances by position.
    pub fn instances(&self) -> &[sync::Arc<instance::Instance>] {
        &self.instances
    }

    /// Position of the primary in the newest term, if it is alive.
    pub fn primary(&self) -> Option<usize> {
        (0..self.instances.len())
            .filter(|i| self.instances[*i].is_alive() && self.instances[*i].is_primary())
            .max_by_key(|i| self.instances[*i].term())
    }

    /// Cuts an instance off from the others' replication, or joins it again.
    pub fn isolate(&self, position: usize, cut: bool) {
        self.cut[position].store(cut, atomic::Ordering::SeqCst);
    }

    /// Ends the replication and all instances.
    pub fn stop(&self) {
        self.stopped.store(true, atomic::Ordering::SeqCst);
        for instance in &self.instances {
            instance.kill();
        }
    }

    fn is_cut(&self, position: usize) -> bool {
        self.cut[position].load(atomic::Ordering::SeqCst) || !self.instances[position].is_alive()
    }

    fn replicate(&self) {
        for (position, replica) in self.instances.iter().enumerate() {
            if !replica.is_alive() {
                continue;
            }
            if let Some(source) = self.source(position) {
                let delay = self.delay(source, position);
                let _ = replica.follow(&self.instances[source], delay);
            }
            let _ = replica.replay();
        }
    }

    /// Primary of the newest term that the instance can reach.
    fn source(&self, position: usize) -> Option<usize> {
        if self.is_cut(position) {
            return None;
        }
        (0..self.instances.len())
            .filter(|i| *i != position && !self.is_cut(*i))
            .filter(|i| instance::lock(&self.instances[*i].state).primary)
            .max_by_key(|i| self.instances[*i].term())
            .filter(|i| {
                let own = &self.instances[position];
                let primary = instance::lock(&own.state).primary;
                !primary || own.term() < self.instances[*i].term()
            })
    }

    fn delay(&self, from: usize, to: usize) -> time::Duration {
        let row = self.delays.get(from);
        row.and_then(|row| row.get(to)).copied().unwrap_or_default()
    }
}
