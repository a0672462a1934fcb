//! Coordinators: turns, probes, the list of servers, and datagrams in a shared fleet.

use super::*;

/// A coordinator's datagram address, for its settings.
fn member_address(coordinator: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + coordinator as u16))
}

impl World<'_> {
    pub(super) fn start_coordinator(&mut self, coordinator: usize) {
        let mut settings = coordinator_settings(self.script, coordinator);
        // The simulation routes datagrams by members' names; the addresses are placeholders.
        let peers: Vec<SocketAddr> = (0..self.coordinators.len()).map(member_address).collect();
        settings.ledger = self.options.ledgers.then(|| LedgerSettings::at("ledger.gz"));
        let shared = self.script.shared.as_ref();
        settings.shared = shared
            .map(|shared| shared_settings(coordinator, &peers, member_address(coordinator), shared.lease));
        let seed = settings.seed.unwrap_or(0) ^ self.options.seed_xor;
        let own = Build::Own;
        let (build, fault, now) = (self.options.build.unwrap_or(&own), &self.fault, self.now);
        let mut engine =
            Engine::with_decider(&settings, now, |decisions| build.start(decisions, seed, now, fault));
        if settings.shared.is_some() {
            let disk = &self.disks[coordinator];
            engine.join_fleet(&settings, disk.saved.clone(), seed, self.now);
            disk.followed.values().for_each(|version| engine.note_followed_version(version));
            if let Some(list) = &disk.list {
                let _ = engine.load_saved_roster(self.now, list);
            }
        }
        if let Some(text) = &self.list_text {
            let _ = engine.update_roster(self.now, text);
        }
        self.coordinators[coordinator] = Some(engine);
        self.log.add(self.now, What::Coordinator { coordinator, up: true });
        self.wake_coordinator(coordinator);
    }

    /// The coordinator that claims to lead in the latest term, or the first running one if none does.
    pub(super) fn leader(&self) -> Option<usize> {
        let runs = || {
            self.coordinators.iter().enumerate().filter_map(|(index, engine)| Some((index, engine.as_ref()?)))
        };
        let leads = |(index, engine): (usize, &Engine)| Some((engine.leader_term()?, index));
        runs().filter_map(leads).max().map(|(_, index)| index).or(runs().next().map(|(index, _)| index))
    }

    pub(super) fn kill_coordinator(&mut self, coordinator: usize) {
        if self.coordinators[coordinator].take().is_none() {
            return;
        }
        self.held_datagrams[coordinator].clear();
        self.stalled[coordinator] = false;
        self.log.add(self.now, What::Coordinator { coordinator, up: false });
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].stream.is_some_and(|(of, _)| of == coordinator) {
                self.end_stream(proxy);
                self.redial(proxy);
            }
        }
    }

    pub(super) fn raise_coordinator(&mut self, coordinator: usize) {
        if self.coordinators[coordinator].is_none() && self.options.selector == Selector::Coordinators {
            self.start_coordinator(coordinator);
        }
    }

    pub(super) fn stall_coordinator(&mut self, coordinator: usize, on: bool) {
        if self.coordinators[coordinator].is_none() {
            return;
        }
        self.stalled[coordinator] = on;
        self.log.add(self.now, What::Stalled { coordinator, on });
        if !on {
            let texts = std::mem::take(&mut self.held_datagrams[coordinator]);
            texts.iter().for_each(|text| self.receive_datagram(coordinator, text));
            self.wake_coordinator(coordinator);
        }
    }

    /// Delivers a datagram to a coordinator, or keeps it while the coordinator is stalled.
    pub(super) fn receive_datagram(&mut self, to: usize, text: &[u8]) {
        if self.stalled[to] {
            return self.held_datagrams[to].push(text.to_vec());
        }
        if let Some(engine) = &mut self.coordinators[to] {
            let _ = engine.handle_datagram(self.now, text);
            self.wake_coordinator(to);
        }
    }

    fn send_datagram(&mut self, from: usize, to: &str, text: Vec<u8>) {
        let Some(to) = parse_coordinator_name(to).filter(|to| *to < self.coordinators.len()) else { return };
        if !self.network_cuts.drops(from, to) {
            self.schedule_after_hop(Event::Datagram { to, text });
        }
    }

    pub(super) fn wake_coordinator(&mut self, coordinator: usize) {
        let at = if self.stalled[coordinator] { Nanos(u64::MAX) } else { self.now };
        if at < Nanos(u64::MAX) && self.next_turn_at[coordinator] != at {
            self.next_turn_at[coordinator] = at;
            self.schedule(at, Event::CoordinatorTurn(coordinator));
        }
    }

    pub(super) fn coordinator_turn(&mut self, coordinator: usize) {
        self.next_turn_at[coordinator] = Nanos(u64::MAX);
        if self.stalled[coordinator] {
            return;
        }
        let Some(engine) = &mut self.coordinators[coordinator] else { return };
        let started = Instant::now();
        let (flushes, steps) = (engine.next_flush_at() <= self.now, engine.steps());
        let outputs = engine.turn(self.now);
        if self.options.cost {
            if engine.steps() > steps {
                self.cost.turns.push(started.elapsed());
            }
            if flushes {
                let midpoints = std::mem::take(&mut self.pending_reports[coordinator]);
                self.cost.ages.extend(midpoints.into_iter().map(|midpoint| self.now - midpoint));
            }
        }
        let at = engine.next_at().max(self.now + Nanos(1_000));
        self.next_turn_at[coordinator] = at;
        self.schedule(at, Event::CoordinatorTurn(coordinator));
        for output in outputs {
            match output {
                Output::Respond { stream, response, version } => {
                    let Some(proxy) = self.stream_proxies.get(&stream).copied() else { continue };
                    let (kind, response) = match response {
                        StreamAnswer::Unchanged { kind } => (kind, None),
                        StreamAnswer::Resources { kind, nonce, resources } => {
                            let text = response_body(kind, &version, nonce, resources).concat();
                            let Ok(response) = serde_json::from_slice(&text) else { continue };
                            (kind, Some(Box::new(response)))
                        }
                    };
                    // Messages on one connection keep their order, so the delay has no random spread.
                    let slow = self.script.delays.map_or(Nanos(0), |delays| delays.draw(&mut self.rng));
                    let at = (self.now + HOP + slow).max(self.last_arrival_at[proxy]);
                    self.last_arrival_at[proxy] = at;
                    self.schedule(at, Event::AgentResponse { proxy, stream, kind, response });
                }
                Output::CloseStream { stream, .. } => {
                    if let Some(proxy) = self.stream_proxies.get(&stream).copied() {
                        self.schedule(self.now + DISCONNECT_DELAY, Event::StreamLost { proxy, stream });
                    }
                }
                Output::Probe { server } => {
                    let since = self.now;
                    self.schedule_after_hop(Event::Probed { coordinator, server, since });
                }
                Output::ReadRoster => self.read_roster(coordinator),
                Output::Redirect { stream, to } => self.redirect_agent(stream, &to),
                Output::SaveFleetState(saved) => self.disks[coordinator].saved = saved,
                Output::SaveFollowed(followed) => self.disks[coordinator].followed.extend(followed),
                Output::Datagram { to, text } => self.send_datagram(coordinator, &to, text),
            }
        }
    }

    pub(super) fn probe_answered(&mut self, coordinator: usize, server: ServerId, since: Nanos) {
        let Some(state) = self.addresses.server(&server.0).and_then(|index| self.servers.get(index)) else {
            return;
        };
        let unresponsive = state.silent || state.hangs;
        if unresponsive && self.now - since < self.script.probe_time_out.0 {
            let at = since + self.script.probe_time_out.0;
            return self.schedule(at, Event::Probed { coordinator, server, since });
        }
        let outcome = if state.up && !unresponsive { ProbeOutcome::Answered } else { ProbeOutcome::Failed };
        let report = LoadReport { busy: Some(state.machine.busy(self.now)), ..LoadReport::default() };
        if let Some(engine) = &mut self.coordinators[coordinator] {
            engine.handle_probe_result(server, outcome, self.now - since, report);
            self.wake_coordinator(coordinator);
        }
    }

    pub(super) fn read_roster(&mut self, coordinator: usize) {
        let Some(engine) = &mut self.coordinators[coordinator] else { return };
        match &self.list_text {
            Some(text) => {
                if engine.update_roster(self.now, text).is_ok_and(|(changed, _)| changed > 0) {
                    self.disks[coordinator].list = Some(text.clone());
                }
            }
            None => engine.roster_read_failed(self.now),
        }
        self.wake_coordinator(coordinator);
    }

    pub(super) fn publish_list(&mut self) {
        self.list_version += 1;
        let (roster, listed) = {
            let address = |server| self.addresses.address(server);
            self.plan.roster(self.list_version, self.begin, &self.listed_states, &address)
        };
        self.list_text = serde_json::to_vec(&roster).ok();
        self.log.add(self.now, What::Rostered { servers: listed });
        (0..self.coordinators.len()).for_each(|coordinator| self.read_roster(coordinator));
    }
}
