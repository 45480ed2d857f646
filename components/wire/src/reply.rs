//! Encoding of messages that the proxy itself creates.

use bytes::BytesMut;
use errors::Refusal;
use kernel::position;
use pgwire::messages::{self, Message};

use crate::framing;

/// Parameter with the session's floor: the lowest position that its reads may
/// observe.
pub const TOKEN_PARAMETER: &str = "ebonygauge.token";

/// Appends a small message. A message that cannot be encoded is left out.
pub fn put(out: &mut BytesMut, message: &impl Message) {
    let length = out.len();
    if message.encode(out).is_err() {
        out.truncate(length);
    }
}

/// Appends an ErrorResponse for a refusal.
pub fn put_error(out: &mut BytesMut, refusal: &Refusal, severity: &str) {
    let field = |code: u8, text: &str| (code, text.to_string());
    let fields = vec![
        field(b'S', severity),
        field(b'V', severity),
        field(b'C', refusal.cause.sqlstate()),
        field(b'M', refusal.cause.message()),
        field(b'D', &refusal.detail()),
    ];
    put(out, &messages::response::ErrorResponse::new(fields));
}

/// Transaction status in ReadyForQuery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionStatus {
    /// No transaction block is open.
    Idle,
    /// A transaction block is open.
    Open,
    /// The open transaction block has failed; only a rollback ends it.
    Failed,
}

/// Appends a ReadyForQuery.
pub fn put_ready(out: &mut BytesMut, status: TransactionStatus) {
    let status = match status {
        TransactionStatus::Idle => messages::response::TransactionStatus::Idle,
        TransactionStatus::Open => messages::response::TransactionStatus::Transaction,
        TransactionStatus::Failed => messages::response::TransactionStatus::Error,
    };
    put(out, &messages::response::ReadyForQuery::new(status));
}

/// Appends frames, each given as its tag and body.
pub fn put_frames(out: &mut BytesMut, messages: &[(u8, &'static [u8])]) {
    for (tag, body) in messages {
        framing::put_frame(out, *tag, body);
    }
}

/// Appends a ParameterStatus with the session's floor.
pub fn put_token(out: &mut BytesMut, floor: position::Position) {
    put_parameter(out, TOKEN_PARAMETER, &floor.to_string());
}

/// Appends a ParameterStatus.
pub fn put_parameter(out: &mut BytesMut, name: &str, value: &str) {
    let status = messages::startup::ParameterStatus::new(name.into(), value.into());
    put(out, &status);
}
