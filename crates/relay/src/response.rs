//! Heads of upstream responses.

use std::ops::RangeInclusive;
use std::time::Duration;

use cranberryvalve_adapters::caller::HeadError;
use cranberryvalve_adapters::caller::MAX_HEADERS;
use cranberryvalve_adapters::caller::OwnedHeaders;
use cranberryvalve_adapters::caller::copy_headers;
use cranberryvalve_adapters::caller::parsed_head_len;

use crate::refusal::NOT_RUN_HEADER;

/// Status line and headers of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Reason phrase of the status line; may be empty.
    pub reason: Box<str>,
    /// Names in lower case, with their values.
    headers: OwnedHeaders,
    /// Whether the status line states HTTP/1.1.
    is_http_1_1: bool,
}

/// How the end of a response body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By the chunked transfer coding.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl ResponseHead {
    /// Returns the value of the first header called `name`, which must be in lower case, or `None`
    /// if there is none.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers().find(|(it, _)| *it == name).map(|(_, value)| value)
    }

    /// Iterates over the names (in lower case) and values of all headers, in order.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &str)> {
        self.headers.iter().map(|(name, value)| (&**name, &**value))
    }

    /// Returns `true` if the status is in the 2xx range.
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }

    /// Returns the time in the `Retry-After` header, in seconds that may have a fraction, or `None`
    /// if there is no valid one.
    pub(crate) fn retry_after(&self) -> Option<Duration> {
        let seconds: f64 = self.header("retry-after")?.trim().parse().ok()?;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Returns the number of attempts that upstreams refused, if another VM confirms with it that the
    /// call was not run.
    pub(crate) fn refused_attempts(&self) -> Option<u32> {
        self.header(NOT_RUN_HEADER)?.trim().parse().ok()
    }

    /// Returns `true` if the connection may be reused after this response.
    pub(crate) fn keeps_alive(&self) -> bool {
        let mut options = self
            .headers()
            .filter(|(name, _)| *name == "connection")
            .flat_map(|(_, value)| value.split(','));
        self.is_http_1_1 && !options.any(|it| it.trim().eq_ignore_ascii_case("close"))
    }

    /// Returns `true` if no body follows the head, whatever its headers state. `method` is the method
    /// of the request.
    pub(crate) fn lacks_body(&self, method: &str) -> bool {
        method == "HEAD" || self.status < 200 || self.status == 204 || self.status == 304
    }

    /// Returns the length that the head states for a body that does not follow it, or `None` if it
    /// states none. That is the length in a response to GET, which must be relayed as it is or left out
    /// (RFC 9110, section 8.6); 204 never has one.
    pub(crate) fn length_without_body(&self) -> Option<u64> {
        if self.status == 204 || self.header("transfer-encoding").is_some() {
            return None;
        }
        let mut lengths = self.headers().filter(|(name, _)| *name == "content-length");
        let (_, length) = lengths.next().filter(|_| lengths.next().is_none())?;
        length.bytes().all(|it| it.is_ascii_digit()).then(|| length.parse().ok()).flatten()
    }

    /// Returns how the body is delimited. `method` is the method of the request.
    pub(crate) fn framing(&self, method: &str) -> Result<Framing, HeadError> {
        if self.lacks_body(method) {
            return Ok(Framing::Length(0));
        }
        let values_of = |name: &'static str| {
            self.headers().filter(move |(it, _)| *it == name).map(|(_, value)| value)
        };
        let content_lengths: Vec<&str> = values_of("content-length").collect();
        let transfer_encodings: Vec<&str> = values_of("transfer-encoding").collect();
        match (content_lengths.as_slice(), transfer_encodings.as_slice()) {
            ([], []) => Ok(Framing::UntilClose),
            ([length], []) if length.bytes().all(|it| it.is_ascii_digit()) => {
                length.parse().map(Framing::Length).map_err(|_| HeadError::BadLength)
            }
            ([], [encoding]) if encoding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            _ => Err(HeadError::BadLength),
        }
    }
}

/// Maximum size of a response head, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Status codes that are valid (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Beginning of a status line, in which a 0 stands for any digit.
const STATUS_LINE_START: &[u8] = b"HTTP/1.0 000";

/// Parses a response head. Returns it with its length in bytes, or `None` if more input is needed.
///
/// # Errors
///
/// Returns an error if the input is not the beginning of an acceptable head.
pub(crate) fn parse_response_head(
    bytes: &[u8],
) -> Result<Option<(ResponseHead, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Some(len) = parsed_head_len(response.parse(bytes))? else {
        return if bytes.len() > MAX_HEAD_BYTES {
            Err(HeadError::Malformed("the head is too long".into()))
        } else {
            Ok(None)
        };
    };
    let windows = bytes[..len].windows(STATUS_LINE_START.len());
    // The head before a second status line was cut off.
    if windows.filter(|it| begins_status_line(it)).nth(1).is_some() {
        return Err(HeadError::Malformed("a head holds two status lines".into()));
    }
    let status = response.code.unwrap_or_default();
    if !STATUS_CODES.contains(&status) {
        return Err(HeadError::Malformed(format!("the status is {status:03}").into()));
    }
    let head = ResponseHead {
        status,
        reason: response.reason.unwrap_or_default().into(),
        headers: copy_headers(response.headers),
        is_http_1_1: response.version == Some(1),
    };
    Ok(Some((head, len)))
}

fn begins_status_line(bytes: &[u8]) -> bool {
    let is_match = |byte: u8, pattern: u8| match pattern {
        b'0' => byte.is_ascii_digit(),
        _ => byte == pattern,
    };
    bytes.iter().zip(STATUS_LINE_START).all(|(byte, pattern)| is_match(*byte, *pattern))
}

#[cfg(test)]
mod tests;
