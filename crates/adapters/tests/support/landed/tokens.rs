//! Authenticated messages and resume tokens since 4be04b687788008f6b425cb4a2b5989f1cb51a68.

use cranberryvalve_adapters::links;
use cranberryvalve_adapters::resume::ResumeClaims;
use cranberryvalve_adapters::shared_key::SharedKey;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_core::Digest;

use super::landed_line::Line;

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

fn from_hex(hex: &str) -> Option<Vec<u8>> {
    let pairs = (0..hex.len()).step_by(2).map(|start| hex.get(start..start + 2));
    pairs.map(|it| u8::from_str_radix(it?, 16).ok()).collect()
}

/// Returns whether a message in hexadecimal digits is read to the same value.
fn is_message(hex: &str) -> bool {
    // What `decode` returns was an `Option` up to 97079c5, and is a `Result` since.
    let read = from_hex(hex).and_then(|it| links::decode(&it, &key()).into_iter().next());
    read == Some(message())
}

/// Returns an authenticated message and a resume token.
pub(crate) fn lines() -> Vec<Line> {
    let bytes = links::encode(&message(), &key()).expect("a message can be encoded");
    let is_token = |it: &str| ResumeClaims::verify(it, &key()) == Some(claims());
    vec![
        Line {
            name: "message",
            text: bytes.iter().map(|it| format!("{it:02x}")).collect(),
            is_read_from: Box::new(is_message),
        },
        Line {
            name: "resume-token",
            text: claims().sign(&key()),
            is_read_from: Box::new(is_token),
        },
    ]
}
