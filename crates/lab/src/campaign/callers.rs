//! Addresses that callers send to, as a load balancer chooses them.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use cranberryvalve_standins::client;
use cranberryvalve_standins::cluster::Cluster;

/// Path of the readiness probes.
pub(super) const READINESS_PATH: &str = "/readyz";

/// The VMs that callers may send to. All are in service until the first probe.
pub(super) struct Callers(Vec<(SocketAddr, AtomicBool)>);

impl Callers {
    pub(super) fn of(cluster: &Cluster) -> Self {
        let addresses = cluster.vms.iter().map(|it| it.caller_address);
        Self(addresses.map(|it| (it, AtomicBool::new(true))).collect())
    }

    /// Returns the number of VMs.
    pub(super) const fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the address of the first VM in service from this one on; of this one if none is.
    pub(super) fn address(&self, vm: usize) -> SocketAddr {
        let all = self.0.iter().cycle().skip(vm).take(self.len());
        let mut in_service = all.filter(|it| it.1.load(Ordering::SeqCst));
        in_service.next().unwrap_or(&self.0[vm]).0
    }

    /// Takes VMs out of service that are not ready, and those that are back into service.
    pub(super) fn probe(&self) {
        for (address, in_service) in &self.0 {
            let is_ready = client::get_status(*address, READINESS_PATH) == Some(200);
            in_service.store(is_ready, Ordering::SeqCst);
        }
    }
}
