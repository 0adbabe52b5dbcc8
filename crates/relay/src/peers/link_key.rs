//! The key of the peer links, which all VMs share through the store.
//!
//! A store that is restored from a copy may have lost the key. The VMs that have it write it again,
//! so that a VM that starts later joins the same links. If another key was written in the meantime,
//! all VMs change to that one.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use cranberryvalve_adapters::shared_key::SharedKey;
use cranberryvalve_core::StoreEra;
use cranberryvalve_core::VmId;
use cranberryvalve_core::stable_hash;
use slog::info;
use slog::warn;

use super::Peers;
use crate::sources::SecretStore;
use crate::sources::read_or_create;
use crate::sources::read_or_write;
use crate::state::Relay;

/// Delay between attempts to read or write the key.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a VM that joins a running system waits for the others to write the key again.
/// They learn of a restoration within one poll of the store and then check the key.
const REWRITE_WAIT: Duration = Duration::from_secs(4);

/// Number of VMs that check the key at once after a restoration.
const FIRST_WRITERS: usize = 3;

/// Time over which the other VMs spread their checks, so that they don't all call the store at the
/// same time.
const CHECK_SPREAD: Duration = Duration::from_secs(2);

/// Time over which the VMs of a system that starts for the first time spread their first read, so
/// that most of them find the key written.
const FIRST_READ_SPREAD: Duration = Duration::from_secs(1);

/// Reads the key, or creates it if there is none. Retries until that succeeds.
pub(super) fn load(
    relay: &Relay,
    secret: &dyn SecretStore,
    vm: &VmId,
    is_first_start: bool,
) -> Vec<u8> {
    if is_first_start {
        thread::sleep(FIRST_READ_SPREAD.mul_f64(share_of(vm)));
    }
    let mut is_logged = false;
    let mut waited = Duration::ZERO;
    loop {
        let may_create = is_first_start || waited >= REWRITE_WAIT;
        let read = if may_create { read_or_create(secret).map(Some) } else { secret.read() };
        match read {
            Ok(Some(key)) => return key,
            // The others may be about to write it again.
            Ok(None) => waited += RETRY_INTERVAL,
            Err(error) if !is_logged => {
                is_logged = true;
                warn!(relay.log, "cannot read the peer link key; retrying";
                    "error" => error.to_string());
            }
            Err(_) => {}
        }
        thread::sleep(RETRY_INTERVAL);
    }
}

/// Returns a number from 0 to 1 that differs among VMs.
fn share_of(vm: &VmId) -> f64 {
    stable_hash(("link key", vm)) as f64 / u64::MAX as f64
}

impl Peers {
    /// Starts a thread that makes sure that the restored store and this VM have the same key.
    pub(crate) fn check_link_key(self: &Arc<Self>, era: StoreEra) {
        let peers = self.clone();
        let thread = thread::Builder::new().name("link key".to_owned());
        if let Err(error) = thread.spawn(move || peers.run_key_check(era)) {
            warn!(self.relay.log, "cannot check the peer link key"; "error" => error.to_string());
        }
    }

    fn run_key_check(&self, era: StoreEra) {
        thread::sleep(self.check_delay());
        let mut is_logged = false;
        loop {
            let key = self.lock_key().clone();
            match read_or_write(&*self.secret, &key) {
                Ok(stored) if stored == key => {
                    info!(self.relay.log, "peer link key is in the restored store"; "era" => era);
                    return;
                }
                Ok(stored) => {
                    info!(self.relay.log, "peer link key replaced by the one in the restored store";
                        "era" => era);
                    self.links.set_key(SharedKey::new(&stored));
                    *self.lock_key() = stored;
                    return;
                }
                Err(error) => {
                    if !std::mem::replace(&mut is_logged, true) {
                        warn!(self.relay.log, "cannot check the peer link key; retrying";
                            "error" => error.to_string());
                    }
                    thread::sleep(RETRY_INTERVAL);
                }
            }
        }
    }

    fn lock_key(&self) -> MutexGuard<'_, Vec<u8>> {
        self.key.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how long this VM waits before it checks the key. All VMs agree on those that check
    /// it first.
    fn check_delay(&self) -> Duration {
        let membership = self.membership();
        let own: VmId = membership.local().vm.clone();
        let mut vms: Vec<Arc<str>> = membership.alive_names();
        drop(membership);
        vms.sort_by_cached_key(|it| stable_hash(it));
        let rank = vms.iter().position(|it| *it == own).unwrap_or(0);
        match rank.checked_sub(FIRST_WRITERS) {
            None => Duration::ZERO,
            Some(rank) => RETRY_INTERVAL + CHECK_SPREAD.mul_f64(rank as f64 / vms.len() as f64),
        }
    }
}
