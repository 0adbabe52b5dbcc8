//! Plays the cases of the second review: `stage CASE FOLDER`, in the root of the repository.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0`
//! the disruption is left out.

mod case_outage;
mod case_seeds;
mod case_versions;
mod case_watchers;
mod engine;
mod http;
mod json;
mod node;
mod stage;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [first, id, version, address, record] = &arguments[..]
        && first == "engine"
    {
        engine::serve(id, version, address, record);
        return ExitCode::SUCCESS;
    }
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: stage CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Path::new(folder).join("record.txt");
    let result = match &**case {
        "outage" => case_outage::play(has_trouble),
        "seeds" => case_seeds::play(has_trouble),
        "versions" => case_versions::play(has_trouble),
        "watchers" => case_watchers::play(has_trouble),
        _ => Err(format!("no case {case}")),
    };
    let (text, code) = match result {
        Ok(outcome) => {
            let verdict = if outcome.is_broken { "BROKEN" } else { "held" };
            println!("{verdict}: {}", outcome.summary);
            let text = format!("{verdict}: {}\n{}", outcome.summary, outcome.record);
            (text, u8::from(outcome.is_broken))
        }
        Err(error) => {
            println!("could not run: {error}");
            (format!("could not run: {error}\n"), 2)
        }
    };
    if std::fs::write(record, text).is_err() {
        return ExitCode::from(2);
    }
    ExitCode::from(code)
}
