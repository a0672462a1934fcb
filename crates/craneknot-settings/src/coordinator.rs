//! Settings of a coordinator.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use craneknot::interface::{self, KindId, Nanos, ZoneId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::check::{Check, Problem};
use crate::span::Span;

/// The effect of running an operation of a class twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Repeats {
    /// No further effect.
    Safe,
    /// Some servers drop a repeated operation for a while.
    Guarded,
    /// It takes effect twice.
    Never,
}

/// The unit of a level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LevelUnit {
    Share,
    /// Operations per second at each proxy.
    Rate,
    /// Proxies ignore levels.
    Ignored,
}

/// One class of operations.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ClassSettings {
    /// The name, which is also the first segment of the path of the class's operations.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Answers within this time count with the full importance.
    pub latency_goal: Span,
    /// Clients give up after this time.
    pub hard_stop: Span,
    #[schemars(range(min = 0.0))]
    pub importance: f64,
    pub repeats: Repeats,
    /// The only zones in which the class may run; default: any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub only_zones: Vec<String>,
    /// The only kinds of server on which the class may run; default: any.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub only_kinds: Vec<String>,
    /// Whether the class runs in the proxy's own zone only.
    #[serde(default)]
    pub home_only: bool,
}

impl ClassSettings {
    /// The class as the controller receives it, with zones and kinds as indices into `names`.
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

    /// Whether the class may run on a server of that zone and kind.
    pub fn allows(&self, zone: &String, kind: &String) -> bool {
        (self.only_zones.is_empty() || self.only_zones.contains(zone))
            && (self.only_kinds.is_empty() || self.only_kinds.contains(kind))
    }
}

/// Parameters of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct RuleSettings {
    /// Nothing is sent to a draining or removed server once this long has passed since the coordinator was notified.
    pub drain_grace: Span,
    /// A cold server has at least this share of its capacity.
    #[schemars(range(min = 0.001, max = 1.0))]
    pub cold_share: f64,
    /// A server is warm at the latest this long after its start.
    pub warm_after: Span,
    /// A cold server that receives more than this multiple of its current capacity for `fall_window` is overloaded and
    /// fails.
    #[schemars(range(min = 1.0))]
    pub fall_multiple: f64,
    /// How long a load above `fall_multiple` lasts before a cold server fails.
    pub fall_window: Span,
    /// The longest time for which a joined proxy may have no line.
    pub bare_limit: Span,
}

/// The channel on which orders are sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ChannelSettings {
    #[schemars(range(min = 1.0))]
    pub lines_per_second: f64,
    /// Maximum number of queued lines, including those of message headers.
    #[schemars(range(min = 1.0))]
    pub lines_limit: f64,
    /// Lines that each message costs in addition to its own lines.
    #[schemars(range(min = 0.0))]
    #[serde(default)]
    pub lines_per_message: f64,
    /// Maximum number of messages to one proxy within `message_span`; 0: no limit.
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
    /// A JSON file, replaced by a rename. Relative to the folder of the settings file.
    pub file: PathBuf,
    /// File in which the last accepted list is stored for the next start; default: it is not stored.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remembered: Option<PathBuf>,
}

/// Probes of servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ProbeSettings {
    pub enabled: bool,
    /// The path requested from a server, by GET.
    #[serde(default = "probe_path")]
    pub path: String,
    pub time_out: Span,
}

fn probe_path() -> String {
    "/healthz".to_owned()
}

/// The fleet, as described to every coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    #[schemars(length(min = 1))]
    pub zones: Vec<String>,
    #[serde(default)]
    pub kinds: Vec<String>,
    #[schemars(length(min = 1, max = 32))]
    pub classes: Vec<ClassSettings>,
    /// Total number of coordinators.
    #[schemars(range(min = 1))]
    pub coordinators: u32,
    /// Total number of proxies, of all coordinators.
    #[schemars(range(min = 1, max = 65536))]
    pub proxies: u32,
    /// The unit of levels.
    pub levels: LevelUnit,
    /// How proxies pick a line: a value of the xDS field `lb_policy`.
    #[serde(default = "random")]
    pub lb_policy: String,
}

fn random() -> String {
    "RANDOM".to_owned()
}

/// Largest requests that the budget of all connections must hold.
const MIN_BUFFERED_REQUESTS: usize = 2;

/// Limits on the connections to the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct StreamSettings {
    /// Maximum number of concurrent connections.
    pub connections: usize,
    /// Maximum size of one request, in bytes.
    pub request_bytes: usize,
    /// A request must be complete this long after its first byte.
    pub request_within: Span,
    /// Bytes that all connections together may hold in unfinished requests and unread answers; at three quarters of
    /// it, the connections that have held theirs the longest are closed.
    pub buffered_bytes: usize,
    /// A stream whose pending bytes cannot be sent for this long is closed.
    pub stuck_after: Span,
}

impl Default for StreamSettings {
    fn default() -> Self {
        StreamSettings {
            connections: 16_000,
            request_bytes: 4 * 1024 * 1024,
            request_within: Span::millis(5_000),
            buffered_bytes: 32 * 1024 * 1024,
            stuck_after: Span::millis(10_000),
        }
    }
}

/// One coordinator of a shared fleet: a peer, or this one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct MemberSettings {
    /// The `name` in the member's own settings.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// The address to which datagrams for the member are sent.
    #[schemars(with = "String")]
    pub datagrams: SocketAddr,
}

/// Several coordinators that share one fleet and fail over to one another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SharedSettings {
    /// All coordinators, including this one; the same list on each. An odd number tolerates the most failures for its
    /// size.
    #[schemars(length(min = 1, max = 31))]
    pub members: Vec<MemberSettings>,
    /// The address at which this coordinator receives datagrams; port 0: any free port, written to the ready file.
    #[schemars(with = "String")]
    pub datagrams: SocketAddr,
    /// Folder that stores the term, the vote, the history and the last list. Relative to the folder of the settings
    /// file.
    pub store: PathBuf,
    /// How long a coordinator may act without hearing from the leader. A longer lease means fewer leader changes, but a
    /// later failover.
    #[serde(default = "two_seconds")]
    pub lease: Span,
    /// Maximum drift of the clocks from true time, faster or slower, as a share.
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

/// Settings of one coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CoordinatorSettings {
    /// Identifies the coordinator in versions and logs.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// The address to which agents connect; port 0: any free port.
    #[schemars(with = "String")]
    pub listen: SocketAddr,
    /// File written once the coordinator listens: a JSON object with its address. Relative to the folder of the settings
    /// file.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ready_file: Option<PathBuf>,
    /// Seed of the random numbers; default: from the clock.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub seed: Option<u64>,
    pub fleet: FleetSettings,
    pub rules: RuleSettings,
    pub channel: ChannelSettings,
    pub roster: RosterSettings,
    /// Interval of the proxies' reports.
    pub report_period: Span,
    pub probes: ProbeSettings,
    #[serde(default)]
    pub streams: StreamSettings,
    /// Present if several coordinators share the fleet; default: this is the only one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shared: Option<SharedSettings>,
    /// The ledger of the coordinator's inputs; default: none is written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ledger: Option<LedgerSettings>,
    /// Computes weights; default: servers keep their listed weights.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub solver: Option<SolverSettings>,
}

/// The cost of sending an operation from a proxy of one zone to a server of another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CrossingSettings {
    pub from: String,
    pub to: String,
    /// In mean service times.
    #[schemars(range(min = 0.0, max = 1000.0))]
    pub cost: f64,
}

/// Weights estimated from the fleet's reports instead of the listed ones.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SolverSettings {
    /// Margin kept free below a server's estimated capacity, in standard deviations of the estimate; default: the
    /// solver's.
    #[schemars(range(min = 0.0, max = 4.0))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub margin: Option<f64>,
    /// Share by which a weight must change before it is sent; default: the solver's.
    #[schemars(range(min = 0.0, max = 2.0))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub churn: Option<f64>,
    /// Cost of crossing zones, in mean service times, for pairs not listed in `crossings`; default: the solver's.
    #[schemars(range(min = 0.0, max = 1000.0))]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crossing: Option<f64>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crossings: Vec<CrossingSettings>,
}

impl SolverSettings {
    /// Validates the settings for a fleet of these zones; `pointer` is the JSON pointer to the settings themselves.
    pub fn check(&self, pointer: &str, zones: &[String]) -> Vec<Problem> {
        let mut found = Vec::new();
        for (index, crossing) in self.crossings.iter().enumerate() {
            for (end, zone) in [("from", &crossing.from), ("to", &crossing.to)] {
                if !zones.contains(zone) {
                    let message = format!("zone {zone:?} is not listed in the fleet's zones");
                    let at = format!("{pointer}/crossings/{index}/{end}");
                    found.push(Problem::new(at, message, "use a listed name, or add this one to the list"));
                }
            }
            let is_repeated =
                |other: &CrossingSettings| other.from == crossing.from && other.to == crossing.to;
            if self.crossings.iter().take(index).any(is_repeated) {
                let message = format!("{} to {} is listed twice", crossing.from, crossing.to);
                found.push(Problem::new(
                    format!("{pointer}/crossings/{index}"),
                    message,
                    "remove one of them",
                ));
            }
        }
        found
    }

    /// Costs by zone of the proxy and zone of the server; `default_cost` applies where the settings have none.
    pub fn crossing_costs(&self, zones: &[String], default_cost: f64) -> Vec<Vec<f64>> {
        let cost = |from: &String, to: &String| {
            let listed = self.crossings.iter().find(|one| one.from == *from && one.to == *to);
            match listed {
                Some(crossing) => crossing.cost,
                None if from == to => 0.0,
                None => self.crossing.unwrap_or(default_cost),
            }
        };
        zones.iter().map(|from| zones.iter().map(|to| cost(from, to)).collect()).collect()
    }
}

/// The ledger: a record of the coordinator's inputs, for the model and the solver.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct LedgerSettings {
    /// A file of gzipped JSON lines. Old files are rotated to `.1`, `.2`, the newest first. Relative to the folder of the
    /// settings file.
    pub file: PathBuf,
    /// Interval at which the ledger is written.
    #[serde(default = "five_seconds")]
    pub every: Span,
    /// A file is rotated once it reaches this size, in bytes.
    #[schemars(range(min = 1))]
    #[serde(default = "mebibytes_64")]
    pub most_bytes: u64,
    /// Number of rotated files to keep.
    #[schemars(range(max = 1000))]
    #[serde(default = "eight")]
    pub kept: u32,
}

impl LedgerSettings {
    /// The default settings, with this file.
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

fn index_of(list: &mut Vec<String>, name: &str) -> u16 {
    let found = list.iter().position(|known| known == name);
    let index = found.unwrap_or_else(|| {
        list.push(name.to_owned());
        list.len() - 1
    });
    u16::try_from(index).unwrap_or(u16::MAX)
}

impl Names {
    /// The id of a zone; an unknown name is added with the next id.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(index_of(&mut self.zones, name))
    }

    /// The id of a kind; an unknown name is added with the next id.
    pub fn kind(&mut self, name: &str) -> KindId {
        KindId(index_of(&mut self.kinds, name))
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

    /// The index of a class.
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
    /// The names, and the settings of the controller.
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

fn find_duplicates<'a>(pointer: &str, names: impl Iterator<Item = &'a str>) -> Vec<Problem> {
    let mut seen = BTreeSet::new();
    let duplicates = names.enumerate().filter(|(_, name)| !seen.insert(*name));
    duplicates
        .map(|(index, name)| {
            Problem::new(
                format!("{pointer}/{index}"),
                format!("{name:?} is listed twice"),
                "remove one of them",
            )
        })
        .collect()
}

fn require_positive(pointer: &str, span: Span) -> Option<Problem> {
    (span.0 == Nanos(0)).then(|| Problem::new(pointer, "is zero", "give a duration above 0"))
}

impl Check for FleetSettings {
    fn check(&self) -> Vec<Problem> {
        let mut found = find_duplicates("/fleet/zones", self.zones.iter().map(String::as_str));
        found.extend(find_duplicates("/fleet/kinds", self.kinds.iter().map(String::as_str)));
        found.extend(find_duplicates("/fleet/classes", self.classes.iter().map(|class| class.name.as_str())));
        for (index, class) in self.classes.iter().enumerate() {
            let pointer = |field: &str| format!("/fleet/classes/{index}/{field}");
            if !class.name.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)) {
                let remedy = "use letters, digits, '-', '_' and '.': it is part of a path";
                found.push(Problem::new(
                    pointer("name"),
                    format!("{:?} is not valid in a path", class.name),
                    remedy,
                ));
            }
            if class.hard_stop < class.latency_goal {
                let message =
                    format!("{} is less than the latency goal ({})", class.hard_stop, class.latency_goal);
                found.push(Problem::new(pointer("hard_stop"), message, "give at least the latency goal"));
            }
            found.extend(require_positive(&pointer("latency_goal"), class.latency_goal));
            for (index, zone) in
                class.only_zones.iter().enumerate().filter(|(_, zone)| !self.zones.contains(zone))
            {
                let message = format!("zone {zone:?} is not listed in /fleet/zones");
                found.push(Problem::new(
                    format!("{}/{index}", pointer("only_zones")),
                    message,
                    "use a listed name, or add this one to the list",
                ));
            }
            for (index, kind) in
                class.only_kinds.iter().enumerate().filter(|(_, kind)| !self.kinds.contains(kind))
            {
                let message = format!("kind {kind:?} is not listed in /fleet/kinds");
                found.push(Problem::new(
                    format!("{}/{index}", pointer("only_kinds")),
                    message,
                    "use a listed name, or add this one to the list",
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
            found.push(Problem::new(
                "/name",
                "contains a '/' or a control character",
                "use letters and digits",
            ));
        }
        found.extend(require_positive("/rules/drain_grace", self.rules.drain_grace));
        found.extend(require_positive("/rules/fall_window", self.rules.fall_window));
        found.extend(require_positive("/rules/bare_limit", self.rules.bare_limit));
        found.extend(require_positive("/report_period", self.report_period));
        found.extend(require_positive("/probes/time_out", self.probes.time_out));
        found.extend(require_positive("/streams/request_within", self.streams.request_within));
        found.extend(require_positive("/streams/stuck_after", self.streams.stuck_after));
        if self.streams.buffered_bytes < MIN_BUFFERED_REQUESTS * self.streams.request_bytes {
            let message = format!("{} bytes do not hold two requests", self.streams.buffered_bytes);
            let least = MIN_BUFFERED_REQUESTS * self.streams.request_bytes;
            found.push(Problem::new("/streams/buffered_bytes", message, format!("give at least {least}")));
        }
        // Bindings cannot be delayed, so the queue must hold one for each class of each proxy of a coordinator, plus the
        // message headers.
        let proxies = f64::from(self.fleet.proxies) / f64::from(self.fleet.coordinators);
        let min_lines = proxies * (self.channel.lines_per_message + self.fleet.classes.len() as f64);
        if self.channel.lines_limit < min_lines {
            let message = format!(
                "{} lines are too few for one binding per class for every proxy",
                self.channel.lines_limit
            );
            found.push(Problem::new(
                "/channel/lines_limit",
                message,
                format!("give at least {}", min_lines.ceil()),
            ));
        }
        if self.channel.message_limit > 0 && self.channel.message_span.0 == Nanos(0) {
            found.push(Problem::new(
                "/channel/message_span",
                "is zero",
                "give the duration to which message_limit applies",
            ));
        }
        found.extend(self.solver.iter().flat_map(|solver| solver.check("/solver", &self.fleet.zones)));
        found.extend(self.ledger.iter().filter_map(|ledger| require_positive("/ledger/every", ledger.every)));
        if let Some(shared) = &self.shared {
            found.extend(find_duplicates(
                "/shared/members",
                shared.members.iter().map(|member| member.name.as_str()),
            ));
            if !shared.members.iter().any(|member| member.name == self.name) {
                let message = format!("{:?} is missing from the members", self.name);
                found.push(Problem::new(
                    "/shared/members",
                    message,
                    "list every coordinator, including this one",
                ));
            }
            if shared.members.len() != self.fleet.coordinators as usize {
                let message =
                    format!("{} members, but {} coordinators", shared.members.len(), self.fleet.coordinators);
                found.push(Problem::new(
                    "/shared/members",
                    message,
                    "set /fleet/coordinators to the number of members",
                ));
            }
            if shared.lease < Span::millis(100) {
                found.push(Problem::new(
                    "/shared/lease",
                    "is less than 100ms",
                    "give many times the travel time of a few datagrams",
                ));
            }
        }
        if !self.probes.path.starts_with('/') {
            found.push(Problem::new(
                "/probes/path",
                "does not start with '/'",
                "give a path such as /healthz",
            ));
        }
        found
    }
}
