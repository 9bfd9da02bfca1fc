//! The model engine's core in virtual time.

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

/// One sequence's lines, put together.
#[derive(Debug, Default, PartialEq)]
struct Answer {
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

/// Runs the engine until nothing happens by itself.
fn drain(engine: &mut Engine) -> BTreeMap<AttemptId, Answer> {
    let mut answers: BTreeMap<AttemptId, Answer> = BTreeMap::new();
    while let Some(at) = engine.next_event_at() {
        for (attempt, line) in engine.advance(at) {
            let answer = answers.entry(attempt).or_default();
            match line {
                GenerateLine::Text { position, text, .. } => {
                    assert_eq!(position, answer.text.len() as u64);
                    answer.text += &text;
                }
                GenerateLine::Done {
                    usage,
                    finish,
                    cached,
                } => {
                    answer.usage = usage;
                    answer.finish = Some(finish);
                    answer.cached = cached;
                    answer.ended_us = at;
                }
                GenerateLine::Failed { detail } => panic!("{detail}"),
            }
        }
    }
    answers
}

#[test]
fn an_answer_is_the_function_of_its_prompt() {
    let mut engine = Engine::new(EngineSettings::default());
    let bodies: Vec<_> = (0..40_u64)
        .map(|n| body(u128::from(n), &[user(&format!("question {n}"))], 10 + n))
        .collect();
    for (at, body) in bodies.iter().enumerate() {
        engine
            .submit(TimeUs(at as u64 * 1_000), body.clone())
            .expect("up");
    }
    let answers = drain(&mut engine);
    assert_eq!(answers.len(), bodies.len());
    for (at, body) in bodies.iter().enumerate() {
        let expected = answer_text(body.prompt.chain(), Tokens(10 + at as u64));
        assert_eq!(answers[&body.attempt].text, expected);
    }
    assert_eq!(engine.load_now().running, 0);
}

#[test]
fn the_same_inputs_give_the_same_lines_at_the_same_times() {
    let run = || {
        let mut engine = Engine::new(EngineSettings {
            event_loss: Percent::new(20).expect("a share"),
            seed: 7,
            ..EngineSettings::default()
        });
        for n in 0..20_u64 {
            let question = user(&format!("question {n}"));
            let body = body(u128::from(n), &[question], 5 + n);
            engine.submit(TimeUs(n * 700), body).expect("up");
        }
        (drain(&mut engine), engine.cache_events(TimeUs(u64::MAX), 0))
    };
    assert_eq!(run(), run());
}

#[test]
fn the_next_turn_reuses_prompt_and_answer() {
    let mut engine = Engine::new(EngineSettings::default());
    let mut messages = vec![long("be kind ", 400), user("one")];
    engine
        .submit(TimeUs(0), body(1, &messages, 30))
        .expect("up");
    let first = drain(&mut engine).remove(&AttemptId(1)).expect("an answer");
    assert_eq!(first.usage.cached_tokens, Tokens(0));

    messages.push(ChatMessage::new("assistant", &first.text));
    let reusable = Prompt::of_messages(&messages).length_tokens();
    messages.push(user("two"));
    engine
        .submit(first.ended_us, body(2, &messages, 30))
        .expect("up");
    let second = drain(&mut engine).remove(&AttemptId(2)).expect("an answer");
    assert_eq!(second.usage.cached_tokens, reusable);
    let spent = |answer: &Answer, from: TimeUs| answer.ended_us.since(from).0;
    assert!(spent(&second, first.ended_us) < spent(&first, TimeUs(0)));
}

#[test]
fn a_larger_batch_makes_each_step_longer_but_the_whole_shorter() {
    let ends = |count: u128| {
        let mut engine = Engine::new(EngineSettings::default());
        for n in 0..count {
            let question = user(&format!("question {n}"));
            engine
                .submit(TimeUs(0), body(n, &[question], 100))
                .expect("up");
        }
        let answers = drain(&mut engine);
        answers.values().map(|a| a.ended_us.0).max().expect("some")
    };
    let (one, sixteen) = (ends(1), ends(16));
    assert!(one < sixteen, "{one} {sixteen}");
    assert!(sixteen < 4 * one, "{one} {sixteen}");
}

#[test]
fn the_least_recently_used_prefix_makes_room_and_a_used_one_stays() {
    let mut engine = Engine::new(EngineSettings {
        cache_size_tokens: Tokens(900),
        ..EngineSettings::default()
    });
    let prompts = ["aaaa", "bbbb", "cccc"].map(|text| [long(text, 300)]);
    for (n, prompt) in prompts.iter().enumerate() {
        let at = TimeUs(n as u64 * 10_000_000);
        engine.submit(at, body(n as u128, prompt, 20)).expect("up");
        drain(&mut engine);
    }
    assert!(engine.load_now().cache_used_tokens <= Tokens(900));
    let kept = |n: usize| {
        let chain = Prompt::of_messages(&prompts[n]).chain();
        !engine.export(chain).segments.is_empty()
    };
    assert_eq!([kept(0), kept(1), kept(2)], [false, true, true]);
}

#[test]
fn a_release_frees_all_but_what_others_share() {
    let mut engine = Engine::new(EngineSettings::default());
    let shared = long("be kind ", 100);
    for n in 0..2_u128 {
        let messages = [shared.clone(), user(&format!("question {n}"))];
        engine
            .submit(TimeUs(0), body(n, &messages, 20))
            .expect("up");
    }
    let answers = drain(&mut engine);
    let chains = |n: u128| -> Vec<ChainHash> {
        let cached = &answers[&AttemptId(n)].cached;
        cached.iter().map(|segment| segment.chain).collect()
    };
    let now = TimeUs(60_000_000);
    engine.release(now, &chains(0));
    assert_eq!(engine.export(chains(1)[0]).segments.len(), 1);
    assert!(engine.export(chains(0)[1]).segments.is_empty());
    engine.release(now, &chains(1));
    assert_eq!(engine.load_now().cache_used_tokens, Tokens(0));
}

/// The caller sees its answer go on without a hole after a cut link. The sidecar asks again from
/// the position it has; the engine sends what was generated since, then the rest as it comes.
#[test]
fn a_resumed_stream_goes_on_where_it_was_cut() {
    let mut engine = Engine::new(EngineSettings::default());
    let body = body(1, &[user("question")], 100);
    let chain = body.prompt.chain();
    engine.submit(TimeUs(0), body).expect("up");
    let before = engine.advance(TimeUs(400_000));
    assert!(!before.is_empty());
    let mut text = answer_text(chain, Tokens(2))[..7].to_owned();
    for line in engine.resume(AttemptId(1), 7).expect("known") {
        if let GenerateLine::Text {
            position,
            text: more,
            ..
        } = line
        {
            assert_eq!(position, text.len() as u64);
            text += &more;
        }
    }
    while let Some(at) = engine.next_event_at() {
        for (_, line) in engine.advance(at) {
            if let GenerateLine::Text {
                position,
                text: more,
                ..
            } = line
            {
                assert_eq!(position, text.len() as u64);
                text += &more;
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
fn cancelled_attempts_leave_the_batch_and_give_their_memory_back() {
    let mut engine = Engine::new(EngineSettings {
        max_running: 2,
        ..EngineSettings::default()
    });
    for n in 0..4_u128 {
        let question = user(&format!("question {n}"));
        engine
            .submit(TimeUs(0), body(n, &[question], 50))
            .expect("up");
    }
    engine.advance(TimeUs(100_000));
    assert_eq!(
        (engine.load_now().running, engine.load_now().waiting),
        (2, 2)
    );
    for n in [0, 3] {
        engine.cancel(TimeUs(100_000), AttemptId(n));
    }
    assert_eq!(
        (engine.load_now().running, engine.load_now().waiting),
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

/// An order of a decider that was deposed arrives after its successor's. An engine that checks
/// fencing numbers refuses it; one that does not carries it out, which is why the sidecar checks.
#[test]
fn only_engines_that_check_refuse_an_old_fencing_number() {
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
            .expect("the first");
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
fn a_load_waits_for_the_weight_store_and_drops_the_old_versions_cache() {
    let mut engine = Engine::new(EngineSettings::default());
    engine
        .submit(TimeUs(0), body(1, &[user("question")], 10))
        .expect("up");
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
    engine.order(now, order.clone()).expect("new");
    assert!(engine.weights_wanted(now).is_some());
    assert!(engine.weights_wanted(now).is_none());
    engine.weights_answer(now, Err(SpanUs(500)));
    assert!(engine.weights_wanted(now).is_none());
    assert!(engine.weights_wanted(TimeUs(1_000_500)).is_some());
    engine.weights_answer(TimeUs(1_000_500), Ok(SpanUs(100)));
    engine.advance(TimeUs(1_000_600));
    assert_eq!(engine.state().busy, None);
    assert_eq!(engine.state().models.len(), 1);
    assert_eq!(engine.load_now().cache_used_tokens, Tokens(0));
    let again = engine.order(TimeUs(1_000_600), order).expect("seen");
    assert_eq!(again.busy, None);
}

#[test]
fn events_come_late_and_a_gap_shows_in_their_numbers() {
    let mut engine = Engine::new(EngineSettings {
        event_loss: Percent::new(30).expect("a share"),
        seed: 3,
        ..EngineSettings::default()
    });
    for n in 0..50_u128 {
        let question = user(&format!("question {n}"));
        engine
            .submit(TimeUs(0), body(n, &[question], 1))
            .expect("up");
    }
    engine.advance(TimeUs(1));
    assert!(engine.cache_events(TimeUs(1), 0).events.is_empty());
    drain(&mut engine);
    let late = TimeUs(3_600_000_000);
    let (mut next, mut gaps, mut stored) = (0, 0, 0);
    loop {
        let answer = engine.cache_events(late, next);
        if answer.events.is_empty() {
            break;
        }
        gaps += u32::from(answer.first > next);
        let is_stored = |event: &&CacheEvent| matches!(event, CacheEvent::Stored(_));
        stored += answer.events.iter().filter(is_stored).count();
        next = answer.first + answer.events.len() as u64;
    }
    assert!(gaps > 0);
    assert!((1..100).contains(&stored), "{stored}");
}

#[test]
fn a_crash_cuts_all_off_and_a_hang_only_delays() {
    let mut engine = Engine::new(EngineSettings::default());
    engine
        .submit(TimeUs(0), body(1, &[user("question")], 100))
        .expect("up");
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
    engine.submit(TimeUs(6_000_000), again).expect("up");
    let answer = drain(&mut engine).remove(&AttemptId(2)).expect("an answer");
    assert_eq!(answer.usage.cached_tokens, Tokens(0));
    assert!(answer.ended_us > TimeUs(6_000_000));
}

#[test]
fn a_slower_engine_takes_longer_and_says_the_same() {
    let run = |speed: u8| {
        let mut engine = Engine::new(EngineSettings::default());
        engine.set_speed(TimeUs(0), Percent::new(speed).expect("a share"));
        engine
            .submit(TimeUs(0), body(1, &[user("question")], 100))
            .expect("up");
        drain(&mut engine).remove(&AttemptId(1)).expect("an answer")
    };
    let (whole, half) = (run(100), run(50));
    assert_eq!(whole.text, half.text);
    assert!(half.ended_us.0 * 10 > whole.ended_us.0 * 18);
}
