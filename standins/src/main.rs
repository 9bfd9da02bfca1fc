//! The stand-ins' command line.

use argh::FromArgs;
use standins::policy::{PolicyArgs, run_args};

/// Tools that drive clementinepick without its surroundings.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Policy(PolicyArgs),
}

fn main() {
    let args: Args = argh::from_env();
    let Command::Policy(policy) = args.command;
    match run_args(policy) {
        Ok(text) => println!("{text}"),
        Err(error) => {
            eprintln!("{error}");
            std::process::exit(2);
        }
    }
}
