//! Sources of server lists.

use std::io;
use std::path::PathBuf;

use craneknot_reactor::read_regular_file;

const MAX_ROSTER_BYTES: u64 = 16 * 1024 * 1024;

/// Reads the newest server list of a source as text; `crate::roster` validates it.
pub trait RosterSource: Send {
    /// The name of the source in logs.
    fn name(&self) -> &str;

    fn read(&mut self) -> io::Result<Vec<u8>>;
}

/// A regular file that its writer replaces by renaming.
pub struct FileRoster {
    path: PathBuf,
    name: String,
}

impl FileRoster {
    pub fn new(path: PathBuf) -> Self {
        let name = path.display().to_string();
        FileRoster { path, name }
    }
}

impl RosterSource for FileRoster {
    fn name(&self) -> &str {
        &self.name
    }

    fn read(&mut self) -> io::Result<Vec<u8>> {
        read_regular_file(&self.path, MAX_ROSTER_BYTES)
    }
}
