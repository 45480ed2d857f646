//! Thread pool for sessions.
//!
//! A thread whose session has ended waits for another session. Many sessions are
//! short, and starting a thread costs more than serving one of them.

use std::{
    io, sync,
    sync::{atomic, mpsc},
    thread,
};

use crate::locks;

/// Stack size of a session's thread.
const STACK_BYTES: usize = 128 * 1024;
/// Largest number of idle threads; further threads end with their session.
const IDLE_LIMIT: usize = 64;

/// Work for one thread.
pub type Job = Box<dyn FnOnce() + Send>;

/// Senders to the idle threads, the most recently used last.
type IdleWorkers = sync::Arc<sync::Mutex<Vec<mpsc::Sender<Job>>>>;

/// Pool of threads.
#[derive(Clone, Default)]
pub struct Workers {
    idle: IdleWorkers,
    closed: sync::Arc<atomic::AtomicBool>,
}

impl Workers {
    /// Runs a job on an idle thread, or on a new one.
    pub fn run(&self, job: Job) -> io::Result<()> {
        let idle_worker = locks::lock(&self.idle).pop();
        let worker = match idle_worker {
            Some(worker) => worker,
            None => self.spawn()?,
        };
        // An idle or new thread always receives the job: it blocks on its channel.
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

    /// Ends the idle threads now, and each other thread after its session.
    pub fn close(&self) {
        self.closed.store(true, atomic::Ordering::SeqCst);
        for worker in locks::lock(&self.idle).drain(..) {
            let _ = worker.send(Box::new(|| {}));
        }
    }
}
