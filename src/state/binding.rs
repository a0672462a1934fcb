//! Proxies, their bindings, and the groups ranked by load for a binding that is to be made or moved.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::*;
use crate::state::decay::DecayingSum;
use crate::state::group::Group;

pub struct Proxy {
    pub zone: ZoneId,
    pub usual_rate: f64,
    pub joined_at: Nanos,
    pub bindings: Vec<Binding>,
}

/// One proxy's binding for one class.
#[derive(Clone, Debug, Default)]
pub struct Binding {
    /// Where the class may run for this proxy: a place in the list of placements.
    pub placement: usize,
    pub group: Option<usize>,
    pub sent_table: Option<TableId>,
    /// Its traffic as it lasts, and as it is now.
    pub long_term_demand: DecayingSum,
    pub recent_demand: DecayingSum,
    pub is_demand_known: bool,
}

/// A binding looked at for a move: its traffic, where it may go and where it is.
pub struct Candidate {
    pub proxy: ProxyId,
    pub zone: ZoneId,
    pub class: usize,
    pub demand: f64,
    pub placement: usize,
    pub from: Option<usize>,
}

/// Groups in order of load: its bits, which sort as it does, and the group.
type Ranking = BTreeSet<(u64, usize)>;

/// The groups' loads, and for each placement and zone its open groups in order of load.
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
        places: usize,
        groups: &[Group],
        open: &dyn Fn(usize, usize) -> bool,
    ) -> Self {
        let mut group_loads =
            GroupLoads { weights: weights.to_vec(), loads, rankings: vec![BTreeMap::new(); places] };
        for place in 0..places {
            for group in (0..groups.len()).filter(|group| open(place, *group)) {
                let key = group_loads.key(group);
                group_loads.rankings[place].entry(groups[group].zone).or_default().insert(key);
            }
        }
        group_loads
    }

    /// Load over weight.
    pub fn load(&self, group: usize) -> f64 {
        self.loads[group] / self.weights[group].max(1e-6)
    }

    fn key(&self, group: usize) -> (u64, usize) {
        (self.load(group).max(0.0).to_bits(), group)
    }

    /// Adds load to a group; its ranks follow.
    pub fn add(&mut self, group: usize, load: f64) {
        let old = self.key(group);
        self.loads[group] = (self.loads[group] + load).max(0.0);
        let new = self.key(group);
        for ranks in self.rankings.iter_mut().flat_map(BTreeMap::values_mut) {
            if ranks.remove(&old) {
                ranks.insert(new);
            }
        }
    }

    /// The least loaded open group of each zone, but for one.
    pub fn least_loaded(
        &self,
        place: usize,
        but: Option<usize>,
    ) -> impl Iterator<Item = (Option<ZoneId>, usize)> + '_ {
        let first =
            move |ranks: &Ranking| ranks.iter().map(|(_, group)| *group).find(|group| Some(*group) != but);
        self.rankings[place].iter().filter_map(move |(zone, ranks)| Some((*zone, first(ranks)?)))
    }
}
