//! The case of the platform: its site, what is played, and how it is judged.

use crate::{CallTrouble, Class, Play, Site};

type PlayCase = fn(&mut Play) -> i32;

pub fn find(name: &str) -> Option<(Site, PlayCase)> {
    match name {
        "repeat" => Some((bengal(), repeat)),
        _ => None,
    }
}

fn class(name: &'static str, aim: f64, deadline: f64, worth: f64, semantics: &'static str) -> Class {
    Class {
        name,
        aim,
        deadline,
        worth,
        semantics,
        group: "all",
        window: 5.0,
        only_zones: Vec::new(),
        only_kinds: Vec::new(),
        home_only: false,
    }
}

/// bengal-bookings in the small: four zones, sixteen servers, eight proxies, one coordinator.
fn bengal() -> Site {
    const ZONES: [&str; 4] = ["salt-lake", "howrah", "kalyani", "durgapur"];
    const KINDS: [&str; 3] = ["new-box", "mid-box", "old-box"];
    Site {
        zones: ZONES.to_vec(),
        kinds: KINDS.to_vec(),
        classes: vec![
            class("slot-look", 1.5, 5.0, 3.0, "free"),
            class("slot-book", 2.0, 5.0, 2.0, "guarded"),
            class("bag-issue", 3.0, 7.5, 2.0, "single_shot"),
        ],
        coordinators: 1,
        grace: 3.0,
        bare: 2.8,
        ramp: 18.0,
        lines_per_s: 13_000.0,
        queue_cap: 26_000.0,
        head: 6.0,
        update_cap: 20,
        update_span: 10.0,
        push_delay: (0.13, 0.48),
        fall_multiple: 4.0,
        fall: 2.0,
        admission: "none",
        probing: false,
        period: 1.0,
        servers: (0..16).map(|number| (ZONES[number % 4], KINDS[number % 3])).collect(),
        proxies: (0..8).map(|number| ZONES[number % 4]).collect(),
        proxy_numbers: 8,
        rate: 20.0,
        home: |_| 0,
    }
}

fn join_all(play: &Play) {
    let mut world = play.world();
    for proxy in 0..world.proxies.len() {
        let coordinator = (world.site.home)(world.proxies[proxy].zone);
        world.attach(proxy, coordinator);
    }
}

/// A short queue, messages to one proxy: for 6 s the relay carries calls out and resets their connections.
fn repeat(play: &mut Play) -> i32 {
    join_all(play);
    play.wait_until(15.0);
    let from = play.world().now();
    if play.trouble {
        play.world().coordinators[0].call_trouble = Some((from, from + 6.0, CallTrouble::Reset));
        play.world().note("for 6 s the relay resets connections under calls that it carries out".into());
    }
    play.world().set_phase("s-0001", "DRAINING");
    play.wait_until(from + 16.0);
    if !play.all_run() {
        return 2;
    }
    let mut world = play.world();
    let (cap, span) = (world.site.update_cap, world.site.update_span);
    let mut broken = false;
    let written = world.coordinators[0].written.clone();
    for (proxy, times) in written {
        // The most within any span, counted from its joining.
        let most = times
            .iter()
            .enumerate()
            .map(|(first, from)| (times[first..].iter().take_while(|at| **at - from < span).count(), *from))
            .max_by_key(|(count, _)| *count)
            .unwrap_or_default();
        broken |= most.0 > cap;
        world.note(format!(
            "proxy {proxy}: {} messages in all, at most {} within {span} s (from {:.3}), {cap} allowed",
            times.len(),
            most.0,
            most.1
        ));
    }
    let (lines, at) = world.coordinators[0].most_lines;
    let cap = world.site.queue_cap;
    world.note(format!("most lines waiting: {lines:.0} at {at:.3}, {cap:.0} allowed"));
    i32::from(broken)
}
