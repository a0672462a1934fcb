//! Main decision loop of a controller: applies events, partitions servers into groups, binds proxies to groups
//! and issues orders.
//!
//! A host creates one [`Controller`] per instance, with the settings and the seed given to that instance, and calls
//! [`Controller::step`] with the current time and the events received. It carries out the returned orders
//! immediately and in sequence. A controller has no other inputs or outputs and shares no state. The types are
//! defined in `interface.rs`.
//!
//! In normal operation the listed servers are partitioned into groups with one table each, and each proxy is bound
//! to one group per class. Bindings are moved by load only after proxies or servers join or leave. A rate-limited
//! sender publishes the differences. The other policy files cover server states and the weights of lines within a
//! group (`health.rs`), the load that a group admits (`levels.rs`), placements whose servers are all cold
//! (`cold_placements.rs`), and the sender (`sender.rs`).

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use rand::Rng;

use crate::interface::*;
use crate::state::ServerState::Cold;
use crate::state::*;

/// Interval between evaluations without a trigger; well under the delay of a report.
pub(crate) const EVALUATION_INTERVAL: Nanos = Nanos::from_millis(250);
/// Half-life of observed outcomes, unless the span of a report is longer.
pub(crate) const REPORT_HALF_LIFE: Nanos = Nanos::from_millis(2_000);
/// Half-life of the traffic averages that bindings are decided on.
pub(crate) const DEMAND_HALF_LIFE: Nanos = Nanos::from_millis(8_000);
/// Time for which a joined server stays at half weight, and interval between rounds of binding moves.
pub(crate) const SETTLING_PERIOD: Nanos = Nanos::from_millis(5_000);
/// Rounds of binding moves after a membership change.
pub(crate) const REBALANCE_ROUNDS: u32 = 2;
/// Smallest and largest target size of a group, in servers; every proxy opens a connection to each server of its
/// group.
const GROUP_SIZE_RANGE: (f64, f64) = (4.0, 30.0);
/// Target number of bindings of one controller per group; with fewer, no move can even out the loads.
const BINDINGS_PER_GROUP: f64 = 4.0;
/// With fewer servers than this, all form a single group.
const MIN_SERVERS_TO_SPLIT: usize = 8;
/// Servers that a zone needs to form groups of its own; with fewer, the loss of one server halves the group.
const MIN_SERVERS_PER_ZONE: usize = 3;
/// Load factor of a group in another zone than the proxy's: crossings have a cost, and network partitions affect
/// them.
const REMOTE_ZONE_LOAD_FACTOR: f64 = 1.3;
/// Load factor of a group that none of the proxy's other classes is bound to: extra connections cost handshakes.
const SEPARATE_GROUP_LOAD_FACTOR: f64 = 1.25;
/// Factor by which a move must reduce the load that a binding is exposed to; smaller gains are noise.
const MIN_MOVE_GAIN: f64 = 1.1;
/// Smallest decayed number of reports that a mean is computed from.
pub(crate) const MIN_REPORT_WEIGHT: f64 = 0.1;
/// Shortest time over which a rate is computed; over less time the rate is noise.
pub(crate) const MIN_RATE_AGE: Nanos = Nanos::from_millis(1_000);
/// Tries needed before a server is judged: enough for two or three failures more than chance explains.
pub(crate) const MIN_TRIES: f64 = 4.0;
/// Share of unanswered tries, well above chance, at which a server is suspected.
pub(crate) const SUSPECT_FAILURE_SHARE: f64 = 0.15;
/// Share of its weight that an ejected server keeps where no other server can replace it.
const LAST_RESORT_WEIGHT_SHARE: f64 = 0.3;
/// Typical busy share, assumed for servers that don't report theirs.
pub(crate) const DEFAULT_BUSY_SHARE: f64 = 0.6;
/// Lower bound of the busy share: a nearly idle server says nothing about capacity.
pub(crate) const MIN_BUSY: f64 = 0.3;
/// The capacity of servers changes slowly.
pub(crate) const THROUGHPUT_HALF_LIFE: Nanos = Nanos::from_millis(30_000);
/// Smallest share of a weight or a level: some traffic must remain to judge a server or class by.
pub(crate) const MIN_SHARE: f64 = 0.02;
/// Shortest delay before the list is requested again, doubled with each further failure.
const MIN_LIST_RETRY_DELAY: Nanos = Nanos::from_millis(500);
/// Longest delay before the list is requested again; all controllers share one discovery service.
const MAX_LIST_RETRY_DELAY: Nanos = Nanos::from_millis(4_000);
/// Placements for which a group can have tables; table numbers end at 65535.
pub(crate) const TABLES_PER_GROUP: usize = 256;
/// Delay before a refused order is issued again, since the cause may be temporary.
const REFUSED_ORDER_RETRY_DELAY: Nanos = Nanos::from_millis(500);
/// Doublings of that delay, one per further refusal; a permanently refused order costs a call each time.
const MAX_REFUSED_ORDER_DOUBLINGS: u32 = 3;

impl Controller {
    /// Applies the events and returns the orders to carry out now. Events other than list updates and proxies that
    /// join or leave, such as reports, take effect on orders at the next evaluation.
    pub fn step(&mut self, now: Nanos, events: &[Event]) -> Vec<Order> {
        self.now = now;
        let mut orders = Vec::new();
        for event in events {
            self.apply_event(event);
        }
        let changes_membership = |event: &Event| {
            matches!(event, Event::List { .. } | Event::ProxyJoined { .. } | Event::ProxyLeft { .. })
        };
        if self.next_wake <= now {
            self.next_wake = now + EVALUATION_INTERVAL;
            orders.push(Order::Wake { after: EVALUATION_INTERVAL });
        } else if !events.iter().any(changes_membership) {
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
            self.assign_bindings();
            self.update_arrivals();
            self.update_group_states();
            self.publish(&mut orders);
        }
        orders
    }

    fn apply_event(&mut self, event: &Event) {
        let now = self.now;
        match event {
            Event::List { scope, entries } => self.apply_list(*scope, entries),
            Event::ProxyJoined { proxy, zone, usual_rate } => {
                self.add_proxy(*proxy, *zone, *usual_rate);
                self.binding_steps_left = REBALANCE_ROUNDS;
            }
            // A takeover is not a membership change, so existing bindings are kept.
            Event::ExistingBinding { proxy, class, table } => {
                let group = usize::from(table.0) / TABLES_PER_GROUP;
                self.keep_binding(*proxy, *class, group);
            }
            Event::ProxyLeft { proxy } => {
                self.proxies.remove(proxy);
                self.binding_steps_left = REBALANCE_ROUNDS;
            }
            Event::TriesReported { server, zone, tries, unanswered, latency, report, span } => {
                let tries =
                    TryReport { tries: *tries, unanswered: *unanswered, latency: *latency, span: *span };
                self.record_tries(server, *zone, tries, report);
            }
            Event::Demand { proxy, class, arrived, span, .. } => {
                // A join is complete once the proxy's own traffic has been measured.
                if self.record_demand(*proxy, *class, *arrived, *span) {
                    self.binding_steps_left = REBALANCE_ROUNDS;
                }
            }
            Event::Probed { server, outcome, report, .. } => self.record_probe(server, *outcome, report),
            Event::OrderRefused { order } => {
                self.record_refusal(order);
                if let Some(subject) = Subject::of(order) {
                    let refusal_count = self.refusals.get(&subject).map_or(0, |refusal| refusal.count);
                    let wait =
                        Nanos(REFUSED_ORDER_RETRY_DELAY.0 << refusal_count.min(MAX_REFUSED_ORDER_DOUBLINGS));
                    self.refusals.insert(subject, Refusal { count: refusal_count + 1, retry_at: now + wait });
                }
            }
            Event::ChannelLoad { lines, is_held_back } => {
                self.channel.queue.correct(now, *lines, *is_held_back)
            }
            Event::Applied { mark, .. } => self.channel.applied(*mark),
            Event::Woken | Event::PeerMessage { .. } => {}
            Event::SliceAssigned { .. } | Event::SliceLine { .. } | Event::SliceDemand { .. } => {}
        }
    }

    fn apply_list(&mut self, scope: ListScope, entries: &[Listing]) {
        match scope {
            ListScope::Failed => {
                let jitter = 1.0 + self.rng.random::<f64>();
                self.list_retry_delay = (self.list_retry_delay + self.list_retry_delay)
                    .clamp(MIN_LIST_RETRY_DELAY, MAX_LIST_RETRY_DELAY);
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
            self.create_groups(entries);
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
            let current_group =
                known.filter(|known| known.listing.zone == entry.zone).map(|known| known.group);
            let group = current_group.unwrap_or_else(|| self.choose_group(entry, &mut sizes));
            sizes[group] += usize::from(entry.readiness == Readiness::Ready);
            self.groups[group].members.insert(entry.server.clone());
            let server =
                self.servers.entry(entry.server.clone()).or_insert_with(|| Server::new(entry.clone(), group));
            server.restarted |= server.listing.started != entry.started;
            (server.listing, server.group) = (entry.clone(), group);
        }
    }

    /// Partitions the listed servers into fixed groups, one zone per group if every zone has enough servers. All
    /// controllers create the same groups, since the list and the order of ids are the same for all.
    fn create_groups(&mut self, entries: &[Listing]) {
        let mut zones: BTreeMap<ZoneId, usize> = BTreeMap::new();
        for entry in entries.iter().filter(|entry| entry.readiness != Readiness::Removed) {
            *zones.entry(entry.zone).or_default() += 1;
        }
        let total: usize = zones.values().sum();
        let by_zone =
            total >= MIN_SERVERS_TO_SPLIT && zones.values().all(|count| *count >= MIN_SERVERS_PER_ZONE);
        let zone_sizes = if by_zone {
            zones.into_iter().map(|(zone, count)| (Some(zone), count)).collect()
        } else {
            vec![(None, total)]
        };
        // Computed only from settings that all controllers share, so the result is the same for all.
        let proxies = f64::from(self.settings.proxies) / f64::from(self.settings.controllers.max(1));
        let bindings = proxies * self.classes.len() as f64;
        let size = (BINDINGS_PER_GROUP * total as f64 / bindings.max(1.0))
            .clamp(GROUP_SIZE_RANGE.0, GROUP_SIZE_RANGE.1);
        for (zone, count) in zone_sizes {
            let group_count = if total < MIN_SERVERS_TO_SPLIT {
                1
            } else {
                (count as f64 / size).round().max(1.0) as usize
            };
            self.groups.extend((0..group_count).map(|_| Group::new(zone)));
        }
    }

    /// Returns the smallest group that a server may join; creates one for a zone without any.
    fn choose_group(&mut self, entry: &Listing, sizes: &mut Vec<usize>) -> usize {
        let accepts = |group: &usize| self.groups[*group].zone.is_none_or(|zone| zone == entry.zone);
        (0..self.groups.len()).filter(accepts).min_by_key(|group| sizes[*group]).unwrap_or_else(|| {
            self.groups.push(Group::new(Some(entry.zone)));
            sizes.push(0);
            self.groups.len() - 1
        })
    }

    /// Returns the table of a group for a placement. A group of one zone has a single table for all placements that
    /// allow every server of the zone.
    pub(crate) fn table_id(&self, group: usize, placement_index: usize) -> TableId {
        let placement = &self.placements[placement_index];
        let allows_zone = self.groups[group].zone.is_some_and(|zone| placement.zones.contains(&zone));
        let shared = (allows_zone || placement.zones.is_empty()) && placement.kinds.is_empty();
        let offset = if shared { 0 } else { placement_index.min(TABLES_PER_GROUP - 1) };
        TableId((group.min(254) * TABLES_PER_GROUP + offset) as u16)
    }

    /// Returns the weight of each server of a group that a placement allows. If no warm server is usable, adds every
    /// server that is listed ready and may be warm, whatever its health: a proxy must have a line as long as there is
    /// a server for it.
    pub(crate) fn server_weights(&self, group: usize, placement: &Placement) -> Vec<(&Server, f64)> {
        let fits = |s: &&Server| s.is_ready() && placement.allows(&s.listing);
        let members = || self.groups[group].members.iter().map(|id| &self.servers[id]).filter(fits);
        let min_warm_share = self.groups[group].min_warm_share();
        let weight_of = |s: &Server| {
            s.listed_weight() * s.usable_share(self.now, self.started_at, &self.settings, min_warm_share)
        };
        let mut usable: Vec<_> =
            members().map(|s| (s, weight_of(s))).filter(|(_, weight)| *weight > 0.0).collect();
        if usable.iter().all(|(s, _)| s.state == Cold) {
            let used: BTreeSet<&ServerId> = usable.iter().map(|(s, _)| &s.listing.server).collect();
            let unused = members().filter(|s| !used.contains(&s.listing.server));
            let last_resort = unused.filter(|s| s.may_be_warm(self.now, &self.settings));
            let weight_of = |s: &Server| {
                s.listed_weight() * LAST_RESORT_WEIGHT_SHARE.min(s.warm_share(self.now, &self.settings))
            };
            let last_resort: Vec<_> = last_resort.map(|s| (s, weight_of(s))).collect();
            usable.extend(last_resort);
        }
        usable
    }

    pub(crate) fn total_weight(&self, group: usize, placement: &Placement) -> f64 {
        self.server_weights(group, placement).iter().map(|(_, weight)| weight).sum()
    }

    /// Binds unbound classes to the least loaded group and, in a rebalancing round, moves bindings off overloaded
    /// groups: those of the most loaded group first and, within a group, the busiest binding first.
    fn assign_bindings(&mut self) {
        let rebalancing = self.binding_steps_left > 0 && self.now >= self.next_binding_step;
        if rebalancing {
            self.binding_steps_left -= 1;
            self.next_binding_step = self.now + SETTLING_PERIOD;
        }
        let group_weights =
            |index| (0..self.groups.len()).map(|group| self.binding_weight(group, index)).collect();
        let weights: Vec<Vec<f64>> = (0..self.placements.len()).map(group_weights).collect();
        let max_weight = |group: usize| weights.iter().map(|row| row[group]).fold(0.0, f64::max);
        let max_weights: Vec<f64> = (0..self.groups.len()).map(max_weight).collect();
        // If no group has a usable server for a placement, its bindings may still move: an empty table replaces a
        // current table that names lost servers.
        let is_unserved: Vec<bool> =
            weights.iter().map(|row| row.iter().all(|weight| *weight <= 0.0)).collect();
        let is_open = |placement_index: usize, group: usize| {
            is_unserved[placement_index] || weights[placement_index][group] > 0.0
        };
        let mut candidates = self.move_candidates(&is_open);
        if !rebalancing && candidates.iter().all(|candidate| candidate.from.is_some()) {
            return;
        }
        let loads = self.loads(&max_weights, &candidates);
        let mut group_loads = GroupLoads::new(&max_weights, loads, weights.len(), &self.groups, &is_open);
        candidates.retain(|candidate| rebalancing || candidate.from.is_none());
        let load =
            |candidate: &Candidate| candidate.from.map_or(f64::INFINITY, |from| group_loads.load(from));
        candidates
            .sort_by_cached_key(|candidate| Reverse((load(candidate).to_bits(), candidate.demand.to_bits())));
        for candidate in &candidates {
            let zone_factor = |zone: Option<ZoneId>| {
                if zone.is_none_or(|zone| zone == candidate.zone) {
                    1.0
                } else {
                    REMOTE_ZONE_LOAD_FACTOR
                }
            };
            // Prefer groups that the proxy's other classes use: connections go idle if traffic is spread over many
            // servers.
            let bindings = self.proxies.get(&candidate.proxy).map_or(&[][..], |proxy| &proxy.bindings);
            let other_bindings = bindings.iter().enumerate().filter(|(class, _)| *class != candidate.class);
            let other_groups: Vec<usize> = other_bindings.filter_map(|(_, binding)| binding.group).collect();
            let factor = |zone: Option<ZoneId>, group: usize| {
                zone_factor(zone)
                    * if other_groups.is_empty() || other_groups.contains(&group) {
                        1.0
                    } else {
                        SEPARATE_GROUP_LOAD_FACTOR
                    }
            };
            let cost = |(zone, group): (Option<ZoneId>, usize)| {
                let added = candidate.demand / group_loads.weights[group].max(1e-6);
                (group, (group_loads.load(group) + added) * factor(zone, group))
            };
            let open_others = other_groups
                .iter()
                .filter(|group| Some(**group) != candidate.from && is_open(candidate.placement, **group));
            let open_others = open_others.map(|group| (self.groups[*group].zone, *group));
            let options =
                group_loads.least_loaded(candidate.placement, candidate.from).chain(open_others).map(cost);
            let Some((to, new_cost)) = options.min_by(|a, b| a.1.total_cmp(&b.1)) else { continue };
            let current_cost = |from: usize| group_loads.load(from) * factor(self.groups[from].zone, from);
            if candidate.from.is_some_and(|from| current_cost(from) <= MIN_MOVE_GAIN * new_cost) {
                continue;
            }
            group_loads.add(to, candidate.demand);
            candidate.from.into_iter().for_each(|from| group_loads.add(from, -candidate.demand));
            if let Some(proxy) = self.proxies.get_mut(&candidate.proxy) {
                proxy.bindings[candidate.class].group = Some(to);
            }
        }
    }
}
