//! Days of several coordinators on a model of the platform: faults that strike at once, in an order that the test
//! forces, judged by what proxies hold.

mod helpers;
use helpers::judge::Break;
use helpers::platform::{Platform, START};

const PROXIES: u16 = 240;
const RULES: &[Break] = &[Break::NoLine, Break::Bare, Break::LostServer, Break::Unbound];

/// A release in place: every 610 to 640 ms a few servers restart under their names, in one of three forms.
struct Release {
    next: u64,
    step: u64,
    /// Servers, and when they are to be in their next phase.
    under_way: Vec<(String, u64, &'static str)>,
    per_step: u64,
}

impl Release {
    fn new(per_step: u64) -> Self {
        Release { next: 3_000, step: 0, under_way: Vec::new(), per_step }
    }

    fn turn(&mut self, platform: &mut Platform) {
        let at = platform.at();
        let due: Vec<_> = self.under_way.extract_if(.., |(_, due, _)| *due <= at).collect();
        for (id, _, phase) in due {
            let started = (phase == "SERVING").then_some(START + at);
            platform.set_server(&id, phase, started);
            if phase == "DELETED" {
                self.under_way.push((id, at + 1_000, "SERVING"));
            }
        }
        if at < self.next {
            return;
        }
        self.next = at + 610 + (self.step * 10) % 35;
        for k in 0..self.per_step {
            let id = format!("s-{}", (self.step * self.per_step + k) % 30);
            if platform.servers[&id].phase != "SERVING" {
                continue;
            }
            match (self.step + k) % 3 {
                0 => {
                    platform.set_server(&id, "DRAINING", None);
                    self.under_way.push((id, at + 2_000, "DELETED"));
                }
                1 => {
                    platform.set_server(&id, "DRAINING", None);
                    self.under_way.push((id, at + 2_500, "SERVING"));
                }
                _ => platform.set_server(&id, "SERVING", Some(START + at)),
            }
        }
        self.step += 1;
    }

    /// A zone's servers go, or come back cold.
    fn set_zone(&mut self, platform: &mut Platform, is_lost: bool) {
        self.under_way.retain(|(id, _, _)| id.trim_start_matches("s-").parse::<u16>().unwrap() < 20);
        let started = (!is_lost).then_some(platform.now);
        for k in 20..30 {
            platform.set_server(&format!("s-{k}"), if is_lost { "DELETED" } else { "SERVING" }, started);
        }
    }
}

struct Day {
    platform: Platform,
    release: Release,
}

impl Day {
    fn new(seed: u64) -> Self {
        let mut platform = Platform::new(seed, 3, PROXIES, (20, 10));
        let list = platform.list();
        (0..3).for_each(|place| platform.start(place, &list, 1));
        platform.run_to(500);
        (0..PROXIES).for_each(|proxy| platform.join(proxy, usize::from(proxy % 3)));
        Day { platform, release: Release::new(1 + seed % 3) }
    }

    fn run_to(&mut self, at: u64) {
        while self.platform.at() < at {
            self.release.turn(&mut self.platform);
            let next = self.platform.at() + 10;
            self.platform.run_to(next.min(at));
        }
    }

    /// All proxies of one coordinator join another, some of them a little later than others.
    fn move_all(&mut self, from: usize, to: usize, over: u64) {
        let moving: Vec<u16> = (0..PROXIES)
            .filter(|id| self.platform.proxies[usize::from(*id)].joined_to == Some(from))
            .collect();
        let began = self.platform.at();
        let count = moving.len() as u64;
        for (k, proxy) in moving.into_iter().enumerate() {
            self.run_to(began + over * k as u64 / count.max(1));
            self.platform.join(proxy, to);
        }
    }

    /// None of these was broken.
    fn check(&self, seed: u64, rules: &[Break]) {
        let judge = &self.platform.judge;
        let broken: Vec<_> = judge.broken.values().filter(|lapse| rules.contains(&lapse.kind)).collect();
        let (count, first) = (broken.len(), broken.iter().take(4).collect::<Vec<_>>());
        assert!(
            broken.is_empty(),
            "seed {seed}: {count} lapses, {first:?}; the longest: {:?}",
            judge.longest
        );
    }
}

/// Joins those without a stream to a place.
fn join_rest(day: &mut Day, to: usize) {
    let rest: Vec<u16> =
        (0..PROXIES).filter(|id| day.platform.proxies[usize::from(*id)].joined_to.is_none()).collect();
    rest.into_iter().for_each(|proxy| day.platform.join(proxy, to));
}

/// The scripted day: `late`: additional faults at the moment at which all proxies come to one coordinator.
fn scripted_day(seed: u64, late: impl Fn(&mut Day)) -> Day {
    let mut day = Day::new(seed);
    let old = (day.platform.list(), day.platform.revision);
    day.run_to(27_000);
    day.platform.kill(0);
    day.run_to(27_200);
    join_rest(&mut day, 1);
    day.run_to(27_500);
    day.platform.start(0, &old.0, old.1);
    day.run_to(28_500);
    day.move_all(1, 0, 1_000);
    day.run_to(41_000);
    day.platform.kill(1);
    day.release.set_zone(&mut day.platform, true);
    late(&mut day);
    day.run_to(41_300);
    join_rest(&mut day, 0);
    day.run_to(42_000);
    day.move_all(2, 0, 20);
    day.platform.kill(2);
    day.run_to(46_000);
    day.release.set_zone(&mut day.platform, false);
    day.platform.start(1, &old.0, old.1);
    day.platform.start(2, &old.0, old.1);
    day.run_to(50_450);
    day.move_all(0, 1, 500);
    day.run_to(51_000);
    day.platform.places[0].coordinator.as_mut().unwrap().shut_down();
    day.run_to(51_050);
    day.platform.kill(0);
    join_rest(&mut day, 1);
    day.run_to(51_550);
    day.platform.start(0, &old.0, old.1);
    day.run_to(63_000);
    day
}

#[test]
fn all_proxies_at_one_coordinator_amid_a_release_hold_lines() {
    for seed in 0..3 {
        scripted_day(seed, |_| {}).check(seed, RULES);
    }
}

#[test]
fn a_silent_leader_and_a_call_in_doubt_at_a_takeover_leave_nobody_without_a_line() {
    for seed in 0..3 {
        scripted_day(seed, |day| {
            let at = day.platform.now;
            let troubles = &mut day.platform.places[0].troubles;
            troubles.first_stream_silent = at + 2_500;
            troubles.calls_lost = at + 900;
            troubles.dials_refused = at + 1_500;
        })
        .check(seed, RULES);
    }
}

#[test]
fn a_silent_list_at_a_takeover_leaves_nobody_without_a_line() {
    for seed in 0..3 {
        scripted_day(seed, |day| {
            let at = day.platform.now;
            let troubles = &mut day.platform.places[0].troubles;
            troubles.list_silent = at + 4_000;
            troubles.answers_lost = at + 1_500;
        })
        .check(seed, RULES);
    }
}

/// Proxies that leave and join again while an event stream lags, which breaks before it has brought that.
#[test]
fn proxies_that_come_again_within_a_lag_are_bound_anew() {
    for (lag, silent) in [(0, 0), (300, 0), (900, 0), (1_800, 0), (0, 1_400), (0, 2_400)] {
        let mut day = Day::new(1);
        day.run_to(8_000);
        let at = day.platform.now;
        let troubles = &mut day.platform.places[0].troubles;
        troubles.first_stream_lag = lag;
        troubles.first_stream_silent = at + silent;
        day.run_to(8_100);
        (0..30).for_each(|proxy| day.platform.join(proxy * 3, 0));
        let delay = lag.max(silent);
        day.run_to(8_100 + delay - 50.min(delay));
        day.platform.end_first_stream(0);
        day.platform.places[0].troubles = Default::default();
        day.run_to(14_000);
        day.check(1, RULES);
    }
}

/// Hundreds join and leave at once, news of which is held up; those who stay get their orders.
#[test]
fn orders_for_proxies_that_have_left_do_not_hold_up_the_others() {
    let mut day = Day::new(1);
    day.run_to(8_000);
    let at = day.platform.now;
    let troubles = &mut day.platform.places[0].troubles;
    (troubles.call_time, troubles.calls_lost) = (50, at + 60);
    let new: Vec<u16> = (0..PROXIES).filter(|proxy| proxy % 3 != 0).collect();
    new.iter().for_each(|proxy| day.platform.join(*proxy, 0));
    day.run_to(8_030);
    day.platform.places[0].troubles.streams_silent = at + 2_400;
    let (leave, stay) = new.split_at(140);
    leave.iter().for_each(|proxy| day.platform.join(*proxy, 1));
    assert_eq!(stay.len(), 20);
    day.run_to(14_000);
    day.check(1, RULES);
}
