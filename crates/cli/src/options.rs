//! Command line options and commands.

use std::env;

use gumdrop::Options;

use crate::exit::Exit;
use crate::exit::Failure;

/// Environment variable with the operator addresses of the VMs, for `--vms`.
const VMS_VARIABLE: &str = "CRANBERRYVALVE_VMS";

/// Environment variable with the operators' token, for `--token`.
const TOKEN_VARIABLE: &str = "CRANBERRYVALVE_OPERATOR_TOKEN";

/// Environment variable with the operator's name, for `--operator`.
const OPERATOR_VARIABLE: &str = "CRANBERRYVALVE_OPERATOR";

#[derive(Debug)]
#[derive(Options)]
pub(crate) struct Cli {
    #[options(no_short, help = "print this help")]
    pub(crate) help: bool,
    #[options(no_short, help = "operator addresses of the VMs as IP:port, separated by commas")]
    vms: Option<String>,
    #[options(no_short, help = "operators' token (prefer the environment variable)")]
    token: Option<String>,
    #[options(no_short, help = "your name, recorded in the history")]
    operator: Option<String>,
    #[options(no_short, help = "print JSON")]
    pub(crate) json: bool,
    #[options(command)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug)]
#[derive(Options)]
pub(crate) enum Command {
    #[options(help = "show what applying a configuration file would change")]
    Plan(PlanOptions),
    #[options(help = "show what taking an upstream out of service would change")]
    Drain(DrainOptions),
    #[options(help = "show what putting an upstream back into service would change")]
    Undrain(DrainOptions),
    #[options(help = "apply a plan")]
    Confirm(ConfirmOptions),
    #[options(help = "print the active configuration")]
    Show(NoOptions),
    #[options(help = "list the versions of the configuration")]
    History(NoOptions),
    #[options(help = "list the VMs and whether their configurations agree")]
    Status(NoOptions),
    #[options(help = "print the state of each VM")]
    Dump(NoOptions),
    #[options(help = "explain the outcome of a request from the log lines of all VMs")]
    Explain(ExplainOptions),
    #[options(help = "print the SHA-256 of an API key read from standard input")]
    HashKey(NoOptions),
}

#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ExplainOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(
        free,
        required,
        help = "request identifier, followed by log files; standard input if there are none"
    )]
    pub(crate) arguments: Vec<String>,
}

#[derive(Debug)]
#[derive(Options)]
pub(crate) struct PlanOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(free, required, help = "configuration file in TOML")]
    pub(crate) file: String,
    #[options(no_short, required, help = "file to write the plan to, for `confirm`")]
    pub(crate) out: String,
}

#[derive(Debug)]
#[derive(Options)]
pub(crate) struct DrainOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(free, required, help = "upstream")]
    pub(crate) upstream: String,
    #[options(no_short, required, help = "file to write the plan to, for `confirm`")]
    pub(crate) out: String,
}

#[derive(Debug)]
#[derive(Options)]
pub(crate) struct ConfirmOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
    #[options(free, required, help = "file that contains the plan")]
    pub(crate) plan: String,
    #[options(no_short, help = "name of a hazard to accept; may be repeated")]
    pub(crate) acknowledge: Vec<String>,
}

#[derive(Debug)]
#[derive(Options)]
pub(crate) struct NoOptions {
    #[options(no_short, help = "print this help")]
    help: bool,
}

impl Cli {
    /// Returns the addresses of the VMs, in the order in which they are tried.
    pub(crate) fn vms(&self) -> Result<Vec<String>, Failure> {
        let text = self.setting("vms", &self.vms, VMS_VARIABLE)?;
        let addresses: Vec<String> = text.split(',').map(|it| it.trim().to_owned()).collect();
        for address in &addresses {
            if address.parse::<std::net::SocketAddr>().is_err() {
                let message = format!("--vms: `{address}` is not an IP address and port");
                return Err(Failure::new(Exit::Usage, message));
            }
        }
        Ok(addresses)
    }

    /// Returns the operators' token.
    pub(crate) fn token(&self) -> Result<String, Failure> {
        self.setting("token", &self.token, TOKEN_VARIABLE)
    }

    /// Returns the name of the operator.
    pub(crate) fn operator(&self) -> Result<String, Failure> {
        self.setting("operator", &self.operator, OPERATOR_VARIABLE)
    }

    /// Returns the value of a flag, or else of an environment variable; empty counts as missing.
    fn setting(
        &self,
        name: &str,
        flag: &Option<String>,
        variable: &str,
    ) -> Result<String, Failure> {
        let text = flag.clone().or_else(|| env::var(variable).ok()).filter(|it| !it.is_empty());
        text.ok_or_else(|| Failure::new(Exit::Usage, format!("--{name} or {variable} is required")))
    }
}
