//! The platform over HTTP: `GET` and `PUT` of `/rows/KEY`, `GET /vms`.

use std::time;

use kernel::event;
use serde::{Deserialize, Serialize, de};

use crate::{failure, service};

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
    agent: ureq::Agent,
    base: String,
}

impl Http {
    /// A client for the base URL.
    pub fn new(url: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .http_status_as_error(false)
            .build();
        Self {
            agent: config.into(),
            base: url.trim_end_matches('/').into(),
        }
    }

    fn get<T: de::DeserializeOwned>(&self, path: &str) -> Result<Option<T>, failure::Failure> {
        let url = format!("{}{path}", self.base);
        let answer = self.agent.get(&url).call();
        let mut answer = answer.map_err(|_| failure::Failure::Unavailable)?;
        match answer.status().as_u16() {
            200 => {
                let body = answer.body_mut().with_config().limit(u64::MAX).read_json();
                body.map(Some).map_err(|_| failure::Failure::Malformed)
            }
            404 => Ok(None),
            _ => Err(failure::Failure::Unavailable),
        }
    }
}

impl service::Service for Http {
    fn load(&self, key: event::RowKey) -> event::Loaded {
        let row = self.get::<Versioned<event::Row>>(&format!("/rows/{key}"));
        match row {
            Ok(Some(row)) => event::Loaded::Found(row.version, row.value),
            Ok(None) => event::Loaded::Missing,
            Err(_) => event::Loaded::Unavailable,
        }
    }

    fn store(&self, version: u64, row: &event::Row) -> event::Stored {
        let key = match row {
            event::Row::Head(_) => event::RowKey::Head,
            event::Row::Epoch(_) => event::RowKey::Epoch,
        };
        let url = format!("{}/rows/{key}", self.base);
        let body = Versioned {
            version,
            value: row,
        };
        let Ok(mut answer) = self.agent.put(&url).send_json(body) else {
            return event::Stored::Unknown;
        };
        match answer.status().as_u16() {
            200 => answer
                .body_mut()
                .read_json::<Written>()
                .map_or(event::Stored::Unknown, |w| {
                    event::Stored::Written(w.version)
                }),
            409 => event::Stored::Conflict,
            _ => event::Stored::Unknown,
        }
    }

    fn list(&self) -> Result<Vec<event::Vm>, failure::Failure> {
        self.get("/vms")?.ok_or(failure::Failure::Malformed)
    }
}
