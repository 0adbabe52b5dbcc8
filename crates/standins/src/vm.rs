//! Runs real daemons as child processes.

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

/// Token that authorizes operator requests in a test deployment.
pub const OPERATOR_TOKEN: &str = "operator-token-for-tests";

/// Secret that the VMs of a test deployment share.
pub const SHARED_SECRET: &str = "shared-secret-for-tests";

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings that a daemon is started with.
#[derive(Debug, Clone)]
pub struct VmSettings {
    /// Path of the daemon executable.
    pub program: PathBuf,
    /// Name of the VM, passed as `--vm`.
    pub name: String,
    /// Failure domain that the VM runs in.
    pub failure_domain: String,
    /// Address of the platform, or of a proxy in front of it.
    pub platform: SocketAddr,
    /// Minimum time from reporting not ready to exiting when the VM stops, in milliseconds.
    pub drain_ms: u64,
    /// Additional command-line arguments.
    pub flags: Vec<String>,
}

/// A daemon that runs until it is dropped.
pub struct Vm {
    /// Settings that the daemon was started with.
    pub settings: VmSettings,
    /// Address that the VM serves callers on.
    pub caller_address: SocketAddr,
    /// Address that the VM serves operators on.
    pub operator_address: SocketAddr,
    /// Address that the VM serves other VMs on.
    pub peer_address: SocketAddr,
    log: PathBuf,
    child: Child,
}

impl Vm {
    /// Starts a daemon on free loopback ports.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be created or the program cannot be started.
    pub fn start(settings: VmSettings) -> io::Result<Self> {
        let addresses = [free_address(), free_address(), free_address()];
        Self::start_at(settings, addresses)
    }

    /// Starts a daemon on the given addresses for callers, operators and peers, in this order.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be created or the program cannot be started.
    pub fn start_at(settings: VmSettings, addresses: [SocketAddr; 3]) -> io::Result<Self> {
        let [caller_address, operator_address, peer_address] = addresses;
        let log = log_path(&settings.name, caller_address);
        let child = spawn(&settings, addresses, File::create(&log)?)?;
        Ok(Self { settings, caller_address, operator_address, peer_address, log, child })
    }

    /// Starts a program in place of the daemon, which is killed if it still runs. The log goes on.
    ///
    /// # Errors
    ///
    /// Returns an error if the program cannot be started.
    pub fn restart(&mut self, program: &Path) -> io::Result<()> {
        self.kill();
        program.clone_into(&mut self.settings.program);
        let addresses = [self.caller_address, self.operator_address, self.peer_address];
        let log = File::options().append(true).open(&self.log)?;
        self.child = spawn(&self.settings, addresses, log)?;
        Ok(())
    }

    /// Returns the entry of this VM for the list of the platform.
    pub fn list_entry(&self) -> PeerAddress {
        PeerAddress {
            vm: self.settings.name.as_str().into(),
            address: self.peer_address,
            failure_domain: self.settings.failure_domain.as_str().into(),
        }
    }

    /// Returns the process ID of the daemon.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the log so far; empty if it cannot be read.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Returns whether the VM reports ready, so that a load balancer would route callers to it.
    pub fn is_ready(&self) -> bool {
        client::get_status(self.caller_address, "/readyz") == Some(200)
    }

    /// Waits until the daemon is ready.
    ///
    /// # Panics
    ///
    /// Panics if the daemon is not ready within `limit`.
    pub fn wait_ready(&self, limit: Duration) {
        let ready = wait_until(limit, || self.is_ready());
        assert!(ready, "{} did not become ready; its log:\n{}", self.settings.name, self.log());
    }

    /// Returns a dump of the state of the VM; [`Value::Null`] if it does not respond.
    pub fn dump(&self) -> Value {
        client::operator(self.operator_address, "GET", "/dump", None)
            .map_or(Value::Null, |it| it.body)
    }

    /// Returns the version of the active configuration; 0 if the VM does not respond or has none.
    pub fn config_version(&self) -> u64 {
        self.dump()["config"]["version"].as_u64().unwrap_or(0)
    }

    /// Sends SIGTERM, which starts a graceful stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends SIGHUP, which stops nothing.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// Suspends the process with SIGSTOP until [`Vm::resume`].
    pub fn pause(&self) {
        self.signal("-STOP");
    }

    /// Resumes the process after [`Vm::pause`].
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Kills the process without a graceful stop, and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process to exit, and returns its exit code.
    ///
    /// Returns `None` if it still runs after `limit`, or if a signal ended it.
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

/// Checks `condition` repeatedly until it holds; returns `false` if it does not within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    condition()
}

fn spawn(
    settings: &VmSettings,
    [caller_address, operator_address, peer_address]: [SocketAddr; 3],
    log: File,
) -> io::Result<Child> {
    Command::new(&settings.program)
        .args(["--vm", &settings.name])
        .args(["--failure-domain", &settings.failure_domain])
        .args(["--caller-address", &caller_address.to_string()])
        .args(["--operator-address", &operator_address.to_string()])
        .args(["--peer-address", &peer_address.to_string()])
        .args(["--platform-address", &settings.platform.to_string()])
        .args(["--drain-ms", &settings.drain_ms.to_string()])
        .args(["--seed", "1"])
        .args(&settings.flags)
        .env("CRANBERRYVALVE_OPERATOR_TOKEN", OPERATOR_TOKEN)
        .env("CRANBERRYVALVE_SHARED_SECRET", SHARED_SECRET)
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(Stdio::null())
        .spawn()
}

fn log_path(name: &str, caller_address: SocketAddr) -> PathBuf {
    let file =
        format!("cranberryvalved-{}-{name}-{}.log", std::process::id(), caller_address.port());
    Path::new(&std::env::temp_dir()).join(file)
}
