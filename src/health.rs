//! Health decisions on servers: their states, from the list, observed outcomes and probes, and the weight of
//! each server within its group.

use crate::interface::*;
use crate::policy::{MIN_TRIES, REBALANCE_ROUNDS, SETTLING_PERIOD, SUSPECT_FAILURE_SHARE};
use crate::state::ServerState::{Away, Cold, Doubted, Open, Out};
use crate::state::*;

/// Share of its weight that a server gets in the first step after it joins.
const INITIAL_WEIGHT_SHARE: f64 = 0.5;
/// Share of its capacity below which a new server gets no line: one burst would overload it.
const MIN_WARM_SHARE: f64 = 0.5;
/// The same in a group that answers nearly all tries: there the bursts come from retries.
const MIN_WARM_SHARE_CALM: f64 = 0.25;
/// Failed share below which a group counts as answering nearly all tries.
const CALM_FAILED_SHARE: f64 = 0.05;
/// Failed share from which clients' retries no longer compensate.
const BROKEN_FAILED_SHARE: f64 = 0.35;
/// Multiple of the other servers' failed share above which the server is at fault, not the load.
const OUTLIER_FACTOR: f64 = 2.5;
/// Share of a group's listed weight that ejections leave in use; bindings can leave the group.
const MIN_WEIGHT_SHARE_IN_USE: f64 = 0.4;
/// A probe costs the server a few ms of work.
const PROBE_INTERVAL: Nanos = Nanos::from_millis(700);
/// Answered probes that end a doubt or let an ejected server return; for a return doubled with each further
/// ejection, at most three times.
const PROBES_TO_CLEAR: u32 = 3;
/// Consecutive failed probes that eject a server: a single probe may be lost.
const PROBES_TO_EJECT: u32 = 2;
/// A doubted server counts as sound after this long without signs of a fault.
const DOUBT_TIMEOUT: Nanos = Nanos::from_millis(8_000);
/// Long enough for reports that reflect the last change to arrive.
const WEIGHT_FACTOR_INTERVAL: Nanos = Nanos::from_millis(3_000);
/// Exponent of the ratio of waits: answers are late, and weights must not oscillate.
const WEIGHT_FACTOR_EXPONENT: f64 = 0.2;
/// Waits reflect queues more than speed, so weights follow them only within these bounds.
const WEIGHT_FACTOR_RANGE: (f64, f64) = (0.2, 1.8);
/// A server that returns after it was removed for this long counts as new.
const FORGET_AFTER: Nanos = Nanos::from_millis(60_000);

/// The state machine of a server: states, trigger, next state, effect. The first row whose trigger holds is
/// applied.
const SERVER_TRANSITIONS: &[(&[ServerState], ServerTrigger, ServerState, Effect)] = &[
    (&[Cold, Open, Doubted, Out], ServerTrigger::Unlisted, Away, Effect::Leave),
    (&[Away, Open, Doubted, Out, Cold], ServerTrigger::Started, Cold, Effect::Join),
    (&[Away], ServerTrigger::Warm, Open, Effect::Join),
    (&[Cold], ServerTrigger::Warm, Open, Effect::Nothing),
    (&[Cold, Open, Doubted], ServerTrigger::Broken, Out, Effect::Eject),
    (&[Open], ServerTrigger::Odd, Doubted, Effect::Nothing),
    (&[Doubted], ServerTrigger::Sound, Open, Effect::Nothing),
    (&[Out], ServerTrigger::Cleared, Open, Effect::Return),
];

impl Server {
    pub(crate) fn listed_weight(&self) -> f64 {
        self.listing.weight.filter(|weight| *weight > 0.0 && weight.is_finite()).unwrap_or(1.0)
    }

    /// Whether its tables list it at its full weight and it counts towards its group's weight.
    pub(crate) fn in_use(&self) -> bool {
        matches!(self.state, Open | Doubted)
    }

    /// Observed outcomes to judge it by: those of proxies in its own zone if there are enough, since the
    /// network path may affect proxies in other zones.
    pub(crate) fn relevant_outcomes(&self, now: Nanos) -> Outcomes {
        let own_zone = Some(self.own_zone.read(now)).filter(|own_zone| own_zone.tries >= MIN_TRIES);
        own_zone.unwrap_or_else(|| self.other_zones.read(now))
    }

    /// Observed outcomes of the proxies in all zones.
    pub(crate) fn all_outcomes(&self, now: Nanos) -> Outcomes {
        self.own_zone.read(now).plus(self.other_zones.read(now))
    }

    pub(crate) fn is_warm(&self, now: Nanos, settings: &Settings) -> bool {
        self.listing.started.is_none_or(|started| now - started >= settings.warm_after)
    }

    /// Whether it is warm, or may be warm because its start time is uncertain.
    pub(crate) fn may_be_warm(&self, now: Nanos, settings: &Settings) -> bool {
        self.is_warm(now, settings) || !self.listing.is_start_certain
    }

    /// A lower bound of the share of its capacity that it has reached in its warm-up.
    pub(crate) fn warm_share(&self, now: Nanos, settings: &Settings) -> f64 {
        let warmth = |started: Nanos| ((now - started).secs() / settings.warm_after.secs()).min(1.0);
        let ramp = |warmth: f64| settings.cold_share + (1.0 - settings.cold_share) * warmth;
        self.listing.started.map_or(1.0, |started| ramp(warmth(started)))
    }

    /// The share of its listed weight that it can safely carry now; 0 while its warm-up is below
    /// `min_warm_share`.
    pub(crate) fn usable_share(
        &self,
        now: Nanos,
        controller_start: Nanos,
        settings: &Settings,
        min_warm_share: f64,
    ) -> f64 {
        let warm_share = self.warm_share(now, settings);
        let joining_factor = if self.joined_at.is_some_and(|joined_at| now - joined_at < SETTLING_PERIOD) {
            INITIAL_WEIGHT_SHARE
        } else {
            1.0
        };
        match self.state {
            Away | Out => 0.0,
            // Also 0 while the controller itself has just started and knows little.
            Cold if warm_share < min_warm_share || now - controller_start < SETTLING_PERIOD => 0.0,
            Cold | Open | Doubted => warm_share * joining_factor,
        }
    }
}

impl Group {
    /// Share of its capacity below which a new member gets no line.
    pub(crate) fn min_warm_share(&self) -> f64 {
        let is_calm = self.outcomes.tries >= MIN_TRIES && self.outcomes.failed_share() < CALM_FAILED_SHARE;
        if is_calm {
            MIN_WARM_SHARE_CALM
        } else {
            MIN_WARM_SHARE
        }
    }
}

impl Controller {
    /// The state transition that is due for a server, if any.
    pub(crate) fn due_transition(&self, server: &Server) -> Option<(ServerTrigger, ServerState, Effect)> {
        let (now, outcomes) = (self.now, server.relevant_outcomes(self.now));
        let (tries, failed_share) = (outcomes.tries, outcomes.failed_share());
        let is_cold = !server.is_warm(now, &self.settings);
        // Compares with the better half of its group: an overloaded group fails as a whole, and a lost
        // network path may affect most of its members.
        let group = &self.groups[server.group];
        let is_outlier = failed_share > OUTLIER_FACTOR * group.better_half_failed_share;
        let ejectable_weight = group.weight_in_use - MIN_WEIGHT_SHARE_IN_USE * group.listed_weight;
        let is_overload_likely = group.load == LoadState::Shedding && server.probes_failed == 0;
        let is_failing =
            tries >= MIN_TRIES && failed_share >= BROKEN_FAILED_SHARE && is_outlier && !is_overload_likely;
        let is_unresponsive =
            server.probes_failed >= PROBES_TO_EJECT && (failed_share > SUSPECT_FAILURE_SHARE || tries < 1.0);
        let is_recovered = now - server.state_since >= DOUBT_TIMEOUT && failed_share < SUSPECT_FAILURE_SHARE;
        let probes_needed = PROBES_TO_CLEAR << server.ejections.saturating_sub(1).min(3);
        let has_waited = now - server.state_since >= Nanos(PROBE_INTERVAL.0 * u64::from(probes_needed));
        let holds = |trigger: ServerTrigger| match trigger {
            ServerTrigger::Unlisted => !server.is_ready(),
            ServerTrigger::Started => {
                server.is_ready() && is_cold && (server.state == Away || server.restarted)
            }
            ServerTrigger::Warm => server.is_ready() && !is_cold,
            ServerTrigger::Broken => {
                (is_failing || is_unresponsive) && server.listed_weight() <= ejectable_weight
            }
            ServerTrigger::Odd => {
                failed_share * tries >= MIN_TRIES / 2.0 && failed_share >= SUSPECT_FAILURE_SHARE && is_outlier
            }
            ServerTrigger::Sound => {
                is_recovered || server.state == Doubted && server.probes_answered >= PROBES_TO_CLEAR
            }
            ServerTrigger::Cleared => {
                has_waited && (server.probes_answered >= probes_needed || !self.settings.probes)
            }
        };
        let row = |row: &&(&[ServerState], ServerTrigger, ServerState, Effect)| {
            row.0.contains(&server.state) && holds(row.1)
        };
        SERVER_TRANSITIONS.iter().find(row).map(|(_, trigger, next, effect)| (*trigger, *next, *effect))
    }

    /// Applies `SERVER_TRANSITIONS` to every server, the one with the highest failed share first, since a
    /// group can only eject a limited part of its weight.
    pub(crate) fn update_server_states(&mut self) {
        let now = self.now;
        let mut by_failed_share: Vec<(ServerId, f64)> = self
            .servers
            .iter()
            .map(|(id, server)| (id.clone(), server.relevant_outcomes(now).failed_share()))
            .collect();
        by_failed_share.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        for (id, _) in by_failed_share {
            let Some((trigger, next, effect)) = self.due_transition(&self.servers[&id]) else { continue };
            let from = self.servers[&id].state;
            self.record_transition(Transition::Server { server: id.clone(), from, to: next, trigger });
            let Some(server) = self.servers.get_mut(&id) else { continue };
            (server.state, server.state_since, server.restarted) = (next, now, false);
            (server.probes_answered, server.probes_failed) = (0, 0);
            match effect {
                Effect::Nothing => continue,
                // Servers of the first list have not just joined.
                Effect::Join => {
                    (server.joined_at, server.ejections) = ((now > self.started_at).then_some(now), 0)
                }
                Effect::Leave => self.next_binding_step = now,
                Effect::Return => server.joined_at = Some(now),
                Effect::Eject => {
                    server.ejections += 1;
                    self.groups[server.group].weight_in_use -= server.listed_weight();
                }
            }
            if effect != Effect::Eject {
                (server.own_zone, server.other_zones, server.weight_factor) =
                    (DecayingOutcomes::default(), DecayingOutcomes::default(), 1.0);
            }
            self.binding_steps_left = REBALANCE_ROUNDS;
        }
    }

    /// Forgets servers that were removed long ago, once no table lists them: in a fleet that replaces its
    /// servers daily they would accumulate.
    pub(crate) fn forget_servers(&mut self) {
        let (now, groups, tables) = (self.now, &mut self.groups, &self.tables);
        let is_expired = |server: &Server| {
            server.state == Away
                && server.listing.readiness == Readiness::Removed
                && now - server.state_since >= FORGET_AFTER
        };
        let is_in_table = |id: &ServerId| tables.values().any(|table| table.lines.contains_key(id));
        self.servers.retain(|id, server| {
            let is_kept = !is_expired(server) || is_in_table(id);
            if !is_kept {
                groups[server.group].members.remove(id);
            }
            is_kept
        });
    }

    /// Orders probes of servers that are doubted or ejected.
    pub(crate) fn probe_servers(&mut self, orders: &mut Vec<Order>) {
        for (id, server) in self.servers.iter_mut().filter(|_| self.settings.probes) {
            if matches!(server.state, Doubted | Out) && self.now - server.probed_at >= PROBE_INTERVAL {
                server.probed_at = self.now;
                orders.push(Order::Probe { server: id.clone() });
            }
        }
    }

    /// Adjusts each server's weight towards equal waits within its group. This compensates for whatever makes
    /// a server slower than the others: a wrong listed weight, a slow machine, or failures too few to eject
    /// it.
    pub(crate) fn update_weight_factors(&mut self) {
        if self.now < self.next_weight_update {
            return;
        }
        self.next_weight_update = self.now + WEIGHT_FACTOR_INTERVAL;
        for server in self.servers.values_mut() {
            let outcomes = server.relevant_outcomes(self.now);
            let adjustment = match self.groups[server.group].outcomes.mean_wait() / outcomes.mean_wait() {
                ratio if outcomes.tries >= MIN_TRIES && ratio.is_finite() && ratio > 0.0 => {
                    ratio.powf(WEIGHT_FACTOR_EXPONENT)
                }
                _ => server.weight_factor.powf(-WEIGHT_FACTOR_EXPONENT),
            };
            server.weight_factor =
                (server.weight_factor * adjustment).clamp(WEIGHT_FACTOR_RANGE.0, WEIGHT_FACTOR_RANGE.1);
        }
    }
}
