//! Files read by an event loop: only those whose reading waits for nobody.

use std::fs::OpenOptions;
use std::io::{self, Read};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Reads a regular file of so many bytes at most. Anything else, such as a pipe, whose writer may be late or send
/// without end, is refused at once.
pub fn read_regular_file(path: &Path, bytes_most: u64) -> io::Result<Vec<u8>> {
    // Without the flag, a pipe's opening already waits for its writer.
    let file = OpenOptions::new().read(true).custom_flags(libc::O_NONBLOCK).open(path)?;
    if !file.metadata()?.is_file() {
        return Err(io::Error::new(io::ErrorKind::InvalidInput, "it is not a regular file"));
    }
    let mut text = Vec::new();
    file.take(bytes_most.saturating_add(1)).read_to_end(&mut text)?;
    if text.len() as u64 > bytes_most {
        return Err(io::Error::new(
            io::ErrorKind::FileTooLarge,
            format!("it is larger than {bytes_most} bytes"),
        ));
    }
    Ok(text)
}
