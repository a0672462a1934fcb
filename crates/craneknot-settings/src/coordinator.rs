//! What a coordinator is started with.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use craneknot::interface::{self, KindId, Nanos, ZoneId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::check::{Check, Problem};
use crate::span::Span;

/// What happens when an operation of a class runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    /// Nothing.
    Safe,
    /// Some servers drop the repeat for a while.
    Guarded,
    /// It takes effect twice.
    Never,
}

/// The unit of a level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LevelUnit {
    Share,
    /// Operations a second at each proxy.
    Rate,
    /// Proxies follow no levels.
    Ignored,
}

/// One class of operations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// Its name, and the first part of its operations' path.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Answers within it are worth the whole importance.
    pub latency_goal: Span,
    /// Clients wait no longer.
    pub hard_stop: Span,
    #[schemars(range(min = 0.0))]
    pub importance: f64,
    pub repeats: Repeats,
    /// The only zones it may run in; left out: any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub only_zones: Vec<String>,
    /// The only kinds of server it may run on; left out: any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub only_kinds: Vec<String>,
    /// It runs in the proxy's own zone alone.
    #[serde(default)]
    pub home_only: bool,
}

impl ClassSettings {
    /// As the decisions are told of it, zones and kinds by their places among the names.
    pub fn to_interface(&self, names: &mut Names) -> interface::ClassSettings {
        interface::ClassSettings {
            latency_goal: self.latency_goal.0,
            deadline: self.hard_stop.0,
            importance: self.importance,
            repeats: self.repeats.into(),
            only_zones: self.only_zones.iter().map(|zone| names.zone(zone)).collect(),
            only_kinds: self.only_kinds.iter().map(|kind| names.kind(kind)).collect(),
            home_only: self.home_only,
        }
    }

    /// Whether it may run on a server of that zone and kind.
    pub fn allows(&self, zone: &String, kind: &String) -> bool {
        (self.only_zones.is_empty() || self.only_zones.contains(zone))
            && (self.only_kinds.is_empty() || self.only_kinds.contains(kind))
    }
}

/// The figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RuleSettings {
    /// Nothing is sent to a draining or gone server this long after the coordinator was told.
    pub drain_grace: Span,
    /// A server starts at this share of its capacity or more.
    #[schemars(range(min = 0.001, max = 1.0))]
    pub cold_share: f64,
    /// It is warm no later than this after its start.
    pub warm_after: Span,
    /// Sent more than this multiple of what it can do at the moment ...
    #[schemars(range(min = 1.0))]
    pub fall_multiple: f64,
    /// ... for this long, a cold server falls over.
    pub fall_window: Span,
    /// The longest that a joined proxy may lack a line.
    pub bare_limit: Span,
}

/// The channel by which orders leave.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChannelSettings {
    #[schemars(range(min = 1.0))]
    pub lines_per_second: f64,
    /// Lines that may wait, those of message heads included.
    #[schemars(range(min = 1.0))]
    pub lines_limit: f64,
    /// Lines that a message costs on top of its own.
    #[schemars(range(min = 0.0))]
    #[serde(default)]
    pub lines_per_message: f64,
    /// Messages to one proxy within `message_span`; 0: no limit.
    #[serde(default)]
    pub message_limit: u32,
    #[serde(default = "ten_seconds")]
    pub message_span: Span,
}

fn ten_seconds() -> Span {
    Span::millis(10_000)
}

/// The list of servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RosterSettings {
    /// A JSON file, replaced by a rename. Relative to the settings' folder.
    pub file: PathBuf,
    /// Where the last list taken is kept for the next start; left out: it is not kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remembered: Option<PathBuf>,
}

/// Probes of servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProbeSettings {
    pub enabled: bool,
    /// What is asked of a server, by GET.
    #[serde(default = "probe_path")]
    pub path: String,
    pub time_out: Span,
}

fn probe_path() -> String {
    "/healthz".to_owned()
}

/// The fleet as every coordinator is told of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    #[schemars(length(min = 1))]
    pub zones: Vec<String>,
    #[serde(default)]
    pub kinds: Vec<String>,
    #[schemars(length(min = 1, max = 32))]
    pub classes: Vec<ClassSettings>,
    /// Coordinators in all.
    #[schemars(range(min = 1))]
    pub coordinators: u32,
    /// Proxies in all, of all coordinators.
    #[schemars(range(min = 1, max = 65536))]
    pub proxies: u32,
    /// The unit of levels.
    pub levels: LevelUnit,
    /// How proxies pick a line, as the published `lb_policy` names it.
    #[serde(default = "random")]
    pub lb_policy: String,
}

fn random() -> String {
    "RANDOM".to_owned()
}

/// What peers may ask of the coordinator's sockets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct StreamSettings {
    /// Connections at once.
    pub connections: usize,
    /// Bytes of one request.
    pub request_bytes: usize,
    /// A request must be whole this long after its first byte.
    pub request_within: Span,
    /// A stream whose bytes do not leave for so long is broken.
    pub stuck_after: Span,
}

impl Default for StreamSettings {
    fn default() -> Self {
        StreamSettings {
            connections: 16_000,
            request_bytes: 4 * 1024 * 1024,
            request_within: Span::millis(5_000),
            stuck_after: Span::millis(10_000),
        }
    }
}

/// A fellow coordinator, or this one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// Its own settings' name.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Where its datagrams go.
    #[schemars(with = "String")]
    pub datagrams: SocketAddr,
}

/// Several coordinators that share one fleet and take over from one another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SharedSettings {
    /// All of them, this one included; the same everywhere. An odd number bears the most losses.
    #[schemars(length(min = 1, max = 31))]
    pub members: Vec<MemberSettings>,
    /// Where this one's datagrams come in; port 0: any free one, told in the ready file.
    #[schemars(with = "String")]
    pub datagrams: SocketAddr,
    /// Term, vote, history and the last list are kept here. Relative to the settings' folder.
    pub store: PathBuf,
    /// How long a coordinator may act without the leader's word: the longer, the calmer, and the later a takeover.
    #[serde(default = "two_seconds")]
    pub lease: Span,
    /// Clocks run at most this much faster or slower than true time, as a share.
    #[schemars(range(min = 0.0, max = 0.2))]
    #[serde(default = "hundredth")]
    pub drift: f64,
}

fn two_seconds() -> Span {
    Span::millis(2_000)
}

fn hundredth() -> f64 {
    0.01
}

/// A coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorSettings {
    /// Tells it from others in versions and logs.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Where agents dial; port 0: any free one.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// Written once it listens: a JSON object with its address. Relative to the settings' folder.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready_file: Option<PathBuf>,
    /// Of its random numbers; left out: from the clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    pub fleet: FleetSettings,
    pub rules: RuleSettings,
    pub channel: ChannelSettings,
    pub roster: RosterSettings,
    /// How often proxies report.
    pub report_period: Span,
    pub probes: ProbeSettings,
    #[serde(default)]
    pub streams: StreamSettings,
    /// Left out: it shares its fleet with no one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared: Option<SharedSettings>,
    /// Left out: nothing is kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ledger: Option<LedgerSettings>,
    /// Left out: servers are weighed as listed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub solver: Option<SolverSettings>,
}

/// What an operation costs that goes from a proxy of one zone to a server of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CrossingSettings {
    pub from: String,
    pub to: String,
    /// In mean service times.
    #[schemars(range(min = 0.0, max = 1000.0))]
    pub cost: f64,
}

/// Weights found from what the fleet shows, in place of listed ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SolverSettings {
    /// Deviations of a server's estimated capacity that are kept free; left out: the solver's own.
    #[schemars(range(min = 0.0, max = 4.0))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub margin: Option<f64>,
    /// Share by which a weight must differ to be sent; left out: the solver's own.
    #[schemars(range(min = 0.0, max = 2.0))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub churn: Option<f64>,
    /// Cost of a crossing, in mean service times, where `crossings` has no other; left out: the solver's own.
    #[schemars(range(min = 0.0, max = 1000.0))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crossing: Option<f64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crossings: Vec<CrossingSettings>,
}

impl SolverSettings {
    /// What is wrong with it in a fleet of these zones; `place` is its own pointer.
    pub fn check(&self, place: &str, zones: &[String]) -> Vec<Problem> {
        let mut found = Vec::new();
        for (k, crossing) in self.crossings.iter().enumerate() {
            for (end, zone) in [("from", &crossing.from), ("to", &crossing.to)] {
                if !zones.contains(zone) {
                    let what = format!("zone {zone:?} is not among the fleet's zones");
                    let at = format!("{place}/crossings/{k}/{end}");
                    found.push(Problem::new(at, what, "name one of those, or add it there"));
                }
            }
            let again = |other: &CrossingSettings| other.from == crossing.from && other.to == crossing.to;
            if self.crossings.iter().take(k).any(again) {
                let what = format!("{} to {} is listed twice", crossing.from, crossing.to);
                found.push(Problem::new(format!("{place}/crossings/{k}"), what, "remove one"));
            }
        }
        found
    }

    /// Costs by zone of the proxy and of the server.
    pub fn crossing_costs(&self, zones: &[String], usual: f64) -> Vec<Vec<f64>> {
        let cost = |from: &String, to: &String| {
            let told = self.crossings.iter().find(|one| one.from == *from && one.to == *to);
            match told {
                Some(told) => told.cost,
                None if from == to => 0.0,
                None => self.crossing.unwrap_or(usual),
            }
        };
        zones.iter().map(|from| zones.iter().map(|to| cost(from, to)).collect()).collect()
    }
}

/// Where what the coordinator is told is kept, for the model and the solver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LedgerSettings {
    /// Gzipped JSON lines; old ones are moved aside as `.1`, `.2`, the newest first. Relative to the settings' folder.
    pub file: PathBuf,
    /// How often it is written.
    #[serde(default = "five_seconds")]
    pub every: Span,
    /// A file this large is moved aside.
    #[schemars(range(min = 1))]
    #[serde(default = "mebibytes_64")]
    pub most_bytes: u64,
    /// Old files kept.
    #[schemars(range(max = 1000))]
    #[serde(default = "eight")]
    pub kept: u32,
}

impl LedgerSettings {
    /// The usual ones for a file.
    pub fn at(file: impl Into<PathBuf>) -> Self {
        LedgerSettings { file: file.into(), every: five_seconds(), most_bytes: mebibytes_64(), kept: eight() }
    }
}

fn five_seconds() -> Span {
    Span::millis(5_000)
}

fn mebibytes_64() -> u64 {
    64 * 1024 * 1024
}

fn eight() -> u32 {
    8
}

/// Zones, kinds and classes by their names.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub(crate) zones: Vec<String>,
    pub(crate) kinds: Vec<String>,
    pub classes: Vec<String>,
}

fn place_of(list: &mut Vec<String>, name: &str) -> u16 {
    let found = list.iter().position(|known| known == name);
    let place = found.unwrap_or_else(|| {
        list.push(name.to_owned());
        list.len() - 1
    });
    u16::try_from(place).unwrap_or(u16::MAX)
}

impl Names {
    /// The zone of a name; one not met before gets the next place.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(place_of(&mut self.zones, name))
    }

    pub fn kind(&mut self, name: &str) -> KindId {
        KindId(place_of(&mut self.kinds, name))
    }

    pub fn has_zone(&self, name: &str) -> bool {
        self.zones.iter().any(|known| known == name)
    }

    pub fn zone_name(&self, zone: ZoneId) -> &str {
        self.zones.get(usize::from(zone.0)).map_or("", String::as_str)
    }

    pub fn kind_name(&self, kind: KindId) -> &str {
        self.kinds.get(usize::from(kind.0)).map_or("", String::as_str)
    }

    pub fn class(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|known| known == name)
    }
}

impl From<Repeats> for interface::Repeats {
    fn from(repeats: Repeats) -> Self {
        match repeats {
            Repeats::Safe => interface::Repeats::Safe,
            Repeats::Guarded => interface::Repeats::Guarded,
            Repeats::Never => interface::Repeats::Never,
        }
    }
}

impl From<LevelUnit> for interface::LevelUnit {
    fn from(unit: LevelUnit) -> Self {
        match unit {
            LevelUnit::Share => interface::LevelUnit::Share,
            LevelUnit::Rate => interface::LevelUnit::Rate,
            LevelUnit::Ignored => interface::LevelUnit::Ignored,
        }
    }
}

impl CoordinatorSettings {
    /// The names, and what the decisions are started with.
    pub fn controller_settings(&self) -> (Names, interface::Settings) {
        let fleet = &self.fleet;
        let mut names = Names {
            zones: fleet.zones.clone(),
            kinds: fleet.kinds.clone(),
            classes: fleet.classes.iter().map(|class| class.name.clone()).collect(),
        };
        let classes = fleet.classes.iter().map(|class| class.to_interface(&mut names)).collect();
        let settings = interface::Settings {
            classes,
            controllers: fleet.coordinators,
            proxies: fleet.proxies,
            list_on_request: false,
            list_known_within: Nanos(u64::MAX),
            drain_grace: self.rules.drain_grace.0,
            cold_share: self.rules.cold_share,
            warm_after: self.rules.warm_after.0,
            overload_multiple: self.rules.fall_multiple,
            overload_window: self.rules.fall_window.0,
            no_line_limit: self.rules.bare_limit.0,
            level_unit: fleet.levels.into(),
            channel_lines_per_second: self.channel.lines_per_second,
            channel_lines_limit: self.channel.lines_limit,
            lines_per_message: self.channel.lines_per_message,
            message_limit: self.channel.message_limit,
            message_span: self.channel.message_span.0,
            report_period: self.report_period.0,
            probes: self.probes.enabled,
            slices: 0,
        };
        (names, settings)
    }
}

fn doubles<'a>(place: &str, names: impl Iterator<Item = &'a str>) -> Vec<Problem> {
    let mut seen = BTreeSet::new();
    let again = names.enumerate().filter(|(_, name)| !seen.insert(*name));
    again
        .map(|(k, name)| {
            Problem::new(format!("{place}/{k}"), format!("{name:?} is listed twice"), "remove one")
        })
        .collect()
}

fn positive(place: &str, span: Span) -> Option<Problem> {
    (span.0 == Nanos(0)).then(|| Problem::new(place, "is nothing", "give a span above 0"))
}

impl Check for FleetSettings {
    fn check(&self) -> Vec<Problem> {
        let mut found = doubles("/fleet/zones", self.zones.iter().map(String::as_str));
        found.extend(doubles("/fleet/kinds", self.kinds.iter().map(String::as_str)));
        found.extend(doubles("/fleet/classes", self.classes.iter().map(|class| class.name.as_str())));
        for (k, class) in self.classes.iter().enumerate() {
            let at = |field: &str| format!("/fleet/classes/{k}/{field}");
            if !class.name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)) {
                let mend = "use letters, digits, '-', '_' and '.': it is part of a path";
                found.push(Problem::new(at("name"), format!("{:?} does not fit a path", class.name), mend));
            }
            if class.hard_stop < class.latency_goal {
                let what = format!("{} is under the latency goal of {}", class.hard_stop, class.latency_goal);
                found.push(Problem::new(at("hard_stop"), what, "give the latency goal or more"));
            }
            found.extend(positive(&at("latency_goal"), class.latency_goal));
            for (z, zone) in
                class.only_zones.iter().enumerate().filter(|(_, zone)| !self.zones.contains(zone))
            {
                let what = format!("zone {zone:?} is not among /fleet/zones");
                found.push(Problem::new(
                    format!("{}/{z}", at("only_zones")),
                    what,
                    "name one of those, or add it there",
                ));
            }
            for (z, kind) in
                class.only_kinds.iter().enumerate().filter(|(_, kind)| !self.kinds.contains(kind))
            {
                let what = format!("kind {kind:?} is not among /fleet/kinds");
                found.push(Problem::new(
                    format!("{}/{z}", at("only_kinds")),
                    what,
                    "name one of those, or add it there",
                ));
            }
        }
        found
    }
}

impl Check for CoordinatorSettings {
    fn check(&self) -> Vec<Problem> {
        let mut found = self.fleet.check();
        if self.name.contains('/') || self.name.chars().any(char::is_control) {
            found.push(Problem::new("/name", "holds a '/' or a control sign", "use letters and digits"));
        }
        found.extend(positive("/rules/drain_grace", self.rules.drain_grace));
        found.extend(positive("/rules/fall_window", self.rules.fall_window));
        found.extend(positive("/rules/bare_limit", self.rules.bare_limit));
        found.extend(positive("/report_period", self.report_period));
        found.extend(positive("/probes/time_out", self.probes.time_out));
        found.extend(positive("/streams/request_within", self.streams.request_within));
        found.extend(positive("/streams/stuck_after", self.streams.stuck_after));
        // What cannot be put off: a binding for each class of each proxy of one coordinator, with its head.
        let proxies = f64::from(self.fleet.proxies) / f64::from(self.fleet.coordinators);
        let least = proxies * (self.channel.lines_per_message + self.fleet.classes.len() as f64);
        if self.channel.lines_limit < least {
            let what =
                format!("{} lines do not hold one binding a class for every proxy", self.channel.lines_limit);
            found.push(Problem::new("/channel/lines_limit", what, format!("give {} or more", least.ceil())));
        }
        if self.channel.message_limit > 0 && self.channel.message_span.0 == Nanos(0) {
            found.push(Problem::new(
                "/channel/message_span",
                "is nothing",
                "give the span that message_limit is for",
            ));
        }
        found.extend(self.solver.iter().flat_map(|solver| solver.check("/solver", &self.fleet.zones)));
        found.extend(self.ledger.iter().filter_map(|ledger| positive("/ledger/every", ledger.every)));
        if let Some(shared) = &self.shared {
            found
                .extend(doubles("/shared/members", shared.members.iter().map(|member| member.name.as_str())));
            if !shared.members.iter().any(|member| member.name == self.name) {
                let what = format!("{:?} itself is not among them", self.name);
                found.push(Problem::new("/shared/members", what, "name every coordinator, this one too"));
            }
            if shared.members.len() != self.fleet.coordinators as usize {
                let what =
                    format!("{} members, but {} coordinators", shared.members.len(), self.fleet.coordinators);
                found.push(Problem::new("/shared/members", what, "make /fleet/coordinators their number"));
            }
            if shared.lease < Span::millis(100) {
                found.push(Problem::new(
                    "/shared/lease",
                    "is under 100ms",
                    "give what a few datagrams' ways take, many times",
                ));
            }
        }
        if !self.probes.path.starts_with('/') {
            found.push(Problem::new(
                "/probes/path",
                "does not begin with '/'",
                "give a path such as /healthz",
            ));
        }
        found
    }
}
