//! Store plug-in for `http://` URLs: `GET` and `PUT` of `/rows/KEY`, `GET /vms`.
//!
//! This HTTP interface writes one row per request and cannot remove rows.

use std::time;

use kernel::event;
use serde::{Deserialize, Serialize, de};

use crate::{client, failure, service};

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
}

impl Http {
    /// Creates the service for a base URL.
    pub fn new(url: &str) -> Self {
        Self {
            client: client::Client::new(url),
        }
    }

    fn get<T: de::DeserializeOwned>(&self, path: &str) -> Result<Option<T>, failure::Failure> {
        let response = self.client.get(path, TIMEOUT)?;
        match response.status {
            200 => response.json().map(Some),
            404 => Ok(None),
            _ => Err(failure::Failure::Unavailable),
        }
    }
}

impl service::Service for Http {
    fn load(&self, key: &event::RowKey) -> event::LoadOutcome {
        let row = self.get::<Versioned<event::Row>>(&format!("/rows/{key}"));
        match row {
            Ok(Some(row)) => event::LoadOutcome::Found(row.version, row.value),
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
        let body = Versioned {
            version: *version,
            value: row,
        };
        let Ok(response) = self.client.put(&format!("/rows/{key}"), &body, TIMEOUT) else {
            return event::StoreOutcome::Unknown;
        };
        match response.status {
            200 => response
                .json::<WriteResponse>()
                .map_or(event::StoreOutcome::Unknown, |response| {
                    event::StoreOutcome::Written(response.version)
                }),
            409 => event::StoreOutcome::Conflict,
            _ => event::StoreOutcome::Unknown,
        }
    }

    fn list_vms(&self) -> Result<Vec<event::Vm>, failure::Failure> {
        self.get("/vms")?.ok_or(failure::Failure::Malformed)
    }
}
