//! A VM suspects its links only if nothing shows that it reaches an upstream.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::reachability::Forwarder;
use cranberryvalve_coordination::reachability::Reachability;
use cranberryvalve_coordination::reachability::UpstreamCount;
use quickcheck::quickcheck;

const COUNT: UpstreamCount = UpstreamCount { total: 12, failure_domains: 3 };

fn forwarder(number: u8, failure_domain: &str) -> Forwarder {
    Forwarder {
        vm: format!("vm-{number}").into(),
        address: ([10, 0, 0, number], 7_340).into(),
        failure_domain: failure_domain.into(),
    }
}

fn names(forwarders: &[Forwarder]) -> Vec<&str> {
    forwarders.iter().map(|it| &*it.vm).collect()
}

#[test]
fn one_failure_domain_is_not_the_vm() {
    let (now, mut reachability) = (Instant::now(), Reachability::new("a".into()));
    for number in 0..4 {
        reachability.record_unreachable(now, format!("e-{number}").into(), "b".into());
    }
    assert!(!reachability.is_suspect(now, COUNT));
    reachability.record_unreachable(now, "e-9".into(), "c".into());
    assert!(reachability.is_suspect(now, COUNT));
}

#[test]
fn a_single_upstream_is_enough_if_there_is_no_other() {
    let (now, mut reachability) = (Instant::now(), Reachability::new("a".into()));
    let only = UpstreamCount { total: 1, failure_domains: 1 };
    assert!(!reachability.is_suspect(now, UpstreamCount::default()));
    reachability.record_unreachable(now, "e-1".into(), "b".into());
    assert!(reachability.is_suspect(now, only));
    assert!(!reachability.is_suspect(now, UpstreamCount::default()));
}

#[test]
fn failures_are_forgotten() {
    let (now, mut reachability) = (Instant::now(), Reachability::new("a".into()));
    reachability.record_unreachable(now, "e-1".into(), "a".into());
    reachability.record_unreachable(now, "e-2".into(), "b".into());
    assert!(!reachability.is_suspect(now + Duration::from_secs(5), COUNT));
}

#[test]
fn near_vms_forward_first_and_take_turns() {
    let (now, mut reachability) = (Instant::now(), Reachability::new("a".into()));
    for (number, domain) in [(1, "b"), (2, "a"), (3, "a")] {
        reachability.record_offer(now, forwarder(number, domain));
    }
    assert_eq!(names(&reachability.next_forwarders(now)), ["vm-2", "vm-3", "vm-1"]);
    assert_eq!(names(&reachability.next_forwarders(now)), ["vm-3", "vm-2", "vm-1"]);
    let later = now + Duration::from_secs(1);
    reachability.record_offer(later, forwarder(1, "b"));
    let expired = now + Duration::from_millis(1_500);
    assert_eq!(names(&reachability.next_forwarders(expired)), ["vm-1"]);
    assert!(!reachability.has_forwarder(later + Duration::from_millis(1_500)));
}

quickcheck! {
    fn a_connection_ends_all_suspicion(failures: Vec<(u8, u8)>) -> bool {
        let (now, mut reachability) = (Instant::now(), Reachability::new("a".into()));
        for (upstream, domain) in failures {
            reachability.record_unreachable(now, format!("e-{upstream}").into(), format!("{domain}").into());
        }
        reachability.record_connected();
        !reachability.is_suspect(now, COUNT)
    }
}
