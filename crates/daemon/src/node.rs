//! Everything that the threads of one VM share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Instant;

use cranberryvalve_adapters::caller::PresenceWatch;
use cranberryvalve_adapters::links::Links;
use cranberryvalve_adapters::platform::PlatformClient;
use cranberryvalve_adapters::shared_key::SharedKey;
use cranberryvalve_adapters::telemetry;
use cranberryvalve_coordination::leaving::LeavingChange;
use cranberryvalve_coordination::leaving::LeavingView;
use cranberryvalve_coordination::ledger::Release;
use cranberryvalve_coordination::limits::LimitClient;
use cranberryvalve_coordination::limits::LimitHome;
use cranberryvalve_coordination::membership::Membership;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::replica::Freshness;
use cranberryvalve_coordination::replica::Replica;
use cranberryvalve_core::Config;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_policy::Event;
use cranberryvalve_policy::RouterSettings;
use eyre::Result;
use eyre::WrapErr;
use metrics_exporter_prometheus::PrometheusHandle;
use slog::Logger;
use slog::info;

use crate::dispatcher::Dispatcher;
use crate::settings::Settings;
use crate::store_gate::StoreGate;

/// State of one VM.
pub(crate) struct Node {
    pub(crate) settings: Settings,
    pub(crate) log: Logger,
    pub(crate) metrics: PrometheusHandle,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) links: Links,
    pub(crate) platform: PlatformClient,
    pub(crate) store: StoreGate,
    pub(crate) presence: PresenceWatch,
    pub(crate) key: SharedKey,
    pub(crate) started_unix_ms: u64,
    replica: Mutex<Replica>,
    membership: Mutex<Membership>,
    leaving: Mutex<LeavingView>,
    limits: Mutex<LimitClient>,
    limit_home: Mutex<LimitHome>,
    releases: Mutex<Vec<Release>>,
    draining: AtomicBool,
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
        let started_unix_ms = telemetry::unix_ms();
        let router_settings = RouterSettings::new(settings.vm.clone(), settings.seed)
            .failure_domain(settings.failure_domain.clone())
            .subset_size(settings.subset_size);
        Ok(Self {
            log,
            metrics,
            dispatcher: Arc::new(Dispatcher::new(router_settings)),
            links,
            store: StoreGate::new(platform.clone()),
            platform,
            presence: PresenceWatch::start(),
            key,
            started_unix_ms,
            replica: Mutex::new(Replica::new(Instant::now())),
            membership: Mutex::new(Membership::new(own, started_unix_ms)),
            leaving: Mutex::default(),
            limits: Mutex::default(),
            limit_home: Mutex::default(),
            releases: Mutex::default(),
            draining: AtomicBool::new(false),
            settings,
        })
    }

    pub(crate) fn replica(&self) -> MutexGuard<'_, Replica> {
        self.replica.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn leaving(&self) -> MutexGuard<'_, LeavingView> {
        self.leaving.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn limits(&self) -> MutexGuard<'_, LimitClient> {
        self.limits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn limit_home(&self) -> MutexGuard<'_, LimitHome> {
        self.limit_home.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ledger rows that are still to be freed.
    pub(crate) fn releases(&self) -> MutexGuard<'_, Vec<Release>> {
        self.releases.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the configuration may be acted on.
    pub(crate) fn freshness(&self) -> Freshness {
        self.replica().freshness(Instant::now())
    }

    /// Takes what an upstream says of itself, in an answer or a load report.
    pub(crate) fn hear_upstream(&self, upstream: &UpstreamId, leaving: bool) {
        let change = self.leaving().on_own_word(upstream, leaving);
        change.into_iter().for_each(|it| self.tell_leaving(it));
    }

    /// Tells the router that an upstream leaves or is back.
    pub(crate) fn tell_leaving(&self, change: LeavingChange) {
        let LeavingChange { upstream, leaving } = change;
        info!(self.log, "upstream changed"; "upstream" => &*upstream, "leaving" => leaving);
        self.dispatcher.handle(Event::LeavingChanged { upstream, leaving });
    }

    /// Puts a configuration in force at the router, with what is known of its upstreams.
    pub(crate) fn put_in_force(&self, config: Arc<Config>) {
        self.dispatcher.put_in_force(config);
        let leaving = self.leaving().leaving_upstreams();
        for upstream in leaving {
            self.dispatcher.handle(Event::LeavingChanged { upstream, leaving: true });
        }
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    pub(crate) fn start_draining(&self) {
        self.draining.store(true, Ordering::SeqCst);
        self.membership().stop();
    }

    /// Whether the balancer should send callers here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_draining() && self.freshness() == Freshness::Current
    }
}
