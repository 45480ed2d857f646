//! Connection startup with a caller: TLS, startup message, key and greeting.

use std::{net, sync, time};

use bytes::{Buf, Bytes, BytesMut};
use errors::Refusal;
use kernel::position;
use pgwire::messages;

use crate::{failure, framing, reply};

/// Maximum length of a startup message, in bytes.
const MAX_STARTUP_BYTES: usize = 10_000;
/// Maximum length of a password message, in bytes.
const MAX_PASSWORD_BYTES: usize = 4_096;
/// Request code of an SSLRequest.
const SSL_REQUEST: u32 = 80_877_103;
/// Request code of a GSSENCRequest.
const GSS_REQUEST: u32 = 80_877_104;
/// Request code of a CancelRequest.
const CANCEL_REQUEST: u32 = 80_877_102;
/// Maximum number of startup packets, encryption requests included.
const MAX_STARTUP_PACKETS: usize = 3;

/// Connection of a caller, plain or TLS.
pub type Caller = framing::FramedStream;

/// Purpose of a new connection, from its first message.
#[derive(Debug)]
pub enum ConnectionRequest {
    /// Start a session.
    Startup(Startup),
    /// Cancel a running statement: process ID and secret key.
    Cancel(i32, i32),
}

/// Parameters of the startup message that the proxy uses. The proxy ignores all
/// other parameters.
#[derive(Debug)]
pub struct Startup {
    /// Route that the caller connects to.
    pub database: String,
    /// Lowest position that reads of the session may observe, if the caller sent
    /// a token.
    pub token: Option<position::Position>,
}

/// Reads the startup message or the cancel request. Sets up TLS if the caller
/// asks for TLS and `tls` is set; refuses other encryption requests.
pub fn negotiate_startup(
    socket: sync::Arc<net::TcpStream>,
    tls: Option<&sync::Arc<rustls::ServerConfig>>,
    timeout: time::Duration,
    send_timeout: time::Duration,
) -> Result<(Caller, ConnectionRequest), failure::Failure> {
    socket.set_nodelay(true)?;
    socket.set_write_timeout(Some(send_timeout))?;
    let deadline = time::Instant::now() + timeout;
    let shared = framing::SharedSocket(socket);
    let mut caller = framing::FramedStream::new(Box::new(shared.clone()));
    caller.set_deadline(Some(deadline));
    let mut is_encrypted = false;
    for _ in 0..MAX_STARTUP_PACKETS {
        let body = read_startup_packet(&mut caller)?;
        let code = (&body[..4]).get_u32();
        match code {
            SSL_REQUEST if !is_encrypted && tls.is_some() => {
                caller = accept_tls(caller, shared.clone(), tls, deadline)?;
                is_encrypted = true;
            }
            SSL_REQUEST | GSS_REQUEST => {
                caller.output.extend_from_slice(b"N");
                caller.flush()?;
            }
            CANCEL_REQUEST => return Ok((caller, parse_cancel(&body)?)),
            _ => return Ok((caller, parse_startup(body)?)),
        }
    }
    Err(failure::Failure::Malformed)
}

fn read_startup_packet(caller: &mut Caller) -> Result<BytesMut, failure::Failure> {
    let length = caller.read_exact(4)?.get_u32();
    let size = usize::try_from(length).unwrap_or(usize::MAX);
    if size > MAX_STARTUP_BYTES {
        return Err(failure::Failure::TooLarge(u64::from(length)));
    }
    let body = size.checked_sub(4).filter(|size| *size >= 4);
    let body = body.ok_or(failure::Failure::Malformed)?;
    caller.read_exact(body)
}

fn accept_tls(
    caller: Caller,
    mut socket: framing::SharedSocket,
    tls: Option<&sync::Arc<rustls::ServerConfig>>,
    deadline: time::Instant,
) -> Result<Caller, failure::Failure> {
    let config = tls.ok_or(failure::Failure::Tls)?.clone();
    let mut stream = caller.into_stream()?;
    stream.write_all(b"S")?;
    let mut session = rustls::ServerConnection::new(config).map_err(|_| failure::Failure::Tls)?;
    shake_hands(&mut session, &mut socket, deadline)?;
    let stream = rustls::StreamOwned::new(session, socket);
    let mut caller = framing::FramedStream::new(Box::new(stream));
    caller.set_deadline(Some(deadline));
    Ok(caller)
}

/// Completes the TLS handshake by the deadline.
fn shake_hands(
    session: &mut rustls::ServerConnection,
    socket: &mut framing::SharedSocket,
    deadline: time::Instant,
) -> Result<(), failure::Failure> {
    while session.is_handshaking() {
        while session.wants_write() {
            session.write_tls(socket)?;
        }
        if !session.is_handshaking() {
            break;
        }
        let left = deadline.saturating_duration_since(time::Instant::now());
        if left.is_zero() {
            return Err(failure::Failure::Slow);
        }
        socket.0.set_read_timeout(Some(left))?;
        if session.read_tls(socket)? == 0 {
            return Err(failure::Failure::Closed);
        }
        let processed = session.process_new_packets();
        processed.map_err(|_| failure::Failure::Tls)?;
    }
    while session.wants_write() {
        session.write_tls(socket)?;
    }
    Ok(())
}

fn parse_cancel(body: &[u8]) -> Result<ConnectionRequest, failure::Failure> {
    let mut rest = &body[4..];
    if rest.len() != 8 {
        return Err(failure::Failure::Malformed);
    }
    Ok(ConnectionRequest::Cancel(rest.get_i32(), rest.get_i32()))
}

fn parse_startup(mut body: BytesMut) -> Result<ConnectionRequest, failure::Failure> {
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
            b"options" => token = parse_options(value),
            _ if name == reply::TOKEN_PARAMETER.as_bytes() => {
                token = position::Position::try_from(value).ok();
            }
            _ => {}
        }
    }
    let database = database.or(user).ok_or(failure::Failure::Malformed)?;
    Ok(ConnectionRequest::Startup(Startup { database, token }))
}

/// Returns the token from `-c ebonygauge.token=term:position` in the startup options.
fn parse_options(options: &str) -> Option<position::Position> {
    let prefix = format!("{}=", reply::TOKEN_PARAMETER);
    let value = options
        .split_whitespace()
        .find_map(|word| word.trim_start_matches("-c").strip_prefix(prefix.as_str()))?;
    position::Position::try_from(value).ok()
}

/// Requests the caller's key as a cleartext password and reads the key.
pub fn read_key(caller: &mut Caller) -> Result<Bytes, failure::Failure> {
    let request = messages::startup::Authentication::CleartextPassword;
    reply::put(&mut caller.output, &request);
    caller.flush()?;
    let frame = caller.read_frame(MAX_PASSWORD_BYTES)?;
    if frame.tag != b'p' {
        return Err(failure::Failure::Malformed);
    }
    let end = frame.body.iter().position(|byte| *byte == 0);
    let end = end.ok_or(failure::Failure::Malformed)?;
    Ok(frame.body.slice(..end))
}

/// Refuses the session with a fatal error.
pub fn refuse_startup(caller: &mut Caller, refusal: &Refusal) -> Result<(), failure::Failure> {
    reply::put_error(&mut caller.output, refusal, "FATAL");
    caller.flush()
}

/// Completes the startup: sends AuthenticationOk, the parameters, the token, the
/// cancel key and ReadyForQuery.
pub fn accept_session(
    caller: &mut Caller,
    process_id: i32,
    secret_key: i32,
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
    let secret_key = messages::startup::SecretKey::I32(secret_key);
    reply::put(
        out,
        &messages::startup::BackendKeyData::new(process_id, secret_key),
    );
    reply::put_ready(out, reply::TransactionStatus::Idle);
    caller.flush()?;
    caller.set_deadline(None);
    caller.set_read_timeout(None)
}
