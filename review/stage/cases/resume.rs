//! All machines are killed at the same moment while workers of two versions serve. Their clients take
//! the streams up again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::DESK;
use super::KEY;
use crate::Verdict;
use crate::node::Node;
use crate::record::Record;
use crate::store::Store;
use crate::stream::Stream;
use crate::worker::Work;
use crate::worker::Worker;

const MACHINES: usize = 3;

/// Time between two streams that begin, of all clients together.
const STREAM_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the first stream at which the last one begins.
const TRAFFIC: Duration = Duration::from_secs(15);

/// Time at which the machines are killed, and after which they start again.
const KILL: Duration = Duration::from_secs(6);
const DOWN: Duration = Duration::from_millis(700);

/// `contactMs`: a machine is in touch from then on after its start.
const CONTACT: Duration = Duration::from_secs(3);

/// Times between the attempts of a client whose stream broke off: it makes one retry, as the clients of
/// the site do.
const PAUSES: [Duration; 1] = [Duration::from_millis(4_500)];

/// Fewest streams that the rule judges.
const MIN_STREAMS: usize = 12;

/// Attempts at machines in touch that go on with a stream or begin one, and how many did.
#[derive(Default)]
struct Counts {
    resumed: usize,
    went_on: usize,
    new: usize,
    began: usize,
    mixed: usize,
}

pub fn play(record: &Arc<Record>, folder: &str, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &super::config(1, &[KEY]));
    let work = Work { time: Duration::ZERO, events: 70, gap: Duration::from_millis(50) };
    let workers: Vec<Arc<Worker>> = (1..=4)
        .map(|it| Worker::new(&format!("i-{it}"), DESK, "chc-a", 64, work.clone(), &store, record))
        .collect();
    for (index, worker) in workers.iter().enumerate() {
        worker.start(if index < 2 { "v1" } else { "v2" }, Duration::ZERO);
    }
    let mut nodes = super::start_nodes(folder, &store, MACHINES);
    if !nodes.iter().all(|it| it.wait_settled(workers.len(), MACHINES)) {
        return Verdict::CouldNotRun("the machines are not ready");
    }
    let fronts: Vec<SocketAddr> = nodes.iter().map(|it| it.front).collect();
    let seeds: Vec<SocketAddr> = nodes.iter().map(|it| it.control).collect();
    let started_at = Instant::now();
    let in_touch_from = started_at + if trouble { KILL + DOWN + CONTACT } else { Duration::ZERO };
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let mut clients = Vec::new();
    let (mut number, mut is_due) = (0, trouble);
    while started_at.elapsed() < TRAFFIC {
        if is_due && started_at.elapsed() >= KILL {
            is_due = false;
            record.say("all machines are killed");
            nodes.iter_mut().for_each(Node::kill);
            thread::sleep(DOWN);
            nodes.iter_mut().for_each(|it| it.restart(&seeds));
            record.say("they start again");
        }
        let (counts, fronts, record) = (counts.clone(), fronts.clone(), record.clone());
        clients.push(thread::spawn(move || {
            run_client(&record, &fronts, number, in_touch_from, &counts);
        }));
        number += 1;
        thread::sleep(STREAM_INTERVAL);
    }
    clients.into_iter().for_each(|it| drop(it.join()));
    let counts = counts.lock().unwrap();
    record.say(&format!(
        "at machines in touch: {} of {} new streams began, {} of {} streams that were taken up again went \
         on; {} with events of two versions",
        counts.began, counts.new, counts.went_on, counts.resumed, counts.mixed
    ));
    if counts.new < MIN_STREAMS || counts.began * 2 < counts.new {
        return Verdict::CouldNotRun("the clients were not served");
    }
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    let is_under_half =
        share(counts.went_on, counts.resumed) < share(counts.began, counts.new) / 2.0;
    if counts.resumed >= MIN_STREAMS && is_under_half { Verdict::Broken } else { Verdict::Held }
}

/// Runs a stream to its end, and takes it up again at other machines if it breaks off.
fn run_client(
    record: &Record,
    fronts: &[SocketAddr],
    number: u64,
    in_touch_from: Instant,
    counts: &Mutex<Counts>,
) {
    let id = format!("{number:016x}");
    let mut stream = Stream::default();
    for attempt in 0..=PAUSES.len() {
        let front = fronts[(number as usize + attempt) % fronts.len()];
        let request = if attempt == 0 { id.clone() } else { format!("{id}-{attempt}") };
        let (sent_at, last_id) = (Instant::now(), stream.last_id);
        let status = stream.attempt(record, front, number, &id, &request);
        let mut counts = counts.lock().unwrap();
        if sent_at >= in_touch_from {
            let has_more = usize::from(stream.last_id > last_id);
            if last_id > 0 {
                counts.resumed += 1;
                counts.went_on += has_more;
            } else if attempt == 0 {
                counts.new += 1;
                counts.began += has_more;
            }
        }
        counts.mixed += usize::from(stream.versions.len() > 1);
        drop(counts);
        if stream.is_complete || attempt == PAUSES.len() {
            return;
        }
        // A client whose request may have begun a stream that cannot be told makes no further attempt.
        if stream.last_id == 0 && status == 502 {
            return;
        }
        thread::sleep(PAUSES[attempt]);
    }
}
