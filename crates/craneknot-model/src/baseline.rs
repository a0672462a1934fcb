//! What proxies would do without us: known policies, to have a distance to something else beside every figure.

use rand::seq::index;
use rand::Rng;
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

/// Who picks the servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Who {
    /// The coordinators' decisions, by the proxies' files.
    #[default]
    Ours,
    /// Any listed server, by its listed weight; the proxy keeps away from those that failed it in a row.
    Random,
    /// The least loaded of all that answer, by perfect knowledge of this very moment.
    LeastLoaded,
    /// The lesser loaded of two drawn by listed weight (Mitzenmacher 2001), by knowledge a report period old.
    TwoChoices,
}

impl Who {
    pub const BASELINES: [Who; 3] = [Who::Random, Who::TwoChoices, Who::LeastLoaded];

    pub fn title(self) -> &'static str {
        match self {
            Who::Ours => "ours",
            Who::Random => "random over all",
            Who::LeastLoaded => "least loaded, perfect knowledge",
            Who::TwoChoices => "two choices, late knowledge",
        }
    }
}

/// A listed server on which the class may run, as it may be known to the one that picks.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub server: usize,
    /// Listed, warm: seconds of work a second.
    pub capacity: f64,
    /// In truth, now.
    pub answers: bool,
    /// Operations in hand for what it can do: in truth, and as known a report period late.
    pub queue: f64,
    pub late: f64,
    pub kept_away: bool,
}

/// The server that a policy picks; nothing where there is none.
pub fn choose(who: Who, seen: &[Seen], rng: &mut Pcg32) -> Option<usize> {
    let kept = |one: &&Seen| !one.kept_away;
    let near: Vec<&Seen> = seen.iter().filter(kept).collect();
    let near = if near.is_empty() { seen.iter().collect() } else { near };
    let one = match who {
        Who::Ours => None,
        Who::Random => by_weight(&near, rng),
        Who::TwoChoices if near.len() < 2 => near.first().copied(),
        Who::TwoChoices => {
            let two = index::sample_weighted(rng, near.len(), |place| near[place].capacity, 2).ok()?;
            two.into_iter().map(|place| near[place]).min_by(|a, b| a.late.total_cmp(&b.late))
        }
        Who::LeastLoaded => {
            let answers = seen.iter().filter(|one| one.answers);
            answers.min_by(|a, b| a.queue.total_cmp(&b.queue)).or(seen.first())
        }
    };
    one.map(|one| one.server)
}

fn by_weight<'a>(seen: &[&'a Seen], rng: &mut Pcg32) -> Option<&'a Seen> {
    let sum: f64 = seen.iter().map(|one| one.capacity).sum();
    let mut at = rng.random::<f64>() * sum;
    let found = seen.iter().find(|one| {
        at -= one.capacity;
        at < 0.0
    });
    found.or(seen.last()).copied()
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn seen(server: usize, capacity: f64, queue: f64) -> Seen {
        Seen { server, capacity, answers: true, queue, late: queue, kept_away: false }
    }

    #[test]
    fn each_picks_by_what_it_may_know() {
        let mut rng = Pcg32::seed_from_u64(1);
        let mut all = vec![seen(0, 1.0, 3.0), seen(1, 3.0, 2.0), seen(2, 1.0, 1.0)];
        let count = |who, all: &[Seen], rng: &mut Pcg32| {
            let mut counts = [0; 3];
            (0..6_000).for_each(|_| counts[choose(who, all, rng).unwrap()] += 1);
            counts
        };
        let random = count(Who::Random, &all, &mut rng);
        assert!((3_400..3_800).contains(&random[1]), "{random:?}");
        // The longest queue of three is never the lesser of two.
        let two = count(Who::TwoChoices, &all, &mut rng);
        assert!(two[0] == 0 && two[2] > 1_500, "{two:?}");
        assert_eq!(count(Who::LeastLoaded, &all, &mut rng), [0, 0, 6_000]);
        (all[2].answers, all[1].kept_away) = (false, true);
        assert_eq!(count(Who::LeastLoaded, &all, &mut rng), [0, 6_000, 0]);
        assert_eq!(count(Who::Random, &all, &mut rng)[1], 0);
        assert_eq!(choose(Who::Random, &[], &mut rng), None);
    }
}
