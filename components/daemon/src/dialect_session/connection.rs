//! Connections that a session holds while a statement or transaction runs.

use std::{thread, time as std_time};

use config::Name;
use errors::Refusal;
use kernel::{event, group, position};

use super::{RETRY_PAUSE, Session};
use crate::{links, runtime};

/// Longest pause before a statement is sent again to a busy instance.
const RETRY_PAUSE_LIMIT: std_time::Duration = std_time::Duration::from_millis(60);
/// Time after which a statement leaves a busy replica for another instance.
const REPLICA_BUSY_LIMIT: std_time::Duration = std_time::Duration::from_millis(60);

/// Connection that a request holds.
pub(super) struct Connection {
    pub(super) link: Box<dyn dialect::Link>,
    pub(super) request: event::RequestId,
    pub(super) instance: Name,
    pub(super) is_primary: bool,
    /// Whether the kernel permits each statement, because the instance is cold.
    pub(super) is_paced: bool,
    /// Condition under which the next statement may be sent. Inside a transaction, which
    /// stays at its instance, there is none.
    pub(super) precondition: event::Precondition,
    /// Access of the request; none inside a transaction.
    pub(super) access: Option<event::Access>,
    /// Time after which no statement may start on the connection.
    pub(super) valid_until: kernel::time::Time,
}

impl Session {
    /// Gets a grant from the kernel and takes a connection to the granted instance.
    pub(super) fn acquire(
        &self,
        links: &links::Links,
        access: event::Access,
        retry: bool,
        deadline: std_time::Instant,
    ) -> Result<Connection, Refusal> {
        let retry_policy = runtime::RetryPolicy {
            deadline,
            pause: std_time::Duration::ZERO,
        };
        let open = |grant: &event::Grant| {
            if self.runtime.clock.now() >= grant.deadline {
                return Err(event::RequestOutcome::Uncommitted);
            }
            let link = self.connect(links, grant, deadline);
            link.map_err(|lost| match lost {
                dialect::LinkFailure::Rejected(
                    dialect::RefusalReason::TooManyConnections | dialect::RefusalReason::Busy,
                ) => event::RequestOutcome::TooManyConnections,
                _ => event::RequestOutcome::Unsent,
            })
        };
        let acquired =
            self.runtime
                .acquire(&self.handle, self.id, access, retry, retry_policy, &open);
        let (grant, link) = acquired?;
        Ok(Connection {
            link,
            request: grant.request,
            instance: grant.instance,
            is_primary: grant.primary,
            is_paced: grant.is_paced,
            precondition: event::Precondition::default(),
            access: Some(access),
            valid_until: grant.deadline,
        })
    }

    fn connect(
        &self,
        links: &links::Links,
        grant: &event::Grant,
        deadline: std_time::Instant,
    ) -> Result<Box<dyn dialect::Link>, dialect::LinkFailure> {
        let fleet = self.runtime.fleet();
        let route = fleet.routes.get(self.route.as_str());
        let address = self.runtime.instance_address(&grant.instance);
        let (Some(route), Some(address)) = (route, address) else {
            return Err(dialect::LinkFailure::Unsent);
        };
        let spec = links::Spec {
            group: &route.group,
            instance: &grant.instance,
            address,
            customer: self.customer.as_ref(),
            values: &self.values,
        };
        let start = std_time::Instant::now();
        let remaining = deadline.saturating_duration_since(start);
        let taken = links.take(&spec, grant.request, remaining);
        if let Err(lost) = &taken {
            let waited = start.elapsed().as_millis();
            log::info!(target: "request", instance = &**grant.instance, lost:%,
                waited_ms:% = waited; "no connection");
            links.close_idle(&grant.instance);
        }
        taken
    }

    /// Gives the connection the session's values: the caller may have set some since the
    /// last statement. After a failure the next statement must not be sent.
    fn adapt_values(
        &self,
        connection: &mut Connection,
        limit: std_time::Duration,
    ) -> Result<(), dialect::LinkFailure> {
        let adapted = connection.link.set_values(&self.values, limit);
        adapted.map_err(|failure| {
            log::info!(target: "request", instance = &**connection.instance, failure:%;
                "the connection did not take the session's values");
            dialect::LinkFailure::Unsent
        })
    }

    /// Runs a statement under the session's values, and tells the kernel if the instance is
    /// slow to answer.
    pub(super) fn run(
        &self,
        connection: &mut Connection,
        run: &dialect::Execution<'_>,
        limit: std_time::Duration,
    ) -> Result<dialect::Reply, dialect::LinkFailure> {
        self.adapt_values(connection, limit)?;
        let first_wait = limit.min(group::STATEMENT_DELAY);
        match connection
            .link
            .run(run, connection.precondition.floor, first_wait)
        {
            Err(dialect::LinkFailure::TimedOut) if first_wait < limit => {
                let instance = connection.instance.clone();
                self.runtime
                    .handle_event(event::Event::StatementDelayed(instance));
                connection.link.await_reply(limit - first_wait)
            }
            result => result,
        }
    }

    /// Determines the precondition of the next statement; false if the statement may
    /// not be sent to the instance any more.
    pub(super) fn renew_precondition(&self, connection: &mut Connection) -> bool {
        let now = self.runtime.clock.now();
        if now >= connection.valid_until {
            return false;
        }
        let instance = &connection.instance;
        let Some(access) = connection.access else {
            return self
                .runtime
                .inspect(|kernel| kernel.may_continue(instance, now));
        };
        let renewed = self
            .runtime
            .inspect(|kernel| kernel.precondition(self.id, instance, access, now));
        let is_met = renewed.is_some();
        connection.precondition = renewed.unwrap_or_default();
        is_met && self.may_send(connection)
    }

    /// Whether the next statement may be sent as far as the warm-up of its instance is
    /// concerned.
    fn may_send(&self, connection: &Connection) -> bool {
        !connection.is_paced || self.runtime.may_send(connection.request)
    }

    /// Waits until the next statement of a transaction may be sent; false if that is not
    /// before the deadline.
    pub(super) fn await_permission(
        &self,
        connection: &Connection,
        deadline: std_time::Instant,
    ) -> bool {
        while !self.may_send(connection) {
            if std_time::Instant::now() + RETRY_PAUSE >= deadline {
                log::info!(target: "request", instance = &**connection.instance;
                    "no permission to send: the instance is cold");
                return false;
            }
            thread::sleep(RETRY_PAUSE);
        }
        true
    }

    /// Time until which a statement is retried on the same instance while that
    /// instance is busy. Where routes differ in priority, the kernel decides whether a read
    /// goes to another instance or waits.
    pub(super) fn busy_deadline(
        &self,
        connection: &Connection,
        deadline: std_time::Instant,
    ) -> std_time::Instant {
        if connection.is_primary {
            deadline
        } else if self.runtime.fleet().ranks_routes() {
            std_time::Instant::now()
        } else {
            deadline.min(std_time::Instant::now() + REPLICA_BUSY_LIMIT)
        }
    }

    /// Runs a statement, and retries it over the same connection while the instance
    /// is busy: a new connection would cost the instance more work than the
    /// statement does.
    pub(super) fn run_retrying_busy(
        &self,
        connection: &mut Connection,
        run: &dialect::Execution<'_>,
        limit: std_time::Duration,
        deadline: std_time::Instant,
    ) -> Result<dialect::Reply, dialect::LinkFailure> {
        let mut pause = RETRY_PAUSE;
        loop {
            let reply = self.run(connection, run, limit)?;
            let busy = matches!(
                reply.outcome,
                dialect::Outcome::Refused(dialect::RefusalReason::Busy)
            );
            let can_repeat = reply.state != dialect::TransactionState::Failed;
            let in_time = std_time::Instant::now() + pause < deadline
                && self.runtime.clock.now() + pause < connection.valid_until;
            if !(busy && can_repeat && in_time) {
                return Ok(reply);
            }
            thread::sleep(pause);
            let is_in_transaction = connection.access.is_none();
            if !self.renew_precondition(connection)
                || (is_in_transaction && !self.await_permission(connection, deadline))
            {
                return Ok(reply);
            }
            pause = (pause * 2).min(RETRY_PAUSE_LIMIT);
        }
    }

    /// Logs what a read rested on and what the instance answered; at debug level unless
    /// the read was delayed.
    pub(super) fn log_read(
        &self,
        id: &str,
        connection: &Connection,
        sent: kernel::time::Time,
        start: kernel::time::Time,
        reply: &dialect::Reply,
    ) {
        let now = self.runtime.clock.now();
        let level = if now.since(start) < group::STATEMENT_DELAY {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        if !log::log_enabled!(level) {
            return;
        }
        let text = |position: Option<position::Position>| {
            position.map_or("-".to_string(), |position| position.to_string())
        };
        let condition = &connection.precondition;
        let leader = condition.leader.as_ref().map_or("-", |leader| leader);
        let sample = condition.sample.as_ref();
        let source = sample.map_or("-".to_string(), |sample| sample.source.to_string());
        let age_ms = sample.map_or("-".to_string(), |sample| {
            sent.since(sample.sent).as_millis().to_string()
        });
        log::log!(target: "request", level, id, instance = &**connection.instance, leader,
            floor:% = text(condition.floor),
            sample:% = text(sample.map(|sample| sample.position)),
            source, age_ms, answered:% = text(reply.applied),
            waited_ms:% = sent.since(start).as_millis(), ran_ms:% = now.since(sent).as_millis();
            "read");
    }

    /// Tells the kernel the position that an instance reported with a reply.
    pub(super) fn report_position(
        &self,
        connection: &Connection,
        sent: kernel::time::Time,
        reply: &dialect::Reply,
    ) {
        if let Some(applied) = reply.applied {
            self.runtime
                .handle_event(event::Event::PositionObserved(event::Observation {
                    instance: connection.instance.clone(),
                    sent,
                    applied,
                }));
        }
    }

    fn release(&self, request: event::RequestId, outcome: event::RequestOutcome) {
        self.runtime
            .handle_event(event::Event::ConnectionReleased(request, outcome));
    }

    /// Closes the connection of a request, and releases the request's grant.
    pub(super) fn discard(
        &self,
        links: &links::Links,
        connection: Connection,
        outcome: event::RequestOutcome,
    ) {
        links.forget_used(&connection.instance, connection.request);
        drop(connection.link);
        // The idle connections to the same instance may be broken as well.
        links.close_idle(&connection.instance);
        self.release(connection.request, outcome);
    }

    /// Returns the connection of a request to the pool, and releases the request's
    /// grant.
    pub(super) fn return_to_pool(
        &self,
        links: &links::Links,
        connection: Connection,
        outcome: event::RequestOutcome,
    ) {
        links.put(
            &connection.instance,
            self.customer.as_ref(),
            connection.request,
            connection.link,
        );
        self.release(connection.request, outcome);
    }

    /// Rolls a transaction back at its instance, with the caller's statement if the caller
    /// sent one and the connection has the session's values, and gives up the connection. In
    /// a failed transaction, the instance would refuse to take values.
    pub(super) fn roll_back_connection(
        &self,
        links: &links::Links,
        mut connection: Connection,
        call: Option<&dialect::Call>,
    ) {
        // Without permission to send, the instance rolls back when its connection closes.
        let now = self.runtime.clock.now();
        let may_continue = |kernel: &kernel::Daemon| kernel.may_continue(&connection.instance, now);
        if !self.runtime.inspect(may_continue) {
            return self.discard(links, connection, event::RequestOutcome::ConnectionLost);
        }
        if !self.may_send(&connection) {
            let outcome = event::RequestOutcome::Uncommitted;
            return self.discard(links, connection, outcome);
        }
        let (limit, _) = self.statement_limits();
        let has_values = connection.link.distance(&self.values) == 0;
        let rolled_back = match call.filter(|_| has_values) {
            Some(call) => {
                let run = dialect::Execution::Plain(call);
                connection.link.run(&run, None, limit).map(|_| ())
            }
            None => connection.link.rollback(limit),
        };
        match rolled_back {
            Ok(()) => self.return_to_pool(links, connection, event::RequestOutcome::Uncommitted),
            Err(lost) => {
                log::info!(target: "request", instance = &**connection.instance, lost:%;
                    "connection lost in a rollback");
                self.discard(links, connection, event::RequestOutcome::ConnectionLost);
            }
        }
    }
}
