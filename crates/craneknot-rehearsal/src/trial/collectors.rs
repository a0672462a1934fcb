//! The zones' collectors: each connects to a coordinator, names its zone, and passes reports on.

use std::thread;
use std::time::Duration;

use super::clients::{Connection, Target, HEARTBEAT};
use super::deployment::{REPORT_INTERVAL, ZONES};
use super::fleet::SharedFleet;
use super::judge::{Answer, Asked};

const REDIAL: Duration = Duration::from_millis(50); // after a connection was refused or has ended

/// Reports for a zone until the trial is over, and asks for a heartbeat after each round.
pub fn collect(target: &Target, zone: usize, fleet: &SharedFleet) {
    let mut kept: Option<Connection> = None;
    while !target.is_over() {
        let Some(mut open) = kept.take().filter(|_| target.is_reachable()).or_else(|| connect(target, zone))
        else {
            thread::sleep(REDIAL);
            continue;
        };
        let reports = fleet.lock().unwrap().take_reports(target.coordinator, zone);
        if open.write(reports.as_bytes()) {
            let sent = target.judge.moment();
            if open.write(HEARTBEAT) {
                let answer = open.answer();
                target.judge(open.question(target, Asked::CollectorHeartbeat, sent), answer);
                kept = (answer == Answer::Came).then_some(open);
            }
        }
        thread::sleep(REPORT_INTERVAL);
    }
}

fn connect(target: &Target, zone: usize) -> Option<Connection> {
    let mut open = Connection::open(target)?;
    let greeting = format!("{{\"type\":\"telemetry\",\"locality\":\"{}\"}}\n", ZONES[zone]);
    open.write(greeting.as_bytes()).then_some(open)
}
