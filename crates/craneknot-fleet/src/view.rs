//! Views: sets of coordinators that the proxies are partitioned among, numbered by epochs.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::MemberId;

/// Number of a view. A proxy that has followed an order of one epoch rejects orders of older ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// The coordinators that the proxies are partitioned among.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub epoch: Epoch,
    pub members: BTreeSet<MemberId>,
}

impl View {
    /// The coordinator that owns a proxy, by rendezvous hashing (Thaler and Ravishankar, 1998): when a member is removed,
    /// only its proxies move.
    pub fn owner_of(&self, proxy: &str) -> Option<&MemberId> {
        let seed = xxh3_64_with_seed(proxy.as_bytes(), 0);
        self.members.iter().max_by_key(|member| (xxh3_64_with_seed(member.0.as_bytes(), seed), *member))
    }
}

/// The latest view and the one before it, whose members may still hold leases that have to end first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    #[serde(rename = "before")]
    pub previous_view: View,
    pub view: View,
    /// The voters; `None`: the members in the settings of the first start.
    #[serde(default)]
    pub voters: Option<BTreeSet<MemberId>>,
}

impl History {
    /// Starts a view of these members, with an epoch later than the current one and than `above`.
    pub fn advance_view(&mut self, members: BTreeSet<MemberId>, above: Epoch) {
        let epoch = Epoch(self.view.epoch.max(above).0 + 1);
        self.previous_view = std::mem::replace(&mut self.view, View { epoch, members });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view(names: &[&str]) -> View {
        View { epoch: Epoch(1), members: names.iter().map(|name| MemberId::new(name)).collect() }
    }

    #[test]
    fn proxies_are_partitioned_evenly_and_only_those_of_a_removed_member_move() {
        let (all, without_b) = (view(&["a", "b", "c"]), view(&["a", "c"]));
        let mut counts = std::collections::BTreeMap::new();
        for number in 0..3_000 {
            let proxy = format!("proxy-{number}");
            let owner = all.owner_of(&proxy).unwrap().clone();
            if owner != MemberId::new("b") {
                assert_eq!(without_b.owner_of(&proxy), Some(&owner));
            }
            *counts.entry(owner).or_insert(0) += 1;
        }
        assert!(counts.values().all(|count| (900..1_100).contains(count)), "{counts:?}");
        assert_eq!(view(&[]).owner_of("p"), None);
    }
}
