//! Processes of the program under review, as the deploy file runs them.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::http::call;
use crate::http::wait_until;
use crate::json::Json;

/// Program of the deploy file.
const PROGRAM: &str = "target/release/cranberryvalve-node";

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    metrics: SocketAddr,
    ports: u16,
    zone: String,
    store: SocketAddr,
    folder: PathBuf,
    pub child: Child,
}

/// Ports that no outgoing connection gets by itself, so that they stay free between two starts.
const PORTS: std::ops::Range<u32> = 10_000..30_000;

/// Returns an address with a port that is free now. None is returned twice.
pub fn free_address() -> SocketAddr {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    // Cases that are played at the same time begin at different ports.
    let first = std::process::id().wrapping_mul(211);
    loop {
        let number = first.wrapping_add(COUNT.fetch_add(1, Ordering::SeqCst));
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let address = SocketAddr::from(([127, 0, 0, 1], u16::try_from(port).expect("a port")));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

impl Node {
    /// Starts a process. `bootstrap` tells whether the whole system starts for the first time.
    pub fn start(
        folder: &str,
        name: &str,
        zone: &str,
        store: SocketAddr,
        control: SocketAddr,
        seeds: &[SocketAddr],
        bootstrap: bool,
    ) -> Self {
        let (front, ready, metrics) = (free_address(), free_address(), free_address());
        let ports = free_address().port();
        let folder = PathBuf::from(folder);
        let (name, zone) = (name.to_owned(), zone.to_owned());
        write_settings(
            &folder,
            &name,
            &zone,
            store,
            [front, ready, control],
            ports,
            seeds,
            bootstrap,
        );
        let child = spawn(&folder, &name, metrics);
        Self { name, front, ready, control, metrics, ports, zone, store, folder, child }
    }

    /// Starts the process again at the same addresses, in a system that has run before.
    pub fn restart(&mut self, seeds: &[SocketAddr]) {
        self.change_seeds(seeds);
        self.child = spawn(&self.folder, &self.name, self.metrics);
    }

    /// Writes the settings file again, with other seeds.
    pub fn change_seeds(&self, seeds: &[SocketAddr]) {
        let addresses = [self.front, self.ready, self.control];
        write_settings(
            &self.folder,
            &self.name,
            &self.zone,
            self.store,
            addresses,
            self.ports,
            seeds,
            false,
        );
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        call(self.ready, request, Duration::from_secs(1)).0 == 200
    }

    /// Returns what the process says of itself on its metrics port.
    pub fn state(&self) -> Json {
        let request = "GET /state HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let body = call(self.metrics, request, Duration::from_secs(1)).2;
        Json::parse(&String::from_utf8_lossy(&body))
    }

    /// Returns the number of machines that the process knows and takes as alive, itself included.
    pub fn members(&self) -> usize {
        self.state().list("members").len()
    }

    /// Waits until the process is ready, knows the workers and as many machines.
    pub fn wait_settled(&self, workers: usize, members: usize) -> bool {
        wait_until(Duration::from_secs(20), || {
            let state = self.state();
            let upstreams = state.field("scheduler").list("upstreams").len();
            self.is_ready() && upstreams == workers && state.list("members").len() == members
        })
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let _ = Command::new("kill").args([signal, &pid]).status();
    }

    /// Returns the memory that the process holds, in bytes; 0 if it has ended.
    pub fn memory_bytes(&self) -> usize {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).unwrap_or("0 kB");
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap_or(0) * 1_024
    }

    /// Ends the process as a loss of power does.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(folder: &Path, name: &str, metrics: SocketAddr) -> Child {
    let open = |name: String| {
        let file = File::options().create(true).append(true).open(folder.join(name));
        file.expect("a writable folder")
    };
    let child = Command::new(PROGRAM)
        .args(["--metrics-port", &metrics.port().to_string()])
        .env("CRANBERRYVALVE_SETTINGS", folder.join(format!("{name}.json")))
        .stdin(Stdio::null())
        .stdout(open(format!("{name}.log")))
        .stderr(open(format!("{name}.errors")))
        .spawn()
        .expect("the program is built");
    // The script that started this one ends the processes that are named here.
    writeln!(open("pids".to_owned()), "{}", child.id()).expect("a writable folder");
    child
}

#[expect(clippy::too_many_arguments)]
fn write_settings(
    folder: &Path,
    name: &str,
    zone: &str,
    store: SocketAddr,
    [front, ready, control]: [SocketAddr; 3],
    ports: u16,
    seeds: &[SocketAddr],
    bootstrap: bool,
) {
    let seeds: Vec<String> = seeds.iter().map(|it| format!("\"{it}\"")).collect();
    let seeds = seeds.join(",");
    let text = format!(
        r#"{{"node":"{name}","role":"router","machineClass":"front","serves":["front","control"],
"ip":"127.0.0.1","zone":"{zone}","region":"canterbury",
"zones":{{"chc-a":"canterbury","chc-b":"canterbury","chc-c":"canterbury"}},
"listen":{{"front":"{front}","ready":"{ready}","control":"{control}"}},
"portRange":[{ports},{ports}],"seeds":[{seeds}],"bootstrap":{bootstrap},"lossCounts":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":110,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"],
"faultTolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
"graceS":8,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxSkewMs":5000,
"strictRevoke":false,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,"budgetSlack":56,
"recoverS":12,"passMs":120,"reuseWindowS":7.7}},
"platform":{{"address":"{store}","form":"table","writesPerS":400,"readsPerS":2000,"txMs":8.0,
"partWritesS":150,"rowBytes":65536,"across":false,"historyS":20,"blobBytes":8388608,
"blobMs":25.0,"blobMbS":80.0}}}}"#
    );
    // The file is replaced at once, so that no part of it is read.
    let (new, path) = (folder.join(format!("{name}.new")), folder.join(format!("{name}.json")));
    fs::write(&new, text).expect("a writable folder");
    fs::rename(&new, &path).expect("a writable folder");
}
