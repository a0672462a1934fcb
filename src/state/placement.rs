//! Where classes may run.

use crate::interface::*;

/// Where a class may run; an empty list allows all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Placement {
    pub zones: Vec<ZoneId>,
    pub kinds: Vec<KindId>,
}

impl Placement {
    pub fn allows(&self, listing: &Listing) -> bool {
        (self.zones.is_empty() || self.zones.contains(&listing.zone))
            && (self.kinds.is_empty() || self.kinds.contains(&listing.kind))
    }
}

/// The settings of one class that the decisions depend on.
pub struct ClassRules {
    pub importance: f64,
    pub placement: Placement,
    /// It runs only in the proxy's own zone.
    pub home_only: bool,
}
