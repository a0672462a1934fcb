//! The collectors of the zones: each connects to a coordinator, names its zone and forwards reports.

use std::thread;
use std::time::Duration;

use super::clients::{Connection, Target, HEARTBEAT};
use super::deployment::{REPORT_INTERVAL, ZONES};
use super::fleet::SharedFleet;
use super::judge::{Answer, Asked};

const RECONNECT_DELAY: Duration = Duration::from_millis(50); // after a connection was refused or has ended

/// Sends the reports of a zone until the trial is finished, and requests a heartbeat after each batch.
pub fn run(target: &Target, zone: usize, fleet: &SharedFleet) {
    let mut kept: Option<Connection> = None;
    while !target.is_finished() {
        let Some(mut connection) =
            kept.take().filter(|_| target.is_reachable()).or_else(|| connect(target, zone))
        else {
            thread::sleep(RECONNECT_DELAY);
            continue;
        };
        let reports = fleet.lock().unwrap().take_reports(target.coordinator, zone);
        if connection.write(reports.as_bytes()) {
            let sent = target.judge.moment();
            if connection.write(HEARTBEAT) {
                let answer = connection.read_heartbeat_answer();
                target.judge_answer(connection.request(target, Asked::CollectorHeartbeat, sent), answer);
                kept = (answer == Answer::Came).then_some(connection);
            }
        }
        thread::sleep(REPORT_INTERVAL);
    }
}

fn connect(target: &Target, zone: usize) -> Option<Connection> {
    let mut connection = Connection::open(target)?;
    let greeting = format!("{{\"type\":\"telemetry\",\"locality\":\"{}\"}}\n", ZONES[zone]);
    connection.write(greeting.as_bytes()).then_some(connection)
}
