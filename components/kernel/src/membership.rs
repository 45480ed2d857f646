//! Which VMs are live, and until when the configuration is known to be in force.
//!
//! Two times are kept for every VM. `proof` is a lower bound of the time at
//! which it was live with a state that this daemon has caught up with; it comes
//! only from answered pings. `touch` is an upper bound of the time at which it
//! was last heard of by anybody; it decides on silence.

use std::{collections, time as std_time};

use config::Name;

use crate::{event, group, message, time};

/// Time after its first exchange in which a VM exchanges more often: it knows
/// nothing of the others yet, and they may all have started with it.
const SETTLING_TIME: std_time::Duration = std_time::Duration::from_secs(3);
/// Exchanges of that time in a usual period.
const SETTLING_EXCHANGES: u32 = 4;

/// What is known of another VM.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Entry of the platform's list; none if only heard of.
    pub listed: Option<event::Vm>,
    /// Run of its daemon; 0 if unknown.
    pub incarnation: u64,
    /// Lower bound of the time at which it was live and caught up with.
    pub proof: time::Time,
    /// Upper bound of the time at which it was last heard of.
    pub touch: time::Time,
    /// Revision in force there.
    pub revision: u64,
    /// Budget epoch confirmed there.
    pub epoch: u64,
    /// When it left the list.
    pub delisted: Option<time::Time>,
    /// Run that has given up everything it held.
    pub released: u64,
    /// Run that the store names.
    pub(super) registered: u64,
    /// Version of its entry.
    pub(super) version: u64,
    /// Its entry was doubted.
    doubted: bool,
}

impl Peer {
    fn new(touch: time::Time) -> Self {
        Self {
            listed: None,
            incarnation: 0,
            proof: time::Time::default(),
            touch,
            revision: 0,
            epoch: 0,
            delisted: None,
            released: 0,
            registered: 0,
            version: 0,
            doubted: false,
        }
    }

    /// Takes in that it was heard of in the run that is known.
    pub(super) fn heard(
        &mut self,
        touch: time::Time,
        revision: u64,
        epoch: u64,
        proof: Option<time::Time>,
    ) {
        self.touch = self.touch.max(touch);
        self.revision = self.revision.max(revision);
        self.epoch = self.epoch.max(epoch);
        if let Some(proof) = proof {
            self.proof = self.proof.max(proof);
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
    /// Digest of the store's entries of VMs.
    pub(super) digest: u64,
    own_listed: bool,
    stored: Option<time::Time>,
    pinged: Option<time::Time>,
    /// First exchange.
    begun: Option<time::Time>,
    /// Exchanges so far.
    pub(super) rounds: usize,
    pub(super) period: std_time::Duration,
    refusal: std_time::Duration,
    pub(super) arbiter: group::Arbiter,
}

impl Membership {
    /// Membership of a daemon that has seen no list yet; `place` is its failure
    /// domain and region.
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
            digest: 0,
            own_listed: false,
            stored: None,
            pinged: None,
            begun: None,
            rounds: 0,
            period: timing.gossip,
            refusal: timing.refusal,
            arbiter,
        }
    }

    /// Other VMs by name.
    pub fn peers(&self) -> &collections::BTreeMap<Name, Peer> {
        &self.peers
    }

    /// This run as a member.
    pub fn own(&self) -> event::MemberId {
        event::MemberId {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
        }
    }

    /// Takes over the platform's list.
    pub fn list(&mut self, vms: Vec<event::Vm>, now: time::Time) {
        self.own_listed = vms.iter().any(|vm| vm.name == self.vm);
        for peer in self.peers.values_mut() {
            if peer.listed.take().is_some() {
                peer.delisted = Some(now);
            }
        }
        self.vms.clone_from(&vms);
        for vm in vms {
            if vm.name == self.vm {
                continue;
            }
            let peer = self.peers.entry(vm.name.clone());
            let peer = peer.or_insert_with(|| Peer::new(now));
            peer.listed = Some(vm);
            peer.delisted = None;
        }
        let refusal = self.refusal;
        self.peers
            .retain(|_, peer| peer.listed.is_some() || now.since(peer.touch) <= refusal * 10);
    }

    /// Takes over the digest of the store's entries of VMs.
    pub fn identify_list(&mut self, digest: u64) {
        self.digest = digest;
    }

    /// The platform's list as last seen.
    pub fn vms(&self) -> &Vec<event::Vm> {
        &self.vms
    }

    /// Whether the VM has not answered of late.
    pub fn is_unanswering(&self, vm: &str, now: time::Time) -> bool {
        self.peers
            .get(vm)
            .is_none_or(|peer| !self.responsive(peer, now))
    }

    /// The store answered a read sent at `sent` with nothing newer than ours.
    pub fn confirm(&mut self, sent: time::Time) {
        self.stored = self.stored.max(Some(sent));
    }

    /// VMs to ping now, if the period has passed or `at_once` is set.
    pub fn due(&mut self, now: time::Time, at_once: bool) -> Vec<Name> {
        let period = self.exchange_period(now);
        let passed = self.pinged.is_none_or(|at| now.since(at) >= period);
        if !passed && !at_once {
            return Vec::new();
        }
        self.pinged = Some(now);
        self.rounds = self.rounds.wrapping_add(1);
        let targets = self.targets(now);
        if !targets.is_empty() {
            self.begun.get_or_insert(now);
        }
        targets
    }

    fn exchange_period(&self, now: time::Time) -> std_time::Duration {
        let settling = self.begun.is_none_or(|at| now.since(at) < SETTLING_TIME);
        if self.arbiter == group::Arbiter::Store && settling {
            self.period / SETTLING_EXCHANGES
        } else {
            self.period
        }
    }

    /// Takes in a ping. It is proof for silence only, except where the store
    /// arbitrates: there nothing but the exchange itself follows from proofs.
    pub fn pinged(&mut self, from: &Name, now: time::Time, report: &message::Report) {
        let ruled = self.arbiter == group::Arbiter::Store;
        self.learn(from, now, report, ruled.then_some(now));
    }

    /// Takes in the answer to a ping sent at `sent`. `current` tells whether
    /// this daemon has caught up with a revision and an epoch.
    pub fn ponged(
        &mut self,
        from: &Name,
        now: time::Time,
        sent: time::Time,
        report: &message::Report,
        current: &dyn Fn(u64, u64) -> bool,
    ) {
        let proof = current(report.revision, report.epoch).then_some(sent);
        self.learn(from, now, report, proof);
        self.learn_common(from, now, sent, report, current);
        for heard in &report.heard {
            if heard.vm == self.vm {
                continue;
            }
            let age = std_time::Duration::from_micros(heard.age);
            let proof = current(heard.revision, heard.epoch).then(|| sent.before(age));
            let summary = message::Report {
                incarnation: heard.incarnation,
                revision: heard.revision,
                epoch: heard.epoch,
                listed: true,
                ..message::Report::default()
            };
            self.learn(&heard.vm, now.before(age), &summary, proof);
        }
    }

    fn learn(
        &mut self,
        vm: &Name,
        touch: time::Time,
        report: &message::Report,
        proof: Option<time::Time>,
    ) {
        let peer = self.peers.entry(vm.clone());
        let peer = peer.or_insert_with(|| Peer::new(touch));
        if report.incarnation > peer.incarnation {
            peer.incarnation = report.incarnation;
            peer.revision = 0;
            peer.epoch = 0;
        }
        if report.incarnation < peer.incarnation {
            return;
        }
        peer.heard(touch, report.revision, report.epoch, proof);
    }

    fn listed(&self) -> impl Iterator<Item = (&Name, &Peer)> {
        self.peers.iter().filter(|(_, peer)| peer.listed.is_some())
    }

    /// Lower bound of the time at which a majority was last heard.
    pub fn majority_time(&self, now: time::Time) -> Option<time::Time> {
        let mut proofs: Vec<_> = self.listed().map(|(_, peer)| peer.proof).collect();
        if self.own_listed {
            proofs.push(now);
        }
        proofs.sort_unstable_by(|a, b| b.cmp(a));
        let at = *proofs.get(proofs.len() / 2)?;
        (at != time::Time::default()).then_some(at)
    }

    /// Takes over which run of a VM the store names.
    pub fn register(&mut self, version: u64, entry: &event::MemberEntry, now: time::Time) {
        if let Some(peer) = self.peers.get_mut(&entry.vm.name) {
            if entry.incarnation > peer.incarnation {
                peer.incarnation = entry.incarnation;
                peer.revision = 0;
                peer.epoch = 0;
                // It has just written to the store.
                peer.touch = now;
            }
            peer.registered = entry.incarnation;
            peer.version = version;
            if peer.doubted && !entry.doubted {
                // It has objected.
                peer.touch = now;
            }
            peer.doubted = entry.doubted;
            if entry.released {
                peer.released = peer.released.max(entry.incarnation);
            }
        }
    }

    /// Starts a new run of this daemon, after the list has dropped the last.
    pub fn renew(&mut self, incarnation: u64) -> event::MemberId {
        self.incarnation = incarnation;
        self.own()
    }

    /// Whether this VM stands in the list.
    pub fn is_listed(&self) -> bool {
        self.own_listed
    }

    /// Whether a majority was heard within the refusal time; where the store
    /// arbitrates, whether the store was.
    pub fn sees_majority(&self, now: time::Time) -> bool {
        if self.arbiter == group::Arbiter::Store {
            return self.own_listed && self.stored.is_some_and(|at| now.since(at) < self.refusal);
        }
        self.majority_time(now)
            .is_some_and(|at| now.since(at) < self.refusal)
    }

    /// End of the time for which the configuration here counts as in force.
    pub fn fresh_until(&self, now: time::Time) -> Option<time::Time> {
        let at = match self.arbiter {
            group::Arbiter::Instances => self.majority_time(now).max(self.stored)?,
            group::Arbiter::Store => self.stored.filter(|_| self.own_listed)?,
        };
        Some(at + self.refusal)
    }

    /// The newest known run on the VM of a run.
    pub fn current(&self, run: &event::MemberId) -> event::MemberId {
        let known = if run.vm == self.vm {
            self.incarnation
        } else {
            self.peers.get(&run.vm).map_or(0, |peer| peer.incarnation)
        };
        event::MemberId {
            vm: run.vm.clone(),
            incarnation: run.incarnation.max(known),
        }
    }

    /// Whether the VM is gone: not listed, and silent for the refusal time.
    pub fn is_gone(&self, member: &event::MemberId, now: time::Time) -> bool {
        if member.vm == self.vm {
            return member.incarnation != self.incarnation;
        }
        let Some(peer) = self.peers.get(&member.vm) else {
            return self.own_listed;
        };
        if peer.incarnation > member.incarnation || peer.released >= member.incarnation {
            return true;
        }
        let kept = |at: time::Time| now.since(at) <= self.refusal;
        peer.listed.is_none() && !peer.delisted.is_some_and(kept) && self.is_silent(peer, now)
    }

    /// Whether nobody has heard of the VM for the refusal time.
    pub fn is_silent(&self, peer: &Peer, now: time::Time) -> bool {
        now.since(peer.touch) > self.refusal
    }

    /// Listed VMs that neither reached the revision nor have been silent.
    pub fn behind(&self, revision: u64, now: time::Time) -> Vec<Name> {
        self.listed()
            .filter(|(_, peer)| peer.revision < revision && !self.is_silent(peer, now))
            .map(|(name, _)| name.clone())
            .collect()
    }

    /// Runs that are listed and answer, this one included.
    pub fn live(&self, now: time::Time) -> Vec<event::MemberId> {
        let answering = self
            .listed()
            .filter(|(_, peer)| peer.incarnation != 0 && !self.is_silent(peer, now));
        let mut members: Vec<_> = answering
            .filter(|(_, peer)| peer.listed.as_ref().is_some_and(|vm| !vm.leaving))
            .filter(|(_, peer)| peer.released < peer.incarnation)
            .map(|(name, peer)| event::MemberId {
                vm: name.clone(),
                incarnation: peer.incarnation,
            })
            .collect();
        members.push(self.own());
        members.sort();
        members
    }

    /// Failure domain of a VM.
    pub fn domain(&self, vm: &str) -> Option<&Name> {
        let listed = self.peers.get(vm)?.listed.as_ref()?;
        Some(&listed.domain)
    }
}
