//! Budget epochs: which daemons share the budgets, and when a new division takes
//! effect.
//!
//! An epoch names the incarnations of daemons that share the budgets. When a daemon
//! adopts an epoch, the daemon reduces its shares at once to those of the epoch. The
//! daemon raises its shares only once no daemon can use shares of an earlier epoch.

use std::time as std_time;

use crate::{daemon, event, group, journal, message, time};

/// Delay before a VM proposes the next epoch. A VM that has shares also waits until
/// it adopted the last epoch twice this time ago.
const PROPOSAL_DELAY: std_time::Duration = std_time::Duration::from_millis(500);
/// `PROPOSAL_DELAY` where the store arbitrates: VMs that start together register
/// with the store in this time.
const STORE_PROPOSAL_DELAY: std_time::Duration = std_time::Duration::from_millis(250);
/// Largest number of members for which every daemon sends an epoch to all others and
/// confirms the epoch to them directly. Daemons learn of larger epochs from the
/// store, and confirm them in the reports that VMs exchange.
pub(crate) const DIRECT_MEMBERS_LIMIT: usize = 16;
/// Shortest time between two epochs that only return lost shares.
const LEAK_INTERVAL: std_time::Duration = std_time::Duration::from_secs(3);
/// `LEAK_INTERVAL` in a large fleet: no units move for about two seconds until every
/// member has confirmed the epoch, and a lost share is a small part of the budget.
const LARGE_LEAK_INTERVAL: std_time::Duration = std_time::Duration::from_secs(15);
/// Delay that a VM adds for each live VM that sorts before it, so that one VM
/// proposes first.
const PROPOSAL_STAGGER: std_time::Duration = std_time::Duration::from_millis(500);

impl daemon::Daemon {
    pub(crate) fn adopt_epoch(&mut self, epoch: &event::Epoch) {
        if !self.budgets.adopt(epoch, self.now) {
            return;
        }
        self.control.epoch_adopted = self.now;
        self.control.epoch_proposed = None;
        self.control.epoch_wanted = None;
        self.resize_pools();
        self.record_epoch(false);
        self.send_pings(true);
        self.confirm_epoch();
        self.activate_shares();
    }

    /// Confirms a small epoch to all its members at once.
    fn confirm_epoch(&mut self) {
        let store_arbitrates = self.arbiter == group::Arbiter::Store;
        let members = &self.budgets.epoch().members;
        if !store_arbitrates || members.len() > DIRECT_MEMBERS_LIMIT {
            return;
        }
        let own = self.members.own_member();
        let others: Vec<_> = members
            .iter()
            .filter(|member| member.vm != own.vm)
            .map(|member| member.vm.clone())
            .collect();
        let report = self.brief_report();
        for vm in others {
            let ping = message::Message::Ping(self.now, report.clone());
            self.send(vm, ping);
        }
    }

    fn record_epoch(&mut self, grown: bool) {
        let (number, members) = {
            let epoch = self.budgets.epoch();
            (epoch.number, epoch.members.len())
        };
        self.record_decision(journal::Decision::Epoch {
            number,
            members,
            grown,
        });
    }

    /// Whether no daemon can use shares of an epoch before this one, which this
    /// daemon adopted at `since`.
    fn is_confirmed(&self, epoch: &event::Epoch, since: time::Time) -> bool {
        // After this time, a daemon that has not learnt of the epoch refuses all
        // requests.
        let limit = self.setup.timing.refusal_timeout;
        if self.arbiter == group::Arbiter::Store && self.now.since(since) > limit {
            return true;
        }
        let own = self.members.own_member();
        let mut members = epoch.members.iter().chain(&epoch.former);
        members.all(|member| member.vm == own.vm || self.has_confirmed(member, epoch.number))
    }

    /// Whether no incarnation on the member's VM can use shares of an epoch before
    /// this one.
    fn has_confirmed(&self, member: &event::MemberId, epoch: u64) -> bool {
        let current = self.members.newest_incarnation(member);
        let peer = self.members.peers().get(&member.vm);
        let reached =
            peer.is_some_and(|p| p.incarnation == current.incarnation && p.epoch >= epoch);
        if reached || self.members.is_gone(&current, self.now) {
            return true;
        }
        // A newer incarnation on the VM may hold the rate share of this one.
        current != *member
            && (self.arbiter == group::Arbiter::Instances
                || self.has_registered_since(&current, epoch))
    }

    /// Whether the incarnation registered after the epoch was written: it then
    /// reads the epoch before it uses any share.
    fn has_registered_since(&self, member: &event::MemberId, epoch: u64) -> bool {
        let Some((written, event::Row::Epoch(row))) = self.view.row(&event::RowKey::Epoch) else {
            return false;
        };
        let registered = self.view.row(&event::RowKey::Member(member.vm.clone()));
        let registered = registered.map_or(0, |(version, _)| *version);
        let entry = self.view.member(&member.vm);
        // Other VMs mark a row as doubted, so such a row says nothing about its own
        // VM.
        let own = entry.is_some_and(|e| e.incarnation == member.incarnation && !e.doubted);
        row.number >= epoch && own && registered > *written
    }

    /// Activates the shares of the newest epoch that is confirmed, so that no daemon
    /// can use shares of an earlier epoch.
    pub(crate) fn activate_shares(&mut self) {
        let newest = self
            .budgets
            .unconfirmed_epochs()
            .filter(|(epoch, since)| epoch.number > 0 && self.is_confirmed(epoch, *since));
        let Some(number) = newest.map(|(epoch, _)| epoch.number).max() else {
            return;
        };
        self.budgets.activate(number, self.now);
        self.resize_pools();
        if self.budgets.is_active() {
            self.record_epoch(true);
        }
        self.admit_waiting();
        let groups: Vec<_> = self.groups.keys().cloned().collect();
        for group in groups {
            self.dispatch(&group);
        }
    }

    /// Proposes a new epoch when the current one is outdated.
    pub(crate) fn propose_epoch(&mut self) {
        let Some(version) = self.control.epoch_version else {
            return;
        };
        if !self.members.has_quorum(self.now) || !self.is_epoch_outdated() {
            self.control.epoch_wanted = None;
            return;
        }
        let wanted = *self.control.epoch_wanted.get_or_insert(self.now);
        let live = self.members.live_members(self.now);
        let own = self.members.own_member();
        let rank = live.iter().position(|member| *member == own).unwrap_or(0);
        let pause = match self.arbiter {
            group::Arbiter::Instances => PROPOSAL_DELAY,
            group::Arbiter::Store => STORE_PROPOSAL_DELAY,
        };
        let delay = pause + PROPOSAL_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX);
        let is_recent = |at: time::Time| self.now.since(at) < PROPOSAL_DELAY * 2;
        // A VM that has no share yet does not wait for the last epoch to settle.
        let is_joining = self.budgets.epoch().number == 0 || !self.budgets.is_member();
        let is_settled = !is_recent(self.control.epoch_adopted) || is_joining;
        let repeated = self.control.epoch_proposed.is_some_and(is_recent);
        if self.now < wanted + delay || !is_settled || repeated {
            return;
        }
        self.control.epoch_proposed = Some(self.now);
        let row = event::Row::Epoch(self.next_epoch(live));
        self.store_row(version, row);
    }

    fn is_epoch_outdated(&self) -> bool {
        let epoch = self.budgets.epoch();
        let live = self.members.live_members(self.now);
        // The members of every epoch are sorted.
        let joined = live
            .iter()
            .any(|member| epoch.members.binary_search(member).is_err());
        let left = epoch
            .members
            .iter()
            .any(|member| self.members.is_gone(member, self.now));
        let pause = if epoch.members.len() > DIRECT_MEMBERS_LIMIT {
            LARGE_LEAK_INTERVAL
        } else {
            LEAK_INTERVAL
        };
        let is_settled = self.now.since(self.control.epoch_adopted) >= pause;
        joined || left || (is_settled && self.budgets.has_lost_transfer(self.now))
    }

    fn next_epoch(&self, live: Vec<event::MemberId>) -> event::Epoch {
        let epoch = self.budgets.epoch();
        let store_arbitrates = self.arbiter == group::Arbiter::Store;
        let mut former: Vec<_> = self
            .budgets
            .confirmers()
            .map(|member| {
                if store_arbitrates {
                    // A newer incarnation may hold the rate shares of its
                    // predecessor.
                    self.members.newest_incarnation(member)
                } else {
                    member.clone()
                }
            })
            .filter(|member| !live.contains(member))
            .filter(|member| !self.members.is_gone(member, self.now))
            .collect();
        former.sort();
        former.dedup();
        // Where the store lists the VMs, a member that is silent but listed may
        // answer again soon. It has to confirm the epoch in any case, so it keeps
        // its share.
        let (kept, former): (Vec<_>, Vec<_>) = former.into_iter().partition(|former| {
            store_arbitrates && epoch.members.iter().any(|m| m.vm == former.vm)
        });
        let mut members = live;
        members.extend(kept);
        members.sort();
        event::Epoch {
            number: epoch.number + 1,
            members,
            former,
        }
    }
}
