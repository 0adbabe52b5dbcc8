//! Streams that upstreams generate for this VM at the moment.

use std::collections::HashMap;
use std::net::SocketAddr;

use cranberryvalve_coordination::origins::StreamKey;
use cranberryvalve_coordination::origins::StreamOrigin;
use cranberryvalve_core::PoolId;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_policy::scheduler::UpstreamRecord;

use super::Streams;

/// Number of a running stream, unique on this VM.
type RunId = u64;

/// The streams that run, and the starts of the upstreams that were to generate them.
#[derive(Debug, Default)]
pub(super) struct RunningStreams {
    last_id: RunId,
    by_id: HashMap<RunId, Run>,
}

#[derive(Debug)]
struct Run {
    stream: StreamKey,
    pool: PoolId,
    upstream: UpstreamId,
    address: SocketAddr,
    incarnation: u64,
    /// Whether other VMs keep the stream's present origin.
    is_copied: bool,
}

impl RunningStreams {
    fn add(&mut self, stream: StreamKey, upstream: &UpstreamRecord) -> RunId {
        self.last_id += 1;
        let run = Run {
            stream,
            pool: upstream.pool.clone(),
            upstream: upstream.id.clone(),
            address: upstream.address,
            incarnation: upstream.incarnation,
            is_copied: false,
        };
        self.by_id.insert(self.last_id, run);
        self.last_id
    }

    /// Takes the streams of a pool for not copied, as they have to be kept in another way from now on.
    pub(super) fn forget_copies(&mut self, pool: &str) {
        let of_pool = self.by_id.values_mut().filter(|it| &*it.pool == pool);
        of_pool.for_each(|it| it.is_copied = false);
    }

    /// Returns the streams whose origins no other VM keeps yet, and takes them for copied.
    pub(super) fn take_uncopied(&mut self) -> Vec<StreamKey> {
        let uncopied = self.by_id.values_mut().filter(|it| !it.is_copied);
        let take = |run: &mut Run| {
            run.is_copied = true;
            run.stream
        };
        uncopied.map(take).collect()
    }

    /// Returns the streams whose upstream has started again at its address, as a new directory shows.
    /// It may have generated them before or after that.
    pub(super) fn doubted(
        &mut self,
        upstreams: &[UpstreamRecord],
    ) -> Vec<(StreamKey, StreamOrigin)> {
        if self.by_id.is_empty() {
            return Vec::new();
        }
        let by_id: HashMap<&UpstreamId, &UpstreamRecord> =
            upstreams.iter().map(|it| (&it.id, it)).collect();
        let is_replaced = |run: &&mut Run| {
            let current = by_id.get(&run.upstream);
            current.is_some_and(|it| it.address == run.address && it.incarnation != run.incarnation)
        };
        let doubted = self.by_id.values_mut().filter(is_replaced);
        let doubt = |run: &mut Run| {
            run.is_copied = false;
            (run.stream, StreamOrigin::uncertain(run.pool.clone()))
        };
        doubted.map(doubt).collect()
    }
}

/// A stream that runs until this is dropped.
pub(crate) struct RunningStream<'a> {
    streams: &'a Streams,
    id: RunId,
}

impl Streams {
    /// Records that `upstream` generates a stream.
    pub(super) fn begin(&self, stream: StreamKey, upstream: &UpstreamRecord) -> RunningStream<'_> {
        let id = self.lock().running.add(stream, upstream);
        RunningStream { streams: self, id }
    }
}

impl Drop for RunningStream<'_> {
    fn drop(&mut self) {
        self.streams.lock().running.by_id.remove(&self.id);
    }
}
