//! Parsing and encoding of the platform's messages: as documented, in fragments and malformed.

use craneknot::interface::*;
use craneknot_platform::config::Config;
use craneknot_platform::events::{Decoder, RelayEvent};
use craneknot_platform::messages::{self, Message, MessageError};
use craneknot_platform::relay::{self, Answer, Rejection};
use craneknot_platform::{discovery, probe};
use craneknot_settings::instance::InstanceNames;
use quickcheck::QuickCheck;
use serde_json::{json, Value};

fn configuration() -> Value {
    serde_json::from_str(include_str!("configuration.json")).unwrap()
}

fn config() -> Config {
    Config::parse(configuration().to_string().as_bytes()).unwrap()
}

#[test]
fn a_configuration_is_parsed_and_errors_name_the_field() {
    let config = config();
    assert_eq!((config.seed, config.socket_limit), (0x8c1f_30d2_7a5b_e964, 256));
    assert_eq!((config.settings.proxies, config.settings.classes.len()), (150, 2));
    assert_eq!(config.memory_limit, 64 * 1024 * 1024);
    let known = config.known_roster.unwrap();
    assert_eq!((known.revision, known.servers[0].0.started), (41, None));
    assert_eq!(known.servers[1].0.started, Some(Nanos::from_millis(1_700_000_000_000)));
    assert_eq!(known.servers[1].0.readiness, Readiness::Draining);
    for (pointer, bad, expected) in [
        ("/seed", json!("xyz"), "seed must be up to 16 hex digits"),
        ("/distributor/address", json!(7), "address must be text"),
        ("/settings/extra/bare", Value::Null, "setting extra.bare must be a number"),
        ("/limits/sockets", json!("many"), "sockets must be a whole number"),
        ("/limits/memory_mb", json!("much"), "memory_mb must be a number"),
    ] {
        let mut value = configuration();
        *value.pointer_mut(pointer).unwrap() = bad;
        let error = Config::parse(value.to_string().as_bytes()).err().unwrap();
        assert!(error.contains(expected), "{pointer}: {error}");
    }
}

/// With a list that the settings declare as pushed, discovery was never watched and the rule on drains was broken.
#[test]
fn discovery_is_watched_whatever_the_settings_say_about_the_list() {
    for (mode, within) in [("pushed", None), ("on_request", Some(10.0))] {
        let mut value = configuration();
        value["settings"]["registry-mode"] = mode.into();
        value["settings"]["rules"]["ask-within"] = within.into();
        let config = Config::parse(value.to_string().as_bytes()).unwrap();
        assert!(config.settings.list_on_request, "{mode}");
    }
}

/// The known list in the configuration is optional: discovery delivers the list anyway.
#[test]
fn a_malformed_entry_of_the_known_list_is_skipped_and_reported_with_its_index() {
    for (pointer, bad, text) in [
        ("/known/members/0/phase", json!("up"), "known: list: members[0]: list entry: phase must be SERVING"),
        ("/known/members/0/host_port", json!(7), "known: list: members[0]: list entry: host_port must be"),
        ("/known/members/0", json!([]), "known: list: members[0]: list entry: an object wanted"),
    ] {
        let mut value = configuration();
        *value.pointer_mut(pointer).unwrap() = bad;
        let config = Config::parse(value.to_string().as_bytes()).unwrap();
        let known = config.known_roster.unwrap();
        assert_eq!((known.servers.len(), &*known.servers[0].0.server.0), (1, "s-2"), "{pointer}");
        assert!(config.warnings.len() == 1 && config.warnings[0].starts_with(text), "{:?}", config.warnings);
    }
    for bad in [json!(7), json!({"revision": 41}), json!({"revision": 41, "complete": true, "members": [7]})]
    {
        let mut value = configuration();
        value["known"] = bad;
        let config = Config::parse(value.to_string().as_bytes()).unwrap();
        assert!(config.known_roster.is_none() && config.warnings.len() == 1, "{:?}", config.warnings);
    }
}

/// One entry that can't be parsed must not hide the changes of the others.
#[test]
fn a_malformed_entry_of_a_list_is_skipped() {
    let mut names = config().names;
    let entry = |id: &str, phase: Value| json!({"id": id, "host_port": "127.0.0.1:9", "locality": "a", "flavor": "m2", "phase": phase});
    let list = json!({"revision": 44, "complete": false,
        "members": [entry("s-1", json!("DRAINING")), entry("s-2", json!(7)), {"phase": "SERVING"}]});
    let roster = discovery::parse(list.to_string().as_bytes(), &mut names).unwrap();
    assert_eq!((roster.servers.len(), roster.revision), (1, 44));
    let ids: Vec<Option<&str>> =
        roster.malformed.iter().map(|(id, _)| id.as_ref().map(|id| &*id.0)).collect();
    assert_eq!(ids, [Some("s-2"), None]);
    let nothing = json!({"revision": 44, "complete": true, "members": [entry("s-1", json!(7))]});
    assert!(discovery::parse(nothing.to_string().as_bytes(), &mut names).is_err(), "no entry can be parsed");
}

fn parse(names: &InstanceNames, value: &Value) -> Result<Message, MessageError> {
    messages::parse(value.to_string().as_bytes(), names, 150)
}

/// Metrics have the names that the settings give them. When they were looked up by other names, the decisions had no
/// busy share of any server.
#[test]
fn load_reports_use_the_names_of_the_settings_or_of_the_documentation() {
    let names = config().names;
    for metrics in [json!({"busy": 0.92, "rif": 3.5, "lat_ms": 35.5}), json!({"util": 0.92, "inflight": 3.5})]
    {
        let line = json!({"type": "upstream_stats", "locality": "a", "endpoint": "s-1", "total": 212, "errors": 3,
                          "rtt": 41.7, "interval": 1000.0, "metrics": metrics});
        let Ok(Message::Report(event)) = parse(&names, &line) else { panic!("{line}") };
        let Event::TriesReported { zone, tries, unanswered, span, latency, report, .. } = event else {
            panic!("{line}")
        };
        assert_eq!((report.busy, report.in_flight), (Some(0.92), Some(3.5)));
        assert_eq!((tries, unanswered, zone), (212, 3, ZoneId(0)));
        assert_eq!((latency.0, span.secs()), (41_700_000, 1.0));
    }
    assert_eq!(probe::parse_report(b"TEXT inflight=7, queue=2, util=0.61", &names).busy, Some(0.61));
    assert_eq!(probe::parse_report(b"\xff nonsense", &names), LoadReport::default());
}

#[test]
fn invalid_lines_are_classified() {
    let names = config().names;
    let good = json!({"type": "client_stats", "node": 17, "route": "lookup", "total": 0, "errors": 2, "interval": 500.0});
    let demand = Event::Demand {
        proxy: ProxyId(17),
        class: ClassId(0),
        arrived: 0,
        unanswered: 2,
        span: Nanos::from_millis(500),
    };
    assert_eq!(parse(&names, &good), Ok(Message::Report(demand)), "abandoned in a later interval");
    for (key, bad) in [
        ("node", json!(150)),
        ("node", json!(-1)),
        ("node", Value::Null),
        ("route", json!("nowhere")),
        ("total", json!(1.5)),
        ("errors", json!("3")),
        ("interval", json!(1e30)),
        ("interval", json!(0)),
    ] {
        let mut line = good.clone();
        line[key] = bad;
        assert!(matches!(parse(&names, &line), Err(MessageError::Malformed(_))), "{line}");
    }
    assert_eq!(
        parse(&names, &json!({"type": "telemetry", "locality": "b"})),
        Ok(Message::Collector(ZoneId(1)))
    );
    let unexpected =
        [json!({"type": "telemetry", "locality": "z"}), json!({"type": "share"}), json!({"type": "attach"})];
    for line in unexpected {
        assert!(matches!(parse(&names, &line), Err(MessageError::Unexpected(_))), "{line}");
    }
    for line in ["", "GET / HTTP/1.1\r", "[1]", "{\"type\":7}", "{\"type\":\"hb\"", "\u{0}"] {
        assert!(
            matches!(messages::parse(line.as_bytes(), &names, 150), Err(MessageError::Corrupt(_))),
            "{line}"
        );
    }
}

#[test]
fn arbitrary_bytes_cause_no_panic() {
    fn parse_all(bytes: Vec<u8>) -> bool {
        let mut names = config().names;
        let _ = messages::parse(&bytes, &names, 150);
        let _ = relay::parse_answer(&bytes, 3);
        let _ = probe::parse_report(&bytes, &names);
        let _ = discovery::parse(&bytes, &mut names);
        let _ = Config::parse(&bytes);
        let _ = Decoder::default().decode(&bytes, &mut names, 150);
        true
    }
    QuickCheck::new().quickcheck(parse_all as fn(Vec<u8>) -> bool);
}

#[test]
fn orders_are_encoded_as_the_relay_expects_them() {
    let (names, table) = (config().names, TableId(4));
    let server = ServerId("s-5be2a07c".into());
    let both = ClassSet::of(ClassId(0)).with(ClassId(1));
    for (order, text) in [
        (Order::Line { table, server: server.clone(), weight: 1.5 }, "share,4,s-5be2a07c,1.5"),
        (Order::Bind { proxy: ProxyId(17), classes: both, table }, "bind,17,4,lookup+issue"),
        (
            Order::Level {
                table,
                classes: ClassSet::of(ClassId(0)),
                level: 0.9,
                retries: Retries::IfNotExecuted,
            },
            "admit,4,lookup,0.9,1",
        ),
        (Order::Mark { mark: 905 }, "mark,905,0"),
    ] {
        assert_eq!(relay::encode_order(&order, &names).as_deref(), Some(text));
    }
    assert_eq!(relay::encode_order(&Order::WatchList, &names), None);
    assert_eq!(relay::call_body(&["clear,4", "mark,1,0"]), "Action=ApplyOrders&ops=clear%2C4%3Bmark%2C1%2C0");
}

#[test]
fn implausible_answers_of_the_relay_are_rejected() {
    let xml = |count: &str| {
        let head = "<?xml version=\"1.0\"?>\n<Response><entries><item><ok_count>";
        format!("{head}{count}</ok_count></item></entries></Response>").into_bytes()
    };
    assert_eq!(relay::parse_answer(&xml("2"), 3), Ok(Answer::Accepted(2)));
    let throttled = b"<Response><Errors><Error><Code>throttled</Code></Error></Errors></Response>";
    assert_eq!(relay::parse_answer(throttled, 3), Ok(Answer::Rejected(Rejection::Throttled)));
    for bad in [&xml("4")[..], &xml("-1"), &xml("two"), b"", b"<Response>", b"{\"ok_count\":2}", b"<a></b>"] {
        assert!(relay::parse_answer(bad, 3).is_err(), "{}", String::from_utf8_lossy(bad));
    }
}

#[test]
fn events_are_decoded_wherever_their_bytes_are_split() {
    let text = "event: attach\ndata: node=17&locality=a&w=21.5&cold=1\n\n:\n\nevent: done\n\
                data: node=17&nonce=905&latency=310.4\n\nevent: later\ndata: x=1\n\nevent: detach\ndata: node=17\n\n";
    let expected = vec![
        RelayEvent::Joined { proxy: ProxyId(17), zone: ZoneId(0), usual_rate: 21.5 },
        RelayEvent::Applied { proxy: ProxyId(17), mark: 905 },
        RelayEvent::Left { proxy: ProxyId(17) },
    ];
    for size in 1..text.len() {
        let (mut decoder, mut names) = (Decoder::default(), config().names);
        let parts = text.as_bytes().chunks(size);
        let events: Vec<RelayEvent> =
            parts.flat_map(|part| decoder.decode(part, &mut names, 150).unwrap().events).collect();
        assert_eq!(events, expected, "parts of {size} bytes");
    }
    // An event with an invalid field is skipped and reported; those around it are decoded.
    let good = "event: detach\ndata: node=17\n\n";
    for bad in
        ["event: attach\ndata: node=150&locality=a&w=1\n\n", "event: attach\ndata: node=1&locality=a&w=x\n\n"]
    {
        let (mut decoder, mut names) = (Decoder::default(), config().names);
        let decoded = decoder.decode(format!("{good}{bad}{good}").as_bytes(), &mut names, 150).unwrap();
        assert_eq!(decoded.events, vec![RelayEvent::Left { proxy: ProxyId(17) }; 2], "{bad}");
        assert_eq!(decoded.malformed.len(), 1, "{bad}");
    }
    let (mut decoder, mut names) = (Decoder::default(), config().names);
    assert!(decoder.decode(b"event: \xff\n\n", &mut names, 150).is_err(), "not UTF-8: the stream ends");
}

/// Guards against parsed messages that take thirty times their text: a line of 1 MiB took 20 MB.
#[test]
fn a_message_with_very_many_values_is_malformed() {
    let names = config().names;
    let line = format!("{{\"type\":\"upstream_stats\",\"x\":[{}0]}}", "0,".repeat(500_000));
    let parsed = messages::parse(line.as_bytes(), &names, 150);
    assert!(matches!(parsed, Err(MessageError::Malformed(cause)) if cause.contains("too many values")));
}

/// The limit of memory may be a fraction or absent: what only sizes a budget must not keep a coordinator from starting.
#[test]
fn a_limit_of_memory_is_any_number_or_absent() {
    const MIB: usize = 1024 * 1024;
    for (memory, expected) in [
        (json!(192), 192 * MIB),
        (json!(0.5), 16 * MIB),
        (json!(32.5), 32 * MIB + MIB / 2),
        (Value::Null, 64 * MIB),
    ] {
        let mut value = configuration();
        value["limits"]["memory_mb"] = memory;
        assert_eq!(Config::parse(value.to_string().as_bytes()).unwrap().memory_limit, expected);
    }
}
