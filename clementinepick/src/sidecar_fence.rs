//! Keeps owners of an old epoch out, and tells a new owner what became of earlier calls.

use crate::call::{AnswerPart, Payload};
use crate::error::{CallError, ErrorKind};
use crate::event::{Event, EventKind};
use crate::ids::{AttemptId, CallKey, Epoch, Incarnation, PartitionId, VmId};
use crate::message::{FenceVerdict, KeptCall, Message};
use crate::sidecar::{Attempt, Closed, Phase, Sidecar, SidecarAction, log, send, skip_chars};

/// The most closed attempts that are remembered.
const MAX_CLOSED: usize = 1 << 16;

/// What a fence is asked for.
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
    /// Takes note of an epoch; false when a newer one is known.
    ///
    /// An owner that was paused over a take-over may still send. Without this check its call would
    /// run beside the new owner's.
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
            self.leave_owners_before(partition, epoch);
        }
        true
    }

    /// Stops telling earlier owners of their calls.
    ///
    /// A deposed owner that is not aware of it would go on answering its callers from a state that
    /// the new owner does not share. What runs goes on, for the new owner to attach to; what waits
    /// and may be run again is dropped, since its caller's request goes to the new owner.
    fn leave_owners_before(&mut self, partition: PartitionId, epoch: Epoch) {
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
            self.gate.remove(id);
            self.attempts.remove(&id);
        }
    }

    pub(crate) fn on_take_over(
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
            .map(|(id, attempt)| kept(*id, attempt))
            .collect();
        let message = Message::Kept {
            partition,
            epoch,
            calls,
        };
        out.push(send(from, message));
    }

    /// Makes sure that an attempt does not start from now on, and says what became of it.
    ///
    /// No answer goes to an owner that a newer one has replaced: it learns so from the log.
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
        // What an earlier life of this process sent to the backend server is known to nobody.
        if fence.incarnation != self.settings.incarnation {
            return FenceVerdict::Unknown;
        }
        if let Some(attempt) = self.attempts.get(&fence.attempt) {
            match attempt.phase {
                Phase::Running => return FenceVerdict::Running,
                Phase::Ended { .. } if attempt.started => return FenceVerdict::Ended,
                Phase::Waiting | Phase::Ended { .. } => {}
            }
            self.gate.remove(fence.attempt);
            self.attempts.remove(&fence.attempt);
        } else if let Some(closed) = self.closed.get(&fence.attempt) {
            return if closed.ran {
                FenceVerdict::Unknown
            } else {
                FenceVerdict::NeverRan
            };
        } else if self.is_forgotten(fence.partition, fence.started_epoch) {
            return FenceVerdict::Unknown;
        }
        self.close(fence.attempt, fence.partition, fence.started_epoch, false);
        FenceVerdict::NeverRan
    }

    /// Whether attempts of this epoch may have run here and be remembered no more.
    pub(crate) fn is_forgotten(&self, partition: PartitionId, epoch: Epoch) -> bool {
        self.forgotten
            .get(&partition)
            .is_some_and(|forgotten| epoch <= *forgotten)
    }

    /// Remembers that an attempt must not start here (again).
    pub(crate) fn close(
        &mut self,
        attempt: AttemptId,
        partition: PartitionId,
        epoch: Epoch,
        ran: bool,
    ) {
        let closed = Closed {
            partition,
            epoch,
            ran,
        };
        self.closed.insert(attempt, closed);
    }

    /// Bounds what is remembered of closed attempts.
    ///
    /// One that never ran needs no memory once its epoch has passed: the epoch check refuses it.
    /// Where even so too many are left, some are dropped, and all attempts of their epochs count
    /// as unknown from then on: a fence for them says so, and none of them starts.
    pub(crate) fn prune_closed(&mut self) {
        let epochs = &self.epochs;
        self.closed.retain(|_, closed| {
            let known = epochs.get(&closed.partition);
            closed.ran || known.is_none_or(|known| *known <= closed.epoch)
        });
        while self.closed.len() > MAX_CLOSED
            && let Some((_, closed)) = self.closed.pop_first()
        {
            let forgotten = self.forgotten.entry(closed.partition).or_default();
            *forgotten = (*forgotten).max(closed.epoch);
        }
    }

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
            let detail = "the answer is not kept here any more";
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
        if let Some(last) = attempt.last.clone() {
            out.extend(attempt.reply(last));
        }
    }
}

fn kept(id: AttemptId, attempt: &Attempt) -> KeptCall {
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
        answered: matches!(attempt.last, Some(AnswerPart::Done(_))),
        ended: matches!(attempt.phase, Phase::Ended { .. }),
        used: attempt.used,
        messages,
        answer: attempt.text.clone(),
    }
}
