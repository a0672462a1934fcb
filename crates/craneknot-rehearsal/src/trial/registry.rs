//! The list of servers as discovery holds it, and what each coordinator has been told of it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::deployment::{server_id, zone_of_server, COORDINATORS, SERVERS, ZONES};
use super::release::{Phase, ServerChange};

const LAST_RELEASE: Duration = Duration::from_secs(1_800); // before the trial: all servers started then
/// By then whatever discovery has to tell counts as told, whether it arrived or not.
pub const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);

/// One server as listed.
#[derive(Clone, Debug)]
pub struct Entry {
    pub phase: Phase,
    /// The version of the list that brought this.
    pub version: u64,
    /// When it last started, in milliseconds since 1970.
    pub started: u64,
    /// When the list changed so.
    pub changed: Option<Instant>,
}

/// How discovery answers a coordinator for now.
#[derive(Clone, Copy, Debug, Default)]
pub struct DiscoveryBehaviour {
    pub delay: Duration,
    pub full_lists: bool,
    pub silent: bool,
}

/// News of a server for one coordinator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    pub coordinator: usize,
    pub server: usize,
    pub is_ready: bool,
}

/// The list.
pub struct Registry {
    entries: Vec<Entry>,
    version: u64,
    /// By coordinator and server: the version that it counts as told, and whether it was written to it.
    notified: Vec<Vec<u64>>,
    /// By coordinator: the list as it was last written to it.
    written: Vec<Vec<Entry>>,
    /// By coordinator.
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

    /// The servers as listed.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Servers change in one version; those that are ready started at that time, in milliseconds since 1970.
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

    /// The list as JSON: whole, or what changed after a version.
    pub fn list(&self, after: Option<u64>) -> String {
        let listed = self.entries.iter().enumerate().filter(|(_, entry)| match after {
            Some(version) => entry.version > version,
            None => entry.phase != Phase::Gone,
        });
        list_json(self.version, after.is_none(), listed)
    }

    /// The list as JSON, as a coordinator last had it.
    pub fn last_written_list(&self, coordinator: usize) -> String {
        let entries = &self.written[coordinator];
        let version = entries.iter().map(|entry| entry.version).max().unwrap_or(0);
        let listed = entries.iter().enumerate().filter(|(_, entry)| entry.phase != Phase::Gone);
        list_json(version, true, listed)
    }

    /// The list as it stands now was written to a coordinator; what is news to it.
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

    /// What counts as told by now though it was never written, to coordinators that run since those times.
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

    /// The places of servers, by identifier.
    pub fn server_indices() -> BTreeMap<String, usize> {
        (0..SERVERS).map(|server| (server_id(server), server)).collect()
    }
}
