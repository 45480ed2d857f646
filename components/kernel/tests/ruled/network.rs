//! The ways between VMs, instances and the store, and what happens at their ends.

use config::Name;
use kernel::{event, message, position, time};

use super::{CONNECT_TIMEOUT, PROMOTION, Parcel, WAY, World, index, name};

impl World {
    pub(super) fn send(&mut self, from: usize, to: &Name, message: message::Message) {
        match message {
            message::Message::ConfirmTransfer(_) if self.lose_took => return,
            message::Message::RequestTransfer(_) => self.asks += 1,
            message::Message::Ping(_, ref report) | message::Message::Pong(_, ref report) => {
                self.exchanged += 1;
                self.named += report.heard.len();
            }
            _ => {}
        }
        let Some(to) = self.setups.iter().position(|setup| setup.vm == *to) else {
            return;
        };
        let crosses = self.setups[from].region != self.setups[to].region;
        self.crossed += usize::from(crosses);
        let cut = self.cut_peers.contains(&from) || self.cut_peers.contains(&to);
        if cut || (crosses && self.cut_regions) {
            return;
        }
        let from = self.setups[from].vm.clone();
        let event = event::Event::MessageReceived(from, message);
        self.post(WAY, Parcel::Kernel(to, event));
    }

    pub(super) fn reaches(&self, vm: usize, instance: usize) -> bool {
        let fake = &self.instances[instance];
        fake.alive && !fake.silent && !self.cut_instances.contains(&(vm, instance))
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

    pub(super) fn open(&mut self, parcel: Parcel) {
        match parcel {
            Parcel::Kernel(vm, event) => self.drive(vm, event),
            Parcel::Poll(vm, instance, sent) => self.poll(vm, instance, sent),
            Parcel::Fence(vm, instance, term) => {
                let reached = self.reaches(vm, instance);
                self.instances[instance].held |= reached;
                let fence = event::TermReply {
                    instance: name(&format!("db-{instance}")),
                    term,
                    accepted: reached,
                    status: reached.then(|| self.status(instance)),
                };
                self.post(WAY, Parcel::Kernel(vm, event::Event::FenceAnswered(fence)));
            }
            Parcel::Depose(instance, term) => {
                let fake = &mut self.instances[instance];
                if fake.alive && fake.term < term.0 {
                    fake.role = position::Role::Replica;
                }
            }
            Parcel::Resume(vm, instance) => {
                let reached = self.reaches(vm, instance);
                if reached {
                    self.instances[instance].held = false;
                }
                let named = name(&format!("db-{instance}"));
                let event = event::Event::ResumeAnswered(named, reached);
                self.post(WAY, Parcel::Kernel(vm, event));
            }
            Parcel::Unsent(vm, request) => self.unsent(vm, request),
            Parcel::Store(vm, version, row, key) => self.store(vm, version, row, key),
            Parcel::Order(vm, order) => self.order(vm, &order),
            Parcel::Lead(instance) => {
                let term = self.instances.iter().map(|fake| fake.term).max();
                let fake = &mut self.instances[instance];
                fake.role = position::Role::Primary;
                fake.term = term.unwrap_or(0) + 1;
                for fake in &mut self.instances {
                    fake.held = false;
                }
            }
            Parcel::Run(vm, request, grant) => self.execute(vm, request, &grant),
            Parcel::Done(vm, request, grant) => self.finish(vm, request, &grant),
        }
    }

    pub(super) fn poll(&mut self, vm: usize, instance: usize, sent: time::Time) {
        self.polls += 1;
        let named = name(&format!("db-{instance}"));
        let reached = self.reaches(vm, instance);
        let wait = if self.instances[instance].silent {
            CONNECT_TIMEOUT
        } else {
            WAY
        };
        if reached && self.instances[instance].crowded {
            let event = event::Event::PollFailed(named, true);
            return self.post(WAY, Parcel::Kernel(vm, event));
        }
        let poll = event::PollReply {
            instance: named,
            sent,
            status: reached.then(|| self.status(instance)),
        };
        self.post(wait, Parcel::Kernel(vm, event::Event::PollAnswered(poll)));
    }

    pub(super) fn order(&mut self, vm: usize, order: &event::PromotionOrder) {
        let instance = index(&order.instance);
        let highest = self.orders.iter().map(|(token, _)| *token).max();
        if highest.is_some_and(|highest| order.fencing_token < highest) {
            self.violations.push("an order carried an old token".into());
        }
        let shared = |(other, token): &(usize, u64)| *other != vm && *token == order.fencing_token;
        if self.holders.iter().any(shared) {
            self.violations
                .push("two VMs ordered with the same token".into());
        }
        self.holders.push((vm, order.fencing_token));
        self.orders.push((order.fencing_token, instance));
        let ordered = if self.instances[instance].alive {
            // Nothing changes for the present primary.
            if self.leader() != Some(instance) {
                self.post(PROMOTION, Parcel::Lead(instance));
            }
            event::OrderOutcome::Accepted
        } else {
            event::OrderOutcome::Rejected
        };
        let ordered = if self.lose_orders > 0 {
            self.lose_orders -= 1;
            event::OrderOutcome::Unknown
        } else {
            ordered
        };
        let event = event::Event::PromotionOrdered(order.group.clone(), ordered);
        self.post(WAY, Parcel::Kernel(vm, event));
    }
}
