//! Calls to the store on behalf of peers that can't reach it themselves.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;

use crate::gateway::Shared;
use crate::gateway_connection::{Handler, Received};
use crate::gateway_reply::Reply;
use crate::store::StoreCall;

/// Takes peers' calls to the store and makes them once.
///
/// A store that turns some processes away serves the others; without this, each of those would
/// refuse every new program and every turn that needs one from elsewhere.
pub(crate) struct PeerHandler {
    pub(crate) shared: Rc<Shared>,
}

impl Handler for PeerHandler {
    fn handle<'a>(
        &'a self,
        request: &'a Received<'_>,
        reply: &'a mut Reply<'_>,
    ) -> Pin<Box<dyn Future<Output = ()> + 'a>> {
        Box::pin(async move {
            let target = request.head.uri().path_and_query();
            let target = target.map(ToString::to_string).unwrap_or_default();
            let (status, body) = if platform::store::is_call(&target) {
                let call = StoreCall {
                    method: request.head.method().clone(),
                    target,
                    body: request.body.clone(),
                };
                let made = self.shared.store.relay_once(&call).await;
                made.map_or((503, Bytes::new()), |reply| (reply.status, reply.body))
            } else {
                (404, Bytes::new())
            };
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
            // If this fails, the peer is gone; it makes its call again elsewhere.
            let _ = reply.whole(status, HeaderMap::new(), body).await;
        })
    }
}
