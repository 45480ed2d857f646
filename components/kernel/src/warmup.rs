//! Limit on the requests to cold instances.
//!
//! An instance is cold after its start, and after the evacuation of its failure domain
//! has ended. Until its period is over, all VMs together send it at most a number of
//! requests per second. Each request costs a token of the instance, which two VMs of the
//! fleet hold ([`crate::budget`]); a VM without a token sends nothing. Reads go to other
//! instances meanwhile, and writes wait for tokens of a cold leader.
//!
//! A VM that lost a connection to an instance cannot tell whether the instance has
//! restarted. It takes the instance for cold until the instance has answered, and a
//! state of the store that is later than the answer still names the same process. A VM
//! whose knowledge is too old for requests with keys does the same with an instance that
//! has not answered recently.

use std::{collections, time as std_time};

use config::{Fleet, Name};
use errors::{Cause, Refusal};

use crate::{budget, daemon, event, group, journal, read_policy, time, view};

/// Time in which an instance that accepts requests has registered with the store.
const REGISTRATION_TIME: std_time::Duration = std_time::Duration::from_secs(2);
/// Time since an answer in which an instance cannot have ended and started again.
const ANSWER_LIFETIME: std_time::Duration = std_time::Duration::from_secs(1);
/// Time from a grant to the sending of its request after which its token is void, so
/// that requests that were delayed are not sent together.
const GRANTED_TOKEN_LIFETIME: std_time::Duration = std_time::Duration::from_millis(100);
/// Time from the debit of a token to the latest use of it: that at its holder and on the
/// way to another VM, and that from the grant to the sending.
const TOKEN_LIFETIME_MS: u64 = 400;
/// Divisor of the limit that yields the tokens that may be used at once.
const BURST_DIVISOR: u64 = 5;
/// Fewest tokens that may be used at once: one at each holder.
const MIN_BURST: u64 = 2;
/// Period of journal entries on cold instances.
const REPORT_PERIOD: std_time::Duration = std_time::Duration::from_secs(2);

/// Rate and burst of the tokens for an instance that gets at most `rate` requests in any
/// second. In a second, no more than the burst and the refill of that second and of one
/// token lifetime arrive.
pub fn token_limit(rate: u32) -> budget::RateLimit {
    let rate = u64::from(rate);
    let burst = (rate / BURST_DIVISOR).max(MIN_BURST).min(rate);
    budget::RateLimit {
        rate: rate.saturating_sub(burst) * 1_000_000 / (1000 + TOKEN_LIFETIME_MS),
        burst,
    }
}

/// A process of an instance.
#[derive(Debug, Default)]
struct Process {
    /// Start, in Unix milliseconds.
    born: u64,
    /// End of the period after the start.
    started_until: time::Time,
    /// End of the period after an evacuation.
    returned_until: time::Time,
    is_reported: bool,
}

/// Requests to a cold instance since the last journal entry.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    granted: u64,
    refused: u64,
}

/// Cold instances as this VM knows them.
#[derive(Debug, Default)]
pub struct State {
    /// Limits of the instances that have one.
    limits: collections::BTreeMap<Name, config::Warmup>,
    processes: collections::BTreeMap<Name, Process>,
    /// Instances to which a connection was lost, with the time of their first answer
    /// since.
    doubts: collections::BTreeMap<Name, Option<time::Time>>,
    /// Last answers of instances that have a limit.
    answers: collections::BTreeMap<Name, time::Time>,
    counts: collections::BTreeMap<Name, Counts>,
    has_view: bool,
    reported_at: time::Time,
}

impl State {
    /// Applies a configuration.
    pub fn configure(&mut self, fleet: &Fleet) {
        self.limits.clear();
        for group in fleet.groups.values() {
            let limit = group.warmup;
            let Some(limit) = limit.filter(|limit| limit.period_ms > 0) else {
                continue;
            };
            for instance in &group.instances {
                self.limits.insert(instance.name.clone(), limit);
            }
        }
        let limits = &self.limits;
        self.doubts.retain(|name, _| limits.contains_key(name));
        self.answers.retain(|name, _| limits.contains_key(name));
        self.counts.retain(|name, _| limits.contains_key(name));
    }

    /// Instances that have a limit.
    pub fn limits(&self) -> impl Iterator<Item = (&Name, &config::Warmup)> {
        self.limits.iter()
    }

    /// Whether an instance has a limit.
    pub fn has_limit(&self, instance: &Name) -> bool {
        self.limits.contains_key(instance)
    }

    /// Applies the registrations that a view of the store names.
    pub fn observe<'a>(
        &mut self,
        registrations: impl Iterator<Item = (&'a Name, &'a view::Registration)>,
        now: time::Time,
    ) {
        let mut named = collections::BTreeSet::new();
        for (name, entry) in registrations {
            named.insert(name);
            let limit = self.limits.get(name);
            let known = self.processes.get(name);
            let is_same = known.is_some_and(|process| process.born == entry.born);
            // What an instance does not state is known only of a start that this VM has
            // seen.
            let is_start = !is_same && (known.is_some() || self.has_view);
            let period_ms = limit.map_or(0, |limit| limit.period_ms);
            let left_ms = match entry.warmup_ms {
                Some(left_ms) => left_ms,
                None if is_start => period_ms,
                None => 0,
            };
            let until = now + std_time::Duration::from_millis(left_ms);
            let process = self.processes.entry(name.clone()).or_default();
            if is_same {
                if entry.warmup_ms.is_some() {
                    process.started_until = process.started_until.min(until);
                }
            } else {
                process.born = entry.born;
                process.started_until = until;
                process.is_reported = false;
                self.doubts.remove(name);
            }
        }
        self.has_view |= !named.is_empty();
        self.processes
            .retain(|name, process| named.contains(name) || process.returned_until > now);
    }

    /// Starts the period of an instance whose evacuation has ended.
    pub fn start(&mut self, instance: &Name, now: time::Time) {
        let Some(limit) = self.limits.get(instance) else {
            return;
        };
        let process = self.processes.entry(instance.clone()).or_default();
        process.returned_until = now + std_time::Duration::from_millis(limit.period_ms);
        process.is_reported = false;
    }

    /// Records that a connection to the instance was lost, so that it may have restarted.
    fn doubt(&mut self, instance: &Name) {
        if self.has_limit(instance) {
            self.doubts.insert(instance.clone(), None);
        }
    }

    /// Records an answer of the instance.
    fn record_answer(&mut self, instance: &Name, now: time::Time) {
        if !self.has_limit(instance) {
            return;
        }
        self.answers.insert(instance.clone(), now);
        if let Some(answered) = self.doubts.get_mut(instance) {
            answered.get_or_insert(now);
        }
    }

    /// Time until which the instance is known to be cold.
    pub fn cold_until(&self, instance: &Name) -> time::Time {
        let process = self.processes.get(instance);
        process.map_or_else(time::Time::default, |process| {
            process.started_until.max(process.returned_until)
        })
    }

    /// Whether the instance is cold, or may have restarted since `proven_at`, the time of
    /// the latest known state of the registrations.
    fn is_cold(
        &self,
        instance: &Name,
        proven_at: Option<time::Time>,
        is_fresh: bool,
        now: time::Time,
    ) -> bool {
        if !self.has_limit(instance) {
            return false;
        }
        let doubt = self.doubts.get(instance);
        let has_doubt = doubt.is_some_and(|answered| {
            answered.is_none_or(|at| proven_at < Some(at + REGISTRATION_TIME))
        });
        let answer = self.answers.get(instance);
        let has_answer = answer.is_some_and(|at| now.since(*at) <= ANSWER_LIFETIME);
        now < self.cold_until(instance) || has_doubt || !(is_fresh || has_answer)
    }
}

impl daemon::Daemon {
    /// Whether an instance gets requests only for tokens.
    pub fn is_cold(&self, instance: &Name) -> bool {
        let proven_at = self.view.proven_at(view::Part::Instances);
        self.warmup
            .is_cold(instance, proven_at, self.is_fresh(), self.now)
    }

    /// Sets the limits of a configuration.
    pub(crate) fn configure_warmup(&mut self, fleet: &Fleet) {
        self.warmup.configure(fleet);
        for (instance, limit) in self.warmup.limits() {
            let resource = budget::Resource::Warmup(instance.clone());
            let limit = token_limit(limit.rate);
            self.budgets
                .configure(resource, budget::RATE_UNITS, limit, self.now);
        }
    }

    /// Applies the registrations in the view.
    pub(crate) fn observe_starts(&mut self) {
        self.warmup.observe(self.view.registrations(), self.now);
    }

    /// Records how a request to an instance, or a poll of it, has ended.
    pub(crate) fn track_restart(&mut self, instance: &Name, has_answer: bool) {
        if has_answer {
            self.warmup.record_answer(instance, self.now);
        } else if self.arbiter == group::Arbiter::Store {
            self.warmup.doubt(instance);
        }
    }

    /// Whether a request may go to an instance as far as its warm-up is concerned. Shares
    /// of a VM that is not fresh may belong to others.
    pub(crate) fn has_warmup_token(&self, instance: &Name) -> bool {
        if !self.warmup.has_limit(instance) || !self.is_cold(instance) {
            return true;
        }
        let resource = budget::Resource::Warmup(instance.clone());
        self.is_fresh() && self.budgets.has_held_token(&resource, self.now)
    }

    /// Requests a token from the holders if there is none.
    pub(crate) fn check_warmup_token(&mut self, instance: &Name) -> bool {
        let has_token = self.has_warmup_token(instance);
        if !has_token {
            let resource = budget::Resource::Warmup(instance.clone());
            self.budgets.request_held_token(&resource);
        }
        has_token
    }

    /// Removes the instances that are cold and for which this VM has no token. If no
    /// other instance has a connection left, requests their tokens.
    pub(crate) fn remove_cold(&mut self, candidates: &mut Vec<read_policy::Candidate>) {
        let cold: Vec<_> = candidates
            .extract_if(.., |candidate| !self.has_warmup_token(&candidate.name))
            .collect();
        if candidates.iter().all(|candidate| candidate.free == 0) {
            for candidate in cold.iter().filter(|candidate| candidate.free > 0) {
                self.check_warmup_token(&candidate.name);
            }
        }
    }

    /// Takes a token for a request that is granted a connection to a cold instance;
    /// returns the time until which the request may be sent with it.
    pub(crate) fn take_warmup_token(&mut self, instance: &Name) -> Option<time::Time> {
        if !self.warmup.has_limit(instance) || !self.is_cold(instance) {
            return None;
        }
        let resource = budget::Resource::Warmup(instance.clone());
        self.budgets.take_held_token(&resource, self.now);
        let counts = self.warmup.counts.entry(instance.clone()).or_default();
        counts.granted += 1;
        Some(self.now + GRANTED_TOKEN_LIFETIME)
    }

    /// Whether the next statement of a granted request may be sent now. The first one
    /// uses the token of the grant, and each further one takes another while the instance
    /// is cold.
    pub fn may_send(&mut self, request: event::RequestId, now: time::Time) -> bool {
        self.now = self.now.max(now);
        let Some(granted) = self.sessions.granted.get_mut(&request) else {
            return true;
        };
        let instance = granted.instance.clone();
        let until = granted.token_until.take();
        if until.is_some_and(|until| self.now <= until) || !self.is_cold(&instance) {
            return true;
        }
        if !self.check_warmup_token(&instance) {
            return false;
        }
        let resource = budget::Resource::Warmup(instance);
        self.budgets.take_held_token(&resource, self.now)
    }

    /// Longest wait of a write for a token of the cold leader, or a refusal if the token
    /// for a write at this place in the queue comes later. None if the leader is not cold.
    pub(crate) fn check_cold_leader(
        &mut self,
        group: &Name,
        target: Option<std_time::Duration>,
    ) -> Result<Option<std_time::Duration>, Refusal> {
        let Some(state) = self.groups.get(group) else {
            return Ok(None);
        };
        let leader = state.group.confirmation(self.now);
        let leader = leader.map(|confirmed| confirmed.primary);
        let Some(leader) = leader.filter(|leader| self.is_cold(leader)) else {
            return Ok(None);
        };
        let limit = self.setup.limits.wait_timeout;
        let longest = target.map_or(limit, |target| target.min(limit));
        let position = u64::try_from(state.write_queue.len() + 1).unwrap_or(u64::MAX);
        if self.has_warmup_token(&leader) && position == 1 {
            return Ok(Some(longest));
        }
        let resource = budget::Resource::Warmup(leader.clone());
        let wait = self.budgets.held_token_wait(&resource, position);
        let cold = self.warmup.cold_until(&leader).since(self.now);
        let wait = wait.map_or(cold, |wait| wait.min(cold));
        if wait <= longest {
            return Ok(Some(longest));
        }
        let counts = self.warmup.counts.entry(leader).or_default();
        counts.refused += 1;
        let retry_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        Err(Refusal::new(Cause::NoCapacity, retry_ms.max(1)))
    }

    /// Records which instances have become cold, and what was sent to them.
    pub(crate) fn report_warmup(&mut self) {
        if self.now.since(self.warmup.reported_at) < REPORT_PERIOD {
            return;
        }
        self.warmup.reported_at = self.now;
        let names: Vec<_> = self.warmup.limits.keys().cloned().collect();
        for instance in names {
            let left = self.warmup.cold_until(&instance).since(self.now);
            let counts = self.warmup.counts.remove(&instance);
            let process = self.warmup.processes.get_mut(&instance);
            let is_new = process.is_some_and(|process| {
                !left.is_zero() && !std::mem::replace(&mut process.is_reported, true)
            });
            if counts.is_none() && !is_new {
                continue;
            }
            let counts = counts.unwrap_or_default();
            self.record_decision(journal::Decision::Cold {
                instance,
                left_ms: time::micros(left) / 1000,
                granted: counts.granted,
                refused: counts.refused,
            });
        }
    }
}
