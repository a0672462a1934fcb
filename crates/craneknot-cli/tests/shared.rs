//! Fencing on a whole path: orders of an older epoch are never followed, whatever became of a store.

mod fleet;

use std::collections::BTreeMap;
use std::fs;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use craneknot_agent::proxy_resources::{ProxyResources, Verdict};
use craneknot_agent::shell::Shell;
use craneknot_reactor::SteadyClock;
use craneknot_settings::{parse, AgentSettings};
use craneknot_xds::discovery::{epoch_of, file_text, read_file, DiscoveryResponse, Kind};
use fleet::{list, shared, Coordinator};
use serde_json::json;

fn agent(folder: &Path, coordinators: serde_json::Value) -> Shell {
    let text = json!({
        "nodes": [{"id": "proxy", "zone": "north", "folder": "proxy"}],
        "coordinators": coordinators,
        "listen": "127.0.0.1:0", "redial_least": "20ms", "redial_most": "100ms", "seed": 3
    });
    let settings: AgentSettings = parse(Path::new("test"), text.to_string().as_bytes()).unwrap();
    Shell::new(settings, folder, Arc::new(SteadyClock::new())).unwrap()
}

fn until(shell: &mut Shell, what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !done() {
        assert!(Instant::now() < end, "{what} never came");
        shell.run_once(Some(Duration::from_millis(10))).unwrap();
    }
}

/// The epochs of the files that stand, by kind.
fn epochs(folder: &Path) -> BTreeMap<Kind, u64> {
    let epoch = |kind: Kind| {
        let text = fs::read(folder.join("proxy").join(kind.file())).ok()?;
        Some((kind, epoch_of(&read_file(kind, &text).ok()?.0.source)))
    };
    Kind::ALL.into_iter().filter_map(epoch).collect()
}

fn response(version: &str) -> DiscoveryResponse {
    let text = json!({"version_info": version, "type_url": Kind::Endpoints.type_url(), "nonce": "1", "resources": []});
    serde_json::from_value(text).unwrap()
}

#[test]
fn an_older_epoch_is_refused_for_good_also_after_a_restart() {
    let mut holding = ProxyResources::default();
    let take = |holding: &mut ProxyResources, version: &str| match holding
        .evaluate(Kind::Endpoints, &response(version))
    {
        Ok(Verdict::Swap(staged)) => {
            let text = staged.text.clone();
            holding.commit(staged);
            Ok(text)
        }
        Ok(Verdict::Warming { missing }) => panic!("waits for {missing}"),
        Err(status) => Err(status.code),
    };
    take(&mut holding, "e4:b-1/7").unwrap();
    let text = take(&mut holding, "e5:a-1/3").unwrap();
    assert_eq!(take(&mut holding, "e4:b-1/8"), Err(9));
    assert_eq!(take(&mut holding, "b-1/9"), Err(9));
    let mut next = ProxyResources::default();
    next.restore(Kind::Endpoints, text.as_bytes()).unwrap();
    assert_eq!((next.epoch(), take(&mut next, "e4:b-1/10")), (5, Err(9)));
    // Another kind's file is enough to know.
    assert!(next.evaluate(Kind::Routes, &response("e1:c/1")).is_err());
    assert!(take(&mut next, "e5:a-1/4").is_ok());
}

/// A store put back to an older copy, or lost: the proxies say what they followed, and the next epoch is beyond it.
#[test]
fn a_coordinator_whose_store_is_old_goes_beyond_what_proxies_followed() {
    let folder = tempfile::tempdir().unwrap();
    list(folder.path(), 1, &[9001]);
    let home = folder.path().join("proxy");
    fs::create_dir_all(&home).unwrap();
    for kind in Kind::ALL {
        fs::write(home.join(kind.file()), file_text(kind, "e9:former-1", 5, &[])).unwrap();
    }
    let coordinator = Coordinator::start_as(shared("fresh.store"), folder.path());
    let mut shell = agent(folder.path(), json!([coordinator.address.to_string()]));
    until(&mut shell, "an epoch beyond nine", || {
        epochs(folder.path()).get(&Kind::Clusters).is_some_and(|e| *e > 9)
    });
    let tables = fs::read_to_string(home.join(Kind::Endpoints.file())).unwrap();
    assert!(tables.contains("9001") && coordinator.status()["shared"]["epoch"].as_u64().unwrap() > 9);
}

/// Term, vote, list and what proxies followed outlast a coordinator, and one process at a time has the store.
#[test]
fn a_coordinator_goes_on_from_its_store() {
    let folder = tempfile::tempdir().unwrap();
    list(folder.path(), 1, &[9001, 9002]);
    let first = Coordinator::start_as(shared("one.store"), folder.path());
    let mut shell = agent(folder.path(), json!([first.address.to_string()]));
    until(&mut shell, "the first files", || epochs(folder.path()).len() == 3);
    until(&mut shell, "what was followed in the store", || {
        first.status()["store"]["records"].as_u64() >= Some(3)
    });
    let before = first.status()["shared"].clone();
    let twice = craneknot_coordinator::shell::Shell::new(
        shared("one.store"),
        folder.path(),
        Arc::new(SteadyClock::new()),
    );
    assert!(twice.err().unwrap().to_string().contains("in use"));
    drop(first);
    drop(shell);
    fs::remove_file(folder.path().join("servers.json")).unwrap();
    let second = Coordinator::start_as(shared("one.store"), folder.path());
    let mut shell = agent(folder.path(), json!([second.address.to_string()]));
    until(&mut shell, "a lease", || !second.status()["shared"]["lease"].is_null());
    let after = second.status();
    assert!(after["shared"]["term"].as_u64() > before["term"].as_u64());
    assert!(after["shared"]["epoch"].as_u64() >= before["epoch"].as_u64());
    assert_eq!(after["servers"], 2);
}

/// An agent that is sent on by name dials that one; sent to and fro, it goes back to waiting.
#[test]
fn an_agent_follows_where_it_is_sent() {
    let folder = tempfile::tempdir().unwrap();
    list(folder.path(), 1, &[9001]);
    let coordinator = Coordinator::start(folder.path());
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let at = other.local_addr().unwrap();
    let sender = std::thread::spawn(move || {
        use std::io::{Read, Write};
        let (mut stream, _) = other.accept().unwrap();
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).unwrap();
        let answer = "HTTP/1.1 307 Temporary Redirect\r\nlocation: http://second/v3/discovery:endpoints\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(answer.as_bytes()).unwrap();
        let _ = stream.read(&mut buffer);
    });
    let named = |name: &str, address: String| json!({"name": name, "address": address});
    let coordinators =
        json!([named("first", at.to_string()), named("second", coordinator.address.to_string())]);
    let mut shell = agent(folder.path(), coordinators);
    until(&mut shell, "files of the second", || epochs(folder.path()).len() == 3);
    sender.join().unwrap();
}

/// A settings reload brings a second coordinator into a fleet of one, and takes it out again.
#[test]
fn members_come_and_go_by_a_reload() {
    use craneknot_rehearsal::conduct::{await_ready, write_settings, Process};
    let folder = tempfile::tempdir().unwrap();
    list(folder.path(), 1, &[9001]);
    let place = || std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let sockets = [place(), place()];
    let places = [0, 1].map(|k| sockets[k].local_addr().unwrap());
    drop(sockets);
    let names = ["one", "two"];
    let settings = |k: usize, members: &[usize]| {
        let mut settings = shared(&format!("{}.store", names[k]));
        settings.name = names[k].to_owned();
        settings.ready_file = Some(format!("{}.ready.json", names[k]).into());
        settings.roster.remembered = None;
        settings.fleet.coordinators = members.len() as u32;
        let member = |k: &usize| json!({"name": names[*k], "datagrams": places[*k].to_string()});
        let shared = settings.shared.as_mut().unwrap();
        shared.members = members.iter().map(|k| serde_json::from_value(member(k)).unwrap()).collect();
        shared.datagrams = places[k];
        settings
    };
    let write = |k: usize, members: &[usize]| {
        let file = folder.path().join(format!("{}.json", names[k]));
        write_settings(&file, &settings(k, members)).unwrap();
        file
    };
    let program = Path::new(env!("CARGO_BIN_EXE_craneknot"));
    let start = |k: usize, members: &[usize]| {
        let process = Process::start(program, "run", &write(k, members)).unwrap();
        (process, await_ready(&folder.path().join(format!("{}.ready.json", names[k]))).unwrap())
    };
    let voters = |at: std::net::SocketAddr| {
        let mut stream = std::net::TcpStream::connect(at).unwrap();
        let asked = b"GET /status HTTP/1.1\r\nconnection: close\r\n\r\n";
        std::io::Write::write_all(&mut stream, asked).unwrap();
        let mut text = String::new();
        std::io::Read::read_to_string(&mut stream, &mut text).unwrap();
        let status: serde_json::Value = serde_json::from_str(text.split_once("\r\n\r\n").unwrap().1).unwrap();
        (status["shared"]["voters"].clone(), status["shared"]["lease"].is_array())
    };
    let until = |what: &str, done: &dyn Fn() -> bool| {
        let end = Instant::now() + Duration::from_secs(20);
        while !done() {
            assert!(Instant::now() < end, "{what} never came");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let (one, at) = start(0, &[0]);
    until("a fleet of one", &|| voters(at) == (json!(["one"]), true));
    let (two, other) = start(1, &[0, 1]);
    write(0, &[0, 1]);
    one.signal(rustix::process::Signal::HUP);
    until("both vote", &|| voters(at) == (json!(["one", "two"]), true) && voters(other).1);
    // Settings that are not in order change nothing.
    std::fs::write(folder.path().join("one.json"), "{").unwrap();
    one.signal(rustix::process::Signal::HUP);
    until("the reload", &|| {
        let log = fs::read_to_string(folder.path().join("one.log")).unwrap_or_default();
        log.contains("the settings are not in order")
    });
    assert_eq!(voters(at), (json!(["one", "two"]), true));
    drop(two);
}
