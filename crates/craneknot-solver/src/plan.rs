//! The optimal distribution of the demand over the servers, by a linear program (`good_lp` with `microlp`).
//!
//! The servers of one zone that the same classes may run on form a pool. The optimum for one of them is the optimum for all, in
//! proportion to their capacities, so the program grows with zones and classes and not with servers. Within a pool the cost of
//! load grows with utilization, piecewise linearly, as waiting times do. Traffic between zones has a cost for each pair of zones.
//! Demand that exceeds the capacity is shed, the least important class first, and reported.

use std::collections::BTreeMap;

use good_lp::{constraint, variable, variables, Expression, Solution, SolverModel, Variable};
use serde::{Deserialize, Serialize};

/// The piecewise linear cost of load: the utilization at which each step starts, and the cost of a unit of load in it, in
/// service times. The cost is the slope of `utilization * wait`, with the wait `utilization^2 / (1 - utilization^2)` of two
/// cores. Steps are small where servers mostly are, so that few plans cost the same.
pub const COST_STEPS: [(f64, f64); 11] = [
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
const SHED_COST: f64 = 1_000.0; // of a shed operation, for a unit of importance: higher than any wait or crossing
const MIN_RATE: f64 = 1e-6; // operations per second; a lower flow is rounding

/// A class of operations.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub importance: f64,
    /// Indexes of the zones it may run in; empty: any.
    pub only_zones: Vec<usize>,
    /// Kinds it may run on; empty: any.
    pub only_kinds: Vec<u16>,
    /// It may run in the proxy's own zone only.
    pub home_only: bool,
}

/// A server that may be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Server {
    pub zone: usize,
    pub kind: u16,
    /// Operations per second that it may be given now.
    pub capacity: f64,
}

/// The input of a plan.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    pub zones: usize,
    pub classes: Vec<Class>,
    pub servers: Vec<Server>,
    /// Demand in operations per second, by zone of the proxies and class.
    pub demand: Vec<Vec<f64>>,
    /// Cost of an operation between zones, by zone of the proxy and of the server, in service times.
    pub crossing: Vec<Vec<f64>>,
}

/// Why demand is shed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Binding {
    /// There is no server that the class may run on.
    NoServer { class: usize },
    /// The servers that these classes may run on are full.
    Full { zone: usize, classes: Vec<usize> },
}

/// The servers of a zone that the same classes may run on.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Pool {
    pub zone: usize,
    pub classes: Vec<usize>,
    pub servers: Vec<usize>,
    pub capacity: f64,
    /// Operations per second that are assigned to it.
    pub load: f64,
}

impl Pool {
    /// Load as a fraction of the capacity.
    pub fn utilization(&self) -> f64 {
        if self.capacity > 0.0 {
            self.load / self.capacity
        } else {
            0.0
        }
    }
}

/// A distribution of the demand over the pools.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    pub pools: Vec<Pool>,
    /// Zone of the proxies, class, pool, and operations per second.
    pub flows: Vec<(usize, usize, usize, f64)>,
    /// Shed operations per second, by zone and class.
    pub shed: Vec<Vec<f64>>,
    pub cost: Cost,
    pub bindings: Vec<Binding>,
}

/// Cost per second by cause.
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

/// Cost per second of the waits of a server or pool at a load, by [`COST_STEPS`].
pub fn wait_cost(load: f64, capacity: f64) -> f64 {
    let mut cost = 0.0;
    for (index, (from, price)) in COST_STEPS.iter().enumerate() {
        let to = COST_STEPS.get(index + 1).map_or(1.0, |next| next.0);
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
        for (index, server) in self.servers.iter().enumerate() {
            // Proxies of the same zone may use the server for classes with `home_only` too.
            let allowed = |class: &usize| self.allows(server.zone, *class, server);
            let classes: Vec<usize> = (0..self.classes.len()).filter(allowed).collect();
            let new_pool = || Pool {
                zone: server.zone,
                classes: classes.clone(),
                servers: Vec::new(),
                capacity: 0.0,
                load: 0.0,
            };
            let pool = pools.entry((server.zone, classes.clone())).or_insert_with(new_pool);
            pool.servers.push(index);
            pool.capacity += server.capacity.max(0.0);
        }
        pools.into_values().collect()
    }

    /// Solves the linear program; `None` if the solver gives up, which should not happen for a finite fleet.
    pub fn solve(&self) -> Option<Plan> {
        let mut pools = self.pools();
        let mut vars = variables!();
        let mut cost = Expression::from(0.0);
        let mut loads: Vec<Expression> = pools.iter().map(|_| Expression::from(0.0)).collect();
        let mut served: Vec<(Expression, f64)> = Vec::new();
        let mut flows: Vec<(usize, usize, usize, Variable)> = Vec::new();
        let mut shed_rates: Vec<(usize, usize, Variable)> = Vec::new();
        for (zone, row) in self.demand.iter().enumerate() {
            for (class, demand) in row.iter().enumerate().filter(|(_, demand)| **demand > 0.0) {
                let shed = vars.add(variable().min(0.0));
                cost += SHED_COST * self.classes[class].importance.max(1e-3) * shed;
                shed_rates.push((zone, class, shed));
                let mut sum = Expression::from(shed);
                for (index, pool) in pools.iter().enumerate() {
                    let is_allowed_zone = !self.classes[class].home_only || pool.zone == zone;
                    if !is_allowed_zone || !pool.classes.contains(&class) {
                        continue;
                    }
                    let flow = vars.add(variable().min(0.0));
                    cost += self.crossing[zone][pool.zone] * flow;
                    loads[index] += flow;
                    sum += flow;
                    flows.push((zone, class, index, flow));
                }
                served.push((sum, *demand));
            }
        }
        let mut pool_loads: Vec<Expression> = Vec::new();
        for pool in &pools {
            let mut sum = Expression::from(0.0);
            for (index, (from, price)) in COST_STEPS.iter().enumerate() {
                let to = COST_STEPS.get(index + 1).map_or(1.0, |next| next.0);
                let part = vars.add(variable().min(0.0).max((to - from) * pool.capacity));
                cost += *price * part;
                sum += part;
            }
            pool_loads.push(sum);
        }
        let mut problem = vars.minimise(&cost).using(good_lp::microlp);
        for (sum, demand) in served {
            problem.add_constraint(constraint!(sum == demand));
        }
        for (load, step_sum) in loads.into_iter().zip(pool_loads) {
            problem.add_constraint(constraint!(load - step_sum == 0.0));
        }
        let solution = problem.solve().ok()?;
        let mut plan_flows = Vec::new();
        for (zone, class, index, flow) in flows {
            let rate = solution.value(flow);
            if rate > MIN_RATE {
                pools[index].load += rate;
                plan_flows.push((zone, class, index, rate));
            }
        }
        let mut shed = vec![vec![0.0; self.classes.len()]; self.zones];
        for (zone, class, variable) in shed_rates {
            let rate = solution.value(variable);
            shed[zone][class] = if rate > MIN_RATE { rate } else { 0.0 };
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
            flows.iter().map(|(zone, _, index, rate)| self.crossing[*zone][pools[*index].zone] * rate).sum();
        let waits = pools.iter().map(|pool| wait_cost(pool.load, pool.capacity)).sum();
        let importance = |class: usize| self.classes[class].importance.max(1e-3);
        let shed = shed.iter().flat_map(|row| row.iter().enumerate());
        let shed = shed.map(|(class, rate)| SHED_COST * importance(class) * rate).sum();
        Cost { crossing, waits, shed }
    }

    fn bindings(&self, pools: &[Pool], shed: &[Vec<f64>]) -> Vec<Binding> {
        let mut found = Vec::new();
        for class in 0..self.classes.len() {
            if shed.iter().all(|row| row[class] <= 0.0) {
                continue;
            }
            let allowed: Vec<&Pool> = pools.iter().filter(|pool| pool.classes.contains(&class)).collect();
            if allowed.iter().all(|pool| pool.capacity <= 0.0) {
                found.push(Binding::NoServer { class });
            }
            for pool in
                allowed.into_iter().filter(|pool| pool.capacity > 0.0 && pool.utilization() > 1.0 - 1e-6)
            {
                let full = Binding::Full { zone: pool.zone, classes: pool.classes.clone() };
                if !found.contains(&full) {
                    found.push(full);
                }
            }
        }
        found
    }

    /// Cost of a distribution by server: operations per second by zone, class and server; the rest is shed. `None` if it breaks
    /// a capacity or a placement.
    pub fn cost_of(&self, split: &[Vec<Vec<f64>>]) -> Option<Cost> {
        let mut cost = Cost::default();
        let mut loads = vec![0.0; self.servers.len()];
        for (zone, rows) in split.iter().enumerate() {
            for (class, row) in rows.iter().enumerate() {
                for (index, rate) in row.iter().enumerate().filter(|(_, rate)| **rate > 0.0) {
                    let server = &self.servers[index];
                    if !self.allows(zone, class, server) {
                        return None;
                    }
                    cost.crossing += self.crossing[zone][server.zone] * rate;
                    loads[index] += rate;
                }
                let left = self.demand[zone][class] - row.iter().sum::<f64>();
                cost.shed += SHED_COST * self.classes[class].importance.max(1e-3) * left.max(0.0);
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
    /// Operations per second by server: a pool's load in proportion to its servers' capacities.
    pub fn by_server(&self, fleet: &Fleet) -> Vec<f64> {
        let mut loads = vec![0.0; fleet.servers.len()];
        for pool in &self.pools {
            for index in &pool.servers {
                loads[*index] = fleet.servers[*index].capacity.max(0.0) * pool.utilization();
            }
        }
        loads
    }

    /// Operations per second by zone of the proxies, class and server.
    pub fn split(&self, fleet: &Fleet) -> Vec<Vec<Vec<f64>>> {
        let mut split = vec![vec![vec![0.0; fleet.servers.len()]; fleet.classes.len()]; fleet.zones];
        for (zone, class, index, rate) in &self.flows {
            let pool = &self.pools[*index];
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
    fn demand_stays_in_its_zone_unless_capacity_or_placement_forces_it_out() {
        let balanced = fleet(&[(0, 100.0), (1, 100.0)], vec![vec![30.0, 0.0], vec![30.0, 10.0]]);
        let plan = balanced.solve().unwrap();
        // The second class may run in the first zone only, so its demand from the second zone must cross.
        assert_eq!(plan.shed, vec![vec![0.0; 2]; 2]);
        assert!((plan.cost.crossing - 5.0).abs() < 1e-6, "{plan:?}");
        let uneven = fleet(&[(0, 100.0), (1, 100.0)], vec![vec![110.0, 0.0], vec![10.0, 0.0]]);
        let plan = uneven.solve().unwrap();
        let utilizations: Vec<f64> = plan.pools.iter().map(Pool::utilization).collect();
        assert!(utilizations[0] <= 0.86 && utilizations[1] >= 0.3, "{utilizations:?}");
        assert_eq!(plan.bindings, []);
    }

    /// If the only zone of a class is too small, demand of that class or of a less important one in the zone is shed, the zone
    /// is named, and there is still a plan.
    #[test]
    fn excess_demand_is_shed_by_importance_and_named() {
        let tight = fleet(&[(0, 50.0), (1, 0.0)], vec![vec![30.0, 40.0], vec![0.0, 0.0]]);
        let plan = tight.solve().unwrap();
        assert!((plan.shed[0][0] - 20.0).abs() < 1e-6 && plan.shed[0][1] < 1e-6, "{plan:?}");
        assert_eq!(plan.bindings, [Binding::Full { zone: 0, classes: vec![0, 1] }]);
        let without_zone = fleet(&[(1, 50.0)], vec![vec![30.0, 4.0], vec![0.0, 0.0]]);
        let plan = without_zone.solve().unwrap();
        assert_eq!((plan.shed[0][0], plan.shed[0][1]), (0.0, 4.0));
        assert_eq!(plan.bindings, [Binding::NoServer { class: 1 }]);
        let nothing = fleet(&[], vec![vec![1.0, 1.0], vec![0.0, 0.0]]).solve().unwrap();
        assert_eq!(nothing.bindings.len(), 2);
    }

    #[test]
    fn a_pool_is_split_by_capacity_at_the_cost_of_the_plan() {
        let one = fleet(&[(0, 30.0), (0, 90.0), (1, 40.0)], vec![vec![60.0, 20.0], vec![50.0, 5.0]]);
        let plan = one.solve().unwrap();
        let loads = plan.by_server(&one);
        assert!((loads[1] / loads[0] - 3.0).abs() < 1e-9);
        let cost = one.cost_of(&plan.split(&one)).unwrap();
        assert!((cost.sum() - plan.cost.sum()).abs() < 1e-6, "{cost:?} {:?}", plan.cost);
    }
}
