//! Placements whose servers are all known to be cold: their tables keep lines to these servers, with levels that
//! admit no more than the servers can certainly handle.

use std::collections::BTreeMap;

use crate::interface::*;
use crate::levels::rate_cap;
use crate::policy::DEFAULT_BUSY_SHARE;
use crate::state::ServerState::Cold;
use crate::state::*;

/// Share of the best observed throughput that is relied on, since the maximum of noisy load reports is too high.
const THROUGHPUT_SHARE: f64 = 0.75;
/// Share of the throughput derived from usual traffic that is relied on until capacity has been observed.
const USUAL_THROUGHPUT_SHARE: f64 = 0.5;
/// Share of the load multiple at which a cold server fails that all proxies together may reach at their levels.
const STEADY_LOAD_SHARE: f64 = 0.5;
/// The same share for what may arrive within one window: each proxy admits one operation at once.
const BURST_LOAD_SHARE: f64 = 0.75;
/// Bisection steps in the search for a safe rate.
const RATE_SEARCH_STEPS: usize = 20;

impl Controller {
    /// Determines which placements have servers listed as ready, none of which is in use or may be warm.
    pub(crate) fn find_cold_placements(&mut self) {
        let is_cold = |placement: &Placement| {
            let ready_servers =
                || self.servers.values().filter(|s| s.is_ready() && placement.allows(&s.listing));
            let can_serve = |s: &Server| s.in_use() || s.may_be_warm(self.now, &self.settings);
            ready_servers().next().is_some() && !ready_servers().any(can_serve)
        };
        self.cold_placements = self.placements.iter().map(is_cold).collect();
    }

    /// Returns whether a table serves a placement whose servers are all cold. The table of a group of one zone may
    /// serve several placements.
    pub(crate) fn is_cold_table(&self, group: usize, placement_index: usize) -> bool {
        let table = self.table_id(group, placement_index);
        let cold = self.cold_placements.iter().enumerate().filter(|(_, is_cold)| **is_cold);
        cold.into_iter().any(|(other, _)| self.table_id(group, other) == table)
    }

    /// Returns the cold servers of a group that a placement allows, with the weight each can certainly handle. Ejected
    /// servers are included only if there are no others.
    pub(crate) fn cold_weights(&self, group: usize, placement: &Placement) -> Vec<(&Server, f64)> {
        let fits = |s: &&Server| s.is_ready() && placement.allows(&s.listing);
        let members = || self.groups[group].members.iter().map(|id| &self.servers[id]).filter(fits);
        let with_weight = |s| (s, Server::listed_weight(s) * s.warm_share(self.now, &self.settings));
        let cold: Vec<_> = members().filter(|s| s.state == Cold).map(with_weight).collect();
        if cold.is_empty() {
            members().map(with_weight).collect()
        } else {
            cold
        }
    }

    /// Returns the weight of a group for bindings under a placement: its total weight, or what its cold servers can
    /// handle if the placement has only cold servers in all groups.
    pub(crate) fn binding_weight(&self, group: usize, placement_index: usize) -> f64 {
        let placement = &self.placements[placement_index];
        match self.cold_placements[placement_index] {
            true => self.cold_weights(group, placement).iter().map(|(_, weight)| weight).sum(),
            false => self.total_weight(group, placement),
        }
    }

    /// Returns the levels of a table that has only cold servers: what these can certainly handle, allocated to the
    /// most important class first.
    pub(crate) fn cold_levels(
        &self,
        group: usize,
        placement_index: usize,
    ) -> BTreeMap<usize, (f64, Retries)> {
        let best_throughput = self.best_throughput_per_weight.read(self.now);
        let usual_throughput =
            USUAL_THROUGHPUT_SHARE * self.usual_rate / DEFAULT_BUSY_SHARE / self.max_listed_weight.max(1.0);
        let throughput_per_weight = if best_throughput > 0.0 {
            THROUGHPUT_SHARE * best_throughput * self.own_proxy_share()
        } else {
            usual_throughput
        };
        let weights = self.cold_weights(group, &self.placements[placement_index]);
        let capacity = throughput_per_weight * weights.iter().map(|(_, weight)| weight).sum::<f64>();
        let arrivals = self.table_arrivals(self.table_id(group, placement_index));
        let level = |class: usize, share: f64| match self.settings.level_unit {
            LevelUnit::Share => share.min(1.0),
            LevelUnit::Rate => {
                rate_cap(&arrivals[class], share).min(self.safe_rate(capacity, &arrivals[class]))
            }
            LevelUnit::Ignored => 1.0,
        };
        let shares = self.admitted_shares(capacity, &arrivals);
        let levels = shares.into_iter().map(|(class, share)| (class, level(class, share)));
        levels.map(|(class, level)| (class, (level, Retries::Never))).collect()
    }

    /// Returns the highest rate per proxy at which cold servers don't fail, neither from steady load nor from a burst:
    /// a proxy that has admitted nothing for a while admits its next operation whatever its rate.
    fn safe_rate(&self, capacity: f64, arrivals: &[f64]) -> f64 {
        let (multiple, window) = (self.settings.overload_multiple, self.settings.overload_window.secs());
        let budget = BURST_LOAD_SHARE * multiple * capacity * window;
        let burst = |rate: f64| -> f64 {
            arrivals.iter().map(|arrived| (arrived * window).min(1.0 + rate * window)).sum()
        };
        let (mut safe, mut unsafe_rate) =
            (0.0, STEADY_LOAD_SHARE * multiple * capacity / arrivals.len() as f64);
        if burst(unsafe_rate) <= budget {
            return unsafe_rate;
        }
        if burst(0.0) > budget {
            return 0.0;
        }
        for _ in 0..RATE_SEARCH_STEPS {
            let middle = (safe + unsafe_rate) / 2.0;
            if burst(middle) <= budget {
                safe = middle;
            } else {
                unsafe_rate = middle;
            }
        }
        safe
    }
}
