//! Requests to plain services.

use std::io::ErrorKind;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;

use ureq::Body;
use ureq::http::HeaderMap;
use ureq::http::Method;
use ureq::http::Request;
use ureq::http::Response;
use ureq::http::StatusCode;
use ureq::http::header::CONTENT_LENGTH;
use ureq::http::header::TRANSFER_ENCODING;

use super::ATTEMPT_HEADER;
use super::LEAVING_HEADER;
use super::NOT_RUN_HEADER;
use super::connection;
use super::connection::CancelHandle;
use super::connection::Timeouts;

/// Maximum size of a plain service's response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 4 * 1024 * 1024;

/// Highest status code that is valid (RFC 9110, section 15).
const MAX_STATUS: u16 = 599;

/// Why an attempt got no complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// No byte was sent, so the request was certainly not run.
    NotSent,
    /// The upstream refused the request and attested that it did not run it.
    Refused {
        /// Whether the upstream announced that it is about to leave.
        leaving: bool,
    },
    /// The engine rejected the request as invalid, as any other engine would.
    Declined(UpstreamResponse),
    /// A byte was sent, and a timeout expired before the response began.
    TimedOut,
    /// A byte was sent, and the outcome of the request is unknown.
    Broken,
}

/// The complete response of a plain service, or an engine's error response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamResponse {
    /// HTTP status code.
    pub status: u16,
    /// Media type; `application/octet-stream` if the response names none.
    pub content_type: Arc<str>,
    /// The whole body.
    pub body: Vec<u8>,
}

/// Sends `request` to `address` and reads the complete response.
///
/// Only the path and query of the request's URI are used.
///
/// # Errors
///
/// Fails if there is no complete response; see [`CallError`].
pub fn call(
    address: SocketAddr,
    request: Request<Vec<u8>>,
    timeouts: Timeouts,
    cancel: &CancelHandle,
) -> Result<UpstreamResponse, CallError> {
    let method = request.method().clone();
    let response = send(address, request, timeouts, cancel)?;
    let is_delimited_by_close = is_delimited_by_close(&response, &method);
    let response = read_response(response)?;
    // The head may have been cut off before the headers that frame the body.
    let is_cut_head = is_delimited_by_close && response.body.is_empty();
    if is_cut_head && (200..300).contains(&response.status) {
        return Err(CallError::Broken);
    }
    Ok(response)
}

/// Returns whether only the end of the connection marks that of the body.
fn is_delimited_by_close(response: &Response<Body>, method: &Method) -> bool {
    let has_body = *method != Method::HEAD && response.status() != StatusCode::NO_CONTENT;
    has_body && !is_framed(response.headers())
}

/// Returns whether headers delimit the body.
pub(crate) fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

/// Reads the rest of a response.
pub(super) fn read_response(response: Response<Body>) -> Result<UpstreamResponse, CallError> {
    let status = response.status().as_u16();
    let content_type = header(&response, "content-type").unwrap_or("application/octet-stream");
    let content_type = content_type.into();
    let mut body = Vec::new();
    let mut reader = response.into_body().into_reader().take(MAX_RESPONSE_BYTES + 1);
    reader.read_to_end(&mut body).map_err(|_| CallError::Broken)?;
    if body.len() as u64 > MAX_RESPONSE_BYTES {
        return Err(CallError::Broken);
    }
    Ok(UpstreamResponse { status, content_type, body })
}

/// Sends `request` to `address` and reads the head of the response.
pub(super) fn send(
    address: SocketAddr,
    request: Request<Vec<u8>>,
    timeouts: Timeouts,
    cancel: &CancelHandle,
) -> Result<Response<Body>, CallError> {
    let agent = connection::agent(timeouts, cancel);
    let (mut parts, body) = request.into_parts();
    let path = parts.uri.path_and_query().map_or("/", |it| it.as_str());
    let uri = format!("http://{address}{path}");
    parts.uri = uri.parse().map_err(|_| CallError::NotSent)?;
    let result = if body.is_empty() && !expects_body(&parts.method) {
        agent.run(Request::from_parts(parts, ()))
    } else {
        agent.run(Request::from_parts(parts, body))
    };
    let response = result.map_err(|error| call_error(&error, cancel))?;
    // The client library has refused those below 100.
    if response.status().as_u16() > MAX_STATUS {
        return Err(CallError::Broken);
    }
    if header(&response, NOT_RUN_HEADER) == Some("true") {
        let leaving = header(&response, LEAVING_HEADER) == Some("true");
        return Err(CallError::Refused { leaving });
    }
    Ok(response)
}

/// Creates a request that carries the identifier of the attempt.
pub(super) fn request(method: &str, path: &str, attempt_id: &str) -> ureq::http::request::Builder {
    Request::builder().method(method).uri(path).header(ATTEMPT_HEADER, attempt_id)
}

/// Returns the header `name`; `None` if it is missing or not printable ASCII.
pub(super) fn header<'a>(response: &'a Response<Body>, name: &str) -> Option<&'a str> {
    response.headers().get(name).and_then(|it| it.to_str().ok())
}

fn call_error(error: &ureq::Error, cancel: &CancelHandle) -> CallError {
    let is_timeout = matches!(
        error,
        ureq::Error::Io(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
    );
    match cancel.is_byte_sent() {
        false => CallError::NotSent,
        true if is_timeout => CallError::TimedOut,
        true => CallError::Broken,
    }
}

fn expects_body(method: &Method) -> bool {
    matches!(method.as_str(), "POST" | "PUT" | "PATCH")
}
