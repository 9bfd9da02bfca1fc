//! Runs the callers of a soak with restarts: each begins drafts, leaves them after some events, and
//! resumes them at other gateways up to some seconds later.

use std::thread::sleep;
use std::time::{Duration, Instant};

use rand::RngExt;

use crate::soak_callers::{Caller, Callers};
use crate::soak_history::RequestKind;
use crate::soak_plan::RESTART_DRAFT_SERVICES;

/// The drafts that a caller leaves before it resumes the first.
const DRAFTS: usize = 4;
/// The longest time from the beginning of drafts to their rest, longer than the gateways need to be in touch
/// after a restart.
const MAX_ABSENCE_MS: u64 = 12_000;
/// How long the caller of a draft waits for it in all.
const DEADLINE_MS: &str = "30000";
/// The tries to resume a draft.
const MAX_TRIES: u32 = 3;
/// How often an absent caller checks whether the run is over.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A draft of which its caller has the first events.
struct LeftDraft {
    first: String,
    program: String,
    service: usize,
    last_event: u64,
}

impl Callers<'_> {
    /// Begins drafts and resumes them later, until the run is over.
    pub(crate) fn resume_later(&self, number: usize) {
        let mut caller = self.new_caller(format!("l{number}x"));
        // Names with the same letters and digits have the same numbers.
        caller.random.set_stream(number as u64);
        let mut round: u64 = 0;
        while !self.is_finished() {
            caller.leave_and_resume(&format!("l{number}-{round}"));
            round += 1;
        }
    }
}

impl Caller<'_> {
    fn leave_and_resume(&mut self, round: &str) {
        let left: Vec<LeftDraft> = (0..DRAFTS)
            .filter_map(|number| self.leave_draft(format!("{round}-{number}")))
            .collect();
        if left.is_empty() {
            self.back_off();
            return;
        }
        let absence = Duration::from_millis(self.random.random_range(0..=MAX_ABSENCE_MS));
        let until = Instant::now() + absence;
        while Instant::now() < until {
            if self.shared.is_finished() {
                return;
            }
            sleep(POLL_INTERVAL);
        }
        for draft in left {
            self.resume_draft(&draft);
        }
    }

    /// Begins a draft; `None` if it did not begin, or ended before its caller left.
    fn leave_draft(&mut self, program: String) -> Option<LeftDraft> {
        let service = self.random.random_range(0..RESTART_DRAFT_SERVICES);
        let gateway = self.choose_gateway();
        let draft = RequestKind::Draft;
        let begun = self.send_draft(service, gateway, &program, draft, true, DEADLINE_MS);
        let last_event = begun.last_event.filter(|_| !begun.is_complete)?;
        Some(LeftDraft {
            first: begun.id,
            program,
            service,
            last_event,
        })
    }

    fn resume_draft(&mut self, draft: &LeftDraft) {
        for _ in 0..MAX_TRIES {
            if self.shared.is_finished() {
                return;
            }
            let kind = RequestKind::Resumed {
                first: draft.first.clone(),
                last_event: draft.last_event,
                is_named: true,
            };
            let (service, gateway) = (draft.service, self.choose_gateway());
            let program = &draft.program;
            let received = self.send_draft(service, gateway, program, kind, false, DEADLINE_MS);
            if received.status == 200 {
                return;
            }
            self.back_off();
        }
    }
}
