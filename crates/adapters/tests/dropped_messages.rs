//! Messages that this build cannot use are dropped, counted and logged at a bounded rate.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::links;
use cranberryvalve_adapters::links::DropLog;
use cranberryvalve_adapters::links::DropReason;
use cranberryvalve_adapters::links::DropReport;
use cranberryvalve_adapters::links::Links;
use cranberryvalve_adapters::links::Received;
use cranberryvalve_adapters::shared_key::MAC_BYTES;
use cranberryvalve_adapters::shared_key::SharedKey;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use nng::Protocol;
use nng::Socket;

/// Variant of a later build.
const LATER_VARIANT: u8 = 100;

fn key() -> SharedKey {
    SharedKey::new(b"a secret that all VMs share")
}

fn message() -> PeerMessage {
    let from = PeerAddress {
        vm: "vm-1".into(),
        address: ([127, 0, 0, 1], 7_001).into(),
        failure_domain: "lyttelton".into(),
    };
    PeerMessage::DocumentRequest { from, version: 7 }
}

/// Returns what a VM sends that encodes a message as `body`.
fn signed(body: &[u8]) -> Vec<u8> {
    [&key().mac(body)[..], body].concat()
}

fn encoded() -> Vec<u8> {
    links::encode(&message(), &key()).expect("a message can be encoded")
}

fn with_later_variant() -> Vec<u8> {
    let mut body = encoded()[MAC_BYTES..].to_vec();
    body[0] = LATER_VARIANT;
    signed(&body)
}

#[test]
fn messages_of_a_later_build_are_dropped_or_read() {
    let body = &encoded()[MAC_BYTES..];
    assert_eq!(links::decode(&signed(body), &key()), Ok(message()));
    assert_eq!(links::decode(&with_later_variant(), &key()), Err(DropReason::Unknown));
    let longer = signed(&[body, &[1, 2, 3]].concat());
    assert_eq!(links::decode(&longer, &key()), Ok(message()), "what follows is ignored");
    for end in 0..body.len() {
        assert_eq!(links::decode(&signed(&body[..end]), &key()), Err(DropReason::Unknown));
    }
    assert_eq!(links::decode(&encoded()[..MAC_BYTES - 1], &key()), Err(DropReason::Truncated));
}

#[test]
fn receiver_names_the_sender_and_goes_on() {
    let port = TcpListener::bind(("127.0.0.1", 0)).and_then(|it| it.local_addr());
    let address: SocketAddr = port.expect("a free port");
    let links = Links::listen(address, key()).expect("a free port");
    let sender = Socket::new(Protocol::Push0).expect("a socket");
    sender.dial(&format!("tcp://{address}")).expect("a listener");
    let local = Some(IpAddr::V4(Ipv4Addr::LOCALHOST));
    for (bytes, reason, unreported) in [
        (with_later_variant(), DropReason::Unknown, 0),
        (b"short".to_vec(), DropReason::Truncated, 1),
        (vec![0; 100], DropReason::Unauthenticated, 1),
    ] {
        sender.send(&bytes[..]).expect("an open connection");
        let report = DropReport { reason, from: local, unreported };
        assert_eq!(links.receive(), Ok(Received::Dropped(Some(report))));
        sender.send(&bytes[..]).expect("an open connection");
        assert_eq!(links.receive(), Ok(Received::Dropped(None)));
    }
    sender.send(&encoded()[..]).expect("an open connection");
    assert_eq!(links.receive(), Ok(Received::Message(message())));
}

#[test]
fn lines_are_bounded_whatever_the_number_of_senders() {
    let start = Instant::now();
    let mut log = DropLog::default();
    let mut lines = 0;
    let mut unreported = 0;
    for ms in 0..60_000u32 {
        let from = IpAddr::from([10, 1, (ms % 7) as u8, (ms % 251) as u8]);
        let now = start + Duration::from_millis(ms.into());
        if let Some(report) = log.record(now, DropReason::Unauthenticated, Some(from)) {
            lines += 1;
            unreported += report.unreported;
        }
    }
    // 8 lines in 10 s.
    assert!((8..=56).contains(&lines), "{lines} lines in a minute");
    let from = Some(IpAddr::from([10, 9, 9, 9]));
    let last = log.record(start + Duration::from_secs(100), DropReason::Unknown, from);
    let last = last.expect("nothing was logged lately");
    assert_eq!(lines + 1 + unreported + last.unreported, 60_001, "all are accounted for");
}
