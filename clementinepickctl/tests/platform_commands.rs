//! The commands about gateways, against a gateway on the stand-ins.

use std::path::Path;

use clementinepickctl::args::{Args, CheckDeploy, Command, GatewayArgs, Ledger};
use clementinepickctl::exit::{CommandError, ExitCode, Report};
use clementinepickctl::run::run;
use standins::platform_caller::CallerRequest;
use standins::platform_run::PlatformRun;
use standins::platform_store::StoreMode;

fn carry_out(command: Command) -> Result<Report, CommandError> {
    let args = Args {
        json: false,
        timeout_s: 5,
        command,
    };
    actix_rt::System::new().block_on(run(args))
}

fn ledger(
    run: &PlatformRun,
    program: Option<&str>,
    turn: Option<&str>,
) -> Result<Report, CommandError> {
    let address = run.gateways[0].addresses.metrics.expect("an address");
    carry_out(Command::Ledger(Ledger {
        address: address.to_string(),
        program: program.map(str::to_owned),
        turn: turn.map(str::to_owned),
    }))
}

fn turn(run: &PlatformRun, id: &str, previous: Option<&str>) {
    let turn = CallerRequest::turn("/chat/1", id, "a/b c", id).with("Token-Budget", "400");
    let turn = match previous {
        Some(previous) => turn.with("Previous-Turn", previous),
        None => turn,
    };
    let answer = turn.send(run.callers(0)).expect("an answer");
    assert_eq!(answer.status, 200);
}

/// An operator asks what a gateway believes. Its answer names its kind, without which the command
/// would take it for a broken one.
#[test]
fn a_gateway_says_what_it_believes() {
    let run = PlatformRun::start(1).expect("a run");
    let address = run.gateways[0].addresses.metrics.expect("an address");
    let command = Command::Gateway(GatewayArgs {
        addresses: vec![address.to_string()],
    });
    let report = carry_out(command).expect("a report");
    assert_eq!(report.exit, ExitCode::Success);
    let believes = "ready true, draining false, configuration 1";
    assert!(report.text.contains(believes), "{}", report.text);
}

/// A caller says that its budget was spent too early. The ledger shows who holds how much of it; ids
/// may have any characters.
#[test]
fn the_budget_of_a_program_is_shown() {
    let run = PlatformRun::start(1).expect("a run");
    turn(&run, "t1", None);
    let report = ledger(&run, Some("a/b c"), None).expect("a report");
    assert_eq!(report.exit, ExitCode::Success);
    let holder = run.gateways[0].addresses.peers;
    let slice = format!("slice of 100 tokens, of {holder}");
    assert!(report.text.contains(&slice), "{}", report.text);
    let held = "this gateway holds 100 tokens, 0 of them standing: 40 spent, 0 for running turns";
    assert!(report.text.contains(held), "{}", report.text);
    assert_eq!(report.json["held_here"]["spent_tokens"], 40);
}

/// A caller says that its turn was not known. The ledger shows the chain, the newest turn first.
#[test]
fn a_chain_of_turns_is_shown() {
    let run = PlatformRun::start(1).expect("a run");
    turn(&run, "t1", None);
    turn(&run, "t2", Some("t1"));
    let report = ledger(&run, None, Some("t2")).expect("a report");
    let lines: Vec<&str> = report.text.lines().collect();
    assert_eq!(lines.len(), 2);
    assert!(
        lines[0].starts_with("t2: partition keyed.turns"),
        "{}",
        lines[0]
    );
    assert!(lines[0].contains("continues from t1"), "{}", lines[0]);
    assert!(lines[1].contains("continues from nothing"), "{}", lines[1]);
    assert_eq!(report.json["turns"][0]["output_bytes"], 20);
}

/// What the ledger does not have, and a store that does not answer, are different answers.
#[test]
fn nothing_and_no_answer_are_told_apart() {
    let run = PlatformRun::start(1).expect("a run");
    for (program, turn) in [(Some("never"), None), (None, Some("never"))] {
        let err = ledger(&run, program, turn).expect_err("nothing");
        assert_eq!(err, CommandError::NotInLedger("never".to_owned()));
        assert_eq!(err.exit(), ExitCode::NotFound);
    }
    run.doors[0].set_mode(StoreMode::Busy);
    let err = ledger(&run, None, Some("never")).expect_err("no answer");
    assert_eq!(err.exit(), ExitCode::Unreachable);
    let err = ledger(&run, None, None).expect_err("no question");
    assert_eq!(err.exit(), ExitCode::Usage);
}

#[test]
fn the_files_of_the_repository_are_right() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("a root");
    let file = root.join("deploy/system.toml").display().to_string();
    let report = carry_out(Command::CheckDeploy(CheckDeploy { file })).expect("a report");
    assert_eq!(report.exit, ExitCode::Success, "{}", report.text);
}
