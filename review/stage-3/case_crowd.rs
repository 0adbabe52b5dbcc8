//! Many clients stop just short of the end of a small body and stay open: are ordinary callers served?

use std::env;
use std::fs;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::client;
use crate::client::Call;
use crate::client::HOST;
use crate::deployment::BOOK;
use crate::deployment::Deployment;
use crate::record::Record;

/// `contactMs`.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);

/// Clients of the crowd, which share a few processes.
const CROWD_PROCESSES: usize = 4;
const CROWD_PER_PROCESS: usize = 250;

/// Size of their bodies, in chunks of a byte.
const CROWD_BODY_BYTES: usize = 600;

/// Ordinary clients, each of which opens a new connection for each request.
const ORDINARY_CLIENTS: usize = 8;

/// Time between two attempts of an ordinary client: the `Retry-After` of its refusal.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time before the crowd comes, and time for which it stays.
const CALM: Duration = Duration::from_secs(4);
const CROWD_TIME: Duration = Duration::from_secs(20);

/// Open files that the settings grant a process (`maxFds`).
const OPEN_FILES: u64 = 4_100;

const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// An attempt of an ordinary client.
#[derive(Clone)]
struct Attempt {
    began_at: Instant,
    client: usize,
    /// What the client got: a status, or how its connection ended.
    result: String,
    is_taken: bool,
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    if open_files() < OPEN_FILES {
        crate::give_up("a process may open fewer files here than the settings grant it");
    }
    let tenants = format!("[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]");
    let deployment = Deployment::start(1, &tenants, 800, None);
    let node = &deployment.nodes[0];
    let (is_over, attempts) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let clients: Vec<_> = (0..ORDINARY_CLIENTS)
        .map(|number| {
            let (front, is_over, attempts) = (node.front, is_over.clone(), attempts.clone());
            thread::spawn(move || try_until(front, number, &is_over, &attempts))
        })
        .collect();
    thread::sleep(CALM);
    let crowd = if has_trouble { start_crowd(node.front) } else { Vec::new() };
    record.line(&format!("{} clients of the crowd begin", crowd.len() * CROWD_PER_PROCESS));
    let (start, mut not_ready) = (Instant::now(), 0);
    while start.elapsed() < CROWD_TIME {
        not_ready += u32::from(!node.is_ready());
        thread::sleep(Duration::from_millis(250));
    }
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|it| drop(it.join()));
    crowd.into_iter().for_each(end);
    let mut attempts: Vec<Attempt> = attempts.lock().unwrap().clone();
    attempts.sort_by_key(|it| it.began_at);
    for second in 0..CROWD_TIME.as_secs() {
        let from = start + Duration::from_secs(second);
        let within: Vec<&Attempt> =
            attempts.iter().filter(|it| it.began_at >= from && it.began_at < from + Duration::from_secs(1)).collect();
        let mut results: Vec<&str> = within.iter().map(|it| &*it.result).collect();
        results.sort_unstable();
        results.dedup();
        let counts: Vec<String> = results
            .iter()
            .map(|result| format!("{} {result}", within.iter().filter(|it| it.result == *result).count()))
            .collect();
        record.line(&format!("second {second} of the crowd: {}", counts.join(", ")));
    }
    record.line(&format!("the machine said {not_ready} times that it was not ready"));
    let span = longest_refusal(&attempts);
    record.line(&format!("the longest time without a connection taken, while seven clients tried: {} ms", span.as_millis()));
    if span > CONTACT_TIME && not_ready == 0 { Outcome::Broken } else { Outcome::Held }
}

/// Returns the longest time from one attempt to a later one in which no connection was taken and seven clients
/// or more tried.
fn longest_refusal(attempts: &[Attempt]) -> Duration {
    let mut longest = Duration::ZERO;
    for run in attempts.split(|it| it.is_taken) {
        let mut clients: Vec<usize> = run.iter().map(|it| it.client).collect();
        clients.sort_unstable();
        clients.dedup();
        if let (Some(first), Some(last)) = (run.first(), run.last())
            && clients.len() >= 7
        {
            longest = longest.max(last.began_at - first.began_at);
        }
    }
    longest
}

fn try_until(front: SocketAddr, number: usize, is_over: &AtomicBool, attempts: &Mutex<Vec<Attempt>>) {
    let mut sent = 0;
    while !is_over.load(Ordering::SeqCst) {
        sent += 1;
        let id = format!("{number:04x}{sent:012x}");
        let call = Call { path: BOOK, id: &id, key: Some(KEY), deadline_ms: 1_500 };
        let began_at = Instant::now();
        let (result, is_taken) = match client::call(front, &call) {
            Ok(answer) => {
                let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
                // The refusal of a connection is sent before anything is read.
                let is_taken = !text.contains("too many connections");
                (if is_taken { answer.status().to_string() } else { format!("{} ({text})", answer.status()) }, is_taken)
            }
            Err(error) => (format!("closed ({})", error.kind()), false),
        };
        attempts.lock().unwrap().push(Attempt { began_at, client: number, result, is_taken });
        thread::sleep(RETRY_AFTER);
    }
}

fn start_crowd(front: SocketAddr) -> Vec<Child> {
    let program = env::current_exe().unwrap_or_else(|_| crate::give_up("this program is not found"));
    let start = |_| Command::new(&program).args(["crowd-clients", &front.to_string()]).spawn();
    (0..CROWD_PROCESSES).filter_map(|it| start(it).ok()).collect()
}

fn end(mut child: Child) {
    let _ = child.kill();
    let _ = child.wait();
}

/// Plays a part of the crowd, for its time at most.
pub fn play_crowd(front: &str) {
    let Ok(front) = front.parse() else { return };
    let end = Instant::now() + CROWD_TIME + Duration::from_secs(5);
    let mut connections: Vec<Option<TcpStream>> = (0..CROWD_PER_PROCESS).map(|_| None).collect();
    while Instant::now() < end {
        for connection in &mut connections {
            if connection.as_ref().is_none_or(has_ended) {
                *connection = open(front);
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Sends a request but for the last chunk of its body.
fn open(front: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_millis(200)).ok()?;
    let head = format!(
        "POST {BOOK} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {:016x}\r\nDeadline-Ms: 15000\r\nX-Api-Key: {KEY}\r\n\
         Transfer-Encoding: chunked\r\n\r\n",
        crate::unix_ms()
    );
    stream.write_all(format!("{head}{}", "1\r\na\r\n".repeat(CROWD_BODY_BYTES)).as_bytes()).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

fn has_ended(mut stream: &TcpStream) -> bool {
    let mut bytes = [0; 512];
    match stream.read(&mut bytes) {
        Ok(count) => count == 0,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}

/// Returns the number of files that a process may open here.
fn open_files() -> u64 {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find(|it| it.starts_with("Max open files")).unwrap_or_default();
    line.split_whitespace().nth(3).and_then(|it| it.parse().ok()).unwrap_or(u64::MAX)
}
