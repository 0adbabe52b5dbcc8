//! Large values spread over thin links, in parts that are lost, late or from several peers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::membership::MemberState;
use cranberryvalve_coordination::membership::MemberUpdate;
use cranberryvalve_coordination::membership::Membership;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::transfer::Fetch;
use cranberryvalve_coordination::transfer::FetchStep;
use cranberryvalve_coordination::transfer::PART_BYTES;
use cranberryvalve_coordination::transfer::PART_TIMEOUT;
use cranberryvalve_coordination::transfer::Part;
use cranberryvalve_coordination::transfer::PartRequest;
use cranberryvalve_coordination::transfer::TransferId;
use cranberryvalve_coordination::transfer::part_of;
use quickcheck::quickcheck;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// VMs of the target.
const VMS: usize = 340;

/// Bytes a second of each link.
const LINK_BYTES_PER_S: f64 = 10e6 / 8.0;

/// Time for a message besides its transmission.
const DELAY: Duration = Duration::from_millis(2);

/// Time in which a configuration must be in force everywhere.
const SPREAD_TARGET: Duration = Duration::from_secs(5);

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
const TICK_INTERVAL: Duration = Duration::from_millis(500);

fn address(number: usize) -> PeerAddress {
    let ip = [10, 1, (number / 250) as u8, (number % 250) as u8];
    PeerAddress {
        vm: format!("vm-{number:03}").into(),
        address: SocketAddr::from((ip, 7340)),
        failure_domain: "a".into(),
    }
}

#[derive(Debug)]
enum Message {
    Announcement(u64),
    Request(PartRequest),
    Part(Part),
}

impl Message {
    const fn size_bytes(&self) -> usize {
        match self {
            Self::Announcement(_) => 200,
            Self::Request(_) => 100,
            Self::Part(part) => 100 + part.bytes.len(),
        }
    }
}

/// VMs that hold version 1 and one that holds version 2, each behind a link that sends and receives
/// one message after the other.
struct Network {
    start: Instant,
    values: BTreeMap<u64, Vec<u8>>,
    fetches: Vec<Fetch>,
    versions: Vec<u64>,
    neighbours: Vec<Vec<usize>>,
    /// When each link is free to send, and to receive, in seconds.
    free_at_s: Vec<[f64; 2]>,
    /// Messages by the time of arrival, in microseconds.
    arrivals: BinaryHeap<Reverse<(u64, u64)>>,
    in_flight: BTreeMap<u64, (usize, usize, Message)>,
    received_bytes: Vec<usize>,
    loss: f64,
    rng: Pcg64,
    next_id: u64,
}

impl Network {
    fn new(vms: usize, value: Vec<u8>, loss: f64, seed: u64) -> Self {
        let start = Instant::now();
        let neighbours = (0..vms).map(|own| {
            let mut membership = Membership::new(address(own), 1);
            for member in (0..vms).filter(|it| *it != own).map(address) {
                let state = MemberState::Alive;
                membership.on_update(start, &MemberUpdate { member, incarnation: 1, state });
            }
            let number = |it: &PeerAddress| it.vm[3..].parse::<usize>().expect("a number");
            membership.neighbours().iter().map(number).collect()
        });
        let mut fetches: Vec<Fetch> = Vec::new();
        for _ in 0..vms {
            let mut fetch = Fetch::default();
            fetch.record_version(1);
            fetches.push(fetch);
        }
        Self {
            start,
            values: BTreeMap::from([(2, value)]),
            fetches,
            versions: vec![1; vms],
            neighbours: neighbours.collect(),
            free_at_s: vec![[0.0; 2]; vms],
            arrivals: BinaryHeap::new(),
            in_flight: BTreeMap::new(),
            received_bytes: vec![0; vms],
            loss,
            rng: Pcg64::seed_from_u64(seed),
            next_id: 0,
        }
    }

    fn send(&mut self, now_s: f64, from: usize, to: usize, message: Message) {
        if self.rng.random_bool(self.loss) {
            return;
        }
        let time_s = message.size_bytes() as f64 / LINK_BYTES_PER_S;
        let sent_at_s = self.free_at_s[from][0].max(now_s) + time_s;
        self.free_at_s[from][0] = sent_at_s;
        let received_at_s =
            self.free_at_s[to][1].max(sent_at_s + DELAY.as_secs_f64() - time_s) + time_s;
        self.free_at_s[to][1] = received_at_s;
        self.next_id += 1;
        self.arrivals.push(Reverse(((received_at_s * 1e6) as u64, self.next_id)));
        self.in_flight.insert(self.next_id, (from, to, message));
    }

    fn announce(&mut self, now_s: f64, from: usize) {
        for to in self.neighbours[from].clone() {
            let version = self.versions[from];
            self.send(now_s, from, to, Message::Announcement(version));
        }
    }

    fn request(&mut self, now_s: f64, from: usize, request: Option<(PeerAddress, PartRequest)>) {
        let Some((peer, request)) = request else { return };
        let to = peer.vm[3..].parse().expect("a number");
        self.send(now_s, from, to, Message::Request(request));
    }

    fn deliver(&mut self, now_s: f64, from: usize, to: usize, message: Message) {
        self.received_bytes[to] += message.size_bytes();
        let now = self.start + Duration::from_secs_f64(now_s);
        match message {
            Message::Announcement(version) => {
                let request = self.fetches[to].on_announced(now, &address(from), version);
                self.request(now_s, to, request);
            }
            Message::Request(request) => {
                let version = self.versions[to];
                let Some(value) = self.values.get(&version) else { return };
                let id = TransferId { version, base: None, checksum: 0 };
                if let Some(part) = part_of(id, value, request.offset) {
                    self.send(now_s, to, from, Message::Part(part));
                }
            }
            Message::Part(part) => match self.fetches[to].on_part(now, &address(from), &part) {
                FetchStep::Ignored => {}
                FetchStep::Request(peer, request) => {
                    self.request(now_s, to, Some((peer, request)));
                }
                FetchStep::Complete { id, bytes } => {
                    assert_eq!(self.values.get(&id.version), Some(&bytes));
                    self.activate(now_s, to, id.version);
                }
            },
        }
    }

    fn activate(&mut self, now_s: f64, vm: usize, version: u64) {
        self.versions[vm] = version;
        self.fetches[vm].record_version(version);
        self.announce(now_s, vm);
    }

    /// Lets one VM activate version 2 and returns the time until all have it.
    fn time_to_spread(&mut self) -> Duration {
        self.activate(0.0, 0, 2);
        let (mut tick_at_s, mut heartbeat_at_s) = (0.0, 0.0);
        while self.versions.contains(&1) {
            let arrival_us = self.arrivals.peek().map_or(u64::MAX, |it| it.0.0);
            let arrival_s = arrival_us as f64 / 1e6;
            if tick_at_s <= arrival_s {
                for vm in 0..self.versions.len() {
                    let now = self.start + Duration::from_secs_f64(tick_at_s);
                    let request = self.fetches[vm].on_tick(now);
                    self.request(tick_at_s, vm, request);
                }
                if heartbeat_at_s <= tick_at_s {
                    (0..self.versions.len()).for_each(|it| self.announce(tick_at_s, it));
                    heartbeat_at_s += HEARTBEAT_INTERVAL.as_secs_f64();
                }
                tick_at_s += TICK_INTERVAL.as_secs_f64();
                assert!(tick_at_s < 60.0, "{} VMs are behind", self.behind());
                continue;
            }
            let Some(Reverse((_, id))) = self.arrivals.pop() else { continue };
            if let Some((from, to, message)) = self.in_flight.remove(&id) {
                self.deliver(arrival_s, from, to, message);
                if !self.versions.contains(&1) {
                    return Duration::from_secs_f64(arrival_s);
                }
            }
        }
        Duration::ZERO
    }

    fn behind(&self) -> usize {
        self.versions.iter().filter(|it| **it == 1).count()
    }
}

fn value(size_bytes: usize) -> Vec<u8> {
    (0..size_bytes).map(|it| (it * 31 % 251) as u8).collect()
}

#[test]
fn added_routes_reach_all_vms_over_thin_links() {
    // 1,400 routes of 80 bytes.
    let value = value(1_400 * 80);
    for seed in 0..4 {
        let mut network = Network::new(VMS, value.clone(), 0.0, seed);
        let time = network.time_to_spread();
        let most = network.received_bytes.iter().max().expect("there are VMs");
        assert!(time <= SPREAD_TARGET, "seed {seed}: {time:?}");
        assert!(*most <= value.len() + 8_000 * 5, "seed {seed}: {most} bytes");
    }
}

#[test]
fn whole_table_reaches_all_vms_despite_losses() {
    let value = value(5 * PART_BYTES + 17);
    for seed in 0..4 {
        let mut network = Network::new(64, value.clone(), 0.02, seed);
        let time = network.time_to_spread();
        assert!(time <= 2 * SPREAD_TARGET, "seed {seed}: {time:?}");
    }
}

#[test]
fn part_of_a_silent_peer_comes_from_another() {
    let (first, second, now) = (address(1), address(2), Instant::now());
    let mut fetch = Fetch::default();
    let (to, request) = fetch.on_announced(now, &first, 5).expect("a newer version");
    assert_eq!(to, first);
    assert_eq!(fetch.on_announced(now, &second, 5), None);
    let id = TransferId { version: 5, base: None, checksum: 9 };
    let content = value(PART_BYTES + 5);
    let part = part_of(id, &content, request.offset).expect("a part");
    let FetchStep::Request(to, request) = fetch.on_part(now, &first, &part) else {
        panic!("the transfer has a second part");
    };
    assert_eq!((to, request.offset as usize, request.id), (first, PART_BYTES, Some(id)));
    let later = now + PART_TIMEOUT;
    let (to, request) = fetch.on_tick(later).expect("the part is late");
    assert_eq!((&to, request.offset as usize), (&second, PART_BYTES));
    let part = part_of(id, &content, request.offset).expect("a part");
    let step = fetch.on_part(later, &second, &part);
    assert_eq!(step, FetchStep::Complete { id, bytes: content });
}

#[test]
fn unusable_value_is_requested_whole_once() {
    let (peer, now) = (address(1), Instant::now());
    let mut fetch = Fetch::default();
    fetch.record_version(4);
    let (_, request) = fetch.on_announced(now, &peer, 5).expect("a newer version");
    assert_eq!(request.base, Some(4));
    let difference = TransferId { version: 5, base: Some(4), checksum: 1 };
    let step = fetch.on_part(now, &peer, &part_of(difference, b"x", 0).expect("a part"));
    assert_eq!(step, FetchStep::Complete { id: difference, bytes: b"x".to_vec() });
    let (_, request) = fetch.on_unusable(now, difference).expect("the whole value");
    assert_eq!((request.base, request.offset), (None, 0));
    let whole = TransferId { version: 5, base: None, checksum: 2 };
    fetch.on_part(now, &peer, &part_of(whole, b"y", 0).expect("a part"));
    assert_eq!(fetch.on_unusable(now, whole), None);
    assert_eq!(fetch.on_announced(now, &peer, 5), None);
    assert!(fetch.on_announced(now, &peer, 6).is_some());
}

quickcheck! {
    /// Parts in any order, repeated, from any peer and of several values never make up a value that
    /// no peer has.
    fn completes_only_values_that_peers_have(parts: Vec<(u8, u8, bool)>) -> bool {
        let (now, values) = (Instant::now(), [value(150_000), value(90_000), value(70_001)]);
        let mut fetch = Fetch::default();
        fetch.on_announced(now, &address(1), 3);
        for (version, index, from_second) in parts {
            let version = u64::from(version % 3) + 1;
            let content = &values[version as usize - 1];
            let id = TransferId { version, base: None, checksum: version };
            let offset = u32::from(index % 3) * PART_BYTES as u32;
            let Some(part) = part_of(id, content, offset) else { continue };
            let from = address(if from_second { 2 } else { 1 });
            if let FetchStep::Complete { id, bytes } = fetch.on_part(now, &from, &part) {
                return bytes == values[id.version as usize - 1];
            }
        }
        true
    }
}

/// Guards against peers that are asked again and again for a version that is read elsewhere.
#[test]
fn dropped_announcements() {
    let (now, peer) = (Instant::now(), address(1));
    let mut fetch = Fetch::default();
    assert!(fetch.on_announced(now, &peer, 7).is_some());
    fetch.drop_announced(7);
    let later = now + PART_TIMEOUT;
    assert_eq!(fetch.on_tick(later), None);
    let request = fetch.on_announced(later, &peer, 7);
    assert_eq!(request.map(|(to, it)| (to, it.offset)), Some((peer, 0)));
}
