//! Delivery of orders: the state that a coordinator has ordered, and how its messages reach the proxies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;

use super::channel::{Channel, Level, Levels, Message, TableContent, Update};
use super::engine::Workload;
use super::events::Event;
use super::orders::{Acknowledgement, Order, WorkloadError};
use super::proxy::Stream;
use super::summary::QueueBreach;

/// Reserved table number that means all tables.
const ALL_TABLES: u16 = u16::MAX;

/// Highest retry mode; the lowest is 0.
const MAX_RETRY_MODE: u8 = 3;

/// State that a coordinator has ordered since it started.
pub(super) struct Coordinator {
    tables: BTreeMap<u16, TableContent>,
    withdrawn: BTreeSet<usize>,
    levels_for_all: Levels,
    /// Bound tables by proxy and class, for the open streams.
    bound: BTreeMap<u16, BTreeMap<usize, u16>>,
    ever_joined: BTreeSet<u16>,
    batch: BTreeMap<u16, Vec<Update>>,
    batch_marks: Vec<(u16, bool)>,
    channel: Channel,
    /// Rate of the channel as a share of its normal rate.
    pub rate_factor: f64,
    acknowledgements: Vec<Acknowledgement>,
}

impl Coordinator {
    pub fn new(classes: usize) -> Self {
        Coordinator {
            tables: BTreeMap::new(),
            withdrawn: BTreeSet::new(),
            levels_for_all: vec![None; classes],
            bound: BTreeMap::new(),
            ever_joined: BTreeSet::new(),
            batch: BTreeMap::new(),
            batch_marks: Vec::new(),
            channel: Channel::default(),
            rate_factor: 1.0,
            acknowledgements: Vec::new(),
        }
    }

    pub fn joined(&mut self, proxy: u16) {
        self.ever_joined.insert(proxy);
    }

    pub fn longest_queue(&self) -> f64 {
        self.channel.longest_queue
    }

    pub fn take_acknowledgements(&mut self) -> Vec<Acknowledgement> {
        std::mem::take(&mut self.acknowledgements)
    }

    /// Discards all state except the channel's longest queue, epoch and rate; returns the queued messages.
    pub fn reset(&mut self) -> Vec<Message> {
        let waiting = self.channel.clear();
        let longest_queue = self.channel.longest_queue;
        let epoch = self.channel.epoch;
        let rate_factor = self.rate_factor;
        *self = Coordinator::new(self.levels_for_all.len());
        self.channel.longest_queue = longest_queue;
        self.channel.epoch = epoch;
        self.rate_factor = rate_factor;
        waiting
    }

    fn proxies_bound_to(&self, table: u16) -> Vec<u16> {
        let uses = |tables: &BTreeMap<usize, u16>| tables.values().any(|bound| *bound == table);
        self.bound.iter().filter(|(_, tables)| uses(tables)).map(|(proxy, _)| *proxy).collect()
    }

    fn has_bound_table_with(&self, proxy: u16, server: usize) -> bool {
        let contains =
            |table: &u16| self.tables.get(table).is_some_and(|content| content.contains_server(server));
        self.bound.get(&proxy).is_some_and(|tables| tables.values().any(contains))
    }

    fn queue_update(&mut self, proxies: Vec<u16>, update: &Update) {
        for proxy in proxies {
            self.batch.entry(proxy).or_default().push(update.clone());
        }
    }

    fn set_line(&mut self, table: u16, server: usize, weight: f64) {
        self.tables.entry(table).or_default().set_line(server, weight);
        let withdrawn = self.withdrawn.contains(&server);
        self.queue_update(self.proxies_bound_to(table), &Update::Line { table, server, weight, withdrawn });
    }

    fn bind(&mut self, proxy: u16, table: u16, classes: Vec<usize>) {
        let bound = self.bound.entry(proxy).or_default();
        bound.extend(classes.iter().map(|class| (*class, table)));
        let content = self.tables.entry(table).or_default().clone();
        let withdrawn = self.withdrawn.iter().copied().collect();
        let levels = self.levels_for_all.clone();
        self.queue_update(vec![proxy], &Update::Table { table, classes, content, withdrawn, levels });
    }
}

impl Workload {
    /// Accepts an order. The orders of one coordinator between two calls of [`Workload::advance`] or
    /// [`Workload::end_batch`] form one batch, which produces one message for each affected proxy.
    pub fn apply(&mut self, coordinator: usize, order: &Order) -> Result<(), WorkloadError> {
        self.check_coordinator(coordinator)?;
        match order {
            Order::SetLine { table, server, weight } => self.set_line(coordinator, *table, server, *weight),
            Order::ClearTable { table } => self.clear_table(coordinator, *table),
            Order::Bind { proxy, table, classes } => self.bind(coordinator, *proxy, *table, classes),
            Order::Withdraw { server } => self.withdraw(coordinator, server, true),
            Order::Restore { server } => self.withdraw(coordinator, server, false),
            Order::Admit { table, classes, level, retry } => {
                let level = Level { level: *level, retry: *retry };
                self.set_level(coordinator, *table, classes, level)
            }
            Order::Mark { mark, all } => {
                self.coordinators[coordinator].batch_marks.push((*mark, *all));
                Ok(())
            }
        }
    }

    fn set_line(
        &mut self,
        coordinator: usize,
        table: u16,
        server: &str,
        weight: f64,
    ) -> Result<(), WorkloadError> {
        check_table(table)?;
        check_non_negative(weight)?;
        let server = self.listed_server(server)?;
        self.coordinators[coordinator].set_line(table, server, weight);
        Ok(())
    }

    fn clear_table(&mut self, coordinator: usize, table: u16) -> Result<(), WorkloadError> {
        check_table(table)?;
        let coordinator_state = &mut self.coordinators[coordinator];
        coordinator_state.tables.entry(table).or_default().clear();
        coordinator_state.queue_update(coordinator_state.proxies_bound_to(table), &Update::Clear { table });
        Ok(())
    }

    fn bind(
        &mut self,
        coordinator: usize,
        proxy: u16,
        table: u16,
        classes: &[usize],
    ) -> Result<(), WorkloadError> {
        check_table(table)?;
        let classes = self.resolve_classes(classes)?;
        if !self.coordinators[coordinator].ever_joined.contains(&proxy) {
            return Err(WorkloadError::UnknownProxy(proxy));
        }
        if self.is_joined(proxy, coordinator) {
            self.coordinators[coordinator].bind(proxy, table, classes);
        }
        Ok(())
    }

    fn withdraw(&mut self, coordinator: usize, server: &str, withdrawn: bool) -> Result<(), WorkloadError> {
        let server = self.listed_server(server)?;
        let coordinator_state = &mut self.coordinators[coordinator];
        if withdrawn {
            coordinator_state.withdrawn.insert(server);
        } else {
            coordinator_state.withdrawn.remove(&server);
        }
        let mut affected = self.joined_proxies(coordinator);
        let coordinator_state = &mut self.coordinators[coordinator];
        affected.retain(|proxy| {
            let holds = self.proxies[usize::from(*proxy)].is_affected_by(server);
            holds || coordinator_state.has_bound_table_with(*proxy, server)
        });
        coordinator_state.queue_update(affected, &Update::Withdrawn { server, withdrawn });
        Ok(())
    }

    fn set_level(
        &mut self,
        coordinator: usize,
        table: Option<u16>,
        classes: &[usize],
        level: Level,
    ) -> Result<(), WorkloadError> {
        check_non_negative(level.level)?;
        if level.retry > MAX_RETRY_MODE {
            return Err(WorkloadError::OutOfRange);
        }
        let classes = self.resolve_classes(classes)?;
        let joined = self.joined_proxies(coordinator);
        let coordinator_state = &mut self.coordinators[coordinator];
        let proxies = match table {
            Some(table) => {
                let content = coordinator_state.tables.entry(table).or_default();
                classes.iter().for_each(|class| content.set_level(*class, level));
                coordinator_state.proxies_bound_to(table)
            }
            None => {
                classes.iter().for_each(|class| coordinator_state.levels_for_all[*class] = Some(level));
                joined
            }
        };
        coordinator_state.queue_update(proxies, &Update::Level { table, classes, level });
        Ok(())
    }

    /// Ends the batch of a coordinator and queues its messages in the channel.
    pub fn end_batch(&mut self, coordinator: usize) {
        let Some(coordinator_state) = self.coordinators.get_mut(coordinator) else { return };
        let marks = std::mem::take(&mut coordinator_state.batch_marks);
        let mut batch = std::mem::take(&mut coordinator_state.batch);
        if batch.is_empty() && marks.is_empty() {
            return;
        }
        let levels = coordinator_state.levels_for_all.clone();
        let joined = self.joined_proxies(coordinator);
        if marks.iter().any(|(_, all)| *all) {
            for proxy in joined {
                batch.entry(proxy).or_default();
            }
        }
        for (proxy, mut updates) in batch {
            let reached = !updates.is_empty();
            let due = marks.iter().filter(|(_, all)| reached || *all);
            updates.extend(due.map(|(mark, _)| Update::Mark { mark: *mark }));
            if levels.iter().any(Option::is_some) {
                updates.push(Update::LevelsForAll { levels: levels.clone() });
            }
            self.enqueue_message(coordinator, proxy, updates);
        }
    }

    fn enqueue_message(&mut self, coordinator: usize, proxy: u16, updates: Vec<Update>) {
        let stream = self.proxies[usize::from(proxy)].stream;
        let Some(stream) = stream.filter(|stream| stream.coordinator == coordinator) else { return };
        self.messages += 1;
        let lines = self.settings.lines_per_message + updates.iter().map(Update::lines).sum::<f64>();
        let (number, ordered) = (self.messages, self.now);
        let message = Message { number, coordinator, proxy, stream: stream.id, ordered, lines, updates };
        message.marks().for_each(|mark| self.rule_checks.marks.ordered(ordered, number, mark));
        let channel = &mut self.coordinators[coordinator].channel;
        if channel.push(message) {
            self.schedule_departure(coordinator);
        }
        self.check_queue(coordinator);
    }

    fn check_queue(&mut self, coordinator: usize) {
        let longest = self.coordinators[coordinator].longest_queue();
        let already_recorded =
            self.rule_checks.queue_breaches.iter().any(|breach| breach.coordinator == coordinator);
        if longest > self.settings.queue_limit && !already_recorded {
            self.rule_checks.queue_breaches.push(QueueBreach { coordinator, at: self.now });
        }
    }

    fn schedule_departure(&mut self, coordinator: usize) {
        let channel = &self.coordinators[coordinator].channel;
        let Some(lines) = channel.next_lines() else { return };
        let send_time = Duration::from_secs_f64(
            lines / (self.settings.lines_per_second * self.coordinators[coordinator].rate_factor),
        );
        let epoch = channel.epoch;
        self.events.schedule(self.now + send_time, Event::MessageLeaves { coordinator, epoch });
    }

    pub(super) fn message_leaves(&mut self, coordinator: usize, epoch: u64) {
        let channel = &mut self.coordinators[coordinator].channel;
        if channel.epoch != epoch {
            return;
        }
        let Some(message) = channel.pop() else { return };
        self.schedule_departure(coordinator);
        let jitter = self.settings.push_jitter * (2.0 * self.random_sources.channels.random::<f64>() - 1.0);
        let transit = self.settings.push_delay.mul_f64((1.0 + jitter).max(0.0));
        let proxy = &mut self.proxies[usize::from(message.proxy)];
        let arrival = (self.now + transit).max(proxy.last_arrival);
        proxy.last_arrival = arrival;
        self.events.schedule(arrival, Event::MessageArrives(message));
    }

    pub(super) fn message_arrives(&mut self, message: Message) {
        let proxy = &mut self.proxies[usize::from(message.proxy)];
        if proxy.stream.is_none_or(|stream| stream.id != message.stream) {
            return self.message_lost(&message);
        }
        let lines = message.lines - self.settings.lines_per_message;
        let apply_time = self.settings.apply_per_line.mul_f64(lines.max(0.0));
        proxy.applying_until = proxy.applying_until.max(self.now) + apply_time;
        self.events.schedule(proxy.applying_until, Event::MessageApplied(message));
    }

    pub(super) fn message_applied(&mut self, message: Message) {
        let index = usize::from(message.proxy);
        if self.proxies[index].stream.is_none_or(|stream| stream.id != message.stream) {
            return self.message_lost(&message);
        }
        self.proxies[index].apply(&message);
        for server in self.proxies[index].unneeded_connections() {
            self.close_connection(index, server);
        }
        for mark in message.marks() {
            let latency = self.now - message.ordered;
            let acknowledgement = Acknowledgement { proxy: message.proxy, mark, latency };
            self.coordinators[message.coordinator].acknowledgements.push(acknowledgement);
            self.rule_checks.marks.acknowledged(message.ordered, message.number, mark, self.now);
        }
        self.update_no_line_states(message.proxy);
    }

    pub(super) fn message_lost(&mut self, message: &Message) {
        for mark in message.marks() {
            self.rule_checks.marks.lost(message.ordered, message.number, mark);
        }
    }

    /// Ends the stream of a proxy; with `drop_queued`, also removes its queued messages from the channel.
    pub(super) fn end_stream(&mut self, proxy: u16, drop_queued: bool) {
        let Some(Stream { id, coordinator, .. }) = self.proxies[usize::from(proxy)].stream.take() else {
            return;
        };
        let coordinator_state = &mut self.coordinators[coordinator];
        coordinator_state.bound.remove(&proxy);
        coordinator_state.batch.remove(&proxy);
        if !drop_queued {
            return;
        }
        let (was_leaving, dropped) = coordinator_state.channel.drop_stream(id);
        if was_leaving {
            self.schedule_departure(coordinator);
        }
        dropped.iter().for_each(|message| self.message_lost(message));
    }

    /// Updates, for all proxies of a coordinator, whether they have a usable line.
    pub(super) fn update_no_line_states_of(&mut self, coordinator: usize) {
        for proxy in 0..self.settings.proxies {
            let monitored_stream = self.proxies[usize::from(proxy)].monitored_stream;
            if monitored_stream.is_some_and(|stream| stream.coordinator == coordinator) {
                self.update_no_line_states(proxy);
            }
        }
    }

    pub(super) fn update_no_line_states(&mut self, proxy: u16) {
        let proxy_state = &self.proxies[usize::from(proxy)];
        let monitoring_coordinator = proxy_state.monitored_stream.map(|stream| stream.coordinator);
        for class in 0..self.settings.classes.len() {
            let listed = |coordinator: &usize| {
                let allows =
                    |server: usize| self.settings.allows(class, proxy_state.zone, self.servers[server].zone);
                self.rule_checks.received_lists[*coordinator].has_ready(allows)
            };
            let has_no_line = !proxy_state.has_line(class);
            let responsible_coordinator =
                monitoring_coordinator.filter(|coordinator| has_no_line && listed(coordinator));
            self.rule_checks.set_no_line(proxy, class, responsible_coordinator, self.now);
        }
    }

    fn is_joined(&self, proxy: u16, coordinator: usize) -> bool {
        let stream = self.proxies.get(usize::from(proxy)).and_then(|proxy| proxy.stream);
        stream.is_some_and(|stream| stream.coordinator == coordinator)
    }

    fn joined_proxies(&self, coordinator: usize) -> Vec<u16> {
        (0..self.settings.proxies).filter(|proxy| self.is_joined(*proxy, coordinator)).collect()
    }

    /// Index of a server that discovery's list has contained at some time.
    fn listed_server(&self, id: &str) -> Result<usize, WorkloadError> {
        let server = self.server(id)?;
        if self.servers[server].incarnation == 0 {
            return Err(WorkloadError::UnknownServer(id.to_owned()));
        }
        Ok(server)
    }

    fn resolve_classes(&self, classes: &[usize]) -> Result<Vec<usize>, WorkloadError> {
        let known = self.settings.classes.len();
        if let Some(unknown) = classes.iter().find(|class| **class >= known) {
            return Err(WorkloadError::UnknownClass(*unknown));
        }
        Ok(if classes.is_empty() { (0..known).collect() } else { classes.to_vec() })
    }
}

fn check_table(table: u16) -> Result<(), WorkloadError> {
    if table == ALL_TABLES {
        return Err(WorkloadError::OutOfRange);
    }
    Ok(())
}

fn check_non_negative(figure: f64) -> Result<(), WorkloadError> {
    if !figure.is_finite() || figure < 0.0 {
        return Err(WorkloadError::OutOfRange);
    }
    Ok(())
}
