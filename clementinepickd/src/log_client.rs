//! The client of the log service.

use std::net::SocketAddr;

use awc::Client;
use awc::http::StatusCode;
use clementinepick::entry::EntryInput;
use clementinepick::ids::Offset;
use clementinepick::journal::{AppendOutcome, JournalAction};
use clementinepick::platform::{AppendBody, AppendResponse, ReadResponse, StreamName};
use clementinepick::record::Record;

use crate::clients::{OrderClient, pooled, read_json, url};
use crate::input::{ClientOrder, ControlInput, ControlSender};
use crate::settings::EntryRole;
use crate::tasks::Tasks;

/// The most records that one read brings.
const MAX_READ_RECORDS: u32 = 512;
/// The largest answer to an append.
const MAX_ANSWER_BYTES: usize = 64_000;
/// The largest answer to a read.
const MAX_READ_BYTES: usize = 256_000_000;

/// Appends and reads for an entry.
pub(crate) struct LogClient {
    client: Client,
    address: SocketAddr,
    control: ControlSender,
}

impl LogClient {
    /// A client of the log at the address in `role`.
    pub(crate) fn new(role: &EntryRole, control: ControlSender) -> Self {
        Self {
            client: pooled(role.platform_timeout_us),
            address: role.log_address,
            control,
        }
    }
}

impl OrderClient for LogClient {
    fn start(&mut self, order: ClientOrder, tasks: &mut Tasks) {
        let ClientOrder::Log(action) = order else {
            return;
        };
        let (client, address) = (self.client.clone(), self.address);
        let control = self.control.clone();
        tasks.spawn(async move {
            let input = match action {
                JournalAction::Append {
                    stream,
                    batch,
                    records,
                } => {
                    let outcome = append(&client, address, stream, &records).await;
                    EntryInput::LogAppended {
                        stream,
                        batch,
                        outcome,
                    }
                }
                JournalAction::Read { stream, from } => {
                    let answer = read(&client, address, stream, from).await;
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
    let texts: Result<Vec<String>, _> = records.iter().map(serde_json::to_string).collect();
    let Ok(records) = texts else {
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
            let answer: Option<AppendResponse> = read_json(&mut response, MAX_ANSWER_BYTES).await;
            answer.map_or(AppendOutcome::Unknown, |answer| {
                AppendOutcome::Appended(answer.first_offset)
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
    read_json(&mut sent.ok()?, MAX_READ_BYTES).await
}
