//! An agent at a real coordinator: full disks, and kills at every step of a swap.

mod fleet;

use std::cell::{Cell, RefCell};
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use craneknot_agent::shell::Shell;
use craneknot_reactor::SteadyClock;
use craneknot_settings::{parse, AgentSettings};
use craneknot_store::{Disk, FailingDisk, Step};
use craneknot_xds::discovery::{read_file, Kind};
use fleet::{list, Coordinator};
use serde_json::json;

struct Shared(Rc<FailingDisk>);

impl Disk for Shared {
    fn write(&self, path: &Path, text: &[u8]) -> io::Result<()> {
        self.0.write(path, text)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.0.rename(from, to)
    }
}

fn agent(folder: &Path, coordinator: &Coordinator) -> (Shell, Rc<FailingDisk>) {
    let text = json!({
        "nodes": [{"id": "proxy", "zone": "north", "folder": "proxy"}],
        "coordinators": [coordinator.address.to_string()],
        "listen": "127.0.0.1:0", "redial_least": "20ms", "redial_most": "100ms", "seed": 3
    });
    let settings: AgentSettings = parse(Path::new("test"), text.to_string().as_bytes()).unwrap();
    let disk = Rc::new(FailingDisk { fails_at: Cell::new(None) });
    let clock = Arc::new(SteadyClock::new());
    (Shell::with_disk(settings, folder, clock, Box::new(Shared(disk.clone()))).unwrap(), disk)
}

fn until(shell: &mut Shell, what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !done() {
        assert!(Instant::now() < end, "{what} never came");
        shell.run_once(Some(Duration::from_millis(10))).unwrap();
    }
}

fn file(folder: &Path, kind: Kind) -> PathBuf {
    folder.join("proxy").join(kind.file())
}

/// Every file stands whole, and the tables name a port.
fn holds(folder: &Path, port: &str) -> bool {
    let whole = |kind| fs::read(file(folder, kind)).is_ok_and(|text| read_file(kind, &text).is_ok());
    let tables = fs::read_to_string(file(folder, Kind::Endpoints)).unwrap_or_default();
    Kind::ALL.into_iter().all(whole) && tables.contains(port)
}

#[test]
fn a_full_disk_is_refused_whole_and_mended_later() {
    let folder = tempfile::tempdir().unwrap();
    list(folder.path(), 1, &[9001]);
    let coordinator = Coordinator::start(folder.path());
    let (mut shell, disk) = agent(folder.path(), &coordinator);
    until(&mut shell, "the first tables", || holds(folder.path(), "9001"));
    let before = fs::read(file(folder.path(), Kind::Endpoints)).unwrap();
    for step in [Step::Write, Step::Sync, Step::Rename] {
        let refused = coordinator.status()["refusals"].as_u64().unwrap();
        disk.fails_at.set(Some(step));
        list(folder.path(), 2 + step as u64, &[9001, 9002 + step as u16]);
        until(&mut shell, "a refusal", || coordinator.status()["refusals"].as_u64().unwrap() > refused);
        assert_eq!(fs::read(file(folder.path(), Kind::Endpoints)).unwrap(), before, "{step:?}");
    }
    disk.fails_at.set(None);
    until(&mut shell, "the tables offered again", || holds(folder.path(), "9004"));
    until(&mut shell, "all accepted", || coordinator.status()["refusing"] == 0);
}

#[test]
fn killed_between_file_and_rename_it_goes_on_from_the_old_files() {
    let folder = tempfile::tempdir().unwrap();
    list(folder.path(), 1, &[9001]);
    let coordinator = Coordinator::start(folder.path());
    let (mut shell, _) = agent(folder.path(), &coordinator);
    until(&mut shell, "the first tables", || holds(folder.path(), "9001"));
    drop(shell);
    // What a kill leaves: a file half written beside those that stand.
    let fresh = folder.path().join("proxy").join(format!("{}.fresh", Kind::Endpoints.file()));
    fs::write(&fresh, b"{\"version_info\": \"half").unwrap();
    let (mut shell, _) = agent(folder.path(), &coordinator);
    assert!(!fresh.exists() && holds(folder.path(), "9001"));
    list(folder.path(), 2, &[9001, 9002]);
    until(&mut shell, "the next tables", || holds(folder.path(), "9002"));
}

#[test]
fn killed_between_rename_and_acknowledgement_it_follows_on() {
    let folder = tempfile::tempdir().unwrap();
    list(folder.path(), 1, &[9001]);
    let coordinator = Coordinator::start(folder.path());
    for kind in Kind::ALL {
        let (mut shell, _) = agent(folder.path(), &coordinator);
        let swapped = Rc::new(RefCell::new(false));
        let seen = swapped.clone();
        shell.on_swap(Box::new(move |_, swapped, _| *seen.borrow_mut() |= swapped == kind));
        until(&mut shell, "the swap", || *swapped.borrow());
        // Dropped here, its connection ends; what it had swapped in may or may not be acknowledged.
        drop(shell);
        let text = fs::read(file(folder.path(), kind)).unwrap();
        assert!(read_file(kind, &text).is_ok(), "{kind:?}");
    }
    list(folder.path(), 2, &[9001, 9002]);
    let (mut shell, _) = agent(folder.path(), &coordinator);
    until(&mut shell, "the next tables", || holds(folder.path(), "9002"));
    assert_eq!(coordinator.status()["streams"], 1);
}

/// A file that another hand tore is not gone on from: the agent asks for all anew.
#[test]
fn a_torn_file_is_replaced() {
    let folder = tempfile::tempdir().unwrap();
    list(folder.path(), 1, &[9001]);
    let coordinator = Coordinator::start(folder.path());
    fs::create_dir_all(folder.path().join("proxy")).unwrap();
    fs::write(file(folder.path(), Kind::Clusters), b"{\"torn").unwrap();
    let (mut shell, _) = agent(folder.path(), &coordinator);
    until(&mut shell, "whole files", || holds(folder.path(), "9001"));
}

/// While its coordinator is gone the files stand, and the next life of the coordinator is followed.
#[test]
fn the_files_outlast_the_coordinator() {
    let folder = tempfile::tempdir().unwrap();
    list(folder.path(), 1, &[9001]);
    let first = Coordinator::start(folder.path());
    let (mut shell, _) = agent(folder.path(), &first);
    until(&mut shell, "the first tables", || holds(folder.path(), "9001"));
    drop(first);
    for _ in 0..20 {
        shell.run_once(Some(Duration::from_millis(10))).unwrap();
        assert!(holds(folder.path(), "9001"));
    }
}
