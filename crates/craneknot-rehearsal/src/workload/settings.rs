//! What a modelled deployment consists of: servers, request classes, proxies, channels and limits.

use std::time::Duration;

/// A server and its true capacity, which no coordinator is told.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// Identifier, unchanged when the process restarts.
    pub id: String,
    /// Zone of the server.
    pub zone: usize,
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core against the standard one.
    pub speed: f64,
    /// Weight that the list of servers states.
    pub listed_weight: f64,
}

impl ServerSpec {
    /// Seconds of standard work that the server can do in a second when warm.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed
    }
}

/// Whether an operation may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// May be repeated at will.
    Safe,
    /// Carries a key by which servers discard repeats.
    Keyed,
    /// May not be repeated once a try might have run.
    Unsafe,
}

/// A class of operations.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: String,
    /// Its part of all operations, set against the shares of the other classes.
    pub share: f64,
    /// Mean work of an operation on a standard core.
    pub work: Duration,
    /// Latency goal.
    pub latency_goal: Duration,
    /// Time by which the final answer is due.
    pub deadline: Duration,
    /// Whether it may be repeated.
    pub semantics: Semantics,
    /// The only zone whose servers may serve it.
    pub only_zone: Option<usize>,
}

impl ClassSpec {
    /// Whether a server of `zone` may serve the class.
    pub fn allows(&self, zone: usize) -> bool {
        self.only_zone.is_none_or(|only| only == zone)
    }
}

/// The meaning of an admission level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The share of operations that is admitted.
    Share,
    /// Operations a second, at each proxy and for each class.
    Rate,
    /// Levels have no effect.
    Ignored,
}

/// How a proxy picks one of its lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// At random by weight.
    WeightedRandom,
    /// Evenly by weight.
    WeightedRoundRobin,
    /// Of two drawn by weight, the one with fewer of the proxy's tries in flight.
    TwoChoices,
}

/// How the work of single operations spreads around the mean of their class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkDistribution {
    /// Every operation takes the mean.
    Constant,
    /// Exponential.
    Exponential,
}

/// A modelled deployment. [`WorkloadSettings::default`] has no servers or classes and plausible figures.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadSettings {
    /// All servers that may ever run; none runs before [`super::Workload::start_server`].
    pub servers: Vec<ServerSpec>,
    /// Classes of operations, by index.
    pub classes: Vec<ClassSpec>,
    /// Number of proxies; proxy `n` stands in zone `n % zones`.
    pub proxies: u16,
    /// Number of zones.
    pub zones: usize,
    /// Number of coordinators.
    pub coordinators: usize,
    /// Offered work as a share of the capacity of all `servers` when warm.
    pub load: f64,
    /// Coefficient of variation of the proxies' rates; 0 for equal rates.
    pub rate_spread: f64,
    /// How work spreads around the mean of a class.
    pub work_distribution: WorkDistribution,

    /// Requests that a core works on at a time.
    pub slots_per_core: f64,
    /// Requests that wait for a slot, for each core; further ones are refused unseen.
    pub waiting_per_core: f64,
    /// Requests held for each core from which on the server slows down.
    pub knee_per_core: f64,
    /// Loss of speed, as a multiple of itself, for each further `knee_per_core` held; 0 for none.
    pub slowdown_past_knee: f64,
    /// Connections that a core accepts.
    pub connections_per_core: f64,
    /// Share of speed that a full table of connections takes.
    pub full_connections_tax: f64,
    /// Server work of a handshake.
    pub handshake_work: Duration,
    /// Round trips of a handshake before the request is sent.
    pub handshake_round_trips: u32,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Time after which opening a connection is given up.
    pub dial_timeout: Duration,
    /// One way between machines of a zone.
    pub same_zone_delay: Duration,
    /// One way between machines of different zones.
    pub cross_zone_delay: Duration,

    /// Share of its capacity that a server has when it starts.
    pub cold_share: f64,
    /// Time until a started server has its full capacity.
    pub ramp_time: Duration,
    /// A cold server falls when sent more than this multiple of its present capacity.
    pub overload_multiple: f64,
    /// The window over which that is counted.
    pub overload_window: Duration,
    /// Allowance for chance in that count, as a share of the limit.
    pub overload_slack: f64,

    /// Longest time that a joined proxy may have no line to pick.
    pub no_line_limit: Duration,
    /// Grace of the rules on drains and on cold servers.
    pub drain_grace: Duration,
    /// What the rules on sockets add to `bare` and `stop_sending_within`.
    pub socket_slack: Duration,

    /// Lines that leave a coordinator's channel in a second.
    pub lines_per_second: f64,
    /// Lines that each message costs on top of its own.
    pub lines_per_message: f64,
    /// Lines that may wait in a channel.
    pub queue_limit: f64,
    /// Mean time from leaving the channel to reaching the proxy.
    pub push_delay: Duration,
    /// Half width of the spread of that time, as a share of it.
    pub push_jitter: f64,
    /// Time for which a proxy applies each line of a message.
    pub apply_per_line: Duration,
    /// Time between two reports.
    pub report_period: Duration,

    /// By class, whether it may only use servers of the proxy's zone; empty for none.
    pub home_only: Vec<bool>,
    /// How proxies pick.
    pub pick: Pick,
    /// Repeats that a client makes after a failure, as far as the class allows.
    pub client_repeats: u8,
    /// Time until such a repeat.
    pub client_backoff: Duration,
    /// Meaning of the levels.
    pub admission: Admission,
    /// Most servers in a standing table.
    pub standing_table: usize,
    /// Way of retrying where none is ordered.
    pub default_retry: u8,
    /// A try that may be followed by another waits this multiple of the aim.
    pub try_factor: f64,
    /// Whether a proxy answers an operation as failed at its deadline, rather than waiting for the server.
    pub fail_at_deadline: bool,
    /// Consecutive failures of a proxy's tries after which it avoids a server; 0 for never.
    pub ejection_threshold: u32,
    /// Time for which it avoids it.
    pub ejection_time: Duration,
}

impl Default for WorkloadSettings {
    fn default() -> Self {
        WorkloadSettings {
            servers: Vec::new(),
            classes: Vec::new(),
            proxies: 0,
            zones: 1,
            coordinators: 1,
            load: 0.5,
            rate_spread: 0.0,
            work_distribution: WorkDistribution::Exponential,
            slots_per_core: 2.0,
            waiting_per_core: 16.0,
            knee_per_core: 4.0,
            slowdown_past_knee: 0.2,
            connections_per_core: 200.0,
            full_connections_tax: 0.1,
            handshake_work: Duration::from_micros(500),
            handshake_round_trips: 2,
            idle_timeout: Duration::from_secs(15),
            dial_timeout: Duration::from_millis(250),
            same_zone_delay: Duration::from_micros(200),
            cross_zone_delay: Duration::from_millis(1),
            cold_share: 0.2,
            ramp_time: Duration::from_secs(15),
            overload_multiple: 3.0,
            overload_window: Duration::from_secs(2),
            overload_slack: 0.1,
            no_line_limit: Duration::from_secs(2),
            drain_grace: Duration::from_secs(2),
            socket_slack: Duration::from_millis(300),
            lines_per_second: 15_000.0,
            lines_per_message: 6.0,
            queue_limit: 30_000.0,
            push_delay: Duration::from_millis(200),
            push_jitter: 0.5,
            apply_per_line: Duration::from_micros(30),
            report_period: Duration::from_secs(1),
            home_only: Vec::new(),
            pick: Pick::WeightedRandom,
            client_repeats: 0,
            client_backoff: Duration::from_millis(50),
            admission: Admission::Rate,
            standing_table: 10,
            default_retry: 1,
            try_factor: 1.2,
            fail_at_deadline: false,
            ejection_threshold: 5,
            ejection_time: Duration::from_secs(4),
        }
    }
}

impl WorkloadSettings {
    /// Zone of a proxy.
    pub fn proxy_zone(&self, proxy: u16) -> usize {
        usize::from(proxy) % self.zones.max(1)
    }

    /// Whether a proxy of one zone may use a server of another for a class.
    pub fn allows(&self, class: usize, proxy_zone: usize, server_zone: usize) -> bool {
        let home_only = self.home_only.get(class).copied().unwrap_or(false);
        self.classes[class].allows(server_zone) && (!home_only || proxy_zone == server_zone)
    }

    /// Mean work of an operation over all classes, in seconds.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        let work: f64 = self.classes.iter().map(|class| class.share * class.work.as_secs_f64()).sum();
        work / shares.max(f64::MIN_POSITIVE)
    }

    /// Operations a second that `load` amounts to.
    pub fn operations_per_second(&self) -> f64 {
        let capacity: f64 = self.servers.iter().map(ServerSpec::capacity).sum();
        let mean_work = self.mean_work();
        if mean_work > 0.0 {
            self.load * capacity / mean_work
        } else {
            0.0
        }
    }
}
