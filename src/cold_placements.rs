//! Decisions on placements of which all servers are surely cold: their tables keep lines to these servers, under levels
//! that let in no more than the servers can surely do.

use std::collections::BTreeMap;

use crate::interface::*;
use crate::levels::rate_cap;
use crate::policy::DEFAULT_BUSY_SHARE;
use crate::state::State::Cold;
use crate::state::*;

const YIELD_SHARE: f64 = 0.75; // share counted on of the best that servers have shown lately: the best of noisy sums
const UNMEASURED_YIELD_SHARE: f64 = 0.5; // share counted on of what usual traffic tells, before servers have shown what they can do
const STEADY_LOAD_SHARE: f64 = 0.5; // share of the multiple at which a cold server falls that all proxies at their levels may reach
const BURST_LOAD_SHARE: f64 = 0.75; // the same of what may come within one window: each proxy lets one operation pass at once
const RATE_SEARCH_STEPS: usize = 20; // halvings of the span in which a safe rate is looked for

impl Controller {
    /// Finds the placements that have servers listed as ready, none of which is in use or may be warm.
    pub(crate) fn find_cold_placements(&mut self) {
        let is_cold = |placement: &Placement| {
            let ready = || self.servers.values().filter(|s| s.ready() && placement.allows(&s.listing));
            let can_serve = |s: &Server| s.in_use() || s.may_be_warm(self.now, &self.settings);
            ready().next().is_some() && !ready().any(can_serve)
        };
        self.cold_placements = self.placements.iter().map(is_cold).collect();
    }

    /// Whether a table serves a placement of which all servers are cold; one of a zone may serve several placements.
    pub(crate) fn is_cold_table(&self, group: usize, place: usize) -> bool {
        let table = self.table_id(group, place);
        let cold = self.cold_placements.iter().enumerate().filter(|(_, is_cold)| **is_cold);
        cold.into_iter().any(|(other, _)| self.table_id(group, other) == table)
    }

    /// Cold servers of a group that a placement allows, with what each can surely do; those that were shut out only where
    /// there is no other.
    pub(crate) fn cold_weights(&self, group: usize, placement: &Placement) -> Vec<(&Server, f64)> {
        let fits = |s: &&Server| s.ready() && placement.allows(&s.listing);
        let members = || self.groups[group].members.iter().map(|id| &self.servers[id]).filter(fits);
        let weigh = |s| (s, Server::listed_weight(s) * s.warmed(self.now, &self.settings));
        let sound: Vec<_> = members().filter(|s| s.state == Cold).map(weigh).collect();
        if sound.is_empty() {
            members().map(weigh).collect()
        } else {
            sound
        }
    }

    /// What bindings under a placement count a group with: its weight, or what its cold servers can do where there are no
    /// others anywhere.
    pub(crate) fn binding_weight(&self, group: usize, place: usize) -> f64 {
        let placement = &self.placements[place];
        match self.cold_placements[place] {
            true => self.cold_weights(group, placement).iter().map(|(_, weight)| weight).sum(),
            false => self.total_weight(group, placement),
        }
    }

    /// Levels of a table to cold servers alone: what these can surely do, the most important class first.
    pub(crate) fn cold_levels(&self, group: usize, place: usize) -> BTreeMap<usize, (f64, FurtherTries)> {
        let best = self.best_yield.read(self.now);
        let usual = UNMEASURED_YIELD_SHARE * self.usual / DEFAULT_BUSY_SHARE / self.most_listed.max(1.0);
        let each = if best > 0.0 { YIELD_SHARE * best * self.own_proxy_share() } else { usual };
        let weights = self.cold_weights(group, &self.placements[place]);
        let able = each * weights.iter().map(|(_, weight)| weight).sum::<f64>();
        let arrivals = self.table_arrivals(self.table_id(group, place));
        let level = |class: usize, share: f64| match self.settings.level_unit {
            LevelUnit::Share => share.min(1.0),
            LevelUnit::Rate => rate_cap(&arrivals[class], share).min(self.safe_rate(able, &arrivals[class])),
            LevelUnit::Ignored => 1.0,
        };
        let shares = self.admitted_shares(able, &arrivals);
        let levels = shares.into_iter().map(|(class, share)| (class, level(class, share)));
        levels.map(|(class, level)| (class, (level, FurtherTries::Never))).collect()
    }

    /// The highest rate at each proxy at which cold servers do not fall, neither by what passes steadily nor by what passes
    /// at once: a proxy that has let nothing pass for a while lets its next operation pass whatever its rate.
    fn safe_rate(&self, able: f64, arrivals: &[f64]) -> f64 {
        let (multiple, window) = (self.settings.fall_multiple, self.settings.fall_window.secs());
        let budget = BURST_LOAD_SHARE * multiple * able * window;
        let at_once = |rate: f64| -> f64 {
            arrivals.iter().map(|arrived| (arrived * window).min(1.0 + rate * window)).sum()
        };
        let (mut safe, mut unsafe_rate) = (0.0, STEADY_LOAD_SHARE * multiple * able / arrivals.len() as f64);
        if at_once(unsafe_rate) <= budget {
            return unsafe_rate;
        }
        if at_once(0.0) > budget {
            return 0.0;
        }
        for _ in 0..RATE_SEARCH_STEPS {
            let middle = (safe + unsafe_rate) / 2.0;
            if at_once(middle) <= budget {
                safe = middle;
            } else {
                unsafe_rate = middle;
            }
        }
        safe
    }

    /// By class: what comes to each proxy that is bound to a table, per second.
    fn table_arrivals(&self, table: TableId) -> Vec<Vec<f64>> {
        let mut arrivals = vec![Vec::new(); self.classes.len()];
        for proxy in self.proxies.values() {
            for (class, binding) in proxy.bindings.iter().enumerate() {
                if binding.group.is_some_and(|group| self.table_id(group, binding.place) == table) {
                    arrivals[class].push(self.arrival_rate(proxy, class));
                }
            }
        }
        arrivals
    }
}
