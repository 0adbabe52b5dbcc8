//! The faults that the campaign injects.

use std::time::Duration;

use cranberryvalve_standins::cluster::Cluster;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fault {
    StoreDown,
    StoreSlow,
    StoreRepliesLost,
    VmKilled,
    VmPaused,
    EngineCuts,
    EngineSilent,
    EngineScrambles,
    EngineSlow,
    EngineLeaves,
    ServiceCuts,
    ServiceRefuses,
}

const ALL: [Fault; 12] = [
    Fault::StoreDown,
    Fault::StoreSlow,
    Fault::StoreRepliesLost,
    Fault::VmKilled,
    Fault::VmPaused,
    Fault::EngineCuts,
    Fault::EngineSilent,
    Fault::EngineScrambles,
    Fault::EngineSlow,
    Fault::EngineLeaves,
    Fault::ServiceCuts,
    Fault::ServiceRefuses,
];

impl Fault {
    /// Draws two different faults at random.
    pub(super) fn pair(rng: &mut Pcg64Mcg) -> [Self; 2] {
        let first = rng.random_range(0..ALL.len());
        let second = (first + rng.random_range(1..ALL.len())) % ALL.len();
        [ALL[first], ALL[second]]
    }

    /// Injects the fault; `vm` and `engine` are the indexes of those it affects, if it is one of a VM
    /// or an engine.
    pub(super) fn start(self, cluster: &mut Cluster, [vm, engine]: [usize; 2]) {
        let (platform, engine) = (&cluster.platform, &cluster.engines[engine]);
        match self {
            Self::StoreDown => platform.set_faults(|it| it.down = true),
            Self::StoreSlow => platform.set_faults(|it| it.delay = Duration::from_millis(600)),
            Self::StoreRepliesLost => platform.set_faults(|it| it.lost_write_replies = 12),
            Self::VmKilled => cluster.vms[vm].kill(),
            Self::VmPaused => cluster.vms[vm].pause(),
            Self::EngineCuts => engine.set_faults(|it| it.cut_after_tokens = Some(6)),
            Self::EngineSilent => engine.set_faults(|it| it.stall_after_tokens = Some(4)),
            Self::EngineScrambles => engine.set_faults(|it| it.reorders_chunks = true),
            Self::EngineSlow => engine.set_faults(|it| it.slowdown = 8),
            Self::EngineLeaves => engine.set_faults(|it| it.leaving = true),
            Self::ServiceCuts => cluster.services[0].set_faults(|it| it.cut_after_effect = true),
            Self::ServiceRefuses => cluster.services[0].set_faults(|it| it.rejecting = true),
        }
    }

    /// Removes the fault. A killed VM is started again.
    pub(super) fn stop(self, cluster: &mut Cluster, [vm, engine]: [usize; 2]) {
        match self {
            Self::StoreDown | Self::StoreSlow | Self::StoreRepliesLost => {
                cluster.platform.set_faults(|it| *it = Default::default());
            }
            Self::VmKilled => {
                let program = cluster.vms[vm].settings.program.clone();
                // A VM that does not start is found at the end of the round.
                let _ = cluster.vms[vm].restart(&program);
            }
            Self::VmPaused => cluster.vms[vm].resume(),
            Self::ServiceCuts | Self::ServiceRefuses => {
                cluster.services[0].set_faults(|it| *it = Default::default());
            }
            _ => cluster.engines[engine].set_faults(|it| *it = Default::default()),
        }
    }
}
