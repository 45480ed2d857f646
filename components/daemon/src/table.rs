//! Threads that call the platform.

use std::{sync, sync::mpsc, thread, time};

use kernel::{event, proof, view, view_sync};

use crate::shell;

/// Longest time between two looks at whether the store has to be read here.
const REST_PAUSE: time::Duration = time::Duration::from_millis(250);
/// The same while a daemon finds out whom it follows.
const FIRST_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Time after a daemon's start for which it does.
const FIRST_LOOKS: time::Duration = time::Duration::from_secs(3);

/// A call to the platform.
#[derive(Debug)]
pub enum Call {
    /// Read a row.
    Load(event::RowKey),
    /// Write or remove a row if its version is as given.
    Write(event::RowChange),
    /// Order a promotion.
    Order(event::Order),
    /// Tell when all calls before have been made.
    Flush(mpsc::Sender<()>),
}

/// The platform's services.
#[derive(Clone)]
pub struct Services {
    /// Its store.
    pub store: sync::Arc<dyn store::Service>,
    /// What takes orders, if there is such a service.
    pub orders: Option<sync::Arc<dyn store::Orders>>,
}

/// Answers the calls of the queue, one after the other.
pub fn start(shell: &sync::Arc<shell::Shell>, services: Services, calls: mpsc::Receiver<Call>) {
    let weak = sync::Arc::downgrade(shell);
    let vm = shell.settings.vm.clone();
    let clock = shell.clock;
    thread::spawn(move || {
        while let Ok(call) = calls.recv() {
            let event = answer(&services, &vm, &clock, call);
            let Some(shell) = weak.upgrade() else {
                return;
            };
            if let Some(event) = event {
                shell.drive(event);
            }
        }
    });
}

fn answer(
    services: &Services,
    vm: &str,
    clock: &crate::clock::Clock,
    call: Call,
) -> Option<event::Event> {
    Some(match call {
        Call::Load(key) => {
            let loaded = services.store.load(&key);
            event::Event::Loaded(key, loaded)
        }
        Call::Write(change) => {
            let stored = services.store.transact(std::slice::from_ref(&change));
            event::Event::Stored(change.key, stored)
        }
        Call::Order(order) => {
            let ordered = match &services.orders {
                Some(orders) if clock.now() < order.until => orders.order(vm, &order),
                Some(_) => {
                    log::warn!(group = &**order.group; "an order came too late to be sent");
                    event::Ordered::Rejected
                }
                None => {
                    log::error!("no service takes orders; set `orders` in the settings");
                    event::Ordered::Rejected
                }
            };
            event::Event::Ordered(order.group, ordered)
        }
        Call::Flush(done) => {
            let _ = done.send(());
            return None;
        }
    })
}

/// Reads the list of VMs from time to time.
pub fn list(shell: &sync::Arc<shell::Shell>, service: sync::Arc<dyn store::Service>) {
    let weak = sync::Arc::downgrade(shell);
    let period = shell.settings.timing.platform;
    thread::spawn(move || {
        loop {
            let listed = service.list();
            let Some(shell) = weak.upgrade().filter(|shell| !shell.is_halted()) else {
                return;
            };
            if let Ok(vms) = listed {
                shell.drive(event::Event::Listed(vms));
            }
            drop(shell);
            thread::sleep(period);
        }
    });
}

/// Follows a part of the store, if the store can be followed.
pub fn watch(shell: &sync::Arc<shell::Shell>, service: &dyn store::Service, part: view::Part) {
    let Some(mut watch) = service.watch(part) else {
        return;
    };
    let weak = sync::Arc::downgrade(shell);
    let clock = shell.clock;
    let started = time::Instant::now();
    thread::spawn(move || {
        let mut failures = 0;
        let mut store = proof::StoreClock::default();
        loop {
            let running = weak.upgrade().filter(|shell| !shell.is_halted());
            let Some(due) = running.map(|shell| shell.inspect(|kernel| kernel.due_read(part)))
            else {
                return;
            };
            let sent = clock.now();
            let pause = if started.elapsed() < FIRST_LOOKS {
                FIRST_PAUSE
            } else {
                REST_PAUSE
            };
            let Some(due) = due else {
                thread::sleep(pause);
                continue;
            };
            if due.at > sent {
                thread::sleep(due.at.since(sent).min(pause));
                continue;
            }
            let found = watch.read(due.after, due.wait);
            let received = clock.now();
            let Some(shell) = weak.upgrade().filter(|shell| !shell.is_halted()) else {
                return;
            };
            let mut ended = view_sync::FinishedRead {
                part,
                sent,
                changes: None,
                failed: found.is_err(),
            };
            match found {
                Ok(changes) => {
                    if failures > 0 {
                        log::info!(part:%, failures; "the store answers again");
                    }
                    failures = 0;
                    ended.changes = (!changes.whole).then_some(changes.list.len());
                    shell.drive(event::Event::Watched(view::Update {
                        part,
                        proven_at: store.prove(sent, received, changes.clock),
                        version: changes.version,
                        whole: changes.whole,
                        changes: changes.list,
                    }));
                }
                Err(failure) => {
                    failures += 1;
                    if failures == 1 {
                        log::warn!(part:%, failure:%; "the store does not answer");
                    }
                }
            }
            shell.drive(event::Event::ReadEnded(ended));
        }
    });
}
