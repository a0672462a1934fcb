//! The script of a rehearsal: its fleet, its clients and its faults.

use std::path::Path;

use craneknot::interface::Nanos;
use craneknot_settings::{
    parse, ChannelSettings, Check, ClassSettings, FleetSettings, LevelUnit, Problem, Problems, RuleSettings,
    SolverSettings, Span,
};
use rand::Rng;
use rand_distr::{Distribution, Exp1};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A group of identical servers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    #[schemars(range(min = 1, max = 500))]
    pub count: u16,
    pub zone: String,
    pub kind: String,
    #[schemars(range(min = 1, max = 256))]
    pub cores: u16,
    /// Work that a core does per second, in seconds of work.
    #[schemars(range(min = 0.01, max = 100.0))]
    pub speed: f64,
    /// Operations that may be queued; further ones are rejected without being looked at.
    #[schemars(range(min = 1))]
    pub queue: u32,
    /// Connections that a server accepts.
    #[schemars(range(min = 1))]
    pub connections: u32,
}

/// A group of proxies of one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProxyGroup {
    #[schemars(range(min = 1, max = 20_000))]
    pub count: u16,
    pub zone: String,
}

/// The demand for a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    pub class: String,
    /// Share of all operations, relative to the shares of the other classes.
    #[schemars(range(min = 0.0))]
    pub share: f64,
    /// Mean work of an operation on a core of speed 1.
    pub work: Span,
    /// Shape of the gamma distribution of work: 1 is exponential, 4 spreads by half the mean.
    #[schemars(range(min = 0.1, max = 1000.0))]
    #[serde(default = "default_shape", skip_serializing_if = "is_default_shape")]
    pub shape: f64,
}

fn default_shape() -> f64 {
    4.0
}

fn is_default_shape(shape: &f64) -> bool {
    *shape == default_shape()
}

/// The clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First attempts per second, over all classes.
    #[schemars(range(min = 0.1, max = 20_000.0))]
    pub rate: f64,
    pub demand: Vec<Demand>,
    /// Number of times that a client retries.
    #[schemars(range(max = 10))]
    pub retries: u32,
    /// Delay before the first retry; doubled for each further one.
    pub retry_wait: Span,
    /// An attempt times out after this share of the class's hard stop.
    #[schemars(range(min = 0.05, max = 1.0))]
    pub try_part: f64,
    /// How long the front layer keeps sending to a dead proxy.
    pub front_lag: Span,
}

/// The proxies' own failure handling.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProxyHabits {
    /// Number of a proxy's own failures in a row after which it ejects a server; 0: never.
    pub ejects: u32,
    /// How long a server stays ejected.
    pub keep_away: Span,
    /// Timeout for opening a connection.
    pub connect_within: Span,
}

/// The kinds of faults and load changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
    /// Traffic at `strength` times the usual rate.
    Burst,
    /// Servers replaced by cold ones, a part of `wave` at a time.
    Deploy,
    /// Servers fail the share `strength` of their operations quickly.
    FastErrors,
    /// Servers accept operations and answer none.
    Hang,
    /// Servers run `strength` times slower.
    Slow,
    /// Servers do the work, but the share `strength` of the answers never arrives.
    AnswersLost,
    /// Servers die immediately, and restart cold at the end.
    Crash,
    /// Servers go silent, with neither resets nor answers; they restart cold at the end.
    Silent,
    /// Servers fail and recover alternately, restarting cold each time.
    Flapping,
    /// The list of servers cannot be read.
    RosterDown,
    /// All streams between proxies and coordinators are reset at the same time; agents may reconnect.
    StreamBreak,
    /// Proxies reach no coordinator, and continue forwarding.
    Unreachable,
    /// Proxies die with their agents, and restart at the end.
    ProxyKilled,
    /// Coordinators are killed, and restart at the end.
    CoordinatorKilled,
    /// All coordinators and then all agents are stopped, one after another, and started from the next version of
    /// the program.
    RollingUpgrade,
    /// The leader is killed, and restarts at the end.
    LeaderKilled,
    /// The leader is suspended for the whole length, and then continues.
    LeaderStalled,
    /// One coordinator neither receives from nor reaches the others; proxies still reach it.
    CoordinatorCut,
    /// One coordinator receives from the others, but doesn't reach them.
    CoordinatorMute,
    /// Agents are killed, and restart at the end; their proxies continue.
    AgentKilled,
    /// Proxies are suspended repeatedly, for `strength` seconds each time.
    ProxyStall,
    /// Coordinators are suspended repeatedly, for `strength` seconds each time.
    CoordinatorStall,
    /// All servers of a zone are lost, and restart cold at the end.
    ZoneLost,
    /// A zone is partitioned from the others, for operations and for streams.
    ZoneCut,
    /// Servers of a kind or a zone restart within a second, and are cold afterwards.
    MassRestart,
    /// Servers are removed in waves: listed as draining, dead soon after; replacements start cold at the end.
    Preempt,
    /// Servers that fail for some proxies only: the share `strength` of their tries gets no answer.
    OneSided,
    /// New servers join, cold, and traffic then rises to `strength` times the usual rate.
    Growth,
}

/// A fault or load change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub kind: TroubleKind,
    pub at: Span,
    pub length: Span,
    /// Share of the servers, proxies or coordinators that are affected; at least one.
    #[schemars(range(min = 0.0, max = 1.0))]
    #[serde(default = "default_part")]
    pub part: f64,
    /// See the kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub strength: Option<f64>,
    /// Affects only this zone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Affects only servers of this kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server_kind: Option<String>,
    /// The list of servers doesn't show the fault.
    #[serde(default)]
    pub unlisted: bool,
}

fn default_part() -> f64 {
    0.2
}

/// A deliberate break of a rule, which tests the auditor: a party that does what none should.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Plant {
    /// Loses its tables for a while.
    Bare,
    /// Retries operations that must never run twice.
    RunTwice,
    /// Keeps sending to draining servers.
    KeepDrained,
    /// Sends all operations to servers that have just started.
    FloodCold,
    /// Coordinators are configured with a far longer queue than the auditor allows.
    LongQueue,
    /// Picks servers where a class may not go.
    Misplace,
    /// A file is written in place, half at a time.
    Torn,
}

/// A rehearsal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Script {
    pub name: String,
    pub seed: u64,
    /// How long clients send operations.
    pub length: Span,
    pub zones: Vec<String>,
    #[schemars(length(min = 1, max = 32))]
    pub classes: Vec<ClassSettings>,
    pub levels: LevelUnit,
    pub rules: RuleSettings,
    pub channel: ChannelSettings,
    pub report_period: Span,
    pub probe_time_out: Span,
    #[schemars(range(min = 1, max = 8))]
    pub coordinators: u32,
    #[schemars(length(min = 1))]
    pub servers: Vec<ServerGroup>,
    #[schemars(length(min = 1))]
    pub proxies: Vec<ProxyGroup>,
    pub habits: ProxyHabits,
    pub clients: Clients,
    /// Delay with which the list of servers shows changes.
    pub roster_lag: Span,
    #[serde(default)]
    pub troubles: Vec<Trouble>,
    #[serde(default)]
    pub plants: Vec<Plant>,
    /// The coordinators share one fleet and take over from one another; if left out, each serves its own proxies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared: Option<SharedFleet>,
    /// Coordinators determine servers' weights themselves; if left out, they use those of the list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub solver: Option<SolverSettings>,
    /// How the list states servers' weights.
    #[serde(default, skip_serializing_if = "Weights::are_true")]
    pub weights: Weights,
    /// The auditor checks that servers stay within their capacities; if left out, it doesn't.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<CapacityRule>,
    /// Delay of messages from a coordinator's channel; if left out, only that of this machine.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delays: Option<Delays>,
}

/// How the list states servers' weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Weights {
    /// The exact capacity of each: the best that could be written by hand.
    #[default]
    True,
    /// The same for all.
    Equal,
    /// The capacity of each with a random error between half and twice: as hand-set weights are after a year.
    Rough,
}

impl Weights {
    fn are_true(&self) -> bool {
        *self == Weights::True
    }
}

/// No server is sent more work in any second than its capacity in that second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CapacityRule {
    /// How long coordinators may take to adapt after the start and after any server starts, ends or changes its
    /// speed; a cold server is never sent more than its capacity.
    pub settle: Span,
}

/// Delays between coordinators and proxies; messages to one proxy arrive in order.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Delays {
    /// Mean of the delay beyond the shortest.
    pub mean: Span,
    /// The shortest delay.
    #[serde(default)]
    pub least: Span,
}

impl Delays {
    /// Draws the delay of one message.
    pub fn draw(&self, rng: &mut impl Rng) -> Nanos {
        let factor: f64 = Exp1.sample(rng);
        self.least.0 + Nanos::from_secs(self.mean.0.secs() * factor)
    }
}

/// Coordinators that share one fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SharedFleet {
    pub lease: Span,
}

const BUILT_IN: &str = include_str!("built_in.json");

impl Script {
    /// The short built-in script, which needs no file.
    pub fn built_in() -> Result<Self, Problems> {
        parse(Path::new("built-in script"), BUILT_IN.as_bytes())
    }

    pub fn server_count(&self) -> usize {
        self.servers.iter().map(|group| usize::from(group.count)).sum()
    }

    pub fn proxy_count(&self) -> usize {
        self.proxies.iter().map(|group| usize::from(group.count)).sum()
    }

    /// The fleet settings of the coordinators.
    pub fn fleet(&self) -> FleetSettings {
        let mut kinds: Vec<String> = self.servers.iter().map(|group| group.kind.clone()).collect();
        kinds.sort();
        kinds.dedup();
        FleetSettings {
            zones: self.zones.clone(),
            kinds,
            classes: self.classes.clone(),
            coordinators: self.coordinators,
            proxies: self.proxy_count() as u32,
            levels: self.levels,
            lb_policy: "RANDOM".to_owned(),
        }
    }
}

impl Check for Script {
    fn check(&self) -> Vec<Problem> {
        // The checks of the fleet settings, with the locations of the script.
        let mut problems = self.fleet().check();
        problems.iter_mut().for_each(|problem| problem.location = problem.location.replacen("/fleet", "", 1));
        let check_zone = |location: String, zone: &String| {
            (!self.zones.contains(zone)).then(|| {
                Problem::new(
                    location,
                    format!("zone {zone:?} is not among /zones"),
                    "name one of those, or add it there",
                )
            })
        };
        problems.extend(
            self.servers
                .iter()
                .enumerate()
                .filter_map(|(k, group)| check_zone(format!("/servers/{k}/zone"), &group.zone)),
        );
        problems.extend(
            self.proxies
                .iter()
                .enumerate()
                .filter_map(|(k, group)| check_zone(format!("/proxies/{k}/zone"), &group.zone)),
        );
        problems.extend(self.solver.iter().flat_map(|solver| solver.check("/solver", &self.zones)));
        for (k, demand) in self.clients.demand.iter().enumerate() {
            if !self.classes.iter().any(|class| class.name == demand.class) {
                let message = format!("class {:?} is not among /classes", demand.class);
                problems.push(Problem::new(
                    format!("/clients/demand/{k}/class"),
                    message,
                    "name one of those",
                ));
            }
        }
        if self.clients.demand.iter().map(|demand| demand.share).sum::<f64>() <= 0.0 {
            problems.push(Problem::new(
                "/clients/demand",
                "no class has any demand",
                "give a class a share above 0",
            ));
        }
        for (k, trouble) in self.troubles.iter().enumerate() {
            problems.extend(
                trouble.zone.as_ref().and_then(|name| check_zone(format!("/troubles/{k}/zone"), name)),
            );
            if trouble.at.0 + trouble.length.0 > self.length.0 {
                let message = format!("ends after the script's length of {}", self.length);
                problems.push(Problem::new(
                    format!("/troubles/{k}"),
                    message,
                    "begin earlier or make it shorter",
                ));
            }
            let needs_zone = matches!(trouble.kind, TroubleKind::ZoneLost | TroubleKind::ZoneCut);
            if needs_zone && trouble.zone.is_none() {
                problems.push(Problem::new(
                    format!("/troubles/{k}"),
                    "this kind affects a zone, but none is given",
                    "give its zone",
                ));
            }
        }
        problems
    }
}
