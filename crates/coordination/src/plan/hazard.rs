//! What in a plan may do harm.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use cranberryvalve_core::ClassId;
use cranberryvalve_core::Config;
use cranberryvalve_core::CustomerId;
use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::VmId;
use serde::Deserialize;
use serde::Serialize;

use super::ClassEffect;
use super::diff::in_service;

/// Share of a pool's slots, in percent, that may go at once without being a hazard.
const MAX_LOSS_PERCENT: u32 = 34;

/// Something in a plan that has to be acknowledged by name.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "hazard", rename_all = "snake_case")]
pub enum Hazard {
    /// A class is left without upstreams in a pool that served it.
    ClassUnserved {
        /// Class.
        class: ClassId,
        /// Pool.
        pool: PoolId,
    },
    /// A failure domain is left without upstreams in service.
    DomainEmptied {
        /// Failure domain.
        failure_domain: FailureDomainId,
    },
    /// A large share of a pool's capacity goes at once.
    CapacityLoss {
        /// Pool.
        pool: PoolId,
        /// Share that goes, in percent.
        loss_percent: u32,
    },
    /// A class is removed.
    ClassRemoved {
        /// Class.
        class: ClassId,
    },
    /// A VM cannot be reached at present, and would learn of the configuration later.
    VmUnreachable {
        /// VM.
        vm: VmId,
    },
    /// A customer can no longer call.
    CustomerRemoved {
        /// Customer.
        customer: CustomerId,
    },
}

impl Hazard {
    /// The name by which an operator acknowledges it.
    pub fn name(&self) -> Arc<str> {
        match self {
            Self::ClassUnserved { class, pool } => format!("class-unserved:{class}:{pool}"),
            Self::DomainEmptied { failure_domain } => format!("domain-emptied:{failure_domain}"),
            Self::CapacityLoss { pool, .. } => format!("capacity-loss:{pool}"),
            Self::ClassRemoved { class } => format!("class-removed:{class}"),
            Self::VmUnreachable { vm } => format!("vm-unreachable:{vm}"),
            Self::CustomerRemoved { customer } => format!("customer-removed:{customer}"),
        }
        .into()
    }
}

impl fmt::Display for Hazard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ClassUnserved { class, pool } => {
                write!(f, "class {class} is left without upstreams in {pool}")
            }
            Self::DomainEmptied { failure_domain } => {
                write!(f, "failure domain {failure_domain} is left without upstreams")
            }
            Self::CapacityLoss { pool, loss_percent } => {
                write!(f, "{pool} loses {loss_percent}% of its slots at once")
            }
            Self::ClassRemoved { class } => write!(f, "class {class} is removed"),
            Self::VmUnreachable { vm } => {
                write!(f, "VM {vm} cannot be reached; if it runs, it learns of this later")
            }
            Self::CustomerRemoved { customer } => write!(f, "customer {customer} is removed"),
        }
    }
}

/// Lists the hazards of going from `base` to `config`.
pub(super) fn hazards(base: &Config, config: &Config, effects: &[ClassEffect]) -> Vec<Hazard> {
    let mut found = Vec::new();
    found.extend(unserved(effects));
    found.extend(emptied_domains(base, config));
    found.extend(capacity_losses(effects));
    found.extend(removed_classes(base, config));
    found.extend(removed_customers(base, config));
    found
}

fn unserved(effects: &[ClassEffect]) -> impl Iterator<Item = Hazard> {
    let lost = effects.iter().filter(|it| it.slots_before > 0 && it.slots_after == 0);
    lost.map(|it| Hazard::ClassUnserved { class: it.class.clone(), pool: it.pool.clone() })
}

fn emptied_domains(base: &Config, config: &Config) -> Vec<Hazard> {
    let domains = |it: &Config| -> BTreeSet<FailureDomainId> {
        in_service(it).map(|upstream| upstream.failure_domain.clone()).collect()
    };
    let after = domains(config);
    let emptied = domains(base).into_iter().filter(|it| !after.contains(it));
    emptied.map(|failure_domain| Hazard::DomainEmptied { failure_domain }).collect()
}

fn capacity_losses(effects: &[ClassEffect]) -> Vec<Hazard> {
    let mut seen = BTreeSet::new();
    let mut found = Vec::new();
    for effect in effects {
        let lost = effect.slots_before.saturating_sub(effect.slots_after);
        let loss_percent = lost * 100 / effect.slots_before.max(1);
        if loss_percent >= MAX_LOSS_PERCENT && seen.insert(effect.pool.clone()) {
            found.push(Hazard::CapacityLoss { pool: effect.pool.clone(), loss_percent });
        }
    }
    found
}

fn removed_classes(base: &Config, config: &Config) -> Vec<Hazard> {
    let removed = base.classes.iter().filter(|it| config.class(&it.id).is_none());
    removed.map(|it| Hazard::ClassRemoved { class: it.id.clone() }).collect()
}

fn removed_customers(base: &Config, config: &Config) -> Vec<Hazard> {
    let removed = base.customers.iter().filter(|it| config.customer(&it.id).is_none());
    removed.map(|it| Hazard::CustomerRemoved { customer: it.id.clone() }).collect()
}
