//! What the coordinator logs: one event a line, its fields typed, the telling ones first, and no line longer than an
//! operator's collector keeps. A storm of one kind of event is cut off and counted, so that it hides no other.

use std::collections::BTreeMap;

use craneknot::interface::{Nanos, ProxyId, Readiness, ServerId, TableId, ZoneId};
use craneknot::{Sign, State, Transition};
use tracing::{info, warn};

use crate::clients::ClientId;
use crate::coverage::{CoverageGap, NoLineWarning};
use crate::takeover::Takeover;

const LINES_MOST: u32 = 40; // of one kind between two status lines: enough to see how it began
const TEXT_MOST: usize = 100; // characters of a text that came from outside: a line is kept to some 250
const NAME_MOST: usize = 18; // characters of a name beside which there are many fields

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub enum LogEvent {
    /// What has no kind of its own.
    Note(String),
    /// A proxy has lacked a line for longer than the settings allow.
    Lapse {
        lapse: CoverageGap,
        class: String,
        calls_failed: u32,
        orders_waiting: usize,
    },
    /// Proxies have had no line for half of what the settings allow, though servers are listed.
    Bare {
        warning: NoLineWarning,
        class: String,
    },
    /// Many proxies came at once, some seconds ago.
    Takeover(Takeover),
    ProxyJoined {
        proxy: ProxyId,
        zone: ZoneId,
    },
    ProxyLeft {
        proxy: ProxyId,
    },
    /// The relay has taken a binding.
    ProxyBound {
        proxy: ProxyId,
        table: TableId,
        classes: String,
    },
    /// A list was taken in, so many servers of which are new or have changed.
    ListTaken {
        revision: u64,
        whole: bool,
        changed: usize,
        listed: usize,
    },
    /// The list tells another readiness of a server, or another start.
    ServerListed {
        server: ServerId,
        readiness: Readiness,
        is_start_certain: bool,
    },
    /// Discovery can't be followed for the moment.
    WatchFailed {
        cause: String,
    },
    /// A call to the relay came to nothing and is made again.
    CallRetried {
        cause: String,
        failures: u32,
        orders_waiting: usize,
    },
    /// The relay can't use an order, looked at twice, or a guard held it back.
    OrderRefused {
        order: String,
        cause: &'static str,
    },
    /// A stream of the relay's news has ended.
    StreamEnded {
        cause: String,
        streams: usize,
    },
    /// A client was told why it is turned away.
    ClientRejected {
        client: ClientId,
        cause: String,
    },
    /// A client's connection was closed by us.
    ClientClosed {
        client: ClientId,
        cause: String,
    },
    /// The decisions have changed the state of something.
    Decision(Transition),
}

/// The beginning of a text from outside, in signs that no form of the log has to escape.
pub(crate) fn beginning(text: &str, most: usize) -> String {
    let plain = |sign: char| (sign == ' ' || sign.is_ascii_graphic()) && !matches!(sign, '"' | '\\');
    text.chars().take(most).map(|sign| if plain(sign) { sign } else { '?' }).collect()
}

/// A text from outside, so that its line is kept whole.
pub fn cut(text: &str) -> String {
    beginning(text, TEXT_MOST)
}

/// A name from outside, where many fields stand beside it.
fn cut_name(name: &str) -> String {
    beginning(name, NAME_MOST)
}

pub(crate) fn millis(span: Nanos) -> u64 {
    span.0 / 1_000_000
}

impl LogEvent {
    /// Its kind, for the count of what was left out.
    pub fn kind(&self) -> &'static str {
        match self {
            LogEvent::Note(_) => "note",
            LogEvent::Lapse { .. } => "no line to pick",
            LogEvent::Bare { .. } => "bare for half the limit",
            LogEvent::Takeover(_) => "proxies were taken over",
            LogEvent::ProxyJoined { .. } => "proxy joined",
            LogEvent::ProxyLeft { .. } => "proxy left",
            LogEvent::ProxyBound { .. } => "proxy bound",
            LogEvent::ListTaken { .. } => "list taken",
            LogEvent::ServerListed { .. } => "server listed",
            LogEvent::WatchFailed { .. } => "the list can't be followed",
            LogEvent::CallRetried { .. } => "call made again",
            LogEvent::OrderRefused { .. } => "order refused",
            LogEvent::StreamEnded { .. } => "a stream of news has ended",
            LogEvent::ClientRejected { .. } => "client turned away",
            LogEvent::ClientClosed { .. } => "client closed",
            LogEvent::Decision(Transition::Server { .. }) => "server state",
            LogEvent::Decision(Transition::Group { .. }) => "group load",
            LogEvent::Decision(Transition::TableEmptied { .. }) => "table emptied",
            LogEvent::Decision(Transition::TableFilled { .. }) => "table filled",
        }
    }

    /// Writes its line.
    fn write(&self) {
        let kind = self.kind();
        match self {
            LogEvent::Note(text) => warn!("{}", cut(text)),
            LogEvent::Lapse { lapse, class, calls_failed, orders_waiting } => warn!(
                proxy = lapse.proxy.0, class = cut_name(class), waiting_for = ?lapse.waiting_for,
                lasted_ms = millis(lapse.lasted),
                table = lapse.table.map(|table| table.0), calls_failed, orders_waiting, "{kind}"
            ),
            LogEvent::Bare { warning, class } => warn!(
                class = cut_name(class), supply = ?warning.supply, proxies = warning.proxies,
                proxy = warning.proxy.0, table = warning.table.map(|table| table.0), ready = warning.ready,
                cold = warning.cold, shut_out = warning.ejected, "{kind}"
            ),
            LogEvent::Takeover(takeover) => write_takeover(takeover, kind),
            LogEvent::ProxyJoined { proxy, zone } => info!(proxy = proxy.0, zone = zone.0, "{kind}"),
            LogEvent::ProxyLeft { proxy } => info!(proxy = proxy.0, "{kind}"),
            LogEvent::ProxyBound { proxy, table, classes } => {
                info!(proxy = proxy.0, table = table.0, classes = cut(classes), "{kind}");
            }
            LogEvent::ListTaken { revision, whole, changed, listed } => {
                info!(revision, whole, changed, listed, "{kind}");
            }
            LogEvent::ServerListed { server, readiness, is_start_certain } => {
                info!(server = cut_name(&server.0), ?readiness, is_start_certain, "{kind}");
            }
            LogEvent::WatchFailed { cause } => warn!(cause = cut(cause), "{kind}"),
            LogEvent::CallRetried { cause, failures, orders_waiting } => {
                warn!(cause = cut(cause), failures, orders_waiting, "{kind}");
            }
            LogEvent::OrderRefused { order, cause } => warn!(order = cut(order), cause, "{kind}"),
            LogEvent::StreamEnded { cause, streams } => warn!(cause = cut(cause), streams, "{kind}"),
            LogEvent::ClientRejected { client, cause } | LogEvent::ClientClosed { client, cause } => {
                info!(client = client.0, cause = cut(cause), "{kind}");
            }
            LogEvent::Decision(Transition::Server { server, from, to, sign }) => {
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

fn write_server_state(server: &ServerId, from: State, to: State, sign: Sign, kind: &str) {
    info!(server = cut_name(&server.0), ?from, ?to, ?sign, "{kind}");
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

/// Writes events, up to so many of a kind between two status lines.
#[derive(Debug, Default)]
pub struct EventLog {
    written: BTreeMap<&'static str, u32>,
}

impl EventLog {
    /// Writes an event, or counts it as left out; false: it was left out.
    pub fn write(&mut self, event: &LogEvent) -> bool {
        let written = self.written.entry(event.kind()).or_default();
        *written += 1;
        let is_kept = *written <= LINES_MOST;
        if is_kept {
            event.write();
        }
        is_kept
    }

    /// Begins anew; tells how many of each kind were left out.
    pub fn begin_anew(&mut self) -> BTreeMap<&'static str, u32> {
        let written = std::mem::take(&mut self.written);
        let left_out = written.into_iter().filter(|(_, count)| *count > LINES_MOST);
        let left_out: BTreeMap<_, _> = left_out.map(|(kind, count)| (kind, count - LINES_MOST)).collect();
        for (kind, lines) in &left_out {
            info!(lines, kind, "left out of the log");
        }
        left_out
    }
}
