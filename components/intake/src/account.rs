//! Accounts of sessions, and the intake that they share.

use std::{sync, sync::atomic, time};

use crate::ledger;

/// Large buffers that are kept for reuse.
const MAX_SPARE_BUFFERS: usize = 4;

/// Memory of a daemon for what its callers send.
#[derive(Debug)]
pub struct Intake {
    ledger: sync::Mutex<ledger::Ledger>,
    released: sync::Condvar,
    waits: atomic::AtomicU64,
    refusals: atomic::AtomicU64,
    /// Large buffers for the next large messages. An allocator keeps freed memory for each
    /// of its arenas, which for large buffers of many threads is far more than the intake.
    spare_buffers: sync::Mutex<Vec<Vec<u8>>>,
}

impl Intake {
    /// Creates an intake of this many bytes.
    pub fn new(total: usize) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            ledger: sync::Mutex::new(ledger::Ledger::new(total)),
            released: sync::Condvar::new(),
            waits: atomic::AtomicU64::new(0),
            refusals: atomic::AtomicU64::new(0),
            spare_buffers: sync::Mutex::default(),
        })
    }

    fn lock(&self) -> sync::MutexGuard<'_, ledger::Ledger> {
        self.ledger
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn lock_buffers(&self) -> sync::MutexGuard<'_, Vec<Vec<u8>>> {
        self.spare_buffers
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Bytes that are charged.
    pub fn held(&self) -> usize {
        self.lock().held()
    }

    /// Number of charges that had to wait.
    pub fn waits(&self) -> u64 {
        self.waits.load(atomic::Ordering::Relaxed)
    }

    /// Number of charges that were refused.
    pub fn refusals(&self) -> u64 {
        self.refusals.load(atomic::Ordering::Relaxed)
    }
}

/// Bytes that one session holds.
#[derive(Debug)]
pub struct Account {
    intake: sync::Arc<Intake>,
    owner: ledger::Owner,
    /// Bytes for the message that the session reads or runs.
    message: usize,
    /// Bytes that stay until the end of the session.
    kept: usize,
}

impl Account {
    /// Opens the account of a session without a customer.
    pub fn open(intake: &sync::Arc<Intake>) -> Self {
        Self {
            intake: intake.clone(),
            owner: "".into(),
            message: 0,
            kept: 0,
        }
    }

    /// Charges to this customer from now on.
    pub fn set_owner(&mut self, owner: ledger::Owner) {
        let held = self.message + self.kept;
        let mut ledger = self.intake.lock();
        ledger.release(&self.owner, held);
        ledger.charge(&owner, held);
        drop(ledger);
        self.owner = owner;
    }

    /// Raises the charge for the message to `bytes`. Waits until `deadline` for the
    /// memory; returns false if there is none by then.
    pub fn raise_message(&mut self, bytes: usize, deadline: time::Instant) -> bool {
        let Some(more) = bytes.checked_sub(self.message).filter(|more| *more > 0) else {
            return true;
        };
        let mut ledger = self.intake.lock();
        if !ledger.has_room(&self.owner, more) && ledger.may_fit(bytes) {
            self.intake.waits.fetch_add(1, atomic::Ordering::Relaxed);
            let left = deadline.saturating_duration_since(time::Instant::now());
            let owner = &self.owner;
            let waited = self
                .intake
                .released
                .wait_timeout_while(ledger, left, |ledger| !ledger.has_room(owner, more));
            ledger = waited.unwrap_or_else(sync::PoisonError::into_inner).0;
        }
        if !ledger.has_room(&self.owner, more) {
            self.intake.refusals.fetch_add(1, atomic::Ordering::Relaxed);
            return false;
        }
        ledger.charge(&self.owner, more);
        self.message = bytes;
        true
    }

    /// Lowers the charge for the message to `bytes`.
    pub fn lower_message(&mut self, bytes: usize) {
        if bytes < self.message {
            self.release(self.message - bytes);
            self.message = bytes;
        }
    }

    /// Returns an empty buffer of at least this capacity, for a message that is charged.
    pub fn take_buffer(&self, capacity: usize) -> Vec<u8> {
        let mut spare_buffers = self.intake.lock_buffers();
        let mut buffer = spare_buffers.pop().unwrap_or_default();
        drop(spare_buffers);
        buffer.reserve_exact(capacity);
        buffer
    }

    /// Takes back a buffer that is no longer in use.
    pub fn return_buffer(&self, mut buffer: Vec<u8>) {
        buffer.clear();
        let mut spare_buffers = self.intake.lock_buffers();
        if spare_buffers.len() < MAX_SPARE_BUFFERS {
            spare_buffers.push(buffer);
        }
    }

    /// Charges bytes that stay until the end of the session, without a wait; returns false
    /// if there is no memory.
    pub fn keep(&mut self, bytes: usize) -> bool {
        let mut ledger = self.intake.lock();
        if !ledger.has_room(&self.owner, bytes) {
            self.intake.refusals.fetch_add(1, atomic::Ordering::Relaxed);
            return false;
        }
        ledger.charge(&self.owner, bytes);
        self.kept += bytes;
        true
    }

    /// Gives back bytes that were kept.
    pub fn drop_kept(&mut self, bytes: usize) {
        let bytes = bytes.min(self.kept);
        self.kept -= bytes;
        self.release(bytes);
    }

    fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.intake.lock().release(&self.owner, bytes);
            self.intake.released.notify_all();
        }
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.release(self.message + self.kept);
    }
}
