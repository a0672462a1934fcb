//! What a list of servers that came is worth: torn, stale, contradictory or suddenly short lists.
//!
//! A file of servers is JSON: `{"version": 12, "servers": [{"address": "127.0.0.1:9001", "zone": "north", "kind":
//! "small", "cell": 1, "weight": 1.5, "started": 1764600000.5, "state": "up"}]}`. `started` is in seconds since the
//! Unix epoch (left out: long ago), `state` is `up` or `draining`; a server that is gone is left out.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use craneknot::interface::*;
use craneknot_settings::Names;
use serde::{Deserialize, Serialize};

const SHORT: f64 = 0.75; // share of servers gone at one go from which a list is doubted: a registry begun anew
const SERVERS_MOST: usize = 20_000; // in one list: more than any deployment

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ServerState {
    Up,
    Draining,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    pub address: String,
    pub zone: String,
    #[serde(default)]
    pub kind: String,
    #[serde(default)]
    pub cell: i64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started: Option<f64>,
    pub state: ServerState,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Roster {
    pub version: u64,
    pub servers: Vec<Entry>,
}

/// Why a list is not taken.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterError {
    Unreadable(String),
    Stale {
        version: u64,
        held: u64,
    },
    /// Most of the servers are gone at one go: believed only if it still stands at the moment told.
    Short {
        left: usize,
        held: usize,
        until: Nanos,
    },
}

impl fmt::Display for RosterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RosterError::Unreadable(cause) => write!(f, "cannot be read: {cause}"),
            RosterError::Stale { version, held } => write!(f, "version {version} is older than {held}"),
            RosterError::Short { left, held, .. } => {
                write!(f, "only {left} of {held} servers are left; waiting")
            }
        }
    }
}

/// A list that was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidatedRoster {
    pub event: Event,
    /// What was set right, in words.
    pub notes: Vec<String>,
    pub changed: usize,
}

pub struct RosterValidator {
    held: Option<BTreeMap<ServerId, Listing>>,
    version: u64,
    /// How long a short list is doubted: within the grace for drains, which it may tell of.
    doubt: Nanos,
    doubted: Option<(u64, Nanos)>,
}

impl RosterValidator {
    pub fn new(drain_grace: Nanos) -> Self {
        RosterValidator { held: None, version: 0, doubt: Nanos(drain_grace.0 / 2), doubted: None }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn servers(&self) -> usize {
        self.held.as_ref().map_or(0, BTreeMap::len)
    }

    pub fn zone_of(&self, server: &ServerId) -> Option<ZoneId> {
        self.held.as_ref()?.get(server).map(|listing| listing.zone)
    }

    /// When a doubted list must be read again.
    pub fn next_at(&self) -> Option<Nanos> {
        self.doubted.map(|(_, until)| until)
    }

    /// Takes the list as this coordinator kept it before it started.
    pub fn remember(
        &mut self,
        now: Nanos,
        text: &[u8],
        names: &mut Names,
    ) -> Result<ValidatedRoster, RosterError> {
        let (roster, mut notes) = read(text)?;
        let servers = listings(now, &roster, names, &mut notes);
        let entries: Arc<[Listing]> = servers.values().cloned().collect();
        let changed = entries.len();
        self.held = Some(servers);
        Ok(ValidatedRoster { event: Event::List { scope: ListScope::Remembered, entries }, notes, changed })
    }

    /// The source gave nothing of use: a doubted list is looked at again later.
    pub fn put_off(&mut self, now: Nanos) {
        if let Some((_, until)) = &mut self.doubted {
            *until = now + self.doubt;
        }
    }

    /// Takes what a source gave.
    pub fn take(
        &mut self,
        now: Nanos,
        text: &[u8],
        names: &mut Names,
    ) -> Result<ValidatedRoster, RosterError> {
        let taken = self.weigh(now, text, names);
        if matches!(taken, Err(RosterError::Unreadable(_) | RosterError::Stale { .. })) {
            self.put_off(now);
        }
        taken
    }

    fn weigh(&mut self, now: Nanos, text: &[u8], names: &mut Names) -> Result<ValidatedRoster, RosterError> {
        let (roster, mut notes) = read(text)?;
        if roster.version < self.version {
            return Err(RosterError::Stale { version: roster.version, held: self.version });
        }
        let servers = listings(now, &roster, names, &mut notes);
        if let Some(held) = &self.held {
            let lost = held.keys().filter(|server| !servers.contains_key(*server)).count();
            if !held.is_empty() && lost as f64 >= SHORT * held.len() as f64 {
                let until = match self.doubted {
                    Some((version, until)) if version == roster.version => until,
                    Some(_) | None => now + self.doubt,
                };
                if now < until {
                    self.doubted = Some((roster.version, until));
                    return Err(RosterError::Short { left: held.len() - lost, held: held.len(), until });
                }
                notes.push(format!("{lost} servers are gone, and the list still says so: believed"));
            }
        }
        self.doubted = None;
        self.version = roster.version;
        let event = match &self.held {
            None => Event::List { scope: ListScope::Whole, entries: servers.values().cloned().collect() },
            Some(held) => {
                let news = servers.values().filter(|entry| held.get(&entry.server) != Some(entry)).cloned();
                let gone = held.values().filter(|entry| !servers.contains_key(&entry.server));
                let gone = gone.map(|entry| Listing { readiness: Readiness::Removed, ..entry.clone() });
                Event::List { scope: ListScope::Changes, entries: news.chain(gone).collect() }
            }
        };
        let changed = match &event {
            Event::List { entries, .. } => entries.len(),
            _ => 0,
        };
        self.held = Some(servers);
        Ok(ValidatedRoster { event, notes, changed })
    }
}

fn read(text: &[u8]) -> Result<(Roster, Vec<String>), RosterError> {
    let roster: Roster =
        serde_json::from_slice(text).map_err(|cause| RosterError::Unreadable(cause.to_string()))?;
    if roster.servers.len() > SERVERS_MOST {
        return Err(RosterError::Unreadable(format!("more than {SERVERS_MOST} servers")));
    }
    Ok((roster, Vec::new()))
}

/// The servers by name. Where one is listed twice, what keeps the rules wins: draining over up, the later start.
fn listings(
    now: Nanos,
    roster: &Roster,
    names: &mut Names,
    notes: &mut Vec<String>,
) -> BTreeMap<ServerId, Listing> {
    let mut servers: BTreeMap<ServerId, Listing> = BTreeMap::new();
    for entry in &roster.servers {
        if entry.address.rsplit_once(':').is_none_or(|(_, port)| port.parse::<u16>().is_err()) {
            notes.push(format!("{:?} is no address:port: left out", entry.address));
            continue;
        }
        let mut started = entry.started.filter(|at| at.is_finite() && *at > 0.0).map(Nanos::from_secs);
        // Its clock is ahead of ours, or ours is behind: it can have started now at the latest, and long ago as well.
        let is_start_certain = started.is_none_or(|started| started <= now);
        if !is_start_certain {
            notes.push(format!("{} starts in the future: its age is not known", entry.address));
            started = Some(now);
        }
        let server = ServerId(Arc::from(entry.address.as_str()));
        let listing = Listing {
            server: server.clone(),
            zone: names.zone(&entry.zone),
            kind: names.kind(&entry.kind),
            cell: CellId(entry.cell),
            weight: entry.weight.filter(|weight| weight.is_finite() && *weight > 0.0),
            started,
            is_start_certain,
            readiness: match entry.state {
                ServerState::Up => Readiness::Ready,
                ServerState::Draining => Readiness::Draining,
            },
        };
        match servers.get_mut(&server) {
            None => {
                servers.insert(server, listing);
            }
            Some(first) => {
                notes.push(format!("{} is listed twice: draining and the later start win", entry.address));
                if listing.readiness == Readiness::Draining {
                    first.readiness = Readiness::Draining;
                }
                first.started = first.started.max(listing.started);
                first.is_start_certain &= listing.is_start_certain;
            }
        }
    }
    servers
}

#[cfg(test)]
mod tests {
    use super::*;

    fn list(version: u64, servers: impl Iterator<Item = u16>) -> Vec<u8> {
        let entry = |port| Entry {
            address: format!("127.0.0.1:{port}"),
            zone: "north".into(),
            kind: "small".into(),
            cell: 0,
            weight: Some(1.0),
            started: None,
            state: ServerState::Up,
        };
        serde_json::to_vec(&Roster { version, servers: servers.map(entry).collect() }).unwrap()
    }

    fn judge() -> (RosterValidator, Names) {
        let (mut judge, mut names) = (RosterValidator::new(Nanos::from_millis(2_000)), Names::default());
        let taken = judge.take(Nanos(1), &list(5, 1..=10), &mut names).unwrap();
        assert!(
            matches!(&taken.event, Event::List { scope: ListScope::Whole, entries } if entries.len() == 10)
        );
        (judge, names)
    }

    #[test]
    fn news_are_told_as_changes() {
        let (mut judge, mut names) = judge();
        let taken = judge.take(Nanos(2), &list(6, 2..=11), &mut names).unwrap();
        let Event::List { scope: ListScope::Changes, entries } = &taken.event else { panic!("{taken:?}") };
        let told: Vec<_> = entries.iter().map(|entry| (&*entry.server.0, entry.readiness)).collect();
        assert_eq!(told, [("127.0.0.1:11", Readiness::Ready), ("127.0.0.1:1", Readiness::Removed)]);
    }

    #[test]
    fn torn_and_stale_lists_are_refused_and_the_held_one_stays() {
        let (mut judge, mut names) = judge();
        let text = list(6, 1..=3);
        for end in 0..text.len() {
            let refusal = judge.take(Nanos(2), &text[..end], &mut names).unwrap_err();
            assert!(matches!(refusal, RosterError::Unreadable(_)), "{end}");
        }
        let stale = judge.take(Nanos(2), &list(4, 1..=10), &mut names);
        assert_eq!(stale, Err(RosterError::Stale { version: 4, held: 5 }));
        assert_eq!((judge.servers(), judge.version()), (10, 5));
    }

    /// A registry that begins anew is empty for a moment; a real loss is told within the grace for drains.
    #[test]
    fn a_list_suddenly_short_is_believed_only_if_it_stands() {
        let (mut judge, mut names) = judge();
        let second = Nanos::from_millis(1_000);
        let refusal = judge.take(second, &list(6, 1..=2), &mut names).unwrap_err();
        assert_eq!(refusal, RosterError::Short { left: 2, held: 10, until: second + second });
        assert!(judge.take(second, &list(7, 1..=10), &mut names).is_ok());
        assert_eq!(judge.next_at(), None);
        judge.take(second, &list(8, 0..0), &mut names).unwrap_err();
        judge.take(second + Nanos(1), &list(8, 0..0), &mut names).unwrap_err();
        let taken = judge.take(second + second, &list(8, 0..0), &mut names).unwrap();
        assert_eq!((taken.changed, judge.servers()), (10, 0));
    }

    #[test]
    fn contradictions_are_settled_by_what_keeps_the_rules() {
        let (mut judge, mut names) = judge();
        let text = br#"{"version": 9, "servers": [
            {"address": "127.0.0.1:1", "zone": "north", "state": "draining"},
            {"address": "127.0.0.1:1", "zone": "north", "state": "up", "started": 5.0},
            {"address": "127.0.0.1:2", "zone": "north", "state": "up", "started": 900.0},
            {"address": "127.0.0.1:3", "zone": "north", "state": "up", "weight": -1},
            {"address": "nowhere", "zone": "north", "state": "up"}]}"#;
        let now = Nanos::from_millis(60_000);
        judge.take(now, text, &mut names).unwrap();
        let held = judge.held.unwrap();
        let of = |port: u16| &held[&ServerId(Arc::from(format!("127.0.0.1:{port}").as_str()))];
        assert_eq!((of(1).readiness, of(1).started), (Readiness::Draining, Some(Nanos::from_millis(5_000))));
        assert_eq!((of(2).started, of(3).weight, held.len()), (Some(now), None, 3));
    }
}
