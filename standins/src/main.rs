//! Runs the stand-ins and the tools that drive the daemons.

use std::process::ExitCode;

use argh::FromArgs;
use standins::Failure;
use standins::capacity::Capacity;
use standins::chaos::Chaos;
use standins::demo::Demo;
use standins::load::Load;
use standins::policy::Policy;
use standins::serve::Serve;
use standins::soak::Soak;

/// Stand-ins for the systems outside clementinepick, and tools that drive it.
#[derive(FromArgs, Debug)]
#[argh(
    example = "{command_name} demo",
    example = "{command_name} serve --engines 4",
    error_code(1, "the command or one of its checks failed")
)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Demo(Demo),
    Load(Load),
    Serve(Serve),
    Policy(Policy),
    Chaos(Chaos),
    Capacity(Capacity),
    Soak(Soak),
}

fn run(command: &Command) -> Result<(), Failure> {
    match command {
        Command::Demo(demo) => demo.run(),
        Command::Load(load) => load.run(),
        Command::Serve(serve) => serve.run(),
        Command::Policy(policy) => policy.run(),
        Command::Chaos(chaos) => chaos.run(),
        Command::Capacity(capacity) => capacity.run(),
        Command::Soak(soak) => soak.run(),
    }
}

fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    match run(&arguments.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            ExitCode::FAILURE
        }
    }
}
