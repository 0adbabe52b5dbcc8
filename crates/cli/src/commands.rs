//! What the commands do.

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

use crate::exit::Exit;
use crate::exit::Failure;
use crate::explain;
use crate::options::Cli;
use crate::options::Command;
use crate::options::ConfirmOptions;
use crate::remote::NoAnswer;
use crate::remote::Remote;
use crate::remote::accept;
use crate::text;

/// Runs the command that was given.
pub(crate) fn run(cli: &Cli) -> Result<Exit, Failure> {
    let Some(command) = &cli.command else {
        print(&help());
        return Ok(if cli.help { Exit::Done } else { Exit::Usage });
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

/// Tells the story of a request from files, or from standard input when none are given.
fn explain(cli: &Cli, arguments: &[String]) -> Result<Exit, Failure> {
    let Some((request, files)) = arguments.split_first() else {
        return Err(Failure::new(Exit::Usage, "explain needs the identifier of a request"));
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
    let Some(story) = explain::tell(request, &lines) else {
        return Err(Failure::new(Exit::Failed, format!("no line is about request {request}")));
    };
    if cli.json {
        print(&format!("{}\n", serde_json::to_string_pretty(&story)?));
    } else {
        print(&explain::render(&story));
    }
    Ok(Exit::Done)
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
    let answer = accept(Remote::new(cli)?.post("/plan", &body)?)?;
    let plan: Plan = serde_json::from_value(answer.clone())?;
    fs::write(out, serde_json::to_vec_pretty(&plan)?)?;
    if cli.json {
        print_json(&answer)?;
    } else {
        print(&text::plan(&plan, out));
    }
    Ok(Exit::Done)
}

fn confirm(cli: &Cli, options: &ConfirmOptions) -> Result<Exit, Failure> {
    let file = &options.plan;
    let text = fs::read_to_string(file)
        .map_err(|error| Failure::new(Exit::Usage, format!("{file}: {error}")))?;
    let plan: Plan = serde_json::from_str(&text)
        .map_err(|error| Failure::new(Exit::Usage, format!("{file} is no plan: {error}")))?;
    let body = json!({ "plan": plan, "acknowledged": options.acknowledge });
    let outcome = match Remote::new(cli)?.post_in_doubt("/confirm", &body) {
        Ok(answer) => match serde_json::from_value(answer.body.clone()) {
            Ok(outcome) => outcome,
            Err(_) => return accept(answer).map(|_| Exit::Failed),
        },
        Err(NoAnswer::NotSent) => {
            return Err(Failure::new(Exit::Unreachable, "not applied: none of the VMs answers"));
        }
        Err(NoAnswer::InDoubt) => ConfirmOutcome::Unknown,
    };
    if cli.json {
        print_json(&serde_json::to_value(&outcome)?)?;
    } else {
        print(&describe(&outcome, file));
    }
    Ok(exit_of(&outcome))
}

const fn exit_of(outcome: &ConfirmOutcome) -> Exit {
    match outcome {
        ConfirmOutcome::Applied { .. } => Exit::Done,
        ConfirmOutcome::Stale { .. } => Exit::Stale,
        ConfirmOutcome::NotApplied { .. } => Exit::Unreachable,
        ConfirmOutcome::Unknown => Exit::Unknown,
    }
}

fn describe(outcome: &ConfirmOutcome, file: &str) -> String {
    match outcome {
        ConfirmOutcome::Applied { version } => format!("applied as version {version}\n"),
        ConfirmOutcome::Stale { current_version, overtaken_by, operator } => format!(
            "not applied: {overtaken_by} by {operator} came first; version {current_version} is \
             in force. Look at it with `cranberryvalve show`, and make a new plan.\n"
        ),
        ConfirmOutcome::NotApplied { error } => format!("not applied: {error}\n"),
        ConfirmOutcome::Unknown => format!(
            "unknown: the plan may or may not be applied. To find out, confirm it again, which \
             does no harm:\n  cranberryvalve confirm {file}\n"
        ),
    }
}

fn show(cli: &Cli) -> Result<Exit, Failure> {
    let document = Remote::new(cli)?.get("/config")?;
    if cli.json {
        print_json(&document)?;
        return Ok(Exit::Done);
    }
    let config: Config = serde_json::from_value(document["config"].clone())?;
    let toml =
        toml::to_string(&config).map_err(|error| Failure::new(Exit::Failed, error.to_string()))?;
    print(&format!("# version {}\n{toml}", document["version"]));
    Ok(Exit::Done)
}

fn history(cli: &Cli) -> Result<Exit, Failure> {
    let entries = Remote::new(cli)?.get("/history")?;
    if cli.json {
        print_json(&entries)?;
    } else {
        print(&text::history(&entries));
    }
    Ok(Exit::Done)
}

fn status(cli: &Cli) -> Result<Exit, Failure> {
    let remote = Remote::new(cli)?;
    let dumps = dumps(&remote);
    if cli.json {
        print_json(&Value::Array(dumps.into_iter().map(|(_, dump)| dump).collect()))?;
        return Ok(Exit::Done);
    }
    let versions: Vec<&Value> = dumps.iter().map(|(_, it)| &it["config"]["version"]).collect();
    let agree = versions.windows(2).all(|pair| pair[0] == pair[1]);
    for (address, dump) in &dumps {
        print(&text::status(address, dump));
    }
    print(if agree { "all agree\n" } else { "NOT all agree on the configuration\n" });
    Ok(if agree { Exit::Done } else { Exit::Failed })
}

fn dump(cli: &Cli) -> Result<Exit, Failure> {
    for (_, dump) in dumps(&Remote::new(cli)?) {
        print_json(&dump)?;
    }
    Ok(Exit::Done)
}

fn dumps(remote: &Remote) -> Vec<(String, Value)> {
    let vms = remote.vms().iter();
    let dumps = vms.map(|vm| {
        let answer = remote.get_from(vm, "/dump").ok().filter(|it| it.status == 200);
        (vm.clone(), answer.map_or(Value::Null, |it| it.body))
    });
    dumps.collect()
}

fn hash_key() -> Result<Exit, Failure> {
    let mut key = String::new();
    std::io::stdin().read_to_string(&mut key)?;
    print(&format!("{}\n", Digest::of(key.trim_end().as_bytes())));
    Ok(Exit::Done)
}

fn print_json(value: &Value) -> Result<(), Failure> {
    print(&format!("{}\n", serde_json::to_string_pretty(value)?));
    Ok(())
}

#[expect(clippy::print_stdout, reason = "a command line prints its results")]
fn print(text: &str) {
    print!("{text}");
}
