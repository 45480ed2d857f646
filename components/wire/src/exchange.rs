//! One batch on one connection: requests out, answers back.
//!
//! The answers to messages that the proxy added are swallowed, those to
//! messages that it left out are made up, and the order stays the caller's.
//! Of a write, the end of the answer is held back until it is acknowledged.

use std::collections;

use bytes::{BufMut, Bytes, BytesMut};
use kernel::{event, position};

use crate::{batch, classify, failure, framing, server, statements, status};

/// Held output of a transaction that commits within a batch, in bytes.
const HELD_LIMIT: usize = 256 * 1024;
/// SQLSTATE of a write refused by a replica.
const READ_ONLY: &str = "25006";

/// How a batch ended.
#[derive(Debug)]
pub struct BatchOutcome {
    /// Transaction status: `I`, `T` or `E`.
    pub status: u8,
    /// Something may have been maybe_committed.
    pub maybe_committed: bool,
    /// A replica refused a write; nothing was sent to the caller.
    pub needs_primary: bool,
    /// End of the answer, for after the acknowledgement.
    pub held_output: BytesMut,
    /// Status of the primary after the batch, if it was asked for.
    pub primary_status: Option<position::Status>,
    /// The extended protocol skips messages until Sync.
    pub is_skipping: bool,
}

/// Why a batch did not end.
#[derive(Debug)]
pub enum BatchError {
    /// No byte reached the database.
    Unsent(failure::Failure),
    /// The database went away; whether anything was passed to the caller.
    Server(failure::Failure, bool),
    /// The caller went away.
    Caller(failure::Failure),
}

#[derive(Debug, PartialEq, Eq)]
enum Expect {
    /// ParseComplete for the statement; shown to the caller or not.
    Parse(Bytes, bool),
    /// One message of these types ends the step.
    Until(&'static [u8]),
    /// Made up.
    Made(u8, &'static [u8]),
    /// ReadyForQuery.
    Ready,
    /// Answer to the question for the status, up to its ReadyForQuery.
    Status,
}

struct Run<'a> {
    server: &'a mut server::ServerConnection,
    caller: &'a mut framing::FramedStream,
    access: event::Access,
    in_transaction: bool,
    expects: collections::VecDeque<Expect>,
    held: BytesMut,
    commit_held: bool,
    flushed: bool,
    rows: bool,
    error: Option<String>,
    tags: Tags,
    status: u8,
    primary_status: Option<position::Status>,
}

/// What the command tags tell.
#[derive(Debug, Default)]
struct Tags {
    commit: bool,
    rollback: bool,
}

/// Runs a batch; `in_transaction` if the connection was held before.
pub fn run_batch(
    plan: &statements::Plan,
    server: &mut server::ServerConnection,
    caller: &mut framing::FramedStream,
    access: event::Access,
    in_transaction: bool,
) -> Result<BatchOutcome, BatchError> {
    let mut expects = render(plan, server);
    if asks_status(plan, access, in_transaction) {
        put_status(server);
        expects.push_back(Expect::Status);
    }
    if let Err((sent, failure)) = server.stream.flush_counted() {
        return Err(if sent == 0 {
            BatchError::Unsent(failure)
        } else {
            BatchError::Server(failure, false)
        });
    }
    let mark = caller.output.len();
    let mut run = Run {
        server,
        caller,
        access,
        in_transaction,
        expects,
        held: BytesMut::new(),
        commit_held: false,
        flushed: false,
        rows: false,
        error: None,
        tags: Tags::default(),
        status: b'T',
        primary_status: None,
    };
    let status = run.relay();
    let flushed = run.flushed;
    match status {
        Ok(status) => Ok(run.finish(status, mark, plan.terminator)),
        Err(fault) => {
            if !flushed {
                run.caller.output.truncate(mark);
            }
            Err(fault)
        }
    }
}

/// Whether the batch may end in a commit, whose position is asked for at once
/// behind it, to save a round trip.
fn asks_status(plan: &statements::Plan, access: event::Access, in_transaction: bool) -> bool {
    let commits = match plan.boundary {
        classify::Boundary::Begin => false,
        classify::Boundary::Commit => true,
        classify::Boundary::Inside => !in_transaction,
    };
    access == event::Access::Write && plan.terminator != batch::Terminator::Flush && commits
}

fn put_status(server: &mut server::ServerConnection) {
    let mut body = BytesMut::with_capacity(status::STATUS_SQL.len() + 1);
    body.put_slice(status::STATUS_SQL.as_bytes());
    body.put_u8(0);
    framing::put_frame(&mut server.stream.output, b'Q', &body);
}

/// Writes the messages of a plan for this connection.
fn render(
    plan: &statements::Plan,
    server: &mut server::ServerConnection,
) -> collections::VecDeque<Expect> {
    let mut expects = collections::VecDeque::new();
    let mut coming = collections::HashSet::new();
    for step in &plan.steps {
        match step {
            statements::Step::Parse(statement) => {
                let known = !coming.insert(statement.name.clone())
                    || server.prepared.contains(&statement.name);
                if known {
                    expects.push_back(Expect::Made(b'1', b""));
                } else {
                    put_parse(server, statement);
                    expects.push_back(Expect::Parse(statement.name.clone(), true));
                }
            }
            statements::Step::Use(tag, before, statement, rest) => {
                let known = !coming.insert(statement.name.clone())
                    || server.prepared.contains(&statement.name);
                if !known {
                    put_parse(server, statement);
                    expects.push_back(Expect::Parse(statement.name.clone(), false));
                }
                put_use(server, *tag, before, statement, rest);
                expects.push_back(expected(*tag));
            }
            statements::Step::Send(frame) => {
                frame.encode(&mut server.stream.output);
                if frame.tag != b'H' {
                    expects.push_back(expected(frame.tag));
                }
            }
            statements::Step::Made(tag, body) => expects.push_back(Expect::Made(*tag, body)),
        }
    }
    expects
}

fn put_parse(server: &mut server::ServerConnection, statement: &statements::Statement) {
    let mut body = BytesMut::with_capacity(statement.name.len() + 1 + statement.rest.len());
    body.put_slice(&statement.name);
    body.put_u8(0);
    body.put_slice(&statement.rest);
    framing::put_frame(&mut server.stream.output, b'P', &body);
}

fn put_use(
    server: &mut server::ServerConnection,
    tag: u8,
    before: &[u8],
    statement: &statements::Statement,
    rest: &[u8],
) {
    let mut body = BytesMut::with_capacity(before.len() + statement.name.len() + 1 + rest.len());
    body.put_slice(before);
    body.put_slice(&statement.name);
    body.put_u8(0);
    body.put_slice(rest);
    framing::put_frame(&mut server.stream.output, tag, &body);
}

fn expected(tag: u8) -> Expect {
    match tag {
        b'B' => Expect::Until(b"2"),
        b'D' => Expect::Until(b"Tn"),
        b'E' => Expect::Until(b"CIs"),
        b'C' => Expect::Until(b"3"),
        _ => Expect::Ready,
    }
}

impl Run<'_> {
    /// Passes answers on until all are in; returns the transaction status.
    fn relay(&mut self) -> Result<u8, BatchError> {
        loop {
            self.make_up();
            match self.expects.front() {
                None => return Ok(self.status),
                Some(Expect::Status) => self.next_of_status()?,
                Some(_) => self.next()?,
            }
        }
    }

    fn make_up(&mut self) {
        while let Some(Expect::Made(tag, body)) = self.expects.front() {
            let (tag, body) = (*tag, *body);
            self.expects.pop_front();
            let out = self.release();
            framing::put_frame(out, tag, body);
        }
    }

    /// Output for the next message, after what was held back.
    fn release(&mut self) -> &mut BytesMut {
        if self.commit_held {
            return &mut self.held;
        }
        if !self.held.is_empty() {
            let held = self.held.split();
            self.caller.output.extend_from_slice(&held);
        }
        &mut self.caller.output
    }

    fn broken(&self, failure: failure::Failure) -> BatchError {
        BatchError::Server(failure, self.flushed)
    }

    fn next_of_status(&mut self) -> Result<(), BatchError> {
        let frame = self.server.stream.read_frame(server::MESSAGE_LIMIT);
        let frame = frame.map_err(|f| self.broken(f))?;
        match frame.tag {
            b'D' => {
                let row = server::columns(&frame.body);
                self.primary_status = row.and_then(|row| status::parse(&row)).ok();
            }
            b'Z' => {
                self.expects.pop_front();
            }
            _ => {}
        }
        Ok(())
    }

    fn next(&mut self) -> Result<(), BatchError> {
        if self.rows && !self.server.stream.has_input() {
            self.flush()?;
        }
        let header = self.server.stream.peek_header();
        let (tag, length) = header.map_err(|f| self.broken(f))?;
        if matches!(tag, b'D' | b'd') && !self.commit_held {
            return self.pass(length);
        }
        let frame = self.server.stream.read_frame(server::MESSAGE_LIMIT);
        let frame = frame.map_err(|f| self.broken(f))?;
        match tag {
            b'Z' => {
                self.ready(&frame);
                return Ok(());
            }
            b'E' => self.refused(&frame),
            b'C' => self.completed(&frame),
            b'G' => self.fail_copy()?,
            b'A' => {}
            b'1' => self.parsed(&frame),
            _ => {
                frame.encode(self.release());
            }
        }
        self.advance(tag);
        if self.held.len() > HELD_LIMIT {
            return Err(self.broken(failure::Failure::TooLarge(HELD_LIMIT as u64)));
        }
        Ok(())
    }

    fn flush(&mut self) -> Result<(), BatchError> {
        self.flushed = true;
        self.rows = false;
        self.caller.flush().map_err(BatchError::Caller)
    }

    fn pass(&mut self, length: u64) -> Result<(), BatchError> {
        self.release();
        self.rows = true;
        let large = length > 8 * 1024 || self.caller.output.len() > 8 * 1024;
        self.flushed |= large;
        let passed = self.server.stream.forward_frame(self.caller);
        passed.map_err(|side| match side {
            framing::ForwardError::Read(failure) => self.broken(failure),
            framing::ForwardError::Write(failure) => BatchError::Caller(failure),
        })
    }

    fn parsed(&mut self, frame: &framing::Frame) {
        let Some(Expect::Parse(name, shown)) = self.expects.front() else {
            return;
        };
        let shown = *shown;
        self.server.prepared.insert(name.clone());
        if shown {
            frame.encode(self.release());
        }
    }

    fn completed(&mut self, frame: &framing::Frame) {
        self.tags.commit |= frame.body.starts_with(b"COMMIT");
        self.tags.rollback = frame.body.starts_with(b"ROLLBACK");
        let hold = self.access == event::Access::Write;
        let out = self.release();
        if !hold {
            return frame.encode(out);
        }
        frame.encode(&mut self.held);
        self.commit_held |= self.tags.commit;
    }

    fn refused(&mut self, frame: &framing::Frame) {
        self.error = Some(server::sqlstate(&frame.body));
        frame.encode(self.release());
        while self.expects.front().is_some_and(|e| *e != Expect::Ready) {
            self.expects.pop_front();
        }
    }

    /// Refuses a copy that the caller would have to feed.
    fn fail_copy(&mut self) -> Result<(), BatchError> {
        let reason = b"COPY FROM STDIN is not supported by the proxy\0";
        framing::put_frame(&mut self.server.stream.output, b'f', reason);
        let sent = self.server.stream.flush();
        sent.map_err(|f| self.broken(f))
    }

    /// Drops the step that the message ends.
    fn advance(&mut self, tag: u8) {
        let ends = match self.expects.front() {
            Some(Expect::Parse(..)) => tag == b'1',
            Some(Expect::Until(tags)) => tags.contains(&tag),
            _ => false,
        };
        if ends {
            self.expects.pop_front();
        }
    }

    fn ready(&mut self, frame: &framing::Frame) {
        self.expects.pop_front();
        self.make_up();
        if self.held.is_empty() {
            frame.encode(&mut self.caller.output);
        } else {
            frame.encode(&mut self.held);
        }
        self.status = frame.body.first().copied().unwrap_or(b'I');
    }

    fn finish(mut self, status: u8, mark: usize, end: batch::Terminator) -> BatchOutcome {
        let idle = status == b'I';
        let refused = self.error.as_deref() == Some(READ_ONLY);
        let needs_primary = refused && idle && !self.flushed && !self.in_transaction;
        if needs_primary {
            self.caller.output.truncate(mark);
        }
        let failed = self.error.is_some() || self.tags.rollback;
        let write = self.access == event::Access::Write;
        let maybe_committed = write && idle && (self.tags.commit || !failed);
        let mut held_output = self.held.split();
        if maybe_committed && held_output.is_empty() {
            held_output = self
                .caller
                .output
                .split_off(mark.min(self.caller.output.len()));
        }
        if !maybe_committed {
            self.caller.output.extend_from_slice(&held_output);
            held_output.clear();
        }
        BatchOutcome {
            status,
            maybe_committed,
            needs_primary,
            held_output,
            primary_status: self.primary_status,
            is_skipping: self.error.is_some() && end == batch::Terminator::Flush,
        }
    }
}
