//! Checks invariants immediately before a call is sent to a sidecar or a backend server.
//!
//! The earlier steps ensure these invariants. If one of them has a bug, a call could run twice, out
//! of order or without budget, which can't be undone. Refusing the call and logging the broken
//! invariant does less harm.

use crate::call_state::{Call, Step};
use crate::entry::{Entry, EntryAction};
use crate::event::{Event, EventKind};
use crate::ids::{AttemptId, RequestId};
use crate::safeguards::Safeguards;
use crate::sidecar::{Attempt, Sidecar, SidecarAction};

impl Entry {
    /// Returns whether a call may be sent to a sidecar; logs an event if an invariant is broken.
    pub(crate) fn may_dispatch(
        &self,
        id: RequestId,
        attempt: AttemptId,
        out: &mut Vec<EntryAction>,
    ) -> bool {
        let Some(call) = self.calls.get(&id) else {
            return false;
        };
        let Some(broken) = self.broken_invariant(id, call, attempt) else {
            return true;
        };
        let event = Event::new(EventKind::InvariantBroken).with("invariant", broken);
        let event = event.with("program", &call.request.program);
        out.push(EntryAction::Event(event.with("request", id)));
        // A test run with a disabled safeguard proceeds, to observe the consequences.
        self.settings.safeguards != Safeguards::default()
    }

    fn broken_invariant(
        &self,
        id: RequestId,
        call: &Call,
        attempt: AttemptId,
    ) -> Option<&'static str> {
        let is_claimed = call
            .recorded_start
            .as_ref()
            .is_some_and(|claim| claim.attempt == attempt);
        let runs_concurrently = self.calls.iter().any(|(other, running)| {
            *other != id
                && running.request.program == call.request.program
                && matches!(running.step, Step::Running { .. } | Step::Lost { .. })
        });
        if self.own_epoch(call.partition).is_none() {
            Some("only the owner sends calls on")
        } else if !call.idempotent && !is_claimed {
            Some("a call that may not run twice is on record before it is sent")
        } else if runs_concurrently {
            Some("calls of one program run one after the other")
        } else if call.held_tokens.is_none() && !call.is_unrecorded() {
            Some("what a call may spend is held before it is sent")
        } else {
            None
        }
    }
}

impl Sidecar {
    /// Returns whether a call may be sent to the backend server; logs an event if an invariant is
    /// broken.
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
