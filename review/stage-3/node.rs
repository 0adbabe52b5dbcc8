//! A process of the program that the deploy file runs.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/cranberryvalve-node";

/// Maximum time until a process is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Addresses and the settings that differ between the processes of a case.
pub struct Place<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    /// Control addresses of processes that were started before.
    pub seeds: Vec<SocketAddr>,
    /// Address of the endpoint of duties, if there is one.
    pub cloud: Option<SocketAddr>,
}

/// A process, which is killed when dropped.
pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub control: SocketAddr,
    ready: SocketAddr,
    child: Child,
    settings: PathBuf,
    log: PathBuf,
}

impl Node {
    pub fn start(place: &Place<'_>) -> Self {
        let [front, ready, control, metrics, forwarding] = free_addresses();
        let directory = std::env::temp_dir();
        let unique = format!("cranberryvalve-review-{}-{}", std::process::id(), front.port());
        let settings = directory.join(format!("{unique}.json"));
        let log = directory.join(format!("{unique}.log"));
        fs::write(&settings, settings_text(place, front, ready, control, forwarding)).expect("a temporary folder");
        let child = Command::new(PROGRAM)
            .args(["--metrics-port", &metrics.port().to_string()])
            .env("CRANBERRYVALVE_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(File::create(&log).expect("a temporary folder"))
            .stderr(Stdio::null())
            .spawn()
            .expect("the program is built");
        Self { name: place.name.to_owned(), front, control, ready, child, settings, log }
    }

    /// Returns whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        client::get_status(self.ready, "/-/readyz") == 200
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self) {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if self.is_ready() {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        crate::give_up(&format!("{} is not ready", self.name));
    }

    /// Sends a signal, such as `STOP`.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").args([&format!("-{name}"), &self.child.id().to_string()]).status();
        if !status.is_ok_and(|it| it.success()) {
            crate::give_up("the signal cannot be sent");
        }
    }

    /// Returns the log lines that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|it| it.contains(text)).map(ToOwned::to_owned).collect()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
        let _ = fs::remove_file(&self.log);
    }
}

/// Returns addresses whose ports are free.
fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners: [TcpListener; N] = std::array::from_fn(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"));
    std::array::from_fn(|index| listeners[index].local_addr().expect("a bound socket"))
}

/// Returns settings with the fields and the bounds of the example in the operators' pages.
fn settings_text(
    place: &Place<'_>,
    front: SocketAddr,
    ready: SocketAddr,
    control: SocketAddr,
    forwarding: SocketAddr,
) -> String {
    let seeds: Vec<String> = place.seeds.iter().map(|it| format!("\"{it}\"")).collect();
    let cloud = place.cloud.map_or("null".to_owned(), |it| {
        format!("{{\"address\": \"{it}\", \"ratePerS\": 50.0, \"duties\": [\"usage_report\"], \"dutyPerS\": 50.0}}")
    });
    format!(
        "{{\"node\": \"{}\", \"role\": \"router\", \"machineClass\": \"front\", \"serves\": [\"front\", \"control\"],
\"ip\": \"127.0.0.1\", \"zone\": \"{}\", \"region\": \"canterbury\",
\"zones\": {{\"chc-a\": \"canterbury\", \"chc-b\": \"canterbury\", \"chc-c\": \"canterbury\"}},
\"listen\": {{\"front\": \"{front}\", \"ready\": \"{ready}\", \"control\": \"{control}\"}},
\"portRange\": [{}, {}], \"seeds\": [{}], \"bootstrap\": true, \"lossCounts\": false,
\"limits\": {{\"cpuShare\": 0.25, \"cores\": 1, \"memoryMb\": 110, \"maxFds\": 4100, \"linkMbps\": 1000.0, \"diskMb\": 0}},
\"dataDir\": null, \"discovery\": \"platform\", \"entry\": \"vip\", \"heartbeatMs\": 1200,
\"contracts\": [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \"tenants\", \"platform\"],
\"faultTolerance\": {{\"machines\": 2, \"zones\": 0, \"regions\": 0}},
\"bounds\": {{\"seedLagS\": 3, \"reuseAfterS\": 2, \"contactMs\": 3000, \"ackMs\": 4000, \"catchUpS\": 4, \"drainMs\": 2000,
\"graceS\": 8, \"lossSlackMs\": 200, \"configApplyMs\": 2000, \"rollbackSlackMs\": 250, \"maxSkewMs\": 5000,
\"strictRevoke\": false, \"revokeMs\": 5000, \"retryBudgetRatio\": 0.2, \"budgetWindowS\": 10, \"budgetSlack\": 56,
\"requireFence\": false, \"leaseMs\": 3000, \"thawMs\": 300, \"reportWindowS\": 5, \"usageTolerance\": 0.05,
\"usageLateS\": 10, \"recoverS\": 12, \"passMs\": 120, \"reuseWindowS\": 7.7}},
\"platform\": {{\"address\": \"{}\", \"form\": \"table\", \"writesPerS\": 400, \"readsPerS\": 2000, \"txMs\": 8.0,
\"partWritesS\": 150, \"rowBytes\": 65536, \"across\": false, \"historyS\": 20, \"blobBytes\": 8388608, \"blobMs\": 25.0,
\"blobMbS\": 80.0}}, \"cloud\": {cloud}}}",
        place.name,
        place.zone,
        forwarding.port(),
        forwarding.port(),
        seeds.join(", "),
        place.store,
    )
}
