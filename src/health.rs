//! Decisions on servers: their states by what is listed, met and probed, and the weight of each within its group.

use crate::interface::*;
use crate::policy::{
    DEFAULT_BUSY_SHARE, MIN_REPORT_WEIGHT, MIN_TRIES, REBALANCE_ROUNDS, SETTLING_PERIOD,
    SUSPECT_FAILURE_SHARE,
};
use crate::state::State::{Away, Cold, Doubted, Open, Out};
use crate::state::*;

const JOIN_SHARE: f64 = 0.5; // share of its weight with which a server joins; the design's
const HELD_BACK: f64 = 0.5; // share of its capacity under which a new server waits: one burst would end it
const HELD_BACK_CALM: f64 = 0.25; // the same in a group that answers nearly all: further tries make the bursts
const CALM_SHARE: f64 = 0.05; // unanswered share under which a group answers nearly all
const BROKEN_SHARE: f64 = 0.35; // unanswered share: clients' further tries no longer make up for it
const OWN_FAULT: f64 = 2.5; // factor over the other servers' share: the server's own doing, not the load's
const FLOOR: f64 = 0.4; // part of a group's listed weight that stays in use; bindings can leave it
const PROBE_EVERY: Nanos = Nanos::from_millis(700); // ms; a probe costs a few ms of work
const CLEARING: u32 = 3; // probes answered before a return, doubled at each relapse up to three times
const BAD_PROBES: u32 = 2; // probes failed in a row that shut out: one may be lost
const DOUBT_ENDS: Nanos = Nanos::from_millis(8_000); // ms; a doubt ends after this without signs
const PACE_EVERY: Nanos = Nanos::from_millis(3_000); // ms; reports of the last change must have come
const PACE_POWER: f64 = 0.2; // weight against wait: a late answer must not swing
const PACE_RANGE: (f64, f64) = (0.2, 1.8); // bounds in all: waits tell of queues more than of speed
const BUSY_LEAST: f64 = 0.3; // least busy share counted with: a nearly idle one tells nothing of capacity
const YIELD_HALF_LIFE: Nanos = Nanos::from_millis(30_000); // ms; what servers can do changes slowly
const FORGET: Nanos = Nanos::from_millis(60_000); // ms; a server gone for so long comes back as a new one

/// A server's states, sign, next state, effect. The first sign that holds and has a row is taken.
const SERVER_MOVES: &[(&[State], Sign, State, Effect)] = &[
    (&[Cold, Open, Doubted, Out], Sign::Unlisted, Away, Effect::Leave),
    (&[Away, Open, Doubted, Out, Cold], Sign::Started, Cold, Effect::Join),
    (&[Away], Sign::Warm, Open, Effect::Join),
    (&[Cold], Sign::Warm, Open, Effect::Nothing),
    (&[Cold, Open, Doubted], Sign::Broken, Out, Effect::Expel),
    (&[Open], Sign::Odd, Doubted, Effect::Nothing),
    (&[Doubted], Sign::Sound, Open, Effect::Nothing),
    (&[Out], Sign::Cleared, Open, Effect::Return),
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
    pub(crate) fn seen(&self, now: Nanos) -> Seen {
        let near = Some(self.near.read(now)).filter(|near| near.tries >= MIN_TRIES);
        near.unwrap_or_else(|| self.far.read(now))
    }

    pub(crate) fn met(&self, now: Nanos) -> Seen {
        self.near.read(now).plus(self.far.read(now))
    }

    pub(crate) fn warm(&self, now: Nanos, settings: &Settings) -> bool {
        self.listing.started.is_none_or(|started| now - started >= settings.warm_after)
    }

    /// Whether it is warm, or may be as far as can be told.
    pub(crate) fn may_be_warm(&self, now: Nanos, settings: &Settings) -> bool {
        self.warm(now, settings) || !self.listing.is_start_certain
    }

    /// The share of its capacity that it has warmed up to, at the least.
    pub(crate) fn warmed(&self, now: Nanos, settings: &Settings) -> f64 {
        let warmth = |started: Nanos| ((now - started).secs() / settings.warm_after.secs()).min(1.0);
        let ramp = |warmth: f64| settings.cold_share + (1.0 - settings.cold_share) * warmth;
        self.listing.started.map_or(1.0, |started| ramp(warmth(started)))
    }

    /// What it can surely do now, as a share of its listed weight; nothing while it is less than `held_back`.
    pub(crate) fn share(&self, now: Nanos, born: Nanos, settings: &Settings, held_back: f64) -> f64 {
        let ramp = self.warmed(now, settings);
        let step =
            if self.joined.is_some_and(|joined| now - joined < SETTLING_PERIOD) { JOIN_SHARE } else { 1.0 };
        match self.state {
            Away | Out => 0.0,
            Cold if ramp < held_back || now - born < SETTLING_PERIOD => 0.0, // nor while the controller knows little
            Cold | Open | Doubted => ramp * step,
        }
    }
}

impl Group {
    /// Share of its capacity under which a new member waits.
    pub(crate) fn held_back(&self) -> f64 {
        let is_calm = self.seen.tries >= MIN_TRIES && self.seen.share() < CALM_SHARE;
        if is_calm {
            HELD_BACK_CALM
        } else {
            HELD_BACK
        }
    }
}

impl Controller {
    pub(crate) fn sign_of(&self, server: &Server) -> Option<(Sign, State, Effect)> {
        let (now, seen) = (self.now, server.seen(self.now));
        let (tries, share) = (seen.tries, seen.share());
        let cold = !server.warm(now, &self.settings);
        // Against the better half of its group: a crowded one fails as one, a lost path may take most.
        let group = &self.groups[server.group];
        let own = share > OWN_FAULT * group.better;
        let room = group.weight - FLOOR * group.listed;
        let strained = group.load == Load::Shedding && server.probes_bad == 0;
        let failing = tries >= MIN_TRIES && share >= BROKEN_SHARE && own && !strained;
        let silent = server.probes_bad >= BAD_PROBES && (share > SUSPECT_FAILURE_SHARE || tries < 1.0);
        let rested = now - server.since >= DOUBT_ENDS && share < SUSPECT_FAILURE_SHARE;
        let needed = CLEARING << server.relapses.saturating_sub(1).min(3);
        let waited = now - server.since >= Nanos(PROBE_EVERY.0 * u64::from(needed));
        let holds = |sign: Sign| match sign {
            Sign::Unlisted => !server.ready(),
            Sign::Started => server.ready() && cold && (server.state == Away || server.fresh),
            Sign::Warm => server.ready() && !cold,
            Sign::Broken => (failing || silent) && server.listed_weight() <= room,
            Sign::Odd => share * tries >= MIN_TRIES / 2.0 && share >= SUSPECT_FAILURE_SHARE && own,
            Sign::Sound => rested || server.state == Doubted && server.probes_good >= CLEARING,
            Sign::Cleared => waited && (server.probes_good >= needed || !self.settings.probes),
        };
        let row = |row: &&(&[State], Sign, State, Effect)| row.0.contains(&server.state) && holds(row.1);
        SERVER_MOVES.iter().find(row).map(|(_, sign, next, effect)| (*sign, *next, *effect))
    }

    /// Carries every server through `SERVER_MOVES`, the worst first while its group has room to shut out.
    pub(crate) fn move_servers(&mut self) {
        let now = self.now;
        let mut order: Vec<(ServerId, f64)> =
            self.servers.iter().map(|(id, server)| (id.clone(), server.seen(now).share())).collect();
        order.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        for (id, _) in order {
            let Some((sign, next, effect)) = self.sign_of(&self.servers[&id]) else { continue };
            let from = self.servers[&id].state;
            self.note_transition(Transition::Server { server: id.clone(), from, to: next, sign });
            let Some(server) = self.servers.get_mut(&id) else { continue };
            (server.state, server.since, server.fresh) = (next, now, false);
            (server.probes_good, server.probes_bad) = (0, 0);
            match effect {
                Effect::Nothing => continue,
                // The fleet as first listed is no newcomer.
                Effect::Join => (server.joined, server.relapses) = ((now > self.born).then_some(now), 0),
                Effect::Leave => self.next_step = now,
                Effect::Return => server.joined = Some(now),
                Effect::Expel => {
                    server.relapses += 1;
                    self.groups[server.group].weight -= server.listed_weight();
                }
            }
            if effect != Effect::Expel {
                (server.near, server.far, server.pace) = (Met::default(), Met::default(), 1.0);
            }
            self.steps_left = REBALANCE_ROUNDS;
        }
    }

    /// Forgets servers long gone, once no table names them: replaced day by day, they would pile up.
    pub(crate) fn forget_servers(&mut self) {
        let (now, groups, tables) = (self.now, &mut self.groups, &self.tables);
        let long_gone = |server: &Server| {
            server.state == Away
                && server.listing.readiness == Readiness::Removed
                && now - server.since >= FORGET
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

    pub(crate) fn probe(&mut self, orders: &mut Vec<Order>) {
        for (id, server) in self.servers.iter_mut().filter(|_| self.settings.probes) {
            if matches!(server.state, Doubted | Out) && self.now - server.probed >= PROBE_EVERY {
                server.probed = self.now;
                orders.push(Order::Probe { server: id.clone() });
            }
        }
    }

    /// Looks over the groups, and at what a unit of listed weight could do at its best lately.
    pub(crate) fn look_over(&mut self) {
        let now = self.now;
        let (mut handled, mut busy_weight) = (0.0, 0.0);
        for group in &mut self.groups {
            let members = || group.members.iter().map(|id| &self.servers[id]);
            let open = || members().filter(|s| s.in_use());
            let busy = |s: &Server| Some(s.listed_weight() * s.busy.mean(now, MIN_REPORT_WEIGHT)?);
            let busy: Option<f64> = open().map(busy).sum();
            let weight: f64 = open().map(Server::listed_weight).sum();
            let listed = members().filter(|s| s.ready()).map(Server::listed_weight).sum();
            let mut met: Vec<Seen> = open().map(|s| s.met(now)).collect();
            let seen = met.iter().copied().fold(Seen::default(), Seen::plus);
            met.sort_by(|a, b| a.share().total_cmp(&b.share()));
            let half = met.len().div_ceil(2);
            let better = met.into_iter().take(half).fold(Seen::default(), Seen::plus);
            group.better = (better.failed + 1.0) / (better.tries + MIN_TRIES);
            group.cold = members().filter(|s| s.state == Cold).map(|s| s.met(now)).reduce(Seen::plus);
            (group.seen, group.weight, group.listed) = (seen, weight, listed);
            let held = members()
                .filter(|s| s.in_use() || s.state == Cold)
                .filter_map(|s| s.held.mean(now, MIN_REPORT_WEIGHT));
            group.held = held.sum();
            group.busy = busy.filter(|_| weight > 0.0).map(|busy| (busy / weight).clamp(BUSY_LEAST, 1.0));
            handled += seen.handled;
            busy_weight += weight * group.busy.unwrap_or(DEFAULT_BUSY_SHARE);
        }
        self.most_listed = self.groups.iter().map(|group| group.listed).sum::<f64>().max(self.most_listed);
        let each = handled / busy_weight.max(1e-9) / self.own_proxy_share();
        // Sums that are not filled yet tell too little.
        let each = if now - self.born < SETTLING_PERIOD { 0.0 } else { each };
        let best = self.best_yield.read(now);
        self.best_yield.add(now, YIELD_HALF_LIFE, (each - best).max(0.0));
    }

    /// Moves each server's weight towards equal waits within its group. It answers whatever makes one server
    /// slower than its fellows: a wrong listed weight, a slow machine, failures too few to shut it out.
    pub(crate) fn follow_pace(&mut self) {
        if self.now < self.next_pace {
            return;
        }
        self.next_pace = self.now + PACE_EVERY;
        for server in self.servers.values_mut() {
            let seen = server.seen(self.now);
            let step = match self.groups[server.group].seen.wait() / seen.wait() {
                ratio if seen.tries >= MIN_TRIES && ratio.is_finite() && ratio > 0.0 => {
                    ratio.powf(PACE_POWER)
                }
                _ => server.pace.powf(-PACE_POWER),
            };
            server.pace = (server.pace * step).clamp(PACE_RANGE.0, PACE_RANGE.1);
        }
    }
}
