//! Records the start of a non-idempotent call in the log before the call is sent.

use crate::call::Payload;
use crate::call_state::{Awaited, RecordedStart, Step};
use crate::entry::{Entry, EntryAction};
use crate::error::{CallError, ErrorKind};
use crate::ids::{AttemptId, CallKey, RequestId, VmId};
use crate::prompt::ChainHash;
use crate::record::{CallOutcome, PartitionRecord};
use crate::units::TimeUs;

impl Entry {
    /// Writes the start record of a call.
    ///
    /// If this entry dies after the call was sent, its successor finds the record and queries the
    /// sidecar for the outcome. Without the record it would run the call a second time.
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

    /// Sends a call whose start record has been read back.
    pub(crate) fn on_started(&mut self, now: TimeUs, id: RequestId, out: &mut Vec<EntryAction>) {
        let Some(call) = self.calls.get(&id).filter(|call| call.step == Step::Claim) else {
            return;
        };
        let (Some(start), Some(seq)) = (call.recorded_start.clone(), call.seq) else {
            return;
        };
        let key = call.request.key(seq);
        let recorded = self
            .partitions
            .program(call.partition, &key.program)
            .and_then(|state| state.calls.get(&seq));
        let is_own_attempt =
            recorded.is_some_and(|r| r.attempt == start.attempt && r.outcome.is_none());
        if !is_own_attempt {
            // Another attempt is recorded under this sequence number and takes precedence.
            let error = CallError::new(
                ErrorKind::OutOfOrder,
                format!("another attempt of call {key} is already on record"),
            );
            self.fail_call(now, id, error, out);
            return;
        }
        let peer = self.peers.get(&start.target);
        if peer.is_some_and(|p| p.peer.incarnation == start.incarnation && !p.leaving) {
            self.dispatch(now, id, &start.target, start.attempt, out);
            return;
        }
        let error = CallError::new(
            ErrorKind::NoBackend,
            "the backend server left before the call was sent",
        );
        self.revoke_start(id, &error);
        if let Some(call) = self.calls.get_mut(&id) {
            call.tried.insert(start.target);
        }
        self.step_route(now, id, out);
    }

    /// Revokes the start record of a call that did not run and never will.
    ///
    /// A record that has not been sent to the log yet is retracted. One whose append may still take
    /// effect is followed by the record of its end in the same stream. The attempt is never sent
    /// from here again, so the caller can be told at once that the call did not run.
    pub(crate) fn revoke_start(&mut self, id: RequestId, error: &CallError) {
        let Some(call) = self.calls.get_mut(&id) else {
            return;
        };
        let (Some(start), Some(seq)) = (call.recorded_start.take(), call.seq) else {
            return;
        };
        let (key, partition) = (call.request.key(seq), call.partition);
        self.awaited.remove(&start.record);
        if self.journal.retract(start.record) {
            return;
        }
        let outcome = CallOutcome::NeverRan(error.clone());
        self.write_outcome(&key, partition, start.attempt, outcome, None);
    }

    /// Writes the record of the outcome of a non-idempotent call.
    ///
    /// `completes` is the request to complete and the sidecar to notify once it is read back.
    pub(crate) fn write_outcome(
        &mut self,
        call: &CallKey,
        partition: crate::ids::PartitionId,
        attempt: AttemptId,
        outcome: CallOutcome,
        completes: Option<(RequestId, VmId)>,
    ) {
        let entry = PartitionRecord::CallEnded {
            call: call.clone(),
            attempt,
            outcome,
        };
        let Some(record) = self.write_owned(partition, entry) else {
            return;
        };
        let awaited = match completes {
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

/// Returns the digest of a payload, which distinguishes a repeat from another request.
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

/// Returns the digest of the messages after the last answer in a transcript; for a plain call, of
/// the whole payload.
pub(crate) fn digest_new_messages(payload: &Payload) -> ChainHash {
    let Payload::Chat(chat) = payload else {
        return digest(payload);
    };
    let answered = chat.messages.iter().rposition(|m| m.role == "assistant");
    let new_messages = &chat.messages[answered.map_or(0, |at| at + 1)..];
    crate::partition_replay::extend_chain(ChainHash::default(), new_messages)
}
