//! Heads of responses are interpreted as RFC 9112 says.

use super::parse_response_head;

fn keeps_alive(headers: &str) -> bool {
    let head = format!("HTTP/1.1 200 OK\r\n{headers}\r\n");
    let parsed = parse_response_head(head.as_bytes()).expect("a valid head");
    parsed.expect("a complete head").0.keeps_alive()
}

#[test]
fn close_among_other_connection_options_ends_the_connection() {
    for headers in [
        "Connection: close\r\n",
        "Connection: close, x-hop\r\n",
        "Connection: x-hop , Close\r\n",
        "Connection: x-hop\r\nConnection: close\r\n",
    ] {
        assert!(!keeps_alive(headers), "{headers}");
    }
    for headers in ["", "Connection: keep-alive\r\n", "Connection: closed\r\n"] {
        assert!(keeps_alive(headers), "{headers}");
    }
}
