//! The rate-limited sender: compares what proxies should hold with what they hold and sends the differences by rank,
//! as far as the channel can drain them.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::policy::{EVALUATION_INTERVAL, MIN_SHARE, SUSPECT_FAILURE_SHARE, TABLES_PER_GROUP};
use crate::state::ServerState::Cold;
use crate::state::*;

/// Relative change from which a line or level is sent again; a smaller one is not worth the channel's capacity.
const MIN_RELATIVE_CHANGE: f64 = 0.12;
/// Share of the channel's configured rate that is relied on, since it may run slower.
pub(crate) const CHANNEL_RATE_SHARE: f64 = 0.5;
/// Time for which a refusal is remembered after its retry delay.
const REFUSAL_RETENTION: Nanos = Nanos::from_millis(10_000);
/// Ranks of orders, the most urgent first: lines of lost servers and lines for empty tables.
const LOST_LINE_RANK: u8 = 0;
/// Bindings of proxies that have no usable line.
const URGENT_BINDING_RANK: u8 = 1;
const BINDING_RANK: u8 = 2;
const WEIGHT_RANK: u8 = 3;
const LEVEL_RANK: u8 = 4;
/// Share of the channel's line limit that may be filled, by rank of the order.
const QUEUE_SHARE_BY_RANK: [f64; 5] = [0.7, 0.5, 0.3, 0.3, 0.3];
/// Share of the channel's line limit sent between marks; a mark costs one line per message.
const MARK_QUEUE_SHARE: f64 = 0.1;
/// Upper bound of the time that a message to a proxy and the proxy's answer take.
const MAX_ROUND_TRIP: Nanos = Nanos::from_millis(1_000);
/// Time after which the answer to a mark counts as lost together with its stream.
const MARK_TIMEOUT: Nanos = Nanos::from_millis(10_000);
/// Steps per unit of weight that published weights are rounded to.
const WEIGHT_STEPS: f64 = 1e4;
/// Smallest published weight of a line; anything smaller would round to zero.
const MIN_LINE_WEIGHT: f64 = 1.0 / WEIGHT_STEPS;

/// Rounds a line's weight for publishing. Rounding must not remove a line, however small the listed weights are.
fn rounded_weight(weight: f64) -> f64 {
    ((weight * WEIGHT_STEPS).round() / WEIGHT_STEPS).max(MIN_LINE_WEIGHT)
}

impl Controller {
    pub(crate) fn desired_lines(&self, group: usize, placement_index: usize) -> BTreeMap<ServerId, f64> {
        let placement = &self.placements[placement_index];
        if self.is_cold_table(group, placement_index) {
            let line = |(server, weight): (&Server, f64)| {
                (server.listing.server.clone(), rounded_weight(weight * server.weight_factor.min(1.0)))
            };
            return self.cold_weights(group, placement).into_iter().map(line).collect();
        }
        // Failed tries cause further tries, and proxies that avoid failing servers send all of them to a server that
        // has not failed yet. So a cold server gets a smaller weight, and none beside failing servers.
        let (open_outcomes, cold_outcomes) =
            (&self.groups[group].outcomes, self.groups[group].cold_outcomes.unwrap_or_default());
        let answered_share = 1.0 - open_outcomes.failed_share().max(cold_outcomes.failed_share());
        let cold_factor = if open_outcomes.failed_share() < SUSPECT_FAILURE_SHARE {
            answered_share.powi(2).max(MIN_SHARE)
        } else {
            0.0
        };
        let lines = |cold_factor: f64| -> BTreeMap<ServerId, f64> {
            let line = |(server, weight): (&Server, f64)| {
                let is_cold = server.state == Cold;
                let weight = weight
                    * if is_cold {
                        server.weight_factor.min(1.0) * cold_factor
                    } else {
                        server.weight_factor
                    };
                (weight > 0.0).then(|| (server.listing.server.clone(), rounded_weight(weight)))
            };
            self.server_weights(group, placement).into_iter().filter_map(line).collect()
        };
        // A group that has only cold servers left keeps lines to them.
        Some(lines(cold_factor)).filter(|lines| !lines.is_empty()).unwrap_or_else(|| lines(MIN_SHARE))
    }

    /// Sends the differences as far as the channel can drain them; moves off lost servers go first.
    pub(crate) fn publish(&mut self, orders: &mut Vec<Order>) {
        self.channel.queue.drain(self.now);
        let min_interval = self.settings.message_span.0.checked_div(u64::from(self.settings.message_limit));
        if self.now - self.channel.sent_at < Nanos(min_interval.unwrap_or(0)) {
            return;
        }
        let mut users = self.table_users();
        let mut ranked = self.binding_changes();
        let bound_tables = self.bound_tables();
        for table in self.tables.keys().chain(&bound_tables).copied().collect::<BTreeSet<TableId>>() {
            let is_bound = bound_tables.contains(&table);
            ranked.extend(self.table_changes(table, is_bound, users.contains_key(&table)));
        }
        // Kept for a while after the retry delay, so that a repeated refusal is recognised.
        self.refusals.retain(|_, refusal| refusal.retry_at + REFUSAL_RETENTION > self.now);
        let must_wait =
            |subject: Subject| self.refusals.get(&subject).is_some_and(|refusal| refusal.retry_at > self.now);
        ranked.retain(|(_, order)| !Subject::of(order).is_some_and(must_wait));
        ranked.sort_by_key(|(rank, _)| *rank);
        self.send_ranked(ranked, &mut users, orders);
    }

    /// Whether no proxy can use a line to a server.
    fn is_unusable(&self, server: &ServerId) -> bool {
        !self.servers[server].is_ready() || self.servers[server].state == Cold
    }

    /// The tables that proxies should be bound to.
    fn bound_tables(&self) -> BTreeSet<TableId> {
        let bindings = self.proxies.values().flat_map(|proxy| &proxy.bindings);
        bindings.filter_map(|binding| Some(self.table_id(binding.group?, binding.placement))).collect()
    }

    /// The bindings to be sent, with their ranks.
    fn binding_changes(&self) -> Vec<(u8, Order)> {
        let has_no_usable_line =
            |table: &TableId| self.tables[table].lines.keys().all(|server| self.is_unusable(server));
        let mut binds: BTreeMap<(ProxyId, TableId), (u8, ClassSet)> = BTreeMap::new();
        for (id, proxy) in &self.proxies {
            for (class, binding) in proxy.bindings.iter().enumerate() {
                let Some(group) = binding.group else { continue };
                let table = self.table_id(group, binding.placement);
                if binding.sent_table == Some(table) {
                    continue;
                }
                let is_urgent = binding.sent_table.as_ref().is_none_or(has_no_usable_line);
                let rank = if is_urgent { URGENT_BINDING_RANK } else { BINDING_RANK };
                let bind = binds.entry((*id, table)).or_insert((BINDING_RANK, ClassSet(0)));
                *bind = (bind.0.min(rank), bind.1.with(ClassId(class as u8)));
            }
        }
        let bind = |((proxy, table), (rank, classes))| (rank, Order::Bind { proxy, classes, table });
        binds.into_iter().map(bind).collect()
    }

    /// The lines and levels of a table to be sent, with their ranks. `is_bound`: proxies should be bound to it;
    /// `has_users`: some were sent it.
    fn table_changes(&self, table: TableId, is_bound: bool, has_users: bool) -> Vec<(u8, Order)> {
        let current = self.tables.get(&table).cloned().unwrap_or_default();
        let (group, placement_index) =
            (usize::from(table.0) / TABLES_PER_GROUP, usize::from(table.0) % TABLES_PER_GROUP);
        let is_cold = is_bound && self.is_cold_table(group, placement_index);
        let (desired, levels) = match is_bound {
            true if is_cold => {
                (self.desired_lines(group, placement_index), self.cold_levels(group, placement_index))
            }
            true => (self.desired_lines(group, placement_index), self.desired_levels(group)),
            false => (current.without(|server| self.is_unusable(server)), BTreeMap::new()),
        };
        let is_kept = |(id, weight): (&ServerId, &f64)| *weight > MIN_LINE_WEIGHT && desired.contains_key(id);
        let has_no_kept_line = !current.lines.iter().any(is_kept);
        let rank = |usual_rank: u8| match has_no_kept_line || !has_users {
            // Lines to cold servers are sent after the bindings that leave their table.
            true if is_cold => URGENT_BINDING_RANK,
            true => LOST_LINE_RANK,
            false => usual_rank,
        };
        let line = |(server, weight): (ServerId, f64)| {
            let decreases = current.lines.get(&server).is_some_and(|old| weight < *old);
            let is_removal = decreases && self.is_unusable(&server);
            let rank = if is_removal { LOST_LINE_RANK } else { rank(WEIGHT_RANK) };
            (rank, Order::Line { table, server, weight })
        };
        let lines = current.changes(&desired, MIN_RELATIVE_CHANGE).into_iter().map(line);
        let level = |(class, (level, retry)): (usize, (f64, Retries))| {
            let old = current.levels.get(&class);
            let differs =
                |old: &(f64, _)| retry != old.1 || (level - old.0).abs() > MIN_RELATIVE_CHANGE * old.0;
            let is_lower = old.is_none_or(|old| level < old.0);
            let rank = if is_cold && is_lower { URGENT_BINDING_RANK } else { rank(LEVEL_RANK) };
            let classes = ClassSet::of(ClassId(class as u8));
            old.is_none_or(differs).then_some((rank, Order::Level { table, classes, level, retries: retry }))
        };
        let levels = levels.into_iter().filter_map(level);
        // Levels that limit the load to what cold servers can handle are sent before the lines to them.
        if is_cold {
            levels.chain(lines).collect()
        } else {
            lines.chain(levels).collect()
        }
    }

    /// Sends ranked orders as far as the channel's limit allows for each rank.
    fn send_ranked(
        &mut self,
        ranked: Vec<(u8, Order)>,
        users: &mut BTreeMap<TableId, BTreeSet<ProxyId>>,
        orders: &mut Vec<Order>,
    ) {
        // Lines not applied yet are still queued if the channel runs slower than assumed.
        let limit = self.settings.channel_lines_limit;
        let in_flight = self.settings.channel_lines_per_second * MAX_ROUND_TRIP.secs();
        let unapplied = self.channel.unapplied_lines(self.now, MARK_TIMEOUT) - in_flight;
        let queued = self.channel.queue.lines(self.now).max(unapplied);
        let has_paused = self.now - self.channel.sent_at >= EVALUATION_INTERVAL + EVALUATION_INTERVAL;
        let (mut cost, mut receivers) = (0.0, BTreeSet::new());
        for (rank, order) in ranked {
            let sent_lines = cost + receivers.len() as f64 * self.settings.lines_per_message;
            if queued + sent_lines > limit * QUEUE_SHARE_BY_RANK[usize::from(rank)]
                || rank >= WEIGHT_RANK && !has_paused
            {
                break;
            }
            let (lines, reached) = self.record_sent(&order, users);
            cost += (lines * reached.len()) as f64;
            receivers.extend(reached);
            orders.push(order);
        }
        if !receivers.is_empty() {
            let lines = cost + receivers.len() as f64 * self.settings.lines_per_message;
            let marked = self.channel.send(self.now, lines, receivers.len() as f64, MARK_QUEUE_SHARE * limit);
            orders.extend(marked.map(|mark| Order::Mark { mark }));
        }
    }
}
