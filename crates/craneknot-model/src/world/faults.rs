//! Faults: the acts of the plan.

use super::*;

impl World<'_> {
    pub(super) fn stop_server(&mut self, server: usize) {
        let state = &mut self.servers[server];
        (state.up, state.incarnation) = (false, state.incarnation + 1);
        let at = |pending: &Try| !pending.ended && pending.tried.last() == Some(&server);
        let cut: Vec<u64> =
            self.tries.iter().filter(|(_, pending)| at(pending)).map(|(number, _)| *number).collect();
        cut.into_iter()
            .for_each(|number| self.schedule_after_hop(Event::TryEnded { number, tried: Tried::Failed }));
        self.log.add(self.now, What::Stopped { server });
    }

    pub(super) fn server_act(&mut self, index: usize) {
        let (_, server, act) = self.plan.server_acts[index];
        match act {
            ServerAct::Start => {
                self.stop_server(server);
                let state = &mut self.servers[server];
                state.machine = Machine::new(state.spec, Some(self.now));
                (state.up, state.error_share, state.hangs, state.answer_loss, state.silent) =
                    (true, 0.0, false, 0.0, false);
                self.log.add(self.now, What::Started { server });
            }
            ServerAct::Die => self.stop_server(server),
            ServerAct::Silence => self.servers[server].silent = true,
            ServerAct::Errors(share) => self.servers[server].error_share = share,
            ServerAct::Hang(on) => self.servers[server].hangs = on,
            ServerAct::Slow(factor) => {
                self.servers[server].machine.slowdown = factor;
                self.log.add(self.now, What::Slowed { server, factor });
            }
            ServerAct::LoseAnswers(share) => self.servers[server].answer_loss = share,
        }
    }

    pub(super) fn proxy_act(&mut self, index: usize) {
        let (_, proxy, act) = self.plan.proxy_acts[index].clone();
        let state = &mut self.proxies[proxy];
        match act {
            ProxyAct::Die => {
                (state.up, state.down_since) = (false, Some(self.now));
                let numbers: Vec<u64> =
                    self.tries.iter().filter(|(_, t)| t.proxy == proxy).map(|(n, _)| *n).collect();
                for number in numbers {
                    self.tries.remove(&number);
                    self.schedule_after_hop(Event::ClientAnswered { number, answer: Answer::Failed });
                }
                self.schedule(self.now + self.script.clients.front_lag.0, Event::FrontsChanged);
                self.log.add(self.now, What::Proxy { proxy, up: false });
            }
            ProxyAct::Start => {
                (state.up, state.down_since, state.totals) = (true, None, LoadTotals::default());
                state.totals_since = self.now;
                self.fronts = None;
                self.log.add(self.now, What::Proxy { proxy, up: true });
            }
            ProxyAct::Stall(span) => state.stalled_until = self.now + span,
            ProxyAct::Path { servers, share } => servers.into_iter().for_each(|server| {
                state.path_loss.insert(server, share);
            }),
        }
    }

    pub(super) fn fleet_act(&mut self, act: FleetAct) {
        match act {
            FleetAct::List { server, state } => {
                self.listed_states[server] = state;
                if self.list_text.is_some() {
                    self.publish_list();
                }
            }
            FleetAct::RosterOut(true) => {
                self.list_text = None;
                self.log.add(self.now, What::RosterGone);
                (0..self.coordinators.len()).for_each(|coordinator| self.read_roster(coordinator));
            }
            FleetAct::RosterOut(false) => self.publish_list(),
            FleetAct::BreakStreams(proxies) => proxies.into_iter().for_each(|proxy| {
                self.end_stream(proxy);
                self.redial(proxy);
            }),
            FleetAct::Unreach { proxies, on, .. } => {
                for proxy in proxies {
                    self.end_stream(proxy);
                    self.proxies[proxy].agent_up = !on;
                    self.redial(proxy);
                }
            }
            FleetAct::KillCoordinator(coordinator) => self.kill_coordinator(coordinator),
            FleetAct::StartCoordinator(coordinator) => self.raise_coordinator(coordinator),
            FleetAct::StallCoordinator(coordinator, on) => self.stall_coordinator(coordinator, on),
            FleetAct::UpgradeCoordinator(coordinator) => {
                self.kill_coordinator(coordinator);
                self.raise_coordinator(coordinator);
            }
            FleetAct::UpgradeAgent(proxy) => {
                self.end_stream(proxy);
                self.redial(proxy);
            }
            FleetAct::Leader { slot, strike } => {
                if let Some(act) = self.leader_strikes.resolve(slot, strike, self.leader()) {
                    self.fleet_act(act);
                }
            }
            FleetAct::Cut { coordinator, sends, gets } => self.network_cuts.set(coordinator, sends, gets),
            FleetAct::KillAgent(proxy) => {
                self.end_stream(proxy);
                self.proxies[proxy].agent_up = false;
                self.redial(proxy);
            }
            FleetAct::StartAgent(proxy) => {
                self.proxies[proxy].agent_up = true;
                self.redial(proxy);
            }
        }
    }
}
