//! Replacement of the leader of a group if the platform's store arbitrates.
//!
//! A VM claims the group's row by compare-and-set. The version of the row after
//! the claim is the fencing token. Every listed VM then stops using the old
//! leader and reports that it has stopped. If a VM stays silent, the claiming VM
//! waits until the silent VM's view of the store has expired, so that the silent
//! VM can no longer use the old leader. Only then does the claiming VM pause
//! replication on the replicas, promote the replica with the highest position
//! and record that replica in the row. A claim may be used for `CLAIM_LIFETIME` after it
//! was sent. Another VM takes over the claim only after a longer time, or
//! immediately if the daemon run that holds the claim has ended.

use std::{collections, time as std_time};

use config::Name;

use crate::{event, group, leader, message, position, time, version, view};

mod acknowledged;
mod note;
mod proof;
mod resume;
mod stage;
mod synchronous;

pub use note::{Note, Reason};
use resume::Resume;
use stage::{Attempt, PauseRequest, Stage};

/// Time after sending for which a claim may be used. It covers the wait for a
/// silent VM, the pause of the replicas and one promotion order.
const CLAIM_LIFETIME: std_time::Duration = std_time::Duration::from_millis(6_500);
/// Time limit of an order, with time for it to arrive.
const ORDER_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_200);
/// Age at which another VM takes over a claim: the lifetime of the claim, plus
/// the time limit of an order that was sent at the end of that lifetime.
const TAKEOVER_AGE: std_time::Duration = CLAIM_LIFETIME.saturating_add(ORDER_TIMEOUT);
/// Time beyond the lease for bytes that a silent VM has already sent to arrive.
const CLOSE_MARGIN: std_time::Duration = std_time::Duration::from_millis(300);
/// Period at which VMs that have not closed are asked again.
const CLOSE_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);
/// Time limit for the last transactions at a leader in a planned replacement.
const DRAIN_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_000);
/// Delay before an unanswered order or write is repeated.
const RETRY_DELAY: std_time::Duration = std_time::Duration::from_millis(200);
/// Time limit for the store to answer a claim.
const CLAIM_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(2_000);
/// Delay per VM that precedes this one in the claim order.
const RANK_DELAY: std_time::Duration = std_time::Duration::from_millis(200);
/// Time for which a leader must have been leaving before it is replaced.
const LEAVING_DELAY: std_time::Duration = std_time::Duration::from_millis(200);
/// Delay after a claim has ended before a leader in an evacuated failure domain is
/// claimed again.
const EVACUATION_RETRY: std_time::Duration = std_time::Duration::from_millis(1_000);
/// Additional silence required before a group without an assigned leader gets
/// one.
const LEADERLESS_DELAY: std_time::Duration = std_time::Duration::from_millis(2_000);
/// Number of times that a suspicion is sent within the silence limit.
const SUSPICION_REPEATS: u32 = 3;

/// Action that the daemon takes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Tell peers that the leader does not answer.
    Suspect,
    /// Write the group's row if the row still has this version.
    Write(u64, leader::Leader),
    /// Ask a VM to stop using the leader.
    RequestClose(Name, message::Claim),
    /// Tell a VM that this daemon no longer uses the leader.
    ReportClosed(Name, message::Claim),
    /// Stop using the leader on this daemon.
    StopUsing,
    /// Break the connections in use to an instance.
    BreakConnections(Name),
    /// Ask an instance for its status.
    Poll(Name),
    /// Ask a replica to stop receiving the log, and fence it at the term; not from the
    /// given time on.
    PauseReplication(Name, position::Term, time::Time),
    /// Ask an instance to stop being primary for any term below this one; not from the
    /// given time on.
    Demote(Name, position::Term, time::Time),
    /// Ask an instance to receive the log again; not from the given time on.
    ResumeReplication(Name, time::Time),
    /// Order the platform to promote an instance.
    OrderPromotion(event::PromotionOrder),
    /// Record a note in the journal.
    Note(Note),
}

/// Inputs of a decision.
pub struct Context<'a> {
    /// Current time.
    pub now: time::Time,
    /// This VM and the incarnation of its daemon.
    pub own: event::MemberId,
    /// Number of voters that precede this VM in the claim order.
    pub rank: usize,
    /// VMs that vote on the loss of the leader, in the order in which they
    /// claim.
    pub voters: Vec<Name>,
    /// VMs that may use the leader.
    pub peers: Vec<Name>,
    /// Whether this VM is in a current member list and is not stopping.
    pub is_eligible: bool,
    /// Version of the group's row as known to this VM; 0 if the row does not exist.
    pub row_version: u64,
    /// Version of the store up to which this VM knows the rows.
    pub rows_version: u64,
    /// Highest position that this VM has acknowledged to callers.
    pub acknowledged: position::Position,
    /// Time from which on every process that may acknowledge commits has been listed.
    pub users_known: Option<time::Time>,
    /// Whether all live instances have had the time to register since the store was last out
    /// of reach.
    pub has_all_entries: bool,
    /// Version that the store has of the row. It is older than the known one if the
    /// store came back from an older copy.
    pub stored_version: u64,
    /// Era of the store.
    pub era: u64,
    /// The group's row.
    pub leader: Option<leader::Leader>,
    /// Whether the row, or its absence, proves who leads.
    pub is_proven: bool,
    /// Number of requests that still run at the leader that is being closed.
    pub running: usize,
    /// When the store was first seen to have come back from an older copy.
    pub restored_at: Option<time::Time>,
    /// Time for which a view of the store is valid.
    pub lease: std_time::Duration,
    /// Time without a read of the store after which a VM replaces no leader.
    pub refusal_timeout: std_time::Duration,
    /// Silence after which the leader counts as lost.
    pub silence_limit: std_time::Duration,
    /// State of the group.
    pub group: &'a group::Group,
    /// Region of this VM.
    pub region: &'a Name,
    /// Region of each failure domain.
    pub regions: &'a collections::BTreeMap<Name, Name>,
    /// View of the store.
    pub view: &'a view::View,
}

/// Closing of the old leader on this daemon.
#[derive(Debug)]
struct Closing {
    requester: Name,
    claim: message::Claim,
    leader: Option<Name>,
    since: time::Time,
    is_done: bool,
}

/// Suspicions and replacements of one group.
#[derive(Debug, Default)]
pub struct Handover {
    suspects: collections::BTreeMap<Name, (position::Term, time::Time)>,
    last_report: Option<time::Time>,
    lost_since: Option<time::Time>,
    token: u64,
    closing: Option<Closing>,
    claim_seen: Option<(leader::Claim, time::Time)>,
    /// When a claim was last seen to have ended.
    claim_ended: Option<time::Time>,
    last_number: u64,
    /// When this VM sent its last claim that the store accepted, if nobody has changed
    /// the row since.
    claimed_at: Option<time::Time>,
    /// Restore of the store to which `orders_until` refers.
    restored_at: Option<time::Time>,
    /// Time until which a silent VM may order promotions by a claim that the store has
    /// lost.
    orders_until: time::Time,
    attempt: Option<Attempt>,
    proof: proof::Proof,
    resume: Resume,
}

impl Handover {
    /// Highest token of a claim that this daemon knows.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// Whether this daemon has no replacement, closing or resumption in
    /// progress.
    pub fn is_idle(&self) -> bool {
        let closed = self.closing.as_ref().is_none_or(|closing| closing.is_done);
        self.attempt.is_none() && closed && self.resume.is_done()
    }

    /// Records whether an instance answered the request to receive the log
    /// again.
    pub fn record_resumed(&mut self, instance: &Name, is_done: bool) {
        self.resume.record_answer(instance, is_done);
    }

    /// Leader whose last requests this daemon waits for.
    pub fn closing_leader(&self) -> Option<&Name> {
        let closing = self.closing.as_ref().filter(|closing| !closing.is_done)?;
        closing.leader.as_ref()
    }

    /// Records that a peer cannot reach the leader.
    pub fn record_suspicion(&mut self, vm: Name, term: position::Term, now: time::Time) {
        self.suspects.insert(vm, (term, now));
    }

    /// Records the request of a VM to stop using the leader.
    pub fn record_close_request(
        &mut self,
        requester: Name,
        claim: &message::Claim,
        leader: Option<Name>,
        now: time::Time,
    ) {
        let known = self.closing.as_ref().map(|closing| closing.claim.token);
        if known == Some(claim.token) {
            if let Some(closing) = &mut self.closing {
                // A repeated request means that the answer was lost; answer
                // again.
                closing.is_done = false;
            }
            return;
        }
        if claim.token <= self.token {
            return;
        }
        self.token = claim.token;
        self.claimed_at = None;
        self.closing = Some(Closing {
            requester,
            claim: claim.clone(),
            leader,
            since: now,
            is_done: false,
        });
    }

    /// Records that a VM no longer uses the leader.
    pub fn record_closed(&mut self, vm: &Name, closed: &message::Closed) {
        let is_asked = |attempt: &&mut Attempt| attempt.close_token == Some(closed.claim.token);
        let Some(attempt) = self.attempt.as_mut().filter(is_asked) else {
            return;
        };
        attempt.closed.insert(vm.clone(), closed.acknowledged);
        if let Stage::Closing { waiting, .. } = &mut attempt.stage {
            waiting.remove(vm);
        }
    }

    /// Records the answer of a replica to the request to pause replication. A replica that
    /// did not confirm is asked again.
    pub fn record_paused(&mut self, fence: &event::TermReply, now: time::Time) {
        let Some(Attempt {
            stage: Stage::Pausing {
                requests, paused, ..
            },
            term,
            ..
        }) = &mut self.attempt
        else {
            return;
        };
        if fence.term != term.next() {
            return;
        }
        if let Some(status) = fence.status.filter(|_| fence.accepted) {
            let position = position::Position {
                term: status.term,
                lsn: status.received,
            };
            paused.insert(fence.instance.clone(), position);
        } else if let Some(request) = requests.get_mut(&fence.instance) {
            *request = PauseRequest::Failed(now);
        }
    }

    /// Records the store's answer to a write of the group's row.
    pub fn record_write(&mut self, stored: event::StoreOutcome, now: time::Time) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        match (&mut attempt.stage, stored) {
            (Stage::Claiming, event::StoreOutcome::Written(version)) => {
                attempt.token = Some(version)
            }
            // The position up to which commits are acknowledged was added to the claim.
            (Stage::Pausing { .. }, event::StoreOutcome::Written(version)) => {
                attempt.token = attempt.token.max(Some(version));
            }
            // The next version of the row shows whether the write took effect.
            (Stage::Recording { sent, .. }, event::StoreOutcome::Unknown) => *sent = Some(now),
            _ => {}
        }
    }

    /// Records the platform's answer to a promotion order.
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
            event::OrderOutcome::Unknown | event::OrderOutcome::Expired => *sent = Some(now),
        }
    }

    /// Returns the next steps.
    pub fn step(&mut self, context: &Context<'_>) -> Vec<Step> {
        let mut out = Vec::new();
        self.record_restore(context);
        self.close_locally(context, &mut out);
        self.resume.step(context, &mut out);
        match self.attempt.take() {
            Some(attempt) => self.attempt = self.advance(attempt, context, &mut out),
            None => self.maybe_claim(context, &mut out),
        }
        out
    }

    /// Records that the store has come back from an older copy, in which claims are
    /// missing. If this VM held the last claim, no other VM holds a missing one.
    fn record_restore(&mut self, context: &Context<'_>) {
        if self.restored_at == context.restored_at {
            return;
        }
        self.restored_at = context.restored_at;
        let holds = |at: time::Time| self.claimed_at.is_some_and(|sent| at < sent + TAKEOVER_AGE);
        if let Some(at) = self.restored_at.filter(|at| !holds(*at)) {
            self.orders_until = at + context.refusal_timeout + ORDER_TIMEOUT;
        }
    }

    /// Whether a later claim than that of the attempt is known.
    fn is_overtaken(&self, attempt: &Attempt) -> bool {
        attempt.token.is_some_and(|token| token < self.token)
    }

    /// Stops the use of the old leader on this VM. An order of an earlier claim has to be
    /// answered first.
    fn close_locally(&mut self, context: &Context<'_>, out: &mut Vec<Step>) {
        let is_ordering =
            |attempt: &Attempt| self.is_overtaken(attempt) && attempt.awaits_order(context.now);
        if self.attempt.as_ref().is_some_and(is_ordering) {
            return;
        }
        let Some(closing) = self.closing.as_mut().filter(|closing| !closing.is_done) else {
            return;
        };
        let is_overdue = context.now.since(closing.since) >= DRAIN_TIMEOUT;
        if closing.claim.planned && context.running > 0 && !is_overdue {
            return;
        }
        if let Some(leader) = closing
            .leader
            .take_if(|_| !closing.claim.planned || is_overdue)
        {
            out.push(Step::BreakConnections(leader));
        }
        closing.is_done = true;
        if closing.requester != context.own.vm {
            out.push(Step::ReportClosed(
                closing.requester.clone(),
                closing.claim.clone(),
            ));
        }
    }

    /// Claims the group's row if the leader is lost, leaving or evacuated and it is this
    /// VM's turn.
    fn maybe_claim(&mut self, context: &Context<'_>, out: &mut Vec<Step>) {
        if !context.is_eligible {
            return;
        }
        let claim = context.leader.as_ref().and_then(|row| row.claim.as_ref());
        if let Some(claim) = claim {
            return self.maybe_take_over(&claim.clone(), context, out);
        }
        if self.claim_seen.take().is_some() {
            self.claim_ended = Some(context.now);
        }
        let rank_delay = RANK_DELAY * u32::try_from(context.rank).unwrap_or(u32::MAX);
        self.proof.step(context, rank_delay, out);
        if self.is_leader_leaving(context, rank_delay) {
            return self.claim_row(true, context, out);
        }
        let silence_limit = match context.group.assignment() {
            Some(_) => context.silence_limit,
            None if self.has_lost_claim(context) => context.silence_limit,
            None => context.silence_limit + LEADERLESS_DELAY,
        };
        if context.group.silence(context.now) < silence_limit {
            self.lost_since = None;
            return;
        }
        let lost_since = *self.lost_since.get_or_insert(context.now);
        let is_due =
            |last: time::Time| context.now.since(last) >= context.silence_limit / SUSPICION_REPEATS;
        if self.last_report.is_none_or(is_due) {
            self.last_report = Some(context.now);
            out.push(Step::Suspect);
        }
        if self.count_suspects(context) * 2 > context.voters.len()
            && context.now >= lost_since + rank_delay
        {
            self.claim_row(false, context, out);
        }
    }

    /// Whether the store has lost the claim for which this VM has stopped using the leader.
    fn has_lost_claim(&self, context: &Context<'_>) -> bool {
        let era = version::Version::from(self.token).era();
        era < context.era && context.row_version < self.token
    }

    /// Number of voters that cannot reach the leader, including this VM if it
    /// votes.
    fn count_suspects(&self, context: &Context<'_>) -> usize {
        let fresh = |at: &time::Time| context.now.since(*at) <= context.silence_limit * 2;
        let peers = self.suspects.iter().filter(|(vm, (term, at))| {
            let counts = **vm != context.own.vm && context.voters.contains(vm);
            counts && *term == context.group.suspected_term() && fresh(at)
        });
        peers.count() + usize::from(context.voters.contains(&context.own.vm))
    }

    fn is_leader_leaving(&self, context: &Context<'_>, rank_delay: std_time::Duration) -> bool {
        let Some(assignment) = context.group.assignment() else {
            return false;
        };
        let Some(state) = context.group.instances.get(&assignment.instance) else {
            return false;
        };
        let is_due = |since: time::Time| context.now.since(since) >= LEAVING_DELAY + rank_delay;
        let mut instances = context.group.instances.values();
        let has_staying = instances.any(|state| !state.is_withdrawn());
        // After a claim that has not moved the leader, its replicas get time to catch up.
        let earliest = self.claim_ended.map(|ended| ended + EVACUATION_RETRY);
        // A leader that does not answer this VM is replaced only if other VMs miss it too:
        // without its position, commits could be lost.
        let answers = context.group.silence(context.now).is_zero();
        let evacuated_since = state
            .evacuation
            .filter(|_| answers)
            .map(|limits| limits.since.max(earliest.unwrap_or_default()));
        // The same holds for a leader that went on because no replica has its commits.
        let earliest = earliest.filter(|_| context.group.is_synchronous());
        let leaving_since = state
            .leaving_since
            .map(|since| since.max(earliest.unwrap_or_default()));
        let since = leaving_since.or(evacuated_since);
        since.is_some_and(is_due) && has_staying
    }

    /// Takes over a claim whose holder can no longer use it.
    fn maybe_take_over(
        &mut self,
        claim: &leader::Claim,
        context: &Context<'_>,
        out: &mut Vec<Step>,
    ) {
        // The row of a claim has another version after it has been written again in a
        // restored store.
        let first_seen = match &self.claim_seen {
            Some((seen, at)) if seen == claim => *at,
            _ => {
                self.claim_seen = Some((claim.clone(), context.now));
                context.now
            }
        };
        let holder = &claim.holder;
        let has_ended = context.view.members().any(|(_, entry)| {
            let newer = entry.incarnation > holder.incarnation;
            entry.vm.name == holder.vm && (newer || entry.released)
        });
        // A claim of this incarnation without an attempt in progress was given
        // up.
        let is_own = *holder == context.own;
        let age = context.now.since(first_seen);
        let rank_delay = RANK_DELAY * u32::try_from(context.rank).unwrap_or(u32::MAX);
        if is_own || (has_ended && age >= rank_delay) || age >= TAKEOVER_AGE + rank_delay {
            self.claim_row(claim.planned, context, out);
        }
    }

    fn claim_row(&mut self, planned: bool, context: &Context<'_>, out: &mut Vec<Step>) {
        let row = context.leader.as_ref();
        let proven = row.filter(|_| context.is_proven);
        let assigned = context
            .group
            .assignment()
            .map(|assignment| assignment.instance.clone());
        let self_declared = context.view.declared_primary(context.group.name()).cloned();
        let old_leader = row
            .and_then(|row| row.instance.clone())
            .or(assigned)
            .or(self_declared);
        self.last_number += 1;
        let term = context
            .group
            .newest_term()
            .max(row.map(|row| row.term).unwrap_or_default());
        let leader = leader::Leader {
            instance: old_leader.clone(),
            term,
            start: row.map(|row| row.start).unwrap_or_default(),
            claim: Some(leader::Claim {
                holder: context.own.clone(),
                number: self.last_number,
                planned,
            }),
            replicas: proven.and_then(|row| row.replicas.clone()),
            // Nothing has been acknowledged since an earlier claim.
            acknowledged: proven.and_then(|row| row.acknowledged),
        };
        out.push(Step::Note(Note::Claiming {
            planned,
            silent_ms: time::micros(context.group.silence(context.now)) / 1000,
            suspects: self.count_suspects(context),
        }));
        out.push(Step::Write(context.stored_version, leader));
        let state = old_leader
            .as_ref()
            .and_then(|name| context.group.instances.get(name));
        let is_evacuated = state.is_some_and(|state| state.evacuation.is_some() && !state.leaving);
        // The holder of an earlier claim may still have an order under way.
        let has_earlier = row.is_some_and(|row| row.claim.is_some());
        let is_recent = |at: time::Time| context.now.since(at) < context.refusal_timeout;
        let is_restored = context.view.has_gap() && context.restored_at.is_some_and(is_recent);
        self.attempt = Some(Attempt {
            may_keep: planned && is_evacuated && !has_earlier,
            may_miss_users: !context.is_proven || (has_earlier && is_restored),
            era: context.era,
            number: self.last_number,
            planned,
            base_version: context.row_version,
            old_leader,
            term,
            claim_sent: context.now,
            token: None,
            last_poll: time::Time::default(),
            is_takeover: has_earlier,
            had_led: false,
            is_unproved_noted: false,
            close_token: None,
            last_close: time::Time::default(),
            closed: collections::BTreeMap::new(),
            acknowledged: None,
            stored_at: None,
            stage: Stage::Claiming,
        });
    }

    /// Advances an attempt; returns `None` if the attempt has ended.
    fn advance(
        &mut self,
        mut attempt: Attempt,
        context: &Context<'_>,
        out: &mut Vec<Step>,
    ) -> Option<Attempt> {
        let give_up = |out: &mut Vec<Step>, why| {
            out.push(Step::Note(Note::GivenUp { why }));
            None
        };
        if attempt.awaits_order(context.now) {
            return Some(attempt);
        }
        if attempt.token.is_some() && attempt.is_claimed(context) {
            attempt.token = attempt.token.max(Some(context.row_version));
        }
        let is_row_newer = attempt
            .token
            .is_some_and(|token| context.row_version > token);
        let is_recorded = match &attempt.stage {
            Stage::Recording { leader, .. } => {
                attempt.era == context.era || context.leader.as_ref() == Some(leader)
            }
            _ => false,
        };
        if is_row_newer {
            self.claimed_at = None;
        }
        if is_row_newer && is_recorded {
            self.claim_ended = Some(context.now);
            if let Some(old_leader) = attempt.replaced_leader() {
                let deadline = context.now + ORDER_TIMEOUT;
                out.push(Step::Demote(
                    old_leader.clone(),
                    attempt.term.next(),
                    deadline,
                ));
            }
            self.resume.start(&attempt, context);
            return None;
        }
        if attempt.era != context.era {
            return self.claim_again(&attempt, context, out);
        }
        if is_row_newer || self.is_overtaken(&attempt) {
            return give_up(out, Reason::Overtaken);
        }
        if !context.is_eligible && !matches!(attempt.stage, Stage::Recording { .. }) {
            return give_up(out, Reason::Unusable);
        }
        if context.now.since(attempt.claim_sent) >= CLAIM_LIFETIME
            && !matches!(
                attempt.stage,
                Stage::Confirming { .. } | Stage::Recording { .. }
            )
        {
            return give_up(out, Reason::Expired);
        }
        match std::mem::replace(&mut attempt.stage, Stage::Claiming) {
            Stage::Claiming => {
                if attempt.is_claimed(context) {
                    attempt.token = Some(context.row_version);
                }
                let Some(token) = attempt.token else {
                    if context.row_version != attempt.base_version {
                        return give_up(out, Reason::Overtaken);
                    }
                    if context.now.since(attempt.claim_sent) >= CLAIM_TIMEOUT {
                        return give_up(out, Reason::Unanswered);
                    }
                    return Some(attempt);
                };
                self.begin_closing(&mut attempt, token, context, out);
            }
            Stage::Closing {
                since,
                waiting,
                last_request,
            } => {
                attempt.stage =
                    self.wait_for_close(&attempt, since, waiting, last_request, context, out);
            }
            Stage::CatchingUp { since } => {
                attempt.stage = stage::catch_up(&mut attempt, since, context, out);
            }
            Stage::Pausing {
                since,
                requests,
                paused,
            } => {
                attempt.stage =
                    stage::pause_replicas(&mut attempt, since, requests, paused, context, out);
            }
            Stage::Ordering { candidates, sent } => {
                attempt.stage = stage::order(&attempt, candidates, sent, context, out);
            }
            Stage::Confirming { candidates, since } => {
                attempt.stage = stage::confirm(&mut attempt, candidates, since, context, out);
            }
            Stage::Recording { leader, sent } => {
                let has_passed = |at: time::Time| context.now.since(at) >= RETRY_DELAY;
                let is_due = sent.is_none_or(has_passed);
                if is_due {
                    out.push(Step::Write(
                        attempt.token.unwrap_or_default(),
                        leader.clone(),
                    ));
                }
                let sent = if is_due { Some(context.now) } else { sent };
                attempt.stage = Stage::Recording { leader, sent };
            }
        }
        Some(attempt)
    }

    /// Gives up a claim of an earlier era of the store, and claims again: the store may
    /// have lost the claim.
    fn claim_again(
        &mut self,
        attempt: &Attempt,
        context: &Context<'_>,
        out: &mut Vec<Step>,
    ) -> Option<Attempt> {
        let why = Reason::StoreRestored;
        out.push(Step::Note(Note::GivenUp { why }));
        let claim = context.leader.as_ref().and_then(|row| row.claim.as_ref());
        let is_free = claim.is_none_or(|claim| claim.holder == context.own);
        if attempt.token.is_none() || !context.is_eligible || !is_free {
            return None;
        }
        self.claim_row(attempt.planned, context, out);
        self.attempt.take()
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
            attempt.old_leader.clone(),
            context.now,
        );
        out.push(Step::StopUsing);
        self.claimed_at = Some(attempt.claim_sent);
        attempt.close_token = Some(token);
        self.close_locally(context, out);
        attempt.stage = Stage::Closing {
            since: context.now,
            waiting: context.peers.iter().cloned().collect(),
            last_request: None,
        };
    }

    fn wait_for_close(
        &mut self,
        attempt: &Attempt,
        since: time::Time,
        mut waiting: collections::BTreeSet<Name>,
        mut last_request: Option<time::Time>,
        context: &Context<'_>,
        out: &mut Vec<Step>,
    ) -> Stage {
        waiting.retain(|vm| context.peers.contains(vm));
        let waited = context.now.since(since);
        let is_closed = self.closing.as_ref().is_none_or(|closing| closing.is_done);
        let silent_until = since + context.lease + CLOSE_MARGIN;
        let is_waited_out = context.now >= silent_until.max(self.orders_until);
        let have_all_closed = is_closed && waiting.is_empty() && !attempt.may_miss_users;
        if is_waited_out || have_all_closed {
            out.push(Step::Note(Note::Closed {
                waited_ms: time::micros(waited) / 1000,
                silent: waiting.len(),
            }));
            return if attempt.planned {
                Stage::CatchingUp { since: context.now }
            } else {
                stage::start_pausing(context.now)
            };
        }
        if last_request.is_none_or(|at| context.now.since(at) >= CLOSE_PERIOD) {
            last_request = Some(context.now);
            for vm in &waiting {
                out.push(attempt.request_close(vm, context));
            }
        }
        Stage::Closing {
            since,
            waiting,
            last_request,
        }
    }
}
