//! Calls that control an instance: polls, fences, promotions and others. The
//! calls to one instance run one after the other on a thread.

use std::{io, net, sync, sync::mpsc, thread, time};

use config::Name;
use kernel::{event, position, time as kernel_time};

use crate::{links, locks, runtime};

/// Time limit of a call.
const TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time without a call after which the thread ends. It is longer than the pauses
/// between polls of an instance that does not answer, so such polls share a thread.
const IDLE_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Stack size of a monitor's thread.
const STACK_BYTES: usize = 128 * 1024;
/// Database that monitors connect to.
const DATABASE: &str = "postgres";

/// Call to an instance.
#[derive(Clone, Copy, Debug)]
pub enum Call {
    /// Report the status.
    Poll,
    /// Report the status during a replacement.
    Check,
    /// Accept a term; over a dialect, also pause replication. Not made from the time on.
    Fence(position::Term, kernel_time::Time),
    /// Become primary in a term.
    Promote(position::Term),
    /// Step down if primary in a lower term. Not made from the time on.
    Demote(position::Term, kernel_time::Time),
    /// Resume replication on an instance where a fence paused it. Not made from the time
    /// on.
    Resume(kernel_time::Time),
}

impl Call {
    /// Whether the call may be sent at a time.
    pub fn is_valid(&self, now: kernel_time::Time) -> bool {
        match self {
            Call::Poll | Call::Check | Call::Promote(_) => true,
            Call::Fence(_, deadline) | Call::Demote(_, deadline) | Call::Resume(deadline) => {
                now < *deadline
            }
        }
    }

    /// Whether the call may use the reserved connection if all others are in use. Polls of
    /// a leader do without: the running requests show whether it is alive.
    pub fn may_use_reserve(&self) -> bool {
        !matches!(self, Call::Poll)
    }
}

/// Queue of calls to one instance, and the thread that makes them. The thread ends
/// when the queue stays empty for a while, since most instances are called rarely.
pub struct Monitor {
    /// Address of the instance.
    pub address: net::SocketAddr,
    runtime: sync::Weak<runtime::Runtime>,
    group: Name,
    instance: Name,
    call_sender: CallSender,
}

/// Sender to the thread's queue; none while there is no thread.
type CallSender = sync::Arc<sync::Mutex<Option<mpsc::Sender<Call>>>>;

impl Monitor {
    /// Creates a monitor; the first call starts its thread.
    pub fn new(
        runtime: &sync::Arc<runtime::Runtime>,
        group: Name,
        instance: Name,
        address: net::SocketAddr,
    ) -> Self {
        Self {
            address,
            runtime: sync::Arc::downgrade(runtime),
            group,
            instance,
            call_sender: CallSender::default(),
        }
    }

    /// Queues a call, and starts the thread if there is none.
    pub fn call(&self, call: Call) {
        let mut call_sender = locks::lock(&self.call_sender);
        let sent = call_sender
            .as_ref()
            .is_some_and(|sender| sender.send(call).is_ok());
        if sent {
            return;
        }
        let (sender, queue) = mpsc::channel();
        let _ = sender.send(call);
        match self.spawn_thread(queue) {
            Ok(()) => *call_sender = Some(sender),
            Err(error) => {
                log::error!(instance = &**self.instance, error:%;
                    "cannot start the monitor thread");
            }
        }
    }

    fn spawn_thread(&self, queue: mpsc::Receiver<Call>) -> io::Result<()> {
        let (runtime, call_sender) = (self.runtime.clone(), self.call_sender.clone());
        let (group, instance) = (self.group.clone(), self.instance.clone());
        let address = self.address;
        let run = move || {
            let mut connection = None;
            while let Some(call) = next_call(&queue, &call_sender) {
                let Some(runtime) = runtime.upgrade() else {
                    return;
                };
                match runtime.links() {
                    Some(links) => run_over_link(&runtime, links, &group, &instance, address, call),
                    None => run_over_wire(&runtime, &instance, address, &mut connection, call),
                }
            }
        };
        let builder = thread::Builder::new().stack_size(STACK_BYTES);
        builder.spawn(run).map(|_| ())
    }
}

impl Drop for Monitor {
    fn drop(&mut self) {
        *locks::lock(&self.call_sender) = None;
    }
}

/// Returns the next call; none if the thread must end.
fn next_call(queue: &mpsc::Receiver<Call>, call_sender: &CallSender) -> Option<Call> {
    match queue.recv_timeout(IDLE_TIMEOUT) {
        Ok(call) => Some(call),
        Err(mpsc::RecvTimeoutError::Disconnected) => None,
        Err(mpsc::RecvTimeoutError::Timeout) => {
            let mut call_sender = locks::lock(call_sender);
            // A call may have been queued between the timeout and the lock.
            let call = queue.try_recv().ok();
            if call.is_none() {
                *call_sender = None;
            }
            call
        }
    }
}

/// Makes a call over a connection of a dialect, and tells the kernel the result.
fn run_over_link(
    runtime: &runtime::Runtime,
    links: &links::Links,
    group: &Name,
    instance: &Name,
    address: net::SocketAddr,
    call: Call,
) {
    let sent = runtime.clock.now();
    let is_valid = || call.is_valid(runtime.clock.now());
    let status_reply = links.call(group, instance, address, TIMEOUT, call, &is_valid);
    let is_poll = matches!(call, Call::Poll | Call::Check);
    let mut status = None;
    match status_reply {
        Ok(dialect::StatusReply::Status(reported)) => status = Some(reported),
        Ok(dialect::StatusReply::Busy(applied)) => {
            if let Some(applied) = applied {
                runtime.handle_event(event::Event::PositionObserved(event::Observation {
                    instance: instance.clone(),
                    sent,
                    applied,
                }));
            }
            if is_poll {
                return runtime.handle_event(event::Event::PollFailed(instance.clone(), true));
            }
        }
        Err(links::CallFailure::Full) if is_poll => {
            // The running statements show whether the instance is alive.
            return runtime.handle_event(event::Event::PollFailed(instance.clone(), false));
        }
        Err(links::CallFailure::Lost(dialect::LinkFailure::Rejected(
            dialect::RefusalReason::TooManyConnections,
        ))) if is_poll => {
            return runtime.handle_event(event::Event::PollFailed(instance.clone(), true));
        }
        Err(failure) => log::debug!(instance = &***instance, failure:%; "no status"),
    }
    let instance = instance.clone();
    runtime.handle_event(match call {
        Call::Poll | Call::Check => event::Event::PollAnswered(event::PollReply {
            instance,
            sent,
            status,
        }),
        Call::Fence(term, _) => event::Event::FenceAnswered(event::TermReply {
            instance,
            term,
            accepted: status.is_some(),
            status,
        }),
        Call::Resume(_) => event::Event::ResumeAnswered(instance, status.is_some()),
        Call::Promote(_) | Call::Demote(..) => return,
    });
}

/// Makes a call over the PostgreSQL protocol, and tells the kernel the result.
fn run_over_wire(
    runtime: &runtime::Runtime,
    instance: &Name,
    address: net::SocketAddr,
    connection: &mut Option<wire::ServerConnection>,
    call: Call,
) {
    connect(runtime, address, connection);
    let sent = runtime.clock.now();
    let result = connection
        .as_mut()
        .map(|server| send_call(runtime, server, call));
    let result = match result {
        Some(Ok(result)) => Some(result),
        _ => {
            *connection = None;
            None
        }
    };
    let instance = instance.clone();
    runtime.handle_event(match call {
        Call::Poll | Call::Check => event::Event::PollAnswered(event::PollReply {
            instance,
            sent,
            status: result.map(|(_, status)| status),
        }),
        Call::Fence(term, _) => event::Event::FenceAnswered(term_reply(instance, term, result)),
        Call::Promote(term) => event::Event::PromotionAnswered(term_reply(instance, term, result)),
        Call::Demote(..) | Call::Resume(_) => return,
    });
}

fn term_reply(
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

fn connect(
    runtime: &runtime::Runtime,
    address: net::SocketAddr,
    connection: &mut Option<wire::ServerConnection>,
) {
    if connection
        .as_ref()
        .is_some_and(wire::ServerConnection::is_usable)
    {
        return;
    }
    let mut endpoint = runtime.connector.endpoint(address);
    endpoint.timeout = TIMEOUT;
    *connection = wire::ServerConnection::connect(endpoint, &runtime.connector.login_for(DATABASE))
        .ok()
        .and_then(|mut server| {
            let limited = server.stream.set_read_timeout(Some(TIMEOUT));
            limited.is_ok().then_some(server)
        });
}

fn send_call(
    runtime: &runtime::Runtime,
    server: &mut wire::ServerConnection,
    call: Call,
) -> Result<(bool, position::Status), wire::Failure> {
    let vm = &runtime.settings.vm;
    match call {
        Call::Poll | Call::Check | Call::Demote(..) | Call::Resume(_) => {
            Ok((true, wire::query_status(server)?))
        }
        Call::Fence(term, _) => wire::fence(server, term, vm),
        Call::Promote(term) => wire::promote(server, term, vm),
    }
}
