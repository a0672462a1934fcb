//! Executes the steps of a script on the processes and simulated peers.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::deployment::{zone_of_server, SERVERS};
use super::fleet::SharedFleet;
use super::overlay::Overlay;
use super::process::Coordinator;
use super::registry::{unix_millis, DiscoveryBehaviour, Registry};
use super::release::{Phase, ServerChange};
use super::script::{Absence, Step};
use super::timeline::Timeline;
use crate::soak::schedule::NetworkFault;

const POLL_INTERVAL: Duration = Duration::from_millis(5); // while waiting for the exit of a process
const STEP_ACTIVE_FOR: Duration = Duration::from_secs(3); // how long a step is reported as an active fault
const RESET_DURATION: Duration = Duration::from_millis(150); // of disconnected connections; longer than any read timeout
const LISTING_DELAY: Duration = Duration::from_millis(400); // from a change of a server to its listing
const SILENT_LISTING_DELAY: Duration = Duration::from_millis(2_500); // the same for a machine that stops responding
const LIST_DELAY: Duration = Duration::from_millis(1_200); // of a late list
const CPU_STOPPED: Duration = Duration::from_millis(15); // in each 20 ms, for a quarter of a core
const CPU_RUNNING: Duration = Duration::from_millis(5);
const BUSY_THREADS: usize = 2; // threads that keep the machine busy

/// Executes steps on the coordinators, the fleet and the registry.
#[derive(Clone)]
pub struct ScriptRunner {
    pub coordinators: Vec<Arc<Mutex<Coordinator>>>,
    pub fleet: SharedFleet,
    pub registry: Arc<Mutex<Registry>>,
    pub timeline: Arc<Timeline>,
    finished: Arc<AtomicBool>,
    tasks: Arc<Mutex<Vec<JoinHandle<()>>>>,
}

impl ScriptRunner {
    /// Creates a runner that has executed no step.
    pub fn new(
        coordinators: Vec<Arc<Mutex<Coordinator>>>,
        fleet: SharedFleet,
        registry: Arc<Mutex<Registry>>,
        timeline: Arc<Timeline>,
        finished: Arc<AtomicBool>,
    ) -> Self {
        ScriptRunner { coordinators, fleet, registry, timeline, finished, tasks: Arc::default() }
    }

    /// Whether the trial is finished.
    pub fn is_finished(&self) -> bool {
        self.finished.load(Ordering::Relaxed)
    }

    /// Waits for all background tasks of steps.
    pub fn join(&self) {
        let tasks = std::mem::take(&mut *self.tasks.lock().unwrap());
        tasks.into_iter().for_each(|task| drop(task.join()));
    }

    fn spawn(&self, task: impl FnOnce(&ScriptRunner) + Send + 'static) {
        let runner = self.clone();
        self.tasks.lock().unwrap().push(thread::spawn(move || task(&runner)));
    }

    /// Sleeps, but not past the end of the trial.
    fn sleep(&self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until && !self.is_finished() {
            thread::sleep(POLL_INTERVAL.min(until.saturating_duration_since(Instant::now())));
        }
    }

    /// Executes one step; longer actions continue in the background.
    pub fn run_step(&self, step: &Step) {
        match step {
            Step::Servers(changes) => self.change_servers(changes),
            Step::Overlay { fault, coordinator, span } => {
                let span = Duration::from_millis(*span);
                self.timeline.record_fault(&format!("{fault} at n{coordinator}"), span);
                self.apply_overlay(*fault, *coordinator, span);
            }
            step => {
                self.timeline.record_fault(&format!("{step:?}"), STEP_ACTIVE_FOR);
                self.run_process_step(step);
            }
        }
    }

    fn run_process_step(&self, step: &Step) {
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
            Step::Leave(number, absence) => self.make_absent(number, absence),
            Step::Return(number, absence) => self.restore(number, absence),
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
            self.timeline.record_fault(&format!("n{number} could not be started: {cause}"), STEP_ACTIVE_FOR);
        }
    }

    fn restart(&self, number: usize, kill_after: Duration, back_after: Duration) {
        self.timeline.record_sigterm(number);
        self.coordinators[number].lock().unwrap().signal(Signal::TERM);
        self.fleet.lock().unwrap().leave_all(number);
        self.spawn(move |runner| {
            let until = Instant::now() + kill_after;
            let has_ended = || {
                let mut coordinator = runner.coordinators[number].lock().unwrap();
                // The process monitor may have taken the exit status first.
                coordinator.take_exit_status().is_some() || !coordinator.is_running()
            };
            while !has_ended() && Instant::now() < until {
                thread::sleep(POLL_INTERVAL);
            }
            runner.kill(number);
            runner.sleep(back_after);
            if !runner.is_finished() {
                runner.start(number);
            }
        });
    }

    fn make_absent(&self, number: usize, absence: Absence) {
        if absence == Absence::Killed {
            self.kill(number);
            return;
        }
        self.timeline.begin_absence(number);
        let coordinator = self.coordinators[number].lock().unwrap();
        match absence {
            Absence::Stopped => coordinator.signal(Signal::STOP),
            _ => coordinator.upstreams().iter().for_each(|proxy| proxy.set_fault(Some(NetworkFault::Stall))),
        }
        drop(coordinator);
        self.fleet.lock().unwrap().leave_all(number);
    }

    fn restore(&self, number: usize, absence: Absence) {
        if absence == Absence::Killed {
            self.start(number);
            return;
        }
        let coordinator = self.coordinators[number].lock().unwrap();
        match absence {
            Absence::Stopped => coordinator.signal(Signal::CONT),
            _ => self.reset_upstreams(number, &coordinator),
        }
        drop(coordinator);
        self.timeline.end_absence(number);
    }

    /// Resets disconnected connections, losing what was sent on them; then new ones can be opened.
    fn reset_upstreams(&self, number: usize, coordinator: &Coordinator) {
        coordinator.upstreams().iter().for_each(|proxy| proxy.set_fault(Some(NetworkFault::Refuse)));
        self.spawn(move |runner| {
            runner.sleep(RESET_DURATION);
            let coordinator = runner.coordinators[number].lock().unwrap();
            coordinator.upstreams().iter().for_each(|proxy| proxy.set_fault(None));
        });
    }

    fn change_servers(&self, changes: &[ServerChange]) {
        self.fleet.lock().unwrap().change_servers(changes);
        self.list_after(changes.to_vec(), LISTING_DELAY);
    }

    /// Lists changes of servers after a delay.
    fn list_after(&self, changes: Vec<ServerChange>, delay: Duration) {
        let started = unix_millis();
        self.spawn(move |runner| {
            runner.sleep(delay);
            runner.registry.lock().unwrap().change(&changes, started);
        });
    }

    /// Changes all servers of a zone. Discovery notices a machine that stops responding later than a process that ends.
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
        self.list_after(changes, if is_lost { SILENT_LISTING_DELAY } else { LISTING_DELAY });
    }

    fn apply_overlay(&self, fault: Overlay, number: usize, span: Duration) {
        match fault {
            Overlay::LogUnread | Overlay::ClockStep | Overlay::SystemCalls => {}
            Overlay::RelayThrottled | Overlay::RelayBroken | Overlay::RelaySpoilt => {
                self.fleet.lock().unwrap().fail_calls(number, fault, span);
            }
            Overlay::ListsLate => self.set_discovery(number, span, |behaviour| behaviour.delay = LIST_DELAY),
            Overlay::ListsWhole => self.set_discovery(number, span, |behaviour| behaviour.full_lists = true),
            Overlay::ListsSilent => self.set_discovery(number, span, |behaviour| behaviour.silent = true),
            Overlay::QuarterCore => self.spawn(move |runner| runner.limit_cpu(number, span)),
            Overlay::BusyNeighbours => (0..BUSY_THREADS).for_each(|_| {
                self.spawn(move |runner| {
                    let until = Instant::now() + span;
                    while Instant::now() < until && !runner.is_finished() {
                        std::hint::spin_loop();
                    }
                });
            }),
        }
    }

    fn set_discovery(&self, number: usize, span: Duration, set: impl Fn(&mut DiscoveryBehaviour)) {
        set(&mut self.registry.lock().unwrap().behaviours[number]);
        self.spawn(move |runner| {
            runner.sleep(span);
            runner.registry.lock().unwrap().behaviours[number] = DiscoveryBehaviour::default();
        });
    }

    /// Stops a process for three quarters of the time, unless it is stopped for another reason.
    fn limit_cpu(&self, number: usize, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until && !self.is_finished() {
            let now = Instant::now();
            if self.timeline.was_reachable(number, now, now) {
                self.coordinators[number].lock().unwrap().signal(Signal::STOP);
                thread::sleep(CPU_STOPPED);
                let now = Instant::now();
                if self.timeline.was_reachable(number, now, now) {
                    self.coordinators[number].lock().unwrap().signal(Signal::CONT);
                }
            }
            thread::sleep(CPU_RUNNING);
        }
    }
}
