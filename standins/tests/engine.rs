//! Tests the core of the stand-in engine in virtual time.

use std::collections::BTreeMap;

use clementinepick::call::{ChatMessage, FinishReason, Usage};
use clementinepick::ids::{AttemptId, FencingNumber, OrderId};
use clementinepick::platform::{
    CacheEvent, EngineOrder, EngineRole, GenerateBody, GenerateLine, OrderBody,
};
use clementinepick::prompt::{ChainHash, Prompt, Segment};
use clementinepick::units::{Percent, SpanUs, TimeUs, Tokens};
use serde_json::json;
use standins::answer::{OUTPUT_TOKENS_FIELD, answer_text};
use standins::engine::{Engine, EngineError, EngineSettings};
use standins::engine_orders::OrderError;

/// The lines of one sequence, joined.
#[derive(Debug, Default, PartialEq)]
struct Output {
    text: String,
    usage: Usage,
    finish: Option<FinishReason>,
    cached: Vec<Segment>,
    ended_us: TimeUs,
}

fn body(attempt: u128, messages: &[ChatMessage], wanted: u64) -> GenerateBody {
    GenerateBody {
        attempt: AttemptId(attempt),
        program: "p".parse().expect("a name"),
        model: "m".parse().expect("a name"),
        messages: messages.to_vec(),
        prompt: Prompt::of_messages(messages),
        max_output_tokens: Tokens(1_000),
        extra: BTreeMap::from([(OUTPUT_TOKENS_FIELD.to_owned(), json!(wanted))]),
    }
}

fn user(text: &str) -> ChatMessage {
    ChatMessage::new("user", text)
}

fn long(text: &str, tokens: usize) -> ChatMessage {
    ChatMessage::new("system", &text.repeat(tokens * 4 / text.len()))
}

/// Advances the engine until no event is pending; returns the output of each attempt.
fn drain(engine: &mut Engine) -> BTreeMap<AttemptId, Output> {
    let mut outputs: BTreeMap<AttemptId, Output> = BTreeMap::new();
    while let Some(at) = engine.next_event_at() {
        for (attempt, line) in engine.advance(at) {
            let output = outputs.entry(attempt).or_default();
            match line {
                GenerateLine::Text { position, text, .. } => {
                    assert_eq!(position, output.text.len() as u64);
                    output.text += &text;
                }
                GenerateLine::Done {
                    usage,
                    finish,
                    cached,
                } => {
                    output.usage = usage;
                    output.finish = Some(finish);
                    output.cached = cached;
                    output.ended_us = at;
                }
                GenerateLine::Failed { detail } => panic!("{detail}"),
            }
        }
    }
    outputs
}

#[test]
fn an_output_depends_only_on_its_prompt() {
    let mut engine = Engine::new(EngineSettings::default());
    let bodies: Vec<_> = (0..40_u64)
        .map(|n| body(u128::from(n), &[user(&format!("question {n}"))], 10 + n))
        .collect();
    for (at, body) in bodies.iter().enumerate() {
        engine
            .submit(TimeUs(at as u64 * 1_000), body.clone())
            .expect("the engine is available");
    }
    let outputs = drain(&mut engine);
    assert_eq!(outputs.len(), bodies.len());
    for (at, body) in bodies.iter().enumerate() {
        let expected = answer_text(body.prompt.chain(), Tokens(10 + at as u64));
        assert_eq!(outputs[&body.attempt].text, expected);
    }
    assert_eq!(engine.current_load().running, 0);
}

#[test]
fn the_same_inputs_give_the_same_lines_at_the_same_times() {
    let run = || {
        let mut engine = Engine::new(EngineSettings {
            event_loss: Percent::new(20).expect("a percentage"),
            seed: 7,
            ..EngineSettings::default()
        });
        for n in 0..20_u64 {
            let question = user(&format!("question {n}"));
            let body = body(u128::from(n), &[question], 5 + n);
            engine
                .submit(TimeUs(n * 700), body)
                .expect("the engine is available");
        }
        (drain(&mut engine), engine.cache_events(TimeUs(u64::MAX), 0))
    };
    assert_eq!(run(), run());
}

#[test]
fn the_next_turn_reuses_the_cached_prompt_and_output() {
    let mut engine = Engine::new(EngineSettings::default());
    let mut messages = vec![long("be kind ", 400), user("one")];
    engine
        .submit(TimeUs(0), body(1, &messages, 30))
        .expect("the engine is available");
    let first = drain(&mut engine).remove(&AttemptId(1)).expect("an output");
    assert_eq!(first.usage.cached_tokens, Tokens(0));

    messages.push(ChatMessage::new("assistant", &first.text));
    let reusable = Prompt::of_messages(&messages).length_tokens();
    messages.push(user("two"));
    engine
        .submit(first.ended_us, body(2, &messages, 30))
        .expect("the engine is available");
    let second = drain(&mut engine).remove(&AttemptId(2)).expect("an output");
    assert_eq!(second.usage.cached_tokens, reusable);
    let elapsed_us = |output: &Output, from: TimeUs| output.ended_us.since(from).0;
    assert!(elapsed_us(&second, first.ended_us) < elapsed_us(&first, TimeUs(0)));
}

#[test]
fn a_larger_batch_has_longer_steps_and_higher_throughput() {
    let ends = |count: u128| {
        let mut engine = Engine::new(EngineSettings::default());
        for n in 0..count {
            let question = user(&format!("question {n}"));
            engine
                .submit(TimeUs(0), body(n, &[question], 100))
                .expect("the engine is available");
        }
        let outputs = drain(&mut engine);
        outputs
            .values()
            .map(|a| a.ended_us.0)
            .max()
            .expect("at least one output")
    };
    let (one, sixteen) = (ends(1), ends(16));
    assert!(one < sixteen, "{one} {sixteen}");
    assert!(sixteen < 4 * one, "{one} {sixteen}");
}

#[test]
fn the_least_recently_used_prefix_is_evicted() {
    let mut engine = Engine::new(EngineSettings {
        cache_size_tokens: Tokens(900),
        ..EngineSettings::default()
    });
    let prompts = ["aaaa", "bbbb", "cccc"].map(|text| [long(text, 300)]);
    for (n, prompt) in prompts.iter().enumerate() {
        let at = TimeUs(n as u64 * 10_000_000);
        engine
            .submit(at, body(n as u128, prompt, 20))
            .expect("the engine is available");
        drain(&mut engine);
    }
    assert!(engine.current_load().cache_used_tokens <= Tokens(900));
    let is_cached = |n: usize| {
        let chain = Prompt::of_messages(&prompts[n]).chain();
        !engine.export(chain).segments.is_empty()
    };
    assert_eq!(
        [is_cached(0), is_cached(1), is_cached(2)],
        [false, true, true]
    );
}

#[test]
fn a_release_frees_all_but_shared_segments() {
    let mut engine = Engine::new(EngineSettings::default());
    let shared = long("be kind ", 100);
    for n in 0..2_u128 {
        let messages = [shared.clone(), user(&format!("question {n}"))];
        engine
            .submit(TimeUs(0), body(n, &messages, 20))
            .expect("the engine is available");
    }
    let outputs = drain(&mut engine);
    let chains = |n: u128| -> Vec<ChainHash> {
        let cached = &outputs[&AttemptId(n)].cached;
        cached.iter().map(|segment| segment.chain).collect()
    };
    let now = TimeUs(60_000_000);
    engine.release(now, &chains(0));
    assert_eq!(engine.export(chains(1)[0]).segments.len(), 1);
    assert!(engine.export(chains(0)[1]).segments.is_empty());
    engine.release(now, &chains(1));
    assert_eq!(engine.current_load().cache_used_tokens, Tokens(0));
}

/// After a link failure the sidecar resumes from the position it has; the engine sends what was
/// generated since, then the rest, without a gap.
#[test]
fn a_resumed_stream_continues_from_the_requested_position() {
    let mut engine = Engine::new(EngineSettings::default());
    let body = body(1, &[user("question")], 100);
    let chain = body.prompt.chain();
    engine
        .submit(TimeUs(0), body)
        .expect("the engine is available");
    let before = engine.advance(TimeUs(400_000));
    assert!(!before.is_empty());
    let mut text = answer_text(chain, Tokens(2))[..7].to_owned();
    for line in engine.resume(AttemptId(1), 7).expect("a known attempt") {
        if let GenerateLine::Text {
            position,
            text: chunk,
            ..
        } = line
        {
            assert_eq!(position, text.len() as u64);
            text += &chunk;
        }
    }
    while let Some(at) = engine.next_event_at() {
        for (_, line) in engine.advance(at) {
            if let GenerateLine::Text {
                position,
                text: chunk,
                ..
            } = line
            {
                assert_eq!(position, text.len() as u64);
                text += &chunk;
            }
        }
    }
    assert_eq!(text, answer_text(chain, Tokens(100)));
    assert_eq!(
        engine.resume(AttemptId(1), 400).map(|lines| lines.len()),
        Ok(1)
    );
    assert_eq!(
        engine.resume(AttemptId(2), 0),
        Err(EngineError::UnknownAttempt)
    );
}

#[test]
fn cancelled_attempts_leave_the_batch_and_the_queue() {
    let mut engine = Engine::new(EngineSettings {
        max_running: 2,
        ..EngineSettings::default()
    });
    for n in 0..4_u128 {
        let question = user(&format!("question {n}"));
        engine
            .submit(TimeUs(0), body(n, &[question], 50))
            .expect("the engine is available");
    }
    engine.advance(TimeUs(100_000));
    assert_eq!(
        (engine.current_load().running, engine.current_load().waiting),
        (2, 2)
    );
    for n in [0, 3] {
        engine.cancel(TimeUs(100_000), AttemptId(n));
    }
    assert_eq!(
        (engine.current_load().running, engine.current_load().waiting),
        (2, 0)
    );
    let mut ended = Vec::new();
    while let Some(at) = engine.next_event_at() {
        let lines = engine.advance(at).into_iter();
        let done = lines.filter(|(_, line)| matches!(line, GenerateLine::Done { .. }));
        ended.extend(done.map(|(attempt, _)| attempt.0));
    }
    assert_eq!(ended, [1, 2]);
}

/// An order of a deposed decider may arrive after one of its successor. An engine without fencing
/// carries it out, which is why the sidecar checks the fencing number as well.
#[test]
fn only_engines_that_check_fencing_refuse_an_old_fencing_number() {
    let order = |id, fencing, role| OrderBody {
        id: OrderId(id),
        fencing: FencingNumber(fencing),
        order: EngineOrder::SetRole { role },
    };
    for checks_fencing in [true, false] {
        let mut engine = Engine::new(EngineSettings {
            checks_fencing,
            ..EngineSettings::default()
        });
        let now = TimeUs(0);
        engine
            .order(now, order(1, 20, EngineRole::Decode))
            .expect("the first order is accepted");
        let late = engine.order(now, order(2, 10, EngineRole::Prefill));
        engine.advance(TimeUs(1_000_000));
        if checks_fencing {
            assert_eq!(late, Err(OrderError::Fenced(FencingNumber(20))));
            assert_eq!(engine.state().role, EngineRole::Decode);
        } else {
            assert_eq!(engine.state().role, EngineRole::Prefill);
            assert_eq!(engine.state().fencing, None);
        }
    }
}

#[test]
fn a_model_load_waits_for_the_weight_store_and_clears_the_cache() {
    let mut engine = Engine::new(EngineSettings::default());
    engine
        .submit(TimeUs(0), body(1, &[user("question")], 10))
        .expect("the engine is available");
    drain(&mut engine);
    let order = OrderBody {
        id: OrderId(1),
        fencing: FencingNumber(1),
        order: EngineOrder::LoadModel {
            model: "m".parse().expect("a name"),
            version: "2".parse().expect("a name"),
        },
    };
    let now = TimeUs(1_000_000);
    engine
        .order(now, order.clone())
        .expect("a new order is accepted");
    assert!(engine.take_weight_request(now).is_some());
    assert!(engine.take_weight_request(now).is_none());
    engine.complete_weight_fetch(now, Err(SpanUs(500)));
    assert!(engine.take_weight_request(now).is_none());
    assert!(engine.take_weight_request(TimeUs(1_000_500)).is_some());
    engine.complete_weight_fetch(TimeUs(1_000_500), Ok(SpanUs(100)));
    engine.advance(TimeUs(1_000_600));
    assert_eq!(engine.state().busy, None);
    assert_eq!(engine.state().models.len(), 1);
    assert_eq!(engine.current_load().cache_used_tokens, Tokens(0));
    let again = engine
        .order(TimeUs(1_000_600), order)
        .expect("a repeated order is accepted");
    assert_eq!(again.busy, None);
}

#[test]
fn cache_events_are_delayed_and_losses_leave_gaps_in_their_numbers() {
    let mut engine = Engine::new(EngineSettings {
        event_loss: Percent::new(30).expect("a percentage"),
        seed: 3,
        ..EngineSettings::default()
    });
    for n in 0..50_u128 {
        let question = user(&format!("question {n}"));
        engine
            .submit(TimeUs(0), body(n, &[question], 1))
            .expect("the engine is available");
    }
    engine.advance(TimeUs(1));
    assert!(engine.cache_events(TimeUs(1), 0).events.is_empty());
    drain(&mut engine);
    let late = TimeUs(3_600_000_000);
    let (mut next, mut gaps, mut stored) = (0, 0, 0);
    loop {
        let page = engine.cache_events(late, next);
        if page.events.is_empty() {
            break;
        }
        gaps += u32::from(page.first > next);
        let is_stored = |event: &&CacheEvent| matches!(event, CacheEvent::Stored(_));
        stored += page.events.iter().filter(is_stored).count();
        next = page.first + page.events.len() as u64;
    }
    assert!(gaps > 0);
    assert!((1..100).contains(&stored), "{stored}");
}

#[test]
fn a_crash_aborts_all_attempts_and_a_hang_delays_them() {
    let mut engine = Engine::new(EngineSettings::default());
    engine
        .submit(TimeUs(0), body(1, &[user("question")], 100))
        .expect("the engine is available");
    engine.advance(TimeUs(200_000));
    engine.hang(TimeUs(200_000), SpanUs::from_s(5));
    assert!(engine.advance(TimeUs(5_000_000)).is_empty());
    let cut = engine.crash(TimeUs(5_300_000));
    assert_eq!(cut, [AttemptId(1)]);
    let again = body(2, &[user("question")], 10);
    assert_eq!(
        engine.submit(TimeUs(5_300_000), again.clone()),
        Err(EngineError::Down)
    );
    engine.restart(TimeUs(6_000_000));
    engine
        .submit(TimeUs(6_000_000), again)
        .expect("the engine is available");
    let output = drain(&mut engine).remove(&AttemptId(2)).expect("an output");
    assert_eq!(output.usage.cached_tokens, Tokens(0));
    assert!(output.ended_us > TimeUs(6_000_000));
}

#[test]
fn a_slower_engine_takes_longer_and_generates_the_same_text() {
    let run = |speed: u8| {
        let mut engine = Engine::new(EngineSettings::default());
        engine.set_speed(TimeUs(0), Percent::new(speed).expect("a percentage"));
        engine
            .submit(TimeUs(0), body(1, &[user("question")], 100))
            .expect("the engine is available");
        drain(&mut engine).remove(&AttemptId(1)).expect("an output")
    };
    let (whole, half) = (run(100), run(50));
    assert_eq!(whole.text, half.text);
    assert!(half.ended_us.0 * 10 > whole.ended_us.0 * 18);
}
