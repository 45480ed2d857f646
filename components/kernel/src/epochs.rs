//! Epochs of the budgets: who shares, and from when.

use std::time as std_time;

use crate::{daemon, event, group, journal, message, time};

/// Shortest time between two budget epochs.
const EPOCH_PAUSE: std_time::Duration = std_time::Duration::from_millis(500);
/// Time in which VMs that start together register with the store.
const RULED_EPOCH_PAUSE: std_time::Duration = std_time::Duration::from_millis(250);
/// VMs up to which each tells the others of an epoch and confirms it to all;
/// beyond, views of the store and the exchange with peers carry it.
pub(crate) const DIRECT_MEMBERS: usize = 16;
/// Shortest time between two epochs that only return lost shares.
const LEAK_PAUSE: std_time::Duration = std_time::Duration::from_secs(3);
/// The same in a large fleet, where all shares stand still for about two seconds
/// until every member has confirmed, and a lost one is a small part.
const LARGE_LEAK_PAUSE: std_time::Duration = std_time::Duration::from_secs(15);
/// Time that a VM lets each VM before it propose the next epoch.
const EPOCH_STAGGER: std_time::Duration = std_time::Duration::from_millis(500);

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
        self.grow();
    }

    /// Tells the members of a small epoch at once that it is in use here.
    fn confirm_epoch(&mut self) {
        let ruled = self.arbiter == group::Arbiter::Store;
        let members = &self.budgets.epoch().members;
        if !ruled || members.len() > DIRECT_MEMBERS {
            return;
        }
        let own = self.members.own();
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

    /// Whether nobody can use shares of before the epoch, which was adopted here
    /// at `since`.
    fn is_confirmed(&self, epoch: &event::Epoch, since: time::Time) -> bool {
        // Whoever has not learnt of the epoch by then refuses all requests.
        let limit = self.setup.timing.refusal;
        if self.arbiter == group::Arbiter::Store && self.now.since(since) > limit {
            return true;
        }
        let own = self.members.own();
        let mut runs = epoch.members.iter().chain(&epoch.former);
        runs.all(|run| run.vm == own.vm || self.has_confirmed(run, epoch.number))
    }

    /// Whether no run on the VM of a member can use shares of before an epoch.
    fn has_confirmed(&self, run: &event::MemberId, epoch: u64) -> bool {
        let current = self.members.current(run);
        let peer = self.members.peers().get(&run.vm);
        let reached =
            peer.is_some_and(|p| p.incarnation == current.incarnation && p.epoch >= epoch);
        if reached || self.members.is_gone(&current, self.now) {
            return true;
        }
        // A run that takes the place of this one may hold its part of a rate.
        current != *run
            && (self.arbiter == group::Arbiter::Instances
                || self.has_registered_since(&current, epoch))
    }

    /// Whether a run has registered after the epoch was written: it reads the
    /// epoch before it uses anything.
    fn has_registered_since(&self, run: &event::MemberId, epoch: u64) -> bool {
        let Some((written, event::Row::Epoch(row))) = self.view.row(&event::RowKey::Epoch) else {
            return false;
        };
        let registered = self.view.version(&event::RowKey::Member(run.vm.clone()));
        let entry = self.view.member(&run.vm);
        // A doubt is written by others.
        let own = entry.is_some_and(|e| e.incarnation == run.incarnation && !e.doubted);
        row.number >= epoch && own && registered > *written
    }

    /// Takes up the shares of an epoch once nobody can use older ones.
    pub(crate) fn grow(&mut self) {
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

    /// Proposes a new epoch when the live VMs are no longer its members.
    pub(crate) fn propose_epoch(&mut self) {
        let Some(version) = self.control.epoch_version else {
            return;
        };
        if !self.members.sees_majority(self.now) || !self.epoch_outdated() {
            self.control.epoch_wanted = None;
            return;
        }
        let wanted = *self.control.epoch_wanted.get_or_insert(self.now);
        let live = self.members.live(self.now);
        let own = self.members.own();
        let rank = live.iter().position(|member| *member == own).unwrap_or(0);
        let pause = match self.arbiter {
            group::Arbiter::Instances => EPOCH_PAUSE,
            group::Arbiter::Store => RULED_EPOCH_PAUSE,
        };
        let delay = pause + EPOCH_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX);
        let recent = |at: time::Time| self.now.since(at) < EPOCH_PAUSE * 2;
        // A VM that has no share yet does not wait.
        let first = self.budgets.epoch().number == 0 || !self.budgets.is_member();
        let calm = !recent(self.control.epoch_adopted) || first;
        let repeated = self.control.epoch_proposed.is_some_and(recent);
        if self.now < wanted + delay || !calm || repeated {
            return;
        }
        self.control.epoch_proposed = Some(self.now);
        let row = event::Row::Epoch(self.next_epoch(live));
        self.actions.push(event::Action::StoreRow(version, row));
    }

    fn epoch_outdated(&self) -> bool {
        let epoch = self.budgets.epoch();
        let live = self.members.live(self.now);
        // Sorted, as all epochs are.
        let joined = live
            .iter()
            .any(|member| epoch.members.binary_search(member).is_err());
        let left = epoch
            .members
            .iter()
            .any(|member| self.members.is_gone(member, self.now));
        let pause = if epoch.members.len() > DIRECT_MEMBERS {
            LARGE_LEAK_PAUSE
        } else {
            LEAK_PAUSE
        };
        let calm = self.now.since(self.control.epoch_adopted) >= pause;
        joined || left || (calm && self.budgets.has_lost_transfer(self.now))
    }

    fn next_epoch(&self, live: Vec<event::MemberId>) -> event::Epoch {
        let epoch = self.budgets.epoch();
        let ruled = self.arbiter == group::Arbiter::Store;
        let mut former: Vec<_> = self
            .budgets
            .confirmers()
            .map(|run| {
                if ruled {
                    // A newer run may hold the rates of the one that it follows.
                    self.members.current(run)
                } else {
                    run.clone()
                }
            })
            .filter(|run| !live.contains(run))
            .filter(|run| !self.members.is_gone(run, self.now))
            .collect();
        former.sort();
        former.dedup();
        // Where the store lists the VMs, a member that is silent but listed may be
        // heard again soon, and has to confirm in any case: it keeps its part.
        let (kept, former): (Vec<_>, Vec<_>) = former
            .into_iter()
            .partition(|former| ruled && epoch.members.iter().any(|m| m.vm == former.vm));
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
