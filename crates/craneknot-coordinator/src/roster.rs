//! Validation of server lists: truncated, stale, contradictory or suddenly short lists.
//!
//! A file of servers is JSON: `{"version": 12, "servers": [{"address": "127.0.0.1:9001", "zone": "north",
//! "kind": "small", "cell": 1, "weight": 1.5, "started": 1764600000.5, "state": "up"}]}`. `started` is in
//! seconds since the Unix epoch (omitted: long ago), `state` is `up` or `draining`; a removed server is
//! omitted.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use craneknot::interface::*;
use craneknot_settings::Names;
use serde::{Deserialize, Serialize};

const SHRINK_THRESHOLD: f64 = 0.75; // share of missing servers that needs confirmation: a registry restart
const MAX_SERVERS: usize = 20_000; // more than any deployment has

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

/// Why a list is rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum RosterError {
    Unreadable(String),
    Stale {
        version: u64,
        current: u64,
    },
    /// Most servers are missing at once: accepted only if the list is unchanged at `until`.
    Shrunk {
        remaining: usize,
        current: usize,
        until: Nanos,
    },
}

impl fmt::Display for RosterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RosterError::Unreadable(cause) => write!(f, "cannot be read: {cause}"),
            RosterError::Stale { version, current } => {
                write!(f, "version {version} is older than the current version {current}")
            }
            RosterError::Shrunk { remaining, current, .. } => {
                write!(f, "only {remaining} of {current} servers are left; waiting for confirmation")
            }
        }
    }
}

/// A list that was accepted.
#[derive(Clone, Debug, PartialEq)]
pub struct ValidatedRoster {
    pub event: Event,
    /// Descriptions of what was corrected in the list.
    pub notes: Vec<String>,
    pub changed: usize,
}

/// Holds the current server list and decides whether a new one replaces it.
pub struct RosterValidator {
    current: Option<BTreeMap<ServerId, Listing>>,
    version: u64,
    /// How long a suddenly short list stays unconfirmed: less than the drain grace, since it may announce
    /// drains.
    confirmation_delay: Nanos,
    unconfirmed: Option<(u64, Nanos)>,
}

impl RosterValidator {
    pub fn new(drain_grace: Nanos) -> Self {
        RosterValidator {
            current: None,
            version: 0,
            confirmation_delay: Nanos(drain_grace.0 / 2),
            unconfirmed: None,
        }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn servers(&self) -> usize {
        self.current.as_ref().map_or(0, BTreeMap::len)
    }

    pub fn zone_of(&self, server: &ServerId) -> Option<ZoneId> {
        self.current.as_ref()?.get(server).map(|listing| listing.zone)
    }

    /// When an unconfirmed list must be read again.
    pub fn next_at(&self) -> Option<Nanos> {
        self.unconfirmed.map(|(_, until)| until)
    }

    /// Loads the list that this coordinator saved before its start.
    pub fn load_saved(
        &mut self,
        now: Nanos,
        text: &[u8],
        names: &mut Names,
    ) -> Result<ValidatedRoster, RosterError> {
        let (roster, mut notes) = read(text)?;
        let servers = listings(now, &roster, names, &mut notes);
        let entries: Arc<[Listing]> = servers.values().cloned().collect();
        let changed = entries.len();
        self.current = Some(servers);
        Ok(ValidatedRoster { event: Event::List { scope: ListScope::Remembered, entries }, notes, changed })
    }

    /// The source returned nothing usable: an unconfirmed list is checked again later.
    pub fn postpone_recheck(&mut self, now: Nanos) {
        if let Some((_, until)) = &mut self.unconfirmed {
            *until = now + self.confirmation_delay;
        }
    }

    /// Validates a list from the source and makes it the current one.
    pub fn update(
        &mut self,
        now: Nanos,
        text: &[u8],
        names: &mut Names,
    ) -> Result<ValidatedRoster, RosterError> {
        let accepted = self.validate(now, text, names);
        if matches!(accepted, Err(RosterError::Unreadable(_) | RosterError::Stale { .. })) {
            self.postpone_recheck(now);
        }
        accepted
    }

    fn validate(
        &mut self,
        now: Nanos,
        text: &[u8],
        names: &mut Names,
    ) -> Result<ValidatedRoster, RosterError> {
        let (roster, mut notes) = read(text)?;
        if roster.version < self.version {
            return Err(RosterError::Stale { version: roster.version, current: self.version });
        }
        let servers = listings(now, &roster, names, &mut notes);
        if let Some(current) = &self.current {
            let removed_count = current.keys().filter(|server| !servers.contains_key(*server)).count();
            if !current.is_empty() && removed_count as f64 >= SHRINK_THRESHOLD * current.len() as f64 {
                let until = match self.unconfirmed {
                    Some((version, until)) if version == roster.version => until,
                    Some(_) | None => now + self.confirmation_delay,
                };
                if now < until {
                    self.unconfirmed = Some((roster.version, until));
                    return Err(RosterError::Shrunk {
                        remaining: current.len() - removed_count,
                        current: current.len(),
                        until,
                    });
                }
                notes.push(format!(
                    "accepted the removal of {removed_count} servers after the confirmation delay"
                ));
            }
        }
        self.unconfirmed = None;
        self.version = roster.version;
        let event = match &self.current {
            None => Event::List { scope: ListScope::Whole, entries: servers.values().cloned().collect() },
            Some(current) => {
                let changed_entries =
                    servers.values().filter(|entry| current.get(&entry.server) != Some(entry)).cloned();
                let removed = current.values().filter(|entry| !servers.contains_key(&entry.server));
                let removed = removed.map(|entry| Listing { readiness: Readiness::Removed, ..entry.clone() });
                Event::List { scope: ListScope::Changes, entries: changed_entries.chain(removed).collect() }
            }
        };
        let changed = match &event {
            Event::List { entries, .. } => entries.len(),
            _ => 0,
        };
        self.current = Some(servers);
        Ok(ValidatedRoster { event, notes, changed })
    }
}

fn read(text: &[u8]) -> Result<(Roster, Vec<String>), RosterError> {
    let roster: Roster =
        serde_json::from_slice(text).map_err(|cause| RosterError::Unreadable(cause.to_string()))?;
    if roster.servers.len() > MAX_SERVERS {
        return Err(RosterError::Unreadable(format!("more than {MAX_SERVERS} servers")));
    }
    Ok((roster, Vec::new()))
}

/// The listed servers. Of duplicate entries the safer values win: draining over up, and the later start.
fn listings(
    now: Nanos,
    roster: &Roster,
    names: &mut Names,
    notes: &mut Vec<String>,
) -> BTreeMap<ServerId, Listing> {
    let mut servers: BTreeMap<ServerId, Listing> = BTreeMap::new();
    for entry in &roster.servers {
        if entry.address.rsplit_once(':').is_none_or(|(_, port)| port.parse::<u16>().is_err()) {
            notes.push(format!("{:?} is not address:port; entry ignored", entry.address));
            continue;
        }
        let mut started = entry.started.filter(|at| at.is_finite() && *at > 0.0).map(Nanos::from_secs);
        // The clocks differ: the server started now at the latest, but possibly long ago.
        let is_start_certain = started.is_none_or(|started| started <= now);
        if !is_start_certain {
            notes.push(format!("{} has a start time in the future; its age is unknown", entry.address));
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
                notes.push(format!(
                    "{} is listed twice; draining and the later start take precedence",
                    entry.address
                ));
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

    fn validator() -> (RosterValidator, Names) {
        let (mut validator, mut names) = (RosterValidator::new(Nanos::from_millis(2_000)), Names::default());
        let accepted = validator.update(Nanos(1), &list(5, 1..=10), &mut names).unwrap();
        assert!(
            matches!(&accepted.event, Event::List { scope: ListScope::Whole, entries } if entries.len() == 10)
        );
        (validator, names)
    }

    #[test]
    fn a_newer_list_is_reported_as_changes() {
        let (mut validator, mut names) = validator();
        let accepted = validator.update(Nanos(2), &list(6, 2..=11), &mut names).unwrap();
        let Event::List { scope: ListScope::Changes, entries } = &accepted.event else {
            panic!("{accepted:?}")
        };
        let reported: Vec<_> = entries.iter().map(|entry| (&*entry.server.0, entry.readiness)).collect();
        assert_eq!(reported, [("127.0.0.1:11", Readiness::Ready), ("127.0.0.1:1", Readiness::Removed)]);
    }

    #[test]
    fn truncated_and_stale_lists_are_rejected_and_the_current_one_stays() {
        let (mut validator, mut names) = validator();
        let text = list(6, 1..=3);
        for end in 0..text.len() {
            let refusal = validator.update(Nanos(2), &text[..end], &mut names).unwrap_err();
            assert!(matches!(refusal, RosterError::Unreadable(_)), "{end}");
        }
        let stale = validator.update(Nanos(2), &list(4, 1..=10), &mut names);
        assert_eq!(stale, Err(RosterError::Stale { version: 4, current: 5 }));
        assert_eq!((validator.servers(), validator.version()), (10, 5));
    }

    /// A restarting registry is briefly empty; a real loss is still reported within the drain grace.
    #[test]
    fn a_suddenly_short_list_is_accepted_only_if_it_is_confirmed() {
        let (mut validator, mut names) = validator();
        let second = Nanos::from_millis(1_000);
        let refusal = validator.update(second, &list(6, 1..=2), &mut names).unwrap_err();
        assert_eq!(refusal, RosterError::Shrunk { remaining: 2, current: 10, until: second + second });
        assert!(validator.update(second, &list(7, 1..=10), &mut names).is_ok());
        assert_eq!(validator.next_at(), None);
        validator.update(second, &list(8, 0..0), &mut names).unwrap_err();
        validator.update(second + Nanos(1), &list(8, 0..0), &mut names).unwrap_err();
        let accepted = validator.update(second + second, &list(8, 0..0), &mut names).unwrap();
        assert_eq!((accepted.changed, validator.servers()), (10, 0));
    }

    #[test]
    fn contradictory_entries_resolve_to_the_safer_values() {
        let (mut validator, mut names) = validator();
        let text = br#"{"version": 9, "servers": [
            {"address": "127.0.0.1:1", "zone": "north", "state": "draining"},
            {"address": "127.0.0.1:1", "zone": "north", "state": "up", "started": 5.0},
            {"address": "127.0.0.1:2", "zone": "north", "state": "up", "started": 900.0},
            {"address": "127.0.0.1:3", "zone": "north", "state": "up", "weight": -1},
            {"address": "nowhere", "zone": "north", "state": "up"}]}"#;
        let now = Nanos::from_millis(60_000);
        validator.update(now, text, &mut names).unwrap();
        let current = validator.current.unwrap();
        let of = |port: u16| &current[&ServerId(Arc::from(format!("127.0.0.1:{port}").as_str()))];
        assert_eq!((of(1).readiness, of(1).started), (Readiness::Draining, Some(Nanos::from_millis(5_000))));
        assert_eq!((of(2).started, of(3).weight, current.len()), (Some(now), None, 3));
    }
}
