//! Operations from the clients' side: arrival, repeats and completion.

use std::time::Duration;

use rand::Rng;
use rand_distr::{Distribution, Exp, Exp1, LogNormal};
use rand_pcg::Pcg32;

use super::engine::Workload;
use super::events::Event;
use super::operation::{Answer, FinalAnswer, Operation};
use super::proxy::Candidate;
use super::server::Server;
use super::settings::{Semantics, WorkDistribution, WorkloadSettings};
use super::summary::Reason;

/// Normal operations per second of each proxy: log-normally distributed, with the total that the settings
/// give.
pub(super) fn proxy_rates(settings: &WorkloadSettings, rng: &mut Pcg32) -> Vec<f64> {
    let sigma = (1.0 + settings.rate_spread.powi(2)).ln().sqrt();
    let spread = LogNormal::new(0.0, sigma).ok();
    let mut draw = || spread.as_ref().map_or(1.0, |spread| spread.sample(rng));
    let drawn: Vec<f64> = (0..settings.proxies).map(|_| draw()).collect();
    let sum: f64 = drawn.iter().sum();
    drawn.iter().map(|rate| rate / sum * settings.operations_per_second()).collect()
}

impl Workload {
    /// Draws the arrival time of the next operation and invalidates an earlier draw.
    pub(super) fn schedule_arrival(&mut self) {
        self.arrival_epoch += 1;
        let rate = self.rates.iter().sum::<f64>() * self.load_factor;
        let Some(gap) = Exp::new(rate).ok().filter(|_| rate > 0.0) else { return };
        let gap = Duration::from_secs_f64(gap.sample(&mut self.random_sources.arrivals));
        self.events.schedule(self.now + gap, Event::Arrival { epoch: self.arrival_epoch });
    }

    pub(super) fn operation_arrives(&mut self, epoch: u64) {
        if epoch != self.arrival_epoch {
            return;
        }
        let operation = self.draw_operation();
        let proxy = operation.proxy;
        if !self.proxies[usize::from(proxy)].running {
            return self.schedule_arrival();
        }
        let number = self.operations.len();
        self.operations.push(operation);
        self.unanswered.insert(number);
        self.schedule_arrival();
        self.schedule_deadline(number);
        self.ensure_standing_table(proxy);
        self.receive(number);
    }

    /// Handles an operation, or a client's repeat of it, that reaches its proxy.
    fn receive(&mut self, number: usize) {
        let Operation { proxy, class, .. } = self.operations[number];
        self.report_totals.count_arrival(proxy, class);
        if self.reference_policy.is_some() {
            self.send_by_reference_policy(number, None);
        } else {
            self.admit(number);
        }
    }

    pub(super) fn client_repeats(&mut self, number: usize) {
        if self.operations[number].final_answer.is_none() {
            self.receive(number);
        }
    }

    fn schedule_deadline(&mut self, number: usize) {
        if self.settings.fail_at_deadline {
            let class = self.operations[number].class;
            let deadline = self.now + self.settings.classes[class].deadline;
            self.events.schedule(deadline, Event::DeadlinePassed { operation: number });
        }
    }

    pub(super) fn deadline_passed(&mut self, number: usize) {
        let operation = &self.operations[number];
        if operation.final_answer.is_none() {
            let reason = self.reason(operation);
            self.operations[number].repeats_left = 0;
            self.complete(number, Answer::Failed, reason);
        }
    }

    fn draw_operation(&mut self) -> Operation {
        let rng = &mut self.random_sources.arrivals;
        let proxy = draw_by_weight(self.rates.iter().copied(), rng) as u16;
        let class = draw_by_weight(self.settings.classes.iter().map(|class| class.share), rng);
        let mean = self.settings.classes[class].work.as_secs_f64();
        let work = match self.settings.work_distribution {
            WorkDistribution::Constant => mean,
            WorkDistribution::Exponential => mean * rng.sample::<f64, _>(Exp1),
        };
        Operation {
            proxy,
            class,
            arrived: self.now,
            work,
            attempt: 0,
            try_began: self.now,
            connecting: Duration::ZERO,
            server: None,
            tries_left: 0,
            repeats_left: self.settings.client_repeats,
            retry: 0,
            final_answer: None,
        }
    }

    /// Records the proxy's answer, which is final unless the client repeats the operation.
    pub(super) fn complete(&mut self, number: usize, answer: Answer, reason: Reason) {
        let Operation { proxy, class, server, .. } = self.operations[number];
        if let Some(server) = server {
            self.proxies[usize::from(proxy)].picker.try_ended(server);
        }
        self.operations[number].server = None;
        let admitted = !matches!(reason, Reason::NoLine | Reason::Level);
        if admitted && answer != Answer::Served {
            self.report_totals.count_unanswered(proxy, class);
        }
        if self.client_may_repeat(number, answer) {
            self.operations[number].repeats_left -= 1;
            let repeat = self.now + self.settings.client_backoff;
            return self.events.schedule(repeat, Event::ClientRepeats { operation: number });
        }
        self.operations[number].final_answer = Some(FinalAnswer { at: self.now, answer, reason });
        self.unanswered.remove(&number);
    }

    fn client_may_repeat(&self, number: usize, answer: Answer) -> bool {
        let operation = &self.operations[number];
        let spec = &self.settings.classes[operation.class];
        let in_time = self.now + self.settings.client_backoff + spec.work < operation.arrived + spec.deadline;
        let safe_to_repeat = answer == Answer::Refused || spec.semantics != Semantics::Unsafe;
        answer != Answer::Served && operation.repeats_left > 0 && in_time && safe_to_repeat
    }

    /// Fails all unanswered operations of a proxy whose process has ended.
    pub(super) fn fail_operations_of(&mut self, proxy: u16) {
        let of_proxy = |number: &usize| self.operations[*number].proxy == proxy;
        let unanswered: Vec<usize> = self.unanswered.iter().copied().filter(of_proxy).collect();
        for number in unanswered {
            self.operations[number].repeats_left = 0;
            self.complete(number, Answer::Failed, Reason::ProxyGone);
        }
    }

    /// The reason for an operation's outcome, as far as it is known now.
    pub(super) fn reason(&self, operation: &Operation) -> Reason {
        if let Some(end) = operation.final_answer {
            return end.reason;
        }
        let silent = operation.server.is_some_and(|server| self.servers[server].silent);
        if silent {
            Reason::SilentServer
        } else {
            Reason::QueueWait
        }
    }

    /// Draws a proxy's standing table when it is first needed. The proxy reads the list of servers only then.
    pub(super) fn ensure_standing_table(&mut self, proxy: u16) {
        let index = usize::from(proxy);
        if self.proxies[index].has_standing_table() {
            return;
        }
        let listed = self.servers.iter().enumerate().filter(|(_, server)| server.running && !server.draining);
        let candidate = |(index, server): (usize, &Server)| Candidate {
            server: index,
            zone: server.zone,
            weight: server.listed_weight,
        };
        let list: Vec<Candidate> = listed.map(candidate).collect();
        self.proxies[index].draw_standing_table(&self.settings, &list, &mut self.random_sources.tables);
    }
}

fn draw_by_weight(weights: impl Iterator<Item = f64> + Clone, rng: &mut Pcg32) -> usize {
    let total: f64 = weights.clone().sum();
    let mut left = rng.random::<f64>() * total;
    let mut last = 0;
    for (index, weight) in weights.enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
        last = index;
    }
    last
}
