//! Threads that call the platform.

use std::{sync, sync::mpsc, thread, time};

use kernel::{event, proof, view};

use crate::shell;

/// Pause after a watch that failed at once, so that a store that refuses is
/// not called all the time.
const FAILURE_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Longest pause after failures in a row.
const FAILURE_PAUSE_LIMIT: time::Duration = time::Duration::from_millis(400);

/// Shortest time between two reads of a part, so that many changes in a row
/// come together; one change by itself is not delayed.
const FEED_SPACING: time::Duration = time::Duration::from_millis(100);
/// Time between two looks at whether the store has to be read here.
const REST_PAUSE: time::Duration = time::Duration::from_millis(250);

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
pub fn watch(
    shell: &sync::Arc<shell::Shell>,
    service: &dyn store::Service,
    part: view::Part,
    wait: time::Duration,
) {
    let Some(mut watch) = service.watch(part) else {
        return;
    };
    let weak = sync::Arc::downgrade(shell);
    let clock = shell.clock;
    thread::spawn(move || {
        let mut failures = 0;
        let mut store = proof::StoreClock::default();
        let mut resting = false;
        loop {
            let reads = weak.upgrade().filter(|shell| !shell.is_halted());
            let Some(reads) = reads.map(|shell| shell.inspect(kernel::Daemon::reads_store)) else {
                return;
            };
            if !reads {
                resting = true;
                thread::sleep(REST_PAUSE);
                continue;
            }
            if resting {
                // Others have told of changes in between.
                watch.restart();
                resting = false;
            }
            let sent = clock.now();
            let found = watch.next(wait);
            let received = clock.now();
            let Some(shell) = weak.upgrade().filter(|shell| !shell.is_halted()) else {
                return;
            };
            match found {
                Ok(changes) => {
                    if failures > 0 {
                        log::info!(part:%, failures; "the store answers again");
                    }
                    failures = 0;
                    shell.drive(event::Event::Watched(view::Update {
                        part,
                        proved: store.prove(sent, received, changes.clock),
                        whole: changes.whole,
                        changes: changes.list,
                    }));
                    drop(shell);
                    thread::sleep(FEED_SPACING.saturating_sub(received.since(sent)));
                }
                Err(failure) => {
                    failures += 1;
                    if failures == 1 {
                        log::warn!(part:%, failure:%; "the store does not answer");
                    }
                    drop(shell);
                    thread::sleep((FAILURE_PAUSE * failures).min(FAILURE_PAUSE_LIMIT));
                }
            }
        }
    });
}
