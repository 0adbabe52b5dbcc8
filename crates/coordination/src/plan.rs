//! Configuration changes that are planned first, then confirmed by one conditional write.
//!
//! [`Plan::new`] compares a declared configuration with the active one. It lists the differences,
//! their effect on the capacity of each class, and every [`Hazard`]. Nothing changes until the plan
//! is confirmed by a [`Confirmation`].
//!
//! A plan is self-contained: the operator keeps it, and any VM can confirm it. It includes the
//! version that it is based on, so a plan is rejected as a whole if another one was applied first.

mod confirm;
mod diff;
mod hazard;
mod restore;

use std::sync::Arc;

use cranberryvalve_core::Config;
use cranberryvalve_core::ConfigDocument;
use cranberryvalve_core::ConfigIssue;
use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::Digest;
use cranberryvalve_core::OperatorId;
use cranberryvalve_core::PlanId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::VmId;
use serde::Deserialize;
use serde::Serialize;

pub use confirm::ConfirmOutcome;
pub use confirm::ConfirmStep;
pub use confirm::Confirmation;
pub use confirm::HEAD_KEY;
pub use confirm::Head;
pub use confirm::body_key;
pub use diff::ClassEffect;
pub use diff::Difference;
pub use hazard::Hazard;
pub use restore::Restoration;

/// Change that an operator requests.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "snake_case")]
pub enum Intent {
    /// Replace the complete configuration.
    Declare {
        /// New configuration.
        config: Box<Config>,
    },
    /// Take an upstream out of service, or return it to service.
    Drain {
        /// Identifier of the upstream.
        upstream: UpstreamId,
        /// Whether the upstream is to be out of service.
        drained: bool,
    },
}

impl Intent {
    /// Returns the configuration that results from applying the change to `base`.
    ///
    /// # Errors
    ///
    /// Returns the invalid fields if the upstream is unknown or the resulting configuration is
    /// invalid.
    pub fn apply(&self, base: &Config) -> Result<Config, Vec<ConfigIssue>> {
        let config = match self {
            Self::Declare { config } => (**config).clone(),
            Self::Drain { upstream, drained } => drain(base, upstream, *drained)?,
        };
        let issues = config.validate();
        if issues.is_empty() { Ok(config) } else { Err(issues) }
    }
}

fn drain(base: &Config, upstream: &str, drained: bool) -> Result<Config, Vec<ConfigIssue>> {
    let mut config = base.clone();
    let Some(spec) = config.upstreams.iter_mut().find(|it| &*it.id == upstream) else {
        let message = format!("no upstream `{upstream}` is configured");
        return Err(vec![ConfigIssue { field: "upstream".into(), message: message.into() }]);
    };
    spec.drained = drained;
    Ok(config)
}

/// Planned change of the configuration, with its effects.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Plan {
    /// Identifier of the plan.
    pub id: PlanId,
    /// Operator who requested the change.
    pub operator: OperatorId,
    /// Version of the configuration that the plan is based on.
    pub base_version: ConfigVersion,
    /// Digest of the document that the plan is based on.
    pub base: Digest,
    /// Configuration after the change.
    pub config: Arc<Config>,
    /// Differences between the base and the new configuration.
    pub differences: Vec<Difference>,
    /// Capacity of each class and pool before and after the change.
    pub effects: Vec<ClassEffect>,
    /// Dangerous effects, which the operator must acknowledge.
    pub hazards: Vec<Hazard>,
}

impl Plan {
    /// Creates a plan that changes `base` to `config`.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use cranberryvalve_coordination::plan::Plan;
    /// use cranberryvalve_core::Config;
    /// use cranberryvalve_core::ConfigDocument;
    ///
    /// let base = ConfigDocument::initial();
    /// let plan = Plan::new("plan-1".into(), "ana".into(), &base, Arc::new(Config::default()));
    /// assert!(plan.differences.is_empty());
    /// ```
    pub fn new(
        id: PlanId,
        operator: OperatorId,
        base: &ConfigDocument,
        config: Arc<Config>,
    ) -> Self {
        let differences = diff::differences(&base.config, &config);
        let effects = diff::effects(&base.config, &config);
        let hazards = hazard::hazards(&base.config, &config, &effects);
        Self {
            id,
            operator,
            base_version: base.version,
            base: Digest::of(&base.to_bytes()),
            config,
            differences,
            effects,
            hazards,
        }
    }

    /// Adds a hazard for each VM that is currently unreachable.
    #[must_use]
    pub fn with_unreachable_vms(mut self, vms: &[VmId]) -> Self {
        self.hazards.extend(vms.iter().map(|vm| Hazard::VmUnreachable { vm: vm.clone() }));
        self
    }

    /// Returns whether both plans are equal, ignoring which VMs were unreachable.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let without_unreachable = |plan: &Self| {
            let mut plan = plan.clone();
            plan.hazards.retain(|it| !matches!(it, Hazard::VmUnreachable { .. }));
            plan
        };
        without_unreachable(self) == without_unreachable(other)
    }

    /// Returns the names of the hazards that are not in `acknowledged`.
    pub fn unacknowledged(&self, acknowledged: &[Arc<str>]) -> Vec<Arc<str>> {
        let names = self.hazards.iter().map(Hazard::name);
        names.filter(|name| !acknowledged.contains(name)).collect()
    }
}
