//! Load of the upstreams.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::upstream::EngineStatus;
use cranberryvalve_adapters::upstream::fetch_status;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamSpec;
use cranberryvalve_policy::Event;

use crate::node::Node;

/// Shortest pause between two requests to the same upstream.
const MIN_PERIOD: Duration = Duration::from_millis(500);

/// Pause between any two requests, which bounds what a VM spends on them; with many upstreams it
/// stretches the period of each.
const SPACING: Duration = Duration::from_millis(40);

/// The same where many VMs take more of what control may spend.
const SPACING_MANY_VMS: Duration = Duration::from_millis(80);

/// VMs above which there are many.
const MANY_VMS: usize = 64;

/// Threads that ask, so that one silent upstream does not delay the others.
const WORKERS: usize = 4;

/// Stack of a worker, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Asks each upstream for its load, again and again.
pub(super) fn poll(node: &Arc<Node>) {
    let workers: Vec<SyncSender<UpstreamSpec>> =
        (0..WORKERS).filter_map(|_| start_worker(node)).collect();
    let mut asked_at = BTreeMap::<UpstreamId, Instant>::new();
    let mut turn = 0;
    loop {
        let upstreams = node.dispatcher.considered_upstreams();
        let is_many = node.membership().alive() > MANY_VMS;
        let spacing = if is_many { SPACING_MANY_VMS } else { SPACING };
        asked_at.retain(|id, _| upstreams.iter().any(|it| it.id == *id));
        for upstream in upstreams {
            thread::sleep(spacing);
            let is_due = asked_at.get(&upstream.id).is_none_or(|it| it.elapsed() >= MIN_PERIOD);
            if !is_due {
                continue;
            }
            asked_at.insert(upstream.id.clone(), Instant::now());
            turn += 1;
            hand_out(&workers, turn, upstream);
        }
        thread::sleep(spacing);
    }
}

/// Gives an upstream to the first worker that is free, starting at `turn`.
fn hand_out(workers: &[SyncSender<UpstreamSpec>], turn: usize, mut upstream: UpstreamSpec) {
    for offset in 0..workers.len() {
        let worker = &workers[(turn + offset) % workers.len()];
        match worker.try_send(upstream) {
            Ok(()) => return,
            Err(TrySendError::Full(back) | TrySendError::Disconnected(back)) => upstream = back,
        }
    }
}

fn start_worker(node: &Arc<Node>) -> Option<SyncSender<UpstreamSpec>> {
    let (sender, receiver) = sync_channel(1);
    let node = node.clone();
    let thread = thread::Builder::new().name("load".to_owned()).stack_size(STACK_BYTES);
    thread.spawn(move || work(&node, &receiver)).ok()?;
    Some(sender)
}

fn work(node: &Node, upstreams: &Receiver<UpstreamSpec>) {
    while let Ok(upstream) = upstreams.recv() {
        match fetch_status(upstream.address) {
            Some(status) => report(node, upstream.id, &status),
            None => node.dispatcher.handle(Event::LoadMissing { upstream: upstream.id }),
        }
    }
}

fn report(node: &Node, upstream: UpstreamId, status: &EngineStatus) {
    node.hear_upstream(&upstream, status.leaving);
    let report = status.load_report();
    node.dispatcher.handle(Event::LoadReported { upstream, report });
}
