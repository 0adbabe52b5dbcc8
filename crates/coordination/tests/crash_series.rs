//! Crashes in series, of upstreams under many calls that have nothing to do with them, cost a bounded
//! number of messages.

use std::ops::Range;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::quarantine::Quarantine;
use cranberryvalve_coordination::quarantine::SuspectUpdate;
use cranberryvalve_core::RequestFingerprint;
use cranberryvalve_core::SuspectKey;
use cranberryvalve_core::UpstreamStart;

/// Time from one round of messages to the next.
const ROUND: Duration = Duration::from_millis(20);

fn request(number: usize) -> SuspectKey {
    SuspectKey::Request(RequestFingerprint::new(["alpha"], &number.to_be_bytes()))
}

fn start(number: usize) -> UpstreamStart {
    UpstreamStart { upstream: format!("engine-{number}").into(), incarnation: 1 }
}

/// Number of rounds that no news needs to reach all VMs.
const MAX_ROUNDS: usize = 20;

/// VMs that send what is new to them to their neighbours in rounds.
struct Vms {
    now: Instant,
    vms: Vec<Quarantine>,
    /// Number of keys sent, over all messages.
    sent: usize,
}

impl Vms {
    fn new(count: usize) -> Self {
        let vms = (0..count).map(|_| Quarantine::default()).collect();
        Self { now: Instant::now() + Duration::from_secs(3_600), vms, sent: 0 }
    }

    /// Lets upstreams crash at once under `calls` calls each, on all VMs in turn.
    fn crash(&mut self, upstreams: Range<usize>, calls: usize) {
        for upstream in upstreams {
            for call in upstream * calls..(upstream + 1) * calls {
                let vm = call % self.vms.len();
                self.vms[vm].record_crash(&start(upstream), self.now, &[request(call)]);
            }
        }
    }

    /// Lets other upstreams respond to the calls.
    fn respond(&mut self, upstreams: Range<usize>, calls: usize) {
        for call in upstreams.start * calls..upstreams.end * calls {
            let vm = call % self.vms.len();
            self.vms[vm].record_response(self.now, &[request(call)]);
        }
    }

    /// Sends messages until there are none, for [`MAX_ROUNDS`] at most; returns `true` if there are none.
    fn settle(&mut self) -> bool {
        (0..MAX_ROUNDS).any(|_| !self.exchange())
    }

    /// Carries out a round; returns `true` if something was sent.
    fn exchange(&mut self) -> bool {
        self.now += ROUND;
        let told: Vec<Vec<SuspectUpdate>> =
            self.vms.iter_mut().map(|it| it.take_updates(self.now)).collect();
        let count = self.vms.len();
        let distances: Vec<usize> = std::iter::successors(Some(1), |it| Some(it * 2))
            .take_while(|it| *it < count)
            .collect();
        for (vm, updates) in told.iter().enumerate() {
            for distance in &distances {
                self.sent += updates.len();
                self.vms[(vm + distance) % count].merge(self.now, updates);
            }
        }
        told.iter().any(|it| !it.is_empty())
    }
}

#[test]
fn acquitted_keys_do_not_circulate() {
    let mut vms = Vms::new(12);
    vms.crash(0..36, 60);
    vms.respond(0..36, 60);

    assert!(vms.settle(), "keys circulate: {} sent", vms.sent);
}

#[test]
fn outdated_crashes_replace_no_key() {
    let mut vms = Vms::new(2);
    vms.vms[0].record_crash(&start(1), vms.now, &[request(0)]);
    vms.vms[0].record_crash(&start(2), vms.now, &[request(0)]);
    vms.now += Duration::from_secs(590);
    let known: Vec<SuspectKey> = (1..=1_024).map(request).collect();
    vms.vms[1].record_crash(&start(3), vms.now, &known);
    let outdated = vms.vms[0].updates(vms.now, 1);
    vms.vms[1].merge(vms.now, &outdated);
    assert_eq!(vms.vms[1].updates(vms.now, 2_000).len(), 1_024);
}
