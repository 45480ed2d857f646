//! Threads for sessions. A thread whose session has ended waits for the next
//! one, since many sessions are short and a new thread costs more than they do.

use std::{
    io, sync,
    sync::{atomic, mpsc},
    thread,
};

use crate::locks;

/// Stack of a session's thread, in bytes.
const STACK_BYTES: usize = 128 * 1024;
/// Threads that wait for a session; more than these end with theirs.
const IDLE_LIMIT: usize = 64;

/// What a thread runs.
pub type Job = Box<dyn FnOnce() + Send>;

type IdleWorkers = sync::Arc<sync::Mutex<Vec<mpsc::Sender<Job>>>>;

/// Threads that wait, the last used at the end.
#[derive(Clone, Default)]
pub struct Workers {
    idle: IdleWorkers,
    closed: sync::Arc<atomic::AtomicBool>,
}

impl Workers {
    /// Runs a job on a thread that waits, or on a new one.
    pub fn run(&self, job: Job) -> io::Result<()> {
        let idle_worker = locks::lock(&self.idle).pop();
        let worker = match idle_worker {
            Some(worker) => worker,
            None => self.spawn()?,
        };
        // A thread that waits, or has just begun, takes what it is sent.
        worker
            .send(job)
            .map_err(|_| io::ErrorKind::BrokenPipe.into())
    }

    fn spawn(&self) -> io::Result<mpsc::Sender<Job>> {
        let (sender, jobs) = mpsc::channel::<Job>();
        let (idle, own_sender) = (self.idle.clone(), sender.clone());
        let closed = self.closed.clone();
        let work = move || {
            while let Ok(job) = jobs.recv() {
                job();
                let mut idle = locks::lock(&idle);
                if closed.load(atomic::Ordering::SeqCst) || idle.len() >= IDLE_LIMIT {
                    return;
                }
                idle.push(own_sender.clone());
            }
        };
        thread::Builder::new().stack_size(STACK_BYTES).spawn(work)?;
        Ok(sender)
    }

    /// Ends the threads that wait, and the others after their sessions.
    pub fn close(&self) {
        self.closed.store(true, atomic::Ordering::SeqCst);
        for worker in locks::lock(&self.idle).drain(..) {
            let _ = worker.send(Box::new(|| {}));
        }
    }
}
