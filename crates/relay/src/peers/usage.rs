//! Exchange of usage counts between VMs.

use cranberryvalve_coordination::builds::USAGE_REPORTS_BIT;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::usage::UsageHolder;
use cranberryvalve_coordination::usage::UsageMessage;
use cranberryvalve_coordination::usage::VmCounts;
use cranberryvalve_core::FencingToken;
use cranberryvalve_core::VmId;
use slog::info;

use super::Peers;
use crate::usage::UsageLedger;

/// Number of VMs that keep the counts of the holder, so that they outlive it and one more.
const DEPUTIES: usize = 2;

/// Number of rounds, of which there is one a second among many VMs, between repetitions of the holder
/// to one neighbour after the other.
const ROUNDS_PER_REPETITION: usize = 2;

/// Maximum number of VMs that are asked for counts in a round.
const MAX_REQUESTS: usize = 16;

impl Peers {
    /// Sends what is due in a round.
    pub(crate) fn exchange_usage(&self, round: usize) {
        let Some(ledger) = self.relay.usage.ledger() else { return };
        self.send_usage_counts();
        if round.is_multiple_of(ROUNDS_PER_REPETITION)
            && let Some(holder) = ledger.holder()
        {
            let neighbours = self.able_neighbours();
            let turn = (round / ROUNDS_PER_REPETITION) % neighbours.len().max(1);
            if let Some(receiver) = neighbours.get(turn) {
                self.send_usage(receiver, UsageMessage::Holder(holder));
            }
        }
    }

    /// Sends the counts that are due to the holder. The holder sends its own to its deputies.
    pub(crate) fn send_usage_counts(&self) {
        let Some(ledger) = self.relay.usage.ledger() else { return };
        let Some(due) = ledger.take_due() else { return };
        let (own, incarnation) = {
            let membership = self.membership();
            (membership.local().vm.clone(), membership.incarnation())
        };
        let counts = VmCounts {
            vm: own.clone(),
            incarnation: ledger.start_id(incarnation),
            counts_since_ms: due.counts_since_ms,
            windows: due.windows,
        };
        if due.holder.holder.vm != own {
            let message = UsageMessage::Counts(counts, due.reading);
            self.send_usage(&due.holder.holder, message);
            for it in due.entrusted {
                self.send_usage(&due.holder.holder, UsageMessage::Counts(it, due.reading));
            }
            return;
        }
        ledger.merge(counts.clone());
        ledger.record_reading(&own, due.reading);
        for deputy in self.able_neighbours().iter().take(DEPUTIES) {
            self.send_usage(deputy, UsageMessage::Counts(counts.clone(), due.reading));
        }
    }

    /// Tells the other VMs that this one holds the lease.
    pub(crate) fn announce_usage_holder(&self, fencing: FencingToken) {
        let holder = UsageHolder { holder: self.own_address(), fencing };
        if let Some(ledger) = self.relay.usage.ledger() {
            self.apply_usage_holder(ledger, &holder);
        }
    }

    /// Asks VMs for the counts of windows that are not over.
    pub(crate) fn request_usage(&self, vms: &[VmId]) {
        for vm in vms.iter().take(MAX_REQUESTS) {
            let address = self.membership().address_of(vm);
            for receiver in self.able(address.into_iter().collect(), USAGE_REPORTS_BIT) {
                self.send_usage(&receiver, UsageMessage::Request);
            }
        }
    }

    pub(super) fn handle_usage(&self, from: &PeerAddress, message: UsageMessage) {
        let Some(ledger) = self.relay.usage.ledger() else { return };
        match message {
            UsageMessage::Counts(counts, reading) => {
                ledger.merge(counts);
                if let Some(agreed_ms) = ledger.record_reading(&from.vm, reading) {
                    self.send_usage(from, UsageMessage::Clock(agreed_ms));
                }
            }
            UsageMessage::Holder(holder) => self.apply_usage_holder(ledger, &holder),
            UsageMessage::Clock(agreed_ms) => {
                let is_holder = ledger.holder().is_some_and(|it| it.holder.vm == from.vm);
                let correction_ms = is_holder.then(|| ledger.correct_clock(agreed_ms)).flatten();
                if let Some(correction_ms) = correction_ms {
                    info!(self.relay.log, "clock of usage counts corrected";
                        "correction_ms" => correction_ms);
                }
            }
            UsageMessage::Request => {
                ledger.resend_all();
                self.send_usage_counts();
            }
        }
    }

    /// Sends all counts to a holder that is new, and forwards its announcement.
    fn apply_usage_holder(&self, ledger: &UsageLedger, holder: &UsageHolder) {
        if !ledger.set_holder(holder.clone()) {
            return;
        }
        info!(self.relay.log, "usage is reported by another holder";
            "holder" => &*holder.holder.vm, "fencing" => holder.fencing);
        for it in self.able_neighbours() {
            self.send_usage(&it, UsageMessage::Holder(holder.clone()));
        }
        self.send_usage_counts();
    }

    /// Returns the names of all VMs that are alive, including this one.
    pub(crate) fn living_vms(&self) -> Vec<VmId> {
        self.membership().alive_names()
    }

    /// Returns the neighbours that understand messages about usage.
    fn able_neighbours(&self) -> Vec<PeerAddress> {
        let neighbours = self.membership().neighbours();
        self.able(neighbours, USAGE_REPORTS_BIT)
    }

    fn send_usage(&self, receiver: &PeerAddress, message: UsageMessage) {
        let from = self.own_address();
        self.links.send(receiver, &PeerMessage::Usage { from, message });
    }
}
