//! Reads of the store's record that prove a sole version, and copies of origins.

use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::origins::StreamKey;
use cranberryvalve_coordination::origins::StreamOrigin;
use cranberryvalve_coordination::versions::VersionRecord;
use cranberryvalve_core::SoftwareVersion;
use cranberryvalve_policy::scheduler::UpstreamRecord;

use super::ReadId;
use super::Streams;
use super::UncopiedStreams;

const POOL: &str = "engines";

/// Time between two looks at what another thread does.
const LOOK_INTERVAL: Duration = Duration::from_millis(1);

fn record(versions: &[&str]) -> VersionRecord {
    let versions = versions.iter().map(|it| SoftwareVersion::from(*it)).collect();
    VersionRecord { pool: POOL.into(), versions, revision: 1 }
}

/// Streams of a VM that knows one version.
fn streams() -> Arc<Streams> {
    let streams = Streams::new(Instant::now());
    streams.merge(&[record(&["v1"])], true);
    Arc::new(streams)
}

/// Lets a call wait for a confirmation, and returns the number of the read for it.
fn request(streams: &Arc<Streams>) -> (JoinHandle<Option<SoftwareVersion>>, ReadId) {
    let caller = streams.clone();
    let confirmed = thread::spawn(move || caller.confirm_sole_version(POOL));
    loop {
        if let Some(read) = streams.begin_confirmation() {
            return (confirmed, read);
        }
        thread::sleep(LOOK_INTERVAL);
    }
}

#[test]
fn read_that_began_before_the_call_proves_nothing() {
    let streams = streams();
    let (_, early) = request(&streams);
    let (confirmed, _) = request(&streams);
    streams.end_confirmation(early, vec![record(&["v1"])]);
    assert_eq!(confirmed.join().expect("no panic"), None);
}

#[test]
fn read_that_began_after_the_call_proves_a_sole_version() {
    let streams = streams();
    for (versions, sole) in [(vec!["v1"], Some("v1".into())), (vec!["v1", "v2"], None)] {
        let (confirmed, read) = request(&streams);
        streams.end_confirmation(read, vec![record(&versions)]);
        assert_eq!(confirmed.join().expect("no panic"), sole);
    }
}

#[test]
fn a_vm_that_was_in_a_minority_doubts_until_it_has_read_the_record() {
    let streams = streams();
    streams.record_minority();
    let (_, read) = request(&streams);
    assert!(streams.was_minority());
    streams.end_confirmation(read, vec![record(&["v1"])]);
    assert!(!streams.was_minority());
}

const STREAM: StreamKey = 7;

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin { pool: POOL.into(), software_version: version.into() }
}

fn engine(incarnation: u64, version: &str) -> UpstreamRecord {
    UpstreamRecord {
        id: "engine-1".into(),
        pool: POOL.into(),
        address: ([10, 0, 0, 1], 8_000).into(),
        failure_domain: "a".into(),
        slots: 8,
        is_leaving: false,
        incarnation,
        software_version: version.into(),
    }
}

/// A copy that was not told of a restart of the upstream named the version of before.
#[test]
fn doubted_copies_change() {
    let streams = streams();
    streams.observe(&[engine(1, "v1")]);
    let running = streams.begin(STREAM, &engine(1, "v1"));
    streams.record_own(STREAM, origin("v1"));
    assert_eq!(streams.take_uncopied().untold, [(STREAM, origin("v1"))]);
    assert_eq!(streams.take_uncopied(), UncopiedStreams::default());
    streams.observe(&[engine(2, "v1")]);
    let untold = streams.take_uncopied().untold;
    assert_eq!(untold, [(STREAM, StreamOrigin::uncertain(POOL.into()))]);
    drop(running);
}

/// Copies were kept to themselves, so that the coordinators did not know the streams.
#[test]
fn mixed_copies_are_told() {
    let streams = streams();
    streams.observe(&[engine(1, "v1")]);
    assert_eq!(streams.record_copies(vec![(STREAM, origin("v1"))]), []);
    assert_eq!(streams.origin(STREAM), None);
    let told = streams
        .observe(&[engine(1, "v1"), UpstreamRecord { id: "engine-2".into(), ..engine(1, "v2") }]);
    assert_eq!(told, [(STREAM, origin("v1"))]);
    assert_eq!(streams.record_copies(vec![(8, origin("v1"))]), [(8, origin("v1"))]);
}

/// Streams that run when a second version appears were missing in the store.
#[test]
fn mixed_streams_are_recorded() {
    let streams = streams();
    streams.observe(&[engine(1, "v1")]);
    let running = streams.begin(STREAM, &engine(1, "v1"));
    streams.record_own(STREAM, origin("v1"));
    assert_eq!(streams.take_uncopied().untold, [(STREAM, origin("v1"))]);
    let second = UpstreamRecord { id: "engine-2".into(), ..engine(1, "v2") };
    streams.observe(&[engine(1, "v1"), second]);
    assert_eq!(streams.take_uncopied().told, [(STREAM, origin("v1"))]);
    assert_eq!(streams.take_uncopied(), UncopiedStreams::default());
    drop(running);
}
