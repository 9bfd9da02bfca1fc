//! Runs the callers of a soak with releases: each begins drafts, leaves them after some events and
//! resumes them at other gateways, in preference at one that is out of step.

use std::thread::sleep;
use std::time::Duration;

use rand::RngExt;

use crate::soak_callers::{Caller, Callers, Received};
use crate::soak_config::draft_service;
use crate::soak_history::RequestKind;
use crate::soak_release_servers::DRAFT_SERVICES;

/// How long a caller reads a draft before it leaves.
const PATIENCE_MS: std::ops::RangeInclusive<u64> = 30..=75;
/// The longest time between leaving a draft and resuming it.
const MAX_ABSENCE_MS: u64 = 300;
const MAX_RESUMPTIONS: u32 = 4;
/// The longest deadline that a caller may have, as without one.
const DEADLINE_MS: &str = "600000";
/// How often a draft is one of a service that is being released, if there is one.
const RELEASING_SHARE: f64 = 0.75;
/// How often a draft is resumed at a gateway that is out of step, if there is one.
const OUT_OF_STEP_SHARE: f64 = 0.6;
/// How often a caller leaves a draft again that it resumes.
const LEAVE_AGAIN_SHARE: f64 = 0.3;

impl Callers<'_> {
    /// Begins, leaves and resumes drafts, one after the other, until the run is over.
    pub(crate) fn run_drafts(&self, number: usize) {
        let mut caller = self.new_caller(format!("d{number}x"));
        // Names with the same letters and digits have the same numbers.
        caller.random.set_stream(number as u64);
        let mut draft: u64 = 0;
        while !self.is_finished() {
            caller.run_draft(&format!("d{number}-{draft}"), draft.is_multiple_of(2));
            draft += 1;
        }
    }
}

impl Caller<'_> {
    fn run_draft(&mut self, program: &str, is_named: bool) {
        let service = self.choose_service();
        let gateway = self.choose_gateway_in_step();
        let draft = RequestKind::Draft;
        let begun = self.send_draft(service, gateway, program, draft, true, DEADLINE_MS);
        let (first, Some(mut last_event)) = (begun.id, begun.last_event) else {
            self.back_off();
            return;
        };
        if begun.is_complete {
            return;
        }
        sleep(Duration::from_millis(
            self.random.random_range(0..=MAX_ABSENCE_MS),
        ));
        for _ in 0..MAX_RESUMPTIONS {
            if self.shared.is_finished() {
                return;
            }
            let gateway = self.choose_gateway_for_resumption();
            let kind = RequestKind::Resumed {
                first: first.clone(),
                last_event,
                is_named,
            };
            let leaves = self.random.random_bool(LEAVE_AGAIN_SHARE);
            let received = self.send_draft(service, gateway, program, kind, leaves, DEADLINE_MS);
            match received.status {
                200 if received.is_complete => return,
                200 => last_event = received.last_event.unwrap_or(last_event),
                _ => self.back_off(),
            }
        }
    }

    /// Sends a request for a draft, or for its rest; the caller may leave after some events.
    pub(crate) fn send_draft(
        &mut self,
        service: usize,
        gateway: usize,
        program: &str,
        kind: RequestKind,
        leaves: bool,
        deadline_ms: &str,
    ) -> Received {
        let mut attempt = self.start_attempt(gateway, program, kind);
        let request = attempt.request.without("Token-Budget");
        attempt.request = request.with("Deadline-Ms", deadline_ms);
        attempt.request.path = format!("/{}/1", draft_service(service));
        let patience = Duration::from_millis(self.random.random_range(PATIENCE_MS));
        self.send_attempt(attempt, leaves.then_some(patience))
    }

    fn choose_service(&mut self) -> usize {
        let releasing = self.shared.world.releases.releasing();
        if !releasing.is_empty() && self.random.random_bool(RELEASING_SHARE) {
            releasing[self.random.random_range(0..releasing.len())]
        } else {
            self.random.random_range(0..DRAFT_SERVICES)
        }
    }

    /// Returns a gateway that is not the one out of step, if there are others.
    fn choose_gateway_in_step(&mut self) -> usize {
        let gateway = self.choose_gateway();
        if self.shared.world.out_of_step().contains(&gateway) {
            self.choose_gateway()
        } else {
            gateway
        }
    }

    fn choose_gateway_for_resumption(&mut self) -> usize {
        let out_of_step = self.shared.world.out_of_step();
        if !out_of_step.is_empty() && self.random.random_bool(OUT_OF_STEP_SHARE) {
            out_of_step[self.random.random_range(0..out_of_step.len())]
        } else {
            self.choose_gateway()
        }
    }
}
