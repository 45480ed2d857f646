//! The border to the platform.

use std::time;

use kernel::{event, view};

use crate::failure;

/// What the platform offers.
pub trait Service: Send + Sync {
    /// Reads a row.
    fn load(&self, key: &event::RowKey) -> event::LoadOutcome;
    /// Writes and removes rows, all or none, if all have their versions.
    fn transact(&self, changes: &[event::RowChange]) -> event::StoreOutcome;
    /// Lists the VMs; the list lags.
    fn list_vms(&self) -> Result<Vec<event::Vm>, failure::Failure> {
        Ok(Vec::new())
    }
    /// Follows a part of the store, if the platform can.
    fn watch(&self, _part: view::Part) -> Option<Box<dyn Watch>> {
        None
    }
}

/// Follows one part of the store.
pub trait Watch: Send {
    /// Waits up to `wait` for changes after a version of the store; returns
    /// everything at once if there is none, or if they are no longer known.
    fn read(
        &mut self,
        after: Option<u64>,
        wait: time::Duration,
    ) -> Result<Changes, failure::Failure>;
}

/// What has changed.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// Version of the store up to which the part is known with them.
    pub version: u64,
    /// The changes are all there is.
    pub is_snapshot: bool,
    /// Changes in order.
    pub changes: Vec<view::Change>,
    /// The store's steady clock at the answer, if it tells one.
    pub store_time: Option<time::Duration>,
}

/// Orders promotions from the platform.
pub trait PromotionService: Send + Sync {
    /// Orders that an instance takes over, on behalf of a VM.
    fn order_promotion(&self, holder: &str, order: &event::PromotionOrder) -> event::OrderOutcome;
}

/// Builds the service for the URLs of one scheme.
pub struct Scheme {
    /// Scheme with `://`.
    pub prefix: &'static str,
    /// Constructor.
    pub build: fn(&str) -> Box<dyn Service>,
}

/// Builds the service for orders for the URLs of one scheme.
pub struct PromotionScheme {
    /// Scheme with `://`.
    pub prefix: &'static str,
    /// Constructor.
    pub build: fn(&str) -> Box<dyn PromotionService>,
}

inventory::collect!(Scheme);
inventory::collect!(PromotionScheme);

/// Opens the service behind a URL.
pub fn open(url: &str) -> Result<Box<dyn Service>, failure::Failure> {
    let mut all = inventory::iter::<Scheme>.into_iter();
    if let Some(scheme) = all.find(|scheme| url.starts_with(scheme.prefix)) {
        return Ok((scheme.build)(url));
    }
    let names = inventory::iter::<Scheme>.into_iter().map(|s| s.prefix);
    Err(unknown(url, names))
}

/// Opens the service that takes orders behind a URL.
pub fn open_promotion_service(url: &str) -> Result<Box<dyn PromotionService>, failure::Failure> {
    let mut all = inventory::iter::<PromotionScheme>.into_iter();
    if let Some(scheme) = all.find(|scheme| url.starts_with(scheme.prefix)) {
        return Ok((scheme.build)(url));
    }
    let names = inventory::iter::<PromotionScheme>
        .into_iter()
        .map(|s| s.prefix);
    Err(unknown(url, names))
}

fn unknown(url: &str, names: impl Iterator<Item = &'static str>) -> failure::Failure {
    let names: Vec<_> = names.collect();
    failure::Failure::UnknownScheme(url.into(), names.join(", "))
}
