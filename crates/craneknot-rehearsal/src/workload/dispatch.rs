//! Tries: how a proxy admits an operation, sends it, learns what became of it, and tries again.

use std::time::Duration;

use rand::Rng;

use super::engine::Workload;
use super::events::Event;
use super::late_sight::Choice;
use super::operation::{Answer, Operation, TryFailure};
use super::server::{Held, Job};
use super::settings::Semantics;
use super::summary::{OverloadCrash, Reason};

/// Share of the work from knowing senders from which on a fall breaks the rule.
const KNOWING_SHARE_OF_BREACH: f64 = 2.0 / 3.0;

impl Workload {
    pub(super) fn admit(&mut self, number: usize) {
        let Operation { proxy, class, .. } = self.operations[number];
        let (settings, now) = (&self.settings, self.now);
        let holder = &mut self.proxies[usize::from(proxy)];
        if !holder.has_line(class) {
            return self.end(number, Answer::Refused, Reason::NoLine);
        }
        if !holder.admits(class, settings.admission, now, &mut self.chance.picks) {
            return self.end(number, Answer::Refused, Reason::Level);
        }
        let retry = holder.retry(class).unwrap_or(settings.default_retry);
        let picked = holder.pick(settings.pick, class, None, now, &mut self.chance.picks);
        let operation = &mut self.operations[number];
        operation.retry = retry;
        operation.tries_left = if retry == 3 { 2 } else { retry.min(1) };
        match picked {
            Some(server) => self.send(number, server),
            None => self.end(number, Answer::Refused, Reason::NoLine),
        }
    }

    pub(super) fn send_by_late_sight(&mut self, number: usize, except: Option<usize>) {
        let Operation { proxy, class, arrived, work, .. } = self.operations[number];
        let settings = &self.settings;
        let zone = settings.proxy_zone(proxy);
        let time_left = (arrived + settings.classes[class].deadline).saturating_sub(self.now);
        let servers = &self.servers;
        let allows =
            |server: usize| Some(server) != except && settings.allows(class, zone, servers[server].zone);
        let Some(late_sight) = &mut self.late_sight else { return };
        match late_sight.choose(work, time_left, self.now, allows) {
            Choice::Send(server) => {
                late_sight.sent(server, work, self.now);
                self.operations[number].retry = 1;
                self.operations[number].tries_left = u8::from(except.is_none());
                self.send(number, server);
            }
            Choice::DoesNotFit => self.end(number, Answer::Refused, Reason::Level),
            Choice::NoServer => self.end(number, Answer::Refused, Reason::NoLine),
        }
    }

    /// Sends a try, over a new connection where there is none.
    fn send(&mut self, number: usize, server: usize) {
        let Operation { proxy, class, .. } = self.operations[number];
        let place = usize::from(proxy);
        self.check_send(proxy, class, server);
        let operation = &mut self.operations[number];
        operation.attempt += 1;
        operation.try_began = self.now;
        operation.connecting = Duration::ZERO;
        operation.server = Some(server);
        let attempt = operation.attempt;
        self.proxies[place].picker.try_began(server);
        let delay = self.delay(place, server);
        if !self.proxies[place].connections.contains_key(&server) {
            if let Err((failure, wait)) = self.connect(place, server) {
                let event = Event::TryFailed { operation: number, attempt, failure };
                return self.events.schedule(self.now + wait, event);
            }
            self.operations[number].connecting = delay * 2 * self.settings.handshake_round_trips;
        }
        self.proxies[place].connections.insert(server, self.now);
        let start = self.now.max(self.proxies[place].applying_until);
        let arrival = start + self.operations[number].connecting + delay;
        let run = self.servers[server].run;
        self.events.schedule(arrival, Event::TryArrives { operation: number, attempt, server, run });
        self.schedule_expiry(number);
    }

    fn check_send(&mut self, proxy: u16, class: usize, server: usize) {
        let zone = self.settings.proxy_zone(proxy);
        if !self.settings.allows(class, zone, self.servers[server].zone) {
            self.rules.misplaced_sends += 1;
        }
        if let Some(stream) = self.proxies[usize::from(proxy)].accountable {
            self.rules.check_drain(proxy, server, stream.coordinator, stream.joined, self.now);
        }
    }

    /// Opens a connection, or tells why not and how long it took to learn that.
    fn connect(&mut self, proxy: usize, server: usize) -> Result<(), (TryFailure, Duration)> {
        let round_trip = self.delay(proxy, server) * 2;
        let never_ran = |reason| TryFailure { reason, may_have_run: false };
        if !self.servers[server].running {
            return Err((never_ran(self.gone_reason(proxy, server)), round_trip));
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

    pub(super) fn try_arrives(&mut self, number: usize, attempt: u32, server: usize, run: u32) {
        if self.servers[server].run != run {
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
        if self.servers[server].offer(Job { operation: number, attempt, work }, self.now) {
            self.count_received(server, proxy, work);
            return self.schedule_step(server);
        }
        let failure = TryFailure { reason: Reason::ServerFull, may_have_run: false };
        self.schedule_failure(number, attempt, server, failure);
    }

    fn answers_with_error(&mut self, server: usize) -> bool {
        let share = self.servers[server].error_share;
        share > 0.0 && self.chance.picks.random::<f64>() < share
    }

    /// The proxy learns of a failure one way from now.
    fn schedule_failure(&mut self, number: usize, attempt: u32, server: usize, failure: TryFailure) {
        let proxy = usize::from(self.operations[number].proxy);
        let learnt = self.now + self.delay(proxy, server);
        self.events.schedule(learnt, Event::TryFailed { operation: number, attempt, failure });
    }

    /// Counts work against the budget of a cold server, which falls where that is spent.
    fn count_received(&mut self, server: usize, proxy: u16, work: f64) {
        let Proxied { coordinator, last_ordered } = self.proxied(proxy);
        let started = self.servers[server].started;
        let knows =
            |coordinator| self.rules.knows_start(coordinator, server, started, last_ordered, self.now);
        let knowing = coordinator.is_some_and(knows);
        let Some(informed_share) = self.servers[server].count_received(work, knowing, self.now) else {
            return;
        };
        let breaks_rule = informed_share >= KNOWING_SHARE_OF_BREACH;
        self.rules.overload_crashes.push(OverloadCrash { server, at: self.now, informed_share, breaks_rule });
        self.end_process(server);
    }

    fn proxied(&self, proxy: u16) -> Proxied {
        let proxy = &self.proxies[usize::from(proxy)];
        let coordinator = proxy.accountable.map(|stream| stream.coordinator);
        Proxied { coordinator, last_ordered: proxy.last_ordered }
    }

    pub(super) fn server_step(&mut self, server: usize, epoch: u64) {
        if self.servers[server].epoch != epoch {
            return;
        }
        for finished in self.servers[server].finish(self.now) {
            let Job { operation, attempt, .. } = finished.job;
            let proxy = usize::from(self.operations[operation].proxy);
            let answered = self.now + self.delay(proxy, server);
            let event = Event::TryAnswered { operation, attempt, server, held: finished.held };
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

    pub(super) fn try_answered(&mut self, number: usize, attempt: u32, server: usize, held: &Held) {
        if !self.operations[number].waits_for(attempt) {
            return;
        }
        let Operation { proxy, try_began, .. } = self.operations[number];
        let place = usize::from(proxy);
        let load = self.servers[server].load_report();
        self.proxies[place].picker.try_ended(server);
        self.operations[number].server = None;
        self.sums.count_answer(self.proxies[place].zone, server, self.now - try_began, load);
        self.proxies[place].count_success(server);
        let reason = self.operations[number].main_reason(held);
        self.end(number, Answer::Served, reason);
    }

    pub(super) fn try_expired(&mut self, number: usize, attempt: u32) {
        let operation = &self.operations[number];
        let Some(server) = operation.server.filter(|_| operation.waits_for(attempt)) else { return };
        if !self.may_follow(number, server, true) {
            return;
        }
        let silent = self.servers[server].silent;
        let reason = if silent { Reason::SilentServer } else { Reason::QueueWait };
        self.try_failed(number, attempt, TryFailure { reason, may_have_run: true });
    }

    pub(super) fn try_failed(&mut self, number: usize, attempt: u32, failure: TryFailure) {
        let operation = &self.operations[number];
        let Some(server) = operation.server.filter(|_| operation.waits_for(attempt)) else { return };
        let place = usize::from(operation.proxy);
        self.proxies[place].picker.try_ended(server);
        self.operations[number].server = None;
        self.sums.count_failure(self.proxies[place].zone, server);
        self.proxies[place].count_failure(server, &self.settings, self.now);
        if self.may_follow(number, server, failure.may_have_run) {
            return self.try_again(number, server, failure);
        }
        let answer = if failure.reason == Reason::ServerFull { Answer::Refused } else { Answer::Failed };
        self.end(number, answer, failure.reason);
    }

    /// Whether another try may follow one at `server`.
    fn may_follow(&self, number: usize, server: usize, may_have_run: bool) -> bool {
        let operation = &self.operations[number];
        let spec = &self.settings.classes[operation.class];
        let proxy = &self.proxies[usize::from(operation.proxy)];
        let in_time = self.now + spec.work < operation.arrived + spec.deadline;
        let proven = operation.retry >= 2 || !may_have_run;
        if self.late_sight.is_some() {
            return operation.tries_left > 0 && proven && in_time;
        }
        let shut = proxy.is_shut(operation.class, self.settings.admission);
        let other = proxy.has_other_line(operation.class, server);
        operation.tries_left > 0 && proven && in_time && other && !shut
    }

    fn try_again(&mut self, number: usize, server: usize, failure: TryFailure) {
        let class = self.operations[number].class;
        if failure.may_have_run && self.settings.classes[class].semantics == Semantics::Unsafe {
            self.rules.unsafe_repeats += 1;
        }
        if self.late_sight.is_some() {
            return self.send_by_late_sight(number, Some(server));
        }
        self.operations[number].tries_left -= 1;
        let proxy = &mut self.proxies[usize::from(self.operations[number].proxy)];
        match proxy.pick(self.settings.pick, class, Some(server), self.now, &mut self.chance.picks) {
            Some(other) => self.send(number, other),
            None => self.end(number, Answer::Failed, failure.reason),
        }
    }

    /// Ends a server's process with all connections and tries.
    pub(super) fn end_process(&mut self, server: usize) {
        self.reset_connections(server);
        if self.servers[server].running {
            self.servers[server].stop(self.now);
        }
    }

    /// Resets the connections to a server; the proxies learn it one way later.
    pub(super) fn reset_connections(&mut self, server: usize) {
        for number in self.open.iter().copied() {
            let operation = &self.operations[number];
            if operation.server != Some(server) {
                continue;
            }
            let proxy = usize::from(operation.proxy);
            let failure = TryFailure { reason: self.gone_reason(proxy, server), may_have_run: true };
            let event = Event::TryFailed { operation: number, attempt: operation.attempt, failure };
            self.events.schedule(self.now + self.delay(proxy, server), event);
        }
        for proxy in &mut self.proxies {
            proxy.connections.remove(&server);
        }
    }

    fn gone_reason(&self, proxy: usize, server: usize) -> Reason {
        let told = |coordinator: usize| self.rules.lists[coordinator].lost_since(server).is_some();
        match self.proxies[proxy].stream {
            Some(stream) if told(stream.coordinator) => Reason::ServerGoneTold,
            _ => Reason::ServerGoneUntold,
        }
    }

    pub(super) fn close_connection(&mut self, proxy: usize, server: usize) {
        if self.proxies[proxy].connections.remove(&server).is_some() {
            let open = &mut self.servers[server].open_connections;
            *open = open.saturating_sub(1);
        }
    }

    /// One way between a proxy and a server.
    fn delay(&self, proxy: usize, server: usize) -> Duration {
        if self.proxies[proxy].zone == self.servers[server].zone {
            self.settings.same_zone_delay
        } else {
            self.settings.cross_zone_delay
        }
    }
}

/// Who answers for a proxy, and when its last message was ordered.
struct Proxied {
    coordinator: Option<usize>,
    last_ordered: Option<Duration>,
}
