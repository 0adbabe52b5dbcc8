//! The machines are stopped and started in turn while workers of two versions serve. Clients take up
//! the streams that end with their machine.

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
use crate::node::Node;
use crate::node::free_address;
use crate::record::Record;
use crate::store::Store;
use crate::stream::Stream;
use crate::worker::Work;
use crate::worker::Worker;

/// Machines by zone, as on the site.
const ZONES: [(&str, usize); 3] = [("chc-a", 3), ("chc-b", 3), ("chc-c", 2)];
const MACHINES: usize = 8;

/// Workers of each of two versions.
const WORKERS_OF_VERSION: usize = 3;

/// Time between two streams that begin, of all clients together.
const STREAM_INTERVAL: Duration = Duration::from_millis(30);

/// Time after the first stream at which the last one begins.
const TRAFFIC: Duration = Duration::from_secs(26);

/// When the first machine gets SIGTERM, and the time from there to the next one (`gap_s` of the site).
const STOP: Duration = Duration::from_millis(9_000);
const GAP: Duration = Duration::from_millis(1_300);

/// Time from the end of a process to its next start.
const START_DELAY: Duration = Duration::from_millis(300);

/// `graceS`, after which a process is killed.
const GRACE: Duration = Duration::from_secs(8);

/// `contactMs`.
const CONTACT: Duration = Duration::from_secs(3);

/// Gap after which clients give a stream up: two seconds.
const PATIENCE: Duration = Duration::from_secs(2);

/// Fewest streams that the rule judges.
const MIN_STREAMS: usize = 12;

/// A machine as the platform sees it.
struct Machine {
    node: Mutex<Node>,
    front: std::net::SocketAddr,
    ready: std::net::SocketAddr,
    zone: usize,
    is_in_rotation: AtomicBool,
    /// Since when the machine has run without a stop; `None` from a SIGTERM to the next start.
    runs_since: Mutex<Option<Instant>>,
}

impl Machine {
    fn is_in_touch(&self) -> bool {
        self.runs_since.lock().unwrap().is_some_and(|it| it.elapsed() >= CONTACT)
    }
}

/// Attempts at machines in touch that go on with a stream or begin one, and how many did.
#[derive(Default)]
struct Counts {
    resumed: usize,
    went_on: usize,
    resumed_elsewhere: usize,
    went_on_elsewhere: usize,
    new: usize,
    began: usize,
    mixed: usize,
}

pub fn play(record: &Arc<Record>, folder: &str, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &super::config(1, &[KEY]));
    let work = Work { time: Duration::ZERO, events: 100, gap: Duration::from_millis(80) };
    let workers: Vec<Arc<Worker>> = (0..2 * WORKERS_OF_VERSION)
        .map(|it| {
            let zone = ZONES[it % ZONES.len()].0;
            Worker::new(&format!("i-{it}"), DESK, zone, 64, work.clone(), &store, record)
        })
        .collect();
    for (index, worker) in workers.iter().enumerate() {
        worker.start(if index < WORKERS_OF_VERSION { "v1" } else { "v2" }, Duration::ZERO);
    }
    let machines = start_machines(folder, &store);
    let settled =
        |it: &Arc<Machine>| it.node.lock().unwrap().wait_settled(workers.len(), MACHINES);
    if !machines.iter().all(settled) {
        return Verdict::CouldNotRun("the machines are not ready");
    }
    let started_at = Instant::now();
    machines.iter().for_each(|it| *it.runs_since.lock().unwrap() = Some(started_at));
    machines.iter().for_each(|it| probe(it.clone()));
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let clients = {
        let (machines, counts, record) = (machines.clone(), counts.clone(), record.clone());
        thread::spawn(move || run_clients(&record, &machines, started_at, &counts))
    };
    if trouble {
        let seeds: Vec<_> = machines.iter().map(|it| it.node.lock().unwrap().control).collect();
        for (index, machine) in machines.iter().enumerate() {
            let due = STOP + GAP * index as u32;
            thread::sleep(due.saturating_sub(started_at.elapsed()));
            stop_and_start(record, machine.clone(), seeds[..3].to_vec());
        }
    }
    let _ = clients.join();
    // The threads that ask whether the machines are ready hold on to them.
    machines.iter().for_each(|it| it.node.lock().unwrap().kill());
    let counts = counts.lock().unwrap();
    record.say(&format!(
        "at machines in touch: {} of {} new streams began, {} of {} streams that were taken up again went \
         on; at others {} of {}; {} with events of two versions",
        counts.began,
        counts.new,
        counts.went_on,
        counts.resumed,
        counts.went_on_elsewhere,
        counts.resumed_elsewhere,
        counts.mixed
    ));
    if counts.new < MIN_STREAMS || counts.began * 2 < counts.new {
        return Verdict::CouldNotRun("the clients were not served");
    }
    let share = |part: usize, whole: usize| part as f64 / whole.max(1) as f64;
    let is_under_half =
        share(counts.went_on, counts.resumed) < share(counts.began, counts.new) / 2.0;
    if counts.resumed >= MIN_STREAMS && is_under_half { Verdict::Broken } else { Verdict::Held }
}

fn start_machines(folder: &str, store: &Arc<Store>) -> Vec<Arc<Machine>> {
    let controls: Vec<_> = (0..MACHINES).map(|_| free_address()).collect();
    let places = ZONES.iter().enumerate().flat_map(|(zone, (name, count))| {
        (1..=*count).map(move |it| (zone, *name, format!("front-{name}-{it}")))
    });
    let start = |((zone, zone_name, name), control): ((usize, &str, String), _)| {
        let seeds = &controls[..3];
        let node = Node::start(folder, &name, zone_name, store.address, control, seeds, true);
        Arc::new(Machine {
            front: node.front,
            ready: node.ready,
            node: Mutex::new(node),
            zone,
            is_in_rotation: AtomicBool::new(true),
            runs_since: Mutex::new(None),
        })
    };
    places.zip(controls.iter().copied()).map(start).collect()
}

/// Asks a machine each second whether it is ready; two misses take it out of rotation.
fn probe(machine: Arc<Machine>) {
    thread::spawn(move || {
        let mut misses = 0;
        loop {
            let request = "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
            let status = crate::http::call(machine.ready, request, Duration::from_millis(500)).0;
            misses = if status == 200 { 0 } else { misses + 1 };
            machine.is_in_rotation.store(misses < 2, Ordering::SeqCst);
            thread::sleep(Duration::from_secs(1));
        }
    });
}

/// Stops a machine as the platform does, and starts it again once it has ended.
fn stop_and_start(record: &Arc<Record>, machine: Arc<Machine>, seeds: Vec<std::net::SocketAddr>) {
    *machine.runs_since.lock().unwrap() = None;
    machine.node.lock().unwrap().signal("-TERM");
    record.line(&format!("SIGTERM to {}", machine.node.lock().unwrap().name));
    let record = record.clone();
    thread::spawn(move || {
        let stopped_at = Instant::now();
        loop {
            thread::sleep(Duration::from_millis(20));
            let mut node = machine.node.lock().unwrap();
            if !matches!(node.child.try_wait(), Ok(None)) || stopped_at.elapsed() >= GRACE {
                node.kill();
                break;
            }
        }
        record.line(&format!("{} has ended", machine.node.lock().unwrap().name));
        thread::sleep(START_DELAY);
        machine.node.lock().unwrap().restart(&seeds);
        *machine.runs_since.lock().unwrap() = Some(Instant::now());
        record.line(&format!("{} starts again", machine.node.lock().unwrap().name));
    });
}

/// Returns the machine to which the platform sends a client's new connection: one of the client's zone
/// that is in rotation; any of the zone if fewer than half are; of the next zone if none is.
fn choose(machines: &[Arc<Machine>], zone: usize, number: usize) -> Arc<Machine> {
    for zone in (0..ZONES.len()).map(|it| (zone + it) % ZONES.len()) {
        let all: Vec<_> = machines.iter().filter(|it| it.zone == zone).collect();
        let ready: Vec<_> =
            all.iter().filter(|it| it.is_in_rotation.load(Ordering::SeqCst)).collect();
        if ready.len() * 2 >= all.len() {
            return (**ready[number % ready.len()]).clone();
        }
        if !ready.is_empty() {
            return all[number % all.len()].clone();
        }
    }
    machines[number % machines.len()].clone()
}

fn run_clients(
    record: &Arc<Record>,
    machines: &[Arc<Machine>],
    started_at: Instant,
    counts: &Arc<Mutex<Counts>>,
) {
    let mut clients = Vec::new();
    let mut number = 0;
    while started_at.elapsed() < TRAFFIC {
        let (machines, counts, record) = (machines.to_vec(), counts.clone(), record.clone());
        clients
            .push(thread::spawn(move || run_client(&record, &machines, number, &counts)));
        number += 1;
        thread::sleep(STREAM_INTERVAL);
    }
    clients.into_iter().for_each(|it| drop(it.join()));
}

/// Runs a stream to its end: once at one machine, and once more at another if it breaks off.
fn run_client(record: &Record, machines: &[Arc<Machine>], number: u64, counts: &Mutex<Counts>) {
    let id = format!("{number:016x}");
    let zone = number as usize % ZONES.len();
    let mut stream = Stream { patience: Some(PATIENCE), ..Stream::default() };
    for attempt in 0..2 {
        let request = if attempt == 0 { id.clone() } else { format!("{id}-again") };
        // Retries reach other nodes.
        let machine = choose(machines, zone, number as usize / ZONES.len() + attempt);
        let is_in_touch = machine.is_in_touch();
        let last_id = stream.last_id;
        stream.attempt(record, machine.front, number, &id, &request);
        let mut counts = counts.lock().unwrap();
        let has_more = usize::from(stream.last_id > last_id);
        match (last_id > 0, is_in_touch) {
            (true, true) => {
                counts.resumed += 1;
                counts.went_on += has_more;
            }
            (true, false) => {
                counts.resumed_elsewhere += 1;
                counts.went_on_elsewhere += has_more;
            }
            (false, true) if attempt == 0 => {
                counts.new += 1;
                counts.began += has_more;
            }
            (false, _) => {}
        }
        if stream.is_complete {
            break;
        }
    }
    counts.lock().unwrap().mixed += usize::from(stream.versions.len() > 1);
}
