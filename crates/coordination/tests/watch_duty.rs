//! Which VMs read a source, and when they begin to.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::watch::JOIN_TIME;
use cranberryvalve_coordination::watch::WatchDuty;

/// Time after its start from which a VM must know what the source has acknowledged (`contactMs`).
const CONTACT_TIME: Duration = Duration::from_secs(3);

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
