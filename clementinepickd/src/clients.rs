//! The thread of the clients: the platform for an entry, the backend server for a sidecar.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::PayloadError;
use awc::http::StatusCode;
use awc::{Client, ClientResponse, Connector};
use bytes::Bytes;
use clementinepick::units::SpanUs;
use futures_util::Stream;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::control_messages::{ClientCommand, ControlSender};
use crate::engine_client::EngineClient;
use crate::link::duration;
use crate::log_client::LogClient;
use crate::plain_client::PlainClient;
use crate::settings::{BackendKind, Limits, Role};
use crate::tasks::Tasks;
use crate::vm_list_client;

/// How long requests that are under way may take when the process ends.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// A client that carries out orders, each in its own task.
pub(crate) trait OrderClient {
    /// Starts on an order.
    fn start(&mut self, order: ClientCommand, tasks: &mut Tasks);
}

/// Runs until the control thread has ended and what it ordered is done.
pub(crate) async fn run(
    role: Role,
    limits: Limits,
    control: ControlSender,
    mut orders: mpsc::UnboundedReceiver<ClientCommand>,
) {
    let mut tasks = Tasks::default();
    let mut polls = Vec::new();
    let mut client: Box<dyn OrderClient> = match role {
        Role::Entry(role) => {
            polls.push(actix_rt::spawn(vm_list_client::poll(
                role.clone(),
                control.clone(),
            )));
            Box::new(LogClient::new(&role, control))
        }
        Role::Sidecar(role) => match role.backend_kind {
            BackendKind::Engine => {
                let engine = EngineClient::new(&role, control);
                polls.push(actix_rt::spawn(engine.poller(&role)));
                Box::new(engine)
            }
            BackendKind::Plain => Box::new(PlainClient::new(&role, &limits, control)),
        },
    };
    while let Some(order) = orders.recv().await {
        client.start(order, &mut tasks);
    }
    for poll in polls {
        poll.abort();
        let _ = poll.await;
    }
    let _ = timeout(DRAIN_LIMIT, tasks.join()).await;
}

/// How long an idle connection is kept: less than servers usually do, since a request on one that
/// the server closes at that moment fails.
const KEEP_ALIVE: Duration = Duration::from_secs(3);
/// The gate bounds what runs, so connections need no bound of their own.
const NO_LIMIT: usize = 0;

/// A client whose connections are kept for the next request.
pub(crate) fn pooled(request_limit: SpanUs) -> Client {
    Client::builder()
        .connector(Connector::new().limit(NO_LIMIT).conn_keep_alive(KEEP_ALIVE))
        .disable_redirects()
        .timeout(duration(request_limit))
        .finish()
}

/// A client without a limit of time, for streams.
pub(crate) fn streaming() -> Client {
    Client::builder()
        .connector(Connector::new().limit(NO_LIMIT).conn_keep_alive(KEEP_ALIVE))
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// A client that makes a new connection for each request.
///
/// On a kept connection that the server has just closed, a request fails in a way that can't be
/// told from one that was taken. On a new one, a failure to connect proves that nothing was sent.
pub(crate) fn unpooled() -> Client {
    Client::builder()
        .connector(
            Connector::new()
                .limit(NO_LIMIT)
                .conn_keep_alive(Duration::ZERO),
        )
        .disable_redirects()
        .no_default_headers()
        .disable_timeout()
        .finish()
}

/// The URL of `path` at `address`.
pub(crate) fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

/// The JSON of an answer with status 200, whatever type the server says it is.
pub(crate) async fn read_json<T, S>(response: &mut ClientResponse<S>, limit: usize) -> Option<T>
where
    T: DeserializeOwned,
    S: Stream<Item = Result<Bytes, PayloadError>>,
{
    if response.status() != StatusCode::OK {
        return None;
    }
    let body = response.body().limit(limit).await.ok()?;
    serde_json::from_slice(&body).ok()
}
