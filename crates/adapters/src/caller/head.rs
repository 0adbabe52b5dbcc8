//! Request heads: the request line and the headers.

use std::fmt;

/// Maximum number of headers in one head.
pub const MAX_HEADERS: usize = 64;

/// The request line and the headers of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// HTTP method, as sent.
    pub method: Box<str>,
    /// Request target: path and query.
    pub target: Box<str>,
    /// Header names in lower case, with their values.
    headers: OwnedHeaders,
    /// Whether the caller allows further requests on the connection.
    pub keep_alive: bool,
}

/// How the body of a request is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyKind {
    /// By its length in bytes; 0 if there is no body.
    Length(usize),
    /// By the chunked transfer coding.
    Chunked,
}

/// Why a head is rejected.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HeadError {
    /// It is not valid HTTP/1; contains the parser's message.
    Malformed(Box<str>),
    /// It has more than [`MAX_HEADERS`] headers.
    TooManyHeaders,
    /// The length of the body is ambiguous or not a number.
    BadLength,
}

impl fmt::Display for HeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed(message) => write!(f, "the request head is not HTTP/1.1: {message}"),
            Self::TooManyHeaders => write!(f, "more than {MAX_HEADERS} headers"),
            Self::BadLength => f.write_str(
                "the body's length is ambiguous; send one Content-Length or Transfer-Encoding: \
                 chunked",
            ),
        }
    }
}

impl std::error::Error for HeadError {}

impl RequestHead {
    /// Returns the value of the first header `name`, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(it, _)| &**it == name).map(|(_, value)| &**value)
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("/")
    }

    /// Iterates over all headers in order, with names in lower case.
    pub fn headers(&self) -> impl Iterator<Item = (&str, &str)> {
        self.headers.iter().map(|(name, value)| (&**name, &**value))
    }

    /// Returns how the body is delimited.
    ///
    /// # Errors
    ///
    /// Fails if the headers are ambiguous, or the length is not a number.
    pub fn body_kind(&self) -> Result<BodyKind, HeadError> {
        let lengths: Vec<&str> = self.values("content-length");
        let encodings: Vec<&str> = self.values("transfer-encoding");
        match (lengths.as_slice(), encodings.as_slice()) {
            ([], []) => Ok(BodyKind::Length(0)),
            ([length], []) if length.bytes().all(|it| it.is_ascii_digit()) => {
                length.parse().map(BodyKind::Length).map_err(|_| HeadError::BadLength)
            }
            ([], [encoding]) if encoding.eq_ignore_ascii_case("chunked") => Ok(BodyKind::Chunked),
            _ => Err(HeadError::BadLength),
        }
    }

    /// Returns the values of all headers `name`.
    fn values(&self, name: &str) -> Vec<&str> {
        self.headers.iter().filter(|(it, _)| &**it == name).map(|(_, value)| &**value).collect()
    }
}

/// Headers in order, as pairs of lower-case name and value.
pub type OwnedHeaders = Vec<(Box<str>, Box<str>)>;

/// Returns the length of a parsed head in bytes, or `None` if more bytes are needed.
///
/// # Errors
///
/// Fails if the head is malformed or has too many headers.
pub fn parsed_head_len(parsed: httparse::Result<usize>) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(len)) => Ok(Some(len)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooManyHeaders),
        Err(error) => Err(HeadError::Malformed(error.to_string().into())),
    }
}

/// Copies parsed headers, with names in lower case and surrounding space removed from values.
pub fn copy_headers(headers: &[httparse::Header<'_>]) -> OwnedHeaders {
    let owned = headers.iter().map(|header| {
        let value = String::from_utf8_lossy(header.value);
        (header.name.to_ascii_lowercase().into(), value.trim().into())
    });
    owned.collect()
}

/// Returns the method of the request that begins with `bytes`, of which only a part may have arrived;
/// empty if its end has not.
pub fn method_of(bytes: &[u8]) -> &str {
    let bytes = bytes.trim_ascii_start();
    let end = bytes.iter().position(|it| *it == b' ').unwrap_or(0);
    std::str::from_utf8(&bytes[..end]).unwrap_or_default()
}

/// Parses a head and returns it with its length in bytes, or `None` if more bytes are needed.
///
/// # Errors
///
/// Fails if the head is malformed or has too many headers.
pub fn parse_head(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, HeadError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let Some(len) = parsed_head_len(request.parse(bytes))? else { return Ok(None) };
    let mut head = RequestHead {
        method: request.method.unwrap_or_default().into(),
        target: request.path.unwrap_or_default().into(),
        headers: copy_headers(request.headers),
        keep_alive: request.version == Some(1),
    };
    if head.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close")) {
        head.keep_alive = false;
    }
    Ok(Some((head, len)))
}
