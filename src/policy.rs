//! Decides for a controller: takes in what occurs, deals servers into groups, binds proxies, and gives the orders.
//!
//! A host makes one [`Controller`] for each instance, with the settings and the seed that instance is given,
//! and calls [`Controller::step`] with the clock and what has come in; what comes back is to be carried out
//! then, in order. Nothing else goes in or out, nothing is shared. The types stand in `interface.rs`.
//!
//! The ordinary path: the listed servers are dealt into groups, a table each; a proxy is bound, per class, to
//! one group; bindings move by load only as proxies or servers come and go; a paced sender publishes what
//! changed. Beside this file stand a server's states and the weights of lines within a group (`health.rs`), what a group
//! takes in (`levels.rs`), what a placement gets whose servers are all cold (`cold_placements.rs`), and the sender
//! (`sender.rs`).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::interface::*;
use crate::state::ServerState::Cold;
use crate::state::*;

pub(crate) const TURN: Nanos = Nanos::from_millis(250); // ms; looks round unasked: well under a report's delay
const HALF_LIFE: Nanos = Nanos::from_millis(2_000); // ms; of what proxies met; or a report's span
pub(crate) const LASTING: Nanos = Nanos::from_millis(8_000); // ms; half-life of traffic as bindings see it
pub(crate) const STEP: Nanos = Nanos::from_millis(5_000); // ms; the design's step: half weight, and time between moves
pub(crate) const STEPS: u32 = 2; // steps of moves after a change: the design's
const GROUP_SIZES: (f64, f64) = (4.0, 30.0); // servers; the design's: a connection each, of every proxy
const BINDINGS: f64 = 4.0; // of a controller for each group: with fewer no move evens out the loads
const ONE_GROUP_BELOW: usize = 8; // servers; the design's
const ZONE_LEAST: usize = 3; // servers of a zone that stand as a group: with fewer, losing one halves it
const AWAY: f64 = 1.3; // load factor of a group in another zone: crossings cost, and cuts strike them
const APART: f64 = 1.25; // load factor of a group with none of a proxy's classes: connections cost handshakes
const MOVE_GAIN: f64 = 1.1; // factor by which a move must lessen the load met: less would be noise
pub(crate) const HEARD: f64 = 0.1; // least count of what is left of reports that a mean is told from
pub(crate) const LEAST_AGE: Nanos = Nanos::from_millis(1_000); // ms; a rate over less is chance
pub(crate) const EVIDENCE: f64 = 4.0; // tries before a server is judged: two or three more failures than chance brings
pub(crate) const ODD_SHARE: f64 = 0.15; // unanswered share: well above chance
const LAST_RESORT: f64 = 0.3; // share of its weight of a server shut out that nothing can stand in for
pub(crate) const BUSY_UNTOLD: f64 = 0.6; // taken for the busy share where servers report none: a usual one
pub(crate) const LEAST: f64 = 0.02; // least share of a weight or a level: something must be met to be judged by
const ASK_AGAIN: Nanos = Nanos::from_millis(500); // ms; first wait before the list is asked for again
const ASK_AGAIN_MOST: Nanos = Nanos::from_millis(4_000); // ms; the longest: it is one service for all
pub(crate) const PLACES: usize = 256; // placements a group can have tables for: table numbers end at 65535
const REFUSED_AGAIN: Nanos = Nanos::from_millis(500); // ms; until a refused order is given again: its cause may pass
const REFUSED_DOUBLINGS: u32 = 3; // of that wait, with each further refusal: what is refused for good costs a call

impl Controller {
    /// Takes in what has come and gives the orders of this moment. Reports alone wait for the next turn.
    pub fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Order> {
        self.now = now;
        let mut orders = Vec::new();
        for event in events {
            self.take_in(event);
        }
        let news = |event: &Event| {
            matches!(event, Event::List { .. } | Event::ProxyJoined { .. } | Event::ProxyLeft { .. })
        };
        if self.next_wake <= now {
            self.next_wake = now + TURN;
            orders.push(Order::Wake { after: TURN });
        } else if !events.iter().any(news) {
            return orders;
        }
        if self.list_request_at.is_some_and(|at| at <= now) {
            self.list_request_at = None;
            orders.push(Order::WatchList);
        }
        self.evaluate_groups();
        self.update_server_states();
        self.forget_servers();
        self.probe_servers(&mut orders);
        if self.settings.slices == 0 {
            self.update_weight_factors();
            self.find_cold_placements();
            self.bind();
            self.count_arrivals();
            self.move_groups();
            self.publish(&mut orders);
        }
        orders
    }

    fn take_in(&mut self, event: &Event) {
        let now = self.now;
        match event {
            Event::List { scope, entries } => self.take_list(*scope, entries),
            Event::ProxyJoined { proxy, zone, usual_rate } => {
                let places = (0..self.classes.len()).map(|class| self.placement_index(class, *zone));
                let bindings =
                    places.map(|place| Binding { placement: place, ..Binding::default() }).collect();
                self.refusals.remove(&Subject::Bind(*proxy));
                let joined = Proxy { zone: *zone, usual_rate: *usual_rate, joined_at: now, bindings };
                self.proxies.insert(*proxy, joined);
                self.binding_steps_left = STEPS;
            }
            Event::ExistingBinding { proxy, class, table } => {
                // A takeover is no change of membership: bindings stay where they stand.
                let group = Some(usize::from(table.0) / PLACES).filter(|group| *group < self.groups.len());
                let bindings = self.proxies.get_mut(proxy).map(|proxy| &mut proxy.bindings);
                if let Some(binding) = bindings.and_then(|all| all.get_mut(usize::from(class.0))) {
                    binding.group = group;
                }
            }
            Event::ProxyLeft { proxy } => {
                self.proxies.remove(proxy);
                self.binding_steps_left = STEPS;
            }
            Event::TriesReported { server, zone, tries, unanswered, latency, report, span } => {
                let Some(server) = self.servers.get_mut(server) else { return };
                // Where lines wait their turn a report covers more, and must last until the next one.
                let half = (*span).clamp(HALF_LIFE, LASTING);
                server.busy.add(now, half, report.busy);
                server.in_flight.add(now, half, report.in_flight);
                // A try without an answer weighs as much as the slowest that is of use.
                let (tries, failed) = (*tries as f64, *tries.min(unanswered) as f64);
                let answering = (tries - failed) * latency.secs();
                let waited = answering + failed * self.latency_goal_range.1;
                let met =
                    if *zone == server.listing.zone { &mut server.own_zone } else { &mut server.other_zones };
                met.add(
                    now,
                    half,
                    Outcomes {
                        tries,
                        failed,
                        waited_secs: waited,
                        answered_secs: answering,
                        ..Outcomes::default()
                    },
                );
            }
            Event::Demand { proxy, class, arrived, span, .. } => {
                let Some(proxy) = self.proxies.get_mut(proxy) else { return };
                let Some(binding) = proxy.bindings.get_mut(usize::from(class.0)) else { return };
                binding.long_term_demand.add(now, LASTING, *arrived as f64);
                binding.recent_demand.add(now, (*span).clamp(HALF_LIFE, LASTING), *arrived as f64);
                // A joining is complete once the proxy's own traffic is known.
                if !binding.is_demand_known && now - proxy.joined_at > STEP {
                    binding.is_demand_known = true;
                    self.binding_steps_left = STEPS;
                }
            }
            Event::Probed { server, outcome, report, .. } => {
                let Some(server) = self.servers.get_mut(server) else { return };
                server.busy.add(now, HALF_LIFE, report.busy);
                (server.probes_answered, server.probes_failed) = match outcome {
                    ProbeOutcome::Answered => (server.probes_answered + 1, 0),
                    ProbeOutcome::TurnedAway => (server.probes_answered, server.probes_failed),
                    ProbeOutcome::Failed => (0, server.probes_failed + 1),
                };
            }
            Event::OrderRefused { order } => {
                self.record_refusal(order);
                if let Some(subject) = Subject::of(order) {
                    let times = self.refusals.get(&subject).map_or(0, |refusal| refusal.count);
                    let wait = Nanos(REFUSED_AGAIN.0 << times.min(REFUSED_DOUBLINGS));
                    self.refusals.insert(subject, Refusal { count: times + 1, retry_at: now + wait });
                }
            }
            Event::Applied { mark, .. } => self.channel.applied(*mark),
            Event::Woken | Event::PeerMessage { .. } => {}
            Event::SliceAssigned { .. } | Event::SliceLine { .. } | Event::SliceDemand { .. } => {}
        }
    }

    fn take_list(&mut self, scope: ListScope, entries: &[Listing]) {
        match scope {
            ListScope::Failed => {
                let jitter = 1.0 + self.rng.random::<f64>();
                self.list_retry_delay =
                    (self.list_retry_delay + self.list_retry_delay).clamp(ASK_AGAIN, ASK_AGAIN_MOST);
                self.list_request_at =
                    Some(self.now + Nanos::from_secs(self.list_retry_delay.secs() * jitter));
                return;
            }
            ListScope::Changes => {}
            ListScope::Whole | ListScope::Remembered => {
                self.servers.values_mut().for_each(|server| server.listing.readiness = Readiness::Removed);
            }
        }
        self.list_retry_delay = Nanos(0);
        if self.groups.is_empty() {
            self.deal(entries);
        }
        let mut sizes = vec![0; self.groups.len()];
        self.servers.values().filter(|server| server.is_ready()).for_each(|server| sizes[server.group] += 1);
        let mut entries: Vec<&Listing> = entries.iter().collect();
        entries.sort_by(|a, b| a.server.cmp(&b.server));
        for entry in entries {
            let known = self.servers.get(&entry.server);
            if let Some(known) = known {
                sizes[known.group] -= usize::from(known.is_ready());
                self.groups[known.group].members.remove(&entry.server);
            }
            let stays = known.filter(|known| known.listing.zone == entry.zone).map(|known| known.group);
            let group = stays.unwrap_or_else(|| self.group_for(entry, &mut sizes));
            sizes[group] += usize::from(entry.readiness == Readiness::Ready);
            self.groups[group].members.insert(entry.server.clone());
            let server =
                self.servers.entry(entry.server.clone()).or_insert_with(|| Server::new(entry.clone(), group));
            server.restarted |= server.listing.started != entry.started;
            (server.listing, server.group) = (entry.clone(), group);
        }
    }

    /// Deals the listed servers into fixed groups, of one zone each where every zone has enough. All
    /// controllers deal alike, since the list and the order of ids are the same for all.
    fn deal(&mut self, entries: &[Listing]) {
        let mut zones: BTreeMap<ZoneId, usize> = BTreeMap::new();
        for entry in entries.iter().filter(|entry| entry.readiness != Readiness::Removed) {
            *zones.entry(entry.zone).or_default() += 1;
        }
        let all: usize = zones.values().sum();
        let zoned = all >= ONE_GROUP_BELOW && zones.values().all(|count| *count >= ZONE_LEAST);
        let dealt =
            if zoned { zones.into_iter().map(|(z, n)| (Some(z), n)).collect() } else { vec![(None, all)] };
        // The same for all controllers: by what all are told.
        let proxies = f64::from(self.settings.proxies) / f64::from(self.settings.controllers.max(1));
        let bindings = proxies * self.classes.len() as f64;
        let size = (BINDINGS * all as f64 / bindings.max(1.0)).clamp(GROUP_SIZES.0, GROUP_SIZES.1);
        for (zone, count) in dealt {
            let many =
                if all < ONE_GROUP_BELOW { 1 } else { (count as f64 / size).round().max(1.0) as usize };
            self.groups.extend((0..many).map(|_| Group::new(zone)));
        }
    }

    /// The smallest group that a server may join; a zone that has none gets one.
    fn group_for(&mut self, entry: &Listing, sizes: &mut Vec<usize>) -> usize {
        let open = |group: &usize| self.groups[*group].zone.is_none_or(|zone| zone == entry.zone);
        (0..self.groups.len()).filter(open).min_by_key(|group| sizes[*group]).unwrap_or_else(|| {
            self.groups.push(Group::new(Some(entry.zone)));
            sizes.push(0);
            self.groups.len() - 1
        })
    }

    /// The table of a group under a placement; a group of one zone shares one among all that allow it whole.
    pub(crate) fn table_of(&self, group: usize, place: usize) -> TableId {
        let placement = &self.placements[place];
        let whole = self.groups[group].zone.is_some_and(|zone| placement.zones.contains(&zone));
        let shared = (whole || placement.zones.is_empty()) && placement.kinds.is_empty();
        let place = if shared { 0 } else { place.min(PLACES - 1) };
        TableId((group.min(254) * PLACES + place) as u16)
    }

    /// Weight of each server of a group that a placement allows; if none warm may be used, of any one that is
    /// listed ready and may be warm, however it seems: a proxy must have a line while there is one.
    pub(crate) fn weights_of(&self, group: usize, placement: &Placement) -> Vec<(&Server, f64)> {
        let fits = |s: &&Server| s.is_ready() && placement.allows(&s.listing);
        let members = || self.groups[group].members.iter().map(|id| &self.servers[id]).filter(fits);
        let held_back = self.groups[group].min_warm_share();
        let weigh = |s: &Server| {
            s.listed_weight() * s.usable_share(self.now, self.started_at, &self.settings, held_back)
        };
        let mut open: Vec<_> = members().map(|s| (s, weigh(s))).filter(|(_, weight)| *weight > 0.0).collect();
        if open.iter().all(|(s, _)| s.state == Cold) {
            let used: BTreeSet<&ServerId> = open.iter().map(|(s, _)| &s.listing.server).collect();
            let unused = members().filter(|s| !used.contains(&s.listing.server));
            let last = unused.filter(|s| s.may_be_warm(self.now, &self.settings));
            let weigh =
                |s: &Server| s.listed_weight() * LAST_RESORT.min(s.warm_share(self.now, &self.settings));
            let last: Vec<_> = last.map(|s| (s, weigh(s))).collect();
            open.extend(last);
        }
        open
    }

    pub(crate) fn weight_of(&self, group: usize, placement: &Placement) -> f64 {
        self.weights_of(group, placement).iter().map(|(_, weight)| weight).sum()
    }

    /// A proxy's lasting traffic of a class, in operations a second; unheard, the average of its kind.
    pub(crate) fn demand(&self, proxy: &Proxy, class: usize) -> f64 {
        let binding = &proxy.bindings[class];
        let age = (self.now - proxy.joined_at).max(LEAST_AGE);
        let heard = binding.is_demand_known.then(|| binding.long_term_demand.rate(self.now, age));
        heard.unwrap_or(proxy.usual_rate / self.classes.len() as f64).max(0.01)
    }

    /// Binds what is unbound to the least loaded group, and in a step moves what meets too much load: of the
    /// most loaded group first, the busiest binding first.
    fn bind(&mut self) {
        let due = self.binding_steps_left > 0 && self.now >= self.next_binding_step;
        if due {
            self.binding_steps_left -= 1;
            self.next_binding_step = self.now + STEP;
        }
        let weigh = |place| (0..self.groups.len()).map(|g| self.binding_weight(g, place)).collect();
        let weights: Vec<Vec<f64>> = (0..self.placements.len()).map(weigh).collect();
        let most = |g: usize| weights.iter().map(|row| row[g]).fold(0.0, f64::max);
        let most: Vec<f64> = (0..self.groups.len()).map(most).collect();
        // Where no group has a line, a binding still moves: an empty table rids a proxy of a standing one
        // that names lost servers.
        let nowhere: Vec<bool> = weights.iter().map(|row| row.iter().all(|weight| *weight <= 0.0)).collect();
        let open = |place: usize, group: usize| nowhere[place] || weights[place][group] > 0.0;
        let mut candidates = self.candidates(&open);
        if !due && candidates.iter().all(|candidate| candidate.from.is_some()) {
            return;
        }
        let loads = self.loads(&most, &candidates);
        let mut group_loads = GroupLoads::new(&most, loads, weights.len(), &self.groups, &open);
        candidates.retain(|candidate| due || candidate.from.is_none());
        let load =
            |candidate: &Candidate| candidate.from.map_or(f64::INFINITY, |from| group_loads.load(from));
        candidates
            .sort_by_cached_key(|candidate| Reverse((load(candidate).to_bits(), candidate.demand.to_bits())));
        for candidate in &candidates {
            let away = |zone: Option<ZoneId>| {
                if zone.is_none_or(|zone| zone == candidate.zone) {
                    1.0
                } else {
                    AWAY
                }
            };
            // A proxy's other groups: traffic spread over many servers lets connections fall idle.
            let bindings = self.proxies.get(&candidate.proxy).map_or(&[][..], |proxy| &proxy.bindings);
            let others = bindings.iter().enumerate().filter(|(class, _)| *class != candidate.class);
            let others: Vec<usize> = others.filter_map(|(_, binding)| binding.group).collect();
            let factor = |zone: Option<ZoneId>, group: usize| {
                away(zone) * if others.is_empty() || others.contains(&group) { 1.0 } else { APART }
            };
            let cost = |(zone, group): (Option<ZoneId>, usize)| {
                let added = candidate.demand / group_loads.weights[group].max(1e-6);
                (group, (group_loads.load(group) + added) * factor(zone, group))
            };
            let known = others
                .iter()
                .filter(|group| Some(**group) != candidate.from && open(candidate.placement, **group));
            let known = known.map(|group| (self.groups[*group].zone, *group));
            let least = group_loads.least_loaded(candidate.placement, candidate.from).chain(known).map(cost);
            let Some((to, new)) = least.min_by(|a, b| a.1.total_cmp(&b.1)) else { continue };
            let old = |from: usize| group_loads.load(from) * factor(self.groups[from].zone, from);
            if candidate.from.is_some_and(|from| old(from) <= MOVE_GAIN * new) {
                continue;
            }
            group_loads.add(to, candidate.demand);
            candidate.from.into_iter().for_each(|from| group_loads.add(from, -candidate.demand));
            if let Some(proxy) = self.proxies.get_mut(&candidate.proxy) {
                proxy.bindings[candidate.class].group = Some(to);
            }
        }
    }

    fn candidates(&self, open: &dyn Fn(usize, usize) -> bool) -> Vec<Candidate> {
        let all = self
            .proxies
            .iter()
            .flat_map(|(id, proxy)| (0..proxy.bindings.len()).map(move |k| (id, proxy, k)));
        let candidate = |(id, proxy, class): (&ProxyId, &Proxy, usize)| {
            let Binding { placement: place, group, .. } = proxy.bindings[class];
            let (from, demand) = (group.filter(|group| open(place, *group)), self.demand(proxy, class));
            Candidate { proxy: *id, zone: proxy.zone, class, demand, placement: place, from }
        };
        all.map(candidate).collect()
    }

    /// The groups' loads. Proxies of other controllers are taken to load them evenly.
    fn loads(&self, weights: &[f64], candidates: &[Candidate]) -> Vec<f64> {
        let mut loads = vec![0.0; weights.len()];
        for candidate in candidates {
            candidate.from.into_iter().for_each(|from| loads[from] += candidate.demand);
        }
        let own: f64 = loads.iter().sum();
        let sum = weights.iter().sum::<f64>().max(1e-9);
        for (load, weight) in loads.iter_mut().zip(weights) {
            *load += own * (1.0 / self.own_part() - 1.0) * weight / sum;
        }
        loads
    }
}
