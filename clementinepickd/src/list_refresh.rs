//! Lets the thread that serves traffic ask the one that follows the store for a newer list of servers.

use std::time::{Duration, Instant};

use actix_rt::time::sleep_until;
use tokio::sync::watch;

/// The minimum time between the starts of two reads that are asked for: requests that arrive meanwhile
/// share the second one.
pub(crate) const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Asks for newer lists.
#[derive(Debug)]
pub(crate) struct RefreshSender(watch::Sender<Option<Instant>>);

impl RefreshSender {
    /// Asks for a list by a call that begins at `as_of` or later.
    pub(crate) fn request(&self, as_of: Instant) {
        self.0.send_if_modified(|wanted| {
            let is_later = *wanted < Some(as_of);
            if is_later {
                *wanted = Some(as_of);
            }
            is_later
        });
    }
}

/// Receives what is asked for.
#[derive(Debug, Clone)]
pub(crate) struct RefreshReceiver {
    wanted: watch::Receiver<Option<Instant>>,
    /// The start of the last call that was made or was successful.
    covered: Option<Instant>,
    last_start: Option<Instant>,
}

/// Creates both ends.
pub(crate) fn refresh_channel() -> (RefreshSender, RefreshReceiver) {
    let (sender, wanted) = watch::channel(None);
    let receiver = RefreshReceiver {
        wanted,
        covered: None,
        last_start: None,
    };
    (RefreshSender(sender), receiver)
}

impl RefreshReceiver {
    /// Waits until a newer list is asked for and may be read.
    pub(crate) async fn wait(&mut self) {
        loop {
            let wanted = *self.wanted.borrow_and_update();
            if wanted > self.covered {
                break;
            }
            if self.wanted.changed().await.is_err() {
                // The sender ends with the process.
                std::future::pending::<()>().await;
            }
        }
        if let Some(last_start) = self.last_start {
            sleep_until((last_start + MIN_REFRESH_INTERVAL).into()).await;
        }
    }

    /// Records that the call which was asked for starts; a failed one is made again only if it is asked
    /// for again.
    pub(crate) fn record_start(&mut self, now: Instant) {
        self.last_start = Some(now);
        self.record_read(now);
    }

    /// Records that a list was read by a call that began at `as_of`.
    pub(crate) fn record_read(&mut self, as_of: Instant) {
        self.covered = self.covered.max(Some(as_of));
    }
}

#[cfg(test)]
mod tests {
    use std::pin::pin;
    use std::task::{Context, Poll, Waker};

    use super::*;

    fn is_due(receiver: &mut RefreshReceiver) -> bool {
        let mut context = Context::from_waker(Waker::noop());
        matches!(pin!(receiver.wait()).poll(&mut context), Poll::Ready(()))
    }

    /// Guards against a read that began before the question and is taken for the answer.
    #[test]
    fn only_a_read_that_began_after_the_question_answers_it() {
        let (sender, mut receiver) = refresh_channel();
        let asked_at = Instant::now();
        assert!(!is_due(&mut receiver));
        sender.request(asked_at);
        receiver.record_read(asked_at.checked_sub(MIN_REFRESH_INTERVAL).expect("a time"));
        assert!(is_due(&mut receiver));
        receiver.record_read(asked_at);
        assert!(!is_due(&mut receiver));
    }

    /// Guards against a silent store that is asked again although no request waits any longer.
    #[test]
    fn a_read_that_failed_is_not_repeated_unasked() {
        let (sender, mut receiver) = refresh_channel();
        sender.request(Instant::now());
        assert!(is_due(&mut receiver));
        receiver.record_start(Instant::now());
        assert!(!is_due(&mut receiver));
    }
}
