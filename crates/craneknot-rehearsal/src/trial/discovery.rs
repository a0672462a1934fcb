//! Discovery over sockets: full lists and watches, with the delays, full lists and silences that the trial sets.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::fleet::SharedFleet;
use super::registry::{Entry, Registry};
use crate::soak::http::{self, read_request, respond};

const POLL_INTERVAL: Duration = Duration::from_millis(10); // between checks for a newer version

/// Serves one coordinator; returns the address.
pub fn serve(
    registry: Arc<Mutex<Registry>>,
    fleet: SharedFleet,
    coordinator: usize,
) -> io::Result<SocketAddr> {
    http::serve(move |stream| handle_connection(&registry, &fleet, coordinator, stream))
}

fn handle_connection(
    registry: &Mutex<Registry>,
    fleet: &SharedFleet,
    coordinator: usize,
    mut stream: TcpStream,
) {
    let (mut rest, _) = (Vec::new(), stream.set_nodelay(true));
    while let Some(request) = read_request(&mut stream, &mut rest) {
        let query = request.path.split_once('?').map_or("", |(_, query)| query);
        let number = |key: &str| {
            let found = form_urlencoded::parse(query.as_bytes()).find(|(name, _)| name == key);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let (body, entries) =
            build_answer(registry, coordinator, number("index"), number("wait").unwrap_or(0));
        wait_until_allowed(registry, coordinator);
        if respond(&mut stream, "200 OK", &body).is_err() {
            return;
        }
        let notices = registry.lock().unwrap().record_written(coordinator, entries);
        fleet.lock().unwrap().apply_notices(&notices);
    }
}

/// Returns the list and its servers once there is a newer version or the wait has timed out.
fn build_answer(
    registry: &Mutex<Registry>,
    coordinator: usize,
    after: Option<u64>,
    wait: u64,
) -> (String, Vec<Entry>) {
    let until = Instant::now() + Duration::from_millis(wait);
    loop {
        let registry = registry.lock().unwrap();
        let is_newer = after.is_none_or(|after| registry.version() > after);
        if is_newer || Instant::now() >= until {
            let after = after.filter(|_| !registry.behaviours[coordinator].full_lists);
            return (registry.list(after), registry.entries().to_vec());
        }
        drop(registry);
        thread::sleep(POLL_INTERVAL);
    }
}

/// Delays an answer for as long as the trial makes discovery late or silent.
fn wait_until_allowed(registry: &Mutex<Registry>, coordinator: usize) {
    let behaviour = |registry: &Mutex<Registry>| registry.lock().unwrap().behaviours[coordinator];
    thread::sleep(behaviour(registry).delay);
    while behaviour(registry).silent {
        thread::sleep(POLL_INTERVAL);
    }
}
