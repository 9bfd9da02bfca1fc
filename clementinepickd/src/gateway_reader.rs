//! Reads the bytes of a caller's connection into a buffer whose memory is claimed before it is taken.

use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;

use actix_rt::time::sleep;
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, Interest, Ready};
use tokio::net::tcp::OwnedReadHalf;
use tokio::task::yield_now;

use crate::connections::{MemoryClaim, OpenConnection};
use crate::input_first::poll_once;

/// How many bytes of the next request are buffered while one is served; beyond this, TCP flow
/// control makes the caller wait.
const MAX_PIPELINED_BYTES: usize = 65_536;
/// The smallest buffer, in bytes; request heads and most bodies are smaller.
const READ_BUFFER_BYTES: usize = 2_048;
/// How many bytes are read before other connections get their turn. A caller that always has bytes to
/// send would otherwise keep the thread.
const TURN_BYTES: usize = 8_192;
/// How often a caller whose input can't be read is checked for its disconnect.
const UNREAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The state of a caller's input that its reply and its timers look at.
#[derive(Default)]
pub(crate) struct InputState {
    received_bytes: Cell<u64>,
    /// The received bytes up to the end of the current request.
    consumed_bytes: Cell<u64>,
    /// The number of the last byte that still gets a response, if the connection ends.
    last_byte: Cell<Option<u64>>,
}

impl InputState {
    /// Ends the connection after the responses to what has arrived.
    pub(crate) fn end(&self) {
        if !self.is_ending() {
            self.last_byte.set(Some(self.received_bytes.get()));
        }
    }

    pub(crate) fn is_ending(&self) -> bool {
        self.last_byte.get().is_some()
    }

    /// Returns whether the response to the current request is the last one that is due.
    pub(crate) fn is_answered(&self) -> bool {
        let answered = self.last_byte.get();
        self.consumed_bytes.get() >= answered.unwrap_or(self.received_bytes.get())
    }

    /// Returns the number of bytes that were received, which grows while input arrives.
    pub(crate) fn received_bytes(&self) -> &Cell<u64> {
        &self.received_bytes
    }
}

/// What came of reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadOutcome {
    /// More bytes are in the buffer.
    Read,
    /// The caller has closed the connection or its sending side.
    Closed,
    /// There is no memory for more bytes.
    OutOfMemory,
}

/// Reads a caller's connection.
pub(crate) struct Reader<'a> {
    read: OwnedReadHalf,
    pub(crate) buffer: BytesMut,
    /// The memory of the buffer, unless the head of the current request shares it.
    claim: MemoryClaim<'a>,
    pub(crate) state: &'a InputState,
    pub(crate) connection: &'a OpenConnection,
    /// The bytes that were read since other connections had their turn.
    turn_bytes: usize,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(
        read: OwnedReadHalf,
        state: &'a InputState,
        connection: &'a OpenConnection,
    ) -> Self {
        Self {
            read,
            buffer: BytesMut::new(),
            claim: connection.claim(),
            state,
            connection,
            turn_bytes: 0,
        }
    }

    pub(crate) fn update_state(&self) {
        let buffered = self.buffer.len() as u64;
        let received = self.state.received_bytes.get();
        self.state.consumed_bytes.set(received - buffered);
    }

    /// Returns the claim for the memory of the buffer, which the head of a request shares from now on.
    pub(crate) fn share_buffer(&mut self) -> MemoryClaim<'a> {
        self.claim.take()
    }

    /// Drops the buffer and what it holds.
    pub(crate) fn release(&mut self) {
        self.buffer = BytesMut::new();
        self.claim.shrink_to(0);
    }

    /// Reads more bytes of a request.
    pub(crate) async fn fill(&mut self) -> ReadOutcome {
        if !self.wait_if_empty().await {
            return ReadOutcome::Closed;
        }
        if let Some(capacity) = self.needed_capacity() {
            if !self.claim.grow_to(capacity).await {
                return ReadOutcome::OutOfMemory;
            }
            self.set_capacity(capacity);
        }
        self.read_spare().await
    }

    /// Reads input behind a running request.
    async fn fill_ahead(&mut self) -> ReadOutcome {
        if self.buffer.len() >= MAX_PIPELINED_BYTES {
            return ReadOutcome::OutOfMemory;
        }
        if !self.wait_if_empty().await {
            return ReadOutcome::Closed;
        }
        if let Some(capacity) = self.needed_capacity() {
            if !self.claim.grow_read_ahead_to(capacity) {
                return ReadOutcome::OutOfMemory;
            }
            self.set_capacity(capacity);
        }
        self.read_spare().await
    }

    /// Waits for input if the buffer is empty; returns false if the connection fails.
    ///
    /// The buffer is released meanwhile, because hundreds of connections are idle between two requests.
    async fn wait_if_empty(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        self.release();
        self.read.readable().await.is_ok()
    }

    /// Returns the size of the buffer that the next read needs; `None` if this one has space left.
    fn needed_capacity(&self) -> Option<usize> {
        let length = self.buffer.len();
        let is_full = length == self.buffer.capacity();
        is_full.then(|| (length + READ_BUFFER_BYTES).next_power_of_two())
    }

    fn set_capacity(&mut self, capacity: usize) {
        let mut buffer = BytesMut::with_capacity(capacity);
        buffer.extend_from_slice(&self.buffer);
        self.buffer = buffer;
    }

    async fn read_spare(&mut self) -> ReadOutcome {
        if self.turn_bytes >= TURN_BYTES {
            self.turn_bytes = 0;
            yield_now().await;
        }
        let Ok(count) = self.read.read_buf(&mut self.buffer).await else {
            return ReadOutcome::Closed;
        };
        self.turn_bytes += count;
        self.connection.record_received(count);
        let received = &self.state.received_bytes;
        received.set(received.get() + count as u64);
        self.update_state();
        if count > 0 {
            ReadOutcome::Read
        } else {
            ReadOutcome::Closed
        }
    }

    /// Returns once the caller has closed its connection or its sending side.
    ///
    /// Such a caller does not use the response; dropping the request also stops the backend
    /// server's work for it.
    pub(crate) async fn wait_for_disconnect(&mut self) {
        loop {
            match self.fill_ahead().await {
                ReadOutcome::Read => {}
                ReadOutcome::Closed => return,
                ReadOutcome::OutOfMemory if self.has_closed_unread().await => return,
                // Memory may be free by then.
                ReadOutcome::OutOfMemory => sleep(UNREAD_CHECK_INTERVAL).await,
            }
        }
    }

    /// Returns whether the caller has closed its sending side, also behind input for which there is no
    /// memory.
    async fn has_closed_unread(&mut self) -> bool {
        let mut byte = [0];
        let peeked = poll_once(pin!(self.read.peek(&mut byte))).await;
        if matches!(peeked, Some(Ok(0) | Err(_))) {
            return true;
        }
        let ready = poll_once(pin!(self.read.ready(Interest::READABLE))).await;
        ready.is_some_and(|ready| ready.is_ok_and(Ready::is_read_closed))
    }

    /// Reads and drops what arrives until the caller closes its sending side or `max_bytes` have
    /// arrived.
    pub(crate) async fn discard(&mut self, max_bytes: u64) {
        let end = self.state.received_bytes.get() + max_bytes;
        self.release();
        while self.state.received_bytes.get() < end && self.fill().await == ReadOutcome::Read {
            self.buffer.clear();
        }
    }
}
