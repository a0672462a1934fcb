//! The coordinator's log events. Each is one line with typed fields, the most important ones first, and no
//! line is longer than an operator's log collector keeps. Many events of one kind are suppressed and counted,
//! so that they don't hide the other kinds.

use std::collections::BTreeMap;

use craneknot::interface::{Nanos, ProxyId, Readiness, ServerId, TableId, ZoneId};
use craneknot::{ServerState, ServerTrigger, Transition};
use tracing::{info, warn};

use crate::clients::ClientId;
use crate::coverage::{CoverageGap, NoLineWarning};
use crate::takeover::Takeover;

const MAX_LINES_PER_KIND: u32 = 40; // between two status lines: enough to see how a burst began
const MAX_TEXT_CHARS: usize = 100; // of an external text: a line is limited to some 250 bytes
const MAX_NAME_CHARS: usize = 18; // of a name in a line with many fields

#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// An event without a kind of its own.
    Note(String),
    /// A proxy has had no usable line for longer than the settings allow.
    Lapse {
        lapse: CoverageGap,
        class: String,
        calls_failed: u32,
        orders_waiting: usize,
    },
    /// Proxies have had no usable line for half of the time that the settings allow, though servers are
    /// listed.
    NoLineWarning {
        warning: NoLineWarning,
        class: String,
    },
    /// Many proxies joined at once some seconds ago.
    Takeover(Takeover),
    ProxyJoined {
        proxy: ProxyId,
        zone: ZoneId,
    },
    ProxyLeft {
        proxy: ProxyId,
    },
    /// The relay has accepted a binding.
    ProxyBound {
        proxy: ProxyId,
        table: TableId,
        classes: String,
    },
    /// A list was received; `changed`: servers that are new or have changed.
    ListReceived {
        revision: u64,
        whole: bool,
        changed: usize,
        listed: usize,
    },
    /// A server is new in the list, or its entry has changed.
    ServerListed {
        server: ServerId,
        readiness: Readiness,
        is_start_certain: bool,
    },
    /// The watch on discovery's list has failed; it is retried.
    WatchFailed {
        cause: String,
    },
    /// Discovery leaves a call unanswered, and is asked again beside it.
    WatchSilent {
        /// Number of such calls since the start.
        repeated_calls: u64,
    },
    /// A call to the relay failed and is retried.
    CallRetried {
        cause: String,
        failures: u32,
        orders_waiting: usize,
    },
    /// The relay has rejected an order twice, or a rule check has blocked it.
    OrderRefused {
        order: String,
        cause: &'static str,
    },
    /// An event stream of the relay has ended.
    StreamEnded {
        cause: String,
        streams: usize,
    },
    /// A client was rejected and received the reason.
    ClientRejected {
        client: ClientId,
        cause: String,
    },
    /// The coordinator has closed a client's connection.
    ClientClosed {
        client: ClientId,
        cause: String,
    },
    /// The controller has changed the state of a server, a group or a table.
    Decision(Transition),
}

/// The first characters of an external text, with those replaced that a log format would escape.
pub(crate) fn sanitized_prefix(text: &str, limit: usize) -> String {
    let is_plain = |c: char| (c == ' ' || c.is_ascii_graphic()) && !matches!(c, '"' | '\\');
    text.chars().take(limit).map(|c| if is_plain(c) { c } else { '?' }).collect()
}

/// Shortens an external text so that its log line stays within the length limit.
pub fn sanitize(text: &str) -> String {
    sanitized_prefix(text, MAX_TEXT_CHARS)
}

/// Shortens an external name in a line with many fields.
fn sanitize_name(name: &str) -> String {
    sanitized_prefix(name, MAX_NAME_CHARS)
}

pub(crate) fn millis(span: Nanos) -> u64 {
    span.0 / 1_000_000
}

impl LogEvent {
    /// Its kind, which is the message of its line and the key for counting suppressed lines.
    pub fn kind(&self) -> &'static str {
        match self {
            LogEvent::Note(_) => "note",
            LogEvent::Lapse { .. } => "no usable line",
            LogEvent::NoLineWarning { .. } => "no line for half the limit",
            LogEvent::Takeover(_) => "proxies taken over",
            LogEvent::ProxyJoined { .. } => "proxy joined",
            LogEvent::ProxyLeft { .. } => "proxy left",
            LogEvent::ProxyBound { .. } => "proxy bound",
            LogEvent::ListReceived { .. } => "list received",
            LogEvent::ServerListed { .. } => "server listed",
            LogEvent::WatchFailed { .. } => "discovery watch failed",
            LogEvent::WatchSilent { .. } => "discovery watch silent",
            LogEvent::CallRetried { .. } => "call retried",
            LogEvent::OrderRefused { .. } => "order refused",
            LogEvent::StreamEnded { .. } => "event stream ended",
            LogEvent::ClientRejected { .. } => "client rejected",
            LogEvent::ClientClosed { .. } => "client closed",
            LogEvent::Decision(Transition::Server { .. }) => "server state",
            LogEvent::Decision(Transition::Group { .. }) => "group load",
            LogEvent::Decision(Transition::TableEmptied { .. }) => "table emptied",
            LogEvent::Decision(Transition::TableFilled { .. }) => "table filled",
        }
    }

    fn write(&self) {
        let kind = self.kind();
        match self {
            LogEvent::Note(text) => warn!("{}", sanitize(text)),
            LogEvent::Lapse { lapse, class, calls_failed, orders_waiting } => warn!(
                proxy = lapse.proxy.0, class = sanitize_name(class), waiting_for = ?lapse.waiting_for,
                lasted_ms = millis(lapse.lasted),
                table = lapse.table.map(|table| table.0), calls_failed, orders_waiting, "{kind}"
            ),
            LogEvent::NoLineWarning { warning, class } => warn!(
                class = sanitize_name(class), supply = ?warning.supply, proxies = warning.proxies,
                proxy = warning.proxy.0, table = warning.table.map(|table| table.0), ready = warning.ready,
                cold = warning.cold, shut_out = warning.ejected, "{kind}"
            ),
            LogEvent::Takeover(takeover) => write_takeover(takeover, kind),
            LogEvent::ProxyJoined { proxy, zone } => info!(proxy = proxy.0, zone = zone.0, "{kind}"),
            LogEvent::ProxyLeft { proxy } => info!(proxy = proxy.0, "{kind}"),
            LogEvent::ProxyBound { proxy, table, classes } => {
                info!(proxy = proxy.0, table = table.0, classes = sanitize(classes), "{kind}");
            }
            LogEvent::ListReceived { revision, whole, changed, listed } => {
                info!(revision, whole, changed, listed, "{kind}");
            }
            LogEvent::ServerListed { server, readiness, is_start_certain } => {
                info!(server = sanitize_name(&server.0), ?readiness, is_start_certain, "{kind}");
            }
            LogEvent::WatchFailed { cause } => warn!(cause = sanitize(cause), "{kind}"),
            LogEvent::WatchSilent { repeated_calls } => warn!(repeated_calls, "{kind}"),
            LogEvent::CallRetried { cause, failures, orders_waiting } => {
                warn!(cause = sanitize(cause), failures, orders_waiting, "{kind}");
            }
            LogEvent::OrderRefused { order, cause } => warn!(order = sanitize(order), cause, "{kind}"),
            LogEvent::StreamEnded { cause, streams } => warn!(cause = sanitize(cause), streams, "{kind}"),
            LogEvent::ClientRejected { client, cause } | LogEvent::ClientClosed { client, cause } => {
                info!(client = client.0, cause = sanitize(cause), "{kind}");
            }
            LogEvent::Decision(Transition::Server { server, from, to, trigger: sign }) => {
                write_server_state(server, *from, *to, *sign, kind);
            }
            LogEvent::Decision(Transition::Group { group, from, to, limit }) => {
                info!(group, ?from, ?to, limit = (limit * 10.0).round() / 10.0, "{kind}");
            }
            LogEvent::Decision(Transition::TableEmptied { table }) => warn!(table = table.0, "{kind}"),
            LogEvent::Decision(Transition::TableFilled { table }) => info!(table = table.0, "{kind}"),
        }
    }
}

fn write_server_state(
    server: &ServerId,
    from: ServerState,
    to: ServerState,
    sign: ServerTrigger,
    kind: &str,
) {
    info!(server = sanitize_name(&server.0), ?from, ?to, ?sign, "{kind}");
}

fn write_takeover(takeover: &Takeover, kind: &str) {
    info!(
        proxies = takeover.proxies,
        joined = takeover.joined,
        unbound = takeover.unbound,
        lowest_level = takeover.lowest_level.map(|level| format!("{level:.2e}")),
        last_bind_ms = takeover.last_bind.map(millis),
        first_report_ms = takeover.first_report.map(millis),
        last_applied_ms = takeover.last_applied.map(millis),
        "{kind}"
    );
}

/// Writes events, up to a limit of each kind between two status lines.
#[derive(Debug, Default)]
pub struct EventLog {
    written: BTreeMap<&'static str, u32>,
}

impl EventLog {
    /// Writes an event, or counts it as suppressed; false: it was suppressed.
    pub fn write(&mut self, event: &LogEvent) -> bool {
        let written = self.written.entry(event.kind()).or_default();
        *written += 1;
        let is_within_limit = *written <= MAX_LINES_PER_KIND;
        if is_within_limit {
            event.write();
        }
        is_within_limit
    }

    /// Resets the limits, and logs and returns how many lines of each kind were suppressed.
    pub fn reset(&mut self) -> BTreeMap<&'static str, u32> {
        let written = std::mem::take(&mut self.written);
        let suppressed = written.into_iter().filter(|(_, count)| *count > MAX_LINES_PER_KIND);
        let suppressed: BTreeMap<_, _> =
            suppressed.map(|(kind, count)| (kind, count - MAX_LINES_PER_KIND)).collect();
        for (kind, lines) in &suppressed {
            info!(lines, kind, "log lines suppressed");
        }
        suppressed
    }
}
