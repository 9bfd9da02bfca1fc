//! Runs the HTTP clients of a process: those of the platform for an entry, that of the backend server
//! for a sidecar.

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
use crate::settings::{BackendKind, EntryRole, Limits, Role};
use crate::tasks::{Tasks, run_to_end};
use crate::vm_list_client;

/// How long requests in flight may take when the process shuts down.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// A client that executes each command in its own task.
pub(crate) trait CommandClient {
    /// Starts to execute a command.
    fn execute(&mut self, command: ClientCommand, tasks: &mut Tasks);
}

/// Executes commands until the control thread has ended, and then waits up to [`DRAIN_TIMEOUT`] for
/// those in flight.
pub(crate) async fn run(
    role: Role,
    limits: Limits,
    control: ControlSender,
    mut commands: mpsc::UnboundedReceiver<ClientCommand>,
) {
    let mut tasks = Tasks::new(control.clone());
    let mut polls = Vec::new();
    let mut client: Box<dyn CommandClient> = match role {
        Role::Entry(role) => {
            polls.push(actix_rt::spawn(poll_vms(role.clone(), control.clone())));
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
    while let Some(command) = commands.recv().await {
        client.execute(command, &mut tasks);
    }
    for poll in polls {
        poll.abort();
        let _ = poll.await;
    }
    let _ = timeout(DRAIN_TIMEOUT, tasks.join()).await;
}

async fn poll_vms(role: EntryRole, control: ControlSender) {
    let poll = async || vm_list_client::poll(role.clone(), control.clone()).await;
    run_to_end(&control, "vm_list", poll).await;
}

/// How long an idle connection is kept: less than servers usually do, since a request fails if the
/// server closes its connection at that moment.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// The admission queue limits the requests in flight, so connections need no limit of their own.
const UNLIMITED_CONNECTIONS: usize = 0;

/// Creates a client that reuses connections and applies a timeout to each request.
pub(crate) fn pooled_client(request_timeout: SpanUs) -> Client {
    Client::builder()
        .connector(
            Connector::new()
                .limit(UNLIMITED_CONNECTIONS)
                .conn_keep_alive(KEEP_ALIVE_TIMEOUT),
        )
        .disable_redirects()
        .timeout(duration(request_timeout))
        .finish()
}

/// Creates a client without a request timeout, for streams.
pub(crate) fn streaming_client() -> Client {
    Client::builder()
        .connector(
            Connector::new()
                .limit(UNLIMITED_CONNECTIONS)
                .conn_keep_alive(KEEP_ALIVE_TIMEOUT),
        )
        .disable_redirects()
        .disable_timeout()
        .finish()
}

/// Creates a client that opens a new connection for each request.
///
/// On a reused connection that the server has just closed, a request fails in the same way as one
/// that the server has received. On a new one, a failure to connect proves that nothing was sent.
pub(crate) fn unpooled_client() -> Client {
    Client::builder()
        .connector(
            Connector::new()
                .limit(UNLIMITED_CONNECTIONS)
                .conn_keep_alive(Duration::ZERO),
        )
        .disable_redirects()
        .no_default_headers()
        .disable_timeout()
        .finish()
}

/// Returns the URL of `path` at `address`.
pub(crate) fn url(address: SocketAddr, path: &str) -> String {
    format!("http://{address}{path}")
}

/// Parses the JSON body of a response with status 200, regardless of its content type.
///
/// Returns none for any other status, a body over `limit` bytes or invalid JSON.
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
