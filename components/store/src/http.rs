//! The platform over HTTP: `GET` and `PUT` of `/rows/KEY`, `GET /vms`.

use std::time;

use kernel::event;
use serde::{Deserialize, Serialize, de};

use crate::{client, failure, service};

/// Time for one call.
const TIMEOUT: time::Duration = time::Duration::from_millis(1500);

inventory::submit! {
    service::Scheme { prefix: "http://", build: |url| Box::new(Http::new(url)) }
}

/// A row at a version, as it travels.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Versioned<T> {
    version: u64,
    value: T,
}

/// The version that a write led to.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
struct Written {
    version: u64,
}

/// Client of one service.
pub struct Http {
    client: client::Client,
}

impl Http {
    /// A client for the base URL.
    pub fn new(url: &str) -> Self {
        Self {
            client: client::Client::new(url),
        }
    }

    fn get<T: de::DeserializeOwned>(&self, path: &str) -> Result<Option<T>, failure::Failure> {
        let answer = self.client.get(path, TIMEOUT)?;
        match answer.status {
            200 => answer.json().map(Some),
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
        let [event::RowChange { key, version, row }] = changes else {
            log::error!(
                "this platform writes one row at a time, not {}",
                changes.len()
            );
            return event::StoreOutcome::Conflict;
        };
        let Some(row) = row else {
            log::error!("this platform cannot remove row {key}");
            return event::StoreOutcome::Conflict;
        };
        let body = Versioned {
            version: *version,
            value: row,
        };
        let Ok(answer) = self.client.put(&format!("/rows/{key}"), &body, TIMEOUT) else {
            return event::StoreOutcome::Unknown;
        };
        match answer.status {
            200 => answer
                .json::<Written>()
                .map_or(event::StoreOutcome::Unknown, |w| {
                    event::StoreOutcome::Written(w.version)
                }),
            409 => event::StoreOutcome::Conflict,
            _ => event::StoreOutcome::Unknown,
        }
    }

    fn list_vms(&self) -> Result<Vec<event::Vm>, failure::Failure> {
        self.get("/vms")?.ok_or(failure::Failure::Malformed)
    }
}
