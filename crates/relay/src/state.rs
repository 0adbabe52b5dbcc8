//! Everything that the threads of a relay share.

use std::collections::HashSet;
use std::io;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::table::RoutingTable;
use cranberryvalve_policy::scheduler::PeerLoad;
use cranberryvalve_policy::scheduler::SchedulerEvent;
use cranberryvalve_policy::scheduler::SchedulerSettings;
use cranberryvalve_policy::scheduler::UpstreamRecord;
use slog::Logger;
use socket2::SockRef;

use crate::connections::KeptConnections;
use crate::dialect::Dialect;
use crate::dispatch::Dispatcher;
use crate::service::serve;
use crate::socket::Waker;

/// Stack of a connection's thread, in bytes.
const STACK_BYTES: usize = 256 * 1024;

/// Pause of the accepting thread after a failure, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Fixed properties of a relay.
#[derive(Debug, Clone, Default)]
pub struct RelaySettings {
    /// Properties of the scheduler.
    pub scheduler: SchedulerSettings,
    /// Connections of callers at the same time.
    pub max_connections: usize,
}

/// Callers, scheduler and upstreams of one VM.
pub struct Relay {
    pub(crate) settings: RelaySettings,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) log: Logger,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) kept: KeptConnections,
    /// Wakes the threads of idle callers when the relay closes.
    pub(crate) closing: Waker,
    listener: Mutex<Option<TcpListener>>,
    table: RwLock<Option<Arc<RoutingTable>>>,
    is_draining: AtomicBool,
    connections: AtomicUsize,
    busy: AtomicUsize,
}

impl Relay {
    /// Creates a relay that knows no configuration and no upstream yet.
    ///
    /// # Errors
    ///
    /// Fails when no more files can be opened.
    pub fn new(
        settings: RelaySettings,
        dialect: Arc<dyn Dialect>,
        log: Logger,
    ) -> io::Result<Arc<Self>> {
        let dispatcher = Arc::new(Dispatcher::new(settings.scheduler.clone()));
        Ok(Arc::new(Self {
            settings,
            dialect,
            log,
            dispatcher,
            kept: KeptConnections::default(),
            closing: Waker::new()?,
            listener: Mutex::default(),
            table: RwLock::default(),
            is_draining: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            busy: AtomicUsize::new(0),
        }))
    }

    /// Listens for callers at `address` and starts to serve them.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or not this VM's, or no thread can be had.
    pub fn listen(self: &Arc<Self>, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        *self.lock_listener() = Some(listener.try_clone()?);
        let relay = self.clone();
        thread::Builder::new().name("accept".to_owned()).spawn(move || relay.accept(&listener))?;
        let dispatcher = self.dispatcher.clone();
        thread::Builder::new().name("tick".to_owned()).spawn(move || dispatcher.run_ticks())?;
        Ok(())
    }

    /// Puts a routing table in force, unless a newer one is; true when it is in force now.
    pub fn put_table(&self, table: Arc<RoutingTable>) -> bool {
        let mut current = self.table.write().unwrap_or_else(PoisonError::into_inner);
        if current.as_ref().is_some_and(|it| it.version() >= table.version()) {
            return false;
        }
        *current = Some(table.clone());
        drop(current);
        self.dispatcher.put_in_force(table);
        true
    }

    /// The routing table in force; none before the first one.
    pub fn table(&self) -> Option<Arc<RoutingTable>> {
        self.table.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Replaces the directory of upstreams.
    pub fn put_directory(&self, records: Vec<UpstreamRecord>) {
        let in_service = records.iter().filter(|it| !it.is_leaving).map(|it| it.id.clone());
        let in_service: HashSet<UpstreamId> = in_service.collect();
        self.dispatcher.handle(SchedulerEvent::DirectoryChanged(records));
        self.kept.retain(|it| in_service.contains(it));
    }

    /// The directory of upstreams in force.
    pub fn directory(&self) -> Vec<UpstreamRecord> {
        self.dispatcher.directory()
    }

    /// Takes what another VM has in flight, or how many VMs there are.
    pub fn hear_peer(&self, event: SchedulerEvent) {
        self.dispatcher.handle(event);
    }

    /// What the other VMs are told of this VM's work.
    pub fn loads_for_peers(&self) -> Vec<PeerLoad> {
        self.dispatcher.loads_for_peers()
    }

    /// Whether the balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        !self.is_draining() && self.table().is_some() && !self.directory().is_empty()
    }

    /// Whether the relay is stopping.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::SeqCst)
    }

    /// Requests that are being read or answered.
    pub fn busy_callers(&self) -> usize {
        self.busy.load(Ordering::SeqCst)
    }

    /// Calls that wait or are in flight.
    pub fn live_calls(&self) -> usize {
        self.dispatcher.live_calls()
    }

    /// Open connections of callers.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    pub(crate) fn start_draining(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }

    /// Takes no new connection and no new request; those under way go on.
    pub(crate) fn close(&self) {
        if let Some(listener) = self.lock_listener().take() {
            // Wakes the accepting thread; an error means that it is closed already.
            let _ = SockRef::from(&listener).shutdown(Shutdown::Both);
        }
        self.closing.wake();
    }

    fn lock_listener(&self) -> MutexGuard<'_, Option<TcpListener>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request until the guard is dropped.
    pub(crate) fn count_busy(&self) -> CountGuard<'_> {
        CountGuard::new(&self.busy)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        loop {
            match listener.accept() {
                Ok((stream, _)) => self.admit(stream),
                Err(_) if self.lock_listener().is_none() => return,
                Err(_) => thread::sleep(ACCEPT_PAUSE),
            }
        }
    }

    fn admit(self: &Arc<Self>, stream: TcpStream) {
        let relay = self.clone();
        let builder = thread::Builder::new().name("caller".to_owned()).stack_size(STACK_BYTES);
        // When no thread can be had, the connection is closed by dropping it.
        let _ = builder.spawn(move || {
            let _count = CountGuard::new(&relay.connections);
            serve(&relay, stream);
        });
    }
}

/// Counts one more until it is dropped.
pub(crate) struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}
