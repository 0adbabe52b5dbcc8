//! Many clients send large requests at once, each within the limits of the configuration. The platform
//! kills a process that exceeds its memory, and starts it again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use super::BERTH;
use super::KEY;
use crate::Verdict;
use crate::http::Reader;
use crate::http::connect;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Work;
use crate::worker::Worker;

const MACHINES: usize = 2;

/// `maxBodyBytes` of the configuration, which no request exceeds.
const BODY_BYTES: usize = 4_194_304;

/// Bytes that a client sends in a second.
const CLIENT_RATE: f64 = 4_000_000.0;

/// Number of clients of one machine, and in the burst: twice as many.
const CLIENTS: usize = 5;
const BURST: usize = 2;

/// Times at which the burst begins and ends, and at which all clients end.
const BURST_START: Duration = Duration::from_secs(6);
const BURST_END: Duration = Duration::from_secs(15);
const END: Duration = Duration::from_secs(18);

/// `memoryMb` of the settings file.
const MEMORY_BYTES: usize = 110 * 1_024 * 1_024;

/// Time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// Number of requests of kept connections that the rule lets pass.
const ALLOWED: usize = 3;

/// Number of ends of the process by itself that are a fault, if two machines have as many.
const FAULT_ENDS: usize = 3;

#[derive(Default)]
struct Counts {
    sent: AtomicUsize,
    served: AtomicUsize,
    /// Requests on kept connections that a worker has begun to run and whose connection was closed
    /// without an answer.
    lost: AtomicUsize,
}

pub fn play(record: &Arc<Record>, folder: &str, trouble: bool) -> Verdict {
    let store = Store::start();
    store.put("op", "config", &super::config(1, &[KEY]));
    let work = Work { time: Duration::from_millis(100), events: 0, gap: Duration::ZERO };
    let workers: Vec<Arc<Worker>> = (1..=3)
        .map(|it| Worker::new(&format!("i-{it}"), BERTH, "chc-a", 6, work.clone(), &store, record))
        .collect();
    workers.iter().for_each(|it| it.start("v1", Duration::ZERO));
    let mut nodes = super::start_nodes(folder, &store, MACHINES);
    if !nodes.iter().all(|it| it.wait_settled(workers.len(), MACHINES)) {
        return Verdict::CouldNotRun("the machines are not ready");
    }
    let seeds: Vec<SocketAddr> = nodes.iter().map(|it| it.control).collect();
    let started_at = Instant::now();
    let counts: Vec<Arc<Counts>> = (0..MACHINES).map(|_| Arc::default()).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    let in_all = if trouble { CLIENTS * BURST } else { CLIENTS };
    for (machine, node) in nodes.iter().enumerate() {
        for number in 0..in_all {
            let (record, counts, workers) =
                (record.clone(), counts[machine].clone(), workers.clone());
            let (front, is_over) = (node.front, is_over.clone());
            let is_usual = number < CLIENTS;
            clients.push(thread::spawn(move || {
                let end = if is_usual { END } else { BURST_END };
                // The clients do not begin at the same moment.
                let begin = if is_usual { Duration::ZERO } else { BURST_START };
                thread::sleep(begin + Duration::from_millis(150) * number as u32);
                let is_done = || started_at.elapsed() >= end || is_over.load(Ordering::SeqCst);
                run_client(
                    &record,
                    front,
                    &format!("m{machine}-c{number}"),
                    &workers,
                    &counts,
                    &is_done,
                );
            }));
        }
    }
    let mut peaks = [0; MACHINES];
    let mut ends = [0; MACHINES];
    let mut starts: [Option<Instant>; MACHINES] = [None; MACHINES];
    while started_at.elapsed() < END {
        for (machine, node) in nodes.iter_mut().enumerate() {
            if let Some(at) = starts[machine] {
                if at.elapsed() >= RESTART_DELAY {
                    starts[machine] = None;
                    node.restart(&seeds);
                    record.say(&format!("{} starts again", node.name));
                }
                continue;
            }
            let bytes = node.memory_bytes();
            peaks[machine] = peaks[machine].max(bytes);
            if bytes > MEMORY_BYTES {
                record.say(&format!("{} holds {bytes} bytes and is killed for that", node.name));
                node.kill();
                ends[machine] += 1;
                starts[machine] = Some(Instant::now());
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|it| drop(it.join()));
    let (mut served, mut lost) = (0, 0);
    for (machine, node) in nodes.iter().enumerate() {
        let count = |it: &AtomicUsize| it.load(Ordering::SeqCst);
        let counts = &counts[machine];
        record.say(&format!(
            "{}: at most {} bytes, killed {} times for its memory; {} requests, {} served, {} of kept \
             connections ran and got no answer",
            node.name,
            peaks[machine],
            ends[machine],
            count(&counts.sent),
            count(&counts.served),
            count(&counts.lost),
        ));
        served += count(&counts.served);
        lost += count(&counts.lost);
    }
    if served < 20 {
        return Verdict::CouldNotRun("the clients were not served");
    }
    let faulty = ends.iter().filter(|it| **it >= FAULT_ENDS).count();
    record.say(&format!(
        "machines whose process ended by itself {FAULT_ENDS} times or more: {faulty}"
    ));
    record.say(&format!(
        "{lost} requests of kept connections ran and got no answer (allowed {ALLOWED})"
    ));
    if lost > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Sends one large request after the other on a kept connection.
fn run_client(
    record: &Record,
    front: SocketAddr,
    name: &str,
    workers: &[Arc<Worker>],
    counts: &Counts,
    is_done: &dyn Fn() -> bool,
) {
    let body = vec![b'x'; BODY_BYTES];
    let mut kept: Option<Reader> = None;
    for number in 0.. {
        if is_done() {
            return;
        }
        let is_kept = kept.is_some();
        let connection = match kept.take() {
            Some(connection) => Ok(connection),
            None => connect(front, Duration::from_secs(12)),
        };
        let Ok(mut connection) = connection else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let id = format!("{name}-{number}");
        counts.sent.fetch_add(1, Ordering::SeqCst);
        let status = exchange(&mut connection, &id, &body).unwrap_or_default();
        let has_run = workers.iter().any(|it| it.has_run(&id));
        record.line(&format!("client sent {id}, kept {is_kept}, ran {has_run}, got {status}"));
        if status == 200 {
            counts.served.fetch_add(1, Ordering::SeqCst);
            kept = Some(connection);
        } else if status == 0 && is_kept && has_run {
            counts.lost.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Sends a request at the client's rate. Returns the status of its answer.
fn exchange(connection: &mut Reader, id: &str, body: &[u8]) -> std::io::Result<u16> {
    let length = body.len();
    let head = format!(
        "POST /book/1 HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 10000\r\n\
         X-Api-Key: {KEY}\r\nContent-Length: {length}\r\n\r\n"
    );
    connection.send(head.as_bytes())?;
    let begun_at = Instant::now();
    let mut sent = 0;
    for part in body.chunks(32 * 1_024) {
        let due = Duration::from_secs_f64(sent as f64 / CLIENT_RATE);
        thread::sleep(due.saturating_sub(begun_at.elapsed()));
        connection.send(part)?;
        sent += part.len();
    }
    let head = connection.head()?.unwrap_or_default();
    connection.body(&head)?;
    Ok(head.word(1).parse().unwrap_or(0))
}
