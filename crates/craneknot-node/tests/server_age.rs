//! Estimates of a server's age with clocks that may be wrong.

use craneknot::interface::ServerId;
use craneknot_node::server_age::{ServerStarts, Start};

mod helpers;
use helpers::ms;

/// With a wall clock wrong by an hour, no server that has just started counts as old, and none counts as
/// young for long.
#[test]
fn a_restarted_server_is_no_older_than_its_last_sighting_before() {
    let (hour, server) = (3_600_000, ServerId("s-1".into()));
    let start = 10 * hour;
    for error in [-(hour as i64), 0, hour as i64] {
        // `true_time`: this process's clock reading as the time of the machine that lists the server.
        let true_time = |now: u64| ms((now as i64 - error) as u64);
        let mut starts = ServerStarts::default();
        let long_ago = Start { latest: None, is_certain: true };
        assert_eq!(starts.observe(ms(start), &server, None), long_ago, "started long ago");
        starts.list_applied(ms(start));
        // It starts 20 s later, and is listed 3 s after that.
        let (restarted, listed) = (start + 20_000, start + 23_000);
        starts.list_applied(ms(restarted - 1_000));
        let claimed = Some(true_time(restarted));
        starts.learn_clock(ms(listed), true_time(restarted));
        let estimated = starts.observe(ms(listed), &server, claimed);
        assert!(estimated.is_certain, "{error}: it was seen to restart");
        let started = estimated.latest.unwrap();
        let age = ms(listed) - started;
        assert!(age <= ms(4_000), "{error}: estimated to be {age:?} old, 3 s after its start");
        starts.list_applied(ms(listed));
        // Later lists with the same start change nothing: the server warms by this process's clock.
        let later = starts.observe(ms(listed + 60_000), &server, claimed);
        assert_eq!(later, estimated, "{error}");
        assert!(ms(listed + 60_000) - started >= ms(60_000), "{error}: it is warm a minute later");
    }
}

/// The time between two starts that discovery reports is the same by any wall clock.
#[test]
fn with_a_clock_behind_ages_are_measured_from_the_newest_start() {
    let (hour, mut starts) = (3_600_000, ServerStarts::default());
    let (now, true_time) = (10 * hour, 11 * hour);
    let claims = [("old", true_time - 90_000), ("new", true_time - 2_000)];
    claims.iter().for_each(|(_, claimed)| starts.learn_clock(ms(now), ms(*claimed)));
    let observed =
        claims.map(|(name, claimed)| starts.observe(ms(now), &ServerId(name.into()), Some(ms(claimed))));
    assert_eq!(observed[0], Start { latest: Some(ms(now - 88_000)), is_certain: false });
    assert_eq!(observed[1], Start { latest: Some(ms(now)), is_certain: false });
}

/// A wall clock that is ahead makes each server look old. That makes none count as warm unless it is far
/// older than the newest one, or older than any error of the clock.
#[test]
fn with_a_clock_ahead_no_server_that_has_just_started_is_warm() {
    let (hour, mut starts) = (3_600_000, ServerStarts::default());
    let (now, true_time) = (11 * hour, 10 * hour);
    let claims =
        [("new", true_time - 2_000), ("older", true_time - 90_000), ("oldest", true_time - 5 * hour)];
    claims.iter().for_each(|(_, claimed)| starts.learn_clock(ms(now), ms(*claimed)));
    let observed =
        claims.map(|(name, claimed)| starts.observe(ms(now), &ServerId(name.into()), Some(ms(claimed))));
    assert_eq!(observed[0], Start { latest: Some(ms(now - 2_000)), is_certain: false });
    assert_eq!(observed[1], Start { latest: Some(ms(now - 90_000)), is_certain: false });
    assert_eq!(
        observed[2],
        Start { latest: Some(ms(true_time - 4 * hour)), is_certain: false },
        "old by any clock"
    );
}

/// A fleet without changes for a while, and a correct clock: by the newest start alone, each server is at
/// least as much older.
#[test]
fn without_a_recent_start_ages_are_measured_from_the_newest_one() {
    let (now, mut starts) = (36_000_000, ServerStarts::default());
    let claims = [("newest", now - 600_000), ("older", now - 660_000)];
    claims.iter().for_each(|(_, claimed)| starts.learn_clock(ms(now), ms(*claimed)));
    let observed =
        claims.map(|(name, claimed)| starts.observe(ms(now), &ServerId(name.into()), Some(ms(claimed))));
    assert_eq!(observed[0], Start { latest: Some(ms(now)), is_certain: false });
    assert_eq!(observed[1], Start { latest: Some(ms(now - 60_000)), is_certain: false });
}

/// A server that was not listed for a while, as during a partition, keeps its age if the wall clock is known
/// to be right; otherwise its age is not known.
#[test]
fn a_relisted_server_keeps_its_age_if_the_clock_is_known_not_to_be_ahead() {
    let now = 36_000_000;
    for is_proven in [false, true] {
        let mut starts = ServerStarts::default();
        starts.list_applied(ms(now - 1_000));
        if is_proven {
            starts.learn_clock(ms(now - 1_000), ms(now - 4_000));
        }
        let start = starts.observe(ms(now), &ServerId("s-1".into()), Some(ms(now - 60_000)));
        let latest = if is_proven { now - 60_000 } else { now - 1_000 };
        assert_eq!(start, Start { latest: Some(ms(latest)), is_certain: is_proven });
    }
}
