//! Messages and rows since 97079c5a73887963ceaa95edad37f162e2c525de.

use std::collections::BTreeSet;

use cranberryvalve_coordination::origins::StreamOrigin;
use cranberryvalve_coordination::origins::stream_key;
use cranberryvalve_coordination::peer::PeerMessage;
use cranberryvalve_core::SoftwareVersion;
use cranberryvalve_core::UpstreamRefusal;

use super::Sample;
use super::first::sender;
use super::sent;
use super::stored;

/// Returns messages that cover each variant, and each variant of what they hold.
pub(crate) fn messages() -> Vec<Sample> {
    let from = sender;
    let origin = StreamOrigin { pool: "engines".into(), software_version: "v2.1".into() };
    let stream = stream_key("call-17");
    let streams = vec![(stream, origin.clone())];
    let request_id = 1_000_000_007;
    let upstreams = vec!["engine-1".into(), "engine-2".into()];
    let accepting = vec!["engine-2".into()];
    let refusals =
        vec![UpstreamRefusal { upstream: "engine-1".into(), incarnation: 12, pause_ms: 400 }];
    let address = ([10, 1, 0, 40], 7_341).into();
    vec![
        sent("stream-origins", PeerMessage::StreamOrigins { from: from(), streams }),
        sent("origin-request", PeerMessage::OriginRequest { from: from(), request_id, stream }),
        sent(
            "origin-response",
            PeerMessage::OriginResponse { from: from(), request_id, origin: Some(origin) },
        ),
        sent(
            "origin-response-none",
            PeerMessage::OriginResponse { from: from(), request_id, origin: None },
        ),
        sent("forward-request", PeerMessage::ForwardRequest { from: from() }),
        sent("forward-offer", PeerMessage::ForwardOffer { from: from(), address }),
        sent("probe-request", PeerMessage::ProbeRequest { from: from(), request_id, upstreams }),
        sent("probe-response", PeerMessage::ProbeResponse { from: from(), request_id, accepting }),
        sent("refusals", PeerMessage::Refusals { from: from(), refusals }),
    ]
}

/// Returns rows of the store.
pub(crate) fn rows() -> Vec<Sample> {
    let versions: BTreeSet<SoftwareVersion> = ["v2".into(), "v2.1".into()].into();
    vec![stored("software-versions", versions)]
}
