//! Command line for operators of cranberryvalve.

mod client;
mod commands;
mod exit;
mod explain;
mod options;
mod report;

use std::env;
use std::process::ExitCode;

use gumdrop::Options;

use crate::exit::Exit;
use crate::options::Cli;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let cli = match Cli::parse_args_default(&arguments) {
        Ok(cli) => cli,
        Err(error) => return print_usage_error(&error.to_string()),
    };
    match commands::run(&cli) {
        Ok(exit) => exit.into(),
        Err(failure) => {
            print_error(&failure.to_string());
            failure.exit.into()
        }
    }
}

fn print_usage_error(message: &str) -> ExitCode {
    print_error(message);
    print_error("see --help");
    Exit::Usage.into()
}

#[expect(clippy::print_stderr, reason = "a command line reports errors on standard error")]
fn print_error(message: &str) {
    for line in message.lines() {
        eprintln!("cranberryvalve: {line}");
    }
}
