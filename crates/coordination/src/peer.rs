//! Messages exchanged between VMs.

use std::net::SocketAddr;

use cranberryvalve_core::ConfigVersion;
use cranberryvalve_core::Departure;
use cranberryvalve_core::FailureDomainId;
use cranberryvalve_core::PermitRequest;
use cranberryvalve_core::PermitVerdict;
use cranberryvalve_core::PressureDigest;
use cranberryvalve_core::StorePosition;
use cranberryvalve_core::UpstreamId;
use cranberryvalve_core::UpstreamLoad;
use cranberryvalve_core::UpstreamPace;
use cranberryvalve_core::UpstreamRefusal;
use cranberryvalve_core::VmId;
use serde::Deserialize;
use serde::Serialize;

use crate::builds::VmBuild;
use crate::feed::FeedDelta;
use crate::limits::LimitDemand;
use crate::limits::LimitShare;
use crate::membership::MemberUpdate;
use crate::origins::StreamKey;
use crate::origins::StreamOrigin;
use crate::quarantine::SuspectUpdate;
use crate::transfer::Part;
use crate::transfer::PartRequest;
use crate::usage::UsageMessage;

/// A message from one VM to another.
///
/// VMs of two builds run side by side during an upgrade. A build drops a variant that it does not
/// know, and ignores bytes after the end of one that it knows. So variants are only appended, and a
/// variant that has landed keeps its fields; `docs/design/upgrades.md` tells how a format changes.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum PeerMessage {
    /// Periodic message to each neighbour.
    Heartbeat(Heartbeat),
    /// Requests the active configuration, if its version is at least the given one.
    #[serde(rename = "DocumentWanted")]
    DocumentRequest {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Minimum version of the configuration.
        version: ConfigVersion,
    },
    /// Demand of customers at the sender, for the VM that is their limit coordinator.
    LimitReport {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Demand of each customer.
        demands: Vec<LimitDemand>,
    },
    /// Shares of customers' limits, from their limit coordinator.
    LimitShares {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Share of the receiver in the limits of each customer.
        shares: Vec<LimitShare>,
    },
    /// Configuration document in its stored form.
    Document {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Serialized document.
        body: Vec<u8>,
    },
    /// All members that the sender knows, for a member that has just joined.
    Members {
        /// Name and address of the sender.
        from: PeerAddress,
        /// State of each member.
        members: Vec<MemberUpdate>,
    },
    /// Load that the sender has in flight at upstreams whose load coordinator is the receiver.
    LoadReport {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Load of the sender at each upstream.
        loads: Vec<UpstreamLoad>,
    },
    /// Requests the load of other VMs at some upstreams from the load coordinator of these
    /// upstreams.
    #[serde(rename = "LoadsWanted")]
    LoadRequest {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Identifier of the request.
        #[serde(rename = "question")]
        request_id: QuestionId,
        /// Upstreams whose load is requested.
        upstreams: Vec<UpstreamId>,
    },
    /// Response to [`PeerMessage::LoadRequest`].
    #[serde(rename = "LoadsTold")]
    LoadResponse {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Identifier of the request that this message responds to.
        #[serde(rename = "question")]
        request_id: QuestionId,
        /// Load of all VMs except the receiver.
        loads: Vec<UpstreamLoad>,
    },
    /// Decode paces of upstreams that the receiver may not know yet. It forwards those that are new
    /// to it.
    Paces {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Decode pace of each upstream.
        paces: Vec<UpstreamPace>,
    },
    /// Report of a VM that reads the source of the directory for its failure domain.
    FeedReport {
        /// Name and address of the sender.
        from: PeerAddress,
        /// The report.
        report: FeedReport,
    },
    /// Requests what the sender lacks of the directory.
    FeedRequest {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Position of the sender, or `None` if it has no snapshot yet.
        position: Option<StorePosition>,
    },
    /// Upstreams that are shutting down. The receiver forwards those that are new to it.
    Departures {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Upstreams that must get no new requests.
        departures: Vec<Departure>,
    },
    /// Requests a part of the sender's next routing table.
    TableRequest {
        /// Name and address of the sender.
        from: PeerAddress,
        /// The part.
        request: PartRequest,
    },
    /// Response to [`PeerMessage::TableRequest`].
    TablePart {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Part of an encoded difference between two routing tables.
        part: Part,
    },
    /// Asks the coordinator of an upstream that names a rate limit for a permit.
    PermitRequest {
        /// Name and address of the sender.
        from: PeerAddress,
        /// The request.
        request: PermitRequest,
    },
    /// Response to [`PeerMessage::PermitRequest`].
    PermitVerdict {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Upstream that the verdict is about.
        upstream: UpstreamId,
        /// Start of the upstream.
        incarnation: u64,
        /// The verdict.
        verdict: PermitVerdict,
    },
    /// Evidence against calls that may crash upstreams. The receiver forwards what is new to it.
    Suspects {
        /// Name and address of the sender.
        from: PeerAddress,
        /// What the sender knows of each key.
        suspects: Vec<SuspectUpdate>,
    },
    /// Origins of streams, for VMs that coordinate them.
    StreamOrigins {
        /// Name and address of the sender.
        from: PeerAddress,
        /// The streams.
        streams: Vec<(StreamKey, StreamOrigin)>,
    },
    /// Requests the origin of a stream.
    OriginRequest {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Identifier of the request.
        request_id: QuestionId,
        /// The stream.
        stream: StreamKey,
    },
    /// Response to [`PeerMessage::OriginRequest`].
    OriginResponse {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Identifier of the request that this message responds to.
        request_id: QuestionId,
        /// Origin of the stream, or `None` if the sender does not know it.
        origin: Option<StreamOrigin>,
    },
    /// Asks for an offer to forward calls, as the sender reaches no upstream.
    ForwardRequest {
        /// Name and address of the sender.
        from: PeerAddress,
    },
    /// Offers to forward calls to upstreams, which have served the sender lately.
    ForwardOffer {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Address at which the sender takes calls of other VMs.
        address: SocketAddr,
    },
    /// Asks which upstreams accept connections from the receiver.
    ProbeRequest {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Identifier of the request.
        request_id: QuestionId,
        /// The upstreams.
        upstreams: Vec<UpstreamId>,
    },
    /// Response to [`PeerMessage::ProbeRequest`].
    ProbeResponse {
        /// Name and address of the sender.
        from: PeerAddress,
        /// Identifier of the request that this message responds to.
        request_id: QuestionId,
        /// Upstreams that accept connections.
        accepting: Vec<UpstreamId>,
    },
    /// Refusals of upstreams that fail under too many of them.
    Refusals {
        /// Name and address of the sender.
        from: PeerAddress,
        /// The refusals, which the sender saw itself.
        refusals: Vec<UpstreamRefusal>,
    },
    /// Builds of VMs. The receiver forwards those that are new to it.
    Builds {
        /// Name and address of the sender.
        from: PeerAddress,
        /// What each VM runs.
        builds: Vec<VmBuild>,
    },
    /// Usage for reports, sent to VMs with the capability `usage_reports` only.
    Usage {
        /// Name and address of the sender.
        from: PeerAddress,
        /// The message.
        message: UsageMessage,
    },
    /// Origins of streams that run at the sender, for VMs that keep copies of them. Sent to VMs with
    /// the capability `origin_copies` only.
    OriginCopies {
        /// Name and address of the sender.
        from: PeerAddress,
        /// The streams.
        streams: Vec<(StreamKey, StreamOrigin)>,
        /// Whether their coordinators know them already, so that the receiver has to record them in the
        /// store only.
        are_told: bool,
    },
}

/// What a VM that reads the source of the directory tells the others.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FeedReport {
    /// Whether the last read succeeded.
    pub reaches_source: bool,
    /// Position of the sender, or `None` if it has no snapshot yet.
    pub position: Option<StorePosition>,
    /// Time in milliseconds since the source came back after an outage, or `None` if the sender
    /// saw none.
    pub recovered_ms: Option<u32>,
    /// What is new, or `None` if the report only confirms the position.
    pub delta: Option<FeedDelta>,
}

/// Identifier of a request, unique within the VM that sent it.
pub type QuestionId = u64;

/// Name and address of a VM.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct PeerAddress {
    /// Name of the VM.
    pub vm: VmId,
    /// Socket address on which the VM listens for messages from peers.
    pub address: SocketAddr,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomainId,
}

/// Periodic message that shows that the sender is alive, with its current state.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name and address of the sender.
    pub from: PeerAddress,
    /// Incarnation of the sender, which increases with each start.
    pub incarnation: u64,
    /// Sequence number, which increases with each heartbeat to this receiver.
    pub sequence: u64,
    /// Last sequence number that the sender received from this receiver.
    pub acknowledged: u64,
    /// Version of the active configuration at the sender.
    pub config_version: ConfigVersion,
    /// Whether the sender has recently had contact with the store, or with a peer that has.
    pub config_fresh: bool,
    /// Summary of the requests that wait for capacity at the sender.
    pub pressure: PressureDigest,
    /// Membership updates.
    pub members: Vec<MemberUpdate>,
}

impl PeerMessage {
    /// Returns the name and address of the sender.
    pub const fn from(&self) -> &PeerAddress {
        match self {
            Self::Heartbeat(heartbeat) => &heartbeat.from,
            Self::DocumentRequest { from, .. }
            | Self::LimitReport { from, .. }
            | Self::LimitShares { from, .. }
            | Self::Document { from, .. }
            | Self::Members { from, .. }
            | Self::LoadReport { from, .. }
            | Self::LoadRequest { from, .. }
            | Self::LoadResponse { from, .. }
            | Self::Paces { from, .. }
            | Self::Departures { from, .. }
            | Self::FeedReport { from, .. }
            | Self::FeedRequest { from, .. }
            | Self::TableRequest { from, .. }
            | Self::TablePart { from, .. }
            | Self::PermitRequest { from, .. }
            | Self::PermitVerdict { from, .. }
            | Self::Suspects { from, .. }
            | Self::StreamOrigins { from, .. }
            | Self::OriginRequest { from, .. }
            | Self::OriginResponse { from, .. }
            | Self::ForwardRequest { from }
            | Self::ForwardOffer { from, .. }
            | Self::ProbeRequest { from, .. }
            | Self::ProbeResponse { from, .. }
            | Self::Refusals { from, .. }
            | Self::Builds { from, .. }
            | Self::Usage { from, .. }
            | Self::OriginCopies { from, .. } => from,
        }
    }
}
