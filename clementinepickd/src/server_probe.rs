//! Finds out whether a backend server that lost a response has ended.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::{Method, ResponseHead, Uri};
use actix_rt::time::{sleep, timeout};
use clementinepick::ended_servers::ServerStart;
use clementinepick::start_doubts::ReportedStart;

use crate::body_parts::BodyParts;
use crate::outbound::{Connection, OutboundError, OutboundRequest};
use crate::store::host_header;

/// How long a server may take to accept a connection, and to respond to a health check. A server that
/// has ended refuses the connection within a round trip, and the retry of the request waits for it.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(50);
/// The number of connections that are opened if each is closed at once, and the pause between them.
const MAX_TRIES: u32 = 3;
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// The largest report of a server, in bytes.
const MAX_REPORT_BYTES: usize = 65_536;

/// What became of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerFate {
    /// It runs, and has not ended meanwhile.
    Alive,
    /// A server with its id responds, which may have started again.
    Responding,
    /// A server accepts connections that does not say which one it is.
    Accepting,
    /// A server accepts connections and sends nothing in time.
    Hanging,
    /// Nothing listens at its address, or another server does.
    Ended,
    /// It can't be told: the server or the network does not respond.
    Unknown,
}

/// What a connection to a server that was open during a run shows of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WitnessState {
    /// The server has responded on it, and so has not ended.
    Intact,
    /// It was closed.
    Broken,
    /// It shows nothing.
    Unclear,
}

impl ServerFate {
    /// Returns the name used in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Responding => "responding",
            Self::Accepting => "accepting",
            Self::Hanging => "hanging",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}

/// What one try to reach a server found.
enum Found {
    Fate(ServerFate),
    /// The connection was opened and closed again.
    Closed,
}

/// Asks the address of a server who is there.
///
/// The sockets of a process that ends are closed one after the other, its listener possibly last. A
/// connection that is closed at once is therefore tried again.
pub(crate) async fn probe(
    address: SocketAddr,
    server_id: &str,
    health_path: Option<&str>,
) -> ServerFate {
    probe_for(PROBE_TIMEOUT, address, server_id, health_path).await
}

/// Asks the address of a server who is there, and waits for the response for `limit`.
pub(crate) async fn probe_for(
    limit: Duration,
    address: SocketAddr,
    server_id: &str,
    health_path: Option<&str>,
) -> ServerFate {
    for _ in 0..MAX_TRIES {
        match try_once(limit, address, server_id, health_path).await {
            Found::Fate(fate) => return fate,
            Found::Closed => sleep(RETRY_DELAY).await,
        }
    }
    ServerFate::Accepting
}

/// Sends a health check over a connection that was open when its server lost a response, and so shows
/// whether the server is still the same start.
pub(crate) async fn check_witness(
    connection: Connection,
    server: &ServerStart,
    health_path: Option<&str>,
) -> WitnessState {
    if !connection.is_healthy() {
        return WitnessState::Broken;
    }
    let Some(target) = health_path.and_then(|path| path.parse().ok()) else {
        return WitnessState::Unclear;
    };
    let check = check_health(connection, server.address, target);
    match timeout(PROBE_TIMEOUT, check).await {
        Ok(Some(head)) if fate_by_response(&head, &server.id) == ServerFate::Responding => {
            WitnessState::Intact
        }
        Ok(None) => WitnessState::Broken,
        Ok(Some(_)) | Err(_) => WitnessState::Unclear,
    }
}

/// Asks the server at the other end of a connection for its start time; `None` if it does not respond
/// within `limit`, after which the connection can't be used.
pub(crate) async fn ask_start(
    connection: &mut Connection,
    address: SocketAddr,
    limit: Duration,
) -> Option<ReportedStart> {
    let request = OutboundRequest {
        method: Method::GET,
        target: Uri::from_static(platform::servers::REPORT_PATH),
        headers: host_header(address),
        body: BodyParts::default(),
    };
    let asking = async {
        let head = connection.exchange(&request).await.ok()?;
        let body = connection.body(MAX_REPORT_BYTES).await.ok()?;
        if !head.status.is_success() {
            return Some(ReportedStart::Unknown);
        }
        Some(match platform::servers::reported_start(&body) {
            Ok(Some(unix_ms)) => ReportedStart::At(unix_ms),
            Ok(None) => ReportedStart::Unnamed,
            Err(_) => ReportedStart::Unknown,
        })
    };
    timeout(limit, asking).await.ok().flatten()
}

async fn try_once(
    limit: Duration,
    address: SocketAddr,
    server_id: &str,
    health_path: Option<&str>,
) -> Found {
    let opened = Connection::open_to_server(address, PROBE_TIMEOUT, Instant::now()).await;
    let connection = match opened {
        Ok(connection) => connection,
        Err(OutboundError::Connect(err)) => return found_by_error(&err),
        Err(_) => return Found::Fate(ServerFate::Unknown),
    };
    let Some(target) = health_path.and_then(|path| path.parse().ok()) else {
        return Found::Fate(ServerFate::Accepting);
    };
    let check = check_health(connection, address, target);
    match timeout(limit, check).await {
        Ok(Some(head)) => Found::Fate(fate_by_response(&head, server_id)),
        Ok(None) => Found::Closed,
        Err(_) => Found::Fate(ServerFate::Hanging),
    }
}

fn found_by_error(err: &io::Error) -> Found {
    match err.kind() {
        io::ErrorKind::ConnectionRefused => Found::Fate(ServerFate::Ended),
        io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionAborted => Found::Closed,
        _ => Found::Fate(ServerFate::Unknown),
    }
}

fn fate_by_response(head: &ResponseHead, server_id: &str) -> ServerFate {
    match platform::response::server_id(&head.headers) {
        Some(id) if id == server_id => ServerFate::Responding,
        Some(_) => ServerFate::Ended,
        None => ServerFate::Accepting,
    }
}

async fn check_health(
    mut connection: Connection,
    address: SocketAddr,
    target: Uri,
) -> Option<ResponseHead> {
    let request = OutboundRequest {
        method: Method::GET,
        target,
        headers: host_header(address),
        body: BodyParts::default(),
    };
    connection.exchange(&request).await.ok()
}
