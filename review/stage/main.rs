//! Stand-ins of the platform's store, workers and clients, and the cases that start the program
//! beside them.
//!
//! `stage CASE RECORD FOLDER with|without` plays a case with its disruption or without it. It exits with 1
//! if the rule was broken, 0 if it held and 2 if the case could not run. The scripts of the cases choose
//! by `TROUBLE`.

mod cases;
mod http;
mod json;
mod line;
mod node;
mod record;
mod store;
mod stream;
mod worker;

use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// Maximum time of a case.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(&'static str),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, folder, disruption] = arguments.as_slice() else { exit(2) };
    let trouble = match disruption.as_str() {
        "with" => true,
        "without" => false,
        _ => exit(2),
    };
    let record = Record::create(record);
    record.say(if trouble { "with the disruption" } else { "without the disruption" });
    let watchdog = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watchdog.say("could not run: the time is over");
        exit(2);
    });
    let verdict = match case.as_str() {
        "order" => cases::order::play(&record, folder, trouble),
        "limit" => cases::limit::play(&record, folder, trouble),
        "head" => cases::head::play(&record, folder, trouble),
        "resume" => cases::resume::play(&record, folder, trouble),
        "restored" => cases::restored::play(&record, folder, trouble),
        "frozen" => cases::frozen::play(&record, folder, trouble),
        "rolling" => cases::rolling::play(&record, folder, trouble),
        "limits" => cases::limits::play(&record, folder, trouble),
        "crashes" => cases::crashes::play(&record, folder, trouble),
        "memory" => cases::memory::play(&record, folder, trouble),
        _ => Verdict::CouldNotRun("no such case"),
    };
    match verdict {
        Verdict::Held => record.say("the rule held"),
        Verdict::Broken => {
            record.say("the rule was broken");
            exit(1);
        }
        Verdict::CouldNotRun(reason) => {
            record.say(&format!("could not run: {reason}"));
            exit(2);
        }
    }
}
