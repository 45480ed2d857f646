//! Asks that may still be answered.

use std::collections;

use super::{Resource, Transfer, TransferRequest};
use crate::event;

/// Asks remembered, so that late answers still count.
const LIMIT: usize = 4096;

/// Open asks by their nonces, which no run uses again.
#[derive(Debug)]
pub(super) struct Asks {
    nonce: u64,
    open: collections::BTreeMap<u64, Resource>,
}

impl Asks {
    /// None yet, for a run.
    pub(super) fn new(own: &event::MemberId) -> Self {
        Self {
            nonce: own.incarnation << 24,
            open: collections::BTreeMap::new(),
        }
    }

    /// Opens an ask for units or whole tokens.
    pub(super) fn open(
        &mut self,
        scarce: &Resource,
        epoch: u64,
        units: u64,
        tokens: u64,
    ) -> TransferRequest {
        self.nonce += 1;
        self.open.insert(self.nonce, scarce.clone());
        if self.open.len() > LIMIT {
            self.open.pop_first();
        }
        TransferRequest {
            scarce: scarce.clone(),
            epoch,
            nonce: self.nonce,
            units,
            tokens,
        }
    }

    /// Whether the give answers an open ask.
    pub(super) fn is_open(&self, give: &Transfer) -> bool {
        self.open.get(&give.nonce) == Some(&give.scarce)
    }

    /// The give has been taken in.
    pub(super) fn close(&mut self, give: &Transfer) {
        self.open.remove(&give.nonce);
    }

    /// Forgets all asks.
    pub(super) fn clear(&mut self) {
        self.open.clear();
    }
}
