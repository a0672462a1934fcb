//! The engine's part in a fleet that several coordinators share: membership, and who is responsible for which
//! proxy.

use craneknot::interface::Nanos;
use craneknot_fleet::member::{self, Member, Ownership};
use craneknot_fleet::raft::{PersistentState, Role};
use craneknot_fleet::view::Epoch;
use craneknot_fleet::wire::Datagram;
use craneknot_fleet::MemberId;
use craneknot_settings::CoordinatorSettings;
use craneknot_xds::discovery::epoch_of;

use super::{Engine, Output, StreamId};

/// How long a stream may stay open without a coordinator known to be responsible for it; another one may
/// serve its proxy.
const OWNER_UNKNOWN_TIMEOUT: Nanos = Nanos::from_millis(1_000);

impl Engine {
    /// Shares the fleet with other coordinators from now on; `saved` is the state that an earlier process
    /// saved.
    pub fn join_fleet(
        &mut self,
        settings: &CoordinatorSettings,
        saved: PersistentState,
        seed: u64,
        now: Nanos,
    ) {
        let Some(shared) = &settings.shared else { return };
        let members = shared.members.iter().map(|member| MemberId::new(&member.name)).collect();
        // Placements within a proxy's own zone are numbered in order of arrival, so coordinators number their
        // tables differently.
        if !settings.fleet.classes.iter().any(|class| class.home_only) {
            self.resources.set_source("fleet".to_owned());
        }
        let timing = member::Timing::from_lease(shared.lease.0, shared.drift);
        // The date in milliseconds: higher than that of any earlier process, and refuted by the members where
        // it is not.
        let incarnation = now.0 / 1_000_000;
        let me = MemberId::new(&settings.name);
        self.fleet = Some(Member::new(me, &members, timing, saved, incarnation, seed, now));
    }

    /// Sets the members that the settings name from now on.
    pub fn set_members(&mut self, now: Nanos, names: impl Iterator<Item = String>) {
        if let Some(fleet) = &mut self.fleet {
            fleet.set_members(now, &names.map(|name| MemberId::new(&name)).collect());
        }
    }

    /// Notes a version that a proxy followed according to the store: no order of ours may have an older
    /// epoch.
    pub fn note_followed_version(&mut self, version: &str) {
        if let Some(fleet) = &mut self.fleet {
            fleet.observe_epoch(Epoch(epoch_of(version)));
        }
    }

    /// Handles a datagram from another coordinator.
    pub fn handle_datagram(&mut self, now: Nanos, text: &[u8]) -> Result<(), String> {
        let datagram = Datagram::decode(text)?;
        let outputs = self.fleet.as_mut().map(|fleet| fleet.handle(now, datagram));
        self.apply_fleet_outputs(outputs.unwrap_or_default());
        Ok(())
    }

    fn apply_fleet_outputs(&mut self, outputs: Vec<member::Output>) {
        for output in outputs {
            match output {
                member::Output::Save(saved) => {
                    self.saves += 1;
                    self.outputs.push(Output::SaveFleetState(saved));
                }
                member::Output::Send(to, datagram) => {
                    self.datagrams += 1;
                    self.outputs.push(Output::Datagram { to: to.to_string(), text: datagram.encode() });
                }
                // Which streams may be sent to has changed.
                member::Output::OwnershipChanged => {
                    self.checked_epoch = None;
                    self.ready_streams.extend(self.streams.keys());
                }
            }
        }
    }

    /// Who is responsible for a proxy now, and the epoch in which orders may be sent to it.
    pub(super) fn ownership(&self, now: Nanos, proxy: &str) -> Ownership {
        self.fleet.as_ref().map_or(Ownership::Owned(Epoch(0)), |fleet| fleet.ownership(now, proxy))
    }

    /// Redirects streams of proxies that another coordinator is responsible for, and closes those whose
    /// coordinator stays unknown.
    pub(super) fn check_stream_owners(&mut self, now: Nanos) {
        let Some(fleet) = &mut self.fleet else { return };
        let steps = fleet.tick(now);
        self.apply_fleet_outputs(steps);
        // Responsibility changes only with the view and the lease; each check costs a hash per stream.
        let view = self.fleet.as_ref().map(|fleet| fleet.view().epoch);
        if self.unowned_streams == 0 && view.is_some() && self.checked_epoch == view {
            return;
        }
        (self.checked_epoch, self.unowned_streams) = (view, 0);
        for id in self.streams.keys().copied().collect::<Vec<StreamId>>() {
            let ownership = self.ownership(now, self.proxy_name(id));
            let Some(stream) = self.streams.get_mut(&id) else { continue };
            match ownership {
                Ownership::Owned(_) => stream.owner_unknown_since = None,
                Ownership::OwnedBy(to) => {
                    self.sent_on += 1;
                    self.outputs.push(Output::Redirect { stream: id, to: to.to_string() });
                    self.end_stream(now, id);
                }
                Ownership::Unknown => {
                    self.unowned_streams += 1;
                    let since = *stream.owner_unknown_since.get_or_insert(now);
                    if now - since >= OWNER_UNKNOWN_TIMEOUT {
                        let cause = "no coordinator is known to be responsible for its proxy".to_owned();
                        self.outputs.push(Output::CloseStream { stream: id, cause });
                        self.end_stream(now, id);
                    }
                }
            }
        }
    }

    /// The term in which this coordinator leads a shared fleet, or `None` if it does not lead.
    pub fn leader_term(&self) -> Option<u64> {
        let fleet = self.fleet.as_ref()?;
        (fleet.role() == Role::Leader).then(|| fleet.term())
    }
}
