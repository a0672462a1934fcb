//! Fencing from coordinator to agent: resources of an older epoch are never applied, whatever happened to a store.

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
use fleet::{shared_settings, write_server_list, Coordinator};
use serde_json::json;

fn start_agent(folder: &Path, coordinators: serde_json::Value) -> Shell {
    let text = json!({
        "nodes": [{"id": "proxy", "zone": "north", "folder": "proxy"}],
        "coordinators": coordinators,
        "listen": "127.0.0.1:0", "redial_least": "20ms", "redial_most": "100ms", "seed": 3
    });
    let settings: AgentSettings = parse(Path::new("test"), text.to_string().as_bytes()).unwrap();
    Shell::new(settings, folder, Arc::new(SteadyClock::new())).unwrap()
}

fn run_until(shell: &mut Shell, expected: &str, mut is_done: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !is_done() {
        assert!(Instant::now() < end, "timed out waiting for {expected}");
        shell.run_once(Some(Duration::from_millis(10))).unwrap();
    }
}

/// The epochs of the current files, by kind.
fn epochs(folder: &Path) -> BTreeMap<Kind, u64> {
    let epoch = |kind: Kind| {
        let text = fs::read(folder.join("proxy").join(kind.file())).ok()?;
        Some((kind, epoch_of(&read_file(kind, &text).ok()?.0.source)))
    };
    Kind::ALL.into_iter().filter_map(epoch).collect()
}

fn endpoints_response(version: &str) -> DiscoveryResponse {
    let text = json!({"version_info": version, "type_url": Kind::Endpoints.type_url(), "nonce": "1", "resources": []});
    serde_json::from_value(text).unwrap()
}

#[test]
fn an_older_epoch_is_rejected_also_after_a_restart() {
    let mut holding = ProxyResources::default();
    let receive = |holding: &mut ProxyResources, version: &str| match holding
        .evaluate(Kind::Endpoints, &endpoints_response(version))
    {
        Ok(Verdict::Swap(staged)) => {
            let text = staged.text.clone();
            holding.commit(staged);
            Ok(text)
        }
        Ok(Verdict::Warming { missing }) => panic!("waiting for {missing}"),
        Err(status) => Err(status.code),
    };
    receive(&mut holding, "e4:b-1/7").unwrap();
    let text = receive(&mut holding, "e5:a-1/3").unwrap();
    assert_eq!(receive(&mut holding, "e4:b-1/8"), Err(9));
    assert_eq!(receive(&mut holding, "b-1/9"), Err(9));
    let mut restarted = ProxyResources::default();
    restarted.restore(Kind::Endpoints, text.as_bytes()).unwrap();
    assert_eq!((restarted.epoch(), receive(&mut restarted, "e4:b-1/10")), (5, Err(9)));
    // The file of one kind is enough to know the epoch for all kinds.
    assert!(restarted.evaluate(Kind::Routes, &endpoints_response("e1:c/1")).is_err());
    assert!(receive(&mut restarted, "e5:a-1/4").is_ok());
}

/// If a store is lost or replaced by an older copy, the proxies report the epoch that they follow, and the next epoch is
/// higher than that.
#[test]
fn a_coordinator_with_an_old_store_uses_a_higher_epoch_than_its_proxies() {
    let folder = tempfile::tempdir().unwrap();
    write_server_list(folder.path(), 1, &[9001]);
    let proxy_folder = folder.path().join("proxy");
    fs::create_dir_all(&proxy_folder).unwrap();
    for kind in Kind::ALL {
        fs::write(proxy_folder.join(kind.file()), file_text(kind, "e9:former-1", 5, &[])).unwrap();
    }
    let coordinator = Coordinator::start_as(shared_settings("fresh.store"), folder.path());
    let mut shell = start_agent(folder.path(), json!([coordinator.address.to_string()]));
    run_until(&mut shell, "an epoch above nine", || {
        epochs(folder.path()).get(&Kind::Clusters).is_some_and(|epoch| *epoch > 9)
    });
    let tables = fs::read_to_string(proxy_folder.join(Kind::Endpoints.file())).unwrap();
    assert!(tables.contains("9001") && coordinator.status()["shared"]["epoch"].as_u64().unwrap() > 9);
}

/// The store keeps term, vote, server list and the epochs that proxies follow across a restart, and only one process at a
/// time can open it.
#[test]
fn a_restarted_coordinator_continues_from_its_store() {
    let folder = tempfile::tempdir().unwrap();
    write_server_list(folder.path(), 1, &[9001, 9002]);
    let first = Coordinator::start_as(shared_settings("one.store"), folder.path());
    let mut shell = start_agent(folder.path(), json!([first.address.to_string()]));
    run_until(&mut shell, "the first files", || epochs(folder.path()).len() == 3);
    run_until(&mut shell, "the followed epochs in the store", || {
        first.status()["store"]["records"].as_u64() >= Some(3)
    });
    let before = first.status()["shared"].clone();
    let second_open = craneknot_coordinator::shell::Shell::new(
        shared_settings("one.store"),
        folder.path(),
        Arc::new(SteadyClock::new()),
    );
    assert!(second_open.err().unwrap().to_string().contains("in use"));
    drop(first);
    drop(shell);
    fs::remove_file(folder.path().join("servers.json")).unwrap();
    let second = Coordinator::start_as(shared_settings("one.store"), folder.path());
    let mut shell = start_agent(folder.path(), json!([second.address.to_string()]));
    run_until(&mut shell, "a lease", || !second.status()["shared"]["lease"].is_null());
    let after = second.status();
    assert!(after["shared"]["term"].as_u64() > before["term"].as_u64());
    assert!(after["shared"]["epoch"].as_u64() >= before["epoch"].as_u64());
    assert_eq!(after["servers"], 2);
}

/// An agent that is redirected to a coordinator by name connects to that one. Redirected back and forth, an agent returns
/// to waiting, which this test does not check.
#[test]
fn an_agent_follows_a_redirect() {
    let folder = tempfile::tempdir().unwrap();
    write_server_list(folder.path(), 1, &[9001]);
    let coordinator = Coordinator::start(folder.path());
    let other = TcpListener::bind("127.0.0.1:0").unwrap();
    let redirecting = other.local_addr().unwrap();
    let redirect = std::thread::spawn(move || {
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
        json!([named("first", redirecting.to_string()), named("second", coordinator.address.to_string())]);
    let mut shell = start_agent(folder.path(), coordinators);
    run_until(&mut shell, "files of the second", || epochs(folder.path()).len() == 3);
    redirect.join().unwrap();
}

/// A settings reload adds a second coordinator to a fleet of one. A reload can remove it again too, which this test does
/// not check.
#[test]
fn a_reload_adds_a_member() {
    use craneknot_rehearsal::runner::{await_ready, write_settings, Process};
    let folder = tempfile::tempdir().unwrap();
    write_server_list(folder.path(), 1, &[9001]);
    let bind_socket = || std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let sockets = [bind_socket(), bind_socket()];
    let datagram_addresses = [0, 1].map(|index| sockets[index].local_addr().unwrap());
    drop(sockets);
    let names = ["one", "two"];
    let settings = |index: usize, members: &[usize]| {
        let mut settings = shared_settings(&format!("{}.store", names[index]));
        settings.name = names[index].to_owned();
        settings.ready_file = Some(format!("{}.ready.json", names[index]).into());
        settings.roster.remembered = None;
        settings.fleet.coordinators = members.len() as u32;
        let member = |index: &usize| json!({"name": names[*index], "datagrams": datagram_addresses[*index].to_string()});
        let shared = settings.shared.as_mut().unwrap();
        shared.members = members.iter().map(|index| serde_json::from_value(member(index)).unwrap()).collect();
        shared.datagrams = datagram_addresses[index];
        settings
    };
    let write = |index: usize, members: &[usize]| {
        let file = folder.path().join(format!("{}.json", names[index]));
        write_settings(&file, &settings(index, members)).unwrap();
        file
    };
    let program = Path::new(env!("CARGO_BIN_EXE_craneknot"));
    let start = |index: usize, members: &[usize]| {
        let process = Process::start(program, "run", &write(index, members)).unwrap();
        (process, await_ready(&folder.path().join(format!("{}.ready.json", names[index]))).unwrap())
    };
    let voters = |at: std::net::SocketAddr| {
        let mut stream = std::net::TcpStream::connect(at).unwrap();
        let request = b"GET /status HTTP/1.1\r\nconnection: close\r\n\r\n";
        std::io::Write::write_all(&mut stream, request).unwrap();
        let mut text = String::new();
        std::io::Read::read_to_string(&mut stream, &mut text).unwrap();
        let status: serde_json::Value = serde_json::from_str(text.split_once("\r\n\r\n").unwrap().1).unwrap();
        (status["shared"]["voters"].clone(), status["shared"]["lease"].is_array())
    };
    let wait_until = |expected: &str, is_done: &dyn Fn() -> bool| {
        let end = Instant::now() + Duration::from_secs(20);
        while !is_done() {
            assert!(Instant::now() < end, "timed out waiting for {expected}");
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    let (one, at) = start(0, &[0]);
    wait_until("a fleet of one", &|| voters(at) == (json!(["one"]), true));
    let (two, other) = start(1, &[0, 1]);
    write(0, &[0, 1]);
    one.signal(rustix::process::Signal::HUP);
    wait_until("both voters", &|| voters(at) == (json!(["one", "two"]), true) && voters(other).1);
    // Invalid settings change nothing.
    std::fs::write(folder.path().join("one.json"), "{").unwrap();
    one.signal(rustix::process::Signal::HUP);
    wait_until("the reload", &|| {
        let log = fs::read_to_string(folder.path().join("one.log")).unwrap_or_default();
        log.contains("the settings are not in order")
    });
    assert_eq!(voters(at), (json!(["one", "two"]), true));
    drop(two);
}
