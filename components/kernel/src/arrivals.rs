//! The way of a session and of a request up to the queue: keys, tokens, bounds.

use std::{collections, time as std_time};

use config::Name;
use errors::{Cause, Refusal};

use crate::{admission, daemon, event, journal, sessions};

/// Longest wait of a request for tokens that are certain to come.
const TOKEN_WAIT: std_time::Duration = std_time::Duration::from_millis(250);
/// Longest wait of a request for tokens that peers may give.
const BORROW_WAIT: std_time::Duration = std_time::Duration::from_millis(200);

impl daemon::Daemon {
    pub(crate) fn opened(&mut self, opening: &event::Opening) {
        let id = opening.session;
        match self.admit(opening) {
            Ok(session) => {
                let welcome = event::Welcome {
                    customer: session.customer.clone(),
                    database: self.fleet().routes[&session.route].database.clone(),
                    group: session.group.clone(),
                };
                let group = session.group.clone();
                if session.floor.is_none()
                    && session.age.is_none()
                    && let Some(pool) = self.pools.get_mut(&group)
                {
                    pool.group.request_poll(self.now);
                }
                self.sessions.open.insert(id, session);
                self.out.push(event::Action::Welcome(id, welcome));
                self.poll(&group);
            }
            Err(refusal) => self.out.push(event::Action::Reject(id, refusal)),
        }
    }

    pub(crate) fn admit(&self, opening: &event::Opening) -> Result<sessions::Session, Refusal> {
        if self.stopping {
            return Err(Refusal::new(Cause::Stopping, daemon::ELSEWHERE_RETRY_MS));
        }
        let fleet = self.fleet();
        let route = fleet.routes.get_key_value(opening.route.as_str());
        let open = route.is_some_and(|(_, route)| route.open);
        let customer = if open {
            None
        } else {
            if !self.is_fresh() {
                return Err(Refusal::new(Cause::Stale, daemon::UNAVAILABLE_RETRY_MS));
            }
            let holder = opening.digest.and_then(|digest| fleet.holder(&digest));
            let holder = holder.ok_or(Refusal::new(Cause::KeyInvalid, 0))?;
            Some(holder.0.clone())
        };
        let (name, route) = route.ok_or(Refusal::new(Cause::RouteUnknown, 0))?;
        let allowed = customer
            .as_ref()
            .is_none_or(|customer| route.customers.contains(customer));
        if !allowed {
            return Err(Refusal::new(Cause::RouteForbidden, 0));
        }
        let age = std_time::Duration::from_millis(route.age_ms);
        Ok(sessions::Session {
            digest: if open { None } else { opening.digest },
            customer,
            route: name.clone(),
            group: route.group.clone(),
            age: (!age.is_zero()).then_some(age),
            floor: opening.token,
            reads: route.reads,
            arrived: self.now,
        })
    }

    /// Whether a session may still run requests.
    pub(crate) fn permit(&self, session: &sessions::Session) -> Result<(), Refusal> {
        let fleet = self.fleet();
        let Some(route) = fleet.routes.get(&session.route) else {
            return Err(Refusal::new(Cause::RouteUnknown, 0));
        };
        let Some(customer) = &session.customer else {
            let open = Refusal::new(Cause::RouteForbidden, 0);
            return if route.open { Ok(()) } else { Err(open) };
        };
        let held = session
            .digest
            .is_some_and(|digest| fleet.holds(customer, &digest));
        if !held {
            return Err(Refusal::new(Cause::KeyWithdrawn, 0));
        }
        if !route.open && !route.customers.contains(customer) {
            return Err(Refusal::new(Cause::RouteForbidden, 0));
        }
        Ok(())
    }

    pub(crate) fn requested(&mut self, request: event::Request) {
        match self.check(&request) {
            Err(refusal) => self.refuse(&request, refusal),
            Ok(None) => self.enqueue(request),
            Ok(Some(customer)) => self.charge(request, &customer),
        }
    }

    pub(crate) fn check(&self, request: &event::Request) -> Result<Option<Name>, Refusal> {
        if self.stopping {
            return Err(Refusal::new(Cause::Stopping, daemon::ELSEWHERE_RETRY_MS));
        }
        let session = self.sessions.open.get(&request.session);
        let session = session.ok_or(Refusal::new(Cause::KeyWithdrawn, 0))?;
        if session.customer.is_some() && !self.is_fresh() {
            return Err(Refusal::new(Cause::Stale, daemon::UNAVAILABLE_RETRY_MS));
        }
        self.permit(session)?;
        Ok(session.customer.clone())
    }

    /// Takes over what the route says now; it holds from the next request on.
    fn follow_route(&mut self, id: event::SessionId) {
        let fleet = self.revisions.head().fleet.clone();
        let Some(session) = self.sessions.open.get_mut(&id) else {
            return;
        };
        if let Some(route) = fleet.routes.get(&session.route) {
            let age = std_time::Duration::from_millis(route.age_ms);
            session.age = (!age.is_zero()).then_some(age);
            session.reads = route.reads;
            session.group.clone_from(&route.group);
        }
    }

    pub(crate) fn charge(&mut self, request: event::Request, customer: &Name) {
        if request.retry {
            return self.enqueue(request);
        }
        self.budgets.count(customer);
        let ahead = self
            .lanes
            .get(customer)
            .map_or(0, collections::VecDeque::len);
        if ahead == 0 && self.budgets.has(customer, self.now) {
            return self.enqueue(request);
        }
        self.budgets.press(customer);
        let position = u64::try_from(ahead + 1).unwrap_or(u64::MAX);
        let wait = self.budgets.wait(customer, position);
        let certain = wait.is_some_and(|wait| wait <= TOKEN_WAIT);
        let hopeful = self.budgets.is_hopeful(customer, self.now);
        if ahead >= self.setup.limits.queue || !(certain || hopeful) {
            let refusal = self.short_of_tokens(wait);
            return self.refuse(&request, refusal);
        }
        let patience = if certain { TOKEN_WAIT } else { BORROW_WAIT };
        let lane = self.lanes.entry(customer.clone()).or_default();
        lane.push_back(admission::Waiting {
            request,
            since: self.now,
            deadline: self.now + patience,
        });
        self.send_asks();
    }

    /// Refusal of a request without a token. While an epoch is not confirmed, its
    /// shares may not have been taken up, and nobody can tell that the customer is
    /// over its rate.
    pub(crate) fn short_of_tokens(&self, wait: Option<std_time::Duration>) -> Refusal {
        if self.budgets.is_grown() && self.budgets.is_usable() {
            over_rate(wait)
        } else {
            Refusal::new(Cause::Unavailable, daemon::UNAVAILABLE_RETRY_MS)
        }
    }

    /// Lets in the requests for which tokens have come, in order.
    pub(crate) fn admit_lanes(&mut self) {
        let customers: Vec<_> = self.lanes.keys().cloned().collect();
        for customer in customers {
            loop {
                let front = self
                    .lanes
                    .get_mut(&customer)
                    .and_then(|l| l.front().copied());
                let Some(front) = front else {
                    self.lanes.remove(&customer);
                    break;
                };
                let checked = self.check(&front.request);
                let expired = front.deadline <= self.now;
                if checked.is_ok() && !expired && !self.budgets.has(&customer, self.now) {
                    break;
                }
                if let Some(lane) = self.lanes.get_mut(&customer) {
                    lane.pop_front();
                }
                match checked {
                    Err(refusal) => self.refuse(&front.request, refusal),
                    Ok(_) if expired => {
                        let wait = self.budgets.wait(&customer, 1);
                        let refusal = self.short_of_tokens(wait);
                        self.refuse(&front.request, refusal);
                    }
                    Ok(_) => {
                        self.load.tokens.add(self.now.since(front.since));
                        self.enqueue(front.request);
                    }
                }
            }
        }
    }

    pub(crate) fn enqueue(&mut self, request: event::Request) {
        self.follow_route(request.session);
        let Some(session) = self.sessions.open.get(&request.session) else {
            return;
        };
        let customer = session.customer.clone();
        let group = session.group.clone();
        let weight = customer
            .as_ref()
            .and_then(|name| self.fleet().customers.get(name))
            .map_or(1, |entry| entry.weight);
        let item = admission::Waiting {
            request,
            since: self.now,
            deadline: self.now + self.setup.limits.wait,
        };
        let Some(pool) = self.pools.get_mut(&group) else {
            let refusal = Refusal::new(Cause::Unavailable, daemon::UNAVAILABLE_RETRY_MS);
            return self.refuse(&request, refusal);
        };
        let latest = session.reads == config::Reads::Latest;
        let queue = match request.access {
            event::Access::Read if !latest => &mut pool.reads,
            _ => &mut pool.writes,
        };
        if queue.push(customer, weight, item).is_err() {
            let refusal = Refusal::new(Cause::NoCapacity, daemon::CAPACITY_RETRY_MS);
            return self.refuse(&request, refusal);
        }
        self.dispatch(&group);
    }

    pub(crate) fn refuse(&mut self, request: &event::Request, refusal: Refusal) {
        self.out.push(event::Action::Refuse(request.id, refusal));
        let session = self.sessions.open.get(&request.session);
        let Some(customer) = session.and_then(|s| s.customer.clone()) else {
            return;
        };
        let now = self.now;
        let burst = self.bursts.entry(customer).or_insert(daemon::Burst {
            count: 0,
            cause: refusal.cause,
            since: now,
        });
        burst.count += 1;
    }

    pub(crate) fn report_bursts(&mut self) {
        let now = self.now;
        let over = |burst: &daemon::Burst| now.since(burst.since) >= daemon::REFUSAL_PERIOD;
        let done: Vec<_> = self
            .bursts
            .iter()
            .filter(|(_, burst)| over(burst))
            .map(|(customer, _)| customer.clone())
            .collect();
        for customer in done {
            if let Some(burst) = self.bursts.remove(&customer) {
                self.record(journal::Decision::Refusals {
                    customer,
                    count: burst.count,
                    cause: burst.cause.sqlstate().into(),
                });
            }
        }
    }

    pub(crate) fn abandoned(&mut self, id: event::RequestId) {
        let mut same = |item: &admission::Waiting| item.request.id == id;
        for pool in self.pools.values_mut() {
            pool.reads.drain(&mut same);
            pool.writes.drain(&mut same);
        }
        for lane in self.lanes.values_mut() {
            lane.retain(|item| item.request.id != id);
        }
    }
}

fn over_rate(wait: Option<std_time::Duration>) -> Refusal {
    let hint = wait.map_or(u32::MAX.into(), |wait| wait.as_millis());
    let hint = u32::try_from(hint).unwrap_or(u32::MAX).clamp(1, 60_000);
    Refusal::new(Cause::OverRate, hint)
}
