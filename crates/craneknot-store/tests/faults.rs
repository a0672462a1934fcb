//! Fault injection below the store: interrupted, torn and failing writes at every backend call of a run, and
//! flipped bits. The store must open at the last complete write or report the damage, and never return
//! partial data.

use std::io;
use std::sync::{Arc, Mutex};

use craneknot_store::{Store, StoreError};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use redb::StorageBackend;

/// A simulated disk: the synced contents, and writes since the last sync that a crash may lose.
#[derive(Debug, Default)]
struct SimulatedDisk {
    synced: Vec<u8>,
    written: Vec<u8>,
    pending: Vec<(u64, Vec<u8>)>,
    calls: u64,
    /// Every call from this number on fails.
    fails_from: Option<u64>,
    full: bool,
}

#[derive(Clone, Debug, Default)]
struct FaultyBackend(Arc<Mutex<SimulatedDisk>>);

impl FaultyBackend {
    fn count_call(&self, disk: &mut SimulatedDisk) -> io::Result<()> {
        disk.calls += 1;
        if disk.fails_from.is_some_and(|call| disk.calls >= call) {
            return Err(if disk.full {
                io::ErrorKind::StorageFull.into()
            } else {
                io::Error::other("interrupted")
            });
        }
        Ok(())
    }

    fn calls(&self) -> u64 {
        self.0.lock().unwrap().calls
    }

    /// Simulates a crash: each unsynced write is kept or lost at random, and one of them may be kept in part.
    fn crash(&self, rng: &mut Pcg32) -> FaultyBackend {
        let disk = self.0.lock().unwrap();
        let mut contents = disk.synced.clone();
        let torn = rng.random_range(0..disk.pending.len().max(1));
        for (index, (offset, data)) in disk.pending.iter().enumerate() {
            if rng.random::<bool>() {
                let part = if index == torn { rng.random_range(0..=data.len()) } else { data.len() };
                let end = *offset as usize + part;
                if contents.len() < end {
                    contents.resize(end, 0);
                }
                contents[*offset as usize..end].copy_from_slice(&data[..part]);
            }
        }
        let length = disk.written.len().max(contents.len());
        contents.resize(length, 0);
        FaultyBackend(Arc::new(Mutex::new(SimulatedDisk {
            synced: contents.clone(),
            written: contents,
            ..SimulatedDisk::default()
        })))
    }

    fn flip(&self, at: usize, bit: u8) {
        let mut disk = self.0.lock().unwrap();
        let at = at % disk.written.len();
        disk.written[at] ^= 1 << (bit % 8);
        disk.synced = disk.written.clone();
    }

    fn length(&self) -> usize {
        self.0.lock().unwrap().written.len()
    }
}

impl StorageBackend for FaultyBackend {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().written.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let disk = self.0.lock().unwrap();
        let from = offset as usize;
        let part = disk.written.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(part);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        self.count_call(&mut disk)?;
        disk.written.resize(len as usize, 0);
        disk.synced.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        self.count_call(&mut disk)?;
        disk.synced = disk.written.clone();
        disk.pending.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        self.count_call(&mut disk)?;
        let (from, to) = (offset as usize, offset as usize + data.len());
        if disk.written.len() < to {
            disk.written.resize(to, 0);
        }
        disk.written[from..to].copy_from_slice(data);
        disk.pending.push((offset, data.to_vec()));
        Ok(())
    }
}

const WRITES: u64 = 12;

fn value(number: u64) -> Vec<u8> {
    number.to_string().repeat(200).into_bytes()
}

/// Writes two records that always change together; returns the number of the last acknowledged write.
fn write_records(store: &mut Store, from: u64) -> u64 {
    let mut acknowledged = from;
    for number in from + 1..=from + WRITES {
        let value = value(number);
        match store.put(&[("fleet/saved", Some(&value)), ("proxy/1", Some(&value))]) {
            Ok(()) => acknowledged = number,
            Err(_) => break,
        }
    }
    acknowledged
}

fn last_write(store: &Store) -> u64 {
    let read = |name: &str| store.get(name).map(<[u8]>::to_vec);
    let (first, second) = (read("fleet/saved"), read("proxy/1"));
    assert_eq!(first, second, "a write was applied in part");
    let found = (1..=4 * WRITES).find(|number| first == Some(value(*number)));
    first.map_or(0, |value| found.unwrap_or_else(|| panic!("{} bytes that were never written", value.len())))
}

#[test]
fn after_an_interruption_at_any_call_it_opens_at_the_last_complete_write() {
    let complete = FaultyBackend::default();
    write_records(&mut Store::open_with_backend(complete.clone()).unwrap(), 0);
    let call_count = complete.calls();
    assert!(call_count > 30, "{call_count} calls");
    for end in 1..=call_count {
        for seed in 0..4 {
            let mut rng = Pcg32::seed_from_u64(end * 10 + seed);
            let disk = FaultyBackend::default();
            disk.0.lock().unwrap().fails_from = Some(end);
            let mut acknowledged = 0;
            if let Ok(mut store) = Store::open_with_backend(disk.clone()) {
                acknowledged = write_records(&mut store, 0);
                // Simulates a kill: the store is not closed.
                std::mem::forget(store);
            }
            let mut store = match Store::open_with_backend(disk.crash(&mut rng)) {
                Ok(store) => store,
                // Interrupted during creation, before any record was written: reported as damaged.
                Err(StoreError::Damaged { .. }) if acknowledged == 0 => continue,
                Err(cause) => panic!("interrupted at call {end}, seed {seed}: {cause}"),
            };
            let found = last_write(&store);
            assert!(
                found == acknowledged || found == acknowledged + 1,
                "interrupted at call {end}: {acknowledged} acknowledged, {found} found"
            );
            assert_eq!(write_records(&mut store, found), found + WRITES);
        }
    }
}

#[test]
fn a_full_disk_is_reported_and_earlier_records_are_unchanged() {
    let disk = FaultyBackend::default();
    let mut store = Store::open_with_backend(disk.clone()).unwrap();
    let acknowledged = write_records(&mut store, 0);
    {
        let mut disk = disk.0.lock().unwrap();
        (disk.fails_from, disk.full) = (Some(disk.calls + 1), true);
    }
    let full = store.put(&[("fleet/saved", Some(b"more"))]).unwrap_err();
    assert!(matches!(full, StoreError::Full), "{full}");
    assert_eq!((last_write(&store), store.stats().failed), (acknowledged, 1));
}

/// Wherever a bit flips, the store must either return what was written or report that it is damaged.
#[test]
fn a_flipped_bit_never_yields_other_data_than_was_written() {
    let mut rng = Pcg32::seed_from_u64(5);
    let (mut detected, mut harmless) = (0, 0);
    for _ in 0..400 {
        let disk = FaultyBackend::default();
        let acknowledged = write_records(&mut Store::open_with_backend(disk.clone()).unwrap(), 0);
        let (at, bit) = (rng.random_range(0..disk.length()), rng.random_range(0..8));
        disk.flip(at, bit);
        match Store::open_with_backend(disk.crash(&mut rng)) {
            Ok(store) => {
                assert_eq!(last_write(&store), acknowledged, "bit {bit} of byte {at}");
                harmless += 1;
            }
            Err(StoreError::Damaged { .. }) => detected += 1,
            Err(cause) => panic!("bit {bit} of byte {at}: {cause}"),
        }
    }
    assert!(harmless > 0, "{detected} detected, {harmless} harmless");
    // In a record itself it is always detected.
    let disk = FaultyBackend::default();
    write_records(&mut Store::open_with_backend(disk.clone()).unwrap(), 0);
    let last = value(WRITES);
    let places: Vec<usize> = {
        let disk = disk.0.lock().unwrap();
        disk.written
            .windows(last.len())
            .enumerate()
            .filter(|(_, part)| *part == last)
            .map(|(at, _)| at)
            .collect()
    };
    assert!(!places.is_empty());
    for at in places {
        disk.flip(at + 7, 1);
    }
    assert!(matches!(Store::open_with_backend(disk), Err(StoreError::Damaged { .. })));
}

#[test]
fn only_one_process_can_open_the_store() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("store");
    let mut first = Store::open(&path).unwrap();
    first.put(&[("a", Some(b"1")), ("proxy/2", Some(b"2"))]).unwrap();
    assert!(matches!(Store::open(&path), Err(StoreError::InUse)));
    drop(first);
    let second = Store::open(&path).unwrap();
    assert_eq!(second.with_prefix("proxy/").collect::<Vec<_>>(), [("proxy/2", &b"2"[..])]);
}
