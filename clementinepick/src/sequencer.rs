//! Keeps the calls of one program in the order in which the program issued them.

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

/// The calls of one program, in order; one runs at a time.
#[derive(Debug, Clone, Default)]
pub struct Sequencer {
    next: CallSeq,
    /// Whether calls may have run past `next` that left no record with an earlier owner.
    is_lower_bound: bool,
    running: Option<CallSeq>,
    waiting: BTreeMap<CallSeq, Waiting>,
}

impl Sequencer {
    /// A sequencer that goes on after the calls on record; `is_lower_bound` where an earlier owner
    /// may have run idempotent calls past them.
    #[must_use]
    pub fn resuming_at(next: CallSeq, is_lower_bound: bool) -> Self {
        Self {
            next,
            is_lower_bound,
            ..Self::default()
        }
    }

    /// The place of the next call.
    #[must_use]
    pub const fn next(&self) -> CallSeq {
        self.next
    }

    /// A call of an earlier owner runs on here.
    pub fn resume(&mut self, seq: CallSeq) {
        self.running = Some(seq);
        self.next = self.next.max(seq.next());
    }

    /// A call of an earlier owner has ended.
    pub fn skip(&mut self, seq: CallSeq) {
        self.next = self.next.max(seq.next());
    }

    /// Lets calls run beside each other; only for test runs without the safeguard.
    pub(crate) fn allow_concurrent(&mut self) {
        self.running = None;
    }

    /// Gives a call its place; absent `seq` means after all that have come.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::OutOfOrder`] when the place has passed or is taken.
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
            let detail = format!("call {seq} has come already; the next is {}", self.next);
            return Err(CallError::new(ErrorKind::OutOfOrder, detail));
        }
        if self.waiting.contains_key(&seq) {
            let detail = format!("call {seq} waits already");
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

    /// The call that may go on now; it runs until [`Sequencer::finish`].
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

    /// The running call has ended.
    pub fn finish(&mut self, seq: CallSeq) {
        if self.running == Some(seq) {
            self.running = None;
        }
    }

    /// The running call was refused before it ran: its place is open again.
    ///
    /// Without this a caller that repeats a refused call under its number would be told that the
    /// number has passed.
    pub fn reopen(&mut self, seq: CallSeq) {
        if self.running == Some(seq) {
            self.running = None;
            self.next = seq;
        }
    }

    /// A call of an earlier owner turned out never to have run: its place is open again.
    ///
    /// Where nobody comes back for it, the calls behind it go on after the wait for a gap.
    pub fn reopen_recorded(&mut self, seq: CallSeq) {
        if self.running.is_none() && self.next == seq.next() {
            self.next = seq;
            self.is_lower_bound = true;
        }
    }

    /// Takes back a call that still waits.
    pub fn remove(&mut self, request: RequestId) {
        self.waiting.retain(|_, waiting| waiting.request != request);
    }

    /// Takes out the calls that have waited `gap` for an earlier one that did not come.
    ///
    /// After a take-over the earlier one may have run without a record. Then the first call that
    /// waits is let go on instead; one that comes for an earlier place later is out of order.
    pub fn take_overdue(&mut self, now: TimeUs, gap_us: SpanUs) -> Vec<RequestId> {
        if self.running.is_some() || self.waiting.contains_key(&self.next) {
            return Vec::new();
        }
        let late = |waiting: &Waiting| now.since(waiting.since_us) >= gap_us;
        if self.is_lower_bound {
            if let Some((seq, waiting)) = self.waiting.first_key_value()
                && late(waiting)
            {
                self.next = *seq;
                self.is_lower_bound = false;
            }
            return Vec::new();
        }
        let overdue: Vec<_> = self
            .waiting
            .values()
            .filter(|w| late(w))
            .map(|w| w.request)
            .collect();
        self.waiting.retain(|_, waiting| !late(waiting));
        overdue
    }

    /// Whether nothing runs or waits.
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
        let mut order = Sequencer::default();
        assert_eq!(
            order.push(TimeUs(0), RequestId(11), Some(CallSeq(1))),
            Ok(CallSeq(1))
        );
        assert_eq!(order.start_next(), None);
        assert_eq!(
            order.push(TimeUs(0), RequestId(10), Some(CallSeq(0))),
            Ok(CallSeq(0))
        );
        assert_eq!(order.start_next(), Some((CallSeq(0), RequestId(10))));
        assert_eq!(order.start_next(), None);
        order.finish(CallSeq(0));
        assert_eq!(order.start_next(), Some((CallSeq(1), RequestId(11))));
    }

    #[test]
    fn calls_without_a_number_keep_their_order_of_arrival() {
        let mut order = Sequencer::default();
        assert_eq!(order.push(TimeUs(0), RequestId(1), None), Ok(CallSeq(0)));
        assert_eq!(order.push(TimeUs(0), RequestId(2), None), Ok(CallSeq(1)));
    }

    #[test]
    fn a_gap_is_waited_for_only_so_long() {
        let mut order = Sequencer::default();
        order
            .push(TimeUs(0), RequestId(1), Some(CallSeq(3)))
            .expect("open");
        assert!(order.take_overdue(TimeUs(9), SpanUs(10)).is_empty());
        assert_eq!(order.take_overdue(TimeUs(10), SpanUs(10)), [RequestId(1)]);
        assert!(order.is_idle());
    }

    #[test]
    fn a_refused_call_may_come_again_under_its_number() {
        let mut order = Sequencer::default();
        order
            .push(TimeUs(0), RequestId(1), Some(CallSeq(0)))
            .expect("open");
        order.start_next().expect("its turn");
        order.reopen(CallSeq(0));
        assert_eq!(
            order.push(TimeUs(0), RequestId(2), Some(CallSeq(0))),
            Ok(CallSeq(0))
        );
    }
}
