//! Which VMs exchange reports with each other.
//!
//! In a small region, every VM exchanges reports with every other VM, and one relay
//! per region exchanges reports with the other regions. In a large region, where
//! the store arbitrates, each failure domain has two relays. The relays of a region
//! exchange reports with each other, and each VM exchanges reports with the relays
//! of its domain. What an ordinary VM sends then does not grow with the fleet, and
//! what a relay sends grows with its domain.

use std::collections;

use config::Name;

use crate::{
    event, group,
    membership::{Membership, Peer},
    time,
};

/// Gossip periods without an answer after which a VM can no longer be a relay.
const RESPONSE_PERIODS: u32 = 5;
/// Number of other VMs in a region from which relays carry the reports: in a smaller
/// mesh, reports still take fewer bytes than requests.
const MESH_LIMIT: usize = 8;
/// VMs of another region that are tried in one round while none of them answers.
const REMOTE_ATTEMPTS: usize = 3;
/// Relays per failure domain: the loss of one of two does not interrupt the
/// exchange.
const DOMAIN_RELAYS: usize = 2;

impl Membership {
    /// Peers that are in the list of VMs, with their entries.
    fn peers_with_entries(&self) -> impl Iterator<Item = (&Name, &Peer, &event::Vm)> {
        let peers = self.peers.iter();
        peers.filter_map(|(name, peer)| Some((name, peer, peer.entry.as_ref()?)))
    }

    /// Other VMs of this VM's region, with their entries.
    fn regional_peers(&self) -> impl Iterator<Item = (&Name, &Peer, &event::Vm)> {
        let own = |(_, _, vm): &(&Name, &Peer, &event::Vm)| vm.region == self.region;
        self.peers_with_entries().filter(own)
    }

    /// Whether relays per failure domain carry the exchange of reports.
    pub(super) fn is_hierarchical(&self) -> bool {
        self.arbiter == group::Arbiter::Store && self.regional_peers().count() >= MESH_LIMIT
    }

    /// VM that reads the store for this one: the last by name in the failure
    /// domain, or the last in the region if this VM is the last in its domain. The
    /// first ones by name are relays. None if every VM reads the store.
    pub fn store_reader(&self, now: time::Time) -> Option<Name> {
        if !self.is_hierarchical() {
            return None;
        }
        let mut domain = &self.vm;
        let mut region = &self.vm;
        for (name, peer, vm) in self.regional_peers() {
            if vm.leaving || !self.can_relay(peer, now) {
                continue;
            }
            region = region.max(name);
            if vm.domain == self.domain {
                domain = domain.max(name);
            }
        }
        let reader = if *domain == self.vm { region } else { domain };
        Some(reader.clone())
    }

    /// Relays of this region by failure domain.
    fn domain_relays(&self, now: time::Time) -> collections::BTreeMap<&Name, Vec<&Name>> {
        let mut domains = collections::BTreeMap::<&Name, Vec<&Name>>::new();
        domains.entry(&self.domain).or_default().push(&self.vm);
        for (name, peer, vm) in self.regional_peers() {
            if self.can_relay(peer, now) {
                domains.entry(&vm.domain).or_default().push(name);
            }
        }
        for names in domains.values_mut() {
            names.sort_unstable();
            names.truncate(DOMAIN_RELAYS);
        }
        domains
    }

    /// VMs of the region that query leaders for their positions and report them to
    /// other VMs; none if every VM queries for itself.
    pub fn position_samplers(&self, now: time::Time) -> Option<Vec<Name>> {
        if !self.is_hierarchical() {
            return None;
        }
        let relays = self.domain_relays(now);
        Some(relays.into_values().flatten().cloned().collect())
    }

    /// Relays of the failure domain; on a relay, all relays of the region; on the
    /// first relay of the region, also VMs of other regions.
    fn hierarchical_targets(&self, now: time::Time) -> Vec<Name> {
        let domains = self.domain_relays(now);
        let own = &domains[&self.domain];
        if !own.contains(&&self.vm) {
            return own.iter().map(|name| (*name).clone()).collect();
        }
        let relays = domains.into_values().flatten();
        let mut targets: Vec<_> = relays.filter(|name| **name != self.vm).cloned().collect();
        if self.is_region_relay(now) {
            targets.extend(self.remote_targets(now));
        }
        targets
    }

    /// Whether a VM answers, or has been known for too short a time to tell.
    fn can_relay(&self, peer: &Peer, now: time::Time) -> bool {
        let new = peer.proven_at == time::Time::default()
            && now.since(peer.heard_at) <= self.gossip_period * RESPONSE_PERIODS;
        new || self.is_responsive(peer, now)
    }

    /// One VM that answers in each other region. In a region where none answers, a
    /// few VMs in turn: trying more of them does not help if the link is full.
    fn remote_targets(&self, now: time::Time) -> Vec<Name> {
        let mut regions = collections::BTreeMap::<&Name, Vec<_>>::new();
        for (name, peer, vm) in self.peers_with_entries() {
            if vm.region != self.region {
                regions.entry(&vm.region).or_default().push((name, peer));
            }
        }
        let mut names = Vec::new();
        for vms in regions.into_values() {
            let answering = vms.iter().find(|(_, peer)| self.is_responsive(peer, now));
            if let Some((name, _)) = answering {
                names.push((*name).clone());
                continue;
            }
            let start = self.rounds * REMOTE_ATTEMPTS % vms.len();
            let tried = vms
                .iter()
                .cycle()
                .skip(start)
                .take(REMOTE_ATTEMPTS.min(vms.len()));
            names.extend(tried.map(|(name, _)| (*name).clone()));
        }
        names
    }

    /// VMs with which this VM exchanges reports.
    pub fn gossip_targets(&self, now: time::Time) -> Vec<Name> {
        if self.is_hierarchical() {
            self.hierarchical_targets(now)
        } else {
            self.mesh_targets(now)
        }
    }

    /// All VMs of the region; on the region's relay, also VMs of other regions.
    fn mesh_targets(&self, now: time::Time) -> Vec<Name> {
        let mut names: Vec<_> = self
            .regional_peers()
            .map(|(name, _, _)| name.clone())
            .collect();
        if self.is_region_relay(now) {
            names.extend(self.remote_targets(now));
        }
        names
    }

    /// Whether this VM exchanges reports with other regions: the first VM by name
    /// that answers.
    pub fn is_region_relay(&self, now: time::Time) -> bool {
        let mut peers = self.regional_peers();
        !peers.any(|(name, peer, _)| *name < self.vm && self.can_relay(peer, now))
    }

    pub(super) fn is_responsive(&self, peer: &Peer, now: time::Time) -> bool {
        peer.proven_at != time::Time::default()
            && now.since(peer.proven_at) <= self.gossip_period * RESPONSE_PERIODS
    }
}
