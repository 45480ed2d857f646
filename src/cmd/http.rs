//! Calls to a daemon's admin address.

use std::time;

use error_stack::Report;

use crate::failure;

/// Time for a call, longer than a note takes to come into force.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Status and body of an answer.
pub struct Answer {
    /// HTTP status.
    pub code: u16,
    /// Body.
    pub body: String,
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build();
    config.into()
}

fn unreachable(admin: &str) -> Report<failure::Failure> {
    Report::new(failure::Failure::Unreachable(admin.into()))
}

/// Reads a page.
pub fn get(admin: &str, path: &str) -> Result<Answer, Report<failure::Failure>> {
    let answer = agent().get(format!("http://{admin}{path}")).call();
    read(answer.map_err(|_| unreachable(admin))?, admin)
}

/// Sends a document.
pub fn post(admin: &str, path: &str, body: &str) -> Result<Answer, Report<failure::Failure>> {
    let answer = agent().post(format!("http://{admin}{path}")).send(body);
    read(answer.map_err(|_| unreachable(admin))?, admin)
}

fn read(
    mut answer: ureq::http::Response<ureq::Body>,
    admin: &str,
) -> Result<Answer, Report<failure::Failure>> {
    let code = answer.status().as_u16();
    let body = answer.body_mut().read_to_string();
    let body = body.map_err(|_| unreachable(admin))?;
    Ok(Answer { code, body })
}
