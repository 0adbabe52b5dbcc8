//! All machines lose power in a drill, in which the store comes back from a copy some seconds old. The
//! copy is older than a release that has begun. Clients take their streams up again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::DESK;
use super::KEY;
use crate::Verdict;
use crate::line::Line;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;
use crate::stream::Stream;
use crate::worker::Work;
use crate::worker::Worker;

const MACHINES: usize = 3;

/// Workers of the version that serves from the start, and of the one that is released.
const OLD_WORKERS: usize = 3;
const NEW_WORKERS: usize = 2;

/// Time between two streams that begin, of all clients together.
const STREAM_INTERVAL: Duration = Duration::from_millis(40);

/// Time after the first stream at which the last one begins.
const TRAFFIC: Duration = Duration::from_secs(14);

/// When the copy is taken, and when the first workers of the release start.
const COPY: Duration = Duration::from_millis(5_000);
const RELEASE: Duration = Duration::from_millis(5_500);

/// When the machines lose power and the store goes away; when the machines start again; when the store
/// is back.
const LOSS: Duration = Duration::from_millis(8_000);
const START: Duration = Duration::from_millis(8_500);
const RETURN: Duration = Duration::from_millis(9_200);

/// Gap after which clients give a stream up: two seconds.
const PATIENCE: Duration = Duration::from_secs(2);

/// Number of streams with events of two versions that the rule lets pass.
const ALLOWED: usize = 2;

pub fn play(record: &Arc<Record>, folder: &str, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &super::config(1, &[KEY]));
    let work = Work { time: Duration::ZERO, events: 70, gap: Duration::from_millis(50) };
    let workers: Vec<Arc<Worker>> = (1..=OLD_WORKERS + NEW_WORKERS)
        .map(|it| Worker::new(&format!("i-{it}"), DESK, "chc-a", 64, work.clone(), &store, record))
        .collect();
    let (old, new) = workers.split_at(OLD_WORKERS);
    old.iter().for_each(|it| it.start("v1", Duration::ZERO));
    let mut nodes = super::start_nodes(folder, &store, MACHINES);
    if !nodes.iter().all(|it| it.wait_settled(old.len(), MACHINES)) {
        return Verdict::CouldNotRun("the machines are not ready");
    }
    // The system has run for a while when the drill comes.
    thread::sleep(Duration::from_secs(3));
    let lines: Vec<Arc<Line>> = nodes.iter().map(|it| Line::start(it.front)).collect();
    let fronts: Vec<SocketAddr> = lines.iter().map(|it| it.address).collect();
    let seeds: Vec<SocketAddr> = nodes.iter().map(|it| it.control).collect();
    let started_at = Instant::now();
    let streams: Arc<Mutex<Vec<(String, Stream)>>> = Arc::default();
    let clients = {
        let (streams, record) = (streams.clone(), record.clone());
        thread::spawn(move || run_clients(&record, &fronts, started_at, &streams))
    };
    let sleep_until = |at: Duration| thread::sleep(at.saturating_sub(started_at.elapsed()));
    let versions = || store.text("cranberryvalve-versions", DESK);
    sleep_until(COPY);
    let copy = store.copy();
    record.say(&format!("a copy of the store is taken; versions {}", versions()));
    sleep_until(RELEASE);
    new.iter().for_each(|it| it.start("v2", Duration::ZERO));
    sleep_until(LOSS);
    record.say(&format!("the system has recorded the versions {}", versions()));
    if trouble {
        record.say("all machines lose power, and the store goes away");
        lines.iter().for_each(|it| it.lose_power());
        store.go_away();
        nodes.iter_mut().for_each(Node::kill);
        sleep_until(START);
        nodes.iter_mut().for_each(|it| it.restart(&seeds));
        lines.iter().for_each(|it| it.regain_power());
        record.say("the machines start again");
        sleep_until(RETURN);
        store.come_back(copy);
        record.say("the store is back from the copy");
    }
    let _ = clients.join();
    let streams = streams.lock().unwrap();
    let is_mixed = |it: &&(String, Stream)| it.1.versions.len() > 1;
    let mixed: Vec<&str> = streams.iter().filter(is_mixed).map(|it| it.0.as_str()).collect();
    let complete = streams.iter().filter(|it| it.1.is_complete).count();
    record.say(&format!(
        "{} streams: {complete} complete, {} with events of two versions (allowed {ALLOWED})",
        streams.len(),
        mixed.len()
    ));
    record.line(&format!("streams with events of two versions: {}", mixed.join(" ")));
    if complete * 2 < streams.len() {
        return Verdict::CouldNotRun("the clients were not served");
    }
    if mixed.len() > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

fn run_clients(
    record: &Arc<Record>,
    fronts: &[SocketAddr],
    started_at: Instant,
    streams: &Arc<Mutex<Vec<(String, Stream)>>>,
) {
    let mut clients = Vec::new();
    let mut number = 0;
    while started_at.elapsed() < TRAFFIC {
        let (streams, record) = (streams.clone(), record.clone());
        let fronts = [0, 1].map(|it| fronts[(number as usize + it) % fronts.len()]);
        clients.push(thread::spawn(move || {
            let id = format!("{number:016x}");
            let stream = run_client(&record, fronts, number, &id);
            streams.lock().unwrap().push((id, stream));
        }));
        number += 1;
        thread::sleep(STREAM_INTERVAL);
    }
    clients.into_iter().for_each(|it| drop(it.join()));
}

/// Runs a stream to its end: once at one machine, and once more at another if it breaks off.
fn run_client(record: &Record, fronts: [SocketAddr; 2], number: u64, id: &str) -> Stream {
    let mut stream = Stream { patience: Some(PATIENCE), ..Stream::default() };
    stream.attempt(record, fronts[0], number, id, id);
    if !stream.is_complete {
        stream.attempt(record, fronts[1], number, id, &format!("{id}-again"));
    }
    stream
}
