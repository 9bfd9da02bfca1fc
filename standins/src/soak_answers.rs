//! Checks that each request of a soak that was sent whole ends with a complete answer or a refusal.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::soak_history::{ExecutedRequest, History, RequestKind, RequestRecord, is_turn};
use crate::soak_process::SHUTDOWN_LIMIT_MS;

/// How long after a request a connection may close that was closing when the request was sent: the
/// time in which the gateway must have read and refused it, and a late thread of the caller.
const CLOSE_SLACK: Duration = Duration::from_millis(500);

/// When the last sixth of the shutdown limit begins, in which a server at work excuses a cut answer.
const LAST_SIXTH: Duration = Duration::from_millis(SHUTDOWN_LIMIT_MS / 6 * 5);
/// How long after its gateway was told to stop such a request may have been sent.
const LAST_SENT: Duration = Duration::from_secs(3);

/// Why the caller or the gateway of a request may be the reason that it has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Excuse {
    /// It was not sent whole.
    NotSent,
    /// The caller closed the connection.
    CallerLeft,
    /// The gateway's process was killed or suspended meanwhile, or had ended before.
    GatewayDisturbed,
    /// The connection was closing: its gateway had been told to shut down, or it had been idle for
    /// longer than callers may keep it.
    Closing,
}

/// A time in which the link to a backend server was cut.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CutLink {
    /// The server's id.
    pub server: String,
    /// Whether the server runs turns.
    pub runs_turns: bool,
    /// When it was cut, from the start of the run.
    pub from: Duration,
    /// When it worked again, from the start of the run.
    pub until: Duration,
}

/// A planned stop of a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedStop {
    /// The gateway and its start count.
    pub gateway: (usize, u32),
    /// When it was told to stop, from the start of the run.
    pub told_at: Duration,
}

/// Checks that a request ends with a complete answer or a refusal; excused are only requests not sent
/// whole, left by the caller, past their route's timeout, at a gateway killed or suspended meanwhile,
/// at a server whose response was lost, truncated or of another request or whose link was cut
/// meanwhile, those whose server is at work in the last sixth of their gateway's shutdown, and those
/// never passed on whose connection was closing.
pub(crate) fn requests_end_with_an_answer(history: &History) -> Vec<String> {
    let mut runs: BTreeMap<&str, Vec<&ExecutedRequest>> = BTreeMap::new();
    for run in &history.executed {
        runs.entry(&run.id).or_default().push(run);
    }
    let unanswered = history.requests.iter().filter(|r| !has_answer(r));
    unanswered
        .filter_map(|request| {
            let runs = runs.get(request.id.as_str()).map_or(&[][..], Vec::as_slice);
            let is_excused = is_excused(request, runs)
                || is_server_at_fault(request, runs, history)
                || is_cut_by_stop(request, runs, history);
            (!is_excused).then(|| describe(request, runs))
        })
        .collect()
}

/// Returns whether a request has a complete answer of a server or a refusal.
fn has_answer(request: &RequestRecord) -> bool {
    match request.status {
        200 => request.is_complete,
        402 | 408 | 421 | 429 | 503 => true,
        // Other checks judge whether the turn chain or the route exists.
        404 => is_turn(&request.kind) || matches!(request.kind, RequestKind::Version(_)),
        _ => false,
    }
}

fn is_excused(request: &RequestRecord, runs: &[&ExecutedRequest]) -> bool {
    let waited = request.duration.saturating_sub(request.held);
    match request.excuse {
        Some(Excuse::NotSent | Excuse::CallerLeft | Excuse::GatewayDisturbed) => return true,
        Some(Excuse::Closing) if runs.is_empty() && waited < CLOSE_SLACK => return true,
        Some(Excuse::Closing) | None => {}
    }
    request.duration >= request.timeout
}

/// Returns whether a server was still at work on the request when its gateway had to end.
fn is_cut_by_stop(request: &RequestRecord, runs: &[&ExecutedRequest], history: &History) -> bool {
    let end = request.sent_at + request.duration;
    let mut stops = history.stops.iter().filter(|stop| {
        let last_sixth_at = stop.told_at + LAST_SIXTH;
        let is_at_work = |run: &&ExecutedRequest| run.ended_at.is_none_or(|at| at >= last_sixth_at);
        stop.gateway == request.gateway
            && request.sent_at <= stop.told_at + LAST_SENT
            && end >= last_sixth_at
            && runs.iter().any(is_at_work)
    });
    stops.next().is_some()
}

/// Returns whether a server that ran the request answered with a fault or was cut off meanwhile; for
/// a request that none ran, whether any server of its sort was cut off.
fn is_server_at_fault(
    request: &RequestRecord,
    runs: &[&ExecutedRequest],
    history: &History,
) -> bool {
    let end = request.sent_at + request.duration;
    let mut cuts = history.cut_links.iter().filter(|cut| {
        let may_have_it = if runs.is_empty() {
            cut.runs_turns == is_turn(&request.kind)
        } else {
            runs.iter().any(|run| run.server == cut.server)
        };
        may_have_it && cut.from <= end && request.sent_at <= cut.until
    });
    runs.iter().any(|run| run.is_faulty) || cuts.next().is_some()
}

fn describe(request: &RequestRecord, runs: &[&ExecutedRequest]) -> String {
    let what = match request.status {
        0 => "connection closed without an answer".to_owned(),
        200 => format!("answer ended after {} bytes", request.body.len()),
        status => format!("status {status}, which is neither an answer nor a refusal,"),
    };
    let servers: Vec<_> = runs.iter().map(|run| (&run.server, run.ended_at)).collect();
    let kind = match &request.kind {
        RequestKind::Chat { .. } => "chat",
        RequestKind::Draft => "draft",
        RequestKind::Resumed { .. } => "resumed draft",
        RequestKind::Lookup => "lookup",
        RequestKind::Booking => "booking",
        RequestKind::Version(_) => "version",
    };
    format!(
        "{}: {kind}: {what} {} ms after it was sent at {} ms to gateway {}, idle before for {} ms \
         of at most {}, ran at {servers:?}",
        request.id,
        request.duration.as_millis(),
        request.sent_at.as_millis(),
        request.gateway.0,
        request.idle.as_millis(),
        request.idle_limit.as_millis(),
    )
}
