//! What must survive a kill at any byte. So far: files that are replaced in one step.

mod files;

pub use files::{replace, Disk, FailingDisk, RealDisk, Step, FRESH};
