//! A machine freezes while one version of the workers' software serves. A second later a release begins.
//! The clients of the machine take their streams up again at the others.

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

const MACHINES: usize = 3;

/// Workers of the version that serves from the start.
const OLD_WORKERS: usize = 4;

/// Time between two streams that begin, of all clients together.
const STREAM_INTERVAL: Duration = Duration::from_millis(40);

/// Time after the first stream at which the last one begins.
const TRAFFIC: Duration = Duration::from_secs(12);

/// When the machine freezes and when it goes on.
const FREEZE: Duration = Duration::from_millis(6_000);
const WAKE: Duration = Duration::from_millis(9_500);

/// When the first worker of the release starts.
const RELEASE: Duration = Duration::from_millis(7_000);

/// Time after which the platform sends no new connection to a machine that does not answer.
const ROTATION: Duration = Duration::from_secs(2);

/// Gap after which clients give a stream up: two seconds.
const PATIENCE: Duration = Duration::from_secs(2);

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
    let workers: Vec<Arc<Worker>> = (1..=OLD_WORKERS + 1)
        .map(|it| Worker::new(&format!("i-{it}"), DESK, "chc-a", 64, work.clone(), &store, record))
        .collect();
    let (old, new) = workers.split_at(OLD_WORKERS);
    old.iter().for_each(|it| it.start("v1", Duration::ZERO));
    let nodes = super::start_nodes(folder, &store, MACHINES);
    if !nodes.iter().all(|it| it.wait_settled(old.len(), MACHINES)) {
        return Verdict::CouldNotRun("the machines are not ready");
    }
    let fronts: Vec<SocketAddr> = nodes.iter().map(|it| it.front).collect();
    let started_at = Instant::now();
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let clients = {
        let (counts, record) = (counts.clone(), record.clone());
        thread::spawn(move || run_clients(&record, &fronts, started_at, trouble, &counts))
    };
    let sleep_until = |at: Duration| thread::sleep(at.saturating_sub(started_at.elapsed()));
    sleep_until(FREEZE);
    if trouble {
        nodes[0].signal("-STOP");
        record.say("a machine freezes");
    }
    sleep_until(RELEASE);
    new.iter().for_each(|it| it.start("v2", Duration::ZERO));
    record.say("the first worker of the release starts");
    sleep_until(WAKE);
    if trouble {
        nodes[0].signal("-CONT");
        record.say("the machine goes on");
    }
    let _ = clients.join();
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

fn run_clients(
    record: &Arc<Record>,
    fronts: &[SocketAddr],
    started_at: Instant,
    trouble: bool,
    counts: &Arc<Mutex<Counts>>,
) {
    let mut clients = Vec::new();
    let mut number = 0;
    while started_at.elapsed() < TRAFFIC {
        let (counts, record) = (counts.clone(), record.clone());
        // The platform takes the frozen machine out of rotation.
        let is_out = trouble && started_at.elapsed() >= FREEZE + ROTATION;
        let first = number as usize % fronts.len();
        let first = if is_out && first == 0 { 1 + number as usize / 3 % 2 } else { first };
        let second = if first == 1 { 2 } else { 1 };
        let fronts = [fronts[first], fronts[second]];
        let is_in_touch = [first != 0, true];
        clients.push(thread::spawn(move || {
            run_client(&record, fronts, is_in_touch, number, &counts);
        }));
        number += 1;
        thread::sleep(STREAM_INTERVAL);
    }
    clients.into_iter().for_each(|it| drop(it.join()));
}

/// Runs a stream to its end: once at one machine, and once more at another if it breaks off.
fn run_client(
    record: &Record,
    fronts: [SocketAddr; 2],
    is_in_touch: [bool; 2],
    number: u64,
    counts: &Mutex<Counts>,
) {
    let id = format!("{number:016x}");
    let mut stream = Stream { patience: Some(PATIENCE), ..Stream::default() };
    for (attempt, front) in fronts.into_iter().enumerate() {
        let request = if attempt == 0 { id.clone() } else { format!("{id}-again") };
        let last_id = stream.last_id;
        stream.attempt(record, front, number, &id, &request);
        let mut counts = counts.lock().unwrap();
        if is_in_touch[attempt] {
            let has_more = usize::from(stream.last_id > last_id);
            if last_id > 0 {
                counts.resumed += 1;
                counts.went_on += has_more;
            } else if attempt == 0 {
                counts.new += 1;
                counts.began += has_more;
            }
        }
        if stream.is_complete {
            break;
        }
    }
    counts.lock().unwrap().mixed += usize::from(stream.versions.len() > 1);
}
