//! Threads that call the platform: they load and store rows, order promotions,
//! list VMs and watch the store.

use std::{sync, sync::mpsc, thread, time};

use kernel::{event, store_clock, version, view, view_sync};

use crate::runtime;

/// Longest time between two checks whether this VM must read the store.
const CHECK_INTERVAL: time::Duration = time::Duration::from_millis(250);
/// Longest time between such checks just after the start, while the daemon finds
/// out which VM it follows.
const STARTUP_CHECK_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// Time after the daemon's start for which the shorter interval applies.
const STARTUP_PERIOD: time::Duration = time::Duration::from_secs(3);

/// Call to the platform.
#[derive(Debug)]
pub enum Call {
    /// Read a row.
    Load(event::RowKey),
    /// Write or remove a row if its version matches.
    Write(event::RowChange),
    /// Correct rows of a restored store. The view shows whether the write took effect.
    Restore(Vec<event::RowChange>),
    /// Order the promotion of an instance.
    Order(event::PromotionOrder),
    /// Signal the sender when all calls queued before have been made.
    Flush(mpsc::Sender<()>),
}

/// Services of the platform.
#[derive(Clone)]
pub struct Services {
    /// Store.
    pub store: sync::Arc<dyn store::Service>,
    /// Service that takes orders of promotions, if there is one.
    pub orders: Option<sync::Arc<dyn store::PromotionService>>,
}

/// Starts the thread that makes the queued calls one after the other.
pub fn start_call_thread(
    runtime: &sync::Arc<runtime::Runtime>,
    services: Services,
    calls: mpsc::Receiver<Call>,
) {
    let weak = sync::Arc::downgrade(runtime);
    let vm = runtime.settings.vm.clone();
    let clock = runtime.clock;
    thread::spawn(move || {
        while let Ok(call) = calls.recv() {
            let event = execute(&services, &vm, &clock, call);
            let Some(runtime) = weak.upgrade() else {
                return;
            };
            if let Some(event) = event {
                runtime.handle_event(event);
            }
        }
    });
}

/// Makes a call and returns its result as an event; none after a flush or a correction
/// of rows.
fn execute(
    services: &Services,
    vm: &str,
    clock: &crate::clock::Clock,
    call: Call,
) -> Option<event::Event> {
    Some(match call {
        Call::Load(key) => {
            let loaded = services.store.load(&key);
            event::Event::RowLoaded(key, loaded)
        }
        Call::Write(change) => {
            let stored = services.store.transact(std::slice::from_ref(&change));
            event::Event::RowStored(change.key, stored)
        }
        Call::Restore(changes) => {
            let stored = services.store.transact(&changes);
            log::info!(rows = changes.len(), stored:?; "rows of the restored store were corrected");
            return None;
        }
        Call::Order(order) => {
            let ordered = match &services.orders {
                Some(orders) => {
                    let (clock, deadline) = (*clock, order.deadline);
                    let validity = store::Validity::new(move || clock.now() < deadline);
                    orders.order_promotion(vm, &order, &validity)
                }
                None => {
                    log::error!("no service takes promotion orders; set `orders` in the settings");
                    event::OrderOutcome::Rejected
                }
            };
            event::Event::PromotionOrdered(order.group, ordered)
        }
        Call::Flush(done) => {
            let _ = done.send(());
            return None;
        }
    })
}

/// Starts the thread that reads the platform's list of VMs periodically.
pub fn poll_vms(runtime: &sync::Arc<runtime::Runtime>, service: sync::Arc<dyn store::Service>) {
    let weak = sync::Arc::downgrade(runtime);
    let period = runtime.settings.timing.platform_period;
    thread::spawn(move || {
        loop {
            let listed = service.list_vms();
            let Some(runtime) = weak.upgrade().filter(|runtime| !runtime.is_halted()) else {
                return;
            };
            if let Ok(vms) = listed {
                runtime.handle_event(event::Event::VmsListed(vms));
            }
            drop(runtime);
            thread::sleep(period);
        }
    });
}

/// Starts the thread that watches a part of the store, if the store supports
/// watches.
pub fn watch_part(
    runtime: &sync::Arc<runtime::Runtime>,
    service: &dyn store::Service,
    part: view::Part,
) {
    let Some(mut watch) = service.watch(part) else {
        return;
    };
    let weak = sync::Arc::downgrade(runtime);
    let clock = runtime.clock;
    let started = time::Instant::now();
    thread::spawn(move || {
        let mut failures = 0;
        let mut store_clock = store_clock::OffsetBounds::default();
        let mut era = 0;
        loop {
            let running = weak.upgrade().filter(|runtime| !runtime.is_halted());
            let Some(due) = running.map(|runtime| runtime.inspect(|kernel| kernel.due_read(part)))
            else {
                return;
            };
            let sent = clock.now();
            let pause = if started.elapsed() < STARTUP_PERIOD {
                STARTUP_CHECK_INTERVAL
            } else {
                CHECK_INTERVAL
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
            let Some(runtime) = weak.upgrade().filter(|runtime| !runtime.is_halted()) else {
                return;
            };
            let mut read_end = view_sync::FinishedRead {
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
                    let read_era = version::Version::from(changes.version).era();
                    if read_era != era {
                        // The clock of a restored store may have another offset.
                        store_clock = store_clock::OffsetBounds::default();
                        era = read_era;
                    }
                    read_end.changes = (!changes.is_snapshot).then_some(changes.changes.len());
                    runtime.handle_event(event::Event::ViewUpdated(view::Update {
                        part,
                        proven_at: store_clock.proof_time(sent, received, changes.store_time),
                        version: changes.version,
                        whole: changes.is_snapshot,
                        is_direct: true,
                        changes: changes.changes,
                    }));
                }
                Err(failure) => {
                    failures += 1;
                    if failures == 1 {
                        log::warn!(part:%, failure:%; "the store does not answer");
                    }
                }
            }
            runtime.handle_event(event::Event::StoreReadEnded(read_end));
        }
    });
}
