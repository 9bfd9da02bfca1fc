//! Tests daemons from the side of callers: complete and streamed responses, callers that
//! disconnect or do not read, and processes that shut down while calls are running.

mod cut_path;
mod deployment;

use std::collections::BTreeSet;
use std::thread;

use clementinepick::units::{Bytes, SpanUs, Tokens};
use clementinepickd::ShutdownKind;
use clementinepickd::settings::{Limits, ShutdownSettings};
use cut_path::{CutPath, Direction};
use deployment::{
    Call, Deployment, DeploymentOptions, Response, read_response, state, streamed_text, wait_for,
};
use serde_json::Value;
use standins::engine::EngineSettings;
use standins::plain_service::PlainSettings;

/// Number of characters that the stand-in engine generates per token.
const CHARS_PER_TOKEN: u64 = standins::answer::CHARS_PER_TOKEN;

fn json(response: &Response) -> Value {
    serde_json::from_str(&response.body).unwrap_or_else(|_| panic!("JSON: {response:?}"))
}

fn whole_text(response: &Response) -> String {
    assert_eq!(response.status, 200, "{response:?}");
    let text = &json(response)["choices"][0]["message"]["content"];
    text.as_str().expect("a text").to_owned()
}

/// Asserts that a streamed response is complete and has `tokens` tokens.
fn assert_streamed(response: &Response, tokens: u64) {
    let (text, ended) = streamed_text(response);
    let last = response.body.trim_end().rsplit("\n\n").next();
    assert!(
        ended,
        "the stream is incomplete: {} {last:?}",
        response.status
    );
    assert_eq!(text.len() as u64, tokens * CHARS_PER_TOKEN);
}

/// Returns the number of sequences that run at all engines.
fn running_sequences(deployment: &Deployment) -> u32 {
    let engines = deployment.servers.engines.iter();
    engines
        .map(|engine| engine.inspect(|engine| engine.current_load().running))
        .sum()
}

#[test]
fn streamed_and_unstreamed_responses_have_the_same_text_at_both_entries() {
    let deployment = Deployment::start(&DeploymentOptions::default());
    for entry in &deployment.entries {
        let address = entry.http_address();
        for program in ["plan-1", "plan-2", "plan-3"] {
            let name = format!("{program}-{}", address.port());
            let whole = Call::chat(&name, 40, false).send(address);
            // The generated text depends on the transcript alone.
            let prompt = format!("plan a night for {name}");
            let stream = Call::single(&prompt, 40, true).send(address);
            assert_eq!(streamed_text(&stream), (whole_text(&whole), true));
            let usage = &json(&whole)["usage"];
            assert_eq!(usage["completion_tokens"], 40);
            assert!(usage["prompt_tokens_details"]["cached_tokens"].is_u64());
            assert_eq!(json(&whole)["clementinepick"]["turn"], "committed");
        }
    }
    deployment.shut_down();
}

/// When the caller of a turn without a program disconnects, nobody can fetch the rest: the engine
/// must stop the turn and free its memory.
#[test]
fn a_disconnected_caller_cancels_its_call() {
    let deployment = Deployment::start(&DeploymentOptions::default());
    let entry = &deployment.entries[0];
    let streamed = Call::single("a plan", 20_000, true).open(entry.http_address());
    wait_for(|| running_sequences(&deployment) == 1);
    drop(streamed);
    wait_for(|| running_sequences(&deployment) == 0);
    let waiting = Call::single("another", 20_000, false).open(entry.http_address());
    wait_for(|| running_sequences(&deployment) == 1);
    drop(waiting);
    wait_for(|| running_sequences(&deployment) == 0);
    deployment.shut_down();
}

/// Buffered output of a caller that does not read is bounded: beyond the limit its connection is
/// closed and its turn is stopped, while other callers of the entry get complete responses.
#[test]
fn a_caller_that_does_not_read_is_disconnected_and_blocks_no_other() {
    let options = DeploymentOptions {
        engine: EngineSettings {
            step_base_us: SpanUs(1),
            step_per_sequence_us: SpanUs(0),
            chunk_tokens: Tokens(1_000),
            cache_size_tokens: Tokens(100_000_000),
            ..EngineSettings::default()
        },
        limits: Limits {
            answer_stall_us: SpanUs::from_ms(300),
            ..Limits::default()
        },
        ..DeploymentOptions::default()
    };
    let deployment = Deployment::start(&options);
    let address = deployment.entries[0].http_address();
    let slow = Call::single("a long plan", 10_000_000, true).open(address);
    wait_for(|| running_sequences(&deployment) == 1);
    assert_streamed(&Call::chat("other", 40, true).send(address), 40);
    wait_for(|| running_sequences(&deployment) == 0);
    let (_, ended) = streamed_text(&read_response(slow));
    assert!(!ended, "an incomplete stream must not have an end line");
    let metrics = Call::new("GET", "/metrics").send(address).body;
    assert!(metrics.contains("outcome=\"caller_slow\"} 1"), "{metrics}");
    deployment.shut_down();
}

/// On shutdown an entry completes an open stream, a queued call of the same program and a hold that
/// must not run twice, refuses new calls as not run, and exits.
#[test]
fn an_entry_exits_after_its_last_response() {
    let options = DeploymentOptions {
        plain: PlainSettings {
            response_us: SpanUs::from_s(1),
        },
        ..DeploymentOptions::default()
    };
    let mut deployment = Deployment::start(&options);
    let entry = deployment.entries.remove(0);
    let address = entry.http_address();
    let streamed = Call::chat("plan-1", 400, true).open(address);
    wait_for(|| running_sequences(&deployment) == 1);
    let queued = Call::chat("plan-1", 40, true).open(address);
    let hold = Call::hold("hold-1").open(address);
    wait_for(|| state(&deployment.plain_sidecar)["running"] == 1);
    entry.shutdown();
    wait_for(|| Call::new("GET", "/readyz").send(address).status == 503);
    wait_for(|| state(&entry)["leaving"] == true);
    let refused = json(&Call::chat("plan-2", 40, false).send(address));
    assert_eq!(refused["error"]["code"], "shutting_down");
    assert_eq!(refused["error"]["not_run"], true);
    assert_streamed(&read_response(streamed), 400);
    let queued = read_response(queued);
    // The second call lacks the transcript of the first: it gets a complete error response.
    assert!(queued.is_complete, "{queued:?}");
    let hold = read_response(hold);
    assert_eq!((hold.status, hold.is_complete), (201, true));
    assert_eq!(entry.join(), ShutdownKind::Graceful);
    assert_eq!(deployment.servers.plains[0].executions()["hold-1"], 1);
    assert_streamed(
        &Call::chat("plan-3", 40, true).send(deployment.entries[0].http_address()),
        40,
    );
    deployment.shut_down();
}

/// On shutdown an entry stays until a slow caller has read its complete response, even when the
/// engine has finished the turn long before.
#[test]
fn an_entry_exits_after_a_slow_caller_has_read_its_response() {
    let options = DeploymentOptions {
        engine: EngineSettings {
            step_base_us: SpanUs(1),
            step_per_sequence_us: SpanUs(0),
            chunk_tokens: Tokens(1_000),
            cache_size_tokens: Tokens(100_000_000),
            ..EngineSettings::default()
        },
        limits: Limits {
            answer_bytes: Bytes(100_000_000),
            ..Limits::default()
        },
        ..DeploymentOptions::default()
    };
    let mut deployment = Deployment::start(&options);
    let entry = deployment.entries.remove(0);
    let tokens = 2_500_000;
    let slow = Call::single("a long plan", tokens, true).open(entry.http_address());
    wait_for(|| running_sequences(&deployment) == 1);
    wait_for(|| running_sequences(&deployment) == 0);
    entry.shutdown();
    wait_for(|| state(&entry)["leaving"] == true);
    assert!(!entry.is_finished());
    assert_streamed(&read_response(slow), tokens);
    assert_eq!(entry.join(), ShutdownKind::Graceful);
    deployment.shut_down();
}

/// A call over the limit of streams is refused before it runs, and accepted once a stream ends.
#[test]
fn a_call_over_the_limit_of_streams_is_refused_as_not_run() {
    let options = DeploymentOptions {
        limits: Limits {
            streams: 1,
            ..Limits::default()
        },
        ..DeploymentOptions::default()
    };
    let deployment = Deployment::start(&options);
    let address = deployment.entries[0].http_address();
    let first = Call::chat("plan-1", 200, true).open(address);
    wait_for(|| running_sequences(&deployment) == 1);
    let refused = Call::chat("plan-2", 8, true).send(address);
    assert_eq!(refused.status, 503);
    assert_eq!(json(&refused)["error"]["code"], "overloaded");
    assert_eq!(json(&refused)["error"]["not_run"], true);
    assert_streamed(&read_response(first), 200);
    wait_for(|| Call::chat("plan-2", 8, true).send(address).status == 200);
    deployment.shut_down();
}

/// On shutdown the sidecars complete their running calls, while new turns go to the other engine.
#[test]
fn a_sidecar_exits_after_its_last_call() {
    let options = DeploymentOptions {
        plain: PlainSettings {
            response_us: SpanUs::from_s(1),
        },
        ..DeploymentOptions::default()
    };
    let mut deployment = Deployment::start(&options);
    let address = deployment.entries[0].http_address();
    let streams: Vec<_> = (0..4)
        .map(|n| Call::chat(&format!("plan-{n}"), 400, true).open(address))
        .collect();
    wait_for(|| running_sequences(&deployment) == 4);
    let hold = Call::hold("hold-1").open(address);
    wait_for(|| state(&deployment.plain_sidecar)["running"] == 1);
    let leaving = deployment.engine_sidecars.remove(0);
    leaving.shutdown();
    deployment.plain_sidecar.shutdown();
    for n in 10..20 {
        assert_streamed(&Call::chat(&format!("plan-{n}"), 8, true).send(address), 8);
    }
    for stream in streams {
        assert_streamed(&read_response(stream), 400);
    }
    assert_eq!(read_response(hold).status, 201);
    assert_eq!(leaving.join(), ShutdownKind::Graceful);
    wait_for(|| deployment.plain_sidecar.is_finished());
    assert_eq!(deployment.servers.plains[0].executions()["hold-1"], 1);
    deployment.shut_down();
}

/// When the shutdown limit passes, each unfinished call gets a truthful error: a turn may be
/// repeated; the outcome of a hold is unknown.
#[test]
fn a_forced_shutdown_reports_unfinished_calls_truthfully() {
    let options = DeploymentOptions {
        plain: PlainSettings {
            response_us: SpanUs::from_s(20),
        },
        shutdown: ShutdownSettings {
            limit_us: SpanUs::from_ms(500),
            ..DeploymentOptions::default().shutdown
        },
        ..DeploymentOptions::default()
    };
    let mut deployment = Deployment::start(&options);
    let entry = deployment.entries.remove(0);
    let address = entry.http_address();
    let turn = Call::chat("plan-1", 20_000, false).open(address);
    let stream = Call::chat("plan-2", 20_000, true).open(address);
    let hold = Call::hold("hold-1").open(address);
    wait_for(|| running_sequences(&deployment) == 2);
    wait_for(|| state(&deployment.plain_sidecar)["running"] == 1);
    let responses = thread::spawn(move || {
        (
            read_response(turn),
            read_response(stream),
            read_response(hold),
        )
    });
    entry.shutdown();
    assert_eq!(entry.join(), ShutdownKind::Forced);
    let (turn, stream, hold) = responses.join().expect("responses");
    let (turn, hold) = (json(&turn), json(&hold));
    assert_eq!(turn["error"]["repeat_safe"], true, "{turn}");
    assert_eq!(turn["error"]["not_run"], false, "{turn}");
    assert_eq!(hold["error"]["not_run"], "unknown", "{hold}");
    assert_eq!(hold["error"]["repeat_safe"], false, "{hold}");
    let (_, ended) = streamed_text(&stream);
    let last = stream.body.trim_end().rsplit("\n\n").next();
    let error: Value =
        serde_json::from_str(&last.unwrap_or_default()["data: ".len()..]).expect("JSON");
    assert!(!ended);
    assert_eq!(error["error"]["code"], "backend_failed", "{error}");
    deployment.shut_down();
}

/// When the bytes of one direction are lost, sends still seem to succeed. Each end closes a link on
/// which it receives nothing, so that the other end notices; both reconnect and calls succeed
/// again.
#[test]
fn a_link_cut_in_one_direction_is_reconnected() {
    let deployment = Deployment::start(&DeploymentOptions::default());
    let directions = [Direction::ToSidecar, Direction::ToEntry];
    let paths: Vec<CutPath> = deployment
        .engine_sidecars
        .iter()
        .map(|sidecar| CutPath::to(sidecar.link_address()))
        .collect();
    for (n, path) in paths.iter().enumerate() {
        deployment.set_sidecar_address(n, path.address());
    }
    wait_for(|| paths.iter().all(|path| path.connections() >= 2));
    deployment.wait_for_links();
    for (path, direction) in paths.iter().zip(directions) {
        path.cut(direction);
    }
    wait_for(|| paths.iter().all(|path| path.connections() >= 4));
    deployment.wait_for_links();
    let address = deployment.entries[0].http_address();
    for n in 0..8 {
        assert_streamed(&Call::chat(&format!("plan-{n}"), 8, true).send(address), 8);
    }
    deployment.shut_down();
}

/// A caller that lost its connection fetches a call by its number in the program from any entry,
/// from the start or from a position, and gets the same text.
#[test]
fn an_earlier_response_is_fetched_completely_in_part_or_as_a_stream() {
    let deployment = Deployment::start(&DeploymentOptions::default());
    let [first, other] = [0, 1].map(|n| deployment.entries[n].http_address());
    let text = whole_text(&Call::chat("plan-1", 40, false).send(first));
    let path = "/v1/programs/plan-1/calls/0";
    assert_eq!(whole_text(&Call::new("GET", path).send(other)), text);
    let rest = Call::new("GET", &format!("{path}?position=100")).send(first);
    assert_eq!(whole_text(&rest), text[100..]);
    let stream = Call::new("GET", path).header("accept", "text/event-stream");
    assert_eq!(streamed_text(&stream.send(other)), (text, true));
    let missing = json(&Call::new("GET", "/v1/programs/plan-1/calls/9").send(other));
    assert_eq!(missing["error"]["code"], "unknown_call");
    deployment.shut_down();
}

/// A hold cannot be undone, so it completes, once, after its caller has disconnected; the caller
/// can fetch the outcome later.
#[test]
fn the_outcome_of_a_hold_is_fetched_after_a_disconnect() {
    let options = DeploymentOptions {
        plain: PlainSettings {
            response_us: SpanUs::from_ms(300),
        },
        ..DeploymentOptions::default()
    };
    let deployment = Deployment::start(&options);
    let address = deployment.entries[0].http_address();
    let hold = Call::hold("hold-1").open(address);
    wait_for(|| state(&deployment.plain_sidecar)["running"] == 1);
    drop(hold);
    let fetch = Call::new("GET", "/v1/programs/hold-1/calls/0");
    wait_for(|| fetch.send(address).status == 201);
    assert_eq!(json(&fetch.send(address))["hold"], "hold-1");
    assert_eq!(deployment.servers.plains[0].executions()["hold-1"], 1);
    deployment.shut_down();
}

/// Returns the labels of the state gauges that a process exports.
fn state_gauges(address: std::net::SocketAddr) -> BTreeSet<String> {
    let metrics = Call::new("GET", "/metrics").send(address).body;
    let gauges = metrics.lines();
    let labels = gauges.filter_map(|line| {
        line.strip_prefix("clementinepick_state{of=\"")?
            .split('"')
            .next()
    });
    labels.map(str::to_owned).collect()
}

#[test]
fn the_state_gauges_match_the_metrics_documentation() {
    let page = include_str!("../../docs/METRICS.md");
    let documented = |role: &str| -> BTreeSet<String> {
        let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
        let rows = rows.filter_map(|row| row.split_once("` | "));
        let in_role = rows.filter(|(_, rest)| rest.starts_with(role) || rest.starts_with("both"));
        in_role.map(|(name, _)| name.to_owned()).collect()
    };
    let deployment = Deployment::start(&DeploymentOptions::default());
    let entry = state_gauges(deployment.entries[0].http_address());
    let sidecar = state_gauges(deployment.engine_sidecars[0].http_address());
    deployment.shut_down();
    assert_eq!(entry, documented("entry"));
    assert_eq!(sidecar, documented("sidecar"));
}
