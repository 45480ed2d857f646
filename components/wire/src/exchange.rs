//! Runs one batch on one database connection and forwards the replies.
//!
//! The proxy drops the replies to messages that it added to the batch, and
//! creates the replies to messages that it did not send to the database. The
//! caller gets the replies in the order of its messages. The proxy holds back the
//! end of the reply to a write until the commit may be acknowledged.

use std::collections;

use bytes::{BufMut, Bytes, BytesMut};
use kernel::{event, position};

use crate::{batch, classify, failure, framing, server, statements, status};

/// Maximum output that is held back for a transaction which commits within a
/// batch, in bytes.
const MAX_HELD_BYTES: usize = 256 * 1024;
/// SQLSTATE with which a replica refuses a write.
const READ_ONLY_SQLSTATE: &str = "25006";

/// How far the statements of a batch have run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Number of statements that succeeded before an error.
    pub statements: usize,
    /// Number of changes of names that were answered before an error.
    pub names: usize,
    /// Whether a statement failed.
    pub has_error: bool,
    /// Whether no transaction is open after the batch.
    pub is_idle: bool,
}

/// Result of a batch that ran to its end.
#[derive(Debug)]
pub struct BatchOutcome {
    /// How far the statements have run.
    pub progress: Progress,
    /// Transaction status in the last ReadyForQuery: `I`, `T` or `E`.
    pub status: u8,
    /// The batch may have committed a write.
    pub maybe_committed: bool,
    /// A replica refused a write, and the caller has received nothing; the batch can
    /// run again on the primary.
    pub needs_primary: bool,
    /// End of the reply, to be sent once the commit may be acknowledged.
    pub held_output: BytesMut,
    /// Status of the primary after the batch, if the batch included the status query.
    pub primary_status: Option<position::Status>,
    /// An error occurred before a Flush; messages are skipped until Sync.
    pub is_skipping: bool,
}

/// Why a batch did not run to its end.
#[derive(Debug)]
pub enum BatchError {
    /// Sending failed before any byte was written to the database connection.
    Unsent(failure::Failure),
    /// The database connection failed; whether the caller may have received a part
    /// of the reply.
    Server(failure::Failure, bool),
    /// The connection to the caller failed.
    Caller(failure::Failure),
}

/// Next reply that the batch waits for.
#[derive(Debug, PartialEq, Eq)]
enum Expected {
    /// ParseComplete for the statement; whether the message goes to the caller.
    Parse(Bytes, bool),
    /// Messages up to one of these types.
    Until(&'static [u8]),
    /// A reply that the proxy creates: tag and body.
    Local(u8, &'static [u8]),
    /// The same, for a change of names.
    NameChange(u8, &'static [u8]),
    /// ReadyForQuery.
    Ready,
    /// Reply to the status query, up to its ReadyForQuery.
    Status,
}

struct BatchRun<'a> {
    server: &'a mut server::ServerConnection,
    caller: &'a mut framing::FramedStream,
    access: event::Access,
    in_transaction: bool,
    expected: collections::VecDeque<Expected>,
    held_replies: BytesMut,
    holds_commit: bool,
    has_flushed: bool,
    has_rows: bool,
    error_sqlstate: Option<String>,
    tags: CommandTags,
    progress: Progress,
    status: u8,
    primary_status: Option<position::Status>,
}

/// Transaction commands among the command tags of the batch.
#[derive(Debug, Default)]
struct CommandTags {
    has_commit: bool,
    last_rollback: bool,
}

/// Runs a batch. `in_transaction` means that the session had an open transaction on
/// the connection before the batch.
pub fn run_batch(
    plan: &statements::Plan,
    server: &mut server::ServerConnection,
    caller: &mut framing::FramedStream,
    access: event::Access,
    in_transaction: bool,
) -> Result<BatchOutcome, BatchError> {
    let mut expected = write_plan(plan, server);
    if needs_status(plan, access, in_transaction) {
        put_status_query(server);
        expected.push_back(Expected::Status);
    }
    if let Err((sent, failure)) = server.stream.flush_counted() {
        return Err(if sent == 0 {
            BatchError::Unsent(failure)
        } else {
            BatchError::Server(failure, false)
        });
    }
    let reply_start = caller.output.len();
    let mut run = BatchRun {
        server,
        caller,
        access,
        in_transaction,
        expected,
        held_replies: BytesMut::new(),
        holds_commit: false,
        has_flushed: false,
        has_rows: false,
        error_sqlstate: None,
        tags: CommandTags::default(),
        progress: Progress::default(),
        status: b'T',
        primary_status: None,
    };
    let status = run.relay();
    let has_flushed = run.has_flushed;
    match status {
        Ok(status) => Ok(run.finish(status, reply_start, plan)),
        Err(error) => {
            if !has_flushed {
                run.caller.output.truncate(reply_start);
            }
            Err(error)
        }
    }
}

/// Whether the batch may commit a write. The proxy then sends the query for the
/// commit position together with the batch, which saves a round trip.
fn needs_status(plan: &statements::Plan, access: event::Access, in_transaction: bool) -> bool {
    let commits = match plan.boundary {
        classify::Boundary::Begin => false,
        classify::Boundary::Commit => true,
        classify::Boundary::Inside => !in_transaction,
    };
    access == event::Access::Write && plan.terminator != batch::Terminator::Flush && commits
}

fn put_status_query(server: &mut server::ServerConnection) {
    let mut body = BytesMut::with_capacity(status::STATUS_SQL.len() + 1);
    body.put_slice(status::STATUS_SQL.as_bytes());
    body.put_u8(0);
    framing::put_frame(&mut server.stream.output, b'Q', &body);
}

/// Writes the messages of a plan to the connection's output buffer. Statements that
/// the connection has not yet prepared are prepared first. Returns the replies to
/// expect.
fn write_plan(
    plan: &statements::Plan,
    server: &mut server::ServerConnection,
) -> collections::VecDeque<Expected> {
    let mut expected = collections::VecDeque::new();
    let mut seen = collections::HashSet::new();
    for step in &plan.steps {
        match step {
            statements::Step::Parse(statement) => {
                let is_prepared = !seen.insert(statement.name.clone())
                    || server.prepared.contains(&statement.name);
                if is_prepared {
                    expected.push_back(Expected::NameChange(b'1', b""));
                } else {
                    put_parse(server, statement);
                    expected.push_back(Expected::Parse(statement.name.clone(), true));
                }
            }
            statements::Step::Use(tag, before, statement, rest) => {
                let is_prepared = !seen.insert(statement.name.clone())
                    || server.prepared.contains(&statement.name);
                if !is_prepared {
                    put_parse(server, statement);
                    expected.push_back(Expected::Parse(statement.name.clone(), false));
                }
                put_use(server, *tag, before, statement, rest);
                expected.push_back(expected_reply(*tag));
            }
            statements::Step::Send(frame) => {
                frame.encode(&mut server.stream.output);
                if frame.tag != b'H' {
                    expected.push_back(expected_reply(frame.tag));
                }
            }
            statements::Step::Local(tag, body) => expected.push_back(Expected::Local(*tag, body)),
            statements::Step::NameChange(tag, body) => {
                expected.push_back(Expected::NameChange(*tag, body));
            }
        }
    }
    expected
}

fn put_parse(server: &mut server::ServerConnection, statement: &statements::Statement) {
    let mut body = BytesMut::with_capacity(statement.name.len() + 1 + statement.definition.len());
    body.put_slice(&statement.name);
    body.put_u8(0);
    body.put_slice(&statement.definition);
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

fn expected_reply(tag: u8) -> Expected {
    match tag {
        b'B' => Expected::Until(b"2"),
        b'D' => Expected::Until(b"Tn"),
        b'E' => Expected::Until(b"CIs"),
        b'C' => Expected::Until(b"3"),
        _ => Expected::Ready,
    }
}

impl BatchRun<'_> {
    /// Forwards replies until the batch has all replies; returns the transaction
    /// status.
    fn relay(&mut self) -> Result<u8, BatchError> {
        loop {
            self.put_local_replies();
            match self.expected.front() {
                None => return Ok(self.status),
                Some(Expected::Status) => self.read_status_message()?,
                Some(_) => self.relay_message()?,
            }
        }
    }

    fn put_local_replies(&mut self) {
        while let Some(Expected::Local(tag, body) | Expected::NameChange(tag, body)) =
            self.expected.front()
        {
            let (tag, body) = (*tag, *body);
            let reply = self.expected.pop_front();
            let is_change = matches!(reply, Some(Expected::NameChange(..)));
            self.progress.names += usize::from(is_change);
            let out = self.reply_buffer();
            framing::put_frame(out, tag, body);
        }
    }

    /// Returns the buffer for the next message. Unless a commit is being held back,
    /// moves held replies to the caller's output first.
    fn reply_buffer(&mut self) -> &mut BytesMut {
        if self.holds_commit {
            return &mut self.held_replies;
        }
        if !self.held_replies.is_empty() {
            let held = self.held_replies.split();
            self.caller.output.extend_from_slice(&held);
        }
        &mut self.caller.output
    }

    fn server_error(&self, failure: failure::Failure) -> BatchError {
        BatchError::Server(failure, self.has_flushed)
    }

    fn read_status_message(&mut self) -> Result<(), BatchError> {
        let frame = self.server.stream.read_frame(server::MAX_MESSAGE_BYTES);
        let frame = frame.map_err(|f| self.server_error(f))?;
        match frame.tag {
            b'D' => {
                let row = server::parse_columns(&frame.body);
                self.primary_status = row.and_then(|row| status::parse(&row)).ok();
            }
            b'Z' => {
                self.expected.pop_front();
            }
            _ => {}
        }
        Ok(())
    }

    fn relay_message(&mut self) -> Result<(), BatchError> {
        if self.has_rows && !self.server.stream.has_input() {
            self.flush()?;
        }
        let header = self.server.stream.peek_header();
        let (tag, length) = header.map_err(|f| self.server_error(f))?;
        if matches!(tag, b'D' | b'd') && !self.holds_commit {
            return self.forward_data(length);
        }
        let frame = self.server.stream.read_frame(server::MAX_MESSAGE_BYTES);
        let frame = frame.map_err(|f| self.server_error(f))?;
        match tag {
            b'Z' => {
                self.handle_ready(&frame);
                return Ok(());
            }
            b'E' => self.handle_error(&frame),
            b'C' => self.handle_command_complete(&frame),
            b'G' => self.fail_copy()?,
            b'A' => {}
            b'1' => self.handle_parse_complete(&frame),
            b'I' | b's' => {
                self.progress.statements += 1;
                frame.encode(self.reply_buffer());
            }
            _ => {
                frame.encode(self.reply_buffer());
            }
        }
        self.advance(tag);
        if self.held_replies.len() > MAX_HELD_BYTES {
            return Err(self.server_error(failure::Failure::TooLarge(MAX_HELD_BYTES as u64)));
        }
        Ok(())
    }

    fn flush(&mut self) -> Result<(), BatchError> {
        self.has_flushed = true;
        self.has_rows = false;
        self.caller.flush().map_err(BatchError::Caller)
    }

    fn forward_data(&mut self, length: u64) -> Result<(), BatchError> {
        self.reply_buffer();
        self.has_rows = true;
        let is_large = length > 8 * 1024 || self.caller.output.len() > 8 * 1024;
        self.has_flushed |= is_large;
        let forwarded = self.server.stream.forward_frame(self.caller);
        forwarded.map_err(|error| match error {
            framing::ForwardError::Read(failure) => self.server_error(failure),
            framing::ForwardError::Write(failure) => BatchError::Caller(failure),
        })
    }

    fn handle_parse_complete(&mut self, frame: &framing::Frame) {
        let Some(Expected::Parse(name, is_visible)) = self.expected.front() else {
            return;
        };
        let is_visible = *is_visible;
        self.server.prepared.insert(name.clone());
        if is_visible {
            self.progress.names += 1;
            frame.encode(self.reply_buffer());
        }
    }

    fn handle_command_complete(&mut self, frame: &framing::Frame) {
        self.progress.statements += 1;
        self.tags.has_commit |= frame.body.starts_with(b"COMMIT");
        self.tags.last_rollback = frame.body.starts_with(b"ROLLBACK");
        let is_write = self.access == event::Access::Write;
        let out = self.reply_buffer();
        if !is_write {
            return frame.encode(out);
        }
        frame.encode(&mut self.held_replies);
        self.holds_commit |= self.tags.has_commit;
    }

    fn handle_error(&mut self, frame: &framing::Frame) {
        self.error_sqlstate = Some(server::sqlstate(&frame.body));
        frame.encode(self.reply_buffer());
        while self.expected.front().is_some_and(|e| *e != Expected::Ready) {
            self.expected.pop_front();
        }
    }

    /// Fails a `COPY FROM STDIN`, for which the caller would have to send data.
    fn fail_copy(&mut self) -> Result<(), BatchError> {
        let reason = b"COPY FROM STDIN is not supported by the proxy\0";
        framing::put_frame(&mut self.server.stream.output, b'f', reason);
        let sent = self.server.stream.flush();
        sent.map_err(|f| self.server_error(f))
    }

    /// Removes the expected reply that a message of type `tag` completes.
    fn advance(&mut self, tag: u8) {
        let is_complete = match self.expected.front() {
            Some(Expected::Parse(..)) => tag == b'1',
            Some(Expected::Until(tags)) => tags.contains(&tag),
            _ => false,
        };
        if is_complete {
            self.expected.pop_front();
        }
    }

    fn handle_ready(&mut self, frame: &framing::Frame) {
        self.expected.pop_front();
        self.put_local_replies();
        if self.held_replies.is_empty() {
            frame.encode(&mut self.caller.output);
        } else {
            frame.encode(&mut self.held_replies);
        }
        self.status = frame.body.first().copied().unwrap_or(b'I');
    }

    fn finish(mut self, status: u8, reply_start: usize, plan: &statements::Plan) -> BatchOutcome {
        let is_idle = status == b'I';
        let was_refused = self.error_sqlstate.as_deref() == Some(READ_ONLY_SQLSTATE);
        let has_kept_nothing = is_idle && !self.in_transaction && !self.tags.has_commit;
        let needs_primary = was_refused && has_kept_nothing && !self.has_flushed;
        if needs_primary {
            self.caller.output.truncate(reply_start);
        }
        let has_failed =
            self.error_sqlstate.is_some() || self.tags.last_rollback || plan.follows_error;
        let is_write = self.access == event::Access::Write;
        let maybe_committed = is_write && is_idle && (self.tags.has_commit || !has_failed);
        let mut held_output = self.held_replies.split();
        if maybe_committed && held_output.is_empty() {
            held_output = self
                .caller
                .output
                .split_off(reply_start.min(self.caller.output.len()));
        }
        if !maybe_committed {
            self.caller.output.extend_from_slice(&held_output);
            held_output.clear();
        }
        let progress = Progress {
            has_error: self.error_sqlstate.is_some(),
            is_idle,
            ..self.progress
        };
        BatchOutcome {
            progress,
            status,
            maybe_committed,
            needs_primary,
            held_output,
            primary_status: self.primary_status,
            is_skipping: self.error_sqlstate.is_some()
                && plan.terminator == batch::Terminator::Flush,
        }
    }
}
