//! Tests the gateway commands against a real gateway with simulated backends and store.

use std::path::Path;

use clementinepickctl::args::{Args, CheckDeploy, Command, GatewayArgs, Ledger};
use clementinepickctl::exit::{CommandError, ExitCode, Report};
use clementinepickctl::run::run;
use standins::platform_caller::CallerRequest;
use standins::platform_run::PlatformRun;
use standins::platform_store::StoreMode;

fn run_command(command: Command) -> Result<Report, CommandError> {
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
    run_command(Command::Ledger(Ledger {
        address: address.to_string(),
        program: program.map(str::to_owned),
        turn: turn.map(str::to_owned),
    }))
}

fn send_turn(run: &PlatformRun, id: &str, previous: Option<&str>) {
    let turn = CallerRequest::turn("/chat/1", id, "a/b c", id).with("Token-Budget", "400");
    let turn = match previous {
        Some(previous) => turn.with("Previous-Turn", previous),
        None => turn,
    };
    let response = turn.send(run.callers(0)).expect("a response");
    assert_eq!(response.status, 200);
}

/// `/state` must have a JSON content type; the client rejects any other response.
#[test]
fn the_state_of_a_gateway_is_shown() {
    let run = PlatformRun::start(1).expect("a run");
    let address = run.gateways[0].addresses.metrics.expect("an address");
    let command = Command::Gateway(GatewayArgs {
        addresses: vec![address.to_string()],
    });
    let report = run_command(command).expect("a report");
    assert_eq!(report.exit, ExitCode::Success);
    let expected = "ready: true, draining: false, configuration version: 1";
    assert!(report.text.contains(expected), "{}", report.text);
}

/// The ledger shows which gateway holds how many tokens; program ids may have any characters.
#[test]
fn the_budget_of_a_program_is_shown() {
    let run = PlatformRun::start(1).expect("a run");
    send_turn(&run, "t1", None);
    let report = ledger(&run, Some("a/b c"), None).expect("a report");
    assert_eq!(report.exit, ExitCode::Success);
    let holder = run.gateways[0].addresses.peers;
    let slice = format!("slice of 100 tokens, held by {holder}");
    assert!(report.text.contains(&slice), "{}", report.text);
    let held = "this gateway holds 100 tokens, 0 of them in standing slices: 40 spent, 0 reserved for \
                running turns";
    assert!(report.text.contains(held), "{}", report.text);
    assert_eq!(report.json["held_here"]["spent_tokens"], 40);
}

/// The ledger shows a turn and the turns before it, the newest first.
#[test]
fn a_turn_chain_is_shown() {
    let run = PlatformRun::start(1).expect("a run");
    send_turn(&run, "t1", None);
    send_turn(&run, "t2", Some("t1"));
    let report = ledger(&run, None, Some("t2")).expect("a report");
    let lines: Vec<&str> = report.text.lines().collect();
    assert_eq!(lines.len(), 2);
    assert!(
        lines[0].starts_with("t2: partition keyed.turns"),
        "{}",
        lines[0]
    );
    assert!(lines[0].contains("previous turn: t1,"), "{}", lines[0]);
    assert!(lines[1].contains("previous turn: none,"), "{}", lines[1]);
    assert_eq!(report.json["turns"][0]["output_bytes"], 20);
}

/// A missing record and an unavailable store have different exit codes.
#[test]
fn missing_records_and_an_unavailable_store_differ() {
    let run = PlatformRun::start(1).expect("a run");
    for (program, turn) in [(Some("never"), None), (None, Some("never"))] {
        let err = ledger(&run, program, turn).expect_err("no record");
        assert_eq!(err, CommandError::NotInLedger("never".to_owned()));
        assert_eq!(err.exit(), ExitCode::NotFound);
    }
    run.store_endpoints[0].set_mode(StoreMode::Busy);
    let err = ledger(&run, None, Some("never")).expect_err("no response");
    assert_eq!(err.exit(), ExitCode::Unreachable);
    let err = ledger(&run, None, None).expect_err("neither program nor turn");
    assert_eq!(err.exit(), ExitCode::Usage);
}

#[test]
fn the_deployment_file_of_the_repository_is_valid() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .expect("a root");
    let file = root.join("deploy/system.toml").display().to_string();
    let report = run_command(Command::CheckDeploy(CheckDeploy { file })).expect("a report");
    assert_eq!(report.exit, ExitCode::Success, "{}", report.text);
}
