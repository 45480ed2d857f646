//! Blocking HTTP client for the platform's services and for the daemons' admin
//! endpoints.

use std::{str, time};

use serde::{Serialize, de};
use ureq::{http, typestate, unversioned::resolver};

use crate::{failure, transport};

/// Limit for opening a TCP connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1000);
/// Limit for the delivery of a request's bytes.
const DELIVERY_TIMEOUT: time::Duration = time::Duration::from_millis(1500);

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
        Self {
            agent: create_agent(DELIVERY_TIMEOUT, None),
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
        let request = self.agent.post(format!("{}{path}", self.base_url));
        read_response(send_post(request, headers, body, timeout))
    }

    /// Sends `POST` over a connection of its own, unless the request expires first. After a
    /// failure, the request can no longer arrive.
    pub fn post_valid(
        &self,
        path: &str,
        headers: &[(&str, String)],
        body: &impl Serialize,
        timeout: time::Duration,
        validity: &transport::Validity,
    ) -> Result<Response, failure::Failure> {
        let agent = create_agent(timeout, Some(validity.clone()));
        let request = agent.post(format!("{}{path}", self.base_url));
        read_response(send_post(request, headers, body, timeout))
    }
}

fn create_agent(delivery: time::Duration, validity: Option<transport::Validity>) -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .http_status_as_error(false)
        .proxy(None)
        .build();
    let connector = transport::Connector { delivery, validity };
    let resolver = resolver::DefaultResolver::default();
    ureq::Agent::with_parts(config, connector, resolver)
}

fn send_post(
    mut request: ureq::RequestBuilder<typestate::WithBody>,
    headers: &[(&str, String)],
    body: &impl Serialize,
    timeout: time::Duration,
) -> Result<http::Response<ureq::Body>, ureq::Error> {
    for (name, value) in headers {
        request = request.header(*name, value);
    }
    let request = request.config().timeout_global(Some(timeout)).build();
    request.send_json(body)
}

/// Whether a request failed because it had expired before all of it was sent.
fn is_expired(error: &ureq::Error) -> bool {
    let ureq::Error::Io(error) = error else {
        return false;
    };
    let inner = error.get_ref();
    inner.is_some_and(|inner| inner.is::<transport::Expired>())
}

fn read_response(
    response: Result<http::Response<ureq::Body>, ureq::Error>,
) -> Result<Response, failure::Failure> {
    let mut response = response.map_err(|error| {
        log::debug!("HTTP request failed: {error}");
        if is_expired(&error) {
            failure::Failure::Expired
        } else {
            failure::Failure::Unavailable
        }
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
