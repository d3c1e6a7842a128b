//! Writes a node's records on a thread of its own, so that a slow disk does not stall the node. A failed write is
//! repeated until it succeeds or the node begins a new incarnation.

use super::input::Input;
use crate::kernel::disk::Disk;
use crate::kernel::hold::{WriteBatch, write_batch};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

/// How often the free space is read while nothing is written.
const FREE_SPACE_PERIOD: Duration = Duration::from_secs(1);
/// The pause after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The most batches that are written and synced together.
const JOBS_PER_WRITE_MAX: usize = 256;

/// What the thread shares with the driver.
#[derive(Clone)]
struct SharedDisk {
    disk: Arc<Mutex<Box<dyn Disk>>>,
    incarnation: Arc<AtomicU64>,
    free_bytes: Arc<AtomicU64>,
}

/// A handle to the disk thread.
pub struct DiskWriter {
    shared: SharedDisk,
    tx: Sender<(u64, WriteBatch)>,
}

impl DiskWriter {
    /// Starts the thread; `inputs` receives [`Input::Synced`] after each successful write.
    pub fn start(disk: Box<dyn Disk>, inputs: Sender<Input>) -> DiskWriter {
        let free_bytes = Arc::new(AtomicU64::new(disk.room()));
        let shared = SharedDisk { disk: Arc::new(Mutex::new(disk)), incarnation: Arc::default(), free_bytes };
        let (tx, rx) = channel();
        let writer = shared.clone();
        let thread = std::thread::Builder::new().name("disk".into()).spawn(move || writer.run(rx, inputs));
        thread.expect("the machine must let this process start threads");
        DiskWriter { shared, tx }
    }

    /// Begins a new incarnation of the node and locks the disk for it. Batches of earlier incarnations that are still
    /// queued are dropped.
    pub fn start_incarnation(&self) -> MutexGuard<'_, Box<dyn Disk>> {
        self.shared.incarnation.fetch_add(1, Ordering::SeqCst);
        self.shared.disk.lock().unwrap()
    }

    /// The number of the current incarnation.
    pub fn incarnation(&self) -> u64 {
        self.shared.incarnation.load(Ordering::SeqCst)
    }

    /// Queues a batch for writing.
    pub fn write(&self, job: WriteBatch) {
        let _ = self.tx.send((self.incarnation(), job));
    }

    /// The free space on the disk in bytes, as last read.
    pub fn free_bytes(&self) -> u64 {
        self.shared.free_bytes.load(Ordering::SeqCst)
    }
}

impl SharedDisk {
    fn run(self, rx: Receiver<(u64, WriteBatch)>, inputs: Sender<Input>) {
        loop {
            let first = match rx.recv_timeout(FREE_SPACE_PERIOD) {
                Ok(first) => Some(first),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut jobs: Vec<(u64, WriteBatch)> = first.into_iter().collect();
            while !jobs.is_empty()
                && jobs.len() < JOBS_PER_WRITE_MAX
                && let Ok(job) = rx.try_recv()
            {
                jobs.push(job);
            }
            if let Some((incarnation, up_to)) = jobs.last().map(|j| (j.0, j.1.number))
                && self.write_batch(incarnation, jobs)
            {
                let _ = inputs.send(Input::Synced { incarnation, up_to });
            }
            let free_bytes = self.disk.lock().unwrap().room();
            self.free_bytes.store(free_bytes, Ordering::SeqCst);
        }
    }

    /// Writes the batches of incarnation `incarnation`, retrying until it succeeds. Returns false if a newer incarnation
    /// has begun.
    fn write_batch(&self, incarnation: u64, jobs: Vec<(u64, WriteBatch)>) -> bool {
        let rows: Vec<_> = jobs.into_iter().filter(|j| j.0 == incarnation).flat_map(|j| j.1.writes).collect();
        let mut was_reported = false;
        loop {
            let mut disk = self.disk.lock().unwrap();
            if self.incarnation.load(Ordering::SeqCst) != incarnation {
                return false;
            }
            let Err(f) = write_batch(&mut **disk, &rows) else {
                if was_reported {
                    log::info!(event = "disk-back"; "");
                }
                return true;
            };
            self.free_bytes.store(disk.room(), Ordering::SeqCst);
            drop(disk);
            if !was_reported {
                log::error!(event = "disk-failed", fault = f.to_string(); "");
            }
            was_reported = true;
            std::thread::sleep(RETRY_DELAY);
        }
    }
}
