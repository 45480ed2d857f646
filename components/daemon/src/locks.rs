//! Locking of mutexes regardless of poisoning.

use std::sync;

/// Locks a mutex, even if a thread panicked while it held the lock.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
