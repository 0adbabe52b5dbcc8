//! Three of eight machines are lost for good, those that the settings name as seeds. Three others come in their
//! place, with these seeds in their settings for three more seconds. Later two workers name a limit.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::call;
use crate::http::wait_until;
use crate::node::Node;
use crate::node::Ports;
use crate::node::Site;
use crate::stage::CONTACT;
use crate::stage::KEPT_KEY;
use crate::stage::Outcome;
use crate::stage::Sent;
use crate::store::Door;
use crate::store::Store;
use crate::worker::Notice;
use crate::worker::Runs;
use crate::worker::Worker;

const SERVICE: &str = "berth-api";

/// Zones of the machines: eight, and three that come later.
const ZONES: [&str; 11] = [
    "chc-a", "chc-a", "chc-a", "chc-b", "chc-b", "chc-b", "chc-c", "chc-c", "chc-a", "chc-b", "chc-c",
];
const FIRST_NEW: usize = 8;

/// Machines that are named as seeds, one in each zone.
const SEEDS: [usize; 3] = [0, 3, 6];

/// Bound of the settings.
const SEED_LAG: Duration = Duration::from_secs(3);

/// Requests a second that each worker takes from all machines together.
const LIMIT_PER_S: f64 = 10.0;

/// Time over which arrivals are counted, and the number that breaks the rule.
const WINDOW: Duration = Duration::from_secs(4);

pub fn play(has_trouble: bool) -> Result<Outcome, String> {
    let started_at = Instant::now();
    let folder = std::env::temp_dir().join(format!("cranberryvalve-review-{}", std::process::id()));
    fs::create_dir_all(&folder).map_err(|it| it.to_string())?;
    let mut notes = String::new();
    let mut note = |text: &str| {
        let _ = writeln!(notes, "{:8.3} s  {text}", started_at.elapsed().as_secs_f64());
    };
    let (store, runs, notice) = (Store::new(), Runs::default(), Notice::default());
    store.put("op", "config", &config());
    let workers: Vec<Worker> = ["chc-a", "chc-b"]
        .iter()
        .enumerate()
        .map(|(number, zone)| Worker::start(&format!("i-{number}"), SERVICE, zone, &runs, &notice))
        .collect();
    for worker in &workers {
        store.put("servers", &worker.id, &worker.row());
    }
    let ports = Ports::find(ZONES.len());
    let doors: Vec<Door> = ZONES.iter().map(|_| store.open_door()).collect();
    let start = |machine: usize, seeds: &[usize]| {
        let site = Site {
            zones: "{\"chc-a\": \"canterbury\", \"chc-b\": \"canterbury\", \"chc-c\": \"canterbury\"}".to_owned(),
            seeds: seeds.iter().map(|it| ports[*it].control).collect(),
            is_first_start: machine < FIRST_NEW,
        };
        let zone = ZONES[machine];
        let number = ZONES[..=machine].iter().filter(|it| **it == zone).count();
        let name = format!("front-{zone}-{number}");
        Node::start(&name, zone, &ports[machine], doors[machine].address, &site, &folder)
    };
    let mut nodes: Vec<Node> = (0..FIRST_NEW).map(|it| start(it, &SEEDS)).collect();
    if !wait_until(Duration::from_secs(20), || nodes.iter().all(Node::is_ready)) {
        return Err("a machine is not ready after 20 s".to_owned());
    }
    note("all machines are ready");
    thread::sleep(Duration::from_secs(6));
    for machine in SEEDS {
        nodes[machine].signal("KILL");
    }
    note("front-chc-a-1, front-chc-b-1 and front-chc-c-1 are lost for good; they are the seeds");
    thread::sleep(Duration::from_secs(1));
    let living_seeds = [1, 4, 7];
    let seeds = if has_trouble { SEEDS } else { living_seeds };
    nodes.extend((FIRST_NEW..ZONES.len()).map(|it| start(it, &seeds)));
    if !wait_until(Duration::from_secs(20), || nodes[FIRST_NEW..].iter().all(Node::is_ready)) {
        return Err("a new machine is not ready after 20 s".to_owned());
    }
    note(&format!("three machines were added; their settings name {} seeds", if has_trouble { "the lost" } else { "living" }));
    thread::sleep(SEED_LAG);
    let control: Vec<SocketAddr> = living_seeds.iter().map(|it| ports[*it].control).collect();
    for node in &nodes[FIRST_NEW..] {
        node.change_seeds(&control);
    }
    note("the settings of the new machines name living seeds; the processes got SIGHUP");
    thread::sleep(Duration::from_secs(6));
    let machines: Vec<usize> = (0..ZONES.len()).filter(|it| !SEEDS.contains(it)).collect();
    let (sent, has_ended) = (Arc::new(Mutex::new(Vec::new())), Arc::new(AtomicBool::new(false)));
    let mut clients = Vec::new();
    for machine in machines.clone() {
        for number in 0..2 {
            let (address, sent, has_ended) = (nodes[machine].front, sent.clone(), has_ended.clone());
            clients.push(thread::spawn(move || {
                thread::sleep(Duration::from_millis(11 * machine as u64 + 40 * number));
                while !has_ended.load(Ordering::SeqCst) {
                    let it = ask(address, machine);
                    sent.lock().unwrap().push(it);
                    thread::sleep(Duration::from_millis(80));
                }
            }));
        }
    }
    thread::sleep(Duration::from_secs(3));
    *notice.lock().unwrap() = format!("Server-Limit: {LIMIT_PER_S:.1}\r\n");
    let named_at = Instant::now();
    note("both workers name their limit in all answers: 10 requests a second from all machines together");
    thread::sleep(CONTACT + Duration::from_secs(12));
    has_ended.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if !machines.iter().all(|it| nodes[*it].runs()) {
        return Err("a further process has ended".to_owned());
    }
    let (sent, runs) = (sent.lock().unwrap(), runs.lock().unwrap());
    let machine_of: HashMap<&str, &Sent> = sent.iter().map(|it| (&*it.id, it)).collect();
    // When a machine first passed on an answer of a worker that names its limit.
    let mut passed_at: HashMap<(usize, &str), Instant> = HashMap::new();
    for run in runs.iter().filter(|it| it.at >= named_at) {
        if let Some(sent) = machine_of.get(&*run.request).filter(|it| it.status == 200) {
            let at = run.at + Duration::from_millis(100);
            passed_at.entry((sent.machine, &run.worker)).or_insert(at);
        }
    }
    let (mut most, mut text) = (0, String::new());
    let permitted = 1.5 * LIMIT_PER_S * WINDOW.as_secs_f64() + 5.0;
    for worker in &workers {
        let counted: Vec<Instant> = runs
            .iter()
            .filter(|it| it.worker == worker.id && it.at >= named_at + CONTACT)
            .filter(|it| {
                let machine = machine_of.get(&*it.request).map_or(usize::MAX, |it| it.machine);
                let passed_at = passed_at.get(&(machine, &*worker.id));
                passed_at.is_some_and(|passed_at| *passed_at + Duration::from_millis(500) <= it.at)
            })
            .map(|it| it.at)
            .collect();
        let in_window = |from: Instant| counted.iter().filter(|it| **it >= from && **it < from + WINDOW).count();
        let busiest = counted.iter().map(|it| in_window(*it)).max().unwrap_or(0);
        let _ = write!(text, "worker {} got {busiest} in some 4 s; ", worker.id);
        most = most.max(busiest);
    }
    let by_machine: Vec<String> = machines
        .iter()
        .map(|machine| {
            let is_counted = |it: &&Sent| it.machine == *machine && it.at >= named_at + CONTACT && it.status == 200;
            format!("{} {}", nodes[*machine].name, sent.iter().filter(is_counted).count())
        })
        .collect();
    note(&format!("requests served from 3 s after the limit was named: {}", by_machine.join(", ")));
    let summary = format!("{text}{permitted} are permitted");
    let mut lines: Vec<(f64, String)> = Vec::new();
    let at = |it: Instant| (it - started_at).as_secs_f64();
    for it in sent.iter() {
        lines.push((at(it.at), format!("sent {} to {}: answer {}", it.id, nodes[it.machine].name, it.status)));
    }
    for it in runs.iter() {
        lines.push((at(it.at), format!("run  {} at {}", it.request, it.worker)));
    }
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut record = format!("{notes}\nall requests\n");
    for (at, line) in lines {
        let _ = writeln!(record, "{at:8.3} s  {line}");
    }
    drop(nodes);
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&folder);
    }
    Ok(Outcome { is_broken: most as f64 > permitted, summary, record })
}

fn ask(address: SocketAddr, machine: usize) -> Sent {
    static NEXT_ID: AtomicU64 = AtomicU64::new(1);
    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
    let request = format!(
        "GET /read/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
         X-Api-Key: {KEPT_KEY}\r\nConnection: close\r\n\r\n"
    );
    let at = Instant::now();
    let answer = call(address, request.as_bytes(), Duration::from_millis(1_500));
    let status = answer.map_or(0, |it| it.status());
    Sent { at, machine, id, has_dropped_key: false, status }
}

fn config() -> String {
    format!(
        "{{\"version\":10,\"routes\":[{{\"name\":\"read\",\"host\":\"ficu95.example\",\
         \"prefix\":\"/read/\",\"kind\":\"safe\",\"timeoutMs\":800,\"targetLatencyMs\":100,\
         \"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":2,\"public\":false,\
         \"sticky\":false,\"resumable\":false}}],\"services\":[\
         {{\"name\":\"{SERVICE}\",\"healthCheck\":\"/healthz\",\"maxConnections\":110}}],\
         \"limits\":{{\"maxHeaderBytes\":8192,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":2000,\
         \"idleTimeoutMs\":5000}},\"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEPT_KEY}\"]}}]}}"
    )
}
