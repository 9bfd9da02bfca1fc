//! Executes the commands.

use std::env;
use std::fmt::Write;
use std::fs;
use std::time::Duration;

use clementinepick::config_replay::Verdict;
use clementinepick::document::Document;
use clementinepick::error::ErrorKind;
use clementinepick::event::EventKind;
use clementinepick::ids::{OperationId, VmId};
use clementinepick::units::SpanUs;
use serde_json::{Value, json};

use crate::args::{self, Args, Command};
use crate::client::{HttpClient, Readiness};
use crate::diff::diff;
use crate::exit::{CommandError, ExitCode, Report};
use crate::history::History;
use crate::platform_commands::{run_check_deploy, run_explain, run_gateway, run_ledger};
use crate::publish::{Publish, PublishOutcome, PublishSettings, Step, describe_verdict};
use crate::status::{ProcessDump, Status};

/// Executes a command.
///
/// # Errors
///
/// Returns an error if the arguments are invalid or a file, a process or the log can't be read.
pub async fn run(args: Args) -> Result<Report, CommandError> {
    let client = HttpClient::new(Duration::from_secs(args.timeout_s));
    match args.command {
        Command::Check(check) => run_check(&check.files),
        Command::Diff(diff) => run_diff(&client, diff).await,
        Command::Publish(publish) => run_publish(&client, publish).await,
        Command::History(history) => run_history(&client, history).await,
        Command::Status(status) => run_status(&client, status).await,
        Command::Dump(dump) => run_dump(&client, &list_entries(dump.entry)?).await,
        Command::Programs(programs) => run_programs(&client, &list_entries(programs.entry)?).await,
        Command::Drain(drain) => run_drain(&client, drain).await,
        Command::Events(events) => Ok(run_events(events.what.as_deref())),
        Command::Gateway(gateway) => run_gateway(&client, &gateway.addresses).await,
        Command::Explain(explain) => run_explain(&explain),
        Command::Ledger(ledger) => run_ledger(&client, &ledger).await,
        Command::CheckDeploy(check) => run_check_deploy(&check.file),
    }
}

pub(crate) fn read_file(path: &str) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|err| CommandError::File {
        path: path.to_owned(),
        detail: err.to_string(),
    })
}

fn resolve_option(
    given: Option<String>,
    variable: &str,
    option: &str,
) -> Result<String, CommandError> {
    let value = given.or_else(|| env::var(variable).ok());
    value.ok_or_else(|| CommandError::Usage(format!("give {option}, or set {variable}")))
}

fn resolve_log(given: Option<String>) -> Result<String, CommandError> {
    resolve_option(given, "CLEMENTINEPICK_LOG", "--log")
}

fn list_entries(given: Vec<String>) -> Result<Vec<String>, CommandError> {
    if !given.is_empty() {
        return Ok(given);
    }
    let listed = resolve_option(None, "CLEMENTINEPICK_ENTRIES", "--entry")?;
    Ok(listed
        .split(',')
        .map(|entry| entry.trim().to_owned())
        .collect())
}

fn run_check(files: &[String]) -> Result<Report, CommandError> {
    if files.is_empty() {
        return Err(CommandError::Usage("give at least one document".to_owned()));
    }
    let mut exit = ExitCode::Success;
    let mut text = String::new();
    let mut results = Vec::new();
    for path in files {
        match Document::parse(&read_file(path)?) {
            Ok(document) => {
                let _ = writeln!(text, "{path}: valid, for service `{}`", document.service);
                results.push(json!({ "file": path, "service": document.service }));
            }
            Err(err) => {
                exit = ExitCode::InvalidDocument;
                let _ = writeln!(text, "{path}: {err}");
                results.push(json!({ "file": path, "wrong": err.to_string() }));
            }
        }
    }
    Ok(Report {
        text: text.trim_end().to_owned(),
        json: json!({ "documents": results }),
        exit,
    })
}

async fn read_history(client: &HttpClient, log: &str) -> Result<History, CommandError> {
    let mut history = History::default();
    loop {
        let Some(batch) = client.read_config(log, history.position()).await else {
            return Err(CommandError::Unreachable {
                address: log.to_owned(),
                detail: "the configuration stream can't be read".to_owned(),
            });
        };
        if !history.replay_batch(&batch) {
            break;
        }
    }
    if history.replay().is_complete() {
        Ok(history)
    } else {
        Err(CommandError::Incomplete)
    }
}

async fn run_diff(client: &HttpClient, args: args::Diff) -> Result<Report, CommandError> {
    let new = read_file(&args.file)?;
    let document = match Document::parse(&new) {
        Ok(document) => document,
        Err(err) => return Ok(report_invalid(&err.to_string())),
    };
    let history = read_history(client, &resolve_log(args.log)?).await?;
    let current = history.replay().state().documents.get(&document.service);
    let (revision, old) = current.map_or((0, ""), |c| (c.revision.0, c.text.as_str()));
    let changes = diff(old, &new);
    let exit = if changes.is_empty() {
        ExitCode::Success
    } else {
        ExitCode::Mismatch
    };
    Ok(Report {
        json: json!({ "service": document.service, "base": revision, "changes": changes }),
        text: format!(
            "{}: against revision {revision}\n{changes}",
            document.service
        )
        .trim_end()
        .to_owned(),
        exit,
    })
}

fn report_invalid(detail: &str) -> Report {
    Report {
        text: format!("invalid document: {detail}; nothing was published"),
        json: json!({ "wrong": detail }),
        exit: ExitCode::InvalidDocument,
    }
}

fn resolve_author(given: Option<VmId>) -> Result<VmId, CommandError> {
    if let Some(author) = given {
        return Ok(author);
    }
    let user = env::var("USER").unwrap_or_else(|_| "operator".to_owned());
    let invalid = |_| CommandError::Usage("USER is not a valid author: give --author".to_owned());
    user.parse().map_err(invalid)
}

async fn run_publish(client: &HttpClient, args: args::Publish) -> Result<Report, CommandError> {
    let log = resolve_log(args.log)?;
    if args.file.is_none() && args.resume.is_none() {
        return Err(CommandError::Usage(
            "give the document to publish".to_owned(),
        ));
    }
    if args.file.is_some() && args.resume.is_some() && args.base.is_none() {
        let detail = "give --base with --resume, as printed by the earlier run";
        return Err(CommandError::Usage(detail.to_owned()));
    }
    let text = args.file.as_deref().map(read_file).transpose()?;
    let operation = args
        .resume
        .unwrap_or_else(|| OperationId::draw(&mut rand::rng()));
    let mut publish = Publish::new(PublishSettings {
        operation,
        author: resolve_author(args.author)?,
        base: args.base,
        is_resume: args.resume.is_some(),
        text,
        max_failures: args.max_failures,
        backoff_us: SpanUs::from_ms(200),
    });
    let mut step = publish.start();
    let outcome = loop {
        step = match step {
            Step::Finished(outcome) => break outcome,
            Step::Read { from, after_us } => {
                wait(after_us).await;
                publish.on_read(client.read_config(&log, from).await.as_ref())
            }
            Step::Append { record, after_us } => {
                wait(after_us).await;
                publish.on_append(client.append_config(&log, &record).await)
            }
        };
    };
    Ok(report_publish(operation, &outcome))
}

async fn wait(span: SpanUs) {
    if span > SpanUs(0) {
        actix_rt::time::sleep(Duration::from_micros(span.0)).await;
    }
}

/// Returns the output and exit code of `publish` for an outcome.
#[must_use]
pub fn report_publish(operation: OperationId, outcome: &PublishOutcome) -> Report {
    let (label, exit) = classify_outcome(outcome);
    let (base, publication) = match outcome {
        PublishOutcome::Unknown { base } => (Some(*base), None),
        PublishOutcome::Recorded(publication) => (None, Some(publication)),
        _ => (None, None),
    };
    let text = describe_outcome(operation, outcome);
    let json = json!({
        "outcome": label, "operation": operation, "base": base, "publication": publication,
        "message": text,
    });
    Report { text, json, exit }
}

const fn classify_outcome(outcome: &PublishOutcome) -> (&'static str, ExitCode) {
    match outcome {
        PublishOutcome::Recorded(publication) => match publication.verdict {
            Verdict::Accepted { .. } => ("accepted", ExitCode::Success),
            Verdict::Outrun { .. } => ("outrun", ExitCode::Conflict),
            Verdict::Wrong { .. } => ("wrong", ExitCode::InvalidDocument),
        },
        PublishOutcome::Invalid { .. } => ("wrong", ExitCode::InvalidDocument),
        PublishOutcome::Unchanged { .. } => ("unchanged", ExitCode::Success),
        PublishOutcome::LogUnreachable | PublishOutcome::Refused | PublishOutcome::Incomplete => {
            ("not_published", ExitCode::Unreachable)
        }
        PublishOutcome::NotFound { .. } => ("not_found", ExitCode::NotFound),
        PublishOutcome::Unknown { .. } => ("unknown", ExitCode::Unknown),
    }
}

fn describe_outcome(operation: OperationId, outcome: &PublishOutcome) -> String {
    match outcome {
        PublishOutcome::Recorded(publication) => {
            let verdict = describe_verdict(&publication.verdict);
            format!("{}: {verdict} (operation {operation})", publication.service)
        }
        PublishOutcome::Invalid { detail } => report_invalid(detail).text,
        PublishOutcome::Unchanged { service, revision } => {
            format!("{service}: the document is already active as revision {revision}")
        }
        PublishOutcome::LogUnreachable => "the log can't be read; nothing was published".to_owned(),
        PublishOutcome::Refused => "the log refused the record; nothing was published".to_owned(),
        PublishOutcome::Incomplete => CommandError::Incomplete.to_string(),
        PublishOutcome::NotFound { end } => format!(
            "operation {operation} is not in the log up to offset {end}; a delayed append may still \
             arrive. Run again, or give the document and --base to append it again: it takes effect \
             only once"
        ),
        PublishOutcome::Unknown { base } => format!(
            "unknown: the log gave no answer after the record was sent. Find out with --resume \
             {operation}, or go on with the document and --resume {operation} --base {base}"
        ),
    }
}

async fn run_history(client: &HttpClient, args: args::History) -> Result<Report, CommandError> {
    let history = read_history(client, &resolve_log(args.log)?).await?;
    let Some(operation) = args.show else {
        return Ok(history.report(args.service.as_ref()));
    };
    Ok(match history.document_text(operation) {
        Some(text) => Report {
            text: text.to_owned(),
            json: json!({ "operation": operation, "document": text }),
            exit: ExitCode::Success,
        },
        None => Report {
            text: format!("the log holds no document of operation {operation}"),
            json: json!({ "operation": operation, "document": Value::Null }),
            exit: ExitCode::NotFound,
        },
    })
}

async fn run_status(client: &HttpClient, args: args::Status) -> Result<Report, CommandError> {
    let mut status = Status::default();
    for entry in list_entries(args.entry)? {
        let dump = client.fetch_dump(&entry).await;
        let dump = dump
            .ok()
            .and_then(|d| serde_json::from_value(d["state"].clone()).ok());
        match dump {
            Some(dump) => {
                let dump: ProcessDump = dump;
                status.add_dump(dump);
            }
            None => status.add_unreachable(entry),
        }
    }
    let vms = resolve_option(args.vms, "CLEMENTINEPICK_VMS", "--vms");
    if let Ok(vms) = vms {
        match client.fetch_vms(&vms).await {
            Ok(list) => status.add_vms(list),
            Err(_) => status.add_unreachable(vms),
        }
    }
    Ok(status.report())
}

async fn run_dump(client: &HttpClient, entries: &[String]) -> Result<Report, CommandError> {
    let mut dumps = Vec::new();
    for entry in entries {
        let ready = client.check_readiness(entry).await? == Readiness::Ready;
        let mut dump = client.fetch_dump(entry).await?;
        dump["address"] = json!(entry);
        dump["ready"] = json!(ready);
        dumps.push(dump);
    }
    let json = json!({ "processes": dumps });
    Ok(Report {
        text: format!("{json:#}"),
        json,
        exit: ExitCode::Success,
    })
}

async fn run_programs(client: &HttpClient, entries: &[String]) -> Result<Report, CommandError> {
    let mut text = String::new();
    let mut entry_programs = Vec::new();
    for entry in entries {
        let dump = client.fetch_dump(entry).await?;
        let programs = dump["state"]["programs"].clone();
        for program in programs.as_array().into_iter().flatten() {
            let name = program.as_str().map_or(program.to_string(), str::to_owned);
            let _ = writeln!(text, "{name}  at {entry}");
        }
        entry_programs.push(json!({ "address": entry, "programs": programs }));
    }
    Ok(Report {
        text: text.trim_end().to_owned(),
        json: json!({ "entries": entry_programs }),
        exit: ExitCode::Success,
    })
}

async fn run_drain(client: &HttpClient, args: args::Drain) -> Result<Report, CommandError> {
    // No default from the environment, which lists all entries: they must not drain all at once.
    let [entry] = &args.entry[..] else {
        return Err(CommandError::Usage(
            "give exactly one --entry to drain".to_owned(),
        ));
    };
    let key = match args.key_file {
        Some(path) => read_file(&path)?,
        None => resolve_option(None, "CLEMENTINEPICK_ADMIN_KEY", "--key-file")?,
    };
    client.drain(entry, key.trim()).await?;
    Ok(Report {
        text: format!("{entry} accepts no new work and exits when its running calls have finished"),
        json: json!({ "address": entry, "leaving": true }),
        exit: ExitCode::Success,
    })
}

fn run_events(selector: Option<&str>) -> Report {
    let events: Vec<&EventKind> = EventKind::ALL
        .iter()
        .filter(|k| selector.is_none_or(|s| s == k.name() || s == k.number().to_string()))
        .collect();
    let errors: Vec<&ErrorKind> = ErrorKind::ALL
        .iter()
        .filter(|k| selector.is_none_or(|s| s == k.response().code))
        .collect();
    let mut text = String::new();
    for kind in &events {
        let (number, name, severity) = (kind.number(), kind.name(), kind.severity());
        let _ = writeln!(text, "{number} {name} ({severity:?}): {}", kind.meaning());
    }
    for kind in &errors {
        let error = kind.response();
        let _ = writeln!(
            text,
            "{} (status {}, not_run: {}, repeat_safe: {}): {}",
            error.code,
            error.status,
            error.not_run,
            error.repeat_safe,
            kind.meaning()
        );
    }
    let exit = if events.is_empty() && errors.is_empty() {
        text.push_str("no such event or error");
        ExitCode::NotFound
    } else {
        ExitCode::Success
    };
    let events: Vec<Value> = events.iter().map(|kind| event_json(**kind)).collect();
    let errors: Vec<Value> = errors.iter().map(|kind| error_json(**kind)).collect();
    Report {
        text: text.trim_end().to_owned(),
        json: json!({ "events": events, "errors": errors }),
        exit,
    }
}

fn event_json(kind: EventKind) -> Value {
    json!({
        "number": kind.number(), "name": kind.name(), "severity": kind.severity(),
        "meaning": kind.meaning(),
    })
}

fn error_json(kind: ErrorKind) -> Value {
    let error = kind.response();
    json!({
        "code": error.code, "status": error.status, "not_run": error.not_run,
        "repeat_safe": error.repeat_safe, "meaning": kind.meaning(),
    })
}
