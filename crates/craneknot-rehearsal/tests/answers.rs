//! Tests the soak's judge of answers with simulated times.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use craneknot_rehearsal::soak::coverage::MachineLateness;
use craneknot_rehearsal::soak::invariants::{Answer, InvariantChecker, Reply, Request};
use craneknot_rehearsal::soak::node::ProcessHistory;
use craneknot_rehearsal::soak::schedule::{Fault, Planned};
use craneknot_rehearsal::soak::spans::Span;

/// The counters of an invariant checker after one request.
#[derive(Debug, Default, PartialEq, Eq)]
struct Counts {
    answered: u64,
    after_sigterm: u64,
    late: u64,
    never: u64,
    rejected: u64,
    excused: u64,
    violations: usize,
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn request(sent: Instant) -> Request {
    Request { epoch: 1, opened: sent, sent, machine_lateness: Duration::ZERO, connection_had_ended: false }
}

fn counts(checker: &InvariantChecker) -> Counts {
    let count = |figure: &std::sync::atomic::AtomicU64| figure.load(Ordering::Relaxed);
    Counts {
        answered: count(&checker.answered),
        after_sigterm: count(&checker.answered_after_sigterm),
        late: count(&checker.answered_late),
        never: count(&checker.unanswered),
        rejected: count(&checker.rejected),
        excused: count(&checker.excused),
        violations: checker.violations().len(),
    }
}

fn judged(request: Request, history: &ProcessHistory, answer: Answer, after: Duration) -> Counts {
    let checker = InvariantChecker::new(MachineLateness::default());
    checker.check_reply(0, "a heartbeat", request, history, Reply { answer, at: request.sent + after });
    counts(&checker)
}

fn running() -> ProcessHistory {
    ProcessHistory { epoch: 1, ready: true, ..ProcessHistory::default() }
}

#[test]
fn an_answer_past_its_due_time_is_not_counted_as_answered() {
    let sent = Instant::now();
    let late = Counts { late: 1, violations: 1, ..Counts::default() };
    assert_eq!(judged(request(sent), &running(), Answer::Answered, millis(501)), late);
    assert_eq!(judged(request(sent), &running(), Answer::Rejected, millis(501)), late);
    let in_time = Counts { answered: 1, ..Counts::default() };
    assert_eq!(judged(request(sent), &running(), Answer::Answered, millis(500)), in_time);
    let rejected = Counts { rejected: 1, ..Counts::default() };
    assert_eq!(judged(request(sent), &running(), Answer::Rejected, millis(500)), rejected);
}

#[test]
fn a_request_without_an_answer_is_a_violation_unless_its_process_was_killed_before_it_was_due() {
    let sent = Instant::now();
    let never = Counts { never: 1, violations: 1, ..Counts::default() };
    assert_eq!(judged(request(sent), &running(), Answer::Lost, millis(100)), never);
    let killed_after = |after| ProcessHistory { killed: Some(sent + after), ..running() };
    let excused = Counts { excused: 1, ..Counts::default() };
    assert_eq!(judged(request(sent), &killed_after(millis(499)), Answer::Lost, millis(499)), excused);
    assert_eq!(judged(request(sent), &killed_after(millis(501)), Answer::Lost, millis(501)), never);
}

#[test]
fn a_pause_excuses_no_more_than_its_own_length() {
    let sent = Instant::now();
    let paused = Span::closed(sent + millis(100), sent + millis(800));
    let history = ProcessHistory { pauses: vec![paused], ..running() };
    let in_time = Counts { answered: 1, ..Counts::default() };
    let late = Counts { late: 1, violations: 1, ..Counts::default() };
    assert_eq!(judged(request(sent), &history, Answer::Answered, millis(1_200)), in_time);
    assert_eq!(judged(request(sent), &history, Answer::Answered, millis(1_201)), late);
    let later =
        ProcessHistory { pauses: vec![Span::closed(sent + millis(501), sent + millis(900))], ..running() };
    assert_eq!(judged(request(sent), &later, Answer::Answered, millis(900)), late);
}

#[test]
fn a_client_that_gives_up_before_its_answer_is_due_is_excused() {
    let sent = Instant::now();
    let history = ProcessHistory { pauses: vec![Span::open(sent)], ..running() };
    let excused = Counts { excused: 1, ..Counts::default() };
    assert_eq!(judged(request(sent), &history, Answer::GivenUp, millis(6_000)), excused);
    let never = Counts { never: 1, violations: 1, ..Counts::default() };
    assert_eq!(judged(request(sent), &running(), Answer::GivenUp, millis(6_000)), never);
    assert_eq!(judged(request(sent), &history, Answer::Lost, millis(6_000)), never);
}

#[test]
fn pauses_that_overlap_are_counted_once() {
    let sent = Instant::now();
    let first = Span::closed(sent, sent + millis(300));
    let second = Span::closed(sent + millis(200), sent + millis(400));
    let history = ProcessHistory { pauses: vec![second, first], ..running() };
    assert_eq!(judged(request(sent), &history, Answer::Answered, millis(901)).late, 1);
    assert_eq!(judged(request(sent), &history, Answer::Answered, millis(900)).late, 0);
}

#[test]
fn a_connection_burst_excuses_no_connection_that_was_open_before() {
    let opened = Instant::now();
    let burst = Span::closed(opened + millis(100), opened + millis(4_100));
    let history = ProcessHistory { bursts: vec![burst], ..running() };
    let open_before = Request { sent: opened + millis(200), ..request(opened) };
    assert_eq!(judged(open_before, &history, Answer::Answered, millis(501)).late, 1);
    let opened_during_burst = request(opened + millis(200));
    assert_eq!(judged(opened_during_burst, &history, Answer::Answered, millis(3_000)).answered, 1);
}

#[test]
fn a_late_answer_is_reported_with_its_connection_and_the_faults_of_its_time() {
    let opened = Instant::now();
    let sent = opened + millis(3_000);
    let checker = InvariantChecker::new(MachineLateness::default());
    let before = Planned { at: 0, node: 2, fault: Fault::Pause { millis: 100 } };
    let meanwhile = Planned { at: 3_100, node: 4, fault: Fault::Kill { back_after: 500 } };
    checker.faults.record(&before, opened);
    checker.faults.record(&meanwhile, sent + millis(100));
    let asked = Request { sent, ..request(opened) };
    let reply = Reply { answer: Answer::Answered, at: sent + millis(750) };
    checker.check_reply(4, "a heartbeat", asked, &running(), reply);
    let reported = checker.violations().concat();
    for part in
        ["node 4", "answered late, after 750", "250.000ms past", "3.0s old", "Kill { back_after: 500 }"]
    {
        assert!(reported.contains(part), "{part} is not in: {reported}");
    }
    assert!(!reported.contains("Pause"), "{reported}");
}

#[test]
fn a_request_on_an_ended_connection_is_excused_after_sigterm_alone() {
    let opened = Instant::now();
    let on_ended = Request { sent: opened + millis(60), connection_had_ended: true, ..request(opened) };
    let never = Counts { never: 1, violations: 1, ..Counts::default() };
    assert_eq!(judged(on_ended, &running(), Answer::Lost, millis(1)), never);
    let terminated = ProcessHistory { terminated: Some(opened + millis(50)), ..running() };
    let excused = Counts { excused: 1, ..Counts::default() };
    assert_eq!(judged(on_ended, &terminated, Answer::Lost, millis(1)), excused);
    let on_open = Request { connection_had_ended: false, ..on_ended };
    assert_eq!(judged(on_open, &terminated, Answer::Lost, millis(1)), never);
}

#[test]
fn an_answer_on_an_open_connection_after_sigterm_is_counted_separately() {
    let opened = Instant::now();
    let history = ProcessHistory { terminated: Some(opened + millis(50)), ..running() };
    let asked = Request { sent: opened + millis(60), ..request(opened) };
    let expected = Counts { answered: 1, after_sigterm: 1, ..Counts::default() };
    assert_eq!(judged(asked, &history, Answer::Answered, millis(10)), expected);
}
