//! Messages that the proxy sends on its own account.

use bytes::BytesMut;
use errors::Refusal;
use kernel::position;
use pgwire::messages::{self, Message};

use crate::framing;

/// Name of the parameter that carries a session's floor.
pub const TOKEN_PARAMETER: &str = "ebonygauge.token";

/// Encodes a message that is known to be small.
pub fn put(out: &mut BytesMut, message: &impl Message) {
    let length = out.len();
    if message.encode(out).is_err() {
        out.truncate(length);
    }
}

/// Error of the given severity for a refusal.
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

/// Transaction block that the next statement meets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransactionStatus {
    /// None.
    Idle,
    /// An open one.
    Open,
    /// One that can only be rolled back.
    Failed,
}

/// Ready for the next statement.
pub fn put_ready(out: &mut BytesMut, block: TransactionStatus) {
    let status = match block {
        TransactionStatus::Idle => messages::response::TransactionStatus::Idle,
        TransactionStatus::Open => messages::response::TransactionStatus::Transaction,
        TransactionStatus::Failed => messages::response::TransactionStatus::Error,
    };
    put(out, &messages::response::ReadyForQuery::new(status));
}

/// Messages that no database has sent.
pub fn put_frames(out: &mut BytesMut, messages: &[(u8, &'static [u8])]) {
    for (tag, body) in messages {
        framing::put_frame(out, *tag, body);
    }
}

/// Tells the caller its floor.
pub fn put_token(out: &mut BytesMut, floor: position::Position) {
    put_parameter(out, TOKEN_PARAMETER, &floor.to_string());
}

/// Tells the caller a parameter.
pub fn put_parameter(out: &mut BytesMut, name: &str, value: &str) {
    let status = messages::startup::ParameterStatus::new(name.into(), value.into());
    put(out, &status);
}
