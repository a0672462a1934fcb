//! A log writer that never blocks its caller. Lines pass through a bounded queue to a separate thread, which writes them
//! to the sink. Lines that do not fit into the queue, or that the sink fails to write, are dropped and counted.

use std::io::{self, ErrorKind, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TryRecvError};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use craneknot_reactor::Counter;
use tracing::warn;
use tracing_subscriber::fmt::MakeWriter;

const MAX_QUEUED_LINES: usize = 4_096;
const MAX_QUEUED_BYTES: usize = 1024 * 1024;
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(20); // after a write that would block
const STALL_TIMEOUT: Duration = Duration::from_millis(50); // on close: a sink without progress for so long is abandoned
const CLOSE_TIMEOUT: Duration = Duration::from_millis(250); // on close: total time for a slow sink
const SPAWN_ATTEMPTS: u32 = 20; // the system may be out of threads for a short time
const SPAWN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// State shared by the callers and the log thread.
#[derive(Default)]
struct Shared {
    /// Size of the queued lines in bytes.
    queued_bytes: AtomicUsize,
    dropped: Counter,
    /// Set when the guard is dropped: the thread writes the queued lines and exits.
    is_closing: AtomicBool,
    /// Whether the thread is writing a line to the sink.
    is_writing: AtomicBool,
    /// Number of successful writes to the sink.
    completed_writes: AtomicU64,
}

/// Accepts log lines, one per write, without blocking.
#[derive(Clone)]
pub struct LogWriter {
    queue: SyncSender<Vec<u8>>,
    shared: Arc<Shared>,
}

impl LogWriter {
    /// Starts the log thread. If the system can't create a thread, all lines are dropped. Lines that are queued when the
    /// guard is dropped are still written, as far as the sink accepts them.
    pub fn start(sink: impl Write + Send + 'static) -> (Self, LogGuard) {
        let (queue, lines) = sync_channel(MAX_QUEUED_LINES);
        let (exit_sender, exit_receiver) = sync_channel(1);
        let shared = Arc::new(Shared::default());
        spawn(Worker {
            lines,
            sink,
            shared: shared.clone(),
            is_line_open: false,
            has_write_failed: false,
            reported_dropped: 0,
            exit_sender,
        });
        let writer = LogWriter { queue, shared };
        (writer.clone(), LogGuard { writer, exit_receiver })
    }

    /// The number of lines dropped so far.
    pub fn dropped(&self) -> Counter {
        self.shared.dropped.clone()
    }

    /// Queues a line, or drops it if the queue is full.
    pub fn enqueue(&self, line: &[u8]) {
        let queued_bytes = self.shared.queued_bytes.fetch_add(line.len(), Ordering::Relaxed) + line.len();
        if queued_bytes > MAX_QUEUED_BYTES || self.queue.try_send(line.to_vec()).is_err() {
            self.shared.queued_bytes.fetch_sub(line.len(), Ordering::Relaxed);
            self.shared.dropped.add(1);
        }
    }
}

impl Write for &LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.enqueue(line);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = &'a LogWriter;

    fn make_writer(&'a self) -> Self::Writer {
        self
    }
}

/// Waits on drop until the queued lines are written, but not for a stalled sink.
pub struct LogGuard {
    writer: LogWriter,
    exit_receiver: Receiver<()>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let shared = &self.writer.shared;
        shared.is_closing.store(true, Ordering::SeqCst);
        // Wakes a thread that waits for lines; with a full queue it is awake already.
        let _ = self.writer.queue.try_send(Vec::new());
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        let mut previous = shared.completed_writes.load(Ordering::SeqCst);
        while self.exit_receiver.recv_timeout(STALL_TIMEOUT) == Err(RecvTimeoutError::Timeout) {
            let completed_writes = shared.completed_writes.load(Ordering::SeqCst);
            let is_stalled = completed_writes == previous && shared.is_writing.load(Ordering::SeqCst);
            if is_stalled || Instant::now() >= deadline {
                return;
            }
            previous = completed_writes;
        }
    }
}

/// State of the log thread.
struct Worker<S> {
    lines: Receiver<Vec<u8>>,
    sink: S,
    shared: Arc<Shared>,
    /// Whether the sink failed after writing a part of a line.
    is_line_open: bool,
    /// Whether writing the last line failed.
    has_write_failed: bool,
    /// Number of dropped lines that the log has reported.
    reported_dropped: u64,
    exit_sender: SyncSender<()>,
}

fn spawn<S: Write + Send + 'static>(worker: Worker<S>) {
    let worker = Arc::new(Mutex::new(Some(worker)));
    for _ in 0..SPAWN_ATTEMPTS {
        let shared_worker = worker.clone();
        let run = move || {
            let worker = shared_worker.lock().ok().and_then(|mut worker| worker.take());
            worker.into_iter().for_each(Worker::run);
        };
        if thread::Builder::new().name("log".to_owned()).spawn(run).is_ok() {
            return;
        }
        thread::sleep(SPAWN_RETRY_DELAY);
    }
}

impl<S: Write> Worker<S> {
    fn run(mut self) {
        while let Some(line) = self.next_line() {
            self.shared.queued_bytes.fetch_sub(line.len(), Ordering::Relaxed);
            self.shared.is_writing.store(true, Ordering::SeqCst);
            self.has_write_failed = self.write_line(&line).is_err();
            self.shared.is_writing.store(false, Ordering::SeqCst);
            self.shared.dropped.add(u64::from(self.has_write_failed));
        }
        // The guard may have stopped waiting.
        let _ = self.exit_sender.try_send(());
    }

    /// Waits for the next line. Returns none when the log is closing and every queued line is written.
    fn next_line(&mut self) -> Option<Vec<u8>> {
        loop {
            let line = match self.lines.try_recv() {
                Ok(line) => line,
                Err(TryRecvError::Disconnected) => return None,
                Err(TryRecvError::Empty) if self.report_dropped() => continue,
                Err(TryRecvError::Empty) if self.shared.is_closing.load(Ordering::SeqCst) => return None,
                Err(TryRecvError::Empty) => self.lines.recv().ok()?,
            };
            if !line.is_empty() {
                return Some(line);
            }
        }
    }

    /// Logs the number of dropped lines once the sink accepts lines again. Returns whether there was anything to report.
    fn report_dropped(&mut self) -> bool {
        let log_lines_dropped = self.shared.dropped.get();
        if self.has_write_failed || log_lines_dropped == self.reported_dropped {
            return false;
        }
        self.reported_dropped = log_lines_dropped;
        warn!(log_lines_dropped, "log lines were dropped");
        true
    }

    fn write_line(&mut self, line: &[u8]) -> io::Result<()> {
        if self.is_line_open {
            self.write_all(b"\n")?;
        }
        self.write_all(line)
    }

    fn write_all(&mut self, mut rest: &[u8]) -> io::Result<()> {
        while !rest.is_empty() {
            match self.sink.write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.is_line_open = rest[count - 1] != b'\n';
                    self.shared.completed_writes.fetch_add(1, Ordering::SeqCst);
                    rest = &rest[count..];
                }
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => thread::sleep(WRITE_RETRY_DELAY),
                Err(cause) => return Err(cause),
            }
        }
        Ok(())
    }
}
