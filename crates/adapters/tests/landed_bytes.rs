//! This build writes and reads messages between VMs and resume tokens like each landing.
//!
//! The files are written by the code of the landing that they are named after, and never edited.

use cranberryvalve_adapters::links;
use cranberryvalve_adapters::resume::ResumeClaims;
use cranberryvalve_adapters::shared_key::SharedKey;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_core::Digest;

/// Bytes written by each landing.
const LANDED: [&str; 3] = [
    include_str!("data/landed/4be04b687788008f6b425cb4a2b5989f1cb51a68.txt"),
    include_str!("data/landed/97079c5a73887963ceaa95edad37f162e2c525de.txt"),
    include_str!("data/landed/e8a1500247f570c552469fe481de393159042019.txt"),
];

fn key() -> SharedKey {
    SharedKey::new(b"a secret that all VMs share")
}

fn message() -> PeerMessage {
    let from = PeerAddress {
        vm: "front-chc-a-1".into(),
        address: ([10, 1, 0, 40], 7_340).into(),
        failure_domain: "chc-a".into(),
    };
    PeerMessage::DocumentRequest { from, version: 77 }
}

fn claims() -> ResumeClaims {
    ResumeClaims { customer: "tasman".into(), request: Digest::of(b"berth 4"), stream: 1_007 }
}

/// Returns the lines of a file of landed bytes: an authenticated message and a resume token.
fn written() -> String {
    let message = links::encode(&message(), &key()).expect("a message can be encoded");
    let message: String = message.iter().map(|it| format!("{it:02x}")).collect();
    format!("message: {message}\nresume-token: {}\n", claims().sign(&key()))
}

fn landed<'a>(file: &'a str, name: &str) -> &'a str {
    let mut lines = file.lines().filter_map(|it| it.split_once(": "));
    lines.find(|it| it.0 == name).expect("a line of this name").1
}

#[test]
fn writes_the_same_bytes() {
    for file in LANDED {
        assert_eq!(written(), file);
    }
}

#[test]
fn reads_the_same_values() {
    for file in LANDED {
        let hex = landed(file, "message");
        let pairs = (0..hex.len()).step_by(2).map(|start| &hex[start..start + 2]);
        let bytes: Vec<u8> =
            pairs.map(|it| u8::from_str_radix(it, 16).expect("a hexadecimal number")).collect();
        assert_eq!(links::decode(&bytes, &key()), Ok(message()));
        assert_eq!(ResumeClaims::verify(landed(file, "resume-token"), &key()), Some(claims()));
    }
}
