//! Binds the addresses of a process, which may be in use or not set up yet when it starts.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use clementinepick::event::{Event, EventKind};
use slog::Logger;
use thiserror::Error;

use crate::logging::write_event;

/// How long an address is waited for: the process that is replaced may be in its planned stop, and may
/// stand still for seconds.
const BIND_TIMEOUT: Duration = Duration::from_secs(30);
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The interval at which an address that is waited for is logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Why there is no listener.
#[derive(Debug, Error)]
pub(crate) enum ListenError {
    /// The process was told to stop while it waited for the address.
    #[error("told to stop")]
    Stopped,
    /// The address can't be bound.
    #[error("{0}")]
    Failed(#[from] io::Error),
}

/// Waits for a time, or until the process is told to stop; returns whether it is.
pub(crate) type StopWait<'a> = &'a mut dyn FnMut(Duration) -> bool;

/// Waits in a process that nothing tells to stop while it starts.
pub(crate) fn wait_unstopped(pause: Duration) -> bool {
    std::thread::sleep(pause);
    false
}

/// Binds a listener that does not block and stores the port that the system assigned to port 0; waits for an
/// address that another process holds or that is not set up yet.
pub(crate) fn listen(
    address: &mut SocketAddr,
    logger: &Logger,
    wait: StopWait<'_>,
) -> Result<TcpListener, ListenError> {
    let started_at = Instant::now();
    let mut report_at = started_at;
    loop {
        let error = match try_listen(address) {
            Err(error) if is_temporary(error.kind()) => error,
            result => return Ok(result?),
        };
        let now = Instant::now();
        let waited = now.saturating_duration_since(started_at);
        if waited >= BIND_TIMEOUT {
            return Err(error.into());
        }
        if now >= report_at {
            report_at = now + REPORT_INTERVAL;
            write_event(logger, &unavailable(*address, &error, waited));
        }
        if wait(BIND_RETRY_INTERVAL) {
            return Err(ListenError::Stopped);
        }
    }
}

/// Binds a listener like [`listen`], without waiting.
pub(crate) fn try_listen(address: &mut SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(*address)?;
    listener.set_nonblocking(true)?;
    *address = listener.local_addr()?;
    Ok(listener)
}

/// Returns the event of an address at which this process can't listen.
pub(crate) fn unavailable(address: SocketAddr, error: &io::Error, waited: Duration) -> Event {
    Event::new(EventKind::AddressUnavailable)
        .with("address", address)
        .with("error", error)
        .with("waited_ms", waited.as_millis())
}

/// Returns whether an error may pass without a change of the settings.
fn is_temporary(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable
    )
}
