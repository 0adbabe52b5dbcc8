//! A worker crashes, starts again under its id with another version of its software, and crashes once
//! more. Streams that it began in between go on at workers of the version that it had before.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::DESK;
use super::KEY;
use crate::Verdict;
use crate::record::Record;
use crate::store::Store;
use crate::stream::Stream;
use crate::worker::Work;
use crate::worker::Worker;

/// Time between two streams that begin, of all clients together.
const STREAM_INTERVAL: Duration = Duration::from_millis(25);

/// Time after the first stream at which the last one begins.
const TRAFFIC: Duration = Duration::from_secs(14);

/// Times of the first crash, of the start with the other version, and of the second crash.
const CRASH: Duration = Duration::from_millis(5_000);
const START: Duration = Duration::from_millis(5_600);
const SECOND_CRASH: Duration = Duration::from_millis(8_000);

/// Time from that start to the first beat, less than the heartbeat interval of 1,200 ms.
const FIRST_BEAT: Duration = Duration::from_millis(1_100);

/// Number of streams with events of two versions that the rule lets pass.
const ALLOWED: usize = 2;

pub fn play(record: &Arc<Record>, folder: &str, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &super::config(1, &[KEY]));
    let work = Work { time: Duration::ZERO, events: 70, gap: Duration::from_millis(50) };
    let workers: Vec<Arc<Worker>> = (1..=4)
        .map(|it| Worker::new(&format!("i-{it}"), DESK, "chc-a", 64, work.clone(), &store, record))
        .collect();
    workers.iter().for_each(|it| it.start("v1", Duration::ZERO));
    let nodes = super::start_nodes(folder, &store, 2);
    if !nodes.iter().all(|it| it.wait_settled(workers.len(), nodes.len())) {
        return Verdict::CouldNotRun("the machines are not ready");
    }
    let fronts: Vec<SocketAddr> = nodes.iter().map(|it| it.front).collect();
    let started_at = Instant::now();
    if trouble {
        let worker = workers[0].clone();
        thread::spawn(move || {
            let sleep_until = |at: Duration| thread::sleep(at.saturating_sub(started_at.elapsed()));
            sleep_until(CRASH);
            worker.crash();
            sleep_until(START);
            worker.start("v2", FIRST_BEAT);
            sleep_until(SECOND_CRASH);
            worker.crash();
            thread::sleep(Duration::from_secs(1));
            worker.start("v2", FIRST_BEAT);
        });
    }
    let streams: Arc<Mutex<Vec<(String, Stream)>>> = Arc::default();
    let mut clients = Vec::new();
    let mut number = 0;
    while started_at.elapsed() < TRAFFIC {
        let (streams, fronts, record) = (streams.clone(), fronts.clone(), record.clone());
        clients.push(thread::spawn(move || {
            let id = format!("{number:016x}");
            let stream = run_client(&record, &fronts, number, &id);
            streams.lock().unwrap().push((id, stream));
        }));
        number += 1;
        thread::sleep(STREAM_INTERVAL);
    }
    clients.into_iter().for_each(|it| drop(it.join()));
    let streams = streams.lock().unwrap();
    let is_mixed = |it: &&(String, Stream)| it.1.versions.len() > 1;
    let mixed: Vec<&str> = streams.iter().filter(is_mixed).map(|it| it.0.as_str()).collect();
    let complete = streams.iter().filter(|it| it.1.is_complete).count();
    let faulty = streams.iter().filter(|it| it.1.is_faulty).count();
    record.say(&format!(
        "{} streams: {complete} complete, {faulty} with a piece missing or twice, {} with events of two \
         versions (allowed {ALLOWED})",
        streams.len(),
        mixed.len()
    ));
    record.line(&format!("streams with events of two versions: {}", mixed.join(" ")));
    if complete * 2 < streams.len() {
        return Verdict::CouldNotRun("the clients were not served");
    }
    if mixed.len() > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Runs a stream to its end: once at one machine, and once more at the other if it breaks off.
fn run_client(record: &Record, fronts: &[SocketAddr], number: u64, id: &str) -> Stream {
    let mut stream = Stream::default();
    stream.attempt(record, fronts[number as usize % fronts.len()], number, id, id);
    if !stream.is_complete {
        let other = fronts[(number as usize + 1) % fronts.len()];
        stream.attempt(record, other, number, id, &format!("{id}-again"));
    }
    stream
}
