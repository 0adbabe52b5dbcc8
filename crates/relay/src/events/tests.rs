//! Tests that events are output complete and once, however the input is split.

use quickcheck::quickcheck;

use super::EventReader;

fn stream(ids: std::ops::RangeInclusive<u64>) -> Vec<u8> {
    let events: Vec<String> = ids.map(|it| format!("id: {it}\ndata: token {it}\n\n")).collect();
    events.concat().into_bytes()
}

fn read(reader: &mut EventReader, bytes: &[u8], piece_len: usize) -> Vec<u8> {
    let mut output = Vec::new();
    for piece in bytes.chunks(piece_len.max(1)) {
        reader.buffer().extend_from_slice(piece);
        output.extend(reader.take_complete().expect("events are small").bytes);
    }
    output
}

#[test]
fn incomplete_event_stays_buffered() {
    let mut reader = EventReader::after(None);
    let events = read(&mut reader, b"id: 1\ndata: a\n\nid: 2\ndata:", 99);
    assert_eq!(events, b"id: 1\ndata: a\n\n");
    assert!(reader.has_incomplete_event());
    assert_eq!(reader.last_id(), Some(1));
}

#[test]
fn events_up_to_the_last_id_are_skipped() {
    let mut reader = EventReader::after(Some(3));
    assert_eq!(read(&mut reader, &stream(1..=5), 99), stream(4..=5));
}

#[test]
fn crlf_line_endings_and_events_without_id_pass() {
    let text = b"data: a\r\n\r\ndata: b\n\n";
    assert_eq!(read(&mut EventReader::after(Some(9)), text, 99), text);
}

quickcheck! {
    fn output_does_not_depend_on_how_the_input_is_split(count: u8, piece_len: u8) -> bool {
        let bytes = stream(1..=u64::from(count));
        read(&mut EventReader::after(None), &bytes, usize::from(piece_len)) == bytes
    }

    fn output_is_never_longer_than_the_input(bytes: Vec<u8>, piece_len: u8) -> bool {
        let mut reader = EventReader::after(None);
        let events = read(&mut reader, &bytes, usize::from(piece_len));
        events.len() <= bytes.len()
    }
}
