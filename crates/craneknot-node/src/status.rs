//! The coordinator's status, and the log lines that report it: periodically while it runs, and once when it
//! ends.

use craneknot::interface::Nanos;
use tracing::{info, warn};

use crate::coverage::{CoverageFigures, LongestGap};
use crate::log_event::{millis, sanitized_prefix};
use crate::pending::Violations;

const BYTES_PER_KIB: usize = 1_024;
const MAX_CLASS_CHARS: usize = 11; // of a class's name in a status line, which has the most fields

/// Summary of a coordinator for its operator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    pub proxies: usize,
    pub servers: usize,
    pub collectors: usize,
    /// Clients that are not collectors yet.
    pub unidentified: usize,
    /// Clients with pending work.
    pub clients_pending: usize,
    pub reports: u64,
    pub reports_malformed: u64,
    /// Clients closed because unfinished input took too much memory.
    pub closed_over_budget: u64,
    pub orders: u64,
    pub orders_waiting: usize,
    pub orders_rejected: u64,
    pub calls_retried: u64,
    /// Calls that the limits of the channel held back, in whole or in part.
    pub calls_delayed: u64,
    /// Calls to discovery that were made beside an unanswered one.
    pub list_calls_repeated: u64,
    /// The most lines that may have waited in the channel since the start.
    pub most_channel_lines: f64,
    pub event_streams: usize,
    /// Events that were skipped because a field was absent, wrong or out of range.
    pub events_malformed: u64,
    pub violations: Violations,
    /// Proxies without a usable line.
    pub coverage: CoverageFigures,
    /// The longest time since the start that a proxy had no usable line though a warm server was listed.
    pub longest_uncovered: Option<NamedLapse>,
    /// The longest times since the start that a proxy had no usable line: one for each kind of supply of
    /// servers that was observed meanwhile.
    pub longest_without_line: Vec<NamedLapse>,
}

/// The longest time without a line, with the name of its class and the time since the start.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedLapse {
    pub longest: LongestGap,
    pub class: String,
    pub since_start: Nanos,
}

/// Figures of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessFigures {
    /// Open connections, outgoing ones included.
    pub connections: usize,
    /// Bytes that clients' unfinished messages and unread answers take.
    pub buffered_bytes: usize,
    /// System calls that failed transiently and were retried.
    pub system_calls_retried: u64,
    /// Log lines that were dropped because standard error did not accept them.
    pub log_lines_dropped: u64,
}

/// Writes the status lines: possible faults first, then orders, clients and input.
pub fn write_status(status: &Status, process: ProcessFigures) {
    let ProcessFigures { connections, buffered_bytes, system_calls_retried, log_lines_dropped } = process;
    let Violations { closed_unanswered, orders_forbidden, orders_overtaken, .. } = status.violations;
    info!(
        uncovered = status.coverage.uncovered,
        uncovered_longest_ms = millis(status.coverage.longest),
        uncovered_over_limit = status.coverage.over_limit,
        violations = status.violations.total(),
        proxies = status.proxies,
        servers = status.servers,
        orders_waiting = status.orders_waiting,
        "status"
    );
    write_longest("status: longest uncovered", status.longest_uncovered.as_ref(), status.coverage.uncovered);
    if status.longest_without_line.is_empty() {
        write_longest("status: longest no line", None, status.coverage.without_line);
    }
    for longest in &status.longest_without_line {
        write_longest("status: longest no line", Some(longest), status.coverage.without_line);
    }
    info!(
        orders = status.orders,
        orders_rejected = status.orders_rejected,
        orders_forbidden,
        orders_overtaken,
        calls_retried = status.calls_retried,
        "status of orders"
    );
    info!(
        calls_delayed = status.calls_delayed,
        list_calls_repeated = status.list_calls_repeated,
        channel_lines_most = status.most_channel_lines.round(),
        "status of channel"
    );
    info!(
        collectors = status.collectors,
        unidentified = status.unidentified,
        clients_pending = status.clients_pending,
        closed_unanswered,
        connections,
        system_calls_retried,
        "status of clients"
    );
    info!(
        reports = status.reports,
        reports_malformed = status.reports_malformed,
        news_malformed = status.events_malformed,
        event_streams = status.event_streams,
        log_lines_dropped,
        "status of input"
    );
    info!(
        buffered_kib = buffered_bytes / BYTES_PER_KIB,
        closed_over_budget = status.closed_over_budget,
        "status of memory"
    );
}

/// Writes the last lines of a process: the longest time that a proxy had no line, and the work left undone.
pub fn write_end(status: &Status, violations: Violations) {
    let longest = status.longest_without_line.iter().max_by_key(|longest| longest.longest.gap.lasted);
    let longest_gap = longest.map(|longest| &longest.longest.gap);
    let (bare_longest_ms, bare_now) =
        (longest_gap.map_or(0, |longest_gap| millis(longest_gap.lasted)), status.coverage.without_line);
    let supply = longest_gap.map(|longest_gap| format!("{:?}", longest_gap.supply));
    let class = longest.map(|longest| sanitized_prefix(&longest.class, MAX_CLASS_CHARS));
    let over_limit = status.coverage.over_limit;
    info!(over_limit, bare_now, bare_longest_ms, class, supply, "ended");
    if violations.total() > 0 {
        let Violations { closed_unanswered, orders_dropped, orders_forbidden, orders_overtaken } = violations;
        warn!(
            closed_unanswered,
            orders_dropped, orders_forbidden, orders_overtaken, "ended with pending work"
        );
    } else {
        info!("ended with no pending work");
    }
}

/// Writes the longest time since the start. It is repeated with each status, since readers keep only the
/// beginning and the end of a log. `now`: the number of proxies and classes without a line now.
fn write_longest(kind: &str, longest: Option<&NamedLapse>, now: usize) {
    let longest_gap = longest.map(|longest| &longest.longest.gap);
    info!(
        now,
        longest_ms = longest_gap.map_or(0, |longest_gap| millis(longest_gap.lasted)),
        after_s = longest.map(|longest| millis(longest.since_start) / 1_000),
        proxy = longest_gap.map(|longest_gap| longest_gap.proxy.0),
        class = longest.map(|longest| sanitized_prefix(&longest.class, MAX_CLASS_CHARS)),
        waiting_for = longest_gap.map(|longest_gap| format!("{:?}", longest_gap.waiting_for)),
        supply = longest_gap.map(|longest_gap| format!("{:?}", longest_gap.supply)),
        "{kind}"
    );
}
