//! Queues the parts of one answer between the control thread, which never blocks, and its caller.
//!
//! Consecutive pending text is merged into one part, so that a burst is read at once and a caller
//! that keeps up is not mistaken for a stalled one. A caller is stalled if it has read nothing for a
//! while although parts are pending, or if the pending bytes exceed the limit.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use clementinepick::call::AnswerPart;
use thiserror::Error;

/// Why a part can't be delivered to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum DeliveryError {
    #[error("the caller has disconnected")]
    Disconnected,
    #[error("the caller has stopped reading the answer")]
    Stalled,
}

/// Limits on the bytes pending for a caller, and on the time without a read while any are.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AnswerQueueLimits {
    pub(crate) max_bytes: usize,
    pub(crate) stall_timeout: Duration,
}

#[derive(Debug, Default)]
struct State {
    parts: VecDeque<AnswerPart>,
    bytes: usize,
    /// The position after the last text that was queued, in characters.
    end_position: u64,
    /// Since when parts are pending without a read.
    pending_since: Option<Instant>,
    waker: Option<Waker>,
    is_sender_dropped: bool,
    is_reader_dropped: bool,
}

/// The sending end, owned by the control thread.
#[derive(Debug)]
pub(crate) struct AnswerSender {
    state: Arc<Mutex<State>>,
    limits: AnswerQueueLimits,
}

/// The receiving end, owned by the caller's connection.
#[derive(Debug)]
pub(crate) struct AnswerReader(Arc<Mutex<State>>);

/// Creates a queue for one answer.
pub(crate) fn answer_queue(limits: AnswerQueueLimits) -> (AnswerSender, AnswerReader) {
    let state = Arc::new(Mutex::new(State::default()));
    let reader = AnswerReader(Arc::clone(&state));
    (AnswerSender { state, limits }, reader)
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    // A poisoned lock is safe to use: no change spans more than one lock, so none is left half done.
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AnswerSender {
    /// Queues a part; fails if the caller has disconnected or the queue is full.
    pub(crate) fn push(&self, now: Instant, part: AnswerPart) -> Result<(), DeliveryError> {
        let mut state = lock(&self.state);
        if state.is_reader_dropped {
            return Err(DeliveryError::Disconnected);
        }
        let size = payload_bytes(&part);
        let fits = state.parts.is_empty() || state.bytes + size <= self.limits.max_bytes;
        // The last part is small and always accepted, so that the parts before it are not lost.
        if !fits && !part.is_last() {
            return Err(DeliveryError::Stalled);
        }
        state.bytes += size;
        state.pending_since.get_or_insert(now);
        state.append(part);
        let waker = state.waker.take();
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
        Ok(())
    }

    /// Fails if the caller has disconnected, or has read nothing for too long while parts are pending.
    pub(crate) fn check_reader(&self, now: Instant) -> Result<(), DeliveryError> {
        let state = lock(&self.state);
        if state.is_reader_dropped {
            return Err(DeliveryError::Disconnected);
        }
        let stalled = state
            .pending_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.limits.stall_timeout);
        if stalled {
            Err(DeliveryError::Stalled)
        } else {
            Ok(())
        }
    }
}

impl Drop for AnswerSender {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.is_sender_dropped = true;
        let waker = state.waker.take();
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl State {
    fn append(&mut self, part: AnswerPart) {
        let AnswerPart::Text { position, text } = part else {
            self.parts.push_back(part);
            return;
        };
        let follows = position == self.end_position;
        self.end_position = position + text.chars().count() as u64;
        match self.parts.back_mut() {
            Some(AnswerPart::Text { text: waiting, .. }) if follows => waiting.push_str(&text),
            _ => self.parts.push_back(AnswerPart::Text { position, text }),
        }
    }
}

impl AnswerReader {
    /// Takes the next part; none once the sender is dropped and the queue is empty.
    pub(crate) fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<AnswerPart>> {
        let mut state = lock(&self.0);
        let Some(part) = state.parts.pop_front() else {
            if state.is_sender_dropped {
                return Poll::Ready(None);
            }
            state.waker = Some(cx.waker().clone());
            return Poll::Pending;
        };
        state.bytes -= payload_bytes(&part);
        state.pending_since = (!state.parts.is_empty()).then(Instant::now);
        Poll::Ready(Some(part))
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        let mut state = lock(&self.0);
        state.is_reader_dropped = true;
        state.parts.clear();
    }
}

fn payload_bytes(part: &AnswerPart) -> usize {
    match part {
        AnswerPart::Text { text, .. } => text.len(),
        AnswerPart::Plain(answer) => answer.body.len(),
        AnswerPart::Done(_) | AnswerPart::Failed(_) => 0,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use clementinepick::error::{CallError, ErrorKind};

    const LIMITS: AnswerQueueLimits = AnswerQueueLimits {
        max_bytes: 10,
        stall_timeout: Duration::from_secs(5),
    };

    fn text(position: u64, text: &str) -> AnswerPart {
        let text = text.to_owned();
        AnswerPart::Text { position, text }
    }

    fn take(reader: &mut AnswerReader) -> Poll<Option<AnswerPart>> {
        reader.poll_part(&mut Context::from_waker(Waker::noop()))
    }

    #[test]
    fn consecutive_pending_text_is_merged() {
        let (sender, mut reader) = answer_queue(LIMITS);
        let now = Instant::now();
        for part in [text(0, "one "), text(4, "two "), text(9, "x")] {
            assert_eq!(sender.push(now, part), Ok(()));
        }
        assert_eq!(take(&mut reader), Poll::Ready(Some(text(0, "one two "))));
        assert_eq!(take(&mut reader), Poll::Ready(Some(text(9, "x"))));
        assert_eq!(take(&mut reader), Poll::Pending);
        drop(sender);
        assert_eq!(take(&mut reader), Poll::Ready(None));
    }

    #[test]
    fn a_caller_stalls_by_time_and_by_bytes() {
        let (sender, mut reader) = answer_queue(LIMITS);
        let start = Instant::now();
        // A caller that is waiting for the next part is not stalled.
        assert_eq!(sender.check_reader(start + Duration::from_mins(1)), Ok(()));
        assert_eq!(sender.push(start, text(0, "ten bytes.")), Ok(()));
        assert_eq!(sender.check_reader(start + Duration::from_secs(4)), Ok(()));
        assert_eq!(
            sender.check_reader(start + Duration::from_secs(5)),
            Err(DeliveryError::Stalled)
        );
        assert_eq!(
            sender.push(start, text(10, "x")),
            Err(DeliveryError::Stalled)
        );
        let last = AnswerPart::Failed(CallError::new(ErrorKind::Internal, "last"));
        assert_eq!(sender.push(start, last), Ok(()));
        assert!(take(&mut reader).is_ready());
        drop(reader);
        assert_eq!(
            sender.push(start, text(11, "x")),
            Err(DeliveryError::Disconnected)
        );
    }

    // A single response of a plain service may be larger than the limit of the queue.
    #[test]
    fn an_empty_queue_accepts_a_part_of_any_size() {
        let (sender, _reader) = answer_queue(LIMITS);
        let part = text(0, "more than ten bytes");
        assert_eq!(sender.push(Instant::now(), part), Ok(()));
    }
}
