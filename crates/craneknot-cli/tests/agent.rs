//! An agent with a real coordinator: full disks, and kills at every step of a file swap.

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
use fleet::{write_server_list, Coordinator};
use serde_json::json;

struct SharedDisk(Rc<FailingDisk>);

impl Disk for SharedDisk {
    fn write(&self, path: &Path, text: &[u8]) -> io::Result<()> {
        self.0.write(path, text)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.0.rename(from, to)
    }
}

fn start_agent(folder: &Path, coordinator: &Coordinator) -> (Shell, Rc<FailingDisk>) {
    let text = json!({
        "nodes": [{"id": "proxy", "zone": "north", "folder": "proxy"}],
        "coordinators": [coordinator.address.to_string()],
        "listen": "127.0.0.1:0", "redial_least": "20ms", "redial_most": "100ms", "seed": 3
    });
    let settings: AgentSettings = parse(Path::new("test"), text.to_string().as_bytes()).unwrap();
    let disk = Rc::new(FailingDisk { fails_at: Cell::new(None) });
    let clock = Arc::new(SteadyClock::new());
    (Shell::with_disk(settings, folder, clock, Box::new(SharedDisk(disk.clone()))).unwrap(), disk)
}

fn run_until(shell: &mut Shell, expected: &str, mut is_done: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(20);
    while !is_done() {
        assert!(Instant::now() < deadline, "timed out waiting for {expected}");
        shell.run_once(Some(Duration::from_millis(10))).unwrap();
    }
}

fn file(folder: &Path, kind: Kind) -> PathBuf {
    folder.join("proxy").join(kind.file())
}

/// Whether every file is complete, and the tables contain the port.
fn has_tables_with(folder: &Path, port: &str) -> bool {
    let is_complete = |kind| fs::read(file(folder, kind)).is_ok_and(|text| read_file(kind, &text).is_ok());
    let tables = fs::read_to_string(file(folder, Kind::Endpoints)).unwrap_or_default();
    Kind::ALL.into_iter().all(is_complete) && tables.contains(port)
}

#[test]
fn tables_are_rejected_on_a_full_disk_and_swapped_in_once_it_has_room() {
    let folder = tempfile::tempdir().unwrap();
    write_server_list(folder.path(), 1, &[9001]);
    let coordinator = Coordinator::start(folder.path());
    let (mut shell, disk) = start_agent(folder.path(), &coordinator);
    run_until(&mut shell, "the first tables", || has_tables_with(folder.path(), "9001"));
    let before = fs::read(file(folder.path(), Kind::Endpoints)).unwrap();
    for step in [Step::Write, Step::Sync, Step::Rename] {
        let count = coordinator.status()["refusals"].as_u64().unwrap();
        disk.fails_at.set(Some(step));
        write_server_list(folder.path(), 2 + step as u64, &[9001, 9002 + step as u16]);
        run_until(&mut shell, "a rejection", || coordinator.status()["refusals"].as_u64().unwrap() > count);
        assert_eq!(fs::read(file(folder.path(), Kind::Endpoints)).unwrap(), before, "{step:?}");
    }
    disk.fails_at.set(None);
    run_until(&mut shell, "the tables offered again", || has_tables_with(folder.path(), "9004"));
    run_until(&mut shell, "all accepted", || coordinator.status()["refusing"] == 0);
}

#[test]
fn after_a_kill_between_write_and_rename_the_old_files_are_used() {
    let folder = tempfile::tempdir().unwrap();
    write_server_list(folder.path(), 1, &[9001]);
    let coordinator = Coordinator::start(folder.path());
    let (mut shell, _) = start_agent(folder.path(), &coordinator);
    run_until(&mut shell, "the first tables", || has_tables_with(folder.path(), "9001"));
    drop(shell);
    // A kill leaves a partly written file beside the complete ones.
    let temporary = folder.path().join("proxy").join(format!("{}.fresh", Kind::Endpoints.file()));
    fs::write(&temporary, b"{\"version_info\": \"half").unwrap();
    let (mut shell, _) = start_agent(folder.path(), &coordinator);
    assert!(!temporary.exists() && has_tables_with(folder.path(), "9001"));
    write_server_list(folder.path(), 2, &[9001, 9002]);
    run_until(&mut shell, "the next tables", || has_tables_with(folder.path(), "9002"));
}

#[test]
fn after_a_kill_between_rename_and_acknowledgement_updates_continue() {
    let folder = tempfile::tempdir().unwrap();
    write_server_list(folder.path(), 1, &[9001]);
    let coordinator = Coordinator::start(folder.path());
    for kind in Kind::ALL {
        let (mut shell, _) = start_agent(folder.path(), &coordinator);
        let is_swapped = Rc::new(RefCell::new(false));
        let swap_flag = is_swapped.clone();
        shell.on_swap(Box::new(move |_, swapped, _| *swap_flag.borrow_mut() |= swapped == kind));
        run_until(&mut shell, "the swap", || *is_swapped.borrow());
        // Dropping the agent closes its connection; the swap may or may not have been acknowledged.
        drop(shell);
        let text = fs::read(file(folder.path(), kind)).unwrap();
        assert!(read_file(kind, &text).is_ok(), "{kind:?}");
    }
    write_server_list(folder.path(), 2, &[9001, 9002]);
    let (mut shell, _) = start_agent(folder.path(), &coordinator);
    run_until(&mut shell, "the next tables", || has_tables_with(folder.path(), "9002"));
    assert_eq!(coordinator.status()["streams"], 1);
}

/// An agent does not start from a truncated file; it requests all resources again.
#[test]
fn a_truncated_file_is_replaced() {
    let folder = tempfile::tempdir().unwrap();
    write_server_list(folder.path(), 1, &[9001]);
    let coordinator = Coordinator::start(folder.path());
    fs::create_dir_all(folder.path().join("proxy")).unwrap();
    fs::write(file(folder.path(), Kind::Clusters), b"{\"torn").unwrap();
    let (mut shell, _) = start_agent(folder.path(), &coordinator);
    run_until(&mut shell, "complete files", || has_tables_with(folder.path(), "9001"));
}

/// The files stay in place and complete after the coordinator has stopped. The agent follows a restarted coordinator, which
/// this test does not check.
#[test]
fn files_are_kept_after_the_coordinator_stops() {
    let folder = tempfile::tempdir().unwrap();
    write_server_list(folder.path(), 1, &[9001]);
    let first = Coordinator::start(folder.path());
    let (mut shell, _) = start_agent(folder.path(), &first);
    run_until(&mut shell, "the first tables", || has_tables_with(folder.path(), "9001"));
    drop(first);
    for _ in 0..20 {
        shell.run_once(Some(Duration::from_millis(10))).unwrap();
        assert!(has_tables_with(folder.path(), "9001"));
    }
}
