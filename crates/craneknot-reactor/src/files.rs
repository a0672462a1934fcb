//! Reading of files in an event loop, restricted to files that can be read without waiting for another process.

use std::fs::OpenOptions;
use std::io::{self, Read};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Reads a regular file of at most `max_bytes`. Anything else, such as a pipe, whose writer may be late or never stop
/// sending, is rejected at once.
pub fn read_regular_file(path: &Path, max_bytes: u64) -> io::Result<Vec<u8>> {
    // Without this flag, opening a pipe would already wait for its writer.
    let file = OpenOptions::new().read(true).custom_flags(libc::O_NONBLOCK).open(path)?;
    if !file.metadata()?.is_file() {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "not a regular file"));
    }
    let mut text = Vec::new();
    file.take(max_bytes.saturating_add(1)).read_to_end(&mut text)?;
    if text.len() as u64 > max_bytes {
        return Err(io::Error::new(io::ErrorKind::FileTooLarge, format!("larger than {max_bytes} bytes")));
    }
    Ok(text)
}
