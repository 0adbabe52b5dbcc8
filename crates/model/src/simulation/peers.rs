//! Messages between the VMs.

use cranberryvalve_policy::scheduler::Call;
use cranberryvalve_policy::scheduler::SchedulerEvent;

use super::Simulation;
use super::deployment::engine_index_of;
use super::deployment::vm_name;
use crate::fleet::PlacementPolicy;
use crate::vm::Vm;
use crate::vm::engine_index;

/// Maximum number of decode paces in one message between VMs.
const MAX_PACES_PER_MESSAGE: usize = 24;

impl Simulation<'_> {
    /// A VM requests the other VMs' load at the likely engines from the load coordinators.
    pub(super) fn request_loads(&mut self, vm: usize, call: &Call) {
        let now = self.instant();
        let Some(scheduler) = self.vms[vm].scheduler() else { return };
        let candidates = scheduler.load_query_candidates(now, call);
        let name = vm_name(vm);
        let mut loads = Vec::new();
        for record in candidates {
            let coordinator = self.load_coordinators[engine_index(&record)];
            if let Some(scheduler) = self.vms[coordinator].scheduler().filter(|_| coordinator != vm)
            {
                loads.extend(scheduler.loads_excluding(now, &name, &[record.id]));
                self.messages += 2;
            }
        }
        self.vms[vm].handle(now, SchedulerEvent::CoordinatorLoads(loads));
    }

    /// A VM reports its load, at all engines or at `only` one, to the load coordinators.
    pub(super) fn report_loads(&mut self, vm: usize, only: Option<usize>) {
        let now = self.instant();
        let Some(scheduler) = self.vms[vm].scheduler() else { return };
        if self.policy != PlacementPolicy::Coordinated {
            return;
        }
        for load in scheduler.loads_for_peers() {
            let engine = engine_index_of(&load.upstream);
            let coordinator = self.load_coordinators[engine];
            if coordinator != vm && only.is_none_or(|it| it == engine) {
                self.messages += 1;
                let event = SchedulerEvent::PeerLoads { vm: vm_name(vm), loads: vec![load] };
                self.vms[coordinator].handle(now, event);
            }
        }
    }

    /// A VM sends decode paces that are new to it to its neighbours: as in the relay, these are the
    /// VMs at distances of powers of two on the ring of VMs.
    pub(super) fn share_paces(&mut self, vm: usize) {
        let now = self.instant();
        let Vm::Scheduler(scheduler) = &mut self.vms[vm] else { return };
        let paces = scheduler.take_pace_updates(MAX_PACES_PER_MESSAGE);
        if self.policy != PlacementPolicy::Coordinated || paces.is_empty() {
            return;
        }
        let distances = (0..).map(|it| 1 << it).take_while(|it| *it < self.fleet.vms);
        let neighbours: Vec<usize> = distances.map(|it| (vm + it) % self.fleet.vms).collect();
        for neighbour in neighbours {
            self.messages += 1;
            self.vms[neighbour].handle(now, SchedulerEvent::PeerPaces(paces.clone()));
        }
    }
}
