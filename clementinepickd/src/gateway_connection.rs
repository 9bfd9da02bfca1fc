//! Serves one caller's connection: passes its requests to a handler, detects that the caller
//! disconnects, and closes the connection so that the caller gets all that was written.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use actix_http::Request;
use actix_http::h1::Codec;
use actix_rt::time::timeout;
use clementinepick::event::{Event, EventKind};
use clementinepick::refusal::Refusal;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;

use crate::config_follower::refusal_by_config;
use crate::connections::OpenConnection;
use crate::gateway_reader::{InputState, Reader};
use crate::gateway_receive::{ReceiveError, ReceivedRequest, UnreadRequest, receive};
use crate::gateway_reply::{ClosePolicy, Reply, ReplyState};
use crate::gateway_shared::Shared;
use crate::input_first::poll_after_input;

/// The kind in metrics of requests that were not read in full.
const UNREAD: &str = "unread";
/// How long, and for how many bytes, input is discarded until the caller closes its side.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_DISCARDED_BYTES: u64 = 16_777_216;

/// Handles the requests of a listener.
pub(crate) trait Handler {
    /// Handles a request. An incomplete reply closes the connection.
    fn handle<'a>(
        &'a self,
        request: &'a ReceivedRequest<'_>,
        reply: &'a mut Reply<'_>,
    ) -> std::pin::Pin<Box<dyn Future<Output = ()> + 'a>>;

    /// Returns whether a request is handled up to its first wait although its sender has
    /// disconnected.
    fn starts_despite_disconnect(&self, _request: &ReceivedRequest<'_>) -> bool {
        false
    }

    /// Returns whether responses say how long an idle connection may be reused.
    fn announces_idle_limit(&self) -> bool {
        false
    }

    /// Returns why a request is refused whose body is not complete at `now`; its first byte was received
    /// at `arrived`.
    fn refuse_head(&self, _head: &Request, _arrived: Instant, _now: Instant) -> Option<Refusal> {
        None
    }

    /// Returns the size of bodies that is allowed whatever the configuration says, in bytes.
    fn min_body_limit_bytes(&self) -> usize {
        0
    }

    /// Records a request that is not handled, because its sender has disconnected.
    fn record_abandoned(&self, _request: &ReceivedRequest<'_>) {}
}

/// Serves a connection until either side closes it.
pub(crate) async fn serve(
    shared: Rc<Shared>,
    handler: Rc<dyn Handler>,
    stream: TcpStream,
    connection: OpenConnection,
) {
    if let Err(err) = stream.set_nodelay(true) {
        // The caller may have reset the connection, which reading from it shows.
        shared.log_connection_error(&err);
    }
    let _open = shared.open_connection();
    let (read, mut write) = stream.into_split();
    let state = InputState::default();
    let mut reader = Reader::new(read, &state, &connection);
    let mut codec = Codec::default();
    let mut limits_since = Instant::now();
    loop {
        let received = receive(
            &shared,
            &*handler,
            &mut reader,
            &mut codec,
            &mut write,
            limits_since,
        );
        let request = match received.await {
            Ok(request) => request,
            Err(ReceiveError::Closed) => return,
            Err(ReceiveError::Refused(request)) => {
                reader.release();
                refuse_unread(&shared, &request, &mut codec, &mut write, &connection).await;
                return close(&mut reader, &mut write).await;
            }
        };
        let close_policy = if codec.keep_alive() {
            ClosePolicy::Draining {
                shared: &shared,
                input: &state,
                announces_idle_limit: handler.announces_idle_limit(),
            }
        } else {
            ClosePolicy::Always
        };
        let mut reply = Reply::new(&mut codec, &mut write, close_policy, &connection);
        let running_guard = shared.start_request();
        if !handle(&*handler, &request, &mut reply, &mut reader).await {
            return;
        }
        drop(running_guard);
        limits_since = request.arrived;
        if reply.state() != ReplyState::Complete || reply.closes {
            return close(&mut reader, &mut write).await;
        }
    }
}

/// Handles a request; returns false if its caller has disconnected before the end, or has to give way since
/// it does not take the response.
async fn handle(
    handler: &dyn Handler,
    request: &ReceivedRequest<'_>,
    reply: &mut Reply<'_>,
    reader: &mut Reader<'_>,
) -> bool {
    let connection = reader.connection;
    let mut disconnected = pin!(reader.wait_for_disconnect());
    if !handler.starts_despite_disconnect(request)
        && poll_after_input(disconnected.as_mut()).await.is_some()
    {
        handler.record_abandoned(request);
        return false;
    }
    tokio::select! {
        biased;
        () = handler.handle(request, reply) => true,
        () = disconnected => false,
        () = connection.wait_to_give_way() => false,
    }
}

/// Refuses a request that was not received in full.
async fn refuse_unread(
    shared: &Shared,
    request: &UnreadRequest,
    codec: &mut Codec,
    write: &mut OwnedWriteHalf,
    connection: &OpenConnection,
) {
    let refusal = refusal_by_config(request.refusal, &shared.directory(), Instant::now());
    let response = refusal.response();
    let took = request.arrived.elapsed();
    shared.metrics.count_request(UNREAD, response.code, took);
    let headers = request.head.as_ref().map(|head| &head.head().headers);
    let id = headers.and_then(platform::request::request_id);
    let path = request.head.as_ref().map_or("-", |head| head.uri().path());
    let event = Event::new(EventKind::RequestFailed)
        .with("reason", response.code)
        .with("request", id.unwrap_or("-"))
        .with("path", path)
        .with("status", response.status)
        .with("took_ms", took.as_millis());
    shared.log(&event);
    let mut reply = Reply::new(codec, write, ClosePolicy::Always, connection);
    // A failure to write means that the caller has disconnected.
    let _ = reply.send_refusal(response, id).await;
}

/// Closes the connection once the caller has closed its side.
///
/// Closing with unread bytes would reset the connection, and the caller could lose what was written.
async fn close(reader: &mut Reader<'_>, write: &mut OwnedWriteHalf) {
    let connection = reader.connection;
    connection.set_closing();
    if write.shutdown().await.is_ok() {
        // A caller that does not close its side in time is disconnected, or earlier if others need the
        // connection.
        tokio::select! {
            _ = timeout(CLOSE_TIMEOUT, reader.discard(MAX_DISCARDED_BYTES)) => {}
            () = connection.wait_to_give_way() => {}
        }
    }
}
