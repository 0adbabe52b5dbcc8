//! Events come out whole and once, however the body is cut.

use quickcheck::quickcheck;

use super::EventReader;

fn stream(ids: std::ops::RangeInclusive<u64>) -> Vec<u8> {
    let events: Vec<String> = ids.map(|it| format!("id: {it}\ndata: token {it}\n\n")).collect();
    events.concat().into_bytes()
}

fn read(reader: &mut EventReader, bytes: &[u8], piece: usize) -> Vec<u8> {
    let mut whole = Vec::new();
    for part in bytes.chunks(piece.max(1)) {
        reader.buffer().extend_from_slice(part);
        whole.extend(reader.take_whole().expect("events are small").bytes);
    }
    whole
}

#[test]
fn part_of_an_event_is_held_back() {
    let mut reader = EventReader::after(None);
    let events = read(&mut reader, b"id: 1\ndata: a\n\nid: 2\ndata:", 99);
    assert_eq!(events, b"id: 1\ndata: a\n\n");
    assert!(reader.has_partial());
    assert_eq!(reader.last_id(), Some(1));
}

#[test]
fn events_that_the_caller_has_are_left_out() {
    let mut reader = EventReader::after(Some(3));
    assert_eq!(read(&mut reader, &stream(1..=5), 99), stream(4..=5));
}

#[test]
fn carriage_returns_and_events_without_number_pass() {
    let text = b"data: a\r\n\r\ndata: b\n\n";
    assert_eq!(read(&mut EventReader::after(Some(9)), text, 99), text);
}

quickcheck! {
    fn events_come_out_the_same_however_cut(count: u8, piece: u8) -> bool {
        let bytes = stream(1..=u64::from(count));
        read(&mut EventReader::after(None), &bytes, usize::from(piece)) == bytes
    }

    fn any_bytes_pass_in_order(bytes: Vec<u8>, piece: u8) -> bool {
        let mut reader = EventReader::after(None);
        let events = read(&mut reader, &bytes, usize::from(piece));
        events.len() <= bytes.len()
    }
}
