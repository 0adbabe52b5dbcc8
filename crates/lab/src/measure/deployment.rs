//! Two deployments modelled on users of the router.

use std::sync::Arc;

use cranberryvalve_core::Config;
use cranberryvalve_core::Profile;
use cranberryvalve_core::UpstreamKind;
use cranberryvalve_standins::config;

/// A service class and its offered load.
#[derive(Debug, Clone, Copy)]
pub(super) struct ClassLoad {
    pub(super) id: &'static str,
    pub(super) tier: u8,
    /// Arrival rate outside bursts, in requests per second.
    pub(super) base_per_s: f64,
    /// Arrival rate during bursts, in requests per second.
    pub(super) burst_per_s: f64,
    /// Mean length of a response in tokens; the router does not know the length in advance.
    pub(super) mean_tokens: f64,
    /// Number of different shared prefixes; the more there are, the less an engine's cache helps.
    pub(super) prefixes: u64,
    pub(super) queue_limit_ms: u64,
    pub(super) promote_after_ms: u64,
}

/// VMs, engines and offered load of a deployment.
#[derive(Debug, Clone)]
pub(super) struct Deployment {
    pub(super) name: &'static str,
    pub(super) profile: Profile,
    pub(super) vms: usize,
    pub(super) engines: usize,
    /// Slots of each engine.
    pub(super) slots: u32,
    pub(super) classes: Vec<ClassLoad>,
}

impl Deployment {
    /// Barge dispatch: classes of the shift take priority over replans, and shift changes exceed the
    /// capacity.
    pub(super) fn tasman() -> Self {
        Self {
            name: "tasman",
            profile: Profile::Attainment,
            vms: 8,
            engines: 18,
            slots: 8,
            classes: vec![
                class("tide-check", 0, (6.0, 40.0), 30.0, 40, (10_000, 2_000)),
                class("commentary", 1, (3.0, 12.0), 150.0, 20, (15_000, 4_000)),
                class("replan", 3, (2.0, 8.0), 900.0, 200, (120_000, 30_000)),
            ],
        }
    }

    /// Line changeovers: questions of the shift take priority over library drafts, and several
    /// changeovers happen at once.
    pub(super) fn agency() -> Self {
        Self {
            name: "agency",
            profile: Profile::Goodput,
            vms: 8,
            engines: 12,
            slots: 8,
            classes: vec![
                class("changeover-step", 0, (2.0, 10.0), 120.0, 12, (10_000, 2_000)),
                class("shop-question", 1, (4.0, 20.0), 60.0, 60, (15_000, 4_000)),
                class("library-draft", 3, (1.0, 6.0), 1_100.0, 100, (120_000, 30_000)),
            ],
        }
    }

    /// Returns a one-line summary of the deployment.
    pub(super) fn describe(&self) -> String {
        let (vms, engines, slots) = (self.vms, self.engines, self.slots);
        format!("{vms} VMs, {engines} engines of {slots} slots, bursts, one straggler, crashes")
    }

    /// Returns the configuration of the routers.
    pub(super) fn config(&self) -> Arc<Config> {
        let mut config = config::base_config(10);
        config.profile = self.profile;
        let template = config.classes.remove(0);
        config.classes = self
            .classes
            .iter()
            .map(|load| cranberryvalve_core::ServiceClass {
                id: load.id.into(),
                tier: load.tier,
                queue_limit_ms: load.queue_limit_ms,
                promote_after_ms: load.promote_after_ms,
                silence_limit_ms: 2_000,
                answer_limit_ms: 120_000,
                ..template.clone()
            })
            .collect();
        config.routes.clear();
        for number in 0..self.engines {
            let address = ([127, 0, 0, 1], 9_000 + number as u16).into();
            let id = engine_id(number);
            let domain = ["westport", "lyttelton", "nelson"][number % 3];
            let kind = UpstreamKind::Engine;
            config.upstreams.push(config::upstream(&id, address, kind, domain, self.slots));
        }
        config.into()
    }
}

/// Returns the id of engine `number`.
pub(super) fn engine_id(number: usize) -> String {
    format!("engine-{number}")
}

fn class(
    id: &'static str,
    tier: u8,
    (base_per_s, burst_per_s): (f64, f64),
    mean_tokens: f64,
    prefixes: u64,
    (queue_limit_ms, promote_after_ms): (u64, u64),
) -> ClassLoad {
    ClassLoad {
        id,
        tier,
        base_per_s,
        burst_per_s,
        mean_tokens,
        prefixes,
        queue_limit_ms,
        promote_after_ms,
    }
}
