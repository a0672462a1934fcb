//! The paced sender: what proxies should hold, against what they hold, in ranks, as far as the channel can drain it.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::policy::{EVALUATION_INTERVAL, MIN_SHARE, SUSPECT_FAILURE_SHARE, TABLES_PER_GROUP};
use crate::state::State::Cold;
use crate::state::*;

const MIN_RELATIVE_CHANGE: f64 = 0.12; // share by which a line or level must move: less is not worth the channel
const CHANNEL_RATE_SHARE: f64 = 0.5; // share of the channel's told pace counted on: it may run slower
const REFUSAL_RETENTION: Nanos = Nanos::from_millis(10_000); // ms; after its wait a refusal counts no more
const QUEUE_SHARE_BY_RANK: [f64; 5] = [0.7, 0.5, 0.3, 0.3, 0.3]; // by rank: share of the limit to be filled
const MARK_QUEUE_SHARE: f64 = 0.1; // share of the channel's limit sent between marks: a mark costs a line a message
const MAX_ROUND_TRIP: Nanos = Nanos::from_millis(1_000); // ms; a message's way to a proxy and its answer's back, at most
const MARK_TIMEOUT: Nanos = Nanos::from_millis(10_000); // ms; an answer this late is lost, with its stream
const WEIGHT_STEPS: f64 = 1e4; // a unit of weight is told in so many steps
const MIN_LINE_WEIGHT: f64 = 1.0 / WEIGHT_STEPS; // the least weight of a line: what is smaller would be none

/// A line's weight as it is told: rounding must not end a line, however small the weights that are listed.
fn rounded_weight(weight: f64) -> f64 {
    ((weight * WEIGHT_STEPS).round() / WEIGHT_STEPS).max(MIN_LINE_WEIGHT)
}

impl Controller {
    pub(crate) fn desired_lines(&self, group: usize, place: usize) -> BTreeMap<ServerId, f64> {
        let placement = &self.placements[place];
        if self.is_cold_table(group, place) {
            let line = |(server, weight): (&Server, f64)| {
                (server.listing.server.clone(), rounded_weight(weight * server.pace.min(1.0)))
            };
            return self.cold_weights(group, placement).into_iter().map(line).collect();
        }
        // Where tries fail more are made, and proxies that avoid failing servers send all to one that has not
        // failed them yet: a cold server gets less, and, beside servers that fail, nothing.
        let (open, cold) = (&self.groups[group].seen, self.groups[group].cold.unwrap_or_default());
        let answered = 1.0 - open.share().max(cold.share());
        let guard = if open.share() < SUSPECT_FAILURE_SHARE { answered.powi(2).max(MIN_SHARE) } else { 0.0 };
        let lines = |guard: f64| -> BTreeMap<ServerId, f64> {
            let line = |(server, weight): (&Server, f64)| {
                let cold = server.state == Cold;
                let weight = weight * if cold { server.pace.min(1.0) * guard } else { server.pace };
                (weight > 0.0).then(|| (server.listing.server.clone(), rounded_weight(weight)))
            };
            self.server_weights(group, placement).into_iter().filter_map(line).collect()
        };
        // A group that nothing else is left of keeps a line to its cold servers.
        Some(lines(guard)).filter(|lines| !lines.is_empty()).unwrap_or_else(|| lines(MIN_SHARE))
    }

    /// Sends what changed, as far as the channel can drain it; moves off lost servers go first.
    pub(crate) fn publish(&mut self, orders: &mut Vec<Order>) {
        self.channel.drain(self.now, self.settings.channel_lines_per_second * CHANNEL_RATE_SHARE);
        let gap = self.settings.message_span.0.checked_div(u64::from(self.settings.message_limit));
        let rested = self.now - self.channel.sent_at;
        if rested < Nanos(gap.unwrap_or(0)) {
            return;
        }
        let mut users = self.users();
        let mut binds: BTreeMap<(ProxyId, TableId), (u8, ClassSet)> = BTreeMap::new();
        let mut used: BTreeSet<TableId> = BTreeSet::new();
        let lost = |id: &ServerId| !self.servers[id].ready() || self.servers[id].state == Cold;
        let left_bare = |table: &TableId| self.tables[table].lines.keys().all(lost);
        for (id, proxy) in &self.proxies {
            for (class, binding) in proxy.bindings.iter().enumerate() {
                let Some(group) = binding.group else { continue };
                let table = self.table_id(group, binding.place);
                used.insert(table);
                if binding.sent != Some(table) {
                    let bind = binds.entry((*id, table)).or_insert((2, ClassSet(0)));
                    let urgent = binding.sent.as_ref().is_none_or(left_bare);
                    *bind = (bind.0.min(if urgent { 1 } else { 2 }), bind.1.with(ClassId(class as u8)));
                }
            }
        }
        // By rank: lost servers and lines for empty tables, bare proxies, bindings, weights, levels.
        let bind = |((proxy, table), (rank, classes))| (rank, Order::Bind { proxy, classes, table });
        let mut ranked: Vec<(u8, Order)> = binds.into_iter().map(bind).collect();
        for table in self.tables.keys().chain(&used).copied().collect::<BTreeSet<TableId>>() {
            let held = self.tables.get(&table).cloned().unwrap_or_default();
            let (group, place) =
                (usize::from(table.0) / TABLES_PER_GROUP, usize::from(table.0) % TABLES_PER_GROUP);
            let is_cold = used.contains(&table) && self.is_cold_table(group, place);
            let (wanted, levels) = match used.contains(&table) {
                true if is_cold => (self.desired_lines(group, place), self.cold_levels(group, place)),
                true => (self.desired_lines(group, place), self.desired_levels(group)),
                false => (held.without(lost), BTreeMap::new()),
            };
            let stands =
                |(id, weight): (&ServerId, &f64)| *weight > MIN_LINE_WEIGHT && wanted.contains_key(id);
            let bare = !held.lines.iter().any(stands);
            let rank = |late: u8| match bare || !users.contains_key(&table) {
                // Lines to cold servers wait for the bindings that leave their table.
                true if is_cold => 1,
                true => 0,
                false => late,
            };
            let line = |(server, weight): (ServerId, f64)| {
                let sinks = held.lines.get(&server).is_some_and(|old| weight < *old);
                let rank = if sinks && lost(&server) { 0 } else { rank(3) };
                (rank, Order::Line { table, server, weight })
            };
            let lines = held.changes(&wanted, MIN_RELATIVE_CHANGE).into_iter().map(line);
            let level = |(class, (level, tries)): (usize, (f64, FurtherTries))| {
                let old = held.levels.get(&class);
                let differs =
                    |old: &(f64, _)| tries != old.1 || (level - old.0).abs() > MIN_RELATIVE_CHANGE * old.0;
                let is_lower = old.is_none_or(|old| level < old.0);
                let rank = if is_cold && is_lower { 1 } else { rank(4) };
                let classes = ClassSet::of(ClassId(class as u8));
                old.is_none_or(differs).then_some((rank, Order::Level { table, classes, level, tries }))
            };
            let levels = levels.into_iter().filter_map(level);
            // What cold servers can't do is kept off before they get a line.
            if is_cold {
                ranked.extend(levels.chain(lines));
            } else {
                ranked.extend(lines.chain(levels));
            }
        }
        // Kept for a while after, so that it is known as refused again.
        self.refused.retain(|_, refusal| refusal.until + REFUSAL_RETENTION > self.now);
        let waits =
            |subject: Subject| self.refused.get(&subject).is_some_and(|refusal| refusal.until > self.now);
        ranked.retain(|(_, order)| !Subject::of(order).is_some_and(waits));
        ranked.sort_by_key(|(rank, _)| *rank);
        // What is not applied yet still waits, where the channel runs slower than counted on.
        let limit = self.settings.channel_lines_limit;
        let under_way = self.settings.channel_lines_per_second * MAX_ROUND_TRIP.secs();
        let queued = self.channel.queued.max(self.channel.unapplied(self.now, MARK_TIMEOUT) - under_way);
        let (mut cost, mut touched) = (0.0, BTreeSet::new());
        for (rank, order) in ranked {
            let spent = cost + touched.len() as f64 * self.settings.lines_per_message;
            if queued + spent > limit * QUEUE_SHARE_BY_RANK[usize::from(rank)]
                || rank >= 3 && rested < EVALUATION_INTERVAL + EVALUATION_INTERVAL
            {
                break;
            }
            let (lines, reached) = self.note_sent(&order, &mut users);
            cost += (lines * reached.len()) as f64;
            touched.extend(reached);
            orders.push(order);
        }
        if !touched.is_empty() {
            let lines = cost + touched.len() as f64 * self.settings.lines_per_message;
            let marked = self.channel.send(self.now, lines, touched.len() as f64, MARK_QUEUE_SHARE * limit);
            orders.extend(marked.map(|mark| Order::Mark { mark }));
        }
    }
}
