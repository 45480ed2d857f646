//! Connections that a session holds for a statement or a transaction.

use std::{thread, time as std_time};

use config::Name;
use errors::Refusal;
use kernel::{event, group, position};

use super::{Dialogue, RETRY_PAUSE};
use crate::{links, shell};

/// Longest pause before a statement is sent again to an instance without room.
const RETRY_PAUSE_LIMIT: std_time::Duration = std_time::Duration::from_millis(60);
/// Time after which a statement goes to another instance than a replica without
/// room.
const MOVE_PATIENCE: std_time::Duration = std_time::Duration::from_millis(60);

/// A connection held for a statement or a transaction.
pub(super) struct Held {
    pub(super) link: Box<dyn dialect::Link>,
    pub(super) request: event::RequestId,
    pub(super) instance: Name,
    pub(super) primary: bool,
    pub(super) floor: Option<position::Floor>,
    /// When the right to use it ends.
    pub(super) until: kernel::time::Time,
}

impl Dialogue {
    /// Asks the kernel for a connection and opens it.
    pub(super) fn obtain(
        &self,
        links: &links::Links,
        access: event::Access,
        retry: bool,
        deadline: std_time::Instant,
    ) -> Result<Held, Refusal> {
        let patience = shell::Patience {
            deadline,
            pause: std_time::Duration::ZERO,
        };
        let open = |grant: &event::Grant| {
            if self.shell.clock.now() >= grant.deadline {
                return Err(event::RequestOutcome::Uncommitted);
            }
            let link = self.connect(links, grant, deadline);
            link.map_err(|lost| match lost {
                dialect::Lost::Rejected(dialect::Reason::Crowded | dialect::Reason::Busy) => {
                    event::RequestOutcome::TooManyConnections
                }
                _ => event::RequestOutcome::Unsent,
            })
        };
        let obtained = self
            .shell
            .obtain(&self.handle, self.id, access, retry, patience, &open);
        let (grant, link) = obtained?;
        Ok(Held {
            link,
            request: grant.request,
            instance: grant.instance,
            primary: grant.primary,
            floor: grant.floor,
            until: grant.deadline,
        })
    }

    fn connect(
        &self,
        links: &links::Links,
        grant: &event::Grant,
        deadline: std_time::Instant,
    ) -> Result<Box<dyn dialect::Link>, dialect::Lost> {
        let fleet = self.shell.fleet();
        let route = fleet.routes.get(self.route.as_str());
        let address = self.shell.instance_address(&grant.instance);
        let (Some(route), Some(address)) = (route, address) else {
            return Err(dialect::Lost::Unsent);
        };
        let purpose = links::Purpose {
            group: &route.group,
            instance: &grant.instance,
            address,
            customer: self.customer.as_ref(),
            values: &self.values,
        };
        let start = std_time::Instant::now();
        let left = deadline.saturating_duration_since(start);
        let taken = links.take(&purpose, grant.request, left);
        if let Err(lost) = &taken {
            let waited = start.elapsed().as_millis();
            log::info!(target: "request", instance = &**grant.instance, lost:%,
                waited_ms:% = waited; "no connection");
            links.clear(&grant.instance);
        }
        taken
    }

    /// Runs a statement, and tells the kernel of an instance that is slow to
    /// answer.
    pub(super) fn run(
        &self,
        held: &mut Held,
        run: &dialect::Run<'_>,
        limit: std_time::Duration,
    ) -> Result<dialect::Reply, dialect::Lost> {
        let patience = limit.min(group::STATEMENT_DELAY);
        match held.link.run(run, held.floor, patience) {
            Err(dialect::Lost::Late) if patience < limit => {
                let instance = held.instance.clone();
                self.shell.drive(event::Event::StatementDelayed(instance));
                held.link.wait(limit - patience)
            }
            result => result,
        }
    }

    /// When a statement that can go elsewhere leaves the instance.
    pub(super) fn patience(held: &Held, deadline: std_time::Instant) -> std_time::Instant {
        if held.primary {
            deadline
        } else {
            deadline.min(std_time::Instant::now() + MOVE_PATIENCE)
        }
    }

    /// Runs a statement, and again over the same connection while the instance has
    /// no room for it: a new connection would cost it more work than the statement.
    pub(super) fn run_patiently(
        &self,
        held: &mut Held,
        run: &dialect::Run<'_>,
        limit: std_time::Duration,
        deadline: std_time::Instant,
    ) -> Result<dialect::Reply, dialect::Lost> {
        let mut pause = RETRY_PAUSE;
        loop {
            let reply = self.run(held, run, limit)?;
            let busy = matches!(reply.end, dialect::End::Refused(dialect::Reason::Busy));
            let lasting = reply.state != dialect::State::Failed;
            let in_time = std_time::Instant::now() + pause < deadline
                && self.shell.clock.now() + pause < held.until;
            if !(busy && lasting && in_time) {
                return Ok(reply);
            }
            thread::sleep(pause);
            pause = (pause * 2).min(RETRY_PAUSE_LIMIT);
        }
    }

    /// Tells the kernel which position an instance has reached.
    pub(super) fn observe(&self, held: &Held, sent: kernel::time::Time, reply: &dialect::Reply) {
        if let Some(applied) = reply.applied {
            self.shell
                .drive(event::Event::PositionObserved(event::Observation {
                    instance: held.instance.clone(),
                    sent,
                    applied,
                }));
        }
    }

    fn release(&self, request: event::RequestId, outcome: event::RequestOutcome) {
        self.shell
            .drive(event::Event::ConnectionReleased(request, outcome));
    }

    /// Closes the connection of a request.
    pub(super) fn discard(&self, links: &links::Links, held: Held, outcome: event::RequestOutcome) {
        links.drop_used(&held.instance, held.request);
        drop(held.link);
        // Others to the same instance may be as dead.
        links.clear(&held.instance);
        self.release(held.request, outcome);
    }

    /// Returns the connection of a request to the pool.
    pub(super) fn give_back(
        &self,
        links: &links::Links,
        held: Held,
        outcome: event::RequestOutcome,
    ) {
        links.put(
            &held.instance,
            self.customer.as_ref(),
            held.request,
            held.link,
        );
        self.release(held.request, outcome);
    }

    /// Rolls a transaction back at its instance, by the caller's statement if
    /// there is one.
    pub(super) fn roll_back(
        &self,
        links: &links::Links,
        mut held: Held,
        call: Option<&dialect::Call>,
    ) {
        let (limit, _) = self.limits();
        let rolled_back = match call {
            Some(call) => {
                let run = dialect::Run::Plain(call);
                held.link.run(&run, None, limit).map(|_| ())
            }
            None => held.link.rollback(limit),
        };
        match rolled_back {
            Ok(()) => self.give_back(links, held, event::RequestOutcome::Uncommitted),
            Err(lost) => {
                log::info!(target: "request", instance = &**held.instance, lost:%;
                    "connection lost in a rollback");
                self.discard(links, held, event::RequestOutcome::ConnectionLost);
            }
        }
    }
}
