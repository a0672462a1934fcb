//! Public interface of the model, and its event loop.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg32;

use super::delivery::Coordinator;
use super::events::{Event, EventQueue};
use super::operation::Operation;
use super::orders::{Acknowledgement, ClientReport, UpstreamReport, WorkloadError};
use super::proxy::{Proxy, Stream};
use super::reference_policy::{ReferencePolicy, OBSERVATION_INTERVAL};
use super::reports::ReportTotals;
use super::rule_checks::RuleChecks;
use super::server::Server;
use super::settings::WorkloadSettings;
use super::summary::{LostOperation, Outcome, ServerAction, ServerChange, Summary, Tally, Window, WINDOW};

/// Interval between sweeps for idle connections.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Independent random number generators, so that equal seeds give equal operations under any policy.
pub(super) struct RandomSources {
    pub arrivals: Pcg32,
    pub picks: Pcg32,
    pub channels: Pcg32,
    pub tables: Pcg32,
}

impl RandomSources {
    fn new(seed: u64) -> Self {
        let generator = |stream: u64| Pcg32::seed_from_u64(seed.wrapping_mul(4).wrapping_add(stream));
        RandomSources {
            arrivals: generator(0),
            picks: generator(1),
            channels: generator(2),
            tables: generator(3),
        }
    }
}

/// A simulated deployment and its history.
pub struct Workload {
    pub(super) settings: WorkloadSettings,
    pub(super) now: Duration,
    pub(super) events: EventQueue,
    pub(super) random_sources: RandomSources,
    pub(super) servers: Vec<Server>,
    pub(super) proxies: Vec<Proxy>,
    /// Normal operations per second, by proxy.
    pub(super) rates: Vec<f64>,
    pub(super) coordinators: Vec<Coordinator>,
    pub(super) operations: Vec<Operation>,
    /// Operations without a final answer.
    pub(super) unanswered: BTreeSet<usize>,
    pub(super) report_totals: ReportTotals,
    pub(super) rule_checks: RuleChecks,
    /// The reference policy, if it replaces the proxies' tables.
    pub(super) reference_policy: Option<ReferencePolicy>,
    pub(super) load_factor: f64,
    pub(super) arrival_epoch: u64,
    pub(super) streams: u64,
    pub(super) messages: u64,
}

impl Workload {
    /// Creates a deployment at time zero: no server runs and no proxy has joined.
    pub fn new(settings: WorkloadSettings, seed: u64) -> Self {
        let mut random_sources = RandomSources::new(seed);
        let classes = settings.classes.len();
        let proxy = |number| Proxy::new(settings.proxy_zone(number), classes);
        let zones = settings.zones.max(1);
        let mut workload = Workload {
            now: Duration::ZERO,
            events: EventQueue::default(),
            servers: settings.servers.iter().map(|spec| Server::new(spec, &settings)).collect(),
            proxies: (0..settings.proxies).map(proxy).collect(),
            rates: super::arrivals::proxy_rates(&settings, &mut random_sources.arrivals),
            coordinators: (0..settings.coordinators).map(|_| Coordinator::new(classes)).collect(),
            operations: Vec::new(),
            unanswered: BTreeSet::new(),
            report_totals: ReportTotals::new(
                zones,
                settings.servers.len(),
                usize::from(settings.proxies),
                classes,
            ),
            rule_checks: RuleChecks::new(&settings),
            reference_policy: None,
            load_factor: 1.0,
            arrival_epoch: 0,
            streams: 0,
            messages: 0,
            random_sources,
            settings,
        };
        workload.schedule_arrival();
        workload.events.schedule(IDLE_SWEEP_INTERVAL, Event::IdleSweep);
        workload
    }

    /// Advances the simulation to `now`; a time before the current one does not set it back.
    pub fn advance(&mut self, now: Duration) {
        for coordinator in 0..self.coordinators.len() {
            self.end_batch(coordinator);
        }
        while let Some((at, event)) = self.events.pop(now) {
            self.now = at;
            self.handle(event);
        }
        self.now = self.now.max(now);
    }

    /// The current time: the latest one given to [`Workload::advance`].
    pub fn now(&self) -> Duration {
        self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { epoch } => self.operation_arrives(epoch),
            Event::ServerStep { server, epoch } => self.server_step(server, epoch),
            Event::TryArrives { operation, attempt, server, incarnation } => {
                self.try_arrives(operation, attempt, server, incarnation)
            }
            Event::TryAnswered { operation, attempt, server, delays } => {
                self.try_answered(operation, attempt, server, &delays)
            }
            Event::TryFailed { operation, attempt, failure } => self.try_failed(operation, attempt, failure),
            Event::TryExpired { operation, attempt } => self.try_expired(operation, attempt),
            Event::ClientRepeats { operation } => self.client_repeats(operation),
            Event::DeadlinePassed { operation } => self.deadline_passed(operation),
            Event::MessageLeaves { coordinator, epoch } => self.message_leaves(coordinator, epoch),
            Event::MessageArrives(message) => self.message_arrives(message),
            Event::MessageApplied(message) => self.message_applied(message),
            Event::ListedWarm { coordinator } => self.update_no_line_states_of(coordinator),
            Event::IdleSweep => self.close_idle_connections(),
            Event::ObserveServers => self.observe_servers(),
        }
    }

    /// Starts a server's process: warm at time zero, cold later. A running process is restarted.
    pub fn start_server(&mut self, id: &str) -> Result<(), WorkloadError> {
        let server = self.server(id)?;
        self.reset_connections(server);
        self.servers[server].start(self.now);
        Ok(())
    }

    /// Makes a server drain: it completes its requests and still accepts new ones.
    pub fn drain_server(&mut self, id: &str) -> Result<(), WorkloadError> {
        let server = self.server(id)?;
        self.servers[server].draining = self.servers[server].running;
        Ok(())
    }

    /// Stops a server's process: its connections are reset and new ones are refused.
    pub fn stop_server(&mut self, id: &str) -> Result<(), WorkloadError> {
        let server = self.server(id)?;
        self.end_process(server);
        Ok(())
    }

    /// Makes a server silent, or ends that; the server then continues with the requests that it holds.
    pub fn silence_server(&mut self, id: &str, silent: bool) -> Result<(), WorkloadError> {
        let server = self.server(id)?;
        self.servers[server].set_silent(silent, self.now);
        self.schedule_step(server);
        Ok(())
    }

    /// Makes a server slower than normal by a factor of at least 1, until it restarts.
    pub fn slow_server(&mut self, id: &str, factor: f64) -> Result<(), WorkloadError> {
        let server = self.server(id)?;
        if !factor.is_finite() || factor < 1.0 {
            return Err(WorkloadError::OutOfRange);
        }
        self.servers[server].set_slowdown(factor, self.now);
        self.schedule_step(server);
        Ok(())
    }

    /// Makes a server answer a share of tries immediately with an error, until it restarts.
    pub fn set_server_errors(&mut self, id: &str, share: f64) -> Result<(), WorkloadError> {
        let server = self.server(id)?;
        if !(0.0..=1.0).contains(&share) {
            return Err(WorkloadError::OutOfRange);
        }
        self.servers[server].error_share = share;
        Ok(())
    }

    /// Sets the rate of a coordinator's channel to a share of its normal rate, from the next message on.
    pub fn set_channel_rate_factor(&mut self, coordinator: usize, share: f64) -> Result<(), WorkloadError> {
        self.check_coordinator(coordinator)?;
        if !share.is_finite() || share <= 0.0 {
            return Err(WorkloadError::OutOfRange);
        }
        self.coordinators[coordinator].rate_factor = share;
        Ok(())
    }

    /// Opens a stream from a proxy to a coordinator; an earlier stream of the proxy ends.
    pub fn join(&mut self, proxy: u16, coordinator: usize) -> Result<(), WorkloadError> {
        self.check_proxy(proxy)?;
        self.check_coordinator(coordinator)?;
        self.end_stream(proxy, true);
        self.ensure_standing_table(proxy);
        self.streams += 1;
        let stream = Stream { id: self.streams, coordinator, joined: self.now };
        let proxy_state = &mut self.proxies[usize::from(proxy)];
        proxy_state.stream = Some(stream);
        proxy_state.monitored_stream = Some(stream);
        proxy_state.last_ordered = None;
        self.coordinators[coordinator].joined(proxy);
        self.update_no_line_states(proxy);
        Ok(())
    }

    /// Ends the stream of a proxy; the proxy keeps its tables and levels.
    pub fn leave(&mut self, proxy: u16) -> Result<(), WorkloadError> {
        self.check_proxy(proxy)?;
        self.end_stream(proxy, true);
        self.proxies[usize::from(proxy)].monitored_stream = None;
        self.update_no_line_states(proxy);
        Ok(())
    }

    /// Ends the stream of a proxy on the coordinator's side. The proxy's time limits keep running until it
    /// joins again, and its queued messages still count in the channel.
    pub fn stream_ended_by_coordinator(&mut self, proxy: u16) -> Result<(), WorkloadError> {
        self.check_proxy(proxy)?;
        self.end_stream(proxy, false);
        Ok(())
    }

    /// Stops a proxy's process: its unanswered operations fail, and it receives none until it restarts.
    pub fn stop_proxy(&mut self, proxy: u16) -> Result<(), WorkloadError> {
        self.leave(proxy)?;
        self.fail_operations_of(proxy);
        let index = usize::from(proxy);
        let connections: Vec<usize> = self.proxies[index].connections.keys().copied().collect();
        connections.into_iter().for_each(|server| self.close_connection(index, server));
        self.proxies[index].running = false;
        Ok(())
    }

    /// Restarts a proxy's process, which holds a newly drawn standing table and nothing else.
    pub fn restart_proxy(&mut self, proxy: u16) -> Result<(), WorkloadError> {
        self.stop_proxy(proxy)?;
        let zone = self.settings.proxy_zone(proxy);
        self.proxies[usize::from(proxy)] = Proxy::new(zone, self.settings.classes.len());
        self.ensure_standing_table(proxy);
        Ok(())
    }

    /// Ends a coordinator's process: its tables, queue, withdrawals and streams are lost.
    pub fn coordinator_ended(&mut self, coordinator: usize) -> Result<(), WorkloadError> {
        self.check_coordinator(coordinator)?;
        for proxy in 0..self.settings.proxies {
            let monitored_stream = self.proxies[usize::from(proxy)].monitored_stream;
            if monitored_stream.is_some_and(|stream| stream.coordinator == coordinator) {
                self.leave(proxy)?;
            }
        }
        let waiting = self.coordinators[coordinator].reset();
        waiting.iter().for_each(|message| self.message_lost(message));
        Ok(())
    }

    /// Records that discovery's list has shown a coordinator that a server is draining or removed.
    pub fn notify_server_lost(&mut self, coordinator: usize, id: &str) -> Result<(), WorkloadError> {
        self.check_coordinator(coordinator)?;
        let server = self.server(id)?;
        self.rule_checks.received_lists[coordinator].set_lost(server, self.now);
        self.update_no_line_states_of(coordinator);
        Ok(())
    }

    /// Records that discovery's list has shown a coordinator that a server is ready, with its latest start.
    pub fn notify_server_ready(&mut self, coordinator: usize, id: &str) -> Result<(), WorkloadError> {
        self.check_coordinator(coordinator)?;
        let server = self.server(id)?;
        let started = self.servers[server].started;
        self.rule_checks.received_lists[coordinator].set_ready(server, started, self.now);
        self.update_no_line_states_of(coordinator);
        let warm = started.map(|started| started + self.settings.ramp_time).filter(|warm| *warm > self.now);
        if let Some(warm) = warm {
            self.events.schedule(warm, Event::ListedWarm { coordinator });
        }
        Ok(())
    }

    /// Suspends a coordinator's time limits for `length` from now on.
    pub fn suspend_limits(&mut self, coordinator: usize, length: Duration) -> Result<(), WorkloadError> {
        self.check_coordinator(coordinator)?;
        self.rule_checks.received_lists[coordinator].suspend(self.now, self.now + length);
        Ok(())
    }

    /// Sets the factor on the normal rate of all operations from now on.
    pub fn set_load_factor(&mut self, factor: f64) {
        self.load_factor = factor;
        self.schedule_arrival();
    }

    /// Stops the arrival of operations.
    pub fn stop_arrivals(&mut self) {
        self.set_load_factor(0.0);
    }

    /// Normal operations per second of a proxy.
    pub fn proxy_rate(&self, proxy: u16) -> f64 {
        self.rates.get(usize::from(proxy)).copied().unwrap_or(0.0)
    }

    /// Whether a proxy holds no table other than its standing table.
    pub fn holds_only_standing_table(&self, proxy: u16) -> bool {
        self.proxies.get(usize::from(proxy)).is_none_or(Proxy::holds_only_standing_table)
    }

    /// Acknowledgements received for a coordinator since the previous call, in order.
    pub fn take_acknowledgements(&mut self, coordinator: usize) -> Vec<Acknowledgement> {
        self.coordinators.get_mut(coordinator).map(Coordinator::take_acknowledgements).unwrap_or_default()
    }

    /// Observed outcomes of the proxies of a zone at the servers since the previous call.
    pub fn take_upstream_reports(&mut self, zone: usize) -> Vec<UpstreamReport> {
        let servers = &self.settings.servers;
        self.report_totals.take_upstream(zone, self.now, |server| servers[server].id.clone())
    }

    /// Operations received by the proxies joined to a coordinator since their previous report.
    pub fn take_client_reports(&mut self, coordinator: usize) -> Vec<ClientReport> {
        let mut rows = Vec::new();
        for proxy in 0..self.settings.proxies {
            let stream = self.proxies[usize::from(proxy)].stream;
            if stream.is_some_and(|stream| stream.coordinator == coordinator) {
                self.report_totals.take_clients(proxy, self.now, &mut rows);
            }
        }
        rows
    }

    /// Summarises the run so far.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary {
            by_class: vec![Tally::default(); self.settings.classes.len()],
            no_line_periods: self.rule_checks.no_line_periods(self.now),
            drain_breaches: self.rule_checks.drain_breaches(),
            overload_crashes: self.rule_checks.overload_crashes.clone(),
            longest_queue: self.coordinators.iter().map(Coordinator::longest_queue).collect(),
            queue_breaches: self.rule_checks.queue_breaches.clone(),
            unsafe_repeats: self.rule_checks.unsafe_repeats,
            misplaced_sends: self.rule_checks.misplaced_sends,
            marks_acknowledged: self.rule_checks.marks.acknowledged,
            marks_lost: self.rule_checks.marks.lost,
            marks_waiting: self.rule_checks.marks.waiting(),
            longest_mark: self.rule_checks.marks.longest(self.now),
            ..Summary::default()
        };
        for operation in &self.operations {
            self.count(operation, &mut summary);
        }
        summary
    }

    fn count(&self, operation: &Operation, summary: &mut Summary) {
        let class = &self.settings.classes[operation.class];
        let reason = self.reason(operation);
        let outcome = operation.outcome(class.deadline, self.now);
        let within_aim = operation.within_aim(class.latency_goal);
        let index = (operation.arrived.as_nanos() / WINDOW.as_nanos()) as usize;
        while summary.windows.len() <= index {
            let start = WINDOW * summary.windows.len() as u32;
            let by_class = vec![Tally::default(); self.settings.classes.len()];
            summary.windows.push(Window { start, total: Tally::default(), by_class });
        }
        summary.total.count(outcome, within_aim);
        summary.by_class[operation.class].count(outcome, within_aim);
        summary.windows[index].total.count(outcome, within_aim);
        summary.windows[index].by_class[operation.class].count(outcome, within_aim);
        *summary.reasons.entry((outcome, reason)).or_insert(0) += 1;
        if matches!(outcome, Outcome::Later | Outcome::Never) {
            let Operation { proxy, class, arrived, .. } = *operation;
            let answered = operation.final_answer.map(|end| end.at);
            summary.lost_operations.push(LostOperation { proxy, class, arrived, answered, reason });
        }
    }

    /// Simulates the same operations and server changes until `end` under a policy that sees the true state
    /// of all servers half a second late, sends to the server that would finish first, and admits operations
    /// that fit in their deadline.
    pub fn reference(
        settings: &WorkloadSettings,
        seed: u64,
        script: &[ServerChange],
        end: Duration,
    ) -> Result<Summary, WorkloadError> {
        let mut workload = Workload::new(settings.clone(), seed);
        workload.reference_policy = Some(ReferencePolicy::default());
        workload.events.schedule(Duration::ZERO, Event::ObserveServers);
        let mut script: Vec<&ServerChange> = script.iter().filter(|change| change.at <= end).collect();
        script.sort_by_key(|change| change.at);
        for change in script {
            if change.at > workload.now {
                workload.advance(change.at);
            }
            workload.change_server(&change.server, change.action)?;
        }
        workload.advance(end);
        Ok(workload.summary())
    }

    /// Applies a scripted server change now.
    pub fn change_server(&mut self, id: &str, action: ServerAction) -> Result<(), WorkloadError> {
        match action {
            ServerAction::Start => self.start_server(id),
            ServerAction::Drain => self.drain_server(id),
            ServerAction::Stop => self.stop_server(id),
            ServerAction::Silence(silent) => self.silence_server(id, silent),
            ServerAction::Slow(factor) => self.slow_server(id, factor),
            ServerAction::Errors(share) => self.set_server_errors(id, share),
        }
    }

    fn observe_servers(&mut self) {
        let Some(reference_policy) = &mut self.reference_policy else { return };
        reference_policy.observe(&self.servers, self.now);
        self.events.schedule(self.now + OBSERVATION_INTERVAL, Event::ObserveServers);
    }

    fn close_idle_connections(&mut self) {
        for proxy in 0..self.proxies.len() {
            let idle = |used: Duration| used + self.settings.idle_timeout < self.now;
            let connections = self.proxies[proxy].connections.iter();
            let idle: Vec<usize> =
                connections.filter(|(_, used)| idle(**used)).map(|(server, _)| *server).collect();
            idle.into_iter().for_each(|server| self.close_connection(proxy, server));
        }
        self.events.schedule(self.now + IDLE_SWEEP_INTERVAL, Event::IdleSweep);
    }

    pub(super) fn server(&self, id: &str) -> Result<usize, WorkloadError> {
        let found = self.settings.servers.iter().position(|server| server.id == id);
        found.ok_or_else(|| WorkloadError::UnknownServer(id.to_owned()))
    }

    fn check_proxy(&self, proxy: u16) -> Result<(), WorkloadError> {
        if proxy >= self.settings.proxies {
            return Err(WorkloadError::UnknownProxy(proxy));
        }
        Ok(())
    }

    pub(super) fn check_coordinator(&self, coordinator: usize) -> Result<(), WorkloadError> {
        if coordinator >= self.settings.coordinators {
            return Err(WorkloadError::UnknownCoordinator(coordinator));
        }
        Ok(())
    }
}
