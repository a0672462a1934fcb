//! The limit on messages to one proxy: any sequence of messages sent as soon as they are allowed.

use craneknot::interface::{Nanos, ProxyId};
use craneknot::MessagePace;
use quickcheck::quickcheck;

const SPAN: Nanos = Nanos::from_millis(10_000);
/// How much later than sent a message may be written.
const MAX_WRITE_DELAY_MS: u64 = 400;

quickcheck! {
    /// Guards against bursts that, with the paced messages after them, exceed the limit within some span, and against
    /// a proxy that gets no message at all after a burst.
    fn messages_stay_within_the_limit_and_never_stop(limit: u8, waits: Vec<(u16, u16)>) -> bool {
        let limit = 1 + u32::from(limit % 40);
        let mut pace = MessagePace::new(limit, SPAN);
        let (proxy, mut now, mut written) = (ProxyId(1), Nanos(0), Vec::new());
        // The longest pause that an even pace of one message less would leave.
        let max_pause = Nanos(SPAN.0 / u64::from(limit.div_ceil(2)) + SPAN.0 / 10);
        for (wait, delay) in waits.into_iter().cycle().take(300) {
            now = now + Nanos::from_millis(u64::from(wait) % 300);
            if pace.allowed_at(proxy, false) > now + max_pause {
                return false;
            }
            now = now.max(pace.allowed_at(proxy, false));
            pace.record(now, proxy);
            written.push(now + Nanos::from_millis(u64::from(delay) % MAX_WRITE_DELAY_MS));
        }
        written.sort();
        let within_span = |first: &Nanos| written.iter().filter(|at| *at >= first && **at < *first + SPAN).count();
        written.iter().all(|first| within_span(first) <= limit as usize)
    }
}

#[test]
fn a_first_repetition_needs_no_pause_and_other_proxies_are_not_affected() {
    let (mut pace, now) = (MessagePace::new(20, SPAN), Nanos::from_millis(5));
    pace.record(now, ProxyId(1));
    assert!(pace.allowed_at(ProxyId(1), false) <= now, "a second message may follow at once");
    (0..9).for_each(|_| pace.record(now, ProxyId(1)));
    assert!(pace.allowed_at(ProxyId(1), false) > now);
    assert_eq!(pace.allowed_at(ProxyId(2), true), Nanos(0));
}

#[test]
fn without_a_limit_messages_are_not_counted() {
    let mut pace = MessagePace::new(0, SPAN);
    (0..1_000).for_each(|_| pace.record(Nanos(1), ProxyId(1)));
    assert!(!pace.is_limited() && pace.allowed_at(ProxyId(1), false) == Nanos(0));
}
