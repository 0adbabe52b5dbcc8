//! Tests that events are output complete and once, however the input is split.

use quickcheck::quickcheck;

use super::EventReader;
use super::InvalidStream;
use super::StreamPosition;

fn stream(ids: std::ops::RangeInclusive<u64>) -> Vec<u8> {
    let events: Vec<String> = ids.map(|it| format!("id: {it}\ndata: token {it}\n\n")).collect();
    events.concat().into_bytes()
}

fn reader_after(last_id: Option<u64>) -> EventReader {
    EventReader::beginning(StreamPosition::after(last_id))
}

/// Returns what a caller gets of a body that follows on `first` in the same response, and whether the
/// body is the whole rest.
fn continue_with(first: &[u8], rest: &[u8]) -> (Vec<u8>, Result<(), InvalidStream>) {
    let mut reader = reader_after(None);
    read(&mut reader, first, 99);
    let mut reader = EventReader::continuing(reader.position());
    (read(&mut reader, rest, 7), reader.check_end())
}

fn read(reader: &mut EventReader, bytes: &[u8], piece_len: usize) -> Vec<u8> {
    let mut output = Vec::new();
    for piece in bytes.chunks(piece_len.max(1)) {
        reader.buffer().extend_from_slice(piece);
        output.extend(reader.take_complete().bytes);
    }
    output
}

#[test]
fn incomplete_event_stays_buffered() {
    let mut reader = reader_after(None);
    let events = read(&mut reader, b"id: 1\ndata: a\n\nid: 2\ndata:", 99);
    assert_eq!(events, b"id: 1\ndata: a\n\n");
    assert_eq!(reader.check(), Ok(()));
    assert_eq!(reader.check_end(), Err(InvalidStream::Truncated));
    assert_eq!(reader.position().last_id, Some(1));
}

#[test]
fn events_up_to_the_last_id_are_skipped() {
    let mut reader = reader_after(Some(3));
    assert_eq!(read(&mut reader, &stream(1..=5), 99), stream(4..=5));
}

#[test]
fn crlf_line_endings_and_events_without_id_pass() {
    let text = b"data: a\r\n\r\ndata: b\n\n";
    assert_eq!(read(&mut reader_after(Some(9)), text, 99), text);
}

#[test]
fn rest_must_follow_on_the_last_event() {
    let (first, rest) = (stream(1..=3), stream(4..=5));
    assert_eq!(continue_with(&first, &rest), (rest.clone(), Ok(())));
    assert_eq!(continue_with(&first, &stream(1..=5)), (rest, Ok(())));
    assert_eq!(continue_with(&first, &first), (vec![], Ok(())));
    let refused = (vec![], Err(InvalidStream::NotContinued));
    for rest in [vec![], stream(1..=2), stream(5..=6), b"data: a\n\n".to_vec()] {
        assert_eq!(continue_with(&first, &rest), refused);
    }
}

#[test]
fn nothing_follows_on_events_without_id() {
    let refused = (vec![], Err(InvalidStream::NotContinued));
    for first in [&b"data: a\n\n"[..], b"id: 1\ndata: a\n\ndata: b\n\n"] {
        assert_eq!(continue_with(first, &stream(2..=3)), refused);
    }
}

#[test]
fn comments_do_not_matter_to_the_rest() {
    let rest = stream(2..=2);
    let commented = [&b": still here\n\n"[..], &rest].concat();
    assert_eq!(continue_with(b"id: 1\ndata: a\n\n: soon\n\n", &commented), (rest, Ok(())));
    assert_eq!(continue_with(b": soon\n\n", &stream(1..=2)), (stream(1..=2), Ok(())));
}

#[test]
fn ids_may_leave_gaps_but_not_go_back() {
    let wide = b"id: 4\ndata: a\n\nid: 8\ndata: b\n\n";
    assert_eq!(read(&mut reader_after(None), wide, 99), wide);
    let rest = b"id: 12\ndata: c\n\n";
    assert_eq!(continue_with(wide, rest), (rest.to_vec(), Ok(())));
    for (ids, error) in [([1, 2, 2], "repeated"), ([1, 2, 1], "back")] {
        let mut reader = reader_after(None);
        let body = ids.map(|it| stream(it..=it)).concat();
        assert_eq!(read(&mut reader, &body, 99), stream(1..=2), "{error}");
        assert_eq!(reader.check(), Err(InvalidStream::OutOfOrder), "{error}");
    }
}

quickcheck! {
    fn output_does_not_depend_on_how_the_input_is_split(count: u8, piece_len: u8) -> bool {
        let bytes = stream(1..=u64::from(count));
        read(&mut reader_after(None), &bytes, usize::from(piece_len)) == bytes
    }

    fn output_is_never_longer_than_the_input(bytes: Vec<u8>, piece_len: u8) -> bool {
        let mut reader = reader_after(None);
        let events = read(&mut reader, &bytes, usize::from(piece_len));
        events.len() <= bytes.len()
    }
}
