//! Coordinators: their desks' turns, probes, the list, and in a shared fleet their datagrams.

use super::*;

/// Where a coordinator's datagrams go, for its settings.
fn member_address(coordinator: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 10_000 + coordinator as u16))
}

impl World<'_> {
    pub(super) fn start_desk(&mut self, coordinator: usize) {
        let mut settings = coordinator_settings(self.script, coordinator);
        // Datagrams go by the members' names here; their places say nothing.
        let places: Vec<SocketAddr> = (0..self.desks.len()).map(member_address).collect();
        settings.ledger = self.options.ledgers.then(|| LedgerSettings::at("ledger.gz"));
        let shared = self.script.shared.as_ref();
        settings.shared = shared
            .map(|shared| shared_settings(coordinator, &places, member_address(coordinator), shared.lease));
        let seed = settings.seed.unwrap_or(0) ^ self.options.seed_xor;
        let own = Build::Own;
        let (build, fault, now) = (self.options.build.unwrap_or(&own), &self.fault, self.now);
        let mut desk = Desk::deciding(&settings, now, |decisions| build.start(decisions, seed, now, fault));
        if settings.shared.is_some() {
            let disk = &self.disks[coordinator];
            desk.share(&settings, disk.saved.clone(), seed, self.now);
            disk.followed.values().for_each(|version| desk.note_followed(version));
            if let Some(list) = &disk.list {
                let _ = desk.remember(self.now, list);
            }
        }
        if let Some(text) = &self.roster {
            let _ = desk.roster(self.now, text);
        }
        self.desks[coordinator] = Some(desk);
        self.log.add(self.now, What::Coordinator { coordinator, up: true });
        self.wake_desk(coordinator);
    }

    /// The coordinator that says that it leads, in the latest term; the first that runs where none does.
    pub(super) fn leader(&self) -> Option<usize> {
        let runs = || self.desks.iter().enumerate().filter_map(|(place, desk)| Some((place, desk.as_ref()?)));
        let leads = |(place, desk): (usize, &Desk)| Some((desk.leads()?, place));
        runs().filter_map(leads).max().map(|(_, place)| place).or(runs().next().map(|(place, _)| place))
    }

    pub(super) fn kill_desk(&mut self, coordinator: usize) {
        if self.desks[coordinator].take().is_none() {
            return;
        }
        self.unread[coordinator].clear();
        self.stalled[coordinator] = false;
        self.log.add(self.now, What::Coordinator { coordinator, up: false });
        for proxy in 0..self.proxies.len() {
            if self.proxies[proxy].stream.is_some_and(|(of, _)| of == coordinator) {
                self.end_stream(proxy);
                self.redial(proxy);
            }
        }
    }

    pub(super) fn raise_desk(&mut self, coordinator: usize) {
        if self.desks[coordinator].is_none() && self.options.selector == Who::Ours {
            self.start_desk(coordinator);
        }
    }

    pub(super) fn stall_desk(&mut self, coordinator: usize, on: bool) {
        if self.desks[coordinator].is_none() {
            return;
        }
        self.stalled[coordinator] = on;
        self.log.add(self.now, What::Stalled { coordinator, on });
        if !on {
            let texts = std::mem::take(&mut self.unread[coordinator]);
            texts.iter().for_each(|text| self.mail(coordinator, text));
            self.wake_desk(coordinator);
        }
    }

    /// A datagram has come in at a coordinator.
    pub(super) fn mail(&mut self, to: usize, text: &[u8]) {
        if self.stalled[to] {
            return self.unread[to].push(text.to_vec());
        }
        if let Some(desk) = &mut self.desks[to] {
            let _ = desk.datagram(self.now, text);
            self.wake_desk(to);
        }
    }

    fn post(&mut self, from: usize, to: &str, text: Vec<u8>) {
        let Some(to) = coordinator_named(to).filter(|to| *to < self.desks.len()) else { return };
        if !self.cuts.lose(from, to) {
            self.soon(Event::Mail { to, text });
        }
    }

    pub(super) fn wake_desk(&mut self, coordinator: usize) {
        let at = if self.stalled[coordinator] { Nanos(u64::MAX) } else { self.now };
        if at < Nanos(u64::MAX) && self.desk_at[coordinator] != at {
            self.desk_at[coordinator] = at;
            self.set(at, Event::Desk(coordinator));
        }
    }

    pub(super) fn turn(&mut self, coordinator: usize) {
        self.desk_at[coordinator] = Nanos(u64::MAX);
        if self.stalled[coordinator] {
            return;
        }
        let Some(desk) = &mut self.desks[coordinator] else { return };
        let begun = Instant::now();
        let (flushes, steps) = (desk.flushes_at() <= self.now, desk.steps());
        let outputs = desk.turn(self.now);
        if self.options.cost {
            if desk.steps() > steps {
                self.cost.turns.push(begun.elapsed());
            }
            if flushes {
                let middles = std::mem::take(&mut self.untaken[coordinator]);
                self.cost.ages.extend(middles.into_iter().map(|middle| self.now - middle));
            }
        }
        let at = desk.next_at().max(self.now + Nanos(1_000));
        self.desk_at[coordinator] = at;
        self.set(at, Event::Desk(coordinator));
        for output in outputs {
            match output {
                Output::Answer { stream, answer, version } => {
                    let Some(proxy) = self.owners.get(&stream).copied() else { continue };
                    let (kind, response) = match answer {
                        Told::Unchanged { kind } => (kind, None),
                        Told::Resources { kind, nonce, resources } => {
                            let text = body(kind, &version, nonce, resources).concat();
                            let Ok(response) = serde_json::from_slice(&text) else { continue };
                            (kind, Some(Box::new(response)))
                        }
                    };
                    // In order on one connection: no spread.
                    let slow = self.script.delays.map_or(Nanos(0), |delays| delays.draw(&mut self.rng));
                    let at = (self.now + HOP + slow).max(self.under_way[proxy]);
                    self.under_way[proxy] = at;
                    self.set(at, Event::ToAgent { proxy, stream, kind, response });
                }
                Output::Break { stream, .. } => {
                    if let Some(proxy) = self.owners.get(&stream).copied() {
                        self.set(self.now + NOTICE, Event::Lost { proxy, stream });
                    }
                }
                Output::Probe { server } => {
                    let since = self.now;
                    self.soon(Event::Probed { coordinator, server, since });
                }
                Output::ReadRoster => self.read_roster(coordinator),
                Output::SendOn { stream, to } => self.point_to(stream, &to),
                Output::Save(saved) => self.disks[coordinator].saved = saved,
                Output::Keep(followed) => self.disks[coordinator].followed.extend(followed),
                Output::Datagram { to, text } => self.post(coordinator, &to, text),
            }
        }
    }

    pub(super) fn probed(&mut self, coordinator: usize, server: ServerId, since: Nanos) {
        let Some(held) = self.addresses.server(&server.0).and_then(|place| self.servers.get(place)) else {
            return;
        };
        let mute = held.silent || held.hangs;
        if mute && self.now - since < self.script.probe_time_out.0 {
            let at = since + self.script.probe_time_out.0;
            return self.set(at, Event::Probed { coordinator, server, since });
        }
        let outcome = if held.up && !mute { ProbeOutcome::Answered } else { ProbeOutcome::Failed };
        let report = LoadReport { busy: Some(held.machine.busy(self.now)), ..LoadReport::default() };
        if let Some(desk) = &mut self.desks[coordinator] {
            desk.probed(server, outcome, self.now - since, report);
            self.wake_desk(coordinator);
        }
    }

    pub(super) fn read_roster(&mut self, coordinator: usize) {
        let Some(desk) = &mut self.desks[coordinator] else { return };
        match &self.roster {
            Some(text) => {
                if desk.roster(self.now, text).is_ok_and(|(changed, _)| changed > 0) {
                    self.disks[coordinator].list = Some(text.clone());
                }
            }
            None => desk.roster_failed(self.now),
        }
        self.wake_desk(coordinator);
    }

    pub(super) fn list(&mut self) {
        self.version += 1;
        let (roster, listed) = {
            let address = |server| self.addresses.of(server);
            self.plan.roster(self.version, self.begin, &self.shows, &address)
        };
        self.roster = serde_json::to_vec(&roster).ok();
        self.log.add(self.now, What::Rostered { servers: listed });
        (0..self.desks.len()).for_each(|coordinator| self.read_roster(coordinator));
    }
}
