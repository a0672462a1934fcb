//! The limits of the channel, judged by what the relay writes: a coordinator on a model of the platform whose
//! calls break.

mod helpers;
use helpers::channel::ChannelSettings;
use helpers::invariants::{Violation, MAX_NO_LINE_MS};
use helpers::platform::{Platform, START};

const SETTLED_MS: u64 = 15_000; // by then all proxies are bound and nothing is left to order
const OUTAGE_MS: u64 = 6_000;

/// A coordinator with this channel and all proxies, at rest.
fn settled(seed: u64, proxies: u16, servers: (usize, usize), channel: ChannelSettings) -> Platform {
    let mut platform = Platform::new(seed, 1, proxies, servers);
    platform.channel = channel;
    let list = platform.list();
    platform.start(0, &list, 1);
    platform.run_to(500);
    (0..proxies).for_each(|proxy| platform.join(proxy, 0));
    platform.run_to(SETTLED_MS);
    platform
}

/// Guards against calls that are repeated without regard to the limit of messages to one proxy: the same message
/// was written 24 times within 10 s while the relay reset the connections of the calls that it carried out.
#[test]
fn repeated_calls_keep_the_limit_of_messages_to_one_proxy() {
    for message_limit in [20, 12, 30, 1, 2] {
        let channel = ChannelSettings { message_overhead: 6.0, message_limit, ..ChannelSettings::default() };
        let mut platform = settled(1, 8, (8, 8), channel);
        platform.slots[0].faults.calls_reset = platform.now + OUTAGE_MS;
        platform.set_server("s-1", "DRAINING", None);
        platform.run_to(SETTLED_MS + OUTAGE_MS + 15_000);
        let most = platform.channel_checker.most_messages;
        assert!(most <= message_limit, "{most} messages to one proxy, {message_limit} allowed");
        // With fewer messages the rule on draining servers can't be kept.
        if message_limit >= 12 {
            let late = platform.checker.longest(Violation::UnavailableServer);
            assert!(late <= 3_000, "a line to a draining server for {late} ms");
        }
    }
}

/// How calls fail during an outage.
#[derive(Clone, Copy, Debug)]
enum Outage {
    /// They are carried out, and their connections are reset.
    Reset,
    /// They are carried out, and never answered.
    Unanswered,
    /// They are neither carried out nor answered.
    Lost,
    /// The relay refuses connections.
    Refused,
}

/// Guards against calls that are made without regard to what waits in the channel: each repetition costs all of its
/// lines again, and what was ordered during an outage goes out at its end. 70,578 lines waited where 4,400 were
/// allowed.
#[test]
fn calls_around_an_outage_keep_the_limit_of_lines_that_wait() {
    for outage in [Outage::Reset, Outage::Unanswered, Outage::Lost, Outage::Refused] {
        let channel =
            ChannelSettings { lines_per_ms: 2.2, lines_limit: 4_400.0, ..ChannelSettings::default() };
        let (lines_limit, proxies) = (channel.lines_limit, 200);
        let mut platform = settled(1, proxies, (20, 10), channel);
        let faults = &mut platform.slots[0].faults;
        let until = match outage {
            Outage::Reset => &mut faults.calls_reset,
            Outage::Unanswered => &mut faults.answers_lost,
            Outage::Lost => &mut faults.calls_lost,
            Outage::Refused => &mut faults.dials_refused,
        };
        *until = START + SETTLED_MS + OUTAGE_MS;
        (0..proxies).for_each(|proxy| platform.join(proxy, 0));
        for k in 0..12 {
            platform.run_to(SETTLED_MS + 300 * k);
            platform.set_server(&format!("s-{k}"), "DRAINING", None);
        }
        platform.run_to(SETTLED_MS + OUTAGE_MS + 20_000);
        let most = platform.channel_checker.most_lines;
        assert!(most <= lines_limit, "{outage:?}: {most} lines wait");
        let no_line = platform.checker.longest(Violation::NoLineToAny);
        assert!(no_line <= MAX_NO_LINE_MS, "{outage:?}: no line for {no_line} ms");
        let reversed = platform.channel_checker.reversed_marks;
        assert_eq!(reversed, 0, "{outage:?}: marks lower than an earlier one");
    }
}
