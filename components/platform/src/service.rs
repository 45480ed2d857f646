//! The border to the platform.

use kernel::event;

use crate::failure;

/// What the platform offers.
pub trait Service: Send + Sync {
    /// Reads a row.
    fn load(&self, key: event::RowKey) -> event::Loaded;
    /// Writes a row if its version is as given.
    fn store(&self, version: u64, row: &event::Row) -> event::Stored;
    /// Lists the VMs; the list lags.
    fn list(&self) -> Result<Vec<event::Vm>, failure::Failure>;
}

/// Builds the service for the URLs of one scheme.
pub struct Scheme {
    /// Scheme with `://`.
    pub prefix: &'static str,
    /// Constructor.
    pub build: fn(&str) -> Box<dyn Service>,
}

inventory::collect!(Scheme);

/// Opens the service behind a URL.
pub fn open(url: &str) -> Result<Box<dyn Service>, failure::Failure> {
    let mut all = inventory::iter::<Scheme>.into_iter();
    if let Some(scheme) = all.find(|scheme| url.starts_with(scheme.prefix)) {
        return Ok((scheme.build)(url));
    }
    let names: Vec<_> = inventory::iter::<Scheme>
        .into_iter()
        .map(|scheme| scheme.prefix)
        .collect();
    Err(failure::Failure::UnknownScheme(
        url.into(),
        names.join(", "),
    ))
}
