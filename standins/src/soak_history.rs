//! Checks what callers and backend servers observed in a soak.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::platform_backend::event_data;
use crate::soak_answers::{CutLink, Excuse, PlannedStop, requests_end_with_an_answer};
use crate::soak_release_checks::{ReleaseTimes, unnamed_drafts_are_resumed};
use crate::soak_restart_checks::{RestartTimes, resumed_drafts_go_on};

/// The number of events of each stream.
pub const EVENTS_PER_STREAM: u64 = 4;
/// The tokens that the configuration counts for each event.
pub const TOKENS_PER_EVENT: u64 = 10;
/// The most tokens that a turn declares.
pub const MAX_TURN_TOKENS: u64 = 50;
/// The token budget of each program, which allows some eight turns.
pub const BUDGET_TOKENS: u64 = 400;

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A turn that continues a turn chain, whose prompt the gateway assembles.
    Chat {
        /// The id of the previous turn.
        previous: Option<String>,
    },
    /// A turn that may be resumed.
    Draft,
    /// The rest of a draft.
    Resumed {
        /// The id of the request that received the first event.
        first: String,
        /// The id of the last event received before.
        last_event: u64,
        /// Whether the caller names the first request.
        is_named: bool,
    },
    /// A lookup.
    Lookup,
    /// A booking, which must not be executed twice.
    Booking,
    /// A lookup on a route that only this configuration version has.
    Version(u64),
}

/// A caller's request and its response.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The request id.
    pub id: String,
    /// The path of the request.
    pub path: String,
    /// The program; empty for requests without one.
    pub program: String,
    /// What the request asks for.
    pub kind: RequestKind,
    /// The gateway that it was sent to, and the start count of that gateway.
    pub gateway: (usize, u32),
    /// The HTTP status; 0 if no response head arrived.
    pub status: u16,
    /// The body as far as it was received.
    pub body: String,
    /// Whether the body was received to its end.
    pub is_complete: bool,
    /// Whether the response has `retry-after`, which says that the request was not executed.
    pub reports_not_executed: bool,
    /// Whether its gateway must respond, which holds unless a fault or a shutdown excuses it.
    pub requires_response: bool,
    /// When it was sent, from the start of the run.
    pub sent_at: Duration,
    /// The time from sending it to the end of its response.
    pub duration: Duration,
    /// The time from its first to its last byte.
    pub held: Duration,
    /// How long its connection had been idle before.
    pub idle: Duration,
    /// The shortest idle limit that may have been in force at its gateway.
    pub idle_limit: Duration,
    /// The shortest timeout of its route that may have been in force at its gateway.
    pub timeout: Duration,
    /// Why its caller or its gateway may be the reason that it has no answer.
    pub excuse: Option<Excuse>,
}

/// A request that a backend server executed.
#[derive(Debug, Clone)]
pub struct ExecutedRequest {
    /// The request id.
    pub id: String,
    /// The request body, which is the prompt of a turn.
    pub body: String,
    /// The id of the server.
    pub server: String,
    /// The software version of the server.
    pub version: String,
    /// Whether the server answered with a fault.
    pub is_faulty: bool,
    /// When the server was done with it, from the start of the run; `None` if it was not before the end.
    pub ended_at: Option<Duration>,
}

/// All requests that callers sent and backend servers executed.
#[derive(Debug, Clone, Default)]
pub struct History {
    /// The callers' requests in the order of completion.
    pub requests: Vec<RequestRecord>,
    /// The requests that backend servers executed.
    pub executed: Vec<ExecutedRequest>,
    /// The times in which links to backend servers were cut.
    pub cut_links: Vec<CutLink>,
    /// The planned stops of gateways.
    pub stops: Vec<PlannedStop>,
    /// The releases, in runs that have some.
    pub releases: Option<ReleaseTimes>,
    /// When gateways and the store were disturbed, in runs with restarts.
    pub restarts: Option<RestartTimes>,
}

/// Returns a description of each violation in a history.
#[must_use]
pub fn find_violations(history: &History) -> Vec<String> {
    let checks = [
        responses_match_requests,
        bookings_run_at_most_once,
        reported_as_not_executed_did_not_run,
        budgets_hold,
        streams_keep_their_version,
        prompts_hold_whole_chain,
        completed_turns_can_be_continued,
        config_version_never_decreases,
        required_responses_arrive,
        requests_end_with_an_answer,
        unnamed_drafts_are_resumed,
        resumed_drafts_go_on,
    ];
    checks.iter().flat_map(|check| check(history)).collect()
}

/// Returns the events of a stream after `last_event`, without the versions of their servers.
fn expected_stream(id: &str, last_event: u64) -> String {
    let event = |number| format!("id: {number}\ndata: {}\n\n", event_data(id, number));
    (last_event + 1..=EVENTS_PER_STREAM).map(event).collect()
}

pub(crate) fn is_turn(kind: &RequestKind) -> bool {
    matches!(
        kind,
        RequestKind::Chat { .. } | RequestKind::Draft | RequestKind::Resumed { .. }
    )
}

const VERSION_FIELD: &str = "event: ";

/// Returns a stream without the lines that name the versions of its servers. The last line may be
/// truncated.
fn without_versions(body: &str) -> String {
    let is_version = |line: &str| {
        let is_truncated = !line.ends_with('\n') && VERSION_FIELD.starts_with(line);
        line.starts_with(VERSION_FIELD) || is_truncated
    };
    let lines = body.split_inclusive('\n');
    lines.filter(|line| !is_version(line)).collect()
}

/// Returns the versions that the events of a stream name.
fn versions(body: &str) -> BTreeSet<&str> {
    let lines = body.split_inclusive('\n');
    let whole = lines.filter_map(|line| line.strip_suffix('\n'));
    whole
        .filter_map(|line| line.strip_prefix(VERSION_FIELD))
        .collect()
}

/// What is known of the software versions of one stream.
#[derive(Debug, Default)]
struct StreamVersions<'a> {
    /// The versions that its events name.
    of_events: BTreeSet<&'a str>,
    /// The versions of the servers that alone ran an answered attempt to resume it, if none of them
    /// has the version of an earlier event.
    of_other_runs: BTreeSet<&'a str>,
    attempts: Vec<&'a RequestRecord>,
}

impl<'a> StreamVersions<'a> {
    fn add(&mut self, attempt: &'a RequestRecord, runs: &[&'a ExecutedRequest]) {
        let is_resumed = matches!(attempt.kind, RequestKind::Resumed { .. });
        let mut ran = runs.iter().map(|run| run.version.as_str());
        if is_resumed
            && attempt.status == 200
            && !self.of_events.is_empty()
            && ran.all(|version| !self.of_events.contains(version))
        {
            self.of_other_runs
                .extend(runs.iter().map(|run| run.version.as_str()));
        }
        self.of_events.extend(versions(&attempt.body));
        self.attempts.push(attempt);
    }

    /// Returns what is wrong with the versions, if anything.
    fn violation(&self, runs: &RunsByRequest<'_>) -> Option<String> {
        let Self {
            of_events,
            of_other_runs,
            ..
        } = self;
        let problem = if of_events.len() > 1 {
            format!("events of versions {of_events:?}")
        } else if !of_other_runs.is_empty() {
            format!("events of version {of_events:?}, resumed at servers of {of_other_runs:?}")
        } else {
            return None;
        };
        let attempts = self.attempts.iter();
        let attempts: Vec<String> = attempts.map(|a| describe_attempt(a, runs)).collect();
        Some(format!("{problem}, {}", attempts.join(", ")))
    }
}

type RunsByRequest<'a> = BTreeMap<&'a str, Vec<&'a ExecutedRequest>>;

fn runs_by_request(history: &History) -> RunsByRequest<'_> {
    let mut runs = RunsByRequest::new();
    for run in &history.executed {
        runs.entry(&run.id).or_default().push(run);
    }
    runs
}

fn describe_attempt(attempt: &RequestRecord, runs: &RunsByRequest<'_>) -> String {
    let what = match attempt.kind {
        RequestKind::Resumed { is_named: true, .. } => "resumed by name",
        RequestKind::Resumed { .. } => "resumed without a name",
        _ => "begun",
    };
    let runs = runs.get(attempt.id.as_str()).into_iter().flatten();
    let runs: Vec<String> = runs
        .map(|run| format!("{} {}", run.server, run.version))
        .collect();
    let (gateway, sent_ms) = (attempt.gateway.0, attempt.sent_at.as_millis());
    let status = attempt.status;
    format!("{what} at {sent_ms} ms at gateway {gateway} ({status}, ran at {runs:?})")
}

/// Checks that a caller's stream has the events of one version and is resumed only at servers of that
/// version, over all attempts. A run that the gateway gave up for another one does not count.
fn streams_keep_their_version(history: &History) -> Vec<String> {
    let runs = runs_by_request(history);
    let mut by_stream: BTreeMap<&str, StreamVersions<'_>> = BTreeMap::new();
    for request in history.requests.iter().filter(|r| is_turn(&r.kind)) {
        let first = match &request.kind {
            RequestKind::Resumed { first, .. } => first,
            _ => &request.id,
        };
        let of_request = runs.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
        by_stream.entry(first).or_default().add(request, of_request);
    }
    let mixed = by_stream
        .iter()
        .filter_map(|(id, stream)| Some(format!("{id}: {}", stream.violation(&runs)?)));
    mixed.collect()
}

/// Checks that each response belongs to its request and has its events in order, and that a
/// complete one has them all.
fn responses_match_requests(history: &History) -> Vec<String> {
    let answered = history.requests.iter().filter(|a| a.status == 200);
    let wrong = answered.filter(|request| {
        let expected = match &request.kind {
            RequestKind::Chat { .. } | RequestKind::Draft => expected_stream(&request.id, 0),
            RequestKind::Resumed { last_event, .. } => expected_stream(&request.id, *last_event),
            RequestKind::Lookup | RequestKind::Booking | RequestKind::Version(_) => {
                format!("answer to {}", request.id)
            }
        };
        let body = without_versions(&request.body);
        if request.is_complete {
            body != expected
        } else {
            !expected.starts_with(&body)
        }
    });
    let describe =
        |a: &RequestRecord| format!("{}: wrong response body `{}`", a.id, a.body.escape_debug());
    wrong.map(describe).collect()
}

fn execution_counts(history: &History) -> BTreeMap<&str, usize> {
    let mut execution_counts = BTreeMap::new();
    for execution in &history.executed {
        *execution_counts.entry(execution.id.as_str()).or_default() += 1;
    }
    execution_counts
}

fn bookings_run_at_most_once(history: &History) -> Vec<String> {
    let execution_counts = execution_counts(history);
    let bookings = history.requests.iter();
    let bookings = bookings.filter(|a| a.kind == RequestKind::Booking);
    let repeated = bookings.filter(|a| {
        execution_counts
            .get(a.id.as_str())
            .is_some_and(|count| *count > 1)
    });
    repeated
        .map(|a| format!("{}: booking was executed more than once", a.id))
        .collect()
}

fn reported_as_not_executed_did_not_run(history: &History) -> Vec<String> {
    let execution_counts = execution_counts(history);
    let denied = history.requests.iter();
    let denied = denied.filter(|a| a.reports_not_executed || matches!(a.status, 402 | 404));
    let false_reports = denied.filter(|a| execution_counts.contains_key(a.id.as_str()));
    let describe = |a: &RequestRecord| {
        format!(
            "{}: executed despite status {}, which reports that it was not",
            a.id, a.status
        )
    };
    false_reports.map(describe).collect()
}

fn budgets_hold(history: &History) -> Vec<String> {
    let mut delivered_tokens: BTreeMap<&str, u64> = BTreeMap::new();
    for request in history.requests.iter().filter(|a| is_turn(&a.kind)) {
        let events = request.body.matches("\n\n").count() as u64;
        *delivered_tokens.entry(&request.program).or_default() += events * TOKENS_PER_EVENT;
    }
    let limit = BUDGET_TOKENS + MAX_TURN_TOKENS;
    let over = delivered_tokens
        .into_iter()
        .filter(|(_, tokens)| *tokens > limit);
    over.map(|(program, tokens)| {
        format!("{program}: {tokens} tokens delivered, budget is {BUDGET_TOKENS}")
    })
    .collect()
}

/// Checks that a prompt consists of the previous turn's prompt, that turn's output and the new
/// input.
fn prompts_hold_whole_chain(history: &History) -> Vec<String> {
    let mut parents: BTreeMap<&str, Option<&str>> = BTreeMap::new();
    for request in &history.requests {
        if let RequestKind::Chat { previous } = &request.kind {
            parents.insert(&request.id, previous.as_deref());
        }
    }
    let prompt = |id: &str| {
        let mut parts = vec![id.to_owned()];
        let mut at = parents.get(id).copied().flatten();
        while let Some(previous) = at {
            let output = |number| format!("{}\n", event_data(previous, number));
            parts.push((1..=EVENTS_PER_STREAM).map(output).collect());
            parts.push(previous.to_owned());
            at = parents.get(previous).copied().flatten();
        }
        parts.reverse();
        parts.concat()
    };
    let execution = history
        .executed
        .iter()
        .filter(|r| parents.contains_key(r.id.as_str()));
    let wrong = execution.filter(|execution| execution.body != prompt(&execution.id));
    wrong
        .map(|r| format!("{}: wrong prompt `{}`", r.id, r.body.escape_debug()))
        .collect()
}

/// Checks that no turn is answered 404 that starts a turn chain or continues from a completed turn.
fn completed_turns_can_be_continued(history: &History) -> Vec<String> {
    let ended: Vec<&str> = history
        .requests
        .iter()
        .filter(|a| a.status == 200 && a.is_complete)
        .map(|a| a.id.as_str())
        .collect();
    let denied = history.requests.iter().filter(|a| a.status == 404);
    let wrong = denied.filter(|request| match &request.kind {
        RequestKind::Chat {
            previous: Some(previous),
        } => ended.contains(&previous.as_str()),
        RequestKind::Chat { previous: None } | RequestKind::Draft | RequestKind::Resumed { .. } => {
            true
        }
        RequestKind::Lookup | RequestKind::Booking | RequestKind::Version(_) => false,
    });
    wrong
        .map(|a| format!("{}: unexpected status 404", a.id))
        .collect()
}

fn config_version_never_decreases(history: &History) -> Vec<String> {
    let mut newest: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    let mut wrong = Vec::new();
    for request in &history.requests {
        let RequestKind::Version(version) = request.kind else {
            continue;
        };
        if request.status != 200 {
            continue;
        }
        let known = newest.entry(request.gateway).or_default();
        if version < *known {
            wrong.push(format!(
                "{}: serves version {version} after {known}",
                request.id
            ));
        }
        *known = version.max(*known);
    }
    wrong
}

/// Checks that each request gets a response whose gateway must respond.
fn required_responses_arrive(history: &History) -> Vec<String> {
    let required = history.requests.iter().filter(|a| a.requires_response);
    let missing = required.filter(|a| a.status == 0);
    missing
        .map(|a| format!("{}: no response after {:?}", a.id, a.duration))
        .collect()
}
