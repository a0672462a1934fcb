//! What several event streams report together of joins, leaves and acknowledgements.

use craneknot::interface::{ProxyId, ZoneId};
use craneknot_node::event_streams::EventStreams;
use craneknot_node::link::{LinkAction, LinkId, LinkIds};
use craneknot_platform::events::RelayEvent;

mod helpers;
use helpers::{called, ms, ADDRESS, OTHER};

fn joined(proxy: u16) -> RelayEvent {
    RelayEvent::Joined { proxy: ProxyId(proxy), zone: ZoneId(0), usual_rate: 1.0 }
}

fn left(proxy: u16) -> RelayEvent {
    RelayEvent::Left { proxy: ProxyId(proxy) }
}

struct Harness {
    streams: EventStreams,
    links: LinkIds,
    out: Vec<RelayEvent>,
}

impl Harness {
    /// Two streams that have reported the same proxies.
    fn with_two(proxies: &[u16]) -> (Self, [LinkId; 2]) {
        let mut harness = Harness {
            streams: EventStreams::new(ADDRESS, ms(0)),
            links: LinkIds::default(),
            out: Vec::new(),
        };
        let dialled = [harness.turn(0), harness.turn(100)];
        let links = dialled.map(|link_actions| called(&link_actions).0);
        links
            .iter()
            .for_each(|link| harness.receive(120, *link, proxies.iter().map(|id| joined(*id)).collect()));
        assert_eq!(harness.take_reported(), proxies.iter().map(|id| joined(*id)).collect::<Vec<_>>());
        (harness, links)
    }

    fn turn(&mut self, at: u64) -> Vec<LinkAction> {
        let mut link_actions = Vec::new();
        self.streams.turn(ms(at), &mut self.links, &mut link_actions, &mut self.out);
        link_actions
    }

    fn receive(&mut self, at: u64, link: LinkId, events: Vec<RelayEvent>) {
        self.streams.receive(ms(at), link, events, &mut self.out);
    }

    fn take_reported(&mut self) -> Vec<RelayEvent> {
        std::mem::take(&mut self.out)
    }
}

#[test]
fn an_event_is_reported_once_by_whichever_stream_brings_it_first() {
    let (mut harness, [first, second]) = Harness::with_two(&[1, 2, 3]);
    harness.turn(900);
    harness.receive(1_000, second, vec![left(1)]);
    assert_eq!(harness.take_reported(), [left(1)], "at once, from either stream");
    harness.receive(1_010, first, vec![left(1)]);
    assert_eq!(harness.take_reported(), [], "and not again");
    harness.receive(4_000, first, vec![]);
    harness.receive(4_000, second, vec![]);
    // The last events reach the second stream only: 2 has left and joined again, so its bindings have ended.
    harness.receive(4_100, second, vec![left(2), joined(2)]);
    assert_eq!(harness.take_reported(), [left(2), joined(2)], "a join of a joined proxy implies a leave");
    harness.streams.lost(ms(4_200), first, &mut harness.out);
    assert_eq!(harness.take_reported(), []);
    harness.receive(4_300, second, vec![left(3)]);
    assert_eq!(harness.take_reported(), [left(3)]);
    assert!(matches!(harness.turn(6_000)[..], [LinkAction::Dial { .. }]), "another stream is dialled");
}

/// A lagging stream still reports a proxy as joined that has left and joined again.
#[test]
fn a_rejoin_within_the_lag_of_a_broken_stream_is_reported_once() {
    for lag in [100, 600, 2_000, 10_000] {
        let (mut harness, [first, second]) = Harness::with_two(&[1, 2]);
        for at in (1_000..=3_000).step_by(500) {
            [first, second].iter().for_each(|link| harness.receive(at, *link, vec![]));
            harness.turn(at);
        }
        harness.receive(3_000, second, vec![left(1), joined(1)]);
        assert_eq!(harness.take_reported(), [left(1), joined(1)], "lag {lag}");
        for at in (3_500..3_000 + lag).step_by(500) {
            [first, second].iter().for_each(|link| harness.receive(at, *link, vec![]));
            harness.turn(at);
        }
        harness.streams.lost(ms(3_000 + lag), first, &mut harness.out);
        harness.turn(4_000 + lag);
        assert_eq!(harness.take_reported(), [], "lag {lag}: it is known already");
        harness.receive(4_100 + lag, second, vec![left(1)]);
        assert_eq!(harness.take_reported(), [left(1)], "lag {lag}");
    }
}

/// Events that an ended stream reported and the remaining one does not report in time are reverted.
#[test]
fn events_from_an_ended_stream_alone_are_corrected_by_the_remaining_one() {
    let (mut harness, [first, second]) = Harness::with_two(&[1, 2]);
    for at in (1_000..=3_000).step_by(500) {
        [first, second].iter().for_each(|link| harness.receive(at, *link, vec![]));
        harness.turn(at);
    }
    harness.receive(3_000, first, vec![left(1), left(2), joined(2), joined(3)]);
    assert_eq!(harness.take_reported(), [left(1), left(2), joined(2), joined(3)]);
    harness.streams.lost(ms(3_010), first, &mut harness.out);
    harness.receive(3_100, second, vec![left(1)]);
    harness.turn(3_400);
    assert_eq!(harness.take_reported(), [], "its late events may still arrive");
    assert!(harness.streams.next_at(ms(3_400)).is_some_and(|next| next <= ms(3_510)));
    harness.turn(3_510);
    assert_eq!(
        harness.take_reported(),
        [left(2), joined(2), left(3)],
        "2 is joined here, but uncertain; 3 is not joined here"
    );
    harness.receive(3_600, second, vec![left(2)]);
    assert_eq!(harness.take_reported(), [left(2)]);
}

/// The snapshot arrives in pieces, over a longer time than usual.
#[test]
fn a_snapshot_in_pieces_removes_no_proxy_tracked_by_another_stream() {
    let (mut harness, [first, second]) = Harness::with_two(&[1, 2, 3]);
    harness.turn(900);
    harness.streams.lost(ms(1_000), second, &mut harness.out);
    let third = called(&harness.turn(1_100)).0;
    harness.receive(1_200, third, vec![joined(1)]);
    harness.receive(1_750, first, vec![]);
    harness.turn(1_760);
    assert_eq!(harness.take_reported(), [], "2 and 3 are not named yet");
    // One of them has left indeed, and the stream that tracked it ends before it has reported that.
    harness.receive(1_800, third, vec![joined(2)]);
    harness.take_reported();
    harness.streams.lost(ms(1_900), first, &mut harness.out);
    harness.receive(2_300, third, vec![]);
    harness.turn(2_410);
    assert_eq!(harness.take_reported(), [left(3)]);
}

/// Uncertainty after the end of a stream is resolved even while the relay refuses new connections.
#[test]
fn uncertainty_is_resolved_while_every_new_stream_is_refused() {
    let (mut harness, [first, second]) = Harness::with_two(&[1, 2]);
    for at in (1_000..=3_000).step_by(500) {
        [first, second].iter().for_each(|link| harness.receive(at, *link, vec![]));
        harness.turn(at);
    }
    harness.receive(3_000, first, vec![left(2), joined(2)]);
    harness.take_reported();
    harness.streams.lost(ms(3_010), first, &mut harness.out);
    for at in (3_050..4_200).step_by(50) {
        for act in harness.turn(at) {
            let LinkAction::Dial { link, .. } = act else { continue };
            harness.streams.lost(ms(at), link, &mut harness.out);
        }
        if at % 1_000 == 0 {
            harness.receive(at, second, vec![]);
        }
    }
    assert_eq!(harness.take_reported(), [left(2), joined(2)]);
}

#[test]
fn after_a_gap_named_proxies_have_rejoined_and_others_have_left() {
    let (mut harness, [first, second]) = Harness::with_two(&[1, 2, 3]);
    harness.turn(900);
    [first, second].iter().for_each(|link| harness.streams.lost(ms(5_000), *link, &mut harness.out));
    assert_eq!(harness.take_reported(), [], "no change is known");
    let third = called(&harness.turn(7_000)).0;
    harness.receive(7_100, third, vec![joined(1)]);
    harness.receive(7_200, third, vec![joined(3)]);
    assert_eq!(harness.take_reported(), [left(1), joined(1), left(3), joined(3)]);
    harness.turn(7_700);
    assert_eq!(harness.take_reported(), [left(2)]);
}

#[test]
fn a_silent_stream_is_replaced_while_another_is_alive() {
    let (mut harness, [first, second]) = Harness::with_two(&[1]);
    harness.turn(900);
    harness.receive(1_000, first, vec![]);
    for at in [1_000, 2_000, 3_000, 4_000] {
        harness.receive(at, second, vec![]);
    }
    assert!(harness.turn(4_000).contains(&LinkAction::Close { link: first }));
    harness.receive(4_100, second, vec![left(1)]);
    assert_eq!(harness.take_reported(), [left(1)]);
}

/// A join during the silence of one stream is reported at once by the other: the proxy must leave lost
/// servers in time.
#[test]
fn a_join_during_the_silence_of_one_stream_is_reported_by_the_other() {
    let (mut harness, [first, second]) = Harness::with_two(&[1]);
    harness.turn(900);
    [first, second].iter().for_each(|link| harness.receive(1_000, *link, vec![]));
    harness.receive(1_050, second, vec![joined(2)]);
    assert_eq!(harness.take_reported(), [joined(2)], "at once");
    harness.receive(2_000, second, vec![]);
    harness.turn(2_400);
    assert_eq!(harness.take_reported(), []);
    assert!(harness.streams.has(first), "it may recover");
    harness.receive(2_600, first, vec![joined(2)]);
    assert_eq!(harness.take_reported(), [], "the repetition is not reported");
    // While both are quiet, neither has more to report than the other.
    harness.turn(4_200);
    assert_eq!(harness.take_reported(), []);
}

/// Guards against a busy loop: a silent stream that is kept set its next turn in the past until it received
/// input.
#[test]
fn while_the_relay_is_silent_the_next_turn_is_never_in_the_past() {
    let (mut harness, _) = Harness::with_two(&[1]);
    for at in (900..20_000).step_by(10) {
        harness.turn(at);
        let next = harness.streams.next_at(ms(at));
        assert!(next.is_some_and(|next| next > ms(at)), "at {at} ms: {next:?}");
    }
}

/// Guards against dropping an acknowledgement that only the second stream brought, whose mark was then waited
/// for.
#[test]
fn an_acknowledgement_from_two_streams_is_reported_once() {
    let applied = |mark| RelayEvent::Applied { proxy: ProxyId(1), mark };
    let (mut harness, [first, second]) = Harness::with_two(&[1]);
    harness.turn(900);
    [first, second].iter().for_each(|link| harness.receive(1_000, *link, vec![applied(7)]));
    assert_eq!(harness.take_reported(), [applied(7)]);
    harness.receive(1_010, second, vec![applied(8)]);
    assert_eq!(harness.take_reported(), [applied(8)], "from either stream");
    harness.receive(1_015, first, vec![applied(8)]);
    harness.streams.lost(ms(1_020), first, &mut harness.out);
    assert_eq!(harness.take_reported(), [], "both were reported already");
}

/// Guards against a busy loop: a stream lost before its snapshot was complete left a next turn in the past.
#[test]
fn with_no_stream_left_the_next_turn_is_never_in_the_past() {
    let mut harness =
        Harness { streams: EventStreams::new(ADDRESS, ms(0)), links: LinkIds::default(), out: Vec::new() };
    let first = called(&harness.turn(0)).0;
    harness.receive(10, first, vec![joined(1)]);
    harness.streams.lost(ms(20), first, &mut harness.out);
    for at in (20..5_000).step_by(10) {
        let link_actions = harness.turn(at);
        let next = harness.streams.next_at(ms(at));
        assert!(next.is_some_and(|next| next > ms(at)), "at {at} ms: {next:?}, {link_actions:?}");
    }
}

/// Guards against reporting every proxy as joined again, and binding it again, after a reload: the first
/// stream from the new address was followed although all that it had reported was its snapshot.
#[test]
fn a_reload_reports_no_proxy_as_joined_again() {
    let (mut harness, old) = Harness::with_two(&[1, 2, 3]);
    let everybody = || vec![joined(1), joined(2), joined(3)];
    harness.turn(900);
    harness.receive(9_900, old[0], vec![]);
    harness.receive(9_900, old[1], vec![]);
    harness.streams.move_to(ms(10_000), OTHER);
    let new = [harness.turn(10_000), harness.turn(10_100)].map(|link_actions| called(&link_actions).0);
    new.iter().for_each(|link| harness.receive(10_120, *link, everybody()));
    harness.turn(10_150);
    harness.receive(10_900, old[0], vec![]);
    for at in [11_130, 11_200] {
        new.iter().for_each(|link| harness.receive(at, *link, vec![]));
        harness.turn(at);
    }
    assert!(old.iter().all(|link| !harness.streams.has(*link)), "the new streams have replaced the old ones");
    assert_eq!(harness.take_reported(), []);
    harness.receive(11_300, new[0], vec![left(2)]);
    assert_eq!(harness.take_reported(), [left(2)]);
}
