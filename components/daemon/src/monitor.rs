//! Polls, fences and promotions of an instance, one after the other.

use std::{io, net, sync, sync::mpsc, thread, time};

use config::Name;
use kernel::{event, position};

use crate::{links, locks, shell};

/// Time for an answer.
const TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time without a call after which the thread ends: longer than the pauses of
/// the polls of an instance in trouble.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(700);
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

/// The calls of one instance, in order. Its thread ends when there are none for
/// a while, since most instances are called now and then only.
pub struct Monitor {
    /// Where the instance listens.
    pub address: net::SocketAddr,
    shell: sync::Weak<shell::Shell>,
    group: Name,
    instance: Name,
    calls: Calls,
}

/// Calls to the thread; none while there is no thread.
type Calls = sync::Arc<sync::Mutex<Option<mpsc::Sender<Call>>>>;

impl Monitor {
    /// A monitor without a thread yet.
    pub fn new(
        shell: &sync::Arc<shell::Shell>,
        group: Name,
        instance: Name,
        address: net::SocketAddr,
    ) -> Self {
        Self {
            address,
            shell: sync::Arc::downgrade(shell),
            group,
            instance,
            calls: Calls::default(),
        }
    }

    /// Queues a call.
    pub fn call(&self, call: Call) {
        let mut calls = locks::lock(&self.calls);
        let sent = calls.as_ref().is_some_and(|calls| calls.send(call).is_ok());
        if sent {
            return;
        }
        let (sender, queue) = mpsc::channel();
        let _ = sender.send(call);
        match self.start(queue) {
            Ok(()) => *calls = Some(sender),
            Err(error) => {
                log::error!(instance = &**self.instance, error:%; "a monitor could not start");
            }
        }
    }

    fn start(&self, queue: mpsc::Receiver<Call>) -> io::Result<()> {
        let (shell, calls) = (self.shell.clone(), self.calls.clone());
        let (group, instance) = (self.group.clone(), self.instance.clone());
        let address = self.address;
        let run = move || {
            let mut connection = None;
            while let Some(call) = next(&queue, &calls) {
                let Some(shell) = shell.upgrade() else {
                    return;
                };
                match shell.links() {
                    Some(links) => answer_over(&shell, links, &group, &instance, address, call),
                    None => answer(&shell, &instance, address, &mut connection, call),
                }
            }
        };
        let builder = thread::Builder::new().stack_size(STACK_SIZE);
        builder.spawn(run).map(|_| ())
    }
}

impl Drop for Monitor {
    fn drop(&mut self) {
        *locks::lock(&self.calls) = None;
    }
}

/// The next call; none if the thread is to end.
fn next(queue: &mpsc::Receiver<Call>, calls: &Calls) -> Option<Call> {
    match queue.recv_timeout(IDLE_TIMEOUT) {
        Ok(call) => Some(call),
        Err(mpsc::RecvTimeoutError::Disconnected) => None,
        Err(mpsc::RecvTimeoutError::Timeout) => {
            let mut calls = locks::lock(calls);
            // One may have come in between.
            let call = queue.try_recv().ok();
            if call.is_none() {
                *calls = None;
            }
            call
        }
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
                shell.drive(event::Event::PositionObserved(event::Observation {
                    instance: instance.clone(),
                    sent,
                    applied,
                }));
            }
            if is_poll {
                return shell.drive(event::Event::PollFailed(instance.clone(), true));
            }
        }
        Err(links::Unasked::Full) if is_poll => {
            // The statements under way show whether it lives.
            return shell.drive(event::Event::PollFailed(instance.clone(), false));
        }
        Err(links::Unasked::Lost(dialect::Lost::Rejected(dialect::Reason::Crowded))) if is_poll => {
            return shell.drive(event::Event::PollFailed(instance.clone(), true));
        }
        Err(unasked) => log::debug!(instance = &***instance, unasked:%; "no status"),
    }
    let instance = instance.clone();
    shell.drive(match call {
        Call::Poll => event::Event::PollAnswered(event::PollReply {
            instance,
            sent,
            status,
        }),
        Call::Fence(term) => event::Event::FenceAnswered(event::TermReply {
            instance,
            term,
            accepted: status.is_some(),
            status,
        }),
        Call::Resume => event::Event::ResumeAnswered(instance, status.is_some()),
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
        Call::Poll => event::Event::PollAnswered(event::PollReply {
            instance,
            sent,
            status: result.map(|(_, status)| status),
        }),
        Call::Fence(term) => event::Event::FenceAnswered(fence(instance, term, result)),
        Call::Promote(term) => event::Event::PromotionAnswered(fence(instance, term, result)),
        Call::Depose(_) | Call::Resume => return,
    });
}

fn fence(
    instance: Name,
    term: position::Term,
    result: Option<(bool, position::Status)>,
) -> event::TermReply {
    event::TermReply {
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
