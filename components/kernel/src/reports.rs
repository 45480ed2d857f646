//! Reports of what a VM knows of the fleet.
//!
//! A report states the state of other VMs. In a large fleet nearly all VMs are in
//! the same state: live recently, with the same revision and epoch. The report then
//! names only the VMs that differ, and states once per failure domain the common
//! state of all other listed VMs of that domain.
//!
//! The common state refers to the list as the sender knows it, up to a version of
//! the store. The receiver applies its age to a VM unless the receiver knows a later
//! row of that VM. The receiver applies its revision and epoch only if both VMs know
//! the same rows, since a VM that the sender knows to be removed may still run.
//!
//! The common state holds the age of the oldest proof. A common state for several
//! domains would mix proofs that came over different paths, and ages would grow
//! without bound from one VM to the next.

use std::{collections, time as std_time};

use config::Name;

use crate::{
    membership::{Membership, Peer},
    message, time,
};

/// Age of the median proof of a domain up to which its VMs need not be named.
const MAX_COMMON_AGE: std_time::Duration = std_time::Duration::from_millis(2_500);
/// Time behind the median proof of its domain from which a VM is named, because the
/// VM has missed an exchange. If a VM that died were not named, it would increase
/// the age in the common state of the other VMs.
const MAX_COMMON_SPREAD: std_time::Duration = std_time::Duration::from_millis(700);

/// Digest of a list from the versions of its rows, in any order.
pub fn digest(versions: impl Iterator<Item = u64>) -> u64 {
    versions.fold(0, |digest, version| digest ^ mix_bits(version))
}

/// Spreads a number over all bits (SplitMix64).
fn mix_bits(number: u64) -> u64 {
    let mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl Membership {
    /// Report to send in an exchange.
    pub fn report(&self, now: time::Time, revision: u64, epoch: u64) -> message::Report {
        if self.is_hierarchical() {
            self.compact_report(now, revision, epoch)
        } else {
            self.full_report(now, revision, epoch)
        }
    }

    /// Report that names only the VMs that differ from most VMs of their domain.
    fn compact_report(&self, now: time::Time, revision: u64, epoch: u64) -> message::Report {
        let medians = self.median_proofs(now);
        let majority = self.majority_states(&medians);
        let mut common = collections::BTreeMap::<&Name, message::DomainState>::new();
        let mut heard = Vec::new();
        for (name, peer) in &self.peers {
            let state = (peer.revision, peer.epoch);
            let domain = common_domain(peer, &medians);
            match domain.filter(|domain| majority.get(domain) == Some(&state)) {
                Some(domain) => {
                    let age = time::micros(now.since(peer.proven_at));
                    let entry = common
                        .entry(domain)
                        .or_insert_with(|| message::DomainState {
                            domain: domain.clone(),
                            age,
                            revision: peer.revision,
                            epoch: peer.epoch,
                        });
                    entry.age = entry.age.max(age);
                }
                None => {
                    let listed = peer.entry.as_ref();
                    let domain_stated = listed.is_some_and(|vm| majority.contains_key(&vm.domain));
                    if domain_stated || peer.proven_at != time::Time::default() {
                        heard.push(peer_state(name, peer, now));
                    }
                }
            }
        }
        message::Report {
            heard,
            common: common.into_values().collect(),
            ..self.brief_report(revision, epoch)
        }
    }

    /// Median proof of each domain, where it is recent enough.
    fn median_proofs(&self, now: time::Time) -> DomainProofs<'_> {
        let mut proofs = collections::BTreeMap::<&Name, Vec<time::Time>>::new();
        for peer in self.peers.values() {
            if let Some(vm) = peer.entry.as_ref().filter(|_| is_registered(peer)) {
                proofs.entry(&vm.domain).or_default().push(peer.proven_at);
            }
        }
        let medians = proofs.into_iter().map(|(domain, mut proofs)| {
            let middle = proofs.len() / 2;
            (domain, *proofs.select_nth_unstable(middle).1)
        });
        medians
            .filter(|(_, proof)| *proof != time::Time::default())
            .filter(|(_, proof)| now.since(*proof) <= MAX_COMMON_AGE)
            .collect()
    }

    /// Revision and epoch shared by more than half of the VMs of a domain that need
    /// not be named; none for a domain without such a majority.
    fn majority_states(
        &self,
        medians: &DomainProofs<'_>,
    ) -> collections::BTreeMap<&Name, (u64, u64)> {
        let mut sizes = collections::BTreeMap::<&Name, usize>::new();
        let mut counts = collections::BTreeMap::<(&Name, u64, u64), usize>::new();
        for peer in self.peers.values() {
            if let Some(vm) = &peer.entry {
                *sizes.entry(&vm.domain).or_default() += 1;
            }
            if let Some(domain) = common_domain(peer, medians) {
                let state = (domain, peer.revision, peer.epoch);
                *counts.entry(state).or_default() += 1;
            }
        }
        let most = counts.into_iter().filter(|((domain, ..), count)| {
            let size = sizes.get(domain).copied().unwrap_or(0);
            count * 2 > size
        });
        most.map(|((domain, revision, epoch), _)| (domain, (revision, epoch)))
            .collect()
    }

    /// Report that names every VM.
    fn full_report(&self, now: time::Time, revision: u64, epoch: u64) -> message::Report {
        let heard = self.peers.iter();
        let heard = heard.filter(|(_, peer)| peer.proven_at != time::Time::default());
        message::Report {
            heard: heard
                .map(|(name, peer)| peer_state(name, peer, now))
                .collect(),
            ..self.brief_report(revision, epoch)
        }
    }

    /// Report on this VM alone.
    pub fn brief_report(&self, revision: u64, epoch: u64) -> message::Report {
        message::Report {
            incarnation: self.own_member().incarnation,
            revision,
            epoch,
            listed: !self.vms().is_empty(),
            list: self.list_digest,
            ..message::Report::default()
        }
    }

    /// Applies the common state of a report to the VMs that the report does not
    /// name.
    pub(super) fn merge_common(
        &mut self,
        from: &Name,
        now: time::Time,
        sent: time::Time,
        report: &message::Report,
        is_current: &dyn Fn(u64, u64) -> bool,
    ) {
        let same_list = report.list == self.list_digest;
        let named: collections::BTreeSet<_> = report.heard.iter().map(|heard| &heard.vm).collect();
        let common = report.common.iter();
        let common: collections::BTreeMap<_, _> =
            common.map(|common| (&common.domain, common)).collect();
        for (name, peer) in &mut self.peers {
            let domain = peer.entry.as_ref().map(|vm| &vm.domain);
            let Some(common) = domain.and_then(|domain| common.get(domain)) else {
                continue;
            };
            let applies = is_registered(peer) && peer.entry_version <= report.version;
            if !applies || name == from || named.contains(name) {
                continue;
            }
            let age = std_time::Duration::from_micros(common.age);
            let proof = sent.before(age);
            let proof = proof.filter(|_| is_current(common.revision, common.epoch));
            let (revision, epoch) = if same_list {
                (common.revision, common.epoch)
            } else {
                (0, 0)
            };
            let heard_at = now.before(age).unwrap_or_default();
            peer.record_contact(heard_at, revision, epoch, proof);
        }
    }
}

/// Median proofs by failure domain.
type DomainProofs<'a> = collections::BTreeMap<&'a Name, time::Time>;

/// Whether the store names the known incarnation.
fn is_registered(peer: &Peer) -> bool {
    peer.stored_incarnation == peer.incarnation
}

/// Failure domain of a VM, if the VM need not be named.
fn common_domain<'a>(peer: &'a Peer, medians: &DomainProofs<'_>) -> Option<&'a Name> {
    let is_heard = peer.proven_at != time::Time::default();
    let listed = peer
        .entry
        .as_ref()
        .filter(|_| is_heard && is_registered(peer))?;
    let proof = medians.get(&listed.domain)?;
    (proof.since(peer.proven_at) <= MAX_COMMON_SPREAD).then_some(&listed.domain)
}

fn peer_state(name: &Name, peer: &Peer, now: time::Time) -> message::PeerState {
    let known = peer.proven_at != time::Time::default();
    message::PeerState {
        vm: name.clone(),
        incarnation: peer.incarnation,
        age: if known {
            time::micros(now.since(peer.proven_at))
        } else {
            u64::MAX
        },
        revision: peer.revision,
        epoch: peer.epoch,
    }
}
