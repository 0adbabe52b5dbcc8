//! A complete deployment of daemons, engines, plain services and the platform.

use std::io;
use std::path::Path;
use std::time::Duration;

use cranberryvalve_core::Config;
use cranberryvalve_core::UpstreamKind;
use serde_json::Value;
use serde_json::json;

use crate::client;
use crate::client::OperatorResponse;
use crate::client::ServiceResponse;
use crate::config;
use crate::engine::Engine;
use crate::engine::EngineSettings;
use crate::platform::Platform;
use crate::service::Service;
use crate::vm::Vm;
use crate::vm::VmSettings;

/// Failure domains of a test deployment; VMs and upstreams are distributed over them in turn.
pub const FAILURE_DOMAINS: [&str; 3] = ["westport", "lyttelton", "nelson"];

/// Maximum time to wait for a VM to start or to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Size and settings of a deployment.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// Number of VMs.
    pub vms: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of plain services.
    pub services: usize,
    /// Number of customers in the configuration.
    pub customers: usize,
    /// Minimum time from reporting not ready to exiting when a VM stops, in milliseconds.
    pub drain_ms: u64,
    /// Additional command-line arguments of all VMs.
    pub vm_flags: Vec<String>,
    /// Behaviour of all engines.
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
            vm_flags: Vec::new(),
            engine: EngineSettings::default(),
        }
    }
}

/// A deployment that runs until it is dropped.
pub struct Cluster {
    /// Daemons, one for each VM.
    pub vms: Vec<Vm>,
    /// Fake engines, named `engine-0` onwards.
    pub engines: Vec<Engine>,
    /// Fake plain services, named `berth-0` onwards.
    pub services: Vec<Service>,
    /// Fake platform that all VMs use.
    pub platform: Platform,
    /// Configuration that [`Cluster::declare_intent`] declares; tests may change it.
    pub config: Config,
    settings: ClusterSettings,
}

impl Cluster {
    /// Starts a deployment, and waits until all VMs are ready with its first configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in or a daemon cannot be started.
    ///
    /// # Panics
    ///
    /// Panics if the configuration is rejected or a VM does not become ready in time.
    pub fn start(program: &Path, settings: ClusterSettings) -> io::Result<Self> {
        Self::start_with(program, settings, |_| {})
    }

    /// Starts a deployment like [`Cluster::start`] does, with a configuration modified by `change`.
    ///
    /// # Errors
    ///
    /// Returns an error if a stand-in or a daemon cannot be started.
    ///
    /// # Panics
    ///
    /// Panics if the configuration is rejected or a VM does not become ready in time.
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
            .map(|it| Vm::start(vm_settings(program, it, &platform, &settings)))
            .collect();
        let vms = vms?;
        for vm in &vms {
            platform.list_vm(vm.list_entry());
        }
        let mut config = config::base_config(settings.customers);
        add_upstreams(&mut config, &engines, &services);
        change(&mut config);
        let mut cluster = Self { vms, engines, services, platform, config, settings };
        cluster.apply_first_config();
        Ok(cluster)
    }

    /// Starts another VM and adds it to the VM list, without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn add_vm(&mut self) -> io::Result<&Vm> {
        let program = self.vms[0].settings.program.clone();
        let number = self.vms.len();
        let settings = vm_settings(&program, number, &self.platform, &self.settings);
        let vm = Vm::start(settings)?;
        self.platform.list_vm(vm.list_entry());
        self.vms.push(vm);
        Ok(&self.vms[number])
    }

    /// Requests a plan for `intent` from a VM.
    ///
    /// # Panics
    ///
    /// Panics if the VM does not respond.
    pub fn plan(&self, vm: usize, operator: &str, intent: &Value) -> OperatorResponse {
        let body = json!({ "operator": operator, "intent": intent });
        client::operator(self.vms[vm].operator_address, "POST", "/plan", Some(&body))
            .expect("the VM responds to operators")
    }

    /// Confirms a plan at a VM, and acknowledges all its hazards.
    ///
    /// # Panics
    ///
    /// Panics if the VM does not respond.
    pub fn confirm(&self, vm: usize, plan: &Value) -> OperatorResponse {
        let body = json!({ "plan": plan, "acknowledged": hazard_names(plan) });
        client::operator(self.vms[vm].operator_address, "POST", "/confirm", Some(&body))
            .expect("the VM responds to operators")
    }

    /// Plans `intent` at a VM, and confirms the plan.
    ///
    /// Returns the response to the confirmation, or to the plan request if its status is not 200.
    pub fn apply(&self, vm: usize, intent: &Value) -> OperatorResponse {
        let plan = self.plan(vm, "ana", intent);
        if plan.status != 200 {
            return plan;
        }
        self.confirm(vm, &plan.body)
    }

    /// Makes a call that must run once at a VM, as the first customer.
    pub fn book(&self, vm: usize, idempotency_key: &str) -> ServiceResponse {
        let callers = self.vms[vm].caller_address;
        let (key, body) = (config::api_key(0), "{\"barge\":7}");
        client::call_service(callers, &key, "POST", "/berths/4", idempotency_key, body)
    }

    /// Returns how often the services carried out the call with this idempotency key.
    pub fn effect_count(&self, idempotency_key: &str) -> usize {
        self.services.iter().map(|it| it.effect_count(idempotency_key)).sum()
    }

    /// Returns an intent that declares [`Cluster::config`].
    pub fn declare_intent(&self) -> Value {
        json!({ "intent": "declare", "config": self.config })
    }

    fn apply_first_config(&mut self) {
        let first = &self.vms[0];
        let started = crate::vm::wait_until(READY_TIMEOUT, || !first.dump().is_null());
        assert!(started, "{} did not start; its log:\n{}", first.settings.name, first.log());
        let response = self.apply(0, &self.declare_intent());
        assert_eq!(response.status, 200, "the first configuration was rejected: {}", response.body);
        for vm in &self.vms {
            vm.wait_ready(READY_TIMEOUT);
        }
    }
}

fn vm_settings(
    program: &Path,
    number: usize,
    platform: &Platform,
    settings: &ClusterSettings,
) -> VmSettings {
    let mut flags = vec!["--log-level".to_owned(), "info".to_owned()];
    flags.extend_from_slice(&settings.vm_flags);
    VmSettings {
        program: program.to_owned(),
        name: format!("vm-{number}"),
        failure_domain: FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()].to_owned(),
        platform: platform.address(),
        drain_ms: settings.drain_ms,
        flags,
    }
}

fn add_upstreams(config: &mut Config, engines: &[Engine], services: &[Service]) {
    for (number, engine) in engines.iter().enumerate() {
        let domain = FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()];
        let (name, address) = (engine.name(), engine.address());
        config.upstreams.push(config::upstream(name, address, UpstreamKind::Engine, domain, 8));
    }
    for (number, service) in services.iter().enumerate() {
        let domain = FAILURE_DOMAINS[number % FAILURE_DOMAINS.len()];
        let (name, address) = (service.name(), service.address());
        config.upstreams.push(config::upstream(name, address, UpstreamKind::Service, domain, 16));
    }
}

/// Returns the names that acknowledge the hazards of a plan; empty if `plan` is not a plan.
pub fn hazard_names(plan: &Value) -> Vec<String> {
    let plan: Result<cranberryvalve_coordination::plan::Plan, _> =
        serde_json::from_value(plan.clone());
    plan.map_or_else(
        |_| Vec::new(),
        |it| it.hazards.iter().map(|it| it.name().to_string()).collect(),
    )
}
