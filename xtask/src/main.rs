//! Developer commands, run as `cargo xtask`.

mod checks;
mod command;
mod prepare;
mod regress;
mod soak;
mod upgrade;

use std::process::ExitCode;

use eyre::Result;
use gumdrop::Options;

#[derive(Debug)]
#[derive(Options)]
struct Cli {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<Task>,
}

#[derive(Debug)]
#[derive(Options)]
enum Task {
    #[options(help = "run the demonstration with simulated upstreams (--keep leaves it running)")]
    Demo(Passed),
    #[options(help = "run all tests")]
    Test(Passed),
    #[options(help = "check formatting, lints and documentation")]
    Lint(Passed),
    #[options(help = "run all benchmarks, or those named")]
    Bench(Passed),
    #[options(help = "compare the router with a round-robin baseline, in virtual time")]
    Measure(Passed),
    #[options(help = "simulate loads on a model of engines and many VMs, in virtual time")]
    Fleet(Passed),
    #[options(help = "run the fault-injection campaign: --seed N --rounds N")]
    Campaign(Passed),
    #[options(help = "score the listed deployments on the users' bench, or those named")]
    Regress(Passed),
    #[options(help = "play random faults against processes of the platform's program (--help)")]
    Soak(Passed),
    #[options(help = "replace an earlier commit's program under traffic and faults (--help)")]
    Upgrade(Passed),
}

/// Arguments for the task itself; they are passed on unparsed.
#[derive(Debug)]
#[derive(Options)]
struct Passed {
    #[options(free)]
    arguments: Vec<String>,
}

fn main() -> ExitCode {
    // Only the task's name is parsed here; the arguments after it belong to the task.
    let mut arguments: Vec<String> = std::env::args().skip(1).collect();
    let passed = arguments.split_off(arguments.len().min(1));
    let cli = Cli::parse_args_default_or_exit_from(&arguments);
    let Some(task) = cli.command else {
        checks::print_line(&format!(
            "{}\n\n{}",
            Cli::usage(),
            Cli::command_list().unwrap_or_default()
        ));
        return ExitCode::from(2);
    };
    match run(&task, &passed) {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            checks::print_line(&format!("xtask: {report:#}"));
            ExitCode::FAILURE
        }
    }
}

fn run(task: &Task, passed: &[String]) -> Result<()> {
    prepare::install_cmake()?;
    match task {
        Task::Test(_) => checks::test(passed),
        Task::Lint(_) => checks::lint(),
        Task::Demo(_) => checks::lab("demo", passed),
        Task::Bench(_) => checks::lab("bench", passed),
        Task::Measure(_) => checks::lab("measure", passed),
        Task::Fleet(_) => checks::lab("fleet", passed),
        Task::Campaign(_) => checks::lab("campaign", passed),
        Task::Regress(_) => regress::regress(passed),
        Task::Soak(_) => soak::run(passed),
        Task::Upgrade(_) => upgrade::run(passed),
    }
}

trait ParseFrom: Options + Sized {
    /// Parses `arguments`; if they are invalid, prints the error and exits with status 2.
    fn parse_args_default_or_exit_from(arguments: &[String]) -> Self;
}

impl ParseFrom for Cli {
    fn parse_args_default_or_exit_from(arguments: &[String]) -> Self {
        Self::parse_args_default(arguments).unwrap_or_else(|error| {
            checks::print_line(&format!("xtask: {error}"));
            std::process::exit(2)
        })
    }
}
