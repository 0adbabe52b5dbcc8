//! The proxy passes resets on, and holds data up in one direction only.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

use cranberryvalve_standins::ports::ANY_PORT;
use cranberryvalve_standins::proxy::Proxy;
use socket2::SockRef;

/// Time in which nothing arrives that is held up.
const HELD_TIME: Duration = Duration::from_millis(300);

/// Returns a proxy and both ends of a connection through it.
fn connection() -> (Proxy, TcpStream, TcpStream) {
    let listener = TcpListener::bind(ANY_PORT).expect("a free port");
    let proxy = Proxy::start(listener.local_addr().expect("a bound socket")).expect("a free port");
    let caller = TcpStream::connect(proxy.address()).expect("the proxy listens");
    let (target, _) = listener.accept().expect("a connection");
    (proxy, caller, target)
}

fn receive(mut stream: &TcpStream) -> io::Result<u8> {
    let mut byte = [0];
    stream.read_exact(&mut byte).map(|()| byte[0])
}

#[test]
fn reset_of_either_end_does_not_look_like_an_end() {
    let (proxy, caller, target) = connection();
    proxy.reset_open();
    for end in [&caller, &target] {
        assert_eq!(receive(end).map_err(|it| it.kind()), Err(io::ErrorKind::ConnectionReset));
    }
    let (_proxy, caller, target) = connection();
    SockRef::from(&target).set_linger(Some(Duration::ZERO)).expect("an open socket");
    drop(target);
    assert_eq!(receive(&caller).map_err(|it| it.kind()), Err(io::ErrorKind::ConnectionReset));
    let (_proxy, caller, target) = connection();
    drop(target);
    assert_eq!(receive(&caller).map_err(|it| it.kind()), Err(io::ErrorKind::UnexpectedEof));
}

#[test]
fn data_of_callers_is_held_up_and_arrives_later() {
    let (proxy, mut caller, mut target) = connection();
    proxy.hold_up_callers();
    caller.write_all(b"a").expect("an open connection");
    target.write_all(b"b").expect("an open connection");
    assert_eq!(receive(&caller).ok(), Some(b'b'));
    target.set_read_timeout(Some(HELD_TIME)).expect("an open socket");
    assert_eq!(receive(&target).map_err(|it| it.kind()), Err(io::ErrorKind::WouldBlock));
    proxy.heal_quality();
    target.set_read_timeout(None).expect("an open socket");
    assert_eq!(receive(&target).ok(), Some(b'a'));
}

#[test]
fn lossy_and_narrow_links_lose_nothing() {
    let (proxy, mut caller, target) = connection();
    proxy.lose_packets();
    proxy.limit_rate(10_000);
    for number in 0..120 {
        caller.write_all(&[number]).expect("an open connection");
        assert_eq!(receive(&target).ok(), Some(number));
    }
}
