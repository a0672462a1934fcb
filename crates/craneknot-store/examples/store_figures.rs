//! Measures how long the store takes to write a record and to open, by number of proxies.
//! `cargo run --release -p craneknot-store --example store_figures`

use std::time::Instant;

use craneknot_store::Store;

fn main() {
    let folder = tempfile::tempdir().expect("a folder for the store");
    for proxies in [10, 100, 1_000, 10_000] {
        let path = folder.path().join(format!("{proxies}.store"));
        let mut store = Store::open(&path).expect("a new store");
        let records: Vec<(String, Vec<u8>)> =
            (0..proxies).map(|k| (format!("proxy/proxy-{k}"), vec![k as u8; 120])).collect();
        let changes: Vec<(&str, Option<&[u8]>)> =
            records.iter().map(|(n, v)| (n.as_str(), Some(v.as_slice()))).collect();
        store.put(&changes).expect("space for the records");
        let (begin, writes) = (Instant::now(), 200);
        for number in 0..writes {
            let value = format!("term and vote, number {number}");
            store.put(&[("fleet/saved", Some(value.as_bytes()))]).expect("space for a record");
        }
        let each = begin.elapsed().as_secs_f64() * 1e3 / f64::from(writes);
        drop(store);
        let begin = Instant::now();
        let store = Store::open(&path).expect("a store that was closed cleanly");
        let opened = begin.elapsed().as_secs_f64() * 1e3;
        let bytes = std::fs::metadata(&path).map_or(0, |file| file.len());
        println!(
            "{proxies:>6} proxies: {each:.2} ms per synced write, {opened:.1} ms to open {} records, file of {} KiB",
            store.stats().records,
            bytes / 1024
        );
    }
}
