//! State shared by all threads of a relay.

use std::collections::HashMap;
use std::collections::HashSet;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_adapters::telemetry::LogRateLimiter;
use cranberryvalve_coordination::feed::FeedDelta;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_core::Departure;
use cranberryvalve_core::StoreEra;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::VmId;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SchedulerSettings;
use cranberryvalve_policy::scheduler::UpstreamNotice;
use cranberryvalve_policy::scheduler::UpstreamRecord;
use slog::Logger;
use slog::warn;
use socket2::SockRef;

use crate::config_log::log_activation;
use crate::connections::IdleConnections;
use crate::count_guard::CountGuard;
use crate::crashes::CrashGuard;
use crate::dialect::Dialect;
use crate::dispatch::Dispatcher;
use crate::dispatch::Mailbox;
use crate::forwarding::Forwarding;
use crate::lifecycle::Lifecycle;
use crate::memory::MemoryBudget;
use crate::memory::max_connections;
use crate::peers::Peers;
use crate::peers::PermitCoordinator;
use crate::peers::TableExchange;
use crate::service::Sender;
use crate::service::serve_connection;
use crate::slots::ConnectionSlots;
use crate::sources::PollInterrupts;
use crate::sources::RoutingTableFeed;
use crate::sources::Row;
use crate::sources::SharedDirectory;
use crate::streams::Streams;
use crate::usage::Usage;

/// Stack size of a thread that serves a connection, in bytes.
const HANDLER_STACK_BYTES: usize = 256 * 1024;

/// Number of connections beyond the maximum that get a response before they are closed. Each has a
/// thread; further ones are closed at once.
const REFUSED_CONNECTIONS: usize = 32;

/// Delay before accepting again after a failure, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Settings of a relay that do not change at run time.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Settings of the scheduler.
    pub scheduler: SchedulerSettings,
    /// Maximum number of concurrent caller connections, as far as descriptors allow.
    pub max_connections: usize,
    /// Memory for connections, request bodies and responses, in bytes.
    pub memory_bytes: usize,
    /// Time within which a VM has to know what the store acknowledges.
    pub contact_time: Duration,
}

/// Relays calls from callers to the upstreams chosen by the scheduler, on one VM.
pub struct Relay {
    pub(crate) settings: RelaySettings,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) log: Logger,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) idle_connections: IdleConnections,
    pub(crate) memory: MemoryBudget,
    slots: ConnectionSlots,
    /// Limits the log lines of routine calls.
    pub(crate) call_log_limiter: LogRateLimiter,
    pub(crate) lifecycle: Lifecycle,
    /// Listeners for callers and for other VMs, until the relay closes.
    listeners: Mutex<Vec<TcpListener>>,
    active_table: RwLock<Option<Arc<RoutingTable>>>,
    /// Recent routing tables, for the peers.
    pub(crate) tables: TableExchange,
    peers: OnceLock<Arc<Peers>>,
    /// When each source last responded, by name of the source.
    last_responses: Mutex<HashMap<&'static str, Instant>>,
    /// Latest era in which the store was restored while this VM ran; 0 before that.
    store_era: AtomicU64,
    pub(crate) poll_interrupts: PollInterrupts,
    pub(crate) shared_directory: SharedDirectory,
    pub(crate) permits: PermitCoordinator,
    pub(crate) crash_guard: CrashGuard,
    pub(crate) streams: Streams,
    pub(crate) usage: Usage,
    pub(crate) forwarding: Forwarding,
    /// Maximum number of concurrent caller connections, by descriptors and by memory.
    pub(crate) max_connections: usize,
    caller_connections: AtomicUsize,
    active_requests: AtomicUsize,
}

impl Relay {
    /// Creates a relay without a configuration or upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if no file descriptor is available.
    pub fn new(
        settings: RelaySettings,
        dialect: Arc<dyn Dialect>,
        log: Logger,
    ) -> io::Result<Arc<Self>> {
        let failure_domain = settings.scheduler.failure_domain.clone().unwrap_or_default();
        let dispatcher = Arc::new(Dispatcher::new(settings.scheduler.clone(), log.clone()));
        let max_connections = settings.max_connections.min(max_connections(settings.memory_bytes));
        Ok(Arc::new(Self {
            memory: MemoryBudget::new(settings.memory_bytes, log.clone()),
            slots: ConnectionSlots::new(max_connections, log.clone()),
            max_connections,
            settings,
            dialect,
            dispatcher,
            idle_connections: IdleConnections::default(),
            call_log_limiter: LogRateLimiter::new(Instant::now()),
            lifecycle: Lifecycle::new()?,
            listeners: Mutex::default(),
            active_table: RwLock::default(),
            tables: TableExchange::default(),
            peers: OnceLock::new(),
            last_responses: Mutex::default(),
            store_era: AtomicU64::new(0),
            poll_interrupts: PollInterrupts::default(),
            shared_directory: SharedDirectory::new(Instant::now()),
            permits: PermitCoordinator::default(),
            crash_guard: CrashGuard::new(log.clone()),
            streams: Streams::new(Instant::now()),
            usage: Usage::default(),
            forwarding: Forwarding::new(failure_domain, Instant::now()),
            log,
            caller_connections: AtomicUsize::new(0),
            active_requests: AtomicUsize::new(0),
        }))
    }

    /// Binds to `address` and starts serving callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use or not local, or if a thread cannot be spawned.
    pub fn listen(self: &Arc<Self>, address: SocketAddr) -> io::Result<()> {
        self.spawn_accept_loop(address, Sender::Caller)?;
        let dispatcher = self.dispatcher.clone();
        thread::Builder::new().name("tick".to_owned()).spawn(move || dispatcher.run_ticks())?;
        let relay = self.clone();
        thread::Builder::new().name("permits".to_owned()).spawn(move || relay.run_permits())?;
        let relay = self.clone();
        thread::Builder::new()
            .name("crashes".to_owned())
            .spawn(move || relay.run_crash_detection())?;
        let relay = self.clone();
        thread::Builder::new()
            .name("suspects".to_owned())
            .spawn(move || relay.run_suspect_forwarding())?;
        let relay = self.clone();
        thread::Builder::new().name("links".to_owned()).spawn(move || relay.run_link_checks())?;
        Ok(())
    }

    /// Binds to `address` and starts serving calls of VMs that reach no upstream.
    ///
    /// # Errors
    ///
    /// Returns an error if the address is in use or not local, or if a thread cannot be spawned.
    pub fn listen_for_vms(self: &Arc<Self>, address: SocketAddr) -> io::Result<()> {
        let address = self.spawn_accept_loop(address, Sender::Vm)?;
        self.forwarding.set_address(address);
        Ok(())
    }

    fn spawn_accept_loop(
        self: &Arc<Self>,
        address: SocketAddr,
        sender: Sender,
    ) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        self.lock_listeners().push(listener.try_clone()?);
        let (relay, work) = (self.clone(), self.lifecycle.begin_thread());
        thread::Builder::new().name("accept".to_owned()).spawn(move || {
            relay.accept_loop(&listener, sender);
            drop(work);
        })?;
        Ok(address)
    }

    /// Decodes a row and activates its routing table if it is newer than the active one.
    pub(crate) fn apply_row(&self, feed: &dyn RoutingTableFeed, row: &Row, source: &'static str) {
        match feed.decode(row) {
            None => {}
            Some(Ok(table)) => self.activate_table(Arc::new(table), source),
            Some(Err(message)) => {
                warn!(self.log, "invalid configuration ignored"; "source" => source,
                    "error" => message);
            }
        }
    }

    /// Activates a routing table if it is newer than the active one, and announces it to the peers.
    pub(crate) fn activate_table(&self, table: Arc<RoutingTable>, source: &'static str) {
        let version = table.version();
        let mut current = self.active_table.write().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|it| it.version() >= version) {
            return;
        }
        *current = Some(table.clone());
        self.tables.record(&table);
        drop(current);
        log_activation(&self.log, &table, source);
        self.dispatcher.activate_table(table);
        if let Some(peers) = self.peers.get() {
            peers.announce();
        }
    }

    /// Returns the active routing table, or `None` before the first configuration.
    pub fn routing_table(&self) -> Option<Arc<RoutingTable>> {
        self.active_table.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_peers(&self, peers: Arc<Peers>) {
        // Called only once, when the VM joins its peers.
        let _ = self.peers.set(peers);
    }

    /// Returns the peers for a thread of its own, or `None` before the VM has joined them.
    pub(crate) fn shared_peers(&self) -> Option<Arc<Peers>> {
        self.peers.get().cloned()
    }

    /// Returns the peers, or `None` before the VM has joined them.
    pub(crate) fn peers(&self) -> Option<&Peers> {
        self.peers.get().map(|it| &**it)
    }

    /// Replaces the directory of upstreams and closes idle connections to upstreams that are
    /// leaving or no longer listed.
    pub fn replace_directory(&self, records: Vec<UpstreamRecord>) {
        let active_ids = records.iter().filter(|it| !it.is_leaving).map(|it| it.id.clone());
        let active_ids: HashSet<UpstreamId> = active_ids.collect();
        // The coordinators of open streams have to know of a further version before it serves.
        self.observe_versions(&records);
        self.forwarding.observe_upstreams(&records);
        self.dispatcher.handle(SchedulerEvent::DirectoryChanged(records));
        self.idle_connections.retain(|it| active_ids.contains(it));
    }

    /// Applies what an upstream announced about its availability in a response.
    pub(crate) fn handle_notice(&self, upstream: &UpstreamRecord, notice: UpstreamNotice) {
        let (id, incarnation) = (upstream.id.clone(), upstream.incarnation);
        self.dispatcher.handle(SchedulerEvent::NoticeReceived {
            upstream: id,
            incarnation,
            notice,
        });
        if notice == UpstreamNotice::Leaving {
            self.idle_connections.close(&upstream.id);
            self.forward_departures();
        }
    }

    /// Applies departures of upstreams that another VM told.
    pub(crate) fn handle_peer_departures(&self, departures: Vec<Departure>) {
        departures.iter().for_each(|it| self.idle_connections.close(&it.upstream));
        self.dispatcher.handle(SchedulerEvent::PeerDepartures(departures));
        self.forward_departures();
    }

    /// Tells the neighbours of departures that are new to this VM.
    fn forward_departures(&self) {
        let Some(peers) = self.peers() else { return };
        let departures = self.dispatcher.take_departures();
        if !departures.is_empty() {
            peers.send_departures(&departures);
        }
    }

    /// Tells the other VMs of upstreams that had no room for requests of this VM, and fail under too
    /// many refusals.
    pub(crate) fn forward_refusals(&self) {
        let refusals = self.dispatcher.take_refusals();
        if let Some(peers) = self.peers().filter(|_| !refusals.is_empty()) {
            metrics::counter!("cranberryvalve_brittle_refusals_total").increment(1);
            peers.send_refusals(refusals);
        }
    }

    /// Records that the store was restored from a copy and is in this era.
    pub(crate) fn record_store_era(&self, era: StoreEra) {
        let previous = self.store_era.fetch_max(era, Ordering::SeqCst);
        if era <= previous {
            return;
        }
        self.poll_interrupts.interrupt_all();
        if let Some(peers) = self.peers.get() {
            peers.check_link_key(era);
        }
    }

    /// Returns the latest era in which the store was restored while this VM ran; 0 before that.
    pub(crate) fn store_era(&self) -> StoreEra {
        self.store_era.load(Ordering::SeqCst)
    }

    /// Returns `true` if this VM reads the sources for its failure domain, or has had the time to
    /// find peers there and has none.
    pub(crate) fn is_source_reader(&self) -> bool {
        let (own, vms) = self.failure_domain_members();
        self.shared_directory.is_reader(Instant::now(), &own, &vms)
    }

    /// Returns `true` if this VM is the first of its failure domain to read the sources.
    pub(crate) fn is_first_source_reader(&self) -> bool {
        let (own, vms) = self.failure_domain_members();
        self.shared_directory.is_first_reader(Instant::now(), &own, &vms)
    }

    /// Returns whether a VM is in the failure domain of this one.
    pub(crate) fn is_near(&self, vm: &PeerAddress) -> bool {
        self.settings.scheduler.failure_domain.as_ref() == Some(&vm.failure_domain)
    }

    /// Ends long polls if this VM has become the first reader of its failure domain.
    pub(crate) fn check_long_polls(&self) {
        if self.is_first_source_reader() {
            self.poll_interrupts.interrupt_longer_than(self.settings.contact_time);
        }
    }

    /// Tells the scheduler whether changes of the directory reach this VM.
    pub(crate) fn check_directory_source(&self) {
        let is_reached = self.shared_directory.is_source_certain(Instant::now());
        self.dispatcher.handle(SchedulerEvent::DirectorySource { is_reached });
    }

    fn failure_domain_members(&self) -> (VmId, Vec<VmId>) {
        let members = self.peers().map(Peers::failure_domain_members);
        members.unwrap_or_else(|| ("".into(), Vec::new()))
    }

    /// Tells the other VMs of the failure domain whether this VM reaches the source of the
    /// directory, with a delta if there is one. Does nothing unless this VM reads the source.
    pub(crate) fn report_directory(&self, delta: Option<FeedDelta>) {
        let Some(peers) = self.peers() else { return };
        if let Some(report) = self.shared_directory.report(Instant::now(), delta) {
            peers.broadcast_feed_report(report);
        }
    }

    /// Records that a source has responded.
    pub(crate) fn record_source_response(&self, source: &'static str) {
        self.lock_last_responses().insert(source, Instant::now());
    }

    /// Returns the time since each source last responded.
    pub(crate) fn source_ages(&self) -> Vec<(&'static str, Duration)> {
        self.lock_last_responses().iter().map(|(source, at)| (*source, at.elapsed())).collect()
    }

    fn lock_last_responses(&self) -> MutexGuard<'_, HashMap<&'static str, Instant>> {
        self.last_responses.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns `true` if the load balancer should send callers to this VM: the relay is not
    /// draining, has a configuration and knows an upstream.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.routing_table().is_some() && self.dispatcher.has_upstreams()
    }

    /// Returns `true` if the relay is shutting down.
    pub fn is_draining(&self) -> bool {
        self.lifecycle.is_draining()
    }

    /// Returns the number of requests that are being read or responded to.
    pub fn active_requests(&self) -> usize {
        self.active_requests.load(Ordering::SeqCst)
    }

    /// Returns the number of calls that are queued or in flight.
    pub fn live_calls(&self) -> usize {
        self.dispatcher.live_calls()
    }

    /// Returns the number of open caller connections.
    pub fn caller_connections(&self) -> usize {
        self.caller_connections.load(Ordering::SeqCst)
    }

    /// Tells the other VMs that this one leaves.
    pub(crate) fn leave_peers(&self) {
        if let Some(peers) = self.peers.get() {
            peers.leave();
        }
    }

    /// Sends what this VM knows of streams to the VMs that remain.
    pub(crate) fn hand_over_origins(&self) {
        if let Some(peers) = self.peers.get() {
            peers.hand_over_origins();
        }
    }

    /// Stops accepting connections; those that are open continue.
    pub(crate) fn close_listeners(&self) {
        for listener in self.lock_listeners().drain(..) {
            // Wakes the accepting thread. An error means that the listener is closed already.
            let _ = SockRef::from(&listener).shutdown(Shutdown::Both);
        }
    }

    fn lock_listeners(&self) -> MutexGuard<'_, Vec<TcpListener>> {
        self.listeners.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request as active until the guard is dropped.
    pub(crate) fn track_request(&self) -> CountGuard<'_> {
        CountGuard::new(&self.active_requests)
    }

    fn accept_loop(self: &Arc<Self>, listener: &TcpListener, sender: Sender) {
        loop {
            match listener.accept() {
                Ok((stream, _)) => self.spawn_handler(stream, sender),
                Err(_) if self.lock_listeners().is_empty() => return,
                Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
            }
        }
    }

    fn spawn_handler(self: &Arc<Self>, stream: TcpStream, sender: Sender) {
        let connections = self.caller_connections.fetch_add(1, Ordering::SeqCst);
        let guard = ConnectionGuard(self.clone());
        // A mailbox needs a file descriptor; when none is left, the connection cannot be served.
        let Ok(mailbox) = Mailbox::new().map(Arc::new) else { return };
        let slot = self.slots.admit(mailbox.waker().clone());
        if slot.is_none() && connections >= self.max_connections + REFUSED_CONNECTIONS {
            self.memory.record_refusal("connection");
            return;
        }
        let work = self.lifecycle.begin_thread();
        let builder =
            thread::Builder::new().name("caller".to_owned()).stack_size(HANDLER_STACK_BYTES);
        // If no thread can be spawned, dropping the stream closes the connection.
        let _ = builder.spawn(move || {
            serve_connection(&guard.0, stream, sender, mailbox, slot);
            drop(guard);
            drop(work);
        });
    }
}

/// A caller's connection, counted until it is dropped.
struct ConnectionGuard(Arc<Relay>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.caller_connections.fetch_sub(1, Ordering::SeqCst);
    }
}
