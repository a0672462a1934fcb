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
use craneknot_platform::events::RelayEvent;

/// How often a proxy has come and gone.
type Count = u64;

fn is_joined(count: Count) -> bool {
    count % 2 == 1
}

/// What a stream has told of a proxy.
#[derive(Clone, Debug, Default)]
struct Entry {
    count: Count,
    /// How it joined last.
    joining: Option<RelayEvent>,
    /// When it was named as joined, and taken for a joining that another stream had told.
    assumed_at: Option<Nanos>,
    /// It was named by the stream's beginning, which tells no count.
    is_counted: bool,
    /// The stream that told more of it has ended: what this one tells next is news, or late.
    is_doubted: bool,
    /// When it last told a joining or leaving that was taken for one told before.
    repeated_at: Option<Nanos>,
}

/// What one stream has told.
#[derive(Clone, Debug)]
pub struct Account {
    /// The counts that were known when the stream was dialled.
    at_dial: BTreeMap<ProxyId, Count>,
    entries: BTreeMap<ProxyId, Entry>,
    /// It has told who stands: who is not named has left.
    is_settled: bool,
    /// Since when there are joinings that are assumed to be those that others told.
    assumed_since: Option<Nanos>,
}

impl Account {
    /// Whether something in it is in doubt.
    pub fn is_doubted(&self) -> bool {
        self.entries.values().any(|entry| entry.is_doubted)
    }

    /// Whether it has told who stands.
    pub fn is_settled(&self) -> bool {
        self.is_settled
    }

    /// Since when there are joinings that are assumed to be those that others told.
    pub fn assumed_since(&self) -> Option<Nanos> {
        self.assumed_since
    }

    /// Another stream has told all that happened up to a moment: where its count is higher, a proxy came and went before
    /// this stream began.
    pub fn confirm(&mut self, until: Nanos, other: &Account) {
        for (proxy, entry) in &mut self.entries {
            if entry.assumed_at.take_if(|at| *at <= until).is_none() {
                continue;
            }
            if !std::mem::replace(&mut entry.is_counted, true) {
                let told = other.count(*proxy);
                let is_same = is_joined(told) == is_joined(entry.count);
                entry.count = entry.count.max(if is_same { told } else { told.saturating_sub(1) });
            }
        }
        self.assumed_since = self.entries.values().filter_map(|entry| entry.assumed_at).min();
    }

    fn count(&self, proxy: ProxyId) -> Count {
        self.entries.get(&proxy).map_or(0, |entry| entry.count)
    }

    fn count_at_dial(&self, proxy: ProxyId) -> Count {
        self.at_dial.get(&proxy).copied().unwrap_or(0)
    }
}

/// The proxies that are told as joined.
#[derive(Debug, Default)]
pub struct Presence {
    counts: BTreeMap<ProxyId, Count>,
}

impl Presence {
    /// Whether a proxy is told as joined.
    pub fn is_joined(&self, proxy: ProxyId) -> bool {
        is_joined(self.count(proxy))
    }

    /// Proxies told as joined.
    pub fn joined(&self) -> usize {
        self.counts.values().filter(|count| is_joined(**count)).count()
    }

    fn count(&self, proxy: ProxyId) -> Count {
        self.counts.get(&proxy).copied().unwrap_or(0)
    }

    /// The account of a stream that is dialled now.
    pub fn open_account(&self) -> Account {
        Account {
            at_dial: self.counts.clone(),
            entries: BTreeMap::new(),
            is_settled: false,
            assumed_since: None,
        }
    }

    /// Whether a stream has told all that is known of a proxy, so that it would tell of its leaving.
    pub fn is_followed(&self, account: &Account, proxy: ProxyId) -> bool {
        account.count(proxy) == self.count(proxy)
    }

    /// A stream tells that a proxy has joined; `is_followed`: another stream would tell if it had left before.
    pub fn take_joined(
        &mut self,
        now: Nanos,
        account: &mut Account,
        joining: &RelayEvent,
        is_followed: bool,
        out: &mut Vec<RelayEvent>,
    ) {
        let proxy = joining.proxy();
        let is_first = !account.is_settled && !account.entries.contains_key(&proxy);
        let at_dial = account.count_at_dial(proxy);
        let entry = account.entries.entry(proxy).or_default();
        entry.joining = Some(joining.clone());
        entry.is_counted |= !is_first;
        // Who joins while it counts as joined has left in between.
        entry.count = if is_first { next_joined(at_dial) } else { next_joined(entry.count + 1) };
        entry.is_doubted |= is_first;
        if !self.follow(proxy, entry, is_followed, out) {
            entry.assumed_at = Some(now);
            entry.repeated_at = (!is_first).then_some(now);
            account.assumed_since.get_or_insert(now);
        }
    }

    /// A stream tells that a proxy has left; `is_followed`: as above.
    pub fn take_left(
        &mut self,
        now: Nanos,
        account: &mut Account,
        proxy: ProxyId,
        is_followed: bool,
        out: &mut Vec<RelayEvent>,
    ) {
        let Some(entry) = account.entries.get_mut(&proxy).filter(|entry| is_joined(entry.count)) else {
            return;
        };
        entry.count += 1;
        if !self.follow(proxy, entry, is_followed, out) {
            entry.repeated_at = Some(now);
        }
        entry.assumed_at = None;
    }

    /// Tells what a stream has told; false: it is known.
    fn follow(
        &mut self,
        proxy: ProxyId,
        entry: &mut Entry,
        is_followed: bool,
        out: &mut Vec<RelayEvent>,
    ) -> bool {
        let told = out.len();
        if std::mem::take(&mut entry.is_doubted) && !is_followed {
            self.believe(proxy, entry, out);
        } else {
            self.advance(proxy, entry.count, entry.joining.as_ref(), out);
        }
        out.len() > told
    }

    /// Tells what is new, if the count goes beyond what is known.
    fn advance(
        &mut self,
        proxy: ProxyId,
        count: Count,
        joining: Option<&RelayEvent>,
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
        out.extend(joining.filter(|_| is_joined(count)).cloned());
    }

    /// A stream has told who stands: those it has not named have left, unless one of the others follows them; its
    /// beginning may come in pieces.
    pub fn settle(&mut self, account: &mut Account, others: &[&Account], out: &mut Vec<RelayEvent>) {
        account.is_settled = true;
        let known: Vec<ProxyId> = self.counts.keys().copied().collect();
        for proxy in known {
            if account.entries.contains_key(&proxy) {
                continue;
            }
            let at_dial = account.count_at_dial(proxy);
            let count = at_dial + u64::from(is_joined(at_dial));
            let is_doubted =
                count > self.count(proxy) && others.iter().any(|other| self.is_followed(other, proxy));
            account.entries.insert(proxy, Entry { count, is_counted: true, is_doubted, ..Entry::default() });
            if !is_doubted {
                self.advance(proxy, count, None, out);
            }
        }
    }

    /// No other stream can tell whether those that a stream has named came and went before: they are told as joined anew.
    pub fn join_assumed_anew(&mut self, account: &mut Account, out: &mut Vec<RelayEvent>) {
        account.assumed_since = None;
        for (proxy, entry) in &mut account.entries {
            if entry.assumed_at.take().is_some() {
                self.believe(*proxy, entry, out);
            }
        }
    }

    /// Believes a stream that may have missed some of a proxy's comings and goings. What others told counts as told, so
    /// that a stream that is late with it does not seem to be ahead.
    fn believe(&mut self, proxy: ProxyId, entry: &mut Entry, out: &mut Vec<RelayEvent>) {
        let known = self.count(proxy).max(entry.count);
        let changes = is_joined(known) != is_joined(entry.count);
        entry.count = known + u64::from(changes);
        entry.is_counted = true;
        if self.count(proxy) < entry.count {
            self.advance(proxy, entry.count, entry.joining.as_ref(), out);
        } else if is_joined(entry.count) {
            out.push(RelayEvent::Left { proxy });
            out.extend(entry.joining.clone());
        }
    }

    /// A stream has ended: what none of those that remain has told yet is in doubt, and so is what one of them has told
    /// since a moment and was taken for a repetition, which nobody can tell any more.
    pub fn doubt(&self, remaining: &mut [&mut Account], since: Nanos) {
        for account in remaining.iter_mut().filter(|account| account.is_settled) {
            for (proxy, entry) in &mut account.entries {
                let is_repeated = entry.repeated_at.take().is_some_and(|at| at >= since);
                // A leaving that was left to the stream which followed the proxy.
                let is_ahead = entry.count > self.count(*proxy);
                entry.is_doubted |= is_repeated || is_ahead;
            }
        }
        for (proxy, known) in &self.counts {
            if remaining.iter().any(|account| account.count(*proxy) >= *known) {
                continue;
            }
            for account in remaining.iter_mut().filter(|account| account.is_settled) {
                account.entries.entry(*proxy).or_default().is_doubted = true;
            }
        }
    }

    /// What is still in doubt, though a stream has had the time to tell it, is as that stream says.
    pub fn end_doubt(
        &mut self,
        account: &mut Account,
        is_followed: impl Fn(&Self, ProxyId) -> bool,
        out: &mut Vec<RelayEvent>,
    ) {
        for (proxy, entry) in &mut account.entries {
            if std::mem::take(&mut entry.is_doubted) && !is_followed(self, *proxy) {
                self.believe(*proxy, entry, out);
            }
        }
    }
}

/// The first count from this one on that means joined.
fn next_joined(count: Count) -> Count {
    count + u64::from(!is_joined(count))
}
