//! Bodies come out the same however they are cut, and malformed ones are refused.

use quickcheck::quickcheck;

use super::BodyDecoder;
use super::MalformedBody;
use crate::answer::Framing;

/// Decodes `bytes`, fed in pieces of `piece` bytes; what is left of the input comes last.
fn decode(
    framing: Framing,
    bytes: &[u8],
    piece: usize,
) -> Result<(Vec<u8>, bool, Vec<u8>), MalformedBody> {
    let mut decoder = BodyDecoder::new(framing);
    let (mut input, mut output) = (Vec::new(), Vec::new());
    for part in bytes.chunks(piece.max(1)) {
        input.extend_from_slice(part);
        decoder.decode(&mut input, &mut output)?;
    }
    Ok((output, decoder.is_complete(), input))
}

fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in body.chunks(size.max(1)) {
        bytes.extend_from_slice(format!("{:X}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

#[test]
fn malformed_chunks_are_refused() {
    for bytes in
        ["x\r\n", "5\nhello", "-1\r\n", "5\r\nhelloX\r\n", "\r\n", "ffffffffffffffffff\r\n"]
    {
        assert_eq!(decode(Framing::Chunked, bytes.as_bytes(), 99), Err(MalformedBody), "{bytes:?}");
    }
}

#[test]
fn body_with_a_length_leaves_the_rest_alone() {
    let decoded = decode(Framing::Length(5), b"hello, world", 99);
    assert_eq!(decoded, Ok((b"hello".to_vec(), true, b", world".to_vec())));
}

quickcheck! {
    fn chunks_come_out_whole(body: Vec<u8>, size: u8, piece: u8) -> bool {
        let mut bytes = chunked(&body, usize::from(size));
        bytes.extend_from_slice(b"next");
        let decoded = decode(Framing::Chunked, &bytes, usize::from(piece));
        decoded == Ok((body, true, b"next".to_vec()))
    }

    fn cut_chunks_are_never_complete(body: Vec<u8>, size: u8, cut: usize) -> bool {
        let bytes = chunked(&body, usize::from(size));
        let cut = cut % bytes.len();
        decode(Framing::Chunked, &bytes[..cut], 7).is_ok_and(|it| !it.1)
    }

    fn any_bytes_are_decoded_or_refused(bytes: Vec<u8>, piece: u8) -> bool {
        decode(Framing::Chunked, &bytes, usize::from(piece)).is_err() || bytes.len() < 1 << 20
    }
}
