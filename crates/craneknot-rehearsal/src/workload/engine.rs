//! The event loop of the model.

use std::time::Duration;

use super::orders::{Acknowledgement, ClientReport, Order, Refusal, UpstreamReport};
use super::settings::WorkloadSettings;
use super::summary::{ServerChange, Summary};

/// A modelled deployment and the day that it has had so far.
pub struct Workload {
    settings: WorkloadSettings,
    now: Duration,
}

impl Workload {
    /// A deployment at time zero: no server runs, no proxy has joined.
    pub fn new(settings: WorkloadSettings, _seed: u64) -> Self {
        Workload { settings, now: Duration::ZERO }
    }

    /// Lets time pass until `now`; what lies before the last such time is ignored.
    pub fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    /// The last time given to [`Workload::advance`].
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Starts a server's process: warm at time zero, cold later.
    pub fn start_server(&mut self, id: &str) -> Result<(), Refusal> {
        self.server(id).map(drop)
    }

    /// Lets a server drain.
    pub fn drain_server(&mut self, id: &str) -> Result<(), Refusal> {
        self.server(id).map(drop)
    }

    /// Ends a server's process: its connections are reset and new ones refused.
    pub fn stop_server(&mut self, id: &str) -> Result<(), Refusal> {
        self.server(id).map(drop)
    }

    /// Makes a server silent, or ends that.
    pub fn silence_server(&mut self, id: &str, _silent: bool) -> Result<(), Refusal> {
        self.server(id).map(drop)
    }

    /// A stream from a proxy to a coordinator stands from now on.
    pub fn join(&mut self, proxy: u16, coordinator: usize) -> Result<(), Refusal> {
        self.known(proxy, coordinator)
    }

    /// The stream of a proxy has ended; it keeps what it holds.
    pub fn leave(&mut self, proxy: u16) -> Result<(), Refusal> {
        self.known(proxy, 0)
    }

    /// The stream of a proxy has ended by the coordinator's doing: time limits run on until it joins again.
    pub fn leave_by_coordinator(&mut self, proxy: u16) -> Result<(), Refusal> {
        self.known(proxy, 0)
    }

    /// A proxy restarts: it holds a standing table, drawn anew, and nothing else.
    pub fn restart_proxy(&mut self, proxy: u16) -> Result<(), Refusal> {
        self.known(proxy, 0)
    }

    /// A coordinator has ended: its tables, queue and withdrawals are lost, and its streams with it.
    pub fn coordinator_ended(&mut self, _coordinator: usize) {}

    /// Takes an order. Orders to one coordinator between two calls of [`Workload::advance`] or
    /// [`Workload::end_batch`] are one batch and make one message for each proxy concerned.
    pub fn apply(&mut self, _coordinator: usize, _order: &Order) -> Result<(), Refusal> {
        Ok(())
    }

    /// Ends the batch of a coordinator.
    pub fn end_batch(&mut self, _coordinator: usize) {}

    /// The list has told a coordinator that a server drains or is gone.
    pub fn told_lost(&mut self, _coordinator: usize, id: &str) -> Result<(), Refusal> {
        self.server(id).map(drop)
    }

    /// The list has told a coordinator that a server is ready.
    pub fn told_ready(&mut self, _coordinator: usize, id: &str) -> Result<(), Refusal> {
        self.server(id).map(drop)
    }

    /// Multiplies the rate of all operations from now on.
    pub fn set_load_factor(&mut self, _factor: f64) {}

    /// Ends the arrival of operations.
    pub fn stop_arrivals(&mut self) {}

    /// Usual operations a second of a proxy.
    pub fn proxy_rate(&self, _proxy: u16) -> f64 {
        self.settings.operations_per_second() / f64::from(self.settings.proxies.max(1))
    }

    /// Whether a proxy holds no table but its standing one.
    pub fn holds_only_standing_table(&self, _proxy: u16) -> bool {
        true
    }

    /// Acknowledgements that have come for a coordinator since the last call, in order.
    pub fn take_acknowledgements(&mut self, _coordinator: usize) -> Vec<Acknowledgement> {
        Vec::new()
    }

    /// What the proxies of a zone met at servers since the last call.
    pub fn take_upstream_reports(&mut self, _zone: usize) -> Vec<UpstreamReport> {
        Vec::new()
    }

    /// What came to the proxies joined to a coordinator since their last report.
    pub fn take_client_reports(&mut self, _coordinator: usize) -> Vec<ClientReport> {
        Vec::new()
    }

    /// What became of the day so far.
    pub fn summary(&self) -> Summary {
        Summary::default()
    }

    /// The same day under a policy that sees the true state of all servers half a second late.
    pub fn reference(
        _settings: &WorkloadSettings,
        _seed: u64,
        _script: &[ServerChange],
        _end: Duration,
    ) -> Summary {
        Summary::default()
    }

    fn server(&self, id: &str) -> Result<usize, Refusal> {
        let found = self.settings.servers.iter().position(|server| server.id == id);
        found.ok_or_else(|| Refusal::UnknownServer(id.to_owned()))
    }

    fn known(&self, proxy: u16, coordinator: usize) -> Result<(), Refusal> {
        if proxy >= self.settings.proxies {
            return Err(Refusal::UnknownProxy(proxy));
        }
        if coordinator >= self.settings.coordinators {
            return Err(Refusal::UnknownCoordinator(coordinator));
        }
        Ok(())
    }
}
