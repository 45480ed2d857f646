//! Connections of the HTTP client.
//!
//! A request that is given up must not arrive later, so all connections are reset at their
//! end. A request may carry a [`Validity`], which is checked just before each write.

use std::{fmt, io, io::Read, io::Write, net, sync, time};

use derive_more::{Display, Error};
use ureq::unversioned::transport;

/// Check whether a request may still be sent.
#[derive(Clone)]
pub struct Validity(sync::Arc<dyn Fn() -> bool + Send + Sync>);

impl Validity {
    /// Creates a check from a function that returns false once the request has expired.
    pub fn new(check: impl Fn() -> bool + Send + Sync + 'static) -> Self {
        Self(sync::Arc::new(check))
    }

    /// Whether the request may still be sent.
    pub fn holds(&self) -> bool {
        (self.0)()
    }
}

impl fmt::Debug for Validity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Validity")
    }
}

/// The request expired before its last byte was written.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the request expired before it was sent")]
pub(crate) struct Expired;

/// Opens connections for an agent.
#[derive(Debug)]
pub(crate) struct Connector {
    /// Time after which undelivered bytes are dropped.
    pub delivery: time::Duration,
    pub validity: Option<Validity>,
}

impl<In: transport::Transport> transport::Connector<In> for Connector {
    type Out = Connection;

    fn connect(
        &self,
        details: &transport::ConnectionDetails<'_>,
        _chained: Option<In>,
    ) -> Result<Option<Connection>, ureq::Error> {
        let timeout = details.timeout.not_zero();
        let options = socket::Options {
            source: None,
            timeout: timeout.map_or(self.delivery, |limit| *limit),
            delivery: Some(self.delivery),
        };
        let mut failure = io::Error::from(io::ErrorKind::AddrNotAvailable);
        for address in &details.addrs {
            match socket::connect(*address, &options) {
                Ok(stream) => {
                    let config = details.config;
                    return Ok(Some(Connection {
                        stream,
                        buffers: transport::LazyBuffers::new(
                            config.input_buffer_size(),
                            config.output_buffer_size(),
                        ),
                        validity: self.validity.clone(),
                    }));
                }
                Err(error) => failure = error,
            }
        }
        Err(failure.into())
    }
}

/// Connection to a server.
pub(crate) struct Connection {
    stream: net::TcpStream,
    buffers: transport::LazyBuffers,
    validity: Option<Validity>,
}

impl fmt::Debug for Connection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Connection({:?})", self.stream)
    }
}

/// Time that is left, if it is limited; fails if none is left.
fn remaining(timeout: transport::NextTimeout) -> Result<Option<time::Duration>, ureq::Error> {
    if timeout.after.is_zero() {
        return Err(ureq::Error::Timeout(timeout.reason));
    }
    Ok(timeout.not_zero().map(|limit| *limit))
}

/// Writes bytes that must not leave after the end of their validity, also if the process is
/// stopped at any point. The system holds the bytes back until the second check, for at
/// most 200 ms after the write.
fn write_while(validity: &Validity, stream: &net::TcpStream, bytes: &[u8]) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    if !validity.holds() {
        return Err(io::Error::other(Expired));
    }
    if let Err(error) = socket.set_tcp_cork(true) {
        log::warn!("cannot hold a request back until it is checked: {error}");
    }
    let mut stream = stream;
    stream.write_all(bytes)?;
    if !validity.holds() {
        // Closing the connection drops the bytes.
        return Err(io::Error::other("the request expired while it was sent"));
    }
    socket.set_tcp_cork(false)
}

fn map_error(error: io::Error, timeout: transport::NextTimeout) -> ureq::Error {
    match error.kind() {
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => ureq::Error::Timeout(timeout.reason),
        _ => error.into(),
    }
}

impl transport::Transport for Connection {
    fn buffers(&mut self) -> &mut dyn transport::Buffers {
        &mut self.buffers
    }

    fn transmit_output(
        &mut self,
        amount: usize,
        timeout: transport::NextTimeout,
    ) -> Result<(), ureq::Error> {
        use transport::Buffers;
        self.stream.set_write_timeout(remaining(timeout)?)?;
        let output = &self.buffers.output()[..amount];
        let written = match &self.validity {
            Some(validity) => write_while(validity, &self.stream, output),
            None => (&self.stream).write_all(output),
        };
        written.map_err(|error| map_error(error, timeout))
    }

    fn await_input(&mut self, timeout: transport::NextTimeout) -> Result<bool, ureq::Error> {
        use transport::Buffers;
        self.stream.set_read_timeout(remaining(timeout)?)?;
        let input = self.buffers.input_append_buf();
        let count = loop {
            match (&self.stream).read(input) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => break read.map_err(|error| map_error(error, timeout))?,
            }
        };
        self.buffers.input_appended(count);
        Ok(count > 0)
    }

    fn is_open(&mut self) -> bool {
        let mut byte = [0];
        let is_silent = |error: io::Error| error.kind() == io::ErrorKind::WouldBlock;
        let peeked = self.stream.set_nonblocking(true).is_ok()
            && self.stream.peek(&mut byte).is_err_and(is_silent);
        self.stream.set_nonblocking(false).is_ok() && peeked
    }
}
