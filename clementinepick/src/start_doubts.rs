//! Tells whether the server that listens at an address is the start which its entry describes.
//!
//! A server may start again under its id and address with another software version before a list shows
//! it. Its report names the start time of whoever listens on a connection; without it, a server is in
//! doubt once its end was noticed, until it must have written a new entry.
//!
//! ```
//! use clementinepick::server_list::{BackendServer, ServerList};
//! use clementinepick::start_doubts::{
//!     EndSign, ReportedStart, StartDoubts, StartUse, StartVerdict,
//! };
//! use clementinepick::units::TimeUs;
//!
//! let server = BackendServer {
//!     id: "i-1".to_owned(),
//!     service: "models".to_owned(),
//!     address: "127.0.0.1:1".parse().expect("an address"),
//!     zone: "z".to_owned(),
//!     version: "v1".to_owned().into(),
//!     slots: 8,
//!     is_draining: false,
//!     started_unix_ms: Some(5),
//! };
//! let mut doubts = StartDoubts::default();
//! assert!(!doubts.must_ask(&server, StartUse::Begin, true));
//! doubts.record(TimeUs(1), &server, EndSign::Certain);
//! assert!(doubts.must_ask(&server, StartUse::Begin, true));
//! assert_eq!(doubts.judge(&server, ReportedStart::At(6)), StartVerdict::Another);
//! ```

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::request_ends::LIST_LAG_US;
use crate::server_list::{BackendServer, ServerList, SoftwareVersion};
use crate::units::{SpanUs, TimeUs};

/// How long after a notice a further one is no news to peers, whose doubts last for much longer.
const RENOTICE_US: SpanUs = SpanUs::from_ms(250);
/// How long after a stream has begun at a start of unknown version a list may lack that version at most.
pub const UNPROVEN_STREAM_MEMORY_US: SpanUs = LIST_LAG_US;
/// The maximum number of servers in doubt; above it, those that were noticed first are dropped.
const MAX_SERVERS: usize = 4_096;

/// Returns the time before which a connection that still works was opened to the start which a list, read
/// as of `list_at`, describes; `None` if the list has not been current for long enough.
///
/// A connection ends with the process at its other end, and that has written its entry within the lag.
#[must_use]
pub fn described_before(list_at: TimeUs, current_since: TimeUs) -> Option<TimeUs> {
    let before = TimeUs(list_at.0.checked_sub(LIST_LAG_US.0)?);
    (current_since <= before).then_some(before)
}

/// How long after a connection broke a list may have the entry of the start before, if the server can't say
/// which it is: less than after a certain end, since most servers go on.
const POSSIBLE_END_LAG_US: SpanUs = SpanUs::from_s(1);
/// How long before the first notice of a doubt a connection must have been opened to lead to the start that
/// was there before: gateways learn of an end within less, even those that a suspension has delayed.
pub const NOTICE_LAG_US: SpanUs = SpanUs::from_ms(500);

/// What a server is to run, as far as its start matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartUse {
    /// A request that is never continued elsewhere.
    Other,
    /// A stream that begins and may be resumed at another server of the same version.
    Begin,
    /// The rest of a stream, which must stay at its version.
    Rest,
}

/// What a server says of its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedStart {
    /// It started at this time, in Unix milliseconds.
    At(u64),
    /// It reports no start time.
    Unnamed,
    /// It was not asked, or gives no report.
    Unknown,
}

/// Whether the server at an address is the start that its entry describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartVerdict {
    /// The server itself says so.
    Same,
    /// The list says so, and no end of the server was noticed since.
    Listed,
    /// It has ended since, so that another start may listen there.
    Doubtful,
    /// The server itself says that it is another start.
    Another,
}

/// How certain it is that a server has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndSign {
    /// A connection broke, which the server may have closed while it goes on.
    Possible,
    /// It is gone, or another start responds.
    Certain,
}

/// Returns how long after a sign of its end a list may still have the entry of the start before.
fn list_lag(server: &BackendServer, sign: EndSign) -> SpanUs {
    match sign {
        // The server itself says whether it is the listed start.
        EndSign::Possible if server.started_unix_ms.is_some() => SpanUs(0),
        EndSign::Possible => POSSIBLE_END_LAG_US,
        EndSign::Certain => LIST_LAG_US,
    }
}

/// The entry of a server whose end was noticed.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Doubt {
    /// When the first sign was noticed that is not settled.
    since: TimeUs,
    noticed_at: TimeUs,
    /// A list as of later than this settles it.
    settled_by: TimeUs,
    started_unix_ms: Option<u64>,
    version: SoftwareVersion,
}

impl Doubt {
    fn of(server: &BackendServer, noticed_at: TimeUs, sign: EndSign) -> Self {
        Self {
            since: noticed_at,
            noticed_at,
            settled_by: noticed_at.after(list_lag(server, sign)),
            started_unix_ms: server.started_unix_ms,
            version: server.version.clone(),
        }
    }

    fn is_about(&self, server: &BackendServer) -> bool {
        self.started_unix_ms == server.started_unix_ms && self.version == server.version
    }
}

/// The servers whose entries may describe an earlier start than the one that listens at their address.
#[derive(Debug, Default)]
pub struct StartDoubts {
    by_server: BTreeMap<String, Doubt>,
    /// The last streams that have begun at starts of unknown version, by service and server.
    unproven_streams: BTreeMap<(String, ServerKey), UnprovenStream>,
}

/// The server of a stream, if it is known.
type ServerKey = Option<String>;

/// A stream that has begun at a start of unknown version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct UnprovenStream {
    begun_at: TimeUs,
    /// A list as of later than this has the version.
    settled_by: TimeUs,
}

impl UnprovenStream {
    fn new(begun_at: TimeUs) -> Self {
        Self {
            begun_at,
            settled_by: begun_at.after(UNPROVEN_STREAM_MEMORY_US),
        }
    }
}

impl StartDoubts {
    /// Records that the end of a listed server was noticed; returns whether that is news.
    pub fn record(&mut self, now: TimeUs, server: &BackendServer, sign: EndSign) -> bool {
        let mut doubt = Doubt::of(server, now, sign);
        let known = self.by_server.get(&server.id);
        let (noticed_at, settled_by) = known.map(|d| (d.noticed_at, d.settled_by)).unzip();
        let was_short = settled_by == noticed_at;
        doubt.settled_by = doubt.settled_by.max(settled_by.unwrap_or_default());
        doubt.since = known.map_or(now, |known| known.since);
        self.by_server.insert(server.id.clone(), doubt);
        if self.by_server.len() > MAX_SERVERS {
            self.drop_first();
        }
        is_news(now, noticed_at) || (was_short && sign == EndSign::Certain)
    }

    fn drop_first(&mut self) {
        let first = self.by_server.iter().min_by_key(|(_, d)| d.noticed_at);
        if let Some(id) = first.map(|(id, _)| id.clone()) {
            self.by_server.remove(&id);
        }
    }

    /// Records that a stream has begun at a start of unknown version; returns whether that is news.
    ///
    /// What settles the doubt of a server that reports no start time shows its version, too.
    pub fn record_unproven_stream(&mut self, now: TimeUs, server: &BackendServer) -> bool {
        let mut stream = UnprovenStream::new(now);
        let is_unnamed = server.started_unix_ms.is_none();
        if let Some(doubt) = self.by_server.get(&server.id).filter(|_| is_unnamed) {
            stream.settled_by = stream.settled_by.min(doubt.settled_by);
        }
        let last = self.unproven_streams_of(&server.service);
        let is_news = is_news(now, last.map(|(_, stream)| stream.begun_at).max());
        self.insert_unproven(&server.service, Some(server.id.clone()), stream);
        is_news
    }

    /// Records that such a stream has begun elsewhere, at a server in doubt of the service, or at an unknown
    /// one if none is.
    pub fn record_unproven_elsewhere(&mut self, now: TimeUs, service: &str, list: &ServerList) {
        let is_of_service = |server: &&BackendServer| server.service == service;
        let in_doubt = self.by_server.keys();
        let in_doubt = in_doubt.filter_map(|id| list.servers.get(id));
        let in_doubt: Vec<_> = in_doubt.filter(is_of_service).cloned().collect();
        for server in &in_doubt {
            self.record_unproven_stream(now, server);
        }
        if in_doubt.is_empty() {
            self.insert_unproven(service, None, UnprovenStream::new(now));
        }
    }

    fn insert_unproven(&mut self, service: &str, server: ServerKey, stream: UnprovenStream) {
        let key = (service.to_owned(), server);
        self.unproven_streams.insert(key, stream);
    }

    fn unproven_streams_of(
        &self,
        service: &str,
    ) -> impl Iterator<Item = (&(String, ServerKey), &UnprovenStream)> {
        let first = (service.to_owned(), None);
        let rest = self.unproven_streams.range(first..);
        rest.take_while(move |((of, _), _)| of == service)
    }

    /// Records that a server which was asked at `asked_at` still is the listed start, as are the starts of
    /// streams that have begun there before.
    pub fn resolve(&mut self, server: &str, asked_at: TimeUs) {
        let is_earlier = |doubt: &Doubt| doubt.noticed_at <= asked_at;
        if self.by_server.get(server).is_some_and(is_earlier) {
            self.by_server.remove(server);
        }
        self.unproven_streams
            .retain(|(_, at), stream| at.as_deref() != Some(server) || asked_at < stream.begun_at);
    }

    /// Drops what the list, as of `list_at`, shows: another entry of the server, none, or one that the
    /// server has had time to replace.
    pub fn update(&mut self, list_at: TimeUs, list: &ServerList) {
        self.by_server.retain(|id, doubt| {
            let server = list.servers.get(id);
            server.is_some_and(|server| doubt.is_about(server)) && list_at <= doubt.settled_by
        });
        self.unproven_streams
            .retain(|_, stream| list_at <= stream.settled_by);
    }

    /// Returns whether nothing is in doubt.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_server.is_empty() && self.unproven_streams.is_empty()
    }

    /// Returns whether a server may have started again since its entry was read.
    #[must_use]
    pub fn is_in_doubt(&self, server: &str) -> bool {
        self.by_server.contains_key(server)
    }

    /// Returns the time before which a connection that still works was opened to the start that the list
    /// describes, since the server was not in doubt then.
    #[must_use]
    pub fn trusted_before(&self, now: TimeUs, server: &str) -> TimeUs {
        let doubt = self.by_server.get(server);
        let since = doubt.map_or(now, |doubt| doubt.since);
        TimeUs(since.0.saturating_sub(NOTICE_LAG_US.0))
    }

    /// Returns whether streams of a service have lately begun at a start of unknown version.
    #[must_use]
    pub fn has_unproven_streams(&self, service: &str) -> bool {
        self.unproven_streams_of(service).next().is_some()
    }

    /// Returns the time after which a list must be read to show the versions of such streams of a service;
    /// `None` if there are none.
    #[must_use]
    pub fn unproven_until(&self, service: &str) -> Option<TimeUs> {
        let streams = self.unproven_streams_of(service);
        streams.map(|(_, stream)| stream.settled_by).max()
    }

    /// Returns whether the rest of a stream may be sent to a server, if its report confirms the start.
    #[must_use]
    pub fn may_continue_at(&self, server: &BackendServer) -> bool {
        server.started_unix_ms.is_some() || !self.is_in_doubt(&server.id)
    }

    /// Returns whether a server must be asked for its start time before it is used.
    #[must_use]
    pub fn must_ask(&self, server: &BackendServer, usage: StartUse, is_list_current: bool) -> bool {
        let is_known_from_list = is_list_current && !self.is_in_doubt(&server.id);
        server.started_unix_ms.is_some()
            && match usage {
                StartUse::Other => false,
                StartUse::Begin => !is_known_from_list,
                // A server may serve before it has written its entry, so that even a new list may
                // describe the start before.
                StartUse::Rest => true,
            }
    }

    /// Judges from what a server says of its start. One that is listed with a start time and reports none
    /// is another.
    #[must_use]
    pub fn judge(&self, server: &BackendServer, reported: ReportedStart) -> StartVerdict {
        match (server.started_unix_ms, reported) {
            (Some(listed), ReportedStart::At(unix_ms)) if listed == unix_ms => StartVerdict::Same,
            (Some(_), ReportedStart::At(_) | ReportedStart::Unnamed) => StartVerdict::Another,
            _ if self.is_in_doubt(&server.id) => StartVerdict::Doubtful,
            _ => StartVerdict::Listed,
        }
    }
}

fn is_news(now: TimeUs, noticed_at: Option<TimeUs>) -> bool {
    noticed_at.is_none_or(|at| at.after(RENOTICE_US) <= now)
}
