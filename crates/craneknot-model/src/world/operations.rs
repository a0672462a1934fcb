//! Operations: from a client through the front layer and a proxy to servers and back.

use super::*;

impl World<'_> {
    pub(super) fn schedule_next_operation(&mut self, now: Nanos, stop: Nanos) {
        let (at, operation) = match self.options.arrivals {
            None => self.caller.next(now, self.rate_factor),
            Some(arrivals) => {
                let Some((at, class, zone)) = arrivals.get(self.arrivals_used).copied() else { return };
                self.arrivals_used += 1;
                let at = self.begin + at;
                (at, self.caller.operation_at(at, class, zone))
            }
        };
        if at < stop {
            self.upcoming = Some(operation);
            self.schedule(at, Event::NextOperation);
        }
    }

    /// The proxy to which the front layer sends an operation of a zone: one that it considers up in the zone, or in any
    /// zone if there is none.
    pub(super) fn pick_front(&mut self, zone: usize) -> Option<usize> {
        let (now, lag) = (self.now, self.script.clients.front_lag.0);
        if self.fronts.is_none() {
            let alive = |proxy: &Proxy| proxy.down_since.is_none_or(|since| now - since < lag);
            let mut fronts = vec![Vec::new(); self.script.zones.len() + 1];
            for (index, proxy) in self.proxies.iter().enumerate().filter(|(_, proxy)| alive(proxy)) {
                fronts[proxy.zone].push(index);
                fronts[self.script.zones.len()].push(index);
            }
            self.fronts = Some(fronts);
        }
        let fronts = self.fronts.as_ref()?;
        let in_zone = &fronts[zone];
        let candidates = if in_zone.is_empty() { &fronts[self.script.zones.len()] } else { in_zone };
        candidates.choose(&mut self.rng).copied()
    }

    pub(super) fn start_attempt(&mut self, operation: Operation) {
        let class = &self.script.classes[operation.class];
        let within = Nanos((class.hard_stop.0 .0 as f64 * self.script.clients.try_part) as u64);
        let until = (self.now + within).min(operation.asked + class.hard_stop.0);
        self.next_id += 1;
        let number = self.next_id;
        self.clients.insert(number, operation.clone());
        self.schedule(until, Event::ClientTimeout(number));
        let proxy = self.pick_front(operation.zone);
        let Some(proxy) = proxy.filter(|proxy| self.proxies[*proxy].up) else {
            return self.schedule_after_hop(Event::ClientAnswered { number, answer: Answer::Failed });
        };
        let sent = self.now;
        let class = operation.class;
        self.tries.insert(number, Try { operation, proxy, tried: Vec::new(), until, sent, ended: true });
        let state = &mut self.proxies[proxy];
        let admitted = match self.options.selector {
            Selector::Coordinators => state.policy.admit(self.now, class),
            Selector::Random | Selector::LeastLoaded | Selector::TwoChoices => Ok(()),
        };
        state.totals.count_operation(class, admitted.is_ok());
        match admitted {
            Ok(()) => self.send_try(number, None),
            Err(refusal) => {
                let again = match refusal {
                    craneknot_rehearsal::proxy_policy::Rejection::Level { retry_after } => retry_after,
                    craneknot_rehearsal::proxy_policy::Rejection::NoLine => Nanos(0),
                };
                self.reject(number, again);
            }
        }
    }

    pub(super) fn reject(&mut self, number: u64, again: Nanos) {
        let again = Nanos::from_secs(again.secs().ceil().max(1.0));
        self.tries.remove(&number);
        self.schedule_after_hop(Event::ClientAnswered {
            number,
            answer: Answer::Refused { retry_after: again },
        });
    }

    pub(super) fn send_try(&mut self, number: u64, last: Option<Tried>) {
        let Some(mut pending) = self.tries.remove(&number) else { return };
        let (proxy, class) = (pending.proxy, pending.operation.class);
        let Some(server) = self.choose(proxy, class, &pending.tried) else {
            self.tries.insert(number, pending);
            return match last {
                None | Some(Tried::Unrun) => self.reject(number, Nanos(0)),
                Some(Tried::Failed | Tried::Good) => {
                    self.tries.remove(&number);
                    self.schedule_after_hop(Event::ClientAnswered { number, answer: Answer::Failed });
                }
            };
        };
        pending.tried.push(server);
        (pending.sent, pending.ended) = (self.now, false);
        let (op, attempt, until) = (pending.operation.id, pending.operation.attempt, pending.until);
        self.tries.insert(number, pending);
        self.log.add(self.now, What::Sent { proxy, server, op, attempt, class });
        self.proxies[proxy].totals.count_try(class, server);
        self.schedule(until, Event::TryTimeout(number));
        let cut = self.proxies[proxy].path_loss.get(&server).copied().unwrap_or(0.0);
        if cut > 0.0 && self.rng.random::<f64>() < cut {
            return;
        }
        self.schedule_after_hop(Event::TryArrived(number));
    }

    /// Selects a server for a try, by the proxy's files or by a baseline method.
    fn choose(&mut self, proxy: usize, class: usize, tried: &[usize]) -> Option<usize> {
        if self.options.selector == Selector::Coordinators {
            return self.proxies[proxy].policy.pick(self.now, class, tried).ok();
        }
        let rules = &self.script.classes[class];
        let mut seen = Vec::new();
        for (server, shows) in self.listed_states.iter().enumerate() {
            let group = &self.plan.servers[server].group;
            if !rules.allows(&group.zone, &group.kind)
                || tried.contains(&server)
                || !matches!(shows, ListedState::Up(_))
            {
                continue;
            }
            let state = &self.servers[server];
            seen.push(Candidate {
                server,
                capacity: f64::from(group.cores) * group.speed,
                answers: state.up && !state.silent && !state.hangs,
                queue: self.relative_queue(server),
                delayed_queue: self.queue_samples.get(server).copied().unwrap_or(0.0),
                avoided: self.proxies[proxy].policy.is_ejected(self.now, server),
            });
        }
        baseline::select_server(self.options.selector, &seen, &mut self.rng)
    }

    /// Operations in flight at a server, plus one, relative to its current capacity.
    pub(super) fn relative_queue(&self, server: usize) -> f64 {
        let state = &self.servers[server];
        (state.machine.in_flight() as f64 + 1.0) / state.machine.capacity(self.now).max(1e-9)
    }

    pub(super) fn try_arrived(&mut self, number: u64) {
        let Some(pending) = self.tries.get(&number).filter(|pending| !pending.ended) else { return };
        let Some(server) = pending.tried.last().copied() else { return };
        let (op, attempt, class) = (pending.operation.id, pending.operation.attempt, pending.operation.class);
        let (proxy, work) = (pending.proxy, pending.operation.work);
        let state = &mut self.servers[server];
        if state.silent {
            return;
        }
        if !state.up {
            return self.schedule_after_hop(Event::TryEnded { number, tried: Tried::Unrun });
        }
        self.log.add(self.now, What::Arrived { server, proxy, op, attempt, class, work });
        if state.hangs {
            return;
        }
        if state.error_share > 0.0 && self.rng.random::<f64>() < state.error_share {
            return self.schedule_after_hop(Event::TryEnded { number, tried: Tried::Failed });
        }
        match state.machine.arrive(self.now, Job { number, work }) {
            Arrival::Running { until } => {
                let incarnation = state.incarnation;
                self.log.add(self.now, What::Ran { server, op, attempt, class });
                self.schedule(until, Event::JobDone { server, incarnation, job: number });
            }
            Arrival::Queued => {}
            Arrival::Full => self.schedule_after_hop(Event::TryEnded { number, tried: Tried::Unrun }),
            Arrival::Overloaded => {
                self.log.add(self.now, What::Fell { server });
                self.stop_server(server);
            }
        }
    }

    pub(super) fn job_done(&mut self, server: usize, incarnation: u64, job: u64) {
        let state = &mut self.servers[server];
        if state.incarnation != incarnation {
            return;
        }
        if let Some((next, until)) = state.machine.finish(self.now) {
            if let Some(pending) = self.tries.get(&next.number) {
                let (op, attempt, class) =
                    (pending.operation.id, pending.operation.attempt, pending.operation.class);
                self.log.add(self.now, What::Ran { server, op, attempt, class });
            }
            self.schedule(until, Event::JobDone { server, incarnation, job: next.number });
        }
        let state = &self.servers[server];
        let lost = state.silent || state.answer_loss > 0.0 && self.rng.random::<f64>() < state.answer_loss;
        if !lost {
            self.schedule_after_hop(Event::TryEnded { number: job, tried: Tried::Good });
        }
    }

    pub(super) fn try_ended(&mut self, number: u64, tried: Tried) {
        let Some(pending) = self.tries.get_mut(&number).filter(|pending| !pending.ended) else { return };
        pending.ended = true;
        let (proxy, class, until, tries) =
            (pending.proxy, pending.operation.class, pending.until, pending.tried.len());
        let took = self.now - pending.sent;
        let Some(server) = pending.tried.last().copied() else { return };
        // A queued operation is dropped when its connection closes.
        if tried == Tried::Failed {
            self.servers[server].machine.cancel(number);
        }
        let report = orca::LoadReport {
            cpu_utilization: Some(self.servers[server].machine.busy(self.now)),
            named_metrics: BTreeMap::from([
                ("inflight".to_owned(), self.servers[server].machine.in_flight() as f64),
                ("service_ms".to_owned(), self.servers[server].machine.service_time() * 1e3),
            ]),
        };
        let state = &mut self.proxies[proxy];
        if tried == Tried::Good {
            state.totals.add_server_load(class, server, &report);
        }
        state.totals.count_outcome(class, server, tried == Tried::Good, took);
        self.log.add(self.now, What::Tried { proxy, server, class, how: tried, took });
        let state = &mut self.proxies[proxy];
        state.policy.record_outcome(self.now, server, tried);
        if self.now < until && state.up && state.policy.may_retry(class, tried, tries) {
            return self.send_try(number, Some(tried));
        }
        match tried {
            Tried::Unrun => self.reject(number, Nanos(0)),
            Tried::Good | Tried::Failed => {
                self.tries.remove(&number);
                let answer = if tried == Tried::Good { Answer::Good } else { Answer::Failed };
                self.schedule_after_hop(Event::ClientAnswered { number, answer });
            }
        }
    }

    pub(super) fn client_answered(&mut self, number: u64, answer: Answer) {
        let Some(mut operation) = self.clients.remove(&number) else { return };
        if let NextStep::Retry { at } = self.caller.next_step(self.now, &operation, answer) {
            operation.attempt += 1;
            return self.schedule(at, Event::ClientAttempt(Box::new(operation)));
        }
        let took = self.now - operation.asked;
        let how = match answer {
            Answer::Good if took <= self.script.classes[operation.class].latency_goal.0 => EndedAs::InGoal,
            Answer::Good => EndedAs::Late,
            Answer::Refused { .. } => EndedAs::Refused,
            Answer::Failed => EndedAs::Failed,
            Answer::Silent => EndedAs::GivenUp,
        };
        self.log.add(self.now, What::Ended { op: operation.id, class: operation.class, how, took });
    }
}
