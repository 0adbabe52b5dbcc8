//! Many VMs in virtual time that serve calls of which some crash their upstream.

#![allow(unreachable_pub, reason = "a module of a test")]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::quarantine::Quarantine;
use cranberryvalve_coordination::quarantine::SuspectUpdate;
use cranberryvalve_core::RequestFingerprint;
use cranberryvalve_core::SuspectKey;
use cranberryvalve_core::UpstreamStart;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Time from sending a call until its upstream begins to respond.
const PREFILL: Duration = Duration::from_millis(400);

/// Time from a crash until a VM has found out.
const DETECTION: Duration = Duration::from_millis(120);

/// Time in which all VMs have to know of the fifth crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Mean time between two calls with the part that crashes upstreams, over all VMs.
const CRASHING_INTERVAL: Duration = Duration::from_millis(250);

/// Mean time between two sound calls that share the first part with them.
const SOUND_INTERVAL: Duration = Duration::from_millis(100);

/// Number of times that a sound call is sent, if its upstreams crash under other calls.
const MAX_ATTEMPTS: u32 = 3;

/// Steps that no run needs: a thousand messages for each VM.
const MAX_STEPS: usize = 400_000;

/// What a run is like.
#[derive(Debug, Clone, Copy)]
pub struct FleetSettings {
    pub seed: u64,
    pub vms: usize,
    /// Number of upstreams; a call goes to any of them.
    pub upstreams: usize,
    /// Fraction of messages that are lost.
    pub loss: f64,
    /// Whether the VMs tell each other what they know.
    pub talk: bool,
    /// Whether all calls, sound ones too, differ only in their prompts.
    pub same_content: bool,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self { seed: 0, vms: 1, upstreams: 40, loss: 0.0, talk: true, same_content: false }
    }
}

/// What happened in a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetResult {
    pub crashes: usize,
    /// Calls that crash upstreams, sent later than [`CONTACT_TIME`] after the fifth crash.
    pub late_arrivals: usize,
    /// Attempts of sound calls.
    pub sound: usize,
    pub sound_refused: usize,
}

/// An attempt of a call.
struct Attempt {
    vm: usize,
    keys: Vec<SuspectKey>,
    crashes: bool,
    /// Position among the attempts of the call.
    number: u32,
}

enum Step {
    Send(Attempt),
    Respond { attempt: Attempt, upstream: usize, incarnation: u64, sent_at: Instant },
    Detect { attempt: Attempt, start: UpstreamStart, at: Instant },
    Receive { vm: usize, updates: Vec<SuspectUpdate> },
}

pub struct Fleet {
    settings: FleetSettings,
    random: Pcg64Mcg,
    vms: Vec<Quarantine>,
    /// Start of each upstream, which a crash increases.
    incarnations: Vec<u64>,
    /// Steps by their time and their index in `contents`.
    steps: BinaryHeap<Reverse<(Instant, usize)>>,
    contents: Vec<Option<Step>>,
    fifth_crash: Option<Instant>,
    result: FleetResult,
}

impl Fleet {
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            settings,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            vms: (0..settings.vms).map(|_| Quarantine::default()).collect(),
            incarnations: vec![1; settings.upstreams],
            steps: BinaryHeap::new(),
            contents: Vec::new(),
            fifth_crash: None,
            result: FleetResult::default(),
        }
    }

    pub fn run(&mut self, duration: Duration) -> FleetResult {
        let begin = Instant::now();
        let part = |part| SuspectKey::PromptPart { pool: "engines".into(), part };
        for (interval, crashes) in [(CRASHING_INTERVAL, true), (SOUND_INTERVAL, false)] {
            let mut at = begin;
            while at < begin + duration {
                at += interval.mul_f64(-(1.0 - self.random.random::<f64>()).ln());
                let vm = self.random.random_range(0..self.settings.vms);
                let second = if crashes { 7 } else { 1_000 + self.random.random_range(0..50) };
                let content = if self.settings.same_content { 0 } else { self.contents.len() };
                let fingerprint = RequestFingerprint::new(["alpha"], &content.to_be_bytes());
                let keys = vec![part(1), part(second), SuspectKey::Request(fingerprint)];
                self.push(at, Step::Send(Attempt { vm, keys, crashes, number: 1 }));
            }
        }
        while let Some(Reverse((now, index))) = self.steps.pop() {
            if let Some(step) = self.contents[index].take() {
                self.carry_out(now, step);
            }
        }
        self.result
    }

    fn push(&mut self, at: Instant, step: Step) {
        assert!(self.contents.len() < MAX_STEPS, "messages circulate without end");
        self.steps.push(Reverse((at, self.contents.len())));
        self.contents.push(Some(step));
    }

    fn carry_out(&mut self, now: Instant, step: Step) {
        match step {
            Step::Send(attempt) => self.send(now, attempt),
            Step::Respond { attempt, upstream, incarnation, sent_at } => {
                let start =
                    UpstreamStart { upstream: format!("engine-{upstream}").into(), incarnation };
                if self.incarnations[upstream] != incarnation {
                    // Another call ended the upstream meanwhile.
                    let detected_at = now.max(sent_at) + DETECTION;
                    self.push(detected_at, Step::Detect { attempt, start, at: now });
                } else if attempt.crashes {
                    self.incarnations[upstream] += 1;
                    self.result.crashes += 1;
                    if self.result.crashes == 5 {
                        self.fifth_crash = Some(now);
                    }
                    self.push(now + DETECTION, Step::Detect { attempt, start, at: now });
                } else {
                    self.vms[attempt.vm].record_response(now, &attempt.keys);
                    self.tell(now, attempt.vm);
                }
            }
            Step::Detect { attempt, start, at } => {
                self.vms[attempt.vm].record_crash(&start, at, &attempt.keys);
                self.tell(now, attempt.vm);
                if !attempt.crashes && attempt.number < MAX_ATTEMPTS {
                    self.send(now, Attempt { number: attempt.number + 1, ..attempt });
                }
            }
            Step::Receive { vm, updates } => {
                self.vms[vm].merge(now, &updates);
                self.tell(now, vm);
            }
        }
    }

    /// Sends an attempt unless the VM refuses it.
    fn send(&mut self, now: Instant, attempt: Attempt) {
        let is_sent = self.vms[attempt.vm].claim(now, &attempt.keys).is_ok();
        self.tell(now, attempt.vm);
        self.result.sound += usize::from(!attempt.crashes);
        self.result.sound_refused += usize::from(!attempt.crashes && !is_sent);
        if !is_sent {
            return;
        }
        let is_late = self.fifth_crash.is_some_and(|it| now > it + CONTACT_TIME);
        self.result.late_arrivals += usize::from(attempt.crashes && is_late);
        let upstream = self.random.random_range(0..self.settings.upstreams);
        let incarnation = self.incarnations[upstream];
        let respond = Step::Respond { attempt, upstream, incarnation, sent_at: now };
        self.push(now + PREFILL, respond);
    }

    /// Sends what is new at a VM to its neighbours on a ring: those at distances 1, 2, 4 and so on.
    fn tell(&mut self, now: Instant, vm: usize) {
        let updates = self.vms[vm].take_updates(now);
        if updates.is_empty() || !self.settings.talk {
            return;
        }
        let distances = std::iter::successors(Some(1), |it| Some(it * 2));
        let vms = self.settings.vms;
        for distance in distances.take_while(|it| *it < vms) {
            if self.random.random::<f64>() < self.settings.loss {
                continue;
            }
            let delay = Duration::from_micros(self.random.random_range(500..20_000));
            let vm = (vm + distance) % vms;
            self.push(now + delay, Step::Receive { vm, updates: updates.clone() });
        }
    }
}
