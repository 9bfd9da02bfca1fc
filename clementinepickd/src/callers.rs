//! Tracks the callers whose answers are incomplete, for the control thread.

use std::collections::BTreeMap;
use std::time::Instant;

use clementinepick::call::AnswerPart;
use clementinepick::ids::RequestId;
use clementinepick::units::TimeUs;

use crate::answer_queue::{AnswerSender, DeliveryError};
use crate::telemetry::Telemetry;

struct OpenAnswer {
    parts: AnswerSender,
    since_us: TimeUs,
    route: &'static str,
}

/// All callers with an incomplete answer.
#[derive(Default)]
pub(crate) struct Callers {
    open: BTreeMap<RequestId, OpenAnswer>,
}

impl Callers {
    /// Returns the number of incomplete answers.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Registers the queue of an answer; returns false if the caller has already disconnected.
    pub(crate) fn add(
        &mut self,
        now: TimeUs,
        request: RequestId,
        parts: AnswerSender,
        route: &'static str,
    ) -> bool {
        if parts.check_reader(Instant::now()).is_err() {
            return false;
        }
        let open = OpenAnswer {
            parts,
            since_us: now,
            route,
        };
        self.open.insert(request, open);
        true
    }

    /// Queues a part of an answer for its caller, and removes the caller after the last part or when
    /// the delivery fails.
    pub(crate) fn deliver(
        &mut self,
        now: TimeUs,
        request: RequestId,
        part: AnswerPart,
        telemetry: &Telemetry,
    ) -> Result<(), DeliveryError> {
        let Some(open) = self.open.get(&request) else {
            return Ok(());
        };
        let is_final = part.is_last();
        let outcome = match &part {
            AnswerPart::Failed(error) => error.kind.response().code,
            AnswerPart::Text { .. } | AnswerPart::Plain(_) | AnswerPart::Done(_) => "done",
        };
        let delivered = open.parts.push(Instant::now(), part);
        match delivered {
            Ok(()) if !is_final => {}
            Ok(()) => self.close(now, request, outcome, telemetry),
            Err(failed) => self.abort(now, request, failed, telemetry),
        }
        delivered
    }

    /// Removes callers that have stalled or disconnected, and returns their requests.
    pub(crate) fn drop_stalled(&mut self, now: TimeUs, telemetry: &Telemetry) -> Vec<RequestId> {
        let at = Instant::now();
        let failed: Vec<(RequestId, DeliveryError)> = self
            .open
            .iter()
            .filter_map(|(id, open)| Some((*id, open.parts.check_reader(at).err()?)))
            .collect();
        for (request, why) in &failed {
            self.abort(now, *request, *why, telemetry);
        }
        failed.into_iter().map(|(request, _)| request).collect()
    }

    /// Removes a caller that has disconnected; returns false if its answer was complete.
    pub(crate) fn remove(
        &mut self,
        now: TimeUs,
        request: RequestId,
        telemetry: &Telemetry,
    ) -> bool {
        let known = self.open.contains_key(&request);
        self.abort(now, request, DeliveryError::Disconnected, telemetry);
        known
    }

    fn abort(
        &mut self,
        now: TimeUs,
        request: RequestId,
        why: DeliveryError,
        telemetry: &Telemetry,
    ) {
        let outcome = match why {
            DeliveryError::Disconnected => "caller_gone",
            DeliveryError::Stalled => "caller_slow",
        };
        self.close(now, request, outcome, telemetry);
    }

    fn close(
        &mut self,
        now: TimeUs,
        request: RequestId,
        outcome: &'static str,
        telemetry: &Telemetry,
    ) {
        if let Some(open) = self.open.remove(&request) {
            telemetry.record_call(open.route, outcome, now.since(open.since_us));
        }
    }
}
