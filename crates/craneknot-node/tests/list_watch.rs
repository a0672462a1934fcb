//! How discovery's list is followed.

use craneknot_node::link::{Act, LinkId, Links};
use craneknot_node::list_watch::ListWatch;
use craneknot_platform::discovery::Roster;

mod helpers;
use helpers::{called, ms, ADDRESS, OTHER};

fn list(revision: u64, complete: bool) -> Roster {
    Roster { revision, complete, servers: Vec::new(), malformed: Vec::new() }
}

/// A watch that has had its first answer, of revision 43, at 100 ms, and asks on.
fn watching() -> (ListWatch, Links, LinkId) {
    let (mut watch, mut links, mut acts) = (ListWatch::new(ADDRESS, Some(41)), Links::default(), Vec::new());
    watch.start();
    watch.turn(ms(0), &mut links, &mut acts);
    let link = called(&acts).0;
    watch.answered(ms(100), &list(43, true), true, &mut acts).unwrap();
    watch.turn(ms(100), &mut links, &mut acts);
    (watch, links, link)
}

/// Confirmed on reading: a kept connection closed as the call went out was taken for a failure of discovery; the
/// decisions asked again half a second to a second later, which begins a new watch.
#[test]
fn a_watch_goes_on_at_once_where_a_kept_connection_ends_under_it() {
    let (mut watch, mut links, link) = watching();
    assert!(!watch.lost(ms(180)), "no failure yet");
    assert!(watch.next_at().is_some_and(|at| at <= ms(180)), "asked at once");
    let mut acts = Vec::new();
    watch.turn(ms(180), &mut links, &mut acts);
    let (second, text) = called(&acts);
    assert!(matches!(acts[..], [Act::Dial { .. }]) && second != link);
    assert!(text.contains("index=43&wait=5000 "), "it is the same watch, within 200 ms: {text}");
    assert!(watch.lost(ms(190)), "a new connection that ends too is a failure");
    // Later than that it is a new watch, which is answered at once.
    let (mut watch, mut links, _) = watching();
    assert!(!watch.lost(ms(3_000)));
    watch.turn(ms(3_000), &mut links, &mut acts);
    assert!(called(&acts).1.contains("index=43&wait=0 "));
}

/// Confirmed on reading: a call that waited for nothing was given up after 1.5 s and made again, so that an
/// overloaded discovery had the same work twice.
#[test]
fn a_first_call_is_not_made_again_while_discovery_may_still_work_on_it() {
    let (mut watch, mut links, mut acts) = (ListWatch::new(ADDRESS, Some(41)), Links::default(), Vec::new());
    watch.start();
    watch.turn(ms(0), &mut links, &mut acts);
    assert!(!watch.turn(ms(2_400), &mut links, &mut acts) && acts.len() == 1, "it is still waited for");
    watch.answered(ms(2_450), &list(43, true), true, &mut acts).unwrap();
    assert!(!watch.turn(ms(3_100), &mut links, &mut acts));
}

#[test]
fn a_list_older_than_the_known_one_undoes_nothing_unless_the_numbering_is_new() {
    let (mut watch, mut links, _) = watching();
    let mut acts = Vec::new();
    for at in [200, 1_200] {
        assert!(watch.answered(ms(at), &list(40, true), true, &mut acts).is_err());
        assert_eq!(watch.next_at(), None, "the decisions ask again, after a while");
        watch.start();
        acts.clear();
        watch.turn(ms(at + 600), &mut links, &mut acts);
        assert!(called(&acts).1.contains("index=43&"));
    }
    assert!(watch.answered(ms(2_200), &list(40, true), true, &mut acts).is_ok(), "three in a row");
    acts.clear();
    watch.turn(ms(2_200), &mut links, &mut acts);
    assert!(called(&acts).1.contains("index=40&wait=5000"));
    // The same change twice is as good as once; and one older list alone counts for nothing later.
    assert!(watch.answered(ms(2_300), &list(40, false), true, &mut acts).is_ok());
    watch.turn(ms(2_300), &mut links, &mut acts);
    assert!(watch.answered(ms(2_400), &list(39, true), true, &mut acts).is_err());
}

#[test]
fn the_list_is_watched_without_a_gap_and_failures_are_told() {
    let (mut watch, mut links, mut acts) = (ListWatch::new(ADDRESS, Some(41)), Links::default(), Vec::new());
    assert!(!watch.turn(ms(0), &mut links, &mut acts) && acts.is_empty(), "not asked for yet");
    watch.start();
    watch.turn(ms(0), &mut links, &mut acts);
    let (link, text) = called(&acts);
    assert!(text.contains("index=41&wait=0 "), "what was missed comes at once: {text}");
    watch.answered(ms(5), &list(43, false), true, &mut acts).unwrap();
    watch.turn(ms(10), &mut links, &mut acts);
    let (same, text) = called(&acts);
    assert!(same == link && text.contains("index=43&wait=") && !text.contains("wait=0 "), "{text}");
    acts.clear();
    assert!(!watch.turn(ms(5_000), &mut links, &mut acts));
    assert!(!watch.turn(ms(20_000), &mut links, &mut acts), "a silent watch is asked anew at once");
    assert!(matches!(acts[..], [Act::Drop { link: silent }, Act::Dial { .. }] if silent == link), "{acts:?}");
    let (link, text) = called(&acts);
    assert!(text.contains("index=43&wait=0 "), "and what was missed comes at once: {text}");
    acts.clear();
    assert!(watch.turn(ms(24_000), &mut links, &mut acts), "silence there too is a failure");
    assert_eq!(acts, [Act::Drop { link }]);
    watch.start();
    watch.turn(ms(24_001), &mut links, &mut acts);
    assert!(watch.lost(ms(24_010)), "and so is a reset");
    watch.start();
    watch.move_to(OTHER, &mut acts);
    watch.turn(ms(24_012), &mut links, &mut acts);
    assert!(matches!(acts.last(), Some(Act::Dial { address: OTHER, .. })));
}
