//! Settings of a simulated deployment: servers, request classes, proxies, channels and limits.

use std::time::Duration;

/// A server and its true capacity, which is not reported to any coordinator.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerSpec {
    /// Identifier, which does not change when the process restarts.
    pub id: String,
    /// Zone of the server.
    pub zone: usize,
    /// Number of cores.
    pub cores: f64,
    /// Speed of a core relative to a standard core.
    pub speed: f64,
    /// Weight given in discovery's list of servers.
    pub listed_weight: f64,
}

impl ServerSpec {
    /// Seconds of standard work that the server completes per second when warm.
    pub fn capacity(&self) -> f64 {
        self.cores * self.speed
    }
}

/// Whether an operation may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// May always be repeated.
    Safe,
    /// Carries a key by which servers discard duplicates.
    Keyed,
    /// Must not be repeated once a try might have run.
    Unsafe,
}

/// A class of operations.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassSpec {
    /// Name of the class.
    pub name: String,
    /// Share of all operations, relative to the shares of the other classes.
    pub share: f64,
    /// Mean work of an operation on a standard core.
    pub work: Duration,
    /// Latency goal.
    pub latency_goal: Duration,
    /// Time within which the final answer is due.
    pub deadline: Duration,
    /// Whether its operations may be repeated.
    pub semantics: Semantics,
    /// The only zone whose servers may serve the class; `None` allows all zones.
    pub only_zone: Option<usize>,
}

impl ClassSpec {
    /// Whether a server of `zone` may serve the class.
    pub fn allows(&self, zone: usize) -> bool {
        self.only_zone.is_none_or(|only| only == zone)
    }
}

/// Unit of an admission level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Share of operations that is admitted.
    Share,
    /// Operations per second, for each proxy and class.
    Rate,
    /// Levels have no effect.
    Ignored,
}

/// How a proxy selects one of its lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Weighted random selection.
    WeightedRandom,
    /// Smooth weighted round robin.
    WeightedRoundRobin,
    /// Of two lines drawn at random by weight, the one with fewer of the proxy's tries in flight.
    TwoChoices,
}

/// Distribution of the work of single operations around the mean of their class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkDistribution {
    /// Every operation takes the mean.
    Constant,
    /// Exponential.
    Exponential,
}

/// A simulated deployment. [`WorkloadSettings::default`] has no servers or classes, and plausible values
/// elsewhere.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkloadSettings {
    /// All servers that may run; none runs before [`super::Workload::start_server`].
    pub servers: Vec<ServerSpec>,
    /// Classes of operations; their indexes identify them.
    pub classes: Vec<ClassSpec>,
    /// Number of proxies; proxy `n` is in zone `n % zones`.
    pub proxies: u16,
    /// Number of zones.
    pub zones: usize,
    /// Number of coordinators.
    pub coordinators: usize,
    /// Offered work as a share of the capacity of all warm `servers`.
    pub load: f64,
    /// Coefficient of variation of the proxies' rates; 0 for equal rates.
    pub rate_spread: f64,
    /// Distribution of work around the mean of a class.
    pub work_distribution: WorkDistribution,

    /// Requests that a core serves concurrently.
    pub slots_per_core: f64,
    /// Queue length per core for requests that wait for a slot; requests beyond it are rejected without
    /// having run.
    pub waiting_per_core: f64,
    /// Requests held per core above which the server slows down.
    pub knee_per_core: f64,
    /// Growth of the slowdown factor for each further `knee_per_core` requests held; 0 disables the slowdown.
    pub slowdown_past_knee: f64,
    /// Connections accepted per core.
    pub connections_per_core: f64,
    /// Share of speed lost when all connections are in use.
    pub full_connections_tax: f64,
    /// Work of a handshake at the server.
    pub handshake_work: Duration,
    /// Round trips of a handshake before the request can be sent.
    pub handshake_round_trips: u32,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// Timeout for opening a connection.
    pub dial_timeout: Duration,
    /// One-way delay between machines of the same zone.
    pub same_zone_delay: Duration,
    /// One-way delay between machines of different zones.
    pub cross_zone_delay: Duration,

    /// Share of its full capacity that a server has when it starts.
    pub cold_share: f64,
    /// Time from a server's start until it has its full capacity.
    pub ramp_time: Duration,
    /// A cold server crashes when it receives more than this multiple of its current capacity.
    pub overload_multiple: f64,
    /// Window over which that work is counted.
    pub overload_window: Duration,
    /// Tolerance for random variation in that count, as a share of the limit.
    pub overload_slack: f64,

    /// Longest time for which a joined proxy may have no usable line.
    pub no_line_limit: Duration,
    /// Grace period of the rules on drains and on cold servers.
    pub drain_grace: Duration,
    /// Tolerance for socket delays, added to `no_line_limit` and `drain_grace`.
    pub socket_slack: Duration,

    /// Lines that a coordinator's channel sends per second.
    pub lines_per_second: f64,
    /// Overhead of each message, in lines.
    pub lines_per_message: f64,
    /// Maximum number of lines queued in a channel.
    pub queue_limit: f64,
    /// Mean transit time from the channel to the proxy.
    pub push_delay: Duration,
    /// Half the width of the uniform distribution of that time, as a share of the mean.
    pub push_jitter: f64,
    /// Time that a proxy takes to apply each line of a message.
    pub apply_per_line: Duration,
    /// Interval between reports.
    pub report_period: Duration,

    /// For each class, whether it may only use servers of the proxy's zone; an empty list restricts no class.
    pub home_only: Vec<bool>,
    /// How proxies select a line.
    pub pick: Pick,
    /// Maximum number of times that a client repeats a failed operation, if the class allows it.
    pub client_repeats: u8,
    /// Delay before such a repeat.
    pub client_backoff: Duration,
    /// Unit of the admission levels.
    pub admission: Admission,
    /// Maximum number of servers in a standing table.
    pub standing_table: usize,
    /// Retry mode where no order sets one.
    pub default_retry: u8,
    /// Timeout of a try that may be retried, as a multiple of the latency goal.
    pub try_factor: f64,
    /// Whether a proxy answers an operation as failed at its deadline instead of waiting for the server.
    pub fail_at_deadline: bool,
    /// Consecutive failures of a proxy's tries after which it ejects a server; 0 disables ejection.
    pub ejection_threshold: u32,
    /// Time for which the server stays ejected.
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

    /// Whether a proxy in `proxy_zone` may use a server in `server_zone` for a class.
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

    /// Operations per second that correspond to `load`.
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
