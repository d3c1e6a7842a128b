use super::fault::{Fault, Kind};
use crate::msg::Record;
use crate::wire;
use std::fs::{File, OpenOptions};
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

pub trait Disk: Send {
    fn load(&mut self) -> Result<Vec<Record>, Fault>;
    fn add(&mut self, records: &[Record]) -> Result<(), Fault>;
    fn rewrite(&mut self, records: &[Record]) -> Result<(), Fault>;
    fn set_aside(&mut self) -> Result<(), Fault>;
    fn room(&self) -> u64;
    fn len(&self) -> u64;
    fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

pub struct LogFile {
    dir: PathBuf,
    file: File,
    len: u64,
}

const NAME: &str = "core.log";

fn fault(path: &Path, what: impl std::fmt::Display, remedy: &str) -> Fault {
    Fault::new(Kind::Disk, path.display().to_string(), what.to_string(), remedy)
}

impl LogFile {
    pub fn open(dir: &Path) -> Result<LogFile, Fault> {
        let bad = |e| fault(dir, e, "name a data folder this process can write to");
        std::fs::create_dir_all(dir).map_err(bad)?;
        let path = dir.join(NAME);
        let open = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&path);
        let file = open.map_err(|e| fault(&path, e, "let this process read and write it"))?;
        sync_dir(dir)?;
        Ok(LogFile { dir: dir.to_path_buf(), file, len: 0 })
    }

    fn path(&self) -> PathBuf {
        self.dir.join(NAME)
    }

    fn cut(&mut self) {
        let _ = self.file.set_len(self.len);
        let _ = self.file.sync_data();
    }
}

fn sync_dir(dir: &Path) -> Result<(), Fault> {
    let sync = File::open(dir).and_then(|d| d.sync_all());
    sync.map_err(|e| fault(dir, e, "check the disk under the data folder"))
}

pub fn pack(records: &[Record]) -> Vec<u8> {
    let mut raw = Vec::new();
    for r in records {
        raw.extend(wire::seal(&bitcode::encode(r)));
    }
    raw
}

pub fn unpack(raw: &[u8]) -> Result<(Vec<Record>, usize), usize> {
    let mut out = Vec::new();
    let mut at = 0;
    while at < raw.len() {
        let read = wire::open(&raw[at..], wire::DISK_MAX);
        let row = read.ok().and_then(|(body, n)| Some((bitcode::decode::<Record>(body).ok()?, n)));
        let Some((record, n)) = row else { break };
        out.push(record);
        at += n;
    }
    let later = (at + 1..raw.len()).any(|k| wire::open(&raw[k..], wire::DISK_MAX).is_ok());
    if at < raw.len() && later { Err(at) } else { Ok((out, at)) }
}

impl Disk for LogFile {
    fn load(&mut self) -> Result<Vec<Record>, Fault> {
        let path = self.path();
        let mut raw = Vec::new();
        self.file.seek(SeekFrom::Start(0)).map_err(|e| fault(&path, e, "check the disk"))?;
        self.file.read_to_end(&mut raw).map_err(|e| fault(&path, e, "check the disk"))?;
        match unpack(&raw) {
            Ok((records, len)) => {
                self.len = len as u64;
                if len < raw.len() {
                    log::warn!(event = "log-cut", path = path.display().to_string(), kept = len, torn = raw.len() - len; "");
                    self.cut();
                }
                Ok(records)
            }
            Err(at) => Err(fault(
                &path,
                format!("a record at byte {at} is corrupt and others follow it"),
                "the file is set aside and this node joins again as new; check the disk",
            )),
        }
    }

    fn add(&mut self, records: &[Record]) -> Result<(), Fault> {
        let raw = pack(records);
        let path = self.path();
        let seek = self.file.seek(SeekFrom::Start(self.len));
        let done = seek.and_then(|_| self.file.write_all(&raw)).and_then(|_| self.file.sync_data());
        if let Err(e) = done {
            self.cut();
            return Err(fault(&path, e, "free room on the disk or replace it"));
        }
        self.len += raw.len() as u64;
        Ok(())
    }

    fn rewrite(&mut self, records: &[Record]) -> Result<(), Fault> {
        let raw = pack(records);
        let new = self.dir.join("core.new");
        let bad = |e| fault(&new, e, "free room on the disk or replace it");
        let open = OpenOptions::new().read(true).write(true).create(true).truncate(true).open(&new);
        let mut file = open.map_err(bad)?;
        if let Err(e) = file.write_all(&raw).and_then(|_| file.sync_all()) {
            let _ = std::fs::remove_file(&new);
            return Err(bad(e));
        }
        std::fs::rename(&new, self.path()).map_err(bad)?;
        sync_dir(&self.dir)?;
        self.file = file;
        self.len = raw.len() as u64;
        Ok(())
    }

    fn set_aside(&mut self) -> Result<(), Fault> {
        let path = self.path();
        let free = (1..).map(|n| self.dir.join(format!("core.bad.{n}"))).find(|p| !p.exists());
        let bad = |e| fault(&path, e, "move core.log away by hand");
        std::fs::rename(&path, free.expect("a free name")).map_err(bad)?;
        *self = LogFile::open(&self.dir.clone())?;
        Ok(())
    }

    fn room(&self) -> u64 {
        use std::os::fd::AsRawFd;
        let mut st: libc::statvfs = unsafe { std::mem::zeroed() };
        let rc = unsafe { libc::fstatvfs(self.file.as_raw_fd(), &mut st) };
        if rc != 0 {
            return 0;
        }
        #[allow(clippy::unnecessary_cast)]
        let room = st.f_bavail as u64 * st.f_frsize as u64;
        room
    }

    fn len(&self) -> u64 {
        self.len
    }
}
