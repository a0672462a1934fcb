//! Monitors the processes of a trial for unexpected exits and late starts.

use std::thread;
use std::time::{Duration, Instant};

use super::judge::{Judge, Reading, READY_WITHIN};
use super::script_runner::ScriptRunner;

const POLL_INTERVAL: Duration = Duration::from_millis(20); // between checks

const LIMITS_HELD_AFTER_READY: Duration = Duration::from_secs(1); // suspension of time limits

/// Monitors the processes until the trial is finished.
pub fn monitor(runner: &ScriptRunner, judge: &Judge) {
    let mut reported_late = vec![None; runner.coordinators.len()];
    let mut seen_ready = vec![None; runner.coordinators.len()];
    while !runner.is_finished() {
        judge.sample();
        for (number, reported) in reported_late.iter_mut().enumerate() {
            check_exit(runner, judge, number);
            check_readiness(runner, judge, number, reported);
            hold_limits_after_ready(runner, number, &mut seen_ready[number]);
        }
        let overdue = runner.registry.lock().unwrap().take_overdue(&running_since(runner));
        runner.fleet.lock().unwrap().apply_notices(&overdue);
        thread::sleep(POLL_INTERVAL);
    }
}

/// Suspends time limits until a delay after a process's first answer.
fn hold_limits_after_ready(runner: &ScriptRunner, number: usize, last_ready: &mut Option<usize>) {
    let processes = runner.timeline.processes(number);
    let is_ready = processes.last().is_some_and(|process| process.ready.is_some());
    let last = processes.len().checked_sub(1).filter(|_| is_ready);
    if last.is_some() && last != *last_ready {
        *last_ready = last;
        runner.fleet.lock().unwrap().hold_off_limits(number, LIMITS_HELD_AFTER_READY);
    }
}

/// The start times of the running processes.
fn running_since(runner: &ScriptRunner) -> Vec<Option<Instant>> {
    let start_time = |number| {
        let last = runner.timeline.processes(number).last().copied();
        last.filter(|process| process.ended.is_none()).map(|process| process.started)
    };
    (0..runner.coordinators.len()).map(start_time).collect()
}

/// Reports a process that exited without SIGTERM as a crash.
fn check_exit(runner: &ScriptRunner, judge: &Judge, number: usize) {
    let Some(status) = runner.coordinators[number].lock().unwrap().take_exit_status() else { return };
    runner.fleet.lock().unwrap().coordinator_ended(number);
    let processes = runner.timeline.processes(number);
    if processes.last().is_some_and(|process| process.terminated.is_none()) {
        let process = processes.len() - 1;
        judge.report_violation(
            Reading::Processes,
            number,
            process,
            judge.moment(),
            format!("exited unexpectedly: {status}"),
        );
    }
}

fn check_readiness(runner: &ScriptRunner, judge: &Judge, number: usize, reported: &mut Option<usize>) {
    let processes = runner.timeline.processes(number);
    let Some(process) = processes.last() else { return };
    let index = processes.len() - 1;
    let is_starting = process.ready.is_none() && process.ended.is_none();
    if is_starting && process.started.elapsed() > READY_WITHIN && *reported != Some(index) {
        *reported = Some(index);
        judge.report_violation(Reading::Processes, number, index, judge.moment(), "not ready in 10 s".into());
    }
}
