//! The parts of one answer between the control thread, which never waits, and its caller, who may
//! read slowly or not at all.
//!
//! Text that waits is joined into one part, so a burst costs little and a reader that keeps up is
//! never taken for a slow one. What counts as slow is the time for which nothing was taken.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};

use clementinepick::call::AnswerPart;
use thiserror::Error;

/// Why an answer can't go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum Stopped {
    /// The caller is gone.
    #[error("the caller is gone")]
    Gone,
    /// The caller does not read.
    #[error("the caller does not read")]
    Slow,
}

/// How much may wait for a caller, and for how long.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Patience {
    pub(crate) max_bytes: usize,
    pub(crate) max_stall: Duration,
}

#[derive(Debug, Default)]
struct State {
    parts: VecDeque<AnswerPart>,
    bytes: usize,
    /// The position after the last text that was added.
    end: u64,
    /// Since when the first part waits.
    waiting_since: Option<Instant>,
    waker: Option<Waker>,
    sender_gone: bool,
    reader_gone: bool,
}

/// The end of the control thread.
#[derive(Debug)]
pub(crate) struct AnswerSender {
    state: Arc<Mutex<State>>,
    patience: Patience,
}

/// The caller's end.
#[derive(Debug)]
pub(crate) struct AnswerReader(Arc<Mutex<State>>);

/// A queue for one answer.
pub(crate) fn answer_queue(patience: Patience) -> (AnswerSender, AnswerReader) {
    let state = Arc::new(Mutex::new(State::default()));
    let reader = AnswerReader(Arc::clone(&state));
    (AnswerSender { state, patience }, reader)
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    // A panic elsewhere leaves no half-done change here: each lasts for one lock.
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AnswerSender {
    /// Adds a part.
    pub(crate) fn push(&self, now: Instant, part: AnswerPart) -> Result<(), Stopped> {
        let mut state = lock(&self.state);
        if state.reader_gone {
            return Err(Stopped::Gone);
        }
        let size = size_of(&part);
        let fits = state.parts.is_empty() || state.bytes + size <= self.patience.max_bytes;
        // The last part is small and always taken, so that what waits before it is not lost.
        if !fits && !part.is_last() {
            return Err(Stopped::Slow);
        }
        state.bytes += size;
        state.waiting_since.get_or_insert(now);
        state.add(part);
        let waker = state.waker.take();
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
        Ok(())
    }

    /// Whether the caller has taken nothing for too long, though parts wait.
    pub(crate) fn check(&self, now: Instant) -> Result<(), Stopped> {
        let state = lock(&self.state);
        if state.reader_gone {
            return Err(Stopped::Gone);
        }
        let stalled = state
            .waiting_since
            .is_some_and(|since| now.saturating_duration_since(since) >= self.patience.max_stall);
        if stalled { Err(Stopped::Slow) } else { Ok(()) }
    }
}

impl Drop for AnswerSender {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        state.sender_gone = true;
        let waker = state.waker.take();
        drop(state);
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl State {
    fn add(&mut self, part: AnswerPart) {
        let AnswerPart::Text { position, text } = part else {
            self.parts.push_back(part);
            return;
        };
        let follows = position == self.end;
        self.end = position + text.chars().count() as u64;
        match self.parts.back_mut() {
            Some(AnswerPart::Text { text: waiting, .. }) if follows => waiting.push_str(&text),
            _ => self.parts.push_back(AnswerPart::Text { position, text }),
        }
    }
}

impl AnswerReader {
    /// Takes the next part; none once the sender is gone and all are taken.
    pub(crate) fn poll_part(&mut self, cx: &mut Context<'_>) -> Poll<Option<AnswerPart>> {
        let mut state = lock(&self.0);
        let Some(part) = state.parts.pop_front() else {
            if state.sender_gone {
                return Poll::Ready(None);
            }
            state.waker = Some(cx.waker().clone());
            return Poll::Pending;
        };
        state.bytes -= size_of(&part);
        state.waiting_since = (!state.parts.is_empty()).then(Instant::now);
        Poll::Ready(Some(part))
    }
}

impl Drop for AnswerReader {
    fn drop(&mut self) {
        let mut state = lock(&self.0);
        state.reader_gone = true;
        state.parts.clear();
    }
}

fn size_of(part: &AnswerPart) -> usize {
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

    const PATIENCE: Patience = Patience {
        max_bytes: 10,
        max_stall: Duration::from_secs(5),
    };

    fn text(position: u64, text: &str) -> AnswerPart {
        let text = text.to_owned();
        AnswerPart::Text { position, text }
    }

    fn take(reader: &mut AnswerReader) -> Poll<Option<AnswerPart>> {
        reader.poll_part(&mut Context::from_waker(Waker::noop()))
    }

    #[test]
    fn text_that_waits_is_joined() {
        let (sender, mut reader) = answer_queue(PATIENCE);
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
    fn a_caller_is_slow_by_time_and_by_bytes() {
        let (sender, mut reader) = answer_queue(PATIENCE);
        let start = Instant::now();
        // A caller that waits for the next part is not slow.
        assert_eq!(sender.check(start + Duration::from_mins(1)), Ok(()));
        assert_eq!(sender.push(start, text(0, "ten bytes.")), Ok(()));
        assert_eq!(sender.check(start + Duration::from_secs(4)), Ok(()));
        assert_eq!(
            sender.check(start + Duration::from_secs(5)),
            Err(Stopped::Slow)
        );
        assert_eq!(sender.push(start, text(10, "x")), Err(Stopped::Slow));
        let last = AnswerPart::Failed(CallError::new(ErrorKind::Internal, "last"));
        assert_eq!(sender.push(start, last), Ok(()));
        assert!(take(&mut reader).is_ready());
        drop(reader);
        assert_eq!(sender.push(start, text(11, "x")), Err(Stopped::Gone));
    }

    // One answer of a plain service may be larger than all that may wait otherwise.
    #[test]
    fn a_single_part_is_taken_whatever_its_size() {
        let (sender, _reader) = answer_queue(PATIENCE);
        let part = text(0, "more than ten bytes");
        assert_eq!(sender.push(Instant::now(), part), Ok(()));
    }
}
