//! Tests that bodies decode the same however the input is split, and that invalid ones are
//! rejected.

use quickcheck::quickcheck;

use super::BodyDecoder;
use super::MalformedBody;
use crate::response::Framing;

/// Decodes `bytes` in pieces of `piece_len` bytes. Returns the body, whether it is complete, and
/// the remaining input.
fn decode(
    framing: Framing,
    bytes: &[u8],
    piece_len: usize,
) -> Result<(Vec<u8>, bool, Vec<u8>), MalformedBody> {
    let mut decoder = BodyDecoder::new(framing);
    let (mut input, mut output) = (Vec::new(), Vec::new());
    for piece in bytes.chunks(piece_len.max(1)) {
        input.extend_from_slice(piece);
        decoder.decode(&mut input, &mut output)?;
    }
    Ok((output, decoder.is_complete(), input))
}

fn chunked(body: &[u8], chunk_len: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in body.chunks(chunk_len.max(1)) {
        bytes.extend_from_slice(format!("{:X}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

#[test]
fn malformed_chunks_are_rejected() {
    for bytes in
        ["x\r\n", "5\nhello", "-1\r\n", "5\r\nhelloX\r\n", "\r\n", "ffffffffffffffffff\r\n"]
    {
        assert_eq!(decode(Framing::Chunked, bytes.as_bytes(), 99), Err(MalformedBody), "{bytes:?}");
    }
}

#[test]
fn bytes_after_a_length_delimited_body_stay_in_the_input() {
    let decoded = decode(Framing::Length(5), b"hello, world", 99);
    assert_eq!(decoded, Ok((b"hello".to_vec(), true, b", world".to_vec())));
}

quickcheck! {
    fn chunked_body_round_trips(body: Vec<u8>, chunk_len: u8, piece_len: u8) -> bool {
        let mut bytes = chunked(&body, usize::from(chunk_len));
        bytes.extend_from_slice(b"next");
        let decoded = decode(Framing::Chunked, &bytes, usize::from(piece_len));
        decoded == Ok((body, true, b"next".to_vec()))
    }

    fn truncated_body_is_never_complete(body: Vec<u8>, chunk_len: u8, prefix_len: usize) -> bool {
        let bytes = chunked(&body, usize::from(chunk_len));
        let prefix_len = prefix_len % bytes.len();
        decode(Framing::Chunked, &bytes[..prefix_len], 7).is_ok_and(|it| !it.1)
    }

    fn arbitrary_bytes_are_decoded_or_rejected(bytes: Vec<u8>, piece_len: u8) -> bool {
        decode(Framing::Chunked, &bytes, usize::from(piece_len)).is_err() || bytes.len() < 1 << 20
    }
}
