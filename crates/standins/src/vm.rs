//! Real daemons as child processes.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::peer::PeerAddress;
use serde_json::Value;

use crate::client;
use crate::ports::free_address;

/// Token of the operators of a test deployment.
pub const OPERATOR_TOKEN: &str = "operator-token-for-tests";

/// Secret of the VMs of a test deployment.
pub const SHARED_SECRET: &str = "shared-secret-for-tests";

/// Pause between two looks at a process.
const LOOK: Duration = Duration::from_millis(20);

/// How a daemon is started.
#[derive(Debug, Clone)]
pub struct VmSettings {
    /// Program.
    pub program: PathBuf,
    /// Name.
    pub name: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Address of the platform, or of a proxy before it.
    pub platform: SocketAddr,
    /// Time between not ready and stop, in milliseconds.
    pub drain_ms: u64,
    /// Further flags.
    pub flags: Vec<String>,
}

/// A daemon that runs until it is dropped.
pub struct Vm {
    /// Settings that it was started with.
    pub settings: VmSettings,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for other VMs.
    pub peers: SocketAddr,
    log: PathBuf,
    child: Child,
}

impl Vm {
    /// Starts a daemon on ports of its own.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start(settings: VmSettings) -> io::Result<Self> {
        let addresses = [free_address(), free_address(), free_address()];
        Self::start_at(settings, addresses)
    }

    /// Starts a daemon at given addresses for callers, operators and peers.
    ///
    /// # Errors
    ///
    /// Fails when the program cannot be started.
    pub fn start_at(settings: VmSettings, addresses: [SocketAddr; 3]) -> io::Result<Self> {
        let [callers, operators, peers] = addresses;
        let log = log_path(&settings.name, callers);
        let child = Command::new(&settings.program)
            .args(["--vm", &settings.name])
            .args(["--failure-domain", &settings.failure_domain])
            .args(["--caller-address", &callers.to_string()])
            .args(["--operator-address", &operators.to_string()])
            .args(["--peer-address", &peers.to_string()])
            .args(["--platform-address", &settings.platform.to_string()])
            .args(["--drain-ms", &settings.drain_ms.to_string()])
            .args(["--seed", "1"])
            .args(&settings.flags)
            .env("CRANBERRYVALVE_OPERATOR_TOKEN", OPERATOR_TOKEN)
            .env("CRANBERRYVALVE_SHARED_SECRET", SHARED_SECRET)
            .stdin(Stdio::null())
            .stdout(File::create(&log)?)
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Self { settings, callers, operators, peers, log, child })
    }

    /// Name and address for the platform's list.
    pub fn listing(&self) -> PeerAddress {
        PeerAddress {
            vm: self.settings.name.as_str().into(),
            address: self.peers,
            failure_domain: self.settings.failure_domain.as_str().into(),
        }
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// What it logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Whether the balancer would send callers to it.
    pub fn is_ready(&self) -> bool {
        client::get_status(self.callers, "/readyz") == Some(200)
    }

    /// Waits until the daemon is ready.
    ///
    /// # Panics
    ///
    /// Panics when it is not ready in time.
    pub fn wait_ready(&self, limit: Duration) {
        let ready = wait_until(limit, || self.is_ready());
        assert!(ready, "{} is not ready; its log:\n{}", self.settings.name, self.log());
    }

    /// A dump of its state; null when it does not answer.
    pub fn dump(&self) -> Value {
        client::operator(self.operators, "GET", "/dump", None).map_or(Value::Null, |it| it.body)
    }

    /// Version of the configuration in force; 0 when it does not answer.
    pub fn config_version(&self) -> u64 {
        self.dump()["config"]["version"].as_u64().unwrap_or(0)
    }

    /// Asks it to stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Freezes it.
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Lets it go on after [`Vm::pause`].
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Kills it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for it to end; none when it still runs after `limit`.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<i32> {
        let mut code = None;
        wait_until(limit, || {
            let status = self.child.try_wait().ok().flatten();
            code = status.and_then(|it| it.code());
            status.is_some()
        });
        code
    }

    fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([signal, &self.pid().to_string()]).status();
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.log);
    }
}

/// Looks at `condition` until it holds; false when it does not within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        std::thread::sleep(LOOK);
    }
    condition()
}

fn log_path(name: &str, callers: SocketAddr) -> PathBuf {
    let file = format!("cranberryvalved-{}-{name}-{}.log", std::process::id(), callers.port());
    Path::new(&std::env::temp_dir()).join(file)
}
