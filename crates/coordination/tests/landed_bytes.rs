//! This build reads the messages and rows of each landing, and writes the same bytes.
//!
//! The files are written by the code of the landing that they are named after, and never edited.

#[path = "support/landed/all.rs"]
mod landed;

#[path = "support/landed_file.rs"]
mod landed_file;

use std::collections::BTreeSet;
use std::env;
use std::fs;

use cranberryvalve_coordination::peer::PeerMessage;

use landed::Sample;
use landed::builds;
use landed::copies;
use landed::first;
use landed::origins;
use landed::text;
use landed::usage;
use landed_file::from_file;
use landed_file::misread;
use landed_file::to_file;
use landed_file::unread;

/// Bytes written by 4be04b687788008f6b425cb4a2b5989f1cb51a68.
const FIRST: &str = include_str!("data/landed/4be04b687788008f6b425cb4a2b5989f1cb51a68.txt");

/// Bytes written by 97079c5a73887963ceaa95edad37f162e2c525de.
const ORIGINS: &str = include_str!("data/landed/97079c5a73887963ceaa95edad37f162e2c525de.txt");

/// Bytes written by e8a1500247f570c552469fe481de393159042019.
const BUILDS: &str = include_str!("data/landed/e8a1500247f570c552469fe481de393159042019.txt");

/// Bytes written by dc0c85727ecae1a6e94e3d4541a4258e8913f969.
const STOPS: &str = include_str!("data/landed/dc0c85727ecae1a6e94e3d4541a4258e8913f969.txt");

/// Bytes written by 3428ec8c1c364e30e3e3d512abac72c3a8ad08cb.
const USAGE: &str = include_str!("data/landed/3428ec8c1c364e30e3e3d512abac72c3a8ad08cb.txt");

/// Bytes written by 8efad390dd97bfd773aa9b5a81cb6a92d4bf507b.
const COPIES: &str = include_str!("data/landed/8efad390dd97bfd773aa9b5a81cb6a92d4bf507b.txt");

fn first_samples() -> Vec<Sample> {
    let all = [first::messages(), first::tables(), first::rows(), first::operator_messages()];
    all.into_iter().flatten().collect()
}

fn origins_samples() -> Vec<Sample> {
    first_samples().into_iter().chain(origins::messages()).chain(origins::rows()).collect()
}

fn builds_samples() -> Vec<Sample> {
    origins_samples().into_iter().chain(builds::messages()).collect()
}

fn usage_samples() -> Vec<Sample> {
    builds_samples().into_iter().chain(usage::messages()).chain(usage::rows()).collect()
}

fn copies_samples() -> Vec<Sample> {
    usage_samples().into_iter().chain(copies::messages()).chain(copies::rows()).collect()
}

/// Returns what this build writes. Its file is added by the landing after it.
fn samples() -> Vec<Sample> {
    copies_samples()
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
fn reads_and_writes_bytes_of_e8a1500() {
    check(BUILDS, &builds_samples());
}

#[test]
fn reads_and_writes_bytes_of_dc0c857() {
    check(STOPS, &builds_samples());
}

#[test]
fn reads_and_writes_bytes_of_3428ec8() {
    check(USAGE, &usage_samples());
}

#[test]
fn reads_and_writes_bytes_of_8efad39() {
    check(COPIES, &copies_samples());
}

#[test]
fn each_message_has_a_sample() {
    let messages = first::messages().into_iter().chain(origins::messages());
    let messages = messages.chain(builds::messages()).chain(usage::messages());
    let messages = messages.chain(copies::messages());
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

#[test]
fn misread_bytes_are_named() {
    let known = samples();
    assert_eq!(misread(&to_file(&samples()), &known), [""; 0]);
    assert_eq!(unread(&to_file(&first_samples()), &known), [""; 0]);
    // Two messages are changed, and the last one is missing. Of two unknown values, one is taken for a
    // message.
    let mut changed = samples();
    changed.pop();
    changed[0].bytes.pop();
    changed[1].bytes[0] = changed[0].bytes[0];
    let later = |name, bytes| Sample { name, bytes, ..text("", "") };
    changed.push(later("later-row", b"{}".to_vec()));
    changed.push(later("later-message", known[1].bytes.clone()));
    let names = [known[0].name, known[1].name, "later-message", "origins"];
    assert_eq!(misread(&to_file(&changed), &known), names);
    let unread_names = [known[0].name, known[1].name, "later-row", "later-message"];
    assert_eq!(unread(&to_file(&changed), &known), unread_names);
}

/// Prints the file of this build, for the landing that it becomes: `cargo test --package
/// cranberryvalve-coordination --test landed_bytes -- --ignored --nocapture`. Writes it to the file
/// that `CRANBERRYVALVE_LANDED_FILE` names, if that is set.
#[test]
#[ignore = "prints a data file"]
#[expect(clippy::print_stdout, reason = "the output is the data file")]
fn print_landed_bytes() {
    let text = to_file(&samples());
    match env::var("CRANBERRYVALVE_LANDED_FILE") {
        Ok(file) => fs::write(file, text).expect("a writable folder"),
        Err(_) => print!("{text}"),
    }
}

/// Reads the file that `CRANBERRYVALVE_LANDED_FILE` names, which an earlier build wrote.
#[test]
#[ignore = "run by `cargo xtask upgrade`, which has the earlier build write the file"]
fn reads_bytes_of_an_earlier_build() {
    let file = env::var("CRANBERRYVALVE_LANDED_FILE").expect("the name of a file");
    let text = fs::read_to_string(file).expect("a readable file");
    assert!(!from_file(&text).is_empty());
    assert_eq!(unread(&text, &samples()), [""; 0]);
}
