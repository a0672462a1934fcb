//! One connection: its socket, what was read ahead, and what waits to be written.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, TcpStream};

use bytes::{Buf, Bytes, BytesMut};
use craneknot::interface::Nanos;

use crate::reactor::CloseCause;
use crate::system_errors::{is_soft_network_error, is_transient};

const READS: usize = 16; // of 16 KiB a turn and connection: a fast peer must not hold up others
const READ_SIZE: usize = 16 * 1024; // bytes read at once
const WRITE_CHUNKS: usize = 32; // chunks handed to one write

/// Where a connection stands on its way to the end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closing {
    /// It is in use.
    No,
    /// The owner has no more use for it: it closes once all that waits is written.
    AfterOutput,
    /// All is written and our side is shut; what the peer still sends is read and dropped until it has seen that, so
    /// that its last bytes do not make the system reset the connection under our last ones.
    Lingering { since: Nanos },
}

pub(crate) struct Conn {
    pub made: u64,
    pub socket: TcpStream,
    pub accepted: bool,
    pub connecting: bool,
    pub input: BytesMut,
    pub output: VecDeque<Bytes>,
    pub waiting: usize,
    /// When a byte last left, or waiting began.
    pub progress: Nanos,
    pub closing: Closing,
    /// The peer has shut its sending side, and output still waits for it.
    pub read_closed: bool,
    pub ended: bool,
    pub paused: bool,
    /// What the poller watches for: reading, writing.
    pub wanted: (bool, bool),
    /// Bytes read ahead of their use.
    pub input_most: usize,
}

impl Conn {
    pub fn new(socket: TcpStream, accepted: bool, made: u64, now: Nanos, input_most: usize) -> Self {
        let connecting = !accepted;
        Conn {
            made,
            socket,
            accepted,
            connecting,
            input: BytesMut::new(),
            output: VecDeque::new(),
            waiting: 0,
            progress: now,
            closing: Closing::No,
            read_closed: false,
            ended: false,
            paused: false,
            wanted: (!connecting, connecting),
            input_most,
        }
    }

    /// What the poller is to watch for.
    pub fn interest(&self) -> (bool, bool) {
        if self.ended {
            return (false, false);
        }
        if self.connecting {
            return (false, true);
        }
        match self.closing {
            Closing::Lingering { .. } => (true, false),
            Closing::AfterOutput => (false, self.waiting > 0),
            Closing::No => {
                let room = self.input.len() < self.input_most;
                (room && !self.paused && !self.read_closed, self.waiting > 0)
            }
        }
    }

    /// Shuts our side; false: there is no use in waiting for the peer.
    pub fn begin_linger(&mut self, now: Nanos) -> bool {
        self.closing = Closing::Lingering { since: now };
        !self.read_closed && self.socket.shutdown(Shutdown::Write).is_ok()
    }

    /// Drops what the peer sends after our end; true: the peer has ended too.
    pub fn discard_input(&mut self) -> bool {
        let mut buffer = [0; READ_SIZE];
        for _ in 0..READS {
            match self.socket.read(&mut buffer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Err(cause) => return !is_transient(&cause),
            }
        }
        false
    }

    /// Reads what has come, as far as there is room for it.
    pub fn read_some(&mut self) -> Option<CloseCause> {
        let mut buffer = [0; READ_SIZE];
        let before = self.input.len();
        for _ in 0..READS {
            let room = self.input_most.saturating_sub(self.input.len()).min(buffer.len());
            if room == 0 {
                return None;
            }
            match self.socket.read(&mut buffer[..room]) {
                // The owner sees the last bytes first, and may still answer them: a peer that has shut its sending
                // side reads on. The poller tells of the end again.
                Ok(0) if self.input.len() > before => return None,
                Ok(0) => return Some(CloseCause::PeerClosed),
                Ok(count) => {
                    self.input.extend_from_slice(&buffer[..count]);
                    if count < room {
                        return None;
                    }
                }
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                // The poller tells of the bytes again, or of the end.
                Err(cause) if is_transient(&cause) || is_soft_network_error(&cause) => return None,
                Err(cause) => return Some(CloseCause::Broken(cause)),
            }
        }
        None
    }

    /// Writes as much of what waits as the system takes.
    pub fn write_some(&mut self, now: Nanos) -> io::Result<()> {
        while self.waiting > 0 {
            let chunks = self.output.iter().take(WRITE_CHUNKS);
            let slices: Vec<IoSlice> = chunks.map(|chunk| IoSlice::new(chunk)).collect();
            match self.socket.write_vectored(&slices) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.progress = now;
                    self.take_written(count);
                }
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Err(cause) if is_transient(&cause) || is_soft_network_error(&cause) => return Ok(()),
                Err(cause) => return Err(cause),
            }
        }
        Ok(())
    }

    fn take_written(&mut self, mut count: usize) {
        self.waiting -= count;
        while count > 0 {
            let Some(first) = self.output.front_mut() else { return };
            let part = count.min(first.len());
            first.advance(part);
            count -= part;
            if first.is_empty() {
                self.output.pop_front();
            }
        }
    }
}
