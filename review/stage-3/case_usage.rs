//! A machine freezes and wakes again: how often are its requests counted?

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::client;
use crate::client::Call;
use crate::cloud::Cloud;
use crate::deployment::Deployment;
use crate::deployment::READ;
use crate::record::Record;
use crate::unix_ms;

/// `reportWindowS`, `usageLateS` and `usageTolerance`.
const WINDOW_MS: u64 = 5_000;
const LATE_MS: u64 = 10_000;
const TOLERANCE: f64 = 0.05;

/// Time for which a machine stands still; it begins at this time of a window. A machine that does so across the
/// end of a window is counted right.
const FREEZE: Duration = Duration::from_millis(4_000);
const FREEZE_AT_MS: u64 = 850;

/// Number of windows from one such fault to the next.
const PERIOD: u64 = 3;

/// Number of faults.
const FREEZES: u64 = 4;

/// Time between two requests of a client.
const GAP: Duration = Duration::from_millis(20);

const KEY: &str = "n2ctnfzs989anu6wsjnb";

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let cloud = Cloud::start();
    let tenants = format!("[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]");
    let deployment = Deployment::start(3, &tenants, 800, Some(cloud.address));
    let wait_end = Instant::now() + Duration::from_secs(30);
    while cloud.reports().is_empty() {
        if Instant::now() > wait_end {
            crate::give_up("no usage is reported");
        }
        thread::sleep(Duration::from_millis(50));
    }
    let first = unix_ms() / WINDOW_MS + 1;
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = deployment
        .nodes
        .iter()
        .enumerate()
        .map(|(client, node)| {
            let (front, is_over) = (node.front, is_over.clone());
            thread::spawn(move || call_until(front, client, &is_over))
        })
        .collect();
    for fault in 0..FREEZES {
        sleep_until((first + 1 + PERIOD * fault) * WINDOW_MS + FREEZE_AT_MS);
        let holder = cloud.reports().last().map(|it| it.holder.clone()).unwrap_or_default();
        let frozen = deployment.nodes.iter().find(|it| it.name != holder).expect("three machines");
        if has_trouble {
            frozen.signal("STOP");
            record.line(&format!("{} freezes in window {}", frozen.name, unix_ms() / WINDOW_MS));
            thread::sleep(FREEZE);
            frozen.signal("CONT");
            record.line(&format!("{} wakes in window {}", frozen.name, unix_ms() / WINDOW_MS));
        }
    }
    let last = first + PERIOD * FREEZES;
    sleep_until((last + 1) * WINDOW_MS);
    is_over.store(true, Ordering::SeqCst);
    let sent: usize = clients.into_iter().filter_map(|it| it.join().ok()).sum();
    // Until the report of the last window is due.
    sleep_until((last + 1) * WINDOW_MS + LATE_MS);
    let runs: Vec<u64> = deployment.workers.iter().flat_map(|it| it.runs()).map(|it| it.at_ms / WINDOW_MS).collect();
    record.line(&format!("{sent} requests were answered with success, {} ran", runs.len()));
    let mut off = 0;
    for window in first..=last {
        let begun = runs.iter().filter(|it| **it == window).count() as u64;
        let reports = cloud.reports();
        let Some(report) = reports.iter().find(|it| it.window == window) else {
            record.line(&format!("window {window}: {begun} requests of hule930 began; no report"));
            continue;
        };
        let reported = report.counts.get("hule930").copied().unwrap_or(0);
        let error = reported as f64 / begun as f64 - 1.0;
        // A missing report may be owed to the fault; one with too many requests is not.
        let is_off = error > TOLERANCE;
        off += u32::from(is_off);
        record.line(&format!(
            "window {window}: {begun} requests of hule930 began; {} with token {} reported {reported} ({:+.1} %){}",
            report.holder,
            report.fencing,
            100.0 * error,
            if is_off { ", off" } else { "" }
        ));
    }
    record.line(&format!("{off} reports counted more requests than began, beyond the tolerance"));
    if off > 0 { Outcome::Broken } else { Outcome::Held }
}

fn sleep_until(unix_time_ms: u64) {
    thread::sleep(Duration::from_millis(unix_time_ms.saturating_sub(unix_ms())));
}

/// Sends requests to a machine, one after the other. Returns how many were answered with success.
fn call_until(front: SocketAddr, client: usize, is_over: &AtomicBool) -> usize {
    let (mut sent, mut served) = (0, 0);
    while !is_over.load(Ordering::SeqCst) {
        sent += 1;
        let id = format!("{client:04x}{sent:012x}");
        let call = Call { path: READ, id: &id, key: Some(KEY), deadline_ms: 1_500 };
        served += usize::from(client::call(front, &call).is_ok_and(|it| it.status() == 200));
        thread::sleep(GAP);
    }
    served
}
