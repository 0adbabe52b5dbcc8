//! Decoding of bodies as they arrive.

use std::fmt;

use crate::answer::Framing;

/// Longest line that gives a chunk's size, in bytes.
const MAX_SIZE_LINE_BYTES: usize = 256;

/// Longest trailer after the last chunk, in bytes.
const MAX_TRAILER_BYTES: usize = 8 * 1024;

/// A body whose chunks or length cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct MalformedBody;

impl fmt::Display for MalformedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the chunked body is malformed")
    }
}

/// Takes a body out of the input of a connection, piece by piece.
#[derive(Debug)]
pub(crate) struct BodyDecoder(State);

#[derive(Debug)]
enum State {
    Length { left: u64 },
    ChunkSize,
    ChunkData { left: u64 },
    ChunkEnd,
    Trailer { taken: usize },
    UntilClose,
    Complete,
}

impl BodyDecoder {
    pub(crate) const fn new(framing: Framing) -> Self {
        Self(match framing {
            Framing::Length(0) => State::Complete,
            Framing::Length(left) => State::Length { left },
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        })
    }

    /// Whether the whole body has been taken.
    pub(crate) const fn is_complete(&self) -> bool {
        matches!(self.0, State::Complete)
    }

    /// Whether the end of the connection is the end of the body.
    pub(crate) const fn ends_with_connection(&self) -> bool {
        matches!(self.0, State::UntilClose)
    }

    /// Moves what belongs to the body from `input` to `output`.
    ///
    /// # Errors
    ///
    /// Fails when the chunks are malformed.
    pub(crate) fn decode(
        &mut self,
        input: &mut Vec<u8>,
        output: &mut Vec<u8>,
    ) -> Result<(), MalformedBody> {
        let mut taken = 0;
        while let Some(amount) = self.step(&input[taken..], output)? {
            taken += amount;
        }
        input.drain(..taken);
        Ok(())
    }

    /// Takes one piece and returns its size; none when more input is needed.
    fn step(&mut self, input: &[u8], output: &mut Vec<u8>) -> Result<Option<usize>, MalformedBody> {
        match &mut self.0 {
            State::Complete => Ok(None),
            _ if input.is_empty() => Ok(None),
            State::UntilClose => {
                output.extend_from_slice(input);
                Ok(Some(input.len()))
            }
            State::Length { left } => {
                let amount = take(input, left, output);
                if *left == 0 {
                    self.0 = State::Complete;
                }
                Ok(Some(amount))
            }
            State::ChunkData { left } => {
                let amount = take(input, left, output);
                if *left == 0 {
                    self.0 = State::ChunkEnd;
                }
                Ok(Some(amount))
            }
            State::ChunkSize => {
                let Some(line) = line(input, MAX_SIZE_LINE_BYTES)? else { return Ok(None) };
                let size = chunk_size(line)?;
                self.0 = match size {
                    0 => State::Trailer { taken: 0 },
                    left => State::ChunkData { left },
                };
                Ok(Some(line.len() + 2))
            }
            State::ChunkEnd => {
                let Some(line) = line(input, 0)? else { return Ok(None) };
                self.0 = State::ChunkSize;
                Ok(Some(line.len() + 2))
            }
            State::Trailer { taken } => {
                let Some(line) = line(input, MAX_TRAILER_BYTES - *taken)? else { return Ok(None) };
                let amount = line.len() + 2;
                *taken = (*taken + amount).min(MAX_TRAILER_BYTES);
                if line.is_empty() {
                    self.0 = State::Complete;
                }
                Ok(Some(amount))
            }
        }
    }
}

fn take(input: &[u8], left: &mut u64, output: &mut Vec<u8>) -> usize {
    let amount = input.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
    output.extend_from_slice(&input[..amount]);
    *left -= amount as u64;
    amount
}

/// The line at the beginning of `input` without its end; none when it is not complete yet.
fn line(input: &[u8], max_bytes: usize) -> Result<Option<&[u8]>, MalformedBody> {
    match input.iter().position(|it| *it == b'\n') {
        Some(0) => Err(MalformedBody),
        Some(end) if end - 1 > max_bytes || input[end - 1] != b'\r' => Err(MalformedBody),
        Some(end) => Ok(Some(&input[..end - 1])),
        None if input.len() > max_bytes + 1 => Err(MalformedBody),
        None => Ok(None),
    }
}

fn chunk_size(line: &[u8]) -> Result<u64, MalformedBody> {
    let digits = line.split(|it| *it == b';').next().unwrap_or_default();
    let digits = std::str::from_utf8(digits).map_err(|_| MalformedBody)?.trim_end();
    if digits.is_empty() || !digits.bytes().all(|it| it.is_ascii_hexdigit()) {
        return Err(MalformedBody);
    }
    u64::from_str_radix(digits, 16).map_err(|_| MalformedBody)
}

#[cfg(test)]
mod tests;
