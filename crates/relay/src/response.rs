//! Heads of upstreams' answers.

use cranberryvalve_adapters::caller::HeadError;
use cranberryvalve_adapters::caller::MAX_HEADERS;
use cranberryvalve_adapters::caller::OwnedHeaders;
use cranberryvalve_adapters::caller::head_len;
use cranberryvalve_adapters::caller::owned_headers;

/// The first line and the headers of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: Box<str>,
    /// Names in lower case, with their values.
    headers: OwnedHeaders,
    /// Whether the upstream speaks HTTP/1.1.
    is_http_1_1: bool,
}

/// How the body of an answer is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By chunks.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

impl AnswerHead {
    /// The first header called `name`, which is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers().find(|(it, _)| *it == name).map(|(_, value)| value)
    }

    /// All headers in order, names in lower case.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &str)> {
        self.headers.iter().map(|(name, value)| (&**name, &**value))
    }

    /// Whether the status says that the request succeeded.
    pub const fn is_success(&self) -> bool {
        self.status >= 200 && self.status < 300
    }

    /// Whether another answer may follow on the connection.
    pub(crate) fn keeps_alive(&self) -> bool {
        let is_close_requested =
            self.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"));
        self.is_http_1_1 && !is_close_requested
    }

    /// How the body is delimited; `method` is that of the request.
    pub(crate) fn framing(&self, method: &str) -> Result<Framing, HeadError> {
        if method == "HEAD" || self.status == 204 || self.status == 304 {
            return Ok(Framing::Length(0));
        }
        let values_of = |name: &'static str| {
            self.headers().filter(move |(it, _)| *it == name).map(|(_, value)| value)
        };
        let content_lengths: Vec<&str> = values_of("content-length").collect();
        let transfer_encodings: Vec<&str> = values_of("transfer-encoding").collect();
        match (content_lengths.as_slice(), transfer_encodings.as_slice()) {
            ([], []) => Ok(Framing::UntilClose),
            ([length], []) => length.parse().map(Framing::Length).map_err(|_| HeadError::BadLength),
            ([], [encoding]) if encoding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
            _ => Err(HeadError::BadLength),
        }
    }
}

/// Parses the head of an answer; none when it is not complete yet.
///
/// # Errors
///
/// Fails when the bytes cannot become a head that is accepted.
pub(crate) fn parse_response_head(bytes: &[u8]) -> Result<Option<(AnswerHead, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let Some(len) = head_len(response.parse(bytes))? else { return Ok(None) };
    let head = AnswerHead {
        status: response.code.unwrap_or_default(),
        reason: response.reason.unwrap_or_default().into(),
        headers: owned_headers(response.headers),
        is_http_1_1: response.version == Some(1),
    };
    Ok(Some((head, len)))
}
