//! What a rehearsal is asked to play.

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

/// Servers of one make.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    #[schemars(range(min = 1, max = 500))]
    pub count: u16,
    pub zone: String,
    pub kind: String,
    #[schemars(range(min = 1, max = 256))]
    pub cores: u16,
    /// Work that a core does in a second, in seconds of work.
    #[schemars(range(min = 0.01, max = 100.0))]
    pub speed: f64,
    /// Operations that may wait; one more is turned away unseen.
    #[schemars(range(min = 1))]
    pub queue: u32,
    /// Connections that it accepts.
    #[schemars(range(min = 1))]
    pub connections: u32,
}

/// Proxies of one zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProxyGroup {
    #[schemars(range(min = 1, max = 20_000))]
    pub count: u16,
    pub zone: String,
}

/// How a class is asked for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Demand {
    pub class: String,
    /// Part of all operations; parts are weighed against each other.
    #[schemars(range(min = 0.0))]
    pub share: f64,
    /// Mean work of an operation on a core of speed 1.
    pub work: Span,
    /// Shape of the gamma distribution of work: 1 is exponential, 4 spreads by half the mean.
    #[schemars(range(min = 0.1, max = 1000.0))]
    #[serde(default = "four", skip_serializing_if = "is_four")]
    pub shape: f64,
}

fn four() -> f64 {
    4.0
}

fn is_four(shape: &f64) -> bool {
    *shape == four()
}

/// The clients.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// First tries a second, of all classes.
    #[schemars(range(min = 0.1, max = 20_000.0))]
    pub rate: f64,
    pub demand: Vec<Demand>,
    /// Times a client comes again by itself.
    #[schemars(range(max = 10))]
    pub retries: u32,
    /// It waits so long before, and twice as long each time after.
    pub retry_wait: Span,
    /// A try is given up after this part of the class's hard stop.
    #[schemars(range(min = 0.05, max = 1.0))]
    pub try_part: f64,
    /// How long the front layer goes on sending to a dead proxy.
    pub front_lag: Span,
}

/// How proxies behave on their own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProxyHabits {
    /// Failures of its own in a row after which a proxy keeps away from a server; 0: never.
    pub ejects: u32,
    /// For so long.
    pub keep_away: Span,
    /// A connection that does not open by then has failed.
    pub connect_within: Span,
}

/// The kinds of trouble.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum TroubleKind {
    /// Traffic at `strength` times the usual.
    Burst,
    /// Servers replaced by cold ones, a part of `wave` at a time.
    Deploy,
    /// Servers quickly fail `strength` of their operations.
    FastErrors,
    /// Servers take operations and answer none.
    Hang,
    /// Servers run `strength` times slower.
    Slow,
    /// Servers do the work, but `strength` of the answers never arrive.
    AnswersLost,
    /// Servers die at once, and come back cold at the end.
    Crash,
    /// Servers go silent: no reset, no answer; they come back cold at the end.
    Silent,
    /// Servers fail and recover by turns, and come back cold each time.
    Flapping,
    /// The list of servers cannot be read.
    RosterDown,
    /// Streams between proxies and coordinators break at once; agents may dial again.
    StreamBreak,
    /// Proxies reach no coordinator, and go on forwarding.
    Unreachable,
    /// Proxies die with their agents, and come back at the end.
    ProxyKilled,
    /// Coordinators are killed, and come back at the end.
    CoordinatorKilled,
    /// All coordinators and then all agents are ended, one after another, and started from the next version of the program.
    RollingUpgrade,
    /// The coordinator that leads is killed, and comes back at the end.
    LeaderKilled,
    /// The coordinator that leads stands still for the whole length, and then goes on.
    LeaderStalled,
    /// One coordinator neither hears the others nor is heard; proxies reach it as ever.
    CoordinatorCut,
    /// One coordinator hears the others, and is not heard.
    CoordinatorMute,
    /// Agents are killed, and come back at the end; their proxies go on.
    AgentKilled,
    /// Proxies stand still again and again, for `strength` seconds each time.
    ProxyStall,
    /// Coordinators stand still again and again, for `strength` seconds each time.
    CoordinatorStall,
    /// All servers of a zone are lost, and come back cold at the end.
    ZoneLost,
    /// A zone is cut off from the others: operations and streams alike.
    ZoneCut,
    /// Servers of a kind or a zone restart within a second, and come back cold.
    MassRestart,
    /// Servers are taken away in waves, listed as draining, dead soon after; replacements start cold at the end.
    Preempt,
    /// Servers that are bad for the proxies of some: `strength` of the tries get no answer.
    OneSided,
    /// New servers join, cold, and traffic follows to `strength` times the usual.
    Growth,
}

/// One trouble.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Trouble {
    pub kind: TroubleKind,
    pub at: Span,
    pub length: Span,
    /// Part of the servers, proxies or coordinators that it strikes; at least one.
    #[schemars(range(min = 0.0, max = 1.0))]
    #[serde(default = "some")]
    pub part: f64,
    /// See the kind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub strength: Option<f64>,
    /// Strikes there alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Strikes these alone.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub server_kind: Option<String>,
    /// The list of servers shows nothing of it.
    #[serde(default)]
    pub unlisted: bool,
}

fn some() -> f64 {
    0.2
}

/// A break of a rule, planted to try the auditor: a proxy that does what no proxy should.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Plant {
    /// Forgets its tables for a while.
    Bare,
    /// Sends operations again that must never run twice.
    RunTwice,
    /// Goes on sending to servers that drain.
    KeepDrained,
    /// Sends all it has to servers that have just started.
    FloodCold,
    /// Coordinators are told a far longer queue than the auditor allows.
    LongQueue,
    /// Picks servers where a class may not go.
    Misplace,
    /// Files are written in place, half at a time.
    Torn,
}

/// A rehearsal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Script {
    pub name: String,
    pub seed: u64,
    /// How long clients come.
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
    /// How late the list of servers is.
    pub roster_lag: Span,
    #[serde(default)]
    pub troubles: Vec<Trouble>,
    #[serde(default)]
    pub plants: Vec<Plant>,
    /// The coordinators share one fleet and take over from one another; left out: each keeps to its own proxies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared: Option<SharedFleet>,
    /// Coordinators find servers' weights by themselves; left out: they go by the list.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub solver: Option<SolverSettings>,
    /// What the list says of servers' weights.
    #[serde(default, skip_serializing_if = "Weights::are_true")]
    pub weights: Weights,
    /// The auditor judges whether servers stay within their capacities; left out: it does not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<CapacityRule>,
    /// How long what leaves a coordinator's channel is on its way; left out: as long as this machine takes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub delays: Option<Delays>,
}

/// What the list says of servers' weights.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Weights {
    /// What each can do, exactly: the best that could be written by hand.
    #[default]
    True,
    /// The same for all.
    Equal,
    /// What each can do, off by up to half or twice, by chance: as hand-set weights are after a year.
    Rough,
}

impl Weights {
    fn are_true(&self) -> bool {
        *self == Weights::True
    }
}

/// No server is sent more work in any second than it can do then.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CapacityRule {
    /// After the start, and after any server starts, ends or changes its speed, coordinators may take so long; a cold server
    /// is never sent more.
    pub settle: Span,
}

/// Ways between coordinators and proxies that take their time; what is sent to one proxy arrives in order.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Delays {
    /// Mean of what a message takes beside the shortest.
    pub mean: Span,
    /// The shortest.
    #[serde(default)]
    pub least: Span,
}

impl Delays {
    /// How long one message takes.
    pub fn draw(&self, rng: &mut impl Rng) -> Nanos {
        let spread: f64 = Exp1.sample(rng);
        self.least.0 + Nanos::from_secs(self.mean.0.secs() * spread)
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
    /// The short one that needs no file.
    pub fn built_in() -> Result<Self, Problems> {
        parse(Path::new("built-in script"), BUILT_IN.as_bytes())
    }

    pub fn server_count(&self) -> usize {
        self.servers.iter().map(|group| usize::from(group.count)).sum()
    }

    pub fn proxy_count(&self) -> usize {
        self.proxies.iter().map(|group| usize::from(group.count)).sum()
    }

    /// The fleet as its coordinators are told of it.
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
        // The fleet's own checks, under the names that stand in a script.
        let mut found = self.fleet().check();
        found.iter_mut().for_each(|problem| problem.location = problem.location.replacen("/fleet", "", 1));
        let zone = |place: String, zone: &String| {
            (!self.zones.contains(zone)).then(|| {
                Problem::new(
                    place,
                    format!("zone {zone:?} is not among /zones"),
                    "name one of those, or add it there",
                )
            })
        };
        found.extend(
            self.servers
                .iter()
                .enumerate()
                .filter_map(|(k, group)| zone(format!("/servers/{k}/zone"), &group.zone)),
        );
        found.extend(
            self.proxies
                .iter()
                .enumerate()
                .filter_map(|(k, group)| zone(format!("/proxies/{k}/zone"), &group.zone)),
        );
        found.extend(self.solver.iter().flat_map(|solver| solver.check("/solver", &self.zones)));
        for (k, demand) in self.clients.demand.iter().enumerate() {
            if !self.classes.iter().any(|class| class.name == demand.class) {
                let what = format!("class {:?} is not among /classes", demand.class);
                found.push(Problem::new(format!("/clients/demand/{k}/class"), what, "name one of those"));
            }
        }
        if self.clients.demand.iter().map(|demand| demand.share).sum::<f64>() <= 0.0 {
            found.push(Problem::new("/clients/demand", "asks for nothing", "give a class a share above 0"));
        }
        for (k, trouble) in self.troubles.iter().enumerate() {
            found.extend(trouble.zone.as_ref().and_then(|name| zone(format!("/troubles/{k}/zone"), name)));
            if trouble.at.0 + trouble.length.0 > self.length.0 {
                let what = format!("ends after the script's length of {}", self.length);
                found.push(Problem::new(format!("/troubles/{k}"), what, "begin earlier or make it shorter"));
            }
            let zoned = matches!(trouble.kind, TroubleKind::ZoneLost | TroubleKind::ZoneCut);
            if zoned && trouble.zone.is_none() {
                found.push(Problem::new(
                    format!("/troubles/{k}"),
                    "strikes a zone and names none",
                    "give its zone",
                ));
            }
        }
        found
    }
}
