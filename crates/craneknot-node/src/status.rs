//! What an operator wants to know at a glance, and the lines that tell it: again and again while a coordinator runs, and
//! once as it ends.

use craneknot::interface::Nanos;
use tracing::{info, warn};

use crate::coverage::{CoverageFigures, LongestGap};
use crate::log_event::{beginning, millis};
use crate::pending::Violations;

const CLASS_MOST: usize = 11; // characters of a class's name in a status line, which has the most fields

/// What an operator wants to know at a glance.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Status {
    pub proxies: usize,
    pub servers: usize,
    pub collectors: usize,
    /// Clients that have not joined.
    pub unidentified: usize,
    /// Clients that something is owed to.
    pub clients_pending: usize,
    pub reports: u64,
    pub reports_malformed: u64,
    pub orders: u64,
    pub orders_waiting: usize,
    pub orders_rejected: u64,
    pub calls_retried: u64,
    pub event_streams: usize,
    /// News that were left out, since a field was absent, wrong or out of range.
    pub news_malformed: u64,
    pub violations: Violations,
    /// Proxies without a line to pick.
    pub coverage: CoverageFigures,
    /// The longest lack of a line since the start.
    pub worst: Option<NamedWorst>,
    /// The longest times without a line since the start: one for each supply of servers that was met meanwhile.
    pub worst_bare: Vec<NamedWorst>,
}

/// The longest lack, with what an operator calls its class, and the time since the start.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedWorst {
    pub worst: LongestGap,
    pub class: String,
    pub since_start: Nanos,
}

/// Figures of the process, beside those of the coordinator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessFigures {
    /// Connections that stand, dialled ones included.
    pub connections: usize,
    /// System calls that failed for a moment and were made again.
    pub system_calls_retried: u64,
    /// Log lines that were not written, since standard error did not take them.
    pub log_lines_dropped: u64,
}

/// The status lines: what may be broken first, then what is under way, then who is there.
pub fn write_status(status: &Status, process: ProcessFigures) {
    let ProcessFigures { connections, system_calls_retried, log_lines_dropped } = process;
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
    write_worst("status of the longest lack", status.worst.as_ref(), status.coverage.uncovered);
    if status.worst_bare.is_empty() {
        write_worst("status of the longest bare", None, status.coverage.without_line);
    }
    for worst in &status.worst_bare {
        write_worst("status of the longest bare", Some(worst), status.coverage.without_line);
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
        news_malformed = status.news_malformed,
        event_streams = status.event_streams,
        log_lines_dropped,
        "status of input"
    );
}

/// The last lines of a process: the longest that a proxy was without a line, and what is left undone.
pub fn write_end(status: &Status, violations: Violations) {
    let longest = status.worst_bare.iter().max_by_key(|worst| worst.worst.gap.lasted);
    let lapse = longest.map(|longest| &longest.worst.gap);
    let (bare_longest_ms, bare_now) =
        (lapse.map_or(0, |lapse| millis(lapse.lasted)), status.coverage.without_line);
    let supply = lapse.map(|lapse| format!("{:?}", lapse.supply));
    let class = longest.map(|longest| beginning(&longest.class, CLASS_MOST));
    let over_limit = status.coverage.over_limit;
    info!(over_limit, bare_now, bare_longest_ms, class, supply, "ended");
    if violations.total() > 0 {
        let Violations { closed_unanswered, orders_dropped, orders_forbidden, orders_overtaken } = violations;
        warn!(closed_unanswered, orders_dropped, orders_forbidden, orders_overtaken, "ended with this owed");
    } else {
        info!("ended with nothing owed");
    }
}

/// The longest since the start, in each status line anew: readers keep a log's beginning and end only. `now`: how many
/// proxies and classes are without a line now.
fn write_worst(kind: &str, worst: Option<&NamedWorst>, now: usize) {
    let lapse = worst.map(|worst| &worst.worst.gap);
    info!(
        now,
        longest_ms = lapse.map_or(0, |lapse| millis(lapse.lasted)),
        after_s = worst.map(|worst| millis(worst.since_start) / 1_000),
        proxy = lapse.map(|lapse| lapse.proxy.0),
        class = worst.map(|worst| beginning(&worst.class, CLASS_MOST)),
        waiting_for = lapse.map(|lapse| format!("{:?}", lapse.waiting_for)),
        supply = lapse.map(|lapse| format!("{:?}", lapse.supply)),
        "{kind}"
    );
}
