//! What will happen when: a script's troubles drawn from its seed into single acts, before anything starts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use craneknot::interface::Nanos;
use craneknot_coordinator::roster::{Entry, Roster, ServerState};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use crate::machine::Make;
use crate::record::Listed;
use crate::script::{Script, ServerGroup, Trouble, TroubleKind, Weights};

/// A server that stands or will stand, with its place in the script's groups.
#[derive(Clone, Debug)]
pub struct ServerPlan {
    pub group: ServerGroup,
    /// A few servers of a zone that share kept keys.
    pub cell: i64,
    /// It stands from the start, warm; else it is raised later, cold.
    pub from_start: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerAct {
    Start,
    Die,
    Silence,
    /// Share of operations that quickly fail.
    Errors(f64),
    Hang(bool),
    /// Factor by which it runs slower.
    Slow(f64),
    /// Share of answers that never leave.
    LoseAnswers(f64),
}

#[derive(Clone, Debug, PartialEq)]
pub enum ProxyAct {
    Die,
    Start,
    /// Stands still so long.
    Stall(Nanos),
    /// Tries at these servers get no answer, by this share; 0: as usual again.
    Path {
        servers: BTreeSet<usize>,
        share: f64,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum FleetAct {
    /// The list shows a server so: as up with a start, as draining, or not at all.
    List {
        server: usize,
        shows: Shows,
    },
    RosterOut(bool),
    BreakStreams(BTreeSet<usize>),
    /// These proxies' agents reach none of these coordinators, or do again.
    Unreach {
        proxies: BTreeSet<usize>,
        coordinators: BTreeSet<usize>,
        on: bool,
    },
    KillCoordinator(usize),
    StartCoordinator(usize),
    StallCoordinator(usize, bool),
    /// Ended, and started from the next version of the program.
    UpgradeCoordinator(usize),
    UpgradeAgent(usize),
    /// Whoever leads is struck; the same slot ends it for the one that was.
    Leader {
        slot: usize,
        strike: Strike,
    },
    /// Datagrams of some coordinator get lost: those it sends, those it gets.
    Cut {
        coordinator: usize,
        sends: bool,
        gets: bool,
    },
    KillAgent(usize),
    StartAgent(usize),
}

/// What is done to the one that leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strike {
    Kill,
    Start,
    Stall,
    Continue,
}

/// Which coordinator led when a leader was struck, by slot.
#[derive(Default)]
pub struct Struck(BTreeMap<usize, usize>);

impl Struck {
    /// The same as an act on one coordinator; nothing where none runs, or none was struck.
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

/// Coordinators whose datagrams get lost: those that they send, those that they get.
#[derive(Default)]
pub struct Cuts {
    mute: BTreeSet<usize>,
    deaf: BTreeSet<usize>,
}

impl Cuts {
    pub fn set(&mut self, coordinator: usize, sends: bool, gets: bool) {
        for (of, lost) in [(&mut self.mute, sends), (&mut self.deaf, gets)] {
            if lost {
                of.insert(coordinator);
            } else {
                of.remove(&coordinator);
            }
        }
    }

    /// Whether what one sends another gets lost.
    pub fn lose(&self, from: usize, to: usize) -> bool {
        self.mute.contains(&from) || self.deaf.contains(&to)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shows {
    Up(Option<Nanos>),
    Draining,
    Nothing,
}

/// Acts by whom they concern, each in the order of time; times are since the beginning.
#[derive(Default)]
pub struct Plan {
    pub servers: Vec<ServerPlan>,
    pub proxy_zones: Vec<String>,
    pub server_acts: Vec<(Nanos, usize, ServerAct)>,
    pub proxy_acts: Vec<(Nanos, usize, ProxyAct)>,
    pub fleet_acts: Vec<(Nanos, FleetAct)>,
    /// Factor of traffic from that moment on.
    pub rates: Vec<(Nanos, f64)>,
    /// Times a leader is struck.
    pub leaders: usize,
    /// What the list says of weights.
    pub weights: Weights,
    pub seed: u64,
    /// The zone a coordinator stands in.
    pub coordinator_zones: Vec<String>,
}

const CELL: usize = 3; // servers of a zone that share kept keys
const NOTICE: Nanos = Nanos::from_millis(1_500); // ms; a server that is taken away is listed as draining so long
const BOOT: Nanos = Nanos::from_millis(1_500); // ms; from the end of one server to the start of its replacement
const RESTART: Nanos = Nanos::from_millis(1_500); // ms; how long a server that restarts is down
const STALL_GAP: Nanos = Nanos::from_millis(2_500); // ms; between two standstills
const TURN: Nanos = Nanos::from_millis(5_000); // ms; a flapping server's turn, three tenths of it bad

struct Drawing<'a> {
    script: &'a Script,
    plan: Plan,
    rng: Pcg32,
    /// Servers that stand, and will to the end of what is drawn so far.
    alive: BTreeSet<usize>,
}

impl Plan {
    pub fn draw(script: &Script) -> Plan {
        let mut plan = Plan { weights: script.weights, seed: script.seed, ..Plan::default() };
        let mut cells = 0;
        for group in &script.servers {
            for place in 0..usize::from(group.count) {
                cells += usize::from(place % CELL == 0);
                plan.servers.push(ServerPlan { group: group.clone(), cell: cells as i64, from_start: true });
            }
        }
        for group in &script.proxies {
            plan.proxy_zones.extend((0..group.count).map(|_| group.zone.clone()));
        }
        let zones = script.zones.iter().cycle().take(script.coordinators as usize);
        plan.coordinator_zones = zones.cloned().collect();
        let alive = (0..plan.servers.len()).collect();
        let mut drawing = Drawing { script, plan, rng: Pcg32::seed_from_u64(script.seed), alive };
        let mut troubles: Vec<&Trouble> = script.troubles.iter().collect();
        troubles.sort_by_key(|trouble| trouble.at);
        troubles.into_iter().for_each(|trouble| drawing.trouble(trouble));
        let mut plan = drawing.plan;
        plan.server_acts.sort_by_key(|act| act.0);
        plan.proxy_acts.sort_by_key(|act| act.0);
        plan.fleet_acts.sort_by_key(|act| act.0);
        plan.rates.sort_by_key(|rate| rate.0);
        plan
    }

    /// What a server of the plan can do.
    pub fn make(&self, script: &Script, server: usize) -> Make {
        let group = &self.servers[server].group;
        Make {
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
        let truth = f64::from(group.cores) * group.speed;
        match self.weights {
            Weights::True => truth,
            Weights::Equal => 1.0,
            Weights::Rough => {
                let off = Pcg32::seed_from_u64(self.seed ^ server as u64).random_range(-1.0..=1.0f64);
                (truth * off.exp2() * 100.0).round() / 100.0
            }
        }
    }

    /// The list of servers as they show, and the same for the record; starts are told since `begin`.
    pub fn roster(
        &self,
        version: u64,
        begin: Nanos,
        shows: &[Shows],
        address: &dyn Fn(usize) -> SocketAddr,
    ) -> (Roster, Vec<Listed>) {
        let (mut servers, mut listed) = (Vec::new(), Vec::new());
        for (server, shows) in shows.iter().enumerate() {
            let (state, started) = match shows {
                Shows::Nothing => continue,
                Shows::Up(started) => (ServerState::Up, started.map(|started| begin + started)),
                Shows::Draining => (ServerState::Draining, None),
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

impl Drawing<'_> {
    fn part<T: Copy + Ord>(&mut self, all: Vec<T>, part: f64) -> Vec<T> {
        let mut all = all;
        all.shuffle(&mut self.rng);
        let count = ((all.len() as f64 * part).round() as usize).max(1);
        all.truncate(count);
        all.sort();
        all
    }

    fn struck(&mut self, trouble: &Trouble) -> Vec<usize> {
        let fits = |server: &usize| {
            let group = &self.plan.servers[*server].group;
            trouble.zone.as_ref().is_none_or(|zone| *zone == group.zone)
                && trouble.server_kind.as_ref().is_none_or(|kind| *kind == group.kind)
        };
        let all: Vec<usize> = self.alive.iter().copied().filter(fits).collect();
        self.part(all, trouble.part)
    }

    fn proxies(&mut self, trouble: &Trouble) -> Vec<usize> {
        let zones = &self.plan.proxy_zones;
        let fits = |proxy: &usize| trouble.zone.as_ref().is_none_or(|zone| *zone == zones[*proxy]);
        let all: Vec<usize> = (0..zones.len()).filter(fits).collect();
        self.part(all, trouble.part)
    }

    fn coordinators(&mut self, trouble: &Trouble) -> Vec<usize> {
        self.part((0..self.script.coordinators as usize).collect(), trouble.part)
    }

    fn list(&mut self, at: Nanos, server: usize, shows: Shows) {
        self.plan.fleet_acts.push((at + self.script.roster_lag.0, FleetAct::List { server, shows }));
    }

    /// The server ends, and begins anew: dead, or silent, in between.
    fn down(&mut self, server: usize, from: Nanos, to: Nanos, act: ServerAct, unlisted: bool) {
        self.plan.server_acts.push((from, server, act));
        self.plan.server_acts.push((to, server, ServerAct::Start));
        if !unlisted {
            // A silent one is found out late; one that is dead shows at once.
            if act == ServerAct::Die {
                self.list(from, server, Shows::Nothing);
            }
            self.list(to, server, Shows::Up(Some(to)));
        }
    }

    /// A new server of the same make starts cold.
    fn replacement(&mut self, of: usize, at: Nanos) -> usize {
        let server = self.plan.servers.len();
        self.plan.servers.push(ServerPlan { from_start: false, ..self.plan.servers[of].clone() });
        self.plan.server_acts.push((at, server, ServerAct::Start));
        self.list(at, server, Shows::Up(Some(at)));
        self.alive.insert(server);
        server
    }

    /// Listed as draining, dead soon after.
    fn take_away(&mut self, server: usize, at: Nanos, notice: Nanos) {
        self.list(at, server, Shows::Draining);
        let dead = at + self.script.roster_lag.0 + notice;
        self.plan.server_acts.push((dead, server, ServerAct::Die));
        self.list(dead, server, Shows::Nothing);
        self.alive.remove(&server);
    }

    fn for_a_while(&mut self, trouble: &Trouble, on: ServerAct, off: ServerAct) {
        let end = trouble.at.0 + trouble.length.0;
        for server in self.struck(trouble) {
            self.plan.server_acts.push((trouble.at.0, server, on));
            self.plan.server_acts.push((end, server, off));
        }
    }

    fn trouble(&mut self, trouble: &Trouble) {
        let (at, end) = (trouble.at.0, trouble.at.0 + trouble.length.0);
        let strength = |usual: f64| trouble.strength.unwrap_or(usual);
        match trouble.kind {
            TroubleKind::Burst => self.plan.rates.extend([(at, strength(1.6)), (end, 1.0)]),
            TroubleKind::Deploy => {
                let struck = self.struck(trouble);
                let span = trouble.length.0 .0 / struck.len().max(1) as u64;
                for (place, server) in struck.into_iter().enumerate() {
                    let at = at + Nanos(span * place as u64);
                    self.take_away(server, at, NOTICE);
                    self.replacement(server, at + NOTICE + BOOT);
                }
            }
            TroubleKind::FastErrors => {
                self.for_a_while(trouble, ServerAct::Errors(strength(0.7)), ServerAct::Errors(0.0));
            }
            TroubleKind::Hang => self.for_a_while(trouble, ServerAct::Hang(true), ServerAct::Hang(false)),
            TroubleKind::Slow => {
                self.for_a_while(trouble, ServerAct::Slow(strength(5.0)), ServerAct::Slow(1.0))
            }
            TroubleKind::AnswersLost => {
                self.for_a_while(trouble, ServerAct::LoseAnswers(strength(0.2)), ServerAct::LoseAnswers(0.0));
            }
            TroubleKind::Crash => {
                for server in self.struck(trouble) {
                    self.down(server, at, end, ServerAct::Die, trouble.unlisted);
                }
            }
            TroubleKind::Silent => {
                for server in self.struck(trouble) {
                    self.down(server, at, end, ServerAct::Silence, trouble.unlisted);
                }
            }
            TroubleKind::Flapping => {
                for server in self.struck(trouble) {
                    let mut turn = at + Nanos(self.rng.random_range(0..TURN.0));
                    while turn + TURN <= end {
                        let back = turn + Nanos(TURN.0 * 3 / 10);
                        self.down(server, turn, back, ServerAct::Die, trouble.unlisted);
                        turn = turn + TURN;
                    }
                }
            }
            TroubleKind::RosterDown => {
                self.plan.fleet_acts.push((at, FleetAct::RosterOut(true)));
                self.plan.fleet_acts.push((end, FleetAct::RosterOut(false)));
            }
            TroubleKind::StreamBreak => {
                let proxies = self.proxies(trouble).into_iter().collect();
                self.plan.fleet_acts.push((at, FleetAct::BreakStreams(proxies)));
            }
            TroubleKind::Unreachable => {
                let proxies: BTreeSet<usize> = self.proxies(trouble).into_iter().collect();
                self.unreach(at, end, proxies, (0..self.script.coordinators as usize).collect());
            }
            TroubleKind::ProxyKilled => {
                for proxy in self.proxies(trouble) {
                    self.plan.proxy_acts.extend([(at, proxy, ProxyAct::Die), (end, proxy, ProxyAct::Start)]);
                    self.plan.fleet_acts.push((at, FleetAct::KillAgent(proxy)));
                    self.plan.fleet_acts.push((end, FleetAct::StartAgent(proxy)));
                }
            }
            TroubleKind::AgentKilled => {
                for proxy in self.proxies(trouble) {
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
                for coordinator in self.coordinators(trouble) {
                    self.plan.fleet_acts.push((at, FleetAct::KillCoordinator(coordinator)));
                    self.plan.fleet_acts.push((end, FleetAct::StartCoordinator(coordinator)));
                }
            }
            TroubleKind::ProxyStall => {
                let span = Nanos::from_secs(strength(1.0));
                for proxy in self.proxies(trouble) {
                    let mut stall = at + Nanos(self.rng.random_range(0..STALL_GAP.0));
                    while stall + span <= end {
                        self.plan.proxy_acts.push((stall, proxy, ProxyAct::Stall(span)));
                        stall = stall + span + STALL_GAP;
                    }
                }
            }
            TroubleKind::CoordinatorStall => {
                let span = Nanos::from_secs(strength(1.0));
                for coordinator in self.coordinators(trouble) {
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
                for server in self.struck(&whole) {
                    self.down(server, at, end, ServerAct::Die, trouble.unlisted);
                }
            }
            TroubleKind::ZoneCut => self.cut(trouble, at, end),
            TroubleKind::MassRestart => {
                for server in self.struck(trouble) {
                    let at = at + Nanos(self.rng.random_range(0..trouble.length.0 .0.clamp(1, 500_000_000)));
                    self.down(server, at, at + RESTART, ServerAct::Die, trouble.unlisted);
                }
            }
            TroubleKind::Preempt => {
                let struck = self.struck(trouble);
                let waves = 2.min(struck.len());
                for (place, server) in struck.into_iter().enumerate() {
                    let wave = Nanos(trouble.length.0 .0 / 3 * (place % waves) as u64);
                    self.take_away(server, at + wave, NOTICE);
                    self.replacement(server, end.max(at + wave + NOTICE + BOOT));
                }
            }
            TroubleKind::OneSided => {
                let servers: BTreeSet<usize> = self.struck(trouble).into_iter().collect();
                let half = Trouble { part: 0.5, zone: None, ..trouble.clone() };
                for proxy in self.proxies(&half) {
                    let path = |share| ProxyAct::Path { servers: servers.clone(), share };
                    self.plan.proxy_acts.extend([(at, proxy, path(strength(0.7))), (end, proxy, path(0.0))]);
                }
            }
            TroubleKind::Growth => {
                let like = self.struck(trouble);
                let span = trouble.length.0 .0 / like.len().max(1) as u64;
                for (place, server) in like.into_iter().enumerate() {
                    self.replacement(server, at + Nanos(span * place as u64));
                }
                self.plan.rates.push((end, strength(1.3)));
            }
        }
    }

    fn unreach(&mut self, at: Nanos, end: Nanos, proxies: BTreeSet<usize>, coordinators: BTreeSet<usize>) {
        for (at, on) in [(at, true), (end, false)] {
            let (proxies, coordinators) = (proxies.clone(), coordinators.clone());
            self.plan.fleet_acts.push((at, FleetAct::Unreach { proxies, coordinators, on }));
        }
    }

    /// Whatever goes from one side to the other gets lost.
    fn cut(&mut self, trouble: &Trouble, at: Nanos, end: Nanos) {
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
            self.unreach(at, end, proxies, coordinators);
        }
    }
}
