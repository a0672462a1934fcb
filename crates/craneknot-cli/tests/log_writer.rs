//! The log writer on sinks that stall, fail and take lines in parts, by a script of what each write does.

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

const KILL_AFTER: Duration = Duration::from_millis(700); // after SIGTERM the platform kills
const QUEUED_LINES_MOST: u64 = 4_096 + 1; // one more is at the sink
const QUEUED_BYTES_MOST: usize = 1024 * 1024;
const SEEDS: u64 = 50;

/// What a write does.
#[derive(Clone, Copy, Debug)]
enum Outcome {
    All,
    /// It takes so many bytes at the most.
    Part(usize),
    Fail(ErrorKind),
    /// It takes nothing, and says that it did not fail.
    Nothing,
}

/// Does as its script says, then takes all.
#[derive(Clone, Default)]
struct Sink {
    script: Arc<Mutex<VecDeque<Outcome>>>,
    taken: Arc<Mutex<Vec<u8>>>,
}

impl Sink {
    fn new(script: impl IntoIterator<Item = Outcome>) -> Self {
        Sink { script: Arc::new(Mutex::new(script.into_iter().collect())), ..Sink::default() }
    }

    fn text(&self) -> String {
        String::from_utf8(self.taken.lock().unwrap().clone()).unwrap()
    }
}

impl Write for Sink {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = match self.script.lock().unwrap().pop_front().unwrap_or(Outcome::All) {
            Outcome::All => bytes.len(),
            Outcome::Part(most) => most.min(bytes.len()),
            Outcome::Fail(kind) => return Err(kind.into()),
            Outcome::Nothing => 0,
        };
        self.taken.lock().unwrap().extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A sink whose writes do not return until the sender is gone.
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

/// Writes these lines and ends; what the sink has then, and how many lines were dropped.
fn written(script: impl IntoIterator<Item = Outcome>, lines: &[&str]) -> (String, u64) {
    let sink = Sink::new(script);
    let (writer, guard) = LogWriter::start(sink.clone());
    lines.iter().for_each(|line| writer.enqueue(line.as_bytes()));
    drop(guard);
    (sink.text(), writer.dropped().get())
}

#[test]
fn a_stalled_sink_holds_up_neither_writes_nor_the_end_and_fills_no_memory() {
    for (line, queued_most) in [(vec![b'x'; 100], QUEUED_LINES_MOST), (vec![b'x'; QUEUED_BYTES_MOST / 8], 9)]
    {
        let (release, stalled) = sync_channel::<()>(0);
        let (done, is_done) = sync_channel(1);
        std::thread::spawn(move || {
            let (writer, guard) = LogWriter::start(Stalled(stalled));
            (0..10_000).for_each(|_| writer.enqueue(&line));
            let began = Instant::now();
            drop(guard);
            done.send((began.elapsed(), writer.dropped().get())).unwrap();
        });
        let (ending, dropped) = is_done.recv_timeout(Duration::from_secs(30)).expect("no write waits");
        assert!(ending < KILL_AFTER, "{ending:?}");
        assert!((10_000 - queued_most..10_000).contains(&dropped), "{dropped}");
        drop(release);
    }
}

#[test]
fn all_that_waits_is_written_at_the_end() {
    let sink = Sink::default();
    let (writer, guard) = LogWriter::start(sink.clone());
    (0..4_000).for_each(|number| writer.enqueue(format!("{number}\n").as_bytes()));
    drop(guard);
    let whole: String = (0..4_000).map(|number| format!("{number}\n")).collect();
    assert_eq!((sink.text(), writer.dropped().get()), (whole, 0));
}

#[test]
fn a_refused_line_is_counted_and_the_next_one_is_written() {
    for kind in [
        ErrorKind::BrokenPipe,
        ErrorKind::StorageFull,
        ErrorKind::ConnectionReset,
        ErrorKind::QuotaExceeded,
        ErrorKind::Other,
    ] {
        let (text, dropped) = written([Outcome::Fail(kind)], &["first\n", "second\n"]);
        assert_eq!((text.as_str(), dropped), ("second\n", 1), "{kind:?}");
    }
    assert_eq!(written([Outcome::Nothing], &["first\n", "second\n"]), ("second\n".to_owned(), 1));
}

#[test]
fn a_line_that_is_cut_off_does_not_run_into_the_next() {
    let script = [Outcome::Part(3), Outcome::Fail(ErrorKind::StorageFull)];
    assert_eq!(written(script, &["first\n", "second\n"]), ("fir\nsecond\n".to_owned(), 1));
}

#[test]
fn short_interrupted_and_blocked_writes_cost_no_byte() {
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
        let told = written(script.clone(), &["first\n", "second\n", "third\n"]);
        assert_eq!(told, ("first\nsecond\nthird\n".to_owned(), 0), "seed {seed}: {script:?}");
    }
}

#[test]
fn the_thread_ends_with_its_guard() {
    struct Ends(#[allow(dead_code)] std::sync::mpsc::SyncSender<()>);
    impl Write for Ends {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let (sink, ended) = sync_channel(0);
    let (_writer, guard) = LogWriter::start(Ends(sink));
    drop(guard);
    assert_eq!(ended.recv_timeout(Duration::from_secs(30)), Err(RecvTimeoutError::Disconnected));
}
