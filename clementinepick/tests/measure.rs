//! Measures in virtual time what the safeguards cost and checks it against the bounds of the design.
//! `--nocapture` prints the figures.

mod common;

use clementinepick::call::Request;
use clementinepick::ids::RequestId;
use clementinepick::units::Tokens;
use common::{World, chat, post};

/// The time that a backend server takes for a call.
const BACKEND_US: u64 = 20_000;

fn mean_latency_us(world: &mut World, name: &str, path: &str, calls: u64) -> u64 {
    let mut total_us = 0;
    for n in 0..calls {
        let id = world.call("e0", post(name, path, &n.to_string()));
        let sent_us = world.now_us;
        total_us += world.wait(id).at_us - sent_us;
        world.run_ms(7);
    }
    total_us / calls
}

// A non-idempotent call runs only after its start record was appended and read back. Its answer
// waits likewise for the record of the outcome, at most for the commit wait.
#[test]
fn latency_added_by_start_records_is_bounded_by_append_latency() {
    println!("append ms | idempotent ms | non-idempotent ms | added ms");
    for append_ms in [2, 5, 10, 20, 50, 100] {
        let mut world = World::new(2, 1, 1);
        let name = world.program_owned_by("e0", "p");
        world.log.append_us = append_ms * 1_000;
        mean_latency_us(&mut world, &name, "/check", 1);
        let idempotent_us = mean_latency_us(&mut world, &name, "/check", 10);
        let non_idempotent_us = mean_latency_us(&mut world, &name, "/hold", 10);
        let added_us = non_idempotent_us - idempotent_us;
        println!(
            "{append_ms} | {:.1} | {:.1} | {:.1}",
            us_to_ms(idempotent_us),
            us_to_ms(non_idempotent_us),
            us_to_ms(added_us)
        );
        // Slices of three calls are reserved in advance; an append that takes longer than three
        // calls adds to their latency.
        let bound_us = BACKEND_US + 5_000 + append_ms * 250;
        assert!(
            idempotent_us <= bound_us,
            "idempotent calls: {idempotent_us} us"
        );
        let bound_us = 2 * (append_ms * 1_000 + 20_000);
        assert!(added_us <= bound_us, "{added_us} us added");
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "printed values need no full precision"
)]
fn us_to_ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}

// Group commit: the records that wait while an append is in flight share the next one, so that the
// rate of appends is bounded by their latency rather than by the rate of calls.
#[test]
fn group_commit_limits_appends_at_high_call_rates() {
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
        assert!(
            records >= done / seconds * 2,
            "fewer than two records for each call"
        );
    }
}

fn with_budget_tokens(
    tokens: u64,
    make: impl FnOnce(RequestId) -> Request,
) -> impl FnOnce(RequestId) -> Request {
    move |id| Request {
        budget_tokens: Some(Tokens(tokens)),
        ..make(id)
    }
}

// When the owner of a program crashes, only the unused rest of its last slices may be lost to the
// program.
#[test]
fn budget_lost_in_a_crash_is_bounded_by_slice_size() {
    println!("budget tokens | slice tokens | stranded tokens | of the budget");
    for budget in [2_000, 4_000, 8_000, 16_000] {
        let mut world = World::new(3, 1, 1);
        let name = world.program_owned_by("e1", "p");
        let mut used = 0;
        for crash_after in [3, 1_000] {
            for n in 0..crash_after {
                let transcript = format!("{crash_after} {n}");
                let call = |id| Request {
                    append: true,
                    ..with_budget_tokens(budget, chat(&name, &[&transcript]))(id)
                };
                let id = world.call("e0", call);
                let answer = world.wait(id);
                match &answer.done {
                    Some(done) => {
                        used += done.usage.prompt_tokens.0 + done.usage.output_tokens.0;
                    }
                    None if answer.code() == "history_needed" => {
                        // After the crash the new owner asks once for proof that the history is
                        // complete.
                        let chain = last_chain(&world);
                        let with_proof = |id| Request {
                            history_chain: Some(chain),
                            ..call(id)
                        };
                        let id = world.call("e0", with_proof);
                        let done = world.wait(id).done.expect("call completed");
                        used += done.usage.prompt_tokens.0 + done.usage.output_tokens.0;
                    }
                    None => break,
                }
            }
            if crash_after == 3 {
                world.kill("e1");
                world.run_ms(4_000);
            }
        }
        let stranded = budget - used;
        let slice = budget / 16;
        println!(
            "{budget} | {slice} | {stranded} | {}%",
            stranded * 100 / budget
        );
        assert!(used <= budget, "{used} of {budget}");
        // The reservation of the last call, which no longer fits, is unused as well.
        assert!(stranded <= 2 * slice + 700, "{stranded} of {budget}");
    }
}

fn last_chain(world: &World) -> clementinepick::prompt::ChainHash {
    let chain = world
        .answers
        .values()
        .rev()
        .find_map(|a| a.done.as_ref()?.chain);
    chain.expect("at least one answered turn")
}

// The links of a killed process break at once; a paused process is only detected by its missing
// heartbeats.
#[test]
fn time_to_the_next_answer_after_loss_of_an_owner_is_bounded() {
    println!("owner | ms to the next answer");
    for failure in ["killed", "paused"] {
        let mut worst_us = 0;
        for n in 0..5 {
            let mut world = World::new(3, 1, 1);
            let name = world.program_owned_by("e1", &format!("p{n}-"));
            let id = world.call("e0", post(&name, "/check", "warm"));
            world.wait(id);
            world.run_ms(100 + 37 * n);
            let failed_us = world.now_us;
            if failure == "killed" {
                world.kill("e1");
            } else {
                world.pause("e1");
            }
            let id = world.call("e0", post(&name, "/check", "next"));
            worst_us = worst_us.max(world.wait(id).at_us - failed_us);
        }
        println!("{failure} | {:.0}", us_to_ms(worst_us));
        let bound_us = if failure == "killed" {
            2_500_000
        } else {
            5_500_000
        };
        assert!(worst_us <= bound_us, "{failure}: {worst_us} us");
    }
}
