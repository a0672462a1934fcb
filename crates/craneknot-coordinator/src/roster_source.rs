//! Where lists of servers come from.

use std::io;
use std::path::PathBuf;

use craneknot_reactor::read_regular_file;

const LARGEST: u64 = 16 * 1024 * 1024; // bytes of a list of servers

/// Gives the newest list that a source has, as the roster's text. What it is worth is judged elsewhere.
pub trait RosterSource: Send {
    /// For logs.
    fn name(&self) -> &str;

    fn read(&mut self) -> io::Result<Vec<u8>>;
}

/// A regular file, replaced by a rename.
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
        read_regular_file(&self.path, LARGEST)
    }
}
