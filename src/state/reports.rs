//! What events tell about proxies and servers, recorded as it comes.

use crate::interface::*;
use crate::policy::{DEMAND_HALF_LIFE, REPORT_HALF_LIFE, SETTLING_PERIOD};
use crate::state::*;

/// Tries at one server that proxies of a zone reported.
pub struct TryReport {
    pub tries: u64,
    pub unanswered: u64,
    pub latency: Nanos,
    pub span: Nanos,
}

impl Controller {
    pub(crate) fn add_proxy(&mut self, proxy: ProxyId, zone: ZoneId, usual_rate: f64) {
        let placements = (0..self.classes.len()).map(|class| self.placement_index(class, zone));
        let bindings = placements.map(|index| Binding { placement: index, ..Binding::default() }).collect();
        self.refusals.remove(&Subject::Bind(proxy));
        self.proxies.insert(proxy, Proxy { zone, usual_rate, joined_at: self.now, bindings });
    }

    /// Takes over a binding of an earlier controller, if that group exists.
    pub(crate) fn keep_binding(&mut self, proxy: ProxyId, class: ClassId, group: usize) {
        let group = Some(group).filter(|group| *group < self.groups.len());
        let bindings = self.proxies.get_mut(&proxy).map(|proxy| &mut proxy.bindings);
        if let Some(binding) = bindings.and_then(|all| all.get_mut(usize::from(class.0))) {
            binding.group = group;
        }
    }

    pub(crate) fn record_tries(
        &mut self,
        server: &ServerId,
        zone: ZoneId,
        report: TryReport,
        load: &LoadReport,
    ) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(server) else { return };
        // With queued lines a report covers a longer span and must remain valid until the next one.
        let half_life = report.span.clamp(REPORT_HALF_LIFE, DEMAND_HALF_LIFE);
        server.busy.add(now, half_life, load.busy);
        server.in_flight.add(now, half_life, load.in_flight);
        // An unanswered try counts as a wait of the longest latency goal.
        let (tries, failed) = (report.tries as f64, report.tries.min(report.unanswered) as f64);
        let answered_secs = (tries - failed) * report.latency.secs();
        let waited_secs = answered_secs + failed * self.latency_goal_range.1;
        let outcomes =
            if zone == server.listing.zone { &mut server.own_zone } else { &mut server.other_zones };
        let reported = Outcomes { tries, failed, waited_secs, answered_secs, ..Outcomes::default() };
        outcomes.add(now, half_life, reported);
    }

    /// Records the traffic of a class at a proxy; true: enough of it is known for the first time.
    pub(crate) fn record_demand(
        &mut self,
        proxy: ProxyId,
        class: ClassId,
        arrived: u64,
        span: Nanos,
    ) -> bool {
        let now = self.now;
        let Some(proxy) = self.proxies.get_mut(&proxy) else { return false };
        let Some(binding) = proxy.bindings.get_mut(usize::from(class.0)) else { return false };
        binding.long_term_demand.add(now, DEMAND_HALF_LIFE, arrived as f64);
        binding.recent_demand.add(now, span.clamp(REPORT_HALF_LIFE, DEMAND_HALF_LIFE), arrived as f64);
        let is_first = !binding.is_demand_known && now - proxy.joined_at > SETTLING_PERIOD;
        binding.is_demand_known |= is_first;
        is_first
    }

    pub(crate) fn record_probe(&mut self, server: &ServerId, outcome: ProbeOutcome, load: &LoadReport) {
        let now = self.now;
        let Some(server) = self.servers.get_mut(server) else { return };
        server.busy.add(now, REPORT_HALF_LIFE, load.busy);
        (server.probes_answered, server.probes_failed) = match outcome {
            ProbeOutcome::Answered => (server.probes_answered + 1, 0),
            ProbeOutcome::TurnedAway => (server.probes_answered, server.probes_failed),
            ProbeOutcome::Failed => (0, server.probes_failed + 1),
        };
    }
}
