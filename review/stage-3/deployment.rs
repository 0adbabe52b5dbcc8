//! Routes, services and tenants of a small deployment.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use crate::client::HOST;
use crate::node::Node;
use crate::node::Place;
use crate::store::Store;
use crate::worker::Worker;

/// Service of all routes, as in the sheet `berth-api`.
const SERVICE: &str = "xano55b";

/// Zones of the deployment.
const ZONES: [&str; 3] = ["chc-a", "chc-b", "chc-c"];

/// Path of the route whose calls may not be repeated.
pub const BOOK: &str = "/pufi791/book";

/// Path of the route whose calls may be repeated.
pub const READ: &str = "/lohu930/read";

/// Time in which the processes find each other.
const JOIN_TIME: Duration = Duration::from_secs(5);

/// A store, workers and processes. The processes end when it is dropped.
pub struct Deployment {
    pub nodes: Vec<Node>,
    pub workers: Vec<Worker>,
    pub store: Store,
}

impl Deployment {
    /// Starts a deployment with one process in each of the first zones.
    pub fn start(nodes: usize, tenants: &str, answer_bytes: usize, cloud: Option<SocketAddr>) -> Self {
        let store = Store::start();
        store.put("op", "config", &config(7, tenants));
        let workers: Vec<Worker> = (0..3).map(|it| Worker::start(&format!("i-{it}f3a91c2"), answer_bytes)).collect();
        for (worker, zone) in workers.iter().zip(ZONES) {
            store.put("servers", &worker.id, &worker.row(SERVICE, zone, 6));
        }
        let mut deployment = Self { nodes: Vec::new(), workers, store };
        for zone in ZONES.iter().take(nodes) {
            let (name, store) = (format!("front-{zone}-1"), deployment.store.address);
            let seeds = deployment.nodes.iter().map(|it| it.control).collect();
            deployment.nodes.push(Node::start(&Place { name: &name, zone, store, seeds, cloud }));
        }
        deployment.nodes.iter().for_each(Node::wait_ready);
        thread::sleep(JOIN_TIME);
        deployment
    }
}

/// Returns a configuration with these tenants.
pub fn config(version: u64, tenants: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeoutMs\":6000,\
             \"targetLatencyMs\":100,\"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":1,\"public\":false,\
             \"sticky\":false,\"resumable\":false}}"
        )
    };
    format!(
        "{{\"version\":{version},\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthCheck\":\"/healthz\",\
         \"maxConnections\":110,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"tenants\":{tenants}}}",
        route("r-2yhvz3p", "/lohu930/", "safe"),
        route("r-fi6y7z5", "/pufi791/", "unsafe"),
    )
}
