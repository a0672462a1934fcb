//! One connection: its socket, the bytes received and the bytes queued for writing.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::net::{Shutdown, TcpStream};

use bytes::{Buf, Bytes, BytesMut};
use craneknot::interface::Nanos;

use crate::reactor::{CloseCause, Unfinished};
use crate::system_errors::{is_soft_network_error, is_transient};

const MAX_READS: usize = 16; // of 16 KiB per event, so that a fast peer does not hold up the others
const READ_BYTES: usize = 16 * 1024; // per read
const MAX_WRITE_CHUNKS: usize = 32; // per vectored write

/// The stages of a graceful close.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closing {
    /// The connection is in use.
    No,
    /// The owner has finished with the connection; it closes once all queued bytes are written.
    AfterOutput,
    /// All bytes are written and the sending side is shut down. Input is read and discarded until the peer has seen
    /// that: unread input would make the system reset the connection before the peer has received our last bytes.
    Lingering { since: Nanos },
}

pub(crate) struct Conn {
    pub generation: u64,
    pub socket: TcpStream,
    pub accepted: bool,
    pub connecting: bool,
    pub input: BytesMut,
    pub output: VecDeque<Bytes>,
    /// Number of bytes in `output`.
    pub unsent: usize,
    /// When a byte was last written, or when bytes were first queued.
    pub last_progress: Nanos,
    pub closing: Closing,
    /// The peer has shut down its sending side while output is still queued for it.
    pub read_closed: bool,
    pub ended: bool,
    pub paused: bool,
    /// The interest registered with the poller: reading, writing.
    pub registered_interest: (bool, bool),
    /// Limit of the bytes buffered for reading.
    pub input_limit: usize,
    /// Bytes in `input` when the owner was last told of them.
    pub received_len: usize,
    /// The message that the owner has read in part.
    pub unfinished: Option<Unfinished>,
    /// The memory of the output is shared with other connections.
    pub is_output_shared: bool,
    /// The peer has reset the connection; input that it sent before may still be read.
    pub is_reset: bool,
    /// The owner has left input for its next turn.
    pub is_deferred: bool,
    /// The owner has left input until the peer has read its answers.
    pub awaits_output: bool,
    /// Bytes counted towards the budget of all connections.
    pub counted: usize,
}

impl Conn {
    pub fn new(socket: TcpStream, accepted: bool, generation: u64, now: Nanos, input_limit: usize) -> Self {
        let connecting = !accepted;
        Conn {
            generation,
            socket,
            accepted,
            connecting,
            input: BytesMut::new(),
            output: VecDeque::new(),
            unsent: 0,
            last_progress: now,
            closing: Closing::No,
            read_closed: false,
            ended: false,
            paused: false,
            registered_interest: (!connecting, connecting),
            input_limit,
            received_len: 0,
            unfinished: None,
            is_output_shared: false,
            is_reset: false,
            is_deferred: false,
            awaits_output: false,
            counted: 0,
        }
    }

    /// Releases the memory of input that the owner has consumed. What is left is copied, because consumed bytes at the
    /// front would keep the whole allocation.
    pub fn release_consumed(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        } else if self.input.len() < self.received_len {
            self.input = BytesMut::from(&self.input[..]);
        }
        self.received_len = self.input.len();
    }

    /// The interest that the poller should have.
    pub fn interest(&self) -> (bool, bool) {
        if self.ended {
            return (false, false);
        }
        if self.connecting {
            return (false, true);
        }
        match self.closing {
            Closing::Lingering { .. } => (true, false),
            Closing::AfterOutput => (false, self.unsent > 0),
            Closing::No => {
                let has_space = self.input.len() < self.input_limit;
                let is_read = !self.paused && !self.awaits_output && !self.read_closed;
                (has_space && is_read, self.unsent > 0)
            }
        }
    }

    /// Shuts down the sending side; false if there is no point in waiting for the peer.
    pub fn begin_linger(&mut self, now: Nanos) -> bool {
        self.closing = Closing::Lingering { since: now };
        !self.read_closed && self.socket.shutdown(Shutdown::Write).is_ok()
    }

    /// Discards what the peer sends after our end of stream; true if the peer has ended too.
    pub fn discard_input(&mut self) -> bool {
        let mut buffer = [0; READ_BYTES];
        for _ in 0..MAX_READS {
            match self.socket.read(&mut buffer) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Err(cause) => return !is_transient(&cause),
            }
        }
        false
    }

    /// Reads the available bytes, up to the limit of the input buffer.
    pub fn read_available(&mut self) -> Option<CloseCause> {
        let mut buffer = [0; READ_BYTES];
        let before = self.input.len();
        for _ in 0..MAX_READS {
            let space = self.input_limit.saturating_sub(self.input.len()).min(buffer.len());
            if space == 0 {
                return None;
            }
            match self.socket.read(&mut buffer[..space]) {
                // The owner handles the last bytes first and may answer them, since a peer that has shut down its
                // sending side may still read. The poller reports the end again.
                Ok(0) if self.input.len() > before => return None,
                Ok(0) => return Some(CloseCause::PeerClosed),
                Ok(count) => {
                    self.input.extend_from_slice(&buffer[..count]);
                    if count < space {
                        return None;
                    }
                }
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                // The poller reports the bytes or the end again.
                Err(cause) if is_transient(&cause) || is_soft_network_error(&cause) => return None,
                Err(cause) => return Some(CloseCause::Broken(cause)),
            }
        }
        None
    }

    /// Writes as many of the queued bytes as the system accepts.
    pub fn write_available(&mut self, now: Nanos) -> io::Result<()> {
        while self.unsent > 0 {
            let chunks = self.output.iter().take(MAX_WRITE_CHUNKS);
            let slices: Vec<IoSlice> = chunks.map(|chunk| IoSlice::new(chunk)).collect();
            match self.socket.write_vectored(&slices) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.last_progress = now;
                    self.remove_written(count);
                }
                Err(cause) if cause.kind() == ErrorKind::Interrupted => {}
                Err(cause) if is_transient(&cause) || is_soft_network_error(&cause) => return Ok(()),
                Err(cause) => return Err(cause),
            }
        }
        Ok(())
    }

    fn remove_written(&mut self, mut count: usize) {
        self.unsent -= count;
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
