//! Streams that callers take up again: at which software version they continue.

mod running;
mod stored;

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

use crate::peers::OriginReply;
use crate::peers::Peers;
use crate::state::Relay;

pub(crate) use self::running::RunningStream;
use self::running::RunningStreams;
use self::stored::StoredOrigins;

/// Maximum time that a call waits for a read of the store's record: the store's response, after one to
/// a read that began before.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of a read of the store's record, in the order in which reads began.
type ReadId = u64;

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
    /// Origins in the store.
    pub(crate) stored: StoredOrigins,
    /// Signalled when the record in the store may have to be read or written.
    versions_changed: Condvar,
    /// Signalled when the record was read.
    read_ended: Condvar,
}

#[derive(Debug)]
struct State {
    origins: OriginLog,
    /// Origins that this VM keeps for the VMs that began the streams. They may have changed since, so
    /// that no stream is continued by them until its coordinators know them.
    copies: OriginLog,
    running: RunningStreams,
    versions: VersionHistory,
    confirmation: Confirmation,
    /// Whether this VM was among a minority since the last confirmation. Members that are dead for
    /// long are forgotten.
    was_minority: bool,
}

/// Running streams whose origins no other VM keeps.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct UncopiedStreams {
    /// Streams of pools with several versions, whose coordinators were told when they began or when the
    /// second version appeared. They are to be recorded in the store.
    pub(crate) told: Vec<(StreamKey, StreamOrigin)>,
    /// Streams of pools with one version, of which other VMs are to keep copies.
    pub(crate) untold: Vec<(StreamKey, StreamOrigin)>,
}

/// Reads of the store's record for calls that cannot rely on what this VM knows.
#[derive(Debug, Default)]
struct Confirmation {
    /// Whether a call waits for a read that has not begun.
    is_requested: bool,
    /// Read that began last.
    last_read: ReadId,
    /// Read that succeeded last, and its records.
    last_success: ReadId,
    records: Vec<VersionRecord>,
}

impl Streams {
    pub(crate) fn new(now: Instant) -> Self {
        let state = State {
            origins: OriginLog::default(),
            copies: OriginLog::default(),
            running: RunningStreams::default(),
            versions: VersionHistory::new(now),
            confirmation: Confirmation::default(),
            was_minority: false,
        };
        Self {
            state: Mutex::new(state),
            stored: StoredOrigins::default(),
            versions_changed: Condvar::new(),
            read_ended: Condvar::new(),
        }
    }

    /// Declares that the whole system starts for the first time.
    pub(crate) fn set_first_start(&self) {
        self.lock().versions.set_first_start(Instant::now());
    }

    /// Returns the origin of a stream, or `None` if this VM does not know it.
    pub(crate) fn origin(&self, stream: StreamKey) -> Option<StreamOrigin> {
        self.lock().origins.origin(Instant::now(), stream).cloned()
    }

    /// Returns the origins of all streams that this VM knows.
    pub(crate) fn recent_origins(&self) -> Vec<(StreamKey, StreamOrigin)> {
        let (now, state) = (Instant::now(), self.lock());
        [state.origins.recent(now), state.copies.recent(now)].concat()
    }

    /// Returns the origins of running streams that no other VM keeps yet, and takes them for copied.
    pub(crate) fn take_uncopied(&self) -> UncopiedStreams {
        let (now, mut state) = (Instant::now(), self.lock());
        let uncopied = state.running.take_uncopied();
        let origin = |stream| Some((stream, state.origins.origin(now, stream)?.clone()));
        let uncopied = uncopied.into_iter().filter_map(origin);
        let (told, untold) = uncopied.partition(|(_, it)| state.versions.is_mixed(now, &it.pool));
        UncopiedStreams { told, untold }
    }

    /// Keeps copies of origins for another VM. Returns those whose coordinators have to know, as several
    /// versions serve their pool.
    fn record_copies(
        &self,
        streams: Vec<(StreamKey, StreamOrigin)>,
    ) -> Vec<(StreamKey, StreamOrigin)> {
        let (now, mut state) = (Instant::now(), self.lock());
        let mut mixed = streams.clone();
        mixed.retain(|(_, origin)| state.versions.is_mixed(now, &origin.pool));
        for (stream, origin) in streams {
            state.copies.record(now, stream, origin);
        }
        mixed
    }

    /// Records the origins of streams that other VMs began.
    pub(crate) fn record_all(&self, streams: Vec<(StreamKey, StreamOrigin)>) {
        let (now, mut state) = (Instant::now(), self.lock());
        for (stream, origin) in streams {
            state.origins.record(now, stream, origin);
        }
    }

    /// Records that this VM began or continued a stream. Returns `true` if the coordinators of the
    /// stream have to know, as several versions serve the pool or may do.
    fn record_own(&self, stream: StreamKey, origin: StreamOrigin) -> bool {
        let (now, mut state) = (Instant::now(), self.lock());
        let is_mixed = state.versions.is_mixed(now, &origin.pool) || !origin.is_certain();
        state.origins.record(now, stream, origin);
        is_mixed
    }

    /// Records the upstreams of the directory. Returns the streams whose coordinators have to know,
    /// as several versions serve their pool from now on, or as their own version is in doubt.
    fn observe(&self, upstreams: &[UpstreamRecord]) -> Vec<(StreamKey, StreamOrigin)> {
        let (now, mut state) = (Instant::now(), self.lock());
        let versions = upstreams.iter().map(|it| (it.pool.clone(), it.software_version.clone()));
        let mixed = state.versions.observe(now, versions);
        mixed.iter().for_each(|it| state.running.forget_copies(it));
        self.versions_changed.notify_all();
        let doubted = state.running.doubted(upstreams);
        for (stream, origin) in &doubted {
            state.origins.record(now, *stream, origin.clone());
        }
        [state.streams_of(now, &mixed), doubted].concat()
    }

    fn merge(
        &self,
        records: &[VersionRecord],
        are_trusted: bool,
    ) -> Vec<(StreamKey, StreamOrigin)> {
        let (now, mut state) = (Instant::now(), self.lock());
        let mixed = state.versions.merge(now, records, are_trusted);
        mixed.iter().for_each(|it| state.running.forget_copies(it));
        state.streams_of(now, &mixed)
    }

    fn sole_version(&self, pool: &str) -> Option<SoftwareVersion> {
        self.lock().versions.sole_version(Instant::now(), pool)
    }

    /// Returns the only version of the pool if a read of the store's record that begins after this call
    /// names no other.
    fn confirm_sole_version(&self, pool: &str) -> Option<SoftwareVersion> {
        let mut state = self.lock();
        let earlier = state.confirmation.last_read;
        state.confirmation.is_requested = true;
        self.versions_changed.notify_all();
        let is_pending = |it: &mut State| it.confirmation.last_success <= earlier;
        let waited = self.read_ended.wait_timeout_while(state, CONFIRMATION_TIMEOUT, is_pending);
        let mut state = waited.unwrap_or_else(PoisonError::into_inner).0;
        if is_pending(&mut state) {
            return None;
        }
        let records = &state.confirmation.records;
        state.versions.confirmed_sole_version(Instant::now(), pool, records)
    }

    /// Records that a read begins, and returns its number; `None` if no call waits for one.
    pub(crate) fn begin_confirmation(&self) -> Option<ReadId> {
        let confirmation = &mut self.lock().confirmation;
        if !std::mem::take(&mut confirmation.is_requested) {
            return None;
        }
        confirmation.last_read += 1;
        Some(confirmation.last_read)
    }

    /// Records what a read has brought.
    pub(crate) fn end_confirmation(&self, read: ReadId, records: Vec<VersionRecord>) {
        let mut state = self.lock();
        state.confirmation.last_success = read;
        state.confirmation.records = records;
        state.was_minority = false;
        self.read_ended.notify_all();
    }

    /// Records that this VM may be cut off from the other VMs.
    pub(crate) fn record_minority(&self) {
        self.lock().was_minority = true;
    }

    fn was_minority(&self) -> bool {
        self.lock().was_minority
    }

    /// Returns `true` if the store's record of the versions of some pool is not known.
    pub(crate) fn lacks_records(&self) -> bool {
        self.lock().versions.lacks_records()
    }

    /// Returns `true` if this VM may not know all versions of a pool that is in the store.
    pub(crate) fn is_incomplete(&self) -> bool {
        self.lock().versions.is_incomplete(Instant::now())
    }

    /// Returns `true` if the records in the store name all versions, as far as they were read.
    pub(crate) fn confirms_records(&self) -> bool {
        self.lock().versions.confirms_records(Instant::now())
    }

    /// Forgets what the store had, after it was restored from a copy.
    pub(crate) fn forget_records(&self) {
        self.lock().versions.forget_records();
    }

    /// Returns the records to be written to the store.
    pub(crate) fn due_records(&self) -> Vec<VersionRecord> {
        self.lock().versions.due_records(Instant::now())
    }

    /// Waits at most `timeout` for a call that needs a read.
    pub(crate) fn wait_for_request(&self, timeout: Duration) {
        let is_idle = |it: &mut State| !it.confirmation.is_requested;
        let waited = self.versions_changed.wait_timeout_while(self.lock(), timeout, is_idle);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    /// Waits at most `timeout` for a change of the directory or a call that needs a read.
    pub(crate) fn wait_for_change(&self, timeout: Duration) {
        let state = self.lock();
        if state.confirmation.is_requested {
            return;
        }
        let waited = self.versions_changed.wait_timeout(state, timeout);
        drop(waited.unwrap_or_else(PoisonError::into_inner));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn streams_of(&self, now: Instant, pools: &[PoolId]) -> Vec<(StreamKey, StreamOrigin)> {
        let logs = [&self.origins, &self.copies];
        let streams = |log: &OriginLog| {
            pools.iter().flat_map(|it| log.streams_of(now, it)).collect::<Vec<_>>()
        };
        logs.into_iter().flat_map(streams).collect()
    }
}

impl Relay {
    /// Records the software versions of a new directory.
    pub(crate) fn observe_versions(&self, upstreams: &[UpstreamRecord]) {
        let streams = self.streams.observe(upstreams);
        self.send_origins(&streams);
    }

    /// Merges what the store has of the software versions.
    pub(crate) fn merge_version_records(&self, records: &[VersionRecord], are_trusted: bool) {
        let streams = self.streams.merge(records, are_trusted);
        self.send_origins(&streams);
    }

    /// Records that an upstream generated the first event of a call that begins or continues the
    /// stream of request `request_id`. Called before the event leaves.
    ///
    /// Where the route leads to several pools (`is_split`), its coordinators have to know the pool even
    /// if there is one version only. `version` returns the version of the stream, if it is known; it is
    /// asked once the stream counts as running, so that no new directory is missed in between.
    pub(crate) fn record_stream(
        &self,
        request_id: &str,
        upstream: &UpstreamRecord,
        is_split: bool,
        version: impl FnOnce() -> Option<SoftwareVersion>,
    ) -> RunningStream<'_> {
        let stream = stream_key(request_id);
        let running = self.streams.begin(stream, upstream);
        let pool = upstream.pool.clone();
        let origin = match version() {
            Some(software_version) => StreamOrigin { pool, software_version },
            None => StreamOrigin::uncertain(pool),
        };
        if self.streams.record_own(stream, origin.clone()) || is_split {
            self.send_origins(&[(stream, origin)]);
        }
        running
    }

    /// Keeps copies of the origins of streams that another VM began, or records them in the store if
    /// their coordinators were told.
    pub(crate) fn keep_origin_copies(
        &self,
        streams: Vec<(StreamKey, StreamOrigin)>,
        are_told: bool,
    ) {
        if are_told {
            self.streams.stored.push(streams);
        } else {
            let mixed = self.streams.record_copies(streams);
            self.send_origins(&mixed);
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
        let origin = match self.find_origin(request_id) {
            OriginReply::Known(origin) => Some(origin),
            OriginReply::Unknown => self.only_origin(route, true),
            OriginReply::Unanswered => self.only_origin(route, false),
        };
        let stored = || self.streams.stored.find(stream_key(request_id?));
        let origin = origin.or_else(stored).filter(StreamOrigin::is_certain);
        let origin = origin.ok_or(ContinuationError::UnknownOrigin)?;
        let is_allowed = route.pools.iter().any(|it| it.pool == origin.pool);
        is_allowed.then_some(origin).ok_or(ContinuationError::PoolRemoved)
    }

    fn find_origin(&self, request_id: Option<&str>) -> OriginReply {
        let Some(stream) = request_id.map(stream_key) else { return OriginReply::Unanswered };
        if let Some(origin) = self.streams.origin(stream) {
            return OriginReply::Known(origin);
        }
        let reply = self.peers().map_or(OriginReply::Unanswered, |it| it.query_origin(stream));
        if let OriginReply::Known(origin) = &reply {
            self.streams.record_all(vec![(stream, origin.clone())]);
        }
        reply
    }

    /// Returns the only origin that a stream of the route can have. If the route leads to several
    /// pools, that is one in the pool that gets most of its calls: a stream that the coordinators do
    /// not know began before the route was split.
    ///
    /// This VM may have missed a version while it stood still or was cut off. Either the coordinators
    /// exclude a stream of such a version (`is_excluded`), or the store does, asked after the call came.
    fn only_origin(&self, route: &RouteRule, is_excluded: bool) -> Option<StreamOrigin> {
        let main = route.pools.iter().max_by_key(|it| it.weight)?;
        let sole = self.streams.sole_version(&main.pool)?;
        let is_proven = is_excluded && !self.may_be_cut_off();
        let software_version =
            if is_proven { sole } else { self.streams.confirm_sole_version(&main.pool)? };
        Some(StreamOrigin { pool: main.pool.clone(), software_version })
    }

    fn may_be_cut_off(&self) -> bool {
        self.streams.was_minority() || self.peers().is_none_or(Peers::is_minority)
    }
}

#[cfg(test)]
mod tests;
