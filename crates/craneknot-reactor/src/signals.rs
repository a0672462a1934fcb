//! Signals as flags. A signal sets its flag and then tries to wake the loop. The loop reads the flags in every
//! iteration, so that no signal depends on the delivery of its wake-up byte.

use std::io::{self, Read};
use std::os::unix::net::UnixStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The signals that a process handles from the creation of this value.
#[derive(Clone, Default)]
pub struct SignalFlags(Vec<(i32, Arc<AtomicBool>)>);

impl SignalFlags {
    /// Registers these signals, which no longer have their default effect from now on.
    pub fn register(numbers: &[i32]) -> io::Result<Self> {
        let mut flags = SignalFlags::default();
        numbers.iter().try_for_each(|number| flags.add(*number))?;
        Ok(flags)
    }

    pub(crate) fn add(&mut self, number: i32) -> io::Result<()> {
        let flag = Arc::new(AtomicBool::new(false));
        signal_hook::flag::register(number, flag.clone())?;
        self.0.push((number, flag));
        Ok(())
    }

    pub(crate) fn extend(&mut self, other: SignalFlags) {
        self.0.extend(other.0);
    }

    pub(crate) fn numbers(&self) -> Vec<i32> {
        self.0.iter().map(|(number, _)| *number).collect()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The signals received since the last call, each once.
    pub(crate) fn take(&self) -> Vec<i32> {
        let received = self.0.iter().filter(|(_, flag)| flag.swap(false, Ordering::SeqCst));
        received.map(|(number, _)| *number).collect()
    }
}

/// Creates a pipe that becomes readable on any of these signals.
pub(crate) fn wake_pipe(numbers: &[i32]) -> io::Result<UnixStream> {
    let (pipe, write_end) = UnixStream::pair()?;
    pipe.set_nonblocking(true)?;
    for number in numbers {
        signal_hook::low_level::pipe::register(*number, write_end.try_clone()?)?;
    }
    Ok(pipe)
}

/// Discards the wake-up bytes of received signals.
pub(crate) fn drain(pipe: &mut UnixStream) {
    let mut buffer = [0; 64];
    while matches!(pipe.read(&mut buffer), Ok(count) if count > 0) {}
}
