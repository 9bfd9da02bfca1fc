//! What must hold at the moment a call is sent on, checked where the state is.
//!
//! The modules before this point are built so that none of this can happen. Should one of them be
//! wrong, the symptom would be a call that runs twice, out of order or unpaid, which nobody can take
//! back; a call refused here, with an event that names the invariant, is the lesser harm.

use crate::call_state::{Call, Step};
use crate::entry::{Entry, EntryAction};
use crate::event::{Event, EventKind};
use crate::ids::{AttemptId, RequestId};
use crate::safeguards::Safeguards;
use crate::sidecar::{Attempt, Sidecar, SidecarAction};

impl Entry {
    /// Checks a call that is about to be sent to a sidecar; false when it must not be.
    pub(crate) fn may_dispatch(
        &self,
        id: RequestId,
        attempt: AttemptId,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let Some(broken) = self.broken_by(id, call, attempt) else {
            return true;
        };
        let event = Event::new(EventKind::InvariantBroken).with("invariant", broken);
        let event = event.with("program", &call.request.program);
        out.push(EntryAction::Event(event.with("request", id)));
        // A test run that leaves a safeguard out is to see what comes of it.
        self.settings.safeguards != Safeguards::default()
    }

    fn broken_by(&self, id: RequestId, call: &Call, attempt: AttemptId) -> Option<&'static str> {
        let claimed = call
            .recorded_start
            .as_ref()
            .is_some_and(|claim| claim.attempt == attempt);
        let overtakes = self.calls.iter().any(|(other, running)| {
            *other != id
                && running.request.program == call.request.program
                && matches!(running.step, Step::Running { .. } | Step::Lost { .. })
        });
        if self.own_epoch(call.partition).is_none() {
            Some("only the owner sends calls on")
        } else if !call.idempotent && !claimed {
            Some("a call that may not run twice is on record before it is sent")
        } else if overtakes {
            Some("calls of one program run one after the other")
        } else if call.held_tokens.is_none() && !call.is_unrecorded() {
            Some("what a call may spend is held before it is sent")
        } else {
            None
        }
    }
}

impl Sidecar {
    /// Checks a call that is about to be sent to the backend server; false when it must not be.
    pub(crate) fn may_start(&self, attempt: &Attempt, out: &mut Vec<SidecarAction>) -> bool {
        let dispatch = &attempt.dispatch;
        let known = self.epochs.get(&dispatch.partition);
        let broken = if known.is_some_and(|known| dispatch.epoch < *known) {
            "only calls of the newest owner are started"
        } else if attempt.started {
            "an attempt is started once"
        } else {
            return true;
        };
        let event = Event::new(EventKind::InvariantBroken).with("invariant", broken);
        out.push(SidecarAction::Log(event.with("call", &dispatch.call)));
        self.settings.safeguards != Safeguards::default()
    }
}
