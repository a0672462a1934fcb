//! Statistics of a recorded run, per second.

use std::collections::BTreeMap;

use craneknot_rehearsal::recording::{End, How, Line, Recording};
use serde::Serialize;

/// The statistics of one second; operations count in the second in which they were requested.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    pub asked: u32,
    /// Total importance requested, and the part of it answered within the latency goal.
    pub importance: f64,
    pub in_goal: f64,
    pub refused: u32,
    pub failed: u32,
    /// Tries of operations, counted in the second in which they ended.
    pub tries: u32,
    pub swaps: u32,
    /// Number of servers that proxies' tables gained or lost, counted per class.
    pub moved: u32,
    /// The largest number of lines queued in any coordinator's channel.
    pub queue: f64,
}

impl Second {
    /// Importance answered within the latency goal over importance requested; 1 if none was requested.
    pub fn service(&self) -> f64 {
        if self.importance > 0.0 {
            self.in_goal / self.importance
        } else {
            1.0
        }
    }
}

/// The statistics of a recorded run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Timeline {
    pub seconds: Vec<Second>,
    /// Successful answers per second, by server.
    pub servers: BTreeMap<u32, Vec<u32>>,
    /// Name, start and end of each fault of the script, in seconds.
    pub troubles: Vec<(String, f64, f64)>,
}

const MICROS_PER_SECOND: i64 = 1_000_000;

impl Timeline {
    /// Computes the statistics of a recording.
    pub fn from_recording(recording: &Recording) -> Self {
        let script = &recording.head.script;
        let count = script.length.0.secs().ceil() as usize;
        let mut stats = Timeline { seconds: vec![Second::default(); count], ..Timeline::default() };
        let bin_of =
            |at: i64| usize::try_from(at.div_euclid(MICROS_PER_SECOND)).ok().filter(|index| *index < count);
        for line in &recording.lines {
            match line {
                Line::Asked(at, class, _) => {
                    let Some(second) = bin_of(*at).map(|index| &mut stats.seconds[index]) else { continue };
                    second.asked += 1;
                    second.importance += script.classes[usize::from(*class)].importance;
                }
                Line::Ended(at, class, how, took) => {
                    let from = at - *took as i64;
                    let Some(second) = bin_of(from).map(|index| &mut stats.seconds[index]) else { continue };
                    match how {
                        End::InGoal => second.in_goal += script.classes[usize::from(*class)].importance,
                        End::Refused => second.refused += 1,
                        End::Failed | End::GivenUp => second.failed += 1,
                        End::Late => {}
                    }
                }
                Line::Tried(at, _, server, _, how, _) => {
                    let Some(index) = bin_of(*at) else { continue };
                    stats.seconds[index].tries += 1;
                    if *how == How::Good {
                        stats.servers.entry(*server).or_insert_with(|| vec![0; count])[index] += 1;
                    }
                }
                Line::Swapped(at, _, moved, _) => {
                    let Some(second) = bin_of(*at).map(|index| &mut stats.seconds[index]) else { continue };
                    second.swaps += 1;
                    second.moved += moved;
                }
                Line::Queue(at, _, lines) => {
                    let Some(second) = bin_of(*at).map(|index| &mut stats.seconds[index]) else { continue };
                    second.queue = second.queue.max(*lines);
                }
                Line::Server(..) | Line::Coordinator(..) => {}
            }
        }
        stats.troubles = script
            .troubles
            .iter()
            .map(|trouble| {
                let name = serde_json::to_value(trouble.kind).ok();
                let name = name.and_then(|name| name.as_str().map(str::to_owned)).unwrap_or_default();
                let (at, length) = (trouble.at.0.secs(), trouble.length.0.secs());
                (name, at, at + length)
            })
            .collect();
        stats
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::world::{play_with_options, RunOptions};
    use craneknot_rehearsal::Script;

    #[test]
    fn the_seconds_add_up_to_the_report() {
        let script = Script::built_in().unwrap();
        let played = play_with_options(&script, RunOptions::default());
        let recording =
            Recording::from_records("model", &script, played.begin, &played.records, &played.report);
        let stats = Timeline::from_recording(&recording);
        let sum = |of: fn(&Second) -> u64| stats.seconds.iter().map(of).sum::<u64>();
        let service = &played.report.service;
        assert_eq!(sum(|second| u64::from(second.asked)), service.asked);
        assert_eq!(sum(|second| u64::from(second.refused)), service.refused);
        assert_eq!(sum(|second| u64::from(second.failed)), service.failed + service.given_up);
        let importance: f64 = stats.seconds.iter().map(|second| second.importance).sum();
        let in_goal: f64 = stats.seconds.iter().map(|second| second.in_goal).sum();
        assert!((in_goal / importance - service.service).abs() < 1e-9);
        let answers: u32 = stats.servers.values().flatten().sum();
        // The timeline leaves out answers after the last second.
        assert!(f64::from(answers) > 0.97 * service.in_goal as f64, "{answers}");
        assert_eq!(stats.troubles.len(), script.troubles.len());
    }
}
