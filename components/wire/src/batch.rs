//! Messages of a caller up to the point where it waits for answers.

use crate::{failure, framing};

/// Messages in one batch.
const FRAME_LIMIT: usize = 10_000;

/// What ended a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Terminator {
    /// A simple query.
    Query,
    /// Sync of the extended protocol.
    Sync,
    /// Flush of the extended protocol.
    Flush,
    /// The caller leaves.
    Terminate,
}

/// Messages that are run together.
#[derive(Debug)]
pub struct Batch {
    /// Messages in order, the last one included.
    pub frames: Vec<framing::Frame>,
    /// What ended it.
    pub terminator: Terminator,
}

impl Batch {
    /// Reads the next batch with at most `limit` bytes.
    pub fn read(
        caller: &mut framing::FramedStream,
        limit: usize,
    ) -> Result<Self, failure::Failure> {
        let mut frames = Vec::new();
        let mut left = limit;
        loop {
            let frame = caller.read_frame(left)?;
            left -= frame.body.len();
            let terminator = match frame.tag {
                b'Q' if frames.is_empty() => Some(Terminator::Query),
                b'S' => Some(Terminator::Sync),
                b'H' => Some(Terminator::Flush),
                b'X' => Some(Terminator::Terminate),
                b'P' | b'B' | b'D' | b'E' | b'C' => None,
                // Copy data after a refused copy.
                b'd' | b'c' | b'f' if frames.is_empty() => continue,
                _ => return Err(failure::Failure::Malformed),
            };
            frames.push(frame);
            if let Some(terminator) = terminator {
                return Ok(Self { frames, terminator });
            }
            if frames.len() >= FRAME_LIMIT {
                return Err(failure::Failure::TooLarge(limit as u64));
            }
        }
    }

    /// Whether any message contains the key.
    pub fn contains(&self, key: &[u8]) -> bool {
        if key.is_empty() {
            return false;
        }
        let within = |body: &[u8]| body.windows(key.len()).any(|window| window == key);
        self.frames.iter().any(|frame| within(&frame.body))
    }
}
