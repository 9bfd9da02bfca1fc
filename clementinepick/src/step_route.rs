//! Chooses a backend server for a call and dispatches the call to its sidecar.

use std::collections::BTreeSet;

use crate::call::Payload;
use crate::call_state::{Call, Step};
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind};
use crate::ids::{AttemptId, RequestId, VmId};
use crate::message::{Dispatch, Message};
use crate::route::RouteQuery;
use crate::units::TimeUs;

impl Entry {
    pub(crate) fn step_route(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        // An engine that does not serve the model would fail the call after it was sent.
        let service = call.request.service.clone();
        let mut excluded = match &call.request.payload {
            Payload::Chat(chat) => {
                let model = chat.model.clone();
                self.find_engines_without_model(&service, &model)
            }
            Payload::Plain(_) => BTreeSet::new(),
        };
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let last = self
            .programs
            .get(&call.request.program)
            .and_then(|p| p.last_backend.as_ref());
        excluded.extend(call.tried.iter().cloned());
        let query = RouteQuery {
            service: &call.request.service,
            prompt: call.prompt(),
            last,
            tried: &excluded,
        };
        let Some(choice) = self.router.pick(now, &query) else {
            self.wait_for_backend(now, id, out);
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.prefill_tokens = choice.uncached_tokens;
        let target = choice.vm;
        if call.idempotent || !self.settings.safeguards.call_started_record {
            let attempt = AttemptId::draw(&mut self.rng);
            self.dispatch(now, id, &target, attempt, out);
        } else {
            self.step_start(now, id, &target, out);
        }
    }

    /// Waits up to `backend_wait_us` for a backend server, and then fails the call.
    ///
    /// A link that is being reopened is up again within that time. A longer wait would keep callers
    /// from retrying elsewhere until their deadline.
    fn wait_for_backend(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let since_us = match call.step {
            Step::Route { since_us } => since_us,
            _ => now,
        };
        if call.tried.is_empty() && now.since(since_us) < self.settings.backend_wait_us {
            call.step = Step::Route { since_us };
            return;
        }
        let detail = "no backend server of the service can take the call";
        self.fail_call(now, id, CallError::new(ErrorKind::NoBackend, detail), out);
    }

    pub(crate) fn dispatch(
        &mut self,
        now: TimeUs,
        id: RequestId,
        target: &VmId,
        attempt: AttemptId,
        out: &mut Vec<EntryAction>,
    ) {
        if !self.may_dispatch(id, attempt, out) {
            let error = CallError::new(ErrorKind::Internal, "an invariant did not hold");
            self.fail_call(now, id, error, out);
            return;
        }
        let Some(message) = self
            .calls
            .get(&id)
            .and_then(|call| self.dispatch_message(now, call, attempt))
        else {
            return;
        };
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        call.step = Step::Running {
            attempt,
            target: target.clone(),
        };
        if call.tried.is_empty() {
            let budget = self
                .retry_budgets
                .entry(call.request.service.clone())
                .or_default();
            budget.deposit(call.active_document.document.retry.budget);
        }
        call.tried.insert(target.clone());
        self.router.on_sent(target, call.prefill_tokens);
        self.attempts.insert(attempt, id);
        let prompt = call.prompt().cloned().unwrap_or_default();
        if let Some(live) = self.programs.get_mut(&call.request.program) {
            live.last_backend = Some(target.clone());
            live.holders.insert(target.clone());
            live.chains
                .extend(prompt.segments.iter().map(|segment| segment.chain));
        }
        self.send_document(target, id, out);
        out.push(EntryAction::Send {
            to: target.clone(),
            message: Message::Dispatch(Box::new(message)),
        });
    }

    fn dispatch_message(&self, now: TimeUs, call: &Call, attempt: AttemptId) -> Option<Dispatch> {
        let epoch = self.own_epoch(call.partition)?;
        let program = &call.request.program;
        Some(Dispatch {
            attempt,
            request: call.request.id,
            digest: call.digest,
            call: call.request.key(call.seq?),
            partition: call.partition,
            epoch,
            service: call.request.service.clone(),
            revision: call.active_document.published.revision,
            class: call.class.clone(),
            idempotent: call.idempotent,
            deadline_left_us: call.deadline_us.since(now),
            attained_tokens: self.attained_tokens(call.partition, program),
            max_output_tokens: call.max_output_tokens(),
            expected_output_tokens: call.max_output_tokens(),
            next_tool: call.request.next_tool.clone(),
            payload: call.payload().clone(),
        })
    }
}
