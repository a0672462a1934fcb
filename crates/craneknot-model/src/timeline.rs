//! A recorded run second by second.

use std::collections::BTreeMap;

use craneknot_rehearsal::recording::{End, How, Line, Recording};
use serde::Serialize;

/// One second, by when operations were asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Second {
    pub asked: u32,
    /// Importance asked for, and that answered within the goal.
    pub importance: f64,
    pub in_goal: f64,
    pub refused: u32,
    pub failed: u32,
    /// Tries that proxies sent for each operation asked for count here, by when they ended.
    pub tries: u32,
    pub swaps: u32,
    /// Servers by class that proxies' tables gained or lost.
    pub moved: u32,
    /// The most lines in any coordinator's channel.
    pub queue: f64,
}

impl Second {
    /// Importance answered within the goal over importance asked for; 1 where nothing was.
    pub fn service(&self) -> f64 {
        if self.importance > 0.0 {
            self.in_goal / self.importance
        } else {
            1.0
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Timeline {
    pub seconds: Vec<Second>,
    /// Good answers in each second, by server.
    pub servers: BTreeMap<u32, Vec<u32>>,
    /// What the script's troubles are called, and from when to when they last, s.
    pub troubles: Vec<(String, f64, f64)>,
}

const MICROS: i64 = 1_000_000; // in a second

impl Timeline {
    pub fn from_recording(recording: &Recording) -> Self {
        let script = &recording.head.script;
        let count = script.length.0.secs().ceil() as usize;
        let mut line = Timeline { seconds: vec![Second::default(); count], ..Timeline::default() };
        let place = |at: i64| usize::try_from(at.div_euclid(MICROS)).ok().filter(|place| *place < count);
        for one in &recording.lines {
            match one {
                Line::Asked(at, class, _) => {
                    let Some(second) = place(*at).map(|place| &mut line.seconds[place]) else { continue };
                    second.asked += 1;
                    second.importance += script.classes[usize::from(*class)].importance;
                }
                Line::Ended(at, class, how, took) => {
                    let asked = at - *took as i64;
                    let Some(second) = place(asked).map(|place| &mut line.seconds[place]) else { continue };
                    match how {
                        End::InGoal => second.in_goal += script.classes[usize::from(*class)].importance,
                        End::Refused => second.refused += 1,
                        End::Failed | End::GivenUp => second.failed += 1,
                        End::Late => {}
                    }
                }
                Line::Tried(at, _, server, _, how, _) => {
                    let Some(place) = place(*at) else { continue };
                    line.seconds[place].tries += 1;
                    if *how == How::Good {
                        line.servers.entry(*server).or_insert_with(|| vec![0; count])[place] += 1;
                    }
                }
                Line::Swapped(at, _, moved, _) => {
                    let Some(second) = place(*at).map(|place| &mut line.seconds[place]) else { continue };
                    second.swaps += 1;
                    second.moved += moved;
                }
                Line::Queue(at, _, lines) => {
                    let Some(second) = place(*at).map(|place| &mut line.seconds[place]) else { continue };
                    second.queue = second.queue.max(*lines);
                }
                Line::Server(..) | Line::Coordinator(..) => {}
            }
        }
        line.troubles = script
            .troubles
            .iter()
            .map(|trouble| {
                let name = serde_json::to_value(trouble.kind).ok();
                let name = name.and_then(|name| name.as_str().map(str::to_owned)).unwrap_or_default();
                let (at, length) = (trouble.at.0.secs(), trouble.length.0.secs());
                (name, at, at + length)
            })
            .collect();
        line
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
        let recording = Recording::of("model", &script, played.begin, &played.records, &played.report);
        let line = Timeline::from_recording(&recording);
        let sum = |of: fn(&Second) -> u64| line.seconds.iter().map(of).sum::<u64>();
        let service = &played.report.service;
        assert_eq!(sum(|second| u64::from(second.asked)), service.asked);
        assert_eq!(sum(|second| u64::from(second.refused)), service.refused);
        assert_eq!(sum(|second| u64::from(second.failed)), service.failed + service.given_up);
        let importance: f64 = line.seconds.iter().map(|second| second.importance).sum();
        let in_goal: f64 = line.seconds.iter().map(|second| second.in_goal).sum();
        assert!((in_goal / importance - service.service).abs() < 1e-9);
        let answers: u32 = line.servers.values().flatten().sum();
        // Answers after the last second are not in it.
        assert!(f64::from(answers) > 0.97 * service.in_goal as f64, "{answers}");
        assert_eq!(line.troubles.len(), script.troubles.len());
    }
}
