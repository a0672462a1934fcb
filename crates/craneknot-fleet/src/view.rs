//! Views: the coordinators that share the proxies among them, numbered by epochs.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::MemberId;

/// Numbers views; an order of an older epoch is never followed after one of a newer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch(pub u64);

/// The coordinators that share the proxies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    pub epoch: Epoch,
    pub members: BTreeSet<MemberId>,
}

impl View {
    /// The one in charge of a proxy, by rendezvous hashing (Thaler and Ravishankar, 1998): where a member goes, only its
    /// proxies move.
    pub fn owner_of(&self, proxy: &str) -> Option<&MemberId> {
        let seed = xxh3_64_with_seed(proxy.as_bytes(), 0);
        self.members.iter().max_by_key(|member| (xxh3_64_with_seed(member.0.as_bytes(), seed), *member))
    }
}

/// The newest view, and the one before it: who might still act on that must be waited for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    pub before: View,
    pub view: View,
    /// Those that vote; nothing: as the first settings had it.
    #[serde(default)]
    pub voters: Option<BTreeSet<MemberId>>,
}

impl History {
    /// These share the proxies from now on, in an epoch later than the last and than `above`.
    pub fn share(&mut self, members: BTreeSet<MemberId>, above: Epoch) {
        let epoch = Epoch(self.view.epoch.max(above).0 + 1);
        self.before = std::mem::replace(&mut self.view, View { epoch, members });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn view(names: &[&str]) -> View {
        View { epoch: Epoch(1), members: names.iter().map(|name| MemberId::new(name)).collect() }
    }

    #[test]
    fn proxies_are_shared_evenly_and_only_those_of_the_lost_move() {
        let (all, less) = (view(&["a", "b", "c"]), view(&["a", "c"]));
        let mut counts = std::collections::BTreeMap::new();
        for number in 0..3_000 {
            let proxy = format!("proxy-{number}");
            let owner = all.owner_of(&proxy).unwrap().clone();
            if owner != MemberId::new("b") {
                assert_eq!(less.owner_of(&proxy), Some(&owner));
            }
            *counts.entry(owner).or_insert(0) += 1;
        }
        assert!(counts.values().all(|count| (900..1_100).contains(count)), "{counts:?}");
        assert_eq!(view(&[]).owner_of("p"), None);
    }
}
