//! Prepared statements of a session, and the plan of a batch.
//!
//! A session's statements are prepared on every connection under the pool's
//! own names, which are digests of the text, so that sessions share them.

use std::{collections, hash, sync};

use bytes::{BufMut, Bytes, BytesMut};
use errors::Cause;
use kernel::event;

use crate::{batch, classify, deallocate, failure, framing};

/// Statements that a session may keep prepared.
const STATEMENT_LIMIT: usize = 1_000;
/// Statements that set parameters, kept for other connections.
const SETTING_LIMIT: usize = 64;

/// ParameterDescription without parameters.
const NO_PARAMETERS: &[u8] = &[0, 0];

/// A statement prepared by the session.
#[derive(Debug)]
pub struct Statement {
    /// Name at the databases.
    pub name: Bytes,
    /// Text and parameter types, as in the Parse message after the name.
    pub rest: Bytes,
    /// Class of the text.
    pub class: classify::StatementClass,
    /// The text.
    pub sql: String,
}

/// One message of a plan.
#[derive(Debug)]
pub enum Step {
    /// Prepare, unless the connection has it.
    Parse(sync::Arc<Statement>),
    /// Send a message that uses the statement; body after the name, and what
    /// goes before the name.
    Use(u8, Bytes, sync::Arc<Statement>, Bytes),
    /// Send as it is.
    Send(framing::Frame),
    /// Answer with a message of ours, without the database.
    Made(u8, &'static [u8]),
}

/// A batch ready to be sent on any connection.
#[derive(Debug)]
pub struct Plan {
    /// Messages in order.
    pub steps: Vec<Step>,
    /// What the batch may do.
    pub access: event::Access,
    /// What ended it.
    pub terminator: batch::Terminator,
    /// Statements that change parameters of the session.
    pub settings: Vec<String>,
    /// The batch discards all settings.
    pub discards_settings: bool,
    /// Its last statement starts or commits a transaction block.
    pub boundary: classify::Boundary,
}

/// What a session carries from one connection to another.
#[derive(Debug, Default)]
pub struct SessionStatements {
    named: collections::HashMap<Bytes, sync::Arc<Statement>>,
    /// Portals over statements that concern the session only.
    portals: collections::HashMap<Bytes, deallocate::Target>,
    settings: Vec<String>,
}

/// Why a batch is not run.
#[derive(Debug)]
pub enum PlanError {
    /// With a clear error; the session goes on.
    Refused(Cause),
    /// The protocol is broken; the connection is closed.
    Protocol(failure::Failure),
}

impl From<Cause> for PlanError {
    fn from(cause: Cause) -> Self {
        Self::Refused(cause)
    }
}

impl SessionStatements {
    /// Statements that bring a fresh connection to the session's parameters.
    pub fn settings(&self) -> &[String] {
        &self.settings
    }

    /// Keeps the parameters that a batch has set.
    pub fn save_settings(&mut self, plan: &Plan) {
        if plan.discards_settings {
            self.settings.clear();
        }
        self.settings.extend(plan.settings.iter().cloned());
        if self.settings.len() > SETTING_LIMIT {
            let excess = self.settings.len() - SETTING_LIMIT;
            self.settings.drain(..excess);
        }
    }

    /// Plans a batch.
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
                b'Q' => self.query(frame, &mut plan)?,
                b'P' => self.parse(&frame, &mut plan)?,
                b'B' => self.bind(&frame, &mut plan)?,
                b'E' => self.execute(frame)?,
                b'D' | b'C' => self.refer(frame, &mut plan)?,
                _ => Step::Send(frame),
            };
            plan.steps.push(step);
        }
        Ok(plan)
    }

    fn query(&mut self, frame: framing::Frame, plan: &mut Plan) -> Result<Step, PlanError> {
        let (sql, _) = split(&frame.body)?;
        let sql = text(&sql)?;
        if let Some(target) = deallocate::Target::of(&sql) {
            let made = self.deallocate(&target)?;
            plan.steps.push(made);
            let sync = framing::Frame {
                tag: b'S',
                body: Bytes::new(),
            };
            return Ok(Step::Send(sync));
        }
        note(plan, classify::classify(&sql), &sql)?;
        Ok(Step::Send(frame))
    }

    fn parse(&mut self, frame: &framing::Frame, plan: &mut Plan) -> Result<Step, PlanError> {
        let (name, rest) = split(&frame.body)?;
        let (sql, _) = split(&rest)?;
        let sql = text(&sql)?;
        let class = classify::classify(&sql);
        if class == classify::StatementClass::Unsupported {
            return Err(Cause::Unsupported.into());
        }
        if self.named.len() >= STATEMENT_LIMIT && !self.named.contains_key(&name) {
            return Err(Cause::NoCapacity.into());
        }
        let statement = sync::Arc::new(Statement {
            name: pool_name(&rest),
            rest,
            class,
            sql,
        });
        self.named.insert(name, statement.clone());
        if class == classify::StatementClass::Deallocate {
            return Ok(Step::Made(b'1', b""));
        }
        raise(plan, class);
        Ok(Step::Parse(statement))
    }

    fn bind(&mut self, frame: &framing::Frame, plan: &mut Plan) -> Result<Step, PlanError> {
        let (portal, rest) = split(&frame.body)?;
        let (name, rest) = split(&rest)?;
        let Some(statement) = self.named.get(&name) else {
            return Ok(Step::Send(frame.clone()));
        };
        self.portals.remove(&portal);
        if statement.class == classify::StatementClass::Deallocate
            && let Some(target) = deallocate::Target::of(&statement.sql)
        {
            self.portals.insert(portal, target);
            return Ok(Step::Made(b'2', b""));
        }
        note(plan, statement.class, &statement.sql)?;
        let mut before = BytesMut::with_capacity(portal.len() + 1);
        before.put_slice(&portal);
        before.put_u8(0);
        Ok(Step::Use(b'B', before.freeze(), statement.clone(), rest))
    }

    /// Describe and Close name a statement or a portal.
    fn refer(&mut self, frame: framing::Frame, plan: &mut Plan) -> Result<Step, PlanError> {
        let kind = frame.body.first().copied();
        if kind != Some(b'S') {
            return self.refer_portal(frame);
        }
        let (name, rest) = split(&frame.body.slice(1..))?;
        if frame.tag == b'C' {
            self.named.remove(&name);
            return Ok(Step::Made(b'3', b""));
        }
        let Some(statement) = self.named.get(&name) else {
            return Ok(Step::Send(frame));
        };
        if statement.class == classify::StatementClass::Deallocate {
            plan.steps.push(Step::Made(b't', NO_PARAMETERS));
            return Ok(Step::Made(b'n', b""));
        }
        raise(plan, statement.class);
        let before = frame.body.slice(..1);
        Ok(Step::Use(frame.tag, before, statement.clone(), rest))
    }
}

impl SessionStatements {
    /// A portal over a `DEALLOCATE` is known here only.
    fn refer_portal(&mut self, frame: framing::Frame) -> Result<Step, PlanError> {
        let (portal, _) = split(&frame.body.slice(1.min(frame.body.len())..))?;
        if !self.portals.contains_key(&portal) {
            return Ok(Step::Send(frame));
        }
        if frame.tag == b'C' {
            self.portals.remove(&portal);
            return Ok(Step::Made(b'3', b""));
        }
        Ok(Step::Made(b'n', b""))
    }

    fn execute(&mut self, frame: framing::Frame) -> Result<Step, PlanError> {
        let (portal, _) = split(&frame.body)?;
        match self.portals.get(&portal).cloned() {
            Some(target) => self.deallocate(&target),
            None => Ok(Step::Send(frame)),
        }
    }

    /// Drops names of the session, and makes up the answer.
    fn deallocate(&mut self, target: &deallocate::Target) -> Result<Step, PlanError> {
        match target {
            deallocate::Target::All => self.named.retain(|name, _| name.is_empty()),
            deallocate::Target::Name(name) => {
                if self.named.remove(name).is_none() {
                    return Err(Cause::StatementUnknown.into());
                }
            }
        }
        Ok(Step::Made(b'C', target.tag()))
    }
}

impl Plan {
    /// Messages that answer the batch, if it needs no database.
    pub fn local_replies(&self) -> Option<Vec<(u8, &'static [u8])>> {
        let mut made = Vec::new();
        for step in &self.steps {
            match step {
                Step::Made(tag, body) => made.push((*tag, *body)),
                Step::Send(frame) if frame.tag == b'S' => {}
                _ => return None,
            }
        }
        (!made.is_empty()).then_some(made)
    }
}

fn note(plan: &mut Plan, class: classify::StatementClass, sql: &str) -> Result<(), PlanError> {
    plan.boundary = classify::boundary(sql);
    match class {
        classify::StatementClass::Unsupported => return Err(Cause::Unsupported.into()),
        classify::StatementClass::Set => {
            let word = sql.trim_start().get(..7).unwrap_or_default();
            plan.discards_settings |= word.eq_ignore_ascii_case("DISCARD");
            if !plan.discards_settings {
                plan.settings.push(sql.to_string());
            }
        }
        _ => raise(plan, class),
    }
    Ok(())
}

fn raise(plan: &mut Plan, class: classify::StatementClass) {
    if class == classify::StatementClass::Write {
        plan.access = event::Access::Write;
    }
}

/// Splits off a string that ends with a zero byte.
fn split(body: &Bytes) -> Result<(Bytes, Bytes), PlanError> {
    let end = body.iter().position(|byte| *byte == 0);
    let end = end.ok_or(PlanError::Protocol(failure::Failure::Malformed))?;
    Ok((body.slice(..end), body.slice(end + 1..)))
}

fn text(bytes: &Bytes) -> Result<String, PlanError> {
    let text = std::str::from_utf8(bytes);
    text.map(str::to_string)
        .map_err(|_| PlanError::Protocol(failure::Failure::Malformed))
}

fn pool_name(rest: &Bytes) -> Bytes {
    use hash::{Hash, Hasher};
    let mut parts = [0; 2];
    for (seed, part) in (0u8..).zip(&mut parts) {
        let mut hasher = hash::DefaultHasher::new();
        seed.hash(&mut hasher);
        rest.hash(&mut hasher);
        *part = hasher.finish();
    }
    format!("eg_{:016x}{:016x}", parts[0], parts[1]).into()
}
