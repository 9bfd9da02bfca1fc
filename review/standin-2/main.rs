//! The stand-ins of this review's scripts, and the scripts' days: `lab CASE FOLDER`.

mod caller;
mod case_gone;
mod case_memory;
mod case_retain;
mod engine;
mod gateway;
mod http;
mod record;
mod store;
mod world;

use std::process::ExitCode;

/// What a case has shown.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: lab CASE FOLDER");
        return ExitCode::from(2);
    };
    // A case that does not end in time could not be run.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(112));
        gateway::kill_all();
        std::process::exit(2);
    });
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let verdict = match case.as_str() {
        "memory" => case_memory::run(folder, has_trouble),
        "retain" => case_retain::run(folder, has_trouble),
        "gone" => case_gone::run(folder, has_trouble),
        _ => Verdict::NotRun,
    };
    gateway::kill_all();
    let _ = std::fs::remove_dir_all(world::temporary());
    match verdict {
        Verdict::Held => ExitCode::SUCCESS,
        Verdict::Broken => ExitCode::from(1),
        Verdict::NotRun => ExitCode::from(2),
    }
}
