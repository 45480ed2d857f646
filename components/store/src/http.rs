//! Store plug-in for `http://` URLs: `GET` and `PUT` of `/rows/KEY`, `GET /vms`.
//!
//! This HTTP interface writes one row per request and cannot remove rows. A service
//! that may come back from an older copy states its era in the header `Store-Era`.

use std::{sync::atomic, time};

use kernel::{event, version};
use serde::{Deserialize, Serialize, de};

use crate::{client, failure, service};

/// Header that states the service's era.
const ERA_HEADER: &str = "Store-Era";
/// Limit for one request, from connecting to the end of the response.
const TIMEOUT: time::Duration = time::Duration::from_millis(1500);

inventory::submit! {
    service::Scheme { prefix: "http://", build: |url| Box::new(Http::new(url)) }
}

/// JSON body of a row together with its version.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Versioned<T> {
    version: u64,
    value: T,
}

/// JSON response to a successful write: the row's new version.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct WriteResponse {
    version: u64,
}

/// [`service::Service`] over HTTP.
pub struct Http {
    client: client::Client,
    /// Latest era that an answer has stated.
    era: atomic::AtomicU64,
}

impl Http {
    /// Creates the service for a base URL.
    pub fn new(url: &str) -> Self {
        Self {
            client: client::Client::new(url),
            era: atomic::AtomicU64::new(0),
        }
    }

    /// Reads the era from a response, and logs a new one.
    fn observe_era(&self, response: &client::Response) -> u64 {
        let era = response.header(ERA_HEADER).unwrap_or_default();
        let previous = self.era.fetch_max(era, atomic::Ordering::SeqCst);
        if era > previous {
            log::info!(era, previous; "the store has started a new era");
        }
        era
    }

    /// Reads a value and the era in which it was read.
    fn get<T: de::DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Option<(u64, T)>, failure::Failure> {
        let response = self.client.get(path, TIMEOUT)?;
        let era = self.observe_era(&response);
        match response.status {
            200 => response.json().map(|value| Some((era, value))),
            404 => Ok(None),
            _ => Err(failure::Failure::Unavailable),
        }
    }
}

impl service::Service for Http {
    fn load(&self, key: &event::RowKey) -> event::LoadOutcome {
        let row = self.get::<Versioned<event::Row>>(&format!("/rows/{key}"));
        match row {
            Ok(Some((era, row))) => match pack_version(era, row.version) {
                Ok(version) => event::LoadOutcome::Found(version, row.value),
                Err(_) => event::LoadOutcome::Unavailable,
            },
            Ok(None) => event::LoadOutcome::Missing,
            Err(_) => event::LoadOutcome::Unavailable,
        }
    }

    fn transact(&self, changes: &[event::RowChange]) -> event::StoreOutcome {
        let [
            event::RowChange {
                key, version, row, ..
            },
        ] = changes
        else {
            log::error!(
                "the HTTP store writes one row per transaction, but got {} changes",
                changes.len()
            );
            return event::StoreOutcome::Conflict;
        };
        let Some(row) = row else {
            log::error!("the HTTP store cannot remove row {key}");
            return event::StoreOutcome::Conflict;
        };
        let expected = version::Version::from(*version);
        let latest = self.era.load(atomic::Ordering::SeqCst);
        if expected.number() != 0 && expected.era() < latest {
            log::info!(era = expected.era(), latest; "a write of an earlier era is not sent");
            return event::StoreOutcome::Conflict;
        }
        let body = Versioned {
            version: expected.number(),
            value: row,
        };
        let Ok(response) = self.client.put(&format!("/rows/{key}"), &body, TIMEOUT) else {
            return event::StoreOutcome::Unknown;
        };
        let era = self.observe_era(&response);
        match response.status {
            200 if expected.number() != 0 && era != expected.era() => {
                log::warn!(era; "the store was restored before it made a write");
                event::StoreOutcome::Unknown
            }
            200 => response
                .json::<WriteResponse>()
                .and_then(|response| pack_version(era, response.version))
                .map_or(event::StoreOutcome::Unknown, event::StoreOutcome::Written),
            409 => event::StoreOutcome::Conflict,
            _ => event::StoreOutcome::Unknown,
        }
    }

    fn list_vms(&self) -> Result<Vec<event::Vm>, failure::Failure> {
        let listed = self.get("/vms")?;
        let (_, vms) = listed.ok_or(failure::Failure::Malformed)?;
        Ok(vms)
    }
}

fn pack_version(era: u64, number: u64) -> Result<u64, failure::Failure> {
    let version = version::Version::try_from((era, number));
    version.map(u64::from).map_err(|error| {
        log::error!("cannot use an answer of the store: {error}");
        failure::Failure::Malformed
    })
}
