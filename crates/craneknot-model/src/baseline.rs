//! Baseline policies: how proxies would select servers without the coordinators, for comparison with every
//! result.

use rand::seq::index;
use rand::Rng;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

/// The method that selects a server for each try.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Selector {
    /// The coordinators' decisions, through the proxies' files.
    #[default]
    #[serde(rename = "ours")]
    Coordinators,
    /// Any listed server, at random by its listed weight; the proxy avoids servers after consecutive
    /// failures.
    Random,
    /// The least loaded of all servers that answer, with perfect and current information.
    LeastLoaded,
    /// The less loaded of two servers drawn by listed weight (Mitzenmacher 2001), with load information one
    /// report period old.
    TwoChoices,
}

impl Selector {
    /// The methods that runs are compared with.
    pub const BASELINES: [Selector; 3] = [Selector::Random, Selector::TwoChoices, Selector::LeastLoaded];

    /// Name of the method in outcomes and plots.
    pub fn title(self) -> &'static str {
        match self {
            Selector::Coordinators => "ours",
            Selector::Random => "random over all",
            Selector::LeastLoaded => "least loaded, perfect knowledge",
            Selector::TwoChoices => "two choices, late knowledge",
        }
    }
}

/// A listed server on which the class may run, with the information available to the selectors.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    pub server: usize,
    /// Listed capacity of the warm server, in seconds of work per second.
    pub capacity: f64,
    /// Whether the server answers at this moment.
    pub answers: bool,
    /// Operations in flight relative to its capacity: now, and as known one report period late.
    pub queue: f64,
    pub delayed_queue: f64,
    /// Whether the proxy avoids the server after consecutive failures.
    pub avoided: bool,
}

/// The server that the method selects; `None` if there is no candidate.
pub fn select_server(selector: Selector, candidates: &[Candidate], rng: &mut Pcg32) -> Option<usize> {
    let not_avoided = |candidate: &&Candidate| !candidate.avoided;
    let eligible: Vec<&Candidate> = candidates.iter().filter(not_avoided).collect();
    let eligible = if eligible.is_empty() { candidates.iter().collect() } else { eligible };
    let candidate = match selector {
        Selector::Coordinators => None,
        Selector::Random => select_by_weight(&eligible, rng),
        Selector::TwoChoices if eligible.len() < 2 => eligible.first().copied(),
        Selector::TwoChoices => {
            let sampled =
                index::sample_weighted(rng, eligible.len(), |position| eligible[position].capacity, 2)
                    .ok()?;
            sampled
                .into_iter()
                .map(|position| eligible[position])
                .min_by(|a, b| a.delayed_queue.total_cmp(&b.delayed_queue))
        }
        Selector::LeastLoaded => {
            let answering = candidates.iter().filter(|candidate| candidate.answers);
            answering.min_by(|a, b| a.queue.total_cmp(&b.queue)).or(candidates.first())
        }
    };
    candidate.map(|candidate| candidate.server)
}

fn select_by_weight<'a>(candidates: &[&'a Candidate], rng: &mut Pcg32) -> Option<&'a Candidate> {
    let total: f64 = candidates.iter().map(|candidate| candidate.capacity).sum();
    let mut threshold = rng.random::<f64>() * total;
    let found = candidates.iter().find(|candidate| {
        threshold -= candidate.capacity;
        threshold < 0.0
    });
    found.or(candidates.last()).copied()
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn candidate(server: usize, capacity: f64, queue: f64) -> Candidate {
        Candidate { server, capacity, answers: true, queue, delayed_queue: queue, avoided: false }
    }

    #[test]
    fn each_selector_uses_only_the_information_it_may_have() {
        let mut rng = Pcg32::seed_from_u64(1);
        let mut servers = vec![candidate(0, 1.0, 3.0), candidate(1, 3.0, 2.0), candidate(2, 1.0, 1.0)];
        let count = |selector, servers: &[Candidate], rng: &mut Pcg32| {
            let mut counts = [0; 3];
            (0..6_000).for_each(|_| counts[select_server(selector, servers, rng).unwrap()] += 1);
            counts
        };
        let random = count(Selector::Random, &servers, &mut rng);
        assert!((3_400..3_800).contains(&random[1]), "{random:?}");
        // The longest of three queues is never the shorter of two.
        let sampled = count(Selector::TwoChoices, &servers, &mut rng);
        assert!(sampled[0] == 0 && sampled[2] > 1_500, "{sampled:?}");
        assert_eq!(count(Selector::LeastLoaded, &servers, &mut rng), [0, 0, 6_000]);
        (servers[2].answers, servers[1].avoided) = (false, true);
        assert_eq!(count(Selector::LeastLoaded, &servers, &mut rng), [0, 6_000, 0]);
        assert_eq!(count(Selector::Random, &servers, &mut rng)[1], 0);
        assert_eq!(select_server(Selector::Random, &[], &mut rng), None);
    }
}
