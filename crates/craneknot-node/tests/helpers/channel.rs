//! The channel of a coordinator as the platform's protocol describes it, and a checker that counts what crosses
//! it: the messages written to each proxy and the lines that wait.

use std::collections::{BTreeMap, VecDeque};

/// The channel's rate and limits, as a configuration gives them.
#[derive(Clone, Debug)]
pub struct ChannelSettings {
    pub lines_per_ms: f64,
    /// Most lines that may wait.
    pub lines_limit: f64,
    /// Lines that a message costs besides those it carries.
    pub message_overhead: f64,
    /// Most messages to one proxy within `message_span_ms`, counted from its joining; 0: no limit.
    pub message_limit: usize,
    pub message_span_ms: u64,
}

impl Default for ChannelSettings {
    fn default() -> Self {
        ChannelSettings {
            lines_per_ms: 14.8,
            lines_limit: 29_600.0,
            message_overhead: 3.0,
            message_limit: 0,
            message_span_ms: 10_000,
        }
    }
}

/// Counts the messages and lines of all coordinators.
#[derive(Debug, Default)]
pub struct ChannelChecker {
    /// When messages were written to each proxy, within the span and since its joining.
    written: BTreeMap<u16, VecDeque<u64>>,
    /// The most messages that were written to one proxy within the span.
    pub most_messages: usize,
    /// The most lines that waited in one channel.
    pub most_lines: f64,
    /// Marks that were lower than an earlier one of the same process.
    pub reversed_marks: usize,
}

impl ChannelChecker {
    pub fn proxy_joined(&mut self, proxy: u16) {
        self.written.remove(&proxy);
    }

    pub fn message_written(&mut self, settings: &ChannelSettings, now: u64, proxy: u16) {
        let times = self.written.entry(proxy).or_default();
        times.push_back(now);
        while times.front().is_some_and(|first| now - first >= settings.message_span_ms) {
            times.pop_front();
        }
        self.most_messages = self.most_messages.max(times.len());
    }

    pub fn lines_waiting(&mut self, lines: f64) {
        self.most_lines = self.most_lines.max(lines);
    }

    /// A process has sent a mark; `last_mark` is its mark before.
    pub fn mark_sent(&mut self, last_mark: Option<u16>, mark: u16) {
        let is_reversed = last_mark.is_some_and(|last| mark.wrapping_sub(last) > u16::MAX / 2);
        self.reversed_marks += usize::from(is_reversed);
    }
}
