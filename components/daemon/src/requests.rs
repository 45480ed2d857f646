//! Requests of a session over the PostgreSQL protocol: batches of messages,
//! grants, retries and acknowledgements.

use std::{sync, thread, time as std_time};

use config::Name;
use errors::{Cause, Refusal};
use kernel::{event, position};

use crate::{handle, locks, runtime};

/// Pause before a request that did not run is retried.
const RETRY_PAUSE: std_time::Duration = std_time::Duration::from_millis(20);
/// Least time between the last answer and the end of the session. Some clients
/// report the end before an answer that they have not read yet; the delay lets them
/// read the answer first.
const CLOSE_DELAY: std_time::Duration = std_time::Duration::from_millis(250);

/// Retry hint in the refusal of a message for which no memory is free.
const FULL_RETRY_MS: u32 = 1_000;

/// Connection that a request holds.
struct Connection {
    server: wire::ServerConnection,
    request: event::RequestId,
    instance: Name,
    is_primary: bool,
    access: event::Access,
    /// Whether the transaction has failed, so that it can only be rolled back.
    has_failed: bool,
}

/// State of the session after a batch.
enum SessionState {
    /// The session continues.
    Open,
    /// The session has ended.
    Closed,
}

/// Session of an accepted caller.
pub struct Session {
    runtime: sync::Arc<runtime::Runtime>,
    caller: wire::Caller,
    handle: sync::Arc<handle::Handle>,
    id: event::SessionId,
    statements: wire::SessionStatements,
    connection: Option<Connection>,
    /// How far the last batch has run; none if it did not run.
    progress: Option<wire::Progress>,
    /// Whether messages are skipped until the next Sync, after an error.
    is_skipping: bool,
    database: String,
    /// Floor that the caller was last told.
    token: Option<position::Position>,
    last_answer: std_time::Instant,
}

impl Session {
    /// Creates the session of a caller that the kernel has accepted.
    pub fn new(
        runtime: sync::Arc<runtime::Runtime>,
        caller: wire::Caller,
        handle: sync::Arc<handle::Handle>,
        id: event::SessionId,
    ) -> Self {
        Self {
            runtime,
            caller,
            handle,
            id,
            statements: wire::SessionStatements::default(),
            connection: None,
            progress: None,
            is_skipping: false,
            database: String::new(),
            token: None,
            last_answer: std_time::Instant::now(),
        }
    }

    /// Serves batches until the caller leaves or the session must end.
    pub fn run(
        &mut self,
        route: &str,
        session_route: &event::SessionRoute,
        key: &[u8],
    ) -> Result<(), wire::Failure> {
        self.database.clone_from(&session_route.database);
        let customer = session_route.customer.as_ref();
        let receive_timeout = self.runtime.settings.intake.receive_timeout;
        let account = self.runtime.open_account(customer);
        self.caller.set_meter(account, receive_timeout);
        self.statements
            .set_account(self.runtime.open_account(customer));
        let result = self.serve(route, session_route, key);
        self.discard_connection();
        if let Some(refusal) = self.handle.end_reason() {
            thread::sleep(CLOSE_DELAY.saturating_sub(self.last_answer.elapsed()));
            return self.close_with_error(&refusal);
        }
        match &result {
            Err(wire::Failure::TooLarge(_) | wire::Failure::Malformed) => {
                self.close_with_error(&Refusal::new(Cause::Protocol, 0))
            }
            Err(wire::Failure::Slow) => {
                self.close_with_error(&Refusal::new(Cause::Protocol, 0))?;
                result
            }
            Err(wire::Failure::Full) => {
                self.close_with_error(&Refusal::new(Cause::NoCapacity, FULL_RETRY_MS))?;
                result
            }
            Err(wire::Failure::Closed) => Ok(()),
            _ => result,
        }
    }

    /// Ends the session with an error. The error reaches the caller even if the
    /// caller has sent more messages meanwhile.
    fn close_with_error(&mut self, refusal: &Refusal) -> Result<(), wire::Failure> {
        wire::put_error(&mut self.caller.output, refusal, "FATAL");
        self.caller.flush()?;
        self.caller.shut_down(CLOSE_DELAY)
    }

    fn serve(
        &mut self,
        route: &str,
        session_route: &event::SessionRoute,
        key: &[u8],
    ) -> Result<(), wire::Failure> {
        loop {
            if self.handle.set_idle(self.connection.is_none()).is_some() {
                return Ok(());
            }
            let batch = match self.read_batch() {
                Ok(batch) => batch,
                Err(wire::Failure::Io(kind)) if is_timeout(kind) => {
                    return self.close_with_error(&Refusal::new(Cause::IdleTransaction, 0));
                }
                Err(failure) => return Err(failure),
            };
            if self.handle.set_idle(false).is_some()
                || batch.terminator == wire::Terminator::Terminate
            {
                return Ok(());
            }
            let start = std_time::Instant::now();
            let state = self.handle_batch(batch, key, &mut |result| {
                let took = start.elapsed();
                let customer = session_route.customer.as_ref();
                (customer.cloned(), route.to_string(), result, took)
            })?;
            if matches!(state, SessionState::Closed) {
                return Ok(());
            }
            self.last_answer = std_time::Instant::now();
        }
    }

    fn read_batch(&mut self) -> Result<wire::Batch, wire::Failure> {
        let limits = &self.runtime.settings.limits;
        let idle = self.connection.is_some().then_some(limits.idle_timeout);
        self.caller.set_read_timeout(idle)?;
        wire::Batch::read(&mut self.caller, limits.message_bytes)
    }

    fn handle_batch(
        &mut self,
        mut batch: wire::Batch,
        key: &[u8],
        measure: &mut MeasureFn<'_>,
    ) -> Result<SessionState, wire::Failure> {
        let end = batch.terminator;
        let follows_error = self.is_skipping;
        if follows_error {
            if end != wire::Terminator::Sync {
                return Ok(SessionState::Open);
            }
            self.is_skipping = false;
            if self.connection.is_none() {
                self.write_ready();
                self.caller.flush()?;
                return Ok(SessionState::Open);
            }
            // The database skips messages as well, until it gets the Sync.
            batch.keep_sync();
        }
        if batch.contains(key) {
            return self.refuse(&Refusal::new(Cause::KeyExposed, 0), end);
        }
        let plan = match self.statements.plan(batch) {
            Ok(plan) => wire::Plan {
                follows_error,
                ..plan
            },
            Err(wire::PlanError::Refused(cause)) => {
                return self.refuse(&Refusal::new(cause, 0), end);
            }
            Err(wire::PlanError::Protocol(failure)) => return Err(failure),
        };
        self.progress = None;
        let state = match plan.local_replies() {
            Some(replies) => self.answer_locally(&replies, end),
            None => self.execute(&plan, measure),
        }?;
        self.statements.finish(plan, self.progress);
        Ok(state)
    }

    /// Answers a batch that needs no instance.
    fn answer_locally(
        &mut self,
        replies: &[(u8, &'static [u8])],
        end: wire::Terminator,
    ) -> Result<SessionState, wire::Failure> {
        if self
            .connection
            .as_ref()
            .is_some_and(|connection| connection.has_failed)
        {
            return self.refuse(&Refusal::new(Cause::TransactionFailed, 0), end);
        }
        self.progress = Some(wire::Progress::default());
        wire::put_frames(&mut self.caller.output, replies);
        if end != wire::Terminator::Flush {
            self.write_ready();
        }
        self.caller.flush()?;
        Ok(SessionState::Open)
    }

    /// Answers a batch with a refusal, and fails the open transaction, if any.
    fn refuse(
        &mut self,
        refusal: &Refusal,
        end: wire::Terminator,
    ) -> Result<SessionState, wire::Failure> {
        if let Some(connection) = &mut self.connection {
            if connection.server.fail_transaction().is_err() {
                return Ok(SessionState::Closed);
            }
            connection.has_failed = true;
            self.statements.fail_transaction();
        }
        wire::put_error(&mut self.caller.output, refusal, "ERROR");
        if end == wire::Terminator::Flush {
            self.is_skipping = true;
        } else {
            self.write_ready();
        }
        self.caller.flush()?;
        Ok(SessionState::Open)
    }

    fn write_ready(&mut self) {
        let block = match &self.connection {
            None => wire::TransactionStatus::Idle,
            Some(connection) if connection.has_failed => wire::TransactionStatus::Failed,
            Some(_) => wire::TransactionStatus::Open,
        };
        wire::put_ready(&mut self.caller.output, block);
    }

    fn execute(
        &mut self,
        plan: &wire::Plan,
        measure: &mut MeasureFn<'_>,
    ) -> Result<SessionState, wire::Failure> {
        let deadline = std_time::Instant::now() + self.runtime.settings.limits.wait_timeout;
        let mut access = plan.access;
        let mut retry = false;
        let mut has_lost = false;
        loop {
            let in_transaction = self.connection.is_some();
            let connection = match self.connection.take() {
                Some(connection) => connection,
                None => match self.acquire(access, retry, deadline) {
                    Ok(connection) => connection,
                    Err(refusal) => {
                        self.record_outcome(measure, telemetry::Outcome::Refused);
                        let refusal = refusal.after_attempts(has_lost);
                        return self.refuse(&refusal, plan.terminator);
                    }
                },
            };
            let attempt = self.attempt(plan, connection, in_transaction);
            has_lost |= matches!(attempt, Attempt::LostRead);
            match attempt {
                Attempt::Done(done) => {
                    let (exchange, connection) = *done;
                    return self.finish_exchange(exchange, connection, measure);
                }
                Attempt::Retry(next_access) if std_time::Instant::now() < deadline => {
                    retry = true;
                    access = next_access.unwrap_or(access);
                }
                Attempt::LostRead if std_time::Instant::now() < deadline => retry = true,
                Attempt::Retry(_) | Attempt::LostRead => {
                    let refusal = handle::unreachable_refusal().after_attempts(has_lost);
                    self.record_outcome(measure, telemetry::Outcome::Refused);
                    return self.refuse(&refusal, plan.terminator);
                }
                Attempt::Unknown => {
                    return self.answer_unknown(in_transaction, plan.terminator, measure);
                }
                Attempt::Aborted(failure) => return Err(failure),
            }
        }
    }

    /// Gets a grant from the kernel and takes a connection to the granted instance.
    fn acquire(
        &self,
        access: event::Access,
        retry: bool,
        deadline: std_time::Instant,
    ) -> Result<Connection, Refusal> {
        let retry_policy = runtime::RetryPolicy {
            deadline,
            pause: RETRY_PAUSE,
        };
        let open = |grant: &event::Grant| {
            let is_valid = self.runtime.clock.now() < grant.deadline;
            let server = is_valid.then(|| self.connect(&grant.instance)).flatten();
            server.ok_or(event::RequestOutcome::Unsent)
        };
        let acquired =
            self.runtime
                .acquire(&self.handle, self.id, access, retry, retry_policy, &open);
        let (grant, server) = acquired?;
        let socket = server.control_socket.clone();
        self.runtime
            .used_sockets
            .insert(&grant.instance, grant.request, socket);
        Ok(Connection {
            server,
            request: grant.request,
            instance: grant.instance,
            is_primary: grant.primary,
            access,
            has_failed: false,
        })
    }

    /// Takes a connection and sets the session's parameters on it.
    fn connect(&self, instance: &Name) -> Option<wire::ServerConnection> {
        let address = self.runtime.instance_address(instance)?;
        let pool = &self.runtime.pool;
        let connector = &self.runtime.connector;
        let taken = connector.take_or_connect(pool, instance, address, &self.database);
        let mut server = taken.ok()?;
        for setting in self.statements.settings() {
            server.is_dirty = true;
            if let Err(failure) = server.query(setting) {
                log::warn!(target: "request", instance = &**instance, failure:%;
                    "the connection did not take a setting of the session");
                pool.forget_used(instance);
                return None;
            }
        }
        Some(server)
    }

    fn release(&self, request: event::RequestId, outcome: event::RequestOutcome) {
        self.runtime
            .handle_event(event::Event::ConnectionReleased(request, outcome));
    }

    /// Closes the connection of a request, and releases the request's grant.
    fn discard(&self, connection: Connection, outcome: event::RequestOutcome) {
        self.runtime
            .used_sockets
            .remove(&connection.instance, connection.request);
        self.runtime.pool.forget_used(&connection.instance);
        drop(connection.server);
        self.release(connection.request, outcome);
    }

    /// Returns the connection of a request to the pool, and releases the request's
    /// grant.
    fn return_to_pool(&self, connection: Connection, outcome: event::RequestOutcome) {
        self.runtime
            .used_sockets
            .remove(&connection.instance, connection.request);
        let mut server = connection.server;
        if server.is_dirty && server.reset().is_err() {
            self.runtime.pool.forget_used(&connection.instance);
        } else {
            self.runtime
                .pool
                .put(&connection.instance, &self.database, server);
        }
        self.release(connection.request, outcome);
    }

    fn discard_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.discard(connection, event::RequestOutcome::ConnectionLost);
        }
    }

    /// Runs a batch once on a connection.
    fn attempt(
        &mut self,
        plan: &wire::Plan,
        mut connection: Connection,
        in_transaction: bool,
    ) -> Attempt {
        let target = handle::CancelTarget {
            endpoint: connection.server.endpoint,
            process: connection.server.process_id,
            secret: connection.server.secret_key,
        };
        *locks::lock(&self.handle.cancel_target) = Some(target);
        connection.server.is_dirty |= plan.alters_parameters;
        connection.server.has_lost_statements |= plan.drops_statements();
        let access = connection.access;
        let result = wire::run_batch(
            plan,
            &mut connection.server,
            &mut self.caller,
            access,
            in_transaction,
        );
        *locks::lock(&self.handle.cancel_target) = None;
        match result {
            Ok(exchange) if exchange.needs_primary && access == event::Access::Read => {
                self.return_to_pool(connection, event::RequestOutcome::ReadOnly);
                Attempt::Retry(Some(event::Access::Write))
            }
            Ok(exchange) if exchange.needs_primary => {
                // The primary was fenced; another instance will become primary.
                self.return_to_pool(connection, event::RequestOutcome::ReadOnly);
                thread::sleep(RETRY_PAUSE);
                Attempt::Retry(None)
            }
            Ok(exchange) => Attempt::Done(Box::new((exchange, connection))),
            Err(wire::BatchError::Unsent(_)) if !in_transaction => {
                self.discard(connection, event::RequestOutcome::Unsent);
                Attempt::Retry(None)
            }
            Err(wire::BatchError::Server(_, false))
                if !in_transaction && access == event::Access::Read =>
            {
                self.discard(connection, event::RequestOutcome::ConnectionLost);
                thread::sleep(RETRY_PAUSE);
                Attempt::LostRead
            }
            Err(wire::BatchError::Server(_, true)) => {
                self.discard(connection, event::RequestOutcome::ConnectionLost);
                Attempt::Aborted(wire::Failure::Closed)
            }
            Err(wire::BatchError::Unsent(_) | wire::BatchError::Server(_, false)) => {
                self.discard(connection, event::RequestOutcome::ConnectionLost);
                Attempt::Unknown
            }
            Err(wire::BatchError::Caller(failure)) => {
                self.discard(connection, event::RequestOutcome::ConnectionLost);
                Attempt::Aborted(failure)
            }
        }
    }

    /// Answers a request whose connection broke after the request was sent.
    fn answer_unknown(
        &mut self,
        in_transaction: bool,
        end: wire::Terminator,
        measure: &mut MeasureFn<'_>,
    ) -> Result<SessionState, wire::Failure> {
        self.record_outcome(measure, telemetry::Outcome::Unknown);
        let refusal = Refusal::new(Cause::OutcomeUnknown, 0);
        if in_transaction {
            // Later statements of the caller must not run outside of the transaction.
            self.close_with_error(&refusal)?;
            return Ok(SessionState::Closed);
        }
        self.refuse(&refusal, end)
    }

    fn finish_exchange(
        &mut self,
        exchange: wire::BatchOutcome,
        mut connection: Connection,
        measure: &mut MeasureFn<'_>,
    ) -> Result<SessionState, wire::Failure> {
        self.is_skipping = exchange.is_skipping;
        self.progress = Some(exchange.progress);
        let outcome = if connection.is_primary {
            telemetry::Outcome::Primary
        } else {
            telemetry::Outcome::Replica
        };
        if exchange.status != b'I' {
            connection.has_failed = exchange.status == b'E';
            self.connection = Some(connection);
            self.caller.flush()?;
            return Ok(SessionState::Open);
        }
        if exchange.maybe_committed {
            return self.acknowledge_commit(exchange, connection, measure);
        }
        self.caller.flush()?;
        self.return_to_pool(connection, event::RequestOutcome::Uncommitted);
        self.record_outcome(measure, outcome);
        Ok(SessionState::Open)
    }

    /// Holds back the end of the reply to a write until the kernel allows its
    /// acknowledgement.
    fn acknowledge_commit(
        &mut self,
        exchange: wire::BatchOutcome,
        connection: Connection,
        measure: &mut MeasureFn<'_>,
    ) -> Result<SessionState, wire::Failure> {
        self.return_to_pool(
            connection,
            event::RequestOutcome::Committed(exchange.primary_status),
        );
        let floor = match self.handle.wait_reply() {
            handle::Reply::Acknowledge(floor, until) if self.runtime.clock.now() < until => floor,
            _ => {
                self.record_outcome(measure, telemetry::Outcome::Unknown);
                let refusal = Refusal::new(Cause::OutcomeUnknown, 0);
                return self.refuse(&refusal, wire::Terminator::Sync);
            }
        };
        if self.token != Some(floor) {
            wire::put_token(&mut self.caller.output, floor);
            self.token = Some(floor);
        }
        self.caller.output.extend_from_slice(&exchange.held_output);
        self.caller.flush()?;
        self.record_outcome(measure, telemetry::Outcome::Primary);
        Ok(SessionState::Open)
    }

    fn record_outcome(&self, measure: &mut MeasureFn<'_>, result: telemetry::Outcome) {
        let (customer, route, result, took) = measure(result);
        self.runtime
            .metrics
            .record_request(customer.as_ref(), &route, result, took);
    }
}

/// Customer, route, outcome and duration of a request, for the metrics.
type Measurement = (Option<Name>, String, telemetry::Outcome, std_time::Duration);
/// Function that completes the measurement of a request with its outcome.
type MeasureFn<'a> = dyn FnMut(telemetry::Outcome) -> Measurement + 'a;

/// Result of an attempt to run a batch.
enum Attempt {
    /// The instance has answered.
    Done(Box<(wire::BatchOutcome, Connection)>),
    /// The batch did not run; retry it, with this access if given.
    Retry(Option<event::Access>),
    /// The connection broke, and the batch only reads; retry it.
    LostRead,
    /// The connection broke; it is unknown whether the batch ran.
    Unknown,
    /// The caller has left, or its answer was cut off; the session must end.
    Aborted(wire::Failure),
}

fn is_timeout(kind: std::io::ErrorKind) -> bool {
    matches!(
        kind,
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
