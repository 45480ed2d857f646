//! Replacement of a lost primary.
//!
//! Suspicion by two failure domains starts a candidate. It fences a majority of
//! the instances at the next term, waits out the lease, and promotes the
//! highest position among them. Instances accept a term once and from one
//! candidate, so of two candidates at most one promotes. All candidates ask the
//! same instance first, so that they do not split the majority between them.

use std::{collections, time as std_time};

use config::Name;

use crate::{event, group, position, time};

/// Delay of a candidate for every VM that goes before it.
const STAGGER: std_time::Duration = std_time::Duration::from_millis(150);
/// Times that a suspicion is told within its validity.
const TELL_PARTS: u32 = 5;
/// Time for a majority to accept a fence.
const FENCE_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(400);
/// Time for the chosen instance to become primary, after the lease.
const PROMOTE_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(800);
/// Period of repeated promotions of the chosen instance.
const PROMOTE_RETRY: std_time::Duration = std_time::Duration::from_millis(100);
/// Time that another candidate is given beyond its lease.
const CANDIDATE_GRACE: std_time::Duration = std_time::Duration::from_millis(500);
/// Time after which a primary that is leaving gets no new transaction.
const LEAVING_GRACE: std_time::Duration = std_time::Duration::from_millis(1000);
/// Time for its last transactions to finish before it is fenced.
const LEAVING_DRAIN: std_time::Duration = std_time::Duration::from_millis(300);

/// A promotion in progress.
#[derive(Debug)]
pub struct Attempt {
    /// Term asked for.
    pub term: position::Term,
    /// Instance that is asked before the others.
    first: Option<Name>,
    started: time::Time,
    accepted: collections::BTreeMap<Name, position::Status>,
    fenced: Option<time::Time>,
    chosen: Option<(Name, position::Lsn)>,
    ordered: Option<time::Time>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing for now.
    Wait,
    /// Tell peers of the suspicion.
    Suspect,
    /// Fence the first instance at the term; the witness agrees.
    Fence(position::Term, Name, Name),
    /// Fence the other instances too.
    FenceOthers(position::Term, Name),
    /// Promote the instance.
    Promote(Name, position::Term, position::Lsn),
    /// Give up: this many accepted.
    GiveUp(position::Term, usize),
}

/// Suspicions and the attempt of one group.
#[derive(Debug, Default)]
pub struct Promotion {
    /// Attempt of this daemon.
    pub attempt: Option<Attempt>,
    /// Since when the primary counts as lost here.
    pub lost_since: Option<time::Time>,
    suspects: collections::BTreeMap<Name, (Name, position::Term, time::Time)>,
    leaving: Option<time::Time>,
    retry: time::Time,
    told: time::Time,
}

/// Who decides, and with which patience.
#[derive(Clone, Debug)]
pub struct Context {
    /// This VM.
    pub vm: Name,
    /// Its failure domain.
    pub domain: Name,
    /// Silence that counts as loss.
    pub silence_limit: std_time::Duration,
    /// Lease of term confirmations.
    pub lease: std_time::Duration,
}

impl Promotion {
    /// A peer cannot reach the primary either.
    pub fn record_suspicion(
        &mut self,
        vm: Name,
        domain: Name,
        term: position::Term,
        now: time::Time,
    ) {
        self.suspects.insert(vm, (domain, term, now));
    }

    /// Decides on the next step.
    pub fn step(
        &mut self,
        context: &Context,
        group: &group::Group,
        first: bool,
        now: time::Time,
    ) -> Step {
        if self.attempt.is_some() {
            return self.advance(context, group, now);
        }
        if let Some(step) = self.replace_leaving(context, group, first, now) {
            return step;
        }
        let patience = if group.had_primary() {
            context.silence_limit
        } else {
            context.silence_limit + context.lease + CANDIDATE_GRACE
        };
        if group.silence(now) < patience {
            self.lost_since = None;
            return Step::Wait;
        }
        let lost = *self.lost_since.get_or_insert(now);
        let rank = self.rank(context, group, now);
        let Some((witness, rank)) = rank else {
            return self.tell(context, now);
        };
        let delay = STAGGER * u32::try_from(rank).unwrap_or(u32::MAX);
        if now < lost + delay || now < self.retry {
            return self.tell(context, now);
        }
        self.start(context, group, witness, now)
    }

    fn tell(&mut self, context: &Context, now: time::Time) -> Step {
        if now.since(self.told) < context.silence_limit / TELL_PARTS {
            return Step::Wait;
        }
        self.told = now;
        Step::Suspect
    }

    fn start(
        &mut self,
        context: &Context,
        group: &group::Group,
        witness: Name,
        now: time::Time,
    ) -> Step {
        let Some(first) = group.first_answering(now, context.silence_limit) else {
            return self.tell(context, now);
        };
        let term = group.newest_term().next();
        self.attempt = Some(Attempt {
            term,
            first: Some(first.clone()),
            started: now,
            accepted: collections::BTreeMap::new(),
            fenced: None,
            chosen: None,
            ordered: None,
        });
        Step::Fence(term, witness, first)
    }

    /// Hands over from a primary that is leaving; the configuration in force
    /// takes the place of the second failure domain.
    fn replace_leaving(
        &mut self,
        context: &Context,
        group: &group::Group,
        first: bool,
        now: time::Time,
    ) -> Option<Step> {
        let confirmation = group.confirmation(now)?;
        let leaving = group.instances.get(&confirmation.primary)?.leaving;
        let staying = group.instances.values().any(|seen| !seen.leaving);
        if !leaving || !staying {
            self.leaving = None;
            return None;
        }
        let since = *self.leaving.get_or_insert(now);
        let due = now >= since + LEAVING_GRACE + LEAVING_DRAIN && now >= self.retry;
        (first && due).then(|| self.start(context, group, context.vm.clone(), now))
    }

    /// Witness in another failure domain, and how many VMs go first.
    fn rank(
        &self,
        context: &Context,
        group: &group::Group,
        now: time::Time,
    ) -> Option<(Name, usize)> {
        let fresh = |term: &position::Term, at: &time::Time| {
            *term == group.newest_term() && now.since(*at) <= context.silence_limit
        };
        let mut witness = None;
        let mut before = 0;
        for (vm, (domain, term, at)) in &self.suspects {
            if !fresh(term, at) || *vm == context.vm {
                continue;
            }
            if *domain != context.domain {
                witness.get_or_insert(vm);
            }
            before += usize::from(*vm < context.vm);
        }
        witness.map(|vm| (vm.clone(), before))
    }

    /// Takes in the answer of an instance to a fence.
    pub fn record_fence(
        &mut self,
        fence: &event::TermReply,
        majority: usize,
        group: &group::Group,
        now: time::Time,
    ) -> Step {
        let Some(attempt) = &mut self.attempt else {
            return Step::Wait;
        };
        let Some(status) = fence.status.filter(|_| fence.term == attempt.term) else {
            return Step::Wait;
        };
        let is_first = attempt.first.as_ref() == Some(&fence.instance);
        if !fence.accepted {
            // Another candidate was faster.
            return if is_first {
                self.give_up(now)
            } else {
                Step::Wait
            };
        }
        if attempt.fenced.is_some() {
            return Step::Wait;
        }
        attempt.accepted.insert(fence.instance.clone(), status);
        attempt.chosen = choose(&attempt.accepted, majority, group);
        if attempt.chosen.is_some() {
            attempt.fenced = Some(now);
        }
        match attempt.first.take_if(|_| is_first) {
            Some(first) => Step::FenceOthers(attempt.term, first),
            None => Step::Wait,
        }
    }

    /// Whether a leaving primary gets no new transaction any more.
    pub fn is_draining(&self, now: time::Time) -> bool {
        self.leaving
            .is_some_and(|since| now >= since + LEAVING_GRACE)
    }

    /// Ends the attempt; true if it was for this term.
    pub fn finish(&mut self, term: position::Term) -> bool {
        let own = self.attempt.as_ref().is_some_and(|a| a.term == term);
        if own {
            self.attempt = None;
            self.lost_since = None;
        }
        own
    }

    fn advance(&mut self, context: &Context, group: &group::Group, now: time::Time) -> Step {
        let Some(attempt) = &mut self.attempt else {
            return Step::Wait;
        };
        let replaced = group.newest_term() > attempt.term;
        let finished = group.newest_term() == attempt.term && group.primary().is_some();
        if finished {
            self.attempt = None;
            self.lost_since = None;
            return Step::Wait;
        }
        let Some(fenced) = attempt.fenced else {
            let late = now.since(attempt.started) > FENCE_TIMEOUT;
            return if late || replaced {
                self.give_up(now)
            } else {
                Step::Wait
            };
        };
        let due = fenced + context.lease;
        if replaced || now > due + PROMOTE_TIMEOUT {
            return self.give_up(now);
        }
        let again = attempt
            .ordered
            .is_none_or(|at| now.since(at) >= PROMOTE_RETRY);
        let Some((name, lsn)) = attempt.chosen.clone() else {
            return self.give_up(now);
        };
        if now <= due || !again {
            return Step::Wait;
        }
        attempt.ordered = Some(now);
        Step::Promote(name, attempt.term, lsn)
    }

    fn give_up(&mut self, now: time::Time) -> Step {
        self.retry = now + STAGGER;
        match self.attempt.take() {
            Some(attempt) => Step::GiveUp(attempt.term, attempt.accepted.len()),
            None => Step::Wait,
        }
    }
}

/// Highest position of a fenced majority, if there is one. Every acknowledged
/// write is on a majority, so any fenced majority will do; one of instances
/// that stay goes first.
fn choose(
    accepted: &collections::BTreeMap<Name, position::Status>,
    majority: usize,
    group: &group::Group,
) -> Option<(Name, position::Lsn)> {
    let stays = |name: &Name| group.instances.get(name).is_some_and(|seen| !seen.leaving);
    let staying: Vec<_> = accepted.iter().filter(|(name, _)| stays(name)).collect();
    let possible = group
        .instances
        .values()
        .filter(|seen| !seen.leaving)
        .count();
    let pool = if possible >= majority {
        staying
    } else {
        accepted.iter().collect()
    };
    if pool.len() < majority {
        return None;
    }
    pool.into_iter()
        .max_by_key(|(name, s)| (s.term, s.received, stays(name)))
        .map(|(name, s)| (name.clone(), s.received))
}
