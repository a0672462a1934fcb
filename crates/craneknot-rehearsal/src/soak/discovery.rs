//! Simulated discovery on sockets: full lists, and watches by long polling.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use super::fleet::{Fleet, Server};
use super::http::{self, read_request, respond};

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Starts the discovery server of one node and returns its address.
pub fn serve(fleet: Arc<Mutex<Fleet>>, node: usize) -> io::Result<SocketAddr> {
    http::serve(move |stream| handle_connection(&fleet, node, stream))
}

fn handle_connection(fleet: &Mutex<Fleet>, node: usize, mut stream: TcpStream) {
    let (mut unparsed, _) = (Vec::new(), stream.set_nodelay(true));
    while let Some(request) = read_request(&mut stream, &mut unparsed) {
        let query = request.path.split_once('?').map_or("", |(_, query)| query);
        let number = |key: &str| {
            let found = form_urlencoded::parse(query.as_bytes()).find(|(name, _)| name == key);
            found.and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let (body, listed) = answer(fleet, number("index"), number("wait").unwrap_or(0));
        let lag = fleet.lock().unwrap().lag;
        thread::sleep(lag);
        if respond(&mut stream, "200 OK", &body).is_err() {
            return;
        }
        fleet.lock().unwrap().record_list_sent(node, &listed);
    }
}

/// Returns the list once there is a newer version or the wait is over, and the servers that it describes.
fn answer(fleet: &Mutex<Fleet>, after: Option<u64>, wait: u64) -> (String, Vec<Server>) {
    let until = Instant::now() + Duration::from_millis(wait);
    loop {
        let fleet = fleet.lock().unwrap();
        let is_newer = after.is_none_or(|after| fleet.version > after);
        if is_newer || Instant::now() >= until {
            let after = after.filter(|_| !fleet.answer_full_list);
            return (fleet.list(after), fleet.servers.clone());
        }
        drop(fleet);
        thread::sleep(POLL_INTERVAL);
    }
}
