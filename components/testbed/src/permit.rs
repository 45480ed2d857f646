//! Limit on the clusters that run in a process at the same time.
//!
//! A cluster holds some hundred threads and sockets. Tests that run in parallel would
//! need several thousand of them at once, which a busy machine may not have left.

use std::sync;

/// Clusters that may run at the same time.
const MAX_CLUSTERS: usize = 4;

static RUNNING: sync::Mutex<usize> = sync::Mutex::new(0);
static ENDED: sync::Condvar = sync::Condvar::new();

/// Permission to run a cluster, until it is dropped.
pub struct Permit(());

impl Permit {
    /// Waits until fewer than [`MAX_CLUSTERS`] run.
    pub fn acquire() -> Self {
        let running = RUNNING.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let running = ENDED.wait_while(running, |running| *running >= MAX_CLUSTERS);
        *running.unwrap_or_else(sync::PoisonError::into_inner) += 1;
        Self(())
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(sync::PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}
