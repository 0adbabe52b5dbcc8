//! A request crashes each worker that begins to run it, and comes again. All machines are killed after
//! they have found that out.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::DESK;
use super::KEY;
use crate::Verdict;
use crate::http::call;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;
use crate::stream::Stream;
use crate::worker::CRASHING_PART;
use crate::worker::Work;
use crate::worker::Worker;

const MACHINES: usize = 3;
const WORKERS: usize = 6;

/// Time between two sound streams that begin, of all clients together.
const STREAM_INTERVAL: Duration = Duration::from_millis(50);

/// Length of the play.
const LENGTH: Duration = Duration::from_secs(50);

/// Time between two requests that crash workers.
const BAD_INTERVAL: Duration = Duration::from_secs(5);

/// When all machines are killed, and after which time they start again.
const KILL: Duration = Duration::from_secs(18);
const DOWN: Duration = Duration::from_millis(700);

/// Time after which a worker that has crashed is back.
const WORKER_DOWN: Duration = Duration::from_secs(2);

/// `contactMs`.
const CONTACT: Duration = Duration::from_secs(3);

/// Number of retries later than `contactMs` after the third crash that the rule lets pass.
const ALLOWED: usize = 3;

pub fn play(record: &Arc<Record>, folder: &str, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &super::config(1, &[KEY]));
    let work = Work { time: Duration::ZERO, events: 40, gap: Duration::from_millis(50) };
    let workers: Vec<Arc<Worker>> = (1..=WORKERS)
        .map(|it| Worker::new(&format!("i-{it}"), DESK, "chc-a", 64, work.clone(), &store, record))
        .collect();
    workers.iter().for_each(|it| it.start("v1", Duration::ZERO));
    let mut nodes = super::start_nodes(folder, &store, MACHINES);
    if !nodes.iter().all(|it| it.wait_settled(workers.len(), MACHINES)) {
        return Verdict::CouldNotRun("the machines are not ready");
    }
    let is_over = Arc::new(AtomicBool::new(false));
    for worker in &workers {
        let (worker, is_over) = (worker.clone(), is_over.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                if !worker.is_running() {
                    thread::sleep(WORKER_DOWN);
                    worker.start("v1", Duration::from_millis(300));
                }
            }
        });
    }
    let fronts: Vec<SocketAddr> = nodes.iter().map(|it| it.front).collect();
    let seeds: Vec<SocketAddr> = nodes.iter().map(|it| it.control).collect();
    let started_at = Instant::now();
    let streams: Arc<Mutex<(usize, usize)>> = Arc::default();
    let (mut number, mut bad, mut is_due) = (0_u64, 0_u32, trouble);
    let mut in_touch_from = started_at;
    let mut sent = Vec::new();
    let mut clients = Vec::new();
    while started_at.elapsed() < LENGTH {
        if is_due && started_at.elapsed() >= KILL {
            is_due = false;
            record.say("all machines are killed");
            nodes.iter_mut().for_each(Node::kill);
            thread::sleep(DOWN);
            nodes.iter_mut().for_each(|it| it.restart(&seeds));
            in_touch_from = Instant::now() + CONTACT;
            record.say("they start again");
        }
        if started_at.elapsed() >= Duration::from_secs(3) + BAD_INTERVAL * bad {
            let (id, front) = (format!("bad-{bad}"), fronts[bad as usize % MACHINES]);
            sent.push((id.clone(), Instant::now() >= in_touch_from));
            let record = record.clone();
            clients.push(thread::spawn(move || {
                let request = format!(
                    "POST /feed/9 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
                     Token-Usage: 543,280\r\nPrompt-Prefix: 5c1e07a2:172,{CRASHING_PART}\r\n\
                     Deadline-Ms: 3000\r\nX-Api-Key: {KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
                );
                let status = call(front, &request, Duration::from_secs(3)).0;
                record.line(&format!("client has {id}: status {status}"));
            }));
            bad += 1;
        }
        let (record, streams) = (record.clone(), streams.clone());
        let front = fronts[number as usize % MACHINES];
        clients.push(thread::spawn(move || {
            let id = format!("{number:016x}");
            let mut stream = Stream::default();
            stream.attempt(&record, front, number, &id, &id);
            let mut streams = streams.lock().unwrap();
            streams.0 += 1;
            streams.1 += usize::from(stream.is_complete);
        }));
        number += 1;
        thread::sleep(STREAM_INTERVAL);
    }
    clients.into_iter().for_each(|it| drop(it.join()));
    is_over.store(true, Ordering::SeqCst);
    let mut runs: Vec<_> = workers.iter().flat_map(|it| it.runs()).collect();
    runs.retain(|it| it.request.starts_with("bad"));
    runs.sort_by_key(|it| it.at);
    let is_late = |at: Instant| runs.get(2).is_some_and(|third| at >= third.at + CONTACT);
    let is_in_touch = |id: &str| sent.iter().any(|it| it.0 == id && it.1);
    let late = runs.iter().filter(|it| is_late(it.at) && is_in_touch(&it.request));
    // A request that reaches two workers counts once.
    let retries = late.map(|it| &it.request).collect::<BTreeSet<_>>().len();
    let streams = streams.lock().unwrap();
    record.say(&format!(
        "the request reached workers {} times, in {retries} retries later than contactMs after the third \
         crash (allowed {ALLOWED}); {} of {} sound streams are complete",
        runs.len(),
        streams.1,
        streams.0
    ));
    if streams.1 * 2 < streams.0 {
        return Verdict::CouldNotRun("the clients were not served");
    }
    if retries > ALLOWED { Verdict::Broken } else { Verdict::Held }
}
