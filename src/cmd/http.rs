//! HTTP requests to a daemon's admin address.

use std::time;

use error_stack::Report;

use crate::failure;

/// Timeout of a request; longer than a release note takes to come into force.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// An HTTP response.
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Body.
    pub body: String,
}

fn client(admin: &str) -> store::Client {
    store::Client::new(&format!("http://{admin}"))
}

/// Sends a GET request.
pub fn get(admin: &str, path: &str) -> Result<Response, Report<failure::Failure>> {
    into_response(client(admin).get(path, TIMEOUT), admin)
}

/// Sends a document in a POST request.
pub fn post(admin: &str, path: &str, body: &str) -> Result<Response, Report<failure::Failure>> {
    into_response(client(admin).post_text(path, body, TIMEOUT), admin)
}

fn into_response(
    response: Result<store::Response, store::Failure>,
    admin: &str,
) -> Result<Response, Report<failure::Failure>> {
    let unreachable = || Report::new(failure::Failure::Unreachable(admin.into()));
    let response = response.map_err(|_| unreachable())?;
    let body = String::from_utf8(response.body).map_err(|_| unreachable())?;
    Ok(Response {
        status: response.status,
        body,
    })
}
