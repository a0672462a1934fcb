//! Troubles: the plan's acts.

use super::*;

impl World<'_> {
    pub(super) fn stop_server(&mut self, server: usize) {
        let held = &mut self.servers[server];
        (held.up, held.life) = (false, held.life + 1);
        let at = |one: &Try| !one.done && one.tried.last() == Some(&server);
        let cut: Vec<u64> = self.tries.iter().filter(|(_, one)| at(one)).map(|(number, _)| *number).collect();
        cut.into_iter().for_each(|number| self.soon(Event::Ended { number, tried: Tried::Failed }));
        self.log.add(self.now, What::Stopped { server });
    }

    pub(super) fn server_act(&mut self, place: usize) {
        let (_, server, act) = self.plan.server_acts[place];
        match act {
            ServerAct::Start => {
                self.stop_server(server);
                let held = &mut self.servers[server];
                held.machine = Machine::new(held.make, Some(self.now));
                (held.up, held.errors, held.hangs, held.loses, held.silent) = (true, 0.0, false, 0.0, false);
                self.log.add(self.now, What::Started { server });
            }
            ServerAct::Die => self.stop_server(server),
            ServerAct::Silence => self.servers[server].silent = true,
            ServerAct::Errors(share) => self.servers[server].errors = share,
            ServerAct::Hang(on) => self.servers[server].hangs = on,
            ServerAct::Slow(factor) => {
                self.servers[server].machine.slow = factor;
                self.log.add(self.now, What::Slowed { server, factor });
            }
            ServerAct::LoseAnswers(share) => self.servers[server].loses = share,
        }
    }

    pub(super) fn proxy_act(&mut self, place: usize) {
        let (_, proxy, act) = self.plan.proxy_acts[place].clone();
        let held = &mut self.proxies[proxy];
        match act {
            ProxyAct::Die => {
                (held.up, held.down_since) = (false, Some(self.now));
                let mine: Vec<u64> =
                    self.tries.iter().filter(|(_, t)| t.proxy == proxy).map(|(n, _)| *n).collect();
                for number in mine {
                    self.tries.remove(&number);
                    self.soon(Event::Answered { number, answer: Answer::Failed });
                }
                self.set(self.now + self.script.clients.front_lag.0, Event::Noticed);
                self.log.add(self.now, What::Proxy { proxy, up: false });
            }
            ProxyAct::Start => {
                (held.up, held.down_since, held.sums) = (true, None, Sums::default());
                held.sums_since = self.now;
                self.fronts = None;
                self.log.add(self.now, What::Proxy { proxy, up: true });
            }
            ProxyAct::Stall(span) => held.stalled_until = self.now + span,
            ProxyAct::Path { servers, share } => servers.into_iter().for_each(|server| {
                held.paths.insert(server, share);
            }),
        }
    }

    pub(super) fn fleet_act(&mut self, act: FleetAct) {
        match act {
            FleetAct::List { server, shows } => {
                self.shows[server] = shows;
                if self.roster.is_some() {
                    self.list();
                }
            }
            FleetAct::RosterOut(true) => {
                self.roster = None;
                self.log.add(self.now, What::RosterGone);
                (0..self.engines.len()).for_each(|coordinator| self.read_roster(coordinator));
            }
            FleetAct::RosterOut(false) => self.list(),
            FleetAct::BreakStreams(proxies) => proxies.into_iter().for_each(|proxy| {
                self.end_stream(proxy);
                self.redial(proxy);
            }),
            FleetAct::Unreach { proxies, on, .. } => {
                for proxy in proxies {
                    self.end_stream(proxy);
                    self.proxies[proxy].agent = !on;
                    self.redial(proxy);
                }
            }
            FleetAct::KillCoordinator(coordinator) => self.kill_desk(coordinator),
            FleetAct::StartCoordinator(coordinator) => self.raise_engine(coordinator),
            FleetAct::StallCoordinator(coordinator, on) => self.stall_desk(coordinator, on),
            FleetAct::UpgradeCoordinator(coordinator) => {
                self.kill_desk(coordinator);
                self.raise_engine(coordinator);
            }
            FleetAct::UpgradeAgent(proxy) => {
                self.end_stream(proxy);
                self.redial(proxy);
            }
            FleetAct::Leader { slot, strike } => {
                if let Some(act) = self.struck.resolve(slot, strike, self.leader()) {
                    self.fleet_act(act);
                }
            }
            FleetAct::Cut { coordinator, sends, gets } => self.cuts.set(coordinator, sends, gets),
            FleetAct::KillAgent(proxy) => {
                self.end_stream(proxy);
                self.proxies[proxy].agent = false;
                self.redial(proxy);
            }
            FleetAct::StartAgent(proxy) => {
                self.proxies[proxy].agent = true;
                self.redial(proxy);
            }
        }
    }
}
