//! Finds out whether and where a stream can be resumed that its caller has a part of.

use clementinepick::refusal::Refusal;
use clementinepick::stream_origin::StreamOrigin;
use clementinepick::units::SpanUs;

use crate::gateway_exchange::RoutedRequest;
use crate::gateway_origin_search::{MissingOrigin, OriginSource, find_origin};
use crate::gateway_origins::OriginQuery;
use crate::gateway_shared::Shared;
use crate::gateway_trace::Trace;

/// How long the versions of a service must have been known if a stream is resumed whose origin is not,
/// in timeouts of its route.
const MIN_KNOWN_TIMEOUTS: u64 = 2;

/// Finds where the stream began that the request resumes; `None` for a new stream.
///
/// A stream that cannot go on is refused before anything is reserved for it, so that its caller can
/// begin anew at once.
pub(crate) async fn find_resumed_origin(
    shared: &Shared,
    routed: &RoutedRequest<'_>,
    trace: &Trace,
) -> Result<Option<StreamOrigin>, Refusal> {
    let info = routed.info;
    if info.last_event_id.is_none() && info.resumed_attempt.is_none() {
        return Ok(None);
    }
    if routed.route.keeps_context {
        // Its record would lack the events of the earlier attempt, and the next turn would continue
        // from an incomplete one.
        return Err(Refusal::StreamUnknown);
    }
    let timeout_us = routed.route.timeout_us.0;
    let query = OriginQuery {
        attempt: info.resumed_attempt.clone(),
        service: routed.service.to_owned(),
        min_known_us: SpanUs(timeout_us.saturating_mul(MIN_KNOWN_TIMEOUTS)),
    };
    let found = find_origin(shared, trace, &query, routed.received.arrived).await;
    let origin = match found {
        // The only version of one service says nothing of a stream that may have begun at another one.
        Ok((OriginSource::SoleVersion, _)) if routed.route.is_split() => {
            Err(MissingOrigin::SplitRoute)
        }
        Ok((_, origin)) => Ok(origin),
        Err(missing) => Err(missing),
    };
    let origin = origin.map_err(|missing| {
        trace.add_field("origin_missing", &missing.label());
        shared.metrics.count_missing_origin(missing.label());
        Refusal::StreamUnknown
    })?;
    let servers = shared.directory().servers;
    let can_continue = routed.route.leads_to(&origin.service)
        && servers
            .ready(&origin.service)
            .any(|server| origin.fits(server));
    if can_continue {
        Ok(Some(origin))
    } else {
        Err(Refusal::VersionUnavailable)
    }
}
