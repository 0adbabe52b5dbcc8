//! Releases of ledger rows are carried out in rounds.

use std::time::Instant;

use cranberryvalve_coordination::ledger::Claim;
use cranberryvalve_coordination::ledger::ClaimStep;
use cranberryvalve_coordination::ledger::Release;
use cranberryvalve_coordination::releases::Releases;
use cranberryvalve_coordination::store::StoreReply;
use cranberryvalve_coordination::store::WriteResult;
use cranberryvalve_core::Digest;

fn release() -> Release {
    let (mut claim, _) = Claim::new("ledger/a".into(), "t".into(), Digest::of(b"call"), Some(0));
    let step = claim.on_reply(StoreReply::Write(WriteResult::Written(1)));
    let ClaimStep::Granted(permit) = step else { panic!("the claim is not granted: {step:?}") };
    permit.release()
}

#[test]
fn releases_that_are_being_tried_are_unfinished() {
    let now = Instant::now();
    let mut releases = Releases::default();
    assert!(releases.add(release()));
    let due = releases.start_round(now, Some(0));
    assert_eq!((releases.waiting(), releases.unfinished()), (0, 1));
    releases.end_round(now, due);
    assert_eq!((releases.waiting(), releases.unfinished()), (1, 1));
    let mut due = releases.start_round(now, Some(0));
    due[0].start();
    due[0].on_reply(&StoreReply::Write(WriteResult::Written(2)));
    releases.end_round(now, due);
    assert_eq!(releases.unfinished(), 0);
}
