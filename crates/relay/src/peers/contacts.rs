//! Search for VMs to which the seeds do not lead, through the store.

use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::contacts::Discovery;
use cranberryvalve_coordination::peer::PeerAddress;
use slog::info;
use slog::warn;

use super::Peers;
use crate::sources::FeedError;

/// Interval at which this VM checks whether it has to read the contacts.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl Peers {
    /// Reads the contacts when that is due, and writes them if too few are alive. Never returns.
    pub(super) fn run_discovery(&self) {
        let mut is_failing = false;
        loop {
            let is_due = {
                let membership = self.membership();
                self.discovery().is_read_due(Instant::now(), &membership)
            };
            if is_due {
                let result = self.refresh_contacts();
                let result_name = if result.is_ok() { "well" } else { "failed" };
                metrics::counter!("cranberryvalve_contact_reads_total", "result" => result_name)
                    .increment(1);
                let was_failing = std::mem::replace(&mut is_failing, result.is_err());
                if let Err(error) = result
                    && !was_failing
                {
                    warn!(self.relay.log, "cannot keep the contacts in the store; retrying";
                        "error" => error.to_string());
                }
            }
            thread::sleep(CHECK_INTERVAL);
        }
    }

    fn refresh_contacts(&self) -> Result<(), FeedError> {
        let read = self.contact_store.read();
        let (due, unknown) = {
            let (now, membership, mut discovery) =
                (Instant::now(), self.membership(), self.discovery());
            match read {
                Ok(record) => discovery.on_read(now, &membership, record),
                Err(error) => {
                    discovery.on_failure(now);
                    return Err(error);
                }
            }
            let unknown = discovery.unknown_contacts(now, &membership);
            (discovery.due_record(now, &membership), unknown)
        };
        if !unknown.is_empty() {
            let names: Vec<&str> = unknown.iter().map(|it| &*it.vm).collect();
            info!(self.relay.log, "looking for VMs that the store names"; "vms" => names.join(" "));
        }
        if let Some(record) = due
            && self.contact_store.write(&record)?
        {
            let names: Vec<&str> = record.contacts.iter().map(|it| &*it.vm).collect();
            info!(self.relay.log, "contacts recorded"; "vms" => names.join(" "));
        }
        Ok(())
    }

    /// Returns the VMs that the store names and this VM does not know.
    pub(super) fn unknown_contacts(&self) -> Vec<PeerAddress> {
        let membership = self.membership();
        self.discovery().unknown_contacts(Instant::now(), &membership)
    }

    /// Returns the number of VMs that may run, this one and those believed dead included.
    pub(super) fn possible_vm_count(&self) -> usize {
        let membership = self.membership();
        let unseen = self.discovery().unseen_count(Instant::now(), &membership);
        membership.known_count() + unseen
    }

    /// Locks the discovery; after the membership, where both are needed.
    fn discovery(&self) -> MutexGuard<'_, Discovery> {
        self.discovery.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
