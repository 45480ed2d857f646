//! Transactions of a session.

use std::time as std_time;

use errors::{Cause, Refusal};
use kernel::event;

use super::{Dialogue, Need, held::Held, pause};
use crate::{handle, links};

/// A transaction of the caller.
pub(super) struct Transaction {
    /// The caller's BEGIN.
    pub(super) begin: dialect::Call,
    pub(super) reads: bool,
    pub(super) held: Option<Held>,
    pub(super) wrote: bool,
    /// It has failed and can only end.
    pub(super) failed: bool,
    /// Why it failed, until the caller is told.
    pub(super) untold: Option<Refusal>,
}

impl Dialogue {
    /// Rolls back a transaction whose caller pauses for too long.
    pub(super) fn expire(&mut self, links: &links::Links) {
        let Some(transaction) = &mut self.transaction else {
            return;
        };
        if transaction.failed {
            return;
        }
        transaction.failed = true;
        transaction.untold = Some(Refusal::new(Cause::IdleTransaction, 0));
        if let Some(held) = transaction.held.take() {
            self.roll_back(links, held, None);
        }
    }

    /// Ends a transaction without its writes; the caller does not wait for the
    /// instance.
    pub(super) fn rollback(
        &mut self,
        links: &links::Links,
        call: &dialect::Call,
        refusal: Option<Refusal>,
    ) -> Result<(), dialect::Failure> {
        let ended = self.transaction.take();
        let answered = match &refusal {
            Some(refusal) => self.refuse(Some(call), refusal),
            None => self.caller.complete(dialect::State::Idle),
        };
        if let Some(held) = ended.and_then(|transaction| transaction.held) {
            self.roll_back(links, held, Some(call).filter(|_| refusal.is_none()));
        }
        answered
    }

    pub(super) fn begin(
        &mut self,
        call: &dialect::Call,
        reads: bool,
    ) -> Result<(), dialect::Failure> {
        if self.transaction.is_some() {
            return self.refuse(None, &Refusal::new(Cause::Protocol, 0));
        }
        self.transaction = Some(Transaction {
            begin: call.clone(),
            reads,
            held: None,
            wrote: false,
            failed: false,
            untold: None,
        });
        self.caller.complete(dialect::State::Open)
    }

    /// Runs a statement of a transaction, which begins with the first one.
    pub(super) fn run_inside(
        &mut self,
        links: &links::Links,
        need: &Need<'_>,
    ) -> Result<(), dialect::Failure> {
        if let Err(refusal) = self.ensure_begun(links) {
            return self.fail(Some(need.call), &refusal);
        }
        let (limit, _) = self.limits();
        let Some(mut held) = self.transaction.as_mut().and_then(|t| t.held.take()) else {
            return self.fail(Some(need.call), &Refusal::new(Cause::TransactionLost, 0));
        };
        let sent = self.shell.clock.now();
        held.floor = None;
        held.until = self.usable_until();
        let deadline = std_time::Instant::now() + self.shell.settings.limits.wait;
        let adapted = held.link.adapt(&self.values, limit);
        match adapted.and_then(|()| self.run_patiently(&mut held, &need.run, limit, deadline)) {
            Ok(reply) => {
                self.observe(&held, sent, &reply);
                if let Some(transaction) = &mut self.transaction {
                    transaction.wrote |= need.writes;
                    transaction.failed = reply.state != dialect::State::Open;
                    transaction.held = Some(held);
                }
                self.caller.pass(&reply)
            }
            Err(failure) => {
                // The instance rolls back what its connection leaves behind.
                log::info!(target: "request", id = need.call.id, instance = &**held.instance,
                    failure:%; "transaction lost");
                self.discard(links, held, event::RequestOutcome::ConnectionLost);
                self.fail(Some(need.call), &Refusal::new(Cause::TransactionLost, 0))
            }
        }
    }

    /// Answers a statement whose transaction cannot go on.
    pub(super) fn fail(
        &mut self,
        call: Option<&dialect::Call>,
        refusal: &Refusal,
    ) -> Result<(), dialect::Failure> {
        if let Some(transaction) = &mut self.transaction {
            transaction.failed = true;
        }
        self.note(telemetry::Outcome::Refused, std_time::Duration::ZERO);
        self.refuse(call, refusal)
    }

    /// Begins the transaction at an instance, unless it has begun there.
    pub(super) fn ensure_begun(&mut self, links: &links::Links) -> Result<(), Refusal> {
        let Some(transaction) = &self.transaction else {
            return Ok(());
        };
        if transaction.held.is_some() {
            let fresh = self.customer.is_none() || self.shell.inspect(kernel::Daemon::is_fresh);
            let stale = Refusal::new(Cause::TransactionLost, handle::UNREACHABLE_RETRY_MS);
            return if fresh { Ok(()) } else { Err(stale) };
        }
        let (begin, reads) = (transaction.begin.clone(), transaction.reads);
        let access = if reads {
            event::Access::Read
        } else {
            event::Access::Write
        };
        let deadline = std_time::Instant::now() + self.shell.settings.limits.wait;
        let (limit, _) = self.limits();
        let mut retry = false;
        loop {
            let mut held = self.obtain(links, access, retry, deadline)?;
            retry = true;
            let sent = self.shell.clock.now();
            let begin = dialect::Run::Plain(&begin);
            let patience = Self::patience(&held, deadline);
            match self.run_patiently(&mut held, &begin, limit, patience) {
                Ok(reply) if reply.state == dialect::State::Open => {
                    self.observe(&held, sent, &reply);
                    if let Some(transaction) = &mut self.transaction {
                        transaction.held = Some(held);
                    }
                    return Ok(());
                }
                Ok(reply) => {
                    self.observe(&held, sent, &reply);
                    let outcome = self.retry_outcome(&held, &reply);
                    let outcome = outcome.unwrap_or(event::RequestOutcome::Uncommitted);
                    self.give_back(links, held, outcome);
                    pause(outcome);
                }
                Err(_) => self.discard(links, held, event::RequestOutcome::ConnectionLost),
            }
            if std_time::Instant::now() >= deadline {
                return Err(handle::unreachable());
            }
        }
    }

    /// End of the time in which the caller's key is known to be in force.
    fn usable_until(&self) -> kernel::time::Time {
        if self.customer.is_none() {
            return kernel::time::Time(u64::MAX);
        }
        let until = self.shell.inspect(kernel::Daemon::fresh_until);
        until.unwrap_or_default()
    }

    pub(super) fn commit(
        &mut self,
        links: &links::Links,
        call: &dialect::Call,
    ) -> Result<(), dialect::Failure> {
        if let Err(refusal) = self.ensure_begun(links) {
            let held = self.transaction.take().and_then(|t| t.held);
            if let Some(held) = held {
                self.roll_back(links, held, None);
            }
            return self.refuse(Some(call), &refusal);
        }
        let begun = std_time::Instant::now();
        let (limit, _) = self.limits();
        let Some(Transaction {
            held: Some(mut held),
            wrote,
            ..
        }) = self.transaction.take()
        else {
            return self.refuse(Some(call), &Refusal::new(Cause::TransactionLost, 0));
        };
        let sent = self.shell.clock.now();
        held.floor = None;
        held.until = self.usable_until();
        let deadline = begun + self.shell.settings.limits.wait;
        let run = dialect::Run::Plain(call);
        match self.run_patiently(&mut held, &run, limit, deadline) {
            Ok(reply) => {
                self.observe(&held, sent, &reply);
                let need = Need {
                    call,
                    run: dialect::Run::Plain(call),
                    writes: wrote,
                };
                self.finish(links, &need, held, &reply, begun)
            }
            Err(failure) => {
                log::info!(target: "request", id = call.id, instance = &**held.instance,
                    failure:%; "commit lost");
                self.discard(links, held, event::RequestOutcome::ConnectionLost);
                let cause = if wrote {
                    Cause::OutcomeUnknown
                } else {
                    Cause::TransactionLost
                };
                self.note(telemetry::Outcome::Unknown, begun.elapsed());
                self.refuse(Some(call), &Refusal::new(cause, 0))
            }
        }
    }
}
