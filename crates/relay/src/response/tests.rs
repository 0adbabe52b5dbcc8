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

#[test]
fn a_head_that_follows_one_that_was_cut_off_is_rejected() {
    let earlier = "HTTP/1.1 503 Service Unavailable\r\nVia: 1.1 a\r\nNot-Executed: 1\r\n";
    let head = "HTTP/1.1 200 OK\r\nRequest-Id: 9c41d07be2a35f68\r\n\r\n";
    for cut in 1..earlier.len() {
        let joined = format!("{}{head}", &earlier[..cut]);
        assert!(parse_response_head(joined.as_bytes()).is_err(), "{joined}");
    }
}

#[test]
fn an_empty_line_and_a_header_that_names_the_protocol_are_accepted() {
    for header in ["Via: HTTP/1.1 edge", "Upgrade: h2c, HTTP/1.1", "X-Request: GET / HTTP/1.1"] {
        let head = format!("\r\nHTTP/1.1 200 OK\r\n{header}\r\n\r\n");
        assert!(parse_response_head(head.as_bytes()).is_ok_and(|it| it.is_some()), "{header}");
    }
}
