//! Replacement of a leader under the store's arbitration.
//!
//! A VM claims the group's row by compare-and-set; the version that the claim
//! got is its fencing token. Every VM of the list then stops using the old
//! leader and says so; one that stays silent is waited out, because what it may
//! do ends with the age of its view. Only then the replicas are held, the one
//! with the highest position is promoted, and the row names it. A claim may be
//! used for `CLAIM_LIFETIME` after it was sent; another VM takes it over later
//! than that, or at once if the process of its holder has ended.

use std::{collections, time as std_time};

use config::Name;

use crate::{event, group, leader, message, position, time, view};

mod note;
mod resume;
mod stage;

pub use note::{Note, Reason};
use resume::Resume;
use stage::{Attempt, Stage};

/// Time after its sending for which a claim may be used. It covers the wait
/// for a silent VM, the hold of the replicas and one order.
const CLAIM_LIFETIME: std_time::Duration = std_time::Duration::from_millis(6_500);
/// Age of another VM's claim at which it is taken over: its lifetime, and the
/// time limit of an order that was sent at its end.
const TAKEOVER_AGE: std_time::Duration = std_time::Duration::from_millis(7_700);
/// Time beyond the lease for bytes of a silent VM that are on their way.
const CLOSE_MARGIN: std_time::Duration = std_time::Duration::from_millis(300);
/// Period of repeated calls to VMs that have not closed.
const CLOSE_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);
/// Time for the last transactions at a leader that is replaced as planned.
const DRAIN_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_000);
/// Pause before an order or a write without an answer is repeated.
const REPEAT_PAUSE: std_time::Duration = std_time::Duration::from_millis(200);
/// Time for the store to answer a claim.
const CLAIM_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(2_000);
/// Delay of a VM for every VM that goes before it.
const STAGGER: std_time::Duration = std_time::Duration::from_millis(200);
/// Time for which a leader has to be leaving before it is replaced.
const LEAVING_DELAY: std_time::Duration = std_time::Duration::from_millis(200);
/// Additional silence before a group without any leader gets one.
const LEADERLESS_PATIENCE: std_time::Duration = std_time::Duration::from_millis(2_000);
/// Times that a suspicion is told within its validity.
const TELL_PARTS: u32 = 3;

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Tell peers that the leader does not answer.
    Suspect,
    /// Write the group's row over the version.
    Write(u64, leader::Leader),
    /// Ask a VM to stop using the leader.
    RequestClose(Name, message::Claim),
    /// Tell a VM that the leader is no longer used here.
    ReportClosed(Name, message::Claim),
    /// The leader must not be used here from now on.
    StopUsing,
    /// Break the connections to an instance.
    Disconnect(Name),
    /// Ask an instance for its status.
    Poll(Name),
    /// Ask a replica to stop receiving.
    Pause(Name, position::Term),
    /// Ask an instance to step down below the term.
    Demote(Name, position::Term),
    /// Let a replica receive again.
    Resume(Name),
    /// Order a promotion.
    Order(event::PromotionOrder),
    /// Record what happened.
    Note(Note),
}

/// What a decision is made from.
pub struct Context<'a> {
    /// Now.
    pub now: time::Time,
    /// This VM and run.
    pub own: event::MemberId,
    /// VMs of the panel that go before this one.
    pub rank: usize,
    /// VMs that decide on the leader, in the order in which they claim.
    pub voters: Vec<Name>,
    /// VMs that may use the leader.
    pub peers: Vec<Name>,
    /// This VM stands in a list that is fresh, and goes on.
    pub is_eligible: bool,
    /// Version of the group's row; 0 if there is none.
    pub row_version: u64,
    /// The group's row.
    pub leader: Option<leader::Leader>,
    /// Requests that still run at a leader that is being closed.
    pub running: usize,
    /// Validity of a view.
    pub lease: std_time::Duration,
    /// Silence that counts as loss.
    pub silence_limit: std_time::Duration,
    /// The group.
    pub group: &'a group::Group,
    /// Region of this VM.
    pub region: &'a Name,
    /// Region of each failure domain.
    pub regions: &'a collections::BTreeMap<Name, Name>,
    /// View of the store.
    pub view: &'a view::View,
}

/// The leader is being closed here.
#[derive(Debug)]
struct Closing {
    from: Name,
    claim: message::Claim,
    leader: Option<Name>,
    since: time::Time,
    done: bool,
}

/// Suspicions and replacements of one group.
#[derive(Debug, Default)]
pub struct Handover {
    suspects: collections::BTreeMap<Name, (position::Term, time::Time)>,
    told: Option<time::Time>,
    lost: Option<time::Time>,
    token: u64,
    closing: Option<Closing>,
    claim_seen: Option<(u64, time::Time)>,
    number: u64,
    attempt: Option<Attempt>,
    resume: Resume,
}

impl Handover {
    /// Highest token of a claim that is known here.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Whether nothing is under way here.
    pub fn is_idle(&self) -> bool {
        let closed = self.closing.as_ref().is_none_or(|closing| closing.done);
        self.attempt.is_none() && closed && self.resume.is_done()
    }

    /// A replica was asked to receive again; whether it answered.
    pub fn record_resumed(&mut self, instance: &Name, done: bool) {
        self.resume.answered(instance, done);
    }

    /// Leader whose last requests are waited for.
    pub fn closing_leader(&self) -> Option<&Name> {
        let closing = self.closing.as_ref().filter(|closing| !closing.done)?;
        closing.leader.as_ref()
    }

    /// A peer cannot reach the leader either.
    pub fn record_suspicion(&mut self, vm: Name, term: position::Term, now: time::Time) {
        self.suspects.insert(vm, (term, now));
    }

    /// A VM asks to stop using the leader.
    pub fn record_close_request(
        &mut self,
        from: Name,
        claim: &message::Claim,
        leader: Option<Name>,
        now: time::Time,
    ) {
        let known = self.closing.as_ref().map(|closing| closing.claim.token);
        if known == Some(claim.token) {
            if let Some(closing) = &mut self.closing {
                // Asked again: the answer was lost.
                closing.done = false;
            }
            return;
        }
        if claim.token <= self.token {
            return;
        }
        self.token = claim.token;
        self.closing = Some(Closing {
            from,
            claim: claim.clone(),
            leader,
            since: now,
            done: false,
        });
    }

    /// A VM no longer uses the leader.
    pub fn record_closed(&mut self, vm: &Name, token: u64) {
        let Some(attempt) = self.attempt.as_mut().filter(|a| a.token == Some(token)) else {
            return;
        };
        if let Stage::Closing { waiting, .. } = &mut attempt.stage {
            waiting.remove(vm);
        }
    }

    /// A replica answered to a hold.
    pub fn record_paused(&mut self, fence: &event::TermReply) {
        let Some(Attempt {
            stage: Stage::Holding { held, .. },
            ..
        }) = &mut self.attempt
        else {
            return;
        };
        if let Some(status) = fence.status.filter(|_| fence.accepted) {
            let floor = position::Floor {
                term: status.term,
                lsn: status.received,
            };
            held.insert(fence.instance.clone(), floor);
        }
    }

    /// The store answered a write of the group's row.
    pub fn record_write(&mut self, stored: event::StoreOutcome, now: time::Time) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        match (&mut attempt.stage, stored) {
            (Stage::Claiming, event::StoreOutcome::Written(version)) => {
                attempt.token = Some(version)
            }
            // The row tells whether the write took effect.
            (Stage::Recording { sent, .. }, event::StoreOutcome::Unknown) => *sent = Some(now),
            _ => {}
        }
    }

    /// The platform answered an order.
    pub fn record_order(&mut self, ordered: event::OrderOutcome, now: time::Time) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        let Stage::Ordering { candidates, sent } = &mut attempt.stage else {
            return;
        };
        match ordered {
            event::OrderOutcome::Accepted => {
                attempt.stage = Stage::Confirming {
                    candidates: std::mem::take(candidates),
                    since: now,
                };
            }
            event::OrderOutcome::Rejected => {
                candidates.pop_front();
                *sent = None;
            }
            event::OrderOutcome::Unknown => *sent = Some(now),
        }
    }

    /// Decides on the next steps.
    pub fn step(&mut self, context: &Context<'_>) -> Vec<Step> {
        let mut out = Vec::new();
        self.close_here(context, &mut out);
        self.resume.step(context, &mut out);
        match self.attempt.take() {
            Some(attempt) => self.attempt = self.advance(attempt, context, &mut out),
            None => self.consider(context, &mut out),
        }
        out
    }

    /// Ends the use of the old leader by this VM.
    fn close_here(&mut self, context: &Context<'_>, out: &mut Vec<Step>) {
        let Some(closing) = self.closing.as_mut().filter(|closing| !closing.done) else {
            return;
        };
        let over = context.now.since(closing.since) >= DRAIN_TIMEOUT;
        if closing.claim.planned && context.running > 0 && !over {
            return;
        }
        if let Some(leader) = closing.leader.take_if(|_| !closing.claim.planned || over) {
            out.push(Step::Disconnect(leader));
        }
        closing.done = true;
        if closing.from != context.own.vm {
            out.push(Step::ReportClosed(
                closing.from.clone(),
                closing.claim.clone(),
            ));
        }
    }

    /// Decides whether this VM replaces the leader.
    fn consider(&mut self, context: &Context<'_>, out: &mut Vec<Step>) {
        if !context.is_eligible {
            return;
        }
        let claim = context.leader.as_ref().and_then(|row| row.claim.as_ref());
        if let Some(claim) = claim {
            return self.consider_claim(&claim.clone(), context, out);
        }
        self.claim_seen = None;
        let stagger = STAGGER * u32::try_from(context.rank).unwrap_or(u32::MAX);
        if self.is_leaving(context, stagger) {
            return self.start(true, context, out);
        }
        let patience = match context.group.assignment() {
            Some(_) => context.silence_limit,
            None => context.silence_limit + LEADERLESS_PATIENCE,
        };
        if context.group.silence(context.now) < patience {
            self.lost = None;
            return;
        }
        let lost = *self.lost.get_or_insert(context.now);
        let due = |told: time::Time| context.now.since(told) >= context.silence_limit / TELL_PARTS;
        if self.told.is_none_or(due) {
            self.told = Some(context.now);
            out.push(Step::Suspect);
        }
        if self.count_suspects(context) * 2 > context.voters.len() && context.now >= lost + stagger
        {
            self.start(false, context, out);
        }
    }

    /// VMs of the panel that cannot reach the leader, this one included.
    fn count_suspects(&self, context: &Context<'_>) -> usize {
        let fresh = |at: &time::Time| context.now.since(*at) <= context.silence_limit * 2;
        let peers = self.suspects.iter().filter(|(vm, (term, at))| {
            let counts = **vm != context.own.vm && context.voters.contains(vm);
            counts && *term == context.group.newest_term() && fresh(at)
        });
        peers.count() + usize::from(context.voters.contains(&context.own.vm))
    }

    fn is_leaving(&self, context: &Context<'_>, stagger: std_time::Duration) -> bool {
        let Some(ruling) = context.group.assignment() else {
            return false;
        };
        let Some(seen) = context.group.instances.get(&ruling.instance) else {
            return false;
        };
        let due = |since: time::Time| context.now.since(since) >= LEAVING_DELAY + stagger;
        let staying = context.group.instances.values().any(|seen| !seen.leaving);
        seen.leaving_since.is_some_and(due) && staying
    }

    /// Takes over a claim whose holder cannot use it any more.
    fn consider_claim(
        &mut self,
        claim: &leader::Claim,
        context: &Context<'_>,
        out: &mut Vec<Step>,
    ) {
        let seen = match self.claim_seen {
            Some((version, at)) if version == context.row_version => at,
            _ => {
                self.claim_seen = Some((context.row_version, context.now));
                context.now
            }
        };
        let holder = &claim.holder;
        let ended = context.view.members().any(|(_, entry)| {
            let newer = entry.incarnation > holder.incarnation;
            entry.vm.name == holder.vm && (newer || entry.released)
        });
        // A claim of this run that is no longer in progress was given up.
        let own = *holder == context.own;
        let age = context.now.since(seen);
        let stagger = STAGGER * u32::try_from(context.rank).unwrap_or(u32::MAX);
        if own || (ended && age >= stagger) || age >= TAKEOVER_AGE + stagger {
            self.start(claim.planned, context, out);
        }
    }

    fn start(&mut self, planned: bool, context: &Context<'_>, out: &mut Vec<Step>) {
        let row = context.leader.as_ref();
        let ruled = context
            .group
            .assignment()
            .map(|ruling| ruling.instance.clone());
        let told = context.view.self_styled(context.group.name()).cloned();
        let old = row.and_then(|row| row.instance.clone()).or(ruled).or(told);
        self.number += 1;
        let term = context
            .group
            .newest_term()
            .max(row.map(|row| row.term).unwrap_or_default());
        let leader = leader::Leader {
            instance: old.clone(),
            term,
            start: row.map(|row| row.start).unwrap_or_default(),
            claim: Some(leader::Claim {
                holder: context.own.clone(),
                number: self.number,
                planned,
            }),
        };
        out.push(Step::Note(Note::Claiming {
            planned,
            silent_ms: time::micros(context.group.silence(context.now)) / 1000,
            suspects: self.count_suspects(context),
        }));
        out.push(Step::Write(context.row_version, leader));
        self.attempt = Some(Attempt {
            number: self.number,
            planned,
            base: context.row_version,
            old,
            term,
            sent: context.now,
            token: None,
            polled: time::Time::default(),
            stage: Stage::Claiming,
        });
    }

    /// Moves an attempt on; none if it has ended.
    fn advance(
        &mut self,
        mut attempt: Attempt,
        context: &Context<'_>,
        out: &mut Vec<Step>,
    ) -> Option<Attempt> {
        let given_up = |out: &mut Vec<Step>, why| {
            out.push(Step::Note(Note::GivenUp { why }));
            None
        };
        let recorded = attempt
            .token
            .is_some_and(|token| context.row_version > token);
        if recorded && matches!(attempt.stage, Stage::Recording { .. }) {
            if let Some(old) = &attempt.old {
                out.push(Step::Demote(old.clone(), attempt.term.next()));
            }
            self.resume.start(&attempt, context);
            return None;
        }
        if recorded {
            return given_up(out, Reason::Overtaken);
        }
        if !context.is_eligible && !matches!(attempt.stage, Stage::Recording { .. }) {
            return given_up(out, Reason::Unusable);
        }
        if context.now.since(attempt.sent) >= CLAIM_LIFETIME
            && !matches!(
                attempt.stage,
                Stage::Confirming { .. } | Stage::Recording { .. }
            )
        {
            return given_up(out, Reason::Expired);
        }
        match std::mem::replace(&mut attempt.stage, Stage::Claiming) {
            Stage::Claiming => {
                let mine = context.leader.as_ref().and_then(|row| row.claim.as_ref());
                let mine = mine.is_some_and(|claim| {
                    claim.holder == context.own && claim.number == attempt.number
                });
                if mine {
                    attempt.token = Some(context.row_version);
                }
                let Some(token) = attempt.token else {
                    if context.row_version != attempt.base {
                        return given_up(out, Reason::Overtaken);
                    }
                    if context.now.since(attempt.sent) >= CLAIM_TIMEOUT {
                        return given_up(out, Reason::Unanswered);
                    }
                    return Some(attempt);
                };
                self.begin_closing(&mut attempt, token, context, out);
            }
            Stage::Closing {
                since,
                waiting,
                told,
            } => {
                attempt.stage = self.close_others(&attempt, since, waiting, told, context, out);
            }
            Stage::CatchingUp { since } => {
                attempt.stage = stage::catch_up(&mut attempt, since, context, out);
            }
            Stage::Holding { since, asked, held } => {
                attempt.stage = stage::hold(&attempt, since, asked, held, context, out);
            }
            Stage::Ordering { candidates, sent } => {
                attempt.stage = stage::order(&attempt, candidates, sent, context, out);
            }
            Stage::Confirming { candidates, since } => {
                attempt.stage = stage::confirm(&mut attempt, candidates, since, context, out);
            }
            Stage::Recording { leader, sent } => {
                let due = |at: time::Time| context.now.since(at) >= REPEAT_PAUSE;
                let write = sent.is_none_or(due);
                if write {
                    out.push(Step::Write(
                        attempt.token.unwrap_or_default(),
                        leader.clone(),
                    ));
                }
                let sent = if write { Some(context.now) } else { sent };
                attempt.stage = Stage::Recording { leader, sent };
            }
        }
        Some(attempt)
    }

    fn begin_closing(
        &mut self,
        attempt: &mut Attempt,
        token: u64,
        context: &Context<'_>,
        out: &mut Vec<Step>,
    ) {
        out.push(Step::Note(Note::Claimed {
            token,
            peers: context.peers.len(),
        }));
        let claim = message::Claim {
            group: context.group.name().clone(),
            token,
            planned: attempt.planned,
        };
        self.record_close_request(
            context.own.vm.clone(),
            &claim,
            attempt.old.clone(),
            context.now,
        );
        out.push(Step::StopUsing);
        self.close_here(context, out);
        attempt.stage = Stage::Closing {
            since: context.now,
            waiting: context.peers.iter().cloned().collect(),
            told: None,
        };
    }

    fn close_others(
        &mut self,
        attempt: &Attempt,
        since: time::Time,
        mut waiting: collections::BTreeSet<Name>,
        mut told: Option<time::Time>,
        context: &Context<'_>,
        out: &mut Vec<Step>,
    ) -> Stage {
        waiting.retain(|vm| context.peers.contains(vm));
        let waited = context.now.since(since);
        let own = self.closing.as_ref().is_none_or(|closing| closing.done);
        if waited >= context.lease + CLOSE_MARGIN || (own && waiting.is_empty()) {
            out.push(Step::Note(Note::Closed {
                waited_ms: time::micros(waited) / 1000,
                silent: waiting.len(),
            }));
            return if attempt.planned {
                Stage::CatchingUp { since: context.now }
            } else {
                stage::holding(context.now)
            };
        }
        if told.is_none_or(|at| context.now.since(at) >= CLOSE_PERIOD) {
            told = Some(context.now);
            let claim = message::Claim {
                group: context.group.name().clone(),
                token: attempt.token.unwrap_or_default(),
                planned: attempt.planned,
            };
            for vm in &waiting {
                out.push(Step::RequestClose(vm.clone(), claim.clone()));
            }
        }
        Stage::Closing {
            since,
            waiting,
            told,
        }
    }
}
