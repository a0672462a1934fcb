//! Which proxies are joined, according to several event streams that report joins and leaves, each with its
//! own delay.
//!
//! The joins and leaves of a proxy are counted together; an odd count means joined. For each stream it is
//! known up to which count it has reported a proxy. Reports of the stream that is ahead are applied at once; what
//! another stream reports later is recognised by its count and not passed on again.
//!
//! A stream begins with a snapshot of the joined proxies, which does not state how often they have joined. A
//! join in it is assumed to be the one that was known when the stream was dialled. If the stream that could
//! have reported another join ends too early, the proxy is reported as joined again, because its bindings end
//! with its stream.

use std::collections::BTreeMap;

use craneknot::interface::{Nanos, ProxyId};
use craneknot_platform::events::RelayEvent;

/// The number of joins and leaves of a proxy.
type ChangeCount = u64;

fn is_joined(count: ChangeCount) -> bool {
    count % 2 == 1
}

/// What a stream has reported of a proxy.
#[derive(Clone, Debug, Default)]
struct Entry {
    count: ChangeCount,
    /// Its last join.
    join_event: Option<RelayEvent>,
    /// When the stream reported a join that was assumed to be one that another stream had reported.
    assumed_at: Option<Nanos>,
    /// False for a proxy known from the snapshot at the stream's beginning only, which carries no count.
    is_count_known: bool,
    /// A stream that had reported more of the proxy has ended: the next report of this one is new, or late.
    is_uncertain: bool,
    /// When the stream last reported a join or leave that was taken for a repetition.
    repeated_at: Option<Nanos>,
}

/// What one stream has reported.
#[derive(Clone, Debug)]
pub struct StreamView {
    /// The counts that were known when the stream was dialled.
    counts_at_dial: BTreeMap<ProxyId, ChangeCount>,
    entries: BTreeMap<ProxyId, Entry>,
    /// The snapshot has been received: proxies not named in it have left.
    is_snapshot_complete: bool,
    /// The time of the oldest join that is assumed to be one that another stream reported.
    assumed_since: Option<Nanos>,
}

impl StreamView {
    /// Whether the report on any proxy is uncertain.
    pub fn is_uncertain(&self) -> bool {
        self.entries.values().any(|entry| entry.is_uncertain)
    }

    /// Whether the snapshot has been received.
    pub fn is_snapshot_complete(&self) -> bool {
        self.is_snapshot_complete
    }

    /// The time of the oldest join that is assumed to be one that another stream reported.
    pub fn assumed_since(&self) -> Option<Nanos> {
        self.assumed_since
    }

    /// Another stream has reported everything up to a time: where its count is higher, a proxy left and
    /// joined again before this stream began.
    pub fn confirm(&mut self, complete_until: Nanos, other: &StreamView) {
        for (proxy, entry) in &mut self.entries {
            if entry.assumed_at.take_if(|at| *at <= complete_until).is_none() {
                continue;
            }
            if !std::mem::replace(&mut entry.is_count_known, true) {
                let other_count = other.count(*proxy);
                let agrees = is_joined(other_count) == is_joined(entry.count);
                entry.count =
                    entry.count.max(if agrees { other_count } else { other_count.saturating_sub(1) });
            }
        }
        self.assumed_since = self.entries.values().filter_map(|entry| entry.assumed_at).min();
    }

    fn count(&self, proxy: ProxyId) -> ChangeCount {
        self.entries.get(&proxy).map_or(0, |entry| entry.count)
    }

    fn count_at_dial(&self, proxy: ProxyId) -> ChangeCount {
        self.counts_at_dial.get(&proxy).copied().unwrap_or(0)
    }
}

/// The proxies reported as joined.
#[derive(Debug, Default)]
pub struct Presence {
    counts: BTreeMap<ProxyId, ChangeCount>,
}

impl Presence {
    /// Whether a proxy is reported as joined.
    pub fn is_joined(&self, proxy: ProxyId) -> bool {
        is_joined(self.count(proxy))
    }

    /// Number of proxies reported as joined.
    pub fn joined_count(&self) -> usize {
        self.counts.values().filter(|count| is_joined(**count)).count()
    }

    fn count(&self, proxy: ProxyId) -> ChangeCount {
        self.counts.get(&proxy).copied().unwrap_or(0)
    }

    /// The initial view of a stream that is dialled now.
    pub fn new_view(&self) -> StreamView {
        StreamView {
            counts_at_dial: self.counts.clone(),
            entries: BTreeMap::new(),
            is_snapshot_complete: false,
            assumed_since: None,
        }
    }

    /// Whether a stream has reported all that is known of a proxy, so that it would report its leaving.
    pub fn is_tracked(&self, view: &StreamView, proxy: ProxyId) -> bool {
        view.count(proxy) == self.count(proxy)
    }

    /// A stream reports that a proxy has joined. `is_tracked`: another stream would have reported an earlier
    /// leave.
    pub fn apply_joined(
        &mut self,
        now: Nanos,
        view: &mut StreamView,
        join_event: &RelayEvent,
        is_tracked: bool,
        out: &mut Vec<RelayEvent>,
    ) {
        let proxy = join_event.proxy();
        let is_first = !view.is_snapshot_complete && !view.entries.contains_key(&proxy);
        let count_at_dial = view.count_at_dial(proxy);
        let entry = view.entries.entry(proxy).or_default();
        entry.join_event = Some(join_event.clone());
        entry.is_count_known |= !is_first;
        // A proxy that joins while it counts as joined must have left in between.
        entry.count =
            if is_first { next_joined_count(count_at_dial) } else { next_joined_count(entry.count + 1) };
        entry.is_uncertain |= is_first;
        if !self.merge(proxy, entry, is_tracked, out) {
            entry.assumed_at = Some(now);
            entry.repeated_at = (!is_first).then_some(now);
            view.assumed_since.get_or_insert(now);
        }
    }

    /// A stream reports that a proxy has left. `is_tracked`: as for `apply_joined`.
    pub fn apply_left(
        &mut self,
        now: Nanos,
        view: &mut StreamView,
        proxy: ProxyId,
        is_tracked: bool,
        out: &mut Vec<RelayEvent>,
    ) {
        let Some(entry) = view.entries.get_mut(&proxy).filter(|entry| is_joined(entry.count)) else {
            return;
        };
        entry.count += 1;
        if !self.merge(proxy, entry, is_tracked, out) {
            entry.repeated_at = Some(now);
        }
        entry.assumed_at = None;
    }

    /// Passes on what a stream has reported. Returns false if it was known.
    fn merge(
        &mut self,
        proxy: ProxyId,
        entry: &mut Entry,
        is_tracked: bool,
        out: &mut Vec<RelayEvent>,
    ) -> bool {
        let length_before = out.len();
        if std::mem::take(&mut entry.is_uncertain) && !is_tracked {
            self.adopt(proxy, entry, out);
        } else {
            self.advance_to(proxy, entry.count, entry.join_event.as_ref(), out);
        }
        out.len() > length_before
    }

    /// Passes on what is new, if the count exceeds the known one.
    fn advance_to(
        &mut self,
        proxy: ProxyId,
        count: ChangeCount,
        join_event: Option<&RelayEvent>,
        out: &mut Vec<RelayEvent>,
    ) {
        let known = self.counts.entry(proxy).or_default();
        if count <= *known {
            return;
        }
        let was_joined = is_joined(*known);
        *known = count;
        if was_joined {
            out.push(RelayEvent::Left { proxy });
        }
        out.extend(join_event.filter(|_| is_joined(count)).cloned());
    }

    /// A stream's snapshot is complete: proxies not named in it have left, unless another stream tracks them,
    /// since the snapshot may arrive in pieces.
    pub fn complete_snapshot(
        &mut self,
        view: &mut StreamView,
        others: &[&StreamView],
        out: &mut Vec<RelayEvent>,
    ) {
        view.is_snapshot_complete = true;
        let known: Vec<ProxyId> = self.counts.keys().copied().collect();
        for proxy in known {
            if view.entries.contains_key(&proxy) {
                continue;
            }
            let count_at_dial = view.count_at_dial(proxy);
            let count = count_at_dial + u64::from(is_joined(count_at_dial));
            let is_uncertain =
                count > self.count(proxy) && others.iter().any(|other| self.is_tracked(other, proxy));
            view.entries
                .insert(proxy, Entry { count, is_count_known: true, is_uncertain, ..Entry::default() });
            if !is_uncertain {
                self.advance_to(proxy, count, None, out);
            }
        }
    }

    /// No other stream can tell whether the proxies named by a stream left and joined again before: they are
    /// reported as joined again.
    pub fn rejoin_assumed(&mut self, view: &mut StreamView, out: &mut Vec<RelayEvent>) {
        view.assumed_since = None;
        for (proxy, entry) in &mut view.entries {
            if entry.assumed_at.take().is_some() {
                self.adopt(*proxy, entry, out);
            }
        }
    }

    /// Accepts the state reported by a stream that may have missed some joins and leaves of a proxy. The
    /// reports of other streams are counted in, so that a stream that reports them late does not seem to be
    /// ahead.
    fn adopt(&mut self, proxy: ProxyId, entry: &mut Entry, out: &mut Vec<RelayEvent>) {
        let known = self.count(proxy).max(entry.count);
        let is_changed = is_joined(known) != is_joined(entry.count);
        entry.count = known + u64::from(is_changed);
        entry.is_count_known = true;
        if self.count(proxy) < entry.count {
            self.advance_to(proxy, entry.count, entry.join_event.as_ref(), out);
        } else if is_joined(entry.count) {
            out.push(RelayEvent::Left { proxy });
            out.extend(entry.join_event.clone());
        }
    }

    /// A stream has ended. What it reported and no remaining stream has reported yet becomes uncertain. So
    /// does what a remaining stream has reported since `since` and was taken for a repetition, because no
    /// stream can confirm that any more.
    pub fn mark_uncertain(&self, remaining: &mut [&mut StreamView], since: Nanos) {
        for view in remaining.iter_mut().filter(|view| view.is_snapshot_complete) {
            for (proxy, entry) in &mut view.entries {
                let is_repeated = entry.repeated_at.take().is_some_and(|at| at >= since);
                // A leave that was not passed on because another stream tracked the proxy.
                let is_ahead = entry.count > self.count(*proxy);
                entry.is_uncertain |= is_repeated || is_ahead;
            }
        }
        for (proxy, known) in &self.counts {
            if remaining.iter().any(|view| view.count(*proxy) >= *known) {
                continue;
            }
            for view in remaining.iter_mut().filter(|view| view.is_snapshot_complete) {
                view.entries.entry(*proxy).or_default().is_uncertain = true;
            }
        }
    }

    /// A stream has had time to report what is still uncertain: its state is accepted.
    pub fn resolve_uncertain(
        &mut self,
        view: &mut StreamView,
        is_tracked: impl Fn(&Self, ProxyId) -> bool,
        out: &mut Vec<RelayEvent>,
    ) {
        for (proxy, entry) in &mut view.entries {
            if std::mem::take(&mut entry.is_uncertain) && !is_tracked(self, *proxy) {
                self.adopt(*proxy, entry, out);
            }
        }
    }
}

/// The lowest count, not below the given one, that means joined.
fn next_joined_count(count: ChangeCount) -> ChangeCount {
    count + u64::from(!is_joined(count))
}
