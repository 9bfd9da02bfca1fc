//! Checks that drafts which callers resume go on about as often as new ones begin, at gateways in touch.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::soak_history::{History, RequestKind, RequestRecord};

/// How long a gateway and the store must have been undisturbed for the gateway to be in touch.
const STABLE_TIME: Duration = Duration::from_secs(3);

/// When gateways and the store were disturbed, from the start of the run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RestartTimes {
    /// The gateways that were, with the beginning and the end.
    pub gateways: Vec<(usize, Duration, Duration)>,
    /// The times in which the store was.
    pub store: Vec<(Duration, Duration)>,
    /// The times in which all gateways were restarted in a series.
    pub series: Vec<(Duration, Duration)>,
}

impl RestartTimes {
    /// Returns whether the gateway of a request was in touch until its response.
    fn is_in_touch(&self, request: &RequestRecord) -> bool {
        let end = request.sent_at + request.duration;
        let is_disturbed =
            |from: Duration, until: Duration| from <= end && request.sent_at < until + STABLE_TIME;
        let of_gateway = self.gateways.iter();
        let mut of_gateway = of_gateway.filter(|(gateway, ..)| *gateway == request.gateway.0);
        !of_gateway.any(|(_, from, until)| is_disturbed(*from, *until))
            && !self
                .store
                .iter()
                .any(|(from, until)| is_disturbed(*from, *until))
    }

    /// Returns whether all gateways were restarted in a series between two times.
    fn has_series_between(&self, begun_at: Duration, resumed_at: Duration) -> bool {
        let mut series = self.series.iter();
        series.any(|(from, until)| begun_at <= *from && *until <= resumed_at)
    }
}

/// The drafts at gateways in touch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Display)]
#[display(
    "{resumed} of {resumptions} resumed, {resumed_after_series} of {resumptions_after_series} after a \
     series of restarts, {begun} of {beginnings} new ones begun in touch"
)]
pub struct InTouchCounts {
    /// Requests for the rest of a draft whose callers name the first attempt.
    pub resumptions: usize,
    /// Those of them that went on.
    pub resumed: usize,
    /// Requests for the rest of a draft that began before all gateways were restarted.
    pub resumptions_after_series: usize,
    /// Those of them that went on.
    pub resumed_after_series: usize,
    /// Requests for new drafts.
    pub beginnings: usize,
    /// Those of them that began.
    pub begun: usize,
}

impl InTouchCounts {
    /// Counts the drafts of a history; none in runs without such times.
    #[must_use]
    pub fn of(history: &History) -> Self {
        let mut counts = Self::default();
        let Some(times) = &history.restarts else {
            return counts;
        };
        let requests = history.requests.iter();
        let begun_at: BTreeMap<&str, Duration> = requests
            .filter(|request| request.kind == RequestKind::Draft)
            .map(|request| (request.id.as_str(), request.sent_at))
            .collect();
        for request in &history.requests {
            let is_served = request.status == 200;
            match &request.kind {
                RequestKind::Resumed {
                    first,
                    is_named: true,
                    ..
                } if times.is_in_touch(request) => {
                    counts.resumptions += 1;
                    counts.resumed += usize::from(is_served);
                    let begun_at = begun_at.get(first.as_str()).copied();
                    let begun_at = begun_at.unwrap_or(request.sent_at);
                    if times.has_series_between(begun_at, request.sent_at) {
                        counts.resumptions_after_series += 1;
                        counts.resumed_after_series += usize::from(is_served);
                    }
                }
                RequestKind::Draft if times.is_in_touch(request) => {
                    counts.beginnings += 1;
                    counts.begun += usize::from(is_served);
                }
                _ => {}
            }
        }
        counts
    }

    /// Returns whether the share of drafts that go on is at least half of that of new ones, also of those
    /// that outlived a series of restarts.
    fn is_balanced(self) -> bool {
        let is_half =
            |resumed, resumptions| 2 * resumed * self.beginnings >= self.begun * resumptions;
        is_half(self.resumed, self.resumptions)
            && is_half(self.resumed_after_series, self.resumptions_after_series)
    }
}

/// Checks that the share of drafts that go on is at least half of that of new ones. Two servers of each
/// version serve all the time.
pub(crate) fn resumed_drafts_go_on(history: &History) -> Vec<String> {
    let counts = InTouchCounts::of(history);
    if counts.is_balanced() {
        Vec::new()
    } else {
        vec![counts.to_string()]
    }
}
