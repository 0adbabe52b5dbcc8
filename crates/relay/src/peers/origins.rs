//! Exchange of the origins of streams.

use std::time::Duration;
use std::time::Instant;

use cranberryvalve_coordination::builds::ORIGIN_COPIES_BIT;
use cranberryvalve_coordination::home::coordinators_of;
use cranberryvalve_coordination::origins::ORIGIN_COORDINATORS;
use cranberryvalve_coordination::origins::StreamKey;
use cranberryvalve_coordination::origins::StreamOrigin;
use cranberryvalve_coordination::origins::copy_holders_of;
use cranberryvalve_coordination::origins::streams_by_coordinator;
use cranberryvalve_coordination::peer::PeerAddress;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_coordination::peer::QuestionId;

use super::Peers;
use crate::streams::UncopiedStreams;

/// Maximum time that a query for the origin of a stream waits: a round trip between regions, plus the
/// processing time on two small VMs. Only coordinators that are gone make it wait so long.
const ORIGIN_QUERY_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of queries for the origin of a stream: a message may be lost.
const MAX_ORIGIN_QUERIES: u32 = 2;

/// Maximum number of streams in one message; about 30 bytes each.
const MAX_STREAMS_PER_MESSAGE: usize = 256;

/// What the coordinators of a stream know of it.
#[derive(Debug)]
pub(crate) enum OriginReply {
    /// The stream began here.
    Known(StreamOrigin),
    /// All coordinators replied, and none knows the stream.
    Unknown,
    /// There are no other coordinators, or some did not reply: they may know the stream.
    Unanswered,
}

impl Peers {
    /// Sends the origins of streams to their coordinators.
    pub(crate) fn send_origins(&self, streams: &[(StreamKey, StreamOrigin)]) {
        let (own, alive) = self.own_and_alive();
        for (coordinator, streams) in streams_by_coordinator(streams, &alive) {
            if coordinator.vm == own.vm {
                continue;
            }
            for part in streams.chunks(MAX_STREAMS_PER_MESSAGE) {
                let message =
                    PeerMessage::StreamOrigins { from: own.clone(), streams: part.to_vec() };
                self.links.send(coordinator, &message);
            }
        }
    }

    /// Sends all origins that this VM knows to their coordinators among the other VMs, as it stops.
    ///
    /// Among 340 VMs that begin 2,700 streams a second, these are some 1,900 streams, so 0.2 MB for each
    /// stop. Receivers cannot tell the age of an origin and keep it for another
    /// [`STREAM_LIFETIME`](cranberryvalve_coordination::origins::STREAM_LIFETIME).
    pub(crate) fn hand_over_origins(&self) {
        self.send_origins(&self.relay.streams.recent_origins());
    }

    /// Sends the origins of running streams to the VMs that keep copies, or to the one that records
    /// them in the store, unless these have them.
    pub(super) fn send_origin_copies(&self) {
        let UncopiedStreams { told, untold } = self.relay.streams.take_uncopied();
        if told.is_empty() && untold.is_empty() {
            return;
        }
        let (own, mut others) = self.own_and_alive();
        others.retain(|it| it.vm != own.vm);
        let others = self.able(others, ORIGIN_COPIES_BIT);
        for holder in copy_holders_of(&own.vm, &others) {
            self.send_copies(holder, &untold, false);
        }
        match self.recorder(&others) {
            Some(recorder) => self.send_copies(recorder, &told, true),
            None => self.relay.streams.stored.push(told),
        }
    }

    /// Returns the VM of the failure domain that records origins in the store; `None` if it is this one.
    fn recorder<'a>(&self, others: &'a [PeerAddress]) -> Option<&'a PeerAddress> {
        let (_, near) = self.failure_domain_members();
        let first = self.relay.shared_directory.first_reader(Instant::now(), &near)?;
        others.iter().find(|it| it.vm == first)
    }

    fn send_copies(&self, to: &PeerAddress, streams: &[(StreamKey, StreamOrigin)], are_told: bool) {
        for part in streams.chunks(MAX_STREAMS_PER_MESSAGE) {
            let (from, streams) = (self.own_address(), part.to_vec());
            self.links.send(to, &PeerMessage::OriginCopies { from, streams, are_told });
        }
    }

    /// Asks the coordinators of a stream for its origin, again if some do not reply.
    pub(crate) fn query_origin(&self, stream: StreamKey) -> OriginReply {
        for _ in 1..MAX_ORIGIN_QUERIES {
            let reply = self.query_origin_once(stream);
            if !matches!(reply, OriginReply::Unanswered) {
                return reply;
            }
        }
        self.query_origin_once(stream)
    }

    fn query_origin_once(&self, stream: StreamKey) -> OriginReply {
        let (own, alive) = self.own_and_alive();
        let mut coordinators = coordinators_of(stream, &alive, ORIGIN_COORDINATORS);
        coordinators.retain(|it| it.vm != own.vm);
        if coordinators.is_empty() {
            return OriginReply::Unanswered;
        }
        let asked = coordinators.len();
        let vms = coordinators.iter().map(|it| it.vm.clone()).collect();
        let request_id = self.origin_queries.open(vms);
        for coordinator in coordinators {
            let message = PeerMessage::OriginRequest { from: own.clone(), request_id, stream };
            if !self.links.send(coordinator, &message) {
                self.origin_queries.record_reply(request_id, &coordinator.vm, None);
            }
        }
        let is_known = |replies: &[Option<StreamOrigin>]| replies.iter().any(Option::is_some);
        let replies = self.origin_queries.wait(request_id, ORIGIN_QUERY_TIMEOUT, is_known);
        let has_all_replied = replies.len() == asked;
        let known: Vec<StreamOrigin> = replies.into_iter().flatten().collect();
        let doubted = known.iter().find(|it| !it.is_certain());
        match doubted.or(known.first()) {
            Some(origin) => OriginReply::Known(origin.clone()),
            None if has_all_replied => OriginReply::Unknown,
            None => OriginReply::Unanswered,
        }
    }

    /// Returns `true` if this VM may be cut off from the other VMs, with others or alone.
    pub(crate) fn is_minority(&self) -> bool {
        self.membership().is_minority()
    }

    pub(super) fn send_origin(&self, to: &PeerAddress, request_id: QuestionId, stream: StreamKey) {
        let origin = self.relay.streams.origin(stream);
        let message = PeerMessage::OriginResponse { from: self.own_address(), request_id, origin };
        self.links.send(to, &message);
    }

    fn own_and_alive(&self) -> (PeerAddress, Vec<PeerAddress>) {
        let membership = self.membership();
        (membership.local().clone(), membership.alive_addresses())
    }
}
