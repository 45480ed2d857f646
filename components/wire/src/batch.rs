//! Batches: the messages that a caller sends before it waits for a reply.

use crate::{failure, framing};

/// Maximum number of messages in a batch.
const MAX_FRAMES: usize = 10_000;

/// Type of the last message of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Terminator {
    /// Query of the simple protocol.
    Query,
    /// Sync of the extended protocol.
    Sync,
    /// Flush of the extended protocol.
    Flush,
    /// Terminate; the caller closes its session.
    Terminate,
}

/// Messages that the proxy sends to a database together.
#[derive(Debug)]
pub struct Batch {
    /// Messages in order, including the last one.
    pub frames: Vec<framing::Frame>,
    /// Type of the last message.
    pub terminator: Terminator,
}

impl Batch {
    /// Reads the next batch, whose message bodies have at most `limit` bytes in
    /// total.
    pub fn read(
        caller: &mut framing::FramedStream,
        limit: usize,
    ) -> Result<Self, failure::Failure> {
        caller.begin_batch();
        let mut frames = Vec::new();
        let mut remaining = limit;
        loop {
            let frame = caller.read_frame(remaining)?;
            remaining -= frame.body.len();
            let terminator = match frame.tag {
                b'Q' if frames.is_empty() => Some(Terminator::Query),
                b'S' => Some(Terminator::Sync),
                b'H' => Some(Terminator::Flush),
                b'X' => Some(Terminator::Terminate),
                b'P' | b'B' | b'D' | b'E' | b'C' => None,
                // The caller may still send CopyData, CopyDone or CopyFail
                // after the proxy has refused its COPY.
                b'd' | b'c' | b'f' if frames.is_empty() => continue,
                _ => return Err(failure::Failure::Malformed),
            };
            frames.push(frame);
            if let Some(terminator) = terminator {
                return Ok(Self { frames, terminator });
            }
            if frames.len() >= MAX_FRAMES {
                return Err(failure::Failure::TooLarge(limit as u64));
            }
        }
    }

    /// Drops all messages but the Sync at the end.
    pub fn keep_sync(&mut self) {
        self.frames.retain(|frame| frame.tag == b'S');
    }

    /// Whether the body of any message contains the caller's key.
    pub fn contains(&self, key: &[u8]) -> bool {
        if key.is_empty() {
            return false;
        }
        let has_key = |body: &[u8]| body.windows(key.len()).any(|window| window == key);
        self.frames.iter().any(|frame| has_key(&frame.body))
    }
}
