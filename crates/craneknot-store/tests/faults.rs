//! A file layer that is cut, torn or fails at every write of a run, and bits that flip: the store opens to the last
//! whole write, or says what is damaged; never a silent half.

use std::io;
use std::sync::{Arc, Mutex};

use craneknot_store::{Store, StoreError};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use redb::StorageBackend;

/// What lies on the disk, and what was written since the last sync and may be lost.
#[derive(Debug, Default)]
struct Layer {
    synced: Vec<u8>,
    written: Vec<u8>,
    pending: Vec<(u64, Vec<u8>)>,
    calls: u64,
    /// From this call on, every one fails.
    ends_at: Option<u64>,
    full: bool,
}

#[derive(Clone, Debug, Default)]
struct Faulty(Arc<Mutex<Layer>>);

impl Faulty {
    fn call(&self, layer: &mut Layer) -> io::Result<()> {
        layer.calls += 1;
        if layer.ends_at.is_some_and(|end| layer.calls >= end) {
            return Err(if layer.full { io::ErrorKind::StorageFull.into() } else { io::Error::other("cut") });
        }
        Ok(())
    }

    fn calls(&self) -> u64 {
        self.0.lock().unwrap().calls
    }

    /// The machine ends: of what was not synced some lands, some not, and one write in part.
    fn crash(&self, rng: &mut Pcg32) -> Faulty {
        let layer = self.0.lock().unwrap();
        let mut disk = layer.synced.clone();
        let torn = rng.random_range(0..layer.pending.len().max(1));
        for (place, (offset, data)) in layer.pending.iter().enumerate() {
            if rng.random::<bool>() {
                let part = if place == torn { rng.random_range(0..=data.len()) } else { data.len() };
                let end = *offset as usize + part;
                if disk.len() < end {
                    disk.resize(end, 0);
                }
                disk[*offset as usize..end].copy_from_slice(&data[..part]);
            }
        }
        let length = layer.written.len().max(disk.len());
        disk.resize(length, 0);
        Faulty(Arc::new(Mutex::new(Layer { synced: disk.clone(), written: disk, ..Layer::default() })))
    }

    fn flip(&self, at: usize, bit: u8) {
        let mut layer = self.0.lock().unwrap();
        let at = at % layer.written.len();
        layer.written[at] ^= 1 << (bit % 8);
        layer.synced = layer.written.clone();
    }

    fn length(&self) -> usize {
        self.0.lock().unwrap().written.len()
    }
}

impl StorageBackend for Faulty {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().written.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let layer = self.0.lock().unwrap();
        let from = offset as usize;
        let part = layer.written.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(part);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let mut layer = self.0.lock().unwrap();
        self.call(&mut layer)?;
        layer.written.resize(len as usize, 0);
        layer.synced.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut layer = self.0.lock().unwrap();
        self.call(&mut layer)?;
        layer.synced = layer.written.clone();
        layer.pending.clear();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut layer = self.0.lock().unwrap();
        self.call(&mut layer)?;
        let (from, to) = (offset as usize, offset as usize + data.len());
        if layer.written.len() < to {
            layer.written.resize(to, 0);
        }
        layer.written[from..to].copy_from_slice(data);
        layer.pending.push((offset, data.to_vec()));
        Ok(())
    }
}

const WRITES: u64 = 12;

fn value(number: u64) -> Vec<u8> {
    number.to_string().repeat(200).into_bytes()
}

/// Two records that always change together; how many writes were acknowledged.
fn run(store: &mut Store, from: u64) -> u64 {
    let mut done = from;
    for number in from + 1..=from + WRITES {
        let value = value(number);
        match store.put(&[("fleet/saved", Some(&value)), ("proxy/1", Some(&value))]) {
            Ok(()) => done = number,
            Err(_) => break,
        }
    }
    done
}

fn holds(store: &Store) -> u64 {
    let read = |name: &str| store.get(name).map(<[u8]>::to_vec);
    let (one, two) = (read("fleet/saved"), read("proxy/1"));
    assert_eq!(one, two, "a write landed by half");
    let found = (1..=4 * WRITES).find(|number| one == Some(value(*number)));
    one.map_or(0, |one| found.unwrap_or_else(|| panic!("{} bytes that were never written", one.len())))
}

#[test]
fn cut_at_any_write_it_opens_to_the_last_whole_one() {
    let whole = Faulty::default();
    run(&mut Store::open_with_backend(whole.clone()).unwrap(), 0);
    let all = whole.calls();
    assert!(all > 30, "{all} calls");
    for end in 1..=all {
        for seed in 0..4 {
            let mut rng = Pcg32::seed_from_u64(end * 10 + seed);
            let layer = Faulty::default();
            layer.0.lock().unwrap().ends_at = Some(end);
            let mut done = 0;
            if let Ok(mut store) = Store::open_with_backend(layer.clone()) {
                done = run(&mut store, 0);
                // The process is killed: nothing is closed in order.
                std::mem::forget(store);
            }
            let mut store = match Store::open_with_backend(layer.crash(&mut rng)) {
                Ok(store) => store,
                // Cut while it was begun, before anything was written: it says so.
                Err(StoreError::Damaged { .. }) if done == 0 => continue,
                Err(cause) => panic!("cut at {end}, seed {seed}: {cause}"),
            };
            let held = holds(&store);
            assert!(held == done || held == done + 1, "cut at {end}: {done} acknowledged, {held} held");
            assert_eq!(run(&mut store, held), held + WRITES);
        }
    }
}

#[test]
fn a_full_disk_is_told_and_what_stood_stands() {
    let layer = Faulty::default();
    let mut store = Store::open_with_backend(layer.clone()).unwrap();
    let done = run(&mut store, 0);
    {
        let mut layer = layer.0.lock().unwrap();
        (layer.ends_at, layer.full) = (Some(layer.calls + 1), true);
    }
    let full = store.put(&[("fleet/saved", Some(b"more"))]).unwrap_err();
    assert!(matches!(full, StoreError::Full), "{full}");
    assert_eq!((holds(&store), store.stats().failed), (done, 1));
}

/// Wherever a bit flips, the store either holds what was written, or says that it is damaged.
#[test]
fn a_flipped_bit_is_never_taken_for_what_was_written() {
    let mut rng = Pcg32::seed_from_u64(5);
    let (mut told, mut harmless) = (0, 0);
    for _ in 0..400 {
        let layer = Faulty::default();
        let done = run(&mut Store::open_with_backend(layer.clone()).unwrap(), 0);
        let (at, bit) = (rng.random_range(0..layer.length()), rng.random_range(0..8));
        layer.flip(at, bit);
        match Store::open_with_backend(layer.crash(&mut rng)) {
            Ok(store) => {
                assert_eq!(holds(&store), done, "bit {bit} of byte {at}");
                harmless += 1;
            }
            Err(StoreError::Damaged { .. }) => told += 1,
            Err(cause) => panic!("bit {bit} of byte {at}: {cause}"),
        }
    }
    assert!(harmless > 0, "{told} told, {harmless} harmless");
    // In a record itself it is always told.
    let layer = Faulty::default();
    run(&mut Store::open_with_backend(layer.clone()).unwrap(), 0);
    let last = value(WRITES);
    let places: Vec<usize> = {
        let layer = layer.0.lock().unwrap();
        layer
            .written
            .windows(last.len())
            .enumerate()
            .filter(|(_, part)| *part == last)
            .map(|(at, _)| at)
            .collect()
    };
    assert!(!places.is_empty());
    for at in places {
        layer.flip(at + 7, 1);
    }
    assert!(matches!(Store::open_with_backend(layer), Err(StoreError::Damaged { .. })));
}

#[test]
fn one_process_at_a_time() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("store");
    let mut first = Store::open(&path).unwrap();
    first.put(&[("a", Some(b"1")), ("proxy/2", Some(b"2"))]).unwrap();
    assert!(matches!(Store::open(&path), Err(StoreError::InUse)));
    drop(first);
    let second = Store::open(&path).unwrap();
    assert_eq!(second.with_prefix("proxy/").collect::<Vec<_>>(), [("proxy/2", &b"2"[..])]);
}
