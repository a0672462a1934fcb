//! Atomic file replacement: the new file is written beside the old one, synced and renamed over it. A reader
//! that opens the path sees either the old contents or the new ones in full, and so does one after a kill at
//! any moment.

use std::cell::Cell;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Suffix of a file while it is being written. A left-over file with this suffix is incomplete and can be
/// removed.
pub const TEMPORARY_SUFFIX: &str = ".fresh";

/// The steps of a replacement, so that tests can inject a failure at each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Write,
    Sync,
    Rename,
}

/// The file operations of a replacement.
pub trait Disk {
    fn write(&self, path: &Path, text: &[u8]) -> io::Result<()>;
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// The real file system. Without `sync` a power loss may lose or truncate files.
#[derive(Clone, Copy, Debug)]
pub struct RealDisk {
    pub sync: bool,
}

impl Disk for RealDisk {
    fn write(&self, path: &Path, text: &[u8]) -> io::Result<()> {
        let mut file = fs::File::create(path)?;
        file.write_all(text)?;
        if self.sync {
            file.sync_data()
        } else {
            Ok(())
        }
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)?;
        match to.parent().filter(|_| self.sync) {
            Some(folder) => fs::File::open(folder)?.sync_all(),
            None => Ok(()),
        }
    }
}

/// A disk that fails at a given step, for tests; a failing write leaves half of the contents, as on a full
/// disk.
pub struct FailingDisk {
    pub fails_at: Cell<Option<Step>>,
}

impl Disk for FailingDisk {
    fn write(&self, path: &Path, text: &[u8]) -> io::Result<()> {
        match self.fails_at.get() {
            Some(Step::Write) => {
                fs::write(path, &text[..text.len() / 2])?;
                Err(io::Error::new(io::ErrorKind::StorageFull, "no space left on device"))
            }
            Some(Step::Sync) => {
                fs::write(path, text)?;
                Err(io::Error::other("sync failed"))
            }
            Some(Step::Rename) | None => fs::write(path, text),
        }
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        match self.fails_at.get() {
            Some(Step::Rename) => Err(io::Error::other("rename failed")),
            Some(Step::Write | Step::Sync) | None => fs::rename(from, to),
        }
    }
}

/// The path under which a file is written before it is renamed.
pub fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(TEMPORARY_SUFFIX);
    path.with_file_name(name)
}

/// Replaces a file atomically; after an error the old file is unchanged.
pub fn replace(disk: &dyn Disk, path: &Path, text: &[u8]) -> io::Result<()> {
    let temporary = temporary_path(path);
    let result = disk.write(&temporary, text).and_then(|()| disk.rename(&temporary, path));
    if result.is_err() {
        // Frees the space, which matters most when the disk is full.
        let _ = fs::remove_file(&temporary);
    }
    result
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_old_file_is_unchanged_whichever_step_fails() {
        let folder = tempfile::tempdir().unwrap();
        let path = folder.path().join("table.json");
        replace(&RealDisk { sync: true }, &path, b"old text").unwrap();
        let disk = FailingDisk { fails_at: Cell::new(None) };
        for step in [Step::Write, Step::Sync, Step::Rename] {
            disk.fails_at.set(Some(step));
            replace(&disk, &path, b"new and longer text").unwrap_err();
            assert_eq!(fs::read(&path).unwrap(), b"old text", "{step:?}");
            assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 1, "{step:?}");
        }
        disk.fails_at.set(None);
        replace(&disk, &path, b"new and longer text").unwrap();
        assert_eq!(fs::read(&path).unwrap(), b"new and longer text");
    }
}
