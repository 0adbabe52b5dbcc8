//! Requests to the VMs.

use std::time::Duration;

use serde_json::Value;
use ureq::Agent;
use ureq::http::Request;

use crate::exit::Exit;
use crate::exit::Failure;
use crate::options::Cli;

/// Time for a request that only reads.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for a request that may wait for the store.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for connecting to a VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer of a VM.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Answer {
    /// The message of an error answer.
    pub(crate) fn error(&self) -> String {
        self.body["error"].as_str().map_or_else(|| self.body.to_string(), str::to_owned)
    }
}

/// Why a VM did not answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NoAnswer {
    /// Nothing was sent.
    NotSent,
    /// The request may have been carried out.
    InDoubt,
}

/// The VMs that the operator named.
pub(crate) struct Remote {
    vms: Vec<String>,
    token: String,
}

impl Remote {
    pub(crate) fn new(cli: &Cli) -> Result<Self, Failure> {
        Ok(Self { vms: cli.vms()?, token: cli.token()? })
    }

    /// Addresses of the VMs.
    pub(crate) fn vms(&self) -> &[String] {
        &self.vms
    }

    /// Reads from one VM.
    pub(crate) fn get_from(&self, vm: &str, path: &str) -> Result<Answer, NoAnswer> {
        self.send(vm, "GET", path, None, READ_TIMEOUT)
    }

    /// Reads from the first VM that answers.
    pub(crate) fn get(&self, path: &str) -> Result<Value, Failure> {
        let answers = self.vms.iter().filter_map(|vm| self.get_from(vm, path).ok());
        accept(first(answers)?)
    }

    /// Sends `body` to the first VM that answers, where sending it twice does no harm.
    pub(crate) fn post(&self, path: &str, body: &Value) -> Result<Answer, Failure> {
        let answers = self
            .vms
            .iter()
            .filter_map(|vm| self.send(vm, "POST", path, Some(body), WRITE_TIMEOUT).ok());
        first(answers)
    }

    /// Sends `body` to the first VM that can be reached, and says when its answer is lost.
    pub(crate) fn post_in_doubt(&self, path: &str, body: &Value) -> Result<Answer, NoAnswer> {
        for vm in &self.vms {
            match self.send(vm, "POST", path, Some(body), WRITE_TIMEOUT) {
                Err(NoAnswer::NotSent) => {}
                other => return other,
            }
        }
        Err(NoAnswer::NotSent)
    }

    fn send(
        &self,
        vm: &str,
        method: &str,
        path: &str,
        body: Option<&Value>,
        timeout: Duration,
    ) -> Result<Answer, NoAnswer> {
        let builder = Request::builder()
            .method(method)
            .uri(format!("http://{vm}{path}"))
            .header("authorization", format!("Bearer {}", self.token));
        let agent = agent(timeout);
        let result = match body {
            Some(body) => builder.body(body.to_string()).map(|it| agent.run(it)),
            None => builder.body(()).map(|it| agent.run(it)),
        };
        let mut response = result.map_err(|_| NoAnswer::NotSent)?.map_err(|it| no_answer(&it))?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string().map_err(|_| NoAnswer::InDoubt)?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Ok(Answer { status, body })
    }
}

/// Takes the body of an answer that is no error.
pub(crate) fn accept(answer: Answer) -> Result<Value, Failure> {
    match answer.status {
        200 => Ok(answer.body),
        401 => Err(Failure::new(Exit::Usage, answer.error())),
        400 | 422 | 428 => Err(Failure::new(Exit::Refused, answer.error())),
        503 => Err(Failure::new(Exit::Unreachable, answer.error())),
        _ => Err(Failure::new(Exit::Failed, answer.error())),
    }
}

fn first(mut answers: impl Iterator<Item = Answer>) -> Result<Answer, Failure> {
    let unreachable = || Failure::new(Exit::Unreachable, "none of the VMs answers");
    answers.next().ok_or_else(unreachable)
}

fn agent(timeout: Duration) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_idle_connections(0)
        .proxy(None)
        .timeout_connect(Some(CONNECT_TIMEOUT))
        .timeout_global(Some(timeout))
        .build();
    config.into()
}

fn no_answer(error: &ureq::Error) -> NoAnswer {
    match error {
        ureq::Error::Timeout(ureq::Timeout::Connect)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound => NoAnswer::NotSent,
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            NoAnswer::NotSent
        }
        _ => NoAnswer::InDoubt,
    }
}
