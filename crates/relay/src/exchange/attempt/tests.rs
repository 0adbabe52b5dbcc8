//! A request of which a part was sent is not sent again from its middle.

use std::net::TcpListener;

use super::RequestWriter;
use crate::socket::Connection;
use crate::socket::Interest;
use crate::socket::wait;

/// More than the buffers of a connection hold.
const LONG_REQUEST_BYTES: usize = 32 * 1024 * 1024;

fn closed_by_peer() -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let connection = Connection::connect(listener.local_addr().expect("bound")).expect("a socket");
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(5);
    let interest =
        Interest { upstream: Some(&connection), upstream_output: true, ..Interest::default() };
    wait(interest, deadline).expect("a connection");
    drop(listener.accept().expect("a connection"));
    connection
}

#[test]
fn a_request_that_fails_after_its_first_bytes_was_started() {
    for _ in 0..20 {
        let segments = [vec![b'x'; LONG_REQUEST_BYTES / 2], vec![b'x'; LONG_REQUEST_BYTES / 2]];
        let mut request = RequestWriter::new(b"head".to_vec(), &segments);
        let is_started = request.start(&closed_by_peer());
        // A part that was sent as a whole is released.
        let has_sent = request.sent_of_part > 0 || request.first.is_empty();
        assert_eq!(is_started, has_sent, "{} bytes were sent", request.sent_of_part);
    }
}
