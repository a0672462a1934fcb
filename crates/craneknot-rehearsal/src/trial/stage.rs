//! Carries out the steps of a script on the processes and stand-ins.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::deployment::{zone_of_server, SERVERS};
use super::fleet::SharedFleet;
use super::overlay::Overlay;
use super::process::Coordinator;
use super::registry::{unix_millis, Answers, Registry};
use super::release::{Phase, ServerChange};
use super::script::{Absence, Step};
use super::timeline::Timeline;
use crate::soak::schedule::NetworkFault;

const LOOK_EVERY: Duration = Duration::from_millis(5); // while the end of a process is awaited
const TOLD_FOR: Duration = Duration::from_secs(3); // how long a step counts as active
const RESET_LASTS: Duration = Duration::from_millis(150); // of connections that were cut off; longer than any read waits
const LIST_NOTICE: Duration = Duration::from_millis(400); // from a server's change to the list
const SILENT_NOTICE: Duration = Duration::from_millis(2_500); // the same for a machine that falls silent
const LATE: Duration = Duration::from_millis(1_200); // of a list that comes late
const STOPPED: Duration = Duration::from_millis(15); // of each 20 ms, with a quarter of a core
const RUNNING: Duration = Duration::from_millis(5);
const NEIGHBOURS: usize = 2; // threads that keep the machine busy

/// Everything that steps act on.
#[derive(Clone)]
pub struct Stage {
    pub coordinators: Vec<Arc<Mutex<Coordinator>>>,
    pub fleet: SharedFleet,
    pub registry: Arc<Mutex<Registry>>,
    pub timeline: Arc<Timeline>,
    over: Arc<AtomicBool>,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl Stage {
    /// A stage on which nothing has been played.
    pub fn new(
        coordinators: Vec<Arc<Mutex<Coordinator>>>,
        fleet: SharedFleet,
        registry: Arc<Mutex<Registry>>,
        timeline: Arc<Timeline>,
        over: Arc<AtomicBool>,
    ) -> Self {
        Stage { coordinators, fleet, registry, timeline, over, tasks: Arc::default() }
    }

    /// Whether the trial is over.
    pub fn is_over(&self) -> bool {
        self.over.load(Ordering::Relaxed)
    }

    /// Waits for all that steps have left running.
    pub fn join(&self) {
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap());
        tasks.into_iter().for_each(|task| drop(task.join()));
    }

    fn spawn(&self, task: impl FnOnce(&Stage) + Send + 'static) {
        let stage = self.clone();
        self.tasks.lock().unwrap().push(thread::spawn(move || task(&stage)));
    }

    /// Sleeps, but not past the end of the trial.
    fn sleep(&self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until && !self.is_over() {
            thread::sleep(LOOK_EVERY.min(until.saturating_duration_since(Instant::now())));
        }
    }

    /// Plays one step; what takes time goes on by itself.
    pub fn play(&self, step: &Step) {
        match step {
            Step::Servers(changes) => self.change_servers(changes),
            Step::Overlay { fault, coordinator, span } => {
                let span = Duration::from_millis(*span);
                self.timeline.fault(&format!("{fault} at n{coordinator}"), span);
                self.lay_over(*fault, *coordinator, span);
            }
            step => {
                self.timeline.fault(&format!("{step:?}"), TOLD_FOR);
                self.play_on_processes(step);
            }
        }
    }

    fn play_on_processes(&self, step: &Step) {
        match *step {
            Step::Kill(number) => self.kill(number),
            Step::Start(number) => self.start(number),
            Step::Restart { coordinator, kill_after, back_after } => {
                self.restart(
                    coordinator,
                    Duration::from_millis(kill_after),
                    Duration::from_millis(back_after),
                );
            }
            Step::Leave(number, how) => self.leave(number, how),
            Step::Return(number, how) => self.return_from(number, how),
            Step::LoseZone { zone, silent } => self.change_zone(zone, Phase::Gone, silent),
            Step::RestartZone { zone } => self.change_zone(zone, Phase::Ready, false),
            Step::RegainZone { zone, silent } => self.change_zone(zone, Phase::Ready, silent),
            Step::Move { to, within, one_in } => {
                self.fleet.lock().unwrap().move_proxies(to, Duration::from_millis(within), one_in);
            }
            Step::Servers(_) | Step::Overlay { .. } => {}
        }
    }

    fn kill(&self, number: usize) {
        self.coordinators[number].lock().unwrap().kill();
        self.fleet.lock().unwrap().coordinator_ended(number);
    }

    fn start(&self, number: usize) {
        if let Err(cause) = self.coordinators[number].lock().unwrap().start() {
            self.timeline.fault(&format!("n{number} could not be started: {cause}"), TOLD_FOR);
        }
    }

    fn restart(&self, number: usize, kill_after: Duration, back_after: Duration) {
        self.timeline.terminated(number);
        self.coordinators[number].lock().unwrap().signal(Signal::TERM);
        self.fleet.lock().unwrap().leave_all(number);
        self.spawn(move |stage| {
            let until = Instant::now() + kill_after;
            let has_ended = || {
                let mut coordinator = stage.coordinators[number].lock().unwrap();
                // The watch may have seen it first.
                coordinator.ended().is_some() || !coordinator.runs()
            };
            while !has_ended() && Instant::now() < until {
                thread::sleep(LOOK_EVERY);
            }
            stage.kill(number);
            stage.sleep(back_after);
            if !stage.is_over() {
                stage.start(number);
            }
        });
    }

    fn leave(&self, number: usize, how: Absence) {
        if how == Absence::Killed {
            self.kill(number);
            return;
        }
        self.timeline.absent(number);
        let coordinator = self.coordinators[number].lock().unwrap();
        match how {
            Absence::Stopped => coordinator.signal(Signal::STOP),
            _ => coordinator.neighbours().iter().for_each(|proxy| proxy.set_fault(Some(NetworkFault::Stall))),
        }
        drop(coordinator);
        self.fleet.lock().unwrap().leave_all(number);
    }

    fn return_from(&self, number: usize, how: Absence) {
        if how == Absence::Killed {
            self.start(number);
            return;
        }
        let coordinator = self.coordinators[number].lock().unwrap();
        match how {
            Absence::Stopped => coordinator.signal(Signal::CONT),
            _ => self.reset_neighbours(number, &coordinator),
        }
        drop(coordinator);
        self.timeline.present(number);
    }

    /// Connections that were cut off are reset, and what was sent on them is lost; then new ones come up.
    fn reset_neighbours(&self, number: usize, coordinator: &Coordinator) {
        coordinator.neighbours().iter().for_each(|proxy| proxy.set_fault(Some(NetworkFault::Refuse)));
        self.spawn(move |stage| {
            stage.sleep(RESET_LASTS);
            let coordinator = stage.coordinators[number].lock().unwrap();
            coordinator.neighbours().iter().for_each(|proxy| proxy.set_fault(None));
        });
    }

    fn change_servers(&self, changes: &[ServerChange]) {
        self.fleet.lock().unwrap().change_servers(changes);
        self.list_later(changes.to_vec(), LIST_NOTICE);
    }

    /// What has become of servers is listed after a while.
    fn list_later(&self, changes: Vec<ServerChange>, notice: Duration) {
        let started = unix_millis();
        self.spawn(move |stage| {
            stage.sleep(notice);
            stage.registry.lock().unwrap().change(&changes, started);
        });
    }

    /// A zone's servers are lost or back. Discovery sees a machine that falls silent later than a process that ends.
    fn change_zone(&self, zone: usize, phase: Phase, silent: bool) {
        let servers = (0..SERVERS).filter(|server| zone_of_server(*server) == zone);
        let changes: Vec<ServerChange> = servers.map(|server| ServerChange { server, phase }).collect();
        if !silent {
            return self.change_servers(&changes);
        }
        let is_lost = phase == Phase::Gone;
        let mut fleet = self.fleet.lock().unwrap();
        changes.iter().for_each(|change| fleet.silence_server(change.server, is_lost));
        if !is_lost {
            fleet.change_servers(&changes);
        }
        drop(fleet);
        self.list_later(changes, if is_lost { SILENT_NOTICE } else { LIST_NOTICE });
    }

    fn lay_over(&self, fault: Overlay, number: usize, span: Duration) {
        match fault {
            Overlay::LogUnread | Overlay::ClockStep | Overlay::SystemCalls => {}
            Overlay::RelayThrottled | Overlay::RelayBroken | Overlay::RelaySpoilt => {
                self.fleet.lock().unwrap().strike_calls(number, fault, span);
            }
            Overlay::ListsLate => self.answer_lists(number, span, |answers| answers.late = LATE),
            Overlay::ListsWhole => self.answer_lists(number, span, |answers| answers.whole = true),
            Overlay::ListsSilent => self.answer_lists(number, span, |answers| answers.silent = true),
            Overlay::QuarterCore => self.spawn(move |stage| stage.give_quarter(number, span)),
            Overlay::BusyNeighbours => (0..NEIGHBOURS).for_each(|_| {
                self.spawn(move |stage| {
                    let until = Instant::now() + span;
                    while Instant::now() < until && !stage.is_over() {
                        std::hint::spin_loop();
                    }
                });
            }),
        }
    }

    fn answer_lists(&self, number: usize, span: Duration, set: impl Fn(&mut Answers)) {
        set(&mut self.registry.lock().unwrap().answers[number]);
        self.spawn(move |stage| {
            stage.sleep(span);
            stage.registry.lock().unwrap().answers[number] = Answers::default();
        });
    }

    /// Stops a process for three quarters of the time. One that is stopped anyway is left alone.
    fn give_quarter(&self, number: usize, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until && !self.is_over() {
            let now = Instant::now();
            if self.timeline.was_present(number, now, now) {
                self.coordinators[number].lock().unwrap().signal(Signal::STOP);
                thread::sleep(STOPPED);
                let now = Instant::now();
                if self.timeline.was_present(number, now, now) {
                    self.coordinators[number].lock().unwrap().signal(Signal::CONT);
                }
            }
            thread::sleep(RUNNING);
        }
    }
}
