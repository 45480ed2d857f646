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

fn client(admin: &str) -> store::Client {
    store::Client::new(&format!("http://{admin}"))
}

/// Reads a page.
pub fn get(admin: &str, path: &str) -> Result<Answer, Report<failure::Failure>> {
    read(client(admin).get(path, TIMEOUT), admin)
}

/// Sends a document.
pub fn post(admin: &str, path: &str, body: &str) -> Result<Answer, Report<failure::Failure>> {
    read(client(admin).post_text(path, body, TIMEOUT), admin)
}

fn read(
    answer: Result<store::Response, store::Failure>,
    admin: &str,
) -> Result<Answer, Report<failure::Failure>> {
    let unreachable = || Report::new(failure::Failure::Unreachable(admin.into()));
    let answer = answer.map_err(|_| unreachable())?;
    let body = String::from_utf8(answer.body).map_err(|_| unreachable())?;
    Ok(Answer {
        code: answer.status,
        body,
    })
}
