//! One thread an instance for polls, fences and promotions.

use std::{net, sync, sync::mpsc, thread, time};

use config::Name;
use kernel::{event, position};

use crate::{links, shell};

/// Time for an answer.
const TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Stack of a monitor's thread, in bytes.
const STACK_SIZE: usize = 128 * 1024;
/// Database that monitors log in to.
const DATABASE: &str = "postgres";

/// A call to an instance.
#[derive(Clone, Copy, Debug)]
pub enum Call {
    /// Its status.
    Poll,
    /// Accept a term.
    Fence(position::Term),
    /// Become primary.
    Promote(position::Term),
    /// Step down below a term.
    Depose(position::Term),
    /// Receive again after a hold.
    Resume,
}

/// The calls of one instance, in order.
pub struct Monitor {
    /// Where the instance listens.
    pub address: net::SocketAddr,
    calls: mpsc::Sender<Call>,
}

impl Monitor {
    /// Starts the thread; it ends with the monitor.
    pub fn start(
        shell: &sync::Arc<shell::Shell>,
        group: Name,
        instance: Name,
        address: net::SocketAddr,
    ) -> Self {
        let (calls, queue) = mpsc::channel();
        let weak = sync::Arc::downgrade(shell);
        let run = move || {
            let mut connection = None;
            while let Ok(call) = queue.recv() {
                let Some(shell) = weak.upgrade() else {
                    return;
                };
                match shell.links() {
                    Some(links) => answer_over(&shell, links, &group, &instance, address, call),
                    None => answer(&shell, &instance, address, &mut connection, call),
                }
            }
        };
        let spawned = thread::Builder::new().stack_size(STACK_SIZE).spawn(run);
        if let Err(error) = spawned {
            log::error!("a monitor could not start: {error}");
        }
        Self { address, calls }
    }

    /// Queues a call.
    pub fn call(&self, call: Call) {
        let _ = self.calls.send(call);
    }
}

/// Makes a call over a connection of the pool.
fn answer_over(
    shell: &shell::Shell,
    links: &links::Links,
    group: &Name,
    instance: &Name,
    address: net::SocketAddr,
    call: Call,
) {
    let sent = shell.clock.now();
    let standing = links.ask(group, instance, address, TIMEOUT, call);
    let is_poll = matches!(call, Call::Poll);
    let mut status = None;
    match standing {
        Ok(dialect::Standing::Status(told)) => status = Some(told),
        Ok(dialect::Standing::Busy(applied)) => {
            if let Some(applied) = applied {
                shell.drive(event::Event::Observed(event::Observation {
                    instance: instance.clone(),
                    sent,
                    applied,
                }));
            }
            if is_poll {
                return shell.drive(event::Event::Unpolled(instance.clone(), true));
            }
        }
        Err(links::Unasked::Full) if is_poll => {
            // The statements under way show whether it lives.
            return shell.drive(event::Event::Unpolled(instance.clone(), false));
        }
        Err(links::Unasked::Lost(dialect::Lost::Rejected(dialect::Reason::Crowded))) if is_poll => {
            return shell.drive(event::Event::Unpolled(instance.clone(), true));
        }
        Err(unasked) => log::debug!(instance = &***instance, unasked:%; "no status"),
    }
    let instance = instance.clone();
    shell.drive(match call {
        Call::Poll => event::Event::Polled(event::Poll {
            instance,
            sent,
            status,
        }),
        Call::Fence(term) => event::Event::Fenced(event::Fence {
            instance,
            term,
            accepted: status.is_some(),
            status,
        }),
        Call::Resume => event::Event::Resumed(instance, status.is_some()),
        Call::Promote(_) | Call::Depose(_) => return,
    });
}

fn answer(
    shell: &shell::Shell,
    instance: &Name,
    address: net::SocketAddr,
    connection: &mut Option<wire::Server>,
    call: Call,
) {
    connect(shell, address, connection);
    let sent = shell.clock.now();
    let result = connection.as_mut().map(|server| ask(shell, server, call));
    let result = match result {
        Some(Ok(result)) => Some(result),
        _ => {
            *connection = None;
            None
        }
    };
    let instance = instance.clone();
    shell.drive(match call {
        Call::Poll => event::Event::Polled(event::Poll {
            instance,
            sent,
            status: result.map(|(_, status)| status),
        }),
        Call::Fence(term) => event::Event::Fenced(fence(instance, term, result)),
        Call::Promote(term) => event::Event::Promoted(fence(instance, term, result)),
        Call::Depose(_) | Call::Resume => return,
    });
}

fn fence(
    instance: Name,
    term: position::Term,
    result: Option<(bool, position::Status)>,
) -> event::Fence {
    event::Fence {
        instance,
        term,
        accepted: result.is_some_and(|(accepted, _)| accepted),
        status: result.map(|(_, status)| status),
    }
}

fn connect(shell: &shell::Shell, address: net::SocketAddr, connection: &mut Option<wire::Server>) {
    if connection.as_ref().is_some_and(wire::Server::is_usable) {
        return;
    }
    let mut endpoint = shell.login.endpoint(address);
    endpoint.timeout = TIMEOUT;
    *connection = wire::Server::connect(endpoint, &shell.login.at(DATABASE))
        .ok()
        .and_then(|mut server| {
            let limited = server.channel.set_read_timeout(Some(TIMEOUT));
            limited.is_ok().then_some(server)
        });
}

fn ask(
    shell: &shell::Shell,
    server: &mut wire::Server,
    call: Call,
) -> Result<(bool, position::Status), wire::Failure> {
    let vm = &shell.settings.vm;
    match call {
        Call::Poll | Call::Depose(_) | Call::Resume => Ok((true, wire::poll(server)?)),
        Call::Fence(term) => wire::fence(server, term, vm),
        Call::Promote(term) => wire::promote(server, term, vm),
    }
}
