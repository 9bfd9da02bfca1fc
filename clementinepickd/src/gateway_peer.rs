//! Calls peers and handles their calls: store calls for a peer that cannot reach the store,
//! budgets, origins of streams, servers that ended, and turns.

use std::future::Future;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::header::HeaderMap;
use actix_http::{Method, StatusCode, Uri};
use actix_rt::time::timeout;
use bytes::Bytes;
use serde::de::DeserializeOwned;

use crate::gateway_budget_peer::{handle_budget_call, lends_tokens};
use crate::gateway_connection::Handler;
use crate::gateway_directory_copy::handle_copy_call;
use crate::gateway_ended::handle_ended_call;
use crate::gateway_origins::handle_origin_call;
use crate::gateway_peer_turns::{self, TURN_PATH};
use crate::gateway_peer_watch::{INSTANCE_PATH, LOST_PATH, WATCH_PATH};
use crate::gateway_receive::ReceivedRequest;
use crate::gateway_reply::Reply;
use crate::gateway_shared::Shared;
use crate::gateway_start::handle_start_call;
use crate::gateway_start_evidence::handle_confirm_call;
use crate::gateway_version_proof::handle_prove_call;
use crate::ledger::{from_cbor, to_cbor};
use crate::outbound::{OutboundError, OutboundRequest};
use crate::store::{StoreCall, StorePurpose, host_header};

/// The largest response of a peer, in bytes: a turn with the largest body that callers may send.
const MAX_PEER_RESPONSE_BYTES: usize = 8_388_608;

/// A call to a peer.
#[derive(Debug, Clone)]
pub(crate) struct PeerCall {
    pub(crate) path: &'static str,
    pub(crate) body: Bytes,
    /// How long the call may take.
    pub(crate) limit: Duration,
}

/// Why a call to a peer brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PeerFailure {
    /// It did not respond in time, or broke off, and may have what it was asked for.
    Silent,
    /// No process runs at its address, it does not serve the call, or there is no memory for its response.
    Declined,
}

/// Calls a peer; `None` if no valid response arrives in time. Any response marks the peer as
/// reachable.
pub(crate) async fn call_peer<T: DeserializeOwned>(
    shared: &Shared,
    peer: SocketAddr,
    call: PeerCall,
) -> Option<T> {
    try_call_peer(shared, peer, call).await.ok()
}

/// Calls a peer as [`call_peer`] does, and tells the failures apart.
pub(crate) async fn try_call_peer<T: DeserializeOwned>(
    shared: &Shared,
    peer: SocketAddr,
    call: PeerCall,
) -> Result<T, PeerFailure> {
    let limit = call.limit;
    let mut memory = shared.response_memory.part();
    let exchange = async {
        let connection = shared.pool.acquire(peer, limit, Instant::now()).await;
        let mut connection = connection?;
        let request = OutboundRequest {
            method: Method::POST,
            target: Uri::from_static(call.path),
            headers: host_header(peer),
            body: call.body.into(),
        };
        let head = connection.exchange(&request).await?;
        let resize = |bytes| memory.resize(bytes);
        let body = connection
            .body_within(MAX_PEER_RESPONSE_BYTES, resize)
            .await?;
        shared.pool.release(peer, connection, Instant::now());
        Ok((head.status, body))
    };
    let (status, body) = match timeout(limit, exchange).await {
        Ok(Ok(response)) => response,
        Ok(Err(OutboundError::Connect(err))) if err.kind() == ErrorKind::ConnectionRefused => {
            return Err(PeerFailure::Declined);
        }
        Ok(Err(OutboundError::OutOfMemory)) => return Err(PeerFailure::Declined),
        Ok(Err(_)) | Err(_) => return Err(PeerFailure::Silent),
    };
    shared.homes.record_peer_response(peer);
    let response = (status == StatusCode::OK)
        .then(|| from_cbor(&body))
        .flatten();
    response.ok_or(PeerFailure::Declined)
}

/// Relays peers' store calls, once each, and handles calls for budgets and turns.
///
/// The store may reject some processes while it serves others. Without the relay, a rejected
/// process would refuse every new program and every turn whose context it does not have.
pub(crate) struct PeerHandler {
    pub(crate) shared: Rc<Shared>,
}

impl Handler for PeerHandler {
    /// A process that was suspended finds messages of peers that have given up waiting for it. What
    /// they say of requests that end servers, and of streams, is still of use; tokens that are lent
    /// to them are lost.
    fn starts_despite_disconnect(&self, request: &ReceivedRequest<'_>) -> bool {
        !lends_tokens(request.head.uri().path())
    }

    /// Peers relay appends to the store, which may be larger than the bodies of callers.
    fn min_body_limit_bytes(&self) -> usize {
        self.shared.ledger.settings.call_bytes
    }

    fn handle<'a>(
        &'a self,
        request: &'a ReceivedRequest<'_>,
        reply: &'a mut Reply<'_>,
    ) -> Pin<Box<dyn Future<Output = ()> + 'a>> {
        Box::pin(async move {
            let target = request.head.uri().path_and_query();
            let target = target.map(ToString::to_string).unwrap_or_default();
            let mut memory = self.shared.response_memory.part();
            let response = handle_budget_call(&self.shared, &target, &request.body).await;
            let (status, body) = if let Some(response) = response {
                response
            } else if let Some(response) =
                handle_origin_call(&self.shared, &target, &request.body, Instant::now())
            {
                response
            } else if let Some(response) =
                handle_prove_call(&self.shared, &target, &request.body, Instant::now()).await
            {
                response
            } else if let Some(response) =
                handle_ended_call(&self.shared, &target, &request.body, Instant::now())
            {
                response
            } else if let Some(response) =
                handle_copy_call(&self.shared, &target, &request.body, Instant::now())
            {
                response
            } else if let Some(response) = handle_start_call(&self.shared, &target, &request.body) {
                response
            } else if let Some(response) =
                handle_confirm_call(&self.shared, &target, &request.body, Instant::now()).await
            {
                response
            } else if target == WATCH_PATH {
                self.shared.wait_for_close().await;
                (200, to_cbor(&()))
            } else if target == INSTANCE_PATH {
                (200, to_cbor(&self.shared.writer))
            } else if target == LOST_PATH {
                self.shared.reload_requests().await;
                (200, to_cbor(&()))
            } else if target == TURN_PATH {
                gateway_peer_turns::handle_fetch(&self.shared, &request.body, &mut memory)
            } else if platform::store::is_store_target(&target) {
                let call = StoreCall {
                    purpose: StorePurpose::Relay,
                    method: request.head.method().clone(),
                    target,
                    body: request.body.clone(),
                };
                let result = self.shared.store.relay_once(&call).await;
                let result = result.filter(|reply| memory.resize(reply.body.len()));
                result.map_or((503, Bytes::new()), |reply| (reply.status, reply.body))
            } else {
                (404, Bytes::new())
            };
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            // A failure means that the peer has disconnected; it repeats its call elsewhere.
            let _ = reply.send_full(status, HeaderMap::new(), body).await;
        })
    }
}
