//! A request of which a part was sent is not sent again from its middle.

use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use socket2::SockRef;

use super::RequestWriter;
use crate::socket::Connection;
use crate::socket::Interest;
use crate::socket::wait;

/// More than the buffers of a connection hold.
const LONG_REQUEST_BYTES: usize = 32 * 1024 * 1024;

/// Time after which what a peer on the same machine sent has arrived.
const ARRIVAL_TIME: Duration = Duration::from_millis(50);

const TIMEOUT: Duration = Duration::from_secs(5);

/// Returns both ends of a connection.
fn connected() -> (Connection, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let connection = Connection::connect(listener.local_addr().expect("bound")).expect("a socket");
    let deadline = Instant::now() + TIMEOUT;
    let interest =
        Interest { upstream: Some(&connection), upstream_output: true, ..Interest::default() };
    wait(interest, deadline).expect("a connection");
    let (peer, _) = listener.accept().expect("a connection");
    (connection, peer)
}

fn closed_by_peer() -> Connection {
    connected().0
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

/// A write that reports a reset takes the error from the connection, which then looks like one that
/// was closed; a response without a length would look whole.
#[test]
fn reset_shows_again() {
    let (connection, mut peer) = connected();
    let segments = [vec![b'x'; LONG_REQUEST_BYTES]];
    let mut request = RequestWriter::new(b"head".to_vec(), &segments);
    assert!(request.start(&connection) && !request.is_complete());
    peer.write_all(b"HTTP/1.1 200 OK\r\n\r\npart").expect("an open connection");
    SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("a socket");
    drop(peer);
    thread::sleep(ARRIVAL_TIME);
    assert!(request.start(&connection));
    assert!(request.write_available(&connection).is_err());
}
