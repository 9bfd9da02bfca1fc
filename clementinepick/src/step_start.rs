//! Puts the start of a non-idempotent call on record before it is sent.

use crate::call::Payload;
use crate::call_state::{Awaited, RecordedStart, Step};
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind};
use crate::ids::{AttemptId, CallKey, RequestId, VmId};
use crate::prompt::ChainHash;
use crate::record::{CallOutcome, PartitionRecord};
use crate::units::TimeUs;

impl Entry {
    /// Writes the record of a call's start.
    ///
    /// Should this entry die after the call was sent, its successor finds the record and asks the
    /// sidecar what became of the call, where it would otherwise run it a second time.
    pub(crate) fn step_start(
        &mut self,
        now: TimeUs,
        id: RequestId,
        target: &VmId,
        out: &mut Vec<EntryAction>,
    ) {
        let Some(incarnation) = self.peers.get(target).map(|p| p.peer.incarnation) else {
            return;
        };
        let attempt = AttemptId::draw(&mut self.rng);
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let Some(seq) = call.seq else { return };
        call.step = Step::Claim;
        let partition = call.partition;
        let entry = PartitionRecord::CallStarted {
            call: call.request.key(seq),
            attempt,
            request: id,
            digest: call.digest,
            key: call.request.idempotency_key.clone(),
            target: target.clone(),
            target_incarnation: incarnation,
        };
        let Some(record) = self.write_owned(partition, entry) else {
            return;
        };
        self.awaited.insert(record, Awaited::Started(id));
        if let Some(call) = self.calls.get_mut(&id) {
            call.recorded_start = Some(RecordedStart {
                attempt,
                target: target.clone(),
                incarnation,
                record,
            });
        }
        if !self.settings.safeguards.read_back {
            self.dispatch(now, id, target, attempt, out);
        }
    }

    /// The record of a call's start has come back: the call may be sent.
    pub(crate) fn on_started(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id).filter(|call| call.step == Step::Claim) else {
            return;
        };
        let (Some(claim), Some(seq)) = (call.recorded_start.clone(), call.seq) else {
            return;
        };
        let key = call.request.key(seq);
        let recorded = self
            .partitions
            .program(call.partition, &key.program)
            .and_then(|state| state.calls.get(&seq));
        let is_ours = recorded.is_some_and(|r| r.attempt == claim.attempt && r.outcome.is_none());
        if !is_ours {
            // Another attempt of the call stands on record at this place, and decides.
            let error = CallError::new(ErrorKind::OutOfOrder, format!("call {key} is on record"));
            self.fail_call(now, id, error, out);
            return;
        }
        let peer = self.peers.get(&claim.target);
        if peer.is_some_and(|p| p.peer.incarnation == claim.incarnation && !p.leaving) {
            self.dispatch(now, id, &claim.target, claim.attempt, out);
            return;
        }
        let error = CallError::new(ErrorKind::NoBackend, "the backend server went away");
        self.revoke_start(id, &error);
        if let Some(call) = self.calls.get_mut(&id) {
            call.tried.insert(claim.target);
        }
        self.step_route(now, id, out);
    }

    /// Puts on record that a claimed call did not run and never will.
    ///
    /// A start that has not left for the log yet is taken back. One whose append may still take
    /// effect is followed by its end in the same stream; and it is never sent from here again, so
    /// what the caller is told at once stays true.
    pub(crate) fn revoke_start(&mut self, id: RequestId, error: &CallError) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let (Some(claim), Some(seq)) = (call.recorded_start.take(), call.seq) else {
            return;
        };
        let (key, partition) = (call.request.key(seq), call.partition);
        self.awaited.remove(&claim.record);
        if self.journal.retract(claim.record) {
            return;
        }
        let outcome = CallOutcome::NeverRan(error.clone());
        self.write_outcome(&key, partition, claim.attempt, outcome, None);
    }

    /// Puts the outcome of a non-idempotent call on record.
    pub(crate) fn write_outcome(
        &mut self,
        call: &CallKey,
        partition: crate::ids::PartitionId,
        attempt: AttemptId,
        outcome: CallOutcome,
        told: Option<(RequestId, VmId)>,
    ) {
        let entry = PartitionRecord::CallEnded {
            call: call.clone(),
            attempt,
            outcome,
        };
        let Some(record) = self.write_owned(partition, entry) else {
            return;
        };
        let awaited = match told {
            Some((request, target)) => Awaited::Ended {
                request,
                target,
                attempt,
            },
            None => Awaited::Other(partition),
        };
        self.awaited.insert(record, awaited);
    }
}

/// The digest of a payload, to tell a repeat from another request.
pub(crate) fn digest(payload: &Payload) -> ChainHash {
    match payload {
        Payload::Chat(chat) => chat
            .prompt
            .chain()
            .extend(chat.model.as_str().as_bytes())
            .extend(&serde_json::to_vec(&chat.extra).unwrap_or_default()),
        Payload::Plain(call) => ChainHash::default()
            .extend(call.method.as_bytes())
            .extend(call.path.as_bytes())
            .extend(&call.body),
    }
}

/// The digest of what a call brings that the one before it did not.
pub(crate) fn digest_new_messages(payload: &Payload) -> ChainHash {
    let Payload::Chat(chat) = payload else {
        return digest(payload);
    };
    let answered = chat.messages.iter().rposition(|m| m.role == "assistant");
    let news = &chat.messages[answered.map_or(0, |at| at + 1)..];
    crate::partition_replay::extend_chain(ChainHash::default(), news)
}
