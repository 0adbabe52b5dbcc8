//! Dump of the state of the process.

use cranberryvalve_coordination::builds::MemberBuild;
use cranberryvalve_coordination::membership::MemberUpdate;
use cranberryvalve_coordination::replica::Freshness;
use cranberryvalve_core::Digest;
use cranberryvalve_policy::RouterSnapshot;
use serde::Serialize;

use crate::node::Node;

/// Snapshot of the state of the process.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct Dump {
    vm: String,
    failure_domain: String,
    started_unix_ms: u64,
    ready: bool,
    draining: bool,
    config: ConfigState,
    store_calls_refused: bool,
    releases_waiting: usize,
    members: Vec<MemberUpdate>,
    members_alive: usize,
    member_builds: Vec<MemberBuild>,
    router: RouterSnapshot,
}

#[derive(Debug)]
#[derive(Serialize)]
struct ConfigState {
    version: u64,
    digest: Digest,
    freshness: &'static str,
}

/// Collects the current state.
pub(super) fn collect(node: &Node) -> Dump {
    let freshness = match node.freshness() {
        Freshness::Missing => "missing",
        Freshness::Current => "current",
        Freshness::Stale => "stale",
    };
    let config = {
        let replica = node.replica();
        ConfigState { version: replica.version(), digest: replica.digest().clone(), freshness }
    };
    let (members, members_alive, member_builds) = {
        let membership = node.membership();
        let member_builds = node.builds().members(&membership);
        (membership.list(), membership.alive_count(), member_builds)
    };
    Dump {
        vm: node.settings.vm.to_string(),
        failure_domain: node.settings.failure_domain.to_string(),
        started_unix_ms: node.started_unix_ms,
        ready: node.is_ready(),
        draining: node.is_draining(),
        config,
        store_calls_refused: node.store.rejects_calls(),
        releases_waiting: node.releases().waiting(),
        members,
        members_alive,
        member_builds,
        router: node.dispatcher.snapshot(),
    }
}
