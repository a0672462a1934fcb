//! The model as its user sees it, and the loop that lets time pass.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::SeedableRng;
use rand_pcg::Pcg32;

use super::delivery::Coordinator;
use super::events::{Event, EventQueue};
use super::late_sight::{LateSight, LOOK_INTERVAL};
use super::operation::Operation;
use super::orders::{Acknowledgement, ClientReport, UpstreamReport, WorkloadError};
use super::proxy::{Proxy, Stream};
use super::reports::Sums;
use super::rules::Rules;
use super::server::Server;
use super::settings::WorkloadSettings;
use super::summary::{LostOperation, Outcome, ServerAction, ServerChange, Summary, Tally, Window, WINDOW};

/// Time between two sweeps for idle connections.
const IDLE_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Sources of chance, apart from each other, so that equal seeds give equal operations under any policy.
pub(super) struct Chance {
    pub arrivals: Pcg32,
    pub picks: Pcg32,
    pub channels: Pcg32,
    pub tables: Pcg32,
}

impl Chance {
    fn new(seed: u64) -> Self {
        let source = |stream: u64| Pcg32::seed_from_u64(seed.wrapping_mul(4).wrapping_add(stream));
        Chance { arrivals: source(0), picks: source(1), channels: source(2), tables: source(3) }
    }
}

/// A modelled deployment and the day that it has had so far.
pub struct Workload {
    pub(super) settings: WorkloadSettings,
    pub(super) now: Duration,
    pub(super) events: EventQueue,
    pub(super) chance: Chance,
    pub(super) servers: Vec<Server>,
    pub(super) proxies: Vec<Proxy>,
    /// Usual operations a second, by proxy.
    pub(super) rates: Vec<f64>,
    pub(super) coordinators: Vec<Coordinator>,
    pub(super) operations: Vec<Operation>,
    /// Operations without a final answer.
    pub(super) open: BTreeSet<usize>,
    pub(super) sums: Sums,
    pub(super) rules: Rules,
    /// The reference policy, where it takes the place of the proxies' tables.
    pub(super) late_sight: Option<LateSight>,
    pub(super) load_factor: f64,
    pub(super) arrival_epoch: u64,
    pub(super) streams: u64,
    pub(super) messages: u64,
}

impl Workload {
    /// A deployment at time zero: no server runs, no proxy has joined.
    pub fn new(settings: WorkloadSettings, seed: u64) -> Self {
        let mut chance = Chance::new(seed);
        let classes = settings.classes.len();
        let proxy = |number| Proxy::new(settings.proxy_zone(number), classes);
        let zones = settings.zones.max(1);
        let mut workload = Workload {
            now: Duration::ZERO,
            events: EventQueue::default(),
            servers: settings.servers.iter().map(|spec| Server::new(spec, &settings)).collect(),
            proxies: (0..settings.proxies).map(proxy).collect(),
            rates: super::arrivals::proxy_rates(&settings, &mut chance.arrivals),
            coordinators: (0..settings.coordinators).map(|_| Coordinator::new(classes)).collect(),
            operations: Vec::new(),
            open: BTreeSet::new(),
            sums: Sums::new(zones, settings.servers.len(), usize::from(settings.proxies), classes),
            rules: Rules::new(&settings),
            late_sight: None,
            load_factor: 1.0,
            arrival_epoch: 0,
            streams: 0,
            messages: 0,
            chance,
            settings,
        };
        workload.schedule_arrival();
        workload.events.schedule(IDLE_SWEEP_INTERVAL, Event::IdleSweep);
        workload
    }

    /// Lets time pass until `now`; an earlier time than the last changes nothing.
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

    /// The last time given to [`Workload::advance`].
    pub fn now(&self) -> Duration {
        self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { epoch } => self.operation_arrives(epoch),
            Event::ServerStep { server, epoch } => self.server_step(server, epoch),
            Event::TryArrives { operation, attempt, server, run } => {
                self.try_arrives(operation, attempt, server, run)
            }
            Event::TryAnswered { operation, attempt, server, held } => {
                self.try_answered(operation, attempt, server, &held)
            }
            Event::TryFailed { operation, attempt, failure } => self.try_failed(operation, attempt, failure),
            Event::TryExpired { operation, attempt } => self.try_expired(operation, attempt),
            Event::ClientRepeats { operation } => self.client_repeats(operation),
            Event::DeadlinePassed { operation } => self.deadline_passed(operation),
            Event::MessageLeaves { coordinator, epoch } => self.message_leaves(coordinator, epoch),
            Event::MessageArrives(message) => self.message_arrives(message),
            Event::MessageApplied(message) => self.message_applied(message),
            Event::ListedWarm { coordinator } => self.update_lacks_of(coordinator),
            Event::IdleSweep => self.close_idle_connections(),
            Event::Look => self.look(),
        }
    }

    /// Starts a server's process: warm at time zero, cold later. One that runs is restarted.
    pub fn start_server(&mut self, id: &str) -> Result<(), WorkloadError> {
        let server = self.server(id)?;
        self.reset_connections(server);
        self.servers[server].start(self.now);
        Ok(())
    }

    /// Lets a server drain: it finishes what it has, and still takes what is sent.
    pub fn drain_server(&mut self, id: &str) -> Result<(), WorkloadError> {
        let server = self.server(id)?;
        self.servers[server].draining = self.servers[server].running;
        Ok(())
    }

    /// Ends a server's process: its connections are reset and new ones refused.
    pub fn stop_server(&mut self, id: &str) -> Result<(), WorkloadError> {
        let server = self.server(id)?;
        self.end_process(server);
        Ok(())
    }

    /// Makes a server silent, or ends that: it then works on with what it has.
    pub fn silence_server(&mut self, id: &str, silent: bool) -> Result<(), WorkloadError> {
        let server = self.server(id)?;
        self.servers[server].set_silent(silent, self.now);
        self.schedule_step(server);
        Ok(())
    }

    /// Makes a server slower than usual by a factor of at least 1, until it starts again.
    pub fn slow_server(&mut self, id: &str, factor: f64) -> Result<(), WorkloadError> {
        let server = self.server(id)?;
        if !factor.is_finite() || factor < 1.0 {
            return Err(WorkloadError::OutOfRange);
        }
        self.servers[server].set_slowness(factor, self.now);
        self.schedule_step(server);
        Ok(())
    }

    /// Makes a server answer a share of tries with an error at once, until it starts again.
    pub fn set_server_errors(&mut self, id: &str, share: f64) -> Result<(), WorkloadError> {
        let server = self.server(id)?;
        if !(0.0..=1.0).contains(&share) {
            return Err(WorkloadError::OutOfRange);
        }
        self.servers[server].error_share = share;
        Ok(())
    }

    /// Makes a coordinator's channel run at a share of its usual pace, from the next message on.
    pub fn set_channel_rate_factor(&mut self, coordinator: usize, share: f64) -> Result<(), WorkloadError> {
        self.check_coordinator(coordinator)?;
        if !share.is_finite() || share <= 0.0 {
            return Err(WorkloadError::OutOfRange);
        }
        self.coordinators[coordinator].pace = share;
        Ok(())
    }

    /// A stream from a proxy to a coordinator stands from now on. An earlier one has ended.
    pub fn join(&mut self, proxy: u16, coordinator: usize) -> Result<(), WorkloadError> {
        self.check_proxy(proxy)?;
        self.check_coordinator(coordinator)?;
        self.end_stream(proxy, true);
        self.ensure_standing_table(proxy);
        self.streams += 1;
        let stream = Stream { id: self.streams, coordinator, joined: self.now };
        let joining = &mut self.proxies[usize::from(proxy)];
        joining.stream = Some(stream);
        joining.accountable = Some(stream);
        joining.last_ordered = None;
        self.coordinators[coordinator].joined(proxy);
        self.update_lacks(proxy);
        Ok(())
    }

    /// The stream of a proxy has ended; it keeps what it holds.
    pub fn leave(&mut self, proxy: u16) -> Result<(), WorkloadError> {
        self.check_proxy(proxy)?;
        self.end_stream(proxy, true);
        self.proxies[usize::from(proxy)].accountable = None;
        self.update_lacks(proxy);
        Ok(())
    }

    /// The stream of a proxy has ended by the coordinator's doing: its time limits run on until it joins again,
    /// and what waits in the channel stays counted.
    pub fn stream_ended_by_coordinator(&mut self, proxy: u16) -> Result<(), WorkloadError> {
        self.check_proxy(proxy)?;
        self.end_stream(proxy, false);
        Ok(())
    }

    /// A proxy's process ends: what it has in hand fails, and operations come elsewhere until it starts again.
    pub fn stop_proxy(&mut self, proxy: u16) -> Result<(), WorkloadError> {
        self.leave(proxy)?;
        self.fail_operations_of(proxy);
        let place = usize::from(proxy);
        let connections: Vec<usize> = self.proxies[place].connections.keys().copied().collect();
        connections.into_iter().for_each(|server| self.close_connection(place, server));
        self.proxies[place].running = false;
        Ok(())
    }

    /// A proxy's process starts anew: it holds a standing table, drawn anew, and nothing else.
    pub fn restart_proxy(&mut self, proxy: u16) -> Result<(), WorkloadError> {
        self.stop_proxy(proxy)?;
        let zone = self.settings.proxy_zone(proxy);
        self.proxies[usize::from(proxy)] = Proxy::new(zone, self.settings.classes.len());
        self.ensure_standing_table(proxy);
        Ok(())
    }

    /// A coordinator has ended: its tables, queue and withdrawals are lost, and its streams with them.
    pub fn coordinator_ended(&mut self, coordinator: usize) -> Result<(), WorkloadError> {
        self.check_coordinator(coordinator)?;
        for proxy in 0..self.settings.proxies {
            let accountable = self.proxies[usize::from(proxy)].accountable;
            if accountable.is_some_and(|stream| stream.coordinator == coordinator) {
                self.leave(proxy)?;
            }
        }
        let waiting = self.coordinators[coordinator].end();
        waiting.iter().for_each(|message| self.message_lost(message));
        Ok(())
    }

    /// The list has told a coordinator that a server drains or is gone.
    pub fn notify_server_lost(&mut self, coordinator: usize, id: &str) -> Result<(), WorkloadError> {
        self.check_coordinator(coordinator)?;
        let server = self.server(id)?;
        self.rules.lists[coordinator].tell_lost(server, self.now);
        self.update_lacks_of(coordinator);
        Ok(())
    }

    /// The list has told a coordinator that a server is ready, with its latest start.
    pub fn notify_server_ready(&mut self, coordinator: usize, id: &str) -> Result<(), WorkloadError> {
        self.check_coordinator(coordinator)?;
        let server = self.server(id)?;
        let started = self.servers[server].started;
        self.rules.lists[coordinator].tell_ready(server, started, self.now);
        self.update_lacks_of(coordinator);
        let warm = started.map(|started| started + self.settings.ramp_time).filter(|warm| *warm > self.now);
        if let Some(warm) = warm {
            self.events.schedule(warm, Event::ListedWarm { coordinator });
        }
        Ok(())
    }

    /// Holds off a coordinator's time limits for so long from now on.
    pub fn suspend_limits(&mut self, coordinator: usize, length: Duration) -> Result<(), WorkloadError> {
        self.check_coordinator(coordinator)?;
        self.rules.lists[coordinator].hold_off(self.now, self.now + length);
        Ok(())
    }

    /// Multiplies the rate of all operations from now on.
    pub fn set_load_factor(&mut self, factor: f64) {
        self.load_factor = factor;
        self.schedule_arrival();
    }

    /// Ends the arrival of operations.
    pub fn stop_arrivals(&mut self) {
        self.set_load_factor(0.0);
    }

    /// Usual operations a second of a proxy.
    pub fn proxy_rate(&self, proxy: u16) -> f64 {
        self.rates.get(usize::from(proxy)).copied().unwrap_or(0.0)
    }

    /// Whether a proxy holds no table but its standing one.
    pub fn holds_only_standing_table(&self, proxy: u16) -> bool {
        self.proxies.get(usize::from(proxy)).is_none_or(Proxy::holds_only_standing_table)
    }

    /// Acknowledgements that have come for a coordinator since the last call, in order.
    pub fn take_acknowledgements(&mut self, coordinator: usize) -> Vec<Acknowledgement> {
        self.coordinators.get_mut(coordinator).map(Coordinator::take_acknowledgements).unwrap_or_default()
    }

    /// What the proxies of a zone met at servers since the last call.
    pub fn take_upstream_reports(&mut self, zone: usize) -> Vec<UpstreamReport> {
        let servers = &self.settings.servers;
        self.sums.take_upstream(zone, self.now, |server| servers[server].id.clone())
    }

    /// What came to the proxies joined to a coordinator since their last report.
    pub fn take_client_reports(&mut self, coordinator: usize) -> Vec<ClientReport> {
        let mut rows = Vec::new();
        for proxy in 0..self.settings.proxies {
            let stream = self.proxies[usize::from(proxy)].stream;
            if stream.is_some_and(|stream| stream.coordinator == coordinator) {
                self.sums.take_clients(proxy, self.now, &mut rows);
            }
        }
        rows
    }

    /// What became of the day so far.
    pub fn summary(&self) -> Summary {
        let mut summary = Summary {
            by_class: vec![Tally::default(); self.settings.classes.len()],
            no_line_periods: self.rules.no_line_periods(self.now),
            drain_breaches: self.rules.drain_breaches(),
            overload_crashes: self.rules.overload_crashes.clone(),
            longest_queue: self.coordinators.iter().map(Coordinator::longest_queue).collect(),
            queue_breaches: self.rules.queue_breaches.clone(),
            unsafe_repeats: self.rules.unsafe_repeats,
            misplaced_sends: self.rules.misplaced_sends,
            marks_acknowledged: self.rules.marks.acknowledged,
            marks_lost: self.rules.marks.lost,
            marks_waiting: self.rules.marks.waiting(),
            longest_mark: self.rules.marks.longest(self.now),
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
        let place = (operation.arrived.as_nanos() / WINDOW.as_nanos()) as usize;
        while summary.windows.len() <= place {
            let start = WINDOW * summary.windows.len() as u32;
            let by_class = vec![Tally::default(); self.settings.classes.len()];
            summary.windows.push(Window { start, total: Tally::default(), by_class });
        }
        summary.total.count(outcome, within_aim);
        summary.by_class[operation.class].count(outcome, within_aim);
        summary.windows[place].total.count(outcome, within_aim);
        summary.windows[place].by_class[operation.class].count(outcome, within_aim);
        *summary.reasons.entry((outcome, reason)).or_insert(0) += 1;
        if matches!(outcome, Outcome::Later | Outcome::Never) {
            let Operation { proxy, class, arrived, .. } = *operation;
            let answered = operation.end.map(|end| end.at);
            summary.lost_operations.push(LostOperation { proxy, class, arrived, answered, reason });
        }
    }

    /// The same operations and server changes until `end` under a policy that sees the true state of all servers
    /// half a second late, sends to the one that would finish first, and admits what fits in its deadline.
    pub fn reference(
        settings: &WorkloadSettings,
        seed: u64,
        script: &[ServerChange],
        end: Duration,
    ) -> Result<Summary, WorkloadError> {
        let mut workload = Workload::new(settings.clone(), seed);
        workload.late_sight = Some(LateSight::default());
        workload.events.schedule(Duration::ZERO, Event::Look);
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

    /// Lets a scripted change happen now.
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

    fn look(&mut self) {
        let Some(late_sight) = &mut self.late_sight else { return };
        late_sight.look(&self.servers, self.now);
        self.events.schedule(self.now + LOOK_INTERVAL, Event::Look);
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
