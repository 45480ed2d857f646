//! Shares of the memory for what callers send.

use std::{collections, sync};

/// Customer to which memory is charged; empty for sessions without one.
pub type Owner = sync::Arc<str>;

/// Memory of a daemon for what its callers send, by owner.
///
/// An owner may hold as much as would still be free afterwards: a single one at most
/// half, two a third each. So memory is left for every further owner.
#[derive(Debug)]
pub struct Ledger {
    total: usize,
    held: usize,
    by_owner: collections::HashMap<Owner, usize>,
}

impl Ledger {
    /// Creates a ledger of this many bytes.
    pub fn new(total: usize) -> Self {
        Self {
            total,
            held: 0,
            by_owner: collections::HashMap::new(),
        }
    }

    /// Bytes that are charged.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Whether the owner may hold this many bytes more now.
    pub fn has_room(&self, owner: &Owner, bytes: usize) -> bool {
        let own = self.by_owner.get(owner).copied().unwrap_or(0);
        let free = self.total.saturating_sub(self.held);
        own.saturating_add(bytes) <= free.saturating_sub(bytes)
    }

    /// Whether the owner may ever hold this many bytes.
    pub fn may_fit(&self, bytes: usize) -> bool {
        bytes <= self.total / 2
    }

    /// Charges the bytes to the owner.
    pub fn charge(&mut self, owner: &Owner, bytes: usize) {
        if bytes > 0 {
            self.held += bytes;
            *self.by_owner.entry(owner.clone()).or_default() += bytes;
        }
    }

    /// Gives back bytes that were charged to the owner.
    pub fn release(&mut self, owner: &Owner, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
        if let Some(own) = self.by_owner.get_mut(owner) {
            *own = own.saturating_sub(bytes);
            if *own == 0 {
                self.by_owner.remove(owner);
            }
        }
    }
}
