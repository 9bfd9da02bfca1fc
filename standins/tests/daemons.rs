//! Daemons as callers meet them: whole and streamed answers, callers that leave or do not read, and
//! processes that leave while calls are under way.

mod cut_path;
mod deployment;

use std::thread;

use clementinepick::units::SpanUs;
use clementinepickd::Ended;
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
    assert!(
        ended,
        "the stream broke off after {} characters",
        text.len()
    );
    assert_eq!(text.len() as u64, tokens * CHARS_PER_TOKEN);
}

fn running(deployment: &Deployment) -> u32 {
    let engines = deployment.servers.engines.iter();
    engines
        .map(|engine| engine.inspect(|engine| engine.load_now().running))
        .sum()
}

#[test]
fn the_streamed_answer_is_the_whole_one_through_either_entry() {
    let deployment = Deployment::start(&Shape::default());
    for entry in &deployment.entries {
        let address = entry.http_address();
        for program in ["plan-1", "plan-2", "plan-3"] {
            let name = format!("{program}-{}", address.port());
            // The text depends on the transcript alone, and this one names the program.
            let whole = Call::chat(&name, 40, false).send(address);
            let stream = Call::chat(&name, 40, true)
                .header("clementinepick-program", &format!("{name}-again"))
                .send(address);
            assert_eq!(streamed_text(&stream), (whole_text(&whole), true));
            let usage = &json(&whole)["usage"];
            assert_eq!(usage["completion_tokens"], 40);
            assert!(usage["prompt_tokens_details"]["cached_tokens"].is_u64());
            assert_eq!(json(&whole)["clementinepick"]["turn"], "committed");
        }
    }
    deployment.end();
}

// The caller closes its connection in the middle of a stream. Nobody will read the rest, so the
// engine is told to stop and its memory is free for others.
#[test]
fn a_caller_that_leaves_stops_its_call() {
    let deployment = Deployment::start(&Shape::default());
    let entry = &deployment.entries[0];
    let streamed = Call::chat("plan-1", 20_000, true).open(entry.http_address());
    wait_for(|| running(&deployment) == 1);
    drop(streamed);
    wait_for(|| running(&deployment) == 0);
    let waiting = Call::chat("plan-2", 20_000, false).open(entry.http_address());
    wait_for(|| running(&deployment) == 1);
    drop(waiting);
    wait_for(|| running(&deployment) == 0);
    deployment.end();
}

// A caller opens a long stream and does not read. What waits for it is bounded; beyond the bound it
// is cut off and its call cancelled, while another caller of the same entry gets its whole answer.
#[test]
fn a_caller_that_does_not_read_is_cut_off_and_stops_nobody() {
    let shape = Shape {
        engine: EngineSettings {
            step_base_us: SpanUs(10),
            step_per_sequence_us: SpanUs(0),
            ..EngineSettings::default()
        },
        limits: Limits {
            answer_parts: 16,
            ..Limits::default()
        },
        ..Shape::default()
    };
    let deployment = Deployment::start(&shape);
    let address = deployment.entries[0].http_address();
    let slow = Call::chat("slow", 150_000, true).open(address);
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
            answer_us: SpanUs::from_s(1),
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
    assert_eq!(entry.join(), Ended::Gracefully);
    assert_eq!(deployment.servers.plains[0].executions()["hold-1"], 1);
    assert_streamed(
        &Call::chat("plan-3", 40, true).send(deployment.entries[0].http_address()),
        40,
    );
    deployment.end();
}

// The sidecars of one engine and of the plain service are told to leave with calls under way. Those
// end where they run; new turns go to the other engine.
#[test]
fn a_sidecar_leaves_after_its_last_call() {
    let shape = Shape {
        plain: PlainSettings {
            answer_us: SpanUs::from_s(1),
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
    assert_eq!(leaving.join(), Ended::Gracefully);
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
            answer_us: SpanUs::from_s(20),
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
    assert_eq!(entry.join(), Ended::Forced);
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
