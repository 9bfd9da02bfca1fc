//! Executes the commands for gateways and the platform's deployment file.

use std::fmt::Write;
use std::fs;
use std::path::Path;

use serde_json::{Value, json};

use crate::args;
use crate::client::HttpClient;
use crate::exit::{CommandError, ExitCode, Report};
use crate::explain::{LogLine, format_gateway, parse_log, select_lines};
use crate::ledger::{MAX_CHAIN_TURNS, format_program, format_turn};
use crate::run::read_file;

pub(crate) async fn run_gateway(
    client: &HttpClient,
    addresses: &[String],
) -> Result<Report, CommandError> {
    if addresses.is_empty() {
        return Err(CommandError::Usage(
            "give the address of at least one gateway".to_owned(),
        ));
    }
    let mut text = String::new();
    let mut states = Vec::new();
    for address in addresses {
        let state: Value = client.get_json(address, "/state").await?;
        for line in format_gateway(&state) {
            // Writing to a string can't fail.
            let _ = writeln!(text, "{address}: {line}");
        }
        states.push(json!({ "address": address, "state": state }));
    }
    Ok(Report {
        text: text.trim_end().to_owned(),
        json: json!({ "gateways": states }),
        exit: ExitCode::Success,
    })
}

pub(crate) fn run_explain(explain: &args::Explain) -> Result<Report, CommandError> {
    let mut lines = Vec::new();
    for file in &explain.files {
        lines.extend(parse_log(&read_file(file)?));
    }
    let selected = select_lines(&explain.id, lines);
    if selected.is_empty() {
        return Err(CommandError::NoLogLines(explain.id.clone()));
    }
    let text: Vec<String> = selected.iter().map(LogLine::describe).collect();
    Ok(Report {
        text: text.join("\n"),
        json: json!({ "lines": selected.iter().map(|line| &line.fields).collect::<Vec<_>>() }),
        exit: ExitCode::Success,
    })
}

pub(crate) async fn run_ledger(
    client: &HttpClient,
    args: &args::Ledger,
) -> Result<Report, CommandError> {
    match (&args.program, &args.turn) {
        (Some(program), None) => {
            let found = client
                .query_ledger(&args.address, "program", program)
                .await?;
            let Some(found) = found else {
                return Err(CommandError::NotInLedger(program.clone()));
            };
            Ok(Report {
                text: format_program(&found).join("\n"),
                json: found,
                exit: ExitCode::Success,
            })
        }
        (None, Some(turn)) => run_turn_chain(client, &args.address, turn).await,
        _ => Err(CommandError::Usage(
            "give either --program or --turn".to_owned(),
        )),
    }
}

/// Reads the chain of a turn and the turns before it, the newest first.
async fn run_turn_chain(
    client: &HttpClient,
    address: &str,
    turn: &str,
) -> Result<Report, CommandError> {
    let mut next_turn = Some(turn.to_owned());
    let mut text = Vec::new();
    let mut turns = Vec::new();
    while let Some(id) = next_turn.take() {
        if turns.len() == MAX_CHAIN_TURNS {
            text.push(format!(
                "not read: {id} and the turns before it (limit of {MAX_CHAIN_TURNS} turns)"
            ));
            break;
        }
        let Some(found) = client.query_ledger(address, "turn", &id).await? else {
            if turns.is_empty() {
                return Err(CommandError::NotInLedger(id));
            }
            text.push(format!("{id} is no longer in the ledger"));
            break;
        };
        text.push(format_turn(&found));
        next_turn = found["parent"].as_str().map(str::to_owned);
        turns.push(found);
    }
    Ok(Report {
        text: text.join("\n"),
        json: json!({ "turns": turns }),
        exit: ExitCode::Success,
    })
}

pub(crate) fn run_check_deploy(path: &str) -> Result<Report, CommandError> {
    let text = read_file(path)?;
    let root = Path::new(path).parent().and_then(Path::parent);
    let root = root.unwrap_or(Path::new("")).to_owned();
    let read =
        |template: &str| fs::read_to_string(root.join(template)).map_err(|err| err.to_string());
    let problems: Vec<String> = platform::deploy::check_deploy(&text, read)
        .iter()
        .map(ToString::to_string)
        .collect();
    let (text, exit) = if problems.is_empty() {
        (format!("{path}: valid"), ExitCode::Success)
    } else {
        let lines = problems.iter().map(|problem| format!("{path}: {problem}"));
        let lines: Vec<String> = lines.collect();
        (lines.join("\n"), ExitCode::InvalidDocument)
    };
    Ok(Report {
        text,
        json: json!({ "file": path, "wrong": problems }),
        exit,
    })
}
