//! A log writer that never makes its caller wait. Lines go through a bounded queue to a thread of their own, which
//! writes them to the sink; what does not fit into the queue, or the sink fails to take, is dropped and counted.

use std::io::{self, ErrorKind, Write};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, RecvTimeoutError, SyncSender, TryRecvError};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use craneknot_reactor::Counter;
use tracing::warn;
use tracing_subscriber::fmt::MakeWriter;

const QUEUE_LINES: usize = 4_096; // lines that wait for the sink at most
const QUEUE_BYTES: usize = 1024 * 1024; // bytes of these lines at most
const RETRY_AFTER: Duration = Duration::from_millis(20); // until a write that would block is made again
const STALLED_AFTER: Duration = Duration::from_millis(50); // at the end: a sink that takes nothing for so long is left
const CLOSE_MOST: Duration = Duration::from_millis(250); // at the end, for a sink that takes lines slowly
const SPAWN_TRIES: u32 = 20; // the system may be short of threads for a moment
const SPAWN_RETRY: Duration = Duration::from_millis(50); // between two tries

/// What the callers and the thread share.
#[derive(Default)]
struct Shared {
    /// Bytes of the lines in the queue.
    queued: AtomicUsize,
    dropped: Counter,
    /// The owner ends: the thread writes what is queued and ends too.
    is_closing: AtomicBool,
    /// The thread is at a line that the sink has not taken yet.
    is_writing: AtomicBool,
    /// Writes that the sink has taken.
    progress: AtomicU64,
}

/// Takes lines, a write each, without waiting.
#[derive(Clone)]
pub struct LogWriter {
    queue: SyncSender<Vec<u8>>,
    shared: Arc<Shared>,
}

impl LogWriter {
    /// Starts the thread. Where the system has none to give, all lines are dropped. What waits when the guard is dropped
    /// is still written, as far as the sink takes it.
    pub fn start(sink: impl Write + Send + 'static) -> (Self, LogGuard) {
        let (queue, lines) = sync_channel(QUEUE_LINES);
        let (end, ended) = sync_channel(1);
        let shared = Arc::new(Shared::default());
        spawn(Worker {
            lines,
            sink,
            shared: shared.clone(),
            is_line_open: false,
            failed: false,
            told: 0,
            end,
        });
        let writer = LogWriter { queue, shared };
        (writer.clone(), LogGuard { writer, ended })
    }

    /// How many lines were dropped so far.
    pub fn dropped(&self) -> Counter {
        self.shared.dropped.clone()
    }

    /// Queues a line, or drops it.
    pub fn enqueue(&self, line: &[u8]) {
        let queued = self.shared.queued.fetch_add(line.len(), Ordering::Relaxed) + line.len();
        if queued > QUEUE_BYTES || self.queue.try_send(line.to_vec()).is_err() {
            self.shared.queued.fetch_sub(line.len(), Ordering::Relaxed);
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

/// Has the queued lines written when it is dropped, but does not wait for a sink that is stalled.
pub struct LogGuard {
    writer: LogWriter,
    ended: Receiver<()>,
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let shared = &self.writer.shared;
        shared.is_closing.store(true, Ordering::SeqCst);
        // Wakes a thread that waits for lines; one that has a full queue before it needs no waking.
        let _ = self.writer.queue.try_send(Vec::new());
        let until = Instant::now() + CLOSE_MOST;
        let mut before = shared.progress.load(Ordering::SeqCst);
        while self.ended.recv_timeout(STALLED_AFTER) == Err(RecvTimeoutError::Timeout) {
            let progress = shared.progress.load(Ordering::SeqCst);
            let is_stalled = progress == before && shared.is_writing.load(Ordering::SeqCst);
            if is_stalled || Instant::now() >= until {
                return;
            }
            before = progress;
        }
    }
}

/// The thread's side.
struct Worker<S> {
    lines: Receiver<Vec<u8>>,
    sink: S,
    shared: Arc<Shared>,
    /// The sink took a part of a line and then failed.
    is_line_open: bool,
    /// The sink did not take the last line.
    failed: bool,
    /// Dropped lines that the log has told of.
    told: u64,
    end: SyncSender<()>,
}

fn spawn<S: Write + Send + 'static>(worker: Worker<S>) {
    let worker = Arc::new(Mutex::new(Some(worker)));
    for _ in 0..SPAWN_TRIES {
        let given = worker.clone();
        let run = move || {
            let worker = given.lock().ok().and_then(|mut worker| worker.take());
            worker.into_iter().for_each(Worker::run);
        };
        if thread::Builder::new().name("log".to_owned()).spawn(run).is_ok() {
            return;
        }
        thread::sleep(SPAWN_RETRY);
    }
}

impl<S: Write> Worker<S> {
    fn run(mut self) {
        while let Some(line) = self.next() {
            self.shared.queued.fetch_sub(line.len(), Ordering::Relaxed);
            self.shared.is_writing.store(true, Ordering::SeqCst);
            self.failed = self.write_line(&line).is_err();
            self.shared.is_writing.store(false, Ordering::SeqCst);
            self.shared.dropped.add(u64::from(self.failed));
        }
        // The owner may have gone on without waiting.
        let _ = self.end.try_send(());
    }

    /// Waits for the next line; none: the owner ends, and all is written.
    fn next(&mut self) -> Option<Vec<u8>> {
        loop {
            let line = match self.lines.try_recv() {
                Ok(line) => line,
                Err(TryRecvError::Disconnected) => return None,
                Err(TryRecvError::Empty) if self.tell_dropped() => continue,
                Err(TryRecvError::Empty) if self.shared.is_closing.load(Ordering::SeqCst) => return None,
                Err(TryRecvError::Empty) => self.lines.recv().ok()?,
            };
            if !line.is_empty() {
                return Some(line);
            }
        }
    }

    /// Logs how many lines were dropped, once the sink takes lines again; true: there was something to tell.
    fn tell_dropped(&mut self) -> bool {
        let log_lines_dropped = self.shared.dropped.get();
        if self.failed || log_lines_dropped == self.told {
            return false;
        }
        self.told = log_lines_dropped;
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
                    self.shared.progress.fetch_add(1, Ordering::SeqCst);
                    rest = &rest[count..];
                }
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Err(cause) if cause.kind() == ErrorKind::WouldBlock => thread::sleep(RETRY_AFTER),
                Err(cause) => return Err(cause),
            }
        }
        Ok(())
    }
}
