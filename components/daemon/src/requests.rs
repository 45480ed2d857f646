//! The requests of one session: grants, exchanges, retries, acknowledgements.

use std::{sync, thread, time as std_time};

use config::Name;
use errors::{Cause, Refusal};
use kernel::{event, position};

use crate::{handle, locks, shell};

/// Pause before a request that did not run is tried again.
const RETRY_PAUSE: std_time::Duration = std_time::Duration::from_millis(20);
/// Time between an answer and the end of its session, so that a client that
/// reports the end first has taken in the answer.
const LINGER: std_time::Duration = std_time::Duration::from_millis(250);

/// A connection held by a transaction.
struct Held {
    server: wire::Server,
    request: event::RequestId,
    instance: Name,
    primary: bool,
    access: event::Access,
    /// Its transaction can only be rolled back.
    failed: bool,
}

/// How a batch ended for the caller.
enum Ended {
    /// The session goes on.
    Open,
    /// The session is over.
    Closed,
}

/// A session after its start.
pub struct Session {
    shell: sync::Arc<shell::Shell>,
    caller: wire::Caller,
    handle: sync::Arc<handle::Handle>,
    id: event::SessionId,
    statements: wire::Statements,
    held: Option<Held>,
    skipping: bool,
    database: String,
    token: Option<position::Floor>,
    answered: std_time::Instant,
}

impl Session {
    /// A session that was welcomed.
    pub fn new(
        shell: sync::Arc<shell::Shell>,
        caller: wire::Caller,
        handle: sync::Arc<handle::Handle>,
        id: event::SessionId,
    ) -> Self {
        Self {
            shell,
            caller,
            handle,
            id,
            statements: wire::Statements::default(),
            held: None,
            skipping: false,
            database: String::new(),
            token: None,
            answered: std_time::Instant::now(),
        }
    }

    /// Serves batches until the caller leaves or the session must end.
    pub fn run(
        &mut self,
        route: &str,
        welcome: &event::SessionRoute,
        key: &[u8],
    ) -> Result<(), wire::Failure> {
        self.database.clone_from(&welcome.database);
        let result = self.serve(route, welcome, key);
        self.drop_held();
        if let Some(refusal) = self.handle.ending() {
            thread::sleep(LINGER.saturating_sub(self.answered.elapsed()));
            return self.farewell(&refusal);
        }
        match &result {
            Err(wire::Failure::TooLarge(_) | wire::Failure::Malformed) => {
                self.farewell(&Refusal::new(Cause::Protocol, 0))
            }
            Err(wire::Failure::Closed) => Ok(()),
            _ => result,
        }
    }

    /// Ends the session with an error that reaches the caller even if it has
    /// sent more meanwhile.
    fn farewell(&mut self, refusal: &Refusal) -> Result<(), wire::Failure> {
        wire::error(&mut self.caller.output, refusal, "FATAL");
        self.caller.flush()?;
        self.caller.finish(LINGER)
    }

    fn serve(
        &mut self,
        route: &str,
        welcome: &event::SessionRoute,
        key: &[u8],
    ) -> Result<(), wire::Failure> {
        loop {
            if self.handle.rest(self.held.is_none()).is_some() {
                return Ok(());
            }
            let batch = match self.read() {
                Ok(batch) => batch,
                Err(wire::Failure::Io(kind)) if is_timeout(kind) => {
                    return self.farewell(&Refusal::new(Cause::IdleTransaction, 0));
                }
                Err(failure) => return Err(failure),
            };
            if self.handle.rest(false).is_some() || batch.end == wire::End::Terminate {
                return Ok(());
            }
            let begun = std_time::Instant::now();
            let ended = self.batch(batch, key, &mut |result| {
                let took = begun.elapsed();
                let customer = welcome.customer.as_ref();
                (customer.cloned(), route.to_string(), result, took)
            })?;
            if matches!(ended, Ended::Closed) {
                return Ok(());
            }
            self.answered = std_time::Instant::now();
        }
    }

    fn read(&mut self) -> Result<wire::Batch, wire::Failure> {
        let limits = &self.shell.settings.limits;
        let idle = self.held.is_some().then_some(limits.idle);
        self.caller.set_read_timeout(idle)?;
        wire::Batch::read(&mut self.caller, limits.message)
    }

    fn batch(
        &mut self,
        batch: wire::Batch,
        key: &[u8],
        measure: &mut Measure<'_>,
    ) -> Result<Ended, wire::Failure> {
        let end = batch.end;
        if self.skipping {
            if end == wire::End::Sync {
                self.skipping = false;
                self.ready();
                self.caller.flush()?;
            }
            return Ok(Ended::Open);
        }
        if batch.contains(key) {
            return self.refuse(&Refusal::new(Cause::KeyExposed, 0), end);
        }
        let plan = match self.statements.plan(batch) {
            Ok(plan) => plan,
            Err(wire::Refused::Cause(cause)) => {
                return self.refuse(&Refusal::new(cause, 0), end);
            }
            Err(wire::Refused::Broken(failure)) => return Err(failure),
        };
        if let Some(made) = plan.made() {
            return self.answer(&made, end);
        }
        let ended = self.execute(&plan, measure)?;
        self.statements.keep(&plan);
        Ok(ended)
    }

    /// Answers a batch that needs no database.
    fn answer(
        &mut self,
        made: &[(u8, &'static [u8])],
        end: wire::End,
    ) -> Result<Ended, wire::Failure> {
        if self.held.as_ref().is_some_and(|held| held.failed) {
            return self.refuse(&Refusal::new(Cause::TransactionFailed, 0), end);
        }
        wire::made(&mut self.caller.output, made);
        if end != wire::End::Flush {
            self.ready();
        }
        self.caller.flush()?;
        Ok(Ended::Open)
    }

    /// Answers a batch that is not run.
    fn refuse(&mut self, refusal: &Refusal, end: wire::End) -> Result<Ended, wire::Failure> {
        if let Some(held) = &mut self.held {
            if held.server.fail_transaction().is_err() {
                return Ok(Ended::Closed);
            }
            held.failed = true;
        }
        wire::error(&mut self.caller.output, refusal, "ERROR");
        if end == wire::End::Flush {
            self.skipping = true;
        } else {
            self.ready();
        }
        self.caller.flush()?;
        Ok(Ended::Open)
    }

    fn ready(&mut self) {
        let block = match &self.held {
            None => wire::Block::Idle,
            Some(held) if held.failed => wire::Block::Failed,
            Some(_) => wire::Block::Open,
        };
        wire::ready(&mut self.caller.output, block);
    }

    fn execute(
        &mut self,
        plan: &wire::Plan,
        measure: &mut Measure<'_>,
    ) -> Result<Ended, wire::Failure> {
        let deadline = std_time::Instant::now() + self.shell.settings.limits.wait;
        let mut access = plan.access;
        let mut retry = false;
        loop {
            let continued = self.held.is_some();
            let held = match self.held.take() {
                Some(held) => held,
                None => match self.obtain(access, retry, deadline) {
                    Ok(held) => held,
                    Err(refusal) => {
                        self.note(measure, telemetry::Outcome::Refused);
                        return self.refuse(&refusal, plan.end);
                    }
                },
            };
            match self.exchange(plan, held, continued) {
                Tried::Done(done) => {
                    let (exchange, held) = *done;
                    return self.complete(exchange, held, measure);
                }
                Tried::Again(next) if std_time::Instant::now() < deadline => {
                    retry = true;
                    access = next.unwrap_or(access);
                }
                Tried::Again(_) => {
                    let refusal = handle::unreachable();
                    self.note(measure, telemetry::Outcome::Refused);
                    return self.refuse(&refusal, plan.end);
                }
                Tried::Lost => return self.lose(continued, plan.end, measure),
                Tried::Gone(failure) => return Err(failure),
            }
        }
    }

    /// Asks the kernel for a connection and opens it.
    fn obtain(
        &self,
        access: event::Access,
        retry: bool,
        deadline: std_time::Instant,
    ) -> Result<Held, Refusal> {
        let patience = shell::Patience {
            deadline,
            pause: RETRY_PAUSE,
        };
        let open = |grant: &event::Grant| {
            let valid = self.shell.clock.now() < grant.deadline;
            let server = valid.then(|| self.connect(&grant.instance)).flatten();
            server.ok_or(event::RequestOutcome::Unsent)
        };
        let obtained = self
            .shell
            .obtain(&self.handle, self.id, access, retry, patience, &open);
        let (grant, server) = obtained?;
        let socket = server.control.clone();
        self.shell
            .used
            .insert(&grant.instance, grant.request, socket);
        Ok(Held {
            server,
            request: grant.request,
            instance: grant.instance,
            primary: grant.primary,
            access,
            failed: false,
        })
    }

    /// A connection with the session's parameters.
    fn connect(&self, instance: &Name) -> Option<wire::Server> {
        let address = self.shell.instance_address(instance)?;
        let pool = &self.shell.pool;
        let login = &self.shell.login;
        let taken = login.connect(pool, instance, address, &self.database);
        let mut server = taken.ok()?;
        for setting in self.statements.settings() {
            server.dirty = true;
            if matches!(server.rows(setting), Err(failure) if is_fatal(&failure)) {
                pool.drop_used(instance);
                return None;
            }
        }
        Some(server)
    }

    fn release(&self, request: event::RequestId, outcome: event::RequestOutcome) {
        self.shell
            .drive(event::Event::ConnectionReleased(request, outcome));
    }

    /// Closes the connection of a request.
    fn discard(&self, held: Held, outcome: event::RequestOutcome) {
        self.shell.used.remove(&held.instance, held.request);
        self.shell.pool.drop_used(&held.instance);
        drop(held.server);
        self.release(held.request, outcome);
    }

    /// Returns the connection of a request to the pool.
    fn give_back(&self, held: Held, outcome: event::RequestOutcome) {
        self.shell.used.remove(&held.instance, held.request);
        let mut server = held.server;
        if server.dirty && server.reset().is_err() {
            self.shell.pool.drop_used(&held.instance);
        } else {
            self.shell.pool.put(&held.instance, &self.database, server);
        }
        self.release(held.request, outcome);
    }

    fn drop_held(&mut self) {
        if let Some(held) = self.held.take() {
            self.discard(held, event::RequestOutcome::ConnectionLost);
        }
    }

    /// Runs a batch on a connection.
    fn exchange(&mut self, plan: &wire::Plan, mut held: Held, continued: bool) -> Tried {
        let target = handle::Target {
            endpoint: held.server.endpoint,
            process: held.server.process,
            secret: held.server.secret,
        };
        *locks::lock(&self.handle.target) = Some(target);
        held.server.dirty |= !plan.settings.is_empty() || plan.discard;
        let access = held.access;
        let result = wire::run(plan, &mut held.server, &mut self.caller, access, continued);
        *locks::lock(&self.handle.target) = None;
        match result {
            Ok(exchange) if exchange.read_only && access == event::Access::Read => {
                self.give_back(held, event::RequestOutcome::ReadOnly);
                Tried::Again(Some(event::Access::Write))
            }
            Ok(exchange) if exchange.read_only => {
                // The primary was fenced; a new one will follow.
                self.give_back(held, event::RequestOutcome::ReadOnly);
                thread::sleep(RETRY_PAUSE);
                Tried::Again(None)
            }
            Ok(exchange) => Tried::Done(Box::new((exchange, held))),
            Err(wire::Fault::Unsent(_)) if !continued => {
                self.discard(held, event::RequestOutcome::Unsent);
                Tried::Again(None)
            }
            Err(wire::Fault::Server(_, false)) if !continued && access == event::Access::Read => {
                self.discard(held, event::RequestOutcome::ConnectionLost);
                thread::sleep(RETRY_PAUSE);
                Tried::Again(None)
            }
            Err(wire::Fault::Server(_, true)) => {
                self.discard(held, event::RequestOutcome::ConnectionLost);
                Tried::Gone(wire::Failure::Closed)
            }
            Err(wire::Fault::Unsent(_) | wire::Fault::Server(_, false)) => {
                self.discard(held, event::RequestOutcome::ConnectionLost);
                Tried::Lost
            }
            Err(wire::Fault::Caller(failure)) => {
                self.discard(held, event::RequestOutcome::ConnectionLost);
                Tried::Gone(failure)
            }
        }
    }

    /// Answers a request whose connection was lost after it was sent.
    fn lose(
        &mut self,
        continued: bool,
        end: wire::End,
        measure: &mut Measure<'_>,
    ) -> Result<Ended, wire::Failure> {
        self.note(measure, telemetry::Outcome::Unknown);
        let refusal = Refusal::new(Cause::OutcomeUnknown, 0);
        if continued {
            // Statements that follow must not run outside of the transaction.
            self.farewell(&refusal)?;
            return Ok(Ended::Closed);
        }
        self.refuse(&refusal, end)
    }

    fn complete(
        &mut self,
        exchange: wire::Exchange,
        mut held: Held,
        measure: &mut Measure<'_>,
    ) -> Result<Ended, wire::Failure> {
        self.skipping = exchange.skipping;
        let outcome = if held.primary {
            telemetry::Outcome::Primary
        } else {
            telemetry::Outcome::Replica
        };
        if exchange.status != b'I' {
            held.failed = exchange.status == b'E';
            self.held = Some(held);
            self.caller.flush()?;
            return Ok(Ended::Open);
        }
        if exchange.committed {
            return self.commit(exchange, held, measure);
        }
        self.caller.flush()?;
        self.give_back(held, event::RequestOutcome::Uncommitted);
        self.note(measure, outcome);
        Ok(Ended::Open)
    }

    /// Holds the end of a write's answer until it may be acknowledged.
    fn commit(
        &mut self,
        exchange: wire::Exchange,
        held: Held,
        measure: &mut Measure<'_>,
    ) -> Result<Ended, wire::Failure> {
        self.give_back(held, event::RequestOutcome::Committed(exchange.place));
        let floor = match self.handle.wait() {
            handle::Reply::Acknowledge(floor, until) if self.shell.clock.now() < until => floor,
            _ => {
                self.note(measure, telemetry::Outcome::Unknown);
                let refusal = Refusal::new(Cause::OutcomeUnknown, 0);
                return self.refuse(&refusal, wire::End::Sync);
            }
        };
        if self.token != Some(floor) {
            wire::token(&mut self.caller.output, floor);
            self.token = Some(floor);
        }
        self.caller.output.extend_from_slice(&exchange.tail);
        self.caller.flush()?;
        self.note(measure, telemetry::Outcome::Primary);
        Ok(Ended::Open)
    }

    fn note(&self, measure: &mut Measure<'_>, result: telemetry::Outcome) {
        let (customer, route, result, took) = measure(result);
        self.shell
            .metrics
            .finish(customer.as_ref(), &route, result, took);
    }
}

/// What is measured of a request.
type Measured = (Option<Name>, String, telemetry::Outcome, std_time::Duration);
type Measure<'a> = dyn FnMut(telemetry::Outcome) -> Measured + 'a;

/// Result of one attempt.
enum Tried {
    /// The database answered.
    Done(Box<(wire::Exchange, Held)>),
    /// It did not run; try again, with other access if given.
    Again(Option<event::Access>),
    /// Nobody can tell whether it ran.
    Lost,
    /// The caller is gone, or its answer was cut.
    Gone(wire::Failure),
}

fn is_timeout(kind: std::io::ErrorKind) -> bool {
    matches!(
        kind,
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}

fn is_fatal(failure: &wire::Failure) -> bool {
    !matches!(failure, wire::Failure::Refused(_))
}
