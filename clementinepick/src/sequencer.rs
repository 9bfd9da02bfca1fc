//! Runs the calls of one program one at a time, in the order in which the program issued them.

use std::collections::BTreeMap;

use crate::error::{CallError, ErrorKind};
use crate::ids::{CallSeq, RequestId};
use crate::units::{SpanUs, TimeUs};

/// A call that waits for an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Waiting {
    request: RequestId,
    since_us: TimeUs,
}

/// Orders the calls of one program and lets one run at a time.
#[derive(Debug, Clone, Default)]
pub struct Sequencer {
    next: CallSeq,
    /// Whether an earlier owner may have run calls from `next` on that left no record.
    is_lower_bound: bool,
    running: Option<CallSeq>,
    waiting: BTreeMap<CallSeq, Waiting>,
}

impl Sequencer {
    /// Creates a sequencer that continues after the recorded calls; `is_lower_bound` if an earlier
    /// owner may have run idempotent calls past them.
    #[must_use]
    pub fn resuming_at(next: CallSeq, is_lower_bound: bool) -> Self {
        Self {
            next,
            is_lower_bound,
            ..Self::default()
        }
    }

    /// Returns the sequence number of the next call to start.
    #[must_use]
    pub const fn next(&self) -> CallSeq {
        self.next
    }

    /// Marks a call of an earlier owner as running.
    pub fn resume(&mut self, seq: CallSeq) {
        self.running = Some(seq);
        self.next = self.next.max(seq.next());
    }

    /// Skips a call that ended at an earlier owner.
    pub fn skip(&mut self, seq: CallSeq) {
        self.next = self.next.max(seq.next());
    }

    /// Lets calls run concurrently; only for test runs without the safeguard.
    pub(crate) fn allow_concurrent(&mut self) {
        self.running = None;
    }

    /// Adds a waiting call and returns its sequence number, by default the one after all calls so
    /// far.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutOfOrder`] if the sequence number has passed or is taken.
    pub fn push(
        &mut self,
        now: TimeUs,
        request: RequestId,
        seq: Option<CallSeq>,
    ) -> Result<CallSeq, CallError> {
        let last = self
            .waiting
            .keys()
            .next_back()
            .map_or(self.next, |last| last.next());
        let seq = seq.unwrap_or(last.max(self.next));
        if seq < self.next {
            let detail = format!(
                "sequence number {seq} has passed; the next is {}",
                self.next
            );
            return Err(CallError::new(ErrorKind::OutOfOrder, detail));
        }
        if self.waiting.contains_key(&seq) {
            let detail = format!("another call is waiting under sequence number {seq}");
            return Err(CallError::new(ErrorKind::OutOfOrder, detail));
        }
        self.waiting.insert(
            seq,
            Waiting {
                request,
                since_us: now,
            },
        );
        Ok(seq)
    }

    /// Starts the next call if it has arrived and none runs; it runs until [`Sequencer::finish`].
    pub fn start_next(&mut self) -> Option<(CallSeq, RequestId)> {
        if self.running.is_some() {
            return None;
        }
        let waiting = self.waiting.remove(&self.next)?;
        let seq = self.next;
        self.running = Some(seq);
        self.next = seq.next();
        Some((seq, waiting.request))
    }

    /// Ends the running call.
    pub fn finish(&mut self, seq: CallSeq) {
        if self.running == Some(seq) {
            self.running = None;
        }
    }

    /// Reopens the sequence number of the running call, which was refused before it ran.
    ///
    /// Otherwise a caller that repeats the refused call under its sequence number would be told
    /// that the number has passed.
    pub fn reopen(&mut self, seq: CallSeq) {
        if self.running == Some(seq) {
            self.running = None;
            self.next = seq;
        }
    }

    /// Reopens the sequence number of a call of an earlier owner that never ran.
    ///
    /// If the call is not repeated, the calls behind it continue after the gap timeout.
    pub fn reopen_recorded(&mut self, seq: CallSeq) {
        if self.running.is_none() && self.next == seq.next() {
            self.next = seq;
            self.is_lower_bound = true;
        }
    }

    /// Removes a waiting call.
    pub fn remove(&mut self, request: RequestId) {
        self.waiting.retain(|_, waiting| waiting.request != request);
    }

    /// Removes and returns the calls that have waited at least `gap_us` for an earlier one.
    ///
    /// After a takeover the earlier call may have run without a record. Then the first waiting call
    /// may start instead, and a call that arrives later for an earlier number is out of order.
    pub fn take_overdue(&mut self, now: TimeUs, gap_us: SpanUs) -> Vec<RequestId> {
        if self.running.is_some() || self.waiting.contains_key(&self.next) {
            return Vec::new();
        }
        let is_late = |waiting: &Waiting| now.since(waiting.since_us) >= gap_us;
        if self.is_lower_bound {
            if let Some((seq, waiting)) = self.waiting.first_key_value()
                && is_late(waiting)
            {
                self.next = *seq;
                self.is_lower_bound = false;
            }
            return Vec::new();
        }
        let overdue: Vec<_> = self
            .waiting
            .values()
            .filter(|w| is_late(w))
            .map(|w| w.request)
            .collect();
        self.waiting.retain(|_, waiting| !is_late(waiting));
        overdue
    }

    /// Returns whether no call runs or waits.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_none() && self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_later_call_waits_for_the_earlier_one() {
        let mut sequencer = Sequencer::default();
        assert_eq!(
            sequencer.push(TimeUs(0), RequestId(11), Some(CallSeq(1))),
            Ok(CallSeq(1))
        );
        assert_eq!(sequencer.start_next(), None);
        assert_eq!(
            sequencer.push(TimeUs(0), RequestId(10), Some(CallSeq(0))),
            Ok(CallSeq(0))
        );
        assert_eq!(sequencer.start_next(), Some((CallSeq(0), RequestId(10))));
        assert_eq!(sequencer.start_next(), None);
        sequencer.finish(CallSeq(0));
        assert_eq!(sequencer.start_next(), Some((CallSeq(1), RequestId(11))));
    }

    #[test]
    fn calls_without_a_sequence_number_keep_their_order_of_arrival() {
        let mut sequencer = Sequencer::default();
        assert_eq!(
            sequencer.push(TimeUs(0), RequestId(1), None),
            Ok(CallSeq(0))
        );
        assert_eq!(
            sequencer.push(TimeUs(0), RequestId(2), None),
            Ok(CallSeq(1))
        );
    }

    #[test]
    fn calls_behind_a_gap_are_overdue_after_the_timeout() {
        let mut sequencer = Sequencer::default();
        sequencer
            .push(TimeUs(0), RequestId(1), Some(CallSeq(3)))
            .expect("open");
        assert!(sequencer.take_overdue(TimeUs(9), SpanUs(10)).is_empty());
        assert_eq!(
            sequencer.take_overdue(TimeUs(10), SpanUs(10)),
            [RequestId(1)]
        );
        assert!(sequencer.is_idle());
    }

    #[test]
    fn a_refused_call_may_be_repeated_under_its_sequence_number() {
        let mut sequencer = Sequencer::default();
        sequencer
            .push(TimeUs(0), RequestId(1), Some(CallSeq(0)))
            .expect("open");
        sequencer.start_next().expect("the next call");
        sequencer.reopen(CallSeq(0));
        assert_eq!(
            sequencer.push(TimeUs(0), RequestId(2), Some(CallSeq(0))),
            Ok(CallSeq(0))
        );
    }
}
