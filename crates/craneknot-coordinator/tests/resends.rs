//! Agents that reject what they are sent for a while, as those whose disk is full do: what the coordinator sends them
//! again is judged by what the agents get.

use std::collections::{BTreeMap, VecDeque};
use std::path::Path;

use craneknot::interface::Nanos;
use craneknot_coordinator::engine::{Engine, Output, StreamId};
use craneknot_coordinator::session::Response;
use craneknot_settings::{parse, CoordinatorSettings};
use craneknot_xds::discovery::{DiscoveryRequest, Kind, Locality, Node, Status};
use craneknot_xds::load::LoadStatsRequest;
use serde_json::json;

const SERVERS: u16 = 12;
/// Consecutive servers, one of each group.
const SERVERS_PER_STEP: u16 = 3;
const LINES_PER_SECOND: f64 = 1_000.0;
const LINES_LIMIT: f64 = 2_000.0;
const LINES_PER_MESSAGE: f64 = 3.0;
const MESSAGE_SPAN: Nanos = Nanos::from_millis(10_000);
const TICK: Nanos = Nanos::from_millis(10);
const REPORT_PERIOD: Nanos = Nanos::from_millis(500);

fn settings(agents: u64, message_limit: u32) -> CoordinatorSettings {
    let text = json!({
        "name": "resends", "listen": "127.0.0.1:0", "seed": 1,
        "fleet": {
            "zones": ["north"], "coordinators": 1, "proxies": agents, "levels": "rate",
            "classes": [
                {"name": "read", "latency_goal": "1s", "hard_stop": "3s", "importance": 1, "repeats": "safe"}
            ]
        },
        "rules": {
            "drain_grace": "2s", "cold_share": 0.2, "warm_after": "10s", "fall_multiple": 3, "fall_window": "2s",
            "bare_limit": "2s"
        },
        "channel": {
            "lines_per_second": LINES_PER_SECOND, "lines_limit": LINES_LIMIT, "lines_per_message": LINES_PER_MESSAGE,
            "message_limit": message_limit, "message_span": "10s"
        },
        "roster": {"file": "servers.json"},
        "report_period": "500ms",
        "probes": {"enabled": false, "time_out": "300ms"}
    });
    parse(Path::new("resends"), text.to_string().as_bytes()).unwrap()
}

/// The coordinator and its agents, which answer at once.
struct World {
    engine: Engine,
    agents: u64,
    now: Nanos,
    version: u64,
    draining: Vec<u16>,
    are_rejecting: bool,
    nonces: BTreeMap<(u64, Kind), u64>,
    /// When each agent was sent tables within the span.
    messages: BTreeMap<u64, VecDeque<Nanos>>,
    most_messages: usize,
    /// Lines that a channel with the configured rate would not have carried yet.
    lines_waiting: f64,
    most_lines_waiting: f64,
}

impl World {
    fn new(agents: u64, message_limit: u32) -> Self {
        let now = Nanos::from_millis(1_000_000);
        let mut world = World {
            engine: Engine::new(&settings(agents, message_limit), 1, now),
            agents,
            now,
            version: 0,
            draining: Vec::new(),
            are_rejecting: false,
            nonces: BTreeMap::new(),
            messages: BTreeMap::new(),
            most_messages: 0,
            lines_waiting: 0.0,
            most_lines_waiting: 0.0,
        };
        world.update_roster();
        for agent in 0..agents {
            Kind::ALL.into_iter().for_each(|kind| world.request(agent, kind, None));
        }
        world
    }

    fn update_roster(&mut self) {
        self.version += 1;
        let server = |port: u16| {
            let state = if self.draining.contains(&port) { "draining" } else { "up" };
            json!({"address": format!("127.0.0.1:{port}"), "zone": "north", "state": state})
        };
        let servers: Vec<_> = (9_000..9_000 + SERVERS).map(server).collect();
        let text = json!({"version": self.version, "servers": servers}).to_string();
        self.engine.update_roster(self.now, text.as_bytes()).unwrap();
    }

    fn request(&mut self, agent: u64, kind: Kind, error_detail: Option<Status>) {
        let request = DiscoveryRequest {
            node: Some(node(agent)),
            type_url: kind.type_url().to_owned(),
            response_nonce: self.nonces.get(&(agent, kind)).map(u64::to_string).unwrap_or_default(),
            error_detail,
            ..DiscoveryRequest::default()
        };
        self.engine.handle_request(self.now, StreamId(agent), kind, request).unwrap();
    }

    fn run(&mut self, duration: Nanos) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + TICK;
            self.lines_waiting = (self.lines_waiting - TICK.secs() * LINES_PER_SECOND).max(0.0);
            if self.now.0.is_multiple_of(REPORT_PERIOD.0) {
                self.report();
            }
            for output in self.engine.turn(self.now) {
                self.carry_out(output);
            }
        }
    }

    fn report(&mut self) {
        for agent in 0..self.agents {
            let report = LoadStatsRequest { node: Some(node(agent)), cluster_stats: Vec::new() };
            let _ = self.engine.handle_load_report(self.now, &report);
        }
    }

    fn carry_out(&mut self, output: Output) {
        match output {
            Output::Respond { stream, response: Response::Unchanged { kind }, .. } => {
                self.request(stream.0, kind, None);
            }
            Output::Respond { stream, response: Response::Resources { kind, nonce, resources }, .. } => {
                let text = String::from_utf8(resources.concat()).unwrap();
                self.count(stream.0, kind, &text);
                self.nonces.insert((stream.0, kind), nonce);
                let error = self.are_rejecting.then(|| Status::exhausted("disk full"));
                self.request(stream.0, kind, error);
            }
            Output::ReadRoster => {}
            other => panic!("unexpected: {other:?}"),
        }
    }

    /// Counts what an agent was sent: the lines of tables, and the message that they belong to.
    fn count(&mut self, agent: u64, kind: Kind, text: &str) {
        self.lines_waiting += text.matches("\"port_value\"").count() as f64;
        if kind == Kind::Endpoints {
            self.lines_waiting += LINES_PER_MESSAGE;
            let times = self.messages.entry(agent).or_default();
            times.push_back(self.now);
            while times.front().is_some_and(|first| self.now - *first >= MESSAGE_SPAN) {
                times.pop_front();
            }
            self.most_messages = self.most_messages.max(times.len());
        }
        self.most_lines_waiting = self.most_lines_waiting.max(self.lines_waiting);
    }

    /// Drains a server of each group after another, and puts them back.
    fn release(&mut self, steps: u16, pause: Nanos) {
        for step in 0..steps {
            let first = step * SERVERS_PER_STEP % SERVERS;
            self.draining = (first..first + SERVERS_PER_STEP).map(|server| 9_000 + server).collect();
            self.update_roster();
            self.run(pause);
        }
    }
}

fn node(agent: u64) -> Node {
    Node { id: format!("proxy-{agent}"), locality: Locality::zone("north"), ..Node::default() }
}

/// Guards against full states after a rejection that bypass the channel and its limit.
#[test]
fn what_is_sent_again_after_a_rejection_goes_through_the_channel() {
    let mut world = World::new(500, 0);
    world.run(Nanos::from_millis(10_000));
    world.are_rejecting = true;
    world.release(1, Nanos::from_millis(12_000));
    world.are_rejecting = false;
    world.run(Nanos::from_millis(20_000));
    assert!(world.most_lines_waiting <= LINES_LIMIT, "{} lines wait", world.most_lines_waiting);
    let status = world.engine.status(world.now);
    assert_eq!((status.refusing, status.owing), (0, 0), "all agents have their state");
}

/// Guards against full states that are sent besides the paced messages.
#[test]
fn what_is_sent_again_after_a_rejection_counts_as_a_message() {
    const MESSAGE_LIMIT: u32 = 12;
    let mut world = World::new(20, MESSAGE_LIMIT);
    world.run(Nanos::from_millis(10_000));
    for _ in 0..4 {
        world.are_rejecting = true;
        world.release(3, Nanos::from_millis(500));
        world.are_rejecting = false;
        world.release(3, Nanos::from_millis(900));
    }
    world.run(Nanos::from_millis(20_000));
    assert!(world.most_messages <= MESSAGE_LIMIT as usize, "{} messages to one agent", world.most_messages);
    let status = world.engine.status(world.now);
    assert_eq!((status.refusing, status.owing), (0, 0), "all agents have their state");
}
