//! TCP connections that the daemon opens.
//!
//! A daemon that gives up a call must be able to tell when the call can no longer arrive.
//! The system goes on delivering the bytes of a connection after an ordinary close, also
//! when a partition ends much later. Connections of this crate are reset instead: when they
//! are closed, when the process ends, and, with a delivery limit, when their bytes stay
//! unacknowledged for too long while the process does not run.

use std::{io, net, time};

/// Options of a new connection.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Local address; the system chooses one if there is none.
    pub source: Option<net::IpAddr>,
    /// Time limit for connecting.
    pub timeout: time::Duration,
    /// Time after which the system resets a connection with unacknowledged bytes.
    pub delivery: Option<time::Duration>,
}

/// Opens a connection whose undelivered bytes are dropped at its end.
pub fn connect(address: net::SocketAddr, options: &Options) -> io::Result<net::TcpStream> {
    let domain = socket2::Domain::for_address(address);
    let socket = socket2::Socket::new(domain, socket2::Type::STREAM, None)?;
    // Set before connecting, so that a process that is killed at any time resets too.
    socket.set_linger(Some(time::Duration::ZERO))?;
    socket.set_tcp_user_timeout(options.delivery)?;
    if let Some(source) = options.source {
        socket.bind(&net::SocketAddr::new(source, 0).into())?;
    }
    socket.connect_timeout(&address.into(), options.timeout)?;
    socket.set_tcp_nodelay(true)?;
    Ok(socket.into())
}
