//! The figures of the status page, and of the coordinator's part in a shared fleet.

use craneknot::interface::Nanos;
use craneknot_fleet::member::Member;
use craneknot_fleet::MemberId;
use serde::Serialize;

use super::Engine;
use crate::session::{Session, State};

/// The figures of the status page.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Status {
    pub name: String,
    pub source: String,
    pub streams: usize,
    pub owing: usize,
    pub refusing: usize,
    pub servers: usize,
    pub roster_version: u64,
    pub tables: usize,
    /// Lines queued in the channel, their highest number so far, and the limit.
    pub channel_lines: f64,
    pub channel_most: f64,
    pub channel_limit: f64,
    /// Lines that have left the channel and wait for proxies with unacknowledged responses.
    pub held_lines: f64,
    pub messages: u64,
    pub lines: f64,
    /// Encoded texts of tables and levels, their bytes, and the bytes of all resources sent.
    pub texts: u64,
    pub bytes_made: u64,
    pub bytes_sent: u64,
    pub steps: u64,
    pub refusals: u64,
    pub reports_repeated: u64,
    pub reports_left_out: u64,
    /// From the decision to its acknowledgement, in ms: median, 99th percentile and maximum.
    pub decided_to_swapped_ms: Option<(f64, f64, f64)>,
    /// Present where coordinators share a fleet.
    pub shared: Option<Shared>,
}

/// This coordinator's state in a shared fleet.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Shared {
    pub role: String,
    pub term: u64,
    pub leader: Option<String>,
    /// The epoch of the newest committed view, and the members that share the proxies in it.
    pub epoch: u64,
    pub members: Vec<String>,
    pub alive: Vec<String>,
    /// The members that vote.
    pub voters: Vec<String>,
    /// The epoch of the lease, whether it is settled completely, and the lease's remaining time in ms.
    pub lease: Option<(u64, bool, f64)>,
    pub datagrams_sent: u64,
    pub saves: u64,
    pub sent_on: u64,
    /// Not sent, since proxies already held it when they joined: parts, lines, bytes.
    pub spared: (u64, f64, u64),
}

impl Engine {
    /// The present figures.
    pub fn status(&self, now: Nanos) -> Status {
        let (tables, texts, bytes_made) = self.resources.counts();
        let sessions = || self.streams.values().map(|stream| &stream.session);
        let count = |state| sessions().filter(|session| session.state() == state).count();
        let (reports_repeated, reports_left_out) = self.reports.skip_counts();
        Status {
            name: self.name.clone(),
            source: self.source.clone(),
            streams: self.streams.len(),
            owing: count(State::AwaitingAck),
            refusing: sessions().filter(|session| session.is_refused()).count(),
            servers: self.roster.servers(),
            roster_version: self.roster.version(),
            tables,
            channel_lines: self.channel.lines(),
            channel_most: self.channel.max_lines(),
            channel_limit: self.settings.channel_lines_limit,
            held_lines: sessions().map(Session::held_lines).sum(),
            messages: self.messages,
            lines: self.lines,
            texts,
            bytes_made,
            bytes_sent: self.bytes_sent,
            steps: self.step_count,
            refusals: self.rejections,
            reports_repeated,
            reports_left_out,
            shared: self.fleet.as_ref().map(|fleet| self.shared_status(fleet, now)),
            decided_to_swapped_ms: self.apply_delay_figures(),
        }
    }

    fn shared_status(&self, fleet: &Member, now: Nanos) -> Shared {
        Shared {
            role: format!("{:?}", fleet.role()).to_lowercase(),
            term: fleet.term(),
            leader: fleet.leader().map(MemberId::to_string),
            epoch: fleet.view().epoch.0,
            members: fleet.view().members.iter().map(MemberId::to_string).collect(),
            voters: fleet.voters().iter().map(MemberId::to_string).collect(),
            alive: fleet.alive().iter().map(MemberId::to_string).collect(),
            lease: fleet
                .lease()
                .map(|(epoch, settled, until)| (epoch.0, settled, (until - now).secs() * 1e3)),
            datagrams_sent: self.datagrams,
            saves: self.saves,
            sent_on: self.sent_on,
            spared: self.skipped,
        }
    }

    /// Median, 99th percentile and maximum of the delays from decision to acknowledgement, in ms.
    fn apply_delay_figures(&self) -> Option<(f64, f64, f64)> {
        let mut delays: Vec<Nanos> = self.apply_delays.iter().copied().collect();
        delays.sort();
        let millis_at = |share: f64| {
            let index = (delays.len() as f64 - 1.0) * share;
            delays.get(index as usize).map(|delay| delay.secs() * 1e3)
        };
        Some((millis_at(0.5)?, millis_at(0.99)?, millis_at(1.0)?))
    }
}
