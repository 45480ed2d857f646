//! Traits that a platform plug-in implements, and the registry of plug-ins.

use std::time;

use kernel::{event, view};

use crate::{failure, transport};

/// The platform's row store and VM list.
pub trait Service: Send + Sync {
    /// Reads a row.
    fn load(&self, key: &event::RowKey) -> event::LoadOutcome;
    /// Writes and removes rows atomically, if every row still has the version
    /// that its change expects.
    fn transact(&self, changes: &[event::RowChange]) -> event::StoreOutcome;
    /// Lists the VMs; the list may be out of date.
    fn list_vms(&self) -> Result<Vec<event::Vm>, failure::Failure> {
        Ok(Vec::new())
    }
    /// Starts a watch on one part of the store, or returns none if the platform
    /// does not support watches.
    fn watch(&self, _part: view::Part) -> Option<Box<dyn Watch>> {
        None
    }
}

/// Stream of changes to one part of the store.
pub trait Watch: Send {
    /// Waits up to `wait` for changes that are newer than the version `after`.
    /// Returns a snapshot at once if `after` is none, or if the store no longer
    /// has the changes since `after`.
    fn read(
        &mut self,
        after: Option<u64>,
        wait: time::Duration,
    ) -> Result<Changes, failure::Failure>;
}

/// Changes that one read of a watch returned.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Version of the store that the watched part has with these changes applied.
    pub version: u64,
    /// The changes are a snapshot: rows without a change do not exist.
    pub is_snapshot: bool,
    /// Changes in the order in which the store applied them.
    pub changes: Vec<view::Change>,
    /// Reading of the store's monotonic clock in the response, if the store
    /// reports one.
    pub store_time: Option<time::Duration>,
}

/// The platform's service that promotes instances to primary.
pub trait PromotionService: Send + Sync {
    /// Orders the promotion of an instance on behalf of the VM `holder`, as long as the
    /// order is valid. An order without an answer can no longer arrive after the return.
    fn order_promotion(
        &self,
        holder: &str,
        order: &event::PromotionOrder,
        validity: &transport::Validity,
    ) -> event::OrderOutcome;
}

/// Registration of a [`Service`] plug-in for one URL scheme.
pub struct Scheme {
    /// URL scheme, `://` included.
    pub prefix: &'static str,
    /// Creates the service for a URL.
    pub build: fn(&str) -> Box<dyn Service>,
}

/// Registration of a [`PromotionService`] plug-in for one URL scheme.
pub struct PromotionScheme {
    /// URL scheme, `://` included.
    pub prefix: &'static str,
    /// Creates the service for a URL.
    pub build: fn(&str) -> Box<dyn PromotionService>,
}

inventory::collect!(Scheme);
inventory::collect!(PromotionScheme);

/// Creates the store service for a URL.
pub fn open(url: &str) -> Result<Box<dyn Service>, failure::Failure> {
    let mut schemes = inventory::iter::<Scheme>.into_iter();
    if let Some(scheme) = schemes.find(|scheme| url.starts_with(scheme.prefix)) {
        return Ok((scheme.build)(url));
    }
    let prefixes = inventory::iter::<Scheme>.into_iter().map(|s| s.prefix);
    Err(unknown_scheme(url, prefixes))
}

/// Creates the promotion service for a URL.
pub fn open_promotion_service(url: &str) -> Result<Box<dyn PromotionService>, failure::Failure> {
    let mut schemes = inventory::iter::<PromotionScheme>.into_iter();
    if let Some(scheme) = schemes.find(|scheme| url.starts_with(scheme.prefix)) {
        return Ok((scheme.build)(url));
    }
    let prefixes = inventory::iter::<PromotionScheme>
        .into_iter()
        .map(|s| s.prefix);
    Err(unknown_scheme(url, prefixes))
}

fn unknown_scheme(url: &str, prefixes: impl Iterator<Item = &'static str>) -> failure::Failure {
    let prefixes: Vec<_> = prefixes.collect();
    failure::Failure::UnknownScheme(url.into(), prefixes.join(", "))
}
