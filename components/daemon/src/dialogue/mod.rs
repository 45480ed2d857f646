//! The session of a caller that speaks a dialect: its values and prepared
//! statements, its transactions, retries and acknowledgements.
//!
//! Values and prepared names belong to the session and follow it to whatever
//! connection it gets. A transaction takes its connection with its first
//! statement, so that callers who pause after BEGIN hold none.

use std::{collections, net, sync, thread, time as std_time};

use config::Name;
use errors::{Cause, Refusal};
use kernel::{event, position};

use crate::{handle, links, shell};

mod held;
mod transaction;

use held::Held;
use transaction::Transaction;

/// Pause before a statement that did not run is tried again.
const RETRY_PAUSE: std_time::Duration = std_time::Duration::from_millis(15);
/// Limit of a statement on a route that states none.
const STATEMENT_LIMIT: std_time::Duration = std_time::Duration::from_secs(5);
/// Times that a read is sent to instances on a route that states none.
const READ_ATTEMPTS: u32 = 2;

/// What a call needs of an instance.
struct Need<'a> {
    call: &'a dialect::Call,
    run: dialect::Run<'a>,
    writes: bool,
}

/// A session after its start.
struct Dialogue {
    shell: sync::Arc<shell::Shell>,
    caller: Box<dyn dialect::Caller>,
    handle: sync::Arc<handle::Handle>,
    id: event::SessionId,
    route: String,
    customer: Option<Name>,
    values: dialect::Values,
    prepared: collections::HashMap<String, dialect::Shape>,
    transaction: Option<Transaction>,
}

/// Accepts a caller and serves it to the end.
pub fn serve(
    shell: &sync::Arc<shell::Shell>,
    links: &links::Links,
    socket: net::TcpStream,
) -> Result<(), dialect::Failure> {
    let limits = &shell.settings.limits;
    let mut caller = (links.dialect().accept)(socket, limits.message)?;
    let startup = match caller.greet(limits.startup) {
        Err(dialect::Failure::Malformed) => {
            return caller.reject(&Refusal::new(Cause::Protocol, 0));
        }
        greeted => greeted?,
    };
    if shell.count_sessions() >= limits.sessions {
        return caller.reject(&Refusal::new(Cause::NoCapacity, 1000));
    }
    let handle = sync::Arc::new(handle::Handle::answering(caller.socket()));
    let id = shell.open(handle.clone());
    shell.drive(event::Event::SessionRequested(event::SessionRequest {
        session: id,
        digest: startup.key.as_deref().map(config::KeyDigest::of),
        route: startup.database.clone(),
        token: None,
    }));
    let result = match handle.wait() {
        handle::Reply::Welcome(welcome) => {
            let mut dialogue = Dialogue {
                shell: shell.clone(),
                caller,
                handle,
                id,
                route: startup.database,
                customer: welcome.customer,
                values: dialect::Values::new(),
                prepared: collections::HashMap::new(),
                transaction: None,
            };
            let result = dialogue.converse(links);
            dialogue.abandon(links);
            result
        }
        handle::Reply::Refuse(refusal) => {
            log::info!(target: "session", route = startup.database, refusal:%; "turned away");
            caller.reject(&refusal)
        }
        _ => Ok(()),
    };
    shell.close(id);
    result
}

impl Dialogue {
    fn converse(&mut self, links: &links::Links) -> Result<(), dialect::Failure> {
        self.caller.welcome()?;
        loop {
            let idle = self.transaction.is_none();
            if self.handle.rest(idle).is_some() && idle {
                return Ok(());
            }
            match self.caller.read(Some(self.idle_limit())) {
                Ok(dialect::Input::End) | Err(dialect::Failure::Closed) => return Ok(()),
                Ok(dialect::Input::Unknown) => {
                    self.refuse(None, &Refusal::new(Cause::Protocol, 0))?;
                }
                Ok(dialect::Input::Call(call)) => match self.handle.rest(false) {
                    Some(refusal) => self.dismiss(links, &call, &refusal)?,
                    None => self.answer(links, &call)?,
                },
                Err(dialect::Failure::Idle) => self.expire(links),
                Err(dialect::Failure::Malformed) => {
                    self.refuse(None, &Refusal::new(Cause::Protocol, 0))?;
                    return Err(dialect::Failure::Malformed);
                }
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Answers the first call after the session has lost its right to go on.
    fn dismiss(
        &mut self,
        links: &links::Links,
        call: &dialect::Call,
        refusal: &Refusal,
    ) -> Result<(), dialect::Failure> {
        match &call.statement {
            dialect::Statement::Rollback => self.rollback(links, call, None),
            _ if self.transaction.is_some() => {
                self.abandon(links);
                self.refuse(Some(call), &Refusal::new(Cause::TransactionLost, 0))
            }
            _ => self.refuse(Some(call), refusal),
        }
    }

    /// Time for which the caller may pause; outside of a transaction it only
    /// ends one wait of many, at the limit that the socket already has.
    fn idle_limit(&self) -> std_time::Duration {
        let open = self.transaction.as_ref().is_some_and(|t| !t.failed);
        let stated = self.shell.fleet().idle_ms;
        let limit = match stated {
            0 => self.shell.settings.limits.idle,
            ms => std_time::Duration::from_millis(ms),
        };
        if open {
            limit
        } else {
            self.shell.settings.limits.startup
        }
    }

    fn state(&self) -> dialect::State {
        match &self.transaction {
            None => dialect::State::Idle,
            Some(transaction) if transaction.failed => dialect::State::Failed,
            Some(_) => dialect::State::Open,
        }
    }

    /// Answers with a refusal; one of a request is logged and counted.
    fn refuse(
        &mut self,
        call: Option<&dialect::Call>,
        refusal: &Refusal,
    ) -> Result<(), dialect::Failure> {
        if let Some(call) = call {
            log::info!(target: "request", id = call.id, route = self.route,
                customer = self.customer(), cause:? = refusal.cause, ran:% = refusal.ran,
                retry_ms = refusal.retry_ms; "refused");
        }
        self.caller.refuse(refusal, self.state())
    }

    fn customer(&self) -> &str {
        self.customer.as_ref().map_or("-", |customer| customer)
    }

    fn note(&self, outcome: telemetry::Outcome, took: std_time::Duration) {
        let metrics = &self.shell.metrics;
        metrics.finish(self.customer.as_ref(), &self.route, outcome, took);
    }

    fn answer(
        &mut self,
        links: &links::Links,
        call: &dialect::Call,
    ) -> Result<(), dialect::Failure> {
        if let Some(transaction) = self.transaction.as_mut().filter(|t| t.failed) {
            return match (&call.statement, transaction.untold.take()) {
                (dialect::Statement::Rollback, _) => self.rollback(links, call, None),
                (dialect::Statement::Commit, untold) => {
                    let lost = untold.unwrap_or(Refusal::new(Cause::TransactionLost, 0));
                    self.rollback(links, call, Some(lost))
                }
                (_, Some(refusal)) => self.refuse(Some(call), &refusal),
                (_, None) => self.refuse(None, &Refusal::new(Cause::Protocol, 0)),
            };
        }
        let (run, writes) = match &call.statement {
            dialect::Statement::Begin { reads } => return self.begin(call, *reads),
            dialect::Statement::Set { name, value } => {
                self.values.insert(name.clone(), value.clone());
                return self.caller.complete(self.state());
            }
            dialect::Statement::Prepare { name, shape } => {
                self.prepared.insert(name.clone(), shape.clone());
                return self.caller.complete(self.state());
            }
            dialect::Statement::Deallocate { name } => {
                self.prepared.remove(name);
                return self.caller.complete(self.state());
            }
            dialect::Statement::Rollback => return self.rollback(links, call, None),
            dialect::Statement::Commit if self.transaction.is_none() => {
                return self.refuse(None, &Refusal::new(Cause::Protocol, 0));
            }
            dialect::Statement::Commit => return self.commit(links, call),
            dialect::Statement::Read => (dialect::Run::Plain(call), false),
            dialect::Statement::Write => (dialect::Run::Plain(call), true),
            dialect::Statement::Execute { name, arguments } => {
                let Some(shape) = self.prepared.get(name).cloned() else {
                    return self.refuse(Some(call), &Refusal::new(Cause::Protocol, 0));
                };
                let run = dialect::Run::Prepared {
                    call,
                    shape: &shape,
                    arguments,
                };
                let need = Need {
                    call,
                    writes: shape.writes,
                    run,
                };
                return self.execute(links, &need);
            }
        };
        self.execute(links, &Need { call, run, writes })
    }

    fn execute(&mut self, links: &links::Links, need: &Need<'_>) -> Result<(), dialect::Failure> {
        if self.transaction.is_some() {
            self.run_inside(links, need)
        } else {
            self.run_alone(links, need)
        }
    }

    /// Limits of a statement on this route: its time, and attempts of a read.
    fn limits(&self) -> (std_time::Duration, u32) {
        let fleet = self.shell.fleet();
        let route = fleet.routes.get(self.route.as_str());
        let limit = route.map_or(0, |route| route.statement_ms);
        let attempts = route.map_or(0, |route| route.attempts);
        let limit = match limit {
            0 => STATEMENT_LIMIT,
            ms => std_time::Duration::from_millis(ms),
        };
        (
            limit,
            if attempts == 0 {
                READ_ATTEMPTS
            } else {
                attempts
            },
        )
    }

    /// Runs a statement outside of a transaction.
    fn run_alone(&mut self, links: &links::Links, need: &Need<'_>) -> Result<(), dialect::Failure> {
        let begun = std_time::Instant::now();
        let deadline = begun + self.shell.settings.limits.wait;
        let (limit, attempts) = self.limits();
        let access = if need.writes {
            event::Access::Write
        } else {
            event::Access::Read
        };
        let mut lost = 0;
        let mut retry = false;
        let refusal = loop {
            let mut held = match self.obtain(links, access, retry, deadline) {
                Ok(held) => held,
                Err(refusal) => break refusal,
            };
            if retry {
                let floor = held.floor.map_or("-".into(), |floor| floor.to_string());
                log::info!(target: "request", id = need.call.id, instance = &**held.instance,
                    floor:%, primary = held.primary; "sent again");
            }
            retry = true;
            let sent = self.shell.clock.now();
            let patience = Self::patience(&held, deadline);
            match self.run_patiently(&mut held, &need.run, limit, patience) {
                Ok(reply) => {
                    self.observe(&held, sent, &reply);
                    match self.retry_outcome(&held, &reply) {
                        Some(outcome) => {
                            self.give_back(links, held, outcome);
                            pause(outcome);
                        }
                        None => return self.finish(links, need, held, &reply, begun),
                    }
                }
                Err(dialect::Lost::Unsent | dialect::Lost::Rejected(_)) => {
                    self.discard(links, held, event::RequestOutcome::Unsent);
                }
                Err(failure) => {
                    log::info!(target: "request", id = need.call.id, instance = &**held.instance,
                        failure:%; "lost");
                    self.discard(links, held, event::RequestOutcome::ConnectionLost);
                    lost += 1;
                    if need.writes {
                        self.note(telemetry::Outcome::Unknown, begun.elapsed());
                        break Refusal::new(Cause::OutcomeUnknown, 0);
                    }
                    if lost >= attempts {
                        break Refusal::new(Cause::ReadFailed, 0);
                    }
                }
            }
            if std_time::Instant::now() >= deadline {
                break handle::unreachable();
            }
        };
        self.note(telemetry::Outcome::Refused, begun.elapsed());
        self.refuse(Some(need.call), &refusal)
    }

    /// How the connection is given back if the statement has not run and is to
    /// be tried elsewhere.
    fn retry_outcome(&self, held: &Held, reply: &dialect::Reply) -> Option<event::RequestOutcome> {
        let dialect::End::Refused(reason) = reply.end else {
            return None;
        };
        match (reason, held.floor) {
            (dialect::Reason::Behind, Some(floor)) => {
                Some(event::RequestOutcome::BehindFloor(floor))
            }
            (dialect::Reason::Behind | dialect::Reason::StatementUnknown, _) => {
                Some(event::RequestOutcome::Uncommitted)
            }
            (dialect::Reason::Busy, _) => Some(event::RequestOutcome::Busy),
            (dialect::Reason::ReadOnly, _) => Some(event::RequestOutcome::ReadOnly),
            _ => None,
        }
    }

    /// Passes on an answer outside of a transaction.
    fn finish(
        &mut self,
        links: &links::Links,
        need: &Need<'_>,
        held: Held,
        reply: &dialect::Reply,
        begun: std_time::Instant,
    ) -> Result<(), dialect::Failure> {
        let committed = need.writes && reply.end == dialect::End::Complete;
        let outcome = if held.primary {
            telemetry::Outcome::Primary
        } else {
            telemetry::Outcome::Replica
        };
        if committed {
            return self.acknowledge(links, need.call, held, reply, begun);
        }
        let passed = self.caller.pass(reply);
        self.give_back(links, held, event::RequestOutcome::Uncommitted);
        self.note(outcome, begun.elapsed());
        passed
    }

    /// Passes on the success of a commit once it may be acknowledged.
    fn acknowledge(
        &mut self,
        links: &links::Links,
        call: &dialect::Call,
        held: Held,
        reply: &dialect::Reply,
        begun: std_time::Instant,
    ) -> Result<(), dialect::Failure> {
        let status = reply.applied.map(|applied| position::Status {
            term: applied.term,
            promised: applied.term,
            role: position::Role::Primary,
            received: applied.lsn,
            replayed: applied.lsn,
            start: position::Lsn::default(),
        });
        self.give_back(links, held, event::RequestOutcome::Committed(status));
        match self.handle.wait() {
            handle::Reply::Acknowledge(_, until) if self.shell.clock.now() < until => {
                self.note(telemetry::Outcome::Primary, begun.elapsed());
                self.caller.pass(reply)
            }
            _ => {
                self.note(telemetry::Outcome::Unknown, begun.elapsed());
                self.refuse(Some(call), &Refusal::new(Cause::OutcomeUnknown, 0))
            }
        }
    }

    /// Rolls back what the caller leaves behind.
    fn abandon(&mut self, links: &links::Links) {
        if let Some(held) = self.transaction.take().and_then(|t| t.held) {
            self.roll_back(links, held, None);
        }
    }
}

/// Waits before a statement that an instance could not take is tried again.
fn pause(outcome: event::RequestOutcome) {
    if matches!(
        outcome,
        event::RequestOutcome::Busy | event::RequestOutcome::ReadOnly
    ) {
        thread::sleep(RETRY_PAUSE);
    }
}
