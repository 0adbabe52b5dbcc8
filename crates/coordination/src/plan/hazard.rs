//! Dangerous effects of a plan.

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

/// Minimum loss of a pool's slots, in percent, that is reported as a hazard.
const HAZARDOUS_LOSS_PERCENT: u32 = 34;

/// Dangerous effect of a plan, which the operator must acknowledge by name.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "hazard", rename_all = "snake_case")]
pub enum Hazard {
    /// A pool that served a class no longer has any upstream in service.
    ClassUnserved {
        /// Identifier of the class.
        class: ClassId,
        /// Identifier of the pool.
        pool: PoolId,
    },
    /// A failure domain no longer has any upstream in service.
    DomainEmptied {
        /// Identifier of the failure domain.
        failure_domain: FailureDomainId,
    },
    /// A pool loses a large share of its slots at once.
    CapacityLoss {
        /// Identifier of the pool.
        pool: PoolId,
        /// Share of the pool's slots that is lost, in percent.
        loss_percent: u32,
    },
    /// A class is removed.
    ClassRemoved {
        /// Identifier of the class.
        class: ClassId,
    },
    /// A VM is currently unreachable, and would receive the configuration later.
    VmUnreachable {
        /// Identifier of the VM.
        vm: VmId,
    },
    /// A customer is removed, and its calls are refused.
    CustomerRemoved {
        /// Identifier of the customer.
        customer: CustomerId,
    },
}

impl Hazard {
    /// Returns the name by which an operator acknowledges the hazard.
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

/// Returns the hazards of changing `base` to `config`.
pub(super) fn hazards(base: &Config, config: &Config, effects: &[ClassEffect]) -> Vec<Hazard> {
    let mut results = Vec::new();
    results.extend(unserved_classes(effects));
    results.extend(emptied_domains(base, config));
    results.extend(capacity_losses(effects));
    results.extend(removed_classes(base, config));
    results.extend(removed_customers(base, config));
    results
}

fn unserved_classes(effects: &[ClassEffect]) -> impl Iterator<Item = Hazard> {
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
    let mut reported_pools = BTreeSet::new();
    let mut results = Vec::new();
    for effect in effects {
        let lost = effect.slots_before.saturating_sub(effect.slots_after);
        let loss_percent = percent_of(lost, effect.slots_before);
        if loss_percent >= HAZARDOUS_LOSS_PERCENT && reported_pools.insert(effect.pool.clone()) {
            results.push(Hazard::CapacityLoss { pool: effect.pool.clone(), loss_percent });
        }
    }
    results
}

fn percent_of(part: u32, whole: u32) -> u32 {
    let percent = u64::from(part) * 100 / u64::from(whole.max(1));
    u32::try_from(percent).unwrap_or(u32::MAX)
}

fn removed_classes(base: &Config, config: &Config) -> Vec<Hazard> {
    let removed = base.classes.iter().filter(|it| config.class(&it.id).is_none());
    removed.map(|it| Hazard::ClassRemoved { class: it.id.clone() }).collect()
}

fn removed_customers(base: &Config, config: &Config) -> Vec<Hazard> {
    let removed = base.customers.iter().filter(|it| config.customer(&it.id).is_none());
    removed.map(|it| Hazard::CustomerRemoved { customer: it.id.clone() }).collect()
}
