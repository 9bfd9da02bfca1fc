//! The client of a plain service: sends each call once, on a new connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use awc::Client;
use awc::error::SendRequestError;
use awc::http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use awc::http::{Method, StatusCode, Uri};
use clementinepick::call::{PlainAnswer, PlainCall};
use clementinepick::http_request::is_hop_by_hop_header;
use clementinepick::ids::AttemptId;
use clementinepick::sidecar::{BackendEvent, SidecarAction, SidecarInput};
use clementinepick::units::SpanUs;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clients::{CommandClient, unpooled_client, url};
use crate::control_messages::{ClientCommand, ControlInput, ControlSender};
use crate::link::duration;
use crate::settings::{Limits, SidecarRole};
use crate::tasks::{Tasks, contain};

/// The name in logs of a call to the service.
const CALL_PART: &str = "plain_call";

/// Executes a sidecar's commands at its plain service.
pub(crate) struct PlainClient {
    client: Client,
    address: SocketAddr,
    max_body_bytes: usize,
    control: ControlSender,
    /// The calls in flight; dropping a sender stops its call.
    running: BTreeMap<AttemptId, oneshot::Sender<()>>,
}

impl PlainClient {
    /// Creates a client of the plain service at the address in `role`.
    pub(crate) fn new(role: &SidecarRole, limits: &Limits, control: ControlSender) -> Self {
        Self {
            client: unpooled_client(),
            address: role.backend_address,
            max_body_bytes: usize::try_from(limits.body_bytes.0).unwrap_or(usize::MAX),
            control,
            running: BTreeMap::new(),
        }
    }

    fn call(
        &mut self,
        attempt: AttemptId,
        call: PlainCall,
        deadline_left_us: SpanUs,
        tasks: &mut Tasks,
    ) {
        let (stop, stopped) = oneshot::channel();
        self.running.retain(|_, stop| !stop.is_closed());
        self.running.insert(attempt, stop);
        let (client, address, limit) = (self.client.clone(), self.address, self.max_body_bytes);
        let control = self.control.clone();
        tasks.spawn("plain_command", async move {
            let call = send_call(&client, address, limit, call);
            let call = timeout(duration(deadline_left_us), call);
            let may_have_run = |detail: &str| BackendEvent::Failed {
                detail: detail.to_owned(),
                not_run: false,
            };
            let event = tokio::select! {
                outcome = contain(&control, CALL_PART, call) => match outcome {
                    Some(Ok(event)) => event,
                    Some(Err(_)) => may_have_run("the service did not respond within the deadline"),
                    None => may_have_run("the call ended by a defect of the sidecar"),
                },
                _ = stopped => return,
            };
            let input = SidecarInput::Backend { attempt, event };
            control.send(ControlInput::Sidecar(input)).await;
        });
    }
}

impl CommandClient for PlainClient {
    fn execute(&mut self, command: ClientCommand, tasks: &mut Tasks) {
        let ClientCommand::Backend(action) = command else {
            return;
        };
        match action {
            SidecarAction::Call {
                attempt,
                call,
                deadline_left_us,
            } => self.call(attempt, call, deadline_left_us, tasks),
            SidecarAction::Cancel(attempt) => {
                self.running.remove(&attempt);
            }
            // A plain service has no cache, so there is nothing to release.
            SidecarAction::Release { program, .. } => {
                let control = self.control.clone();
                let freed_tokens = Some(clementinepick::units::Tokens(0));
                let input = SidecarInput::Released {
                    program,
                    freed_tokens,
                };
                tasks.spawn("report", async move {
                    control.send(ControlInput::Sidecar(input)).await;
                });
            }
            SidecarAction::Generate(body) => {
                let event = BackendEvent::Failed {
                    detail: "the backend server is not a model engine".to_owned(),
                    not_run: true,
                };
                let attempt = body.attempt;
                let control = self.control.clone();
                tasks.spawn("report", async move {
                    let input = SidecarInput::Backend { attempt, event };
                    control.send(ControlInput::Sidecar(input)).await;
                });
            }
            SidecarAction::Order { .. }
            | SidecarAction::Retain { .. }
            | SidecarAction::Send { .. }
            | SidecarAction::Log(_)
            | SidecarAction::Finished => {}
        }
    }
}

async fn send_call(
    client: &Client,
    address: SocketAddr,
    limit: usize,
    call: PlainCall,
) -> BackendEvent {
    let failed = |detail: String, not_run| BackendEvent::Failed { detail, not_run };
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        return failed("the call's method is not valid in HTTP".to_owned(), true);
    };
    let Ok(uri) = url(address, &call.path).parse::<Uri>() else {
        return failed("the call's path is not a valid URI".to_owned(), true);
    };
    let may_have_body = method != Method::HEAD;
    let mut request = client.request(method, uri).force_close();
    for (name, value) in call.headers {
        request = request.append_header((name, value));
    }
    // Only a failure to connect proves that the service has not received the call.
    let mut response = match request.send_body(call.body).await {
        Ok(response) => response,
        Err(SendRequestError::Connect(err)) => return failed(err.to_string(), true),
        Err(SendRequestError::Url(err)) => return failed(err.to_string(), true),
        Err(err) => return failed(err.to_string(), false),
    };
    let status = response.status();
    if may_have_body && !shows_end(status, response.headers()) {
        let detail = "the response does not show where its body ends".to_owned();
        return failed(detail, false);
    }
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| !is_hop_by_hop_header(name.as_str()))
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes()).into_owned();
            (name.as_str().to_owned(), value)
        })
        .collect();
    match response.body().limit(limit).await {
        Ok(body) => BackendEvent::Plain(PlainAnswer {
            status: StatusCode::as_u16(&status),
            headers,
            body: body.to_vec(),
        }),
        Err(err) => failed(format!("reading the response body failed: {err}"), false),
    }
}

/// Returns whether a response shows where its body ends. The client takes the reset of a connection for the end
/// of a body that has no other.
fn shows_end(status: StatusCode, headers: &HeaderMap) -> bool {
    let has_no_body = matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    has_no_body || headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

#[cfg(test)]
mod tests {
    use std::io::{Read, Write};
    use std::net::{SocketAddr, TcpListener, TcpStream};
    use std::thread::{self, sleep};
    use std::time::Duration;

    use actix_rt::System;
    use clementinepick::call::PlainCall;
    use clementinepick::sidecar::BackendEvent;
    use socket2::SockRef;

    use super::{send_call, unpooled_client};

    /// A body that does not fit into the buffers of a connection, in bytes.
    const UPLOAD_BYTES: usize = 7_500_000;
    const LIMIT_BYTES: usize = 1_000_000;
    const SOON: Duration = Duration::from_millis(150);

    /// Answers one request of which it has read a part, and resets the connection after `pause`.
    fn answer_and_reset(answer: &'static str, pause: Duration) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            let (mut connection, _): (TcpStream, _) = listener.accept().expect("a connection");
            let read = connection.read(&mut [0; 2_048]);
            read.expect("a request");
            connection
                .write_all(answer.as_bytes())
                .expect("an open connection");
            sleep(pause);
            let reset = SockRef::from(&connection).set_linger(Some(Duration::ZERO));
            reset.expect("an open connection");
        });
        address
    }

    fn upload(address: SocketAddr, bytes: usize) -> BackendEvent {
        let call = PlainCall {
            method: "POST".to_owned(),
            path: "/x".to_owned(),
            body: vec![b'x'; bytes],
            headers: Vec::new(),
        };
        System::new().block_on(async {
            let client = unpooled_client();
            send_call(&client, address, LIMIT_BYTES, call).await
        })
    }

    /// Guards against a part of an answer that passes for a whole one.
    #[test]
    fn an_answer_that_is_reset_is_not_whole() {
        for answer in [
            "HTTP/1.1 200 OK\r\n\r\npart",
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart",
            "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
        ] {
            for (bytes, pause) in [
                (UPLOAD_BYTES, Duration::ZERO),
                (UPLOAD_BYTES, SOON),
                (1, Duration::ZERO),
                (1, SOON),
            ] {
                let event = upload(answer_and_reset(answer, pause), bytes);
                let is_failure = matches!(event, BackendEvent::Failed { not_run: false, .. });
                assert!(
                    is_failure,
                    "{answer:?}, {bytes} bytes, {pause:?}: {event:?}"
                );
            }
        }
    }

    /// Guards against whole answers that are refused.
    #[test]
    fn an_answer_that_shows_its_end_is_whole() {
        for (answer, body) in [
            (
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                &b"body"[..],
            ),
            (
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
                b"body",
            ),
            ("HTTP/1.1 204 No Content\r\n\r\n", b""),
        ] {
            let event = upload(answer_and_reset(answer, SOON), 1);
            let BackendEvent::Plain(whole) = event else {
                panic!("{answer:?}: {event:?}");
            };
            assert_eq!(whole.body, body);
        }
    }

    /// Guards against an answer with a status that HTTP does not have.
    #[test]
    fn an_answer_with_an_invalid_status_is_none() {
        for status in ["000", "099", "20", "2000"] {
            let answer = format!("HTTP/1.1 {status} X\r\nContent-Length: 4\r\n\r\nbody");
            let event = upload(answer_and_reset(answer.leak(), SOON), 1);
            let is_failure = matches!(event, BackendEvent::Failed { not_run: false, .. });
            assert!(is_failure, "{status}: {event:?}");
        }
    }
}
