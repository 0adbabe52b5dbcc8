//! Three of ten machines are lost at once: those that read the store for the others of their zone. Right
//! after that the operator takes a key away and moves a route.

use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::stage::CONFIG_APPLY;
use crate::stage::NEW_SERVICE;
use crate::stage::OLD_SERVICE;
use crate::stage::Outcome;
use crate::stage::Stage;
use crate::stage::config;

const ZONES: [(&str, usize); 1] = [("chc-a", 10)];

/// Number of machines that are lost.
const LOST: usize = 3;

pub fn play(has_trouble: bool) -> Result<Outcome, String> {
    let mut stage = Stage::start(&ZONES)?;
    stage.note("all machines are ready");
    stage.start_clients();
    // The machines find each other, and their first long polls end.
    thread::sleep(Duration::from_secs(16));
    let since = Instant::now() - Duration::from_secs(6);
    let reads: Vec<usize> =
        stage.doors.iter().map(|it| it.calls_since(since, "/-/rows-feed")).collect();
    let mut machines: Vec<usize> = (0..stage.nodes.len()).collect();
    machines.sort_by_key(|it| std::cmp::Reverse(reads[*it]));
    let others = machines.split_off(LOST);
    let names = |machines: &[usize]| -> String {
        let names: Vec<String> = machines.iter().map(|it| stage.nodes[*it].name.clone()).collect();
        names.join(", ")
    };
    let text = format!("{} are lost (calls for changes in the 6 s before: {reads:?})", names(&machines));
    if has_trouble {
        machines.iter().for_each(|it| stage.nodes[*it].signal("KILL"));
        stage.note(&text);
    }
    thread::sleep(Duration::from_millis(50));
    stage.store.put("op", "config", &config(23, NEW_SERVICE, false, 800));
    let acknowledged_at = Instant::now();
    stage.note("the store has acknowledged version 23 (a key is gone, the route leads to the new service)");
    thread::sleep(Duration::from_secs(8));
    stage.stop_clients();
    if !others.iter().all(|it| stage.nodes[*it].runs()) {
        return Err("a further process has ended".to_owned());
    }
    if stage.served(acknowledged_at - Duration::from_secs(1), acknowledged_at, &others) == 0 {
        return Err("nothing is served before the change".to_owned());
    }
    let stale = stage.stale_runs(acknowledged_at + CONFIG_APPLY, &others);
    for machine in &others {
        let name = stage.nodes[*machine].name.clone();
        let first = stage.first_new(acknowledged_at, *machine);
        let first = first.map_or("never".to_owned(), |it| format!("{:.3} s after it", it.as_secs_f64()));
        stage.note(&format!("{name}: first answer by version 23 {first}"));
    }
    let last = stale.iter().map(|it| it.sent.at - acknowledged_at).max().unwrap_or_default();
    let dropped = stale.iter().filter(|it| it.sent.has_dropped_key).count();
    let old = stale.iter().filter(|it| it.run.service == OLD_SERVICE).count();
    let summary = format!(
        "{} requests sent to the other machines, later than 2 s after the acknowledgement, were handled by an \
         older version ({dropped} with the dropped key, {old} by the old service); \
         the last one was sent {:.1} s after it",
        stale.len(),
        last.as_secs_f64()
    );
    Ok(Outcome { is_broken: !stale.is_empty(), summary, record: stage.record() })
}
