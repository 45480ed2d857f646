//! Network between VMs, instances and the store, and what the receivers do.

use config::Name;
use kernel::{event, message, position, time};

use super::{
    CONNECT_TIMEOUT, Delivery, LINK_DELAY, PROMOTION_TIME, STEP, Simulation, instance_index, name,
};

impl Simulation {
    pub(super) fn send(&mut self, from: usize, to: &Name, message: message::Message) {
        match message {
            message::Message::ConfirmTransfer(_) if self.drop_confirmations => return,
            message::Message::RequestTransfer(_) => self.transfer_requests += 1,
            message::Message::Ping(_, ref report) | message::Message::Pong(_, ref report) => {
                self.ping_messages += 1;
                self.reported_vms += report.heard.len();
            }
            _ => {}
        }
        let Some(to) = self.setups.iter().position(|setup| setup.vm == *to) else {
            return;
        };
        let is_interregion = self.setups[from].region != self.setups[to].region;
        self.interregion_messages += usize::from(is_interregion);
        let is_cut = self.cut_peers.contains(&from) || self.cut_peers.contains(&to);
        if is_cut || (is_interregion && self.cut_regions) {
            return;
        }
        let from = self.setups[from].vm.clone();
        let event = event::Event::MessageReceived(from, message);
        self.schedule(LINK_DELAY, Delivery::Event(to, event));
    }

    pub(super) fn can_reach(&self, vm: usize, instance: usize) -> bool {
        let fake = &self.instances[instance];
        fake.is_alive && !fake.is_unresponsive && !self.cut_instances.contains(&(vm, instance))
    }

    pub(super) fn status(&self, instance: usize) -> position::Status {
        let fake = &self.instances[instance];
        position::Status {
            term: position::Term(fake.term),
            promised: position::Term(fake.term),
            role: fake.role,
            received: position::Lsn(fake.received),
            replayed: position::Lsn(fake.received),
            start: position::Lsn(0),
        }
    }

    /// Whether a VM has claimed the group's leader.
    fn is_claimed(&self) -> bool {
        let key = event::RowKey::Leader(name("orders"));
        let row = self.store.row(&key);
        matches!(row, Some(event::Row::Leader(_, leader)) if leader.claim.is_some())
    }

    pub(super) fn deliver(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(vm, event) => self.dispatch(vm, event),
            Delivery::Poll(vm, instance, sent) => self.answer_poll(vm, instance, sent),
            Delivery::Fence(vm, instance, term) => {
                let is_reached = self.can_reach(vm, instance);
                let fake = &mut self.instances[instance];
                let is_busy = is_reached && fake.busy_fences > 0;
                fake.busy_fences -= usize::from(is_busy);
                let accepted = is_reached && !is_busy;
                fake.replication_paused |= accepted && term.0 > fake.term;
                let reply = event::TermReply {
                    instance: name(&format!("db-{instance}")),
                    term,
                    accepted,
                    status: accepted.then(|| self.status(instance)),
                };
                self.schedule(
                    LINK_DELAY,
                    Delivery::Event(vm, event::Event::FenceAnswered(reply)),
                );
            }
            Delivery::Demote(instance, term) => {
                let fake = &mut self.instances[instance];
                if fake.is_alive && fake.term < term.0 {
                    fake.role = position::Role::Replica;
                }
            }
            Delivery::ResumeReplication(vm, instance) => {
                let is_reached = self.can_reach(vm, instance);
                if is_reached {
                    if self.is_claimed() {
                        self.violations
                            .push("replication was resumed during a replacement".into());
                    }
                    self.instances[instance].replication_paused = false;
                }
                let instance_name = name(&format!("db-{instance}"));
                let event = event::Event::ResumeAnswered(instance_name, is_reached);
                self.schedule(LINK_DELAY, Delivery::Event(vm, event));
            }
            Delivery::FailConnection(vm, request) => self.fail_connection(vm, request),
            Delivery::Write(vm, write) if self.held_writers.contains(&vm) => {
                self.schedule(STEP, Delivery::Write(vm, write));
            }
            Delivery::Write(vm, write) => self.apply_write(vm, &write),
            Delivery::OrderPromotion(vm, order) => self.order_promotion(vm, &order),
            Delivery::Promote(instance) => {
                self.check_promoted(instance);
                let term = self.instances.iter().map(|fake| fake.term).max();
                let fake = &mut self.instances[instance];
                fake.role = position::Role::Primary;
                fake.term = term.unwrap_or(0) + 1;
                for fake in &mut self.instances {
                    fake.replication_paused = false;
                }
            }
            Delivery::Execute(vm, request, grant) => self.execute(vm, request, &grant),
            Delivery::Connected(vm, request, grant) => self.send_statement(vm, request, &grant),
            Delivery::Complete(vm, request, grant, floor) => {
                self.complete(vm, request, &grant, floor)
            }
        }
    }

    pub(super) fn answer_poll(&mut self, vm: usize, instance: usize, sent: time::Time) {
        self.polls += 1;
        let instance_name = name(&format!("db-{instance}"));
        let is_reached = self.can_reach(vm, instance);
        let wait = if self.instances[instance].is_unresponsive {
            CONNECT_TIMEOUT
        } else {
            LINK_DELAY
        };
        if is_reached && self.instances[instance].is_full {
            let event = event::Event::PollFailed(instance_name, true);
            return self.schedule(LINK_DELAY, Delivery::Event(vm, event));
        }
        let reply = event::PollReply {
            instance: instance_name,
            sent,
            status: is_reached.then(|| self.status(instance)),
        };
        self.schedule(wait, Delivery::Event(vm, event::Event::PollAnswered(reply)));
    }

    pub(super) fn order_promotion(&mut self, vm: usize, order: &event::PromotionOrder) {
        let instance = instance_index(&order.instance);
        let highest = self.promotion_orders.iter().map(|(token, _)| *token).max();
        if highest.is_some_and(|highest| order.fencing_token < highest) {
            self.violations
                .push("a promotion order carried an old fencing token".into());
        }
        let shared = |(other, token): &(usize, u64)| *other != vm && *token == order.fencing_token;
        if self.order_senders.iter().any(shared) {
            self.violations
                .push("two VMs ordered promotions with the same fencing token".into());
        }
        self.order_senders.push((vm, order.fencing_token));
        self.promotion_orders.push((order.fencing_token, instance));
        let outcome = if self.instances[instance].is_alive {
            // An order for the instance that leads already changes nothing.
            if self.leader() != Some(instance) {
                self.schedule(PROMOTION_TIME, Delivery::Promote(instance));
            }
            event::OrderOutcome::Accepted
        } else {
            event::OrderOutcome::Rejected
        };
        let outcome = if self.lose_orders > 0 {
            self.lose_orders -= 1;
            event::OrderOutcome::Unknown
        } else {
            outcome
        };
        let event = event::Event::PromotionOrdered(order.group.clone(), outcome);
        self.schedule(LINK_DELAY, Delivery::Event(vm, event));
    }
}
