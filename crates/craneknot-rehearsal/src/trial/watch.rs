//! Watches the processes of a trial: who has ended by itself, and who is not ready in time.

use std::thread;
use std::time::{Duration, Instant};

use super::judge::{Judge, Reading, READY_WITHIN};
use super::stage::Stage;

const LOOK_EVERY: Duration = Duration::from_millis(20); // between looks

const AFTER_FIRST_ANSWER: Duration = Duration::from_secs(1); // in which nobody is late

/// Watches until the trial is over.
pub fn watch(stage: &Stage, judge: &Judge) {
    let mut told_late = vec![None; stage.coordinators.len()];
    let mut seen_ready = vec![None; stage.coordinators.len()];
    while !stage.is_over() {
        judge.sample();
        for (number, told) in told_late.iter_mut().enumerate() {
            judge_end(stage, judge, number);
            judge_start(stage, judge, number, told);
            hold_off_after_first_answer(stage, number, &mut seen_ready[number]);
        }
        let overdue = stage.registry.lock().unwrap().overdue(&running_since(stage));
        stage.fleet.lock().unwrap().told(&overdue);
        thread::sleep(LOOK_EVERY);
    }
}

/// Time limits begin no sooner than so long after a process's first answer.
fn hold_off_after_first_answer(stage: &Stage, number: usize, seen: &mut Option<usize>) {
    let processes = stage.timeline.processes(number);
    let is_ready = processes.last().is_some_and(|process| process.ready.is_some());
    let last = processes.len().checked_sub(1).filter(|_| is_ready);
    if last.is_some() && last != *seen {
        *seen = last;
        stage.fleet.lock().unwrap().hold_off_limits(number, AFTER_FIRST_ANSWER);
    }
}

/// When the processes that run were started.
fn running_since(stage: &Stage) -> Vec<Option<Instant>> {
    let of = |number| {
        let last = stage.timeline.processes(number).last().copied();
        last.filter(|process| process.ended.is_none()).map(|process| process.started)
    };
    (0..stage.coordinators.len()).map(of).collect()
}

/// A process that ends though nobody asked it to has crashed.
fn judge_end(stage: &Stage, judge: &Judge, number: usize) {
    let Some(status) = stage.coordinators[number].lock().unwrap().ended() else { return };
    stage.fleet.lock().unwrap().coordinator_ended(number);
    let processes = stage.timeline.processes(number);
    if processes.last().is_some_and(|process| process.terminated.is_none()) {
        let process = processes.len() - 1;
        judge.broken(
            Reading::Processes,
            number,
            process,
            judge.moment(),
            format!("ended by itself: {status}"),
        );
    }
}

fn judge_start(stage: &Stage, judge: &Judge, number: usize, told: &mut Option<usize>) {
    let processes = stage.timeline.processes(number);
    let Some(process) = processes.last() else { return };
    let place = processes.len() - 1;
    let is_waited_for = process.ready.is_none() && process.ended.is_none();
    if is_waited_for && process.started.elapsed() > READY_WITHIN && *told != Some(place) {
        *told = Some(place);
        judge.broken(Reading::Processes, number, place, judge.moment(), "not ready in 10 s".into());
    }
}
