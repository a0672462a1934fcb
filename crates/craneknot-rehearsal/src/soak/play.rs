//! Plays the faults of a schedule on a soak's processes, network and list.

use std::sync::atomic::Ordering;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::clients::{come_silently, CrowdOfAskers};
use super::fault_proxy::FaultProxy;
use super::fleet::{zone_of, Fleet, Phase};
use super::hold_ups::Span;
use super::node::{Life, Node};
use super::run::Soak;
use super::schedule::{self, Fault, ListChange, Neighbour, Planned, Restart, RestartForm, ZoneRestart};

const REDIAL_AFTER: Duration = Duration::from_millis(300); // proxies whose coordinator is gone join another
const OLD_ADDRESS_ENDS: Duration = Duration::from_millis(1_500); // after a reload, as on the platform
const CROWD_LASTS: Duration = Duration::from_secs(4); // the largest crowd at the node with the fewest descriptors
const THROTTLE_STOPPED: Duration = Duration::from_millis(15); // of each cycle
const THROTTLE_RUNNING: Duration = Duration::from_millis(5); // the rest of it

impl Soak {
    /// A fault touches a node from now on for so long.
    fn disturb(&self, node: usize, span: Duration) {
        let from = Instant::now();
        self.around[node].life.lock().unwrap().disturbed.push(Span::closed(from, from + span));
    }

    pub(super) fn play(&mut self, planned: &Planned) {
        let number = planned.node;
        self.oracle.faults.begins(planned, Instant::now());
        match planned.fault {
            Fault::Kill { back_after } => self.kill(number, Duration::from_millis(back_after)),
            Fault::Terminate { again, crowd } => {
                self.terminate(number, again.map(Duration::from_millis), crowd)
            }
            Fault::Reload { half } => self.reload(number, half),
            Fault::Pause { millis } => self.pause(number, Duration::from_millis(millis)),
            Fault::Network { of, fault, millis } => {
                let span = Duration::from_millis(millis);
                self.disturb(number, span);
                let node = self.nodes[number].lock().unwrap();
                let proxies = match of {
                    Neighbour::Relay => vec![node.relay.clone()],
                    Neighbour::Discovery => vec![node.discovery.clone()],
                    Neighbour::Both => vec![node.relay.clone(), node.discovery.clone()],
                };
                drop(node);
                proxies.iter().for_each(|proxy| proxy.set(Some(fault)));
                self.tasks.push(thread::spawn(move || {
                    thread::sleep(span);
                    proxies.iter().for_each(|proxy| proxy.set(None));
                }));
            }
            Fault::Crowd { asking, silent } => {
                let around = self.around[number].clone();
                let from = Instant::now();
                around.life.lock().unwrap().crowded.push(Span::closed(from, from + CROWD_LASTS));
                self.tasks.push(thread::spawn(move || {
                    let quiet = around.clone();
                    let quiet = thread::spawn(move || come_silently(&quiet, silent));
                    CrowdOfAskers::come(&around, asking).judge();
                    let _ = quiet.join();
                }));
            }
            Fault::MoveAll => self.move_all(number),
            Fault::Reconnect { away } => self.reconnect(number, Duration::from_millis(away)),
            Fault::StepClock { seconds } => {
                let _ = self.nodes[number].lock().unwrap().step_clock(seconds);
            }
            Fault::List(change) => self.change_list(change),
            Fault::Throttle { millis } => self.throttle(number, Duration::from_millis(millis)),
            Fault::LoseZone { zone, millis } => self.lose_zone(number, zone, Duration::from_millis(millis)),
        }
    }

    /// Has the proxies of a node join others a moment later.
    fn scatter(&mut self, number: usize) {
        let (fleet, nodes) = (self.fleet.clone(), self.nodes.len());
        self.tasks.push(thread::spawn(move || {
            thread::sleep(REDIAL_AFTER);
            let mut fleet = fleet.lock().unwrap();
            for (place, proxy) in fleet.joined(number).into_iter().enumerate() {
                fleet.leave(proxy, number);
                fleet.join(proxy, (number + 1 + place % (nodes - 1).max(1)) % nodes);
            }
        }));
    }

    /// Kills a process if it runs, and starts another later.
    fn replace(&mut self, number: usize, after: Duration) {
        let (node, fleet) = (self.nodes[number].clone(), self.fleet.clone());
        let (oracle, over) = (self.oracle.clone(), self.over.clone());
        let life = self.around[number].life.clone();
        node.lock().unwrap().kill();
        fleet.lock().unwrap().process_ended(number);
        let epoch = life.lock().unwrap().epoch;
        self.tasks.push(thread::spawn(move || {
            thread::sleep(after);
            let mut node = node.lock().unwrap();
            let is_replaced = life.lock().unwrap().epoch != epoch;
            if over.load(Ordering::Relaxed) || is_replaced {
                return;
            }
            oracle.starts.fetch_add(1, Ordering::Relaxed);
            if let Err(cause) = node.start(&oracle) {
                oracle.broken(format!("node {number}: the soak can't start it: {cause}"));
            }
        }));
    }

    fn kill(&mut self, number: usize, back_after: Duration) {
        self.replace(number, back_after);
        self.scatter(number);
    }

    fn terminate(&mut self, number: usize, again: Option<Duration>, crowd: usize) {
        let (node, around) = (self.nodes[number].clone(), self.around[number].clone());
        let is_running = {
            let life = around.life.lock().unwrap();
            life.address.is_some() && life.terminated.is_none() && life.killed.is_none()
        };
        if !is_running {
            return;
        }
        let come = (crowd > 0).then(|| {
            stop(&node, &around.life);
            CrowdOfAskers::come(&around, crowd)
        });
        around.life.lock().unwrap().terminated = Some(Instant::now());
        {
            let node = node.lock().unwrap();
            node.signal(Signal::TERM);
            node.signal(Signal::CONT);
            around.life.lock().unwrap().end_pauses();
        }
        if let Some(come) = come {
            self.tasks.push(thread::spawn(move || come.judge()));
        }
        self.scatter(number);
        let (fleet, oracle, over) = (self.fleet.clone(), self.oracle.clone(), self.over.clone());
        let epoch = around.life.lock().unwrap().epoch;
        self.tasks.push(thread::spawn(move || {
            let kill_after = schedule::kill_after_term();
            if let Some(again) = again {
                thread::sleep(again);
                node.lock().unwrap().signal(Signal::TERM);
            }
            thread::sleep(kill_after.saturating_sub(again.unwrap_or_default()));
            let mut node = node.lock().unwrap();
            if around.life.lock().unwrap().epoch != epoch {
                return;
            }
            node.kill();
            fleet.lock().unwrap().process_ended(number);
            if !over.load(Ordering::Relaxed) {
                oracle.starts.fetch_add(1, Ordering::Relaxed);
                if let Err(cause) = node.start(&oracle) {
                    oracle.broken(format!("node {number}: the soak can't start it: {cause}"));
                }
            }
        }));
    }

    /// Relay and discovery move to other addresses.
    fn reload(&mut self, number: usize, half: bool) {
        let upstream = &self.upstream[number];
        let moved = (FaultProxy::start(upstream[&true]), FaultProxy::start(upstream[&false]));
        let (Ok(relay), Ok(discovery)) = moved else { return };
        self.disturb(number, OLD_ADDRESS_ENDS + Duration::from_secs(4));
        let is_listening = self.around[number].life.lock().unwrap().address.is_some();
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
        // The platform sends none before a process is ready.
        if is_listening {
            node.signal(Signal::HUP);
        }
        self.tasks.push(thread::spawn(move || {
            thread::sleep(OLD_ADDRESS_ENDS);
            old.iter().for_each(FaultProxy::close);
        }));
    }

    fn pause(&mut self, number: usize, span: Duration) {
        self.disturb(number, span);
        let (node, life) = (self.nodes[number].clone(), self.around[number].life.clone());
        stop(&node, &life);
        self.tasks.push(thread::spawn(move || {
            thread::sleep(span);
            let node = node.lock().unwrap();
            node.signal(Signal::CONT);
            life.lock().unwrap().end_pauses();
        }));
    }

    /// Stops a process for most of each short cycle. That excuses nothing: a quarter of a core has to do.
    fn throttle(&mut self, number: usize, span: Duration) {
        let (node, life) = (self.nodes[number].clone(), self.around[number].life.clone());
        let (over, until) = (self.over.clone(), Instant::now() + span);
        self.tasks.push(thread::spawn(move || {
            let signal_if_not_paused = |signal: Signal| {
                let node = node.lock().unwrap();
                if !life.lock().unwrap().is_paused() {
                    node.signal(signal);
                }
            };
            while Instant::now() < until && !over.load(Ordering::Relaxed) {
                signal_if_not_paused(Signal::STOP);
                thread::sleep(THROTTLE_STOPPED);
                signal_if_not_paused(Signal::CONT);
                thread::sleep(THROTTLE_RUNNING);
            }
        }));
    }

    /// All proxies of a node leave it, and come again.
    fn reconnect(&mut self, number: usize, away: Duration) {
        let fleet = self.fleet.clone();
        let mut held = self.fleet.lock().unwrap();
        let left = held.joined(number);
        left.iter().for_each(|proxy| held.leave(*proxy, number));
        drop(held);
        self.tasks.push(thread::spawn(move || {
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

    fn change_list(&mut self, change: ListChange) {
        let fleet = self.fleet.clone();
        self.tasks.push(thread::spawn(move || match change {
            ListChange::AnswerWhole => {
                fleet.lock().unwrap().answer_whole = true;
                thread::sleep(Duration::from_secs(3));
                fleet.lock().unwrap().answer_whole = false;
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

    /// A zone is lost with a node; its proxies come back where nodes run by then.
    fn lose_zone(&mut self, number: usize, zone: usize, span: Duration) {
        self.replace(number, span);
        let left = self.fleet.lock().unwrap().lose_zone(zone);
        self.scatter(number);
        let (fleet, nodes) = (self.fleet.clone(), self.nodes.len());
        self.tasks.push(thread::spawn(move || {
            thread::sleep(span);
            let mut fleet = fleet.lock().unwrap();
            fleet.regain_zone(zone);
            for proxy in left {
                fleet.join(proxy, (number + 1 + usize::from(proxy) % (nodes - 1).max(1)) % nodes);
            }
        }));
    }
}

/// Stops a process until it is told to go on.
fn stop(node: &Mutex<Node>, life: &Mutex<Life>) {
    let node = node.lock().unwrap();
    life.lock().unwrap().begin_pause();
    node.signal(Signal::STOP);
}

/// Servers restart together, each phase in one step of the list.
fn restart_servers(fleet: &Mutex<Fleet>, restart: Restart) {
    let all = fleet.lock().unwrap().servers.len();
    let servers: Vec<usize> = (0..restart.count).map(|place| (restart.first + place) % all).collect();
    let enter = |phase| fleet.lock().unwrap().set_phases(&servers, phase);
    if restart.form != RestartForm::ReadyAtOnce {
        enter(Phase::Draining);
        thread::sleep(Duration::from_millis(restart.draining));
    }
    if restart.form == RestartForm::DrainingGoneReady {
        enter(Phase::Gone);
        thread::sleep(Duration::from_millis(restart.gone));
    }
    enter(Phase::Ready);
}

/// The servers of a zone restart in place, a step of the list for each wave.
fn restart_zone(fleet: &Mutex<Fleet>, restart: ZoneRestart) {
    let all = fleet.lock().unwrap().servers.len();
    let zone: Vec<usize> = (0..all).filter(|server| zone_of(*server) == restart.zone).collect();
    for wave in zone[restart.spared..].chunks(restart.wave) {
        fleet.lock().unwrap().set_phases(wave, Phase::Ready);
        thread::sleep(Duration::from_millis(restart.pause));
    }
}
