//! What an operator sees: log lines of bounded length and number, and reports of proxies without a line.

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};

use craneknot::interface::*;
use craneknot::{LoadState, ServerState, ServerTrigger, Transition};
use craneknot_node::clients::ClientId;
use craneknot_node::coverage::{
    Coverage, CoverageFigures, CoverageGap, LongestGap, NoLineWarning, Supply, WaitingFor,
};
use craneknot_node::log_event::{EventLog, LogEvent};
use craneknot_node::order_queue::OrderOutcome;
use craneknot_node::pending::Violations;
use craneknot_node::status::{write_end, write_status, NamedLapse, ProcessFigures, Status};
use craneknot_node::takeover::Takeover;
use tracing_subscriber::fmt::MakeWriter;

mod helpers;
use helpers::{config, ms};

const MAX_LINE_BYTES: usize = 250; // that an operator's log collector is certain to keep
const NO_LINE_LIMIT: u64 = 2_800; // ms; of the configuration: how long a proxy may have no line

/// A writer that keeps the log.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Lines;

    fn make_writer(&'a self) -> Lines {
        self.clone()
    }
}

/// The lines that are logged while `act` runs.
fn logged(is_json: bool, act: impl FnOnce()) -> Vec<String> {
    let lines = Lines::default();
    let log = tracing_subscriber::fmt().with_writer(lines.clone()).with_target(false).with_ansi(false);
    if is_json {
        tracing::subscriber::with_default(log.json().finish(), act);
    } else {
        tracing::subscriber::with_default(log.finish(), act);
    }
    let text = String::from_utf8(lines.0.lock().unwrap().clone()).unwrap();
    text.lines().map(str::to_owned).collect()
}

/// One event of each kind, with the longest possible values.
fn all_events() -> Vec<LogEvent> {
    let long = "\u{1}\"\\é".repeat(200);
    let server = || ServerId(long.as_str().into());
    let (proxy, table, span) = (ProxyId(u16::MAX), TableId(u16::MAX), Some(Nanos::from_millis(600_000)));
    let lapse = CoverageGap {
        proxy,
        class: ClassId(0),
        table: Some(table),
        waiting_for: WaitingFor::BindingRefused,
        supply: Supply::NoneListed,
        lasted: Nanos::from_millis(600_000),
    };
    let takeover = Takeover {
        proxies: 2_400,
        joined: 2_400,
        first_bind: span,
        last_bind: span,
        first_applied: span,
        last_applied: span,
        first_report: span,
        unbound: 2_400,
        lowest_level: Some(1.234567890123e-10),
    };
    vec![
        LogEvent::Note(long.clone()),
        LogEvent::Lapse { lapse, class: long.clone(), calls_failed: 10_000, orders_waiting: 1_000_000 },
        LogEvent::NoLineWarning {
            warning: NoLineWarning {
                class: ClassId(31),
                table: Some(table),
                proxy,
                proxies: 65_535,
                supply: Supply::NoneListed,
                ready: 65_535,
                cold: 65_535,
                ejected: 65_535,
            },
            class: long.clone(),
        },
        LogEvent::Takeover(takeover),
        LogEvent::ProxyJoined { proxy, zone: ZoneId(u16::MAX) },
        LogEvent::ProxyLeft { proxy },
        LogEvent::ProxyBound { proxy, table, classes: long.clone() },
        LogEvent::ListReceived { revision: u64::MAX, whole: false, changed: 1_000_000, listed: 1_000_000 },
        LogEvent::ServerListed { server: server(), readiness: Readiness::Draining, is_start_certain: false },
        LogEvent::WatchSilent { repeated_calls: u64::MAX },
        LogEvent::WatchFailed { cause: long.clone() },
        LogEvent::CallRetried { cause: long.clone(), failures: 10_000, orders_waiting: 1_000_000 },
        LogEvent::OrderRefused { order: long.clone(), cause: "it would break a rule" },
        LogEvent::StreamEnded { cause: long.clone(), streams: 4 },
        LogEvent::ClientRejected { client: ClientId(u64::MAX), cause: long.clone() },
        LogEvent::ClientClosed { client: ClientId(u64::MAX), cause: long.clone() },
        LogEvent::Decision(Transition::Server {
            server: server(),
            from: ServerState::Doubted,
            to: ServerState::Cold,
            trigger: ServerTrigger::Unlisted,
        }),
        LogEvent::Decision(Transition::Group {
            group: 1_000,
            from: LoadState::Shedding,
            to: LoadState::Shedding,
            limit: f64::MAX,
        }),
        LogEvent::Decision(Transition::TableEmptied { table }),
        LogEvent::Decision(Transition::TableFilled { table }),
    ]
}

#[test]
fn no_log_line_exceeds_the_length_limit() {
    let many = 100_000_000;
    let lapse = CoverageGap {
        proxy: ProxyId(u16::MAX),
        class: ClassId(31),
        table: Some(TableId(u16::MAX)),
        waiting_for: WaitingFor::BindingRefused,
        supply: Supply::NoneListed,
        lasted: Nanos::from_millis(100_000_000),
    };
    let worst = NamedLapse {
        longest: LongestGap { at: Nanos(u64::MAX), gap: lapse },
        class: "\u{1}\"\\é".repeat(200),
        since_start: Nanos::from_millis(10_000_000_000),
    };
    let status = Status {
        proxies: 65_535,
        servers: 65_535,
        collectors: 1_000,
        unidentified: 1_000,
        clients_pending: 1_000,
        reports: many,
        reports_malformed: many,
        closed_over_budget: many,
        orders: many,
        orders_waiting: 1_000_000,
        orders_rejected: 1_000_000,
        calls_retried: 1_000_000,
        calls_delayed: 1_000_000,
        list_calls_repeated: many,
        most_channel_lines: 1e6,
        event_streams: 4,
        events_malformed: many,
        violations: Violations {
            closed_unanswered: 1_000_000,
            orders_dropped: 1_000_000,
            orders_forbidden: 1_000_000,
            orders_overtaken: 1_000_000,
        },
        coverage: CoverageFigures {
            uncovered: 7_200,
            longest: Nanos::from_millis(600_000),
            over_limit: 100_000,
            without_line: 7_200,
        },
        longest_uncovered: Some(worst.clone()),
        longest_without_line: vec![worst],
    };
    for is_json in [false, true] {
        let mut log = EventLog::default();
        let lines = logged(is_json, || {
            let process = ProcessFigures {
                connections: 1_024,
                buffered_bytes: 1 << 40,
                system_calls_retried: many,
                log_lines_dropped: many,
            };
            write_status(&status, process);
            write_end(&status, status.violations);
            write_end(&status, Violations::default());
            all_events().iter().for_each(|event| assert!(log.write(event)));
        });
        assert_eq!(lines.len(), 8 + 4 + all_events().len(), "one line per event");
        for line in lines {
            assert!(line.len() <= MAX_LINE_BYTES, "{} bytes: {line}", line.len());
        }
    }
}

#[test]
fn many_events_of_one_kind_hide_no_other_and_are_counted() {
    let mut log = EventLog::default();
    let lines = logged(false, || {
        for proxy in 0..1_000 {
            log.write(&LogEvent::ProxyJoined { proxy: ProxyId(proxy), zone: ZoneId(0) });
        }
        assert!(log.write(&LogEvent::ProxyLeft { proxy: ProxyId(7) }));
        assert_eq!(log.reset().into_iter().collect::<Vec<_>>(), [("proxy joined", 960)]);
    });
    assert_eq!(lines.len(), 40 + 1 + 1, "forty, one of the other kind, and the count");
    assert!(lines.last().unwrap().contains("lines=960"), "{lines:?}");
    assert!(log.reset().is_empty());
}

#[test]
fn the_operators_page_lists_every_kind_of_event() {
    let page = include_str!("../../../docs/operate/platform.md");
    let kinds: BTreeSet<&str> = all_events().iter().map(LogEvent::kind).collect();
    let missing: Vec<&&str> = kinds.iter().filter(|kind| !page.contains(&format!("`{kind}`"))).collect();
    assert!(missing.is_empty(), "{missing:?}");
}

fn listing(name: &str, zone: u16, started: Option<u64>) -> Listing {
    Listing {
        server: ServerId(name.into()),
        zone: ZoneId(zone),
        kind: KindId(0),
        cell: CellId(0),
        weight: Some(1.0),
        started: started.map(ms),
        is_start_certain: true,
        readiness: Readiness::Ready,
    }
}

/// The configuration has two classes, the second of which may run in the first zone only.
fn coverage() -> Coverage {
    coverage_since(0)
}

/// The same, with a proxy that joins at this time.
fn coverage_since(joined: u64) -> Coverage {
    let mut coverage = Coverage::new(&config().settings);
    coverage.proxy_joined(ms(joined), ProxyId(1), ZoneId(1));
    coverage
}

fn line(server: &str, weight: f64) -> Order {
    Order::Line { table: TableId(4), server: ServerId(server.into()), weight }
}

const BIND: Order = Order::Bind { proxy: ProxyId(1), classes: ClassSet(3), table: TableId(4) };

#[test]
fn a_proxy_without_a_line_is_reported_with_the_step_that_it_waits_for() {
    let list = [listing("a-1", 0, None), listing("b-1", 1, None)];
    let mut coverage = coverage();
    coverage.ordered(&BIND);
    coverage.order_finished(&BIND, OrderOutcome::Refused);
    let refused = coverage.evaluate(ms(NO_LINE_LIMIT + 200), list.iter());
    assert!(refused.iter().all(|lapse| lapse.waiting_for == WaitingFor::BindingRefused), "{refused:?}");
    assert_eq!(refused.len(), 2);
    let steps: [(&[Order], &[Order], WaitingFor); 4] = [
        (&[], &[], WaitingFor::Binding),
        (&[BIND], &[], WaitingFor::BindingTaken),
        (&[BIND], &[BIND], WaitingFor::Line),
        (&[line("a-1", 1.0), BIND], &[BIND], WaitingFor::LineTaken),
    ];
    for (ordered, taken, waiting_for) in steps {
        let mut coverage = coverage_since(0);
        ordered.iter().for_each(|order| coverage.ordered(order));
        taken.iter().for_each(|order| coverage.order_finished(order, OrderOutcome::Taken));
        assert!(coverage.evaluate(ms(NO_LINE_LIMIT), list.iter()).is_empty(), "{waiting_for:?}: not yet");
        let lapses = coverage.evaluate(ms(NO_LINE_LIMIT + 200), list.iter());
        assert_eq!(lapses.len(), 2, "both classes");
        assert!(lapses.iter().all(|lapse| lapse.waiting_for == waiting_for), "{waiting_for:?}: {lapses:?}");
        assert!(coverage.evaluate(ms(NO_LINE_LIMIT + 400), list.iter()).is_empty(), "reported once");
        let figures = coverage.figures();
        assert_eq!((figures.uncovered, figures.over_limit), (2, 2));
        assert_eq!(figures.longest, ms(NO_LINE_LIMIT + 400));
    }
}

#[test]
fn a_line_counts_where_its_server_is_ready_and_open_to_the_class() {
    let mut coverage = coverage_since(40_000);
    for order in [line("a-1", 1.0), line("b-1", 1.0), BIND] {
        coverage.ordered(&order);
        coverage.order_finished(&order, OrderOutcome::Taken);
    }
    let draining = |mut entry: Listing| {
        entry.readiness = Readiness::Draining;
        entry
    };
    let list = [draining(listing("a-1", 0, None)), listing("a-2", 0, None), listing("b-1", 1, None)];
    coverage.evaluate(ms(40_000), list.iter());
    // The first class has a line to the server of the second zone; the second class has only one to a
    // draining server.
    assert_eq!(coverage.figures().uncovered, 1);
    let lapses = coverage.evaluate(ms(40_000 + NO_LINE_LIMIT + 100), list.iter());
    let reported: Vec<_> = lapses.iter().map(|lapse| (lapse.class, lapse.waiting_for)).collect();
    assert_eq!(reported, [(ClassId(1), WaitingFor::UsableServer)]);
    // A line to a cold server counts.
    let list = [listing("a-1", 0, Some(42_000)), listing("a-2", 0, None), listing("b-1", 1, None)];
    coverage.evaluate(ms(43_000), list.iter());
    assert_eq!(coverage.figures().uncovered, 0);
    // No warm server is listed that the second class may use, so it does not count as uncovered.
    coverage.order_finished(&line("a-1", 0.0), OrderOutcome::Taken);
    let cold = [listing("a-1", 0, Some(42_000)), listing("b-1", 1, None)];
    coverage.evaluate(ms(44_000), cold.iter());
    assert_eq!(coverage.figures().uncovered, 0);
    coverage.evaluate(ms(45_000), list.iter());
    assert_eq!(coverage.figures().uncovered, 1, "from now on, and not from when the line was removed");
    assert_eq!(coverage.figures().longest, ms(NO_LINE_LIMIT + 100));
}

#[test]
fn a_proxy_that_has_left_is_not_uncovered() {
    let list = [listing("a-1", 0, None)];
    let mut coverage = coverage();
    coverage.evaluate(ms(100), list.iter());
    coverage.proxy_left(ProxyId(1));
    assert!(coverage.evaluate(ms(NO_LINE_LIMIT + 1_000), list.iter()).is_empty());
    let figures = coverage.figures();
    assert_eq!((figures.uncovered, figures.without_line, figures.longest), (0, 0, ms(100)));
}

/// A line that the relay has refused does not count, and the proxy waits for it as if it had not been
/// ordered.
#[test]
fn a_refused_line_does_not_count() {
    let list = [listing("a-1", 0, None)];
    let mut coverage = coverage();
    coverage.order_finished(&BIND, OrderOutcome::Taken);
    coverage.ordered(&line("a-1", 1.0));
    coverage.order_finished(&line("a-1", 1.0), OrderOutcome::Refused);
    let lapses = coverage.evaluate(ms(NO_LINE_LIMIT + 200), list.iter());
    assert_eq!(lapses.len(), 2);
    assert!(lapses.iter().all(|lapse| lapse.waiting_for == WaitingFor::Line), "{lapses:?}");
}

/// A line counts only if the settings let the class use the server, by kind and by the proxy's own zone.
#[test]
fn a_line_to_a_server_that_the_class_may_not_use_does_not_count() {
    let mut settings = config().settings;
    settings.classes[0].only_kinds = vec![KindId(1)];
    (settings.classes[1].home_only, settings.classes[1].only_zones) = (true, Vec::new());
    let mut coverage = Coverage::new(&settings);
    coverage.proxy_joined(ms(0), ProxyId(1), ZoneId(1));
    for order in [line("a-1", 1.0), line("removed", 1.0), BIND] {
        coverage.order_finished(&order, OrderOutcome::Taken);
    }
    let of_kind = |name: &str, kind: u16| Listing { kind: KindId(kind), ..listing(name, 1, None) };
    // The line is to a server of the wrong kind and zone; a server that both classes may use is listed.
    let list = [listing("a-1", 0, None), of_kind("b-1", 1)];
    let lapses = coverage.evaluate(ms(NO_LINE_LIMIT + 200), list.iter());
    let reported: Vec<_> = lapses.iter().map(|lapse| (lapse.class, lapse.waiting_for)).collect();
    assert_eq!(reported, [(ClassId(0), WaitingFor::UsableServer), (ClassId(1), WaitingFor::UsableServer)]);
    assert!(coverage.evaluate(ms(NO_LINE_LIMIT + 400), list.iter()).is_empty(), "reported once");
    coverage.order_finished(&line("b-1", 1.0), OrderOutcome::Taken);
    coverage.evaluate(ms(NO_LINE_LIMIT + 600), list.iter());
    assert_eq!(coverage.figures().uncovered, 0);
}

/// A time without a line that equals the limit of the settings is within it.
#[test]
fn exactly_the_limit_without_a_line_is_within_it() {
    let list = [listing("a-1", 0, None)];
    let mut coverage = coverage();
    assert!(coverage.evaluate(ms(NO_LINE_LIMIT), list.iter()).is_empty());
    assert!(
        coverage.evaluate(ms(NO_LINE_LIMIT + 99), list.iter()).is_empty(),
        "it is evaluated every 100 ms"
    );
    assert_eq!(coverage.evaluate(ms(NO_LINE_LIMIT + 100), list.iter()).len(), 2);
}

/// While all servers are cold no proxy is uncovered by the platform's rule, but one without a line still
/// refuses operations.
#[test]
fn a_proxy_without_a_line_among_cold_servers_is_counted() {
    let mut coverage = coverage_since(1_000);
    let list = [listing("a-1", 0, Some(500)), listing("b-1", 1, Some(500))];
    coverage.evaluate(ms(2_000), list.iter());
    coverage.evaluate(ms(6_000), list.iter());
    let figures = coverage.figures();
    assert_eq!((figures.uncovered, figures.over_limit, figures.without_line), (0, 0, 2));
    let worst = &coverage.longest_without_line()[&Supply::AllCold];
    assert_eq!((worst.at, worst.gap.lasted), (ms(6_000), ms(5_000)), "since it joined");
    assert_eq!(coverage.longest_gap(), None);
    for order in [line("b-1", 1.0), BIND] {
        coverage.ordered(&order);
        coverage.order_finished(&order, OrderOutcome::Taken);
    }
    coverage.evaluate(ms(6_100), list.iter());
    assert_eq!(
        coverage.figures().without_line,
        1,
        "a line to a cold server counts; the second class may not use it"
    );
    let none: [Listing; 0] = [];
    coverage.evaluate(ms(6_200), none.iter());
    assert_eq!(coverage.figures().without_line, 0, "no server is listed");
    coverage.evaluate(ms(6_300), list.iter());
    coverage.restart_gaps(ms(6_350));
    coverage.evaluate(ms(6_400), list.iter());
    assert_eq!(coverage.figures().without_line, 1);
    assert_eq!(
        coverage.longest_without_line()[&Supply::AllCold].gap.lasted,
        ms(5_100),
        "the longest is kept"
    );
}

#[test]
fn the_longest_time_without_a_line_is_kept_by_supply() {
    let mut coverage = coverage_since(0);
    let warm = [listing("a-1", 0, None)];
    let cold = [listing("a-1", 0, Some(500))];
    let none: [Listing; 0] = [];
    coverage.evaluate(ms(200), cold.iter());
    coverage.evaluate(ms(1_300), cold.iter());
    assert!(coverage.take_warnings().is_empty(), "less than half of the limit");
    coverage.evaluate(ms(1_500), cold.iter());
    let warnings = coverage.take_warnings();
    let reported: Vec<_> =
        warnings.iter().map(|warning| (warning.class, warning.proxies, warning.cold)).collect();
    assert_eq!(reported, [(ClassId(0), 1, 1), (ClassId(1), 1, 1)]);
    assert!(warnings.iter().all(|warning| warning.supply == Supply::AllCold && warning.ready == 1));
    coverage.evaluate(ms(1_700), cold.iter());
    assert!(coverage.take_warnings().is_empty(), "reported once");
    coverage.set_ejected(&warm[0].server, true);
    coverage.evaluate(ms(2_000), warm.iter());
    coverage.set_ejected(&warm[0].server, false);
    coverage.evaluate(ms(2_100), warm.iter());
    coverage.evaluate(ms(2_200), none.iter());
    coverage.evaluate(ms(2_900), none.iter());
    let lasted = |supply| coverage.longest_without_line()[&supply].gap.lasted;
    assert_eq!(lasted(Supply::AllCold), ms(1_700));
    assert_eq!(lasted(Supply::AllOut), ms(2_000));
    assert_eq!(lasted(Supply::Usable), ms(2_100));
    assert_eq!(lasted(Supply::NoneListed), ms(700), "from when none was listed");
}

/// Time during which the relay accepts no orders from any coordinator does not count.
#[test]
fn time_while_the_relay_accepts_no_calls_does_not_count() {
    let list = [listing("a-1", 0, Some(500))];
    let mut coverage = coverage_since(1_000);
    coverage.evaluate(ms(1_100), list.iter());
    coverage.restart_gaps(ms(9_000));
    coverage.evaluate(ms(9_050), list.iter());
    assert_eq!(coverage.longest_without_line()[&Supply::AllCold].gap.lasted, ms(100));
}

/// Readers keep only the beginning and the end of a log: each status must contain the longest time, with
/// proxy and time.
#[test]
fn each_status_repeats_the_longest_uncovered_time_since_the_start() {
    let list = [listing("a-1", 0, None)];
    let mut coverage = coverage_since(1_000);
    coverage.evaluate(ms(2_500), list.iter());
    let worst = coverage.longest_gap().cloned().unwrap();
    assert_eq!((worst.at, worst.gap.lasted, worst.gap.proxy), (ms(2_500), ms(1_500), ProxyId(1)));
    assert_eq!(worst.gap.waiting_for, WaitingFor::Binding);
    for order in [line("a-1", 1.0), BIND] {
        coverage.ordered(&order);
        coverage.order_finished(&order, OrderOutcome::Taken);
    }
    coverage.evaluate(ms(3_000), list.iter());
    coverage.proxy_joined(ms(3_000), ProxyId(2), ZoneId(0));
    coverage.evaluate(ms(4_000), list.iter());
    assert_eq!(coverage.longest_gap(), Some(&worst), "a shorter one does not replace it");
    assert_eq!(coverage.figures().longest, ms(1_500));
    let named = NamedLapse { longest: worst, class: "lookup".into(), since_start: ms(2_500) };
    let status = Status { longest_uncovered: Some(named), ..Status::default() };
    for _ in 0..2 {
        let lines = logged(false, || write_status(&status, ProcessFigures::default()));
        let line = lines.iter().find(|line| line.contains("status: longest uncovered")).unwrap();
        for field in
            ["longest_ms=1500", "after_s=2", "proxy=1", "class=\"lookup\"", "waiting_for=\"Binding\""]
        {
            assert!(line.contains(field), "{field}: {line}");
        }
    }
}

/// A server of unknown age may be warm.
#[test]
fn a_server_of_unknown_age_counts_as_usable() {
    let mut coverage = coverage_since(0);
    let mut list = [listing("a-1", 0, Some(0))];
    coverage.evaluate(ms(100), list.iter());
    assert_eq!(coverage.figures().uncovered, 0, "it is certainly cold");
    list[0].is_start_certain = false;
    coverage.evaluate(ms(300), list.iter());
    assert_eq!(coverage.figures().uncovered, 2);
}

#[test]
fn a_refused_order_leaves_the_earlier_state() {
    let mut coverage = coverage();
    let list = [listing("a-1", 0, None)];
    for order in [line("a-1", 1.0), BIND] {
        coverage.order_finished(&order, OrderOutcome::Taken);
    }
    let elsewhere = Order::Bind { proxy: ProxyId(1), classes: ClassSet(3), table: TableId(9) };
    for order in [line("a-1", 0.0), elsewhere] {
        coverage.ordered(&order);
        coverage.order_finished(&order, OrderOutcome::Refused);
    }
    coverage.evaluate(ms(100), list.iter());
    assert_eq!(coverage.figures().uncovered, 0);
    coverage.proxy_left(ProxyId(1));
    coverage.proxy_joined(ms(200), ProxyId(1), ZoneId(1));
    coverage.evaluate(ms(300), list.iter());
    assert_eq!(coverage.figures().uncovered, 2, "a binding ends with the proxy's stream");
}
