//! The store is down for eight seconds. Meanwhile a model worker crashes, starts again under its id with
//! another version of its software, and crashes once more.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::fs;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::engine::EVENTS;
use crate::engine::Engine;
use crate::engine::now_ms;
use crate::http::wait_until;
use crate::http::write;
use crate::node::Node;
use crate::node::Ports;
use crate::node::Site;
use crate::node::free_addresses;
use crate::stage::Outcome;
use crate::store::Door;
use crate::store::Store;

const SERVICE: &str = "model-desk";
const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Machines of the smaller deployments on the sheets.
const ZONES: [(&str, usize); 3] = [("chc-a", 3), ("chc-b", 3), ("chc-c", 2)];

/// Streams that each machine is asked for at the same time.
const STREAMS_PER_MACHINE: usize = 8;

/// Number of workers, two in each zone.
const ENGINES: usize = 6;

/// More than this number of joined streams breaks the rule.
const PERMITTED: usize = 2;

/// An answer to a client.
struct Answer {
    at: Duration,
    machine: usize,
    id: String,
    status: u16,
    /// Versions in the order of the events.
    versions: Vec<String>,
    is_whole: bool,
}

pub fn play(has_trouble: bool) -> Result<Outcome, String> {
    let (started_at, started_ms) = (Instant::now(), now_ms());
    let folder = std::env::temp_dir().join(format!("cranberryvalve-review-{}", std::process::id()));
    fs::create_dir_all(&folder).map_err(|it| it.to_string())?;
    let runs = folder.join("runs.txt");
    let mut notes = String::new();
    let mut note = |text: &str| {
        let _ = writeln!(notes, "{:8.3} s  {text}", started_at.elapsed().as_secs_f64());
    };
    let store = Store::new();
    store.put("op", "config", &config());
    // The engines' addresses come after those of the machines.
    let machine_count: usize = ZONES.iter().map(|it| it.1).sum();
    let ports = Ports::find(machine_count);
    let addresses = free_addresses(5 * machine_count + ENGINES).split_off(5 * machine_count);
    let mut engines: Vec<Engine> = addresses
        .iter()
        .enumerate()
        .map(|(number, address)| Engine::start(&format!("i-engine-{number}"), "1", *address, &runs))
        .collect();
    for (engine, (zone, _)) in engines.iter().zip(ZONES.iter().cycle()) {
        if !engine.wait_listening() {
            return Err("a worker does not listen".to_owned());
        }
        store.put("servers", &engine.id, &engine.row(SERVICE, zone));
    }
    let regions: Vec<String> =
        ZONES.iter().map(|it| format!("\"{}\": \"canterbury\"", it.0)).collect();
    let site = Site {
        zones: format!("{{{}}}", regions.join(", ")),
        seeds: ports.iter().take(3).map(|it| it.control).collect(),
            is_first_start: true,
    };
    let doors: Vec<Door> = (0..machine_count).map(|_| store.open_door()).collect();
    let names = ZONES.iter().flat_map(|(zone, count)| (1..=*count).map(move |it| (*zone, it)));
    let mut nodes: Vec<Node> = names
        .zip(ports.iter().zip(&doors))
        .map(|((zone, number), (ports, door))| {
            let name = format!("front-{zone}-{number}");
            Node::start(&name, zone, ports, door.address, &site, &folder)
        })
        .collect();
    if !wait_until(Duration::from_secs(20), || nodes.iter().all(Node::is_ready)) {
        return Err("a machine is not ready after 20 s".to_owned());
    }
    note("all machines are ready");
    let (answers, has_ended) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    for (machine, node) in nodes.iter().enumerate() {
        for number in 0..STREAMS_PER_MACHINE {
            let (address, answers, has_ended) = (node.front, answers.clone(), has_ended.clone());
            clients.push(thread::spawn(move || {
                thread::sleep(Duration::from_millis(190) * number as u32);
                while !has_ended.load(Ordering::SeqCst) {
                    let answer = ask(started_at, address, machine);
                    answers.lock().unwrap().push(answer);
                    thread::sleep(Duration::from_millis(20));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(8));
    let wait_until_s = |from: Instant, s: f64| {
        thread::sleep((from + Duration::from_secs_f64(s)).saturating_duration_since(Instant::now()));
    };
    let down_at = Instant::now();
    if has_trouble {
        doors.iter().for_each(|it| it.set_busy(true));
        note("the store is down: it answers 503");
        wait_until_s(down_at, 0.3);
        engines[0].crash();
        note("worker i-engine-0, version 1, crashes");
        wait_until_s(down_at, 0.8);
        let (id, address) = (engines[0].id.clone(), engines[0].address);
        engines[0] = Engine::start(&id, "2", address, &runs);
        let is_back = engines[0].wait_listening();
        note("worker i-engine-0 is back under its id, with version 2; it cannot register yet");
        wait_until_s(down_at, 7.2);
        engines[0].crash();
        note("worker i-engine-0, version 2, crashes");
        wait_until_s(down_at, 8.0);
        doors.iter().for_each(|it| it.set_busy(false));
        note("the store is back");
        engines[0] = Engine::start(&id, "2", address, &runs);
        if !is_back || !engines[0].wait_listening() {
            return Err("a worker did not come back".to_owned());
        }
        store.put("servers", &id, &engines[0].row(SERVICE, ZONES[0].0));
        note("worker i-engine-0 is back with version 2, and registered");
    }
    wait_until_s(down_at, 12.0);
    has_ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if !nodes.iter_mut().all(Node::runs) {
        return Err("a process has ended".to_owned());
    }
    let answers = answers.lock().unwrap();
    if !answers.iter().any(|it| it.is_whole) {
        return Err("no stream is served".to_owned());
    }
    let is_joined = |it: &&Answer| it.versions.iter().collect::<BTreeSet<_>>().len() > 1;
    let joined = answers.iter().filter(is_joined).count();
    let whole = answers.iter().filter(is_joined).filter(|it| it.is_whole).count();
    let summary = format!(
        "{joined} answers hold events of two software versions ({whole} of them whole); {PERMITTED} are \
         permitted; {} streams were asked for",
        answers.len()
    );
    let mut lines: Vec<(f64, String)> = Vec::new();
    for it in answers.iter() {
        let Answer { id, status, versions, is_whole, machine, .. } = it;
        let end = if *is_whole { "whole" } else { "broken off" };
        let name = &nodes[*machine].name;
        let text = format!("sent {id} to {name}: answer {status}, {end}, versions {}", versions.concat());
        lines.push((it.at.as_secs_f64(), text));
    }
    for line in fs::read_to_string(&runs).unwrap_or_default().lines() {
        if let Some((at, text)) = line.split_once(' ') {
            let at = at.parse::<u128>().unwrap_or(0).saturating_sub(started_ms);
            lines.push((at as f64 / 1_000.0, text.to_owned()));
        }
    }
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut record = format!("{notes}\nall requests\n");
    for (at, line) in lines {
        let _ = writeln!(record, "{at:8.3} s  {line}");
    }
    drop((nodes, engines));
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&folder);
    }
    Ok(Outcome { is_broken: joined > PERMITTED, summary, record })
}

/// Asks for a stream and reads the answer to its end.
fn ask(started_at: Instant, address: SocketAddr, machine: usize) -> Answer {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
    let body = "{}";
    let request = format!(
        "POST /tide/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nModel: m\r\n\
         Token-Usage: 120,60\r\nPrompt-Prefix: 1{id}:120\r\nDeadline-Ms: 4000\r\nX-Api-Key: {KEY}\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let at = started_at.elapsed();
    let mut text = Vec::new();
    if let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
        if write(&stream, request.as_bytes()) {
            let _ = stream.read_to_end(&mut text);
        }
    }
    let text = String::from_utf8_lossy(&text);
    let status = text.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    let versions: Vec<String> = text
        .lines()
        .filter_map(|it| it.strip_prefix("data: tokens of version "))
        .map(ToOwned::to_owned)
        .collect();
    let is_whole = versions.len() as u64 == EVENTS && text.ends_with("0\r\n\r\n");
    Answer { at, machine, id, status, versions, is_whole }
}

fn config() -> String {
    format!(
        "{{\"version\":10,\"routes\":[{{\"name\":\"tide\",\"host\":\"ficu95.example\",\
         \"prefix\":\"/tide/\",\"kind\":\"streaming\",\"timeoutMs\":4000,\"targetLatencyMs\":500,\
         \"targetGapMs\":250,\"priority\":1,\"service\":\"{SERVICE}\",\"maxAttempts\":2,\
         \"public\":false,\"sticky\":true,\"resumable\":true}}],\"services\":[\
         {{\"name\":\"{SERVICE}\",\"healthCheck\":\"/healthz\",\"maxConnections\":370,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":245097}}}}],\
         \"limits\":{{\"maxHeaderBytes\":8192,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":2000,\
         \"idleTimeoutMs\":5000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"]}}]}}"
    )
}
