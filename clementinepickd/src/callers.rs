//! The callers whose answers are not complete, as the control thread knows them.

use std::collections::BTreeMap;
use std::time::Instant;

use clementinepick::call::AnswerPart;
use clementinepick::ids::RequestId;
use clementinepick::units::TimeUs;

use crate::answer_queue::{AnswerSender, Stopped};
use crate::telemetry::Telemetry;

struct OpenAnswer {
    parts: AnswerSender,
    since_us: TimeUs,
    route: &'static str,
}

/// All callers who wait for an answer, or for the rest of one.
#[derive(Default)]
pub(crate) struct Callers {
    open: BTreeMap<RequestId, OpenAnswer>,
}

impl Callers {
    /// How many answers are not complete.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Takes note of where an answer goes; false when the caller has left already.
    pub(crate) fn add(
        &mut self,
        now: TimeUs,
        request: RequestId,
        parts: AnswerSender,
        route: &'static str,
    ) -> bool {
        if parts.check(Instant::now()).is_err() {
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

    /// Gives a caller a part of its answer, and forgets it after the last; fails for a caller that
    /// can't be given any more.
    pub(crate) fn give(
        &mut self,
        now: TimeUs,
        request: RequestId,
        part: AnswerPart,
        telemetry: &Telemetry,
    ) -> Result<(), Stopped> {
        let Some(open) = self.open.get(&request) else {
            return Ok(());
        };
        let last = part.is_last();
        let outcome = match &part {
            AnswerPart::Failed(error) => error.kind.response().code,
            AnswerPart::Text { .. } | AnswerPart::Plain(_) | AnswerPart::Done(_) => "done",
        };
        let given = open.parts.push(Instant::now(), part);
        match given {
            Ok(()) if !last => {}
            Ok(()) => self.close(now, request, outcome, telemetry),
            Err(stopped) => self.stop(now, request, stopped, telemetry),
        }
        given
    }

    /// Forgets callers that take nothing, or have left, and says which.
    pub(crate) fn stop_slow(&mut self, now: TimeUs, telemetry: &Telemetry) -> Vec<RequestId> {
        let at = Instant::now();
        let stopped: Vec<(RequestId, Stopped)> = self
            .open
            .iter()
            .filter_map(|(id, open)| Some((*id, open.parts.check(at).err()?)))
            .collect();
        for (request, why) in &stopped {
            self.stop(now, *request, *why, telemetry);
        }
        stopped.into_iter().map(|(request, _)| request).collect()
    }

    /// Forgets a caller that has left; false when its answer was complete.
    pub(crate) fn leave(&mut self, now: TimeUs, request: RequestId, telemetry: &Telemetry) -> bool {
        let known = self.open.contains_key(&request);
        self.stop(now, request, Stopped::Gone, telemetry);
        known
    }

    fn stop(&mut self, now: TimeUs, request: RequestId, why: Stopped, telemetry: &Telemetry) {
        let outcome = match why {
            Stopped::Gone => "caller_gone",
            Stopped::Slow => "caller_slow",
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
