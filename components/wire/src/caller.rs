//! The start of a caller's connection.

use std::{net, sync, time};

use bytes::{Buf, Bytes, BytesMut};
use errors::Refusal;
use kernel::position;
use pgwire::messages;

use crate::{failure, framing, reply};

/// Longest start-up message, in bytes.
const STARTUP_LIMIT: usize = 10_000;
/// Longest password message, in bytes.
const PASSWORD_LIMIT: usize = 4_096;
/// Code of an SSLRequest.
const SSL_REQUEST: u32 = 80_877_103;
/// Code of a GSSENCRequest.
const GSS_REQUEST: u32 = 80_877_104;
/// Code of a CancelRequest.
const CANCEL_REQUEST: u32 = 80_877_102;
/// Negotiations before the start-up message.
const NEGOTIATIONS: usize = 3;
/// Time that a caller may take to read its answers.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// A caller's connection after its first message.
pub type Caller = framing::FramedStream;

/// What a new connection asks for.
#[derive(Debug)]
pub enum ConnectionRequest {
    /// A session.
    Startup(Startup),
    /// Cancellation of a statement: process and secret.
    Cancel(i32, i32),
}

/// Parameters of a session that the proxy uses; all others are dropped.
#[derive(Debug)]
pub struct Startup {
    /// Route asked for.
    pub database: String,
    /// Token shown.
    pub token: Option<position::Position>,
}

/// Reads the first message, with TLS if the caller asks and it is offered.
pub fn negotiate_startup(
    socket: net::TcpStream,
    tls: Option<&sync::Arc<rustls::ServerConfig>>,
    limit: time::Duration,
) -> Result<(Caller, ConnectionRequest), failure::Failure> {
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(WRITE_TIMEOUT))?;
    let deadline = time::Instant::now() + limit;
    let mut caller = framing::FramedStream::new(Box::new(socket));
    let mut secured = false;
    for _ in 0..NEGOTIATIONS {
        let body = read_first(&mut caller, deadline)?;
        let code = (&body[..4]).get_u32();
        match code {
            SSL_REQUEST if !secured && tls.is_some() => {
                caller = secure(caller, tls)?;
                secured = true;
            }
            SSL_REQUEST | GSS_REQUEST => {
                caller.output.extend_from_slice(b"N");
                caller.flush()?;
            }
            CANCEL_REQUEST => return Ok((caller, cancel_request(&body)?)),
            _ => return Ok((caller, startup(body)?)),
        }
    }
    Err(failure::Failure::Malformed)
}

fn read_first(caller: &mut Caller, deadline: time::Instant) -> Result<BytesMut, failure::Failure> {
    let length = read_by(caller, 4, deadline)?.get_u32();
    let size = usize::try_from(length).unwrap_or(usize::MAX);
    if size > STARTUP_LIMIT {
        return Err(failure::Failure::TooLarge(u64::from(length)));
    }
    let body = size.checked_sub(4).filter(|size| *size >= 4);
    let body = body.ok_or(failure::Failure::Malformed)?;
    read_by(caller, body, deadline)
}

/// Reads under one deadline, however slowly the bytes come.
fn read_by(
    caller: &mut Caller,
    count: usize,
    deadline: time::Instant,
) -> Result<BytesMut, failure::Failure> {
    let left = deadline.saturating_duration_since(time::Instant::now());
    if left.is_zero() {
        return Err(failure::Failure::Io(std::io::ErrorKind::TimedOut));
    }
    caller.set_read_timeout(Some(left))?;
    caller.read_exact(count)
}

fn secure(
    caller: Caller,
    tls: Option<&sync::Arc<rustls::ServerConfig>>,
) -> Result<Caller, failure::Failure> {
    let config = tls.ok_or(failure::Failure::Tls)?.clone();
    let mut stream = caller.into_stream()?;
    stream.write_all(b"S")?;
    let socket = stream.socket().try_clone()?;
    let session = rustls::ServerConnection::new(config).map_err(|_| failure::Failure::Tls)?;
    let stream = rustls::StreamOwned::new(session, socket);
    Ok(framing::FramedStream::new(Box::new(stream)))
}

fn cancel_request(body: &[u8]) -> Result<ConnectionRequest, failure::Failure> {
    let mut rest = &body[4..];
    if rest.len() != 8 {
        return Err(failure::Failure::Malformed);
    }
    Ok(ConnectionRequest::Cancel(rest.get_i32(), rest.get_i32()))
}

fn startup(mut body: BytesMut) -> Result<ConnectionRequest, failure::Failure> {
    let version = body.get_u32();
    if version >> 16 != 3 {
        return Err(failure::Failure::Malformed);
    }
    let mut database = None;
    let mut user = None;
    let mut token = None;
    let mut fields = body[..].split(|byte| *byte == 0);
    while let Some(name) = fields.next().filter(|name| !name.is_empty()) {
        let value = fields.next().ok_or(failure::Failure::Malformed)?;
        let value = std::str::from_utf8(value).map_err(|_| failure::Failure::Malformed)?;
        match name {
            b"database" => database = Some(value.to_string()),
            b"user" => user = Some(value.to_string()),
            b"options" => token = token_in(value),
            _ if name == reply::TOKEN_PARAMETER.as_bytes() => {
                token = position::Position::try_from(value).ok();
            }
            _ => {}
        }
    }
    let database = database.or(user).ok_or(failure::Failure::Malformed)?;
    Ok(ConnectionRequest::Startup(Startup { database, token }))
}

/// Token in `-c ebonygauge.token=term:position`.
fn token_in(options: &str) -> Option<position::Position> {
    let prefix = format!("{}=", reply::TOKEN_PARAMETER);
    let value = options
        .split_whitespace()
        .find_map(|word| word.trim_start_matches("-c").strip_prefix(prefix.as_str()))?;
    position::Position::try_from(value).ok()
}

/// Asks for the key and reads it.
pub fn read_key(caller: &mut Caller, limit: time::Duration) -> Result<Bytes, failure::Failure> {
    let ask = messages::startup::Authentication::CleartextPassword;
    reply::put(&mut caller.output, &ask);
    caller.flush()?;
    caller.set_read_timeout(Some(limit))?;
    let frame = caller.read_frame(PASSWORD_LIMIT)?;
    if frame.tag != b'p' {
        return Err(failure::Failure::Malformed);
    }
    let end = frame.body.iter().position(|byte| *byte == 0);
    let end = end.ok_or(failure::Failure::Malformed)?;
    Ok(frame.body.slice(..end))
}

/// Turns the connection away.
pub fn refuse_startup(caller: &mut Caller, refusal: &Refusal) -> Result<(), failure::Failure> {
    reply::put_error(&mut caller.output, refusal, "FATAL");
    caller.flush()
}

/// Lets the session in, with its cancel key.
pub fn accept_session(
    caller: &mut Caller,
    process: i32,
    secret: i32,
    token: Option<position::Position>,
) -> Result<(), failure::Failure> {
    let out = &mut caller.output;
    reply::put(out, &messages::startup::Authentication::Ok);
    let parameters = [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        reply::put_parameter(out, name, value);
    }
    if let Some(floor) = token {
        reply::put_token(out, floor);
    }
    let secret = messages::startup::SecretKey::I32(secret);
    reply::put(
        out,
        &messages::startup::BackendKeyData::new(process, secret),
    );
    reply::put_ready(out, reply::TransactionStatus::Idle);
    caller.flush()?;
    caller.set_read_timeout(None)
}
