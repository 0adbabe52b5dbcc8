//! What the cases have in common: a deployment with two application services, and clients.

use std::fmt::Write as _;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::http::call;
use crate::http::wait_until;
use crate::node::Node;
use crate::node::Ports;
use crate::node::Site;
use crate::store::Door;
use crate::store::Store;
use crate::worker::Notice;
use crate::worker::Run;
use crate::worker::Runs;
use crate::worker::Worker;

pub const OLD_SERVICE: &str = "berth-api";
pub const NEW_SERVICE: &str = "berth-api-2";

/// Key that stays in force.
pub const KEPT_KEY: &str = "n2ctnfzs989anu6wsjnb";

/// Key that a configuration takes away.
pub const DROPPED_KEY: &str = "q7rk2m40vvd81xw3c5ta";

/// Bound of the settings, in which a configuration has to be applied.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Bound of the settings, after which machines are in touch and the core is stable again.
pub const CONTACT: Duration = Duration::from_millis(3_000);

/// Result of a case.
pub struct Outcome {
    pub is_broken: bool,
    pub summary: String,
    pub record: String,
}

/// A request of a client with its answer.
#[derive(Debug, Clone)]
pub struct Sent {
    pub at: Instant,
    pub machine: usize,
    pub id: String,
    /// Whether it bears the key that a configuration takes away.
    pub has_dropped_key: bool,
    /// Status of the answer; 0 without a whole one.
    pub status: u16,
}

/// A request that was handled as only an older configuration allows.
pub struct Stale {
    pub sent: Sent,
    pub run: Run,
}

/// A deployment, which ends with its processes when dropped.
pub struct Stage {
    pub started_at: Instant,
    pub store: Arc<Store>,
    pub doors: Vec<Door>,
    pub nodes: Vec<Node>,
    pub runs: Runs,
    _workers: Vec<Worker>,
    sent: Arc<Mutex<Vec<Sent>>>,
    has_ended: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    folder: PathBuf,
    pub notes: String,
}

impl Stage {
    /// Starts machines in these zones, with a worker of each service in each zone or two in a single
    /// one, and waits until they are ready and have found each other.
    pub fn start(zones: &[(&str, usize)]) -> Result<Self, String> {
        let started_at = Instant::now();
        let folder = std::env::temp_dir().join(format!("cranberryvalve-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|it| it.to_string())?;
        let (store, runs) = (Store::new(), Runs::default());
        let mut workers = Vec::new();
        for service in [OLD_SERVICE, NEW_SERVICE] {
            for number in 0..zones.len().max(2) {
                let zone = zones[number % zones.len()].0;
                let id = format!("i-{service}-{number}");
                workers.push(Worker::start(&id, service, zone, &runs, &Notice::default()));
            }
        }
        store.put("op", "config", &config(10, OLD_SERVICE, true, 800));
        for worker in &workers {
            store.put("servers", &worker.id, &worker.row());
        }
        let placed: Vec<(String, &str)> = zones
            .iter()
            .flat_map(|(zone, count)| (1..=*count).map(move |it| (format!("front-{zone}-{it}"), *zone)))
            .collect();
        let ports = Ports::find(placed.len());
        let regions: Vec<String> =
            zones.iter().map(|it| format!("\"{}\": \"canterbury\"", it.0)).collect();
        let site = Site {
            zones: format!("{{{}}}", regions.join(", ")),
            seeds: ports.iter().take(3).map(|it| it.control).collect(),
            is_first_start: true,
        };
        let doors: Vec<Door> = placed.iter().map(|_| store.open_door()).collect();
        let nodes: Vec<Node> = placed
            .iter()
            .zip(&ports)
            .zip(&doors)
            .map(|(((name, zone), ports), door)| {
                Node::start(name, zone, ports, door.address, &site, &folder)
            })
            .collect();
        let stage = Self {
            started_at,
            store,
            doors,
            nodes,
            runs,
            _workers: workers,
            sent: Arc::default(),
            has_ended: Arc::default(),
            clients: Vec::new(),
            folder,
            notes: String::new(),
        };
        if !wait_until(Duration::from_secs(20), || stage.nodes.iter().all(Node::is_ready)) {
            return Err("a machine is not ready after 20 s".to_owned());
        }
        Ok(stage)
    }

    pub fn note(&mut self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(self.notes, "{at:8.3} s  {text}");
    }

    /// Sends a request every 100 ms to each machine, in turn with the key that stays and with the one
    /// that is taken away.
    pub fn start_clients(&mut self) {
        static NEXT_ID: AtomicU64 = AtomicU64::new(1);
        for (machine, node) in self.nodes.iter().enumerate() {
            let (address, sent, has_ended) = (node.front, self.sent.clone(), self.has_ended.clone());
            self.clients.push(thread::spawn(move || {
                for round in machine.. {
                    if has_ended.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst));
                    let has_dropped_key = round % 2 == 0;
                    let at = Instant::now();
                    let status = book(address, &id, has_dropped_key);
                    let it = Sent { at, machine, id, has_dropped_key, status };
                    sent.lock().unwrap().push(it);
                    thread::sleep(Duration::from_millis(100));
                }
            }));
        }
    }

    pub fn stop_clients(&mut self) {
        self.has_ended.store(true, Ordering::SeqCst);
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }

    /// Returns the requests that were sent to `machines` later than `after` and were run with the key
    /// that was taken away, or by the old service.
    pub fn stale_runs(&self, after: Instant, machines: &[usize]) -> Vec<Stale> {
        let runs = self.runs.lock().unwrap();
        let sent = self.sent.lock().unwrap();
        let late = sent.iter().filter(|it| it.at > after && machines.contains(&it.machine));
        let stale = late.filter_map(|it| {
            let run = runs.iter().find(|run| run.request == it.id)?;
            let is_stale = it.has_dropped_key || run.service == OLD_SERVICE;
            is_stale.then(|| Stale { sent: it.clone(), run: run.clone() })
        });
        stale.collect()
    }

    /// Returns how many requests to `machines` were answered with 200 between these moments.
    pub fn served(&self, from: Instant, to: Instant, machines: &[usize]) -> usize {
        let sent = self.sent.lock().unwrap();
        let served = sent.iter().filter(|it| it.at >= from && it.at < to && it.status == 200);
        served.filter(|it| machines.contains(&it.machine)).count()
    }

    /// Returns when the first request of each kind was handled as the new configuration says, after
    /// `since`, at a machine.
    pub fn first_new(&self, since: Instant, machine: usize) -> Option<Duration> {
        let sent = self.sent.lock().unwrap();
        let refused = sent
            .iter()
            .find(|it| it.at > since && it.machine == machine && it.status == 401)?;
        Some(refused.at - since)
    }

    /// Writes down everything that was sent, answered and run.
    pub fn record(&self) -> String {
        let (sent, runs) = (self.sent.lock().unwrap(), self.runs.lock().unwrap());
        let at = |it: Instant| (it - self.started_at).as_secs_f64();
        let mut lines: Vec<(f64, String)> = Vec::new();
        for it in sent.iter() {
            let key = if it.has_dropped_key { DROPPED_KEY } else { KEPT_KEY };
            let name = &self.nodes[it.machine].name;
            let text = format!("sent {} to {name} with key {key}: answer {}", it.id, it.status);
            lines.push((at(it.at), text));
        }
        for it in runs.iter() {
            let Run { request, worker, service, tenant, .. } = it;
            let text = format!("run  {request} at {worker} of {service}, tenant {tenant}");
            lines.push((at(it.at), text));
        }
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut text = format!("{}\nall requests\n", self.notes);
        for (at, line) in lines {
            let _ = writeln!(text, "{at:8.3} s  {line}");
        }
        text
    }
}

impl Drop for Stage {
    fn drop(&mut self) {
        self.stop_clients();
        self.nodes.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Books a berth and returns the status of the answer; 0 without a whole one.
fn book(address: SocketAddr, id: &str, has_dropped_key: bool) -> u16 {
    let key = if has_dropped_key { DROPPED_KEY } else { KEPT_KEY };
    let body = "{\"berth\":4}";
    let request = format!(
        "POST /book/2f HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: 1500\r\n\
         X-Api-Key: {key}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    let answer = call(address, request.as_bytes(), Duration::from_millis(1_500));
    answer.map_or(0, |it| it.status())
}

/// Returns a configuration whose route leads to this service.
pub fn config(version: u64, service: &str, has_dropped_key: bool, timeout_ms: u64) -> String {
    let dropped = if has_dropped_key { format!(",\"{DROPPED_KEY}\"") } else { String::new() };
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"book\",\"host\":\"ficu95.example\",\
         \"prefix\":\"/book/\",\"kind\":\"unsafe\",\"timeoutMs\":{timeout_ms},\
         \"targetLatencyMs\":100,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":1,\
         \"public\":false,\"sticky\":false,\"resumable\":false}}],\"services\":[\
         {{\"name\":\"{OLD_SERVICE}\",\"healthCheck\":\"/healthz\",\"maxConnections\":110}},\
         {{\"name\":\"{NEW_SERVICE}\",\"healthCheck\":\"/healthz\",\"maxConnections\":110}}],\
         \"limits\":{{\"maxHeaderBytes\":8192,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":2000,\
         \"idleTimeoutMs\":5000}},\"tenants\":[{{\"name\":\"hule930\",\
         \"apiKeys\":[\"{KEPT_KEY}\"{dropped}]}}]}}"
    )
}
