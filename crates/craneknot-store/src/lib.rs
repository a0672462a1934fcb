//! Storage that survives a kill at any byte: atomic file replacement, and a store of records on a crash-safe
//! library.

mod files;
mod records;

pub use files::{replace, Disk, FailingDisk, RealDisk, Step, TEMPORARY_SUFFIX};
pub use records::{Store, StoreError, StoreStats};
