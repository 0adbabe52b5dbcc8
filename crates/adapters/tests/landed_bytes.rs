//! This build writes and reads messages between VMs and resume tokens like each landing.
//!
//! The files are written by the code of the landing that they are named after, and never edited.

#[path = "support/landed_line.rs"]
mod landed_line;

#[path = "support/landed/tokens.rs"]
mod tokens;

use std::env;
use std::fs;

use landed_line::misread;
use landed_line::text;
use landed_line::to_file;
use landed_line::unread;

/// Bytes written by each landing.
const LANDED: [&str; 6] = [
    include_str!("data/landed/4be04b687788008f6b425cb4a2b5989f1cb51a68.txt"),
    include_str!("data/landed/97079c5a73887963ceaa95edad37f162e2c525de.txt"),
    include_str!("data/landed/e8a1500247f570c552469fe481de393159042019.txt"),
    include_str!("data/landed/dc0c85727ecae1a6e94e3d4541a4258e8913f969.txt"),
    include_str!("data/landed/3428ec8c1c364e30e3e3d512abac72c3a8ad08cb.txt"),
    include_str!("data/landed/8efad390dd97bfd773aa9b5a81cb6a92d4bf507b.txt"),
];

#[test]
fn writes_the_same_bytes() {
    for file in LANDED {
        assert_eq!(to_file(&tokens::lines()), file);
    }
}

#[test]
fn reads_the_same_values() {
    for file in LANDED {
        assert_eq!(misread(file, &tokens::lines()), [""; 0]);
        assert_eq!(unread(file, &tokens::lines()), [""; 0]);
    }
}

#[test]
fn misread_lines_are_named() {
    let token = text(LANDED[0], "resume-token").expect("a token");
    let changed = format!("message: 00\nresume-token: {token}\nlater-token: {token}\n");
    assert_eq!(misread(&changed, &tokens::lines()), ["message"]);
    assert_eq!(misread("", &tokens::lines()), ["message", "resume-token"]);
    let later = format!("later-token: {token}");
    assert_eq!(unread(&changed, &tokens::lines()), ["message: 00", &*later]);
    assert_eq!(unread("no line", &tokens::lines()), ["no line"]);
}

/// Prints the file of this build, for the landing that it becomes: `cargo test --package
/// cranberryvalve-adapters --test landed_bytes -- --ignored --nocapture`. Writes it to the file that
/// `CRANBERRYVALVE_LANDED_FILE` names, if that is set.
#[test]
#[ignore = "prints a data file"]
#[expect(clippy::print_stdout, reason = "the output is the data file")]
fn print_landed_lines() {
    let text = to_file(&tokens::lines());
    match env::var("CRANBERRYVALVE_LANDED_FILE") {
        Ok(file) => fs::write(file, text).expect("a writable folder"),
        Err(_) => print!("{text}"),
    }
}

/// Reads the file that `CRANBERRYVALVE_LANDED_FILE` names, which an earlier build wrote.
#[test]
#[ignore = "run by `cargo xtask upgrade`, which has the earlier build write the file"]
fn reads_lines_of_an_earlier_build() {
    let file = env::var("CRANBERRYVALVE_LANDED_FILE").expect("the name of a file");
    let text = fs::read_to_string(file).expect("a readable file");
    assert!(!text.is_empty());
    assert_eq!(unread(&text, &tokens::lines()), [""; 0]);
}
