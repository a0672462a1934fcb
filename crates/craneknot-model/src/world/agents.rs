//! Agents: they dial, ask, swap and report.

use super::*;

impl World<'_> {
    pub(super) fn dial(&mut self, proxy: usize) {
        let held = &mut self.proxies[proxy];
        if !held.agent || held.dial.sign(self.now, Sign::Due) != Effect::Dial {
            return;
        }
        let coordinator = held.order[held.dial.coordinator()];
        if self.desks[coordinator].is_none() {
            held.dial.sign(self.now, Sign::Lost);
            let at = held.dial.next_at().unwrap_or(self.now);
            return self.set(at, Event::Dial(proxy));
        }
        held.dial.sign(self.now, Sign::Connected);
        self.next += 1;
        let stream = StreamId(self.next);
        held.stream = Some((coordinator, stream));
        held.nonces.clear();
        self.owners.insert(stream, proxy);
        self.log.add(self.now, What::Joined { proxy, coordinator });
        Kind::ALL.into_iter().for_each(|kind| self.request(proxy, kind, None));
        // After what joins the proxy: a report of one that is not known counts for nothing.
        self.set(self.now + HOP, Event::SendReport { proxy, stream });
    }

    pub(super) fn request(&mut self, proxy: usize, kind: Kind, refused: Option<Status>) {
        if let Some((coordinator, stream)) = self.proxies[proxy].stream {
            self.set(self.now + HOP, Event::ToDesk { coordinator, stream, proxy, kind, refused });
        }
    }

    pub(super) fn desk_asked(
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
            return self.set(self.now + STILL, Event::ToDesk { coordinator, stream, proxy, kind, refused });
        }
        let held = &self.proxies[proxy];
        let usual = self.script.clients.rate / self.proxies.len() as f64;
        let asked = DiscoveryRequest {
            version_info: held.holding.version(kind).text(),
            // Once a stream, as the agent does.
            node: (!held.nonces.contains_key(&kind)).then(|| Node {
                id: format!("proxy-{proxy}"),
                locality: Locality::zone(&self.plan.proxy_zones[proxy]),
                metadata: BTreeMap::from([
                    ("usual_rate".to_owned(), usual.into()),
                    ("bound".to_owned(), serde_json::json!(held.holding.bound())),
                    ("prints".to_owned(), serde_json::json!(held.holding.prints())),
                ]),
                ..Node::default()
            }),
            type_url: kind.type_url().to_owned(),
            response_nonce: held.nonces.get(&kind).cloned().unwrap_or_default(),
            error_detail: refused,
            ..DiscoveryRequest::default()
        };
        if let Some(desk) = &mut self.desks[coordinator] {
            let answer = desk.ask(self.now, stream, kind, asked);
            self.wake_desk(coordinator);
            match answer {
                Ok(_) => {}
                Err(Refused::Elsewhere(to)) => self.point_to(stream, &to),
                Err(_) => self.soon(Event::Lost { proxy, stream }),
            }
        }
    }

    pub(super) fn agent_told(
        &mut self,
        proxy: usize,
        stream: StreamId,
        kind: Kind,
        response: Option<Box<DiscoveryResponse>>,
    ) {
        let held = &mut self.proxies[proxy];
        if held.stream.is_none_or(|(_, of)| of != stream) {
            return;
        }
        if held.stalled_until > self.now {
            let at = held.stalled_until;
            return self.set(at, Event::ToAgent { proxy, stream, kind, response });
        }
        held.dial.sign(self.now, Sign::Heard);
        let Some(response) = response else { return self.request(proxy, kind, None) };
        held.nonces.insert(kind, response.nonce.clone());
        match held.holding.weigh(kind, &response) {
            Ok(Verdict::Swap(staged)) => {
                let mut next = Some(staged);
                while let Some(staged) = next.take() {
                    let held = &mut self.proxies[proxy];
                    let (kind, text) = (staged.kind, staged.text.clone());
                    next = held.holding.commit(staged);
                    let server = |text: &str| self.addresses.server(text);
                    match held.chooser.take_up(kind, text.as_bytes(), &server) {
                        Ok(()) => {
                            let (lines, epoch) = (held.chooser.lines(), held.chooser.epoch());
                            self.log.add(self.now, What::Swapped { proxy, lines, epoch });
                        }
                        Err(fault) => self.log.add(self.now, What::Torn { proxy, cause: fault.to_string() }),
                    }
                    self.request(proxy, kind, None);
                }
            }
            Ok(Verdict::Warming { .. }) => {}
            Err(status) => self.request(proxy, kind, Some(status)),
        }
    }

    pub(super) fn end_stream(&mut self, proxy: usize) {
        let Some((coordinator, stream)) = self.proxies[proxy].stream.take() else { return };
        self.proxies[proxy].unanswered = None;
        self.under_way[proxy] = START;
        self.owners.remove(&stream);
        self.log.add(self.now, What::Left { proxy, coordinator });
        if let Some(desk) = &mut self.desks[coordinator] {
            desk.leave(self.now, stream);
            self.wake_desk(coordinator);
        }
    }

    /// Tells a stream's agent which coordinator is in charge.
    pub(super) fn point_to(&mut self, stream: StreamId, to: &str) {
        let Some(proxy) = self.owners.get(&stream).copied() else { return };
        if let Some(to) = coordinator_named(to) {
            self.set(self.now + HOP, Event::SentOn { proxy, stream, to });
        }
    }

    pub(super) fn sent_on(&mut self, proxy: usize, stream: StreamId, to: usize) {
        if self.proxies[proxy].stream.is_none_or(|(_, of)| of != stream) {
            return;
        }
        self.end_stream(proxy);
        let held = &mut self.proxies[proxy];
        held.waits.forget_under_way();
        let place = held.order.iter().position(|coordinator| *coordinator == to).unwrap_or(usize::MAX);
        held.dial.send_to(self.now, place);
        let at = held.dial.next_at().unwrap_or(self.now);
        self.set(at, Event::Dial(proxy));
    }

    pub(super) fn redial(&mut self, proxy: usize) {
        let held = &mut self.proxies[proxy];
        let before = held.dial.coordinator();
        if held.dial.state() != State::Resting {
            held.dial.sign(self.now, Sign::Lost);
        }
        if held.dial.coordinator() != before {
            held.waits.forget_under_way();
        }
        let at = held.dial.next_at().unwrap_or(self.now);
        self.set(at, Event::Dial(proxy));
    }

    /// The proxy tells its agent what it met since the last time.
    pub(super) fn report(&mut self, proxy: usize) {
        self.set(self.now + self.script.report_period.0, Event::Report(proxy));
        let held = &mut self.proxies[proxy];
        if !held.agent || !held.up || held.stalled_until > self.now {
            return;
        }
        let interval = Seconds((self.now - held.sums_since).secs());
        held.sums_since = self.now;
        let sums = std::mem::take(&mut held.sums);
        let place =
            |server: usize| (self.addresses.of(server), self.plan.servers[server].group.zone.as_str());
        let cluster_stats = sums.report(interval, &self.script.classes, &place);
        self.proxies[proxy].waits.add(&LoadStatsRequest { node: None, cluster_stats });
    }

    /// The agent sends what waits, or what was not answered; a coordinator that leaves a report unanswered is gone.
    pub(super) fn send_report(&mut self, proxy: usize, stream: StreamId) {
        let held = &mut self.proxies[proxy];
        let Some((coordinator, _)) = held.stream.filter(|(_, of)| *of == stream) else { return };
        match held.unanswered {
            Some(since) if self.now - since >= SILENT => {
                self.end_stream(proxy);
                return self.redial(proxy);
            }
            Some(_) => {}
            None => {
                let (closed, cluster_stats) = held.waits.close(self.now);
                held.unanswered = Some(self.now);
                let metadata = BTreeMap::from([(CLOSED_AT.to_owned(), closed.into())]);
                let node = Some(Node { id: format!("proxy-{proxy}"), metadata, ..Node::default() });
                let report = Box::new(LoadStatsRequest { node, cluster_stats });
                self.soon(Event::Reported { proxy, coordinator, report });
            }
        }
        self.set(self.now + self.script.report_period.0, Event::SendReport { proxy, stream });
    }

    pub(super) fn reported(&mut self, proxy: usize, coordinator: usize, report: Box<LoadStatsRequest>) {
        if self.proxies[proxy].stream.is_none_or(|(of, _)| of != coordinator) {
            return;
        }
        if self.stalled[coordinator] {
            return self.set(self.now + STILL, Event::Reported { proxy, coordinator, report });
        }
        if self.options.cost {
            // Classes of one report tell of one span.
            let closed = report.node.as_ref().and_then(|node| node.metadata.get(CLOSED_AT)?.as_u64());
            let span =
                report.cluster_stats.iter().map(|class| class.load_report_interval.0).fold(0.0, f64::max);
            let middle = |closed: u64| Nanos(closed.saturating_mul(1_000_000)) - Nanos::from_secs(span / 2.0);
            self.untaken[coordinator].extend(closed.filter(|_| span > 0.0).map(middle));
        }
        if let Some(desk) = &mut self.desks[coordinator] {
            let _ = desk.report(self.now, &report);
            self.proxies[proxy].unanswered = None;
            self.proxies[proxy].waits.answered();
            self.wake_desk(coordinator);
        }
    }
}
