//! Which proxies are joined, where several event streams tell of their joining and leaving, each with a delay of its own.
//!
//! A proxy's joinings and leavings are counted: an odd count means joined. Each stream has an account of how far it has
//! told a proxy's count, and whichever stream is ahead is believed at once. What another one tells later is known by
//! its count, and not told twice.
//!
//! A stream begins with who stands, not with how often they came. It is taken to tell the joining that was known when it
//! was dialled, which is marked as assumed: if the stream that could have told of another ends too early, the proxy is
//! told as joined anew, since a binding ends with a proxy's stream.

use std::collections::BTreeMap;

use craneknot::interface::{Nanos, ProxyId};
use craneknot_platform::news::News;

/// How often a proxy has come and gone.
type ChangeCount = u64;

fn is_joined(count: ChangeCount) -> bool {
    count % 2 == 1
}

/// What a stream has told of a proxy.
#[derive(Clone, Debug, Default)]
struct Entry {
    count: ChangeCount,
    /// How it joined last.
    joining: Option<News>,
    /// When it was named as joined, and taken for a joining that another stream had told.
    assumed_at: Option<Nanos>,
    /// It was named by the stream's beginning, which tells no count.
    is_count_known: bool,
    /// The stream that told more of it has ended: what this one tells next is news, or late.
    is_uncertain: bool,
    /// When it last told a joining or leaving that was taken for one told before.
    repeated_at: Option<Nanos>,
}

/// What one stream has told.
#[derive(Clone, Debug)]
pub struct StreamView {
    /// The counts that were known when the stream was dialled.
    counts_at_dial: BTreeMap<ProxyId, ChangeCount>,
    entries: BTreeMap<ProxyId, Entry>,
    /// It has told who stands: who is not named has left.
    is_snapshot_complete: bool,
    /// Since when there are joinings that are assumed to be those that others told.
    assumed_since: Option<Nanos>,
}

impl StreamView {
    /// Whether something in it is in doubt.
    pub fn is_uncertain(&self) -> bool {
        self.entries.values().any(|entry| entry.is_uncertain)
    }

    /// Whether it has told who stands.
    pub fn is_snapshot_complete(&self) -> bool {
        self.is_snapshot_complete
    }

    /// Since when there are joinings that are assumed to be those that others told.
    pub fn assumed_since(&self) -> Option<Nanos> {
        self.assumed_since
    }

    /// Another stream has told all that happened up to a moment: where its count is higher, a proxy came and went before
    /// this stream began.
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

/// The proxies that are told as joined.
#[derive(Debug, Default)]
pub struct Presence {
    counts: BTreeMap<ProxyId, ChangeCount>,
}

impl Presence {
    /// Whether a proxy is told as joined.
    pub fn is_joined(&self, proxy: ProxyId) -> bool {
        is_joined(self.count(proxy))
    }

    /// Proxies told as joined.
    pub fn joined_count(&self) -> usize {
        self.counts.values().filter(|count| is_joined(**count)).count()
    }

    fn count(&self, proxy: ProxyId) -> ChangeCount {
        self.counts.get(&proxy).copied().unwrap_or(0)
    }

    /// The account of a stream that is dialled now.
    pub fn new_view(&self) -> StreamView {
        StreamView {
            counts_at_dial: self.counts.clone(),
            entries: BTreeMap::new(),
            is_snapshot_complete: false,
            assumed_since: None,
        }
    }

    /// Whether a stream has told all that is known of a proxy, so that it would tell of its leaving.
    pub fn is_tracked(&self, view: &StreamView, proxy: ProxyId) -> bool {
        view.count(proxy) == self.count(proxy)
    }

    /// A stream tells that a proxy has joined; `is_followed`: another stream would tell if it had left before.
    pub fn apply_joined(
        &mut self,
        now: Nanos,
        view: &mut StreamView,
        joining: &News,
        is_tracked: bool,
        out: &mut Vec<News>,
    ) {
        let proxy = joining.proxy();
        let is_first = !view.is_snapshot_complete && !view.entries.contains_key(&proxy);
        let count_at_dial = view.count_at_dial(proxy);
        let entry = view.entries.entry(proxy).or_default();
        entry.joining = Some(joining.clone());
        entry.is_count_known |= !is_first;
        // Who joins while it counts as joined has left in between.
        entry.count =
            if is_first { next_joined_count(count_at_dial) } else { next_joined_count(entry.count + 1) };
        entry.is_uncertain |= is_first;
        if !self.merge(proxy, entry, is_tracked, out) {
            entry.assumed_at = Some(now);
            entry.repeated_at = (!is_first).then_some(now);
            view.assumed_since.get_or_insert(now);
        }
    }

    /// A stream tells that a proxy has left; `is_followed`: as above.
    pub fn apply_left(
        &mut self,
        now: Nanos,
        view: &mut StreamView,
        proxy: ProxyId,
        is_tracked: bool,
        out: &mut Vec<News>,
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

    /// Tells what a stream has told; false: it is known.
    fn merge(&mut self, proxy: ProxyId, entry: &mut Entry, is_tracked: bool, out: &mut Vec<News>) -> bool {
        let length_before = out.len();
        if std::mem::take(&mut entry.is_uncertain) && !is_tracked {
            self.adopt(proxy, entry, out);
        } else {
            self.advance_to(proxy, entry.count, entry.joining.as_ref(), out);
        }
        out.len() > length_before
    }

    /// Tells what is new, if the count goes beyond what is known.
    fn advance_to(
        &mut self,
        proxy: ProxyId,
        count: ChangeCount,
        joining: Option<&News>,
        out: &mut Vec<News>,
    ) {
        let known = self.counts.entry(proxy).or_default();
        if count <= *known {
            return;
        }
        let was_joined = is_joined(*known);
        *known = count;
        if was_joined {
            out.push(News::Left { proxy });
        }
        out.extend(joining.filter(|_| is_joined(count)).cloned());
    }

    /// A stream has told who stands: those it has not named have left, unless one of the others follows them; its
    /// beginning may come in pieces.
    pub fn complete_snapshot(&mut self, view: &mut StreamView, others: &[&StreamView], out: &mut Vec<News>) {
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

    /// No other stream can tell whether those that a stream has named came and went before: they are told as joined anew.
    pub fn rejoin_assumed(&mut self, view: &mut StreamView, out: &mut Vec<News>) {
        view.assumed_since = None;
        for (proxy, entry) in &mut view.entries {
            if entry.assumed_at.take().is_some() {
                self.adopt(*proxy, entry, out);
            }
        }
    }

    /// Believes a stream that may have missed some of a proxy's comings and goings. What others told counts as told, so
    /// that a stream that is late with it does not seem to be ahead.
    fn adopt(&mut self, proxy: ProxyId, entry: &mut Entry, out: &mut Vec<News>) {
        let known = self.count(proxy).max(entry.count);
        let is_changed = is_joined(known) != is_joined(entry.count);
        entry.count = known + u64::from(is_changed);
        entry.is_count_known = true;
        if self.count(proxy) < entry.count {
            self.advance_to(proxy, entry.count, entry.joining.as_ref(), out);
        } else if is_joined(entry.count) {
            out.push(News::Left { proxy });
            out.extend(entry.joining.clone());
        }
    }

    /// A stream has ended: what none of those that remain has told yet is in doubt, and so is what one of them has told
    /// since a moment and was taken for a repetition, which nobody can tell any more.
    pub fn mark_uncertain(&self, remaining: &mut [&mut StreamView], since: Nanos) {
        for view in remaining.iter_mut().filter(|view| view.is_snapshot_complete) {
            for (proxy, entry) in &mut view.entries {
                let is_repeated = entry.repeated_at.take().is_some_and(|at| at >= since);
                // A leaving that was left to the stream which followed the proxy.
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

    /// What is still in doubt, though a stream has had the time to tell it, is as that stream says.
    pub fn resolve_uncertain(
        &mut self,
        view: &mut StreamView,
        is_tracked: impl Fn(&Self, ProxyId) -> bool,
        out: &mut Vec<News>,
    ) {
        for (proxy, entry) in &mut view.entries {
            if std::mem::take(&mut entry.is_uncertain) && !is_tracked(self, *proxy) {
                self.adopt(*proxy, entry, out);
            }
        }
    }
}

/// The first count from this one on that means joined.
fn next_joined_count(count: ChangeCount) -> ChangeCount {
    count + u64::from(!is_joined(count))
}
