//! Records by name, on `redb`: a write is on the disk when it returns, all of it or nothing. Each value carries a checksum
//! of its own (XXH3, with its name as the seed), so that a bit that flips while no one writes is told too.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

const RECORDS: TableDefinition<&str, &[u8]> = TableDefinition::new("records");
const SUM: usize = 8; // bytes of a checksum, before its value
const CACHE: usize = 4 * 1024 * 1024; // bytes the library may keep: the records are few

/// Why the store cannot be used, and what to do.
#[derive(Debug)]
pub enum StoreError {
    /// A part is not as it was written.
    Damaged {
        what: String,
    },
    /// The disk is full; what was there before stands.
    Full,
    Io(io::Error),
    /// Another process has it open.
    InUse,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Damaged { what } => write!(
                f,
                "the store is damaged: {what}; move the file aside and start without it: this coordinator then takes part \
                 as a new one, and proxies still refuse whatever is older than what they followed"
            ),
            StoreError::Full => write!(f, "the disk of the store is full; what was saved before stands: free some room"),
            StoreError::Io(cause) => write!(f, "the store cannot be read or written: {cause}"),
            StoreError::InUse => write!(f, "the store is in use: does another coordinator run with the same settings?"),
        }
    }
}

impl std::error::Error for StoreError {}

fn classify(cause: redb::Error) -> StoreError {
    match cause {
        redb::Error::Io(cause) if cause.kind() == io::ErrorKind::StorageFull => StoreError::Full,
        // Not a store, or one that was cut while it was begun.
        redb::Error::Io(cause)
            if matches!(cause.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof) =>
        {
            StoreError::Damaged { what: cause.to_string() }
        }
        redb::Error::Io(cause) => StoreError::Io(cause),
        redb::Error::DatabaseAlreadyOpen => StoreError::InUse,
        other => StoreError::Damaged { what: other.to_string() },
    }
}

/// What the store has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStats {
    pub records: usize,
    pub bytes: u64,
    pub writes: u64,
    pub failed: u64,
}

pub struct Store {
    /// Taken when the store is dropped.
    database: Option<Database>,
    /// What stands on the disk, for reading.
    records: BTreeMap<String, Vec<u8>>,
    writes: u64,
    failed: u64,
}

fn checksum(name: &str, value: &[u8]) -> [u8; SUM] {
    xxh3_64_with_seed(value, xxh3_64(name.as_bytes())).to_le_bytes()
}

/// The library trusts what it has written: what a flipped bit makes of its pages may also end in a panic.
fn guarded<T>(what: &str, act: impl FnOnce() -> Result<T, redb::Error>) -> Result<T, StoreError> {
    match catch_unwind(AssertUnwindSafe(act)) {
        Ok(done) => done.map_err(classify),
        Err(_) => Err(StoreError::Damaged { what: format!("{what} failed within") }),
    }
}

impl Store {
    /// Opens a store, or begins one: to the last write that was whole.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        Self::begin(|| Ok(Builder::new().set_cache_size(CACHE).create(path)?))
    }

    /// A store on another layer than files, for tests.
    pub fn open_with_backend(backend: impl StorageBackend) -> Result<Self, StoreError> {
        Self::begin(|| Ok(Builder::new().set_cache_size(CACHE).create_with_backend(backend)?))
    }

    fn begin(open: impl FnOnce() -> Result<Database, redb::Error>) -> Result<Self, StoreError> {
        let database = guarded("opening", open)?;
        let mut store = Store { database: Some(database), records: BTreeMap::new(), writes: 0, failed: 0 };
        store.read()?;
        Ok(store)
    }

    fn read(&mut self) -> Result<(), StoreError> {
        let Some(database) = &self.database else { return Ok(()) };
        let read = guarded("reading", || {
            let transaction = database.begin_read()?;
            let mut read = Vec::new();
            match transaction.open_table(RECORDS) {
                Ok(table) => {
                    for entry in table.iter()? {
                        let (name, value) = entry?;
                        read.push((name.value().to_owned(), value.value().to_vec()));
                    }
                }
                // Nothing was ever written.
                Err(redb::TableError::TableDoesNotExist(_)) => {}
                Err(cause) => return Err(cause.into()),
            }
            Ok(read)
        })?;
        for (name, value) in read {
            match value.split_at_checked(SUM) {
                Some((sum, value)) if sum == checksum(&name, value) => {
                    self.records.insert(name, value.to_vec())
                }
                Some(_) | None => {
                    return Err(StoreError::Damaged {
                        what: format!("record {name:?} is not as it was written"),
                    });
                }
            };
        }
        Ok(())
    }

    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.records.get(name).map(Vec::as_slice)
    }

    /// Records whose names begin so.
    pub fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let from = self.records.range(prefix.to_owned()..);
        let named = from.take_while(move |(name, _)| name.starts_with(prefix));
        named.map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Writes these records, or removes those with no value, all in one step; on the disk when it returns.
    pub fn put(&mut self, changes: &[(&str, Option<&[u8]>)]) -> Result<(), StoreError> {
        // What stands already need not be written again.
        let news: Vec<_> = changes.iter().filter(|(name, value)| self.get(name) != *value).collect();
        if news.is_empty() {
            return Ok(());
        }
        let Some(database) = &self.database else { return Ok(()) };
        let written = guarded("writing", || {
            let transaction = database.begin_write()?;
            {
                let mut table = transaction.open_table(RECORDS)?;
                for (name, value) in &news {
                    match value {
                        Some(value) => {
                            let whole = [&checksum(name, value)[..], value].concat();
                            table.insert(*name, whole.as_slice())?;
                        }
                        None => {
                            table.remove(*name)?;
                        }
                    }
                }
            }
            Ok(transaction.commit()?)
        });
        match written {
            Ok(()) => {
                self.writes += 1;
                for (name, value) in news {
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
        // A damaged one may fail in closing too.
        let database = self.database.take();
        let _ = catch_unwind(AssertUnwindSafe(|| drop(database)));
    }
}
