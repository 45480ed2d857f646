//! Locks that outlive a thread that panicked.

use std::sync;

/// Locks, whatever a panicking thread left behind.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
