//! Buffered frames over a blocking stream.

use std::{io, net, thread, time};

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::failure;

/// Bytes asked from the stream at once.
const READ_SIZE: usize = 8 * 1024;
/// Output that is sent on without waiting for more.
const FLUSH_SIZE: usize = 16 * 1024;
/// Buffer kept while the connection is idle.
const IDLE_SIZE: usize = 16 * 1024;
/// Pause between looks at the input of a connection that ends.
const FINISH_PERIOD: time::Duration = time::Duration::from_millis(10);
/// Tag and length.
const HEADER_SIZE: usize = 5;

/// A blocking byte stream over TCP, plain or TLS.
pub trait Stream: io::Read + io::Write + Send {
    /// The socket below.
    fn socket(&self) -> &net::TcpStream;
}

impl Stream for net::TcpStream {
    fn socket(&self) -> &net::TcpStream {
        self
    }
}

impl Stream for rustls::StreamOwned<rustls::ServerConnection, net::TcpStream> {
    fn socket(&self) -> &net::TcpStream {
        self.get_ref()
    }
}

/// One protocol message: tag and body without the length.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Message type.
    pub tag: u8,
    /// Body after the length.
    pub body: Bytes,
}

impl Frame {
    /// Appends the frame in wire form.
    pub fn encode(&self, out: &mut BytesMut) {
        put_frame(out, self.tag, &self.body);
    }
}

/// Appends a frame in wire form.
pub fn put_frame(out: &mut BytesMut, tag: u8, body: &[u8]) {
    out.reserve(HEADER_SIZE + body.len());
    out.put_u8(tag);
    out.put_u32(u32::try_from(body.len() + 4).unwrap_or(u32::MAX));
    out.put_slice(body);
}

/// A stream with its buffers.
pub struct FramedStream {
    timeout: Option<time::Duration>,
    stream: Box<dyn Stream>,
    input: BytesMut,
    /// Bytes not yet sent.
    pub output: BytesMut,
}

impl FramedStream {
    /// A channel over a connected stream.
    pub fn new(stream: Box<dyn Stream>) -> Self {
        Self {
            timeout: None,
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
        }
    }

    /// The socket below.
    pub fn socket(&self) -> &net::TcpStream {
        self.stream.socket()
    }

    /// Takes the stream out; buffered input must be empty.
    pub fn into_stream(self) -> Result<Box<dyn Stream>, failure::Failure> {
        if self.input.is_empty() {
            Ok(self.stream)
        } else {
            Err(failure::Failure::Malformed)
        }
    }

    /// Limits the time of each read; none waits forever.
    pub fn set_read_timeout(
        &mut self,
        limit: Option<time::Duration>,
    ) -> Result<(), failure::Failure> {
        if self.timeout != limit {
            self.socket().set_read_timeout(limit)?;
            self.timeout = limit;
        }
        Ok(())
    }

    /// Whether input is buffered.
    pub fn has_input(&self) -> bool {
        !self.input.is_empty()
    }

    fn fill(&mut self, wanted: usize) -> Result<(), failure::Failure> {
        while self.input.len() < wanted {
            let start = self.input.len();
            let size = (wanted - start).clamp(READ_SIZE, 8 * READ_SIZE);
            self.input.resize(start + size, 0);
            let read = self.stream.read(&mut self.input[start..]);
            let count = *read.as_ref().unwrap_or(&0);
            self.input.truncate(start + count);
            match read {
                Ok(0) => return Err(failure::Failure::Closed),
                Err(error) if error.kind() != io::ErrorKind::Interrupted => {
                    return Err(error.into());
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// Next bytes, without a frame.
    pub fn read_exact(&mut self, count: usize) -> Result<BytesMut, failure::Failure> {
        self.fill(count)?;
        Ok(self.input.split_to(count))
    }

    /// Tag and body length of the next frame, which stays in the buffer.
    pub fn peek_header(&mut self) -> Result<(u8, u64), failure::Failure> {
        self.fill(HEADER_SIZE)?;
        let mut header = &self.input[..HEADER_SIZE];
        let tag = header.get_u8();
        let length = u64::from(header.get_u32());
        let body = length.checked_sub(4).ok_or(failure::Failure::Malformed)?;
        Ok((tag, body))
    }

    /// Next frame with at most `limit` bytes of body.
    pub fn read_frame(&mut self, limit: usize) -> Result<Frame, failure::Failure> {
        let (tag, length) = self.peek_header()?;
        let size = usize::try_from(length).unwrap_or(usize::MAX);
        if size > limit {
            return Err(failure::Failure::TooLarge(length));
        }
        self.fill(HEADER_SIZE + size)?;
        self.input.advance(HEADER_SIZE);
        let body = self.input.split_to(size).freeze();
        Ok(Frame { tag, body })
    }

    /// Passes the next frame on without holding it whole.
    pub fn forward_frame(&mut self, to: &mut FramedStream) -> Result<(), ForwardError> {
        let (_, length) = self.peek_header().map_err(ForwardError::Read)?;
        let mut left = HEADER_SIZE + usize::try_from(length).unwrap_or(usize::MAX);
        while left > 0 {
            if self.input.is_empty() {
                self.fill(1).map_err(ForwardError::Read)?;
            }
            let size = left.min(self.input.len());
            to.output.put_slice(&self.input[..size]);
            self.input.advance(size);
            left -= size;
            if to.output.len() >= FLUSH_SIZE {
                to.flush().map_err(ForwardError::Write)?;
            }
        }
        Ok(())
    }

    /// Sends all output.
    pub fn flush(&mut self) -> Result<(), failure::Failure> {
        self.stream.write_all(&self.output)?;
        self.stream.flush()?;
        self.output.clear();
        self.shrink();
        Ok(())
    }

    /// Sends all output and tells how many bytes went out before a failure.
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
        Ok(())
    }

    /// Ends the output, and takes in and drops input for the time, since
    /// closing a socket with unread input discards what was sent last.
    pub fn finish(&mut self, limit: time::Duration) -> Result<(), failure::Failure> {
        let socket = self.socket();
        socket.shutdown(net::Shutdown::Write)?;
        socket.set_nonblocking(true)?;
        let deadline = time::Instant::now() + limit;
        let mut dropped = [0; 1024];
        while time::Instant::now() < deadline {
            let mut socket = self.socket();
            match io::Read::read(&mut socket, &mut dropped) {
                Ok(0) => thread::sleep(FINISH_PERIOD),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    thread::sleep(FINISH_PERIOD);
                }
                Err(_) => break,
            }
        }
        Ok(())
    }

    /// Gives back large buffers.
    fn shrink(&mut self) {
        if self.output.capacity() > IDLE_SIZE {
            self.output = BytesMut::new();
        }
        if self.input.is_empty() && self.input.capacity() > IDLE_SIZE {
            self.input = BytesMut::new();
        }
    }
}

/// Which end of a transfer failed.
#[derive(Debug)]
pub enum ForwardError {
    /// The one read from.
    Read(failure::Failure),
    /// The one written to.
    Write(failure::Failure),
}
