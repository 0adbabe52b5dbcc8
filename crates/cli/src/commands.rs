//! Implementation of the commands.

use std::fs;
use std::io::BufReader;
use std::io::Read;

use cranberryvalve_coordination::plan::ConfirmOutcome;
use cranberryvalve_coordination::plan::Intent;
use cranberryvalve_coordination::plan::Plan;
use cranberryvalve_core::Config;
use cranberryvalve_core::Digest;
use gumdrop::Options;
use serde_json::Value;
use serde_json::json;

use crate::client::Client;
use crate::client::RequestError;
use crate::client::success_body;
use crate::exit::Exit;
use crate::exit::Failure;
use crate::explain;
use crate::options::Cli;
use crate::options::Command;
use crate::options::ConfirmOptions;
use crate::report;

/// Runs the command on the command line, or prints the help text if there is none.
pub(crate) fn run(cli: &Cli) -> Result<Exit, Failure> {
    let Some(command) = &cli.command else {
        print(&help());
        return Ok(if cli.help { Exit::Success } else { Exit::Usage });
    };
    match command {
        Command::Plan(options) => plan_file(cli, &options.file, &options.out),
        Command::Drain(options) => plan_drain(cli, &options.upstream, true, &options.out),
        Command::Undrain(options) => plan_drain(cli, &options.upstream, false, &options.out),
        Command::Confirm(options) => confirm(cli, options),
        Command::Show(_) => show(cli),
        Command::History(_) => history(cli),
        Command::Status(_) => status(cli),
        Command::Dump(_) => dump(cli),
        Command::Explain(options) => explain(cli, &options.arguments),
        Command::HashKey(_) => hash_key(),
    }
}

/// Prints the timeline of a request, from log files or from standard input if none are given.
fn explain(cli: &Cli, arguments: &[String]) -> Result<Exit, Failure> {
    let Some((request, files)) = arguments.split_first() else {
        return Err(Failure::new(Exit::Usage, "explain needs a request identifier"));
    };
    let mut lines = Vec::new();
    if files.is_empty() {
        lines.extend(explain::read_lines(std::io::stdin().lock())?);
    }
    for file in files {
        let opened = fs::File::open(file)
            .map_err(|error| Failure::new(Exit::Usage, format!("{file}: {error}")))?;
        lines.extend(explain::read_lines(BufReader::new(opened))?);
    }
    let Some(timeline) = explain::timeline(request, &lines) else {
        return Err(Failure::new(Exit::Failed, format!("no log line mentions request {request}")));
    };
    if cli.json {
        print(&format!("{}\n", serde_json::to_string_pretty(&timeline)?));
    } else {
        print(&explain::render(&timeline));
    }
    Ok(Exit::Success)
}

fn help() -> String {
    let commands = Cli::command_list().unwrap_or_default();
    format!(
        "Usage: cranberryvalve [OPTIONS] COMMAND\n\n{}\n\nCommands:\n{commands}\n\n\
         Exit status: 0 done, 1 failed, 2 usage, 3 refused, 4 stale, 5 unknown, 6 unreachable.\n",
        Cli::usage()
    )
}

fn plan_file(cli: &Cli, file: &str, out: &str) -> Result<Exit, Failure> {
    let text = fs::read_to_string(file)
        .map_err(|error| Failure::new(Exit::Usage, format!("{file}: {error}")))?;
    let config = Config::from_toml(&text)
        .map_err(|error| Failure::new(Exit::Refused, format!("{file}: {error}")))?;
    plan(cli, &Intent::Declare { config: Box::new(config) }, out)
}

fn plan_drain(cli: &Cli, upstream: &str, drained: bool, out: &str) -> Result<Exit, Failure> {
    plan(cli, &Intent::Drain { upstream: upstream.into(), drained }, out)
}

fn plan(cli: &Cli, intent: &Intent, out: &str) -> Result<Exit, Failure> {
    let body = json!({ "operator": cli.operator()?, "intent": intent });
    let response = success_body(Client::new(cli)?.post("/plan", &body)?)?;
    let plan: Plan = serde_json::from_value(response.clone())?;
    fs::write(out, serde_json::to_vec_pretty(&plan)?)?;
    if cli.json {
        print_json(&response)?;
    } else {
        print(&report::plan(&plan, out));
    }
    Ok(Exit::Success)
}

fn confirm(cli: &Cli, options: &ConfirmOptions) -> Result<Exit, Failure> {
    let file = &options.plan;
    let text = fs::read_to_string(file)
        .map_err(|error| Failure::new(Exit::Usage, format!("{file}: {error}")))?;
    let plan: Plan = serde_json::from_str(&text)
        .map_err(|error| Failure::new(Exit::Usage, format!("{file} is not a plan: {error}")))?;
    let body = json!({ "plan": plan, "acknowledged": options.acknowledge });
    let outcome = match Client::new(cli)?.post_in_doubt("/confirm", &body) {
        Ok(response) => match serde_json::from_value(response.body.clone()) {
            Ok(outcome) => outcome,
            Err(_) => return success_body(response).map(|_| Exit::Failed),
        },
        Err(RequestError::NotSent) => {
            return Err(Failure::new(Exit::Unreachable, "not applied: no VM could be reached"));
        }
        Err(RequestError::InDoubt) => ConfirmOutcome::Unknown,
    };
    if cli.json {
        print_json(&serde_json::to_value(&outcome)?)?;
    } else {
        print(&describe_outcome(&outcome, file));
    }
    Ok(exit_status(&outcome))
}

const fn exit_status(outcome: &ConfirmOutcome) -> Exit {
    match outcome {
        ConfirmOutcome::Applied { .. } => Exit::Success,
        ConfirmOutcome::Stale { .. } | ConfirmOutcome::BaseMissing { .. } => Exit::Stale,
        ConfirmOutcome::NotApplied { .. } | ConfirmOutcome::Unsettled => Exit::Unreachable,
        ConfirmOutcome::Unknown => Exit::Unknown,
    }
}

fn describe_outcome(outcome: &ConfirmOutcome, file: &str) -> String {
    match outcome {
        ConfirmOutcome::Applied { version } => format!("applied as version {version}\n"),
        ConfirmOutcome::Stale { current_version, overtaken_by, operator } => format!(
            "not applied: {overtaken_by} by {operator} came first; version {current_version} is \
             in force. Look at it with `cranberryvalve show`, and make a new plan.\n"
        ),
        ConfirmOutcome::BaseMissing { current_version } => format!(
            "not applied: the store was restored and has version {current_version} instead of the \
             one that the plan is based on. The VMs write that one again; confirm the plan in some \
             seconds, or make a new one:\n  cranberryvalve confirm {file}\n"
        ),
        ConfirmOutcome::Unsettled => format!(
            "not applied: the store was restored, and VMs may write a later version again; \
             confirm the plan in some seconds:\n  cranberryvalve confirm {file}\n"
        ),
        ConfirmOutcome::NotApplied { error } => format!("not applied: {error}\n"),
        ConfirmOutcome::Unknown => format!(
            "unknown: the plan may or may not be applied. To find out, confirm it again, which \
             does no harm:\n  cranberryvalve confirm {file}\n"
        ),
    }
}

fn show(cli: &Cli) -> Result<Exit, Failure> {
    let document = Client::new(cli)?.get("/config")?;
    if cli.json {
        print_json(&document)?;
        return Ok(Exit::Success);
    }
    let config: Config = serde_json::from_value(document["config"].clone())?;
    let toml =
        toml::to_string(&config).map_err(|error| Failure::new(Exit::Failed, error.to_string()))?;
    print(&format!("# version {}\n{toml}", document["version"]));
    Ok(Exit::Success)
}

fn history(cli: &Cli) -> Result<Exit, Failure> {
    let entries = Client::new(cli)?.get("/history")?;
    if cli.json {
        print_json(&entries)?;
    } else {
        print(&report::history(&entries));
    }
    Ok(Exit::Success)
}

fn status(cli: &Cli) -> Result<Exit, Failure> {
    let client = Client::new(cli)?;
    let dumps = dumps(&client);
    if cli.json {
        print_json(&Value::Array(dumps.into_iter().map(|(_, dump)| dump).collect()))?;
        return Ok(Exit::Success);
    }
    for (address, dump) in &dumps {
        print(&report::status(address, dump));
    }
    if dumps.iter().all(|(_, it)| it.is_null()) {
        return Err(Failure::new(Exit::Unreachable, "no VM responded"));
    }
    let versions: Vec<&Value> = dumps.iter().map(|(_, it)| &it["config"]["version"]).collect();
    let all_agree = versions.windows(2).all(|pair| pair[0] == pair[1]);
    print(if all_agree { "all agree\n" } else { "NOT all agree on the configuration\n" });
    Ok(if all_agree { Exit::Success } else { Exit::Failed })
}

fn dump(cli: &Cli) -> Result<Exit, Failure> {
    for (_, dump) in dumps(&Client::new(cli)?) {
        print_json(&dump)?;
    }
    Ok(Exit::Success)
}

/// Fetches the state of each VM with its address; null for a VM without a valid response.
fn dumps(client: &Client) -> Vec<(String, Value)> {
    let vms = client.vms().iter();
    let dumps = vms.map(|vm| {
        let response = client.get_from(vm, "/dump").ok().filter(|it| it.status == 200);
        (vm.clone(), response.map_or(Value::Null, |it| it.body))
    });
    dumps.collect()
}

fn hash_key() -> Result<Exit, Failure> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key)?;
    print(&format!("{}\n", Digest::of(key.trim_end().as_bytes())));
    Ok(Exit::Success)
}

fn print_json(value: &Value) -> Result<(), Failure> {
    print(&format!("{}\n", serde_json::to_string_pretty(value)?));
    Ok(())
}

#[expect(clippy::print_stdout, reason = "the program prints results on standard output")]
fn print(text: &str) {
    print!("{text}");
}
