//! Standard output and standard error of the process. Failed writes are ignored: they must neither panic nor change the
//! exit code. A service writes its errors and its log on a separate thread and never blocks on them.

use std::backtrace::{Backtrace, BacktraceStatus};
use std::fmt::Arguments;
use std::io::{self, Write};
use std::panic::{self, PanicHookInfo};
use std::sync::OnceLock;

use craneknot_reactor::Counter;
use tracing::error;
use tracing_subscriber::fmt::writer::BoxMakeWriter;

use crate::log_writer::{LogGuard, LogWriter};

/// Receives everything that a service writes to standard error.
static LOG_WRITER: OnceLock<LogWriter> = OnceLock::new();

/// Sends everything for standard error, panic messages included, to a log thread from now on, so that no caller blocks.
/// Dropping the guard writes the queued lines.
pub fn start_log_thread() -> LogGuard {
    let (writer, guard) = LogWriter::start(io::stderr());
    // Only the first call in a process has an effect.
    let _ = LOG_WRITER.set(writer);
    panic::set_hook(Box::new(log_panic));
    guard
}

fn log_panic(info: &PanicHookInfo) {
    let location = info.location().map(ToString::to_string);
    error!(cause = info.payload_as_str(), place = location, "panicked");
    let backtrace = Backtrace::capture();
    if backtrace.status() == BacktraceStatus::Captured {
        write_error(format_args!("{backtrace}\n"));
    }
}

/// The destination of the log: the log thread if it runs, otherwise standard error.
pub fn log_target() -> BoxMakeWriter {
    match LOG_WRITER.get() {
        Some(writer) => BoxMakeWriter::new(writer.clone()),
        None => BoxMakeWriter::new(io::stderr),
    }
}

/// The number of log lines dropped so far.
pub fn dropped_lines() -> Counter {
    LOG_WRITER.get().map(LogWriter::dropped).unwrap_or_default()
}

/// Writes to standard output.
pub fn write_output(text: Arguments) {
    let _ = io::stdout().write_fmt(text);
}

/// Writes to standard error.
pub fn write_error(text: Arguments) {
    match LOG_WRITER.get() {
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
