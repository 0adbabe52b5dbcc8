//! Plays a case of the third review: `stage CASE RECORD`. Exits with 1 if the rule was broken, with 0 if it held,
//! and with 2 if the case could not run. Without trouble if the variable `TROUBLE` is `0`.

mod case_crowd;
mod case_keys;
mod case_unread;
mod case_usage;
mod client;
mod cloud;
mod deployment;
mod http;
mod json;
mod node;
mod record;
mod store;
mod worker;

use std::env;
use std::panic;
use std::process;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use record::Record;

/// What a case has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: stage CASE RECORD");
        process::exit(2);
    };
    if case == "crowd-clients" {
        return case_crowd::play_crowd(path);
    }
    let has_trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let record = Record::create(path);
    record.line(if has_trouble { "with trouble" } else { "without trouble" });
    let played = panic::catch_unwind(panic::AssertUnwindSafe(|| match &**case {
        "crowd" => case_crowd::play(&record, has_trouble),
        "keys" => case_keys::play(&record, has_trouble),
        "unread" => case_unread::play(&record, has_trouble),
        "usage" => case_usage::play(&record, has_trouble),
        _ => give_up("no such case"),
    }));
    // By now all processes that the case started have ended.
    let Ok(outcome) = played else {
        record.line("the case could not run");
        process::exit(2);
    };
    record.line(if outcome == Outcome::Broken { "the rule was broken" } else { "the rule held" });
    process::exit(if outcome == Outcome::Broken { 1 } else { 0 });
}

/// Ends the case, which could not run.
pub fn give_up(message: &str) -> ! {
    // The panic drops the processes that were started, which ends them.
    panic!("the case could not run: {message}");
}

/// Returns the wall clock, in milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(0)
}
