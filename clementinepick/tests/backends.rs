//! Tests calls that no backend server accepts, and the bounds on retries and on the candidates of a
//! routing choice.

mod common;

use std::collections::BTreeSet;

use clementinepick::ids::{ServiceName, VmId};
use clementinepick::message::BackendLoad;
use clementinepick::platform::CacheEvent;
use clementinepick::prompt::{ChainHash, Prompt, Segment};
use clementinepick::route::{RouteQuery, RouteSettings, Router};
use clementinepick::units::{TimeUs, Tokens};
use common::{World, chat, post};

// Without a backend server a call must not wait for its deadline, minutes away: the caller has to
// learn soon that the call didn't run and when to retry.
#[test]
fn call_without_a_backend_server_is_refused_promptly() {
    let mut world = World::new(2, 1, 1);
    world.kill("g0");
    world.run_ms(100);
    let sent_us = world.now_us;
    let id = world.call("e0", chat("p", &["hello"]));
    world.run_ms(2_000);
    let answer = world.answer(id);
    assert_eq!(answer.code(), "no_backend");
    assert!(
        answer.at_us - sent_us < 1_500_000,
        "{}",
        answer.at_us - sent_us
    );
    assert!(
        answer
            .failed
            .and_then(|error| error.retry_after_s())
            .is_some()
    );
}

// A restart of the only backend server that is shorter than that wait must not fail the call.
#[test]
fn call_waits_for_a_restarting_backend_server() {
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

// All backend servers fail calls that may be repeated. The retry budget must keep the entry from
// multiplying the load by sending every call to each of them.
#[test]
fn retry_budget_limits_retries_in_an_outage() {
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

// The cost of a choice must not grow with the number of backend servers, even if all of them have
// a common prefix in the cache.
#[test]
fn choice_among_ten_thousand_servers_examines_few_candidates() {
    const MAX_CANDIDATES: u32 = 9;
    let service: ServiceName = "s".parse().expect("valid name");
    let shared = Segment {
        chain: ChainHash(1),
        length_tokens: Tokens(1_500),
    };
    let prompt = Prompt {
        segments: vec![shared],
    };
    let mut router = Router::new(RouteSettings::default());
    for n in 0..10_000_u64 {
        let vm: VmId = format!("vm-{n}").parse().expect("valid name");
        router.add(
            vm.clone(),
            service.clone(),
            "z".parse().expect("valid name"),
        );
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
            .expect("available backend server");
        assert!(
            choice.candidate_count <= MAX_CANDIDATES,
            "{}",
            choice.candidate_count
        );
        router.on_sent(&choice.vm, Tokens(400));
    }
}
