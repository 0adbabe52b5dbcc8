//! This build reads the messages and rows of each landing, and writes the same bytes.
//!
//! The files are written by the code of the landing that they are named after, and never edited.

#[path = "support/landed/all.rs"]
mod landed;

use std::collections::BTreeSet;
use std::fmt::Write;

use cranberryvalve_coordination::peer::PeerMessage;

use landed::Sample;
use landed::builds;
use landed::first;
use landed::origins;

/// Bytes written by 4be04b687788008f6b425cb4a2b5989f1cb51a68.
const FIRST: &str = include_str!("data/landed/4be04b687788008f6b425cb4a2b5989f1cb51a68.txt");

/// Bytes written by 97079c5a73887963ceaa95edad37f162e2c525de.
const ORIGINS: &str = include_str!("data/landed/97079c5a73887963ceaa95edad37f162e2c525de.txt");

/// Returns the content of a file with the bytes of samples.
fn to_file(samples: &[Sample]) -> String {
    let mut file = String::new();
    for sample in samples {
        let hex: String = sample.bytes.iter().map(|it| format!("{it:02x}")).collect();
        write!(file, "name: {}\nvalue: {}\nbytes: {hex}\n\n", sample.name, sample.text)
            .expect("writing to a string cannot fail");
    }
    file
}

/// Returns the names and bytes in a file.
///
/// # Panics
///
/// Panics if the file is not in the format that [`to_file`] writes.
fn from_file(file: &str) -> Vec<(String, Vec<u8>)> {
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

fn first_samples() -> Vec<Sample> {
    let all = [first::messages(), first::tables(), first::rows(), first::operator_messages()];
    all.into_iter().flatten().collect()
}

fn origins_samples() -> Vec<Sample> {
    first_samples().into_iter().chain(origins::messages()).chain(origins::rows()).collect()
}

/// Returns what this build writes. Its file is added by the landing after it.
fn samples() -> Vec<Sample> {
    origins_samples().into_iter().chain(builds::messages()).collect()
}

/// Checks that a file has the bytes of exactly these samples, and that this build reads them.
fn check(file: &str, samples: &[Sample]) {
    let landed = from_file(file);
    let names: Vec<&str> = landed.iter().map(|it| &*it.0).collect();
    assert_eq!(names, samples.iter().map(|it| it.name).collect::<Vec<_>>());
    for ((name, bytes), sample) in landed.iter().zip(samples) {
        assert!((sample.is_read_from)(bytes), "{name} is read differently");
        assert_eq!(*bytes, sample.bytes, "{name} is written differently");
    }
}

#[test]
fn reads_and_writes_bytes_of_4be04b6() {
    check(FIRST, &first_samples());
}

#[test]
fn reads_and_writes_bytes_of_97079c5() {
    check(ORIGINS, &origins_samples());
}

#[test]
fn each_message_has_a_sample() {
    let messages = first::messages().into_iter().chain(origins::messages());
    let messages = messages.chain(builds::messages());
    let covered: BTreeSet<u8> = messages.map(|it| it.bytes[0]).collect();
    // Zeros stand for empty texts and lists, absent values and the first variant of an enum.
    let exists = |it: &u8| {
        let mut bytes = [0; 64];
        bytes[0] = *it;
        postcard::from_bytes::<PeerMessage>(&bytes).is_ok()
    };
    let existing: BTreeSet<u8> = (0..=127).filter(exists).collect();
    assert_eq!(covered, existing);
}

/// Prints the file of this build, for the landing that it becomes: `cargo test --package
/// cranberryvalve-coordination --test landed_bytes -- --ignored --nocapture`.
#[test]
#[ignore = "prints a data file"]
#[expect(clippy::print_stdout, reason = "the output is the data file")]
fn print_landed_bytes() {
    print!("{}", to_file(&samples()));
}
