//! HTTP client of the VMs' operator addresses.

use std::time::Duration;

use serde_json::Value;
use ureq::Agent;
use ureq::http::Request;

use crate::exit::Exit;
use crate::exit::Failure;
use crate::options::Cli;

/// Timeout of a request that only reads.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of a request that may wait for the store.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for connecting to a VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// A response of a VM.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: u16,
    pub(crate) body: Value,
}

impl Response {
    /// Returns the message of an error response, or its whole body if there is none.
    pub(crate) fn error(&self) -> String {
        self.body["error"].as_str().map_or_else(|| self.body.to_string(), str::to_owned)
    }
}

/// Why there is no response from a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestError {
    /// The request was not sent.
    NotSent,
    /// The request may have been sent and carried out.
    InDoubt,
}

/// Client of the VMs that the operator specified.
pub(crate) struct Client {
    vms: Vec<String>,
    token: String,
}

impl Client {
    pub(crate) fn new(cli: &Cli) -> Result<Self, Failure> {
        Ok(Self { vms: cli.vms()?, token: cli.token()? })
    }

    /// Returns the addresses of the VMs.
    pub(crate) fn vms(&self) -> &[String] {
        &self.vms
    }

    /// Sends a GET request to one VM.
    pub(crate) fn get_from(&self, vm: &str, path: &str) -> Result<Response, RequestError> {
        self.send(vm, "GET", path, None, READ_TIMEOUT)
    }

    /// Sends a GET request to the VMs in turn and returns the body of the first response.
    pub(crate) fn get(&self, path: &str) -> Result<Value, Failure> {
        let responses = self.vms.iter().filter_map(|vm| self.get_from(vm, path).ok());
        success_body(first_response(responses)?)
    }

    /// Posts `body` to the VMs in turn until one responds.
    ///
    /// Only for idempotent requests, since several VMs may carry it out.
    pub(crate) fn post(&self, path: &str, body: &Value) -> Result<Response, Failure> {
        let responses = self
            .vms
            .iter()
            .filter_map(|vm| self.send(vm, "POST", path, Some(body), WRITE_TIMEOUT).ok());
        first_response(responses)
    }

    /// Posts `body` to the first VM that can be reached.
    ///
    /// Fails with [`RequestError::InDoubt`] if its response is lost, without trying another VM.
    pub(crate) fn post_in_doubt(&self, path: &str, body: &Value) -> Result<Response, RequestError> {
        for vm in &self.vms {
            match self.send(vm, "POST", path, Some(body), WRITE_TIMEOUT) {
                Err(RequestError::NotSent) => {}
                other => return other,
            }
        }
        Err(RequestError::NotSent)
    }

    fn send(
        &self,
        vm: &str,
        method: &str,
        path: &str,
        body: Option<&Value>,
        timeout: Duration,
    ) -> Result<Response, RequestError> {
        let builder = Request::builder()
            .method(method)
            .uri(format!("http://{vm}{path}"))
            .header("authorization", format!("Bearer {}", self.token));
        let agent = agent(timeout);
        let result = match body {
            Some(body) => builder.body(body.to_string()).map(|it| agent.run(it)),
            None => builder.body(()).map(|it| agent.run(it)),
        };
        let mut response =
            result.map_err(|_| RequestError::NotSent)?.map_err(|it| request_error(&it))?;
        let status = response.status().as_u16();
        let text = response.body_mut().read_to_string().map_err(|_| RequestError::InDoubt)?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Ok(Response { status, body })
    }
}

/// Returns the body of a successful response, or its error as a [`Failure`].
pub(crate) fn success_body(response: Response) -> Result<Value, Failure> {
    match response.status {
        200 => Ok(response.body),
        401 => Err(Failure::new(Exit::Usage, response.error())),
        400 | 422 | 428 => Err(Failure::new(Exit::Refused, response.error())),
        503 => Err(Failure::new(Exit::Unreachable, response.error())),
        _ => Err(Failure::new(Exit::Failed, response.error())),
    }
}

fn first_response(mut responses: impl Iterator<Item = Response>) -> Result<Response, Failure> {
    let unreachable = || Failure::new(Exit::Unreachable, "no VM responded");
    responses.next().ok_or_else(unreachable)
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

fn request_error(error: &ureq::Error) -> RequestError {
    match error {
        ureq::Error::Timeout(ureq::Timeout::Connect)
        | ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound => RequestError::NotSent,
        ureq::Error::Io(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            RequestError::NotSent
        }
        _ => RequestError::InDoubt,
    }
}
