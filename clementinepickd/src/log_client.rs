//! The client of the log service: appends and reads records for an entry.

use std::net::SocketAddr;

use awc::Client;
use awc::http::StatusCode;
use clementinepick::entry::EntryInput;
use clementinepick::ids::Offset;
use clementinepick::journal::{AppendOutcome, JournalAction};
use clementinepick::platform::{AppendBody, AppendResponse, ReadResponse, StreamName};
use clementinepick::record::Record;

use crate::clients::{CommandClient, pooled_client, read_json, url};
use crate::control_messages::{ClientCommand, ControlInput, ControlSender};
use crate::settings::EntryRole;
use crate::tasks::{Tasks, contain};

/// The name in logs of a call to the log service.
const CALL_PART: &str = "log_call";
/// The most records that one read returns.
const MAX_READ_RECORDS: u32 = 512;
/// The largest response to an append.
const MAX_APPEND_RESPONSE_BYTES: usize = 64_000;
/// The largest response to a read.
const MAX_READ_RESPONSE_BYTES: usize = 256_000_000;

/// Executes an entry's commands at the log service.
pub(crate) struct LogClient {
    client: Client,
    address: SocketAddr,
    control: ControlSender,
}

impl LogClient {
    /// Creates a client of the log service at the address in `role`.
    pub(crate) fn new(role: &EntryRole, control: ControlSender) -> Self {
        Self {
            client: pooled_client(role.platform_timeout_us),
            address: role.log_address,
            control,
        }
    }
}

impl CommandClient for LogClient {
    fn execute(&mut self, command: ClientCommand, tasks: &mut Tasks) {
        let ClientCommand::Log(action) = command else {
            return;
        };
        let (client, address) = (self.client.clone(), self.address);
        let control = self.control.clone();
        tasks.spawn("log_command", async move {
            let input = match action {
                JournalAction::Append {
                    stream,
                    batch,
                    records,
                } => {
                    let append = append(&client, address, stream, &records);
                    let outcome = contain(&control, CALL_PART, append).await;
                    EntryInput::LogAppended {
                        stream,
                        batch,
                        outcome: outcome.unwrap_or(AppendOutcome::Unknown),
                    }
                }
                JournalAction::Read { stream, from } => {
                    let read = read(&client, address, stream, from);
                    let answer = contain(&control, CALL_PART, read).await.flatten();
                    EntryInput::LogRead { stream, answer }
                }
            };
            control.send(ControlInput::Entry(input)).await;
        });
    }
}

async fn append(
    client: &Client,
    address: SocketAddr,
    stream: StreamName,
    records: &[Record],
) -> AppendOutcome {
    let serialized: Result<Vec<String>, _> = records.iter().map(serde_json::to_string).collect();
    let Ok(records) = serialized else {
        return AppendOutcome::Refused;
    };
    let body = AppendBody { records };
    let sent = client
        .post(url(address, &format!("/v1/streams/{stream}")))
        .send_json(&body)
        .await;
    let Ok(mut response) = sent else {
        return AppendOutcome::Unknown;
    };
    match response.status() {
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => AppendOutcome::Refused,
        _ => {
            let appended: Option<AppendResponse> =
                read_json(&mut response, MAX_APPEND_RESPONSE_BYTES).await;
            appended.map_or(AppendOutcome::Unknown, |appended| {
                AppendOutcome::Appended(appended.first_offset)
            })
        }
    }
}

async fn read(
    client: &Client,
    address: SocketAddr,
    stream: StreamName,
    from: Offset,
) -> Option<ReadResponse> {
    let path = format!("/v1/streams/{stream}?from={from}&max={MAX_READ_RECORDS}");
    let sent = client.get(url(address, &path)).send().await;
    read_json(&mut sent.ok()?, MAX_READ_RESPONSE_BYTES).await
}
