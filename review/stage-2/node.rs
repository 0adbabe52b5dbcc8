//! Processes of the program under test, started with the command of the deploy file.

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use crate::http::get;

/// Program of the deploy file; its argument there is `--metrics-port` with a port.
const PROGRAM: &str = "target/release/cranberryvalve-node";

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

/// Addresses that a process listens on.
pub struct Ports {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    first_of_range: u16,
    metrics: u16,
}

/// Returns free addresses below the ephemeral ports, which the system gives to connections.
pub fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let start = 10_000 + std::process::id() % 150 * 100;
    let is_free = |it: &u32| TcpListener::bind(("127.0.0.1", *it as u16)).is_ok();
    let free = (start..start + 15_000).filter(is_free);
    free.take(count).map(|it| SocketAddr::from(([127, 0, 0, 1], it as u16))).collect()
}

impl Ports {
    pub fn find(count: usize) -> Vec<Self> {
        let addresses = free_addresses(5 * count);
        let ports = addresses.chunks(5).map(|it| Self {
            front: it[0],
            ready: it[1],
            control: it[2],
            first_of_range: it[3].port(),
            metrics: it[4].port(),
        });
        ports.collect()
    }
}

/// What the settings of all machines have in common.
pub struct Site {
    /// Zones as JSON, each with its region.
    pub zones: String,
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time.
    pub is_first_start: bool,
}

impl Node {
    /// Starts a process. `folder` gets its settings file and its log.
    pub fn start(
        name: &str,
        zone: &str,
        ports: &Ports,
        store: SocketAddr,
        site: &Site,
        folder: &Path,
    ) -> Self {
        let (front, ready, control) = (ports.front, ports.ready, ports.control);
        let first = ports.first_of_range;
        let (zones, is_first_start) = (&site.zones, site.is_first_start);
        let seeds: Vec<String> = site.seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let seeds = seeds.join(",");
        let settings = format!(
            r#"{{
  "node": "{name}", "role": "router", "machineClass": "front", "serves": ["front", "control"],
  "ip": "127.0.0.1", "zone": "{zone}", "region": "canterbury", "zones": {zones},
  "listen": {{"front": "{front}", "ready": "{ready}", "control": "{control}"}},
  "portRange": [{first}, {first}], "seeds": [{seeds}], "bootstrap": {is_first_start}, "lossCounts": false,
  "limits": {{"cpuShare": 0.25, "cores": 1, "memoryMb": 110, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0}},
  "dataDir": null, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
  "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"],
  "faultTolerance": {{"machines": 2, "zones": 0, "regions": 0}},
  "bounds": {{"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "strictRevoke": false, "revokeMs": 5000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 56, "recoverS": 12, "passMs": 120, "reuseWindowS": 7.7}},
  "platform": {{"address": "{store}", "form": "table", "writesPerS": 400, "readsPerS": 2000, "txMs": 8.0, "partWritesS": 150, "rowBytes": 65536, "across": false, "historyS": 20, "blobBytes": 8388608, "blobMs": 25.0, "blobMbS": 80.0}}
}}
"#
        );
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("the temporary folder is writable");
        let log = fs::File::create(folder.join(format!("{name}.log"))).expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let child = Command::new(PROGRAM)
            .args(["--metrics-port", &ports.metrics.to_string()])
            .env("CRANBERRYVALVE_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .expect("the program of the deploy file is built");
        Self { name: name.to_owned(), front, ready, settings: path, child }
    }

    pub fn is_ready(&self) -> bool {
        get(self.ready, "/-/readyz") == 200
    }

    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Replaces the seeds in the settings file and tells the process, as the platform does.
    pub fn change_seeds(&self, seeds: &[SocketAddr]) {
        let text = fs::read_to_string(&self.settings).expect("the settings file");
        let changed: Vec<String> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let start = text.find("\"seeds\": [").expect("the seeds") + "\"seeds\": [".len();
        let end = start + text[start..].find(']').expect("the end of the seeds");
        let text = format!("{}{}{}", &text[..start], changed.join(","), &text[end..]);
        fs::write(&self.settings, text).expect("the settings file is writable");
        self.signal("HUP");
    }

    /// Sends a signal, for example `KILL`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([&format!("-{signal}"), &*pid]).status();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        // The kernel needs a moment to release the ports.
        std::thread::sleep(Duration::from_millis(1));
    }
}
