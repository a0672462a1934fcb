//! Decisions on servers: their states by what is listed, met and probed, and the weight of each within its group.

use crate::interface::*;
use crate::policy::{BUSY_UNTOLD, EVIDENCE, HEARD, ODD_SHARE, STEP, STEPS};
use crate::state::ServerState::{Away, Cold, Doubted, Open, Out};
use crate::state::*;

const INITIAL_WEIGHT_SHARE: f64 = 0.5; // share of its weight with which a server joins; the design's
const MIN_WARM_SHARE: f64 = 0.5; // share of its capacity under which a new server waits: one burst would end it
const MIN_WARM_SHARE_CALM: f64 = 0.25; // the same in a group that answers nearly all: further tries make the bursts
const CALM_FAILED_SHARE: f64 = 0.05; // unanswered share under which a group answers nearly all
const BROKEN_FAILED_SHARE: f64 = 0.35; // unanswered share: clients' further tries no longer make up for it
const OUTLIER_FACTOR: f64 = 2.5; // factor over the other servers' share: the server's own doing, not the load's
const MIN_WEIGHT_SHARE_IN_USE: f64 = 0.4; // part of a group's listed weight that stays in use; bindings can leave it
const PROBE_INTERVAL: Nanos = Nanos::from_millis(700); // ms; a probe costs a few ms of work
const PROBES_TO_CLEAR: u32 = 3; // probes answered before a return, doubled at each relapse up to three times
const PROBES_TO_EJECT: u32 = 2; // probes failed in a row that shut out: one may be lost
const DOUBT_TIMEOUT: Nanos = Nanos::from_millis(8_000); // ms; a doubt ends after this without signs
const WEIGHT_FACTOR_INTERVAL: Nanos = Nanos::from_millis(3_000); // ms; reports of the last change must have come
const WEIGHT_FACTOR_EXPONENT: f64 = 0.2; // weight against wait: a late answer must not swing
const WEIGHT_FACTOR_RANGE: (f64, f64) = (0.2, 1.8); // bounds in all: waits tell of queues more than of speed
const MIN_BUSY: f64 = 0.3; // least busy share counted with: a nearly idle one tells nothing of capacity
const THROUGHPUT_HALF_LIFE: Nanos = Nanos::from_millis(30_000); // ms; what servers can do changes slowly
const FORGET_AFTER: Nanos = Nanos::from_millis(60_000); // ms; a server gone for so long comes back as a new one

/// A server's states, sign, next state, effect. The first sign that holds and has a row is taken.
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

    /// In the tables at its whole weight, and counted for its group.
    pub(crate) fn in_use(&self) -> bool {
        matches!(self.state, Open | Doubted)
    }

    /// What proxies met: those in its own zone if they are enough, since far ones may suffer from the path.
    pub(crate) fn relevant_outcomes(&self, now: Nanos) -> Outcomes {
        let near = Some(self.own_zone.read(now)).filter(|near| near.tries >= EVIDENCE);
        near.unwrap_or_else(|| self.other_zones.read(now))
    }

    pub(crate) fn all_outcomes(&self, now: Nanos) -> Outcomes {
        self.own_zone.read(now).plus(self.other_zones.read(now))
    }

    pub(crate) fn is_warm(&self, now: Nanos, settings: &Settings) -> bool {
        self.listing.started.is_none_or(|started| now - started >= settings.warm_after)
    }

    /// Whether it is warm, or may be as far as can be told.
    pub(crate) fn may_be_warm(&self, now: Nanos, settings: &Settings) -> bool {
        self.is_warm(now, settings) || !self.listing.is_start_certain
    }

    /// The share of its capacity that it has warmed up to, at the least.
    pub(crate) fn warm_share(&self, now: Nanos, settings: &Settings) -> f64 {
        let warmth = |started: Nanos| ((now - started).secs() / settings.warm_after.secs()).min(1.0);
        let ramp = |warmth: f64| settings.cold_share + (1.0 - settings.cold_share) * warmth;
        self.listing.started.map_or(1.0, |started| ramp(warmth(started)))
    }

    /// What it can surely do now, as a share of its listed weight; nothing while it is less than `held_back`.
    pub(crate) fn usable_share(&self, now: Nanos, born: Nanos, settings: &Settings, held_back: f64) -> f64 {
        let ramp = self.warm_share(now, settings);
        let step =
            if self.joined_at.is_some_and(|joined| now - joined < STEP) { INITIAL_WEIGHT_SHARE } else { 1.0 };
        match self.state {
            Away | Out => 0.0,
            Cold if ramp < held_back || now - born < STEP => 0.0, // nor while the controller knows little
            Cold | Open | Doubted => ramp * step,
        }
    }
}

impl Group {
    /// Share of its capacity under which a new member waits.
    pub(crate) fn min_warm_share(&self) -> f64 {
        let is_calm = self.outcomes.tries >= EVIDENCE && self.outcomes.failed_share() < CALM_FAILED_SHARE;
        if is_calm {
            MIN_WARM_SHARE_CALM
        } else {
            MIN_WARM_SHARE
        }
    }
}

impl Controller {
    pub(crate) fn due_transition(&self, server: &Server) -> Option<(ServerTrigger, ServerState, Effect)> {
        let (now, seen) = (self.now, server.relevant_outcomes(self.now));
        let (tries, share) = (seen.tries, seen.failed_share());
        let cold = !server.is_warm(now, &self.settings);
        // Against the better half of its group: a crowded one fails as one, a lost path may take most.
        let group = &self.groups[server.group];
        let own = share > OUTLIER_FACTOR * group.better_half_failed_share;
        let room = group.weight_in_use - MIN_WEIGHT_SHARE_IN_USE * group.listed_weight;
        let strained = group.load == LoadState::Shedding && server.probes_failed == 0;
        let failing = tries >= EVIDENCE && share >= BROKEN_FAILED_SHARE && own && !strained;
        let silent = server.probes_failed >= PROBES_TO_EJECT && (share > ODD_SHARE || tries < 1.0);
        let rested = now - server.state_since >= DOUBT_TIMEOUT && share < ODD_SHARE;
        let needed = PROBES_TO_CLEAR << server.ejections.saturating_sub(1).min(3);
        let waited = now - server.state_since >= Nanos(PROBE_INTERVAL.0 * u64::from(needed));
        let holds = |sign: ServerTrigger| match sign {
            ServerTrigger::Unlisted => !server.is_ready(),
            ServerTrigger::Started => server.is_ready() && cold && (server.state == Away || server.restarted),
            ServerTrigger::Warm => server.is_ready() && !cold,
            ServerTrigger::Broken => (failing || silent) && server.listed_weight() <= room,
            ServerTrigger::Odd => share * tries >= EVIDENCE / 2.0 && share >= ODD_SHARE && own,
            ServerTrigger::Sound => {
                rested || server.state == Doubted && server.probes_answered >= PROBES_TO_CLEAR
            }
            ServerTrigger::Cleared => waited && (server.probes_answered >= needed || !self.settings.probes),
        };
        let row = |row: &&(&[ServerState], ServerTrigger, ServerState, Effect)| {
            row.0.contains(&server.state) && holds(row.1)
        };
        SERVER_TRANSITIONS.iter().find(row).map(|(_, sign, next, effect)| (*sign, *next, *effect))
    }

    /// Carries every server through `SERVER_TRANSITIONS`, the worst first while its group has room to shut out.
    pub(crate) fn update_server_states(&mut self) {
        let now = self.now;
        let mut order: Vec<(ServerId, f64)> = self
            .servers
            .iter()
            .map(|(id, server)| (id.clone(), server.relevant_outcomes(now).failed_share()))
            .collect();
        order.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        for (id, _) in order {
            let Some((sign, next, effect)) = self.due_transition(&self.servers[&id]) else { continue };
            let from = self.servers[&id].state;
            self.record_transition(Transition::Server { server: id.clone(), from, to: next, trigger: sign });
            let Some(server) = self.servers.get_mut(&id) else { continue };
            (server.state, server.state_since, server.restarted) = (next, now, false);
            (server.probes_answered, server.probes_failed) = (0, 0);
            match effect {
                Effect::Nothing => continue,
                // The fleet as first listed is no newcomer.
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
            self.binding_steps_left = STEPS;
        }
    }

    /// Forgets servers long gone, once no table names them: replaced day by day, they would pile up.
    pub(crate) fn forget_servers(&mut self) {
        let (now, groups, tables) = (self.now, &mut self.groups, &self.tables);
        let long_gone = |server: &Server| {
            server.state == Away
                && server.listing.readiness == Readiness::Removed
                && now - server.state_since >= FORGET_AFTER
        };
        let named = |id: &ServerId| tables.values().any(|table| table.lines.contains_key(id));
        self.servers.retain(|id, server| {
            let stays = !long_gone(server) || named(id);
            if !stays {
                groups[server.group].members.remove(id);
            }
            stays
        });
    }

    pub(crate) fn probe_servers(&mut self, orders: &mut Vec<Order>) {
        for (id, server) in self.servers.iter_mut().filter(|_| self.settings.probes) {
            if matches!(server.state, Doubted | Out) && self.now - server.probed_at >= PROBE_INTERVAL {
                server.probed_at = self.now;
                orders.push(Order::Probe { server: id.clone() });
            }
        }
    }

    /// Looks over the groups, and at what a unit of listed weight could do at its best lately.
    pub(crate) fn evaluate_groups(&mut self) {
        let now = self.now;
        let (mut handled, mut busy_weight) = (0.0, 0.0);
        for group in &mut self.groups {
            let members = || group.members.iter().map(|id| &self.servers[id]);
            let open = || members().filter(|s| s.in_use());
            let busy = |s: &Server| Some(s.listed_weight() * s.busy.mean(now, HEARD)?);
            let busy: Option<f64> = open().map(busy).sum();
            let weight: f64 = open().map(Server::listed_weight).sum();
            let listed = members().filter(|s| s.is_ready()).map(Server::listed_weight).sum();
            let mut met: Vec<Outcomes> = open().map(|s| s.all_outcomes(now)).collect();
            let seen = met.iter().copied().fold(Outcomes::default(), Outcomes::plus);
            met.sort_by(|a, b| a.failed_share().total_cmp(&b.failed_share()));
            let half = met.len().div_ceil(2);
            let better = met.into_iter().take(half).fold(Outcomes::default(), Outcomes::plus);
            group.better_half_failed_share = (better.failed + 1.0) / (better.tries + EVIDENCE);
            group.cold_outcomes =
                members().filter(|s| s.state == Cold).map(|s| s.all_outcomes(now)).reduce(Outcomes::plus);
            (group.outcomes, group.weight_in_use, group.listed_weight) = (seen, weight, listed);
            let held = members()
                .filter(|s| s.in_use() || s.state == Cold)
                .filter_map(|s| s.in_flight.mean(now, HEARD));
            group.in_flight = held.sum();
            group.busy = busy.filter(|_| weight > 0.0).map(|busy| (busy / weight).clamp(MIN_BUSY, 1.0));
            handled += seen.handled_rate;
            busy_weight += weight * group.busy.unwrap_or(BUSY_UNTOLD);
        }
        self.max_listed_weight =
            self.groups.iter().map(|group| group.listed_weight).sum::<f64>().max(self.max_listed_weight);
        let each = handled / busy_weight.max(1e-9) / self.own_part();
        // Sums that are not filled yet tell too little.
        let each = if now - self.started_at < STEP { 0.0 } else { each };
        let best = self.best_throughput_per_weight.read(now);
        self.best_throughput_per_weight.add(now, THROUGHPUT_HALF_LIFE, (each - best).max(0.0));
    }

    /// Moves each server's weight towards equal waits within its group. It answers whatever makes one server
    /// slower than its fellows: a wrong listed weight, a slow machine, failures too few to shut it out.
    pub(crate) fn update_weight_factors(&mut self) {
        if self.now < self.next_weight_update {
            return;
        }
        self.next_weight_update = self.now + WEIGHT_FACTOR_INTERVAL;
        for server in self.servers.values_mut() {
            let seen = server.relevant_outcomes(self.now);
            let step = match self.groups[server.group].outcomes.mean_wait() / seen.mean_wait() {
                ratio if seen.tries >= EVIDENCE && ratio.is_finite() && ratio > 0.0 => {
                    ratio.powf(WEIGHT_FACTOR_EXPONENT)
                }
                _ => server.weight_factor.powf(-WEIGHT_FACTOR_EXPONENT),
            };
            server.weight_factor =
                (server.weight_factor * step).clamp(WEIGHT_FACTOR_RANGE.0, WEIGHT_FACTOR_RANGE.1);
        }
    }
}
