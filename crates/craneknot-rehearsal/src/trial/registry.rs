//! Discovery's list of servers, and the versions that each coordinator has been notified of.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::deployment::{server_id, zone_of_server, COORDINATORS, SERVERS, ZONES};
use super::release::{Phase, ServerChange};

const LAST_RELEASE: Duration = Duration::from_secs(1_800); // before the trial; the start time of all servers
/// After this time a coordinator counts as notified of a change, whether the notification arrived or not.
pub const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);

/// The entry of one server in the list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub phase: Phase,
    /// The version of the list with the last change of this entry.
    pub version: u64,
    /// When the server last started, in milliseconds since 1970.
    pub started: u64,
    /// When the entry last changed.
    pub changed: Option<Instant>,
}

/// How discovery currently answers a coordinator.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryBehaviour {
    pub delay: Duration,
    pub full_lists: bool,
    pub silent: bool,
}

/// A notification of one coordinator about the state of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    pub coordinator: usize,
    pub server: usize,
    pub is_ready: bool,
}

/// The list of servers, with the state of each coordinator.
pub struct Registry {
    entries: Vec<Entry>,
    version: u64,
    /// By coordinator and server: the version that the coordinator counts as notified of, whether it was written to it or
    /// not.
    notified: Vec<Vec<u64>>,
    /// By coordinator: the list as last written to it.
    written: Vec<Vec<Entry>>,
    /// By coordinator: how discovery answers it.
    pub behaviours: Vec<DiscoveryBehaviour>,
}

fn phase_text(phase: Phase) -> &'static str {
    match phase {
        Phase::Ready => "SERVING",
        Phase::Draining => "DRAINING",
        Phase::Gone => "DELETED",
    }
}

fn entry_json(server: usize, entry: &Entry) -> String {
    format!(
        "{{\"id\":\"{}\",\"host_port\":\"127.0.0.1:1\",\"locality\":\"{}\",\"flavor\":\"m2\",\"cell\":0,\
         \"phase\":\"{}\",\"size\":1.0,\"up_since_ms\":{}}}",
        server_id(server),
        ZONES[zone_of_server(server)],
        phase_text(entry.phase),
        entry.started
    )
}

fn list_json<'a>(version: u64, complete: bool, entries: impl Iterator<Item = (usize, &'a Entry)>) -> String {
    let members: Vec<String> = entries.map(|(server, entry)| entry_json(server, entry)).collect();
    format!("{{\"revision\":{version},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

/// Now, in milliseconds since 1970.
pub fn unix_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Default for Registry {
    fn default() -> Self {
        let started = unix_millis().saturating_sub(LAST_RELEASE.as_millis() as u64);
        let entry = Entry { phase: Phase::Ready, version: 1, started, changed: None };
        let entries = vec![entry; SERVERS];
        Registry {
            notified: vec![vec![1; SERVERS]; COORDINATORS],
            written: vec![entries.clone(); COORDINATORS],
            behaviours: vec![DiscoveryBehaviour::default(); COORDINATORS],
            entries,
            version: 1,
        }
    }
}

impl Registry {
    /// The version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The entries of the list.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Changes servers in one version; those that are ready started at the given time, in milliseconds since 1970.
    pub fn change(&mut self, changes: &[ServerChange], started: u64) {
        self.version += 1;
        for change in changes {
            let entry = &mut self.entries[change.server];
            entry.phase = change.phase;
            entry.version = self.version;
            entry.changed = Some(Instant::now());
            if change.phase == Phase::Ready {
                entry.started = started;
            }
        }
    }

    /// The list as JSON: in full, or the changes after a version.
    pub fn list(&self, after: Option<u64>) -> String {
        let listed = self.entries.iter().enumerate().filter(|(_, entry)| match after {
            Some(version) => entry.version > version,
            None => entry.phase != Phase::Gone,
        });
        list_json(self.version, after.is_none(), listed)
    }

    /// The list as last written to a coordinator, as JSON.
    pub fn last_written_list(&self, coordinator: usize) -> String {
        let entries = &self.written[coordinator];
        let version = entries.iter().map(|entry| entry.version).max().unwrap_or(0);
        let listed = entries.iter().enumerate().filter(|(_, entry)| entry.phase != Phase::Gone);
        list_json(version, true, listed)
    }

    /// Records that the list was written to a coordinator; returns the changes that were new to it.
    pub fn record_written(&mut self, coordinator: usize, entries: Vec<Entry>) -> Vec<Notice> {
        let notices = entries.iter().enumerate().filter_map(|(server, entry)| {
            let notified = &mut self.notified[coordinator][server];
            let is_new = entry.version > *notified;
            *notified = (*notified).max(entry.version);
            is_new.then_some(Notice { coordinator, server, is_ready: entry.phase == Phase::Ready })
        });
        let notices = notices.collect();
        self.written[coordinator] = entries;
        notices
    }

    /// Returns the changes that coordinators, running since the given times, count as notified of though they were never
    /// written.
    pub fn take_overdue(&mut self, running_since: &[Option<Instant>]) -> Vec<Notice> {
        let mut notices = Vec::new();
        for (coordinator, notified) in self.notified.iter_mut().enumerate() {
            let Some(started) = running_since[coordinator] else { continue };
            for (server, entry) in self.entries.iter().enumerate() {
                let is_due =
                    entry.changed.is_some_and(|changed| changed.max(started).elapsed() >= NOTIFIED_WITHIN);
                if is_due && entry.version > notified[server] {
                    notified[server] = entry.version;
                    notices.push(Notice { coordinator, server, is_ready: entry.phase == Phase::Ready });
                }
            }
        }
        notices
    }

    /// The indices of servers, by identifier.
    pub fn server_indices() -> BTreeMap<String, usize> {
        (0..SERVERS).map(|server| (server_id(server), server)).collect()
    }
}
