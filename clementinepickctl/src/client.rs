//! Sends HTTP requests to the log service, the VM list and the processes of the system.

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

/// Limits the body of a response; state dumps are the largest.
const MAX_RESPONSE_BYTES: usize = 256_000_000;
/// The largest number of records requested in one read.
const MAX_READ_RECORDS: u32 = 1_000;
/// The request header that carries the admin key.
const ADMIN_KEY_HEADER: &str = "clementinepick-admin-key";
const NOT_FOUND: u16 = 404;
/// The statuses with which the log guarantees that nothing was appended.
const NOT_APPENDED_STATUSES: [u16; 2] = [429, 503];

/// The readiness of a process according to `/readyz`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Readiness {
    /// The process accepts calls.
    Ready,
    /// The process responds but accepts no calls.
    NotReady,
}

/// An HTTP client with a fixed timeout per request.
pub struct HttpClient {
    client: Client,
}

impl HttpClient {
    /// Creates a client whose requests time out after `timeout`.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let client = Client::builder().timeout(timeout).finish();
        Self { client }
    }

    /// Reads records of the configuration stream, or returns `None` if the request fails.
    pub async fn read_config(&self, log: &str, from: Offset) -> Option<ReadResponse> {
        let stream = StreamName::Config;
        let path = format!("/v1/streams/{stream}?from={from}&max={MAX_READ_RECORDS}");
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
                let appended = response.json::<AppendResponse>().await;
                appended.map_or(AppendOutcome::Unknown, |appended| {
                    AppendOutcome::Appended(appended.first_offset)
                })
            }
            Ok(response) if NOT_APPENDED_STATUSES.contains(&response.status().as_u16()) => {
                AppendOutcome::Refused
            }
            // Without a connection nothing was sent. After any other failure the log may have
            // appended the record, so the outcome is unknown.
            Err(SendRequestError::Connect(_)) => AppendOutcome::Refused,
            Ok(_) | Err(_) => AppendOutcome::Unknown,
        }
    }

    /// Fetches the platform's list of VMs.
    ///
    /// # Errors
    ///
    /// Returns an error if the list can't be read.
    pub async fn fetch_vms(&self, vms: &str) -> Result<Vec<Vm>, CommandError> {
        self.get_json(vms, "/v1/vms").await
    }

    /// Fetches the state dump of a process.
    ///
    /// # Errors
    ///
    /// Returns an error if the dump can't be read.
    pub async fn fetch_dump(&self, address: &str) -> Result<Value, CommandError> {
        self.get_json(address, "/debug/dump").await
    }

    /// Checks whether a process accepts calls.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not respond.
    pub async fn check_readiness(&self, address: &str) -> Result<Readiness, CommandError> {
        let sent = self.client.get(format!("http://{address}/readyz")).send();
        let response = sent.await.map_err(|err| unreachable(address, &err))?;
        Ok(if response.status().is_success() {
            Readiness::Ready
        } else {
            Readiness::NotReady
        })
    }

    /// Asks a process to drain.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not respond or rejects the request.
    pub async fn drain(&self, address: &str, key: &str) -> Result<(), CommandError> {
        let request = self.client.post(format!("http://{address}/admin/drain"));
        let sent = request.insert_header((ADMIN_KEY_HEADER, key)).send().await;
        expect_success(address, sent).map(|_| ())
    }

    /// Queries a gateway for the ledger's records of a `program` or `turn`; `None` if there are none.
    ///
    /// # Errors
    ///
    /// Returns an error if the gateway or its store does not respond.
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
        let body = response.json::<Value>().limit(MAX_RESPONSE_BYTES);
        body.await
            .map(Some)
            .map_err(|err| unreachable(address, &err))
    }

    /// Sends a GET request and parses the response as JSON.
    pub(crate) async fn get_json<T: DeserializeOwned>(
        &self,
        address: &str,
        path: &str,
    ) -> Result<T, CommandError> {
        let sent = self.client.get(format!("http://{address}{path}")).send();
        let mut response = expect_success(address, sent.await)?;
        let body = response.json::<T>().limit(MAX_RESPONSE_BYTES);
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
    let detail = format!("unexpected status {}", response.status());
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
