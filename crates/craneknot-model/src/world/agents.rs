//! Agents: connecting, requesting resources, swapping files and reporting load.

use super::*;

impl World<'_> {
    pub(super) fn dial_coordinator(&mut self, proxy: usize) {
        let state = &mut self.proxies[proxy];
        if !state.agent_up || state.dialer.handle(self.now, DialEvent::BackoffElapsed) != DialAction::Dial {
            return;
        }
        let coordinator = state.coordinator_order[state.dialer.coordinator()];
        if self.coordinators[coordinator].is_none() {
            state.dialer.handle(self.now, DialEvent::Lost);
            let at = state.dialer.next_dial_at().unwrap_or(self.now);
            return self.schedule(at, Event::Dial(proxy));
        }
        state.dialer.handle(self.now, DialEvent::Connected);
        self.next_id += 1;
        let stream = StreamId(self.next_id);
        state.stream = Some((coordinator, stream));
        state.nonces.clear();
        self.stream_proxies.insert(stream, proxy);
        self.log.add(self.now, What::Joined { proxy, coordinator });
        Kind::ALL.into_iter().for_each(|kind| self.send_request(proxy, kind, None));
        // Scheduled after the requests that join the proxy: a report of an unknown proxy is ignored.
        self.schedule(self.now + HOP, Event::SendReport { proxy, stream });
    }

    pub(super) fn send_request(&mut self, proxy: usize, kind: Kind, refused: Option<Status>) {
        if let Some((coordinator, stream)) = self.proxies[proxy].stream {
            self.schedule(self.now + HOP, Event::AgentRequest { coordinator, stream, proxy, kind, refused });
        }
    }

    pub(super) fn agent_requested(
        &mut self,
        coordinator: usize,
        stream: StreamId,
        proxy: usize,
        kind: Kind,
        refused: Option<Status>,
    ) {
        if self.proxies[proxy].stream != Some((coordinator, stream)) {
            return;
        }
        if self.stalled[coordinator] {
            return self.schedule(
                self.now + STALL_RECHECK,
                Event::AgentRequest { coordinator, stream, proxy, kind, refused },
            );
        }
        let state = &self.proxies[proxy];
        let usual = self.script.clients.rate / self.proxies.len() as f64;
        let asked = DiscoveryRequest {
            version_info: state.holding.version(kind).text(),
            // Sent once per stream, as the agent does.
            node: (!state.nonces.contains_key(&kind)).then(|| Node {
                id: format!("proxy-{proxy}"),
                locality: Locality::zone(&self.plan.proxy_zones[proxy]),
                metadata: BTreeMap::from([
                    ("usual_rate".to_owned(), usual.into()),
                    ("bound".to_owned(), serde_json::json!(state.holding.bound_tables())),
                    ("prints".to_owned(), serde_json::json!(state.holding.fingerprints())),
                ]),
                ..Node::default()
            }),
            type_url: kind.type_url().to_owned(),
            response_nonce: state.nonces.get(&kind).cloned().unwrap_or_default(),
            error_detail: refused,
            ..DiscoveryRequest::default()
        };
        if let Some(engine) = &mut self.coordinators[coordinator] {
            let answer = engine.handle_request(self.now, stream, kind, asked);
            self.wake_coordinator(coordinator);
            match answer {
                Ok(_) => {}
                Err(RequestError::Elsewhere(to)) => self.redirect_agent(stream, &to),
                Err(_) => self.schedule_after_hop(Event::StreamLost { proxy, stream }),
            }
        }
    }

    pub(super) fn agent_received(
        &mut self,
        proxy: usize,
        stream: StreamId,
        kind: Kind,
        response: Option<Box<DiscoveryResponse>>,
    ) {
        let state = &mut self.proxies[proxy];
        if state.stream.is_none_or(|(_, of)| of != stream) {
            return;
        }
        if state.stalled_until > self.now {
            let at = state.stalled_until;
            return self.schedule(at, Event::AgentResponse { proxy, stream, kind, response });
        }
        state.dialer.handle(self.now, DialEvent::Responded);
        let Some(response) = response else { return self.send_request(proxy, kind, None) };
        state.nonces.insert(kind, response.nonce.clone());
        match state.holding.evaluate(kind, &response) {
            Ok(Verdict::Swap(staged)) => {
                let mut next = Some(staged);
                while let Some(staged) = next.take() {
                    let state = &mut self.proxies[proxy];
                    let (kind, text) = (staged.kind, staged.text.clone());
                    next = state.holding.commit(staged);
                    let server = |text: &str| self.addresses.server(text);
                    match state.policy.load_file(kind, text.as_bytes(), &server) {
                        Ok(()) => {
                            let (lines, epoch) = (state.policy.lines(), state.policy.epoch());
                            self.log.add(self.now, What::Swapped { proxy, lines, epoch });
                        }
                        Err(fault) => self.log.add(self.now, What::Torn { proxy, cause: fault.to_string() }),
                    }
                    self.send_request(proxy, kind, None);
                }
            }
            Ok(Verdict::Warming { .. }) => {}
            Err(status) => self.send_request(proxy, kind, Some(status)),
        }
    }

    pub(super) fn end_stream(&mut self, proxy: usize) {
        let Some((coordinator, stream)) = self.proxies[proxy].stream.take() else { return };
        self.proxies[proxy].unanswered = None;
        self.last_arrival_at[proxy] = START;
        self.stream_proxies.remove(&stream);
        self.log.add(self.now, What::Left { proxy, coordinator });
        if let Some(engine) = &mut self.coordinators[coordinator] {
            engine.end_stream(self.now, stream);
            self.wake_coordinator(coordinator);
        }
    }

    /// Redirects a stream's agent to the leading coordinator.
    pub(super) fn redirect_agent(&mut self, stream: StreamId, to: &str) {
        let Some(proxy) = self.stream_proxies.get(&stream).copied() else { return };
        if let Some(to) = parse_coordinator_name(to) {
            self.schedule(self.now + HOP, Event::AgentRedirected { proxy, stream, to });
        }
    }

    pub(super) fn agent_redirected(&mut self, proxy: usize, stream: StreamId, to: usize) {
        if self.proxies[proxy].stream.is_none_or(|(_, of)| of != stream) {
            return;
        }
        self.end_stream(proxy);
        let state = &mut self.proxies[proxy];
        state.unsent_totals.discard_in_flight();
        let index =
            state.coordinator_order.iter().position(|coordinator| *coordinator == to).unwrap_or(usize::MAX);
        state.dialer.redirect_to(self.now, index);
        let at = state.dialer.next_dial_at().unwrap_or(self.now);
        self.schedule(at, Event::Dial(proxy));
    }

    pub(super) fn redial(&mut self, proxy: usize) {
        let state = &mut self.proxies[proxy];
        let before = state.dialer.coordinator();
        if state.dialer.state() != DialState::Backoff {
            state.dialer.handle(self.now, DialEvent::Lost);
        }
        if state.dialer.coordinator() != before {
            state.unsent_totals.discard_in_flight();
        }
        let at = state.dialer.next_dial_at().unwrap_or(self.now);
        self.schedule(at, Event::Dial(proxy));
    }

    /// The proxy reports to its agent the load since its last report.
    pub(super) fn proxy_report(&mut self, proxy: usize) {
        self.schedule(self.now + self.script.report_period.0, Event::ProxyReport(proxy));
        let state = &mut self.proxies[proxy];
        if !state.agent_up || !state.up || state.stalled_until > self.now {
            return;
        }
        let interval = Seconds((self.now - state.totals_since).secs());
        state.totals_since = self.now;
        let totals = std::mem::take(&mut state.totals);
        let locate =
            |server: usize| (self.addresses.address(server), self.plan.servers[server].group.zone.as_str());
        let cluster_stats = totals.report(interval, &self.script.classes, &locate);
        self.proxies[proxy].unsent_totals.add(&LoadStatsRequest { node: None, cluster_stats });
    }

    /// The agent sends the pending load report unless an earlier one is unanswered. A coordinator that leaves a report
    /// unanswered for `SILENCE_TIMEOUT` is considered lost.
    pub(super) fn send_report(&mut self, proxy: usize, stream: StreamId) {
        let state = &mut self.proxies[proxy];
        let Some((coordinator, _)) = state.stream.filter(|(_, of)| *of == stream) else { return };
        match state.unanswered {
            Some(since) if self.now - since >= SILENCE_TIMEOUT => {
                self.end_stream(proxy);
                return self.redial(proxy);
            }
            Some(_) => {}
            None => {
                let (closed, cluster_stats) = state.unsent_totals.close(self.now);
                state.unanswered = Some(self.now);
                let metadata = BTreeMap::from([(CLOSED_AT.to_owned(), closed.into())]);
                let node = Some(Node { id: format!("proxy-{proxy}"), metadata, ..Node::default() });
                let report = Box::new(LoadStatsRequest { node, cluster_stats });
                self.schedule_after_hop(Event::Reported { proxy, coordinator, report });
            }
        }
        self.schedule(self.now + self.script.report_period.0, Event::SendReport { proxy, stream });
    }

    pub(super) fn handle_report(&mut self, proxy: usize, coordinator: usize, report: Box<LoadStatsRequest>) {
        if self.proxies[proxy].stream.is_none_or(|(of, _)| of != coordinator) {
            return;
        }
        if self.stalled[coordinator] {
            return self.schedule(self.now + STALL_RECHECK, Event::Reported { proxy, coordinator, report });
        }
        if self.options.cost {
            // All classes of one report cover the same interval.
            let closed = report.node.as_ref().and_then(|node| node.metadata.get(CLOSED_AT)?.as_u64());
            let span =
                report.cluster_stats.iter().map(|class| class.load_report_interval.0).fold(0.0, f64::max);
            let midpoint =
                |closed: u64| Nanos(closed.saturating_mul(1_000_000)) - Nanos::from_secs(span / 2.0);
            self.pending_reports[coordinator].extend(closed.filter(|_| span > 0.0).map(midpoint));
        }
        if let Some(engine) = &mut self.coordinators[coordinator] {
            let _ = engine.handle_load_report(self.now, &report);
            self.proxies[proxy].unanswered = None;
            self.proxies[proxy].unsent_totals.acknowledge();
            self.wake_coordinator(coordinator);
        }
    }
}
