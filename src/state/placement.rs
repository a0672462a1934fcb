//! Where classes may run.

use crate::interface::*;

/// Where a class may run; empty: anywhere.
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

/// What differs by class: a row a class.
pub struct ClassRow {
    pub importance: f64,
    pub placement: Placement,
    pub home_only: bool,
}
