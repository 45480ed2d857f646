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
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{event, group, leader, message, position, time, view};

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
/// Time for a replica to reach the last position of a planned replacement.
const CATCH_UP_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_500);
/// Time for the replicas to confirm that they are held.
const HOLD_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(400);
/// Period of polls of an instance that something waits for.
const POLL_PERIOD: std_time::Duration = std_time::Duration::from_millis(40);
/// Time in which a promotion takes effect; the users state up to 1 s.
const PROMOTION_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_300);
/// Time for an instance to lead after the order.
const LEAD_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(2_500);
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

/// What happened in a replacement, and why.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum Note {
    /// This VM asked for the claim.
    #[display("claiming: {}, silent for {silent_ms} ms, {suspects} VMs agree", if *planned { "it is leaving" } else { "it is lost" })]
    Claiming {
        /// The leader is leaving.
        planned: bool,
        /// Time without an answer of the leader, in ms.
        silent_ms: u64,
        /// VMs that suspect it, this one included.
        suspects: usize,
    },
    /// The claim stands.
    #[display("claimed with token {token}, {peers} VMs to close")]
    Claimed {
        /// Fencing token.
        token: u64,
        /// VMs that must stop using the leader.
        peers: usize,
    },
    /// No VM uses the old leader any more.
    #[display("closed after {waited_ms} ms, {silent} VMs waited out")]
    Closed {
        /// Time since the claim, in ms.
        waited_ms: u64,
        /// VMs that did not answer.
        silent: usize,
    },
    /// An instance was chosen.
    #[display("ordering promotion of {instance} at {floor} with token {token}")]
    Ordering {
        /// Instance.
        instance: Name,
        /// Its position.
        floor: position::Floor,
        /// Fencing token.
        token: u64,
    },
    /// The platform refused an order.
    #[display("promotion of {instance} rejected")]
    Rejected {
        /// Instance.
        instance: Name,
    },
    /// The new leader answers as primary.
    #[display("{instance} leads term {term} from {start}, {took_ms} ms after the claim")]
    Leads {
        /// Instance.
        instance: Name,
        /// Its term.
        term: position::Term,
        /// Position at which the term began.
        start: position::Floor,
        /// Time since the claim was sent, in ms.
        took_ms: u64,
    },
    /// The replacement was given up here.
    #[display("given up: {why}")]
    GivenUp {
        /// Reason.
        why: Reason,
    },
}

/// Why a replacement was given up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// Another VM was faster.
    #[display("another VM has changed the row")]
    Overtaken,
    /// The store did not answer.
    #[display("the store does not answer")]
    Unanswered,
    /// The claim is too old to be used.
    #[display("the claim has expired")]
    Expired,
    /// This VM no longer stands in the list, or is stopping.
    #[display("this VM may not replace leaders now")]
    Unusable,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Tell peers that the leader does not answer.
    Suspect,
    /// Write the group's row over the version.
    Write(u64, leader::Leader),
    /// Ask a VM to stop using the leader.
    Close(Name, message::Claim),
    /// Tell a VM that the leader is no longer used here.
    Closed(Name, message::Claim),
    /// The leader must not be used here from now on.
    Stop,
    /// Break the connections to an instance.
    Sever(Name),
    /// Ask an instance for its status.
    Poll(Name),
    /// Ask a replica to stop receiving.
    Hold(Name, position::Term),
    /// Ask an instance to step down below the term.
    Depose(Name, position::Term),
    /// Order a promotion.
    Order(event::Order),
    /// Record what happened.
    Note(Note),
}

/// What a decision is made from.
pub struct Facts<'a> {
    /// Now.
    pub now: time::Time,
    /// This VM and run.
    pub own: event::Member,
    /// VMs that go before this one.
    pub rank: usize,
    /// VMs in the list, this one included.
    pub members: usize,
    /// VMs that may use the leader.
    pub peers: Vec<Name>,
    /// This VM stands in a list that is fresh, and goes on.
    pub usable: bool,
    /// Version of the group's row; 0 if there is none.
    pub version: u64,
    /// The group's row.
    pub leader: Option<leader::Leader>,
    /// Requests that still run at a leader that is being closed.
    pub busy: usize,
    /// Validity of a view.
    pub lease: std_time::Duration,
    /// Silence that counts as loss.
    pub suspect: std_time::Duration,
    /// The group.
    pub group: &'a group::Group,
    /// Region of this VM.
    pub region: &'a Name,
    /// Region of each failure domain.
    pub domains: &'a collections::BTreeMap<Name, Name>,
    /// View of the store.
    pub view: &'a view::View,
}

#[derive(Debug)]
enum Stage {
    Claiming,
    Closing {
        since: time::Time,
        waiting: collections::BTreeSet<Name>,
        told: Option<time::Time>,
    },
    CatchingUp {
        since: time::Time,
    },
    Holding {
        since: time::Time,
        asked: bool,
        held: collections::BTreeMap<Name, position::Floor>,
    },
    Ordering {
        candidates: collections::VecDeque<(Name, position::Floor)>,
        sent: Option<time::Time>,
    },
    Confirming {
        candidates: collections::VecDeque<(Name, position::Floor)>,
        since: time::Time,
    },
    Recording {
        leader: leader::Leader,
        sent: Option<time::Time>,
    },
}

/// A replacement by this VM.
#[derive(Debug)]
struct Attempt {
    number: u64,
    planned: bool,
    base: u64,
    old: Option<Name>,
    term: position::Term,
    sent: time::Time,
    token: Option<u64>,
    polled: time::Time,
    stage: Stage,
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
}

impl Handover {
    /// Highest token of a claim that is known here.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Whether nothing is under way here.
    pub fn is_idle(&self) -> bool {
        self.attempt.is_none() && self.closing.as_ref().is_none_or(|closing| closing.done)
    }

    /// Leader whose last requests are waited for.
    pub fn leaving_leader(&self) -> Option<&Name> {
        let closing = self.closing.as_ref().filter(|closing| !closing.done)?;
        closing.leader.as_ref()
    }

    /// A peer cannot reach the leader either.
    pub fn suspected(&mut self, vm: Name, term: position::Term, now: time::Time) {
        self.suspects.insert(vm, (term, now));
    }

    /// A VM asks to stop using the leader.
    pub fn asked_to_close(
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
    pub fn closed_by(&mut self, vm: &Name, token: u64) {
        let Some(attempt) = self.attempt.as_mut().filter(|a| a.token == Some(token)) else {
            return;
        };
        if let Stage::Closing { waiting, .. } = &mut attempt.stage {
            waiting.remove(vm);
        }
    }

    /// A replica answered to a hold.
    pub fn held(&mut self, fence: &event::Fence) {
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
    pub fn stored(&mut self, stored: event::Stored, now: time::Time) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        match (&mut attempt.stage, stored) {
            (Stage::Claiming, event::Stored::Written(version)) => attempt.token = Some(version),
            // The row tells whether the write took effect.
            (Stage::Recording { sent, .. }, event::Stored::Unknown) => *sent = Some(now),
            _ => {}
        }
    }

    /// The platform answered an order.
    pub fn ordered(&mut self, ordered: event::Ordered, now: time::Time) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        let Stage::Ordering { candidates, sent } = &mut attempt.stage else {
            return;
        };
        match ordered {
            event::Ordered::Accepted => {
                attempt.stage = Stage::Confirming {
                    candidates: std::mem::take(candidates),
                    since: now,
                };
            }
            event::Ordered::Rejected => {
                candidates.pop_front();
                *sent = None;
            }
            event::Ordered::Unknown => *sent = Some(now),
        }
    }

    /// Decides on the next steps.
    pub fn step(&mut self, facts: &Facts<'_>) -> Vec<Step> {
        let mut out = Vec::new();
        self.close_here(facts, &mut out);
        match self.attempt.take() {
            Some(attempt) => self.attempt = self.advance(attempt, facts, &mut out),
            None => self.consider(facts, &mut out),
        }
        out
    }

    /// Ends the use of the old leader by this VM.
    fn close_here(&mut self, facts: &Facts<'_>, out: &mut Vec<Step>) {
        let Some(closing) = self.closing.as_mut().filter(|closing| !closing.done) else {
            return;
        };
        let over = facts.now.since(closing.since) >= DRAIN_TIMEOUT;
        if closing.claim.planned && facts.busy > 0 && !over {
            return;
        }
        if let Some(leader) = closing.leader.take_if(|_| !closing.claim.planned || over) {
            out.push(Step::Sever(leader));
        }
        closing.done = true;
        if closing.from != facts.own.vm {
            out.push(Step::Closed(closing.from.clone(), closing.claim.clone()));
        }
    }

    /// Decides whether this VM replaces the leader.
    fn consider(&mut self, facts: &Facts<'_>, out: &mut Vec<Step>) {
        if !facts.usable {
            return;
        }
        let claim = facts.leader.as_ref().and_then(|row| row.claim.as_ref());
        if let Some(claim) = claim {
            return self.consider_claim(&claim.clone(), facts, out);
        }
        self.claim_seen = None;
        let stagger = STAGGER * u32::try_from(facts.rank).unwrap_or(u32::MAX);
        if self.is_leaving(facts, stagger) {
            return self.start(true, facts, out);
        }
        let patience = match facts.group.ruling() {
            Some(_) => facts.suspect,
            None => facts.suspect + LEADERLESS_PATIENCE,
        };
        if facts.group.silence(facts.now) < patience {
            self.lost = None;
            return;
        }
        let lost = *self.lost.get_or_insert(facts.now);
        let due = |told: time::Time| facts.now.since(told) >= facts.suspect / TELL_PARTS;
        if self.told.is_none_or(due) {
            self.told = Some(facts.now);
            out.push(Step::Suspect);
        }
        if self.count_suspects(facts) * 2 > facts.members && facts.now >= lost + stagger {
            self.start(false, facts, out);
        }
    }

    /// VMs that cannot reach the leader, this one included.
    fn count_suspects(&self, facts: &Facts<'_>) -> usize {
        let fresh = |at: &time::Time| facts.now.since(*at) <= facts.suspect * 2;
        let peers = self.suspects.iter().filter(|(vm, (term, at))| {
            **vm != facts.own.vm && *term == facts.group.newest() && fresh(at)
        });
        peers.count() + 1
    }

    fn is_leaving(&self, facts: &Facts<'_>, stagger: std_time::Duration) -> bool {
        let Some(ruling) = facts.group.ruling() else {
            return false;
        };
        let Some(seen) = facts.group.instances.get(&ruling.instance) else {
            return false;
        };
        let due = |since: time::Time| facts.now.since(since) >= LEAVING_DELAY + stagger;
        let staying = facts.group.instances.values().any(|seen| !seen.leaving);
        seen.leaving_since.is_some_and(due) && staying
    }

    /// Takes over a claim whose holder cannot use it any more.
    fn consider_claim(&mut self, claim: &leader::Claim, facts: &Facts<'_>, out: &mut Vec<Step>) {
        let seen = match self.claim_seen {
            Some((version, at)) if version == facts.version => at,
            _ => {
                self.claim_seen = Some((facts.version, facts.now));
                facts.now
            }
        };
        let holder = &claim.holder;
        let ended = facts.view.members().any(|(_, entry)| {
            let newer = entry.incarnation > holder.incarnation;
            entry.vm.name == holder.vm && (newer || entry.released)
        });
        // A claim of this run that is no longer in progress was given up.
        let own = *holder == facts.own;
        let age = facts.now.since(seen);
        let stagger = STAGGER * u32::try_from(facts.rank).unwrap_or(u32::MAX);
        if own || (ended && age >= stagger) || age >= TAKEOVER_AGE + stagger {
            self.start(claim.planned, facts, out);
        }
    }

    fn start(&mut self, planned: bool, facts: &Facts<'_>, out: &mut Vec<Step>) {
        let row = facts.leader.as_ref();
        let ruled = facts.group.ruling().map(|ruling| ruling.instance.clone());
        let told = facts.view.self_styled(facts.group.name()).cloned();
        let old = row.and_then(|row| row.instance.clone()).or(ruled).or(told);
        self.number += 1;
        let term = facts
            .group
            .newest()
            .max(row.map(|row| row.term).unwrap_or_default());
        let leader = leader::Leader {
            instance: old.clone(),
            term,
            start: row.map(|row| row.start).unwrap_or_default(),
            claim: Some(leader::Claim {
                holder: facts.own.clone(),
                number: self.number,
                planned,
            }),
        };
        out.push(Step::Note(Note::Claiming {
            planned,
            silent_ms: time::micros(facts.group.silence(facts.now)) / 1000,
            suspects: self.count_suspects(facts),
        }));
        out.push(Step::Write(facts.version, leader));
        self.attempt = Some(Attempt {
            number: self.number,
            planned,
            base: facts.version,
            old,
            term,
            sent: facts.now,
            token: None,
            polled: time::Time::default(),
            stage: Stage::Claiming,
        });
    }

    /// Moves an attempt on; none if it has ended.
    fn advance(
        &mut self,
        mut attempt: Attempt,
        facts: &Facts<'_>,
        out: &mut Vec<Step>,
    ) -> Option<Attempt> {
        let given_up = |out: &mut Vec<Step>, why| {
            out.push(Step::Note(Note::GivenUp { why }));
            None
        };
        let recorded = attempt.token.is_some_and(|token| facts.version > token);
        if recorded && matches!(attempt.stage, Stage::Recording { .. }) {
            if let Some(old) = &attempt.old {
                out.push(Step::Depose(old.clone(), attempt.term.next()));
            }
            return None;
        }
        if recorded {
            return given_up(out, Reason::Overtaken);
        }
        if !facts.usable && !matches!(attempt.stage, Stage::Recording { .. }) {
            return given_up(out, Reason::Unusable);
        }
        if facts.now.since(attempt.sent) >= CLAIM_LIFETIME
            && !matches!(
                attempt.stage,
                Stage::Confirming { .. } | Stage::Recording { .. }
            )
        {
            return given_up(out, Reason::Expired);
        }
        match std::mem::replace(&mut attempt.stage, Stage::Claiming) {
            Stage::Claiming => {
                let mine = facts.leader.as_ref().and_then(|row| row.claim.as_ref());
                let mine = mine.is_some_and(|claim| {
                    claim.holder == facts.own && claim.number == attempt.number
                });
                if mine {
                    attempt.token = Some(facts.version);
                }
                let Some(token) = attempt.token else {
                    if facts.version != attempt.base {
                        return given_up(out, Reason::Overtaken);
                    }
                    if facts.now.since(attempt.sent) >= CLAIM_TIMEOUT {
                        return given_up(out, Reason::Unanswered);
                    }
                    return Some(attempt);
                };
                self.begin_closing(&mut attempt, token, facts, out);
            }
            Stage::Closing {
                since,
                waiting,
                told,
            } => {
                attempt.stage = self.close_others(&attempt, since, waiting, told, facts, out);
            }
            Stage::CatchingUp { since } => {
                attempt.stage = catch_up(&mut attempt, since, facts, out);
            }
            Stage::Holding { since, asked, held } => {
                attempt.stage = hold(&attempt, since, asked, held, facts, out);
            }
            Stage::Ordering { candidates, sent } => {
                attempt.stage = order(&attempt, candidates, sent, facts, out);
            }
            Stage::Confirming { candidates, since } => {
                attempt.stage = confirm(&mut attempt, candidates, since, facts, out);
            }
            Stage::Recording { leader, sent } => {
                let due = |at: time::Time| facts.now.since(at) >= REPEAT_PAUSE;
                let write = sent.is_none_or(due);
                if write {
                    out.push(Step::Write(
                        attempt.token.unwrap_or_default(),
                        leader.clone(),
                    ));
                }
                let sent = if write { Some(facts.now) } else { sent };
                attempt.stage = Stage::Recording { leader, sent };
            }
        }
        Some(attempt)
    }

    fn begin_closing(
        &mut self,
        attempt: &mut Attempt,
        token: u64,
        facts: &Facts<'_>,
        out: &mut Vec<Step>,
    ) {
        out.push(Step::Note(Note::Claimed {
            token,
            peers: facts.peers.len(),
        }));
        let claim = message::Claim {
            group: facts.group.name().clone(),
            token,
            planned: attempt.planned,
        };
        self.asked_to_close(facts.own.vm.clone(), &claim, attempt.old.clone(), facts.now);
        out.push(Step::Stop);
        self.close_here(facts, out);
        attempt.stage = Stage::Closing {
            since: facts.now,
            waiting: facts.peers.iter().cloned().collect(),
            told: None,
        };
    }

    fn close_others(
        &mut self,
        attempt: &Attempt,
        since: time::Time,
        mut waiting: collections::BTreeSet<Name>,
        mut told: Option<time::Time>,
        facts: &Facts<'_>,
        out: &mut Vec<Step>,
    ) -> Stage {
        waiting.retain(|vm| facts.peers.contains(vm));
        let waited = facts.now.since(since);
        let own = self.closing.as_ref().is_none_or(|closing| closing.done);
        if waited >= facts.lease + CLOSE_MARGIN || (own && waiting.is_empty()) {
            out.push(Step::Note(Note::Closed {
                waited_ms: time::micros(waited) / 1000,
                silent: waiting.len(),
            }));
            return if attempt.planned {
                Stage::CatchingUp { since: facts.now }
            } else {
                holding(facts.now)
            };
        }
        if told.is_none_or(|at| facts.now.since(at) >= CLOSE_PERIOD) {
            told = Some(facts.now);
            let claim = message::Claim {
                group: facts.group.name().clone(),
                token: attempt.token.unwrap_or_default(),
                planned: attempt.planned,
            };
            for vm in &waiting {
                out.push(Step::Close(vm.clone(), claim.clone()));
            }
        }
        Stage::Closing {
            since,
            waiting,
            told,
        }
    }
}

fn holding(now: time::Time) -> Stage {
    Stage::Holding {
        since: now,
        asked: false,
        held: collections::BTreeMap::new(),
    }
}

/// Status of an instance from a poll sent since `since`.
fn status(facts: &Facts<'_>, instance: &Name, since: time::Time) -> Option<position::Status> {
    let seen = facts.group.instances.get(instance)?;
    let (sent, status) = seen.status?;
    (sent >= since).then_some(status)
}

fn poll_all(attempt: &mut Attempt, facts: &Facts<'_>, names: Vec<Name>, out: &mut Vec<Step>) {
    if facts.now.since(attempt.polled) >= POLL_PERIOD {
        attempt.polled = facts.now;
        out.extend(names.into_iter().map(Step::Poll));
    }
}

/// Waits until a replica holds everything that the old leader has committed.
fn catch_up(
    attempt: &mut Attempt,
    since: time::Time,
    facts: &Facts<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let target = attempt
        .old
        .as_ref()
        .and_then(|old| status(facts, old, since))
        .map(|status| status.received);
    let mut ready = collections::VecDeque::new();
    for (name, seen) in &facts.group.instances {
        let old = attempt.old.as_ref() == Some(name);
        let Some(status) = status(facts, name, since).filter(|_| !old && !seen.leaving) else {
            continue;
        };
        if target.is_some_and(|target| status.received >= target) {
            let floor = position::Floor {
                term: status.term,
                lsn: status.received,
            };
            ready.push_back((name.clone(), floor));
        }
    }
    if !ready.is_empty() {
        if let Some(old) = &attempt.old {
            out.push(Step::Depose(old.clone(), attempt.term.next()));
        }
        return Stage::Ordering {
            candidates: rank(ready.into_iter().collect(), facts),
            sent: None,
        };
    }
    if facts.now.since(since) >= CATCH_UP_TIMEOUT {
        return holding(facts.now);
    }
    let names = facts.group.instances.keys().cloned().collect();
    poll_all(attempt, facts, names, out);
    Stage::CatchingUp { since }
}

/// Holds the replicas, so that their positions cannot change any more.
fn hold(
    attempt: &Attempt,
    since: time::Time,
    asked: bool,
    held: collections::BTreeMap<Name, position::Floor>,
    facts: &Facts<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let names = facts.group.instances.keys();
    let replicas: Vec<_> = names
        .filter(|name| attempt.old.as_ref() != Some(*name))
        .collect();
    if !asked {
        let term = attempt.term.next();
        for name in &replicas {
            out.push(Step::Hold((*name).clone(), term));
        }
        if let Some(old) = &attempt.old {
            out.push(Step::Depose(old.clone(), term));
        }
    }
    let complete = !replicas.is_empty() && held.len() >= replicas.len();
    let late = facts.now.since(since) >= HOLD_TIMEOUT;
    if complete || (late && !held.is_empty()) {
        return Stage::Ordering {
            candidates: rank(held.into_iter().collect(), facts),
            sent: None,
        };
    }
    if late {
        return holding(facts.now);
    }
    Stage::Holding {
        since,
        asked: true,
        held,
    }
}

/// Candidates by position; of equal ones those that stay and are near go first.
fn rank(
    mut held: Vec<(Name, position::Floor)>,
    facts: &Facts<'_>,
) -> collections::VecDeque<(Name, position::Floor)> {
    held.sort_by_key(|(name, floor)| {
        let leaving = facts
            .group
            .instances
            .get(name)
            .is_none_or(|seen| seen.leaving);
        let domain = facts.view.instance(name).map(|entry| &entry.domain);
        let near = domain.and_then(|domain| facts.domains.get(domain)) == Some(facts.region);
        (std::cmp::Reverse(*floor), leaving, !near)
    });
    held.into()
}

fn order(
    attempt: &Attempt,
    candidates: collections::VecDeque<(Name, position::Floor)>,
    sent: Option<time::Time>,
    facts: &Facts<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let Some((instance, floor)) = candidates.front() else {
        return holding(facts.now);
    };
    if sent.is_some_and(|at| facts.now.since(at) < REPEAT_PAUSE) {
        return Stage::Ordering { candidates, sent };
    }
    let token = attempt.token.unwrap_or_default();
    out.push(Step::Note(Note::Ordering {
        instance: instance.clone(),
        floor: *floor,
        token,
    }));
    out.push(Step::Order(event::Order {
        group: facts.group.name().clone(),
        instance: instance.clone(),
        token,
        until: attempt.sent + CLAIM_LIFETIME,
    }));
    // Repeated only after the answer, or the time limit of the call.
    Stage::Ordering {
        candidates,
        sent: Some(facts.now + CLAIM_LIFETIME),
    }
}

/// Waits until the chosen instance says that it leads.
fn confirm(
    attempt: &mut Attempt,
    candidates: collections::VecDeque<(Name, position::Floor)>,
    since: time::Time,
    facts: &Facts<'_>,
    out: &mut Vec<Step>,
) -> Stage {
    let Some((instance, start)) = candidates.front().cloned() else {
        return holding(facts.now);
    };
    // An order for the present primary changes nothing.
    let present = facts.now.since(since) >= PROMOTION_LIMIT;
    let leads = status(facts, &instance, since).filter(|status| {
        let newer = status.term > attempt.term || (present && status.term == attempt.term);
        status.role == position::Role::Primary && newer
    });
    if let Some(status) = leads {
        out.push(Step::Note(Note::Leads {
            instance: instance.clone(),
            term: status.term,
            start,
            took_ms: time::micros(facts.now.since(attempt.sent)) / 1000,
        }));
        let leader = leader::Leader {
            instance: Some(instance),
            term: status.term,
            start,
            claim: None,
        };
        out.push(Step::Write(
            attempt.token.unwrap_or_default(),
            leader.clone(),
        ));
        return Stage::Recording {
            leader,
            sent: Some(facts.now),
        };
    }
    if facts.now.since(since) >= LEAD_TIMEOUT {
        return Stage::Ordering {
            candidates,
            sent: None,
        };
    }
    poll_all(attempt, facts, vec![instance], out);
    Stage::Confirming { candidates, since }
}
