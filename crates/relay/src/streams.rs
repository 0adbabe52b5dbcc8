//! Streams that callers take up again: at which software version they continue.

use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::origins::OriginLog;
use cranberryvalve_coordination::origins::StreamKey;
use cranberryvalve_coordination::origins::StreamOrigin;
use cranberryvalve_coordination::origins::stream_key;
use cranberryvalve_coordination::versions::VersionHistory;
use cranberryvalve_coordination::versions::VersionRecord;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::SoftwareVersion;
use cranberryvalve_core::table::RouteRule;
use cranberryvalve_policy::scheduler::UpstreamRecord;

use crate::state::Relay;

/// Why a stream cannot be continued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ContinuationError {
    /// No VM knows which of several software versions began the stream.
    UnknownOrigin,
    /// The route no longer leads to the pool that began the stream.
    PoolRemoved,
}

impl ContinuationError {
    /// Returns the message for the caller.
    pub(crate) const fn message(self) -> &'static str {
        match self {
            Self::UnknownOrigin => {
                "not run: it is not known which software version began the stream"
            }
            Self::PoolRemoved => {
                "not run: the route no longer leads to the pool that began the stream"
            }
        }
    }
}

/// What this VM knows of the origins of streams and of the software versions that serve.
#[derive(Debug)]
pub(crate) struct Streams {
    state: Mutex<State>,
    /// Signalled when the record in the store may have to be read or written.
    versions_changed: Condvar,
}

#[derive(Debug)]
struct State {
    origins: OriginLog,
    versions: VersionHistory,
}

impl Streams {
    pub(crate) fn new(now: Instant) -> Self {
        let state = State { origins: OriginLog::default(), versions: VersionHistory::new(now) };
        Self { state: Mutex::new(state), versions_changed: Condvar::new() }
    }

    /// Declares that the whole system starts for the first time.
    pub(crate) fn set_first_start(&self) {
        self.lock().versions.set_first_start(Instant::now());
    }

    /// Returns the origin of a stream, or `None` if this VM does not know it.
    pub(crate) fn origin(&self, stream: StreamKey) -> Option<StreamOrigin> {
        self.lock().origins.origin(Instant::now(), stream).cloned()
    }

    /// Records the origins of streams that other VMs began.
    pub(crate) fn record_all(&self, streams: Vec<(StreamKey, StreamOrigin)>) {
        let (now, mut state) = (Instant::now(), self.lock());
        for (stream, origin) in streams {
            state.origins.record(now, stream, origin);
        }
    }

    /// Records that this VM began or continued a stream. Returns `true` if the coordinators of the
    /// stream have to know, as several versions serve the pool.
    fn record_own(&self, stream: StreamKey, origin: StreamOrigin) -> bool {
        let (now, mut state) = (Instant::now(), self.lock());
        let is_mixed = state.versions.is_mixed(now, &origin.pool);
        state.origins.record(now, stream, origin);
        is_mixed
    }

    /// Records the upstreams of the directory. Returns the streams whose coordinators have to know,
    /// as several versions serve their pool from now on.
    fn observe(&self, upstreams: &[UpstreamRecord]) -> Vec<(StreamKey, StreamOrigin)> {
        let (now, mut state) = (Instant::now(), self.lock());
        let versions = upstreams.iter().map(|it| (it.pool.clone(), it.software_version.clone()));
        let mixed = state.versions.observe(now, versions);
        self.versions_changed.notify_all();
        state.streams_of(now, &mixed)
    }

    fn merge(&self, records: &[VersionRecord]) -> Vec<(StreamKey, StreamOrigin)> {
        let (now, mut state) = (Instant::now(), self.lock());
        let mixed = state.versions.merge(now, records);
        state.streams_of(now, &mixed)
    }

    fn sole_version(&self, pool: &str) -> Option<SoftwareVersion> {
        self.lock().versions.sole_version(Instant::now(), pool)
    }

    /// Returns `true` if the store's record of the versions of some pool is not known.
    pub(crate) fn lacks_records(&self) -> bool {
        self.lock().versions.lacks_records()
    }

    /// Forgets what the store had, after it was restored from a copy.
    pub(crate) fn forget_records(&self) {
        self.lock().versions.forget_records();
    }

    /// Returns the records to be written to the store.
    pub(crate) fn due_records(&self) -> Vec<VersionRecord> {
        self.lock().versions.due_records(Instant::now())
    }

    /// Waits at most `timeout` for a change of the directory.
    pub(crate) fn wait_for_change(&self, timeout: Duration) {
        let waited = self.versions_changed.wait_timeout(self.lock(), timeout);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn streams_of(&self, now: Instant, pools: &[PoolId]) -> Vec<(StreamKey, StreamOrigin)> {
        pools.iter().flat_map(|it| self.origins.streams_of(now, it)).collect()
    }
}

impl Relay {
    /// Records the software versions of a new directory.
    pub(crate) fn observe_versions(&self, upstreams: &[UpstreamRecord]) {
        let streams = self.streams.observe(upstreams);
        self.send_origins(&streams);
    }

    /// Merges what the store has of the software versions.
    pub(crate) fn merge_version_records(&self, records: &[VersionRecord]) {
        let streams = self.streams.merge(records);
        self.send_origins(&streams);
    }

    /// Records that an upstream generated the first event of a call that begins or continues the
    /// stream of request `request_id`. Called before the event leaves.
    ///
    /// Where the route leads to several pools (`is_split`), its coordinators have to know the pool even
    /// if there is one version only.
    pub(crate) fn record_stream(
        &self,
        request_id: &str,
        upstream: &UpstreamRecord,
        is_split: bool,
    ) {
        let origin = StreamOrigin {
            pool: upstream.pool.clone(),
            software_version: upstream.software_version.clone(),
        };
        let stream = stream_key(request_id);
        if self.streams.record_own(stream, origin.clone()) || is_split {
            self.send_origins(&[(stream, origin)]);
        }
    }

    fn send_origins(&self, streams: &[(StreamKey, StreamOrigin)]) {
        if let Some(peers) = self.peers().filter(|_| !streams.is_empty()) {
            peers.send_origins(streams);
        }
    }

    /// Returns where a stream continues that the request named `request_id` began.
    ///
    /// # Errors
    ///
    /// Returns an error if the stream cannot be continued, or might be continued at another version.
    pub(crate) fn continuation(
        &self,
        route: &RouteRule,
        request_id: Option<&str>,
    ) -> Result<StreamOrigin, ContinuationError> {
        let Some(origin) = request_id.and_then(|it| self.find_origin(stream_key(it))) else {
            return self.only_origin(route).ok_or(ContinuationError::UnknownOrigin);
        };
        let is_allowed = route.pools.iter().any(|it| it.pool == origin.pool);
        is_allowed.then_some(origin).ok_or(ContinuationError::PoolRemoved)
    }

    fn find_origin(&self, stream: StreamKey) -> Option<StreamOrigin> {
        self.streams.origin(stream).or_else(|| {
            let origin = self.peers()?.query_origin(stream)?;
            self.streams.record_all(vec![(stream, origin.clone())]);
            Some(origin)
        })
    }

    /// Returns the only origin that a stream of the route can have. If the route leads to several
    /// pools, that is one in the pool that gets most of its calls: a stream that the coordinators do
    /// not know began before the route was split.
    fn only_origin(&self, route: &RouteRule) -> Option<StreamOrigin> {
        let main = route.pools.iter().max_by_key(|it| it.weight)?;
        let software_version = self.streams.sole_version(&main.pool)?;
        Some(StreamOrigin { pool: main.pool.clone(), software_version })
    }
}
