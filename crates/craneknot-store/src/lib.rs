//! What must survive a kill at any byte: files replaced in one step, and a store of records on a crash-safe library.

mod files;
mod records;

pub use files::{replace, Disk, FailingDisk, RealDisk, Step, TEMPORARY_SUFFIX};
pub use records::{Store, StoreError, StoreStats};
