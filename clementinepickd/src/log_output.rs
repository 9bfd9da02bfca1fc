//! Writes log lines whole or not at all, and never waits long for whoever reads them.

use std::io::{self, ErrorKind, Stderr, Stdout, Write};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::event::{PollFd, PollFlags, Timespec, poll};

/// The number of bytes that a pipe takes without blocking if it takes any.
const PIPE_WRITE_BYTES: usize = 4_096;
/// How long a line waits for a reader that is slow.
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// A standard output or error, which fails a write that would wait for longer than [`WRITE_TIMEOUT`], and any
/// wait after that until it takes bytes again.
#[derive(Debug)]
pub(crate) struct StandardStream<S> {
    /// Only its descriptor is used: writes pass by its buffer.
    stream: S,
    is_stalled: bool,
}

pub(crate) type StandardOutput = StandardStream<Stdout>;
pub(crate) type StandardError = StandardStream<Stderr>;

impl StandardOutput {
    /// Returns the standard output without a buffer.
    pub(crate) fn new() -> Self {
        Self::over(io::stdout())
    }
}

impl StandardError {
    /// Returns the standard error without a lock.
    pub(crate) fn new() -> Self {
        Self::over(io::stderr())
    }
}

impl<S: AsFd> StandardStream<S> {
    const fn over(stream: S) -> Self {
        Self {
            stream,
            is_stalled: false,
        }
    }

    /// Waits until the output takes bytes; returns whether it does.
    fn wait_until_writable(&self) -> io::Result<bool> {
        let timeout = if self.is_stalled {
            Duration::ZERO
        } else {
            WRITE_TIMEOUT
        };
        let timeout = Timespec::try_from(timeout).map_err(io::Error::other)?;
        let mut descriptors = [PollFd::new(&self.stream, PollFlags::OUT)];
        Ok(poll(&mut descriptors, Some(&timeout))? > 0)
    }
}

impl<S: AsFd> Write for StandardStream<S> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.is_stalled = !self.wait_until_writable()?;
        if self.is_stalled {
            return Err(ErrorKind::TimedOut.into());
        }
        let bytes = &bytes[..bytes.len().min(PIPE_WRITE_BYTES)];
        Ok(rustix::io::write(&self.stream, bytes)?)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Passes on whole lines; one that fails is given up, and the next one starts on a line of its own.
#[derive(Debug)]
pub(crate) struct LineOutput<W> {
    output: W,
    line: Vec<u8>,
    /// Whether a part of the last line was written, without its end.
    is_torn: bool,
    written_bytes: Arc<AtomicU64>,
}

impl<W: Write> LineOutput<W> {
    pub(crate) fn new(output: W) -> Self {
        Self {
            output,
            line: Vec::new(),
            is_torn: false,
            written_bytes: Arc::default(),
        }
    }

    /// Returns the number of bytes written so far, which goes on counting.
    pub(crate) fn written_bytes(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.written_bytes)
    }

    fn write_line(&mut self) -> io::Result<()> {
        let mut line = std::mem::take(&mut self.line);
        if self.is_torn {
            line.insert(0, b'\n');
        }
        let mut rest = &line[..];
        while !rest.is_empty() {
            match self.output.write(rest) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    rest = &rest[count..];
                    let count = u64::try_from(count).unwrap_or(u64::MAX);
                    self.written_bytes.fetch_add(count, Ordering::Relaxed);
                }
                Err(err) if err.kind() == ErrorKind::Interrupted => {}
                Err(err) => return Err(err),
            }
            self.is_torn = !rest.is_empty();
        }
        Ok(())
    }
}

impl<W: Write> Write for LineOutput<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if bytes.last() == Some(&b'\n') {
            self.write_line()?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.output.flush()
    }
}
