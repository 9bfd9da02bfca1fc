//! Rejects owners of an old epoch, and reports to a new owner what became of earlier calls.

use crate::call::{AnswerPart, Payload};
use crate::error::{CallError, ErrorKind};
use crate::event::{Event, EventKind};
use crate::ids::{AttemptId, CallKey, Epoch, Incarnation, PartitionId, VmId};
use crate::message::{FenceVerdict, KeptCall, Message};
use crate::sidecar::{
    Attempt, ClosedAttempt, Phase, Sidecar, SidecarAction, log, send, skip_chars,
};

/// Maximum number of closed attempts that are remembered.
const MAX_CLOSED: usize = 1 << 16;

/// Parameters of a fence request.
#[derive(Debug)]
pub(crate) struct Fence {
    pub(crate) attempt: AttemptId,
    pub(crate) call: CallKey,
    pub(crate) partition: PartitionId,
    pub(crate) epoch: Epoch,
    pub(crate) started_epoch: Epoch,
    pub(crate) incarnation: Incarnation,
}

impl Sidecar {
    /// Records an epoch; returns false if a newer one is known.
    ///
    /// An owner that was paused during a takeover may still send calls. Without this check they
    /// would run concurrently with those of the new owner.
    pub(crate) fn accept_epoch(
        &mut self,
        partition: PartitionId,
        epoch: Epoch,
        out: &mut Vec<SidecarAction>,
    ) -> bool {
        let known = self.epochs.get(&partition).copied();
        if known.is_some_and(|known| epoch < known) && self.settings.safeguards.epoch_check {
            let event = Event::new(EventKind::StaleEpoch).with("partition", partition);
            out.push(SidecarAction::Log(event.with("epoch", epoch)));
            return false;
        }
        if known.is_none_or(|known| known < epoch) {
            self.epochs.insert(partition, epoch);
            self.detach_earlier_owners(partition, epoch);
        }
        true
    }

    /// Stops sending answers to earlier owners.
    ///
    /// A deposed owner that is unaware of it would otherwise keep answering callers from state that
    /// the new owner does not have. Running calls continue, for the new owner to attach to. Waiting
    /// idempotent calls are dropped, since their callers' requests go to the new owner.
    fn detach_earlier_owners(&mut self, partition: PartitionId, epoch: Epoch) {
        let mut dropped = Vec::new();
        for (id, attempt) in &mut self.attempts {
            if attempt.dispatch.partition != partition || attempt.dispatch.epoch >= epoch {
                continue;
            }
            attempt.owner = None;
            if attempt.phase == Phase::Waiting && attempt.dispatch.idempotent {
                dropped.push(*id);
            }
        }
        for id in dropped {
            self.admission.remove(id);
            self.attempts.remove(&id);
        }
    }

    pub(crate) fn on_takeover(
        &mut self,
        from: &VmId,
        partition: PartitionId,
        epoch: Epoch,
        out: &mut Vec<SidecarAction>,
    ) {
        if !self.accept_epoch(partition, epoch, out) {
            return;
        }
        let calls = self
            .attempts
            .iter()
            .filter(|(_, a)| a.dispatch.partition == partition && a.dispatch.epoch < epoch)
            .map(|(id, attempt)| kept_call(*id, attempt))
            .collect();
        let message = Message::Kept {
            partition,
            epoch,
            calls,
        };
        out.push(send(from, message));
    }

    /// Prevents an attempt from starting from now on, and replies what became of it.
    ///
    /// An owner that a newer one has replaced gets no reply; it learns of the change from the log.
    pub(crate) fn on_fence(&mut self, from: &VmId, fence: Fence, out: &mut Vec<SidecarAction>) {
        if !self.accept_epoch(fence.partition, fence.epoch, out) {
            return;
        }
        let verdict = self.fence(&fence);
        let event = Event::new(EventKind::FenceAnswered).with("call", &fence.call);
        out.push(SidecarAction::Log(
            event.with("verdict", format!("{verdict:?}")),
        ));
        let message = Message::FenceReply {
            attempt: fence.attempt,
            call: fence.call,
            verdict,
        };
        out.push(send(from, message));
    }

    fn fence(&mut self, fence: &Fence) -> FenceVerdict {
        // No record exists of what an earlier incarnation sent to the backend server.
        if fence.incarnation != self.settings.incarnation {
            return FenceVerdict::Unknown;
        }
        if let Some(attempt) = self.attempts.get(&fence.attempt) {
            match attempt.phase {
                Phase::Running => return FenceVerdict::Running,
                Phase::Ended { .. } if attempt.started => return FenceVerdict::Ended,
                Phase::Waiting | Phase::Ended { .. } => {}
            }
            self.admission.remove(fence.attempt);
            self.attempts.remove(&fence.attempt);
        } else if let Some(closed) = self.closed.get(&fence.attempt) {
            return if closed.ran {
                FenceVerdict::Unknown
            } else {
                FenceVerdict::NeverRan
            };
        } else if self.is_epoch_pruned(fence.partition, fence.started_epoch) {
            return FenceVerdict::Unknown;
        }
        self.close(fence.attempt, fence.partition, fence.started_epoch, false);
        FenceVerdict::NeverRan
    }

    /// Returns whether closed attempts of this epoch may have been pruned, so that it is unknown
    /// whether they ran.
    pub(crate) fn is_epoch_pruned(&self, partition: PartitionId, epoch: Epoch) -> bool {
        self.pruned_epochs
            .get(&partition)
            .is_some_and(|pruned_epoch| epoch <= *pruned_epoch)
    }

    /// Records that an attempt must not start here, and whether it ran.
    pub(crate) fn close(
        &mut self,
        attempt: AttemptId,
        partition: PartitionId,
        epoch: Epoch,
        ran: bool,
    ) {
        let closed = ClosedAttempt {
            partition,
            epoch,
            ran,
        };
        self.closed.insert(attempt, closed);
    }

    /// Limits the number of closed attempts to [`MAX_CLOSED`].
    ///
    /// An attempt that never ran is dropped once its epoch has passed, since the epoch check
    /// rejects it. If too many remain, some are dropped, and all attempts up to their epochs count
    /// as unknown: fences for them report so, and none of them starts.
    pub(crate) fn prune_closed(&mut self) {
        let epochs = &self.epochs;
        self.closed.retain(|_, closed| {
            let known = epochs.get(&closed.partition);
            closed.ran || known.is_none_or(|known| *known <= closed.epoch)
        });
        while self.closed.len() > MAX_CLOSED
            && let Some((_, closed)) = self.closed.pop_first()
        {
            let pruned_epoch = self.pruned_epochs.entry(closed.partition).or_default();
            *pruned_epoch = (*pruned_epoch).max(closed.epoch);
        }
    }

    /// Makes the sender the owner of an attempt, and sends it the answer from `position` on.
    pub(crate) fn on_attach(
        &mut self,
        from: VmId,
        id: AttemptId,
        epoch: Epoch,
        position: u64,
        out: &mut Vec<SidecarAction>,
    ) {
        let Some(attempt) = self.attempts.get(&id) else {
            out.push(log(EventKind::OutcomeUnknown, id));
            let detail = "this sidecar no longer keeps the answer";
            let error = CallError::new(ErrorKind::OutcomeUnknown, detail);
            let message = Message::DispatchReply {
                attempt: id,
                part: AnswerPart::Failed(error),
                started: true,
                used: crate::call::Usage::default(),
            };
            out.push(send(&from, message));
            return;
        };
        if !self.accept_epoch(attempt.dispatch.partition, epoch, out) {
            return;
        }
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        attempt.owner = Some(from);
        let rest: String = skip_chars(&attempt.text, position);
        if !rest.is_empty() {
            let text = AnswerPart::Text {
                position,
                text: rest,
            };
            out.extend(attempt.reply(text));
        }
        if let Some(plain) = attempt.plain.clone() {
            out.extend(attempt.reply(AnswerPart::Plain(plain)));
        }
        if let Some(last) = attempt.last_part.clone() {
            out.extend(attempt.reply(last));
        }
    }
}

fn kept_call(id: AttemptId, attempt: &Attempt) -> KeptCall {
    let dispatch = &attempt.dispatch;
    let messages = match &dispatch.payload {
        Payload::Chat(chat) => chat.messages.clone(),
        Payload::Plain(_) => Vec::new(),
    };
    KeptCall {
        attempt: id,
        request: dispatch.request,
        digest: dispatch.digest,
        call: dispatch.call.clone(),
        idempotent: dispatch.idempotent,
        answered: matches!(attempt.last_part, Some(AnswerPart::Done(_))),
        ended: matches!(attempt.phase, Phase::Ended { .. }),
        used: attempt.used,
        messages,
        answer: attempt.text.clone(),
    }
}
