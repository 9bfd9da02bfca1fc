//! Handles the signals that tell a process to stop, from its first moment on.

use std::io;
use std::panic::catch_unwind;
use std::time::Duration;

use nix::sys::signal::SigSet;
use nix::sys::signal::Signal::{SIGHUP, SIGINT, SIGTERM};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Handlers of signals, for a process that has no event loop yet.
pub struct StopSignals {
    runtime: Runtime,
    received: ReceivedSignals,
}

impl StopSignals {
    /// Installs handlers of SIGTERM, SIGINT and SIGHUP, which would otherwise end the process.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler or what it needs can't be created.
    pub fn install() -> io::Result<Self> {
        // A signal between the change of its handler in the system and that in the library would be lost.
        let blocked: SigSet = [SIGTERM, SIGINT, SIGHUP].into_iter().collect();
        blocked.thread_block()?;
        // Without descriptors for its handlers, tokio panics.
        let installed = catch_unwind(|| {
            let runtime = Builder::new_current_thread().enable_all().build()?;
            let received = runtime.block_on(async { ReceivedSignals::install() })?;
            Ok(Self { runtime, received })
        });
        blocked.thread_unblock()?;
        installed.unwrap_or_else(|_| Err(io::Error::other("the event loop panicked")))
    }

    /// Waits for `pause`, or until the process is told to stop; returns whether it is.
    pub fn is_stopped_within(&mut self, pause: Duration) -> bool {
        let Self { runtime, received } = self;
        runtime.block_on(async { tokio::time::timeout(pause, received.stop()).await.is_ok() })
    }

    /// Returns the signals for an event loop of this process; none is lost in between.
    #[must_use]
    pub fn into_received(self) -> ReceivedSignals {
        self.received
    }
}

/// The signals that this process receives.
pub struct ReceivedSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a signal tells the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SignalMeaning {
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP: its settings have changed.
    SettingsChanged,
}

impl ReceivedSignals {
    fn install() -> io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits until the process is told to stop.
    pub async fn stop(&mut self) {
        while self.next().await != SignalMeaning::Stop {}
    }

    /// Waits for the next signal.
    pub(crate) async fn next(&mut self) -> SignalMeaning {
        tokio::select! {
            _ = self.terminate.recv() => SignalMeaning::Stop,
            _ = self.interrupt.recv() => SignalMeaning::Stop,
            _ = self.hangup.recv() => SignalMeaning::SettingsChanged,
        }
    }
}
