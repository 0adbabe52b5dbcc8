//! All keys are taken away: whose requests run then?

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::client;
use crate::client::Call;
use crate::deployment::BOOK;
use crate::deployment::Deployment;
use crate::deployment::config;
use crate::record::Record;

/// The keys of the only tenant.
const KEYS: [&str; 2] = ["n2ctnfzs989anu6wsjnb", "anfqasnmgkcuyj8pjbvk"];

/// A key that no configuration holds.
const FOREIGN_KEY: &str = "q7wz0c4hd5vy1k8mbt2e";

/// Time between the versions that take a key each.
const REVOKE_GAP: Duration = Duration::from_millis(1_500);

/// `configApplyMs`, and a second more.
const APPLY_TIME: Duration = Duration::from_millis(3_000);

/// Time for which requests are sent afterwards.
const CALL_TIME: Duration = Duration::from_secs(3);

fn tenant(keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|it| format!("\"{it}\"")).collect();
    format!("[{{\"name\":\"hule930\",\"apiKeys\":[{}],\"priority\":1}}]", keys.join(","))
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let deployment = Deployment::start(2, &tenant(&KEYS), 800, None);
    let mut number = 0;
    let mut send = |name: &str, key: Option<&str>| {
        number += 1;
        let id = format!("{number:016x}");
        let node = &deployment.nodes[number % deployment.nodes.len()];
        let call = Call { path: BOOK, id: &id, key, deadline_ms: 1_500 };
        let status = client::call(node.front, &call).map_or(0, |it| it.status());
        let runs: Vec<_> = deployment.workers.iter().flat_map(|it| it.runs()).filter(|it| it.request == id).collect();
        let tenant = runs.first().and_then(|it| it.tenant.clone()).unwrap_or_else(|| "-".to_owned());
        let is_run = if runs.is_empty() { "not run" } else { "run" };
        record.line(&format!("request {id} at {} with {name}: {status}, {is_run}, tenant {tenant}", node.name));
        (status, !runs.is_empty())
    };
    // Each process has the configuration.
    for _ in 0..2 {
        let (status, is_run) = send("a key of the tenant", Some(KEYS[0]));
        if status != 200 || !is_run {
            crate::give_up("a proper request is not served");
        }
    }
    for _ in 0..2 {
        if send("a key that no configuration held", Some(FOREIGN_KEY)) != (401, false) {
            crate::give_up("a foreign key is not refused before the trouble");
        }
    }
    deployment.store.put("op", "config", &config(9, &tenant(&KEYS[1..])));
    record.line("the operator has taken the first key away (version 9)");
    thread::sleep(REVOKE_GAP);
    if has_trouble {
        deployment.store.put("op", "config", &config(12, "[]"));
        record.line("the operator has taken the last key away, and with it the tenant (version 12)");
    }
    thread::sleep(APPLY_TIME);
    let (mut foreign_runs, end) = (0, Instant::now() + CALL_TIME);
    while Instant::now() < end {
        foreign_runs += u32::from(send("a key that no configuration held", Some(FOREIGN_KEY)).1);
        foreign_runs += u32::from(send("no key", None).1);
        send("a key that was taken away", Some(KEYS[0]));
        thread::sleep(Duration::from_millis(200));
    }
    record.line(&format!("{foreign_runs} requests ran whose key no configuration ever held"));
    if foreign_runs > 0 { Outcome::Broken } else { Outcome::Held }
}
