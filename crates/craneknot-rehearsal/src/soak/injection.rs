//! Injects the scheduled faults into the processes, the network and the server list of a soak.

use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::clients::{check_silent_connections, HeartbeatBurst};
use super::fault_proxy::FaultProxy;
use super::fleet::{zone_of, Fleet, Phase};
use super::node::{Node, ProcessHistory};
use super::run::Soak;
use super::schedule::{self, Fault, ListChange, Neighbour, Planned, Restart, RestartForm, ZoneRestart};
use super::spans::Span;

const REJOIN_DELAY: Duration = Duration::from_millis(300); // until proxies of a closed coordinator join another
const OLD_ADDRESS_LIFETIME: Duration = Duration::from_millis(1_500); // after a reload, as on the platform
const BURST_DURATION: Duration = Duration::from_secs(4); // for the largest burst at the node with the fewest descriptors
const THROTTLE_STOP_TIME: Duration = Duration::from_millis(15); // of each cycle
const THROTTLE_RUN_TIME: Duration = Duration::from_millis(5); // the rest of the cycle

impl Soak {
    /// Records that a fault affects a node from now on, for the span given.
    fn record_fault(&self, node: usize, span: Duration) {
        let from = Instant::now();
        self.contexts[node].history.lock().unwrap().fault_spans.push(Span::closed(from, from + span));
    }

    /// Injects one fault of the schedule.
    pub(super) fn inject(&mut self, planned: &Planned) {
        let number = planned.node;
        self.checker.faults.record(planned, Instant::now());
        match planned.fault {
            Fault::Kill { back_after } => self.kill(number, Duration::from_millis(back_after)),
            Fault::Terminate { again, crowd } => {
                self.terminate(number, again.map(Duration::from_millis), crowd)
            }
            Fault::Reload { half } => self.reload(number, half),
            Fault::Pause { millis } => self.pause(number, Duration::from_millis(millis)),
            Fault::Network { of, fault, millis } => {
                let span = Duration::from_millis(millis);
                self.record_fault(number, span);
                let node = self.nodes[number].lock().unwrap();
                let proxies = match of {
                    Neighbour::Relay => vec![node.relay.clone()],
                    Neighbour::Discovery => vec![node.discovery.clone()],
                    Neighbour::Both => vec![node.relay.clone(), node.discovery.clone()],
                };
                drop(node);
                proxies.iter().for_each(|proxy| proxy.set_fault(Some(fault)));
                self.threads.push(thread::spawn(move || {
                    thread::sleep(span);
                    proxies.iter().for_each(|proxy| proxy.set_fault(None));
                }));
            }
            Fault::Crowd { asking, silent } => {
                let context = self.contexts[number].clone();
                let from = Instant::now();
                context.history.lock().unwrap().bursts.push(Span::closed(from, from + BURST_DURATION));
                self.threads.push(thread::spawn(move || {
                    let silent_clients = context.clone();
                    let silent_clients =
                        thread::spawn(move || check_silent_connections(&silent_clients, silent));
                    HeartbeatBurst::open(&context, asking).check_replies();
                    let _ = silent_clients.join();
                }));
            }
            Fault::MoveAll => self.move_all(number),
            Fault::Reconnect { away } => self.reconnect(number, Duration::from_millis(away)),
            Fault::StepClock { seconds } => {
                let _ = self.nodes[number].lock().unwrap().step_clock(seconds);
            }
            Fault::List(change) => self.change_server_list(change),
            Fault::Throttle { millis } => self.throttle(number, Duration::from_millis(millis)),
            Fault::LoseZone { zone, millis } => self.lose_zone(number, zone, Duration::from_millis(millis)),
        }
    }

    /// Moves the proxies of a node to other nodes a moment later.
    fn move_proxies_to_others(&mut self, number: usize) {
        let (fleet, nodes) = (self.fleet.clone(), self.nodes.len());
        self.threads.push(thread::spawn(move || {
            thread::sleep(REJOIN_DELAY);
            let mut fleet = fleet.lock().unwrap();
            for (index, proxy) in fleet.joined(number).into_iter().enumerate() {
                fleet.leave(proxy, number);
                fleet.join(proxy, (number + 1 + index % (nodes - 1).max(1)) % nodes);
            }
        }));
    }

    /// Kills the process of a node if it runs, and starts another one later.
    fn kill_and_restart(&mut self, number: usize, after: Duration) {
        let (node, fleet) = (self.nodes[number].clone(), self.fleet.clone());
        let (checker, finished) = (self.checker.clone(), self.finished.clone());
        let history = self.contexts[number].history.clone();
        node.lock().unwrap().kill();
        fleet.lock().unwrap().process_ended(number);
        let epoch = history.lock().unwrap().epoch;
        self.threads.push(thread::spawn(move || {
            thread::sleep(after);
            let mut node = node.lock().unwrap();
            let was_replaced = history.lock().unwrap().epoch != epoch;
            if finished.load(Ordering::Relaxed) || was_replaced {
                return;
            }
            checker.starts.fetch_add(1, Ordering::Relaxed);
            if let Err(cause) = node.start(&checker) {
                checker.report_violation(format!("node {number}: failed to start: {cause}"));
            }
        }));
    }

    fn kill(&mut self, number: usize, back_after: Duration) {
        self.kill_and_restart(number, back_after);
        self.move_proxies_to_others(number);
    }

    fn terminate(&mut self, number: usize, again: Option<Duration>, crowd: usize) {
        let (node, context) = (self.nodes[number].clone(), self.contexts[number].clone());
        let is_running = {
            let history = context.history.lock().unwrap();
            history.address.is_some() && history.terminated.is_none() && history.killed.is_none()
        };
        if !is_running {
            return;
        }
        let burst = (crowd > 0).then(|| {
            pause_process(&node, &context.history);
            HeartbeatBurst::open(&context, crowd)
        });
        context.history.lock().unwrap().terminated = Some(Instant::now());
        {
            let node = node.lock().unwrap();
            node.signal(Signal::TERM);
            node.signal(Signal::CONT);
            context.history.lock().unwrap().end_open_pauses();
        }
        if let Some(burst) = burst {
            self.threads.push(thread::spawn(move || burst.check_replies()));
        }
        self.move_proxies_to_others(number);
        let (fleet, checker, finished) = (self.fleet.clone(), self.checker.clone(), self.finished.clone());
        let epoch = context.history.lock().unwrap().epoch;
        self.threads.push(thread::spawn(move || {
            let kill_after = schedule::kill_after_term();
            if let Some(again) = again {
                thread::sleep(again);
                node.lock().unwrap().signal(Signal::TERM);
            }
            thread::sleep(kill_after.saturating_sub(again.unwrap_or_default()));
            let mut node = node.lock().unwrap();
            if context.history.lock().unwrap().epoch != epoch {
                return;
            }
            node.kill();
            fleet.lock().unwrap().process_ended(number);
            if !finished.load(Ordering::Relaxed) {
                checker.starts.fetch_add(1, Ordering::Relaxed);
                if let Err(cause) = node.start(&checker) {
                    checker.report_violation(format!("node {number}: failed to start: {cause}"));
                }
            }
        }));
    }

    /// Moves relay and discovery of a node to other addresses and reloads its configuration.
    fn reload(&mut self, number: usize, half: bool) {
        let upstream = &self.upstream[number];
        let moved = (FaultProxy::start(upstream[&true]), FaultProxy::start(upstream[&false]));
        let (Ok(relay), Ok(discovery)) = moved else { return };
        self.record_fault(number, OLD_ADDRESS_LIFETIME + Duration::from_secs(4));
        let is_listening = self.contexts[number].history.lock().unwrap().address.is_some();
        let mut node = self.nodes[number].lock().unwrap();
        let old =
            [std::mem::replace(&mut node.relay, relay), std::mem::replace(&mut node.discovery, discovery)];
        if half {
            let _ = node.write_configuration(true);
            if is_listening {
                node.signal(Signal::HUP);
            }
            thread::sleep(Duration::from_millis(20));
        }
        let _ = node.write_configuration(false);
        // The platform sends no SIGHUP before a process is ready.
        if is_listening {
            node.signal(Signal::HUP);
        }
        self.threads.push(thread::spawn(move || {
            thread::sleep(OLD_ADDRESS_LIFETIME);
            old.iter().for_each(FaultProxy::close);
        }));
    }

    fn pause(&mut self, number: usize, span: Duration) {
        self.record_fault(number, span);
        let (node, history) = (self.nodes[number].clone(), self.contexts[number].history.clone());
        pause_process(&node, &history);
        self.threads.push(thread::spawn(move || {
            thread::sleep(span);
            let node = node.lock().unwrap();
            node.signal(Signal::CONT);
            history.lock().unwrap().end_open_pauses();
        }));
    }

    /// Stops a process for most of each short cycle. This excuses no late answer: a quarter of a core must suffice.
    fn throttle(&mut self, number: usize, span: Duration) {
        let (node, history) = (self.nodes[number].clone(), self.contexts[number].history.clone());
        let (finished, until) = (self.finished.clone(), Instant::now() + span);
        self.threads.push(thread::spawn(move || {
            let signal_if_not_paused = |signal: Signal| {
                let node = node.lock().unwrap();
                if !history.lock().unwrap().is_paused() {
                    node.signal(signal);
                }
            };
            while Instant::now() < until && !finished.load(Ordering::Relaxed) {
                signal_if_not_paused(Signal::STOP);
                thread::sleep(THROTTLE_STOP_TIME);
                signal_if_not_paused(Signal::CONT);
                thread::sleep(THROTTLE_RUN_TIME);
            }
        }));
    }

    /// All proxies of a node leave it and join it again after `away`.
    fn reconnect(&mut self, number: usize, away: Duration) {
        let fleet = self.fleet.clone();
        let mut locked_fleet = self.fleet.lock().unwrap();
        let left = locked_fleet.joined(number);
        left.iter().for_each(|proxy| locked_fleet.leave(*proxy, number));
        drop(locked_fleet);
        self.threads.push(thread::spawn(move || {
            thread::sleep(away);
            let mut fleet = fleet.lock().unwrap();
            left.iter().for_each(|proxy| fleet.join(*proxy, number));
        }));
    }

    fn move_all(&mut self, number: usize) {
        let mut fleet = self.fleet.lock().unwrap();
        for from in (0..self.nodes.len()).filter(|from| *from != number) {
            for proxy in fleet.joined(from) {
                fleet.leave(proxy, from);
                fleet.join(proxy, number);
            }
        }
    }

    fn change_server_list(&mut self, change: ListChange) {
        let fleet = self.fleet.clone();
        self.threads.push(thread::spawn(move || match change {
            ListChange::AnswerWhole => {
                fleet.lock().unwrap().answer_full_list = true;
                thread::sleep(Duration::from_secs(3));
                fleet.lock().unwrap().answer_full_list = false;
            }
            ListChange::Lag(millis) => {
                fleet.lock().unwrap().lag = Duration::from_millis(millis);
                thread::sleep(Duration::from_secs(3));
                fleet.lock().unwrap().lag = Duration::ZERO;
            }
            ListChange::Restart(restart) => restart_servers(&fleet, restart),
            ListChange::RestartZone(restart) => restart_zone(&fleet, restart),
        }));
    }

    /// A zone is lost together with a node; its proxies rejoin the nodes that run by then.
    fn lose_zone(&mut self, number: usize, zone: usize, span: Duration) {
        self.kill_and_restart(number, span);
        let left = self.fleet.lock().unwrap().lose_zone(zone);
        self.move_proxies_to_others(number);
        let (fleet, nodes) = (self.fleet.clone(), self.nodes.len());
        self.threads.push(thread::spawn(move || {
            thread::sleep(span);
            let mut fleet = fleet.lock().unwrap();
            fleet.restore_zone(zone);
            for proxy in left {
                fleet.join(proxy, (number + 1 + usize::from(proxy) % (nodes - 1).max(1)) % nodes);
            }
        }));
    }
}

/// Stops a process with SIGSTOP until it is continued.
fn pause_process(node: &Mutex<Node>, history: &Mutex<ProcessHistory>) {
    let node = node.lock().unwrap();
    history.lock().unwrap().begin_pause();
    node.signal(Signal::STOP);
}

/// Servers restart together, with one list update for each phase.
fn restart_servers(fleet: &Mutex<Fleet>, restart: Restart) {
    let all = fleet.lock().unwrap().servers.len();
    let servers: Vec<usize> = (0..restart.count).map(|offset| (restart.first + offset) % all).collect();
    let set_phase = |phase| fleet.lock().unwrap().set_phases(&servers, phase);
    if restart.form != RestartForm::ReadyAtOnce {
        set_phase(Phase::Draining);
        thread::sleep(Duration::from_millis(restart.draining));
    }
    if restart.form == RestartForm::DrainingGoneReady {
        set_phase(Phase::Removed);
        thread::sleep(Duration::from_millis(restart.gone));
    }
    set_phase(Phase::Ready);
}

/// The servers of a zone restart in place, with one list update for each wave.
fn restart_zone(fleet: &Mutex<Fleet>, restart: ZoneRestart) {
    let all = fleet.lock().unwrap().servers.len();
    let zone: Vec<usize> = (0..all).filter(|server| zone_of(*server) == restart.zone).collect();
    for wave in zone[restart.spared..].chunks(restart.wave) {
        fleet.lock().unwrap().set_phases(wave, Phase::Ready);
        thread::sleep(Duration::from_millis(restart.pause));
    }
}
