//! Which VMs are live, and until when the configuration is known to be in force.
//!
//! A daemon keeps two times for each VM. `proven_at` is a lower bound of the time at
//! which the VM was live with a revision and an epoch that this daemon has reached.
//! This time comes from answers to pings, and where the store arbitrates also from
//! received pings. `heard_at` is an upper bound of the time at which any VM last
//! heard of the VM; `heard_at` decides whether the VM is silent.

use std::{collections, time as std_time};

use config::Name;

use crate::{event, group, message, sent_requests, time};

/// Time after its first exchange in which a VM exchanges reports more often, because
/// the VM knows nothing of the other VMs yet and all of them may have started at the
/// same time.
const SETTLING_TIME: std_time::Duration = std_time::Duration::from_secs(3);
/// Exchanges per gossip period during `SETTLING_TIME`.
const SETTLING_EXCHANGES: u32 = 4;

/// What this daemon knows of another VM.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Entry in the platform's list; none if only peers' reports name the VM.
    pub entry: Option<event::Vm>,
    /// Incarnation of its daemon; 0 if unknown.
    pub incarnation: u64,
    /// Lower bound of the time at which the VM was live with a revision and an epoch
    /// that this daemon has reached.
    pub proven_at: time::Time,
    /// Upper bound of the time at which any VM last heard of this VM.
    pub heard_at: time::Time,
    /// Revision in force on the VM.
    pub revision: u64,
    /// Budget epoch that the VM has confirmed.
    pub epoch: u64,
    /// When the VM left the list.
    pub delisted_at: Option<time::Time>,
    /// Newest incarnation that has released its shares and leaders.
    pub released_incarnation: u64,
    /// Incarnation in the VM's row of the store.
    pub(super) stored_incarnation: u64,
    /// Version of the VM's row of the store.
    pub(super) entry_version: u64,
    /// Whether the VM's row is marked as doubted.
    doubted: bool,
}

impl Peer {
    fn new(heard_at: time::Time) -> Self {
        Self {
            entry: None,
            incarnation: 0,
            proven_at: time::Time::default(),
            heard_at,
            revision: 0,
            epoch: 0,
            delisted_at: None,
            released_incarnation: 0,
            stored_incarnation: 0,
            entry_version: 0,
            doubted: false,
        }
    }

    /// Records that the known incarnation was heard of.
    pub(super) fn record_contact(
        &mut self,
        heard_at: time::Time,
        revision: u64,
        epoch: u64,
        proof: Option<time::Time>,
    ) {
        self.heard_at = self.heard_at.max(heard_at);
        self.revision = self.revision.max(revision);
        self.epoch = self.epoch.max(epoch);
        if let Some(proof) = proof {
            self.proven_at = self.proven_at.max(proof);
        }
    }
}

/// Membership as seen by one daemon.
#[derive(Debug)]
pub struct Membership {
    pub(super) vm: Name,
    pub(super) domain: Name,
    pub(super) region: Name,
    incarnation: u64,
    pub(super) peers: collections::BTreeMap<Name, Peer>,
    vms: Vec<event::Vm>,
    /// Digest of the versions of the VMs' rows in the store.
    pub(super) list_digest: u64,
    own_listed: bool,
    store_proof: Option<time::Time>,
    last_ping: Option<time::Time>,
    pings: sent_requests::SentRequests,
    /// When the first exchange began.
    first_ping: Option<time::Time>,
    /// Number of exchanges so far.
    pub(super) rounds: usize,
    pub(super) gossip_period: std_time::Duration,
    refusal_timeout: std_time::Duration,
    pub(super) arbiter: group::Arbiter,
}

impl Membership {
    /// Creates the membership of a daemon that has seen no list yet; `place` is its
    /// failure domain and region.
    pub fn new(
        vm: Name,
        place: (Name, Name),
        incarnation: u64,
        timing: &config::Timing,
        arbiter: group::Arbiter,
    ) -> Self {
        let (domain, region) = place;
        Self {
            vm,
            domain,
            region,
            incarnation,
            peers: collections::BTreeMap::new(),
            vms: Vec::new(),
            list_digest: 0,
            own_listed: false,
            store_proof: None,
            last_ping: None,
            pings: sent_requests::SentRequests::default(),
            first_ping: None,
            rounds: 0,
            gossip_period: timing.gossip_period,
            refusal_timeout: timing.refusal_timeout,
            arbiter,
        }
    }

    /// Other VMs by name.
    pub fn peers(&self) -> &collections::BTreeMap<Name, Peer> {
        &self.peers
    }

    /// This VM and incarnation as a member.
    pub fn own_member(&self) -> event::MemberId {
        event::MemberId {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Replaces the platform's list of VMs.
    pub fn update_list(&mut self, vms: Vec<event::Vm>, now: time::Time) {
        self.own_listed = vms.iter().any(|vm| vm.name == self.vm);
        for peer in self.peers.values_mut() {
            if peer.entry.take().is_some() {
                peer.delisted_at = Some(now);
            }
        }
        self.vms.clone_from(&vms);
        for vm in vms {
            if vm.name == self.vm {
                continue;
            }
            let peer = self.peers.entry(vm.name.clone());
            let peer = peer.or_insert_with(|| Peer::new(now));
            peer.entry = Some(vm);
            peer.delisted_at = None;
        }
        let refusal = self.refusal_timeout;
        self.peers
            .retain(|_, peer| peer.entry.is_some() || now.since(peer.heard_at) <= refusal * 10);
    }

    /// Sets the digest of the versions of the VMs' rows in the store.
    pub fn set_list_digest(&mut self, digest: u64) {
        self.list_digest = digest;
    }

    /// The platform's list of VMs as last seen.
    pub fn vms(&self) -> &Vec<event::Vm> {
        &self.vms
    }

    /// Whether the VM has not answered recently.
    pub fn is_unresponsive(&self, vm: &str, now: time::Time) -> bool {
        self.peers
            .get(vm)
            .is_none_or(|peer| !self.is_responsive(peer, now))
    }

    /// Records that the store answered a read sent at `sent` with nothing newer
    /// than the view of this daemon.
    pub fn confirm_store_read(&mut self, sent: time::Time) {
        self.store_proof = self.store_proof.max(Some(sent));
    }

    /// Sets the time at which the store is proven to have had nothing newer than the view
    /// of this daemon.
    pub fn set_store_proof(&mut self, proven_at: Option<time::Time>) {
        self.store_proof = proven_at;
    }

    /// VMs to ping now; none unless the period has passed or `at_once` is set.
    pub fn take_due_targets(&mut self, now: time::Time, at_once: bool) -> Vec<Name> {
        let period = self.current_period(now);
        let passed = self.last_ping.is_none_or(|at| now.since(at) >= period);
        if !passed && !at_once {
            return Vec::new();
        }
        self.last_ping = Some(now);
        self.pings.record(now);
        self.rounds = self.rounds.wrapping_add(1);
        let targets = self.gossip_targets(now);
        if !targets.is_empty() {
            self.first_ping.get_or_insert(now);
        }
        targets
    }

    fn current_period(&self, now: time::Time) -> std_time::Duration {
        let settling = self
            .first_ping
            .is_none_or(|at| now.since(at) < SETTLING_TIME);
        if self.arbiter == group::Arbiter::Store && settling {
            self.gossip_period / SETTLING_EXCHANGES
        } else {
            self.gossip_period
        }
    }

    /// Whether this run of the daemon sent a ping at that time.
    pub fn has_pinged(&self, sent: time::Time) -> bool {
        self.pings.contains(sent)
    }

    /// Records a received ping. A ping only shows that its sender is not silent. If
    /// the store arbitrates, a ping also counts as a proof, because proofs then only
    /// decide which VMs exchange reports.
    pub fn handle_ping(&mut self, from: &Name, now: time::Time, report: &message::Report) {
        let store_arbitrates = self.arbiter == group::Arbiter::Store;
        self.merge_report(from, now, report, store_arbitrates.then_some(now));
    }

    /// Records the answer to a ping sent at `sent`. `is_current` tells whether this
    /// daemon has caught up with a revision and an epoch.
    pub fn handle_pong(
        &mut self,
        from: &Name,
        now: time::Time,
        sent: time::Time,
        report: &message::Report,
        is_current: &dyn Fn(u64, u64) -> bool,
    ) {
        let proof = is_current(report.revision, report.epoch).then_some(sent);
        self.merge_report(from, now, report, proof);
        self.merge_common(from, now, sent, report, is_current);
        for heard in &report.heard {
            if heard.vm == self.vm {
                continue;
            }
            let age = std_time::Duration::from_micros(heard.age);
            let proof = sent.before(age);
            let proof = proof.filter(|_| is_current(heard.revision, heard.epoch));
            let summary = message::Report {
                incarnation: heard.incarnation,
                revision: heard.revision,
                epoch: heard.epoch,
                listed: true,
                ..message::Report::default()
            };
            let heard_at = now.before(age).unwrap_or_default();
            self.merge_report(&heard.vm, heard_at, &summary, proof);
        }
    }

    fn merge_report(
        &mut self,
        vm: &Name,
        heard_at: time::Time,
        report: &message::Report,
        proof: Option<time::Time>,
    ) {
        let peer = self.peers.entry(vm.clone());
        let peer = peer.or_insert_with(|| Peer::new(heard_at));
        if report.incarnation > peer.incarnation {
            peer.incarnation = report.incarnation;
            peer.revision = 0;
            peer.epoch = 0;
        }
        if report.incarnation < peer.incarnation {
            return;
        }
        peer.record_contact(heard_at, report.revision, report.epoch, proof);
    }

    fn listed_peers(&self) -> impl Iterator<Item = (&Name, &Peer)> {
        self.peers.iter().filter(|(_, peer)| peer.entry.is_some())
    }

    /// Lower bound of the time at which a majority of the listed VMs was last live.
    pub fn majority_proven_at(&self, now: time::Time) -> Option<time::Time> {
        let mut proofs: Vec<_> = self
            .listed_peers()
            .map(|(_, peer)| peer.proven_at)
            .collect();
        if self.own_listed {
            proofs.push(now);
        }
        proofs.sort_unstable_by(|a, b| b.cmp(a));
        let at = *proofs.get(proofs.len() / 2)?;
        (at != time::Time::default()).then_some(at)
    }

    /// Records the incarnation, version and marks of a VM's row in the store.
    pub fn apply_entry(&mut self, version: u64, entry: &event::MemberEntry, now: time::Time) {
        if let Some(peer) = self.peers.get_mut(&entry.vm.name) {
            if entry.incarnation > peer.incarnation {
                peer.incarnation = entry.incarnation;
                peer.revision = 0;
                peer.epoch = 0;
                // The new incarnation has just written to the store.
                peer.heard_at = now;
            }
            peer.stored_incarnation = entry.incarnation;
            peer.entry_version = version;
            if peer.doubted && !entry.doubted {
                // The VM has written its row again to clear the doubt.
                peer.heard_at = now;
            }
            peer.doubted = entry.doubted;
            if entry.released {
                peer.released_incarnation = peer.released_incarnation.max(entry.incarnation);
            }
        }
    }

    /// Starts a new incarnation of this daemon after the list has dropped the
    /// previous one.
    pub fn start_incarnation(&mut self, incarnation: u64) -> event::MemberId {
        self.incarnation = incarnation;
        self.own_member()
    }

    /// Whether this VM is in the platform's list.
    pub fn is_listed(&self) -> bool {
        self.own_listed
    }

    /// Whether a majority was live within the refusal timeout; where the store
    /// arbitrates, whether the store was read within it.
    pub fn has_quorum(&self, now: time::Time) -> bool {
        if self.arbiter == group::Arbiter::Store {
            return self.own_listed
                && self
                    .store_proof
                    .is_some_and(|at| now.since(at) < self.refusal_timeout);
        }
        self.majority_proven_at(now)
            .is_some_and(|at| now.since(at) < self.refusal_timeout)
    }

    /// End of the time for which the configuration of this daemon counts as in
    /// force.
    pub fn fresh_until(&self, now: time::Time) -> Option<time::Time> {
        let at = match self.arbiter {
            group::Arbiter::Instances => self.majority_proven_at(now).max(self.store_proof)?,
            group::Arbiter::Store => self.store_proof.filter(|_| self.own_listed)?,
        };
        Some(at + self.refusal_timeout)
    }

    /// Newest known incarnation on the member's VM.
    pub fn newest_incarnation(&self, member: &event::MemberId) -> event::MemberId {
        let known = if member.vm == self.vm {
            self.incarnation
        } else {
            self.peers
                .get(&member.vm)
                .map_or(0, |peer| peer.incarnation)
        };
        event::MemberId {
            vm: member.vm.clone(),
            incarnation: member.incarnation.max(known),
        }
    }

    /// Whether the member's incarnation is gone: superseded, released, or neither
    /// listed nor heard of within the refusal timeout.
    pub fn is_gone(&self, member: &event::MemberId, now: time::Time) -> bool {
        if member.vm == self.vm {
            return member.incarnation != self.incarnation;
        }
        let Some(peer) = self.peers.get(&member.vm) else {
            return self.own_listed;
        };
        if peer.incarnation > member.incarnation || peer.released_incarnation >= member.incarnation
        {
            return true;
        }
        let kept = |at: time::Time| now.since(at) <= self.refusal_timeout;
        peer.entry.is_none() && !peer.delisted_at.is_some_and(kept) && self.is_silent(peer, now)
    }

    /// Whether no VM has heard of the VM within the refusal timeout.
    pub fn is_silent(&self, peer: &Peer, now: time::Time) -> bool {
        now.since(peer.heard_at) > self.refusal_timeout
    }

    /// Listed VMs that have not reached the revision and are not silent.
    pub fn lagging_vms(&self, revision: u64, now: time::Time) -> Vec<Name> {
        self.listed_peers()
            .filter(|(_, peer)| peer.revision < revision && !self.is_silent(peer, now))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Incarnations on listed VMs that are not silent, including this one.
    pub fn live_members(&self, now: time::Time) -> Vec<event::MemberId> {
        let answering = self
            .listed_peers()
            .filter(|(_, peer)| peer.incarnation != 0 && !self.is_silent(peer, now));
        let mut members: Vec<_> = answering
            .filter(|(_, peer)| peer.entry.as_ref().is_some_and(|vm| !vm.leaving))
            .filter(|(_, peer)| peer.released_incarnation < peer.incarnation)
            .map(|(name, peer)| event::MemberId {
                vm: name.clone(),
                incarnation: peer.incarnation,
            })
            .collect();
        members.push(self.own_member());
        members.sort();
        members
    }

    /// Failure domain of a listed VM.
    pub fn domain_of(&self, vm: &str) -> Option<&Name> {
        let listed = self.peers.get(vm)?.entry.as_ref()?;
        Some(&listed.domain)
    }
}
