//! A key is taken away from a connected client, whose next request is HEAD.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::BERTH;
use super::KEY;
use super::SECOND_KEY;
use crate::Verdict;
use crate::http::Reader;
use crate::http::connect;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Work;
use crate::worker::Worker;

/// `configApplyMs`, and a second more.
const APPLIED: Duration = Duration::from_millis(3_000);

pub fn play(record: &Arc<Record>, folder: &str, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &super::config(1, &[KEY, SECOND_KEY]));
    let work = Work { time: Duration::from_millis(15), events: 0, gap: Duration::ZERO };
    let worker = Worker::new("i-1", BERTH, "chc-a", 6, work, &store, record);
    worker.start("v1", Duration::ZERO);
    let nodes = super::start_nodes(folder, &store, 2);
    if !nodes.iter().all(|it| it.wait_settled(1, nodes.len())) {
        return Verdict::CouldNotRun("the machines are not ready");
    }
    let mut broken = 0;
    for (number, node) in nodes.iter().enumerate() {
        let Ok(mut client) = connect(node.front, Duration::from_secs(5)) else {
            return Verdict::CouldNotRun("a machine takes no connection");
        };
        let first =
            exchange(record, &mut client, "HEAD", "/read/1", Some(KEY), &format!("a{number}"));
        let second = exchange(record, &mut client, "GET", "/open/1", None, &format!("b{number}"));
        if !(first && second) {
            return Verdict::CouldNotRun("the client was not served");
        }
        if trouble {
            store.put("op", "config", &super::config(2 + 2 * number as u32, &[SECOND_KEY]));
            record.say("the operator takes the client's key away");
        }
        thread::sleep(APPLIED);
        let third =
            exchange(record, &mut client, "HEAD", "/read/2", Some(KEY), &format!("c{number}"));
        let fourth = exchange(record, &mut client, "GET", "/open/2", None, &format!("d{number}"));
        broken += usize::from(!(third && fourth));
        store.put("op", "config", &super::config(3 + 2 * number as u32, &[KEY, SECOND_KEY]));
        thread::sleep(APPLIED);
    }
    record
        .say(&format!("{broken} of {} connections carried bytes that are no answer", nodes.len()));
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}

/// Sends a request on the client's kept connection and reads the answer. Returns `false` if what comes
/// is no answer in HTTP/1.1. A connection that the machine closes after an answer is opened again.
fn exchange(
    record: &Record,
    client: &mut Reader,
    method: &str,
    path: &str,
    key: Option<&str>,
    id: &str,
) -> bool {
    let key = key.map(|it| format!("X-Api-Key: {it}\r\n")).unwrap_or_default();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
         {key}\r\n"
    );
    record.say(&format!("client sends {id}: {method} {path}"));
    if client.send(request.as_bytes()).is_err() {
        record.say("the connection is closed");
        return true;
    }
    let head = match client.head() {
        Ok(Some(head)) => head,
        Ok(None) => {
            record.say("the connection is closed without an answer");
            return true;
        }
        Err(error) => {
            let bytes = String::from_utf8_lossy(&client.buffer).into_owned();
            record.say(&format!("what comes is no answer ({error}): {bytes:?}"));
            return false;
        }
    };
    if !head.start.starts_with("HTTP/1.1 ") {
        record.say(&format!("what comes is no answer: it begins with {:?}", head.start));
        return false;
    }
    // An answer to HEAD ends with its head.
    let body = if method == "HEAD" { Ok(Vec::new()) } else { client.body(&head) };
    let answered = head.get("request-id").unwrap_or("none");
    let length = head.get("content-length").unwrap_or("none");
    record.say(&format!(
        "client gets {:?} for {answered}, length {length}, body of {} bytes",
        head.start,
        body.as_ref().map_or(0, Vec::len)
    ));
    if answered != "none" && answered != id {
        record.say("it is the answer to another request");
        return false;
    }
    body.is_ok()
}
