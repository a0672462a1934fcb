//! Following discovery's list.

use craneknot_node::link::{LinkAction, LinkId, LinkIds};
use craneknot_node::list_watch::ListWatch;
use craneknot_platform::discovery::Roster;

mod helpers;
use helpers::{called, ms, ADDRESS, OTHER};

fn list(revision: u64, complete: bool) -> Roster {
    Roster { revision, complete, servers: Vec::new(), malformed: Vec::new() }
}

/// A watch that received its first answer, of revision 43, at 100 ms, and continues.
fn established_watch() -> (ListWatch, LinkIds, LinkId) {
    let (mut watch, mut links, mut link_actions) =
        (ListWatch::new(ADDRESS, Some(41)), LinkIds::default(), Vec::new());
    watch.start();
    watch.turn(ms(0), &mut links, &mut link_actions);
    let link = called(&link_actions).0;
    watch.answered(ms(100), link, &list(43, true), true, &mut link_actions).unwrap();
    watch.turn(ms(100), &mut links, &mut link_actions);
    (watch, links, link)
}

/// Guards against taking a reused connection that closes as the call is sent for a failure of discovery: the
/// controller asked again only half a second to a second later, which begins a new watch.
#[test]
fn a_watch_continues_at_once_when_its_reused_connection_ends() {
    let (mut watch, mut links, link) = established_watch();
    let mut link_actions = Vec::new();
    assert!(!watch.lost(ms(180), link, &mut link_actions), "no failure yet");
    assert!(watch.next_at().is_some_and(|at| at <= ms(180)), "the next call is due at once");
    watch.turn(ms(180), &mut links, &mut link_actions);
    let (second, text) = called(&link_actions);
    assert!(matches!(link_actions[..], [LinkAction::Dial { .. }]) && second != link);
    assert!(text.contains("index=43&wait=5000 "), "it is the same watch, within 200 ms: {text}");
    assert!(watch.lost(ms(190), second, &mut link_actions), "a new connection that ends too is a failure");
    // Later than that it is a new watch, which is answered at once.
    let (mut watch, mut links, link) = established_watch();
    assert!(!watch.lost(ms(3_000), link, &mut link_actions));
    watch.turn(ms(3_000), &mut links, &mut link_actions);
    assert!(called(&link_actions).1.contains("index=43&wait=0 "));
}

/// Guards against giving up a call without a wait after 1.5 s and making it again: an overloaded discovery
/// had the same work twice.
#[test]
fn a_first_call_is_not_repeated_while_discovery_may_still_work_on_it() {
    let (mut watch, mut links, mut link_actions) =
        (ListWatch::new(ADDRESS, Some(41)), LinkIds::default(), Vec::new());
    watch.start();
    watch.turn(ms(0), &mut links, &mut link_actions);
    let link = called(&link_actions).0;
    watch.connected(link);
    assert!(
        !watch.turn(ms(2_400), &mut links, &mut link_actions) && link_actions.len() == 1,
        "the call is still in flight"
    );
    watch.answered(ms(2_450), link, &list(43, true), true, &mut link_actions).unwrap();
    assert!(!watch.turn(ms(3_100), &mut links, &mut link_actions));
}

#[test]
fn a_list_older_than_the_known_one_is_ignored_unless_the_numbering_is_new() {
    let (mut watch, mut links, link) = established_watch();
    let mut link_actions = Vec::new();
    for at in [200, 1_200] {
        assert!(watch.answered(ms(at), link, &list(40, true), true, &mut link_actions).is_err());
        assert_eq!(watch.next_at(), None, "the controller asks again, after a while");
        watch.start();
        link_actions.clear();
        watch.turn(ms(at + 600), &mut links, &mut link_actions);
        assert!(called(&link_actions).1.contains("index=43&"));
    }
    assert!(
        watch.answered(ms(2_200), link, &list(40, true), true, &mut link_actions).is_ok(),
        "three in a row"
    );
    link_actions.clear();
    watch.turn(ms(2_200), &mut links, &mut link_actions);
    assert!(called(&link_actions).1.contains("index=40&wait=5000"));
    // Receiving the same changes twice does no harm, and a single older list has no effect later.
    assert!(watch.answered(ms(2_300), link, &list(40, false), true, &mut link_actions).is_ok());
    watch.turn(ms(2_300), &mut links, &mut link_actions);
    assert!(watch.answered(ms(2_400), link, &list(39, true), true, &mut link_actions).is_err());
}

#[test]
fn the_list_is_watched_without_a_gap_and_failures_are_reported() {
    let (mut watch, mut links, mut link_actions) =
        (ListWatch::new(ADDRESS, Some(41)), LinkIds::default(), Vec::new());
    assert!(
        !watch.turn(ms(0), &mut links, &mut link_actions) && link_actions.is_empty(),
        "not requested yet"
    );
    watch.start();
    watch.turn(ms(0), &mut links, &mut link_actions);
    let (link, text) = called(&link_actions);
    assert!(text.contains("index=41&wait=0 "), "missed changes are requested at once: {text}");
    watch.answered(ms(5), link, &list(43, false), true, &mut link_actions).unwrap();
    watch.turn(ms(10), &mut links, &mut link_actions);
    let (same, text) = called(&link_actions);
    assert!(same == link && text.contains("index=43&wait=") && !text.contains("wait=0 "), "{text}");
    link_actions.clear();
    assert!(!watch.turn(ms(5_000), &mut links, &mut link_actions));
    assert!(!watch.turn(ms(6_010), &mut links, &mut link_actions), "a silent watch is no failure yet");
    let [LinkAction::Dial { link: attempt, .. }] = link_actions[..] else { panic!("{link_actions:?}") };
    assert!(attempt != link && watch.has(link) && watch.has(attempt), "the silent connection may recover");
    let (_, text) = called(&link_actions);
    assert!(text.contains("index=43&wait=0 "), "missed changes are requested at once: {text}");
    link_actions.clear();
    watch.answered(ms(6_100), attempt, &list(44, false), true, &mut link_actions).unwrap();
    assert_eq!(link_actions, [LinkAction::Close { link }], "the connection that answers is kept");
    watch.turn(ms(6_110), &mut links, &mut link_actions);
    let (same, text) = called(&link_actions);
    assert!(same == attempt && text.contains("index=44&wait=5000 "), "{text}");
    assert!(!watch.lost(ms(7_000), same, &mut link_actions));
    watch.turn(ms(7_000), &mut links, &mut link_actions);
    let (link, text) = called(&link_actions);
    assert!(text.contains("index=44&wait=0 "), "{text}");
    watch.connected(link);
    link_actions.clear();
    assert!(
        watch.turn(ms(9_500), &mut links, &mut link_actions),
        "no answer to a call without a wait is a failure"
    );
    assert_eq!(link_actions, [LinkAction::Close { link }]);
    watch.start();
    watch.turn(ms(24_001), &mut links, &mut link_actions);
    let link = called(&link_actions).0;
    assert!(watch.lost(ms(24_010), link, &mut link_actions), "a reset is a failure too");
    watch.start();
    watch.move_to(OTHER, &mut link_actions);
    watch.turn(ms(24_012), &mut links, &mut link_actions);
    assert!(matches!(link_actions.last(), Some(LinkAction::Dial { address: OTHER, .. })));
}

/// The silent call and each attempt beside it: the first answer is used, and all other connections are closed.
#[test]
fn a_silent_watch_is_asked_beside_until_any_connection_answers() {
    let (mut watch, mut links, link) = established_watch();
    let mut link_actions = Vec::new();
    for at in [6_100, 7_100, 8_100, 9_100] {
        assert!(!watch.turn(ms(at), &mut links, &mut link_actions), "silence is no failure");
        assert_eq!(watch.next_at(), Some(ms(at + 1_000)));
    }
    let dialled: Vec<LinkId> = link_actions
        .iter()
        .filter_map(|action| match action {
            LinkAction::Dial { link, .. } => Some(*link),
            LinkAction::Send { .. } | LinkAction::Close { .. } => None,
        })
        .collect();
    assert_eq!(dialled.len(), 4);
    assert!(link_actions.contains(&LinkAction::Close { link: dialled[0] }), "at most three at once");
    link_actions.clear();
    watch.answered(ms(9_200), link, &list(44, false), true, &mut link_actions).unwrap();
    let closed: Vec<LinkAction> = dialled[1..].iter().map(|link| LinkAction::Close { link: *link }).collect();
    assert_eq!(link_actions, closed, "the silent connection itself has recovered");
    watch.turn(ms(9_200), &mut links, &mut link_actions);
    assert!(called(&link_actions).0 == link && called(&link_actions).1.contains("index=44&wait=5000 "));
    assert_eq!(watch.repeated_calls, 4);
}

/// A partition ends with resets; discovery that refuses connections has failed, and the controller waits.
#[test]
fn the_end_of_a_connection_in_a_silence_is_a_reset_or_a_refusal() {
    let (mut watch, mut links, link) = established_watch();
    let mut link_actions = Vec::new();
    watch.turn(ms(6_100), &mut links, &mut link_actions);
    let first = called(&link_actions).0;
    assert!(!watch.lost(ms(6_600), first, &mut link_actions), "reset after half a second");
    assert_eq!(watch.next_at(), Some(ms(6_600)), "the next attempt is due at once");
    watch.turn(ms(6_600), &mut links, &mut link_actions);
    let second = called(&link_actions).0;
    assert!(!watch.lost(ms(6_610), link, &mut link_actions), "the silent connection is reset too");
    link_actions.clear();
    assert!(watch.lost(ms(6_620), second, &mut link_actions), "refused at once");
    assert_eq!((watch.next_at(), watch.has(first), watch.has(link)), (None, false, false));
}

/// A call whose connection does not come up has not reached discovery, and is made again beside it.
#[test]
fn a_call_that_was_not_sent_is_made_again_after_a_second() {
    let (mut watch, mut links, mut link_actions) =
        (ListWatch::new(ADDRESS, Some(41)), LinkIds::default(), Vec::new());
    watch.start();
    watch.turn(ms(0), &mut links, &mut link_actions);
    let first = called(&link_actions).0;
    assert_eq!(watch.next_at(), Some(ms(1_000)));
    assert!(!watch.turn(ms(1_000), &mut links, &mut link_actions));
    let second = called(&link_actions).0;
    assert!(second != first && watch.has(first));
    watch.move_to(OTHER, &mut link_actions);
    assert!(!watch.has(first) && !watch.has(second), "nothing is expected from the old address");
    watch.turn(ms(1_100), &mut links, &mut link_actions);
    assert!(matches!(link_actions.last(), Some(LinkAction::Dial { address: OTHER, .. })));
}
