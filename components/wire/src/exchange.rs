//! One batch on one connection: requests out, answers back.
//!
//! The answers to messages that the proxy added are swallowed, those to
//! messages that it left out are made up, and the order stays the caller's.
//! Of a write, the end of the answer is held back until it is acknowledged.

use std::collections;

use bytes::{BufMut, Bytes, BytesMut};
use kernel::{event, position};

use crate::{batch, channel, classify, failure, server, statements, status};

/// Held output of a transaction that commits within a batch, in bytes.
const HELD_LIMIT: usize = 256 * 1024;
/// SQLSTATE of a write refused by a replica.
const READ_ONLY: &str = "25006";

/// How a batch ended.
#[derive(Debug)]
pub struct Exchange {
    /// Transaction status: `I`, `T` or `E`.
    pub status: u8,
    /// Something may have been committed.
    pub committed: bool,
    /// A replica refused a write; nothing was sent to the caller.
    pub read_only: bool,
    /// End of the answer, for after the acknowledgement.
    pub tail: BytesMut,
    /// Status of the primary after the batch, if it was asked for.
    pub place: Option<position::Status>,
    /// The extended protocol skips messages until Sync.
    pub skipping: bool,
}

/// Why a batch did not end.
#[derive(Debug)]
pub enum Fault {
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
    server: &'a mut server::Server,
    caller: &'a mut channel::Channel,
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
    place: Option<position::Status>,
}

/// What the command tags tell.
#[derive(Debug, Default)]
struct Tags {
    commit: bool,
    rollback: bool,
}

/// Runs a batch; `in_transaction` if the connection was held before.
pub fn run(
    plan: &statements::Plan,
    server: &mut server::Server,
    caller: &mut channel::Channel,
    access: event::Access,
    in_transaction: bool,
) -> Result<Exchange, Fault> {
    let mut expects = render(plan, server);
    if asks_status(plan, access, in_transaction) {
        put_status(server);
        expects.push_back(Expect::Status);
    }
    if let Err((sent, failure)) = server.channel.flush_counted() {
        return Err(if sent == 0 {
            Fault::Unsent(failure)
        } else {
            Fault::Server(failure, false)
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
        place: None,
    };
    let status = run.relay();
    let flushed = run.flushed;
    match status {
        Ok(status) => Ok(run.finish(status, mark, plan.end)),
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
    access == event::Access::Write && plan.end != batch::End::Flush && commits
}

fn put_status(server: &mut server::Server) {
    let mut body = BytesMut::with_capacity(status::STATUS_SQL.len() + 1);
    body.put_slice(status::STATUS_SQL.as_bytes());
    body.put_u8(0);
    channel::put_frame(&mut server.channel.output, b'Q', &body);
}

/// Writes the messages of a plan for this connection.
fn render(plan: &statements::Plan, server: &mut server::Server) -> collections::VecDeque<Expect> {
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
                frame.encode(&mut server.channel.output);
                if frame.tag != b'H' {
                    expects.push_back(expected(frame.tag));
                }
            }
            statements::Step::Made(tag, body) => expects.push_back(Expect::Made(*tag, body)),
        }
    }
    expects
}

fn put_parse(server: &mut server::Server, statement: &statements::Statement) {
    let mut body = BytesMut::with_capacity(statement.name.len() + 1 + statement.rest.len());
    body.put_slice(&statement.name);
    body.put_u8(0);
    body.put_slice(&statement.rest);
    channel::put_frame(&mut server.channel.output, b'P', &body);
}

fn put_use(
    server: &mut server::Server,
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
    channel::put_frame(&mut server.channel.output, tag, &body);
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
    fn relay(&mut self) -> Result<u8, Fault> {
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
            channel::put_frame(out, tag, body);
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

    fn broken(&self, failure: failure::Failure) -> Fault {
        Fault::Server(failure, self.flushed)
    }

    fn next_of_status(&mut self) -> Result<(), Fault> {
        let frame = self.server.channel.read_frame(server::MESSAGE_LIMIT);
        let frame = frame.map_err(|f| self.broken(f))?;
        match frame.tag {
            b'D' => {
                let row = server::columns(&frame.body);
                self.place = row.and_then(|row| status::parse(&row)).ok();
            }
            b'Z' => {
                self.expects.pop_front();
            }
            _ => {}
        }
        Ok(())
    }

    fn next(&mut self) -> Result<(), Fault> {
        if self.rows && !self.server.channel.has_input() {
            self.flush()?;
        }
        let header = self.server.channel.peek_header();
        let (tag, length) = header.map_err(|f| self.broken(f))?;
        if matches!(tag, b'D' | b'd') && !self.commit_held {
            return self.pass(length);
        }
        let frame = self.server.channel.read_frame(server::MESSAGE_LIMIT);
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

    fn flush(&mut self) -> Result<(), Fault> {
        self.flushed = true;
        self.rows = false;
        self.caller.flush().map_err(Fault::Caller)
    }

    fn pass(&mut self, length: u64) -> Result<(), Fault> {
        self.release();
        self.rows = true;
        let large = length > 8 * 1024 || self.caller.output.len() > 8 * 1024;
        self.flushed |= large;
        let passed = self.server.channel.pass_frame(self.caller);
        passed.map_err(|side| match side {
            channel::Side::From(failure) => self.broken(failure),
            channel::Side::To(failure) => Fault::Caller(failure),
        })
    }

    fn parsed(&mut self, frame: &channel::Frame) {
        let Some(Expect::Parse(name, shown)) = self.expects.front() else {
            return;
        };
        let shown = *shown;
        self.server.prepared.insert(name.clone());
        if shown {
            frame.encode(self.release());
        }
    }

    fn completed(&mut self, frame: &channel::Frame) {
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

    fn refused(&mut self, frame: &channel::Frame) {
        self.error = Some(server::sqlstate(&frame.body));
        frame.encode(self.release());
        while self.expects.front().is_some_and(|e| *e != Expect::Ready) {
            self.expects.pop_front();
        }
    }

    /// Refuses a copy that the caller would have to feed.
    fn fail_copy(&mut self) -> Result<(), Fault> {
        let reason = b"COPY FROM STDIN is not supported by the proxy\0";
        channel::put_frame(&mut self.server.channel.output, b'f', reason);
        let sent = self.server.channel.flush();
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

    fn ready(&mut self, frame: &channel::Frame) {
        self.expects.pop_front();
        self.make_up();
        if self.held.is_empty() {
            frame.encode(&mut self.caller.output);
        } else {
            frame.encode(&mut self.held);
        }
        self.status = frame.body.first().copied().unwrap_or(b'I');
    }

    fn finish(mut self, status: u8, mark: usize, end: batch::End) -> Exchange {
        let idle = status == b'I';
        let refused = self.error.as_deref() == Some(READ_ONLY);
        let read_only = refused && idle && !self.flushed && !self.in_transaction;
        if read_only {
            self.caller.output.truncate(mark);
        }
        let failed = self.error.is_some() || self.tags.rollback;
        let write = self.access == event::Access::Write;
        let committed = write && idle && (self.tags.commit || !failed);
        let mut tail = self.held.split();
        if committed && tail.is_empty() {
            tail = self
                .caller
                .output
                .split_off(mark.min(self.caller.output.len()));
        }
        if !committed {
            self.caller.output.extend_from_slice(&tail);
            tail.clear();
        }
        Exchange {
            status,
            committed,
            read_only,
            tail,
            place: self.place,
            skipping: self.error.is_some() && end == batch::End::Flush,
        }
    }
}
