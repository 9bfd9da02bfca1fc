//! Backend servers that can't take a call: what callers are told, and when.

mod common;

use std::collections::BTreeSet;

use clementinepick::ids::{ServiceName, VmId};
use clementinepick::message::BackendLoad;
use clementinepick::platform::CacheEvent;
use clementinepick::prompt::{ChainHash, Prompt, Segment};
use clementinepick::route::{RouteQuery, RouteSettings, Router};
use clementinepick::units::{TimeUs, Tokens};
use common::{World, chat, post};

// All engines are gone. The caller is told within a moment that its call did not run and when to
// come back, although its deadline is minutes away; an answer held back until then would only keep
// it from going elsewhere.
#[test]
fn a_call_without_a_backend_server_is_given_up_at_once() {
    let mut world = World::new(2, 1, 1);
    world.kill("g0");
    world.run_ms(100);
    let asked_us = world.now_us;
    let id = world.call("e0", chat("p", &["hello"]));
    world.run_ms(2_000);
    let answer = world.answer(id);
    assert_eq!(answer.code(), "no_backend");
    assert!(
        answer.at_us - asked_us < 1_500_000,
        "{}",
        answer.at_us - asked_us
    );
    assert!(
        answer
            .failed
            .and_then(|error| error.retry_after_s())
            .is_some()
    );
}

// A backend server that comes back within that moment gets the call, and the caller sees nothing.
#[test]
fn a_backend_server_that_comes_back_in_time_is_waited_for() {
    let mut world = World::new(2, 1, 1);
    world.kill("b0");
    world.run_ms(100);
    let id = world.call("e0", post("p", "/hold", "1"));
    world.run_ms(300);
    assert!(!world.is_answered(id));
    world.start("b0");
    assert_eq!(world.wait(id).code(), "done");
    assert_eq!(world.runs(), ["/hold 1"]);
}

// Every call fails at every backend server, and may be repeated. Its caller hears so; the entry
// sends it elsewhere only as long as the budget of retries lasts, so that the outage does not meet
// three times the load.
#[test]
fn an_outage_raises_no_storm_of_retries() {
    const CALLS: usize = 100;
    let mut world = World::new(1, 3, 0);
    for name in ["g0", "g1", "g2"] {
        world.backend(name).failures = u32::MAX;
    }
    let ids: Vec<_> = (0..CALLS)
        .map(|n| world.call("e0", chat(&format!("p{n}"), &["hello"])))
        .collect();
    for id in ids {
        assert_eq!(world.wait(id).code(), "backend_failed");
    }
    let sent = (0..3).map(|n| u32::MAX - world.backend(&format!("g{n}")).failures);
    let sent: u32 = sent.sum();
    assert!((100..=120).contains(&sent), "{sent} sends of {CALLS} calls");
}

// However many backend servers there are, and also when all of them hold the prefix that a class
// shares, one choice looks at the few that are worth it.
#[test]
fn a_choice_looks_at_a_handful_of_ten_thousand() {
    const MOST: u32 = 9;
    let service: ServiceName = "s".parse().expect("a name");
    let shared = Segment {
        chain: ChainHash(1),
        length_tokens: Tokens(1_500),
    };
    let prompt = Prompt {
        segments: vec![shared],
    };
    let mut router = Router::new(RouteSettings::default());
    for n in 0..10_000_u64 {
        let vm: VmId = format!("vm-{n}").parse().expect("a name");
        router.add(vm.clone(), service.clone(), "z".parse().expect("a name"));
        router.on_cache(&vm, 0, &[CacheEvent::Stored(shared)]);
        let load = BackendLoad {
            waiting_tokens: Tokens(n % 977),
            ..BackendLoad::default()
        };
        router.on_load(TimeUs(n), &vm, load);
    }
    let tried = BTreeSet::new();
    for round in 0..100 {
        let query = RouteQuery {
            service: &service,
            prompt: Some(&prompt),
            last: None,
            tried: &tried,
        };
        let choice = router
            .pick(TimeUs(round), &query)
            .expect("a backend server");
        assert!(choice.candidate_count <= MOST, "{}", choice.candidate_count);
        router.on_sent(&choice.vm, Tokens(400));
    }
}
