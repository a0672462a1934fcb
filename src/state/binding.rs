//! Proxies, their bindings, and the groups ranked by load for a binding that is to be made or moved.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::state::decay::DecayingSum;
use crate::state::group::Group;

/// A joined proxy and its bindings, one per class.
pub struct Proxy {
    pub zone: ZoneId,
    pub usual_rate: f64,
    pub joined_at: Nanos,
    pub bindings: Vec<Binding>,
}

/// One proxy's binding for one class.
#[derive(Clone, Debug, Default)]
pub struct Binding {
    /// Where the class may run for this proxy: an index in the list of placements.
    pub placement: usize,
    pub group: Option<usize>,
    /// The table that the proxy was last sent.
    pub sent_table: Option<TableId>,
    /// Its traffic over a long and over a short period.
    pub long_term_demand: DecayingSum,
    pub recent_demand: DecayingSum,
    /// Whether enough of its traffic was reported since the proxy joined.
    pub is_demand_known: bool,
}

/// A binding that may be moved: its traffic, its placement and its current group.
pub struct Candidate {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    pub class: usize,
    pub demand: f64,
    pub placement: usize,
    pub from: Option<usize>,
}

/// Groups in order of load. The key is the bit pattern of the load, which sorts as the load does, and the
/// group.
type Ranking = BTreeSet<(u64, usize)>;

/// The loads of the groups, and by placement and zone the open groups in order of load.
pub struct GroupLoads {
    pub weights: Vec<f64>,
    loads: Vec<f64>,
    rankings: Vec<BTreeMap<Option<ZoneId>, Ranking>>,
}

impl GroupLoads {
    /// Ranks the groups that are open under each placement.
    pub fn new(
        weights: &[f64],
        loads: Vec<f64>,
        placements: usize,
        groups: &[Group],
        is_open: &dyn Fn(usize, usize) -> bool,
    ) -> Self {
        let mut group_loads =
            GroupLoads { weights: weights.to_vec(), loads, rankings: vec![BTreeMap::new(); placements] };
        for placement in 0..placements {
            for group in (0..groups.len()).filter(|group| is_open(placement, *group)) {
                let key = group_loads.key(group);
                group_loads.rankings[placement].entry(groups[group].zone).or_default().insert(key);
            }
        }
        group_loads
    }

    /// Load per unit of weight.
    pub fn load(&self, group: usize) -> f64 {
        self.loads[group] / self.weights[group].max(1e-6)
    }

    fn key(&self, group: usize) -> (u64, usize) {
        (self.load(group).max(0.0).to_bits(), group)
    }

    /// Adds load to a group and updates its rankings.
    pub fn add(&mut self, group: usize, load: f64) {
        let old = self.key(group);
        self.loads[group] = (self.loads[group] + load).max(0.0);
        let new = self.key(group);
        for ranking in self.rankings.iter_mut().flat_map(BTreeMap::values_mut) {
            if ranking.remove(&old) {
                ranking.insert(new);
            }
        }
    }

    /// The least loaded open group of each zone, except for one group.
    pub fn least_loaded(
        &self,
        placement: usize,
        excluded: Option<usize>,
    ) -> impl Iterator<Item = (Option<ZoneId>, usize)> + '_ {
        let first = move |ranking: &Ranking| {
            ranking.iter().map(|(_, group)| *group).find(|group| Some(*group) != excluded)
        };
        self.rankings[placement].iter().filter_map(move |(zone, ranking)| Some((*zone, first(ranking)?)))
    }
}
