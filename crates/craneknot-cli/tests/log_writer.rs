//! The log writer with sinks that stall, fail or accept parts of lines, as a script of write outcomes says.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

#[path = "../src/log_writer.rs"]
mod log_writer;
use log_writer::LogWriter;

const KILL_AFTER: Duration = Duration::from_millis(700); // from SIGTERM to the kill by the platform
const MAX_PENDING_LINES: u64 = 4_096 + 1; // the queue and the line that is being written
const MAX_QUEUED_BYTES: usize = 1024 * 1024;
const SEEDS: u64 = 50;

/// Outcome of a write.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    All,
    /// The sink accepts at most this number of bytes.
    Part(usize),
    Fail(ErrorKind),
    /// The sink accepts nothing and reports success.
    Nothing,
}

/// A sink whose writes end as scripted; later writes succeed in full.
#[derive(Clone, Default)]
struct Sink {
    script: Arc<Mutex<VecDeque<Outcome>>>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Sink {
    fn new(script: impl IntoIterator<Item = Outcome>) -> Self {
        Sink { script: Arc::new(Mutex::new(script.into_iter().collect())), ..Sink::default() }
    }

    fn text(&self) -> String {
        String::from_utf8(self.written.lock().unwrap().clone()).unwrap()
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = match self.script.lock().unwrap().pop_front().unwrap_or(Outcome::All) {
            Outcome::All => bytes.len(),
            Outcome::Part(limit) => limit.min(bytes.len()),
            Outcome::Fail(kind) => return Err(kind.into()),
            Outcome::Nothing => 0,
        };
        self.written.lock().unwrap().extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A sink whose writes block until the sender is dropped.
struct Stalled(Receiver<()>);

impl Write for Stalled {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes these lines and drops the guard. Returns the text in the sink and the number of dropped lines.
fn write_lines(script: impl IntoIterator<Item = Outcome>, lines: &[&str]) -> (String, u64) {
    let sink = Sink::new(script);
    let (writer, guard) = LogWriter::start(sink.clone());
    lines.iter().for_each(|line| writer.enqueue(line.as_bytes()));
    drop(guard);
    (sink.text(), writer.dropped().get())
}

#[test]
fn a_stalled_sink_blocks_neither_writes_nor_shutdown_and_memory_stays_bounded() {
    for (line, max_pending) in [(vec![b'x'; 100], MAX_PENDING_LINES), (vec![b'x'; MAX_QUEUED_BYTES / 8], 9)] {
        let (release, stalled) = sync_channel::<()>(0);
        let (done_sender, done_receiver) = sync_channel(1);
        std::thread::spawn(move || {
            let (writer, guard) = LogWriter::start(Stalled(stalled));
            (0..10_000).for_each(|_| writer.enqueue(&line));
            let began = Instant::now();
            drop(guard);
            done_sender.send((began.elapsed(), writer.dropped().get())).unwrap();
        });
        let (close_time, dropped) =
            done_receiver.recv_timeout(Duration::from_secs(30)).expect("no write blocks");
        assert!(close_time < KILL_AFTER, "{close_time:?}");
        assert!((10_000 - max_pending..10_000).contains(&dropped), "{dropped}");
        drop(release);
    }
}

#[test]
fn queued_lines_are_written_on_close() {
    let sink = Sink::default();
    let (writer, guard) = LogWriter::start(sink.clone());
    (0..4_000).for_each(|number| writer.enqueue(format!("{number}\n").as_bytes()));
    drop(guard);
    let expected: String = (0..4_000).map(|number| format!("{number}\n")).collect();
    assert_eq!((sink.text(), writer.dropped().get()), (expected, 0));
}

#[test]
fn a_failed_line_is_counted_and_the_next_one_is_written() {
    for kind in [
        ErrorKind::BrokenPipe,
        ErrorKind::StorageFull,
        ErrorKind::ConnectionReset,
        ErrorKind::QuotaExceeded,
        ErrorKind::Other,
    ] {
        let (text, dropped) = write_lines([Outcome::Fail(kind)], &["first\n", "second\n"]);
        assert_eq!((text.as_str(), dropped), ("second\n", 1), "{kind:?}");
    }
    assert_eq!(write_lines([Outcome::Nothing], &["first\n", "second\n"]), ("second\n".to_owned(), 1));
}

#[test]
fn a_truncated_line_is_ended_before_the_next_one() {
    let script = [Outcome::Part(3), Outcome::Fail(ErrorKind::StorageFull)];
    assert_eq!(write_lines(script, &["first\n", "second\n"]), ("fir\nsecond\n".to_owned(), 1));
}

#[test]
fn short_interrupted_and_blocked_writes_lose_no_byte() {
    for seed in 0..SEEDS {
        let mut random = Pcg64::seed_from_u64(seed);
        let outcome = |_| match random.random_range(0..4) {
            0 => Outcome::Part(random.random_range(1..4)),
            1 => Outcome::Fail(ErrorKind::Interrupted),
            2 => Outcome::All,
            _ => Outcome::Part(1),
        };
        let mut script: Vec<Outcome> = (0..30).map(outcome).collect();
        script.insert(seed as usize % 30, Outcome::Fail(ErrorKind::WouldBlock));
        let result = write_lines(script.clone(), &["first\n", "second\n", "third\n"]);
        assert_eq!(result, ("first\nsecond\nthird\n".to_owned(), 0), "seed {seed}: {script:?}");
    }
}

#[test]
fn the_thread_exits_when_its_guard_is_dropped() {
    struct DropSignal(#[allow(dead_code)] std::sync::mpsc::SyncSender<()>);
    impl Write for DropSignal {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let (sender, receiver) = sync_channel(0);
    let (_writer, guard) = LogWriter::start(DropSignal(sender));
    drop(guard);
    assert_eq!(receiver.recv_timeout(Duration::from_secs(30)), Err(RecvTimeoutError::Disconnected));
}
