//! The operator raises `maxBodyBytes`. Connections that were kept since before go by the old limit.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::BERTH;
use super::KEY;
use crate::Verdict;
use crate::http::Reader;
use crate::http::connect;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Work;
use crate::worker::Worker;

/// `configApplyMs`, and two seconds more; under four fifths of `idleTimeoutMs`.
const APPLIED: Duration = Duration::from_secs(4);

/// Number of clients, each with a kept connection.
const CLIENTS: usize = 12;

/// Number of requests that may be denied: 5, and one in 500.
const ALLOWED: usize = 5;

pub fn play(record: &Arc<Record>, folder: &str, trouble: bool) -> Verdict {
    let store = Store::start();
    let config =
        |version, max_bytes: &str| super::config(version, &[KEY]).replace("4194304", max_bytes);
    store.put("op", "config", &config(1, if trouble { "65536" } else { "1048576" }));
    let work = Work { time: Duration::from_millis(15), events: 0, gap: Duration::ZERO };
    let worker = Worker::new("i-1", BERTH, "chc-a", 6, work, &store, record);
    worker.start("v1", Duration::ZERO);
    let nodes = super::start_nodes(folder, &store, 2);
    if !nodes.iter().all(|it| it.wait_settled(1, nodes.len())) {
        return Verdict::CouldNotRun("the machines are not ready");
    }
    let connections =
        (0..CLIENTS).map(|it| connect(nodes[it % nodes.len()].front, Duration::from_secs(5)));
    let Ok(mut clients) = connections.collect::<Result<Vec<Reader>, _>>() else {
        return Verdict::CouldNotRun("a machine takes no connection");
    };
    let statuses = send_all(record, &mut clients, "a", 100);
    if statuses.iter().any(|it| it != "200") {
        return Verdict::CouldNotRun("the clients were not served");
    }
    store.put("op", "config", &config(2, "1048576"));
    record.say("the operator's configuration allows 1,048,576 bytes");
    thread::sleep(APPLIED);
    let statuses = send_all(record, &mut clients, "b", 200_000);
    let denied = statuses.iter().filter(|it| it.starts_with('4')).count();
    record.say(&format!("{denied} of {} requests were denied (allowed {ALLOWED})", 2 * CLIENTS));
    if denied > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Sends a request on each connection and returns the statuses.
fn send_all(record: &Record, clients: &mut [Reader], name: &str, size: usize) -> Vec<String> {
    let mut statuses = Vec::new();
    for (number, client) in clients.iter_mut().enumerate() {
        let request = format!(
            "POST /book/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {name}{number}\r\n\
             Deadline-Ms: 1500\r\nX-Api-Key: {KEY}\r\nContent-Length: {size}\r\n\r\n"
        );
        let _ = client.send(request.as_bytes());
        // A machine may answer before it has read the body.
        let _ = client.send(&vec![b'x'; size]);
        let status = match client.head() {
            Ok(Some(head)) => {
                let _ = client.body(&head);
                head.word(1).to_owned()
            }
            _ => "no answer".to_owned(),
        };
        record.line(&format!("client sends {name}{number} with {size} bytes: {status}"));
        statuses.push(status);
    }
    statuses
}
