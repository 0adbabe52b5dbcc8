//! Decoders of input from callers, upstreams, peers and the platform must not panic on any input.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use cranberryvalve_adapters::caller::CallerHandler;
use cranberryvalve_adapters::caller::CallerRequest;
use cranberryvalve_adapters::caller::CallerServer;
use cranberryvalve_adapters::caller::Responder;
use cranberryvalve_adapters::caller::ServerLimits;
use cranberryvalve_adapters::caller::parse_head;
use cranberryvalve_adapters::links;
use cranberryvalve_adapters::links::DropReason;
use cranberryvalve_adapters::resume::ResumeClaims;
use cranberryvalve_adapters::shared_key::SharedKey;
use cranberryvalve_adapters::upstream::decode_chunk;
use cranberryvalve_coordination::lease::LeaseRow;
use cranberryvalve_coordination::ledger::LedgerRow;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::plan::Head;
use cranberryvalve_core::Config;
use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::Digest;
use cranberryvalve_policy::ChunkAction;
use cranberryvalve_policy::EngineChunk;
use cranberryvalve_policy::TokenAssembler;
use quickcheck::Gen;
use quickcheck::QuickCheck;

/// Seed of the generated values.
const SEED: u64 = 20_261_204;

/// Maximum size of a generated value.
const MAX_SIZE: usize = 100;

/// Number of generated inputs per property.
const RUNS: u64 = 2_000;

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

#[test]
fn decoders_do_not_panic_on_arbitrary_input() {
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes arguments by value")]
    fn property(bytes: Vec<u8>, text: String) -> bool {
        let _ = parse_head(&bytes);
        let _ = links::decode(&bytes, &key());
        let _ = decode_chunk(&text);
        let _ = ResumeClaims::verify(&text, &key());
        let _ = Head::from_bytes(&bytes);
        let _ = LedgerRow::from_bytes(&bytes);
        let _ = LeaseRow::from_bytes(&bytes);
        let _ = ConfigDocument::from_bytes(&bytes);
        let _ = Config::from_toml(&text);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_SIZE, SEED))
        .tests(RUNS)
        .quickcheck(property as fn(Vec<u8>, String) -> bool);
}

#[test]
fn altered_peer_message_is_rejected() {
    fn property(index: usize, bit: u8) -> bool {
        let mut bytes = links::encode(&message(), &key()).expect("a message can be encoded");
        let index = index % bytes.len();
        bytes[index] ^= 1 << (bit % 8);
        links::decode(&bytes, &key()) == Err(DropReason::Unauthenticated)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_SIZE, SEED))
        .tests(RUNS)
        .quickcheck(property as fn(usize, u8) -> bool);
    let bytes = links::encode(&message(), &key()).expect("a message can be encoded");
    assert_eq!(links::decode(&bytes, &key()), Ok(message()));
    let other_key = SharedKey::new(b"another secret");
    assert_eq!(links::decode(&bytes, &other_key), Err(DropReason::Unauthenticated));
}

#[test]
fn altered_resume_token_is_rejected() {
    fn property(index: usize, digit: u8) -> bool {
        let claims =
            ResumeClaims { customer: "tasman".into(), request: Digest::of(b"x"), stream: 7 };
        let token = claims.sign(&key());
        let mut altered = token.clone().into_bytes();
        let index = index % altered.len();
        altered[index] = b"0123456789abcdef"[digit as usize % 16];
        let altered = String::from_utf8(altered).expect("hexadecimal digits");
        let verified = ResumeClaims::verify(&altered, &key());
        if altered == token { verified == Some(claims) } else { verified.is_none() }
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_SIZE, SEED))
        .tests(RUNS)
        .quickcheck(property as fn(usize, u8) -> bool);
}

#[test]
fn arbitrary_chunks_are_delivered_in_order_without_gaps() {
    fn property(chunks: Vec<(u8, bool, Option<u8>)>) -> bool {
        let mut assembler = TokenAssembler::new(0);
        assembler.start_attempt("7-1".into());
        let mut delivered = Vec::new();
        for (position, is_current_attempt, total) in chunks {
            let chunk = EngineChunk {
                attempt_id: if is_current_attempt { "7-1" } else { "8-1" }.into(),
                position: Some(position.into()),
                text: Some(position.to_string().into()),
                total_tokens: total.map(u64::from),
            };
            match assembler.accept(chunk) {
                ChunkAction::Deliver(tokens) => delivered.extend(tokens),
                ChunkAction::Complete(tokens) => {
                    delivered.extend(tokens);
                    break;
                }
                ChunkAction::Discard => {}
                ChunkAction::Lost => break,
            }
        }
        delivered.iter().enumerate().all(|(index, text)| **text == *index.to_string())
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_SIZE, SEED))
        .tests(RUNS)
        .quickcheck(property as fn(Vec<(u8, bool, Option<u8>)>) -> bool);
}

#[test]
fn distant_positions_are_not_buffered() {
    let mut assembler = TokenAssembler::new(0);
    assembler.start_attempt("7-1".into());
    let chunk = |position| EngineChunk {
        attempt_id: "7-1".into(),
        position: Some(position),
        text: Some("x".into()),
        total_tokens: None,
    };
    let actions = (1..1_000).map(|it| assembler.accept(chunk(u64::MAX - it)));
    assert!(actions.into_iter().any(|it| it == ChunkAction::Lost));
}

struct Echo;

impl CallerHandler for Echo {
    fn handle(&self, request: CallerRequest, _: &TcpStream, responder: &mut Responder<'_>) {
        let _ = responder.respond(200, &[], &request.body);
    }

    fn on_refused(&self, status: u16, message: &str, responder: &mut Responder<'_>) {
        let _ = responder.respond(status, &[], message.as_bytes());
    }
}

fn server() -> CallerServer {
    let limits = ServerLimits {
        head_timeout: Duration::from_millis(300),
        body_timeout: Duration::from_millis(300),
        max_body_bytes: 1_000,
        ..ServerLimits::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    CallerServer::start(any, limits, Arc::new(Echo)).expect("a free port")
}

/// Sends bytes and returns the first line of the response, or an empty string if there is none.
fn exchange(server: &CallerServer, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(server.address()).expect("the server listens");
    stream.write_all(bytes).expect("the server reads");
    let mut response = Vec::new();
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).lines().next().unwrap_or_default().to_owned()
}

#[test]
fn invalid_requests_get_an_error_status() {
    let server = server();
    let cases: [(&[u8], &str); 8] = [
        (b"\x00\x01\x02\r\n\r\n", "HTTP/1.1 400"),
        (b"GET / HTTP/1.1\r\n", "HTTP/1.1 408"),
        (b"POST / HTTP/1.1\r\ncontent-length: 50\r\n\r\nshort", "HTTP/1.1 408"),
        (b"POST / HTTP/1.1\r\ncontent-length: 5000\r\n\r\n", "HTTP/1.1 413"),
        (b"POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n", "HTTP/1.1 400"),
        (
            b"POST / HTTP/1.1\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\nabc",
            "HTTP/1.1 400",
        ),
        (b"POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n", "HTTP/1.1 400"),
        (
            b"POST / HTTP/1.1\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n\
              3\r\nabc\r\n0\r\n\r\n",
            "HTTP/1.1 200",
        ),
    ];
    for (bytes, expected) in cases {
        let response = exchange(&server, bytes);
        let sent = String::from_utf8_lossy(bytes);
        assert!(response.starts_with(expected), "{sent:?} got {response:?}");
    }
    let many = format!("GET / HTTP/1.1\r\n{}\r\n", "a: b\r\n".repeat(100));
    assert!(exchange(&server, many.as_bytes()).starts_with("HTTP/1.1 431"));
    let long = format!("GET /{} HTTP/1.1\r\n", "a".repeat(40_000));
    assert!(exchange(&server, long.as_bytes()).starts_with("HTTP/1.1 431"));
}

#[test]
fn slow_callers_do_not_delay_other_callers() {
    let server = server();
    let slow: Vec<TcpStream> = (0..200)
        .map(|_| {
            let mut stream = TcpStream::connect(server.address()).expect("the server listens");
            stream.write_all(b"GET / HT").expect("the server reads");
            stream
        })
        .collect();
    let response = exchange(&server, b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n");
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    drop(slow);
}
