//! Handles the signals that a process receives, from its first moment on.

use std::future::poll_fn;
use std::io;
use std::panic::catch_unwind;
use std::task::{Context, Poll};
use std::time::Duration;

use clementinepick::event::{Event, EventKind};
use nix::sys::signal::SigSet;
use nix::sys::signal::Signal as SignalNumber;
use nix::sys::signal::Signal::{
    SIGALRM, SIGHUP, SIGINT, SIGIO, SIGPROF, SIGPWR, SIGQUIT, SIGSTKFLT, SIGTERM, SIGUSR1, SIGUSR2,
    SIGVTALRM, SIGXCPU, SIGXFSZ,
};
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals that a process handles, those that stop it first.
///
/// Without a handler, each would end the process, and none of them says that it can't serve. Real-time signals are
/// left to the libraries and tools that use them.
const HANDLED: [SignalNumber; 14] = [
    SIGTERM, SIGINT, SIGQUIT, SIGHUP, SIGXFSZ, SIGXCPU, SIGUSR1, SIGUSR2, SIGALRM, SIGSTKFLT,
    SIGVTALRM, SIGPROF, SIGIO, SIGPWR,
];

/// Signals that wait for their handlers.
///
/// A signal between the change of its handler in the system and that in the library would be lost.
pub struct BlockedSignals(SigSet);

impl BlockedSignals {
    /// Blocks all signals that the process handles, in this thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses.
    pub fn block() -> io::Result<Self> {
        let blocked: SigSet = HANDLED.into_iter().collect();
        blocked.thread_block()?;
        Ok(Self(blocked))
    }

    /// Delivers the signals that arrived meanwhile.
    ///
    /// # Errors
    ///
    /// Returns an error if the system refuses.
    pub fn unblock(&self) -> io::Result<()> {
        Ok(self.0.thread_unblock()?)
    }
}

/// Handlers of signals, for a process that has no event loop yet.
pub struct StopSignals {
    runtime: Runtime,
    received: ReceivedSignals,
}

impl StopSignals {
    /// Installs handlers of all signals that the process handles, and unblocks them.
    ///
    /// # Errors
    ///
    /// Returns an error if a handler or what it needs can't be created.
    pub fn install(blocked: &BlockedSignals) -> io::Result<Self> {
        // Without descriptors for its handlers, tokio panics.
        let installed = catch_unwind(|| {
            let runtime = Builder::new_current_thread().enable_all().build()?;
            let received = runtime.block_on(async { ReceivedSignals::install() })?;
            Ok(Self { runtime, received })
        });
        blocked.unblock()?;
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
pub struct ReceivedSignals(Vec<(SignalNumber, Signal)>);

/// What a signal tells the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalMeaning {
    /// The process is to stop: SIGTERM, SIGINT or SIGQUIT.
    Stop,
    /// SIGHUP: its settings have changed.
    SettingsChanged,
    /// A file can't grow: SIGXFSZ. Only the log is written to files, which counts its lost lines.
    FileTooLarge,
    /// Nothing; the name of the signal.
    Stray(&'static str),
}

impl SignalMeaning {
    /// Returns the event to log, unless the process stops or the log itself is too large.
    #[must_use]
    pub fn event(self) -> Option<Event> {
        match self {
            Self::Stop | Self::FileTooLarge => None,
            // There is nothing to reload: addresses are fixed and everything else comes from the store.
            Self::SettingsChanged => Some(Event::new(EventKind::SettingsReloaded)),
            Self::Stray(name) => Some(Event::new(EventKind::SignalIgnored).with("signal", name)),
        }
    }
}

fn meaning(number: SignalNumber) -> SignalMeaning {
    match number {
        SIGTERM | SIGINT | SIGQUIT => SignalMeaning::Stop,
        SIGHUP => SignalMeaning::SettingsChanged,
        SIGXFSZ => SignalMeaning::FileTooLarge,
        stray => SignalMeaning::Stray(stray.as_str()),
    }
}

impl ReceivedSignals {
    fn install() -> io::Result<Self> {
        let handlers = HANDLED.into_iter().map(|number| {
            let kind = SignalKind::from_raw(number as i32);
            Ok((number, signal(kind)?))
        });
        handlers.collect::<io::Result<_>>().map(Self)
    }

    /// Waits until the process is told to stop.
    async fn stop(&mut self) {
        while self.next().await != SignalMeaning::Stop {}
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalMeaning {
        poll_fn(|context| self.poll_next(context)).await
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<SignalMeaning> {
        for (number, signal) in &mut self.0 {
            if signal.poll_recv(context).is_ready() {
                return Poll::Ready(meaning(*number));
            }
        }
        Poll::Pending
    }
}
