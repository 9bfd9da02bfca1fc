//! Tests the stand-ins over HTTP, as the daemons use them.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use awc::Client;
use clementinepick::call::ChatMessage;
use clementinepick::ids::{AttemptId, FencingNumber, Offset, OrderId};
use clementinepick::platform::{
    AppendBody, AppendResponse, EngineOrder, EngineRole, EngineState, GenerateBody, GenerateLine,
    LoadReport, OrderBody, ReadResponse, ResumeBody,
};
use clementinepick::prompt::Prompt;
use clementinepick::units::{SpanUs, Tokens};
use serde::Serialize;
use serde_json::json;
use standins::answer::{OUTPUT_TOKENS_FIELD, answer_text};
use standins::engine::EngineSettings;
use standins::log_service::LogSettings;
use standins::plain_service::PlainSettings;
use standins::servers::{ServerSettings, Servers};
use standins::weight_store::WeightSettings;

const ANY_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

fn start() -> Servers {
    let fast = EngineSettings {
        step_base_us: SpanUs(500),
        ..EngineSettings::default()
    };
    let settings = ServerSettings {
        log: (ANY_PORT, LogSettings::default()),
        vms: (ANY_PORT, SpanUs(0)),
        weights: (ANY_PORT, WeightSettings::default()),
        tools: ANY_PORT,
        engines: vec![(ANY_PORT, fast)],
        plains: vec![(ANY_PORT, PlainSettings::default())],
        workers: 1,
        takes_signals: false,
    };
    Servers::start(&settings).expect("free ports")
}

/// Sends JSON and returns the status and the body.
async fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> (u16, Vec<u8>) {
    let request = Client::default().post(format!("http://{address}{path}"));
    let mut response = request.send_json(body).await.expect("a response");
    let body = response.body().await.expect("a complete body");
    (response.status().as_u16(), body.to_vec())
}

async fn get(address: SocketAddr, path: &str) -> Vec<u8> {
    let request = Client::default().get(format!("http://{address}{path}"));
    let mut response = request.send().await.expect("a response");
    response.body().await.expect("a complete body").to_vec()
}

/// Returns the text of a response's lines; asserts that positions follow on and that the last line
/// is `Done`.
fn joined_text(lines: &[u8], from: u64) -> String {
    let lines = std::str::from_utf8(lines).expect("text");
    let lines: Vec<GenerateLine> = lines
        .lines()
        .map(|line| serde_json::from_str(line).expect("a line"))
        .collect();
    let mut text = String::new();
    for line in &lines {
        if let GenerateLine::Text {
            position,
            text: more,
            ..
        } = line
        {
            assert_eq!(*position, from + text.len() as u64);
            text += more;
        }
    }
    assert!(matches!(lines.last(), Some(GenerateLine::Done { .. })));
    text
}

#[actix_rt::test]
async fn an_engine_streams_resumes_and_takes_orders() {
    let servers = start();
    let engine = servers.addresses.engines[0];
    let messages = vec![ChatMessage::new("user", "question")];
    let body = GenerateBody {
        attempt: AttemptId(7),
        program: "p".parse().expect("a name"),
        model: "m".parse().expect("a name"),
        prompt: Prompt::of_messages(&messages),
        messages,
        max_output_tokens: Tokens(100),
        extra: BTreeMap::from([(OUTPUT_TOKENS_FIELD.to_owned(), json!(40))]),
    };
    let expected = answer_text(body.prompt.chain(), Tokens(40));
    let (status, lines) = post(engine, "/v1/generate", &body).await;
    assert_eq!((status, joined_text(&lines, 0)), (200, expected.clone()));
    assert_eq!(post(engine, "/v1/generate", &body).await.0, 409);

    let resume = ResumeBody {
        attempt: AttemptId(7),
        position: 10,
    };
    let (status, lines) = post(engine, "/v1/resume", &resume).await;
    assert_eq!(
        (status, joined_text(&lines, 10)),
        (200, expected[10..].to_owned())
    );

    let load: LoadReport =
        serde_json::from_slice(&get(engine, "/v1/load").await).expect("a report");
    assert_eq!(load.max_running, 32);
    let order = |id, fencing| OrderBody {
        id: OrderId(id),
        fencing: FencingNumber(fencing),
        order: EngineOrder::SetRole {
            role: EngineRole::Decode,
        },
    };
    assert_eq!(post(engine, "/v1/orders", &order(1, 5)).await.0, 200);
    assert_eq!(post(engine, "/v1/orders", &order(2, 4)).await.0, 409);
    let state: EngineState =
        serde_json::from_slice(&get(engine, "/v1/state").await).expect("a state");
    assert_eq!(state.fencing, Some(FencingNumber(5)));
    servers.stop().expect("a clean shutdown");
}

/// A refused append differs from one whose outcome is unknown: after a lost response the writer
/// finds the record by reading on.
#[actix_rt::test]
async fn the_log_distinguishes_refused_from_unknown_appends() {
    let servers = start();
    let log = servers.addresses.log;
    let body = |text: &str| AppendBody {
        records: vec![text.to_owned()],
    };
    let path = "/v1/streams/journal";
    let (status, response) = post(log, path, &body("a")).await;
    let response: AppendResponse = serde_json::from_slice(&response).expect("an offset");
    assert_eq!((status, response.first_offset), (200, Offset(0)));
    post(log, "/control/lose-answers/1", &()).await;
    assert_eq!(post(log, path, &body("b")).await.0, 504);
    let read = get(log, &format!("{path}?from=0&max=10")).await;
    let read: ReadResponse = serde_json::from_slice(&read).expect("records");
    let texts: Vec<_> = read.records.iter().map(|r| r.text.as_str()).collect();
    assert_eq!(texts, ["a", "b"]);
    post(log, "/control/outage/60000", &()).await;
    assert_eq!(post(log, path, &body("c")).await.0, 503);
    servers.stop().expect("a clean shutdown");
}

#[actix_rt::test]
async fn a_plain_service_counts_by_idempotency_key() {
    let servers = start();
    let plain = servers.addresses.plains[0];
    let hold = json!({ "id": "h1", "slot": "dome-1" });
    assert_eq!(post(plain, "/holds", &hold).await.0, 201);
    assert_eq!(post(plain, "/holds", &hold).await.0, 201);
    assert_eq!(servers.plains[0].executions()["h1"], 2);
    servers.stop().expect("a clean shutdown");
}
