//! The deployment of a trial: its settings as passed to a node, and the limits that the judge applies.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use serde_json::{json, Value};

use crate::workload::{Admission, ClassSpec, Semantics, ServerSpec, WorkloadSettings};

/// The coordinators of the fleet.
pub const COORDINATORS: usize = 3;
/// The proxies of the fleet.
pub const PROXIES: u16 = 240;
/// The servers of the fleet.
pub const SERVERS: usize = 30;
/// The zones.
pub const ZONES: [&str; 2] = ["pier", "yard"];
/// Every n-th server is in the second zone, which is the one that is lost.
pub const SECOND_ZONE_EVERY: usize = 3;
/// The zone that is lost.
pub const LOST_ZONE: usize = 1;
/// The classes of operations.
pub const CLASSES: [&str; 3] = ["quote", "track", "book"];

/// How long a proxy may have no line for a class (`extra.bare`).
pub const NO_LINE_LIMIT: Duration = Duration::from_millis(2_800);
/// How long a proxy may keep a line to a draining server (`rules.stop-sending-within`).
pub const DRAIN_GRACE: Duration = Duration::from_millis(2_700);
/// How long after its start a server is warm (`rules.ramp-time`).
pub const WARM_AFTER: Duration = Duration::from_millis(14_000);
/// How long a coordinator may go without requesting the list before it counts as notified (`rules.ask-within`).
pub const ASK_WITHIN: Duration = Duration::from_secs(10);
/// Lines per second that a coordinator's channel sends (`extra.egress-per-s`).
pub const LINES_PER_SECOND: f64 = 14_000.0;
/// Lines that may be queued in the channel (`extra.queue-cap`).
pub const QUEUE_CAP: f64 = 28_000.0;
/// Overhead of each message, in lines, in addition to its own lines (`extra.envelope`).
pub const MESSAGE_LINES: f64 = 3.0;
/// Mean transit time from the channel to the proxy (`extra.push-delay`).
pub const PUSH_DELAY: Duration = Duration::from_millis(180);
/// Longest transit time from the channel to the proxy (`extra.worst-transit`).
pub const WORST_TRANSIT: Duration = Duration::from_millis(450);
/// Interval at which reports are collected (`extra.interval`).
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);

const LATENCY_GOALS: [Duration; 3] =
    [Duration::from_millis(1_000), Duration::from_millis(1_200), Duration::from_millis(1_500)];
const DEADLINES: [Duration; 3] =
    [Duration::from_millis(2_500), Duration::from_millis(3_000), Duration::from_millis(4_000)];
const UNSAFE_CLASS: usize = 2; // must not be executed twice
const COLD_SHARE: f64 = 0.2; // of its full capacity, available to a server when it starts
const OVERLOAD_MULTIPLE: f64 = 3.0; // of its present capacity; the load at which a cold server fails
const OVERLOAD_WINDOW: Duration = Duration::from_secs(3); // over which the load of a cold server is measured
const CORES: f64 = 2.0; // of each server
const LOAD: f64 = 0.35; // share of the capacity of all warm servers

/// The zone of a server, by its index.
pub fn zone_of_server(server: usize) -> usize {
    usize::from(server % SECOND_ZONE_EVERY == SECOND_ZONE_EVERY - 1)
}

/// The zone of a proxy, by its number.
pub fn zone_of_proxy(proxy: u16) -> usize {
    usize::from(proxy) % ZONES.len()
}

/// The identifier of a server, by its index.
pub fn server_id(server: usize) -> String {
    format!("s-{:08x}", (server as u32 + 1).wrapping_mul(0x9e37_79b1))
}

/// The zone that the class which must not run twice is confined to, by seed: the lost zone, the other one, or none.
pub fn confined_zone(seed: u64) -> Option<usize> {
    [Some(LOST_ZONE), Some(1 - LOST_ZONE), None][(seed % 3) as usize]
}

/// The settings in the form of a node's configuration.
pub fn settings(seed: u64) -> Value {
    let profile = |index: usize| {
        let semantics = if index == UNSAFE_CLASS { "single_shot" } else { "free" };
        let mut profile = json!({"name": CLASSES[index], "aim": LATENCY_GOALS[index].as_secs_f64(),
                                 "worth": 1.0 + index as f64, "deadline": DEADLINES[index].as_secs_f64(),
                                 "semantics": semantics});
        if let Some(zone) = confined_zone(seed).filter(|_| index == UNSAFE_CLASS) {
            profile["only-zones"] = json!([ZONES[zone]]);
        }
        profile
    };
    let profiles: Vec<Value> = (0..CLASSES.len()).map(profile).collect();
    json!({
        "localities": ZONES, "kinds": ["m2"], "balancers": COORDINATORS, "registry-mode": "on_request",
        "reporting": {"how": "answers", "names": ["busy", "rif", "lat_ms"]},
        "profiles": profiles,
        "caps": {"probing": false},
        "rules": {"ask-within": ASK_WITHIN.as_secs_f64(), "cold-share": COLD_SHARE,
                  "fall": OVERLOAD_WINDOW.as_secs_f64(), "fall-multiple": OVERLOAD_MULTIPLE,
                  "ramp-time": WARM_AFTER.as_secs_f64(), "stop-sending-within": DRAIN_GRACE.as_secs_f64()},
        "extra": {"data-plane-size": PROXIES, "bare": NO_LINE_LIMIT.as_secs_f64(), "admission": "rps",
                  "egress-per-s": LINES_PER_SECOND, "queue-cap": QUEUE_CAP, "envelope": MESSAGE_LINES,
                  "update-cap": 0, "reload-span": 10.0, "interval": REPORT_INTERVAL.as_secs_f64(), "slices": 0,
                  "home-only": [false, false, false], "push-delay": PUSH_DELAY.as_secs_f64(),
                  "worst-transit": WORST_TRANSIT.as_secs_f64()}
    })
}

/// The same deployment as settings of the workload; the true speeds of the servers are random.
pub fn workload(seed: u64) -> WorkloadSettings {
    let mut rng = Pcg32::seed_from_u64(seed);
    let server = |server: usize| ServerSpec {
        id: server_id(server),
        zone: zone_of_server(server),
        cores: CORES,
        speed: rng.random_range(0.85..1.15),
        listed_weight: 1.0,
    };
    let class = |index: usize| ClassSpec {
        name: CLASSES[index].to_owned(),
        share: [0.5, 0.3, 0.2][index],
        work: Duration::from_millis([30, 50, 80][index]),
        latency_goal: LATENCY_GOALS[index],
        deadline: DEADLINES[index],
        semantics: if index == UNSAFE_CLASS { Semantics::Unsafe } else { Semantics::Safe },
        only_zone: confined_zone(seed).filter(|_| index == UNSAFE_CLASS),
    };
    WorkloadSettings {
        servers: (0..SERVERS).map(server).collect(),
        classes: (0..CLASSES.len()).map(class).collect(),
        proxies: PROXIES,
        zones: ZONES.len(),
        coordinators: COORDINATORS,
        load: LOAD,
        rate_spread: 0.4,
        cold_share: COLD_SHARE,
        ramp_time: WARM_AFTER,
        overload_multiple: OVERLOAD_MULTIPLE,
        overload_window: OVERLOAD_WINDOW,
        no_line_limit: NO_LINE_LIMIT,
        drain_grace: DRAIN_GRACE,
        lines_per_second: LINES_PER_SECOND,
        lines_per_message: MESSAGE_LINES,
        queue_limit: QUEUE_CAP,
        push_delay: PUSH_DELAY,
        report_period: REPORT_INTERVAL,
        admission: Admission::Rate,
        ..WorkloadSettings::default()
    }
}
