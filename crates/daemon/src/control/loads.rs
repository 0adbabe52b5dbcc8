//! Polls the load of the upstreams.

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

/// Minimum interval between requests to the same upstream.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Delay between any two requests, which bounds the cost of polling for a VM.
///
/// With many upstreams it lengthens the polling interval of each.
const REQUEST_SPACING: Duration = Duration::from_millis(40);

/// Delay between requests in a large deployment, where more VMs share the budget for control
/// traffic.
const REQUEST_SPACING_MANY_VMS: Duration = Duration::from_millis(80);

/// Number of VMs above which a deployment is large.
const MANY_VMS: usize = 64;

/// Number of polling threads; several keep one silent upstream from delaying the others.
const WORKERS: usize = 4;

/// Stack size of a worker thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Polls the load of each upstream periodically.
pub(super) fn poll(node: &Arc<Node>) {
    let workers: Vec<SyncSender<UpstreamSpec>> =
        (0..WORKERS).filter_map(|_| start_worker(node)).collect();
    let mut polled_at = BTreeMap::<UpstreamId, Instant>::new();
    let mut first_worker = 0;
    loop {
        let upstreams = node.dispatcher.subset_upstreams();
        let has_many_vms = node.membership().alive_count() > MANY_VMS;
        let spacing = if has_many_vms { REQUEST_SPACING_MANY_VMS } else { REQUEST_SPACING };
        polled_at.retain(|id, _| upstreams.iter().any(|it| it.id == *id));
        for upstream in upstreams {
            thread::sleep(spacing);
            let is_due =
                polled_at.get(&upstream.id).is_none_or(|it| it.elapsed() >= MIN_POLL_INTERVAL);
            if !is_due {
                continue;
            }
            polled_at.insert(upstream.id.clone(), Instant::now());
            first_worker += 1;
            assign(&workers, first_worker, upstream);
        }
        thread::sleep(spacing);
    }
}

/// Assigns an upstream to the first free worker, trying them round-robin from `first` on.
///
/// The upstream is skipped if no worker is free.
fn assign(workers: &[SyncSender<UpstreamSpec>], first: usize, mut upstream: UpstreamSpec) {
    for offset in 0..workers.len() {
        let worker = &workers[(first + offset) % workers.len()];
        match worker.try_send(upstream) {
            Ok(()) => return,
            Err(TrySendError::Full(spec) | TrySendError::Disconnected(spec)) => upstream = spec,
        }
    }
}

fn start_worker(node: &Arc<Node>) -> Option<SyncSender<UpstreamSpec>> {
    let (sender, receiver) = sync_channel(1);
    let node = node.clone();
    let thread = thread::Builder::new().name("load".to_owned()).stack_size(STACK_BYTES);
    thread.spawn(move || run_worker(&node, &receiver)).ok()?;
    Some(sender)
}

fn run_worker(node: &Node, upstreams: &Receiver<UpstreamSpec>) {
    while let Ok(upstream) = upstreams.recv() {
        match fetch_status(upstream.address) {
            Some(status) => report(node, upstream.id, &status),
            None => node.dispatcher.handle(Event::LoadReportFailed { upstream: upstream.id }),
        }
    }
}

fn report(node: &Node, upstream: UpstreamId, status: &EngineStatus) {
    node.on_upstream_report(&upstream, status.leaving);
    let report = status.load_report();
    node.dispatcher.handle(Event::LoadReported { upstream, report });
}
