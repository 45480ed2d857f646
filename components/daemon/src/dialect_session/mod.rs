//! Session of a caller that speaks a dialect: its values, prepared statements,
//! transactions, retries and acknowledgements.
//!
//! Values and prepared statements belong to the session and apply on every
//! connection that the session uses. A transaction takes its connection with its
//! first statement, so that a caller who pauses after BEGIN holds no connection.

use std::{collections, net, sync, thread, time as std_time};

use config::Name;
use errors::{Cause, Refusal};
use kernel::{event, position};

use crate::{handle, links, runtime, startups};

mod connection;
mod transaction;

use connection::Connection;
use transaction::Transaction;

/// Pause before a statement that did not run is retried; doubled while the
/// instance stays busy.
const RETRY_PAUSE: std_time::Duration = std_time::Duration::from_millis(15);
/// Time limit of a statement on a route that sets none.
const DEFAULT_STATEMENT_LIMIT: std_time::Duration = std_time::Duration::from_secs(5);
/// Retry hint in the refusal of a statement whose route allows no time.
const NO_TIME_RETRY_MS: u32 = 1_000;
/// Retry hint in a refusal for which no memory is free.
const FULL_RETRY_MS: u32 = 1_000;
/// Memory of a kept value or statement besides its bytes.
const ENTRY_BYTES: usize = 128;
/// Number of attempts of a read on a route that sets none.
const DEFAULT_READ_ATTEMPTS: u32 = 2;

/// Caller's call, and how an instance runs it.
struct PlannedCall<'a> {
    call: &'a dialect::Call,
    run: dialect::Execution<'a>,
    writes: bool,
}

/// Result of an answer to the caller.
type Answered = Result<(), dialect::CallerFailure>;

/// Session of an accepted caller.
struct Session {
    runtime: sync::Arc<runtime::Runtime>,
    caller: Box<dyn dialect::Caller>,
    handle: sync::Arc<handle::Handle>,
    id: event::SessionId,
    route: String,
    customer: Option<Name>,
    /// Account of the values and prepared statements.
    kept: intake::Account,
    values: dialect::SessionValues,
    prepared: collections::HashMap<String, dialect::PreparedStatement>,
    transaction: Option<Transaction>,
}

/// Accepts a caller and serves its session until the end.
pub fn serve(
    runtime: &sync::Arc<runtime::Runtime>,
    links: &links::Links,
    socket: sync::Arc<net::TcpStream>,
    starting: startups::Startup,
) {
    let Err(failure) = serve_session(runtime, links, socket, starting) else {
        return;
    };
    let kind = match &failure {
        dialect::CallerFailure::Full => "memory",
        dialect::CallerFailure::Slow => "slow",
        // Reads that time out do not end the session.
        dialect::CallerFailure::TimedOut => "unread",
        _ => return log::debug!("session ended: {failure}"),
    };
    runtime.end_misused(kind);
}

fn serve_session(
    runtime: &sync::Arc<runtime::Runtime>,
    links: &links::Links,
    socket: sync::Arc<net::TcpStream>,
    starting: startups::Startup,
) -> Result<(), dialect::CallerFailure> {
    let limits = &runtime.settings.limits;
    let caller_limits = dialect::CallerLimits {
        message_bytes: limits.message_bytes,
        receive_timeout: runtime.settings.intake.receive_timeout,
        send_timeout: runtime.settings.intake.send_timeout,
        account: runtime.open_account(None),
    };
    let mut caller = (links.dialect().accept)(socket, caller_limits)?;
    let startup = match caller.read_startup(limits.startup_timeout) {
        Err(dialect::CallerFailure::Malformed) => {
            return caller.reject(&Refusal::new(Cause::Protocol, 0));
        }
        greeted => greeted?,
    };
    if runtime.session_count() >= limits.max_sessions {
        return caller.reject(&Refusal::new(Cause::NoCapacity, 1000));
    }
    let handle = sync::Arc::new(handle::Handle::with_deferred_end(caller.socket()));
    let id = runtime.open_session(handle.clone());
    drop(starting);
    runtime.handle_event(event::Event::SessionRequested(event::SessionRequest {
        session: id,
        digest: startup.key.as_deref().map(config::KeyDigest::of),
        route: startup.database.clone(),
        token: None,
    }));
    let result = match handle.wait_reply() {
        handle::Reply::Accept(session_route) => {
            if let Some(customer) = &session_route.customer {
                caller.set_owner((&***customer).into());
            }
            let kept = runtime.open_account(session_route.customer.as_ref());
            let mut session = Session {
                kept,
                runtime: runtime.clone(),
                caller,
                handle,
                id,
                route: startup.database,
                customer: session_route.customer,
                values: dialect::SessionValues::new(),
                prepared: collections::HashMap::new(),
                transaction: None,
            };
            let result = session.serve_calls(links);
            session.abandon_transaction(links);
            result
        }
        handle::Reply::Refuse(refusal) => {
            log::info!(target: "session", route = startup.database, refusal:%; "turned away");
            caller.reject(&refusal)
        }
        _ => Ok(()),
    };
    runtime.close_session(id);
    result
}

impl Session {
    /// Reads and answers calls until the caller leaves or the session must end.
    fn serve_calls(&mut self, links: &links::Links) -> Result<(), dialect::CallerFailure> {
        self.caller.accept()?;
        loop {
            let is_idle = self.transaction.is_none();
            if self.handle.set_idle(is_idle).is_some() && is_idle {
                return Ok(());
            }
            match self.caller.read(Some(self.read_timeout())) {
                Ok(dialect::Input::End) | Err(dialect::CallerFailure::Closed) => return Ok(()),
                Ok(dialect::Input::Unknown) => {
                    self.refuse(None, &Refusal::new(Cause::Protocol, 0))?;
                }
                Ok(dialect::Input::Call(call)) => match self.handle.set_idle(false) {
                    Some(refusal) => self.answer_final_call(links, &call, &refusal)?,
                    None => self.answer_call(links, &call)?,
                },
                Err(dialect::CallerFailure::TimedOut) => self.expire_transaction(links),
                Err(dialect::CallerFailure::Malformed) => {
                    self.refuse(None, &Refusal::new(Cause::Protocol, 0))?;
                    return Err(dialect::CallerFailure::Malformed);
                }
                Err(dialect::CallerFailure::Slow) => {
                    self.refuse(None, &Refusal::new(Cause::Protocol, 0))?;
                    return Err(dialect::CallerFailure::Slow);
                }
                Err(dialect::CallerFailure::Full) => {
                    self.refuse(None, &Refusal::new(Cause::NoCapacity, FULL_RETRY_MS))?;
                    return Err(dialect::CallerFailure::Full);
                }
                Err(failure) => return Err(failure),
            }
        }
    }

    /// Charges a value or prepared statement in place of the one of the same name, if any;
    /// returns false if no memory is free.
    fn keep(&mut self, name: &str, text: &str, replaced: Option<usize>) -> bool {
        let bytes = kept_bytes(name, text);
        if !self.kept.keep(bytes) {
            return false;
        }
        if let Some(length) = replaced {
            self.kept
                .drop_kept(kept_bytes(name, "") + length * intake::COPIES);
        }
        true
    }

    fn set_value(&mut self, call: &dialect::Call, name: &str, value: &str) -> Answered {
        let replaced = self.values.get(name).map(String::len);
        if !self.keep(name, value, replaced) {
            let refusal = Refusal::new(Cause::NoCapacity, FULL_RETRY_MS);
            return self.refuse(Some(call), &refusal);
        }
        self.values.insert(name.into(), value.into());
        self.caller.complete(self.transaction_state())
    }

    fn prepare(
        &mut self,
        call: &dialect::Call,
        name: &str,
        statement: &dialect::PreparedStatement,
    ) -> Answered {
        let replaced = self.prepared.get(name).map(|kept| kept.text.len());
        if !self.keep(name, &statement.text, replaced) {
            let refusal = Refusal::new(Cause::NoCapacity, FULL_RETRY_MS);
            return self.refuse(Some(call), &refusal);
        }
        self.prepared.insert(name.into(), statement.clone());
        self.caller.complete(self.transaction_state())
    }

    fn deallocate(&mut self, name: &str) -> Answered {
        if let Some(removed) = self.prepared.remove(name) {
            self.kept.drop_kept(kept_bytes(name, &removed.text));
        }
        self.caller.complete(self.transaction_state())
    }

    /// Answers the call that the caller sends after the session was told to end.
    fn answer_final_call(
        &mut self,
        links: &links::Links,
        call: &dialect::Call,
        refusal: &Refusal,
    ) -> Result<(), dialect::CallerFailure> {
        match &call.statement {
            dialect::Statement::Rollback => self.end_with_rollback(links, call, None),
            _ if self.transaction.is_some() => {
                self.abandon_transaction(links);
                self.refuse(Some(call), &Refusal::new(Cause::TransactionLost, 0))
            }
            _ => self.refuse(Some(call), refusal),
        }
    }

    /// Time limit of one read from the caller. In an open transaction, this is the
    /// time for which the caller may be idle. Otherwise the session just reads again
    /// after the limit, which is the startup limit because the socket already has it.
    fn read_timeout(&self) -> std_time::Duration {
        let is_open = self.transaction.as_ref().is_some_and(|t| !t.has_failed);
        let idle_ms = self.runtime.fleet().idle_ms;
        let own_limit = self.runtime.settings.limits.idle_timeout;
        let limit = idle_ms.map_or(own_limit, std_time::Duration::from_millis);
        if is_open {
            limit
        } else {
            self.runtime.settings.limits.startup_timeout
        }
    }

    fn transaction_state(&self) -> dialect::TransactionState {
        match &self.transaction {
            None => dialect::TransactionState::Idle,
            Some(transaction) if transaction.has_failed => dialect::TransactionState::Failed,
            Some(_) => dialect::TransactionState::Open,
        }
    }

    /// Answers with a refusal, and logs the refusal if it concerns a call.
    fn refuse(
        &mut self,
        call: Option<&dialect::Call>,
        refusal: &Refusal,
    ) -> Result<(), dialect::CallerFailure> {
        if let Some(call) = call {
            log::info!(target: "request", id = call.id, route = self.route,
                customer = self.customer_name(), cause:? = refusal.cause, ran:% = refusal.ran,
                retry_ms = refusal.retry_ms; "refused");
        }
        self.caller.refuse(refusal, self.transaction_state())
    }

    fn customer_name(&self) -> &str {
        self.customer.as_ref().map_or("-", |customer| customer)
    }

    fn record_outcome(&self, outcome: telemetry::Outcome, took: std_time::Duration) {
        let metrics = &self.runtime.metrics;
        metrics.record_request(self.customer.as_ref(), &self.route, outcome, took);
    }

    fn answer_call(
        &mut self,
        links: &links::Links,
        call: &dialect::Call,
    ) -> Result<(), dialect::CallerFailure> {
        if let Some(transaction) = self.transaction.as_mut().filter(|t| t.has_failed) {
            return match (&call.statement, transaction.unreported.take()) {
                (dialect::Statement::Rollback, _) => self.end_with_rollback(links, call, None),
                (dialect::Statement::Commit, unreported) => {
                    let refusal = unreported.unwrap_or(Refusal::new(Cause::TransactionLost, 0));
                    self.end_with_rollback(links, call, Some(refusal))
                }
                (_, Some(refusal)) => self.refuse(Some(call), &refusal),
                (_, None) => self.refuse(None, &Refusal::new(Cause::Protocol, 0)),
            };
        }
        let (run, writes) = match &call.statement {
            dialect::Statement::Begin { is_read_only } => return self.begin(call, *is_read_only),
            dialect::Statement::Set { name, value } => {
                return self.set_value(call, name, value);
            }
            dialect::Statement::Prepare { name, statement } => {
                return self.prepare(call, name, statement);
            }
            dialect::Statement::Deallocate { name } => return self.deallocate(name),
            dialect::Statement::Rollback => return self.end_with_rollback(links, call, None),
            dialect::Statement::Commit if self.transaction.is_none() => {
                return self.refuse(None, &Refusal::new(Cause::Protocol, 0));
            }
            dialect::Statement::Commit if self.has_no_time() => {
                let refusal = Refusal::new(Cause::TransactionLost, 0);
                return self.end_with_rollback(links, call, Some(refusal));
            }
            dialect::Statement::Commit => return self.commit(links, call),
            dialect::Statement::Read => (dialect::Execution::Plain(call), false),
            dialect::Statement::Write => (dialect::Execution::Plain(call), true),
            dialect::Statement::Execute { name, arguments } => {
                let Some(statement) = self.prepared.get(name).cloned() else {
                    return self.refuse(Some(call), &Refusal::new(Cause::Protocol, 0));
                };
                let run = dialect::Execution::Prepared {
                    call,
                    statement: &statement,
                    arguments,
                };
                let planned = PlannedCall {
                    call,
                    writes: statement.may_write,
                    run,
                };
                return self.execute(links, &planned);
            }
        };
        self.execute(links, &PlannedCall { call, run, writes })
    }

    fn execute(
        &mut self,
        links: &links::Links,
        planned: &PlannedCall<'_>,
    ) -> Result<(), dialect::CallerFailure> {
        if self.has_no_time() {
            let refusal = Refusal::new(Cause::Unavailable, NO_TIME_RETRY_MS);
            return self.fail(Some(planned.call), &refusal);
        }
        if self.transaction.is_some() {
            self.run_in_transaction(links, planned)
        } else {
            self.run_standalone(links, planned)
        }
    }

    /// Whether the route allows statements no time, so that none can be served.
    fn has_no_time(&self) -> bool {
        self.statement_limits().0.is_zero()
    }

    /// Time limit of a statement on this route, and number of attempts of a read.
    fn statement_limits(&self) -> (std_time::Duration, u32) {
        let fleet = self.runtime.fleet();
        let route = fleet.routes.get(self.route.as_str());
        let limit = route.and_then(|route| route.statement_ms);
        let attempts = route.and_then(|route| route.attempts);
        (
            limit.map_or(DEFAULT_STATEMENT_LIMIT, std_time::Duration::from_millis),
            attempts.unwrap_or(DEFAULT_READ_ATTEMPTS),
        )
    }

    /// Runs a statement outside of a transaction.
    fn run_standalone(
        &mut self,
        links: &links::Links,
        planned: &PlannedCall<'_>,
    ) -> Result<(), dialect::CallerFailure> {
        let start = std_time::Instant::now();
        let requested = self.runtime.clock.now();
        let deadline = start + self.runtime.settings.limits.wait_timeout;
        let (limit, attempts) = self.statement_limits();
        let access = if planned.writes {
            event::Access::Write
        } else {
            event::Access::Read
        };
        let mut lost_attempts = 0;
        let mut retry = false;
        let refusal = loop {
            let mut connection = match self.acquire(links, access, retry, deadline) {
                Ok(connection) => connection,
                Err(refusal) => break refusal,
            };
            if !self.renew_precondition(&mut connection) {
                self.return_to_pool(links, connection, event::RequestOutcome::Uncommitted);
                retry = true;
                if std_time::Instant::now() >= deadline {
                    break handle::unreachable_refusal();
                }
                continue;
            }
            if retry {
                let floor = connection.precondition.floor;
                let floor = floor.map_or("-".into(), |floor| floor.to_string());
                log::info!(target: "request", id = planned.call.id,
                    instance = &**connection.instance,
                    floor:%, primary = connection.is_primary; "sent again");
            }
            retry = true;
            let sent = self.runtime.clock.now();
            let busy_deadline = self.busy_deadline(&connection, deadline);
            match self.run_retrying_busy(&mut connection, &planned.run, limit, busy_deadline) {
                Ok(reply) => {
                    self.report_position(&connection, sent, &reply);
                    if !planned.writes {
                        self.log_read(&planned.call.id, &connection, sent, requested, &reply);
                    }
                    match self.retry_outcome(&connection, &reply) {
                        Some(outcome) => {
                            self.return_to_pool(links, connection, outcome);
                            pause_before_retry(outcome);
                        }
                        None => return self.pass_reply(links, planned, connection, &reply, start),
                    }
                }
                Err(failure) if failure.proves_not_run() => {
                    log::info!(target: "request", id = planned.call.id,
                        instance = &**connection.instance,
                        failure:%; "not run");
                    if let dialect::LinkFailure::Refused(_) = failure {
                        self.discard(links, connection, event::RequestOutcome::ConnectionLost);
                        thread::sleep(RETRY_PAUSE);
                    } else {
                        self.discard(links, connection, event::RequestOutcome::Unsent);
                    }
                }
                Err(failure) => {
                    log::info!(target: "request", id = planned.call.id,
                        instance = &**connection.instance,
                        failure:%; "lost");
                    self.discard(links, connection, event::RequestOutcome::ConnectionLost);
                    lost_attempts += 1;
                    if planned.writes {
                        self.record_outcome(telemetry::Outcome::Unknown, start.elapsed());
                        break Refusal::new(Cause::OutcomeUnknown, 0);
                    }
                    if lost_attempts >= attempts {
                        break Refusal::new(Cause::ReadFailed, 0);
                    }
                }
            }
            if std_time::Instant::now() >= deadline {
                break handle::unreachable_refusal();
            }
        };
        self.record_outcome(telemetry::Outcome::Refused, start.elapsed());
        let refusal = refusal.after_attempts(lost_attempts > 0);
        self.refuse(Some(planned.call), &refusal)
    }

    /// Outcome for the kernel if the instance has not run the statement and the
    /// session must retry the statement elsewhere; none if the reply is final.
    fn retry_outcome(
        &self,
        connection: &Connection,
        reply: &dialect::Reply,
    ) -> Option<event::RequestOutcome> {
        let dialect::Outcome::Refused(reason) = reply.outcome else {
            return None;
        };
        match (reason, connection.precondition.floor) {
            (dialect::RefusalReason::Lagging, Some(floor)) => {
                Some(event::RequestOutcome::BehindFloor(floor))
            }
            (dialect::RefusalReason::Lagging | dialect::RefusalReason::StatementUnknown, _) => {
                Some(event::RequestOutcome::Uncommitted)
            }
            (dialect::RefusalReason::Busy, _) => Some(event::RequestOutcome::Busy),
            (dialect::RefusalReason::ReadOnly, _) => Some(event::RequestOutcome::ReadOnly),
            _ => None,
        }
    }

    /// Passes the reply to a standalone statement or a commit to the caller.
    fn pass_reply(
        &mut self,
        links: &links::Links,
        planned: &PlannedCall<'_>,
        connection: Connection,
        reply: &dialect::Reply,
        start: std_time::Instant,
    ) -> Result<(), dialect::CallerFailure> {
        let committed = planned.writes && reply.outcome == dialect::Outcome::Complete;
        if planned.writes && !is_outcome_told(reply.outcome) {
            log::warn!(target: "request", id = planned.call.id,
                instance = &**connection.instance, outcome:? = reply.outcome;
                "the answer does not tell whether the statement has run");
            self.discard(links, connection, event::RequestOutcome::ConnectionLost);
            self.record_outcome(telemetry::Outcome::Unknown, start.elapsed());
            return self.refuse(Some(planned.call), &Refusal::new(Cause::OutcomeUnknown, 0));
        }
        let outcome = if connection.is_primary {
            telemetry::Outcome::Primary
        } else {
            telemetry::Outcome::Replica
        };
        if committed {
            return self.acknowledge_commit(links, planned.call, connection, reply, start);
        }
        // A caller that does not read holds no connection of the instance.
        self.return_to_pool(links, connection, event::RequestOutcome::Uncommitted);
        let result = self.caller.forward(reply);
        self.record_outcome(outcome, start.elapsed());
        result
    }

    /// Passes the success of a commit to the caller once the kernel allows its
    /// acknowledgement.
    fn acknowledge_commit(
        &mut self,
        links: &links::Links,
        call: &dialect::Call,
        connection: Connection,
        reply: &dialect::Reply,
        start: std_time::Instant,
    ) -> Result<(), dialect::CallerFailure> {
        let status = reply.applied.map(|applied| position::Status {
            term: applied.term,
            promised: applied.term,
            role: position::Role::Primary,
            received: applied.lsn,
            replayed: applied.lsn,
            start: position::Lsn::default(),
        });
        self.return_to_pool(links, connection, event::RequestOutcome::Committed(status));
        match self.handle.wait_reply() {
            handle::Reply::Acknowledge(_, until) if self.runtime.clock.now() < until => {
                self.record_outcome(telemetry::Outcome::Primary, start.elapsed());
                self.caller.forward(reply)
            }
            _ => {
                self.record_outcome(telemetry::Outcome::Unknown, start.elapsed());
                self.refuse(Some(call), &Refusal::new(Cause::OutcomeUnknown, 0))
            }
        }
    }

    /// Rolls back the transaction that the caller has left open.
    fn abandon_transaction(&mut self, links: &links::Links) {
        if let Some(connection) = self.transaction.take().and_then(|t| t.connection) {
            self.roll_back_connection(links, connection, None);
        }
    }
}

/// Bytes to charge for a value or prepared statement, with the copies that connections to
/// instances keep.
fn kept_bytes(name: &str, text: &str) -> usize {
    ENTRY_BYTES + name.len() + text.len() * intake::COPIES
}

/// Whether an answer tells that a statement has run, or that it has not.
fn is_outcome_told(outcome: dialect::Outcome) -> bool {
    match outcome {
        dialect::Outcome::Complete => true,
        dialect::Outcome::Refused(reason) => {
            reason == dialect::RefusalReason::Failed || reason.proves_not_run()
        }
    }
}

/// Pauses before the retry of a statement that an instance could not accept.
fn pause_before_retry(outcome: event::RequestOutcome) {
    if matches!(
        outcome,
        event::RequestOutcome::Busy | event::RequestOutcome::ReadOnly
    ) {
        thread::sleep(RETRY_PAUSE);
    }
}
