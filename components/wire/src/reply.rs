//! Messages that the proxy sends on its own account.

use bytes::BytesMut;
use errors::Refusal;
use kernel::position;
use pgwire::messages::{self, Message};

use crate::channel;

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
pub fn error(out: &mut BytesMut, refusal: &Refusal, severity: &str) {
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
pub enum Block {
    /// None.
    Idle,
    /// An open one.
    Open,
    /// One that can only be rolled back.
    Failed,
}

/// Ready for the next statement.
pub fn ready(out: &mut BytesMut, block: Block) {
    let status = match block {
        Block::Idle => messages::response::TransactionStatus::Idle,
        Block::Open => messages::response::TransactionStatus::Transaction,
        Block::Failed => messages::response::TransactionStatus::Error,
    };
    put(out, &messages::response::ReadyForQuery::new(status));
}

/// Messages that no database has sent.
pub fn made(out: &mut BytesMut, messages: &[(u8, &'static [u8])]) {
    for (tag, body) in messages {
        channel::put_frame(out, *tag, body);
    }
}

/// Tells the caller its floor.
pub fn token(out: &mut BytesMut, floor: position::Position) {
    parameter(out, TOKEN_PARAMETER, &floor.to_string());
}

/// Tells the caller a parameter.
pub fn parameter(out: &mut BytesMut, name: &str, value: &str) {
    let status = messages::startup::ParameterStatus::new(name.into(), value.into());
    put(out, &status);
}
