//! Inputs and outputs of a controller: plain types, independent of any wire protocol and of the decisions.

use std::ops::{Add, Sub};
use std::sync::Arc;

/// A point in time or a duration, in whole nanoseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Nanos(pub u64);

impl Nanos {
    pub const fn from_millis(millis: u64) -> Self {
        Nanos(millis * 1_000_000)
    }

    pub fn from_secs(secs: f64) -> Self {
        Nanos((secs.max(0.0) * 1e6).round() as u64 * 1_000)
    }

    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e9
    }
}

impl Add for Nanos {
    type Output = Nanos;
    fn add(self, other: Nanos) -> Nanos {
        Nanos(self.0.saturating_add(other.0))
    }
}

impl Sub for Nanos {
    type Output = Nanos;
    /// Saturates at zero: a time in the future counts as no time ago.
    fn sub(self, other: Nanos) -> Nanos {
        Nanos(self.0.saturating_sub(other.0))
    }
}

/// A server, by the name that orders must use for it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Arc<str>);

/// A proxy, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId(pub u16);

/// A class, by its index in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u8);

/// A zone, by its index among those the instance has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);

/// A kind of machine, by its index among those the instance has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub u16);

/// A few servers of one zone that share cached keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub i64);

/// A table of lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableId(pub u16);

/// A key range with a table of its own, in deployments that have slices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SliceId(pub u16);

/// Another controller of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u32);

/// A set of classes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassSet(pub u32);

impl ClassSet {
    pub fn of(class: ClassId) -> Self {
        ClassSet(1 << class.0)
    }

    pub fn with(self, class: ClassId) -> Self {
        ClassSet(self.0 | 1 << class.0)
    }

    pub fn has(self, class: ClassId) -> bool {
        self.0 >> class.0 & 1 == 1
    }
}

/// The effect of an operation that runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// None.
    Safe,
    /// Some servers drop the duplicate for a while.
    Guarded,
    /// It takes effect twice.
    Never,
}

/// The unit of a level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelUnit {
    /// Share of the operations that are admitted.
    Share,
    /// Operations per second at each proxy, for each class of the order.
    Rate,
    /// Levels have no effect.
    Ignored,
}

/// The settings of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    pub latency_goal: Nanos,
    pub deadline: Nanos,
    pub importance: f64,
    pub repeats: Repeats,
    /// The zones it may run in; empty: any.
    pub only_zones: Vec<ZoneId>,
    /// The kinds it may run on; empty: any.
    pub only_kinds: Vec<KindId>,
    /// It runs only in the proxy's own zone.
    pub home_only: bool,
}

/// What a controller is given at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub classes: Vec<ClassSettings>,
    /// Number of controllers.
    pub controllers: u32,
    /// Number of proxies, of all controllers together.
    pub proxies: u32,
    /// The list is sent only on request.
    pub list_on_request: bool,
    /// Without a standing request, the time after which the controller is expected to know the list.
    pub list_known_within: Nanos,
    pub drain_grace: Nanos,
    /// A cold server has at least this share of its capacity.
    pub cold_share: f64,
    /// A server is warm at the latest this long after its start.
    pub warm_after: Nanos,
    /// Multiple of its current capacity above which load makes a cold server fail, if it lasts for `overload_window`.
    pub overload_multiple: f64,
    /// How long a load above `overload_multiple` must last to make a cold server fail.
    pub overload_window: Nanos,
    /// How long a proxy may have no line.
    pub no_line_limit: Nanos,
    pub level_unit: LevelUnit,
    pub channel_lines_per_second: f64,
    pub channel_lines_limit: f64,
    pub lines_per_message: f64,
    /// Most messages to one proxy within `message_span`; 0: no limit.
    pub message_limit: u32,
    pub message_span: Nanos,
    /// How often the outcomes that proxies observed are collected.
    pub report_period: Nanos,
    /// Probes are allowed.
    pub probes: bool,
    /// Key ranges in place of bindings; 0: none.
    pub slices: u32,
}

/// Whether a server is listed to take traffic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Ready,
    Draining,
    Removed,
}

/// The entry of one server in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    pub server: ServerId,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub weight: Option<f64>,
    /// When it last started, at the latest; `None`: long ago.
    pub started: Option<Nanos>,
    /// Whether `started` is exact. Otherwise the server may have started at any time before, so it may be
    /// cold or warm.
    pub is_start_certain: bool,
    pub readiness: Readiness,
}

/// What the entries of a list event cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    Changes,
    Whole,
    /// As this controller last saw it before it restarted.
    Remembered,
    /// The call failed or the standing request ended.
    Failed,
}

/// The load that a server reports of itself; `None` for what it does not report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of its cores that is busy.
    pub busy: Option<f64>,
    /// Operations in progress or queued at the server.
    pub in_flight: Option<f64>,
    /// Recent service time, without queueing.
    pub service_time: Option<Nanos>,
}

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    Answered,
    /// The server rejected the probe since it drains or got too many; this says little about its health.
    TurnedAway,
    Failed,
}

/// An input of a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    List {
        scope: ListScope,
        entries: Arc<[Listing]>,
    },
    ProxyJoined {
        proxy: ProxyId,
        zone: ZoneId,
        usual_rate: f64,
    },
    /// A proxy that has joined still follows this table of an earlier controller.
    ExistingBinding {
        proxy: ProxyId,
        class: ClassId,
        table: TableId,
    },
    ProxyLeft {
        proxy: ProxyId,
    },
    /// Outcomes of tries at a server that proxies of a zone observed within `span`.
    TriesReported {
        server: ServerId,
        zone: ZoneId,
        tries: u64,
        unanswered: u64,
        span: Nanos,
        latency: Nanos,
        report: LoadReport,
    },
    /// Operations of a class that arrived at a proxy within `span`.
    Demand {
        proxy: ProxyId,
        class: ClassId,
        arrived: u64,
        unanswered: u64,
        span: Nanos,
    },
    Probed {
        server: ServerId,
        outcome: ProbeOutcome,
        latency: Nanos,
        report: LoadReport,
    },
    /// An order was not applied and will not be: the proxies keep their previous state.
    OrderRefused {
        order: Order,
    },
    /// At least this many lines may wait in the channel, by what the host has written to it: orders are repeated when
    /// it is in doubt whether they were carried out. `is_held_back`: some orders are not written yet.
    ChannelLoad {
        lines: f64,
        is_held_back: bool,
    },
    /// A proxy has applied all orders up to a mark.
    Applied {
        proxy: ProxyId,
        mark: u16,
    },
    /// The time requested with [`Order::Wake`] has come.
    Woken,
    PeerMessage {
        peer: PeerId,
        body: Vec<u8>,
    },
    SliceAssigned {
        slice: SliceId,
        assigned: bool,
    },
    /// A line of a slice's stored table.
    SliceLine {
        slice: SliceId,
        server: ServerId,
        weight: f64,
    },
    SliceDemand {
        slice: SliceId,
        class: ClassId,
        arrived: u64,
        unanswered: u64,
        span: Nanos,
    },
}

/// When a proxy tries another server after a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retries {
    Never,
    /// Once, if the first try provably never ran.
    IfNotExecuted,
    /// Once, after any failure.
    Once,
    /// Twice, after any failure.
    Twice,
}

/// An output of a controller.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// One line of a table; weight 0 removes it.
    Line {
        table: TableId,
        server: ServerId,
        weight: f64,
    },
    Bind {
        proxy: ProxyId,
        classes: ClassSet,
        table: TableId,
    },
    Level {
        table: TableId,
        classes: ClassSet,
        level: f64,
        retries: Retries,
    },
    Probe {
        server: ServerId,
    },
    /// Every proxy that gets a message at this time acknowledges the mark; it takes one line in each message.
    Mark {
        mark: u16,
    },
    /// A standing request for changes to the list.
    WatchList,
    /// Requests an [`Event::Woken`].
    Wake {
        after: Nanos,
    },
}
