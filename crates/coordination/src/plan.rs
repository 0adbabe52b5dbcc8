//! Changes that are planned first, and confirmed by one conditional write.
//!
//! [`Plan::new`] compares a declared configuration with the one in force. It names what differs,
//! what that does to each class, and every [`Hazard`]. Nothing changes until the plan is
//! confirmed by a [`Confirmation`].
//!
//! A plan is self-contained: the operator keeps it, and any VM can confirm it. It carries the
//! version it was made for, so a plan that another one has overtaken is refused as a whole.

mod confirm;
mod diff;
mod hazard;

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

/// What an operator wants.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "intent", rename_all = "snake_case")]
pub enum Intent {
    /// Declare the whole configuration.
    Declare {
        /// The configuration to be in force.
        config: Box<Config>,
    },
    /// Take an upstream out of service, or put it back.
    Drain {
        /// Upstream.
        upstream: UpstreamId,
        /// Whether it is to be out of service.
        drained: bool,
    },
}

impl Intent {
    /// The configuration that the intent leads to from `base`.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the intent, field by field.
    pub fn apply(&self, base: &Config) -> Result<Config, Vec<ConfigIssue>> {
        let config = match self {
            Self::Declare { config } => (**config).clone(),
            Self::Drain { upstream, drained } => drain(base, upstream, *drained)?,
        };
        let issues = config.check();
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

/// What will change, and what that means.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Identifier.
    pub id: PlanId,
    /// Operator who asked for it.
    pub operator: OperatorId,
    /// Version that it changes.
    pub base_version: ConfigVersion,
    /// Digest of the document that it changes.
    pub base: Digest,
    /// Configuration that it leads to.
    pub config: Arc<Config>,
    /// What differs.
    pub differences: Vec<Difference>,
    /// What that does to each class.
    pub effects: Vec<ClassEffect>,
    /// What may do harm and has to be acknowledged.
    pub hazards: Vec<Hazard>,
}

impl Plan {
    /// Compares `config` with `base`.
    ///
    /// ```
    /// use std::sync::Arc;
    ///
    /// use cranberryvalve_coordination::plan::Plan;
    /// use cranberryvalve_core::Config;
    /// use cranberryvalve_core::ConfigDocument;
    ///
    /// let base = ConfigDocument::genesis();
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

    /// Adds a hazard for each VM that cannot be reached at present.
    #[must_use]
    pub fn unreachable(mut self, vms: &[VmId]) -> Self {
        self.hazards.extend(vms.iter().map(|vm| Hazard::VmUnreachable { vm: vm.clone() }));
        self
    }

    /// Whether both plans would change the same thing, whichever VMs could be reached.
    pub fn changes_the_same(&self, other: &Self) -> bool {
        let without_vms = |plan: &Self| {
            let mut plan = plan.clone();
            plan.hazards.retain(|it| !matches!(it, Hazard::VmUnreachable { .. }));
            plan
        };
        without_vms(self) == without_vms(other)
    }

    /// Names of the hazards that are not among `acknowledged`.
    pub fn unacknowledged(&self, acknowledged: &[Arc<str>]) -> Vec<Arc<str>> {
        let names = self.hazards.iter().map(Hazard::name);
        names.filter(|name| !acknowledged.contains(name)).collect()
    }
}
