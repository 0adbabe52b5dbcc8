//! A whole deployment: daemons, engines, plain services and the platform.

use std::io;
use std::path::Path;
use std::time::Duration;

use cranberryvalve_core::Config;
use cranberryvalve_core::UpstreamKind;
use serde_json::Value;
use serde_json::json;

use crate::client;
use crate::client::OperatorReply;
use crate::config;
use crate::engine::Engine;
use crate::engine::EngineSettings;
use crate::platform::Platform;
use crate::service::Service;
use crate::vm::Vm;
use crate::vm::VmSettings;

/// Failure domains of a test deployment.
pub const DOMAINS: [&str; 3] = ["westport", "lyttelton", "nelson"];

/// Time for all VMs to be ready.
const READY: Duration = Duration::from_secs(30);

/// What a deployment consists of.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// VMs.
    pub vms: usize,
    /// Engines.
    pub engines: usize,
    /// Plain services.
    pub services: usize,
    /// Customers.
    pub customers: usize,
    /// Time between not ready and stop of a VM, in milliseconds.
    pub drain_ms: u64,
    /// How the engines behave.
    pub engine: EngineSettings,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            vms: 2,
            engines: 2,
            services: 1,
            customers: 4,
            drain_ms: 300,
            engine: EngineSettings::default(),
        }
    }
}

/// A deployment that runs until it is dropped.
pub struct Cluster {
    /// Daemons.
    pub vms: Vec<Vm>,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Platform.
    pub platform: Platform,
    /// Configuration that was declared last.
    pub config: Config,
    settings: ClusterSettings,
}

impl Cluster {
    /// Starts a deployment and waits until its first configuration is in force everywhere.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started.
    ///
    /// # Panics
    ///
    /// Panics when the VMs do not become ready.
    pub fn start(program: &Path, settings: ClusterSettings) -> io::Result<Self> {
        Self::start_with(program, settings, |_| {})
    }

    /// Starts a deployment whose configuration `change` has the last word on.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started.
    ///
    /// # Panics
    ///
    /// Panics when the VMs do not become ready.
    pub fn start_with(
        program: &Path,
        settings: ClusterSettings,
        change: impl FnOnce(&mut Config),
    ) -> io::Result<Self> {
        let platform = Platform::start()?;
        let engines: io::Result<Vec<Engine>> = (0..settings.engines)
            .map(|it| Engine::start(&format!("engine-{it}"), settings.engine.clone()))
            .collect();
        let services: io::Result<Vec<Service>> =
            (0..settings.services).map(|it| Service::start(&format!("berth-{it}"))).collect();
        let (engines, services) = (engines?, services?);
        let vms: io::Result<Vec<Vm>> = (0..settings.vms)
            .map(|it| Vm::start(vm_settings(program, it, &platform, settings.drain_ms)))
            .collect();
        let vms = vms?;
        for vm in &vms {
            platform.list_vm(vm.listing());
        }
        let mut config = config::base(settings.customers);
        add_upstreams(&mut config, &engines, &services);
        change(&mut config);
        let mut cluster = Self { vms, engines, services, platform, config, settings };
        cluster.declare_first();
        Ok(cluster)
    }

    /// Starts one more VM.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn add_vm(&mut self) -> io::Result<&Vm> {
        let program = self.vms[0].settings.program.clone();
        let number = self.vms.len();
        let settings = vm_settings(&program, number, &self.platform, self.settings.drain_ms);
        let vm = Vm::start(settings)?;
        self.platform.list_vm(vm.listing());
        self.vms.push(vm);
        Ok(&self.vms[number])
    }

    /// Plans a change through a VM.
    ///
    /// # Panics
    ///
    /// Panics when the VM does not answer.
    pub fn plan(&self, vm: usize, operator: &str, intent: &Value) -> OperatorReply {
        let body = json!({ "operator": operator, "intent": intent });
        client::operator(self.vms[vm].operators, "POST", "/plan", Some(&body))
            .expect("the VM answers its operators")
    }

    /// Confirms a plan through a VM, with all its hazards acknowledged.
    ///
    /// # Panics
    ///
    /// Panics when the VM does not answer.
    pub fn confirm(&self, vm: usize, plan: &Value) -> OperatorReply {
        let body = json!({ "plan": plan, "acknowledged": hazard_names(plan) });
        client::operator(self.vms[vm].operators, "POST", "/confirm", Some(&body))
            .expect("the VM answers its operators")
    }

    /// Plans and confirms a change through a VM.
    pub fn apply(&self, vm: usize, intent: &Value) -> OperatorReply {
        let plan = self.plan(vm, "ana", intent);
        if plan.status != 200 {
            return plan;
        }
        self.confirm(vm, &plan.body)
    }

    /// An intent to declare the present configuration.
    pub fn declaration(&self) -> Value {
        json!({ "intent": "declare", "config": self.config })
    }

    fn declare_first(&mut self) {
        let first = &self.vms[0];
        let up = crate::vm::wait_until(READY, || !first.dump().is_null());
        assert!(up, "{} does not start; its log:\n{}", first.settings.name, first.log());
        let reply = self.apply(0, &self.declaration());
        assert_eq!(reply.status, 200, "the first configuration is refused: {}", reply.body);
        for vm in &self.vms {
            vm.wait_ready(READY);
        }
    }
}

fn vm_settings(program: &Path, number: usize, platform: &Platform, drain_ms: u64) -> VmSettings {
    VmSettings {
        program: program.to_owned(),
        name: format!("vm-{number}"),
        failure_domain: DOMAINS[number % DOMAINS.len()].to_owned(),
        platform: platform.address(),
        drain_ms,
        flags: vec!["--log-level".to_owned(), "info".to_owned()],
    }
}

fn add_upstreams(config: &mut Config, engines: &[Engine], services: &[Service]) {
    for (number, engine) in engines.iter().enumerate() {
        let domain = DOMAINS[number % DOMAINS.len()];
        let (name, address) = (engine.name(), engine.address());
        config.upstreams.push(config::upstream(name, address, UpstreamKind::Engine, domain, 8));
    }
    for (number, service) in services.iter().enumerate() {
        let domain = DOMAINS[number % DOMAINS.len()];
        let (name, address) = (service.name(), service.address());
        config.upstreams.push(config::upstream(name, address, UpstreamKind::Service, domain, 16));
    }
}

/// Names by which the hazards of a plan are acknowledged.
pub fn hazard_names(plan: &Value) -> Vec<String> {
    let plan: Result<cranberryvalve_coordination::plan::Plan, _> =
        serde_json::from_value(plan.clone());
    plan.map_or_else(
        |_| Vec::new(),
        |it| it.hazards.iter().map(|it| it.name().to_string()).collect(),
    )
}
