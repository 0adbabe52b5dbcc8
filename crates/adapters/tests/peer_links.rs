//! Links to peers that do not respond do not hold up the others.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::links::ACKNOWLEDGEMENT_TIMEOUT;
use cranberryvalve_adapters::links::Dialer;
use cranberryvalve_adapters::links::LinkSocket;
use cranberryvalve_adapters::links::Links;
use cranberryvalve_adapters::shared_key::SharedKey;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use nng::Protocol;
use nng::Socket;
use nng::options::Options;
use nng::options::RecvTimeout;

/// Time within which an operation that does not block ends on any machine.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Number of peers that come and go.
const PEERS: u16 = 16;

/// What the sockets of a test share.
#[derive(Debug, Default)]
struct Shared {
    sent: AtomicUsize,
    closed: AtomicUsize,
    is_released: Mutex<bool>,
    released: Condvar,
}

impl Shared {
    /// Lets the sockets close.
    fn release(&self) {
        *self.is_released.lock().expect("no panic") = true;
        self.released.notify_all();
    }
}

/// Socket whose `close` blocks until it is released.
struct SlowSocket(Arc<Shared>);

impl LinkSocket for SlowSocket {
    fn try_send(&self, _bytes: &[u8]) -> bool {
        self.0.sent.fetch_add(1, Ordering::SeqCst);
        true
    }

    fn is_lost(&self) -> bool {
        false
    }

    fn close(&self) {
        let guard = self.0.is_released.lock().expect("no panic");
        drop(self.0.released.wait_while(guard, |it| !*it).expect("no panic"));
        self.0.closed.fetch_add(1, Ordering::SeqCst);
    }
}

struct SlowDialer(Arc<Shared>);

impl Dialer for SlowDialer {
    fn dial(&self, _address: SocketAddr) -> Option<Box<dyn LinkSocket>> {
        Some(Box::new(SlowSocket(self.0.clone())))
    }
}

fn links() -> (Arc<Links>, Arc<Shared>) {
    let shared = Arc::new(Shared::default());
    let dialer = Box::new(SlowDialer(shared.clone()));
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let links = Links::listen_with(address, SharedKey::new(b"key of the tests"), dialer);
    (Arc::new(links.expect("a free port")), shared)
}

fn peer(number: u16) -> PeerAddress {
    PeerAddress {
        vm: format!("vm-{number}").into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1 + number)),
        failure_domain: "z1".into(),
    }
}

/// Runs `operation` on a thread of its own. Returns its result, or `None` if it blocks.
fn run<T: Send + 'static>(
    links: &Arc<Links>,
    operation: impl FnOnce(&Links) -> T + Send + 'static,
) -> Option<T> {
    let (sender, receiver) = mpsc::channel();
    let links = links.clone();
    thread::spawn(move || sender.send(operation(&links)));
    receiver.recv_timeout(TIMEOUT).ok()
}

fn send(links: &Arc<Links>, to: PeerAddress) -> Option<bool> {
    let message = PeerMessage::DocumentRequest { from: peer(0), version: 1 };
    run(links, move |it| it.send(&to, &message))
}

#[test]
fn slow_close_does_not_hold_up_other_links() {
    let (links, shared) = links();
    for number in 1..=5 {
        assert_eq!(send(&links, peer(number)), Some(true));
    }
    thread::sleep(ACKNOWLEDGEMENT_TIMEOUT);
    let wanted = vec![peer(1), peer(2)];
    let closed = run(&links, move |it| it.close_timed_out(&wanted));
    let mut closed = closed.expect("closing links does not block");
    closed.sort();
    assert_eq!(closed, ["vm-1".into(), "vm-2".into()]);
    assert_eq!(send(&links, peer(6)), Some(true));
    assert_eq!(send(&links, peer(1)), Some(true), "the link is dialled again");
    let moved = PeerAddress { address: peer(9).address, ..peer(6) };
    assert_eq!(send(&links, moved), Some(true), "a peer that has moved does not block either");
    shared.release();
    assert_eq!(shared.sent.load(Ordering::SeqCst), 8);
}

/// Receives messages at `url` for a time, then closes all connections.
fn receive_for(url: &str, time: Duration) {
    let receiver = Socket::new(Protocol::Pull0).expect("a socket");
    let end = Instant::now() + time;
    receiver.set_opt::<RecvTimeout>(Some(time)).expect("an option of receivers");
    if receiver.listen(url).is_ok() {
        while Instant::now() < end {
            let _ = receiver.recv();
        }
    }
    receiver.close();
}

#[test]
fn peers_that_go_away_do_not_end_the_process() {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    let links = Links::listen(address, SharedKey::new(b"key of the tests")).expect("a free port");
    let end = Instant::now() + Duration::from_secs(8);
    thread::scope(|scope| {
        for number in 0..PEERS {
            let links = &links;
            let port = TcpListener::bind(address).and_then(|it| it.local_addr());
            let peer = PeerAddress { address: port.expect("a free port"), ..peer(number) };
            let url = format!("tcp://{}", peer.address);
            scope.spawn(move || {
                while Instant::now() < end {
                    receive_for(&url, Duration::from_millis(220));
                }
            });
            scope.spawn(move || {
                let message = PeerMessage::DocumentRequest { from: peer.clone(), version: 1 };
                while Instant::now() < end {
                    links.send(&peer, &message);
                }
            });
        }
    });
}

#[test]
fn few_sockets_wait_to_be_closed() {
    let (links, shared) = links();
    for number in 1..=300 {
        assert_eq!(send(&links, peer(number)), Some(true));
    }
    thread::sleep(ACKNOWLEDGEMENT_TIMEOUT);
    let wanted: Vec<PeerAddress> = (1..=300).map(peer).collect();
    let all = wanted.clone();
    let first = run(&links, move |it| it.close_timed_out(&all)).expect("it does not block");
    assert!(!first.is_empty() && first.len() < 300, "{} links at once", first.len());
    // The other links stay open, and are closed later.
    let mut closed = first.len();
    shared.release();
    while closed < 300 {
        let all = wanted.clone();
        closed += run(&links, move |it| it.close_timed_out(&all)).expect("it does not block").len();
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn pause_of_the_process_does_not_close_links() {
    let (links, shared) = links();
    shared.release();
    assert_eq!(send(&links, peer(1)), Some(true));
    assert_eq!(links.close_timed_out(&[peer(1)]), []);
    // The acknowledgements that have arrived meanwhile are not received yet.
    thread::sleep(ACKNOWLEDGEMENT_TIMEOUT + Duration::from_millis(500));
    assert_eq!(links.close_timed_out(&[peer(1)]), []);
    // A peer that remains silent is noticed.
    let silent = || !links.close_timed_out(&[peer(1)]).is_empty();
    let is_closed = (0..10).any(|_| {
        thread::sleep(Duration::from_millis(500));
        silent()
    });
    assert!(is_closed);
}
