//! Totals over proxies and servers that decisions are made on: the traffic that arrives, the outcomes and the load of
//! each group.

use crate::interface::*;
use crate::policy::{
    DEFAULT_BUSY_SHARE, DEMAND_HALF_LIFE, MIN_BUSY, MIN_RATE_AGE, MIN_REPORT_WEIGHT, MIN_TRIES,
    SETTLING_PERIOD, THROUGHPUT_HALF_LIFE,
};
use crate::state::ServerState::Cold;
use crate::state::*;

impl Controller {
    /// Updates the totals of each group, and the best recent throughput of a unit of listed weight.
    pub(crate) fn evaluate_groups(&mut self) {
        let now = self.now;
        let (mut handled, mut busy_weight) = (0.0, 0.0);
        for group in &mut self.groups {
            let members = || group.members.iter().map(|id| &self.servers[id]);
            let in_use = || members().filter(|s| s.in_use());
            let busy = |s: &Server| Some(s.listed_weight() * s.busy.mean(now, MIN_REPORT_WEIGHT)?);
            let busy: Option<f64> = in_use().map(busy).sum();
            let weight_in_use: f64 = in_use().map(Server::listed_weight).sum();
            let listed_weight = members().filter(|s| s.is_ready()).map(Server::listed_weight).sum();
            let mut member_outcomes: Vec<Outcomes> = in_use().map(|s| s.all_outcomes(now)).collect();
            let outcomes = member_outcomes.iter().copied().fold(Outcomes::default(), Outcomes::plus);
            member_outcomes.sort_by(|a, b| a.failed_share().total_cmp(&b.failed_share()));
            let half = member_outcomes.len().div_ceil(2);
            let better = member_outcomes.into_iter().take(half).fold(Outcomes::default(), Outcomes::plus);
            group.better_half_failed_share = (better.failed + 1.0) / (better.tries + MIN_TRIES);
            group.cold_outcomes =
                members().filter(|s| s.state == Cold).map(|s| s.all_outcomes(now)).reduce(Outcomes::plus);
            (group.outcomes, group.weight_in_use, group.listed_weight) =
                (outcomes, weight_in_use, listed_weight);
            let in_flight = members()
                .filter(|s| s.in_use() || s.state == Cold)
                .filter_map(|s| s.in_flight.mean(now, MIN_REPORT_WEIGHT));
            group.in_flight = in_flight.sum();
            group.busy =
                busy.filter(|_| weight_in_use > 0.0).map(|busy| (busy / weight_in_use).clamp(MIN_BUSY, 1.0));
            handled += outcomes.handled_rate;
            busy_weight += weight_in_use * group.busy.unwrap_or(DEFAULT_BUSY_SHARE);
        }
        self.max_listed_weight =
            self.groups.iter().map(|group| group.listed_weight).sum::<f64>().max(self.max_listed_weight);
        let throughput_per_weight = handled / busy_weight.max(1e-9) / self.own_proxy_share();
        // Totals say too little until they cover enough time.
        let throughput_per_weight =
            if now - self.started_at < SETTLING_PERIOD { 0.0 } else { throughput_per_weight };
        let best = self.best_throughput_per_weight.read(now);
        self.best_throughput_per_weight.add(
            now,
            THROUGHPUT_HALF_LIFE,
            (throughput_per_weight - best).max(0.0),
        );
    }

    /// Returns the share of all proxies that belong to this controller.
    pub(crate) fn own_proxy_share(&self) -> f64 {
        (self.proxies.len().max(1) as f64 / f64::from(self.settings.proxies.max(1))).min(1.0)
    }

    /// Updates the arrivals per second of each class and proxy for its group. A proxy that joined recently and has no
    /// reports counts with its expected demand; otherwise many proxies joining at once would count for nothing.
    pub(crate) fn update_arrivals(&mut self) {
        let mut arrivals = vec![vec![Vec::new(); self.classes.len()]; self.groups.len()];
        let mut settled = vec![0.0; self.groups.len()];
        for proxy in self.proxies.values() {
            for (class, binding) in proxy.bindings.iter().enumerate() {
                let Some(group) = binding.group else { continue };
                let rate = self.arrival_rate(proxy, class);
                settled[group] += if self.now - proxy.joined_at >= SETTLING_PERIOD { rate } else { 0.0 };
                arrivals[group][class].push(rate);
            }
        }
        for (group, (arrivals, settled)) in self.groups.iter_mut().zip(arrivals.into_iter().zip(settled)) {
            group.settled_share = settled / arrivals.iter().flatten().sum::<f64>().max(1e-9);
            group.arrivals = arrivals;
        }
        self.usual_rate = self.proxies.values().map(|proxy| proxy.usual_rate).sum();
    }

    /// Returns the arrivals per second of a class at a proxy; the expected demand for a proxy that joined recently and
    /// has no reports.
    pub(crate) fn arrival_rate(&self, proxy: &Proxy, class: usize) -> f64 {
        let binding = &proxy.bindings[class];
        let age = self.now - proxy.joined_at;
        let has_reports = !binding.recent_demand.is_empty() || age >= DEMAND_HALF_LIFE;
        let rate = has_reports.then(|| binding.recent_demand.rate(self.now, age.max(MIN_RATE_AGE)));
        rate.unwrap_or_else(|| self.demand(proxy, class))
    }

    /// Returns, by class, the arrivals per second at each proxy that is bound to a table.
    pub(crate) fn table_arrivals(&self, table: TableId) -> Vec<Vec<f64>> {
        let mut arrivals = vec![Vec::new(); self.classes.len()];
        for proxy in self.proxies.values() {
            for (class, binding) in proxy.bindings.iter().enumerate() {
                if binding.group.is_some_and(|group| self.table_id(group, binding.placement) == table) {
                    arrivals[class].push(self.arrival_rate(proxy, class));
                }
            }
        }
        arrivals
    }

    /// Returns the long-term traffic of a proxy and class in operations per second. Until it has been measured, this
    /// is the proxy's usual rate divided evenly among the classes.
    pub(crate) fn demand(&self, proxy: &Proxy, class: usize) -> f64 {
        let binding = &proxy.bindings[class];
        let age = (self.now - proxy.joined_at).max(MIN_RATE_AGE);
        let measured = binding.is_demand_known.then(|| binding.long_term_demand.rate(self.now, age));
        measured.unwrap_or(proxy.usual_rate / self.classes.len() as f64).max(0.01)
    }

    /// Returns every binding, with the group that it would leave.
    pub(crate) fn move_candidates(&self, is_open: &dyn Fn(usize, usize) -> bool) -> Vec<Candidate> {
        let bindings = self
            .proxies
            .iter()
            .flat_map(|(id, proxy)| (0..proxy.bindings.len()).map(move |class| (id, proxy, class)));
        let candidate = |(id, proxy, class): (&ProxyId, &Proxy, usize)| {
            let Binding { placement, group, .. } = proxy.bindings[class];
            let (from, demand) =
                (group.filter(|group| is_open(placement, *group)), self.demand(proxy, class));
            Candidate { proxy: *id, zone: proxy.zone, class, demand, placement, from }
        };
        bindings.map(candidate).collect()
    }

    /// Returns the load of each group in operations per second. The proxies of other controllers are assumed to load
    /// the groups in proportion to their weights.
    pub(crate) fn loads(&self, weights: &[f64], candidates: &[Candidate]) -> Vec<f64> {
        let mut loads = vec![0.0; weights.len()];
        for candidate in candidates {
            candidate.from.into_iter().for_each(|from| loads[from] += candidate.demand);
        }
        let own_load: f64 = loads.iter().sum();
        let total_weight = weights.iter().sum::<f64>().max(1e-9);
        for (load, weight) in loads.iter_mut().zip(weights) {
            *load += own_load * (1.0 / self.own_proxy_share() - 1.0) * weight / total_weight;
        }
        loads
    }
}
