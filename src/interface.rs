//! What a controller is told and what it orders: plain types, free of any wire and of any decision.

use std::ops::{Add, Sub};
use std::sync::Arc;

/// A moment or a span of time, in whole nanoseconds.
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
    /// Never below nothing: a moment in the future is no time ago.
    fn sub(self, other: Nanos) -> Nanos {
        Nanos(self.0.saturating_sub(other.0))
    }
}

/// A server, by the name it must be given back with.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServerId(pub Arc<str>);

/// A proxy, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProxyId(pub u16);

/// A class, by its place in the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub u8);

/// A location: its place among those the instance has met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneId(pub u16);

/// A kind of machine: its place among those the instance has met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub u16);

/// A few servers of one zone that share kept keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CellId(pub i64);

/// A table of lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TableId(pub u16);

/// A key range with a table of its own, where the deployment has such.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SliceId(pub u16);

/// A fellow controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u32);

/// A set of classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
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

/// What happens when an operation runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// Nothing.
    Safe,
    /// Some servers drop the repeat for a while.
    Guarded,
    /// It takes effect twice.
    Never,
}

/// The unit of a level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LevelUnit {
    Share,
    /// Operations a second at each proxy, for each class named.
    Rate,
    /// Levels have no effect.
    Ignored,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ClassSettings {
    pub latency_goal: Nanos,
    pub deadline: Nanos,
    pub importance: f64,
    pub repeats: Repeats,
    /// The only zones it may run in; empty: any.
    pub only_zones: Vec<ZoneId>,
    /// The only kinds it may run on; empty: any.
    pub only_kinds: Vec<KindId>,
    /// It runs in the proxy's own zone alone.
    pub home_only: bool,
}

/// What a controller is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub classes: Vec<ClassSettings>,
    /// How many controllers there are.
    pub controllers: u32,
    /// How many proxies there are, of all controllers.
    pub proxies: u32,
    /// The list comes only when asked for.
    pub list_on_request: bool,
    /// Without a standing request, how long until the controller is held to know the list.
    pub list_known_within: Nanos,
    pub drain_grace: Nanos,
    /// A server starts at this share of its capacity or more.
    pub cold_share: f64,
    /// It is warm no later than this after its start.
    pub warm_after: Nanos,
    pub overload_multiple: f64,
    pub overload_window: Nanos,
    /// How long a proxy may lack a line.
    pub no_line_limit: Nanos,
    pub level_unit: LevelUnit,
    pub channel_lines_per_second: f64,
    pub channel_lines_limit: f64,
    pub lines_per_message: f64,
    /// Messages to one proxy within `message_span`; 0: no limit.
    pub message_limit: u32,
    pub message_span: Nanos,
    /// How often sums of what proxies met are gathered.
    pub report_period: Nanos,
    /// Probes are allowed.
    pub probes: bool,
    /// Key ranges in place of bindings; 0: none.
    pub slices: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    Ready,
    Draining,
    Removed,
}

/// One server as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listing {
    pub server: ServerId,
    pub zone: ZoneId,
    pub kind: KindId,
    pub cell: CellId,
    pub weight: Option<f64>,
    /// When it last started, at the latest; nothing: long ago.
    pub started: Option<Nanos>,
    /// Whether that is known. Else it may have started at any time before, as far as can be told: it may be cold, and it
    /// may be warm.
    pub is_start_certain: bool,
    pub readiness: Readiness,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListScope {
    Changes,
    Whole,
    /// As this controller last saw it before it started.
    Remembered,
    /// The call failed or the standing request ended.
    Failed,
}

/// What a server says of its own load, as far as it says it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Busy share of its cores.
    pub busy: Option<f64>,
    /// Operations it holds.
    pub in_flight: Option<f64>,
    /// Recent service time without waiting.
    pub service_time: Option<Nanos>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    Answered,
    /// Turned away: it drains or had too many probes; it says little of its health.
    TurnedAway,
    Failed,
}

/// What a controller is told.
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
    /// A proxy that has joined already follows that table of a former controller's.
    ExistingBinding {
        proxy: ProxyId,
        class: ClassId,
        table: TableId,
    },
    ProxyLeft {
        proxy: ProxyId,
    },
    /// What proxies of a zone met at a server.
    TriesReported {
        server: ServerId,
        zone: ZoneId,
        tries: u64,
        unanswered: u64,
        span: Nanos,
        latency: Nanos,
        report: LoadReport,
    },
    /// Operations that came to a proxy.
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
    /// An order was not carried out, and will not be: the proxies hold what they held before.
    OrderRefused {
        order: Order,
    },
    /// A proxy has applied all orders up to a mark.
    Applied {
        proxy: ProxyId,
        mark: u16,
    },
    /// A time asked for with `Order::Wake` has come.
    Woken,
    PeerMessage {
        peer: PeerId,
        body: Vec<u8>,
    },
    SliceAssigned {
        slice: SliceId,
        assigned: bool,
    },
    /// A line of a slice's table, as stored.
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

/// When a proxy tries another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retries {
    Never,
    /// Once, when the first is proven never to have run.
    IfNotExecuted,
    /// Once, after any failure.
    Once,
    /// Twice, after any failure.
    Twice,
}

/// What a controller orders.
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
    /// Every proxy that gets a message of this moment answers with the mark; a line a message.
    Mark {
        mark: u16,
    },
    /// A standing request for changes to the list.
    WatchList,
    Wake {
        after: Nanos,
    },
}
