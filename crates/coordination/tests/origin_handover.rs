//! VMs that stop hand over what they know of streams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::home::coordinators_of;
use cranberryvalve_coordination::membership::Membership;
use cranberryvalve_coordination::origins::ORIGIN_COORDINATORS;
use cranberryvalve_coordination::origins::OriginLog;
use cranberryvalve_coordination::origins::StreamKey;
use cranberryvalve_coordination::origins::StreamOrigin;
use cranberryvalve_coordination::origins::stream_key;
use cranberryvalve_coordination::origins::streams_by_coordinator;
use cranberryvalve_coordination::peer::PeerAddress;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const DOMAINS: usize = 3;
const STREAMS: usize = 600;

/// Time between two stops, as in a rolling restart of one VM after the other.
const STOP_INTERVAL: Duration = Duration::from_millis(1_300);

fn origin(stream: usize) -> StreamOrigin {
    let version = if stream.is_multiple_of(2) { "v1" } else { "v2" };
    StreamOrigin { pool: "engines".into(), software_version: version.into() }
}

fn key(stream: usize) -> StreamKey {
    stream_key(&format!("request-{stream}"))
}

fn address(number: usize) -> PeerAddress {
    PeerAddress {
        vm: format!("vm-{number}").into(),
        address: ([10, 0, (number / 250) as u8, (number % 250) as u8], 7_340).into(),
        failure_domain: format!("domain-{}", number % DOMAINS).into(),
    }
}

/// VMs that keep the origins of streams, with links that lose messages.
struct Fleet {
    now: Instant,
    vms: Vec<PeerAddress>,
    logs: Vec<OriginLog>,
    /// VMs that have announced that they stop, or do not run.
    left: BTreeSet<usize>,
    loss: f64,
    random: Pcg64,
}

impl Fleet {
    /// Begins streams, each at one VM, which sends their origins to the coordinators.
    fn start(vms: usize, loss: f64, seed: u64) -> Self {
        let mut fleet = Self {
            now: Instant::now(),
            vms: (0..vms).map(address).collect(),
            logs: (0..vms).map(|_| OriginLog::default()).collect(),
            left: BTreeSet::new(),
            loss,
            random: Pcg64::seed_from_u64(seed),
        };
        for stream in 0..STREAMS {
            fleet.logs[stream % vms].record(fleet.now, key(stream), origin(stream));
            fleet.send(&[(key(stream), origin(stream))], &fleet.alive(), usize::MAX);
        }
        fleet
    }

    fn alive(&self) -> Vec<PeerAddress> {
        let alive = self.vms.iter().enumerate().filter(|(vm, _)| !self.left.contains(vm));
        alive.map(|(_, it)| it.clone()).collect()
    }

    /// Sends origins to their coordinators among `alive`, of which `receivers` are reached.
    fn send(
        &mut self,
        streams: &[(StreamKey, StreamOrigin)],
        alive: &[PeerAddress],
        receivers: usize,
    ) {
        for (receiver, streams) in
            streams_by_coordinator(streams, alive).into_iter().take(receivers)
        {
            if self.random.random::<f64>() < self.loss {
                continue;
            }
            let vm = self.vms.iter().position(|it| it.vm == receiver.vm).expect("a VM");
            for (stream, origin) in streams {
                self.logs[vm].record(self.now, stream, origin);
            }
        }
    }

    /// Hands over what a VM knows to the others that it takes for alive, and loses it.
    fn stop(&mut self, vm: usize, receivers: usize) {
        let streams = self.logs[vm].recent(self.now);
        let mut others = self.alive();
        others.retain(|it| it.vm != self.vms[vm].vm);
        self.left.insert(vm);
        self.send(&streams, &others, receivers);
    }

    /// Starts a VM that knows nothing.
    fn start_again(&mut self, vm: usize) {
        self.logs[vm] = OriginLog::default();
        self.left.remove(&vm);
    }

    /// Returns the number of streams whose coordinators know their origin. What they know is right.
    fn known_streams(&self) -> usize {
        let alive = self.alive();
        let is_known = |stream: &usize| {
            let coordinators = coordinators_of(key(*stream), &alive, ORIGIN_COORDINATORS);
            let logs = coordinators.iter().filter_map(|it| {
                let vm = self.vms.iter().position(|vm| vm.vm == it.vm)?;
                self.logs[vm].origin(self.now, key(*stream))
            });
            let known: Vec<&StreamOrigin> = logs.collect();
            assert!(known.iter().all(|it| **it == origin(*stream)));
            !known.is_empty()
        };
        (0..STREAMS).filter(is_known).count()
    }
}

#[test]
fn origins_outlive_a_rolling_restart() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(8, 0.0, seed);
        for vm in 0..8 {
            fleet.stop(vm, usize::MAX);
            assert_eq!(fleet.known_streams(), STREAMS);
            fleet.now += STOP_INTERVAL;
            fleet.start_again(vm);
            assert_eq!(fleet.known_streams(), STREAMS);
        }
    }
}

#[test]
fn origins_outlive_overlapping_stops() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(24, 0.01, seed);
        // A VM starts again only after the next four have stopped.
        for vm in 0..24 {
            fleet.stop(vm, usize::MAX);
            fleet.now += STOP_INTERVAL;
            if vm >= 4 {
                fleet.start_again(vm - 4);
            }
        }
        assert!(fleet.known_streams() >= STREAMS * 99 / 100);
    }
}

#[test]
fn origins_outlive_a_stop_that_is_cut_short() {
    for seed in 0..10 {
        let mut fleet = Fleet::start(8, 0.0, seed);
        // The first VM is killed halfway through, and the next ones are those that it told.
        fleet.stop(0, 3);
        for vm in 1..4 {
            fleet.stop(vm, usize::MAX);
            fleet.now += STOP_INTERVAL;
        }
        assert_eq!(fleet.known_streams(), STREAMS);
    }
}

#[test]
fn a_domain_in_turn_hands_over_few_bytes() {
    const VMS: usize = 340;
    // Streams that 340 VMs begin in the time for which origins are kept, of which each keeps its own
    // and those that it coordinates.
    let kept = 2_700 * 60 * (1 + ORIGIN_COORDINATORS) / VMS;
    let vms: Vec<PeerAddress> = (0..VMS).map(address).collect();
    let streams: Vec<_> = (0..kept).map(|it| (key(it), origin(it))).collect();
    let handed_over = streams_by_coordinator(&streams, &vms);
    let bytes = |streams: &[(StreamKey, StreamOrigin)]| {
        // With the sender's address, the signature and what a frame takes.
        postcard::to_stdvec(streams).expect("a message").len() + 140
    };
    let sent: usize = handed_over.iter().map(|(_, it)| bytes(it)).sum();
    // 71 VMs are replaced a day, each handing over twice; control may take 8 KB a second on a VM.
    assert!(2 * sent * 71 / VMS / 86_400 < 10, "{sent} bytes");
    let received = handed_over.iter().map(|(_, it)| bytes(it)).max().unwrap_or_default();
    // A failure domain that stops one VM after the other tells each of the others once in 1.3 s.
    assert!(received * 10 / 13 < 4_000, "{received} bytes in 1.3 s");
}

#[test]
fn a_stopping_vm_does_not_choose_itself() {
    let mut membership = Membership::new(address(0), 1);
    membership.add_seed(Instant::now(), address(1));
    assert_eq!(membership.alive_addresses(), [address(0), address(1)]);
    membership.stop();
    assert_eq!(membership.alive_addresses(), [address(1)]);
}

#[test]
fn an_origin_is_kept_once_for_each_stream() {
    let (now, mut log) = (Instant::now(), OriginLog::default());
    log.record(now, key(1), origin(1));
    log.record(now, key(1), origin(1));
    log.record(now, key(2), origin(2));
    let kept: BTreeMap<_, _> = log.recent(now).into_iter().collect();
    assert_eq!(kept, [(key(1), origin(1)), (key(2), origin(2))].into());
    assert_eq!(log.recent(now).len(), 2);
}
