//! Which VMs read a source, and when they begin to.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::watch::JOIN_TIME;
use cranberryvalve_coordination::watch::WatchDuty;
use cranberryvalve_core::VmId;

/// Time after its start from which a VM must know what the source has acknowledged (`contactMs`).
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after its acknowledgement in which a configuration takes effect everywhere (`configApplyMs`).
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time for a read of the source by a slow VM.
const READ_TIME: Duration = Duration::from_millis(250);

#[test]
fn a_vm_that_is_alone_reads_again_as_soon_as_it_has_joined() {
    let start = Instant::now();
    let duty = WatchDuty::new(start);
    let own = "vm-1".into();
    // It checks first when it has read the source at its start.
    for first_check_ms in 0..JOIN_TIME.as_millis() as u64 {
        let mut now = start + Duration::from_millis(first_check_ms);
        while !duty.is_reader(now, &own, std::slice::from_ref(&own)) {
            now += duty.check_delay(now);
        }
        let begun_after = now - start;
        assert!(begun_after >= JOIN_TIME);
        assert!(begun_after + READ_TIME <= CONTACT_TIME, "{begun_after:?}");
    }
}

#[test]
fn exactly_one_sound_vm_is_the_first_reader_while_others_fail() {
    let now = Instant::now() + JOIN_TIME;
    let vms = (0..6).map(|it| format!("vm-{it}").into()).collect::<Vec<VmId>>();
    let mut duty = WatchDuty::new(now);
    let mut sound = vms.clone();
    while !sound.is_empty() {
        let first = |it: &&VmId| duty.is_first_reader(now, it, &vms);
        let readers = sound.iter().filter(first).cloned().collect::<Vec<VmId>>();
        assert_eq!(readers.len(), 1, "{readers:?} of {sound:?}");
        duty.on_report(now, &readers[0], false);
        sound.retain(|it| *it != readers[0]);
    }
}

/// VMs whose watchers were all lost went by the configuration of before for longer than is allowed.
#[test]
fn lost_watchers() {
    let vms = (0..10).map(|it| format!("vm-{it}").into()).collect::<Vec<VmId>>();
    let start = Instant::now();
    let reported_at = start + JOIN_TIME;
    let is_watcher = |it: &&VmId| WatchDuty::new(start).is_reader(reported_at, it, &vms);
    let watchers = vms.iter().filter(is_watcher).collect::<Vec<&VmId>>();
    let takeover_time = |own: &VmId| {
        let mut duty = WatchDuty::new(start);
        watchers.iter().for_each(|it| duty.on_report(reported_at, it, true));
        let mut now = reported_at;
        while !duty.is_reader(now, own, &vms) {
            now += duty.check_delay(now);
        }
        now - reported_at
    };
    let others = vms.iter().filter(|it| !watchers.contains(it));
    let first = others.map(takeover_time).min().expect("a VM");
    assert!(first + READ_TIME <= APPLY_TIME, "{first:?}");
}
