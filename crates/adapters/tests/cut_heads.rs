//! A response that is cut off anywhere is not taken for a whole one.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use cranberryvalve_adapters::platform::PlatformClient;
use cranberryvalve_adapters::upstream;
use cranberryvalve_adapters::upstream::CallError;
use cranberryvalve_adapters::upstream::CancelHandle;
use cranberryvalve_adapters::upstream::EngineEvent;
use cranberryvalve_adapters::upstream::EngineRequest;
use cranberryvalve_adapters::upstream::OrderOutcome;
use cranberryvalve_adapters::upstream::Timeouts;
use cranberryvalve_adapters::upstream::UpstreamResponse;
use cranberryvalve_coordination::orders::FencedOrder;
use cranberryvalve_coordination::store::Store;
use cranberryvalve_coordination::store::StoreError;
use cranberryvalve_core::EngineOrder;
use cranberryvalve_core::ModelAction;
use socket2::SockRef;
use ureq::http::Request;

/// Time after which sent bytes have arrived, before the connection is reset.
const ARRIVAL_TIME: Duration = Duration::from_millis(10);

/// Time limit of a call, which none of these responses comes near.
const TIMEOUT: Duration = Duration::from_secs(5);

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nETag: \"7\"\r\n\
                       Store-Era: 1\r\n\r\n4\r\nthe \r\n5\r\nwhole\r\n0\r\n\r\n";

const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nStore-Era: 1\r\n\
                           Content-Length: 9\r\n\r\nthe whole";

const UNFRAMED: &str = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nStore-Era: 1\r\n\r\nthe whole";

/// How a service ends the connection after what it sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

/// Reads a whole request: a connection that is closed with unread input is reset.
fn read_request(stream: &mut TcpStream) {
    let mut request = Vec::new();
    let mut bytes = [0; 4_096];
    while !is_whole(&String::from_utf8_lossy(&request)) {
        let length = stream.read(&mut bytes).expect("a request");
        assert!(length > 0, "the request is cut off");
        request.extend_from_slice(&bytes[..length]);
    }
}

fn is_whole(request: &str) -> bool {
    let Some((head, body)) = request.split_once("\r\n\r\n") else { return false };
    let lengths = head.lines().filter_map(|it| it.strip_prefix("content-length: "));
    let length: usize = lengths.filter_map(|it| it.parse::<usize>().ok()).sum();
    body.len() == length
}

/// Returns what `call` returns of a service that sends `response` and ends the connection.
fn call_service<T>(response: &str, end: End, call: impl FnOnce(SocketAddr) -> T) -> T {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    thread::scope(|scope| {
        scope.spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            read_request(&mut stream);
            stream.write_all(response.as_bytes()).expect("an open connection");
            if end == End::Reset {
                thread::sleep(ARRIVAL_TIME);
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("a socket");
            }
        });
        call(address)
    })
}

fn plain_call(address: SocketAddr) -> Result<UpstreamResponse, CallError> {
    let request = Request::builder().method("POST").uri("/book").body(b"one berth".to_vec());
    let request = request.expect("a valid request");
    upstream::call(address, request, Timeouts::new(TIMEOUT, TIMEOUT), &CancelHandle::new())
}

/// Returns the beginnings of a response.
fn beginnings(response: &str) -> impl Iterator<Item = &str> {
    (0..response.len()).map(|cut| &response[..cut])
}

fn head_len(response: &str) -> usize {
    response.find("\r\n\r\n").expect("a whole head") + 4
}

/// Returns the length of the shortest beginning that is the whole body. The blank line after the last
/// chunk may be missing.
fn whole_len(response: &str) -> usize {
    response.find("0\r\n\r\n").filter(|_| response == CHUNKED).map_or(response.len(), |it| it + 3)
}

#[test]
fn cut_answer_of_a_service_is_an_unknown_outcome() {
    for response in [WITH_LENGTH, CHUNKED] {
        for end in [End::Closed, End::Reset] {
            for beginning in beginnings(&response[..whole_len(response)]) {
                let result = call_service(beginning, end, plain_call);
                assert_eq!(result, Err(CallError::Broken), "{end:?}: {beginning}");
            }
        }
        let result = call_service(response, End::Closed, plain_call);
        assert_eq!(result.map(|it| it.body), Ok(b"the whole".to_vec()));
    }
}

#[test]
fn cut_head_without_framing_is_an_unknown_outcome() {
    for beginning in beginnings(&UNFRAMED[..head_len(UNFRAMED)]) {
        let result = call_service(beginning, End::Closed, plain_call);
        assert_eq!(result, Err(CallError::Broken), "{beginning}");
    }
    let result = call_service(UNFRAMED, End::Closed, plain_call);
    assert_eq!(result.map(|it| it.body), Ok(b"the whole".to_vec()));
}

#[test]
fn unframed_answer_that_is_reset_is_an_unknown_outcome() {
    for cut in 0..=UNFRAMED.len() {
        let result = call_service(&UNFRAMED[..cut], End::Reset, plain_call);
        assert_eq!(result, Err(CallError::Broken), "{}", &UNFRAMED[..cut]);
    }
}

#[test]
fn unframed_answer_without_a_body_is_an_unknown_outcome() {
    let head = &UNFRAMED[..head_len(UNFRAMED)];
    assert_eq!(call_service(head, End::Closed, plain_call), Err(CallError::Broken));
}

#[test]
fn cut_stream_of_an_engine_does_not_end() {
    let request = EngineRequest {
        body: serde_json::Map::new(),
        attempt_id: "a-1".into(),
        priority: 0,
        position: 0,
    };
    let last_chunk = "data: {\"id\":\"a-1\",\"token_index\":0,\"usage\":{\"completion_tokens\":1}}";
    let length = last_chunk.len() + 2;
    for headers in ["", &format!("Content-Length: {length}\r\n")] {
        let response = format!("HTTP/1.1 200 OK\r\n{headers}\r\n{last_chunk}\n\n");
        for end in [End::Closed, End::Reset] {
            for beginning in beginnings(&response[..response.len() - 3]) {
                let chunk = call_service(beginning, end, |address| {
                    let timeouts = Timeouts::new(TIMEOUT, TIMEOUT);
                    let cancel = CancelHandle::new();
                    let mut stream =
                        upstream::open_stream(address, &request, timeouts, &cancel).ok()?;
                    loop {
                        match stream.next_event().ok()? {
                            EngineEvent::Chunk(chunk) => return Some(chunk),
                            EngineEvent::Other => {}
                            EngineEvent::End => return None,
                        }
                    }
                });
                assert_eq!(chunk, None, "{end:?}: {beginning}");
            }
        }
    }
}

#[test]
fn cut_answer_to_an_order_leaves_it_in_doubt() {
    let order = EngineOrder { action: ModelAction::Load, subject: "m".into() };
    let order = FencedOrder { fencing: 1, position: 0, order };
    for end in [End::Closed, End::Reset] {
        for beginning in beginnings(WITH_LENGTH) {
            let outcome =
                call_service(beginning, end, |it| upstream::send_order(it, &order, TIMEOUT));
            assert_eq!(outcome, OrderOutcome::InDoubt, "{end:?}: {beginning}");
        }
    }
}

#[test]
fn cut_row_is_not_read() {
    for response in [WITH_LENGTH, CHUNKED] {
        for end in [End::Closed, End::Reset] {
            for beginning in beginnings(&response[..whole_len(response)]) {
                let read = call_service(beginning, end, |it| PlatformClient::new(it).read("k"));
                assert_eq!(read, Err(StoreError::InDoubt), "{end:?}: {beginning}");
            }
        }
    }
}

#[test]
fn row_that_nothing_shows_to_be_whole_is_not_read() {
    for end in [End::Closed, End::Reset] {
        for cut in 0..=UNFRAMED.len() {
            let read = call_service(&UNFRAMED[..cut], end, |it| PlatformClient::new(it).read("k"));
            assert_eq!(read, Err(StoreError::InDoubt), "{end:?}: {}", &UNFRAMED[..cut]);
        }
    }
}

/// A status that HTTP does not have was passed on as the answer of the service.
#[test]
fn invalid_status_is_an_unknown_outcome() {
    for status in ["000", "099", "600", "999"] {
        let response = WITH_LENGTH.replace("200 OK", &format!("{status} Odd"));
        let result = call_service(&response, End::Closed, plain_call);
        assert_eq!(result, Err(CallError::Broken), "{status}");
    }
}
