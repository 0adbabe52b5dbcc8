//! The cases, and what they have in common.

pub mod crashes;
pub mod frozen;
pub mod head;
pub mod limit;
pub mod limits;
pub mod memory;
pub mod order;
pub mod restored;
pub mod resume;
pub mod rolling;

use std::net::SocketAddr;
use std::sync::Arc;

use crate::node::Node;
use crate::node::free_address;
use crate::store::Store;

/// Workers of a model.
pub const DESK: &str = "model-desk";

/// Workers of a plain service.
pub const BERTH: &str = "berth-api";

/// Key of the only tenant, which no version takes away.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A second key of that tenant.
pub const SECOND_KEY: &str = "anfqasnmgkcuyj8pjbvk";

/// Returns a configuration with the routes of the cases and these keys.
pub fn config(version: u32, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|it| format!("\"{it}\"")).collect();
    let keys = keys.join(",");
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-feed","host":"ficu95.example","prefix":"/feed/","kind":"streaming","timeoutMs":15000,
"targetLatencyMs":500,"priority":1,"service":"{DESK}","maxAttempts":2,"public":false,"sticky":true,
"resumable":true,"targetGapMs":250}},
{{"name":"r-book","host":"ficu95.example","prefix":"/book/","kind":"unsafe","timeoutMs":10000,
"targetLatencyMs":1000,"priority":2,"service":"{BERTH}","maxAttempts":1,"public":false,"sticky":false,
"resumable":false}},
{{"name":"r-read","host":"ficu95.example","prefix":"/read/","kind":"safe","timeoutMs":2000,
"targetLatencyMs":1000,"priority":2,"service":"{BERTH}","maxAttempts":2,"public":false,"sticky":false,
"resumable":false}},
{{"name":"r-open","host":"ficu95.example","prefix":"/open/","kind":"safe","timeoutMs":2000,
"targetLatencyMs":1000,"priority":2,"service":"{BERTH}","maxAttempts":2,"public":true,"sticky":false,
"resumable":false}}],
"services":[{{"name":"{DESK}","healthCheck":"/healthz","maxConnections":370,"protocol":"h1",
"tls":false,"engine":{{"slots":64,"kvCapacity":245097,"kvTokenBytes":163840,"linkMbps":1100000.0,
"moves":true,"backups":true,"stride":4,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,
"models":[{{"name":"m"}}]}}}},
{{"name":"{BERTH}","healthCheck":"/healthz","maxConnections":110,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
"idleTimeoutMs":15000}},
"tenants":[{{"name":"hule930","apiKeys":[{keys}],"priority":1}}]}}"#
    )
}

/// Starts machines that know each other from the start, in one zone.
pub fn start_nodes(folder: &str, store: &Arc<Store>, count: usize) -> Vec<Node> {
    let controls: Vec<SocketAddr> = (0..count).map(|_| free_address()).collect();
    let seeds = &controls[..count.min(3)];
    let start = |(index, control): (usize, &SocketAddr)| {
        let name = format!("front-chc-a-{}", index + 1);
        Node::start(folder, &name, "chc-a", store.address, *control, seeds, true)
    };
    controls.iter().enumerate().map(start).collect()
}
