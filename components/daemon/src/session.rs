//! Start of the session of a caller that speaks the PostgreSQL protocol.

use std::{net, sync};

use errors::{Cause, Refusal};
use kernel::event;

use crate::{handle, requests, runtime, startups};

/// Accepts a caller and serves its session until the end.
pub fn serve(
    runtime: &sync::Arc<runtime::Runtime>,
    socket: sync::Arc<net::TcpStream>,
    tls: Option<&sync::Arc<rustls::ServerConfig>>,
    starting: startups::Startup,
) {
    let Err(failure) = serve_session(runtime, socket, tls, starting) else {
        return;
    };
    let kind = match &failure {
        wire::Failure::Full => "memory",
        wire::Failure::Slow => "slow",
        wire::Failure::Unread => "unread",
        _ => return log::debug!("session ended: {failure}"),
    };
    runtime.end_misused(kind);
}

fn serve_session(
    runtime: &sync::Arc<runtime::Runtime>,
    socket: sync::Arc<net::TcpStream>,
    tls: Option<&sync::Arc<rustls::ServerConfig>>,
    starting: startups::Startup,
) -> Result<(), wire::Failure> {
    let limits = &runtime.settings.limits;
    let (startup_timeout, send_timeout) =
        (limits.startup_timeout, runtime.settings.intake.send_timeout);
    let control_socket = socket.clone();
    let (mut caller, hello) = wire::negotiate_startup(socket, tls, startup_timeout, send_timeout)?;
    let startup = match hello {
        wire::ConnectionRequest::Cancel(process, secret) => {
            runtime.cancel(process, secret);
            return Ok(());
        }
        wire::ConnectionRequest::Startup(startup) => startup,
    };
    let key = read_key(runtime, &mut caller, &startup)?;
    if runtime.session_count() >= runtime.settings.limits.max_sessions {
        return wire::refuse_startup(&mut caller, &Refusal::new(Cause::NoCapacity, 1000));
    }
    let secret = random_secret(&control_socket);
    let handle = sync::Arc::new(handle::Handle::new(Some(control_socket), secret));
    let id = runtime.open_session(handle.clone());
    drop(starting);
    if runtime.is_halted() {
        runtime.close_session(id);
        return Ok(());
    }
    let result = admit(runtime, &mut caller, &startup, key.as_deref(), id, &handle);
    let result = match result {
        Ok(Some(session_route)) => {
            let key = key.unwrap_or_default();
            let mut session = requests::Session::new(runtime.clone(), caller, handle, id);
            session.run(&startup.database, &session_route, &key)
        }
        Ok(None) => Ok(()),
        Err(failure) => Err(failure),
    };
    runtime.close_session(id);
    result
}

/// Reads the caller's key; none on an open route.
fn read_key(
    runtime: &runtime::Runtime,
    caller: &mut wire::Caller,
    startup: &wire::Startup,
) -> Result<Option<Vec<u8>>, wire::Failure> {
    let fleet = runtime.fleet();
    let route = fleet.routes.get(startup.database.as_str());
    if route.is_some_and(|route| route.open) {
        return Ok(None);
    }
    Ok(Some(wire::read_key(caller)?.to_vec()))
}

/// Opens the session at the kernel. Returns the kernel's answer, or none if the caller was
/// refused.
fn admit(
    runtime: &runtime::Runtime,
    caller: &mut wire::Caller,
    startup: &wire::Startup,
    key: Option<&[u8]>,
    id: event::SessionId,
    handle: &handle::Handle,
) -> Result<Option<event::SessionRoute>, wire::Failure> {
    let digest = key.map(config::KeyDigest::of);
    runtime.handle_event(event::Event::SessionRequested(event::SessionRequest {
        session: id,
        digest,
        route: startup.database.clone(),
        token: startup.token,
    }));
    let session_route = match handle.wait_reply() {
        handle::Reply::Accept(session_route) => session_route,
        handle::Reply::Refuse(refusal) => {
            wire::refuse_startup(caller, &refusal)?;
            return Ok(None);
        }
        _ => return Ok(None),
    };
    let process = runtime.cancel_pid(id);
    wire::accept_session(caller, process, handle.secret, startup.token)?;
    Ok(Some(session_route))
}

/// Returns a secret that cannot be guessed, from the random keys of the standard
/// library's hasher.
fn random_secret(socket: &net::TcpStream) -> i32 {
    use std::hash::{BuildHasher, Hasher};
    let mut hasher = std::hash::RandomState::new().build_hasher();
    hasher.write_u16(socket.peer_addr().map_or(0, |address| address.port()));
    let bytes = hasher.finish().to_be_bytes();
    i32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}
