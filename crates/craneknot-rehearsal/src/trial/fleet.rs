//! The proxies: which coordinator each is joined to, the relay's events about them, and the workload that they carry.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

use super::deployment::{self, server_id, zone_of_proxy, COORDINATORS, PROXIES, SERVERS, ZONES};
use super::event_streams::EventStreams;
use super::judge::Judge;
use super::orders;
use super::overlay::Overlay;
use super::registry::Notice;
use super::relay::CallOutcome;
use super::release::{Phase, ServerChange};
use super::reports::Reports;
use super::settings::{InjectedFault, TrialSettings};
use crate::workload::{self, Order, ServerAction, Summary, Workload, WorkloadSettings};

const DIAL_DELAY_MILLIS: std::ops::Range<u64> = 100..1_400; // from the loss of a coordinator to the next connection attempt
const REDIAL_INTERVAL: Duration = Duration::from_millis(200); // while no coordinator accepts proxies
const MOVE_DELAY: Duration = Duration::from_millis(50); // between the two streams of a moving proxy
const CALL_FAULT_PROBABILITY: f64 = 0.5; // that a call fails while a call fault is active
const LIMITS_HELD_AFTER_BROKEN_CALL: Duration = Duration::from_millis(500); // suspension of time limits after a broken call
const LIMITS_HELD_AFTER_UNREADABLE_ANSWER: Duration = Duration::from_millis(1_500); // the same after an unreadable answer
const INJECTED_SILENCE_AT: Duration = Duration::from_secs(2); // since the start of the day; for the injected fault of silent servers

/// The fleet as shared by the threads of the simulated peers.
pub type SharedFleet = Arc<Mutex<Fleet>>;

#[derive(Clone, Copy, Debug)]
enum ProxyState {
    Joined(usize),
    /// It connects at that time, to the given coordinator or to any.
    Dialling {
        at: Instant,
        to: Option<usize>,
    },
}

struct Move {
    at: Instant,
    proxy: u16,
    to: usize,
}

struct CallFault {
    coordinator: usize,
    fault: Overlay,
    until: Instant,
}

/// All proxies, and the workload.
pub struct Fleet {
    workload: Workload,
    workload_settings: WorkloadSettings,
    seed: u64,
    day_start: Option<Instant>,
    proxy_states: Vec<ProxyState>,
    /// By proxy: the times at which it joined a coordinator or left, oldest first.
    join_history: Vec<Vec<(Duration, Option<usize>)>>,
    moves: Vec<Move>,
    call_faults: Vec<CallFault>,
    event_streams: Vec<EventStreams>,
    reports: Reports,
    /// The changes of servers, for the reference run.
    server_history: Vec<workload::ServerChange>,
    judge: Arc<Judge>,
    rng: Pcg32,
    injected_fault: Option<InjectedFault>,
}

impl Fleet {
    /// Creates a fleet whose day has not started: no proxy is joined, and calls are rejected.
    pub fn new(settings: &TrialSettings, judge: Arc<Judge>) -> Self {
        let workload_settings = deployment::workload(settings.seed);
        let unattached = ProxyState::Dialling { at: Instant::now(), to: None };
        Fleet {
            workload: Workload::new(workload_settings.clone(), settings.seed),
            workload_settings,
            seed: settings.seed,
            day_start: None,
            proxy_states: vec![unattached; usize::from(PROXIES)],
            join_history: vec![Vec::new(); usize::from(PROXIES)],
            moves: Vec::new(),
            call_faults: Vec::new(),
            event_streams: (0..COORDINATORS).map(|_| EventStreams::default()).collect(),
            reports: Reports::default(),
            server_history: Vec::new(),
            judge,
            rng: Pcg32::seed_from_u64(settings.seed),
            injected_fault: settings.injected_fault,
        }
    }

    /// Starts the day: servers run, and proxies join the coordinators in turn.
    pub fn start_day(&mut self) {
        // Started at time zero, so that they are warm.
        for server in 0..SERVERS {
            self.act_on_server(server, ServerAction::Start);
        }
        self.notify_initial_list();
        self.day_start = Some(Instant::now());
        for proxy in 0..PROXIES {
            self.join(proxy, usize::from(proxy) % COORDINATORS);
        }
    }

    /// Marks all servers as known to all coordinators, which are started with the full list.
    fn notify_initial_list(&mut self) {
        let all =
            |coordinator| (0..SERVERS).map(move |server| Notice { coordinator, server, is_ready: true });
        let notices: Vec<Notice> = (0..COORDINATORS).flat_map(all).collect();
        self.apply_notices(&notices);
    }

    fn now(&self) -> Duration {
        self.day_start.map_or(Duration::ZERO, |day_start| day_start.elapsed())
    }

    /// Advances the workload to the present, and lets proxies connect and move.
    pub fn advance(&mut self) {
        if self.day_start.is_none() {
            return;
        }
        self.workload.advance(self.now());
        if self.injected_fault == Some(InjectedFault::SilentServers) && self.now() > INJECTED_SILENCE_AT {
            self.injected_fault = None;
            (0..SERVERS).for_each(|server| self.silence_server(server, true));
        }
        self.publish_acknowledgements();
        self.reports.collect(&mut self.workload);
        self.start_due_moves();
        self.dial_due_proxies();
    }

    fn publish_acknowledgements(&mut self) {
        for coordinator in 0..COORDINATORS {
            for acknowledgement in self.workload.take_acknowledgements(coordinator) {
                self.judge.judge_mark(coordinator, acknowledgement.latency);
                let millis = acknowledgement.latency.as_secs_f64() * 1e3;
                self.event_streams[coordinator].broadcast(&format!(
                    "event: done\ndata: node={}&nonce={}&latency={millis:.1}\n\n",
                    acknowledgement.proxy, acknowledgement.mark
                ));
            }
        }
    }

    fn dial_due_proxies(&mut self) {
        let now = Instant::now();
        let accepting: Vec<usize> =
            (0..COORDINATORS).filter(|number| self.judge.timeline.accepts_proxies(*number)).collect();
        for proxy in 0..PROXIES {
            let ProxyState::Dialling { at, to } = self.proxy_states[usize::from(proxy)] else { continue };
            if at > now {
                continue;
            }
            let target =
                to.filter(|to| accepting.contains(to)).or_else(|| accepting.choose(&mut self.rng).copied());
            match target {
                Some(to) => self.join(proxy, to),
                None => {
                    self.proxy_states[usize::from(proxy)] =
                        ProxyState::Dialling { at: now + REDIAL_INTERVAL, to };
                }
            }
        }
    }

    fn start_due_moves(&mut self) {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.moves).into_iter().partition(|planned| planned.at <= now);
        self.moves = later;
        let due: Vec<Move> = due;
        for Move { proxy, to, .. } in due {
            if matches!(self.proxy_states[usize::from(proxy)], ProxyState::Joined(joined_to) if joined_to != to)
            {
                self.leave(proxy);
                self.proxy_states[usize::from(proxy)] =
                    ProxyState::Dialling { at: now + MOVE_DELAY, to: Some(to) };
            }
        }
    }

    fn attach_event(&self, proxy: u16) -> String {
        let cold = u8::from(self.workload.holds_only_standing_table(proxy));
        let (zone, rate) = (ZONES[zone_of_proxy(proxy)], self.workload.proxy_rate(proxy));
        format!("event: attach\ndata: node={proxy}&locality={zone}&w={rate:.2}&cold={cold}\n\n")
    }

    fn join(&mut self, proxy: u16, coordinator: usize) {
        if self.workload.join(proxy, coordinator).is_ok() {
            self.proxy_states[usize::from(proxy)] = ProxyState::Joined(coordinator);
            let now = self.now();
            self.join_history[usize::from(proxy)].push((now, Some(coordinator)));
            let event = self.attach_event(proxy);
            self.event_streams[coordinator].broadcast(&event);
        }
    }

    /// Ends a proxy's stream; the proxy connects to another coordinator after a delay.
    fn leave(&mut self, proxy: u16) {
        let ProxyState::Joined(coordinator) = self.proxy_states[usize::from(proxy)] else { return };
        let now = self.now();
        self.join_history[usize::from(proxy)].push((now, None));
        let _ = self.workload.leave(proxy);
        self.event_streams[coordinator].broadcast(&format!("event: detach\ndata: node={proxy}\n\n"));
        self.dial_later(proxy);
    }

    fn dial_later(&mut self, proxy: u16) {
        let span = Duration::from_millis(self.rng.random_range(DIAL_DELAY_MILLIS));
        self.proxy_states[usize::from(proxy)] = ProxyState::Dialling { at: Instant::now() + span, to: None };
    }

    fn joined(&self, coordinator: usize) -> Vec<u16> {
        let is_joined = |proxy: &u16| matches!(self.proxy_states[usize::from(*proxy)], ProxyState::Joined(joined_to) if joined_to == coordinator);
        (0..PROXIES).filter(is_joined).collect()
    }

    /// Makes all proxies of a coordinator leave it.
    pub fn leave_all(&mut self, coordinator: usize) {
        self.joined(coordinator).into_iter().for_each(|proxy| self.leave(proxy));
    }

    /// Handles the end of a coordinator's process, which ends its streams and tables.
    pub fn coordinator_ended(&mut self, coordinator: usize) {
        self.leave_all(coordinator);
        let _ = self.workload.coordinator_ended(coordinator);
        self.event_streams[coordinator].close_all();
    }

    /// Moves every `one_in`-th proxy to a coordinator, at random times within a span.
    pub fn move_proxies(&mut self, to: usize, within: Duration, one_in: u16) {
        for proxy in (0..PROXIES).filter(|proxy| proxy % one_in.max(1) == 0) {
            let at = Instant::now() + within.mul_f64(self.rng.random_range(0.0..1.0));
            self.moves.push(Move { at, proxy, to });
        }
    }

    /// Changes servers, independently of what the list says so far.
    pub fn change_servers(&mut self, changes: &[ServerChange]) {
        for change in changes {
            match change.phase {
                Phase::Draining => self.act_on_server(change.server, ServerAction::Drain),
                Phase::Gone => self.act_on_server(change.server, ServerAction::Stop),
                Phase::Ready => {
                    self.act_on_server(change.server, ServerAction::Stop);
                    self.act_on_server(change.server, ServerAction::Start);
                }
            }
        }
    }

    /// Makes a server silent, or ends its silence.
    pub fn silence_server(&mut self, server: usize, silent: bool) {
        self.act_on_server(server, ServerAction::Silence(silent));
    }

    fn act_on_server(&mut self, server: usize, action: ServerAction) {
        let (id, at) = (server_id(server), self.now());
        self.workload.advance(at);
        // The workload has all servers of the list.
        let _ = self.workload.change_server(&id, action);
        self.server_history.push(workload::ServerChange { at, server: id, action });
    }

    /// Records that coordinators were notified of changes of servers.
    pub fn apply_notices(&mut self, notices: &[Notice]) {
        for notice in notices {
            let id = server_id(notice.server);
            let _ = match notice.is_ready {
                true => self.workload.notify_server_ready(notice.coordinator, &id),
                false => self.workload.notify_server_lost(notice.coordinator, &id),
            };
        }
    }

    /// Suspends the time limits of a coordinator's proxies for a span from now on.
    pub fn hold_off_limits(&mut self, coordinator: usize, span: Duration) {
        let now = self.now();
        self.workload.advance(now);
        let _ = self.workload.suspend_limits(coordinator, span);
    }

    /// Makes calls of a coordinator fail for a span.
    pub fn fail_calls(&mut self, coordinator: usize, fault: Overlay, span: Duration) {
        self.call_faults.push(CallFault { coordinator, fault, until: Instant::now() + span });
    }

    /// Draws the outcome of a coordinator's next call.
    pub fn draw_call_outcome(&mut self, coordinator: usize) -> CallOutcome {
        if self.day_start.is_none() {
            return CallOutcome::Throttled;
        }
        let now = Instant::now();
        self.call_faults.retain(|call_fault| call_fault.until > now);
        let call_fault = self.call_faults.iter().find(|call_fault| call_fault.coordinator == coordinator);
        let Some(fault) = call_fault
            .map(|call_fault| call_fault.fault)
            .filter(|_| self.rng.random_bool(CALL_FAULT_PROBABILITY))
        else {
            return CallOutcome::Answered;
        };
        let carried_out = self.rng.random_bool(0.5);
        match fault {
            Overlay::RelayThrottled => CallOutcome::Throttled,
            Overlay::RelayBroken => {
                self.hold_off_limits(coordinator, LIMITS_HELD_AFTER_BROKEN_CALL);
                CallOutcome::Broken { carried_out }
            }
            _ => {
                self.hold_off_limits(coordinator, LIMITS_HELD_AFTER_UNREADABLE_ANSWER);
                CallOutcome::Spoilt { carried_out }
            }
        }
    }

    /// Executes the orders of one call up to the first invalid one; returns how many were executed.
    pub fn apply(&mut self, coordinator: usize, texts: &[&str]) -> usize {
        let now = self.now();
        self.workload.advance(now);
        let taken = texts.iter().take_while(|text| self.apply_one(coordinator, text)).count();
        self.workload.end_batch(coordinator);
        taken
    }

    fn apply_one(&mut self, coordinator: usize, text: &str) -> bool {
        let Some(order) = orders::parse_order(text) else { return false };
        let is_dropped = self.injected_fault == Some(InjectedFault::LinesDropped)
            && matches!(order, Order::SetLine { .. });
        is_dropped || self.workload.apply(coordinator, &order).is_ok()
    }

    /// Opens an event stream of a coordinator; it begins with the proxies that are joined.
    pub fn open_stream(&mut self, coordinator: usize) -> u64 {
        let initial_events =
            self.joined(coordinator).into_iter().map(|proxy| self.attach_event(proxy)).collect();
        self.event_streams[coordinator].open(initial_events)
    }

    /// Takes the queued events of a stream; returns `None` if it is closed.
    pub fn take_events(&mut self, coordinator: usize, stream: u64) -> Option<Vec<String>> {
        self.event_streams[coordinator].take(stream)
    }

    /// Closes a stream.
    pub fn close_stream(&mut self, coordinator: usize, stream: u64) {
        self.event_streams[coordinator].close(stream);
    }

    /// Takes the reports that a zone's collector forwards to a coordinator.
    pub fn take_reports(&mut self, coordinator: usize, zone: usize) -> String {
        self.reports.take(coordinator, zone)
    }

    /// The coordinator that a proxy was joined to at a time, if any.
    pub fn joined_at(&self, proxy: u16, at: Duration) -> Option<usize> {
        let join_history = &self.join_history[usize::from(proxy)];
        join_history.iter().rev().find(|(since, _)| *since <= at).and_then(|(_, coordinator)| *coordinator)
    }

    /// The summary of the day so far.
    pub fn summary(&self) -> Summary {
        self.workload.summary()
    }

    /// The same day under a policy that sees the true state with a delay.
    pub fn reference(&self) -> Summary {
        let reference =
            Workload::reference(&self.workload_settings, self.seed, &self.server_history, self.now());
        // The workload has all servers of the history.
        reference.unwrap_or_default()
    }
}
