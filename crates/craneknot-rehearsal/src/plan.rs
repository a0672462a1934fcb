//! The schedule of a rehearsal: a script's faults, expanded with its seed into single timed actions before the start.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use craneknot::interface::Nanos;
use craneknot_coordinator::roster::{Entry, Roster, ServerState};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::machine::ServerSpec;
use crate::record::Listed;
use crate::script::{Script, ServerGroup, Trouble, TroubleKind, Weights};

/// A server that runs from the start or is started later, with its group in the script.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    pub group: ServerGroup,
    /// The cell: a few servers of a zone that share stored keys.
    pub cell: i64,
    /// Whether it runs from the start, warm; otherwise it is started later, cold.
    pub from_start: bool,
}

/// An action on a simulated server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerAct {
    Start,
    Die,
    Silence,
    /// Share of operations that fail quickly.
    Errors(f64),
    Hang(bool),
    /// Factor by which it runs slower.
    Slow(f64),
    /// Share of answers that are never sent.
    LoseAnswers(f64),
}

/// An action on a simulated proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum ProxyAct {
    Die,
    Start,
    /// Is suspended for this long.
    Stall(Nanos),
    /// This share of the tries at these servers gets no answer; 0 ends the fault.
    Path {
        servers: BTreeSet<usize>,
        share: f64,
    },
}

/// An action on the list of servers, the coordinators, the agents or the connections between them.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAct {
    /// Changes the state in which the list shows a server.
    List {
        server: usize,
        state: ListedState,
    },
    /// Makes the list of servers unreadable (`true`), or readable again.
    RosterOut(bool),
    /// Resets all streams of these proxies' agents.
    BreakStreams(BTreeSet<usize>),
    /// Makes these coordinators unreachable for these proxies' agents, or reachable again.
    Unreach {
        proxies: BTreeSet<usize>,
        coordinators: BTreeSet<usize>,
        on: bool,
    },
    KillCoordinator(usize),
    StartCoordinator(usize),
    /// Suspends a coordinator's process (`true`), or continues it.
    StallCoordinator(usize, bool),
    /// Ends the process and starts it from the next version of the program.
    UpgradeCoordinator(usize),
    UpgradeAgent(usize),
    /// Applies a fault to the current leader; the same slot ends it for the coordinator that was affected.
    Leader {
        slot: usize,
        strike: Strike,
    },
    /// Drops datagrams of a coordinator: those it sends, those it receives.
    Cut {
        coordinator: usize,
        sends: bool,
        gets: bool,
    },
    KillAgent(usize),
    StartAgent(usize),
}

/// An action on the leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strike {
    Kill,
    Start,
    Stall,
    Continue,
}

/// The coordinator affected by each fault of the leader, by slot.
#[derive(Default)]
pub struct LeaderStrikes(BTreeMap<usize, usize>);

impl LeaderStrikes {
    /// The action on a particular coordinator; `None` if none is running or none was affected.
    pub fn resolve(&mut self, slot: usize, strike: Strike, leader: Option<usize>) -> Option<FleetAct> {
        let begins = matches!(strike, Strike::Kill | Strike::Stall);
        let coordinator = if begins { leader } else { self.0.remove(&slot) }?;
        if begins {
            self.0.insert(slot, coordinator);
        }
        Some(match strike {
            Strike::Kill => FleetAct::KillCoordinator(coordinator),
            Strike::Start => FleetAct::StartCoordinator(coordinator),
            Strike::Stall => FleetAct::StallCoordinator(coordinator, true),
            Strike::Continue => FleetAct::StallCoordinator(coordinator, false),
        })
    }
}

/// Coordinators whose datagrams are dropped, by direction.
#[derive(Default)]
pub struct NetworkCuts {
    senders: BTreeSet<usize>,
    receivers: BTreeSet<usize>,
}

impl NetworkCuts {
    pub fn set(&mut self, coordinator: usize, sends: bool, receives: bool) {
        for (cut, lost) in [(&mut self.senders, sends), (&mut self.receivers, receives)] {
            if lost {
                cut.insert(coordinator);
            } else {
                cut.remove(&coordinator);
            }
        }
    }

    /// Whether a datagram from one to another is dropped.
    pub fn drops(&self, from: usize, to: usize) -> bool {
        self.senders.contains(&from) || self.receivers.contains(&to)
    }
}

/// How the list shows a server: as up, with its start if known, as draining, or not at all.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ListedState {
    Up(Option<Nanos>),
    Draining,
    Unlisted,
}

/// Actions by the parties they concern, each ordered by time; times are relative to the beginning.
#[derive(Default)]
pub struct Plan {
    pub servers: Vec<ServerPlan>,
    pub proxy_zones: Vec<String>,
    pub server_acts: Vec<(Nanos, usize, ServerAct)>,
    pub proxy_acts: Vec<(Nanos, usize, ProxyAct)>,
    pub fleet_acts: Vec<(Nanos, FleetAct)>,
    /// Traffic factor from that time on.
    pub rates: Vec<(Nanos, f64)>,
    /// Number of faults of the leader.
    pub leaders: usize,
    /// How the list states weights.
    pub weights: Weights,
    pub seed: u64,
    /// The zone of each coordinator.
    pub coordinator_zones: Vec<String>,
}

const SERVERS_PER_CELL: usize = 3; // servers of a zone that share stored keys
const DRAIN_NOTICE: Nanos = Nanos::from_millis(1_500); // how long a server that is removed is listed as draining
const BOOT_TIME: Nanos = Nanos::from_millis(1_500); // from the end of one server to the start of its replacement
const RESTART_TIME: Nanos = Nanos::from_millis(1_500); // how long a server that restarts is down
const STALL_GAP: Nanos = Nanos::from_millis(2_500); // between two stalls
const FLAP_PERIOD: Nanos = Nanos::from_millis(5_000); // period of a flapping server, which is down for three tenths of it

struct PlanBuilder<'a> {
    script: &'a Script,
    plan: Plan,
    rng: Pcg32,
    /// Servers that are running, and keep running to the end of the schedule so far.
    alive: BTreeSet<usize>,
}

impl Plan {
    /// Draws the plan of a script; it depends only on the script and its seed.
    pub fn draw(script: &Script) -> Plan {
        let mut plan = Plan { weights: script.weights, seed: script.seed, ..Plan::default() };
        let mut cells = 0;
        for group in &script.servers {
            for index in 0..usize::from(group.count) {
                cells += usize::from(index % SERVERS_PER_CELL == 0);
                plan.servers.push(ServerPlan { group: group.clone(), cell: cells as i64, from_start: true });
            }
        }
        for group in &script.proxies {
            plan.proxy_zones.extend((0..group.count).map(|_| group.zone.clone()));
        }
        let zones = script.zones.iter().cycle().take(script.coordinators as usize);
        plan.coordinator_zones = zones.cloned().collect();
        let alive = (0..plan.servers.len()).collect();
        let mut builder = PlanBuilder { script, plan, rng: Pcg32::seed_from_u64(script.seed), alive };
        let mut troubles: Vec<&Trouble> = script.troubles.iter().collect();
        troubles.sort_by_key(|trouble| trouble.at);
        troubles.into_iter().for_each(|trouble| builder.schedule_trouble(trouble));
        let mut plan = builder.plan;
        plan.server_acts.sort_by_key(|act| act.0);
        plan.proxy_acts.sort_by_key(|act| act.0);
        plan.fleet_acts.sort_by_key(|act| act.0);
        plan.rates.sort_by_key(|rate| rate.0);
        plan
    }

    /// The capabilities of a server of the plan.
    pub fn server_spec(&self, script: &Script, server: usize) -> ServerSpec {
        let group = &self.servers[server].group;
        ServerSpec {
            cores: group.cores,
            speed: group.speed,
            queue: group.queue,
            cold_share: script.rules.cold_share,
            warm_after: script.rules.warm_after.0,
            fall_multiple: script.rules.fall_multiple,
            fall_window: script.rules.fall_window.0,
        }
    }

    fn listed_weight(&self, server: usize) -> f64 {
        let group = &self.servers[server].group;
        let actual = f64::from(group.cores) * group.speed;
        match self.weights {
            Weights::True => actual,
            Weights::Equal => 1.0,
            Weights::Rough => {
                let off = Pcg32::seed_from_u64(self.seed ^ server as u64).random_range(-1.0..=1.0f64);
                (actual * off.exp2() * 100.0).round() / 100.0
            }
        }
    }

    /// The list of servers in their listed states, and the same for the record; starts are relative to `begin`.
    pub fn roster(
        &self,
        version: u64,
        begin: Nanos,
        states: &[ListedState],
        address: &dyn Fn(usize) -> SocketAddr,
    ) -> (Roster, Vec<Listed>) {
        let (mut servers, mut listed) = (Vec::new(), Vec::new());
        for (server, listed_state) in states.iter().enumerate() {
            let (state, started) = match listed_state {
                ListedState::Unlisted => continue,
                ListedState::Up(started) => (ServerState::Up, started.map(|started| begin + started)),
                ListedState::Draining => (ServerState::Draining, None),
            };
            let planned = &self.servers[server];
            servers.push(Entry {
                address: address(server).to_string(),
                zone: planned.group.zone.clone(),
                kind: planned.group.kind.clone(),
                cell: planned.cell,
                weight: Some(self.listed_weight(server)),
                started: started.map(Nanos::secs),
                state,
            });
            listed.push(Listed { server, draining: state == ServerState::Draining, started });
        }
        (Roster { version, servers }, listed)
    }
}

impl PlanBuilder<'_> {
    fn sample<T: Copy + Ord>(&mut self, all: Vec<T>, share: f64) -> Vec<T> {
        let mut all = all;
        all.shuffle(&mut self.rng);
        let count = ((all.len() as f64 * share).round() as usize).max(1);
        all.truncate(count);
        all.sort();
        all
    }

    fn select_servers(&mut self, trouble: &Trouble) -> Vec<usize> {
        let fits = |server: &usize| {
            let group = &self.plan.servers[*server].group;
            trouble.zone.as_ref().is_none_or(|zone| *zone == group.zone)
                && trouble.server_kind.as_ref().is_none_or(|kind| *kind == group.kind)
        };
        let all: Vec<usize> = self.alive.iter().copied().filter(fits).collect();
        self.sample(all, trouble.part)
    }

    fn select_proxies(&mut self, trouble: &Trouble) -> Vec<usize> {
        let zones = &self.plan.proxy_zones;
        let fits = |proxy: &usize| trouble.zone.as_ref().is_none_or(|zone| *zone == zones[*proxy]);
        let all: Vec<usize> = (0..zones.len()).filter(fits).collect();
        self.sample(all, trouble.part)
    }

    fn select_coordinators(&mut self, trouble: &Trouble) -> Vec<usize> {
        self.sample((0..self.script.coordinators as usize).collect(), trouble.part)
    }

    fn schedule_listing(&mut self, at: Nanos, server: usize, state: ListedState) {
        self.plan.fleet_acts.push((at + self.script.roster_lag.0, FleetAct::List { server, state }));
    }

    /// The server fails and starts again, and is down or silent in between.
    fn schedule_outage(&mut self, server: usize, from: Nanos, to: Nanos, act: ServerAct, unlisted: bool) {
        self.plan.server_acts.push((from, server, act));
        self.plan.server_acts.push((to, server, ServerAct::Start));
        if !unlisted {
            // The list shows at once that a server is down, but not that it is silent, which is detected late.
            if act == ServerAct::Die {
                self.schedule_listing(from, server, ListedState::Unlisted);
            }
            self.schedule_listing(to, server, ListedState::Up(Some(to)));
        }
    }

    /// Starts a new, cold server with the same capabilities.
    fn schedule_replacement(&mut self, of: usize, at: Nanos) -> usize {
        let server = self.plan.servers.len();
        self.plan.servers.push(ServerPlan { from_start: false, ..self.plan.servers[of].clone() });
        self.plan.server_acts.push((at, server, ServerAct::Start));
        self.schedule_listing(at, server, ListedState::Up(Some(at)));
        self.alive.insert(server);
        server
    }

    /// Lists a server as draining and stops it soon after.
    fn schedule_removal(&mut self, server: usize, at: Nanos, notice: Nanos) {
        self.schedule_listing(at, server, ListedState::Draining);
        let dead = at + self.script.roster_lag.0 + notice;
        self.plan.server_acts.push((dead, server, ServerAct::Die));
        self.schedule_listing(dead, server, ListedState::Unlisted);
        self.alive.remove(&server);
    }

    fn schedule_temporary(&mut self, trouble: &Trouble, on: ServerAct, off: ServerAct) {
        let end = trouble.at.0 + trouble.length.0;
        for server in self.select_servers(trouble) {
            self.plan.server_acts.push((trouble.at.0, server, on));
            self.plan.server_acts.push((end, server, off));
        }
    }

    fn schedule_trouble(&mut self, trouble: &Trouble) {
        let (at, end) = (trouble.at.0, trouble.at.0 + trouble.length.0);
        let strength = |usual: f64| trouble.strength.unwrap_or(usual);
        match trouble.kind {
            TroubleKind::Burst => self.plan.rates.extend([(at, strength(1.6)), (end, 1.0)]),
            TroubleKind::Deploy => {
                let selected = self.select_servers(trouble);
                let span = trouble.length.0 .0 / selected.len().max(1) as u64;
                for (index, server) in selected.into_iter().enumerate() {
                    let at = at + Nanos(span * index as u64);
                    self.schedule_removal(server, at, DRAIN_NOTICE);
                    self.schedule_replacement(server, at + DRAIN_NOTICE + BOOT_TIME);
                }
            }
            TroubleKind::FastErrors => {
                self.schedule_temporary(trouble, ServerAct::Errors(strength(0.7)), ServerAct::Errors(0.0));
            }
            TroubleKind::Hang => {
                self.schedule_temporary(trouble, ServerAct::Hang(true), ServerAct::Hang(false))
            }
            TroubleKind::Slow => {
                self.schedule_temporary(trouble, ServerAct::Slow(strength(5.0)), ServerAct::Slow(1.0))
            }
            TroubleKind::AnswersLost => {
                self.schedule_temporary(
                    trouble,
                    ServerAct::LoseAnswers(strength(0.2)),
                    ServerAct::LoseAnswers(0.0),
                );
            }
            TroubleKind::Crash => {
                for server in self.select_servers(trouble) {
                    self.schedule_outage(server, at, end, ServerAct::Die, trouble.unlisted);
                }
            }
            TroubleKind::Silent => {
                for server in self.select_servers(trouble) {
                    self.schedule_outage(server, at, end, ServerAct::Silence, trouble.unlisted);
                }
            }
            TroubleKind::Flapping => {
                for server in self.select_servers(trouble) {
                    let mut period = at + Nanos(self.rng.random_range(0..FLAP_PERIOD.0));
                    while period + FLAP_PERIOD <= end {
                        let back = period + Nanos(FLAP_PERIOD.0 * 3 / 10);
                        self.schedule_outage(server, period, back, ServerAct::Die, trouble.unlisted);
                        period = period + FLAP_PERIOD;
                    }
                }
            }
            TroubleKind::RosterDown => {
                self.plan.fleet_acts.push((at, FleetAct::RosterOut(true)));
                self.plan.fleet_acts.push((end, FleetAct::RosterOut(false)));
            }
            TroubleKind::StreamBreak => {
                let proxies = self.select_proxies(trouble).into_iter().collect();
                self.plan.fleet_acts.push((at, FleetAct::BreakStreams(proxies)));
            }
            TroubleKind::Unreachable => {
                let proxies: BTreeSet<usize> = self.select_proxies(trouble).into_iter().collect();
                self.schedule_unreachable(at, end, proxies, (0..self.script.coordinators as usize).collect());
            }
            TroubleKind::ProxyKilled => {
                for proxy in self.select_proxies(trouble) {
                    self.plan.proxy_acts.extend([(at, proxy, ProxyAct::Die), (end, proxy, ProxyAct::Start)]);
                    self.plan.fleet_acts.push((at, FleetAct::KillAgent(proxy)));
                    self.plan.fleet_acts.push((end, FleetAct::StartAgent(proxy)));
                }
            }
            TroubleKind::AgentKilled => {
                for proxy in self.select_proxies(trouble) {
                    self.plan.fleet_acts.push((at, FleetAct::KillAgent(proxy)));
                    self.plan.fleet_acts.push((end, FleetAct::StartAgent(proxy)));
                }
            }
            TroubleKind::LeaderKilled | TroubleKind::LeaderStalled => {
                let slot = self.plan.leaders;
                self.plan.leaders += 1;
                let (strike, end_strike) = match trouble.kind {
                    TroubleKind::LeaderKilled => (Strike::Kill, Strike::Start),
                    _ => (Strike::Stall, Strike::Continue),
                };
                let act = |strike| FleetAct::Leader { slot, strike };
                self.plan.fleet_acts.extend([(at, act(strike)), (end, act(end_strike))]);
            }
            TroubleKind::CoordinatorCut | TroubleKind::CoordinatorMute => {
                let coordinator = self.rng.random_range(0..self.script.coordinators as usize);
                let gets = trouble.kind == TroubleKind::CoordinatorCut;
                let act = |sends, gets| FleetAct::Cut { coordinator, sends, gets };
                self.plan.fleet_acts.extend([(at, act(true, gets)), (end, act(false, false))]);
            }
            TroubleKind::RollingUpgrade => {
                let (coordinators, proxies) =
                    (self.script.coordinators as usize, self.plan.proxy_zones.len());
                let half = trouble.length.0 .0 / 2;
                for coordinator in 0..coordinators {
                    let at = at + Nanos(half / coordinators as u64 * coordinator as u64);
                    self.plan.fleet_acts.push((at, FleetAct::UpgradeCoordinator(coordinator)));
                }
                for proxy in 0..proxies {
                    let at = at + Nanos(half + half / proxies as u64 * proxy as u64);
                    self.plan.fleet_acts.push((at, FleetAct::UpgradeAgent(proxy)));
                }
            }
            TroubleKind::CoordinatorKilled => {
                for coordinator in self.select_coordinators(trouble) {
                    self.plan.fleet_acts.push((at, FleetAct::KillCoordinator(coordinator)));
                    self.plan.fleet_acts.push((end, FleetAct::StartCoordinator(coordinator)));
                }
            }
            TroubleKind::ProxyStall => {
                let span = Nanos::from_secs(strength(1.0));
                for proxy in self.select_proxies(trouble) {
                    let mut stall = at + Nanos(self.rng.random_range(0..STALL_GAP.0));
                    while stall + span <= end {
                        self.plan.proxy_acts.push((stall, proxy, ProxyAct::Stall(span)));
                        stall = stall + span + STALL_GAP;
                    }
                }
            }
            TroubleKind::CoordinatorStall => {
                let span = Nanos::from_secs(strength(1.0));
                for coordinator in self.select_coordinators(trouble) {
                    let mut stall = at;
                    while stall + span <= end {
                        self.plan.fleet_acts.push((stall, FleetAct::StallCoordinator(coordinator, true)));
                        self.plan
                            .fleet_acts
                            .push((stall + span, FleetAct::StallCoordinator(coordinator, false)));
                        stall = stall + span + STALL_GAP;
                    }
                }
            }
            TroubleKind::ZoneLost => {
                let whole = Trouble { part: 1.0, ..trouble.clone() };
                for server in self.select_servers(&whole) {
                    self.schedule_outage(server, at, end, ServerAct::Die, trouble.unlisted);
                }
            }
            TroubleKind::ZoneCut => self.schedule_zone_cut(trouble, at, end),
            TroubleKind::MassRestart => {
                for server in self.select_servers(trouble) {
                    let at = at + Nanos(self.rng.random_range(0..trouble.length.0 .0.clamp(1, 500_000_000)));
                    self.schedule_outage(server, at, at + RESTART_TIME, ServerAct::Die, trouble.unlisted);
                }
            }
            TroubleKind::Preempt => {
                let selected = self.select_servers(trouble);
                let waves = 2.min(selected.len());
                for (index, server) in selected.into_iter().enumerate() {
                    let wave = Nanos(trouble.length.0 .0 / 3 * (index % waves) as u64);
                    self.schedule_removal(server, at + wave, DRAIN_NOTICE);
                    self.schedule_replacement(server, end.max(at + wave + DRAIN_NOTICE + BOOT_TIME));
                }
            }
            TroubleKind::OneSided => {
                let servers: BTreeSet<usize> = self.select_servers(trouble).into_iter().collect();
                let half = Trouble { part: 0.5, zone: None, ..trouble.clone() };
                for proxy in self.select_proxies(&half) {
                    let path = |share| ProxyAct::Path { servers: servers.clone(), share };
                    self.plan.proxy_acts.extend([(at, proxy, path(strength(0.7))), (end, proxy, path(0.0))]);
                }
            }
            TroubleKind::Growth => {
                let replaced = self.select_servers(trouble);
                let span = trouble.length.0 .0 / replaced.len().max(1) as u64;
                for (index, server) in replaced.into_iter().enumerate() {
                    self.schedule_replacement(server, at + Nanos(span * index as u64));
                }
                self.plan.rates.push((end, strength(1.3)));
            }
        }
    }

    fn schedule_unreachable(
        &mut self,
        at: Nanos,
        end: Nanos,
        proxies: BTreeSet<usize>,
        coordinators: BTreeSet<usize>,
    ) {
        for (at, on) in [(at, true), (end, false)] {
            let (proxies, coordinators) = (proxies.clone(), coordinators.clone());
            self.plan.fleet_acts.push((at, FleetAct::Unreach { proxies, coordinators, on }));
        }
    }

    /// Drops all traffic between the zone and the other zones, in both directions.
    fn schedule_zone_cut(&mut self, trouble: &Trouble, at: Nanos, end: Nanos) {
        let Some(zone) = &trouble.zone else { return };
        for inside in [true, false] {
            let here = |name: &String| (name == zone) == inside;
            let all = 0..self.plan.proxy_zones.len();
            let proxies: BTreeSet<usize> = all.filter(|proxy| here(&self.plan.proxy_zones[*proxy])).collect();
            let all = 0..self.plan.servers.len();
            let servers: BTreeSet<usize> =
                all.filter(|server| !here(&self.plan.servers[*server].group.zone)).collect();
            let all = 0..self.plan.coordinator_zones.len();
            let coordinators: BTreeSet<usize> =
                all.filter(|c| !here(&self.plan.coordinator_zones[*c])).collect();
            for proxy in &proxies {
                let path = |share| ProxyAct::Path { servers: servers.clone(), share };
                self.plan.proxy_acts.extend([(at, *proxy, path(1.0)), (end, *proxy, path(0.0))]);
            }
            self.schedule_unreachable(at, end, proxies, coordinators);
        }
    }
}
