//! Replacement of a lost primary if the group's instances arbitrate.
//!
//! A VM becomes a candidate when VMs in two failure domains suspect the
//! primary. The candidate fences a majority of the instances at the next term,
//! waits for one lease, and promotes the fenced instance with the highest
//! position. An instance accepts a term only once and from only one candidate,
//! so at most one of two candidates promotes. All candidates ask the same
//! instance first, so that they do not split the majority between them.

use std::{collections, time as std_time};

use config::Name;

use crate::{event, group, position, time};

/// Delay per VM that precedes this candidate.
const RANK_DELAY: std_time::Duration = std_time::Duration::from_millis(150);
/// Number of times that a suspicion is sent within the silence limit.
const SUSPICION_REPEATS: u32 = 5;
/// Time limit for a majority to accept a fence.
const FENCE_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(400);
/// Time limit, after the lease, for the chosen instance to become primary.
const PROMOTE_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(800);
/// Period at which the promotion of the chosen instance is repeated.
const PROMOTE_RETRY: std_time::Duration = std_time::Duration::from_millis(100);
/// Time beyond the lease that another candidate is given to finish.
const CANDIDATE_GRACE: std_time::Duration = std_time::Duration::from_millis(500);
/// Time after which a leaving primary gets no new transactions.
const LEAVING_GRACE: std_time::Duration = std_time::Duration::from_millis(1000);
/// Time for the last transactions to finish before a leaving primary is fenced.
const LEAVING_DRAIN: std_time::Duration = std_time::Duration::from_millis(300);

/// A promotion in progress.
#[derive(Debug)]
pub struct Attempt {
    /// Term that the candidate asks for.
    pub term: position::Term,
    /// Instance that is fenced before the others.
    first_instance: Option<Name>,
    started: time::Time,
    accepted: collections::BTreeMap<Name, position::Status>,
    fenced_at: Option<time::Time>,
    chosen: Option<(Name, position::Lsn)>,
    last_order: Option<time::Time>,
}

/// Action that the daemon takes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing.
    Wait,
    /// Tell peers of the suspicion.
    Suspect,
    /// Fence the first instance at the term. Fields: term, VM that also
    /// suspects the primary, instance.
    Fence(position::Term, Name, Name),
    /// Fence all instances but the given one.
    FenceOthers(position::Term, Name),
    /// Promote the instance.
    Promote(Name, position::Term, position::Lsn),
    /// Give up the term, which this number of instances accepted.
    GiveUp(position::Term, usize),
}

/// Suspicions and the promotion attempt of one group.
#[derive(Debug, Default)]
pub struct Promotion {
    /// Attempt of this daemon.
    pub attempt: Option<Attempt>,
    /// Time since which this daemon counts the primary as lost.
    pub lost_since: Option<time::Time>,
    suspects: collections::BTreeMap<Name, (Name, position::Term, time::Time)>,
    leaving_since: Option<time::Time>,
    retry_after: time::Time,
    last_report: time::Time,
}

/// Identity and time limits of the VM that decides.
#[derive(Clone, Debug)]
pub struct Context {
    /// Name of this VM.
    pub vm: Name,
    /// Failure domain of this VM.
    pub domain: Name,
    /// Silence after which the primary counts as lost.
    pub silence_limit: std_time::Duration,
    /// Lease of term confirmations.
    pub lease: std_time::Duration,
}

impl Promotion {
    /// Records that a peer cannot reach the primary.
    pub fn record_suspicion(
        &mut self,
        vm: Name,
        domain: Name,
        term: position::Term,
        now: time::Time,
    ) {
        self.suspects.insert(vm, (domain, term, now));
    }

    /// Returns the next step.
    pub fn step(
        &mut self,
        context: &Context,
        group: &group::Group,
        is_first: bool,
        now: time::Time,
    ) -> Step {
        if self.attempt.is_some() {
            return self.advance(context, group, now);
        }
        if let Some(step) = self.replace_leaving(context, group, is_first, now) {
            return step;
        }
        let silence_limit = if group.had_primary() {
            context.silence_limit
        } else {
            context.silence_limit + context.lease + CANDIDATE_GRACE
        };
        if group.silence(now) < silence_limit {
            self.lost_since = None;
            return Step::Wait;
        }
        let lost_since = *self.lost_since.get_or_insert(now);
        let rank = self.find_witness(context, group, now);
        let Some((witness, rank)) = rank else {
            return self.report_suspicion(context, now);
        };
        let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
        if now < lost_since + delay || now < self.retry_after {
            return self.report_suspicion(context, now);
        }
        self.start(context, group, witness, now)
    }

    fn report_suspicion(&mut self, context: &Context, now: time::Time) -> Step {
        if now.since(self.last_report) < context.silence_limit / SUSPICION_REPEATS {
            return Step::Wait;
        }
        self.last_report = now;
        Step::Suspect
    }

    fn start(
        &mut self,
        context: &Context,
        group: &group::Group,
        witness: Name,
        now: time::Time,
    ) -> Step {
        let Some(first_instance) = group.first_answering(now, context.silence_limit) else {
            return self.report_suspicion(context, now);
        };
        let term = group.newest_term().next();
        self.attempt = Some(Attempt {
            term,
            first_instance: Some(first_instance.clone()),
            started: now,
            accepted: collections::BTreeMap::new(),
            fenced_at: None,
            chosen: None,
            last_order: None,
        });
        Step::Fence(term, witness, first_instance)
    }

    /// Replaces a primary that is leaving or evacuated. The configuration in force
    /// withdraws the primary, so no second failure domain has to agree.
    fn replace_leaving(
        &mut self,
        context: &Context,
        group: &group::Group,
        is_first: bool,
        now: time::Time,
    ) -> Option<Step> {
        let confirmation = group.confirmation(now)?;
        let is_leaving = group.instances.get(&confirmation.primary)?.is_withdrawn();
        let has_staying = group.instances.values().any(|state| !state.is_withdrawn());
        if !is_leaving || !has_staying {
            self.leaving_since = None;
            return None;
        }
        let since = *self.leaving_since.get_or_insert(now);
        let is_due = now >= since + LEAVING_GRACE + LEAVING_DRAIN && now >= self.retry_after;
        (is_first && is_due).then(|| self.start(context, group, context.vm.clone(), now))
    }

    /// Suspecting VM in another failure domain, and the number of suspecting
    /// VMs that precede this VM.
    fn find_witness(
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

    /// Records the answer of an instance to a fence.
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
        let is_first_instance = attempt.first_instance.as_ref() == Some(&fence.instance);
        if !fence.accepted {
            // The instance has accepted this term, or a newer one, from another
            // candidate.
            return if is_first_instance {
                self.give_up(now)
            } else {
                Step::Wait
            };
        }
        if attempt.fenced_at.is_some() {
            return Step::Wait;
        }
        attempt.accepted.insert(fence.instance.clone(), status);
        attempt.chosen = choose_highest(&attempt.accepted, majority, group);
        if attempt.chosen.is_some() {
            attempt.fenced_at = Some(now);
        }
        match attempt.first_instance.take_if(|_| is_first_instance) {
            Some(first) => Step::FenceOthers(attempt.term, first),
            None => Step::Wait,
        }
    }

    /// Whether a leaving primary gets no new transactions any more.
    pub fn is_draining(&self, now: time::Time) -> bool {
        self.leaving_since
            .is_some_and(|since| now >= since + LEAVING_GRACE)
    }

    /// Ends the attempt; returns true if the attempt was for this term.
    pub fn finish(&mut self, term: position::Term) -> bool {
        let is_own = self.attempt.as_ref().is_some_and(|a| a.term == term);
        if is_own {
            self.attempt = None;
            self.lost_since = None;
        }
        is_own
    }

    fn advance(&mut self, context: &Context, group: &group::Group, now: time::Time) -> Step {
        let Some(attempt) = &mut self.attempt else {
            return Step::Wait;
        };
        let is_superseded = group.newest_term() > attempt.term;
        let is_finished = group.newest_term() == attempt.term && group.primary().is_some();
        if is_finished {
            self.attempt = None;
            self.lost_since = None;
            return Step::Wait;
        }
        let Some(fenced_at) = attempt.fenced_at else {
            let is_late = now.since(attempt.started) > FENCE_TIMEOUT;
            return if is_late || is_superseded {
                self.give_up(now)
            } else {
                Step::Wait
            };
        };
        let due = fenced_at + context.lease;
        if is_superseded || now > due + PROMOTE_TIMEOUT {
            return self.give_up(now);
        }
        let is_due = attempt
            .last_order
            .is_none_or(|at| now.since(at) >= PROMOTE_RETRY);
        let Some((name, lsn)) = attempt.chosen.clone() else {
            return self.give_up(now);
        };
        if now <= due || !is_due {
            return Step::Wait;
        }
        attempt.last_order = Some(now);
        Step::Promote(name, attempt.term, lsn)
    }

    fn give_up(&mut self, now: time::Time) -> Step {
        self.retry_after = now + RANK_DELAY;
        match self.attempt.take() {
            Some(attempt) => Step::GiveUp(attempt.term, attempt.accepted.len()),
            None => Step::Wait,
        }
    }
}

/// Instance with the highest position of a fenced majority, or `None` without a
/// majority. Every acknowledged write is on a majority, so any fenced majority
/// includes it. Only instances that stay are considered if they can form a
/// majority.
fn choose_highest(
    accepted: &collections::BTreeMap<Name, position::Status>,
    majority: usize,
    group: &group::Group,
) -> Option<(Name, position::Lsn)> {
    let stays = |name: &Name| group.instances.get(name).is_some_and(|s| !s.is_withdrawn());
    let staying: Vec<_> = accepted.iter().filter(|(name, _)| stays(name)).collect();
    let possible = group
        .instances
        .values()
        .filter(|state| !state.is_withdrawn())
        .count();
    let eligible = if possible >= majority {
        staying
    } else {
        accepted.iter().collect()
    };
    if eligible.len() < majority {
        return None;
    }
    eligible
        .into_iter()
        .max_by_key(|(name, s)| (s.term, s.received, stays(name)))
        .map(|(name, s)| (name.clone(), s.received))
}
