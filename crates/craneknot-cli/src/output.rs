//! The process's standard output and error. A failed write to either is ignored: it must not panic, and changes no exit
//! code. A process that serves writes its errors and its log by a thread, and waits for neither.

use std::backtrace::{Backtrace, BacktraceStatus};
use std::fmt::Arguments;
use std::io::{self, Write};
use std::panic::{self, PanicHookInfo};
use std::sync::OnceLock;

use craneknot_reactor::Counter;
use tracing::error;
use tracing_subscriber::fmt::writer::BoxMakeWriter;

use crate::log_writer::{LogGuard, LogWriter};

/// Takes all that goes to standard error in a process that serves.
static LOG: OnceLock<LogWriter> = OnceLock::new();

/// From now on nothing waits for standard error, panics included; what is left of it is written when the guard is
/// dropped.
pub fn start_log_thread() -> LogGuard {
    let (writer, guard) = LogWriter::start(io::stderr());
    // Only the first call in a process counts.
    let _ = LOG.set(writer);
    panic::set_hook(Box::new(log_panic));
    guard
}

fn log_panic(info: &PanicHookInfo) {
    let place = info.location().map(ToString::to_string);
    error!(cause = info.payload_as_str(), place, "panicked");
    let backtrace = Backtrace::capture();
    if backtrace.status() == BacktraceStatus::Captured {
        write_error(format_args!("{backtrace}\n"));
    }
}

/// Where the log goes.
pub fn log() -> BoxMakeWriter {
    match LOG.get() {
        Some(writer) => BoxMakeWriter::new(writer.clone()),
        None => BoxMakeWriter::new(io::stderr),
    }
}

/// How many log lines were dropped so far.
pub fn dropped_lines() -> Counter {
    LOG.get().map(LogWriter::dropped).unwrap_or_default()
}

/// Writes to standard output.
pub fn write_output(text: Arguments) {
    let _ = io::stdout().write_fmt(text);
}

/// Writes to standard error.
pub fn write_error(text: Arguments) {
    match LOG.get() {
        Some(writer) => writer.enqueue(text.to_string().as_bytes()),
        None => drop(io::stderr().write_fmt(text)),
    }
}

/// Writes a line to standard output.
macro_rules! print_line {
    ($($text:tt)*) => { $crate::output::write_output(format_args!("{}\n", format_args!($($text)*))) };
}

/// Writes a line to standard error.
macro_rules! error_line {
    ($($text:tt)*) => { $crate::output::write_error(format_args!("{}\n", format_args!($($text)*))) };
}

pub(crate) use {error_line, print_line};
