//! Prepared statements of a session, and the plans of its batches.
//!
//! The proxy prepares a session's statements on each connection that runs them.
//! Their names at the database are hashes of the text and the parameter types, so
//! that sessions which share a connection also share its prepared statements.

use std::{collections, hash, sync};

use bytes::{BufMut, Bytes, BytesMut};
use errors::Cause;
use kernel::event;

use crate::{batch, classify, deallocate, exchange, failure, framing, parameters};

/// Maximum number of prepared statements of a session.
const MAX_STATEMENTS: usize = 1_000;
/// Maximum number of statements that set parameters which a session replays on
/// other connections.
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
    /// The same, for the next change of the names of prepared statements.
    NameChange(u8, &'static [u8]),
}

/// Change of the names of prepared statements, which takes effect when the caller gets the
/// reply to it.
#[derive(Debug)]
pub enum NameChange {
    /// The name refers to this statement.
    Define(Bytes, sync::Arc<Statement>),
    /// The name is dropped.
    Drop(Bytes),
    /// All names are dropped.
    DropAll,
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
    /// Effects of the statements on the session's parameters, in order.
    pub effects: Vec<parameters::Effect>,
    /// Changes of names, in order.
    pub names: Vec<NameChange>,
    /// Whether a statement may change parameters of the connection.
    pub alters_parameters: bool,
    /// Whether the batch ends a transaction in which an earlier batch has failed.
    pub follows_error: bool,
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
    parameters: parameters::Parameters,
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

    /// Statement that a name refers to after the changes of a plan.
    fn find(&self, plan: &Plan, name: &Bytes) -> Option<sync::Arc<Statement>> {
        for change in plan.names.iter().rev() {
            match change {
                NameChange::Define(other, statement) if other == name => {
                    return Some(statement.clone());
                }
                NameChange::Drop(other) if other == name => return None,
                NameChange::DropAll if !name.is_empty() => return None,
                _ => {}
            }
        }
        self.prepared.get(name).cloned()
    }

    fn remove_prepared(&mut self, name: &Bytes) {
        if let Some(statement) = self.prepared.remove(name) {
            self.drop_kept(kept_bytes(name, &statement));
        }
    }

    fn apply_name(&mut self, change: NameChange) {
        match change {
            NameChange::Define(name, statement) => {
                self.remove_prepared(&name);
                self.prepared.insert(name, statement);
            }
            NameChange::Drop(name) => self.remove_prepared(&name),
            NameChange::DropAll => {
                let names: Vec<_> = self.prepared.keys().cloned().collect();
                for name in names.iter().filter(|name| !name.is_empty()) {
                    self.remove_prepared(name);
                }
            }
        }
    }

    /// Statements that set the session's parameters on another connection.
    pub fn settings(&self) -> impl Iterator<Item = &str> {
        self.parameters.statements()
    }

    /// Applies what a batch has done to the session's names and parameters, as far as its
    /// statements have run; nothing if the batch did not run.
    pub fn finish(&mut self, plan: Plan, progress: Option<exchange::Progress>) {
        let reached = |count: fn(&exchange::Progress) -> usize| match &progress {
            None => 0,
            Some(progress) if progress.has_error => count(progress),
            Some(_) => usize::MAX,
        };
        let limit = reached(|progress| progress.names);
        for (index, change) in plan.names.into_iter().enumerate() {
            match change {
                change if index < limit => self.apply_name(change),
                NameChange::Define(name, statement) => {
                    self.drop_kept(kept_bytes(&name, &statement));
                }
                _ => {}
            }
        }
        let limit = reached(|progress| progress.statements);
        let mut dropped = Vec::new();
        for (index, effect) in plan.effects.into_iter().enumerate() {
            if index < limit {
                dropped.extend(self.parameters.apply(effect));
            } else {
                dropped.extend(effect.kept_text().map(str::to_string));
            }
        }
        if progress.is_some_and(|progress| progress.has_error) {
            self.parameters.fail();
        }
        if progress.is_some_and(|progress| progress.is_idle) {
            dropped.extend(self.parameters.end_transaction());
        }
        self.drop_kept(total_bytes(dropped.iter().map(String::as_str)));
    }

    /// Records that the open transaction has failed.
    pub fn fail_transaction(&mut self) {
        self.parameters.fail();
    }

    /// Converts a batch to a plan.
    pub fn plan(&mut self, batch: batch::Batch) -> Result<Plan, PlanError> {
        let mut plan = Plan {
            steps: Vec::with_capacity(batch.frames.len()),
            access: event::Access::Read,
            terminator: batch.terminator,
            effects: Vec::new(),
            names: Vec::new(),
            alters_parameters: false,
            follows_error: false,
            boundary: classify::Boundary::Inside,
        };
        match self.plan_frames(batch.frames, &mut plan) {
            Ok(()) => Ok(plan),
            Err(error) => {
                // Settings are charged last.
                plan.effects.clear();
                self.finish(plan, None);
                Err(error)
            }
        }
    }

    /// Adds messages to a plan, and charges for the names and settings that it adds.
    fn plan_frames(
        &mut self,
        frames: Vec<framing::Frame>,
        plan: &mut Plan,
    ) -> Result<(), PlanError> {
        for frame in frames {
            let step = match frame.tag {
                b'Q' => self.plan_query(frame, plan)?,
                b'P' => self.plan_parse(&frame, plan)?,
                b'B' => self.plan_bind(&frame, plan)?,
                b'E' => self.plan_execute(frame, plan)?,
                b'D' | b'C' => self.plan_reference(frame, plan)?,
                _ => Step::Send(frame),
            };
            plan.steps.push(step);
        }
        let settings = plan
            .effects
            .iter()
            .filter_map(parameters::Effect::kept_text);
        // An acknowledged setting is never dropped, so a further one is refused.
        if plan.alters_parameters
            && self.parameters.count_kept() + settings.clone().count() > MAX_SETTINGS
        {
            return Err(Cause::NoCapacity.into());
        }
        self.keep(total_bytes(settings))
    }

    fn plan_query(&mut self, frame: framing::Frame, plan: &mut Plan) -> Result<Step, PlanError> {
        let (sql, _) = split_cstr(&frame.body)?;
        let sql = parse_text(&sql)?;
        if let Some(target) = deallocate::Target::parse(&sql) {
            let reply = self.plan_deallocate(&target, plan)?;
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
        let count = self.prepared.len() + plan.names.len();
        if count >= MAX_STATEMENTS && self.find(plan, &name).is_none() {
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
        self.keep(kept_bytes(&name, &statement))?;
        plan.names.push(NameChange::Define(name, statement.clone()));
        if class == classify::StatementClass::Deallocate {
            return Ok(Step::NameChange(b'1', b""));
        }
        raise_access(plan, class);
        Ok(Step::Parse(statement))
    }

    fn plan_bind(&mut self, frame: &framing::Frame, plan: &mut Plan) -> Result<Step, PlanError> {
        let (portal, rest) = split_cstr(&frame.body)?;
        let (name, rest) = split_cstr(&rest)?;
        let Some(statement) = self.find(plan, &name) else {
            return Ok(Step::Send(frame.clone()));
        };
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
            let name = Bytes::copy_from_slice(&name);
            plan.names.push(NameChange::Drop(name));
            return Ok(Step::NameChange(b'3', b""));
        }
        let Some(statement) = self.find(plan, &name) else {
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

    fn plan_execute(&mut self, frame: framing::Frame, plan: &mut Plan) -> Result<Step, PlanError> {
        let (portal, _) = split_cstr(&frame.body)?;
        match self.portals.get(&portal).cloned() {
            Some(target) => self.plan_deallocate(&target, plan),
            None => Ok(Step::Send(frame)),
        }
    }

    /// Plans a `DEALLOCATE`, which the proxy answers.
    fn plan_deallocate(
        &self,
        target: &deallocate::Target,
        plan: &mut Plan,
    ) -> Result<Step, PlanError> {
        let change = match target {
            deallocate::Target::All => NameChange::DropAll,
            deallocate::Target::Name(name) if self.find(plan, name).is_none() => {
                return Err(Cause::StatementUnknown.into());
            }
            deallocate::Target::Name(name) => NameChange::Drop(name.clone()),
        };
        plan.names.push(change);
        Ok(Step::NameChange(b'C', target.command_tag()))
    }
}

impl Plan {
    /// Whether a statement drops the prepared statements of its connection.
    pub fn drops_statements(&self) -> bool {
        let drops = parameters::Effect::Reset {
            drops_statements: true,
        };
        self.effects.contains(&drops)
    }

    /// Returns the replies to the batch, if the batch needs no database.
    pub fn local_replies(&self) -> Option<Vec<(u8, &'static [u8])>> {
        let mut replies = Vec::new();
        for step in &self.steps {
            match step {
                Step::Local(tag, body) | Step::NameChange(tag, body) => {
                    replies.push((*tag, *body));
                }
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

fn total_bytes<'a>(settings: impl Iterator<Item = &'a str>) -> usize {
    settings.map(|text| text.len() + ENTRY_BYTES).sum()
}

fn record_statement(
    plan: &mut Plan,
    class: classify::StatementClass,
    sql: &str,
) -> Result<(), PlanError> {
    plan.boundary = classify::find_boundary(sql);
    if class == classify::StatementClass::Unsupported {
        return Err(Cause::Unsupported.into());
    }
    raise_access(plan, class);
    let effects = classify::split(sql).into_iter().map(parameters::Effect::of);
    let first = plan.effects.len();
    plan.effects.extend(effects);
    let mut added = plan.effects[first..].iter();
    plan.alters_parameters |= added.any(parameters::Effect::alters_parameters)
        || classify::words(sql).iter().any(|word| word == "SET_CONFIG");
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
