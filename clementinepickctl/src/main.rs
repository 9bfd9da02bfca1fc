//! Runs the operator's command line of clementinepick.

use std::process::ExitCode;

use clementinepickctl::args::Args;
use clementinepickctl::exit::Report;
use clementinepickctl::run::run;
use serde_json::json;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let as_json = args.json;
    let report = actix_rt::System::new().block_on(run(args));
    let report = report.unwrap_or_else(|err| Report {
        text: err.to_string(),
        json: json!({ "error": err.to_string() }),
        exit: err.exit(),
    });
    if as_json {
        println!("{}", report.json);
    } else if !report.text.is_empty() {
        println!("{}", report.text);
    }
    ExitCode::from(report.exit.number())
}
