//! The file operations that [`super::log_file::LogFile`] is built on, so that the same code runs on a real
//! disk and on a simulated one that loses what was not synced.
#![deny(missing_docs)]

use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Read, Result, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

/// A folder of files. Nothing survives a power loss before it is synced: the bytes of a file by
/// [`Folder::sync_file`]; created, renamed and removed names by [`Folder::sync_folder`].
pub trait Folder: Send {
    /// Where the folder is, for error messages.
    fn place(&self) -> String;
    /// The names of all files.
    fn names(&self) -> Result<Vec<String>>;
    /// The whole content of a file.
    fn read(&mut self, name: &str) -> Result<Vec<u8>>;
    /// Writes the bytes at an offset; creates the file if it does not exist.
    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> Result<()>;
    /// Truncates a file to a length.
    fn set_len(&mut self, name: &str, len: u64) -> Result<()>;
    /// Waits until the bytes of a file are on the disk.
    fn sync_file(&mut self, name: &str) -> Result<()>;
    /// Waits until the names in the folder are on the disk.
    fn sync_folder(&mut self) -> Result<()>;
    /// Renames a file.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    /// Removes a file.
    fn remove(&mut self, name: &str) -> Result<()>;
    /// The free bytes on the disk.
    fn room(&self) -> u64;
}

/// A folder on a real disk. Keeps the last used file open.
pub struct SystemFolder {
    path: PathBuf,
    folder: File,
    open: Option<(String, File)>,
}

impl SystemFolder {
    /// Opens the folder; creates it if it does not exist.
    pub fn open(path: &Path) -> Result<SystemFolder> {
        std::fs::create_dir_all(path)?;
        let folder = File::open(path)?;
        Ok(SystemFolder { path: path.to_path_buf(), folder, open: None })
    }

    fn file(&mut self, name: &str) -> Result<&mut File> {
        if self.open.as_ref().is_none_or(|(open, _)| open != name) {
            let mut options = OpenOptions::new();
            options.read(true).write(true).create(true).truncate(false);
            let file = options.open(self.path.join(name))?;
            self.open = Some((name.to_string(), file));
        }
        let gone = || Error::new(ErrorKind::NotFound, "no file is open");
        self.open.as_mut().map(|(_, file)| file).ok_or_else(gone)
    }

    fn close(&mut self, name: &str) {
        if self.open.as_ref().is_some_and(|(open, _)| open == name) {
            self.open = None;
        }
    }
}

impl Folder for SystemFolder {
    fn place(&self) -> String {
        self.path.display().to_string()
    }

    fn names(&self) -> Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in std::fs::read_dir(&self.path)? {
            names.push(entry?.file_name().to_string_lossy().into_owned());
        }
        Ok(names)
    }

    fn read(&mut self, name: &str) -> Result<Vec<u8>> {
        let mut raw = Vec::new();
        let file = self.file(name)?;
        file.seek(SeekFrom::Start(0))?;
        file.read_to_end(&mut raw)?;
        Ok(raw)
    }

    fn write(&mut self, name: &str, at: u64, bytes: &[u8]) -> Result<()> {
        let file = self.file(name)?;
        file.seek(SeekFrom::Start(at))?;
        file.write_all(bytes)
    }

    fn set_len(&mut self, name: &str, len: u64) -> Result<()> {
        self.file(name)?.set_len(len)
    }

    fn sync_file(&mut self, name: &str) -> Result<()> {
        self.file(name)?.sync_data()
    }

    fn sync_folder(&mut self) -> Result<()> {
        self.folder.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.close(from);
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&mut self, name: &str) -> Result<()> {
        self.close(name);
        std::fs::remove_file(self.path.join(name))
    }

    fn room(&self) -> u64 {
        use std::os::fd::AsRawFd;
        let mut space: libc::statvfs = unsafe { std::mem::zeroed() };
        let failed = unsafe { libc::fstatvfs(self.folder.as_raw_fd(), &mut space) } != 0;
        if failed {
            return 0;
        }
        #[allow(clippy::unnecessary_cast)]
        let room = space.f_bavail as u64 * space.f_frsize as u64;
        room
    }
}
