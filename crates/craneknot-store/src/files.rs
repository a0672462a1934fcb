//! A file replaced in one step: written beside its place, synced, renamed there. A reader that opens the path sees
//! the old text or the new one, whole, and a kill at any moment leaves one of them.

use std::cell::Cell;
use std::fs;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// What a file is called while it is being written; one that is left over is of no use to anyone.
pub const TEMPORARY_SUFFIX: &str = ".fresh";

/// The steps of a replacement, so that tests can fail or end at each.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    Write,
    Sync,
    Rename,
}

/// Where files are replaced.
pub trait Disk {
    fn write(&self, path: &Path, text: &[u8]) -> io::Result<()>;
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
}

/// The machine's own; `sync` false trusts the machine not to lose power.
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

/// A disk that fails at a step, for tests: a full one writes a part and gives up.
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

/// The path under which a file is written before it is renamed into its place.
pub fn temporary_path(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_owned();
    name.push(TEMPORARY_SUFFIX);
    path.with_file_name(name)
}

/// Replaces a file; after an error the old one stands.
pub fn replace(disk: &dyn Disk, path: &Path, text: &[u8]) -> io::Result<()> {
    let temporary = temporary_path(path);
    let done = disk.write(&temporary, text).and_then(|()| disk.rename(&temporary, path));
    if done.is_err() {
        // A full disk has most need of the room.
        let _ = fs::remove_file(&temporary);
    }
    done
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn whatever_step_fails_the_old_file_stands_whole() {
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
