//! Prepared statements of a session, and the plans of its batches.
//!
//! The proxy prepares a session's statements on each connection that runs them.
//! Their names at the database are hashes of the text and the parameter types, so
//! that sessions which share a connection also share its prepared statements.

use std::{collections, hash, sync};

use bytes::{BufMut, Bytes, BytesMut};
use errors::Cause;
use kernel::event;

use crate::{batch, classify, deallocate, failure, framing};

/// Maximum number of prepared statements of a session.
const MAX_STATEMENTS: usize = 1_000;
/// Maximum number of statements that set parameters which a session replays on
/// other connections; the oldest are dropped first.
const MAX_SETTINGS: usize = 64;

/// Memory of a kept text or name besides its bytes.
const ENTRY_BYTES: usize = 256;

/// Body of a ParameterDescription without parameters.
const NO_PARAMETERS: &[u8] = &[0, 0];

/// Statement that a session has prepared.
#[derive(Debug)]
pub struct Statement {
    /// Name of the statement at the databases.
    pub name: Bytes,
    /// Text and parameter types, encoded as in a Parse message after the name.
    pub definition: Bytes,
    /// Class of the statement.
    pub class: classify::StatementClass,
    /// Text of the statement.
    pub sql: String,
}

/// Action for one message of a batch.
#[derive(Debug)]
pub enum Step {
    /// Prepare the statement, unless the connection has prepared it already.
    Parse(sync::Arc<Statement>),
    /// Send a message that refers to the statement by name: message type, body
    /// before the name, statement, and body after the name.
    Use(u8, Bytes, sync::Arc<Statement>, Bytes),
    /// Send the message unchanged.
    Send(framing::Frame),
    /// Reply to the caller without the database: message type and body.
    Local(u8, &'static [u8]),
}

/// Batch that is ready to run on any connection.
#[derive(Debug)]
pub struct Plan {
    /// Actions in the order of the messages.
    pub steps: Vec<Step>,
    /// Access that the batch needs.
    pub access: event::Access,
    /// Type of the last message of the batch.
    pub terminator: batch::Terminator,
    /// Statements that change parameters of the session.
    pub settings: Vec<String>,
    /// The batch runs `DISCARD`, which drops the session's settings.
    pub discards_settings: bool,
    /// Whether the last statement starts or commits a transaction block.
    pub boundary: classify::Boundary,
}

/// State that a session keeps across database connections.
#[derive(Debug, Default)]
pub struct SessionStatements {
    /// Account to which the texts and names are charged.
    account: Option<intake::Account>,
    prepared: collections::HashMap<Bytes, sync::Arc<Statement>>,
    /// Portals of `DEALLOCATE` statements, which no database knows.
    portals: collections::HashMap<Bytes, deallocate::Target>,
    settings: Vec<String>,
}

/// Why the proxy does not run a batch.
#[derive(Debug)]
pub enum PlanError {
    /// The proxy returns an error to the caller, and the session continues.
    Refused(Cause),
    /// The caller violated the protocol; the proxy closes the connection.
    Protocol(failure::Failure),
}

impl From<Cause> for PlanError {
    fn from(cause: Cause) -> Self {
        Self::Refused(cause)
    }
}

impl SessionStatements {
    /// Charges the texts and names that the session keeps to the account.
    pub fn set_account(&mut self, account: intake::Account) {
        self.account = Some(account);
    }

    fn keep(&mut self, bytes: usize) -> Result<(), PlanError> {
        let account = self.account.as_mut();
        let is_kept = account.is_none_or(|account| account.keep(bytes));
        is_kept.then_some(()).ok_or(Cause::NoCapacity.into())
    }

    fn drop_kept(&mut self, bytes: usize) {
        if let Some(account) = &mut self.account {
            account.drop_kept(bytes);
        }
    }

    fn remove_prepared(&mut self, name: &Bytes) -> bool {
        let removed = self.prepared.remove(name);
        if let Some(statement) = &removed {
            self.drop_kept(kept_bytes(name, statement));
        }
        removed.is_some()
    }

    /// Statements that set the session's parameters on another connection.
    pub fn settings(&self) -> &[String] {
        &self.settings
    }

    /// Saves the statements of a batch that set parameters.
    pub fn save_settings(&mut self, plan: &Plan) {
        let mut dropped = 0;
        if plan.discards_settings {
            dropped += total_bytes(&self.settings);
            self.settings.clear();
        }
        self.settings.extend(plan.settings.iter().cloned());
        if self.settings.len() > MAX_SETTINGS {
            let excess = self.settings.len() - MAX_SETTINGS;
            dropped += total_bytes(&self.settings[..excess]);
            self.settings.drain(..excess);
        }
        self.drop_kept(dropped);
    }

    /// Converts a batch to a plan.
    pub fn plan(&mut self, batch: batch::Batch) -> Result<Plan, PlanError> {
        let mut plan = Plan {
            steps: Vec::with_capacity(batch.frames.len()),
            access: event::Access::Read,
            terminator: batch.terminator,
            settings: Vec::new(),
            discards_settings: false,
            boundary: classify::Boundary::Inside,
        };
        for frame in batch.frames {
            let step = match frame.tag {
                b'Q' => self.plan_query(frame, &mut plan)?,
                b'P' => self.plan_parse(&frame, &mut plan)?,
                b'B' => self.plan_bind(&frame, &mut plan)?,
                b'E' => self.plan_execute(frame)?,
                b'D' | b'C' => self.plan_reference(frame, &mut plan)?,
                _ => Step::Send(frame),
            };
            plan.steps.push(step);
        }
        self.keep(total_bytes(&plan.settings))?;
        Ok(plan)
    }

    fn plan_query(&mut self, frame: framing::Frame, plan: &mut Plan) -> Result<Step, PlanError> {
        let (sql, _) = split_cstr(&frame.body)?;
        let sql = parse_text(&sql)?;
        if let Some(target) = deallocate::Target::parse(&sql) {
            let reply = self.apply_deallocate(&target)?;
            plan.steps.push(reply);
            let sync = framing::Frame {
                tag: b'S',
                body: Bytes::new(),
            };
            return Ok(Step::Send(sync));
        }
        record_statement(plan, classify::classify(&sql), &sql)?;
        Ok(Step::Send(frame))
    }

    fn plan_parse(&mut self, frame: &framing::Frame, plan: &mut Plan) -> Result<Step, PlanError> {
        let (name, definition) = split_cstr(&frame.body)?;
        let (sql, _) = split_cstr(&definition)?;
        let sql = parse_text(&sql)?;
        let class = classify::classify(&sql);
        if class == classify::StatementClass::Unsupported {
            return Err(Cause::Unsupported.into());
        }
        if self.prepared.len() >= MAX_STATEMENTS && !self.prepared.contains_key(&name) {
            return Err(Cause::NoCapacity.into());
        }
        // Copies, since a slice would keep the whole input buffer.
        let (name, definition) = (
            Bytes::copy_from_slice(&name),
            Bytes::copy_from_slice(&definition),
        );
        let statement = sync::Arc::new(Statement {
            name: statement_name(&definition),
            definition,
            class,
            sql,
        });
        self.remove_prepared(&name);
        self.keep(kept_bytes(&name, &statement))?;
        self.prepared.insert(name, statement.clone());
        if class == classify::StatementClass::Deallocate {
            return Ok(Step::Local(b'1', b""));
        }
        raise_access(plan, class);
        Ok(Step::Parse(statement))
    }

    fn plan_bind(&mut self, frame: &framing::Frame, plan: &mut Plan) -> Result<Step, PlanError> {
        let (portal, rest) = split_cstr(&frame.body)?;
        let (name, rest) = split_cstr(&rest)?;
        let Some(statement) = self.prepared.get(&name) else {
            return Ok(Step::Send(frame.clone()));
        };
        let statement = statement.clone();
        self.remove_portal(&portal);
        if statement.class == classify::StatementClass::Deallocate
            && let Some(target) = deallocate::Target::parse(&statement.sql)
        {
            let portal = Bytes::copy_from_slice(&portal);
            self.keep(portal_bytes(&portal, &target))?;
            self.portals.insert(portal, target);
            return Ok(Step::Local(b'2', b""));
        }
        record_statement(plan, statement.class, &statement.sql)?;
        let mut before = BytesMut::with_capacity(portal.len() + 1);
        before.put_slice(&portal);
        before.put_u8(0);
        Ok(Step::Use(b'B', before.freeze(), statement.clone(), rest))
    }

    /// Plans a Describe or Close, which names a statement or a portal.
    fn plan_reference(
        &mut self,
        frame: framing::Frame,
        plan: &mut Plan,
    ) -> Result<Step, PlanError> {
        let kind = frame.body.first().copied();
        if kind != Some(b'S') {
            return self.plan_portal_reference(frame);
        }
        let (name, rest) = split_cstr(&frame.body.slice(1..))?;
        if frame.tag == b'C' {
            self.remove_prepared(&name);
            return Ok(Step::Local(b'3', b""));
        }
        let Some(statement) = self.prepared.get(&name) else {
            return Ok(Step::Send(frame));
        };
        if statement.class == classify::StatementClass::Deallocate {
            plan.steps.push(Step::Local(b't', NO_PARAMETERS));
            return Ok(Step::Local(b'n', b""));
        }
        raise_access(plan, statement.class);
        let before = frame.body.slice(..1);
        Ok(Step::Use(frame.tag, before, statement.clone(), rest))
    }
}

impl SessionStatements {
    fn remove_portal(&mut self, portal: &Bytes) {
        if let Some(target) = self.portals.remove(portal) {
            self.drop_kept(portal_bytes(portal, &target));
        }
    }

    /// Plans a Describe or Close of a portal. The proxy answers for a portal of a
    /// `DEALLOCATE`, which no database knows.
    fn plan_portal_reference(&mut self, frame: framing::Frame) -> Result<Step, PlanError> {
        let (portal, _) = split_cstr(&frame.body.slice(1.min(frame.body.len())..))?;
        if !self.portals.contains_key(&portal) {
            return Ok(Step::Send(frame));
        }
        if frame.tag == b'C' {
            self.remove_portal(&portal);
            return Ok(Step::Local(b'3', b""));
        }
        Ok(Step::Local(b'n', b""))
    }

    fn plan_execute(&mut self, frame: framing::Frame) -> Result<Step, PlanError> {
        let (portal, _) = split_cstr(&frame.body)?;
        match self.portals.get(&portal).cloned() {
            Some(target) => self.apply_deallocate(&target),
            None => Ok(Step::Send(frame)),
        }
    }

    /// Drops prepared statements of the session and returns the reply.
    fn apply_deallocate(&mut self, target: &deallocate::Target) -> Result<Step, PlanError> {
        match target {
            deallocate::Target::All => {
                let names: Vec<_> = self.prepared.keys().cloned().collect();
                for name in names.iter().filter(|name| !name.is_empty()) {
                    self.remove_prepared(name);
                }
            }
            deallocate::Target::Name(name) => {
                if !self.remove_prepared(name) {
                    return Err(Cause::StatementUnknown.into());
                }
            }
        }
        Ok(Step::Local(b'C', target.command_tag()))
    }
}

impl Plan {
    /// Returns the replies to the batch, if the batch needs no database.
    pub fn local_replies(&self) -> Option<Vec<(u8, &'static [u8])>> {
        let mut replies = Vec::new();
        for step in &self.steps {
            match step {
                Step::Local(tag, body) => replies.push((*tag, *body)),
                Step::Send(frame) if frame.tag == b'S' => {}
                _ => return None,
            }
        }
        (!replies.is_empty()).then_some(replies)
    }
}

/// Bytes that a prepared statement of a session takes.
fn kept_bytes(name: &Bytes, statement: &Statement) -> usize {
    name.len() + statement.definition.len() + statement.sql.len() + ENTRY_BYTES
}

/// Bytes that a portal of a `DEALLOCATE` takes.
fn portal_bytes(portal: &Bytes, target: &deallocate::Target) -> usize {
    let name = match target {
        deallocate::Target::All => 0,
        deallocate::Target::Name(name) => name.len(),
    };
    portal.len() + name + ENTRY_BYTES
}

fn total_bytes(settings: &[String]) -> usize {
    settings.iter().map(|text| text.len() + ENTRY_BYTES).sum()
}

fn record_statement(
    plan: &mut Plan,
    class: classify::StatementClass,
    sql: &str,
) -> Result<(), PlanError> {
    plan.boundary = classify::find_boundary(sql);
    match class {
        classify::StatementClass::Unsupported => return Err(Cause::Unsupported.into()),
        classify::StatementClass::Set => {
            let first_word = sql.trim_start().get(..7).unwrap_or_default();
            plan.discards_settings |= first_word.eq_ignore_ascii_case("DISCARD");
            if !plan.discards_settings {
                plan.settings.push(sql.to_string());
            }
        }
        _ => raise_access(plan, class),
    }
    Ok(())
}

fn raise_access(plan: &mut Plan, class: classify::StatementClass) {
    if class == classify::StatementClass::Write {
        plan.access = event::Access::Write;
    }
}

/// Splits off a zero-terminated string.
fn split_cstr(body: &Bytes) -> Result<(Bytes, Bytes), PlanError> {
    let end = body.iter().position(|byte| *byte == 0);
    let end = end.ok_or(PlanError::Protocol(failure::Failure::Malformed))?;
    Ok((body.slice(..end), body.slice(end + 1..)))
}

fn parse_text(bytes: &Bytes) -> Result<String, PlanError> {
    let text = std::str::from_utf8(bytes);
    text.map(str::to_string)
        .map_err(|_| PlanError::Protocol(failure::Failure::Malformed))
}

fn statement_name(definition: &Bytes) -> Bytes {
    use hash::{Hash, Hasher};
    let mut parts = [0; 2];
    for (seed, part) in (0u8..).zip(&mut parts) {
        let mut hasher = hash::DefaultHasher::new();
        seed.hash(&mut hasher);
        definition.hash(&mut hasher);
        *part = hasher.finish();
    }
    format!("eg_{:016x}{:016x}", parts[0], parts[1]).into()
}
