//! Responses of a service are read to their end, however it is marked.

use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;

use super::HttpClient;
use super::HttpError;
use crate::response::MAX_HEAD_BYTES;

/// More than one read from a connection, in bytes.
const READ_BYTES: usize = 64 * 1024;

/// Returns the result of a request to a service that sends `response` and closes the connection.
fn get(response: &str) -> Result<Vec<u8>, HttpError> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    thread::scope(|scope| {
        scope.spawn(move || {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut request = [0; 4_096];
            let _ = stream.read(&mut request).expect("a request");
            stream.write_all(response.as_bytes()).expect("an open connection");
        });
        HttpClient::new(address).get("/rows", Duration::from_secs(5)).map(|it| it.body)
    })
}

#[test]
fn body_without_length_ends_with_the_connection() {
    assert_eq!(get("HTTP/1.1 200 OK\r\n\r\nrows").ok(), Some(b"rows".to_vec()));
}

#[test]
fn interim_responses_have_no_body_and_are_skipped() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n";
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nrows";
    assert_eq!(get(&format!("{interim}{response}")).ok(), Some(b"rows".to_vec()));
    let endless = "HTTP/1.1 102 Processing\r\n\r\n".repeat(100);
    assert!(matches!(get(&endless), Err(HttpError::Malformed)));
}

#[test]
fn body_shorter_than_its_length_is_an_error() {
    assert!(matches!(
        get("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nrows"),
        Err(HttpError::Io(_))
    ));
}

#[test]
fn response_that_is_cut_anywhere_is_an_error() {
    for response in [
        "HTTP/1.1 200 OK\r\nStore-Era: 1\r\nContent-Length: 4\r\n\r\nrows",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nro\r\n2\r\nws\r\n0\r\n\r\n",
    ] {
        assert_eq!(get(response).ok(), Some(b"rows".to_vec()));
        for cut in 0..response.len() {
            assert!(get(&response[..cut]).is_err(), "{}", &response[..cut]);
        }
    }
}

/// A report under a lease that has expired while the connection was made must not be sent.
#[test]
fn request_that_may_not_be_sent_is_not_sent() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let client = HttpClient::new(listener.local_addr().expect("bound to an address"));
    let result = client.post_if("/", &[], "{}", Duration::from_secs(1), &|| false);
    assert!(matches!(result, Err(HttpError::Interrupted)));
    let (mut connection, _) = listener.accept().expect("a connection");
    assert_eq!(connection.read(&mut [0]).unwrap_or(0), 0);
}

/// A head without end was kept until the timeout, however much arrived.
#[test]
fn endless_head_is_an_error() {
    let line = "x".repeat(MAX_HEAD_BYTES + READ_BYTES);
    let result = get(&format!("HTTP/1.1 200 OK\r\nX-Filler: {line}"));
    assert!(matches!(result, Err(HttpError::Malformed)), "{result:?}");
}
