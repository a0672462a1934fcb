//! Makes a recording from coordinators' ledgers. A coordinator doesn't see single operations, only delayed
//! counts by zone and class over intervals; so arrival times are drawn uniformly at random within the
//! interval of each count. An operation that is retried after a rejection counts again, as it did at the
//! proxies. Servers appear and disappear as discovery listed them.

use std::collections::BTreeMap;

use craneknot_coordinator::ledger::{LedgerContents, Line, ListedState, Micros};
use craneknot_rehearsal::recording::{Head, Line as Event, Recording, FORMAT};
use craneknot_rehearsal::Script;
use craneknot_settings::Span;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;

/// A fleet's traffic as recorded in ledgers.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerRecording {
    pub recording: Recording,
    /// Operations that arrived, and tries without an answer.
    pub arrived: u64,
    pub unanswered: u64,
    /// Ledgers with a truncated end, and lines that were dropped.
    pub truncated: usize,
    pub missing_lines: u64,
}

/// Makes a recording from the ledgers of one period, one or several per coordinator. `script` describes the
/// servers, proxies and channel, which ledgers contain only in part; its length and rate are set from the
/// recorded arrivals. Its faults are played unchanged: leave them out, or set them to those of the recorded
/// period.
pub fn recording(ledgers: &[LedgerContents], script: &Script, seed: u64) -> Result<LedgerRecording, String> {
    let mut arrivals: Vec<(Micros, u16, u16)> = Vec::new();
    let mut changes: Vec<(Micros, String, bool)> = Vec::new();
    let mut rng = Pcg32::seed_from_u64(seed);
    let (mut arrived, mut unanswered, mut missing_lines) = (0, 0, 0);
    for ledger in ledgers {
        let find_index = |names: &[String], name: &str, item: &str| {
            let index = names.iter().position(|known| known == name);
            index
                .map(|index| index as u16)
                .ok_or(format!("{}: {item} {name:?} is not in the script", ledger.head.coordinator))
        };
        let zones = ledger.head.zones.iter().map(|zone| find_index(&script.zones, zone, "zone"));
        let zones = zones.collect::<Result<Vec<u16>, String>>()?;
        let names: Vec<String> = script.classes.iter().map(|class| class.name.clone()).collect();
        let classes = ledger.head.classes.iter().map(|class| find_index(&names, &class.name, "class"));
        let classes = classes.collect::<Result<Vec<u16>, String>>()?;
        let mut servers: BTreeMap<u32, String> = BTreeMap::new();
        for line in &ledger.lines {
            match line {
                Line::Demand(at, zone, class, arrivals_counted, failures_counted, span) => {
                    let (zone, class) = (zones[usize::from(*zone)], classes[usize::from(*class)]);
                    let from = at.saturating_sub(*span);
                    arrivals.extend(
                        (0..*arrivals_counted)
                            .map(|_| (rng.random_range(from..=(*at).max(from)), class, zone)),
                    );
                    (arrived, unanswered) = (arrived + arrivals_counted, unanswered + failures_counted);
                }
                Line::Server(number, name, ..) => {
                    servers.insert(*number, name.clone());
                }
                Line::Listed(at, server, state, _, _) => {
                    let is_listed = match state {
                        ListedState::Ready => true,
                        ListedState::Draining | ListedState::Removed => false,
                    };
                    changes.extend(servers.get(server).map(|name| (*at, name.clone(), is_listed)));
                }
                Line::Dropped(lines) => missing_lines += lines,
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
        return Err("no operation arrived in these ledgers".to_owned());
    };
    let (begin, end) = (first.0, last.0);
    let length = (end - begin).max(1);
    let mut lines: Vec<(i64, Event)> = arrivals
        .iter()
        .map(|(at, class, zone)| ((at - begin) as i64, Event::Asked((at - begin) as i64, *class, *zone)))
        .collect();
    // Every coordinator reports a change: the first report counts.
    changes.sort();
    let (mut numbers, mut listed_states): (BTreeMap<String, u32>, BTreeMap<u32, bool>) = Default::default();
    for (at, name, is_listed) in changes {
        let next = numbers.len() as u32;
        let number = *numbers.entry(name).or_insert(next);
        if listed_states.insert(number, is_listed) != Some(is_listed) {
            let at = at as i64 - begin as i64;
            lines.push((at, Event::Server(at, number, is_listed)));
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
    let truncated = ledgers.iter().filter(|ledger| ledger.torn).count();
    Ok(LedgerRecording { recording, arrived, unanswered, truncated, missing_lines })
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

    /// The recording made from ledgers has as much traffic as the run, over time.
    #[test]
    fn ledgers_reproduce_the_traffic_over_time() {
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
        let made = recording(&played.ledgers, &script, 1).unwrap();
        let true_count = played.asked.len() as f64;
        assert!((made.arrived as f64 / true_count - 1.0).abs() < 0.03, "{} of {true_count}", made.arrived);
        // Bins of two seconds: the counts cover half a second each, and are delayed by less than that.
        let begin = played.asked[0].at.0;
        let count = |of: &[u64]| {
            let mut bins = vec![0.0f64; 10];
            of.iter().for_each(|at| bins[((at / 2_000_000_000) as usize).min(9)] += 1.0);
            bins
        };
        let expected: Vec<u64> = played.asked.iter().map(|operation| operation.at.0 - begin).collect();
        let recorded: Vec<u64> = made.recording.arrivals().iter().map(|(at, _, _)| at.0).collect();
        for (bin, (recorded, expected)) in count(&recorded).iter().zip(count(&expected)).enumerate().take(9) {
            assert!((recorded / expected - 1.0).abs() < 0.35, "bin {bin}: {recorded} for {expected}");
        }
        assert!((made.recording.head.script.clients.rate / (true_count / 20.0) - 1.0).abs() < 0.05);
    }

    #[test]
    fn ledgers_of_another_fleet_and_empty_ledgers_are_rejected_with_a_cause() {
        let script = script();
        let played = play_with_options(&script, RunOptions { ledgers: true, ..RunOptions::default() });
        let mut other = script.clone();
        other.zones[0] = "elsewhere".to_owned();
        assert!(recording(&played.ledgers, &other, 1).unwrap_err().contains("zone"));
        assert!(recording(&[], &script, 1).unwrap_err().contains("no operation"));
    }
}
