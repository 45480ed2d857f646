//! Which VMs exchange reports with each other.
//!
//! In a small region every VM exchanges with every other, and one relay a
//! region with the relays of the others. In a large region, where the store
//! arbitrates, two relays a failure domain exchange with each other and serve
//! the VMs of their domain: what a VM sends then no longer grows with the
//! fleet, and what a relay sends grows with its domain.

use std::collections;

use config::Name;

use crate::{
    event, group,
    membership::{Membership, Peer},
    time,
};

/// Periods without an answer after which a VM no longer serves as relay.
const RESPONSE_PERIODS: u32 = 5;
/// VMs of a region up to which each exchanges with all others: the bytes of a
/// mesh are still below those of its requests.
const MESH_LIMIT: usize = 8;
/// VMs of another region that are tried in one exchange while none answers.
const REMOTE_ATTEMPTS: usize = 3;
/// Relays of a failure domain, so that the loss of one is not noticed.
const DOMAIN_RELAYS: usize = 2;

impl Membership {
    /// VMs of the list, with their entries.
    fn peers_with_entries(&self) -> impl Iterator<Item = (&Name, &Peer, &event::Vm)> {
        let peers = self.peers.iter();
        peers.filter_map(|(name, peer)| Some((name, peer, peer.entry.as_ref()?)))
    }

    /// Other VMs of the own region.
    fn regional_peers(&self) -> impl Iterator<Item = (&Name, &Peer, &event::Vm)> {
        let own = |(_, _, vm): &(&Name, &Peer, &event::Vm)| vm.region == self.region;
        self.peers_with_entries().filter(own)
    }

    /// Whether relays of failure domains carry the exchange.
    pub(super) fn is_hierarchical(&self) -> bool {
        self.arbiter == group::Arbiter::Store && self.regional_peers().count() >= MESH_LIMIT
    }

    /// VM that reads the store for this one, the last by name since the first
    /// ones are relays: that of the failure domain, or for this VM itself that
    /// of the region. None if every VM reads the store.
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

    /// Relays of the region by failure domain.
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

    /// VMs of the region that ask leaders for their positions and pass them on;
    /// none if every VM asks for itself.
    pub fn position_samplers(&self, now: time::Time) -> Option<Vec<Name>> {
        if !self.is_hierarchical() {
            return None;
        }
        let relays = self.domain_relays(now);
        Some(relays.into_values().flatten().cloned().collect())
    }

    /// The relays of the own failure domain; as one of them, those of the
    /// region; as the region's first, also those of other regions.
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

    /// Whether a VM answers, or has been listed too short a time to tell.
    fn can_relay(&self, peer: &Peer, now: time::Time) -> bool {
        let new = peer.proven_at == time::Time::default()
            && now.since(peer.heard_at) <= self.gossip_period * RESPONSE_PERIODS;
        new || self.is_responsive(peer, now)
    }

    /// One relay of each other region; a few VMs in turn of one that does not
    /// answer, since a link that is full is no better for more of them.
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

    /// VMs that this one exchanges with.
    pub fn gossip_targets(&self, now: time::Time) -> Vec<Name> {
        if self.is_hierarchical() {
            self.hierarchical_targets(now)
        } else {
            self.mesh_targets(now)
        }
    }

    /// Its region, and as the region's relay the relays of the others.
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

    /// Whether this VM exchanges with other regions.
    pub fn is_region_relay(&self, now: time::Time) -> bool {
        let mut peers = self.regional_peers();
        !peers.any(|(name, peer, _)| *name < self.vm && self.can_relay(peer, now))
    }

    pub(super) fn is_responsive(&self, peer: &Peer, now: time::Time) -> bool {
        peer.proven_at != time::Time::default()
            && now.since(peer.proven_at) <= self.gossip_period * RESPONSE_PERIODS
    }
}
