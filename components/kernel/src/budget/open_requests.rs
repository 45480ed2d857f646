//! Transfer requests that peers may still answer.

use std::collections;

use super::{Resource, Transfer, TransferRequest};
use crate::event;

/// Number of open requests that are remembered, so that late transfers are still
/// credited.
const MAX_OPEN_REQUESTS: usize = 4096;

/// Resources of the open requests by nonce. No daemon process reuses a nonce.
#[derive(Debug)]
pub(super) struct OpenRequests {
    last_nonce: u64,
    resources: collections::BTreeMap<u64, Resource>,
}

impl OpenRequests {
    /// Creates an empty set for a daemon process, whose incarnation makes its nonces
    /// unique.
    pub(super) fn new(own: &event::MemberId) -> Self {
        Self {
            last_nonce: own.incarnation << 24,
            resources: collections::BTreeMap::new(),
        }
    }

    /// Opens a request for units or whole tokens.
    pub(super) fn open(
        &mut self,
        resource: &Resource,
        epoch: u64,
        units: u64,
        tokens: u64,
    ) -> TransferRequest {
        self.last_nonce += 1;
        self.resources.insert(self.last_nonce, resource.clone());
        if self.resources.len() > MAX_OPEN_REQUESTS {
            self.resources.pop_first();
        }
        TransferRequest {
            scarce: resource.clone(),
            epoch,
            nonce: self.last_nonce,
            units,
            tokens,
        }
    }

    /// Whether the transfer answers an open request.
    pub(super) fn is_open(&self, transfer: &Transfer) -> bool {
        self.resources.get(&transfer.nonce) == Some(&transfer.scarce)
    }

    /// Closes the request that the transfer answers.
    pub(super) fn close(&mut self, transfer: &Transfer) {
        self.resources.remove(&transfer.nonce);
    }

    /// Closes all requests.
    pub(super) fn clear(&mut self) {
        self.resources.clear();
    }
}
