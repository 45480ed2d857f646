//! Blocking HTTP client for the platform's services and for the daemons' admin
//! endpoints.

use std::{str, time};

use serde::{Serialize, de};
use ureq::http;

use crate::failure;

/// Limit for opening a TCP connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1000);

/// HTTP response of any status.
#[derive(Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Whole body.
    pub body: Vec<u8>,
    headers: http::HeaderMap,
}

impl Response {
    /// Value of a header, parsed; none if it is absent or cannot be parsed.
    pub fn header<T: str::FromStr>(&self, name: &str) -> Option<T> {
        self.headers.get(name)?.to_str().ok()?.parse().ok()
    }

    /// Parses the body as JSON.
    pub fn json<T: de::DeserializeOwned>(&self) -> Result<T, failure::Failure> {
        serde_json::from_slice(&self.body).map_err(|_| failure::Failure::Malformed)
    }
}

/// Client for one base URL.
pub struct Client {
    agent: ureq::Agent,
    base_url: String,
}

impl Client {
    /// Creates a client that ignores the proxy settings of the environment.
    pub fn new(url: &str) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .http_status_as_error(false)
            .proxy(None)
            .build();
        Self {
            agent: config.into(),
            base_url: url.trim_end_matches('/').into(),
        }
    }

    /// Sends `GET` for a path below the base URL.
    pub fn get(&self, path: &str, timeout: time::Duration) -> Result<Response, failure::Failure> {
        let request = self.agent.get(format!("{}{path}", self.base_url));
        let response = request
            .config()
            .timeout_global(Some(timeout))
            .build()
            .call();
        read_response(response)
    }

    /// Sends `PUT` with a JSON body.
    pub fn put(
        &self,
        path: &str,
        body: &impl Serialize,
        timeout: time::Duration,
    ) -> Result<Response, failure::Failure> {
        let request = self.agent.put(format!("{}{path}", self.base_url));
        let request = request.config().timeout_global(Some(timeout)).build();
        read_response(request.send_json(body))
    }

    /// Sends `POST` with a text body.
    pub fn post_text(
        &self,
        path: &str,
        body: &str,
        timeout: time::Duration,
    ) -> Result<Response, failure::Failure> {
        let request = self.agent.post(format!("{}{path}", self.base_url));
        let request = request.config().timeout_global(Some(timeout)).build();
        read_response(request.send(body))
    }

    /// Sends `POST` with a JSON body and extra headers.
    pub fn post(
        &self,
        path: &str,
        headers: &[(&str, String)],
        body: &impl Serialize,
        timeout: time::Duration,
    ) -> Result<Response, failure::Failure> {
        let mut request = self.agent.post(format!("{}{path}", self.base_url));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.config().timeout_global(Some(timeout)).build();
        read_response(request.send_json(body))
    }
}

fn read_response(
    response: Result<http::Response<ureq::Body>, ureq::Error>,
) -> Result<Response, failure::Failure> {
    let mut response = response.map_err(|error| {
        log::debug!("HTTP request failed: {error}");
        failure::Failure::Unavailable
    })?;
    let status = response.status().as_u16();
    let headers = std::mem::take(response.headers_mut());
    let body = response
        .body_mut()
        .with_config()
        .limit(u64::MAX)
        .read_to_vec();
    let body = body.map_err(|_| failure::Failure::Unavailable)?;
    Ok(Response {
        status,
        body,
        headers,
    })
}
