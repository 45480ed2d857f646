//! HTTP client for the platform's services and for daemons.

use std::time;

use serde::{Serialize, de};

use crate::failure;

/// Longest time for a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

/// An answer, whatever its status.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Body.
    pub body: Vec<u8>,
}

impl Response {
    /// Reads the body as JSON.
    pub fn json<T: de::DeserializeOwned>(&self) -> Result<T, failure::Failure> {
        serde_json::from_slice(&self.body).map_err(|_| failure::Failure::Malformed)
    }
}

/// Client of one service.
pub struct Client {
    agent: ureq::Agent,
    base: String,
}

impl Client {
    /// A client for a base URL.
    pub fn new(url: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Self {
            agent: config.into(),
            base: url.trim_end_matches('/').into(),
        }
    }

    /// Gets a path.
    pub fn get(&self, path: &str, limit: time::Duration) -> Result<Response, failure::Failure> {
        let request = self.agent.get(format!("{}{path}", self.base));
        let answer = request.config().timeout_global(Some(limit)).build().call();
        read(answer)
    }

    /// Puts a JSON body.
    pub fn put(
        &self,
        path: &str,
        body: &impl Serialize,
        limit: time::Duration,
    ) -> Result<Response, failure::Failure> {
        let request = self.agent.put(format!("{}{path}", self.base));
        let request = request.config().timeout_global(Some(limit)).build();
        read(request.send_json(body))
    }

    /// Posts a text.
    pub fn post_text(
        &self,
        path: &str,
        body: &str,
        limit: time::Duration,
    ) -> Result<Response, failure::Failure> {
        let request = self.agent.post(format!("{}{path}", self.base));
        let request = request.config().timeout_global(Some(limit)).build();
        read(request.send(body))
    }

    /// Posts a JSON body with headers.
    pub fn post(
        &self,
        path: &str,
        headers: &[(&str, String)],
        body: &impl Serialize,
        limit: time::Duration,
    ) -> Result<Response, failure::Failure> {
        let mut request = self.agent.post(format!("{}{path}", self.base));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.config().timeout_global(Some(limit)).build();
        read(request.send_json(body))
    }
}

fn read(
    answer: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
) -> Result<Response, failure::Failure> {
    let mut answer = answer.map_err(|error| {
        log::debug!("a call to the platform failed: {error}");
        failure::Failure::Unavailable
    })?;
    let status = answer.status().as_u16();
    let body = answer
        .body_mut()
        .with_config()
        .limit(u64::MAX)
        .read_to_vec();
    let body = body.map_err(|_| failure::Failure::Unavailable)?;
    Ok(Response { status, body })
}
