//! Files with the bytes of messages and rows.

use std::fmt::Write;

use cranberryvalve_coordination::peer::PeerMessage;

use crate::landed::Sample;

/// Returns the content of a file with the bytes of samples.
pub(crate) fn to_file(samples: &[Sample]) -> String {
    let mut file = String::new();
    for sample in samples {
        let hex: String = sample.bytes.iter().map(|it| format!("{it:02x}")).collect();
        write!(file, "name: {}\nvalue: {}\nbytes: {hex}\n\n", sample.name, sample.text)
            .expect("writing to a string cannot fail");
    }
    file
}

/// Returns the names of values in the file of an earlier build that this build does not read to the
/// value of a sample.
pub(crate) fn unread(file: &str, samples: &[Sample]) -> Vec<String> {
    let mut rest: Vec<&Sample> = samples.iter().collect();
    let mut unread = Vec::new();
    for (name, bytes) in from_file(file) {
        let sample = rest.iter().position(|it| it.name == name).map(|it| rest.remove(it));
        if !sample.is_some_and(|it| (it.is_read_from)(&bytes)) {
            unread.push(name);
        }
    }
    unread
}

/// Returns the names of values in a file of another build that this build reads differently, of those
/// that it has no sample of but takes for a message, and of its own that the file lacks.
pub(crate) fn misread(file: &str, samples: &[Sample]) -> Vec<String> {
    let mut rest: Vec<&Sample> = samples.iter().collect();
    let mut misread = Vec::new();
    for (name, bytes) in from_file(file) {
        let sample = rest.iter().position(|it| it.name == name).map(|it| rest.remove(it));
        let is_read = sample.map_or_else(
            || postcard::from_bytes::<PeerMessage>(&bytes).is_err(),
            |it| (it.is_read_from)(&bytes),
        );
        if !is_read {
            misread.push(name);
        }
    }
    misread.extend(rest.iter().map(|it| it.name.to_owned()));
    misread
}

/// Returns the names and bytes in a file.
///
/// # Panics
///
/// Panics if the file is not one of landed bytes.
pub(crate) fn from_file(file: &str) -> Vec<(String, Vec<u8>)> {
    let entries = file.split("\n\n").filter(|it| !it.trim().is_empty());
    let field = |entry: &str, name: &str| {
        let line = entry.lines().find_map(|it| it.strip_prefix(name));
        line.unwrap_or_else(|| panic!("no `{name}` in {entry}")).trim().to_owned()
    };
    entries.map(|it| (field(it, "name:"), from_hex(&field(it, "bytes:")))).collect()
}

fn from_hex(hex: &str) -> Vec<u8> {
    let pairs = (0..hex.len()).step_by(2).map(|start| &hex[start..start + 2]);
    pairs.map(|it| u8::from_str_radix(it, 16).expect("a hexadecimal number")).collect()
}
