//! Threads that call the platform.

use std::{sync, sync::mpsc, thread};

use kernel::event;

use crate::shell;

/// A call to the table service.
#[derive(Debug)]
pub enum Call {
    /// Read a row.
    Load(event::RowKey),
    /// Write a row if its version is as given.
    Store(u64, event::Row),
}

/// Answers the calls of the queue, one after the other.
pub fn start(
    shell: &sync::Arc<shell::Shell>,
    service: sync::Arc<dyn platform::Service>,
    calls: mpsc::Receiver<Call>,
) {
    let weak = sync::Arc::downgrade(shell);
    thread::spawn(move || {
        while let Ok(call) = calls.recv() {
            let event = answer(service.as_ref(), call);
            let Some(shell) = weak.upgrade() else {
                return;
            };
            shell.drive(event);
        }
    });
}

fn answer(service: &dyn platform::Service, call: Call) -> event::Event {
    match call {
        Call::Load(key) => event::Event::Loaded(key, service.load(key)),
        Call::Store(version, row) => {
            let key = match &row {
                event::Row::Head(_) => event::RowKey::Head,
                event::Row::Epoch(_) => event::RowKey::Epoch,
            };
            event::Event::Stored(key, service.store(version, &row))
        }
    }
}

/// Reads the list of VMs from time to time.
pub fn watch(shell: &sync::Arc<shell::Shell>, service: sync::Arc<dyn platform::Service>) {
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
