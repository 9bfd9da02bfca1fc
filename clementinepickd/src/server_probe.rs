//! Finds out whether a backend server that lost a response has ended.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use actix_http::{Method, ResponseHead, Uri};
use actix_rt::time::timeout;
use bytes::Bytes;

use crate::outbound::{Connection, OutboundError, OutboundRequest};
use crate::store::host_header;

/// How long a server may take to accept a connection and to respond to a health check. A server
/// that has ended refuses the connection within a round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// What became of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServerFate {
    /// It runs.
    Alive,
    /// Nothing listens at its address, or another server does.
    Ended,
    /// It can't be told: the server or the network does not respond.
    Unknown,
}

impl ServerFate {
    /// Returns the name used in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}

/// Asks the address of a server who is there.
pub(crate) async fn probe(
    address: SocketAddr,
    server_id: &str,
    health_path: Option<&str>,
) -> ServerFate {
    let opened = Connection::open(address, PROBE_TIMEOUT, Instant::now()).await;
    let connection = match opened {
        Ok(connection) => connection,
        Err(OutboundError::Connect(err)) if err.kind() == io::ErrorKind::ConnectionRefused => {
            return ServerFate::Ended;
        }
        Err(_) => return ServerFate::Unknown,
    };
    let Some(target) = health_path.and_then(|path| path.parse().ok()) else {
        return ServerFate::Unknown;
    };
    let check = check_health(connection, address, target);
    let Ok(Some(head)) = timeout(PROBE_TIMEOUT, check).await else {
        return ServerFate::Unknown;
    };
    match platform::response::server_id(&head.headers) {
        Some(id) if id == server_id => ServerFate::Alive,
        Some(_) => ServerFate::Ended,
        None => ServerFate::Unknown,
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
        body: Bytes::new(),
    };
    connection.exchange(&request).await.ok()
}
