//! A panic in a service is logged by the log thread and does not block on standard error.
#![allow(dead_code, unused_imports, unused_macros)] // parts of the program's modules

use std::io::{self, Write};
use std::panic;
use std::sync::{Arc, Mutex};

#[path = "../src/log_writer.rs"]
mod log_writer;
#[path = "../src/output.rs"]
mod output;

/// A log destination in memory.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_panic_is_logged_with_its_cause_and_place() {
    let _guard = output::start_log_thread();
    let lines = Lines::default();
    let destination = lines.clone();
    let log = tracing_subscriber::fmt().with_writer(move || destination.clone()).with_ansi(false).finish();
    let result = tracing::subscriber::with_default(log, || panic::catch_unwind(|| panic!("a broken rule")));
    // From here on a failing test prints its panic as usual.
    drop(panic::take_hook());
    let text = String::from_utf8(lines.0.lock().unwrap().clone()).unwrap();
    assert!(result.is_err());
    assert!(
        text.contains("panicked cause=\"a broken rule\" place=\"") && text.contains("panic_log.rs:"),
        "{text}"
    );
}
