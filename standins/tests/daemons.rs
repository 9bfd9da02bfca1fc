//! Daemons as callers meet them: whole and streamed answers, callers that leave or do not read, and
//! processes that leave while calls are under way.

mod cut_path;
mod deployment;

use std::collections::BTreeSet;
use std::thread;

use clementinepick::units::{Bytes, SpanUs, Tokens};
use clementinepickd::ShutdownKind;
use clementinepickd::settings::{Limits, ShutdownSettings};
use cut_path::{CutPath, Direction};
use deployment::{Answer, Call, Deployment, Shape, read, state, streamed_text, wait_for};
use serde_json::Value;
use standins::engine::EngineSettings;
use standins::plain_service::PlainSettings;

/// The characters that the stand-in engine generates for a token.
const CHARS_PER_TOKEN: u64 = standins::answer::CHARS_PER_TOKEN;

fn json(answer: &Answer) -> Value {
    serde_json::from_str(&answer.body).unwrap_or_else(|_| panic!("JSON: {answer:?}"))
}

fn whole_text(answer: &Answer) -> String {
    assert_eq!(answer.status, 200, "{answer:?}");
    let text = &json(answer)["choices"][0]["message"]["content"];
    text.as_str().expect("a text").to_owned()
}

/// Checks a streamed answer of `tokens` tokens from its first event to its end line.
fn assert_streamed(answer: &Answer, tokens: u64) {
    let (text, ended) = streamed_text(answer);
    let last = answer.body.trim_end().rsplit("\n\n").next();
    assert!(ended, "the stream broke off: {} {last:?}", answer.status);
    assert_eq!(text.len() as u64, tokens * CHARS_PER_TOKEN);
}

fn running(deployment: &Deployment) -> u32 {
    let engines = deployment.servers.engines.iter();
    engines
        .map(|engine| engine.inspect(|engine| engine.current_load().running))
        .sum()
}

#[test]
fn the_streamed_answer_is_the_whole_one_through_either_entry() {
    let deployment = Deployment::start(&Shape::default());
    for entry in &deployment.entries {
        let address = entry.http_address();
        for program in ["plan-1", "plan-2", "plan-3"] {
            let name = format!("{program}-{}", address.port());
            let whole = Call::chat(&name, 40, false).send(address);
            // The text depends on the transcript alone.
            let prompt = format!("plan a night for {name}");
            let stream = Call::single(&prompt, 40, true).send(address);
            assert_eq!(streamed_text(&stream), (whole_text(&whole), true));
            let usage = &json(&whole)["usage"];
            assert_eq!(usage["completion_tokens"], 40);
            assert!(usage["prompt_tokens_details"]["cached_tokens"].is_u64());
            assert_eq!(json(&whole)["clementinepick"]["turn"], "committed");
        }
    }
    deployment.end();
}

// The caller closes its connection in the middle of a turn that belongs to no program. Nobody can
// ask for the rest, so the engine is told to stop and its memory is free for others.
#[test]
fn a_caller_that_leaves_stops_its_call() {
    let deployment = Deployment::start(&Shape::default());
    let entry = &deployment.entries[0];
    let streamed = Call::single("a plan", 20_000, true).open(entry.http_address());
    wait_for(|| running(&deployment) == 1);
    drop(streamed);
    wait_for(|| running(&deployment) == 0);
    let waiting = Call::single("another", 20_000, false).open(entry.http_address());
    wait_for(|| running(&deployment) == 1);
    drop(waiting);
    wait_for(|| running(&deployment) == 0);
    deployment.end();
}

// A caller opens a long stream and does not read. What waits for it is bounded; beyond the bound it
// is cut off and its turn stopped, while another caller of the same entry gets its whole answer.
#[test]
fn a_caller_that_does_not_read_is_cut_off_and_stops_nobody() {
    let shape = Shape {
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
        ..Shape::default()
    };
    let deployment = Deployment::start(&shape);
    let address = deployment.entries[0].http_address();
    let slow = Call::single("a long plan", 10_000_000, true).open(address);
    wait_for(|| running(&deployment) == 1);
    assert_streamed(&Call::chat("other", 40, true).send(address), 40);
    wait_for(|| running(&deployment) == 0);
    let (_, ended) = streamed_text(&read(slow));
    assert!(!ended, "a part of an answer looks like a whole one");
    let metrics = Call::new("GET", "/metrics").send(address).body;
    assert!(metrics.contains("outcome=\"caller_slow\"} 1"), "{metrics}");
    deployment.end();
}

// An entry is told to leave while a stream is open, a second call of the same program waits for the
// first, and a hold that may not run twice is with its service. All come to their end; new calls
// are refused as not run; then the process ends by itself.
#[test]
fn an_entry_leaves_after_its_last_answer() {
    let shape = Shape {
        plain: PlainSettings {
            response_us: SpanUs::from_s(1),
        },
        ..Shape::default()
    };
    let mut deployment = Deployment::start(&shape);
    let entry = deployment.entries.remove(0);
    let address = entry.http_address();
    let streamed = Call::chat("plan-1", 400, true).open(address);
    wait_for(|| running(&deployment) == 1);
    let queued = Call::chat("plan-1", 40, true).open(address);
    let hold = Call::hold("hold-1").open(address);
    wait_for(|| state(&deployment.plain_sidecar)["running"] == 1);
    entry.shutdown();
    wait_for(|| Call::new("GET", "/readyz").send(address).status == 503);
    wait_for(|| state(&entry)["leaving"] == true);
    let refused = json(&Call::chat("plan-2", 40, false).send(address));
    assert_eq!(refused["error"]["code"], "shutting_down");
    assert_eq!(refused["error"]["not_run"], true);
    assert_streamed(&read(streamed), 400);
    let queued = read(queued);
    // The second call carries no transcript of the first, and is told so rather than cut off.
    assert!(queued.whole, "{queued:?}");
    let hold = read(hold);
    assert_eq!((hold.status, hold.whole), (201, true));
    assert_eq!(entry.join(), ShutdownKind::Graceful);
    assert_eq!(deployment.servers.plains[0].executions()["hold-1"], 1);
    assert_streamed(
        &Call::chat("plan-3", 40, true).send(deployment.entries[0].http_address()),
        40,
    );
    deployment.end();
}

// A caller reads slowly while its entry leaves: the engine is done, but most of the answer still
// waits at the entry. The entry stays until the caller has it all.
#[test]
fn an_entry_leaves_after_a_slow_caller_has_read_its_answer() {
    let shape = Shape {
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
        ..Shape::default()
    };
    let mut deployment = Deployment::start(&shape);
    let entry = deployment.entries.remove(0);
    let tokens = 2_500_000;
    let slow = Call::single("a long plan", tokens, true).open(entry.http_address());
    wait_for(|| running(&deployment) == 1);
    wait_for(|| running(&deployment) == 0);
    entry.shutdown();
    wait_for(|| state(&entry)["leaving"] == true);
    assert!(!entry.is_finished());
    assert_streamed(&read(slow), tokens);
    assert_eq!(entry.join(), ShutdownKind::Graceful);
    deployment.end();
}

// An entry has as many calls as it takes. The next one is refused before it ran, and is taken once
// there is room.
#[test]
fn a_call_over_the_limit_of_streams_is_refused_as_not_run() {
    let shape = Shape {
        limits: Limits {
            streams: 1,
            ..Limits::default()
        },
        ..Shape::default()
    };
    let deployment = Deployment::start(&shape);
    let address = deployment.entries[0].http_address();
    let first = Call::chat("plan-1", 200, true).open(address);
    wait_for(|| running(&deployment) == 1);
    let refused = Call::chat("plan-2", 8, true).send(address);
    assert_eq!(refused.status, 503);
    assert_eq!(json(&refused)["error"]["code"], "overloaded");
    assert_eq!(json(&refused)["error"]["not_run"], true);
    assert_streamed(&read(first), 200);
    wait_for(|| Call::chat("plan-2", 8, true).send(address).status == 200);
    deployment.end();
}

// The sidecars of one engine and of the plain service are told to leave with calls under way. Those
// end where they run; new turns go to the other engine.
#[test]
fn a_sidecar_leaves_after_its_last_call() {
    let shape = Shape {
        plain: PlainSettings {
            response_us: SpanUs::from_s(1),
        },
        ..Shape::default()
    };
    let mut deployment = Deployment::start(&shape);
    let address = deployment.entries[0].http_address();
    let streams: Vec<_> = (0..4)
        .map(|n| Call::chat(&format!("plan-{n}"), 400, true).open(address))
        .collect();
    wait_for(|| running(&deployment) == 4);
    let hold = Call::hold("hold-1").open(address);
    wait_for(|| state(&deployment.plain_sidecar)["running"] == 1);
    let leaving = deployment.engine_sidecars.remove(0);
    leaving.shutdown();
    deployment.plain_sidecar.shutdown();
    for n in 10..20 {
        assert_streamed(&Call::chat(&format!("plan-{n}"), 8, true).send(address), 8);
    }
    for stream in streams {
        assert_streamed(&read(stream), 400);
    }
    assert_eq!(read(hold).status, 201);
    assert_eq!(leaving.join(), ShutdownKind::Graceful);
    wait_for(|| deployment.plain_sidecar.is_finished());
    assert_eq!(deployment.servers.plains[0].executions()["hold-1"], 1);
    deployment.end();
}

// The shutdown limit passes while a turn and a hold run. Each caller is told what is true: the turn
// ran in part and may be sent again; nobody here will learn what became of the hold.
#[test]
fn a_forced_end_answers_what_is_unfinished_truthfully() {
    let shape = Shape {
        plain: PlainSettings {
            response_us: SpanUs::from_s(20),
        },
        shutdown: ShutdownSettings {
            limit_us: SpanUs::from_ms(500),
            ..Shape::default().shutdown
        },
        ..Shape::default()
    };
    let mut deployment = Deployment::start(&shape);
    let entry = deployment.entries.remove(0);
    let address = entry.http_address();
    let turn = Call::chat("plan-1", 20_000, false).open(address);
    let stream = Call::chat("plan-2", 20_000, true).open(address);
    let hold = Call::hold("hold-1").open(address);
    wait_for(|| running(&deployment) == 2);
    wait_for(|| state(&deployment.plain_sidecar)["running"] == 1);
    let answers = thread::spawn(move || (read(turn), read(stream), read(hold)));
    entry.shutdown();
    assert_eq!(entry.join(), ShutdownKind::Forced);
    let (turn, stream, hold) = answers.join().expect("answers");
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
    deployment.end();
}

// The paths from the entries to one sidecar, and from another sidecar to the entries, are cut in
// one direction: what is sent still seems to arrive. Each end closes a link on which it hears
// nothing, so the other learns of it; both connect anew and calls go through again.
#[test]
fn a_link_cut_in_one_direction_is_closed_and_opened_anew() {
    let deployment = Deployment::start(&Shape::default());
    let directions = [Direction::ToSidecar, Direction::ToEntry];
    let paths: Vec<CutPath> = deployment
        .engine_sidecars
        .iter()
        .map(|sidecar| CutPath::to(sidecar.link_address()))
        .collect();
    for (n, path) in paths.iter().enumerate() {
        deployment.reach_sidecar_by(n, path.address());
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
    deployment.end();
}

// A caller lost its connection after the answer came, or wants only the rest. It asks for the call
// by its place in the program, through the other entry, and gets the same text.
#[test]
fn an_earlier_answer_is_fetched_whole_in_part_or_as_a_stream() {
    let deployment = Deployment::start(&Shape::default());
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
    deployment.end();
}

// A caller's connection breaks while its hold runs. The hold can't be undone, so it goes on, once;
// the caller comes back and learns how it ended.
#[test]
fn the_outcome_of_a_hold_whose_caller_left_is_fetched_later() {
    let shape = Shape {
        plain: PlainSettings {
            response_us: SpanUs::from_ms(300),
        },
        ..Shape::default()
    };
    let deployment = Deployment::start(&shape);
    let address = deployment.entries[0].http_address();
    let hold = Call::hold("hold-1").open(address);
    wait_for(|| state(&deployment.plain_sidecar)["running"] == 1);
    drop(hold);
    let fetch = Call::new("GET", "/v1/programs/hold-1/calls/0");
    wait_for(|| fetch.send(address).status == 201);
    assert_eq!(json(&fetch.send(address))["hold"], "hold-1");
    assert_eq!(deployment.servers.plains[0].executions()["hold-1"], 1);
    deployment.end();
}

/// The parts of the state that a process counts.
fn counted(address: std::net::SocketAddr) -> BTreeSet<String> {
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
fn every_part_of_the_state_stands_on_the_page_of_metrics_and_the_reverse() {
    let page = include_str!("../../docs/METRICS.md");
    let documented = |role: &str| -> BTreeSet<String> {
        let rows = page.lines().filter_map(|line| line.strip_prefix("| `"));
        let rows = rows.filter_map(|row| row.split_once("` | "));
        let in_role = rows.filter(|(_, rest)| rest.starts_with(role) || rest.starts_with("both"));
        in_role.map(|(name, _)| name.to_owned()).collect()
    };
    let deployment = Deployment::start(&Shape::default());
    let entry = counted(deployment.entries[0].http_address());
    let sidecar = counted(deployment.engine_sidecars[0].http_address());
    deployment.end();
    assert_eq!(entry, documented("entry"));
    assert_eq!(sidecar, documented("sidecar"));
}
