//! A recording made of what coordinators themselves kept: their ledgers. A coordinator sees no operation, only counts by zone
//! and class over spans, late; so arrivals are spread evenly by chance over the spans that the counts are of. What came again
//! after a refusal counts anew there, as it did at the proxies. Servers come and go as the lists told it.

use std::collections::BTreeMap;

use craneknot_coordinator::ledger::{LedgerContents, Line, ListedState, Micros};
use craneknot_rehearsal::recording::{Head, Line as Seen, Recording, FORMAT};
use craneknot_rehearsal::Script;
use craneknot_settings::Span;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// What ledgers tell of a fleet's traffic.
#[derive(Clone, Debug, PartialEq)]
pub struct Fed {
    pub recording: Recording,
    /// Operations that came, and tries without an answer.
    pub arrived: u64,
    pub unanswered: u64,
    /// Ledgers whose end was cut short, and lines that were let go.
    pub truncated: usize,
    pub missing_lines: u64,
}

/// Makes a recording of the ledgers of one span of time, one or several of each coordinator. `script` describes the servers,
/// proxies and channel, which no ledger tells whole; its length and rate are set to what came. Its troubles are played as they
/// stand: leave them out, or set them to what the recorded time had.
pub fn recording(ledgers: &[LedgerContents], script: &Script, seed: u64) -> Result<Fed, String> {
    let mut arrivals: Vec<(Micros, u16, u16)> = Vec::new();
    let mut changes: Vec<(Micros, String, bool)> = Vec::new();
    let mut rng = Pcg32::seed_from_u64(seed);
    let (mut arrived, mut unanswered, mut missing) = (0, 0, 0);
    for told in ledgers {
        let place = |names: &[String], name: &str, what: &str| {
            let at = names.iter().position(|known| known == name);
            at.map(|at| at as u16)
                .ok_or(format!("{}: {what} {name:?} is none of the script's", told.head.coordinator))
        };
        let zones = told.head.zones.iter().map(|zone| place(&script.zones, zone, "zone"));
        let zones = zones.collect::<Result<Vec<u16>, String>>()?;
        let names: Vec<String> = script.classes.iter().map(|class| class.name.clone()).collect();
        let classes = told.head.classes.iter().map(|class| place(&names, &class.name, "class"));
        let classes = classes.collect::<Result<Vec<u16>, String>>()?;
        let mut servers: BTreeMap<u32, String> = BTreeMap::new();
        for line in &told.lines {
            match line {
                Line::Demand(at, zone, class, came, bad, span) => {
                    let (zone, class) = (zones[usize::from(*zone)], classes[usize::from(*class)]);
                    let from = at.saturating_sub(*span);
                    arrivals
                        .extend((0..*came).map(|_| (rng.random_range(from..=(*at).max(from)), class, zone)));
                    (arrived, unanswered) = (arrived + came, unanswered + bad);
                }
                Line::Server(number, name, ..) => {
                    servers.insert(*number, name.clone());
                }
                Line::Listed(at, server, shown, _, _) => {
                    let up = match shown {
                        ListedState::Ready => true,
                        ListedState::Draining | ListedState::Removed => false,
                    };
                    changes.extend(servers.get(server).map(|name| (*at, name.clone(), up)));
                }
                Line::Dropped(lines) => missing += lines,
                Line::ListFailed(_)
                | Line::TriesReported(..)
                | Line::Probed(..)
                | Line::Joined(..)
                | Line::Ordered(..) => {}
            }
        }
    }
    arrivals.sort_unstable();
    let (Some(first), Some(last)) = (arrivals.first(), arrivals.last()) else {
        return Err("no operation came in these ledgers".to_owned());
    };
    let (begin, end) = (first.0, last.0);
    let length = (end - begin).max(1);
    let mut lines: Vec<(i64, Seen)> = arrivals
        .iter()
        .map(|(at, class, zone)| ((at - begin) as i64, Seen::Asked((at - begin) as i64, *class, *zone)))
        .collect();
    // Each coordinator tells of a change: the first word counts.
    changes.sort();
    let (mut numbers, mut stands): (BTreeMap<String, u32>, BTreeMap<u32, bool>) = Default::default();
    for (at, name, up) in changes {
        let next = numbers.len() as u32;
        let number = *numbers.entry(name).or_insert(next);
        if stands.insert(number, up) != Some(up) {
            let at = at as i64 - begin as i64;
            lines.push((at, Seen::Server(at, number, up)));
        }
    }
    lines.sort_by_key(|(at, _)| *at);
    let mut script = script.clone();
    script.length = Span::millis(length.div_ceil(1_000));
    script.clients.rate = arrivals.len() as f64 / (length as f64 * 1e-6);
    script.troubles.retain(|trouble| trouble.at.0 + trouble.length.0 <= script.length.0);
    let head = Head {
        format: FORMAT.to_owned(),
        version: env!("CARGO_PKG_VERSION").to_owned(),
        source: "ledgers".to_owned(),
        script,
        service: None,
        passed: true,
    };
    let recording = Recording { head, lines: lines.into_iter().map(|(_, line)| line).collect() };
    let torn = ledgers.iter().filter(|told| told.torn).count();
    Ok(Fed { recording, arrived, unanswered, truncated: torn, missing_lines: missing })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::world::{play_with_options, RunOptions};
    use craneknot_rehearsal::script::{Trouble, TroubleKind};

    fn script() -> Script {
        let mut script = Script::built_in().unwrap();
        (script.length, script.troubles) = (Span::millis(20_000), Vec::new());
        script
    }

    /// What coordinators kept tells as much traffic, second by second, as there was.
    #[test]
    fn ledgers_give_back_the_traffic_second_by_second() {
        let mut script = script();
        script.troubles = vec![Trouble {
            kind: TroubleKind::Burst,
            at: Span::millis(8_000),
            length: Span::millis(5_000),
            part: 1.0,
            strength: Some(2.0),
            zone: None,
            server_kind: None,
            unlisted: false,
        }];
        let played = play_with_options(&script, RunOptions { ledgers: true, ..RunOptions::default() });
        assert_eq!(played.ledgers.len(), script.coordinators as usize);
        let fed = recording(&played.ledgers, &script, 1).unwrap();
        let true_count = played.asked.len() as f64;
        assert!((fed.arrived as f64 / true_count - 1.0).abs() < 0.03, "{} of {true_count}", fed.arrived);
        // Two seconds at a time: the counts are of half a second, and late by less.
        let begin = played.asked[0].at.0;
        let count = |of: &[u64]| {
            let mut bins = vec![0.0f64; 10];
            of.iter().for_each(|at| bins[((at / 2_000_000_000) as usize).min(9)] += 1.0);
            bins
        };
        let truth: Vec<u64> = played.asked.iter().map(|one| one.at.0 - begin).collect();
        let told: Vec<u64> = fed.recording.arrivals().iter().map(|(at, _, _)| at.0).collect();
        for (bin, (told, truth)) in count(&told).iter().zip(count(&truth)).enumerate().take(9) {
            assert!((told / truth - 1.0).abs() < 0.35, "bin {bin}: {told} for {truth}");
        }
        assert!((fed.recording.head.script.clients.rate / (true_count / 20.0) - 1.0).abs() < 0.05);
    }

    #[test]
    fn other_fleets_and_empty_ledgers_are_refused_with_a_cause() {
        let script = script();
        let played = play_with_options(&script, RunOptions { ledgers: true, ..RunOptions::default() });
        let mut other = script.clone();
        other.zones[0] = "elsewhere".to_owned();
        assert!(recording(&played.ledgers, &other, 1).unwrap_err().contains("zone"));
        assert!(recording(&[], &script, 1).unwrap_err().contains("no operation"));
    }
}
