use super::input::Input;
use crate::kernel::disk::Disk;
use crate::kernel::hold::{WriteBatch, write_batch};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

const LOOK: Duration = Duration::from_secs(1);
const AGAIN: Duration = Duration::from_millis(200);
const MOST: usize = 256;

#[derive(Clone)]
struct ChangeQueue {
    disk: Arc<Mutex<Box<dyn Disk>>>,
    life: Arc<AtomicU64>,
    room: Arc<AtomicU64>,
}

pub struct Writer {
    desk: ChangeQueue,
    tx: Sender<(u64, WriteBatch)>,
}

impl Writer {
    pub fn start(disk: Box<dyn Disk>, back: Sender<Input>) -> Writer {
        let room = Arc::new(AtomicU64::new(disk.room()));
        let desk = ChangeQueue { disk: Arc::new(Mutex::new(disk)), life: Arc::default(), room };
        let (tx, rx) = channel();
        let work = desk.clone();
        let thread = std::thread::Builder::new().name("disk".into()).spawn(move || work.run(rx, back));
        thread.expect("the machine must let this process start threads");
        Writer { desk, tx }
    }

    pub fn renew(&self) -> MutexGuard<'_, Box<dyn Disk>> {
        self.desk.life.fetch_add(1, Ordering::SeqCst);
        self.desk.disk.lock().unwrap()
    }

    pub fn life(&self) -> u64 {
        self.desk.life.load(Ordering::SeqCst)
    }

    pub fn write(&self, job: WriteBatch) {
        let _ = self.tx.send((self.life(), job));
    }

    pub fn room(&self) -> u64 {
        self.desk.room.load(Ordering::SeqCst)
    }
}

impl ChangeQueue {
    fn run(self, rx: Receiver<(u64, WriteBatch)>, back: Sender<Input>) {
        loop {
            let first = match rx.recv_timeout(LOOK) {
                Ok(first) => Some(first),
                Err(RecvTimeoutError::Timeout) => None,
                Err(RecvTimeoutError::Disconnected) => return,
            };
            let mut jobs: Vec<(u64, WriteBatch)> = first.into_iter().collect();
            while !jobs.is_empty()
                && jobs.len() < MOST
                && let Ok(job) = rx.try_recv()
            {
                jobs.push(job);
            }
            if let Some((life, upto)) = jobs.last().map(|j| (j.0, j.1.number))
                && self.keep(life, jobs)
            {
                let _ = back.send(Input::Synced { life, upto });
            }
            let room = self.disk.lock().unwrap().room();
            self.room.store(room, Ordering::SeqCst);
        }
    }

    fn keep(&self, life: u64, jobs: Vec<(u64, WriteBatch)>) -> bool {
        let rows: Vec<_> = jobs.into_iter().filter(|j| j.0 == life).flat_map(|j| j.1.writes).collect();
        let mut told = false;
        loop {
            let mut disk = self.disk.lock().unwrap();
            if self.life.load(Ordering::SeqCst) != life {
                return false;
            }
            let Err(f) = write_batch(&mut **disk, &rows) else {
                if told {
                    log::info!(event = "disk-back"; "");
                }
                return true;
            };
            self.room.store(disk.room(), Ordering::SeqCst);
            drop(disk);
            if !told {
                log::error!(event = "disk-failed", fault = f.to_string(); "");
            }
            told = true;
            std::thread::sleep(AGAIN);
        }
    }
}
