//! HTTP to the log service, the list of VMs and the system's processes.

use std::time::Duration;

use awc::error::SendRequestError;
use awc::{Client, ClientResponse};
use clementinepick::ids::Offset;
use clementinepick::journal::AppendOutcome;
use clementinepick::platform::{AppendBody, AppendResponse, ReadResponse, StreamName, Vm};
use clementinepick::record::Record;
use percent_encoding::{NON_ALPHANUMERIC, utf8_percent_encode};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::exit::CommandError;

/// The largest answer that is read; a dump of a full process is the largest.
const MAX_ANSWER_BYTES: usize = 256_000_000;
/// The records asked for in one read.
const READ_COUNT: u32 = 1_000;
/// Carries the key of an operator.
const ADMIN_KEY_HEADER: &str = "clementinepick-admin-key";
/// The status by which a process says that there is no such thing.
const NOT_FOUND: u16 = 404;
/// The statuses by which the log says that nothing was appended.
const NOT_APPENDED: [u16; 2] = [429, 503];

/// What `/readyz` says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// The process takes calls.
    Ready,
    /// It answers, and does not take calls.
    NotReady,
}

/// A client with one limit of time for each request.
pub struct HttpClient {
    client: Client,
}

impl HttpClient {
    /// A client whose requests may take `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let client = Client::builder().timeout(timeout).finish();
        Self { client }
    }

    /// Reads the configuration stream; `None` when the log gives no answer.
    pub async fn read_config(&self, log: &str, from: Offset) -> Option<ReadResponse> {
        let stream = StreamName::Config;
        let path = format!("/v1/streams/{stream}?from={from}&max={READ_COUNT}");
        self.get_json(log, &path).await.ok()
    }

    /// Appends one record to the configuration stream.
    pub async fn append_config(&self, log: &str, record: &Record) -> AppendOutcome {
        let Ok(text) = serde_json::to_string(record) else {
            return AppendOutcome::Refused;
        };
        let records = vec![text];
        let url = format!("http://{log}/v1/streams/{}", StreamName::Config);
        let sent = self.client.post(url).send_json(&AppendBody { records });
        match sent.await {
            Ok(mut response) if response.status().is_success() => {
                let answer = response.json::<AppendResponse>().await;
                answer.map_or(AppendOutcome::Unknown, |answer| {
                    AppendOutcome::Appended(answer.first_offset)
                })
            }
            Ok(response) if NOT_APPENDED.contains(&response.status().as_u16()) => {
                AppendOutcome::Refused
            }
            // Without a connection nothing was sent. After that, no error says how far it came.
            Err(SendRequestError::Connect(_)) => AppendOutcome::Refused,
            Ok(_) | Err(_) => AppendOutcome::Unknown,
        }
    }

    /// The platform's list of VMs.
    ///
    /// # Errors
    ///
    /// When it can't be read.
    pub async fn fetch_vms(&self, vms: &str) -> Result<Vec<Vm>, CommandError> {
        self.get_json(vms, "/v1/vms").await
    }

    /// The state of a process.
    ///
    /// # Errors
    ///
    /// When it can't be read.
    pub async fn fetch_dump(&self, address: &str) -> Result<Value, CommandError> {
        self.get_json(address, "/debug/dump").await
    }

    /// Whether a process takes calls.
    ///
    /// # Errors
    ///
    /// When it does not answer.
    pub async fn check_readiness(&self, address: &str) -> Result<Readiness, CommandError> {
        let sent = self.client.get(format!("http://{address}/readyz")).send();
        let response = sent.await.map_err(|err| unreachable(address, &err))?;
        Ok(if response.status().is_success() {
            Readiness::Ready
        } else {
            Readiness::NotReady
        })
    }

    /// Asks a process to leave.
    ///
    /// # Errors
    ///
    /// When it does not answer, or does not take the request.
    pub async fn drain(&self, address: &str, key: &str) -> Result<(), CommandError> {
        let request = self.client.post(format!("http://{address}/admin/drain"));
        let sent = request.insert_header((ADMIN_KEY_HEADER, key)).send().await;
        expect_success(address, sent).map(|_| ())
    }

    /// What a gateway reads in the ledger of a `program` or `turn`; none if there is nothing.
    ///
    /// # Errors
    ///
    /// When the gateway or its store does not answer.
    pub(crate) async fn query_ledger(
        &self,
        address: &str,
        kind: &str,
        id: &str,
    ) -> Result<Option<Value>, CommandError> {
        let id = utf8_percent_encode(id, NON_ALPHANUMERIC);
        let url = format!("http://{address}/ledger?{kind}={id}");
        let sent = self.client.get(url).send().await;
        if let Ok(response) = &sent
            && response.status().as_u16() == NOT_FOUND
        {
            return Ok(None);
        }
        let mut response = expect_success(address, sent)?;
        let body = response.json::<Value>().limit(MAX_ANSWER_BYTES);
        body.await
            .map(Some)
            .map_err(|err| unreachable(address, &err))
    }

    /// Reads JSON from a process.
    pub(crate) async fn get_json<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
    ) -> Result<T, CommandError> {
        let sent = self.client.get(format!("http://{address}{path}")).send();
        let mut response = expect_success(address, sent.await)?;
        let body = response.json::<T>().limit(MAX_ANSWER_BYTES);
        body.await.map_err(|err| unreachable(address, &err))
    }
}

fn expect_success<S>(
    address: &str,
    sent: Result<ClientResponse<S>, SendRequestError>,
) -> Result<ClientResponse<S>, CommandError> {
    let response = sent.map_err(|err| unreachable(address, &err))?;
    if response.status().is_success() {
        return Ok(response);
    }
    let detail = format!("it answered {}", response.status());
    Err(CommandError::Unreachable {
        address: address.to_owned(),
        detail,
    })
}

fn unreachable(address: &str, detail: &dyn std::fmt::Display) -> CommandError {
    CommandError::Unreachable {
        address: address.to_owned(),
        detail: detail.to_string(),
    }
}
