//! Operations: from a client by a front and a proxy to servers and back.

use super::*;

impl World<'_> {
    pub(super) fn plan_next(&mut self, now: Nanos, stop: Nanos) {
        let (at, operation) = match self.options.arrivals {
            None => self.caller.next(now, self.factor),
            Some(arrivals) => {
                let Some((at, class, zone)) = arrivals.get(self.given).copied() else { return };
                self.given += 1;
                let at = self.begin + at;
                (at, self.caller.given(at, class, zone))
            }
        };
        if at < stop {
            self.upcoming = Some(operation);
            self.set(at, Event::NextOperation);
        }
    }

    /// The proxy to which the front layer sends an operation of a zone: any there that it holds to stand, else any at all.
    pub(super) fn front(&mut self, zone: usize) -> Option<usize> {
        let (now, lag) = (self.now, self.script.clients.front_lag.0);
        if self.fronts.is_none() {
            let alive = |proxy: &Proxy| proxy.down_since.is_none_or(|since| now - since < lag);
            let mut fronts = vec![Vec::new(); self.script.zones.len() + 1];
            for (place, proxy) in self.proxies.iter().enumerate().filter(|(_, proxy)| alive(proxy)) {
                fronts[proxy.zone].push(place);
                fronts[self.script.zones.len()].push(place);
            }
            self.fronts = Some(fronts);
        }
        let fronts = self.fronts.as_ref()?;
        let near = &fronts[zone];
        let open = if near.is_empty() { &fronts[self.script.zones.len()] } else { near };
        open.choose(&mut self.rng).copied()
    }

    pub(super) fn ask(&mut self, operation: Operation) {
        let class = &self.script.classes[operation.class];
        let within = Nanos((class.hard_stop.0 .0 as f64 * self.script.clients.try_part) as u64);
        let until = (self.now + within).min(operation.asked + class.hard_stop.0);
        self.next += 1;
        let number = self.next;
        self.clients.insert(number, operation.clone());
        self.set(until, Event::ClientOver(number));
        let proxy = self.front(operation.zone);
        let Some(proxy) = proxy.filter(|proxy| self.proxies[*proxy].up) else {
            return self.soon(Event::Answered { number, answer: Answer::Failed });
        };
        let sent = self.now;
        let class = operation.class;
        self.tries.insert(number, Try { operation, proxy, tried: Vec::new(), until, sent, done: true });
        let held = &mut self.proxies[proxy];
        let admitted = match self.options.selector {
            Who::Ours => held.chooser.admit(self.now, class),
            Who::Random | Who::LeastLoaded | Who::TwoChoices => Ok(()),
        };
        held.sums.came(class, admitted.is_ok());
        match admitted {
            Ok(()) => self.attempt(number, None),
            Err(refusal) => {
                let again = match refusal {
                    craneknot_rehearsal::chooser::Refusal::Level { again } => again,
                    craneknot_rehearsal::chooser::Refusal::NoLine => Nanos(0),
                };
                self.refuse(number, again);
            }
        }
    }

    pub(super) fn refuse(&mut self, number: u64, again: Nanos) {
        let again = Nanos::from_secs(again.secs().ceil().max(1.0));
        self.tries.remove(&number);
        self.soon(Event::Answered { number, answer: Answer::Refused { again } });
    }

    pub(super) fn attempt(&mut self, number: u64, last: Option<Tried>) {
        let Some(mut one) = self.tries.remove(&number) else { return };
        let (proxy, class) = (one.proxy, one.operation.class);
        let Some(server) = self.choose(proxy, class, &one.tried) else {
            self.tries.insert(number, one);
            return match last {
                None | Some(Tried::Unrun) => self.refuse(number, Nanos(0)),
                Some(Tried::Failed | Tried::Good) => {
                    self.tries.remove(&number);
                    self.soon(Event::Answered { number, answer: Answer::Failed });
                }
            };
        };
        one.tried.push(server);
        (one.sent, one.done) = (self.now, false);
        let (op, attempt, until) = (one.operation.id, one.operation.attempt, one.until);
        self.tries.insert(number, one);
        self.log.add(self.now, What::Sent { proxy, server, op, attempt, class });
        self.proxies[proxy].sums.sent(class, server);
        self.set(until, Event::TryOver(number));
        let cut = self.proxies[proxy].paths.get(&server).copied().unwrap_or(0.0);
        if cut > 0.0 && self.rng.random::<f64>() < cut {
            return;
        }
        self.soon(Event::Arrive(number));
    }

    /// A server for a try: by the proxy's files, or as a baseline has it.
    fn choose(&mut self, proxy: usize, class: usize, tried: &[usize]) -> Option<usize> {
        if self.options.selector == Who::Ours {
            return self.proxies[proxy].chooser.pick(self.now, class, tried).ok();
        }
        let rules = &self.script.classes[class];
        let mut seen = Vec::new();
        for (server, shows) in self.shows.iter().enumerate() {
            let group = &self.plan.servers[server].group;
            if !rules.allows(&group.zone, &group.kind)
                || tried.contains(&server)
                || !matches!(shows, Shows::Up(_))
            {
                continue;
            }
            let held = &self.servers[server];
            seen.push(Seen {
                server,
                capacity: f64::from(group.cores) * group.speed,
                answers: held.up && !held.silent && !held.hangs,
                queue: self.queue_of(server),
                late: self.late.get(server).copied().unwrap_or(0.0),
                kept_away: self.proxies[proxy].chooser.keeps_away(self.now, server),
            });
        }
        baseline::choose(self.options.selector, &seen, &mut self.rng)
    }

    /// Operations in hand for what a server can do now.
    pub(super) fn queue_of(&self, server: usize) -> f64 {
        let held = &self.servers[server];
        (held.machine.held() as f64 + 1.0) / held.machine.capacity(self.now).max(1e-9)
    }

    pub(super) fn arrive(&mut self, number: u64) {
        let Some(one) = self.tries.get(&number).filter(|one| !one.done) else { return };
        let Some(server) = one.tried.last().copied() else { return };
        let (op, attempt, class) = (one.operation.id, one.operation.attempt, one.operation.class);
        let (proxy, work) = (one.proxy, one.operation.work);
        let held = &mut self.servers[server];
        if held.silent {
            return;
        }
        if !held.up {
            return self.soon(Event::Ended { number, tried: Tried::Unrun });
        }
        self.log.add(self.now, What::Arrived { server, proxy, op, attempt, class, work });
        if held.hangs {
            return;
        }
        if held.errors > 0.0 && self.rng.random::<f64>() < held.errors {
            return self.soon(Event::Ended { number, tried: Tried::Failed });
        }
        match held.machine.arrive(self.now, Job { number, work }) {
            Arrival::Runs { until } => {
                let life = held.life;
                self.log.add(self.now, What::Ran { server, op, attempt, class });
                self.set(until, Event::Done { server, life, job: number });
            }
            Arrival::Waits => {}
            Arrival::Full => self.soon(Event::Ended { number, tried: Tried::Unrun }),
            Arrival::Falls => {
                self.log.add(self.now, What::Fell { server });
                self.stop_server(server);
            }
        }
    }

    pub(super) fn done(&mut self, server: usize, life: u64, job: u64) {
        let held = &mut self.servers[server];
        if held.life != life {
            return;
        }
        if let Some((next, until)) = held.machine.done(self.now) {
            if let Some(one) = self.tries.get(&next.number) {
                let (op, attempt, class) = (one.operation.id, one.operation.attempt, one.operation.class);
                self.log.add(self.now, What::Ran { server, op, attempt, class });
            }
            self.set(until, Event::Done { server, life, job: next.number });
        }
        let held = &self.servers[server];
        let lost = held.silent || held.loses > 0.0 && self.rng.random::<f64>() < held.loses;
        if !lost {
            self.soon(Event::Ended { number: job, tried: Tried::Good });
        }
    }

    pub(super) fn ended(&mut self, number: u64, tried: Tried) {
        let Some(one) = self.tries.get_mut(&number).filter(|one| !one.done) else { return };
        one.done = true;
        let (proxy, class, until, tries) = (one.proxy, one.operation.class, one.until, one.tried.len());
        let took = self.now - one.sent;
        let Some(server) = one.tried.last().copied() else { return };
        // One that waits is given up with its connection.
        if tried == Tried::Failed {
            self.servers[server].machine.give_up(number);
        }
        let report = orca::LoadReport {
            cpu_utilization: Some(self.servers[server].machine.busy(self.now)),
            named_metrics: BTreeMap::from([
                ("inflight".to_owned(), self.servers[server].machine.held() as f64),
                ("service_ms".to_owned(), self.servers[server].machine.service() * 1e3),
            ]),
        };
        let held = &mut self.proxies[proxy];
        if tried == Tried::Good {
            held.sums.load(class, server, &report);
        }
        held.sums.ended(class, server, tried == Tried::Good, took);
        self.log.add(self.now, What::Tried { proxy, server, class, how: tried, took });
        let held = &mut self.proxies[proxy];
        held.chooser.note(self.now, server, tried);
        if self.now < until && held.up && held.chooser.may_try_again(class, tried, tries) {
            return self.attempt(number, Some(tried));
        }
        match tried {
            Tried::Unrun => self.refuse(number, Nanos(0)),
            Tried::Good | Tried::Failed => {
                self.tries.remove(&number);
                let answer = if tried == Tried::Good { Answer::Good } else { Answer::Failed };
                self.soon(Event::Answered { number, answer });
            }
        }
    }

    pub(super) fn answered(&mut self, number: u64, answer: Answer) {
        let Some(mut operation) = self.clients.remove(&number) else { return };
        if let Next::Again { at } = self.caller.after(self.now, &operation, answer) {
            operation.attempt += 1;
            return self.set(at, Event::ClientAttempt(Box::new(operation)));
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
