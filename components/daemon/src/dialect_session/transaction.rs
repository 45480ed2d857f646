//! Transactions of a dialect session.

use std::time as std_time;

use errors::{Cause, Refusal};
use kernel::event;

use super::{PlannedCall, Session, connection::Connection, pause_before_retry};
use crate::{handle, links};

/// Caller's transaction.
pub(super) struct Transaction {
    /// The caller's BEGIN.
    pub(super) begin: dialect::Call,
    pub(super) is_read_only: bool,
    pub(super) connection: Option<Connection>,
    pub(super) has_written: bool,
    /// Whether the transaction has failed, so that it can only be rolled back.
    pub(super) has_failed: bool,
    /// Reason of the failure, until the caller has been told.
    pub(super) unreported: Option<Refusal>,
}

impl Session {
    /// Rolls back a transaction whose caller was idle for too long.
    pub(super) fn expire_transaction(&mut self, links: &links::Links) {
        let Some(transaction) = &mut self.transaction else {
            return;
        };
        if transaction.has_failed {
            return;
        }
        transaction.has_failed = true;
        transaction.unreported = Some(Refusal::new(Cause::IdleTransaction, 0));
        if let Some(connection) = transaction.connection.take() {
            self.roll_back_connection(links, connection, None);
        }
    }

    /// Answers the caller, and then rolls the transaction back at its instance. So
    /// the caller does not wait for the instance.
    pub(super) fn end_with_rollback(
        &mut self,
        links: &links::Links,
        call: &dialect::Call,
        refusal: Option<Refusal>,
    ) -> Result<(), dialect::CallerFailure> {
        let ended = self.transaction.take();
        let answered = match &refusal {
            Some(refusal) => self.refuse(Some(call), refusal),
            None => self.caller.complete(dialect::TransactionState::Idle),
        };
        if let Some(connection) = ended.and_then(|transaction| transaction.connection) {
            self.roll_back_connection(links, connection, Some(call).filter(|_| refusal.is_none()));
        }
        answered
    }

    pub(super) fn begin(
        &mut self,
        call: &dialect::Call,
        is_read_only: bool,
    ) -> Result<(), dialect::CallerFailure> {
        if self.transaction.is_some() {
            return self.refuse(None, &Refusal::new(Cause::Protocol, 0));
        }
        self.transaction = Some(Transaction {
            begin: call.clone(),
            is_read_only,
            connection: None,
            has_written: false,
            has_failed: false,
            unreported: None,
        });
        self.caller.complete(dialect::TransactionState::Open)
    }

    /// Runs a statement in the transaction. The first statement begins the
    /// transaction at an instance.
    pub(super) fn run_in_transaction(
        &mut self,
        links: &links::Links,
        planned: &PlannedCall<'_>,
    ) -> Result<(), dialect::CallerFailure> {
        if let Err(refusal) = self.ensure_begun(links, &planned.call.id) {
            return self.fail(Some(planned.call), &refusal);
        }
        let (limit, _) = self.statement_limits();
        let Some(mut connection) = self.transaction.as_mut().and_then(|t| t.connection.take())
        else {
            return self.fail(Some(planned.call), &Refusal::new(Cause::TransactionLost, 0));
        };
        let sent = self.runtime.clock.now();
        connection.access = None;
        connection.precondition = event::Precondition::default();
        connection.valid_until = self.key_valid_until();
        let deadline = std_time::Instant::now() + self.runtime.settings.limits.wait_timeout;
        if !self.await_permission(&connection, deadline) {
            let outcome = event::RequestOutcome::Uncommitted;
            self.discard(links, connection, outcome);
            return self.fail(Some(planned.call), &Refusal::new(Cause::TransactionLost, 0));
        }
        match self.run_retrying_busy(&mut connection, &planned.run, limit, deadline) {
            Ok(reply) => {
                self.report_position(&connection, sent, &reply);
                if let Some(transaction) = &mut self.transaction {
                    transaction.has_written |= planned.writes;
                    transaction.has_failed = reply.state != dialect::TransactionState::Open;
                    transaction.connection = Some(connection);
                }
                self.caller.forward(&reply)
            }
            Err(failure) => {
                // The instance rolls the transaction back when its connection closes.
                log::info!(target: "request", id = planned.call.id,
                    instance = &**connection.instance,
                    failure:%; "transaction lost");
                self.discard(links, connection, event::RequestOutcome::ConnectionLost);
                self.fail(Some(planned.call), &Refusal::new(Cause::TransactionLost, 0))
            }
        }
    }

    /// Marks the transaction as failed, and refuses the statement.
    pub(super) fn fail(
        &mut self,
        call: Option<&dialect::Call>,
        refusal: &Refusal,
    ) -> Result<(), dialect::CallerFailure> {
        if let Some(transaction) = &mut self.transaction {
            transaction.has_failed = true;
        }
        self.record_outcome(telemetry::Outcome::Refused, std_time::Duration::ZERO);
        self.refuse(call, refusal)
    }

    /// Begins the transaction at an instance, unless it has already begun. The identifier is
    /// that of the call that needs the transaction.
    pub(super) fn ensure_begun(&mut self, links: &links::Links, id: &str) -> Result<(), Refusal> {
        let Some(transaction) = &self.transaction else {
            return Ok(());
        };
        if let Some(connection) = &transaction.connection {
            let (now, instance) = (self.runtime.clock.now(), &connection.instance);
            let (is_fresh, may_continue) = self.runtime.inspect(|kernel| {
                let is_fresh = self.customer.is_none() || kernel.is_fresh();
                (is_fresh, kernel.may_continue(instance, now))
            });
            if !may_continue {
                log::info!(target: "request", id, instance = &***instance;
                    "the transaction ends, its instance is evacuated");
            }
            let refusal = Refusal::new(Cause::TransactionLost, handle::UNREACHABLE_RETRY_MS);
            return (is_fresh && may_continue).then_some(()).ok_or(refusal);
        }
        let (call, is_read_only) = (transaction.begin.clone(), transaction.is_read_only);
        let access = if is_read_only {
            event::Access::Read
        } else {
            event::Access::Write
        };
        let deadline = std_time::Instant::now() + self.runtime.settings.limits.wait_timeout;
        let (limit, _) = self.statement_limits();
        let mut retry = false;
        let requested = self.runtime.clock.now();
        loop {
            let mut connection = self.acquire(links, access, retry, deadline)?;
            retry = true;
            if !self.renew_precondition(&mut connection) {
                self.return_to_pool(links, connection, event::RequestOutcome::Uncommitted);
                if std_time::Instant::now() >= deadline {
                    return Err(handle::unreachable_refusal());
                }
                continue;
            }
            let sent = self.runtime.clock.now();
            let begin = dialect::Execution::Plain(&call);
            let busy_deadline = self.busy_deadline(&connection, deadline);
            match self.run_retrying_busy(&mut connection, &begin, limit, busy_deadline) {
                Ok(reply) if reply.state == dialect::TransactionState::Open => {
                    self.report_position(&connection, sent, &reply);
                    if is_read_only {
                        self.log_read(&call.id, &connection, sent, requested, &reply);
                    }
                    if let Some(transaction) = &mut self.transaction {
                        transaction.connection = Some(connection);
                    }
                    return Ok(());
                }
                Ok(reply) => {
                    self.report_position(&connection, sent, &reply);
                    let outcome = self.retry_outcome(&connection, &reply);
                    let outcome = outcome.unwrap_or(event::RequestOutcome::Uncommitted);
                    self.return_to_pool(links, connection, outcome);
                    pause_before_retry(outcome);
                }
                Err(_) => self.discard(links, connection, event::RequestOutcome::ConnectionLost),
            }
            if std_time::Instant::now() >= deadline {
                return Err(handle::unreachable_refusal());
            }
        }
    }

    /// Time until which the caller's key is known to be in force.
    fn key_valid_until(&self) -> kernel::time::Time {
        if self.customer.is_none() {
            return kernel::time::Time(u64::MAX);
        }
        let until = self.runtime.inspect(kernel::Daemon::fresh_until);
        until.unwrap_or_default()
    }

    /// Commits the transaction, and passes the reply to the caller.
    pub(super) fn commit(
        &mut self,
        links: &links::Links,
        call: &dialect::Call,
    ) -> Result<(), dialect::CallerFailure> {
        if let Err(refusal) = self.ensure_begun(links, &call.id) {
            let connection = self.transaction.take().and_then(|t| t.connection);
            if let Some(connection) = connection {
                self.roll_back_connection(links, connection, None);
            }
            return self.refuse(Some(call), &refusal);
        }
        let start = std_time::Instant::now();
        let (limit, _) = self.statement_limits();
        let Some(Transaction {
            connection: Some(mut connection),
            has_written,
            ..
        }) = self.transaction.take()
        else {
            return self.refuse(Some(call), &Refusal::new(Cause::TransactionLost, 0));
        };
        let sent = self.runtime.clock.now();
        connection.access = None;
        connection.precondition = event::Precondition::default();
        connection.valid_until = self.key_valid_until();
        let deadline = start + self.runtime.settings.limits.wait_timeout;
        if !self.await_permission(&connection, deadline) {
            let outcome = event::RequestOutcome::Uncommitted;
            self.discard(links, connection, outcome);
            self.record_outcome(telemetry::Outcome::Refused, start.elapsed());
            return self.refuse(Some(call), &Refusal::new(Cause::TransactionLost, 0));
        }
        let run = dialect::Execution::Plain(call);
        match self.run_retrying_busy(&mut connection, &run, limit, deadline) {
            Ok(reply) => {
                self.report_position(&connection, sent, &reply);
                let planned = PlannedCall {
                    call,
                    run: dialect::Execution::Plain(call),
                    writes: has_written,
                };
                self.pass_reply(links, &planned, connection, &reply, start)
            }
            Err(failure) => {
                log::info!(target: "request", id = call.id, instance = &**connection.instance,
                    failure:%; "commit lost");
                self.discard(links, connection, event::RequestOutcome::ConnectionLost);
                let cause = if has_written && !failure.proves_not_run() {
                    Cause::OutcomeUnknown
                } else {
                    Cause::TransactionLost
                };
                self.record_outcome(telemetry::Outcome::Unknown, start.elapsed());
                self.refuse(Some(call), &Refusal::new(cause, 0))
            }
        }
    }
}
