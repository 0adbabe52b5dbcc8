//! Incremental decoding of HTTP message bodies.

use std::fmt;

use crate::response::Framing;

/// Maximum length of a chunk-size line, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 256;

/// Maximum size of the trailer section, in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// Error for a body with invalid chunked coding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MalformedBody;

impl fmt::Display for MalformedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the chunked body is malformed")
    }
}

/// Decodes a body from a connection's input as it arrives.
#[derive(Debug)]
pub(crate) struct BodyDecoder(State);

#[derive(Debug)]
enum State {
    Length { remaining: u64 },
    ChunkSize,
    ChunkData { remaining: u64 },
    ChunkDataEnd,
    Trailer { bytes: usize },
    UntilClose,
    Complete,
}

impl BodyDecoder {
    pub(crate) const fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Length(0) => State::Complete,
            Framing::Length(remaining) => State::Length { remaining },
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// Returns `true` if the whole body has been decoded.
    pub(crate) const fn is_complete(&self) -> bool {
        matches!(self.0, State::Complete)
    }

    /// Returns `true` if the body ends when the connection is closed.
    pub(crate) const fn is_delimited_by_close(&self) -> bool {
        matches!(self.0, State::UntilClose)
    }

    /// Returns the number of bytes that are still to come, if that is known.
    pub(crate) fn announced_bytes(&self) -> Option<usize> {
        match self.0 {
            State::Length { remaining } => usize::try_from(remaining).ok(),
            _ => None,
        }
    }

    /// Moves the available part of the body from `input` to `output`, removing the chunked coding.
    ///
    /// # Errors
    ///
    /// Returns an error if the chunked coding is invalid.
    pub(crate) fn decode(
        &mut self,
        input: &mut Vec<u8>,
        output: &mut Vec<u8>,
    ) -> Result<(), MalformedBody> {
        let mut consumed = 0;
        while let Some(len) = self.step(&input[consumed..], output)? {
            consumed += len;
        }
        input.drain(..consumed);
        Ok(())
    }

    /// Consumes one element and returns its length in bytes, or `None` if more input is needed.
    fn step(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<Option<usize>, MalformedBody> {
        match &mut self.0 {
            State::Complete => Ok(None),
            _ if input.is_empty() => Ok(None),
            State::UntilClose => {
                output.extend_from_slice(input);
                Ok(Some(input.len()))
            }
            State::Length { remaining } => {
                let len = copy_body_bytes(input, remaining, output);
                if *remaining == 0 {
                    self.0 = State::Complete;
                }
                Ok(Some(len))
            }
            State::ChunkData { remaining } => {
                let len = copy_body_bytes(input, remaining, output);
                if *remaining == 0 {
                    self.0 = State::ChunkDataEnd;
                }
                Ok(Some(len))
            }
            State::ChunkSize => {
                let Some(line) = line(input, MAX_SIZE_LINE_BYTES)? else { return Ok(None) };
                let size = parse_size(line)?;
                self.0 = match size {
                    0 => State::Trailer { bytes: 0 },
                    remaining => State::ChunkData { remaining },
                };
                Ok(Some(line.len() + 2))
            }
            State::ChunkDataEnd => {
                let Some(line) = line(input, 0)? else { return Ok(None) };
                self.0 = State::ChunkSize;
                Ok(Some(line.len() + 2))
            }
            State::Trailer { bytes } => {
                let Some(line) = line(input, MAX_TRAILER_BYTES - *bytes)? else { return Ok(None) };
                let len = line.len() + 2;
                *bytes = (*bytes + len).min(MAX_TRAILER_BYTES);
                if line.is_empty() {
                    self.0 = State::Complete;
                }
                Ok(Some(len))
            }
        }
    }
}

fn copy_body_bytes(input: &[u8], remaining: &mut u64, output: &mut Vec<u8>) -> usize {
    let len = input.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
    output.extend_from_slice(&input[..len]);
    *remaining -= len as u64;
    len
}

/// Returns the line at the start of `input` without CR LF, or `None` if it is not complete yet.
fn line(input: &[u8], max_bytes: usize) -> Result<Option<&[u8]>, MalformedBody> {
    match input.iter().position(|it| *it == b'\n') {
        Some(0) => Err(MalformedBody),
        Some(end) if end - 1 > max_bytes || input[end - 1] != b'\r' => Err(MalformedBody),
        Some(end) => Ok(Some(&input[..end - 1])),
        None if input.len() > max_bytes + 1 => Err(MalformedBody),
        None => Ok(None),
    }
}

fn parse_size(line: &[u8]) -> Result<u64, MalformedBody> {
    let digits = line.split(|it| *it == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).map_err(|_| MalformedBody)?.trim_end();
    if digits.is_empty() || !digits.bytes().all(|it| it.is_ascii_hexdigit()) {
        return Err(MalformedBody);
    }
    u64::from_str_radix(digits, 16).map_err(|_| MalformedBody)
}

#[cfg(test)]
mod tests;
