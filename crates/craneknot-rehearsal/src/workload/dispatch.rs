//! Tries: how a proxy admits an operation, sends it, learns its result and retries it.

use std::time::Duration;

use rand::Rng;

use super::engine::Workload;
use super::events::Event;
use super::operation::{Answer, Operation, TryFailure};
use super::reference_policy::Choice;
use super::server::{Job, ServerDelays};
use super::settings::Semantics;
use super::summary::{OverloadCrash, Reason};

/// Minimum share of the work sent by informed proxies at which an overload crash breaks the rule.
const INFORMED_SHARE_OF_BREACH: f64 = 2.0 / 3.0;

impl Workload {
    pub(super) fn admit(&mut self, number: usize) {
        let Operation { proxy, class, .. } = self.operations[number];
        let (settings, now) = (&self.settings, self.now);
        let proxy_state = &mut self.proxies[usize::from(proxy)];
        if !proxy_state.has_line(class) {
            return self.complete(number, Answer::Refused, Reason::NoLine);
        }
        if !proxy_state.admits(class, settings.admission, now, &mut self.random_sources.picks) {
            return self.complete(number, Answer::Refused, Reason::Level);
        }
        let retry = proxy_state.retry(class).unwrap_or(settings.default_retry);
        let picked = proxy_state.pick(settings.pick, class, None, now, &mut self.random_sources.picks);
        let operation = &mut self.operations[number];
        operation.retry = retry;
        operation.tries_left = if retry == 3 { 2 } else { retry.min(1) };
        match picked {
            Some(server) => self.send(number, server),
            None => self.complete(number, Answer::Refused, Reason::NoLine),
        }
    }

    pub(super) fn send_by_reference_policy(&mut self, number: usize, excluded: Option<usize>) {
        let Operation { proxy, class, arrived, work, .. } = self.operations[number];
        let settings = &self.settings;
        let zone = settings.proxy_zone(proxy);
        let time_left = (arrived + settings.classes[class].deadline).saturating_sub(self.now);
        let servers = &self.servers;
        let allows =
            |server: usize| Some(server) != excluded && settings.allows(class, zone, servers[server].zone);
        let Some(reference_policy) = &mut self.reference_policy else { return };
        match reference_policy.choose(work, time_left, self.now, allows) {
            Choice::Send(server) => {
                reference_policy.record_sent(server, work, self.now);
                self.operations[number].retry = 1;
                self.operations[number].tries_left = u8::from(excluded.is_none());
                self.send(number, server);
            }
            Choice::DoesNotFit => self.complete(number, Answer::Refused, Reason::Level),
            Choice::NoServer => self.complete(number, Answer::Refused, Reason::NoLine),
        }
    }

    /// Sends a try, over a new connection if none is open.
    fn send(&mut self, number: usize, server: usize) {
        let Operation { proxy, class, .. } = self.operations[number];
        let index = usize::from(proxy);
        self.check_send(proxy, class, server);
        let operation = &mut self.operations[number];
        operation.attempt += 1;
        operation.try_began = self.now;
        operation.connecting = Duration::ZERO;
        operation.server = Some(server);
        let attempt = operation.attempt;
        self.proxies[index].picker.try_began(server);
        let delay = self.delay(index, server);
        if !self.proxies[index].connections.contains_key(&server) {
            if let Err((failure, wait)) = self.connect(index, server) {
                let event = Event::TryFailed { operation: number, attempt, failure };
                return self.events.schedule(self.now + wait, event);
            }
            self.operations[number].connecting = delay * 2 * self.settings.handshake_round_trips;
        }
        self.proxies[index].connections.insert(server, self.now);
        let start = self.now.max(self.proxies[index].applying_until);
        let arrival = start + self.operations[number].connecting + delay;
        let incarnation = self.servers[server].incarnation;
        self.events.schedule(arrival, Event::TryArrives { operation: number, attempt, server, incarnation });
        self.schedule_expiry(number);
    }

    fn check_send(&mut self, proxy: u16, class: usize, server: usize) {
        let zone = self.settings.proxy_zone(proxy);
        if !self.settings.allows(class, zone, self.servers[server].zone) {
            self.rule_checks.misplaced_sends += 1;
        }
        if let Some(stream) = self.proxies[usize::from(proxy)].monitored_stream {
            self.rule_checks.check_drain(proxy, server, stream.coordinator, stream.joined, self.now);
        }
    }

    /// Opens a connection; on failure, returns the reason and how long it takes the proxy to notice.
    fn connect(&mut self, proxy: usize, server: usize) -> Result<(), (TryFailure, Duration)> {
        let round_trip = self.delay(proxy, server) * 2;
        let never_ran = |reason| TryFailure { reason, may_have_run: false };
        if !self.servers[server].running {
            return Err((never_ran(self.connection_failure_reason(proxy, server)), round_trip));
        }
        if self.servers[server].silent {
            return Err((never_ran(Reason::SilentServer), self.settings.dial_timeout));
        }
        if !self.servers[server].accepts_connection() {
            return Err((never_ran(Reason::Connection), round_trip));
        }
        self.servers[server].open_connections += 1;
        Ok(())
    }

    fn schedule_expiry(&mut self, number: usize) {
        let operation = &self.operations[number];
        if operation.retry < 2 || operation.tries_left == 0 {
            return;
        }
        let latency_goal = self.settings.classes[operation.class].latency_goal;
        let expiry = self.now + latency_goal.mul_f64(self.settings.try_factor);
        self.events.schedule(expiry, Event::TryExpired { operation: number, attempt: operation.attempt });
    }

    pub(super) fn try_arrives(&mut self, number: usize, attempt: u32, server: usize, incarnation: u32) {
        if self.servers[server].incarnation != incarnation {
            return;
        }
        let Operation { proxy, mut work, connecting, .. } = self.operations[number];
        if !connecting.is_zero() && self.operations[number].attempt == attempt {
            work += self.settings.handshake_work.as_secs_f64();
        }
        if self.answers_with_error(server) {
            let failure = TryFailure { reason: Reason::ServerError, may_have_run: true };
            return self.schedule_failure(number, attempt, server, failure);
        }
        if self.servers[server].try_accept(Job { operation: number, attempt, work }, self.now) {
            self.count_received(server, proxy, work);
            return self.schedule_step(server);
        }
        let failure = TryFailure { reason: Reason::ServerFull, may_have_run: false };
        self.schedule_failure(number, attempt, server, failure);
    }

    fn answers_with_error(&mut self, server: usize) -> bool {
        let share = self.servers[server].error_share;
        share > 0.0 && self.random_sources.picks.random::<f64>() < share
    }

    /// Schedules the failure of a try; the proxy notices it after the one-way delay.
    fn schedule_failure(&mut self, number: usize, attempt: u32, server: usize, failure: TryFailure) {
        let proxy = usize::from(self.operations[number].proxy);
        let noticed_at = self.now + self.delay(proxy, server);
        self.events.schedule(noticed_at, Event::TryFailed { operation: number, attempt, failure });
    }

    /// Counts work against the limit of a cold server, which crashes if the limit is exceeded.
    fn count_received(&mut self, server: usize, proxy: u16, work: f64) {
        let ControlState { coordinator, last_ordered } = self.control_state(proxy);
        let started = self.servers[server].started;
        let knows =
            |coordinator| self.rule_checks.knows_start(coordinator, server, started, last_ordered, self.now);
        let informed = coordinator.is_some_and(knows);
        let Some(informed_share) = self.servers[server].count_received(work, informed, self.now) else {
            return;
        };
        let breaks_rule = informed_share >= INFORMED_SHARE_OF_BREACH;
        self.rule_checks.overload_crashes.push(OverloadCrash {
            server,
            at: self.now,
            informed_share,
            breaks_rule,
        });
        self.end_process(server);
    }

    fn control_state(&self, proxy: u16) -> ControlState {
        let proxy = &self.proxies[usize::from(proxy)];
        let coordinator = proxy.monitored_stream.map(|stream| stream.coordinator);
        ControlState { coordinator, last_ordered: proxy.last_ordered }
    }

    pub(super) fn server_step(&mut self, server: usize, epoch: u64) {
        if self.servers[server].epoch != epoch {
            return;
        }
        for finished in self.servers[server].finish(self.now) {
            let Job { operation, attempt, .. } = finished.job;
            let proxy = usize::from(self.operations[operation].proxy);
            let answered = self.now + self.delay(proxy, server);
            let event = Event::TryAnswered { operation, attempt, server, delays: finished.delays };
            self.events.schedule(answered, event);
        }
        self.schedule_step(server);
    }

    pub(super) fn schedule_step(&mut self, server: usize) {
        if let Some(next) = self.servers[server].next_step(self.now) {
            let epoch = self.servers[server].epoch;
            self.events.schedule(next, Event::ServerStep { server, epoch });
        }
    }

    pub(super) fn try_answered(&mut self, number: usize, attempt: u32, server: usize, delays: &ServerDelays) {
        if !self.operations[number].waits_for(attempt) {
            return;
        }
        let Operation { proxy, try_began, .. } = self.operations[number];
        let index = usize::from(proxy);
        let load = self.servers[server].load_report();
        self.proxies[index].picker.try_ended(server);
        self.operations[number].server = None;
        self.report_totals.count_answer(self.proxies[index].zone, server, self.now - try_began, load);
        self.proxies[index].count_success(server);
        let reason = self.operations[number].main_reason(delays);
        self.complete(number, Answer::Served, reason);
    }

    pub(super) fn try_expired(&mut self, number: usize, attempt: u32) {
        let operation = &self.operations[number];
        let Some(server) = operation.server.filter(|_| operation.waits_for(attempt)) else { return };
        if !self.may_retry(number, server, true) {
            return;
        }
        let silent = self.servers[server].silent;
        let reason = if silent { Reason::SilentServer } else { Reason::QueueWait };
        self.try_failed(number, attempt, TryFailure { reason, may_have_run: true });
    }

    pub(super) fn try_failed(&mut self, number: usize, attempt: u32, failure: TryFailure) {
        let operation = &self.operations[number];
        let Some(server) = operation.server.filter(|_| operation.waits_for(attempt)) else { return };
        let index = usize::from(operation.proxy);
        self.proxies[index].picker.try_ended(server);
        self.operations[number].server = None;
        self.report_totals.count_failure(self.proxies[index].zone, server);
        self.proxies[index].count_failure(server, &self.settings, self.now);
        if self.may_retry(number, server, failure.may_have_run) {
            return self.retry_operation(number, server, failure);
        }
        let answer = if failure.reason == Reason::ServerFull { Answer::Refused } else { Answer::Failed };
        self.complete(number, answer, failure.reason);
    }

    /// Whether a try at `server` may be followed by another one.
    fn may_retry(&self, number: usize, server: usize, may_have_run: bool) -> bool {
        let operation = &self.operations[number];
        let spec = &self.settings.classes[operation.class];
        let proxy = &self.proxies[usize::from(operation.proxy)];
        let in_time = self.now + spec.work < operation.arrived + spec.deadline;
        let repeat_allowed = operation.retry >= 2 || !may_have_run;
        if self.reference_policy.is_some() {
            return operation.tries_left > 0 && repeat_allowed && in_time;
        }
        let closed = proxy.is_closed(operation.class, self.settings.admission);
        let other = proxy.has_other_line(operation.class, server);
        operation.tries_left > 0 && repeat_allowed && in_time && other && !closed
    }

    fn retry_operation(&mut self, number: usize, server: usize, failure: TryFailure) {
        let class = self.operations[number].class;
        if failure.may_have_run && self.settings.classes[class].semantics == Semantics::Unsafe {
            self.rule_checks.unsafe_repeats += 1;
        }
        if self.reference_policy.is_some() {
            return self.send_by_reference_policy(number, Some(server));
        }
        self.operations[number].tries_left -= 1;
        let proxy = &mut self.proxies[usize::from(self.operations[number].proxy)];
        match proxy.pick(self.settings.pick, class, Some(server), self.now, &mut self.random_sources.picks) {
            Some(other) => self.send(number, other),
            None => self.complete(number, Answer::Failed, failure.reason),
        }
    }

    /// Ends a server's process, with all its connections and tries.
    pub(super) fn end_process(&mut self, server: usize) {
        self.reset_connections(server);
        if self.servers[server].running {
            self.servers[server].stop(self.now);
        }
    }

    /// Resets the connections to a server; the proxies notice it after the one-way delay.
    pub(super) fn reset_connections(&mut self, server: usize) {
        for number in self.unanswered.iter().copied() {
            let operation = &self.operations[number];
            if operation.server != Some(server) {
                continue;
            }
            let proxy = usize::from(operation.proxy);
            let failure =
                TryFailure { reason: self.connection_failure_reason(proxy, server), may_have_run: true };
            let event = Event::TryFailed { operation: number, attempt: operation.attempt, failure };
            self.events.schedule(self.now + self.delay(proxy, server), event);
        }
        for proxy in &mut self.proxies {
            proxy.connections.remove(&server);
        }
    }

    fn connection_failure_reason(&self, proxy: usize, server: usize) -> Reason {
        let notified =
            |coordinator: usize| self.rule_checks.received_lists[coordinator].lost_since(server).is_some();
        match self.proxies[proxy].stream {
            Some(stream) if notified(stream.coordinator) => Reason::ServerGoneTold,
            _ => Reason::ServerGoneUntold,
        }
    }

    pub(super) fn close_connection(&mut self, proxy: usize, server: usize) {
        if self.proxies[proxy].connections.remove(&server).is_some() {
            let open = &mut self.servers[server].open_connections;
            *open = open.saturating_sub(1);
        }
    }

    /// One-way delay between a proxy and a server.
    fn delay(&self, proxy: usize, server: usize) -> Duration {
        if self.proxies[proxy].zone == self.servers[server].zone {
            self.settings.same_zone_delay
        } else {
            self.settings.cross_zone_delay
        }
    }
}

/// The coordinator responsible for a proxy, and when the last message that the proxy applied was ordered.
struct ControlState {
    coordinator: Option<usize>,
    last_ordered: Option<Duration>,
}
