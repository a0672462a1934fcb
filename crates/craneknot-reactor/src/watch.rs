//! Watching of folders for files renamed into place, the only change that counts as a swap.

use std::collections::HashMap;
use std::ffi::OsString;
use std::io;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::{Path, PathBuf};

use inotify::{Inotify, WatchDescriptor, WatchMask};

/// An inotify watch over several folders.
pub struct FolderWatch {
    inotify: Inotify,
    folders: HashMap<WatchDescriptor, PathBuf>,
}

impl FolderWatch {
    pub fn new() -> io::Result<Self> {
        Ok(FolderWatch { inotify: Inotify::init()?, folders: HashMap::new() })
    }

    /// Watches a folder, which must exist.
    pub fn add(&mut self, folder: &Path) -> io::Result<()> {
        let mask = WatchMask::MOVED_TO | WatchMask::CREATE | WatchMask::DELETE;
        let watch = self.inotify.watches().add(folder, mask)?;
        self.folders.insert(watch, folder.to_owned());
        Ok(())
    }

    /// The files renamed into place since the last call, in order. After an overflow of the system's event queue, every
    /// watched folder is listed once without a file name, so that no change is missed permanently.
    pub fn changes(&mut self) -> io::Result<Vec<(PathBuf, Option<OsString>)>> {
        let mut found = Vec::new();
        let mut buffer = [0; 16 * 1024];
        loop {
            match self.inotify.read_events(&mut buffer) {
                Ok(events) => {
                    for event in events {
                        match self.folders.get(&event.wd) {
                            Some(folder) => found.push((folder.clone(), event.name.map(OsString::from))),
                            None => found.extend(self.folders.values().map(|folder| (folder.clone(), None))),
                        }
                    }
                }
                Err(cause) if cause.kind() == io::ErrorKind::WouldBlock => return Ok(found),
                Err(cause) if cause.kind() == io::ErrorKind::Interrupted => {}
                Err(cause) => return Err(cause),
            }
        }
    }
}

impl AsFd for FolderWatch {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.inotify.as_fd()
    }
}
