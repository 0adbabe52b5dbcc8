//! The store gives no response for two seconds. Over three seconds later the operator takes a key away
//! and moves a route.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::stage::CONFIG_APPLY;
use crate::stage::CONTACT;
use crate::stage::NEW_SERVICE;
use crate::stage::OLD_SERVICE;
use crate::stage::Outcome;
use crate::stage::Stage;
use crate::stage::config;

/// Machines of the smaller deployments on the sheets.
const ZONES: [(&str, usize); 3] = [("chc-a", 3), ("chc-b", 3), ("chc-c", 2)];

const OUTAGE: Duration = Duration::from_secs(2);

/// Time from the end of the outage to the change; the core is stable from `contactMs` on.
const CALM: Duration = Duration::from_millis(3_300);

pub fn play(has_trouble: bool) -> Result<Outcome, String> {
    let mut stage = Stage::start(&ZONES)?;
    stage.note("all machines are ready");
    stage.start_clients();
    // The machines find each other.
    thread::sleep(Duration::from_secs(8));
    stage.store.put("op", "config", &config(14, OLD_SERVICE, true, 900));
    stage.note("the store has acknowledged version 14 (another time-out)");
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        stage.doors.iter().for_each(|it| it.silence());
        stage.note("the store gives no response");
    }
    thread::sleep(OUTAGE);
    if has_trouble {
        stage.doors.iter().for_each(|it| it.restore());
        stage.note("the store responds again");
    }
    let calm_since = Instant::now();
    thread::sleep(CALM);
    stage.store.put("op", "config", &config(23, NEW_SERVICE, false, 900));
    let acknowledged_at = Instant::now();
    stage.note("the store has acknowledged version 23 (a key is gone, the route leads to the new service)");
    thread::sleep(Duration::from_secs(10));
    stage.stop_clients();
    let machines: Vec<usize> = (0..stage.nodes.len()).collect();
    if !stage.nodes.iter_mut().all(|it| it.runs()) {
        return Err("a process has ended".to_owned());
    }
    if stage.served(acknowledged_at - Duration::from_secs(1), acknowledged_at, &machines) == 0 {
        return Err("nothing is served before the change".to_owned());
    }
    if acknowledged_at - calm_since < CONTACT {
        return Err("the core was not stable yet".to_owned());
    }
    let stale = stage.stale_runs(acknowledged_at + CONFIG_APPLY, &machines);
    for machine in &machines {
        let name = stage.nodes[*machine].name.clone();
        let first = stage.first_new(acknowledged_at, *machine);
        let first = first.map_or("never".to_owned(), |it| format!("{:.3} s after it", it.as_secs_f64()));
        stage.note(&format!("{name}: first answer by version 23 {first}"));
    }
    let last = stale.iter().map(|it| it.sent.at - acknowledged_at).max().unwrap_or_default();
    let dropped = stale.iter().filter(|it| it.sent.has_dropped_key).count();
    let old = stale.iter().filter(|it| it.run.service == OLD_SERVICE).count();
    let summary = format!(
        "{} requests sent later than 2 s after the acknowledgement were handled by an older version \
         ({dropped} with the dropped key, {old} by the old service); the last one was sent {:.1} s after it",
        stale.len(),
        last.as_secs_f64()
    );
    Ok(Outcome { is_broken: !stale.is_empty(), summary, record: stage.record() })
}
