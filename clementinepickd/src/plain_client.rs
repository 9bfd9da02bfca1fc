//! The client of a plain service: each call is sent once, on a connection of its own.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use awc::Client;
use awc::error::SendRequestError;
use awc::http::{Method, StatusCode, Uri};
use clementinepick::call::{PlainAnswer, PlainCall};
use clementinepick::http_request::is_hop_by_hop_header;
use clementinepick::ids::AttemptId;
use clementinepick::sidecar::{BackendEvent, SidecarAction, SidecarInput};
use clementinepick::units::SpanUs;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clients::{OrderClient, unpooled, url};
use crate::input::{ClientOrder, ControlInput, ControlSender};
use crate::link::duration;
use crate::settings::{Limits, SidecarRole};
use crate::tasks::Tasks;

/// Calls the plain service of a sidecar.
pub(crate) struct PlainClient {
    client: Client,
    address: SocketAddr,
    max_body_bytes: usize,
    control: ControlSender,
    /// Dropping a sender stops the call.
    running: BTreeMap<AttemptId, oneshot::Sender<()>>,
}

impl PlainClient {
    /// A client of the plain service at the address in `role`.
    pub(crate) fn new(role: &SidecarRole, limits: &Limits, control: ControlSender) -> Self {
        Self {
            client: unpooled(),
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
        tasks.spawn(async move {
            let answered = timeout(
                duration(deadline_left_us),
                run(&client, address, limit, call),
            );
            let event = tokio::select! {
                answered = answered => answered.unwrap_or_else(|_| BackendEvent::Failed {
                    detail: "no answer within the deadline".to_owned(),
                    not_run: false,
                }),
                _ = stopped => return,
            };
            let input = SidecarInput::Backend { attempt, event };
            control.send(ControlInput::Sidecar(input)).await;
        });
    }
}

impl OrderClient for PlainClient {
    fn start(&mut self, order: ClientOrder, tasks: &mut Tasks) {
        let ClientOrder::Backend(action) = order else {
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
            // A plain service has no cache: nothing of a program can be held there.
            SidecarAction::Release { program, .. } => {
                let control = self.control.clone();
                let freed_tokens = Some(clementinepick::units::Tokens(0));
                let input = SidecarInput::Released {
                    program,
                    freed_tokens,
                };
                tasks.spawn(async move {
                    control.send(ControlInput::Sidecar(input)).await;
                });
            }
            SidecarAction::Generate(body) => {
                let event = BackendEvent::Failed {
                    detail: "the backend server is no model engine".to_owned(),
                    not_run: true,
                };
                let attempt = body.attempt;
                let control = self.control.clone();
                tasks.spawn(async move {
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

async fn run(client: &Client, address: SocketAddr, limit: usize, call: PlainCall) -> BackendEvent {
    let failed = |detail: String, not_run| BackendEvent::Failed { detail, not_run };
    let Ok(method) = Method::from_bytes(call.method.as_bytes()) else {
        return failed("the method can't be sent".to_owned(), true);
    };
    let Ok(uri) = url(address, &call.path).parse::<Uri>() else {
        return failed("the path can't be sent".to_owned(), true);
    };
    let mut request = client.request(method, uri).force_close();
    for (name, value) in call.headers {
        request = request.append_header((name, value));
    }
    // Only a connection that never came about proves that the service has not got the call.
    let mut response = match request.send_body(call.body).await {
        Ok(response) => response,
        Err(SendRequestError::Connect(err)) => return failed(err.to_string(), true),
        Err(SendRequestError::Url(err)) => return failed(err.to_string(), true),
        Err(err) => return failed(err.to_string(), false),
    };
    let status = response.status();
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
        Err(err) => failed(format!("the answer broke off: {err}"), false),
    }
}
