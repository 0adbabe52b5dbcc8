//! State shared by the threads of one VM.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Instant;

use cranberryvalve_adapters::caller::DisconnectMonitor;
use cranberryvalve_adapters::links::Links;
use cranberryvalve_adapters::platform::PlatformClient;
use cranberryvalve_adapters::shared_key::SharedKey;
use cranberryvalve_adapters::telemetry;
use cranberryvalve_adapters::telemetry::LogRateLimiter;
use cranberryvalve_coordination::builds::BuildExchange;
use cranberryvalve_coordination::leaving::LeavingChange;
use cranberryvalve_coordination::leaving::LeavingView;
use cranberryvalve_coordination::limits::LimitClient;
use cranberryvalve_coordination::limits::LimitCoordinator;
use cranberryvalve_coordination::membership::Membership;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::releases::Releases;
use cranberryvalve_coordination::replica::Freshness;
use cranberryvalve_coordination::replica::Replica;
use cranberryvalve_core::Config;
use cranberryvalve_core::RequestId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_policy::Event;
use cranberryvalve_policy::RouterSettings;
use cranberryvalve_policy::SendCommand;
use eyre::Result;
use eyre::WrapErr;
use metrics_exporter_prometheus::PrometheusHandle;
use slog::Logger;
use slog::info;

use crate::dispatcher::Dispatcher;
use crate::lifecycle::StopTimes;
use crate::live_calls::LiveCalls;
use crate::settings::Settings;
use crate::store_breaker::StoreBreaker;

/// Name of this build, which the other VMs are told.
pub(crate) const BUILD: &str = env!("CRANBERRYVALVE_BUILD");

/// What the daemon announces that it is able to do: none of the mechanisms that have a bit, as it
/// ignores their messages.
const CAPABILITIES: u64 = 0;

/// Shared state of one VM.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) log: Logger,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) links: Links,
    pub(crate) platform: PlatformClient,
    pub(crate) store: StoreBreaker,
    pub(crate) disconnect_monitor: DisconnectMonitor,
    pub(crate) key: SharedKey,
    pub(crate) live_calls: LiveCalls,
    pub(crate) request_log_limiter: LogRateLimiter,
    pub(crate) refusal_log_limiter: LogRateLimiter,
    pub(crate) started_unix_ms: u64,
    replica: Mutex<Replica>,
    membership: Mutex<Membership>,
    builds: Mutex<BuildExchange>,
    leaving: Mutex<LeavingView>,
    limits: Mutex<LimitClient>,
    limit_coordinator: Mutex<LimitCoordinator>,
    releases: Mutex<Releases>,
    stop_times: OnceLock<StopTimes>,
}

impl Node {
    pub(crate) fn new(settings: Settings, log: Logger) -> Result<Self> {
        let metrics = telemetry::install_metrics().wrap_err("cannot install metrics")?;
        let key = SharedKey::new(settings.shared_secret.as_bytes());
        let links = Links::listen(settings.peer_address, key.clone())
            .wrap_err_with(|| format!("cannot listen for peers at {}", settings.peer_address))?;
        let platform = PlatformClient::new(settings.platform_address);
        let own = PeerAddress {
            vm: settings.vm.clone(),
            address: settings.advertised_address,
            failure_domain: settings.failure_domain.clone(),
        };
        let started_unix_ms = telemetry::unix_time_ms();
        let router_settings = RouterSettings::new(settings.vm.clone(), settings.seed)
            .failure_domain(settings.failure_domain.clone())
            .subset_size(settings.subset_size);
        Ok(Self {
            log,
            metrics,
            dispatcher: Arc::new(Dispatcher::new(router_settings)),
            links,
            store: StoreBreaker::new(platform.clone()),
            platform,
            disconnect_monitor: DisconnectMonitor::start(),
            key,
            live_calls: LiveCalls::default(),
            request_log_limiter: LogRateLimiter::new(Instant::now()),
            refusal_log_limiter: LogRateLimiter::new(Instant::now()),
            started_unix_ms,
            replica: Mutex::new(Replica::new(Instant::now())),
            membership: Mutex::new(Membership::new(own, started_unix_ms)),
            builds: Mutex::new(BuildExchange::new(BUILD.into(), CAPABILITIES)),
            leaving: Mutex::default(),
            limits: Mutex::default(),
            limit_coordinator: Mutex::default(),
            releases: Mutex::default(),
            stop_times: OnceLock::new(),
            settings,
        })
    }

    pub(crate) fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what each VM runs. Lock it after the membership, where both are needed.
    pub(crate) fn builds(&self) -> MutexGuard<'_, BuildExchange> {
        self.builds.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn leaving(&self) -> MutexGuard<'_, LeavingView> {
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn limits(&self) -> MutexGuard<'_, LimitClient> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn limit_coordinator(&self) -> MutexGuard<'_, LimitCoordinator> {
        self.limit_coordinator.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the releases of ledger rows.
    pub(crate) fn releases(&self) -> MutexGuard<'_, Releases> {
        self.releases.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns how fresh the configuration of this VM is; new work needs a current one.
    pub(crate) fn freshness(&self) -> Freshness {
        self.replica().freshness(Instant::now())
    }

    /// Returns an identifier that no other request has, on any VM and after any restart.
    pub(crate) fn unique_id(&self, request: RequestId) -> String {
        format!("{}-{}-{request}", self.settings.vm, self.started_unix_ms)
    }

    /// Returns an identifier that no other attempt has, on any VM and after any restart.
    pub(crate) fn attempt_id(&self, order: &SendCommand) -> Arc<str> {
        format!("{}-{}", self.unique_id(order.id), order.attempt).into()
    }

    /// Handles the leaving state that an upstream reported of itself in a response or load report.
    pub(crate) fn on_upstream_report(&self, upstream: &UpstreamId, leaving: bool) {
        let change = self.leaving().on_self_report(upstream, leaving);
        change.into_iter().for_each(|it| self.on_leaving_change(it));
    }

    /// Notifies the router that an upstream is leaving or has returned.
    pub(crate) fn on_leaving_change(&self, change: LeavingChange) {
        let LeavingChange { upstream, leaving } = change;
        info!(self.log, "upstream changed"; "upstream" => &*upstream, "leaving" => leaving);
        self.dispatcher.handle(Event::LeavingChanged { upstream, leaving });
    }

    /// Activates a configuration in the router and reapplies the upstreams known to be leaving.
    pub(crate) fn activate_config(&self, config: Arc<Config>) {
        self.dispatcher.activate_config(config);
        let leaving = self.leaving().leaving_upstreams();
        for upstream in leaving {
            self.dispatcher.handle(Event::LeavingChanged { upstream, leaving: true });
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.stop_times().is_some()
    }

    /// Returns the times of the stop; `None` if there was no stop signal.
    pub(crate) fn stop_times(&self) -> Option<&StopTimes> {
        self.stop_times.get()
    }

    /// Marks this VM as draining and stops its membership.
    pub(crate) fn start_draining(&self) -> StopTimes {
        let times = StopTimes::new(Instant::now(), &self.settings);
        let times = *self.stop_times.get_or_init(|| times);
        self.membership().stop();
        times
    }

    /// Returns whether the load balancer should send callers to this VM.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.freshness() == Freshness::Current
    }
}
