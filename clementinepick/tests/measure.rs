//! What the safeguards cost, in virtual time; run with `--nocapture` to see the figures.
//!
//! The bounds are those of the design, so that a change that makes them worse is noticed.

mod common;

use clementinepick::call::Request;
use clementinepick::ids::RequestId;
use clementinepick::units::Tokens;
use common::{World, chat, post};

/// The time that a backend server takes for a call here.
const BACKEND_US: u64 = 20_000;

fn mean_latency_us(world: &mut World, name: &str, path: &str, calls: u64) -> u64 {
    let mut total_us = 0;
    for n in 0..calls {
        let id = world.call("e0", post(name, path, &n.to_string()));
        let asked_us = world.now_us;
        total_us += world.wait(id).at_us - asked_us;
        world.run_ms(7);
    }
    total_us / calls
}

// The claim waits for one append and the read that shows it; the outcome's record waits for another
// pair before the answer goes out, at most the commit wait.
#[test]
fn added_latency_of_the_claim_against_append_latency() {
    println!("append ms | idempotent ms | not idempotent ms | added ms");
    for append_ms in [2, 5, 10, 20, 50, 100] {
        let mut world = World::new(2, 1, 1);
        let name = world.program_owned_by("e0", "p");
        world.log.append_us = append_ms * 1_000;
        mean_latency_us(&mut world, &name, "/check", 1);
        let plain_us = mean_latency_us(&mut world, &name, "/check", 10);
        let claimed_us = mean_latency_us(&mut world, &name, "/hold", 10);
        let added_us = claimed_us - plain_us;
        println!(
            "{append_ms} | {:.1} | {:.1} | {:.1}",
            ms(plain_us),
            ms(claimed_us),
            ms(added_us)
        );
        // Slices of three calls are set aside ahead; an append slower than three calls is felt.
        let bound_us = BACKEND_US + 5_000 + append_ms * 250;
        assert!(plain_us <= bound_us, "idempotent calls: {plain_us} us");
        let bound_us = 2 * (append_ms * 1_000 + 20_000);
        assert!(added_us <= bound_us, "{added_us} us added");
    }
}

#[expect(clippy::cast_precision_loss, reason = "figures for people")]
fn ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}

// Group commit: while one append is in flight, all that waits goes into the next.
#[test]
fn appends_against_calls() {
    println!("calls/s | appends/s | records/s");
    for rate in [10, 50, 200, 500] {
        let mut world = World::new(1, 1, 1);
        let programs = 50;
        for n in 0..programs {
            let id = world.call("e0", post(&format!("p{n}"), "/check", "warm"));
            world.wait(id);
        }
        let (appends, records) = (world.log.appends, world.log.appended_records);
        let mut ids = Vec::new();
        let seconds = 2;
        for n in 0..rate * seconds {
            let name = format!("p{}", n % programs);
            ids.push(world.call("e0", post(&name, "/hold", &n.to_string())));
            world.run_ms(1_000 / rate);
        }
        world.run_ms(500);
        let done = ids.iter().filter(|id| world.answer(**id).code() == "done");
        let done = done.count() as u64;
        let appends = (world.log.appends - appends) / seconds;
        let records = (world.log.appended_records - records) / seconds;
        println!("{} | {appends} | {records}", done / seconds);
        assert!(appends <= 200, "{appends} appends/s");
        assert!(records >= done / seconds * 2, "a start and an end each");
    }
}

fn with_budget(
    tokens: u64,
    make: impl FnOnce(RequestId) -> Request,
) -> impl FnOnce(RequestId) -> Request {
    move |id| Request {
        budget_tokens: Some(Tokens(tokens)),
        ..make(id)
    }
}

// The owner dies in the middle of a program; what its last slices held unspent is lost to the
// program, and nothing else is.
#[test]
fn budget_stranded_by_a_crash_against_slice_size() {
    println!("budget tokens | slice tokens | stranded tokens | of the budget");
    for budget in [2_000, 4_000, 8_000, 16_000] {
        let mut world = World::new(3, 1, 1);
        let name = world.program_owned_by("e1", "p");
        let mut spent = 0;
        for crash_after in [3, 1_000] {
            for n in 0..crash_after {
                let transcript = format!("{crash_after} {n}");
                let call = |id| Request {
                    append: true,
                    ..with_budget(budget, chat(&name, &[&transcript]))(id)
                };
                let id = world.call("e0", call);
                let answer = world.wait(id);
                match &answer.done {
                    Some(done) => {
                        spent += done.usage.prompt_tokens.0 + done.usage.output_tokens.0;
                    }
                    None if answer.code() == "history_needed" => {
                        // After the crash the caller proves once that nothing is missing.
                        let chain = last_chain(&world);
                        let proven = |id| Request {
                            history_chain: Some(chain),
                            ..call(id)
                        };
                        let id = world.call("e0", proven);
                        let done = world.wait(id).done.expect("answered");
                        spent += done.usage.prompt_tokens.0 + done.usage.output_tokens.0;
                    }
                    None => break,
                }
            }
            if crash_after == 3 {
                world.kill("e1");
                world.run_ms(4_000);
            }
        }
        let stranded = budget - spent;
        let slice = budget / 16;
        println!(
            "{budget} | {slice} | {stranded} | {}%",
            stranded * 100 / budget
        );
        assert!(spent <= budget, "{spent} of {budget}");
        // A last call that did not fit any more strands its own hold as well.
        assert!(stranded <= 2 * slice + 700, "{stranded} of {budget}");
    }
}

fn last_chain(world: &World) -> clementinepick::prompt::ChainHash {
    let chain = world
        .answers
        .values()
        .rev()
        .find_map(|a| a.done.as_ref()?.chain);
    chain.expect("a turn")
}

// A killed process's links break at once; one that stands still is noticed by its silence.
#[test]
fn time_from_an_owners_death_to_the_next_answer() {
    println!("how | ms to the next answer");
    for how in ["killed", "silent"] {
        let mut worst_us = 0;
        for n in 0..5 {
            let mut world = World::new(3, 1, 1);
            let name = world.program_owned_by("e1", &format!("p{n}-"));
            let id = world.call("e0", post(&name, "/check", "warm"));
            world.wait(id);
            world.run_ms(100 + 37 * n);
            let died_us = world.now_us;
            if how == "killed" {
                world.kill("e1");
            } else {
                world.pause("e1");
            }
            let id = world.call("e0", post(&name, "/check", "next"));
            worst_us = worst_us.max(world.wait(id).at_us - died_us);
        }
        println!("{how} | {:.0}", ms(worst_us));
        let bound_us = if how == "killed" {
            2_500_000
        } else {
            5_500_000
        };
        assert!(worst_us <= bound_us, "{how}: {worst_us} us");
    }
}
