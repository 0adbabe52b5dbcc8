//! Settings of the daemon, read from flags and environment variables.

use std::env;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::VmId;
use eyre::Result;
use eyre::bail;
use eyre::eyre;
use gumdrop::Options;
use slog::Level;

use crate::lifecycle::RESPONSE_TIME;

/// Prefix of the environment variables; `--peer-address` corresponds to
/// `CRANBERRYVALVE_PEER_ADDRESS`.
const ENV_PREFIX: &str = "CRANBERRYVALVE_";

/// Minimum length of a secret, in bytes.
const MIN_SECRET_BYTES: usize = 16;

const DEFAULT_DRAIN_MS: u64 = 5_000;

/// Default time from the end of the drain time to the end of a stop.
const DEFAULT_TIME_AFTER_DRAIN_MS: u64 = 20_000;

/// Exit status for invalid settings.
const EXIT_USAGE: u8 = 2;

/// Command-line flags before validation.
#[derive(Debug)]
#[derive(Options)]
struct Flags {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(no_short, help = "name of this VM, unique among all VMs")]
    vm: Option<String>,
    #[options(no_short, help = "failure domain of this VM")]
    failure_domain: Option<String>,
    #[options(no_short, help = "IP address and port for callers")]
    caller_address: Option<String>,
    #[options(no_short, help = "IP address and port for operators")]
    operator_address: Option<String>,
    #[options(no_short, help = "IP address and port for other VMs")]
    peer_address: Option<String>,
    #[options(
        no_short,
        help = "IP address and port at which other VMs reach this one (default: peer address)"
    )]
    advertised_address: Option<String>,
    #[options(no_short, help = "IP address and port of the platform")]
    platform_address: Option<String>,
    #[options(
        no_short,
        help = "token that operators must present (better set in the environment)"
    )]
    operator_token: Option<String>,
    #[options(no_short, help = "secret that all VMs share (better set in the environment)")]
    shared_secret: Option<String>,
    #[options(no_short, help = "minimum time between not ready and stop, in ms (default 5000)")]
    drain_ms: Option<String>,
    #[options(
        no_short,
        help = "maximum time of a stop, in ms, after which requests in flight are ended (default: \
                drain time + 20000)"
    )]
    stop_ms: Option<String>,
    #[options(
        no_short,
        help = "time within which callers may repeat a call that must run once, in ms; for so long \
                after a restoration of the store such calls are answered `unknown` (default 600000)"
    )]
    repeat_window_ms: Option<String>,
    #[options(no_short, help = "maximum number of caller connections (default 4096)")]
    max_connections: Option<String>,
    #[options(no_short, help = "maximum size of a request body, in bytes (default 4194304)")]
    max_body_bytes: Option<String>,
    #[options(no_short, help = "maximum number of upstreams considered in a pool (default 24)")]
    subset_size: Option<String>,
    #[options(no_short, help = "seed for random choices (default: random)")]
    seed: Option<String>,
    #[options(
        no_short,
        help = "minimum level of log messages: debug, info, warning or error (default info)"
    )]
    log_level: Option<String>,
}

/// Validated settings.
#[derive(Debug, Clone)]
pub(crate) struct Settings {
    pub(crate) vm: VmId,
    pub(crate) failure_domain: FailureDomainId,
    pub(crate) caller_address: SocketAddr,
    pub(crate) operator_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    /// Address at which other VMs reach this one; the peer address unless set.
    pub(crate) advertised_address: SocketAddr,
    pub(crate) platform_address: SocketAddr,
    pub(crate) operator_token: Arc<str>,
    pub(crate) shared_secret: Arc<str>,
    pub(crate) drain: Duration,
    /// Time from a stop signal to the end of the process, at the latest.
    pub(crate) stop: Duration,
    /// Time within which callers may repeat a call that must run once.
    pub(crate) repeat_window: Duration,
    pub(crate) max_connections: usize,
    pub(crate) max_body_bytes: usize,
    pub(crate) subset_size: usize,
    pub(crate) seed: u64,
    pub(crate) log_level: Level,
}

impl Settings {
    /// Reads and validates the settings of this process; `None` if help was requested.
    pub(crate) fn load() -> Result<Option<Self>> {
        let arguments: Vec<String> = env::args().skip(1).collect();
        let flags = Flags::parse_args_default(&arguments).map_err(|error| eyre!("{error}"))?;
        if flags.help {
            print_help();
            return Ok(None);
        }
        Self::check(&flags).map(Some)
    }

    fn check(flags: &Flags) -> Result<Self> {
        let mut reader = SettingsReader { errors: Vec::new() };
        let drain_ms = reader.number("drain-ms", &flags.drain_ms, DEFAULT_DRAIN_MS);
        let settings = Self {
            vm: reader.name("vm", &flags.vm),
            failure_domain: reader.name("failure-domain", &flags.failure_domain),
            caller_address: reader.address("caller-address", &flags.caller_address),
            operator_address: reader.address("operator-address", &flags.operator_address),
            peer_address: reader.address("peer-address", &flags.peer_address),
            advertised_address: reader.advertised_address(flags),
            platform_address: reader.address("platform-address", &flags.platform_address),
            operator_token: reader.secret("operator-token", &flags.operator_token),
            shared_secret: reader.secret("shared-secret", &flags.shared_secret),
            drain: Duration::from_millis(drain_ms),
            stop: reader.stop(&flags.stop_ms, drain_ms),
            repeat_window: Duration::from_millis(reader.number(
                "repeat-window-ms",
                &flags.repeat_window_ms,
                600_000,
            )),
            max_connections: reader.size("max-connections", &flags.max_connections, 4_096),
            max_body_bytes: reader.size("max-body-bytes", &flags.max_body_bytes, 4 * 1024 * 1024),
            subset_size: reader.size("subset-size", &flags.subset_size, 24),
            seed: reader.number("seed", &flags.seed, rand::random()),
            log_level: reader.log_level(&flags.log_level),
        };
        if reader.errors.is_empty() {
            return Ok(settings);
        }
        bail!("{}", reader.errors.join("\n"))
    }
}

/// Prints the errors in the settings, one per line, and returns the exit status.
#[expect(clippy::print_stderr, reason = "there is no logger before the settings are known")]
pub(crate) fn print_error(report: &eyre::Report) -> ExitCode {
    for line in report.to_string().lines() {
        eprintln!("cranberryvalved: {line}");
    }
    eprintln!("cranberryvalved: see --help");
    ExitCode::from(EXIT_USAGE)
}

#[expect(clippy::print_stdout, reason = "help goes to standard output")]
fn print_help() {
    println!("cranberryvalved: router for language-model traffic\n");
    println!("{}", Flags::usage());
    println!("\nEach flag may be set in the environment: {ENV_PREFIX}PEER_ADDRESS for");
    println!("--peer-address and so on. A flag takes precedence over the environment.");
}

/// Reads settings and collects their errors.
struct SettingsReader {
    errors: Vec<String>,
}

impl SettingsReader {
    fn text(name: &str, flag: &Option<String>) -> Option<String> {
        let variable = format!("{ENV_PREFIX}{}", name.replace('-', "_").to_uppercase());
        flag.clone().or_else(|| env::var(variable).ok())
    }

    fn add_error(&mut self, name: &str, message: &str) {
        self.errors.push(format!("--{name}: {message}"));
    }

    fn name(&mut self, name: &str, flag: &Option<String>) -> Arc<str> {
        let text = Self::text(name, flag).unwrap_or_default();
        let is_valid = !text.is_empty()
            && text.chars().all(|it| it.is_ascii_alphanumeric() || "-_.".contains(it));
        if !is_valid {
            self.add_error(name, "a name of letters, digits, `-`, `_` and `.` is required");
        }
        text.into()
    }

    fn address(&mut self, name: &str, flag: &Option<String>) -> SocketAddr {
        let text = Self::text(name, flag).unwrap_or_default();
        text.parse().unwrap_or_else(|_| {
            let message = format!("`{text}` is not an IP address and port, such as 10.0.0.1:8080");
            self.add_error(name, &message);
            SocketAddr::from(([0, 0, 0, 0], 0))
        })
    }

    /// Returns the advertised address, or else the peer address.
    ///
    /// Errors in the peer address are not reported again here.
    fn advertised_address(&mut self, flags: &Flags) -> SocketAddr {
        if Self::text("advertised-address", &flags.advertised_address).is_some() {
            return self.address("advertised-address", &flags.advertised_address);
        }
        let peer = Self::text("peer-address", &flags.peer_address).unwrap_or_default();
        peer.parse().unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)))
    }

    fn secret(&mut self, name: &str, flag: &Option<String>) -> Arc<str> {
        let text = Self::text(name, flag).unwrap_or_default();
        if text.len() < MIN_SECRET_BYTES {
            self.add_error(name, &format!("at least {MIN_SECRET_BYTES} bytes are required"));
        }
        text.into()
    }

    fn number(&mut self, name: &str, flag: &Option<String>, default: u64) -> u64 {
        let Some(text) = Self::text(name, flag) else { return default };
        text.parse().unwrap_or_else(|_| {
            self.add_error(name, &format!("`{text}` is not a whole number"));
            default
        })
    }

    /// Returns the time limit of a stop, which includes the drain time and that for the last responses.
    fn stop(&mut self, flag: &Option<String>, drain_ms: u64) -> Duration {
        let default_ms = drain_ms.saturating_add(DEFAULT_TIME_AFTER_DRAIN_MS);
        let stop = Duration::from_millis(self.number("stop-ms", flag, default_ms));
        let minimum = Duration::from_millis(drain_ms).saturating_add(RESPONSE_TIME);
        if stop < minimum {
            let message = format!(
                "at least {} is needed: the drain time and {}",
                minimum.as_millis(),
                RESPONSE_TIME.as_millis()
            );
            self.add_error("stop-ms", &message);
        }
        stop
    }

    fn size(&mut self, name: &str, flag: &Option<String>, default: usize) -> usize {
        let Some(text) = Self::text(name, flag) else { return default };
        text.parse().ok().filter(|it| *it > 0).unwrap_or_else(|| {
            self.add_error(name, &format!("`{text}` is not a whole number above 0"));
            default
        })
    }

    fn log_level(&mut self, flag: &Option<String>) -> Level {
        let text = Self::text("log-level", flag).unwrap_or_else(|| "info".to_owned());
        text.parse().unwrap_or_else(|()| {
            self.add_error("log-level", "must be debug, info, warning or error");
            Level::Info
        })
    }
}
