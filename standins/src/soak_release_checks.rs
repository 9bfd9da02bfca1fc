//! Checks that a soak with releases resumes drafts whose callers do not name the request that began
//! them, and counts its drafts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::soak_history::{History, RequestKind, RequestRecord};

/// How long gateways must have been in step before such a draft has to be resumed.
const IN_STEP_TIME: Duration = Duration::from_millis(1_200);
/// The refusals in step after which a draft counts as refused for good.
const MAX_REFUSALS: usize = 3;

/// When services were released and gateways out of step, from the start of the run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReleaseTimes {
    /// When each service of drafts got its second version, by the start of its paths.
    pub first_releases: BTreeMap<String, Option<Duration>>,
    /// From when on the sole versions have been listed for long enough.
    pub settled_at: Duration,
    /// The times in which some gateway was out of step.
    pub out_of_step: Vec<(Duration, Duration)>,
}

impl ReleaseTimes {
    /// Returns whether a request was sent and answered while its service had a single version and all
    /// gateways had been in step for [`IN_STEP_TIME`].
    fn is_in_step(&self, request: &RequestRecord) -> bool {
        let end = request.sent_at + request.duration;
        let mut services = self.first_releases.iter();
        let service = services.find(|(path, _)| request.path.starts_with(path.as_str()));
        let has_sole_version =
            service.is_some_and(|(_, released)| released.is_none_or(|released| end < released));
        let is_disturbed = |(from, until): &(Duration, Duration)| {
            *from <= end && request.sent_at < *until + IN_STEP_TIME
        };
        has_sole_version
            && self.settled_at <= request.sent_at
            && !self.out_of_step.iter().any(is_disturbed)
    }
}

/// Checks that no draft is refused for good whose caller does not name the request that began it while
/// its service has a single version and all gateways are in step.
pub(crate) fn unnamed_drafts_are_resumed(history: &History) -> Vec<String> {
    let Some(times) = &history.releases else {
        return Vec::new();
    };
    let mut refusals: BTreeMap<&str, usize> = BTreeMap::new();
    let mut resumed: BTreeSet<&str> = BTreeSet::new();
    for request in &history.requests {
        let RequestKind::Resumed {
            first,
            is_named: false,
            ..
        } = &request.kind
        else {
            continue;
        };
        if request.status == 200 {
            resumed.insert(first);
        } else if request.status != 0 && times.is_in_step(request) {
            *refusals.entry(first).or_default() += 1;
        }
    }
    let refused = refusals
        .into_iter()
        .filter(|(first, count)| *count >= MAX_REFUSALS && !resumed.contains(first));
    refused
        .map(|(first, count)| {
            format!("{first}: refused {count} times with a sole version and all gateways in step")
        })
        .collect()
}

/// What became of the drafts of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, derive_more::Display)]
#[display(
    "{broken} broken, {resumed} resumed ({resumed_unnamed} unnamed, {due} due), {refusals} refusals"
)]
pub struct DraftCounts {
    /// Drafts whose callers left, or lost the connection, after an event.
    pub broken: usize,
    /// Those of them that were resumed at least once.
    pub resumed: usize,
    /// Those of them that were resumed by a caller that did not name the first request.
    pub resumed_unnamed: usize,
    /// Those that were resumed or refused without that name while they had to be resumed.
    pub due: usize,
    /// Refusals to resume a draft.
    pub refusals: usize,
}

impl DraftCounts {
    /// Counts the drafts of a history.
    #[must_use]
    pub fn of(history: &History) -> Self {
        let mut broken: BTreeSet<&str> = BTreeSet::new();
        let mut resumed: BTreeMap<&str, bool> = BTreeMap::new();
        let mut due: BTreeSet<&str> = BTreeSet::new();
        let mut refusals = 0;
        for request in &history.requests {
            let RequestKind::Resumed {
                first, is_named, ..
            } = &request.kind
            else {
                continue;
            };
            broken.insert(first);
            let times = history.releases.as_ref();
            if !is_named && times.is_some_and(|times| times.is_in_step(request)) {
                due.insert(first);
            }
            if request.status == 200 {
                resumed.insert(first, *is_named);
            } else if request.status != 0 {
                refusals += 1;
            }
        }
        Self {
            broken: broken.len(),
            resumed: resumed.len(),
            resumed_unnamed: resumed.values().filter(|is_named| !**is_named).count(),
            due: due.len(),
            refusals,
        }
    }
}
