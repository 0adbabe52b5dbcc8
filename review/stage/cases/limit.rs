//! Machines are added at the moment at which those go that their seeds name. Each of them, and the
//! machines that are left, then keeps the limit that a worker names as if it were the only one.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::BERTH;
use super::KEY;
use crate::Verdict;
use crate::http::call;
use crate::http::wait_until;
use crate::node::Node;
use crate::node::free_address;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Work;
use crate::worker::Worker;

/// Number of machines at the start, the first of which are the seeds of all.
const MACHINES: usize = 6;
const SEEDS: usize = 3;

/// Number of machines that are added.
const ADDED: usize = 2;

/// Requests a second that the worker takes from all machines together.
const LIMIT: u32 = 10;

/// `contactMs`, and the length of the windows in which requests are counted.
const CONTACT: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which the worker names its limit.
const LIMITED: Duration = Duration::from_secs(20);

/// Time between two requests of the clients of one machine.
const REQUEST_INTERVAL: Duration = Duration::from_millis(30);

pub fn play(record: &Arc<Record>, folder: &str, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &super::config(1, &[KEY]));
    let work = Work { time: Duration::from_millis(15), events: 0, gap: Duration::ZERO };
    let worker = Worker::new("i-1", BERTH, "chc-a", 6, work, &store, record);
    worker.start("v1", Duration::ZERO);
    let mut nodes = super::start_nodes(folder, &store, MACHINES);
    if !nodes.iter().all(|it| it.wait_settled(1, MACHINES)) {
        return Verdict::CouldNotRun("the machines are not ready");
    }
    let seeds: Vec<SocketAddr> = nodes.iter().take(SEEDS).map(|it| it.control).collect();
    if trouble {
        record.say(&format!("{SEEDS} of {MACHINES} machines lose power for good"));
        nodes.iter_mut().take(SEEDS).for_each(Node::kill);
    }
    record.say(&format!("{ADDED} machines are added, whose seeds are {SEEDS} of the machines"));
    let added: Vec<Node> = (0..ADDED)
        .map(|it| {
            let name = format!("front-chc-a-{}", MACHINES + 1 + it);
            Node::start(folder, &name, "chc-a", store.address, free_address(), &seeds, false)
        })
        .collect();
    let left: Vec<&Node> = nodes.iter().skip(SEEDS).chain(&added).collect();
    let is_ready = |it: &&Node| wait_until(Duration::from_secs(15), || it.is_ready());
    if !left.iter().all(is_ready) {
        return Verdict::CouldNotRun("the added machines are not ready");
    }
    // The list of seeds lags by 3 s at most; from then on the settings name machines that run.
    thread::sleep(Duration::from_secs(3));
    let fresh: Vec<SocketAddr> = left.iter().map(|it| it.control).collect();
    for (index, node) in left.iter().enumerate() {
        let own: Vec<SocketAddr> = (0..SEEDS).map(|it| fresh[(index + it) % fresh.len()]).collect();
        node.change_seeds(&own);
        node.signal("-HUP");
    }
    record.say("the settings files name machines that run as seeds, and the machines get SIGHUP");
    thread::sleep(Duration::from_secs(8));
    for node in &left {
        record.say(&format!("{} counts {} machines", node.name, node.members()));
    }
    worker.name_limit(Some(LIMIT));
    record.say(&format!("the worker names Server-Limit: {LIMIT}"));
    let named_at = Instant::now();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = left
        .iter()
        .map(|it| {
            let (front, name, record) = (it.front, it.name.clone(), record.clone());
            let is_over = is_over.clone();
            thread::spawn(move || run_clients(&record, &name, front, &is_over))
        })
        .collect();
    thread::sleep(LIMITED);
    is_over.store(true, Ordering::SeqCst);
    let served: usize = clients.into_iter().map(|it| it.join().unwrap_or(0)).sum();
    let runs = worker.runs();
    let counted: Vec<Instant> =
        runs.iter().map(|it| it.at).filter(|it| *it >= named_at + CONTACT).collect();
    let in_window = |start: &Instant| {
        counted.iter().filter(|it| **it >= *start && **it < *start + WINDOW).count()
    };
    let most = counted.iter().map(|it| in_window(it)).max().unwrap_or(0);
    let allowed = (1.5 * f64::from(LIMIT) * WINDOW.as_secs_f64()) as usize + 5;
    record.say(&format!(
        "{} requests ran, {served} were served; most in some 4 s: {most} (allowed {allowed})",
        runs.len()
    ));
    if served < 50 {
        return Verdict::CouldNotRun("the clients were not served");
    }
    if most > allowed { Verdict::Broken } else { Verdict::Held }
}

/// Sends reads to a machine, one after the other. Returns how many were served.
fn run_clients(record: &Record, name: &str, front: SocketAddr, is_over: &AtomicBool) -> usize {
    let mut served = 0;
    for number in 0.. {
        if is_over.load(Ordering::SeqCst) {
            break;
        }
        let id = format!("{name}-{number}");
        let request = format!(
            "GET /read/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
             X-Api-Key: {KEY}\r\n\r\n"
        );
        let status = call(front, &request, Duration::from_secs(2)).0;
        record.line(&format!("client sent {id} and got {status}"));
        served += usize::from(status == 200);
        thread::sleep(REQUEST_INTERVAL);
    }
    served
}
