//! Counts the decode steps of a batch whose step takes longer the larger the batch is.

use clementinepick::units::{SpanUs, TimeUs};

/// The steps done, and how far the present one is.
#[derive(Debug, Clone)]
pub(crate) struct StepClock {
    /// The whole steps done at `base_us`.
    step: u64,
    base_us: TimeUs,
    /// The part of the next step that was done at `base_us`.
    part_us: u64,
    step_us: u64,
}

impl StepClock {
    pub(crate) const fn new(now: TimeUs, step: SpanUs) -> Self {
        Self {
            step: 0,
            base_us: now,
            part_us: 0,
            step_us: if step.0 == 0 { 1 } else { step.0 },
        }
    }

    /// The whole steps done as of the last call that moved the clock.
    pub(crate) const fn step(&self) -> u64 {
        self.step
    }

    /// The time to which the clock was moved; later than now during a hang.
    pub(crate) const fn base_us(&self) -> TimeUs {
        self.base_us
    }

    /// When `step` ends, if the batch stays as it is.
    pub(crate) fn time_of(&self, step: u64) -> TimeUs {
        let left = step.saturating_sub(self.step) * self.step_us;
        self.base_us
            .after(SpanUs(left.saturating_sub(self.part_us)))
    }

    /// Moves on to `now`, with a batch that decodes.
    pub(crate) fn run_to(&mut self, now: TimeUs) {
        let done = now.since(self.base_us).0 + self.part_us;
        self.step += done / self.step_us;
        self.part_us = done % self.step_us;
        self.base_us = self.base_us.max(now);
    }

    /// Moves on to `now`, with nothing to decode; the next step begins then.
    pub(crate) fn idle_to(&mut self, now: TimeUs) {
        self.base_us = self.base_us.max(now);
        self.part_us = 0;
    }

    /// Moves on to `now`, which is when `step` ends.
    pub(crate) const fn end_step(&mut self, now: TimeUs, step: u64) {
        self.step = step;
        self.base_us = now;
        self.part_us = 0;
    }

    /// Sets the length of a step; the part of one that is done stays done, in the new measure.
    pub(crate) fn set_step_us(&mut self, step_us: u64) {
        let step_us = step_us.max(1);
        self.part_us = self.part_us * step_us / self.step_us;
        self.step_us = step_us;
    }

    /// Stands still for `span`.
    pub(crate) const fn hang(&mut self, span: SpanUs) {
        self.base_us = self.base_us.after(span);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_longer_step_keeps_the_part_that_is_done() {
        let mut clock = StepClock::new(TimeUs(0), SpanUs(100));
        clock.run_to(TimeUs(250));
        clock.set_step_us(200);
        assert_eq!(clock.step(), 2);
        assert_eq!(clock.time_of(3), TimeUs(350));
    }
}
