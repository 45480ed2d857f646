//! Protocol messages as frames over a buffered, blocking stream.

use std::{io, net, sync, thread, time};

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::failure;

/// Minimum buffer space for one read from the stream, in bytes.
const READ_BYTES: usize = 8 * 1024;
/// Buffered output that triggers a flush while a frame is forwarded, in bytes.
const FLUSH_BYTES: usize = 16 * 1024;
/// Largest buffer that a connection keeps after a flush, in bytes. An idle
/// connection holds no more memory than its two buffers of this size.
const IDLE_BUFFER_BYTES: usize = 16 * 1024;
/// Poll period for the input of a connection that is being closed.
const DRAIN_POLL_PERIOD: time::Duration = time::Duration::from_millis(10);
/// Memory of a decoded frame besides its body, in bytes.
const FRAME_BYTES: usize = 64;
/// Size of a frame's tag and length, in bytes.
const HEADER_BYTES: usize = 5;

/// Blocking byte stream over TCP, plain or TLS.
pub trait Stream: io::Read + io::Write + Send {
    /// The underlying TCP socket.
    fn socket(&self) -> &net::TcpStream;
}

impl Stream for net::TcpStream {
    fn socket(&self) -> &net::TcpStream {
        self
    }
}

/// Socket that other threads may shut down.
#[derive(Clone)]
pub struct SharedSocket(pub sync::Arc<net::TcpStream>);

impl io::Read for SharedSocket {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        (&*self.0).read(buffer)
    }
}

impl io::Write for SharedSocket {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        (&*self.0).write(buffer)
    }

    fn flush(&mut self) -> io::Result<()> {
        (&*self.0).flush()
    }
}

impl Stream for SharedSocket {
    fn socket(&self) -> &net::TcpStream {
        &self.0
    }
}

impl Stream for rustls::StreamOwned<rustls::ServerConnection, SharedSocket> {
    fn socket(&self) -> &net::TcpStream {
        self.get_ref().socket()
    }
}

/// Protocol message: tag and body, without the length field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Message type byte.
    pub tag: u8,
    /// Bytes after the length field.
    pub body: Bytes,
}

impl Frame {
    /// Appends the encoded frame to a buffer.
    pub fn encode(&self, out: &mut BytesMut) {
        put_frame(out, self.tag, &self.body);
    }
}

/// Appends an encoded frame to a buffer.
pub fn put_frame(out: &mut BytesMut, tag: u8, body: &[u8]) {
    out.reserve(HEADER_BYTES + body.len());
    out.put_u8(tag);
    out.put_u32(u32::try_from(body.len() + 4).unwrap_or(u32::MAX));
    out.put_slice(body);
}

/// Memory and time that a caller may take for the messages of one batch.
struct Meter {
    account: intake::Account,
    receive_timeout: time::Duration,
    /// Size of the messages of the batch so far, in bytes.
    batch_bytes: usize,
}

/// Stream that reads and writes frames through an input and an output buffer.
pub struct FramedStream {
    read_timeout: Option<time::Duration>,
    /// Time by which the message that is being read must be complete.
    deadline: Option<time::Instant>,
    meter: Option<Meter>,
    stream: Box<dyn Stream>,
    input: BytesMut,
    /// Bytes to send with the next flush.
    pub output: BytesMut,
}

impl FramedStream {
    /// Creates a framed stream over a connected stream.
    pub fn new(stream: Box<dyn Stream>) -> Self {
        Self {
            read_timeout: None,
            deadline: None,
            meter: None,
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
        }
    }

    /// The underlying TCP socket.
    pub fn socket(&self) -> &net::TcpStream {
        self.stream.socket()
    }

    /// Returns the underlying stream, for TLS. Input that arrived before the TLS
    /// handshake is a protocol violation.
    pub fn into_stream(self) -> Result<Box<dyn Stream>, failure::Failure> {
        if self.input.is_empty() {
            Ok(self.stream)
        } else {
            Err(failure::Failure::Malformed)
        }
    }

    /// Sets the timeout of each read; with none, reads block without a timeout.
    pub fn set_read_timeout(
        &mut self,
        timeout: Option<time::Duration>,
    ) -> Result<(), failure::Failure> {
        if self.read_timeout != timeout {
            self.socket().set_read_timeout(timeout)?;
            self.read_timeout = timeout;
        }
        Ok(())
    }

    /// Whether the input buffer holds unread bytes.
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    /// Sets the time by which the next messages must be complete; with none, only a
    /// message that has begun has a time limit.
    pub fn set_deadline(&mut self, deadline: Option<time::Instant>) {
        self.deadline = deadline;
    }

    /// Charges the messages that are read to the account, and limits the time of each
    /// batch once it has begun.
    pub fn set_meter(&mut self, account: intake::Account, receive_timeout: time::Duration) {
        self.meter = Some(Meter {
            account,
            receive_timeout,
            batch_bytes: 0,
        });
    }

    /// Frees what the messages of the last batch have taken.
    pub(crate) fn begin_batch(&mut self) {
        self.deadline = None;
        if self.input.capacity() > IDLE_BUFFER_BYTES && self.input.len() <= READ_BYTES {
            self.input = BytesMut::from(&self.input[..]);
        }
        if let Some(meter) = &mut self.meter {
            meter.batch_bytes = 0;
            meter.account.lower_message(0);
        }
    }

    /// Starts the time limit of a batch.
    fn start_timing(&mut self) {
        if let Some(meter) = &self.meter {
            let deadline = time::Instant::now() + meter.receive_timeout;
            self.deadline.get_or_insert(deadline);
        }
    }

    /// Charges the next message, whose body has this size.
    fn charge(&mut self, size: usize) -> Result<(), failure::Failure> {
        let Some(meter) = &mut self.meter else {
            return Ok(());
        };
        meter.batch_bytes += size + FRAME_BYTES;
        let bytes = intake::message_charge(meter.batch_bytes);
        if bytes == 0 {
            return Ok(());
        }
        self.start_timing();
        let deadline = self.deadline.unwrap_or_else(time::Instant::now);
        let is_charged = match &mut self.meter {
            Some(meter) => meter.account.raise_message(bytes, deadline),
            None => true,
        };
        is_charged.then_some(()).ok_or(failure::Failure::Full)
    }

    /// Limits the next read to the time that is left for the message.
    fn limit_read(&mut self) -> Result<(), failure::Failure> {
        if !self.input.is_empty() {
            self.start_timing();
        }
        let Some(deadline) = self.deadline else {
            return Ok(());
        };
        let left = deadline.saturating_duration_since(time::Instant::now());
        if left.is_zero() {
            return Err(failure::Failure::Slow);
        }
        self.set_read_timeout(Some(left))
    }

    fn fill_input(&mut self, min_size: usize) -> Result<(), failure::Failure> {
        while self.input.len() < min_size {
            self.limit_read()?;
            let start = self.input.len();
            let size = (min_size - start).clamp(READ_BYTES, 8 * READ_BYTES);
            self.input.resize(start + size, 0);
            let read = self.stream.read(&mut self.input[start..]);
            let count = *read.as_ref().unwrap_or(&0);
            self.input.truncate(start + count);
            match read {
                Ok(0) => return Err(failure::Failure::Closed),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if self.deadline.is_some() && is_timeout(&error) => {
                    return Err(failure::Failure::Slow);
                }
                Err(error) => return Err(error.into()),
                Ok(_) => {}
            }
        }
        Ok(())
    }

    /// Reads the next `count` bytes, which are not framed.
    pub fn read_exact(&mut self, count: usize) -> Result<BytesMut, failure::Failure> {
        self.fill_input(count)?;
        Ok(self.input.split_to(count))
    }

    /// Returns the tag and body length of the next frame and leaves the frame in
    /// the buffer.
    pub fn peek_header(&mut self) -> Result<(u8, u64), failure::Failure> {
        self.fill_input(HEADER_BYTES)?;
        let mut header = &self.input[..HEADER_BYTES];
        let tag = header.get_u8();
        let length = u64::from(header.get_u32());
        let body = length.checked_sub(4).ok_or(failure::Failure::Malformed)?;
        Ok((tag, body))
    }

    /// Reads the next frame, whose body has at most `limit` bytes.
    pub fn read_frame(&mut self, limit: usize) -> Result<Frame, failure::Failure> {
        let (tag, length) = self.peek_header()?;
        let size = usize::try_from(length).unwrap_or(usize::MAX);
        if size > limit {
            return Err(failure::Failure::TooLarge(length));
        }
        self.charge(size)?;
        self.input
            .reserve((HEADER_BYTES + size).saturating_sub(self.input.len()));
        self.fill_input(HEADER_BYTES + size)?;
        self.input.advance(HEADER_BYTES);
        if self.meter.is_some() {
            // The rest of the batch shares the time limit.
            self.start_timing();
        }
        let body = self.input.split_to(size).freeze();
        Ok(Frame { tag, body })
    }

    /// Forwards the next frame in pieces, so that a large frame is never buffered
    /// whole.
    pub fn forward_frame(&mut self, target: &mut FramedStream) -> Result<(), ForwardError> {
        let (_, length) = self.peek_header().map_err(ForwardError::Read)?;
        let mut remaining = HEADER_BYTES + usize::try_from(length).unwrap_or(usize::MAX);
        while remaining > 0 {
            if self.input.is_empty() {
                self.fill_input(1).map_err(ForwardError::Read)?;
            }
            let size = remaining.min(self.input.len());
            target.output.put_slice(&self.input[..size]);
            self.input.advance(size);
            remaining -= size;
            if target.output.len() >= FLUSH_BYTES {
                target.flush().map_err(ForwardError::Write)?;
            }
        }
        Ok(())
    }

    /// Sends the output buffer.
    pub fn flush(&mut self) -> Result<(), failure::Failure> {
        let written = self.stream.write_all(&self.output);
        written
            .and_then(|()| self.stream.flush())
            .map_err(|error| match is_timeout(&error) {
                true => failure::Failure::Unread,
                false => error.into(),
            })?;
        self.output.clear();
        self.shrink_buffers();
        Ok(())
    }

    /// Sends the output buffer. An error carries the number of bytes that were
    /// written before the failure.
    pub fn flush_counted(&mut self) -> Result<(), (usize, failure::Failure)> {
        let mut sent = 0;
        while sent < self.output.len() {
            match self.stream.write(&self.output[sent..]) {
                Ok(0) => return Err((sent, failure::Failure::Closed)),
                Ok(count) => sent += count,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err((sent, error.into())),
            }
        }
        self.output.clear();
        self.shrink_buffers();
        Ok(())
    }

    /// Shuts down the write side, then reads and drops input until `timeout` has
    /// passed. Closing a socket with unread input would reset the connection, and
    /// the peer could lose the last output.
    pub fn shut_down(&mut self, timeout: time::Duration) -> Result<(), failure::Failure> {
        let socket = self.socket();
        socket.shutdown(net::Shutdown::Write)?;
        socket.set_nonblocking(true)?;
        let deadline = time::Instant::now() + timeout;
        let mut discarded = [0; 1024];
        while time::Instant::now() < deadline {
            let mut socket = self.socket();
            match io::Read::read(&mut socket, &mut discarded) {
                Ok(0) => thread::sleep(DRAIN_POLL_PERIOD),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    thread::sleep(DRAIN_POLL_PERIOD);
                }
                Err(_) => break,
            }
        }
        Ok(())
    }

    /// Frees buffers that are larger than an idle connection may keep.
    fn shrink_buffers(&mut self) {
        if self.output.capacity() > IDLE_BUFFER_BYTES {
            self.output = BytesMut::new();
        }
        if self.input.is_empty() && self.input.capacity() > IDLE_BUFFER_BYTES {
            self.input = BytesMut::new();
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Which side failed while a frame was forwarded.
#[derive(Debug)]
pub enum ForwardError {
    /// Reading from the source failed.
    Read(failure::Failure),
    /// Writing to the target failed.
    Write(failure::Failure),
}
