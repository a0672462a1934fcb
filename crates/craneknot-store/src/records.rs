//! Named records on `redb`. A write is atomic, and durable when it returns. Each value carries a checksum of
//! its own (XXH3, with its name as the seed), so that a bit that flips between writes is detected too.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
const CHECKSUM_BYTES: usize = 8; // stored before the value
const CACHE_BYTES: usize = 4 * 1024 * 1024; // small, because there are few records

/// An error of the store; its text says what the operator can do.
#[derive(Debug)]
pub enum StoreError {
    /// Contents differ from what was written.
    Damaged {
        problem: String,
    },
    /// The disk is full; the records saved before are unchanged.
    Full,
    Io(io::Error),
    /// Another process has the store open.
    InUse,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Damaged { problem } => write!(
                f,
                "the store is damaged: {problem}; move the file aside and start without it: this coordinator then joins \
                 as a new member, and proxies still reject epochs older than those that they have applied"
            ),
            StoreError::Full => write!(f, "the disk of the store is full; earlier records are unchanged: free some space"),
            StoreError::Io(cause) => write!(f, "the store cannot be read or written: {cause}"),
            StoreError::InUse => write!(f, "the store is in use: is another coordinator running with the same settings?"),
        }
    }
}

impl std::error::Error for StoreError {}

fn classify(cause: redb::Error) -> StoreError {
    match cause {
        redb::Error::Io(cause) if cause.kind() == io::ErrorKind::StorageFull => StoreError::Full,
        // Not a store, or one whose creation was interrupted.
        redb::Error::Io(cause)
            if matches!(cause.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof) =>
        {
            StoreError::Damaged { problem: cause.to_string() }
        }
        redb::Error::Io(cause) => StoreError::Io(cause),
        redb::Error::DatabaseAlreadyOpen => StoreError::InUse,
        other => StoreError::Damaged { problem: other.to_string() },
    }
}

/// Size of the store, and the numbers of successful and failed writes since it was opened.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStats {
    pub records: usize,
    pub bytes: u64,
    pub writes: u64,
    pub failed: u64,
}

pub struct Store {
    /// `None` only while the store is being dropped.
    database: Option<Database>,
    /// Copy of the records on disk, for reading.
    records: BTreeMap<String, Vec<u8>>,
    writes: u64,
    failed: u64,
}

fn checksum(name: &str, value: &[u8]) -> [u8; CHECKSUM_BYTES] {
    xxh3_64_with_seed(value, xxh3_64(name.as_bytes())).to_le_bytes()
}

/// Runs `call` and turns a panic into [`StoreError::Damaged`]: the library trusts the pages that it has
/// written, so a flipped bit in one may make it panic.
fn catch_panics<T>(operation: &str, call: impl FnOnce() -> Result<T, redb::Error>) -> Result<T, StoreError> {
    match catch_unwind(AssertUnwindSafe(call)) {
        Ok(result) => result.map_err(classify),
        Err(_) => Err(StoreError::Damaged { problem: format!("{operation} panicked in the library") }),
    }
}

impl Store {
    /// Opens a store at its last complete write, or creates a new one.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        Self::open_database(|| Ok(Builder::new().set_cache_size(CACHE_BYTES).create(path)?))
    }

    /// Opens a store on another backend than a file, for tests.
    pub fn open_with_backend(backend: impl StorageBackend) -> Result<Self, StoreError> {
        Self::open_database(|| Ok(Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(backend)?))
    }

    fn open_database(open: impl FnOnce() -> Result<Database, redb::Error>) -> Result<Self, StoreError> {
        let database = catch_panics("opening", open)?;
        let mut store = Store { database: Some(database), records: BTreeMap::new(), writes: 0, failed: 0 };
        store.load_records()?;
        Ok(store)
    }

    fn load_records(&mut self) -> Result<(), StoreError> {
        let Some(database) = &self.database else { return Ok(()) };
        let loaded = catch_panics("reading", || {
            let transaction = database.begin_read()?;
            let mut entries = Vec::new();
            match transaction.open_table(RECORDS) {
                Ok(table) => {
                    for entry in table.iter()? {
                        let (name, value) = entry?;
                        entries.push((name.value().to_owned(), value.value().to_vec()));
                    }
                }
                // Nothing has been written yet.
                Err(redb::TableError::TableDoesNotExist(_)) => {}
                Err(cause) => return Err(cause.into()),
            }
            Ok(entries)
        })?;
        for (name, value) in loaded {
            match value.split_at_checked(CHECKSUM_BYTES) {
                Some((sum, value)) if sum == checksum(&name, value) => {
                    self.records.insert(name, value.to_vec())
                }
                Some(_) | None => {
                    return Err(StoreError::Damaged {
                        problem: format!("the checksum of record {name:?} does not match"),
                    });
                }
            };
        }
        Ok(())
    }

    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.records.get(name).map(Vec::as_slice)
    }

    /// The records whose names begin with `prefix`.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let from = self.records.range(prefix.to_owned()..);
        let matching = from.take_while(move |(name, _)| name.starts_with(prefix));
        matching.map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Writes these records, or removes those without a value, in one transaction that is durable when this
    /// returns.
    pub fn put(&mut self, changes: &[(&str, Option<&[u8]>)]) -> Result<(), StoreError> {
        // Unchanged records are not written again.
        let changed: Vec<_> = changes.iter().filter(|(name, value)| self.get(name) != *value).collect();
        if changed.is_empty() {
            return Ok(());
        }
        let Some(database) = &self.database else { return Ok(()) };
        let result = catch_panics("writing", || {
            let transaction = database.begin_write()?;
            {
                let mut table = transaction.open_table(RECORDS)?;
                for (name, value) in &changed {
                    match value {
                        Some(value) => {
                            let stored = [&checksum(name, value)[..], value].concat();
                            table.insert(*name, stored.as_slice())?;
                        }
                        None => {
                            table.remove(*name)?;
                        }
                    }
                }
            }
            Ok(transaction.commit()?)
        });
        match result {
            Ok(()) => {
                self.writes += 1;
                for (name, value) in changed {
                    match value {
                        Some(value) => self.records.insert((*name).to_owned(), value.to_vec()),
                        None => self.records.remove(*name),
                    };
                }
                Ok(())
            }
            Err(cause) => {
                self.failed += 1;
                Err(cause)
            }
        }
    }

    pub fn stats(&self) -> StoreStats {
        let bytes = self.records.iter().map(|(name, value)| (name.len() + value.len()) as u64).sum();
        StoreStats { records: self.records.len(), bytes, writes: self.writes, failed: self.failed }
    }
}

impl Drop for Store {
    fn drop(&mut self) {
        // Closing a damaged store may panic too.
        let database = self.database.take();
        let _ = catch_unwind(AssertUnwindSafe(|| drop(database)));
    }
}
