//! The best split of the work over the servers, by a linear program (`good_lp` on `microlp`).
//!
//! Servers of one zone that the same classes may run on are a pool: what is best for one is best for all, in proportion to
//! their capacities, so that the program grows with zones and classes and not with servers. Within a pool load costs more the
//! fuller it is, in straight steps: waits grow with fill. Crossings cost by pair of zones. What does not fit is shed, of the
//! least important class first, and said.

use std::collections::BTreeMap;

use good_lp::{constraint, variable, variables, Expression, Solution, SolverModel, Variable};
use serde::{Deserialize, Serialize};

/// Fills of a pool between which a unit of load costs the same, and how often a service time it waits there: the slope of
/// `fill * wait`, with the wait `fill^2 / (1 - fill^2)` of two cores. Steps are small where servers mostly are, so that few
/// plans cost the same.
pub const FILLS: [(f64, f64); 11] = [
    (0.0, 0.01),
    (0.1, 0.07),
    (0.2, 0.21),
    (0.3, 0.46),
    (0.4, 0.91),
    (0.5, 1.7),
    (0.6, 3.3),
    (0.7, 7.5),
    (0.8, 24.0),
    (0.9, 99.0),
    (0.95, 300.0),
];
const SHED: f64 = 1_000.0; // cost of an operation that is shed, for a unit of importance: above all waits and crossings
const SERVED: f64 = 1e-6; // operations a second under which a flow is rounding

/// A class of operations.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub importance: f64,
    /// Places of the only zones it may run in; empty: any.
    pub only_zones: Vec<usize>,
    /// The only kinds; empty: any.
    pub only_kinds: Vec<u16>,
    /// It runs in the proxy's own zone alone.
    pub home_only: bool,
}

/// A server that may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    pub zone: usize,
    pub kind: u16,
    /// Operations a second that it may be filled with now.
    pub capacity: f64,
}

/// What is to be split.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub zones: usize,
    pub classes: Vec<Class>,
    pub servers: Vec<Server>,
    /// Operations a second by zone of the proxies and class.
    pub demand: Vec<Vec<f64>>,
    /// Cost of an operation that crosses, by zone of the proxy and of the server, in service times.
    pub crossing: Vec<Vec<f64>>,
}

/// Why something is shed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Binding {
    /// No server at all where the class may run.
    NoServer { class: usize },
    /// The servers where these classes may run are full.
    Full { zone: usize, classes: Vec<usize> },
}

/// One pool: servers of a zone that the same classes may run on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Pool {
    pub zone: usize,
    pub classes: Vec<usize>,
    pub servers: Vec<usize>,
    pub capacity: f64,
    /// Operations a second that it is given.
    pub load: f64,
}

impl Pool {
    pub fn fill(&self) -> f64 {
        if self.capacity > 0.0 {
            self.load / self.capacity
        } else {
            0.0
        }
    }
}

/// The split.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    pub pools: Vec<Pool>,
    /// Operations a second from a zone's proxies, of a class, to a pool.
    pub flows: Vec<(usize, usize, usize, f64)>,
    /// Operations a second that are shed, by zone and class.
    pub shed: Vec<Vec<f64>>,
    pub cost: Cost,
    pub bindings: Vec<Binding>,
}

/// Cost a second, by what makes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    pub crossing: f64,
    pub waits: f64,
    pub shed: f64,
}

impl Cost {
    pub fn sum(&self) -> f64 {
        self.crossing + self.waits + self.shed
    }
}

/// What a load costs a server or pool of a capacity, a second: the steps of [`FILLS`].
pub fn wait_cost(load: f64, capacity: f64) -> f64 {
    let mut cost = 0.0;
    for (place, (from, price)) in FILLS.iter().enumerate() {
        let to = FILLS.get(place + 1).map_or(1.0, |next| next.0);
        cost += price * (load - from * capacity).clamp(0.0, (to - from) * capacity);
    }
    cost
}

impl Fleet {
    /// Whether a class of a zone's proxies may run on a server.
    pub fn allows(&self, zone: usize, class: usize, server: &Server) -> bool {
        let rules = &self.classes[class];
        (rules.only_zones.is_empty() || rules.only_zones.contains(&server.zone))
            && (rules.only_kinds.is_empty() || rules.only_kinds.contains(&server.kind))
            && (!rules.home_only || zone == server.zone)
    }

    fn pools(&self) -> Vec<Pool> {
        let mut pools: BTreeMap<(usize, Vec<usize>), Pool> = BTreeMap::new();
        for (place, server) in self.servers.iter().enumerate() {
            // Seen from its own zone every class is at home.
            let open = |class: &usize| self.allows(server.zone, *class, server);
            let classes: Vec<usize> = (0..self.classes.len()).filter(open).collect();
            let fresh = || Pool {
                zone: server.zone,
                classes: classes.clone(),
                servers: Vec::new(),
                capacity: 0.0,
                load: 0.0,
            };
            let pool = pools.entry((server.zone, classes.clone())).or_insert_with(fresh);
            pool.servers.push(place);
            pool.capacity += server.capacity.max(0.0);
        }
        pools.into_values().collect()
    }

    /// Solves it; nothing where the program's solver gives up, which no finite fleet should bring about.
    pub fn solve(&self) -> Option<Plan> {
        let mut pools = self.pools();
        let mut vars = variables!();
        let mut cost = Expression::from(0.0);
        let mut loads: Vec<Expression> = pools.iter().map(|_| Expression::from(0.0)).collect();
        let mut met: Vec<(Expression, f64)> = Vec::new();
        let mut flows: Vec<(usize, usize, usize, Variable)> = Vec::new();
        let mut sheds: Vec<(usize, usize, Variable)> = Vec::new();
        for (zone, row) in self.demand.iter().enumerate() {
            for (class, demand) in row.iter().enumerate().filter(|(_, demand)| **demand > 0.0) {
                let shed = vars.add(variable().min(0.0));
                cost += SHED * self.classes[class].importance.max(1e-3) * shed;
                sheds.push((zone, class, shed));
                let mut sum = Expression::from(shed);
                for (place, pool) in pools.iter().enumerate() {
                    let home = !self.classes[class].home_only || pool.zone == zone;
                    if !home || !pool.classes.contains(&class) {
                        continue;
                    }
                    let flow = vars.add(variable().min(0.0));
                    cost += self.crossing[zone][pool.zone] * flow;
                    loads[place] += flow;
                    sum += flow;
                    flows.push((zone, class, place, flow));
                }
                met.push((sum, *demand));
            }
        }
        let mut filled: Vec<Expression> = Vec::new();
        for pool in &pools {
            let mut sum = Expression::from(0.0);
            for (place, (from, price)) in FILLS.iter().enumerate() {
                let to = FILLS.get(place + 1).map_or(1.0, |next| next.0);
                let part = vars.add(variable().min(0.0).max((to - from) * pool.capacity));
                cost += *price * part;
                sum += part;
            }
            filled.push(sum);
        }
        let mut problem = vars.minimise(&cost).using(good_lp::microlp);
        for (sum, demand) in met {
            problem.add_constraint(constraint!(sum == demand));
        }
        for (load, fill) in loads.into_iter().zip(filled) {
            problem.add_constraint(constraint!(load - fill == 0.0));
        }
        let solution = problem.solve().ok()?;
        let mut plan_flows = Vec::new();
        for (zone, class, place, flow) in flows {
            let rate = solution.value(flow);
            if rate > SERVED {
                pools[place].load += rate;
                plan_flows.push((zone, class, place, rate));
            }
        }
        let mut shed = vec![vec![0.0; self.classes.len()]; self.zones];
        for (zone, class, variable) in sheds {
            let rate = solution.value(variable);
            shed[zone][class] = if rate > SERVED { rate } else { 0.0 };
        }
        let plan = Plan {
            cost: self.cost(&pools, &plan_flows, &shed),
            bindings: self.bindings(&pools, &shed),
            pools,
            flows: plan_flows,
            shed,
        };
        Some(plan)
    }

    fn cost(&self, pools: &[Pool], flows: &[(usize, usize, usize, f64)], shed: &[Vec<f64>]) -> Cost {
        let crossing =
            flows.iter().map(|(zone, _, place, rate)| self.crossing[*zone][pools[*place].zone] * rate).sum();
        let waits = pools.iter().map(|pool| wait_cost(pool.load, pool.capacity)).sum();
        let importance = |class: usize| self.classes[class].importance.max(1e-3);
        let shed = shed.iter().flat_map(|row| row.iter().enumerate());
        let shed = shed.map(|(class, rate)| SHED * importance(class) * rate).sum();
        Cost { crossing, waits, shed }
    }

    fn bindings(&self, pools: &[Pool], shed: &[Vec<f64>]) -> Vec<Binding> {
        let mut found = Vec::new();
        for class in 0..self.classes.len() {
            if shed.iter().all(|row| row[class] <= 0.0) {
                continue;
            }
            let open: Vec<&Pool> = pools.iter().filter(|pool| pool.classes.contains(&class)).collect();
            if open.iter().all(|pool| pool.capacity <= 0.0) {
                found.push(Binding::NoServer { class });
            }
            for pool in open.into_iter().filter(|pool| pool.capacity > 0.0 && pool.fill() > 1.0 - 1e-6) {
                let full = Binding::Full { zone: pool.zone, classes: pool.classes.clone() };
                if !found.contains(&full) {
                    found.push(full);
                }
            }
        }
        found
    }

    /// What a split by server costs: operations a second from a zone, of a class, to a server; the rest is shed. Nothing where
    /// it breaks a capacity or a placement.
    pub fn cost_of(&self, split: &[Vec<Vec<f64>>]) -> Option<Cost> {
        let mut cost = Cost::default();
        let mut loads = vec![0.0; self.servers.len()];
        for (zone, rows) in split.iter().enumerate() {
            for (class, row) in rows.iter().enumerate() {
                for (place, rate) in row.iter().enumerate().filter(|(_, rate)| **rate > 0.0) {
                    let server = &self.servers[place];
                    if !self.allows(zone, class, server) {
                        return None;
                    }
                    cost.crossing += self.crossing[zone][server.zone] * rate;
                    loads[place] += rate;
                }
                let left = self.demand[zone][class] - row.iter().sum::<f64>();
                cost.shed += SHED * self.classes[class].importance.max(1e-3) * left.max(0.0);
            }
        }
        for (load, server) in loads.iter().zip(&self.servers) {
            if *load > server.capacity * (1.0 + 1e-9) {
                return None;
            }
            cost.waits += wait_cost(*load, server.capacity);
        }
        Some(cost)
    }
}

impl Plan {
    /// Operations a second by server: a pool's load in proportion to its servers' capacities.
    pub fn by_server(&self, fleet: &Fleet) -> Vec<f64> {
        let mut loads = vec![0.0; fleet.servers.len()];
        for pool in &self.pools {
            for place in &pool.servers {
                loads[*place] = fleet.servers[*place].capacity.max(0.0) * pool.fill();
            }
        }
        loads
    }

    /// The same by zone of proxies and class.
    pub fn split(&self, fleet: &Fleet) -> Vec<Vec<Vec<f64>>> {
        let mut split = vec![vec![vec![0.0; fleet.servers.len()]; fleet.classes.len()]; fleet.zones];
        for (zone, class, place, rate) in &self.flows {
            let pool = &self.pools[*place];
            for server in &pool.servers {
                let part = fleet.servers[*server].capacity.max(0.0) / pool.capacity.max(1e-12);
                split[*zone][*class][*server] += rate * part;
            }
        }
        split
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn class(importance: f64, only_zones: &[usize]) -> Class {
        Class { importance, only_zones: only_zones.to_vec(), only_kinds: Vec::new(), home_only: false }
    }

    fn fleet(capacities: &[(usize, f64)], demand: Vec<Vec<f64>>) -> Fleet {
        let server = |(zone, capacity): &(usize, f64)| Server { zone: *zone, kind: 0, capacity: *capacity };
        Fleet {
            zones: 2,
            classes: vec![class(1.0, &[]), class(3.0, &[0])],
            servers: capacities.iter().map(server).collect(),
            demand,
            crossing: vec![vec![0.0, 0.5], vec![0.5, 0.0]],
        }
    }

    #[test]
    fn what_fits_stays_at_home_and_what_does_not_crosses() {
        let calm = fleet(&[(0, 100.0), (1, 100.0)], vec![vec![30.0, 0.0], vec![30.0, 10.0]]);
        let plan = calm.solve().unwrap();
        // The second class runs in the first zone alone: its crossing is forced.
        assert_eq!(plan.shed, vec![vec![0.0; 2]; 2]);
        assert!((plan.cost.crossing - 5.0).abs() < 1e-6, "{plan:?}");
        let uneven = fleet(&[(0, 100.0), (1, 100.0)], vec![vec![110.0, 0.0], vec![10.0, 0.0]]);
        let plan = uneven.solve().unwrap();
        let fills: Vec<f64> = plan.pools.iter().map(Pool::fill).collect();
        assert!(fills[0] <= 0.86 && fills[1] >= 0.3, "{fills:?}");
        assert_eq!(plan.bindings, []);
    }

    /// A class whose only zone is too small is shed in that class, or in a less important one that shares the zone, and the
    /// zone is named; it is never an empty plan.
    #[test]
    fn what_does_not_fit_is_shed_by_importance_and_named() {
        let tight = fleet(&[(0, 50.0), (1, 0.0)], vec![vec![30.0, 40.0], vec![0.0, 0.0]]);
        let plan = tight.solve().unwrap();
        assert!((plan.shed[0][0] - 20.0).abs() < 1e-6 && plan.shed[0][1] < 1e-6, "{plan:?}");
        assert_eq!(plan.bindings, [Binding::Full { zone: 0, classes: vec![0, 1] }]);
        let gone = fleet(&[(1, 50.0)], vec![vec![30.0, 4.0], vec![0.0, 0.0]]);
        let plan = gone.solve().unwrap();
        assert_eq!((plan.shed[0][0], plan.shed[0][1]), (0.0, 4.0));
        assert_eq!(plan.bindings, [Binding::NoServer { class: 1 }]);
        let nothing = fleet(&[], vec![vec![1.0, 1.0], vec![0.0, 0.0]]).solve().unwrap();
        assert_eq!(nothing.bindings.len(), 2);
    }

    #[test]
    fn a_pool_is_split_by_capacity_and_the_split_costs_what_the_plan_says() {
        let one = fleet(&[(0, 30.0), (0, 90.0), (1, 40.0)], vec![vec![60.0, 20.0], vec![50.0, 5.0]]);
        let plan = one.solve().unwrap();
        let loads = plan.by_server(&one);
        assert!((loads[1] / loads[0] - 3.0).abs() < 1e-9);
        let cost = one.cost_of(&plan.split(&one)).unwrap();
        assert!((cost.sum() - plan.cost.sum()).abs() < 1e-6, "{cost:?} {:?}", plan.cost);
    }
}
